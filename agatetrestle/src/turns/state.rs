//! The state that every replica of a state group computes from the same commands.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::agreement::RestoreError;
use crate::agreement::SnapshotEncoder;
use crate::agreement::StateMachine;
use crate::agreement::UndecodableSnafu;
use crate::agreement::message::Position;
use crate::cluster::message::Holdings;
use crate::codec::Blob;
use crate::codec::decode;
use crate::codec::encode;
use crate::codec::encode_large;
use crate::turns::command::Begin;
use crate::turns::command::Finish;
use crate::turns::command::RetainedTurn;
use crate::turns::command::TimedCommand;
use crate::turns::command::TransferredTurn;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnId;
use crate::turns::command::TurnReply;

/// Milliseconds beyond its retention for which a turn stays: the caller counts from when the end of the answer
/// reached it, and it may be slow to take the last bytes. Clocks need no margin, since only spans that a leader
/// measured count.
const MARGIN: u64 = 10_000;
/// Milliseconds without a turn after which a program's budget is forgotten. A program may come back within a
/// retention, which operators set to about a minute.
const ACCOUNT_LIFE: u64 = 300_000;
/// What a kept turn costs beside its text, in bytes: names, maps and allocations.
const TURN_OVERHEAD: usize = 400;

/// What one program may still spend.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Account {
    spent: u64,
    /// Turns that have not ended, with their most tokens.
    open: BTreeMap<TurnId, u64>,
    last_used: u64,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Turn {
    previous: Option<TurnId>,
    text: Blob,
    until: u64,
    /// The team whose turn it is; see [`Turn::is_open_to`].
    #[serde(default, skip_serializing_if = "str::is_empty")]
    team: Arc<str>,
}

impl Turn {
    /// Whether a team may go on from it. A turn of no team was sent when nobody needed a key, and whoever sent it may have
    /// come to belong to a team since; to tell the caller that there is no such turn would lose it.
    fn is_open_to(&self, team: &str) -> bool {
        self.team.is_empty() || &*self.team == team
    }
}

/// Turns and budgets of all programs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnState {
    /// Milliseconds that leaders measured between their commands. All replicas count the same, no wall clock that is
    /// wrong or set makes a turn forgotten too soon, and while no leader is there no time passes.
    now: u64,
    accounts: HashMap<Arc<str>, Account>,
    turns: HashMap<TurnId, Turn>,
    turns_by_end: BTreeSet<(u64, TurnId)>,
    accounts_by_use: BTreeSet<(u64, Arc<str>)>,
    kept_bytes: usize,
    /// Bytes of turns beyond which no turn begins that would have to be kept; 0 for no bound.
    room: usize,
}

impl TurnState {
    /// A state that holds at most this many bytes of turns. Every replica must be given the same bound, which is
    /// why it is coded with the state.
    #[must_use]
    pub fn with_max_bytes(room: usize) -> Self {
        Self { room, ..Self::default() }
    }

    /// Applies a command; the reply is the same on every replica.
    pub fn execute(&mut self, timed: TimedCommand) -> TurnReply {
        self.pass(timed.elapsed);
        match timed.command {
            TurnCommand::Begin(begin) => self.begin(begin),
            TurnCommand::Finish(finish) => self.finish(finish),
            TurnCommand::Chain(last) => TurnReply::Chain(self.carry(&last)),
            TurnCommand::Take(_) => TurnReply::Refused,
        }
    }

    /// Whether a turn of a team's program has begun and not ended.
    #[must_use]
    pub fn is_open(&self, team: &str, program: &Arc<str>, turn: &TurnId) -> bool {
        let account = self.accounts.get(&account_name(team, program));
        account.is_some_and(|account| account.open.contains_key(turn))
    }

    /// Whether a team's program has begun a turn here.
    #[must_use]
    pub fn has_begun(&self, team: &str, program: &Arc<str>) -> bool {
        self.accounts.contains_key(&account_name(team, program))
    }

    /// What is held, for operators.
    #[must_use]
    pub fn holdings(&self) -> Holdings {
        Holdings {
            turns: self.turns.len(),
            bytes: self.kept_bytes,
            room: self.room,
            programs: self.accounts.len(),
        }
    }

    fn begin(&mut self, begin: Begin) -> TurnReply {
        self.take_in(begin.carried);
        let Some(chain) = self.chain(&begin.team, begin.previous.as_ref()) else {
            return TurnReply::NoSuchTurn;
        };
        if self.room > 0 && self.kept_bytes > self.room {
            return TurnReply::Full;
        }
        let program = account_name(&begin.team, &begin.program);
        let account = self.accounts.entry(program.clone()).or_default();
        let reserved: u64 = account.open.values().sum();
        let known = account.open.contains_key(&begin.turn);
        let wanted = account.spent.saturating_add(reserved).saturating_add(begin.most);
        let reply = if !known && begin.budget.is_some_and(|budget| wanted > budget) {
            TurnReply::Spent
        } else {
            account.open.entry(begin.turn).or_insert(begin.most);
            TurnReply::Begun { chain }
        };
        self.touch(&program);
        reply
    }

