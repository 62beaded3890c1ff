//! What is decided on, and what is decided.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::ServerKey;

/// A request that wants to be sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Chosen by the driver, unique in the process.
    pub ticket: u64,
    /// The service that it goes to.
    pub service: Arc<str>,
    /// 0 for the most urgent.
    pub priority: u8,
    /// Whether its program has begun, so that turning it away wastes what was done.
    pub started: bool,
    /// Longest wait that is better than to be told to come back; for a program that has not begun.
    pub max_wait: Duration,
    /// When its answer is no longer of use.
    pub deadline: Timestamp,
    /// When its program should be finished; the least time left goes first.
    pub finish_by: Timestamp,
    /// What requests have in common that share a prompt; none where that does not matter.
    pub affinity: Option<u64>,
    /// Servers that must not get it, since they had it before.
    pub excluded: Vec<ServerKey>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send it.
    Send {
        /// The request.
        ticket: u64,
        /// Where to.
        server: ServerKey,
    },
    /// A server gets nothing for a while, since it fails more often than the others.
    Eject {
        /// The server.
        server: ServerKey,
        /// When it is tried again.
        until: Timestamp,
        /// How often requests fail at servers of its service against which nothing speaks.
        failure_rate: f64,
    },
    /// The life of a server behind an address is over: a connection that was kept for it is of no use.
    DropConnections {
        /// The address, which another server may have by now.
        address: SocketAddrV4,
    },
    /// Turn it away; it was not sent.
    Reject {
        /// The request.
        ticket: u64,
        /// When it is worth coming back.
        retry_after: Duration,
        /// Why.
        reason: RejectReason,
    },
}

/// Why a request is turned away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// No server of the service takes requests.
    NoServer,
    /// It would not be answered in time.
    TooLate,
    /// Too many wait.
    QueueFull,
}
