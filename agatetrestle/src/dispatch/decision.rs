//! Requests to dispatch and the decisions about them.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::ServerKey;

/// A request to dispatch.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier assigned by the driver, unique in the process.
    pub ticket: u64,
    /// Service that it is addressed to.
    pub service: Arc<str>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Whether its program has already started, so that a rejection wastes completed work.
    pub started: bool,
    /// Longest expected wait with which it is accepted, unless its program has started.
    pub max_wait: Duration,
    /// When the caller stops waiting for the response.
    pub deadline: Timestamp,
    /// When its program should be finished; earlier ones are dispatched first.
    pub finish_by: Timestamp,
    /// Hash of the prompt prefix that it shares with other requests, if cached prompts matter to its service.
    pub affinity: Option<u64>,
    /// Software version that its server must have, if it resumes a stream.
    pub version: Option<Arc<str>>,
    /// Servers that have already received it and must not receive it again.
    pub excluded: Vec<ServerKey>,
    /// Whether servers have ended under it, so that it should take as little with it as possible if another one does.
    pub isolated: bool,
    /// What indicates how long it takes.
    pub profile: RequestProfile,
}

impl Request {
    /// Whether every server of its service may have it.
    #[must_use]
    pub fn accepts_any_server(&self) -> bool {
        self.excluded.is_empty() && self.version.is_none()
    }
}

/// What indicates how long a request takes, as far as its caller declares it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestProfile {
    /// Hash of the route's name. Requests of unknown size are expected to take as long as others of their route.
    pub route: u64,
    /// Tokens of the prompt, those of earlier turns included.
    pub prompt_tokens: Option<u64>,
    /// Limit on the generated tokens.
    pub max_tokens: Option<u64>,
    /// Hash and tokens of a prefix of the prompt that requests of other programs have too.
    pub shared_prefix: Option<(u64, u64)>,
}

/// What was observed of the run of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunProgress {
    /// Time from sending the request to the start of its response.
    pub first_byte: Option<Duration>,
    /// Tokens that the response has brought.
    pub generated_tokens: u64,
}

/// An action for the driver to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send a request.
    Send {
        /// The request's identifier.
        ticket: u64,
        /// The server to send it to.
        server: ServerKey,
    },
    /// Report that a server is ejected because it fails more often than the others of its service.
    Eject {
        /// The ejected server.
        server: ServerKey,
        /// End of the ejection.
        until: Timestamp,
        /// Failure rate of the healthy servers of its service.
        failure_rate: f64,
    },
    /// Drop the idle connections to an address, because the instance that listened there has ended.
    DropConnections {
        /// The address, which another instance may have taken over.
        address: SocketAddrV4,
    },
    /// Reject a request that was not sent.
    Reject {
        /// The request's identifier.
        ticket: u64,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
        /// Why it is rejected.
        reason: RejectReason,
    },
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// No server of the service accepts requests.
    NoServer,
    /// The response would miss the deadline, or the wait would exceed the request's maximum.
    TooLate,
    /// The queue of the service is full.
    QueueFull,
}
