//! Declarations: what the partners run, what they may use, and with which priority.
//!
//! Each partner owns one document, and one document named `shared` holds what both use. A document
//! has a version of its own, so that partners never race each other; see
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
pub const FORMAT: u32 = 1;

/// Name of the document for what all partners share.
pub const SHARED_SCOPE: &str = "shared";

/// One document, either a partner's or the shared one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Declarations {
    /// Version of the document format, always [`FORMAT`].
    pub format: u32,
    /// Share of the pool relative to other partners; only the shared document may set it.
    pub shares: BTreeMap<Arc<str>, u32>,
    /// Teams by name.
    pub teams: BTreeMap<Arc<str>, Team>,
    /// Kinds of program by name.
    pub classes: BTreeMap<Arc<str>, Class>,
    /// Tool services and plain services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Models by name.
    pub models: BTreeMap<Arc<str>, Model>,
    /// Backend servers by name.
    pub backend_servers: BTreeMap<Arc<str>, BackendServer>,
    /// The weight store from which engines load models.
    pub weight_store: Option<WeightStore>,
}

/// A team of a partner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight among the teams of the partner.
    #[serde(default = "one")]
    pub weight: u32,
    /// Most programs of the team that may be live at once.
    #[serde(default = "unbounded")]
    pub live_programs: u32,
}

/// A kind of program with its priority and bounds.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Higher goes first.
    pub priority: u8,
    /// Largest budget of one program, in tokens.
    pub budget: u64,
    /// Most calls of one program.
    #[serde(default = "default_turns")]
    pub turns: u32,
    /// Time from first call to final answer that operators wish for.
    #[serde_as(as = "Option<DurationText>")]
    #[serde(default)]
    pub deadline: Option<Duration>,
    /// Time without a call after which cache of the program is released.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_keepalive")]
    pub keepalive: Duration,
}

/// A tool service or plain service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether calls may be repeated; a caller may ask for the stricter rule, never for the looser.
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
    /// Size of the weights, for pacing loads.
    #[serde_as(as = "SizeText")]
    pub weights: u64,
}

/// What a backend server is.
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
    /// IP number and port.
    pub address: SocketAddr,
    /// The model or service it serves.
    pub serves: Arc<str>,
    /// Name of the VM it runs on, as the platform's list gives it.
    pub vm: Arc<str>,
    /// Failure domain it runs in.
    pub failure_domain: Arc<str>,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether a service replica reports its load; engines always do.
    #[serde(default)]
    pub reports_load: bool,
    /// Prefix cache of an engine, in tokens.
    #[serde(default)]
    pub cache_tokens: u64,
    /// Requests it takes at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

/// The weight store's limit.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Bytes a second that all loads together may take.
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
    /// Reads and checks one document that is to be applied; `scope` is the partner's name or
    /// [`SHARED_SCOPE`].
    ///
    /// # Errors
    ///
    /// Fails on an unknown key, a wrong value or another document format.
    pub fn parse(scope: &str, text: &str) -> Result<Self, ConfigError> {
        Self::parse_with_shared(scope, text, None)
    }

    /// As [`Declarations::parse`], and also refuses a backend server that serves what neither this nor the
    /// shared document declares.
    ///
    /// # Errors
    ///
    /// Fails as [`Declarations::parse`] does.
    pub fn parse_with_shared(scope: &str, text: &str, shared: Option<&Self>) -> Result<Self, ConfigError> {
        let document = Self::parse_unchecked(scope, text)?;
        check::check(Checker { origin: scope, text }, &document, shared)?;
        Ok(document)
    }

    /// Reads a document that was accepted before. Values are taken as they are: a check that was added
    /// since must not put an accepted document out of force.
    ///
    /// # Errors
    ///
    /// Fails only where the text has not the shape of a document.
    pub fn parse_unchecked(scope: &str, text: &str) -> Result<Self, ConfigError> {
        serde_norway::from_str(text).context(ParseSnafu { origin: scope })
    }
}

#[cfg(test)]
mod tests;
