//! State of one program in the ledger: its calls, budget and stored answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::history::RecordLocation;
use crate::ids::AttemptId;
use crate::ids::CallNumber;
use crate::ids::NodeId;
use crate::ids::ProgramId;
use crate::ids::RequestKey;
use crate::programs::command::CallState;
use crate::programs::command::ProgramSpec;
use crate::programs::command::ProgramView;
use crate::programs::command::Refusal;
use crate::programs::command::Repeatable;
use crate::suspects::record::MAX_LOSSES;

/// A call with what is needed to answer a resend of its request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct CallRecord {
    key: RequestKey,
    digest: u64,
    attempt: AttemptId,
    repeatable: Repeatable,
    state: CallState,
    reserve: u64,
    charged: u64,
    request: RecordLocation,
    answer: Option<StoredAnswer>,
    note: Option<Arc<str>>,
    /// Servers that have ended under it, and under earlier calls with the same content.
    #[serde(default)]
    lost_servers: u32,
}

/// Whether so many servers have ended under a request that it is sent to none.
fn is_exhausted(lost_servers: u32) -> bool {
    usize::try_from(lost_servers).is_ok_and(|lost| lost >= MAX_LOSSES)
}

/// An answer whose body is in the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct StoredAnswer {
    pub(super) status: u16,
    pub(super) content_type: Arc<str>,
    pub(super) body: RecordLocation,
}

/// Arguments of `Begin`.
#[derive(Clone, Debug)]
pub(super) struct NewCall {
    pub(super) number: CallNumber,
    pub(super) key: RequestKey,
    pub(super) attempt: AttemptId,
    pub(super) reserve: u64,
    pub(super) repeatable: Repeatable,
    pub(super) digest: u64,
}

/// A program. Calls are numbered from 1 in the order in which they were begun.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct ProgramState {
    pub(super) key: RequestKey,
    pub(super) spec: ProgramSpec,
    opened_at: u64,
    calls: Vec<CallRecord>,
    spent: u64,
    reserved: u64,
    children: u32,
    ended: bool,
    /// Latest attempt of each node that released its call with `NotRun`, as incarnation and sequence, so that a
    /// late duplicate of its `Begin` is refused.
    released: BTreeMap<NodeId, (u64, u64)>,
}

impl ProgramState {
    pub(super) fn open(key: RequestKey, spec: ProgramSpec, opened_at: u64) -> Self {
        Self {
            key,
            spec,
            opened_at,
            calls: Vec::new(),
            spent: 0,
            reserved: 0,
            children: 0,
            ended: false,
            released: BTreeMap::new(),
        }
    }

    pub(super) fn ended(&self) -> bool {
        self.ended
    }

    pub(super) fn opened_at(&self) -> u64 {
        self.opened_at
    }

    fn remaining(&self) -> u64 {
        self.spec.budget - self.spent - self.reserved
    }

    /// Reserves the budget of a new sub-agent.
    pub(super) fn reserve_child(&mut self, budget: u64) -> Result<(), Refusal> {
        if self.ended {
            return Err(Refusal::Ended);
        }
        if budget > self.remaining() {
            return Err(Refusal::Budget { left: self.remaining() });
        }
        self.reserved += budget;
        self.children += 1;
        Ok(())
    }

    /// Releases the reservation of an ended sub-agent and charges what it spent.
    pub(super) fn settle_child(&mut self, budget: u64, spent: u64) {
        self.reserved -= budget;
        self.spent += spent;
        self.children -= 1;
    }

    /// Begins a call; `append_request` appends its request to the history and is called only for a new call.
    pub(super) fn begin(
        &mut self,
        new_call: NewCall,
        append_request: impl FnOnce() -> RecordLocation,
    ) -> Result<BeginOutcome, Refusal> {
        if let Some(index) = self.calls.iter().rposition(|call| call.key == new_call.key) {
            return self.begin_duplicate(index, &new_call);
        }
        if self.ended {
            return Err(Refusal::Ended);
        }
        if self.was_released(new_call.attempt) {
            return Err(Refusal::NotYourAttempt);
        }
        self.check_order(new_call.number)?;
        if self.calls.len() >= self.spec.turns as usize {
            return Err(Refusal::Turns);
        }
        let same_content = self.calls.iter().filter(|call| call.digest == new_call.digest);
        let lost_servers = same_content.map(|call| call.lost_servers).max().unwrap_or(0);
        if is_exhausted(lost_servers) {
            return Err(Refusal::ServersLost);
        }
        self.reserve(new_call.reserve)?;
        self.calls.push(CallRecord {
            key: new_call.key,
            digest: new_call.digest,
            attempt: new_call.attempt,
            repeatable: new_call.repeatable,
            state: CallState::Open,
            reserve: new_call.reserve,
            charged: 0,
            request: append_request(),
            answer: None,
            note: None,
            lost_servers,
        });
        Ok(BeginOutcome::Started)
    }