    fn finish(&mut self, finish: Finish) -> TurnReply {
        let program = account_name(&finish.team, &finish.program);
        if let Some(account) = self.accounts.get_mut(&program)
            && account.open.remove(&finish.turn).is_some()
        {
            account.spent = account.spent.saturating_add(finish.spent);
        }
        self.touch(&program);
        if let Some(kept) = finish.kept {
            self.keep(&finish.team, finish.turn, kept);
        }
        TurnReply::Settled
    }

    /// Keeps a turn, and everything that it goes on from for as long.
    fn keep(&mut self, team: &Arc<str>, name: TurnId, kept: RetainedTurn) {
        let until = self.now.saturating_add(kept.retention).saturating_add(MARGIN);
        if let std::collections::hash_map::Entry::Vacant(vacant) = self.turns.entry(name.clone()) {
            self.kept_bytes += kept.text.len() + TURN_OVERHEAD;
            let team = team.clone();
            vacant.insert(Turn { previous: kept.previous, text: kept.text, until: 0, team });
        }
        let mut next = Some(name);
        while let Some(name) = next.take() {
            let Some(turn) = self.turns.get_mut(&name) else {
                return;
            };
            if turn.until >= until {
                return;
            }
            self.turns_by_end.remove(&(turn.until, name.clone()));
            turn.until = until;
            next.clone_from(&turn.previous);
            self.turns_by_end.insert((until, name));
        }
    }

    /// The texts of a team's turn and of all before it, oldest first; none if the team has no such turn.
    fn chain(&self, team: &str, last: Option<&TurnId>) -> Option<Vec<Blob>> {
        let mut texts = Vec::new();
        let mut next = last;
        while let Some(name) = next {
            let turn = self.turns.get(name).filter(|turn| turn.is_open_to(team))?;
            texts.push(turn.text.clone());
            next = turn.previous.as_ref();
        }
        texts.reverse();
        Some(texts)
    }

    /// A turn and all before it for another group, oldest first.
    fn carry(&self, last: &TurnId) -> Vec<TransferredTurn> {
        let mut carried = Vec::new();
        let mut next = Some(last);
        while let Some(name) = next {
            let Some(turn) = self.turns.get(name) else {
                return Vec::new();
            };
            let retention = turn.until.saturating_sub(self.now);
            let (text, team) = (turn.text.clone(), turn.team.clone());
            carried.push(TransferredTurn { name: name.clone(), text, retention, team });
            next = turn.previous.as_ref();
        }
        carried.reverse();
        carried
    }

    /// Keeps the turns of another group that are not known here, each going on from the one before it.
    fn take_in(&mut self, carried: Vec<TransferredTurn>) {
        let mut previous = None;
        for TransferredTurn { name, text, retention, team } in carried {
            // What is left of the retention already holds the margin.
            let kept = RetainedTurn { previous, text, retention: retention.saturating_sub(MARGIN) };
            self.keep(&team, name.clone(), kept);
            previous = Some(name);
        }
    }

    fn touch(&mut self, program: &Arc<str>) {
        let now = self.now;
        if let Some(account) = self.accounts.get_mut(program) {
            self.accounts_by_use.remove(&(account.last_used, program.clone()));
            account.last_used = now;
            self.accounts_by_use.insert((now, program.clone()));
        }
    }

    /// Lets time pass and forgets what is past its time.
    fn pass(&mut self, elapsed: Duration) {
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.now = self.now.saturating_add(elapsed);
        while let Some((until, _)) = self.turns_by_end.first()
            && *until < self.now
            && let Some((_, name)) = self.turns_by_end.pop_first()
        {
            if let Some(turn) = self.turns.remove(&name) {
                self.kept_bytes -= turn.text.len() + TURN_OVERHEAD;
            }
        }
        while let Some((used, _)) = self.accounts_by_use.first()
            && used.saturating_add(ACCOUNT_LIFE) < self.now
            && let Some((_, program)) = self.accounts_by_use.pop_first()
        {
            self.accounts.remove(&program);
        }
    }
}

/// The name under which the budget of a team's program is held: two teams may give their programs the same name.
fn account_name(team: &str, program: &Arc<str>) -> Arc<str> {
    if team.is_empty() { program.clone() } else { format!("{team}\0{program}").into() }
}

impl StateMachine for TurnState {
    fn apply(&mut self, _position: Position, payload: &Arc<[u8]>) -> Vec<u8> {
        let reply = TimedCommand::decode(payload).map_or(TurnReply::Refused, |timed| self.execute(timed));
        encode(&reply)
    }

    fn apply_without_reply(&mut self, _position: Position, payload: &Arc<[u8]>) {
        if let Some(timed) = TimedCommand::decode(payload) {
            self.execute(timed);
        }
    }

    fn snapshot_encoder(&self) -> SnapshotEncoder {
        let state = self.clone();
        Box::new(move || state.snapshot())
    }

    fn snapshot(&self) -> Vec<u8> {
        // Names stand three times in the maps beside what a turn is counted with.
        encode_large(self, self.kept_bytes + self.accounts.len() * TURN_OVERHEAD)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        *self = decode(data).context(UndecodableSnafu)?;
        Ok(())
    }
}
