//! What a platform's adapter translates: names and formats on the wire into these types and back.
//!
//! Nothing behind this border decides, waits or retries.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Method;
use http::Uri;
use snafu::Snafu;

use crate::cluster::message::DrainStatus;
use crate::dispatch::Instance;
use crate::dispatch::ServerLoad;
use crate::routing::ApiKey;
use crate::routing::InvalidTable;
use crate::routing::RouteTable;

/// What a request says beside its route and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Identity of this attempt of the caller; another one for each.
    pub attempt_id: Option<Arc<str>>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The program that the request is a part of.
    pub program: Option<Arc<str>>,
    /// Time left until the program should be finished.
    pub finish_in: Option<Duration>,
    /// Tokens that all turns of the program may generate.
    pub token_budget: Option<u64>,
    /// Most tokens that this turn generates.
    pub max_tokens: Option<u64>,
    /// The turn that it goes on from.
    pub previous_turn: Option<Arc<str>>,
    /// Key of the caller's team.
    pub key: Option<ApiKey>,
    /// Stands for the line of turns or prompt that the request shares with others.
    pub affinity: Option<u64>,
}

/// What a request to a backend server says beside what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHead<'a> {
    /// How long the answer is still of use.
    pub time_left: Duration,
    /// The instance that must answer.
    pub instance: &'a str,
    /// Rank, 0 for the most urgent.
    pub priority: u8,
    /// The team whose request it is.
    pub team: Option<&'a str>,
}

/// What the head of an answer says beside its status.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// The attempt that it answers.
    pub attempt_id: Option<Arc<str>>,
    /// Whether a backend server signed it.
    pub signed: bool,
    /// Whether the backend server says that it did not run the request.
    pub not_run: bool,
    /// Load of the server by all nodes.
    pub load: Option<ServerLoad>,
}

/// A call of an operator.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Put a table of routes in force.
    PublishRoutes(Arc<str>),
    /// Tell the table in force.
    ReadRoutes,
    /// Empty a store's VM.
    Drain(Arc<str>),
    /// Tell how far that is.
    DrainStatus(Arc<str>),
}

/// A caller's question which address to use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Lookup {
    /// The caller's failure domain.
    pub zone: Arc<str>,
}

/// One page of the platform's list of backend servers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InstancePage {
    /// What it lists.
    pub instances: Vec<Instance>,
    /// Entries that name no server to use, since they can't be read.
    pub malformed: usize,
    /// Names the page after it.
    pub next_page: Option<Arc<str>>,
}

/// Bytes of the platform that can't be read.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{reason}"))]
pub struct ParseError {
    /// What was expected, and where.
    pub reason: Arc<str>,
}

/// The platform's names and formats.
pub trait WireFormat {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a field can't be read.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, ParseError>;

    /// Makes the headers of a caller's request those of a request to a backend server: drops what only the system
    /// may say and what concerns one connection alone, then adds what the system says.
    fn write_forwarded(&self, headers: &mut HeaderMap, send: ForwardHead<'_>);

    /// Reads the head of a backend server's answer.
    fn read_response(&self, headers: &HeaderMap) -> ResponseHead;

    /// Reads a table of routes.
    ///
    /// # Errors
    ///
    /// Says what makes it unusable.
    fn read_table(&self, text: &[u8]) -> Result<RouteTable, InvalidTable>;

    /// Reads a call of an operator; none if there is no such call.
    fn read_operator_request(&self, method: &Method, path: &str, body: &[u8]) -> Option<OperatorRequest>;

    /// Writes how far the emptying of a VM is.
    fn write_drain_status(&self, emptying: DrainStatus) -> Vec<u8>;

    /// Reads a caller's question for addresses; none if it is none.
    fn read_lookup(&self, uri: &Uri) -> Option<Lookup>;

    /// Writes the addresses and for how long they may be kept.
    fn write_addresses(&self, addresses: &[SocketAddrV4], max_age: Duration) -> Vec<u8>;

    /// Whether this asks if an entry takes requests.
    fn is_readiness_probe(&self, uri: &Uri) -> bool;

    /// Path and query of a page of the list of backend servers.
    fn instances_path(&self, page: Option<&str>) -> String;

    /// Reads a page of the list of backend servers.
    ///
    /// # Errors
    ///
    /// Fails if it is no such page.
    fn read_instances(&self, body: &[u8]) -> Result<InstancePage, ParseError>;
}
