//! Placement of calls on backend servers; see docs/design/006-placing-and-retention.md.

pub mod cost;
pub mod least_load;
pub mod residency;
pub mod sticky;

use std::fmt;
use std::time::Duration;

use crate::scheduler::event::BackendKey;
use crate::scheduler::fleet::Fleet;
use crate::scheduler::fleet::PoolKey;
use crate::scheduler::programs::PrefixLocation;

/// A call to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Block hashes of its prompt, empty for a service call.
    pub blocks: &'a [u64],
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Expected tokens of the response.
    pub output_tokens: u64,
    /// Tokens of the program's prefix that no other program shares.
    pub own_tokens: u64,
    /// Leading tokens that were already cached at the program's first call.
    pub shared_tokens: u64,
    /// Tokens that can be imported, because the prefix of the program or of its root has been exported.
    pub exported_tokens: u64,
    /// Location of the program's own tokens.
    pub prefix_location: PrefixLocation,
    /// Server of the program's last call.
    pub last_server: Option<BackendKey>,
    /// Server of the last call of its root program.
    pub root_server: Option<BackendKey>,
    /// Time since it was submitted.
    pub waited: Duration,
}

/// How the program's prefix is brought to the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fetch {
    /// It is cached, or what is missing is computed.
    None,
    /// It is imported from its export.
    Import,
    /// It is exported from the given server and then imported.
    Move(BackendKey),
}

/// The decision about a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Send it to a server.
    Send {
        /// The server to send it to.
        to: BackendKey,
        /// How its prefix is brought there.
        fetch: Fetch,
    },
    /// Keep it queued until the given server has capacity.
    WaitFor(BackendKey),
    /// No server has capacity for it.
    NoCapacity,
}

/// A placement policy.
pub trait Placer: fmt::Debug {
    /// Places a call on one of the open servers of a pool.
    fn place(&mut self, fleet: &Fleet, pool: PoolKey, request: &PlacementRequest<'_>) -> Placement;
}
