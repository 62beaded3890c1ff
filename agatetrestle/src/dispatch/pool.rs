//! The servers of one service, indexed so that a choice looks at few of them.
//!
//! A node sends to a small part of a large fleet, so the cost of a choice must not grow with the fleet. Candidates are the
//! servers that the node uses already and a window of others, which for requests with an affinity is the same on every
//! node. See docs/design/015-a-fleet-of-a-thousand-vms.md.

use std::collections::BTreeSet;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::dispatch::ServerKey;
use crate::dispatch::server::Server;

/// Servers of a window. A service with fewer servers is always looked at as a whole.
const WINDOW_SERVERS: usize = 64;

/// A server at its place in the order of a pool.
type Place = (u64, ServerKey);

/// The servers of one service.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// All servers, in the order of a hash of their ids, which is the same on every node.
    all: BTreeSet<Place>,
    /// Those in the node's failure domain.
    local: BTreeSet<Place>,
    /// Servers with requests of this node, an open connection or a recent load report.
    in_use: BTreeSet<ServerKey>,
    /// Slots of the servers that accept requests.
    slots: u32,
}

impl Pool {
    /// Adds a server. `is_local` tells whether it is in the node's failure domain.
    pub(super) fn insert(&mut self, key: ServerKey, server: &Server, is_local: bool) {
        let place = place(key, &server.instance.id);
        self.all.insert(place);
        if is_local {
            self.local.insert(place);
        }
        self.slots += accepting_slots(server);
    }

    /// Removes a server, and returns whether it was in use.
    pub(super) fn remove(&mut self, key: ServerKey, server: &Server) -> bool {
        let place = place(key, &server.instance.id);
        self.all.remove(&place);
        self.local.remove(&place);
        self.slots -= accepting_slots(server);
        self.in_use.remove(&key)
    }

    /// Adds a server to those in use.
    pub(super) fn mark_in_use(&mut self, key: ServerKey) {
        self.in_use.insert(key);
    }

    /// Drops the servers that are no longer in use.
    pub(super) fn retain_in_use(&mut self, is_used: impl Fn(ServerKey) -> bool) {
        self.in_use.retain(|key| is_used(*key));
    }

    /// Servers in use.
    pub(super) fn in_use(&self) -> impl Iterator<Item = ServerKey> {
        self.in_use.iter().copied()
    }

    /// All servers.
    pub(super) fn all(&self) -> impl Iterator<Item = ServerKey> {
        self.all.iter().map(|(_, key)| *key)
    }

    /// Slots of the servers that accept requests.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of servers.
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }

    /// Servers to choose from for a position, which is that of the request's prompt if it has one.
    pub(super) fn candidates(&self, position: u64) -> Candidates {
        Candidates {
            local: window(&self.local, position).collect(),
            all: window(&self.all, position).collect(),
            in_use: self.in_use.clone(),
        }
    }
}

/// The servers that a choice looks at.
#[derive(Debug)]
pub(super) struct Candidates {
    /// A window of the servers in the node's failure domain.
    pub(super) local: BTreeSet<ServerKey>,
    /// A window of all servers, the same on every node.
    pub(super) all: BTreeSet<ServerKey>,
    /// Servers in use by this node.
    in_use: BTreeSet<ServerKey>,
}

impl Candidates {
    /// The candidates, each once.
    pub(super) fn keys(&self) -> Vec<ServerKey> {
        let mut keys: BTreeSet<ServerKey> = self.local.union(&self.all).copied().collect();
        keys.extend(&self.in_use);
        keys.into_iter().collect()
    }
}

/// The next servers of an order from a position on, continued at its start.
fn window(order: &BTreeSet<Place>, position: u64) -> impl Iterator<Item = ServerKey> {
    let start = (position, ServerKey::default());
    order.range(start..).chain(order.range(..start)).take(WINDOW_SERVERS).map(|(_, key)| *key)
}

fn place(key: ServerKey, id: &Arc<str>) -> Place {
    (xxh3_64(id.as_bytes()), key)
}

/// Slots of a server, if it accepts requests.
fn accepting_slots(server: &Server) -> u32 {
    if server.listed && !server.instance.leaving { server.instance.slots } else { 0 }
}
