//! What a leader that is short of processor time refuses first.
//!
//! A program that has begun has cost servers time already, and its finishes free what it holds. A leader therefore refuses
//! programs that would begin while there is still room for the turns of those that run; see
//! docs/design/024-overload-of-the-leader.md.

use crate::agreement::ALL_PROPOSALS;
use crate::turns::admission::starts_program;
use crate::turns::command::TurnCommand;
use crate::turns::state::TurnState;

/// Percent of the limits of the log, as the longest wait for a commit, at which no program begins.
pub const NEW_PROGRAM_TOLERANCE: u32 = 50;
/// The same for early answers, which save a caller the wait for the commit and cost the leader a request.
pub const EARLY_ANSWER_TOLERANCE: u32 = 50;

/// Percent of the limits of the log at which a command is refused.
#[must_use]
pub fn tolerance(command: &TurnCommand, state: &TurnState) -> u32 {
    match command {
        TurnCommand::Begin(begin) if starts_program(state, begin) => NEW_PROGRAM_TOLERANCE,
        _ => ALL_PROPOSALS,
    }
}
