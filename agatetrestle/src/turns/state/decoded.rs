//! Commands that a leader decoded when it proposed them, so that it need not decode them again to apply them.

use std::cell::RefCell;
use std::collections::VecDeque;

use crate::agreement::message::Position;
use crate::turns::command::TimedCommand;

/// Decoded proposals by their position in the log, ascending. They only save work, so they are no part of the state: copies
/// and snapshots have none.
#[derive(Debug, Default)]
pub(super) struct DecodedProposals(RefCell<VecDeque<(Position, TimedCommand)>>);

impl DecodedProposals {
    /// Keeps a proposal until the command at its position is applied. Those of earlier terms are dropped, as some of them
    /// may never be.
    pub(super) fn insert(&self, position: Position, timed: TimedCommand) {
        let mut proposals = self.0.borrow_mut();
        if proposals.back().is_some_and(|(last, _)| last.term != position.term) {
            proposals.clear();
        }
        proposals.push_back((position, timed));
    }

    /// Removes all proposals up to a position that is applied, and returns the one there if it is known. A term has one
    /// leader, so there is no other command at the same index and term.
    pub(super) fn take(&self, applied: Position) -> Option<TimedCommand> {
        let mut proposals = self.0.borrow_mut();
        while let Some((position, timed)) = proposals.pop_front_if(|(first, _)| first.index <= applied.index)
        {
            if position == applied {
                return Some(timed);
            }
        }
        None
    }
}

impl Clone for DecodedProposals {
    fn clone(&self) -> Self {
        Self::default()
    }
}

impl Eq for DecodedProposals {}

impl PartialEq for DecodedProposals {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}