    fn begin_duplicate(&mut self, index: usize, new_call: &NewCall) -> Result<BeginOutcome, Refusal> {
        let call = &self.calls[index];
        if call.digest != new_call.digest {
            return Err(Refusal::KeyReused);
        }
        match (call.state, &call.answer) {
            (CallState::Finished, Some(answer)) => {
                Ok(BeginOutcome::Duplicate(PriorRequest::Stored(answer.clone())))
            }
            (CallState::Finished, None) => Err(Refusal::WrongState),
            (CallState::Open, _) if call.attempt == new_call.attempt => Ok(BeginOutcome::Started),
            (CallState::Open, _) => Ok(BeginOutcome::Duplicate(PriorRequest::InProgress(call.attempt))),
            (CallState::Unknown, _) => self.reopen(index, new_call),
        }
    }

    /// Reopens the last call if its outcome is unknown and it is repeatable. The reservation of the lost attempt
    /// stays charged.
    fn reopen(&mut self, index: usize, new_call: &NewCall) -> Result<BeginOutcome, Refusal> {
        let call = &self.calls[index];
        let is_last = index + 1 == self.calls.len();
        if call.repeatable == Repeatable::No || !is_last || self.ended || is_exhausted(call.lost_servers) {
            return Ok(BeginOutcome::Duplicate(PriorRequest::InDoubt(call.attempt)));
        }
        if self.was_released(new_call.attempt) {
            return Err(Refusal::NotYourAttempt);
        }
        self.reserve(new_call.reserve)?;
        let call = &mut self.calls[index];
        call.state = CallState::Open;
        call.attempt = new_call.attempt;
        call.reserve = new_call.reserve;
        Ok(BeginOutcome::Started)
    }

    fn check_order(&self, number: CallNumber) -> Result<(), Refusal> {
        let next = self.next_call();
        if number != next {
            return Err(Refusal::OutOfOrder { next });
        }
        match self.calls.last() {
            Some(last) if last.state == CallState::Open => {
                Err(Refusal::CallOpen { call: CallNumber(next.0 - 1) })
            }
            _ => Ok(()),
        }
    }

    fn reserve(&mut self, tokens: u64) -> Result<(), Refusal> {
        if tokens > self.remaining() {
            return Err(Refusal::Budget { left: self.remaining() });
        }
        self.reserved += tokens;
        Ok(())
    }

    fn was_released(&self, attempt: AttemptId) -> bool {
        let released = self.released.get(&attempt.node);
        released.is_some_and(|latest| (attempt.incarnation, attempt.sequence) <= *latest)
    }

    fn next_call(&self) -> CallNumber {
        CallNumber(u32::try_from(self.calls.len()).unwrap_or(u32::MAX - 1) + 1)
    }

    fn call_mut(&mut self, number: CallNumber) -> Result<&mut CallRecord, Refusal> {
        let index = (number.0 as usize).checked_sub(1).ok_or(Refusal::WrongState)?;
        self.calls.get_mut(index).ok_or(Refusal::WrongState)
    }

    pub(super) fn take_over(
        &mut self,
        number: CallNumber,
        previous: AttemptId,
        attempt: AttemptId,
    ) -> Result<(), Refusal> {
        if self.was_released(attempt) {
            return Err(Refusal::NotYourAttempt);
        }
        let call = self.call_mut(number)?;
        if call.state != CallState::Open || call.repeatable == Repeatable::No {
            return Err(Refusal::WrongState);
        }
        if call.attempt == attempt {
            return Ok(());
        }
        if call.attempt != previous {
            return Err(Refusal::NotYourAttempt);
        }
        call.attempt = attempt;
        Ok(())
    }

    /// Stores an answer. A call with an unknown outcome accepts a late answer.
    pub(super) fn finish(
        &mut self,
        number: CallNumber,
        attempt: AttemptId,
        spent: u64,
        store_answer: impl FnOnce() -> StoredAnswer,
    ) -> Result<(), Refusal> {
        let call = self.call_mut(number)?;
        if call.attempt != attempt {
            return Err(Refusal::NotYourAttempt);
        }
        let spent = spent.min(call.reserve);
        let reserve = call.reserve;
        let previous_state = call.state;
        if previous_state == CallState::Finished {
            return Ok(());
        }
        call.state = CallState::Finished;
        call.answer = Some(store_answer());
        call.charged = match previous_state {
            CallState::Unknown => call.charged - reserve + spent,
            CallState::Open | CallState::Finished => call.charged + spent,
        };
        match previous_state {
            CallState::Unknown => self.spent = self.spent - reserve + spent,
            CallState::Open | CallState::Finished => self.settle(reserve, spent),
        }
        Ok(())
    }

