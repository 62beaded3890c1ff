//! Commands about turns and their replies.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::codec::Blob;

/// Name of a turn: the attempt of a caller that it was the answer to.
pub type TurnName = Arc<str>;

/// A change to the turns of one program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TurnCommand {
    /// Reserve the tokens of a turn and tell what it goes on from. Handing it over again changes nothing.
    Begin(Begin),
    /// Settle a turn that ended, whole or not. Handing it over again changes nothing.
    Finish(Finish),
}

/// What [`TurnCommand::Begin`] says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Begin {
    /// The program.
    pub program: Arc<str>,
    /// The turn that begins.
    pub turn: TurnName,
    /// Tokens that all turns of the program may generate; none where the program has no budget.
    pub budget: Option<u64>,
    /// Most tokens that this turn generates.
    pub most: u64,
    /// The turn that it goes on from.
    pub previous: Option<TurnName>,
    /// Wall-clock milliseconds since 1970 on the proposing node, by which old turns are forgotten.
    pub at: u64,
}

/// What [`TurnCommand::Finish`] says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finish {
    /// The program.
    pub program: Arc<str>,
    /// The turn that ended.
    pub turn: TurnName,
    /// Tokens that were handed to the caller.
    pub spent: u64,
    /// What is kept, for a turn that ended whole on a route that keeps turns.
    pub kept: Option<Kept>,
    /// As in [`Begin::at`].
    pub at: u64,
}

/// A turn that others may go on from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Kept {
    /// The turn that it went on from.
    pub previous: Option<TurnName>,
    /// What the caller sent, and what was generated.
    pub text: Blob,
    /// For how many milliseconds it is kept.
    pub retention: u64,
}

/// Reply to a command about turns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TurnReply {
    /// The turn may run; everything that it goes on from, oldest first.
    Begun {
        /// One text for each earlier turn.
        chain: Vec<Blob>,
    },
    /// The budget does not hold the turn, which must not run.
    Spent,
    /// There is no such previous turn.
    NoSuchTurn,
    /// The turn is settled.
    Settled,
    /// The state has no room for more turns; nothing was changed.
    Full,
    /// The command could not be read.
    Refused,
}
