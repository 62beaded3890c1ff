//! Commands that a leader has proposed and not applied yet, and the reply to a begin that they leave certain.
//!
//! A leader that rules out every other one knows the commands before its newest proposal. It can therefore tell before the
//! commit that a turn will begin; see docs/design/020-commit-latency.md.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::codec::Blob;
use crate::turns::command::Begin;
use crate::turns::command::BeginQuery;
use crate::turns::command::Finish;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnId;
use crate::turns::state::ACCOUNT_EXPIRY_MS;
use crate::turns::state::TURN_OVERHEAD_BYTES;
use crate::turns::state::TurnState;
use crate::turns::state::account_key;

/// Where a leader's log and its state machine stand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogProgress {
    /// Term of the leader.
    pub term: u64,
    /// Index of the last entry, committed or not.
    pub last: u64,
    /// Index of the last command that the state machine has applied.
    pub applied: u64,
}

#[derive(Debug)]
struct PendingCommand {
    index: u64,
    elapsed: Duration,
    command: Rc<TurnCommand>,
}

/// Proposals of one term that the state machine has not applied, in log order.
#[derive(Debug, Default)]
pub struct PendingCommands {
    term: u64,
    commands: VecDeque<PendingCommand>,
}

impl PendingCommands {
    /// Drops the commands that are applied, or all if the term has changed.
    pub fn advance(&mut self, progress: LogProgress) {
        if self.term != progress.term {
            self.commands.clear();
            self.term = progress.term;
        }
        while self.commands.front().is_some_and(|pending| pending.index <= progress.applied) {
            self.commands.pop_front();
        }
    }

    /// Records a command that was appended at the end of the log.
    pub fn push(&mut self, progress: LogProgress, elapsed: Duration, command: Rc<TurnCommand>) {
        self.advance(progress);
        if progress.last > progress.applied {
            self.commands.push_back(PendingCommand { index: progress.last, elapsed, command });
        }
    }

    /// Whether a begin is recorded and may not be applied.
    #[must_use]
    pub fn contains(&self, query: &BeginQuery) -> bool {
        let named = |pending: &PendingCommand| matches!(&*pending.command, TurnCommand::Begin(begin) if query.names(begin));
        self.commands.iter().rev().any(named)
    }

    /// The texts of the turns that a proposed begin continues, if it will certainly be granted when it commits. The caller
    /// must be a leader whose lease is valid and that has committed an entry of its own term.
    ///
    /// Every doubt counts as a refusal: an unapplied entry that is not known here, a turn that another proposal names too,
    /// or state that may expire before.
    #[must_use]
    pub fn granted_chain(
        &mut self,
        progress: LogProgress,
        state: &TurnState,
        query: &BeginQuery,
    ) -> Option<Vec<Blob>> {
        self.advance(progress);
        let unapplied = progress.last.checked_sub(progress.applied)?;
        if usize::try_from(unapplied).ok()? != self.commands.len() {
            return None;
        }
        let is_queried = |pending: &PendingCommand| match &*pending.command {
            TurnCommand::Begin(begin) => query.names(begin),
            _ => false,
        };
        let position = self.commands.iter().position(is_queried)?;
        if self.commands.iter().skip(position + 1).any(is_queried) {
            return None;
        }
        let TurnCommand::Begin(begin) = &*self.commands[position].command else {
            return None;
        };
        state.certain_chain(begin, self.commands.range(..=position))
    }
}

/// An open turn of an account as certain commands and possible ones leave it.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    most: u64,
    /// Whether the turn is open in the applied state, so that repeating its begin changes nothing.
    applied: bool,
}

impl TurnState {
    /// The chain of a begin that is the last of `commands`, if all of them together leave no doubt that it is granted.
    fn certain_chain<'a>(
        &self,
        begin: &Begin,
        commands: impl Iterator<Item = &'a PendingCommand> + Clone,
    ) -> Option<Vec<Blob>> {
        if !begin.carried.is_empty() {
            return None;
        }
        let elapsed: Duration = commands.clone().map(|pending| pending.elapsed).sum();
        let now = self.now.saturating_add(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX));
        let chain = self.chain_until(begin, now)?;
        let added: usize = commands.clone().map(|pending| retained_bytes(&pending.command)).sum();
        if self.room > 0 && self.kept_bytes.saturating_add(added) > self.room {
            return None;
        }
        self.fits_budget(begin, now, commands).then_some(chain)
    }

    /// The chain of a begin if it is complete and none of its turns expires before `now`.
    fn chain_until(&self, begin: &Begin, now: u64) -> Option<Vec<Blob>> {
        let mut next = begin.previous.as_ref();
        while let Some(name) = next {
            let turn = self.turns.get(name).filter(|turn| turn.until >= now)?;
            next = turn.previous.as_ref();
        }
        self.chain(&begin.team, begin.previous.as_ref())
    }

    /// Whether the budget holds the turn even if every pending begin of its program is granted.
    fn fits_budget<'a>(
        &self,
        begin: &Begin,
        now: u64,
        commands: impl Iterator<Item = &'a PendingCommand>,
    ) -> bool {
        let key = account_key(&begin.team, &begin.program);
        let mut spent = 0_u64;
        let mut open: HashMap<TurnId, Reservation> = HashMap::new();
        if let Some(account) = self.accounts.get(&key) {
            // An expired account forgets its open turns, so a repeated begin would be a new one.
            if account.last_used.saturating_add(ACCOUNT_EXPIRY_MS) < now {
                return false;
            }
            spent = account.spent;
            let applied =
                |(turn, most): (&TurnId, &u64)| (turn.clone(), Reservation { most: *most, applied: true });
            open.extend(account.open.iter().map(applied));
        }
        for pending in commands {
            match &*pending.command {
                TurnCommand::Begin(other) if account_key(&other.team, &other.program) == key => {
                    if other.turn == begin.turn {
                        continue;
                    }
                    let reservation =
                        open.entry(other.turn.clone()).or_insert(Reservation { most: 0, applied: false });
                    if !reservation.applied {
                        reservation.most = reservation.most.max(other.most);
                    }
                }
                TurnCommand::Finish(finish) if account_key(&finish.team, &finish.program) == key => {
                    if finish.turn == begin.turn {
                        return false;
                    }
                    if open.remove(&finish.turn).is_some() {
                        spent = spent.saturating_add(finish.spent);
                    }
                }
                _ => {}
            }
        }
        let reserved = open.values().fold(0, |sum: u64, reservation| sum.saturating_add(reservation.most));
        let total = spent.saturating_add(reserved).saturating_add(begin.most);
        open.contains_key(&begin.turn) || begin.budget.is_none_or(|budget| total <= budget)
    }
}

/// Memory that a command may add to the retained turns.
fn retained_bytes(command: &TurnCommand) -> usize {
    match command {
        TurnCommand::Begin(Begin { carried, .. }) => {
            carried.iter().map(|turn| turn.text.len() + TURN_OVERHEAD_BYTES).sum()
        }
        TurnCommand::Finish(Finish { kept: Some(kept), .. }) => kept.text.len() + TURN_OVERHEAD_BYTES,
        _ => 0,
    }
}

impl BeginQuery {
    /// Whether the query is about this begin.
    fn names(&self, begin: &Begin) -> bool {
        let same = |left: &Arc<str>, right: &Arc<str>| left == right;
        same(&self.turn, &begin.turn) && same(&self.program, &begin.program) && same(&self.team, &begin.team)
    }
}
