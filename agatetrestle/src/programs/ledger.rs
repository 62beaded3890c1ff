//! The ledger itself: a pure state machine over programs.

use std::collections::BTreeMap;
use std::sync::Arc;

use snafu::ResultExt;

use crate::agreement::RestoreError;
use crate::agreement::RestoreSnafu;
use crate::agreement::StateMachine;
use crate::agreement::message::Position;
use crate::codec::decode;
use crate::codec::encode;
use crate::ids::ProgramId;
use crate::ids::RequestKey;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramSpec;
use crate::programs::command::ProgramView;
use crate::programs::command::QueryReply;
use crate::programs::command::Refusal;
use crate::programs::program::Begun;
use crate::programs::program::NewCall;
use crate::programs::program::Program;

/// Programs by identity; ordered, so that every replica codes the same snapshot.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ledger {
    programs: BTreeMap<ProgramId, Program>,
}

impl Ledger {
    /// Applies a command; the reply is the same on every replica.
    pub fn execute(&mut self, command: ProgramCommand) -> ProgramReply {
        let outcome = match command {
            ProgramCommand::Open { program, key, spec, at } => self.open(program, key, spec, at),
            command => self.change(command),
        };
        outcome.unwrap_or_else(ProgramReply::Refused)
    }

    fn open(
        &mut self,
        id: ProgramId,
        key: RequestKey,
        spec: ProgramSpec,
        at: u64,
    ) -> Result<ProgramReply, Refusal> {
        if let Some(existing) = self.programs.get(&id) {
            let same = existing.key == key && existing.spec == spec;
            return if same { Ok(ProgramReply::Done(existing.view(&id))) } else { Err(Refusal::Exists) };
        }
        if let Some(parent) = &spec.parent {
            if parent.partner != id.partner {
                return Err(Refusal::NoProgram);
            }
            self.programs.get_mut(parent).ok_or(Refusal::NoProgram)?.adopt(spec.budget)?;
        }
        let program = Program::open(key, spec, at);
        let view = program.view(&id);
        self.programs.insert(id, program);
        Ok(ProgramReply::Done(view))
    }

    fn change(&mut self, command: ProgramCommand) -> Result<ProgramReply, Refusal> {
        let id = command.program().clone();
        let program = self.programs.get_mut(&id).ok_or(Refusal::NoProgram)?;
        match command {
            ProgramCommand::Open { .. } => return Err(Refusal::Exists),
            ProgramCommand::Begin { call, key, attempt, reserve, repeatable, request, digest, .. } => {
                let new = NewCall { number: call, key, attempt, reserve, repeatable, request, digest };
                if let Begun::Earlier(reply) = program.begin(new)? {
                    return Ok(reply);
                }
            }
            ProgramCommand::TakeOver { call, previous, attempt, .. } => {
                program.take_over(call, previous, attempt)?;
            }
            ProgramCommand::Finish { call, attempt, answer, spent, .. } => {
                program.finish(call, attempt, answer, spent)?;
            }
            ProgramCommand::NotRun { call, attempt, .. } => program.not_run(call, attempt)?,
            ProgramCommand::Unknown { call, attempt, .. } => program.doubt(call, attempt)?,
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

    /// Answers a query from the state as it is.
    #[must_use]
    pub fn query(&self, query: &ProgramQuery) -> QueryReply {
        match query {
            ProgramQuery::Program(id) => QueryReply::One(self.one(id)),
            ProgramQuery::Request(id, key) => QueryReply::One(self.request(id, key)),
            ProgramQuery::List(partner, limit) => QueryReply::Many(self.list(partner, *limit as usize)),
        }
    }

    fn one(&self, id: &ProgramId) -> ProgramReply {
        match self.programs.get(id) {
            Some(program) => ProgramReply::Done(program.view(id)),
            None => ProgramReply::Refused(Refusal::NoProgram),
        }
    }

    fn request(&self, id: &ProgramId, key: &RequestKey) -> ProgramReply {
        let found = self.programs.get(id).and_then(|program| program.request(key));
        found.unwrap_or(ProgramReply::Refused(Refusal::NoProgram))
    }

    fn list(&self, partner: &Arc<str>, limit: usize) -> Vec<ProgramView> {
        let first = ProgramId { partner: partner.clone(), name: "".into() };
        let of_partner = self.programs.range(first..).take_while(|(id, _)| id.partner == *partner);
        let mut found: Vec<(&ProgramId, &Program)> = of_partner.collect();
        found.sort_by_key(|(_, program)| std::cmp::Reverse(program.opened_at()));
        found.truncate(limit);
        found.into_iter().map(|(id, program)| program.view(id)).collect()
    }

    /// Programs that have not ended.
    #[must_use]
    pub fn live(&self) -> usize {
        self.programs.values().filter(|program| !program.ended()).count()
    }
}

impl StateMachine for Ledger {
    fn apply(&mut self, _position: Position, payload: &[u8]) -> Vec<u8> {
        let reply = match decode::<ProgramCommand>(payload) {
            Ok(command) => self.execute(command),
            // Every replica fails alike on bytes that a newer build wrote, so they still agree.
            Err(_) => ProgramReply::Refused(Refusal::WrongState),
        };
        encode(&reply)
    }

    fn snapshot(&self) -> Vec<u8> {
        let programs: Vec<(&ProgramId, &Program)> = self.programs.iter().collect();
        encode(&programs)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        let programs: Vec<(ProgramId, Program)> = decode(data).context(RestoreSnafu)?;
        self.programs = programs.into_iter().collect();
        Ok(())
    }
}
