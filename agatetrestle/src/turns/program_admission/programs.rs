//! The programs of one service: which run, which are refused, and which ended.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;

/// Time without an open turn for which a program still counts as active. Longer than most pauses between turns; a longer
/// timeout counts more programs that have ended.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without an open turn after which a program counts as ended. A pause that is longer than [`IDLE_TIMEOUT`] does not cut
/// the program's measured duration in two.
const END_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a refused program is dropped. Callers retry within a few seconds or not at all.
const REFUSED_EXPIRY: Duration = Duration::from_secs(10);
/// Refused programs that are remembered; those refused beyond count as new when they return.
const MAX_REFUSED: usize = 65_536;

/// A program that runs or ran recently.
#[derive(Clone, Debug)]
pub(super) struct Program {
    pub(super) class: u8,
    pub(super) team: Arc<str>,
    pub(super) route: usize,
    /// `None` if its first turn was not seen, so that nothing can be learnt from it.
    pub(super) began: Option<Timestamp>,
    /// Time to the deadline at its start.
    pub(super) finish_in: Option<Duration>,
    pub(super) open_turns: u32,
    pub(super) turns: u32,
    /// Whether a turn ended without a report.
    pub(super) lost_turn: bool,
    pub(super) slot_time: Duration,
    pub(super) last_active: Timestamp,
    /// Whether it counts as active.
    pub(super) active: bool,
}

/// The first request of a refused program.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstRequest {
    pub(super) at: Timestamp,
    /// Time to its deadline at that time.
    pub(super) finish_in: Option<Duration>,
}

/// Programs by their key.
#[derive(Debug, Default)]
pub(super) struct Programs {
    all: HashMap<Arc<str>, Program>,
    /// Active programs without an open turn, by the end of their last one.
    idle: BTreeSet<(Timestamp, Arc<str>)>,
    /// Programs that count no longer as active and not yet as ended.
    paused: BTreeSet<(Timestamp, Arc<str>)>,
}

impl Programs {
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    pub(super) fn contains(&self, name: &Arc<str>) -> bool {
        self.all.contains_key(name)
    }

    /// Adds a program without an open turn.
    pub(super) fn insert_idle(&mut self, name: &Arc<str>, program: Program) {
        self.idle.insert((program.last_active, name.clone()));
        self.all.insert(name.clone(), program);
    }

    /// Removes a program that has begun no turn.
    pub(super) fn remove_unstarted(&mut self, name: &Arc<str>) -> Option<Program> {
        let program = self.all.get(name).filter(|program| program.turns == 0 && program.open_turns == 0)?;
        self.idle.remove(&(program.last_active, name.clone()));
        self.paused.remove(&(program.last_active, name.clone()));
        self.all.remove(name)
    }

    /// Records that a turn of a known program began. Returns the program and whether it became active.
    pub(super) fn begin_turn(&mut self, name: &Arc<str>) -> Option<(&Program, bool)> {
        let program = self.all.get_mut(name)?;
        let activated = !program.active;
        if program.open_turns == 0 {
            let key = (program.last_active, name.clone());
            if activated {
                self.paused.remove(&key);
            } else {
                self.idle.remove(&key);
            }
        }
        program.active = true;
        program.open_turns += 1;
        program.turns += 1;
        Some((program, activated))
    }

    /// Records that a turn ended, with its time on a server if one completed it.
    pub(super) fn finish_turn(
        &mut self,
        now: Timestamp,
        name: &Arc<str>,
        server_time: Option<Duration>,
    ) -> Option<&Program> {
        let program = self.all.get_mut(name)?;
        program.open_turns = program.open_turns.saturating_sub(1);
        program.slot_time += server_time.unwrap_or_default();
        if program.open_turns == 0 {
            program.last_active = now;
            self.idle.insert((now, name.clone()));
        }
        Some(program)
    }

    /// Marks that a turn of a program ended without a report.
    pub(super) fn mark_lost_turn(&mut self, name: &Arc<str>) {
        if let Some(program) = self.all.get_mut(name) {
            program.lost_turn = true;
        }
    }

    /// Takes a program that has been idle too long to count as active.
    pub(super) fn pop_idle(&mut self, now: Timestamp) -> Option<&Program> {
        let (last_active, _) = self.idle.first()?;
        if now.since(*last_active) <= IDLE_TIMEOUT {
            return None;
        }
        let (last_active, name) = self.idle.pop_first()?;
        self.paused.insert((last_active, name.clone()));
        let program = self.all.get_mut(&name)?;
        program.active = false;
        Some(program)
    }

    /// Removes a program that has paused for so long that it counts as ended.
    pub(super) fn pop_ended(&mut self, now: Timestamp) -> Option<Program> {
        let (last_active, _) = self.paused.first()?;
        if now.since(*last_active) <= END_TIMEOUT {
            return None;
        }
        let (_, name) = self.paused.pop_first()?;
        self.all.remove(&name)
    }
}

/// Refused programs by their key.
#[derive(Debug, Default)]
pub(super) struct RefusedPrograms {
    all: HashMap<Arc<str>, FirstRequest>,
    by_time: BTreeSet<(Timestamp, Arc<str>)>,
}

impl RefusedPrograms {
    pub(super) fn get(&self, program: &Arc<str>) -> Option<FirstRequest> {
        self.all.get(program).copied()
    }

    pub(super) fn insert(&mut self, program: &Arc<str>, first: FirstRequest) {
        if self.all.len() < MAX_REFUSED && !self.all.contains_key(program) {
            self.all.insert(program.clone(), first);
            self.by_time.insert((first.at, program.clone()));
        }
    }

    pub(super) fn remove(&mut self, program: &Arc<str>) {
        if let Some(first) = self.all.remove(program) {
            self.by_time.remove(&(first.at, program.clone()));
        }
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        while let Some((first, _)) = self.by_time.first()
            && now.since(*first) > REFUSED_EXPIRY
            && let Some((_, program)) = self.by_time.pop_first()
        {
            self.all.remove(&program);
        }
    }
}
