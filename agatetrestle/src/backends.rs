//! Backend servers as the platform lists them, and changes of that list.

use std::net::SocketAddrV4;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::versioned::Item;
use crate::cluster::versioned::ListChange;

/// One run of a backend server, as listed by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Identifier, which changes with each restart unless `born` does.
    pub id: Arc<str>,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Version of its software; empty if the platform reports none. Versions have no order.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub version: Arc<str>,
    /// Listening address, which may be reused by another instance later.
    pub address: SocketAddrV4,
    /// Failure domain that it is in.
    pub zone: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to shut down.
    pub leaving: bool,
    /// Start time in Unix milliseconds, if the platform reports it. Compared only between instances with the same id,
    /// never with the local clock.
    pub born: Option<u64>,
}

impl Instance {
    /// Whether this instance started after another one with the same id.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.born > other.born
    }
}

impl Item for Instance {
    type Key = Arc<str>;

    fn key(&self) -> Arc<str> {
        self.id.clone()
    }
}

/// A change of the list of backend servers.
pub type BackendChange = ListChange<Arc<str>, Instance>;
