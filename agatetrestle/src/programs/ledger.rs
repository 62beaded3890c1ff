//! The replicated state machine of the ledger.

use std::collections::BTreeMap;
use std::sync::Arc;

use log::error;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::agreement::MissingHistorySnafu;
use crate::agreement::RestoreError;
use crate::agreement::StateMachine;
use crate::agreement::UndecodableSnafu;
use crate::agreement::message::Position;
use crate::codec::decode;
use crate::codec::encode;
use crate::history::History;
use crate::history::memory::MemoryHistory;
use crate::ids::ProgramId;
use crate::ids::RequestKey;
use crate::programs::command::Answer;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramSpec;
use crate::programs::command::ProgramView;
use crate::programs::command::QueryReply;
use crate::programs::command::Refusal;
use crate::programs::program::BeginOutcome;
use crate::programs::program::NewCall;
use crate::programs::program::PriorRequest;
use crate::programs::program::ProgramState;
use crate::programs::program::StoredAnswer;

/// Programs in order of their ids, so that every replica encodes the same snapshot. The bodies of requests and
/// answers are in the history.
pub struct LedgerState {
    programs: BTreeMap<ProgramId, ProgramState>,
    history: Box<dyn History>,
}

impl Default for LedgerState {
    fn default() -> Self {
        Self::new(Box::new(MemoryHistory::default()))
    }
}

impl LedgerState {
    /// An empty ledger that appends bodies to `history`.
    #[must_use]
    pub fn new(history: Box<dyn History>) -> Self {
        Self { programs: BTreeMap::new(), history }
    }

    /// Applies a command; the reply is the same on every replica.
    pub fn execute(&mut self, command: ProgramCommand) -> ProgramReply {
        let result = match command {
            ProgramCommand::Open { program, key, spec, at } => self.open(program, key, spec, at),
            command => self.update(command),
        };
        result.unwrap_or_else(ProgramReply::Refused)
    }

    fn open(
        &mut self,
        id: ProgramId,
        key: RequestKey,
        spec: ProgramSpec,
        at: u64,
    ) -> Result<ProgramReply, Refusal> {
        if let Some(existing) = self.programs.get(&id) {
            let is_resend = existing.key == key && existing.spec == spec;
            return if is_resend { Ok(ProgramReply::Done(existing.view(&id))) } else { Err(Refusal::Exists) };
        }
        if let Some(parent) = &spec.parent {
            if parent.partner != id.partner {
                return Err(Refusal::NoProgram);
            }
            self.programs.get_mut(parent).ok_or(Refusal::NoProgram)?.reserve_child(spec.budget)?;
        }
        let program = ProgramState::open(key, spec, at);
        let view = program.view(&id);
        self.programs.insert(id, program);
        Ok(ProgramReply::Done(view))
    }

    fn update(&mut self, command: ProgramCommand) -> Result<ProgramReply, Refusal> {
        let id = command.program().clone();
        let program = self.programs.get_mut(&id).ok_or(Refusal::NoProgram)?;
        let history = &mut self.history;
        match command {
            ProgramCommand::Open { .. } => return Err(Refusal::Exists),
            ProgramCommand::Begin { call, key, attempt, reserve, repeatable, request, digest, .. } => {
                let new_call = NewCall { number: call, key, attempt, reserve, repeatable, digest };
                if let BeginOutcome::Duplicate(prior) =
                    program.begin(new_call, || history.append(&request))?
                {
                    return Ok(self.duplicate_reply(prior));
                }
            }
            ProgramCommand::TakeOver { call, previous, attempt, .. } => {
                program.take_over(call, previous, attempt)?;
            }
            ProgramCommand::Finish { call, attempt, answer, spent, .. } => {
                program.finish(call, attempt, spent, || store_answer(history.as_mut(), answer))?;
            }
            ProgramCommand::NotRun { call, attempt, .. } => program.not_run(call, attempt)?,
            ProgramCommand::Unknown { call, attempt, lost_servers, .. } => {
                program.mark_unknown(call, attempt, lost_servers)?;
            }
            ProgramCommand::Resolve { call, ran, note, .. } => program.resolve(call, ran, note)?,
            ProgramCommand::End { .. } => {
                let settlement = program.end()?;
                let view = program.view(&id);
                self.settle_parent(settlement);
                return Ok(ProgramReply::Done(view));
            }
        }
        Ok(ProgramReply::Done(program.view(&id)))
    }

