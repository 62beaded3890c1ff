//! What this node remembers of the programs that it serves, so that a call can be queued, and turned away,
//! before anything is committed for it. The ledger decides again when the call begins.

use std::cell::RefCell;
use std::collections::HashMap;

use crate::entry::record::Base;
use crate::ids::ProgramId;
use crate::programs::command::ProgramView;

/// Programs kept at hand, so that memory stays bounded.
const KEPT: usize = 10_000;

/// A program as last seen.
#[derive(Clone, Debug)]
pub struct Known {
    /// What the ledger said.
    pub view: ProgramView,
    /// The outermost program of which it is a sub-agent, or the program itself.
    pub root: ProgramId,
    /// Wall-clock milliseconds since 1970 of its newest answer here, 0 for none.
    pub answered_at: u64,
    /// Its newest model call that was answered here, which the next may continue.
    pub base: Option<Base>,
}

/// The programs that this node served lately.
#[derive(Debug, Default)]
pub struct KnownPrograms {
    programs: RefCell<HashMap<ProgramId, Known>>,
}

impl KnownPrograms {
    /// A program, if it is at hand.
    pub fn get(&self, program: &ProgramId) -> Option<Known> {
        self.programs.borrow().get(program).cloned()
    }

    /// Remembers a program with its outermost one.
    pub fn learn(&self, view: &ProgramView, root: ProgramId) {
        let mut programs = self.programs.borrow_mut();
        if programs.len() >= KEPT && !programs.contains_key(&view.program) {
            programs.clear();
        }
        let before = programs.remove(&view.program);
        let answered_at = before.as_ref().map_or(0, |known| known.answered_at);
        let base = before.and_then(|known| known.base);
        programs.insert(view.program.clone(), Known { view: view.clone(), root, answered_at, base });
    }

    /// Takes in what the ledger says now of a program that is at hand.
    pub fn refresh(&self, view: &ProgramView) {
        if let Some(known) = self.programs.borrow_mut().get_mut(&view.program) {
            known.view = view.clone();
        }
    }

    /// Notes when a program got an answer, in wall-clock milliseconds since 1970, and what the next call may
    /// continue if it was a model call.
    pub fn answered(&self, program: &ProgramId, at: u64, base: Option<Base>) {
        if let Some(known) = self.programs.borrow_mut().get_mut(program) {
            known.answered_at = at;
            known.base = base.or(known.base.take());
        }
    }

    /// Forgets a program and returns what was known.
    pub fn forget(&self, program: &ProgramId) -> Option<Known> {
        self.programs.borrow_mut().remove(program)
    }
}
