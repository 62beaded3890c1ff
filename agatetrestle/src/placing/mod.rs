//! Placing: which backend server gets a call; see docs/design/006-placing-and-retention.md.

pub mod cost;
pub mod least_load;
pub mod residency;
pub mod sticky;

use std::fmt;
use std::time::Duration;

use crate::scheduler::event::BackendKey;
use crate::scheduler::fleet::Fleet;
use crate::scheduler::fleet::PoolKey;
use crate::scheduler::programs::Place;

/// A call that wants a place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Blocks of its prompt, empty for a service.
    pub blocks: &'a [u64],
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens that the answer is expected to have.
    pub output_tokens: u64,
    /// Tokens that only its program holds.
    pub own_tokens: u64,
    /// Leading tokens that were there before the program's first call.
    pub shared_tokens: u64,
    /// Tokens that may be imported, because this program or its outermost one was once exported.
    pub exported_tokens: u64,
    /// Where its own tokens are.
    pub place: Place,
    /// The server of the program's last call.
    pub last_server: Option<BackendKey>,
    /// The server of the last call of its outermost program.
    pub root_server: Option<BackendKey>,
    /// How long it has waited.
    pub waited: Duration,
}

/// How the program's prefix gets to the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fetch {
    /// It is there, or what is missing is computed.
    None,
    /// It is imported from where it was exported to.
    Import,
    /// It is exported from this server and then imported.
    Move(BackendKey),
}

/// What became of a call that wanted a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// It is sent.
    Send {
        /// Where to.
        to: BackendKey,
        /// How its prefix gets there.
        fetch: Fetch,
    },
    /// It had better wait for this server.
    WaitFor(BackendKey),
    /// No server has room for it.
    NoCapacity,
}

/// Chooses places.
pub trait Placer: fmt::Debug {
    /// Chooses among the open servers of a pool.
    fn place(&mut self, fleet: &Fleet, pool: PoolKey, wanted: &PlacementRequest<'_>) -> Placement;
}