    fn settle_parent(&mut self, settlement: Option<(ProgramId, u64, u64)>) {
        let Some((parent, budget, spent)) = settlement else {
            return;
        };
        if let Some(parent) = self.programs.get_mut(&parent) {
            parent.settle_child(budget, spent);
        }
    }

    /// Answers a query from the current state.
    #[must_use]
    pub fn query(&self, query: &ProgramQuery) -> QueryReply {
        match query {
            ProgramQuery::Program(id) => QueryReply::One(self.program_view(id)),
            ProgramQuery::Request(id, key) => QueryReply::One(self.request_status(id, key)),
            ProgramQuery::List(partner, limit) => {
                QueryReply::Many(self.list_programs(partner, *limit as usize))
            }
        }
    }

    fn program_view(&self, id: &ProgramId) -> ProgramReply {
        match self.programs.get(id) {
            Some(program) => ProgramReply::Done(program.view(id)),
            None => ProgramReply::Refused(Refusal::NoProgram),
        }
    }

    fn request_status(&self, id: &ProgramId, key: &RequestKey) -> ProgramReply {
        let found = self.programs.get(id).and_then(|program| program.find_request(key));
        found.map_or(ProgramReply::Refused(Refusal::NoProgram), |prior| self.duplicate_reply(prior))
    }

    fn duplicate_reply(&self, prior: PriorRequest) -> ProgramReply {
        match prior {
            PriorRequest::InProgress(attempt) => ProgramReply::InProgress(attempt),
            PriorRequest::InDoubt(attempt) => ProgramReply::InDoubt(attempt),
            PriorRequest::Stored(StoredAnswer { status, content_type, body }) => {
                match self.history.read(body) {
                    Ok(body) => ProgramReply::Stored(Answer { status, content_type, body }),
                    Err(e) => {
                        error!("A stored answer can't be read: {e}.");
                        ProgramReply::Refused(Refusal::HistoryUnreadable)
                    }
                }
            }
        }
    }

    fn list_programs(&self, partner: &Arc<str>, limit: usize) -> Vec<ProgramView> {
        let first = ProgramId { partner: partner.clone(), name: "".into() };
        let of_partner = self.programs.range(first..).take_while(|(id, _)| id.partner == *partner);
        let mut programs: Vec<(&ProgramId, &ProgramState)> = of_partner.collect();
        programs.sort_by_key(|(_, program)| std::cmp::Reverse(program.opened_at()));
        programs.truncate(limit);
        programs.into_iter().map(|(id, program)| program.view(id)).collect()
    }

    /// Number of programs that have not ended.
    #[must_use]
    pub fn live_programs(&self) -> usize {
        self.programs.values().filter(|program| !program.ended()).count()
    }
}

impl StateMachine for LedgerState {
    fn apply(&mut self, _position: Position, payload: &Arc<[u8]>) -> Vec<u8> {
        let reply = match decode::<ProgramCommand>(payload) {
            Ok(command) => self.execute(command),
            // All replicas refuse a command of a newer version alike, so their states stay equal.
            Err(_) => ProgramReply::Refused(Refusal::WrongState),
        };
        encode(&reply)
    }

    fn snapshot(&self) -> Vec<u8> {
        let programs = self.programs.iter().collect();
        encode(&EncodedSnapshot { history_end: self.history.end(), programs })
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        let decoded: DecodedSnapshot = decode(data).context(UndecodableSnafu)?;
        self.history.truncate(decoded.history_end).context(MissingHistorySnafu)?;
        self.programs = decoded.programs.into_iter().collect();
        Ok(())
    }

    fn history(&mut self) -> Option<&mut dyn History> {
        Some(self.history.as_mut())
    }

    fn history_end(&self, data: &[u8]) -> Result<u64, RestoreError> {
        let decoded: DecodedSnapshot = decode(data).context(UndecodableSnafu)?;
        Ok(decoded.history_end)
    }
}

/// The snapshot in its serialized form, with borrowed programs.
#[derive(Serialize)]
struct EncodedSnapshot<'a> {
    history_end: u64,
    programs: Vec<(&'a ProgramId, &'a ProgramState)>,
}

/// A deserialized snapshot.
#[derive(Deserialize)]
struct DecodedSnapshot {
    history_end: u64,
    programs: Vec<(ProgramId, ProgramState)>,
}

fn store_answer(history: &mut dyn History, answer: Answer) -> StoredAnswer {
    let Answer { status, content_type, body } = answer;
    StoredAnswer { status, content_type, body: history.append(&body) }
}
