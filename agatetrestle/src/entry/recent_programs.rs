//! Cache of recently served programs, so that a call can be queued or refused before anything is committed for
//! it. The ledger checks the call again when it begins.

use std::cell::RefCell;
use std::collections::HashMap;

use crate::entry::request_delta::BaseCall;
use crate::ids::ProgramId;
use crate::programs::command::ProgramView;

const MAX_RECENT_PROGRAMS: usize = 10_000;

/// A cached program, which may be out of date.
#[derive(Clone, Debug)]
pub struct RecentProgram {
    /// The program as last returned by the ledger.
    pub view: ProgramView,
    /// Its outermost ancestor, or the program itself.
    pub root: ProgramId,
    /// Wall-clock milliseconds since 1970 of the last answer on this node, 0 for none.
    pub answered_at: u64,
    /// The last model call answered on this node, which the next one may continue.
    pub base: Option<BaseCall>,
}

/// Programs by id; all of them are dropped when the limit is reached.
#[derive(Debug, Default)]
pub struct RecentPrograms {
    programs: RefCell<HashMap<ProgramId, RecentProgram>>,
}

impl RecentPrograms {
    /// A copy of the cached program.
    pub fn get(&self, program: &ProgramId) -> Option<RecentProgram> {
        self.programs.borrow().get(program).cloned()
    }

    /// Adds a program, or updates it and keeps its last answer.
    pub fn insert(&self, view: &ProgramView, root: ProgramId) {
        let mut programs = self.programs.borrow_mut();
        if programs.len() >= MAX_RECENT_PROGRAMS && !programs.contains_key(&view.program) {
            programs.clear();
        }
        let previous = programs.remove(&view.program);
        let answered_at = previous.as_ref().map_or(0, |program| program.answered_at);
        let base = previous.and_then(|program| program.base);
        programs.insert(view.program.clone(), RecentProgram { view: view.clone(), root, answered_at, base });
    }

    /// Replaces the view of a program if it is cached.
    pub fn update(&self, view: &ProgramView) {
        if let Some(program) = self.programs.borrow_mut().get_mut(&view.program) {
            program.view = view.clone();
        }
    }

    /// Records the time of an answer, in wall-clock milliseconds since 1970, and the call that the next one may
    /// continue if it was a model call.
    pub fn record_answer(&self, program: &ProgramId, answered_at: u64, base: Option<BaseCall>) {
        if let Some(program) = self.programs.borrow_mut().get_mut(program) {
            program.answered_at = answered_at;
            program.base = base.or(program.base.take());
        }
    }

    /// Removes and returns a program.
    pub fn remove(&self, program: &ProgramId) -> Option<RecentProgram> {
        self.programs.borrow_mut().remove(program)
    }
}
