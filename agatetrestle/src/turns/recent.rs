//! Programs that ran recently, as the log knows them. A new leader rebuilds its admission from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::turns::command::AdmissionParams;
use crate::turns::command::Finish;
use crate::turns::command::TurnId;
use crate::turns::state::free_if_empty;

/// Time without a turn after which a program is dropped, in milliseconds. Longer than the time over which admission learns
/// what programs need.
const EXPIRY_MS: u64 = 10_000;
/// Programs that are recorded, so that they fit a store of 120 MB beside its turns. Further ones run but are unknown to the
/// next leader.
const MAX_PROGRAMS: usize = 32_768;

/// A turn that has not ended. Times are those of the state, in milliseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentTurn {
    /// When it began.
    pub began: u64,
    /// When its caller's timeout ends.
    pub until: u64,
}

/// A program of a team that ran recently. Times are those of the state, in milliseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentProgram {
    /// The service that its first turn was sent to.
    pub service: Arc<str>,
    /// The route that its first turn arrived on.
    pub route: Arc<str>,
    /// The team that owns it.
    pub team: Arc<str>,
    /// Priority of its team, then of its route.
    #[serde(default)]
    pub priority: u8,
    /// When its first turn began.
    pub began: u64,
    /// Time to its deadline at that time; `None` without a deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_in: Option<u64>,
    /// When a turn last began or ended.
    pub last_used: u64,
    /// Milliseconds that servers spent on its turns.
    #[serde(default)]
    pub ran: u64,
    /// Turns that have not ended.
    #[serde(default)]
    pub open: BTreeMap<TurnId, RecentTurn>,
}

/// Programs of teams that ran recently, by the keys of their accounts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentPrograms {
    now: u64,
    programs: BTreeMap<Arc<str>, RecentProgram>,
    by_use: BTreeSet<(u64, Arc<str>)>,
}

impl RecentPrograms {
    /// Whether no program ran recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// All programs with the keys of their accounts.
    pub fn programs(&self) -> impl Iterator<Item = (&Arc<str>, &RecentProgram)> {
        self.programs.iter()
    }

    /// Whether a turn of a program has not ended.
    #[must_use]
    pub fn is_open(&self, key: &Arc<str>, turn: &TurnId) -> bool {
        self.programs.get(key).is_some_and(|program| program.open.contains_key(turn))
    }

    /// Milliseconds since a time of the state.
    #[must_use]
    pub fn age(&self, time: u64) -> u64 {
        self.now.saturating_sub(time)
    }

    /// Milliseconds until a time of the state.
    #[must_use]
    pub fn left(&self, time: u64) -> u64 {
        time.saturating_sub(self.now)
    }

    /// Records that a turn began.
    pub(super) fn begin(&mut self, key: &Arc<str>, team: &Arc<str>, turn: &TurnId, params: &AdmissionParams) {
        if self.programs.len() >= MAX_PROGRAMS && !self.programs.contains_key(key) {
            return;
        }
        let now = self.now;
        let program = self.programs.entry(key.clone()).or_insert_with(|| RecentProgram {
            service: params.service.clone(),
            route: params.route.clone(),
            team: team.clone(),
            priority: params.priority,
            began: now,
            finish_in: params.finish_in,
            last_used: now,
            ran: 0,
            open: BTreeMap::new(),
        });
        let until = now.saturating_add(params.patience);
        program.open.entry(turn.clone()).or_insert(RecentTurn { began: now, until });
        self.touch(key);
    }

    /// Records that a turn ended.
    pub(super) fn finish(&mut self, key: &Arc<str>, finish: &Finish) {
        if let Some(program) = self.programs.get_mut(key)
            && program.open.remove(&finish.turn).is_some()
        {
            free_if_empty(&mut program.open);
            program.ran = program.ran.saturating_add(finish.ran.unwrap_or(0));
            self.touch(key);
        }
    }

    /// Advances the time, drops turns whose callers have timed out and programs without a turn.
    pub(super) fn advance(&mut self, now: u64) {
        self.now = now;
        while let Some((used, _)) = self.by_use.first()
            && used.saturating_add(EXPIRY_MS) < now
            && let Some((_, key)) = self.by_use.pop_first()
        {
            if let Some(program) = self.programs.get_mut(&key) {
                program.open.retain(|_, turn| turn.until >= now);
                if program.open.is_empty() {
                    self.programs.remove(&key);
                } else {
                    program.last_used = now;
                    self.by_use.insert((now, key));
                }
            }
        }
    }

    fn touch(&mut self, key: &Arc<str>) {
        let now = self.now;
        if let Some(program) = self.programs.get_mut(key) {
            self.by_use.remove(&(program.last_used, key.clone()));
            program.last_used = now;
            self.by_use.insert((now, key.clone()));
        }
    }
}