    fn settle(&mut self, reserve: u64, spent: u64) {
        self.reserved -= reserve;
        self.spent += spent;
    }

    pub(super) fn not_run(&mut self, number: CallNumber, attempt: AttemptId) -> Result<(), Refusal> {
        if self.was_released(attempt) {
            return Ok(());
        }
        let call = self.call_mut(number)?;
        if call.attempt != attempt {
            return Err(Refusal::NotYourAttempt);
        }
        if call.state != CallState::Open {
            return Err(Refusal::WrongState);
        }
        let reserve = call.reserve;
        let charged = call.charged;
        if charged > 0 {
            // The outcome of an earlier attempt is unknown; only this attempt did not run.
            call.state = CallState::Unknown;
            call.reserve = 0;
        } else {
            self.calls.pop();
        }
        self.reserved -= reserve;
        self.released.insert(attempt.node, (attempt.incarnation, attempt.sequence));
        Ok(())
    }

    /// Marks the outcome of a call as unknown and charges its whole reservation.
    pub(super) fn mark_unknown(
        &mut self,
        number: CallNumber,
        attempt: AttemptId,
        lost_servers: u32,
    ) -> Result<(), Refusal> {
        let call = self.call_mut(number)?;
        if call.attempt != attempt {
            return Err(Refusal::NotYourAttempt);
        }
        match call.state {
            CallState::Unknown => return Ok(()),
            CallState::Finished => return Err(Refusal::WrongState),
            CallState::Open => {}
        }
        call.state = CallState::Unknown;
        call.lost_servers = call.lost_servers.saturating_add(lost_servers);
        call.charged += call.reserve;
        let reserve = call.reserve;
        self.settle(reserve, reserve);
        Ok(())
    }

    pub(super) fn resolve(&mut self, number: CallNumber, ran: bool, note: Arc<str>) -> Result<(), Refusal> {
        let call = self.call_mut(number)?;
        if call.state != CallState::Unknown || call.note.is_some() {
            return Err(Refusal::WrongState);
        }
        call.note = Some(note);
        if ran {
            return Ok(());
        }
        call.lost_servers = 0;
        let refund = std::mem::take(&mut call.charged);
        call.reserve = 0;
        self.spent -= refund;
        Ok(())
    }

    /// Ends the program and returns its parent with the budget and the tokens spent, for settlement.
    pub(super) fn end(&mut self) -> Result<Option<(ProgramId, u64, u64)>, Refusal> {
        if self.ended {
            return Ok(None);
        }
        if self.children > 0 {
            return Err(Refusal::Children);
        }
        if let Some(last) = self.calls.last()
            && last.state == CallState::Open
        {
            return Err(Refusal::CallOpen { call: CallNumber(self.next_call().0 - 1) });
        }
        self.ended = true;
        Ok(self.spec.parent.clone().map(|parent| (parent, self.spec.budget, self.spent)))
    }

    pub(super) fn find_request(&self, key: &RequestKey) -> Option<PriorRequest> {
        let call = self.calls.iter().rev().find(|call| call.key == *key)?;
        match (call.state, &call.answer) {
            (CallState::Finished, answer) => answer.clone().map(PriorRequest::Stored),
            (CallState::Open, _) => Some(PriorRequest::InProgress(call.attempt)),
            (CallState::Unknown, _) => Some(PriorRequest::InDoubt(call.attempt)),
        }
    }

    pub(super) fn view(&self, program: &ProgramId) -> ProgramView {
        let next_call = self.next_call();
        let last = self.calls.last();
        ProgramView {
            program: program.clone(),
            spec: self.spec.clone(),
            next_call,
            spent: self.spent,
            reserved: self.reserved,
            ended: self.ended,
            last: last.map(|c| (CallNumber(next_call.0 - 1), c.state, c.attempt, c.repeatable)),
            opened_at: self.opened_at,
            lost_servers: last.map_or(0, |call| call.lost_servers),
        }
    }
}

/// Outcome of a `Begin` that is not refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum BeginOutcome {
    /// The call is open for the attempt of this command.
    Started,
    /// A request with the same key was begun earlier.
    Duplicate(PriorRequest),
}

/// State of a request that was begun earlier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PriorRequest {
    /// The call finished with this answer.
    Stored(StoredAnswer),
    /// The call is open for this attempt.
    InProgress(AttemptId),
    /// It is unknown whether this attempt ran.
    InDoubt(AttemptId),
}
