//! Commands that a leader has proposed and not applied yet, and the reply to a begin that they leave certain.
//!
//! A leader that rules out every other one knows the commands before its newest proposal. It can therefore tell before the
//! commit that a turn will begin; see docs/design/020-commit-latency.md.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::collections::hash_map::Entry;
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

/// What a leader's proposals of a term add up to.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    elapsed: Duration,
    /// Memory that the commands may add to the retained turns.
    retained_bytes: usize,
}

impl Totals {
    fn plus(self, elapsed: Duration, command: &TurnCommand) -> Self {
        let retained_bytes = self.retained_bytes + retained_bytes(command);
        Self { elapsed: self.elapsed + elapsed, retained_bytes }
    }

    fn since(self, earlier: Self) -> Self {
        let retained_bytes = self.retained_bytes - earlier.retained_bytes;
        Self { elapsed: self.elapsed.saturating_sub(earlier.elapsed), retained_bytes }
    }
}

#[derive(Debug)]
struct PendingCommand {
    index: u64,
    /// Key of the account that it changes, if any.
    account: Option<Arc<str>>,
    /// Sums up to this command.
    totals: Totals,
    command: Rc<TurnCommand>,
}

/// Proposals of one term that the state machine has not applied, in log order.
///
/// A query looks at the commands of its own program only: thousands of commands may be pending when the leader is
/// overloaded, and each turn is queried; see docs/incidents/008-a-leader-that-its-callers-keep-overloaded.md.
#[derive(Debug, Default)]
pub struct PendingCommands {
    term: u64,
    commands: VecDeque<PendingCommand>,
    /// Commands of this term that were dropped, which is the number of the first pending one.
    dropped: u64,
    /// Sums up to the last command that was dropped.
    dropped_totals: Totals,
    /// Numbers of the pending commands that change an account, ascending.
    by_account: HashMap<Arc<str>, VecDeque<u64>>,
}

impl PendingCommands {
    /// Drops the commands that are applied, or all if the term has changed.
    pub fn advance(&mut self, progress: LogProgress) {
        if self.term != progress.term {
            *self = Self { term: progress.term, ..Self::default() };
        }
        while let Some(pending) = self.commands.pop_front_if(|pending| pending.index <= progress.applied) {
            self.dropped += 1;
            self.dropped_totals = pending.totals;
            if let Some(account) = pending.account
                && let Entry::Occupied(mut numbers) = self.by_account.entry(account)
            {
                numbers.get_mut().pop_front();
                if numbers.get().is_empty() {
                    numbers.remove();
                }
            }
        }
    }

    /// Records a command that was appended at the end of the log.
    pub fn push(&mut self, progress: LogProgress, elapsed: Duration, command: Rc<TurnCommand>) {
        self.advance(progress);
        if progress.last <= progress.applied {
            return;
        }
        let account = changed_account(&command);
        if let Some(account) = &account {
            let number = self.dropped + self.commands.len() as u64;
            self.by_account.entry(account.clone()).or_default().push_back(number);
        }
        let before = self.commands.back().map_or(self.dropped_totals, |pending| pending.totals);
        let totals = before.plus(elapsed, &command);
        self.commands.push_back(PendingCommand { index: progress.last, account, totals, command });
    }

    /// Whether a begin is recorded and may not be applied.
    #[must_use]
    pub fn contains(&self, query: &BeginQuery) -> bool {
        self.of_account(&query.account_key()).any(|pending| query.is_about(&pending.command))
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
        let key = query.account_key();
        let mut about_turn = self.of_account(&key).filter(|pending| query.is_about(&pending.command));
        let queried = about_turn.next()?;
        if about_turn.next().is_some() {
            return None;
        }
        let TurnCommand::Begin(begin) = &*queried.command else {
            return None;
        };
        let of_account = self.of_account(&key).take_while(|pending| pending.index <= queried.index);
        let added = queried.totals.since(self.dropped_totals);
        state.certain_chain(begin, &key, added, of_account.map(|pending| &*pending.command))
    }

