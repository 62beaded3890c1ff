//! Declarations of the partners' teams, program classes, services, models and backend servers.
//!
//! Each partner owns one document, and a document named `shared` holds what several partners use. Documents are versioned
//! separately, so that changes of different partners never conflict; see
//! docs/design/003-configuration-versions-and-lease.md.

mod check;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use snafu::ResultExt;

use crate::check::Checker;
use crate::error::ConfigError;
use crate::error::ParseSnafu;
use crate::units::DurationText;
use crate::units::SizeText;

/// Version of the document format that this build reads.
pub const FORMAT_VERSION: u32 = 1;

/// Name of the document that holds what all partners share.
pub const SHARED_SCOPE: &str = "shared";

/// One document, a partner's or the shared one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Declarations {
    /// Version of the document format, always [`FORMAT_VERSION`].
    pub format: u32,
    /// Share of each partner in the capacity, relative to the others; only in the shared document.
    pub shares: BTreeMap<Arc<str>, u32>,
    /// Teams by name; only in a partner's document.
    pub teams: BTreeMap<Arc<str>, Team>,
    /// Classes of programs by name; only in a partner's document.
    pub classes: BTreeMap<Arc<str>, Class>,
    /// Tool services and plain services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Models by name.
    pub models: BTreeMap<Arc<str>, Model>,
    /// Backend servers by name.
    pub backend_servers: BTreeMap<Arc<str>, BackendServer>,
    /// The weight store from which engines load models; only in the shared document.
    pub weight_store: Option<WeightStore>,
}

/// A team of a partner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Scheduling weight among the teams of the partner.
    #[serde(default = "one")]
    pub weight: u32,
    /// Maximum number of programs of the team that may be live at once.
    #[serde(default = "unbounded")]
    pub live_programs: u32,
}

/// A class of programs with its priority and limits.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Priority; higher values are scheduled first.
    pub priority: u8,
    /// Maximum budget of one program, in tokens.
    pub budget: u64,
    /// Maximum number of calls of one program.
    #[serde(default = "default_turns")]
    pub turns: u32,
    /// Target time from the first call to the final answer.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
    pub deadline: Option<Duration>,
    /// Time without a call after which the cache of the program is released.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_keepalive")]
    pub keepalive: Duration,
}

/// A tool service or plain service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether calls may be retried; a caller may forbid retries of its call, but not allow them.
    #[serde(default)]
    pub repeatable: bool,
    /// Time within which a call must make progress.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_service_timeout")]
    pub timeout: Duration,
}

/// A model that engines serve.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Size of the weights in bytes, used to pace loads.
    #[serde_as(as = "SizeText")]
    pub weights: u64,
}

/// Kind of a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A replica of a service.
    Service,
}

/// One backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Engine or service replica.
    pub kind: BackendKind,
    /// IP address and port.
    pub address: SocketAddr,
    /// Name of the model or service that it serves.
    pub serves: Arc<str>,
    /// Name of its VM in the platform's list.
    pub vm: Arc<str>,
    /// Failure domain of its VM.
    pub failure_domain: Arc<str>,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether a service replica reports its load; engines always report theirs.
    #[serde(default)]
    pub reports_load: bool,
    /// Size of the prefix cache of an engine, in tokens.
    #[serde(default)]
    pub cache_tokens: u64,
    /// Number of requests that it runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// Limit of the weight store.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Maximum total rate of all loads, in bytes per second.
    #[serde_as(as = "SizeText")]
    pub rate: u64,
}

fn one() -> u32 {
    1
}

fn unbounded() -> u32 {
    u32::MAX
}

fn default_turns() -> u32 {
    580
}

fn default_slots() -> u32 {
    16
}

fn default_keepalive() -> Duration {
    Duration::from_mins(5)
}

fn default_service_timeout() -> Duration {
    Duration::from_secs(10)
}

impl Declarations {
    /// Parses and validates a document that is to be applied; `scope` is the partner's name or [`SHARED_SCOPE`].
    ///
    /// # Errors
    ///
    /// Fails on an unknown key, an invalid value or another version of the document format.
    pub fn parse(scope: &str, text: &str) -> Result<Self, ConfigError> {
        Self::parse_with_shared(scope, text, None)
    }

    /// Does the same as [`Declarations::parse`] and also rejects a backend server whose model or service neither this
    /// nor the shared document declares.
    ///
    /// # Errors
    ///
    /// Fails as [`Declarations::parse`] does.
    pub fn parse_with_shared(scope: &str, text: &str, shared: Option<&Self>) -> Result<Self, ConfigError> {
        let document = Self::parse_unchecked(scope, text)?;
        check::check(Checker { origin: scope, text }, &document, shared)?;
        Ok(document)
    }

    /// Parses a document that was accepted earlier, without validation: a check that a newer version adds must not
    /// invalidate a stored document.
    ///
    /// # Errors
    ///
    /// Fails if the text doesn't match the schema of a document.
    pub fn parse_unchecked(scope: &str, text: &str) -> Result<Self, ConfigError> {
        serde_norway::from_str(text).context(ParseSnafu { origin: scope })
    }
}

#[cfg(test)]
mod tests;