    /// Pending commands that change an account, in log order.
    fn of_account(&self, key: &Arc<str>) -> impl Iterator<Item = &PendingCommand> {
        let numbers = self.by_account.get(key);
        let position = |number: &u64| usize::try_from(number - self.dropped).ok();
        let positions = numbers.into_iter().flatten().filter_map(position);
        positions.filter_map(|position| self.commands.get(position)).inspect(|_| count_examined())
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
    /// The chain of a begin that is the last of the pending commands, if all of them together leave no doubt that it is
    /// granted. `added` sums up all of them, and `of_account` are those that change the account of the begin, whose key is `key`.
    fn certain_chain<'a>(
        &self,
        begin: &Begin,
        key: &Arc<str>,
        added: Totals,
        of_account: impl Iterator<Item = &'a TurnCommand>,
    ) -> Option<Vec<Blob>> {
        if !begin.carried.is_empty() {
            return None;
        }
        let now = self.now.saturating_add(u64::try_from(added.elapsed.as_millis()).unwrap_or(u64::MAX));
        let chain = self.chain_until(begin, now)?;
        if self.is_full(added.retained_bytes) {
            return None;
        }
        self.fits_budget(begin, key, now, of_account).then_some(chain)
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
        key: &Arc<str>,
        now: u64,
        of_account: impl Iterator<Item = &'a TurnCommand>,
    ) -> bool {
        let mut spent = 0_u64;
        let mut open: HashMap<TurnId, Reservation> = HashMap::new();
        if let Some(account) = self.accounts.get(key) {
            // An expired account forgets its open turns, so a repeated begin would be a new one.
            if account.last_used.saturating_add(ACCOUNT_EXPIRY_MS) < now {
                return false;
            }
            spent = account.spent;
            let applied =
                |(turn, most): (&TurnId, &u64)| (turn.clone(), Reservation { most: *most, applied: true });
            open.extend(account.open.iter().map(applied));
        }
        for command in of_account {
            match command {
                TurnCommand::Begin(other) => {
                    if other.turn == begin.turn {
                        continue;
                    }
                    let reservation =
                        open.entry(other.turn.clone()).or_insert(Reservation { most: 0, applied: false });
                    if !reservation.applied {
                        reservation.most = reservation.most.max(other.most);
                    }
                }
                TurnCommand::Finish(finish) => {
                    if finish.turn == begin.turn {
                        return false;
                    }
                    if open.remove(&finish.turn).is_some() {
                        spent = spent.saturating_add(finish.spent);
                    }
                }
                TurnCommand::Chain(_)
                | TurnCommand::Take(_)
                | TurnCommand::RecordStream(_)
                | TurnCommand::ReadStream(_)
                | TurnCommand::RecordEvents(_)
                | TurnCommand::ReadEvents(_)
                | TurnCommand::Suspect(_) => {}
            }
        }
        let reserved = open.values().fold(0, |sum: u64, reservation| sum.saturating_add(reservation.most));
        let total = spent.saturating_add(reserved).saturating_add(begin.most);
        open.contains_key(&begin.turn) || begin.budget.is_none_or(|budget| total <= budget)
    }
}

/// Key of the account that a command changes, if any.
fn changed_account(command: &TurnCommand) -> Option<Arc<str>> {
    match command {
        TurnCommand::Begin(begin) => Some(account_key(&begin.team, &begin.program)),
        TurnCommand::Finish(finish) => Some(account_key(&finish.team, &finish.program)),
        TurnCommand::Chain(_)
        | TurnCommand::Take(_)
        | TurnCommand::RecordStream(_)
        | TurnCommand::ReadStream(_)
        | TurnCommand::RecordEvents(_)
        | TurnCommand::ReadEvents(_)
        | TurnCommand::Suspect(_) => None,
    }
}

/// Memory that a command may add to the retained turns.
fn retained_bytes(command: &TurnCommand) -> usize {
    match command {
        TurnCommand::Begin(Begin { carried, .. }) => {
            carried.iter().map(|turn| turn.text.len() + TURN_OVERHEAD_BYTES).sum()
        }
        TurnCommand::Finish(Finish { kept: Some(kept), .. }) => kept.text.len() + TURN_OVERHEAD_BYTES,
        TurnCommand::RecordEvents(record) => record.bytes(),
        _ => 0,
    }
}

impl BeginQuery {
    fn account_key(&self) -> Arc<str> {
        account_key(&self.team, &self.program)
    }

    /// Whether a command is the begin that the query names.
    fn is_about(&self, command: &TurnCommand) -> bool {
        match command {
            TurnCommand::Begin(begin) => {
                self.turn == begin.turn && self.program == begin.program && self.team == begin.team
            }
            _ => false,
        }
    }
}

#[cfg(test)]
thread_local! {
    static EXAMINED: std::cell::Cell<usize> = const { std::cell::Cell::new(0) };
}

/// Pending commands that queries on this thread have looked at so far.
#[cfg(test)]
pub(crate) fn examined_commands() -> usize {
    EXAMINED.get()
}

#[cfg(test)]
fn count_examined() {
    EXAMINED.set(EXAMINED.get() + 1);
}

/// Counts only in tests.
#[cfg(not(test))]
fn count_examined() {}
