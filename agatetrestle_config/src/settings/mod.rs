//! Settings of one process: who it is, where it listens and what it may use.

mod check;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use snafu::ResultExt;

use crate::check::Checker;
use crate::error::ConfigError;
use crate::error::ParseSnafu;
use crate::error::ReadSnafu;
use crate::units::DurationText;
use crate::units::SizeText;

/// Everything one daemon is told at start; it takes no other source into account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Who this process is.
    pub node: Node,
    /// The addresses it listens on.
    pub listen: Listen,
    /// The processes it may meet, itself included.
    pub peers: Vec<PeerSeed>,
    /// Durable state, if this VM has a disk.
    pub storage: Storage,
    /// Time bounds of the replicated groups and heartbeats.
    pub timing: Timing,
    /// Bounds on what callers may send.
    pub callers: Callers,
    /// The platform's list of live and leaving VMs.
    pub platform: Platform,
    /// Where logs go.
    pub logging: Logging,
}

/// Identity and place of the process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Node {
    /// Number of the node, unique in the whole system and never 0.
    pub id: u64,
    /// Name of the VM as the platform's list gives it.
    pub vm: Arc<str>,
    /// Failure domain of the VM.
    pub failure_domain: Arc<str>,
    /// Region of the VM.
    pub region: Arc<str>,
}

impl Default for Node {
    fn default() -> Self {
        Self { id: 1, vm: "vm-1".into(), failure_domain: "domain-1".into(), region: "region-1".into() }
    }
}

/// Listening addresses; port 0 lets the operating system choose.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// RPC between our own processes.
    pub peers: SocketAddr,
    /// RPC for operators.
    pub operators: SocketAddr,
    /// HTTP for the metrics scrape.
    pub metrics: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self { callers: local(7400), peers: local(7401), operators: local(7402), metrics: local(7403) }
    }
}

/// One process of the system, as known before any heartbeat was heard.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// Number of the node.
    pub id: u64,
    /// Its address for RPC between our own processes.
    pub address: SocketAddr,
    /// Whether it holds a replica of the control group.
    #[serde(default)]
    pub control: bool,
    /// The state groups of which it holds a replica.
    #[serde(default)]
    pub state_groups: Vec<u32>,
}

/// Durable state of a replica.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Storage {
    /// Folder for the files of the replicas; without it the node holds no replica.
    pub data_folder: Option<PathBuf>,
    /// A log segment is closed at this size.
    #[serde_as(as = "SizeText")]
    pub segment: u64,
    /// A snapshot is taken once the log has grown by this much.
    #[serde_as(as = "SizeText")]
    pub snapshot_after: u64,
}

impl Default for Storage {
    fn default() -> Self {
        Self { data_folder: None, segment: 16 << 20, snapshot_after: 64 << 20 }
    }
}

/// Time bounds; the defaults suit failure domains 1.5 ms apart one way.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Interval between a leader's messages to its followers.
    #[serde_as(as = "DurationText")]
    pub leader_interval: Duration,
    /// Shortest time without a leader before a replica stands for election.
    #[serde_as(as = "DurationText")]
    pub election_timeout: Duration,
    /// How far two clocks may run apart over one election timeout.
    #[serde_as(as = "DurationText")]
    pub clock_drift: Duration,
    /// Interval between heartbeats to the control replicas.
    #[serde_as(as = "DurationText")]
    pub heartbeat: Duration,
    /// How long a node may rely on the configuration it last confirmed.
    #[serde_as(as = "DurationText")]
    pub configuration_lease: Duration,
    /// Deadline of one call to another of our own processes.
    #[serde_as(as = "DurationText")]
    pub peer_call: Duration,
    /// How long a planned stop waits for requests in flight.
    #[serde_as(as = "DurationText")]
    pub stop_grace: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            leader_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(350),
            clock_drift: Duration::from_millis(30),
            heartbeat: Duration::from_secs(1),
            configuration_lease: Duration::from_secs(4),
            peer_call: Duration::from_secs(2),
            stop_grace: Duration::from_mins(10),
        }
    }
}

/// Bounds on what callers may send; docs/operators/settings.md tells how each is enforced.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Largest request head.
    #[serde_as(as = "SizeText")]
    pub head: u64,
    /// Largest request body.
    #[serde_as(as = "SizeText")]
    pub body: u64,
    /// Time for the whole head to arrive.
    #[serde_as(as = "DurationText")]
    pub head_time: Duration,
    /// Time without progress on a body or on an idle connection.
    #[serde_as(as = "DurationText")]
    pub idle: Duration,
    /// Connections open at once.
    pub connections: u32,
    /// How long a caller may keep an address answer.
    #[serde_as(as = "DurationText")]
    pub address_max_age: Duration,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_time: Duration::from_secs(5),
            idle: Duration::from_mins(1),
            connections: 4096,
            address_max_age: Duration::from_secs(5),
        }
    }
}

/// The platform's VM list, an HTTP resource that lags.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Address of the list, or none where the platform has no list.
    pub vm_list: Option<SocketAddr>,
    /// Interval between reads of the list.
    #[serde_as(as = "DurationText")]
    pub interval: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Self { vm_list: None, interval: Duration::from_secs(2) }
    }
}

/// Destination and form of the logs.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logging {
    /// Specification of levels as `flexi_logger` reads it, such as `info, agatetrestle::agreement=debug`.
    pub level: Arc<str>,
    /// Folder of the log files; without it logs go to the standard error stream.
    pub folder: Option<PathBuf>,
    /// A log file is rotated at this size.
    #[serde_as(as = "SizeText")]
    pub rotate: u64,
    /// How many rotated files are kept.
    pub keep: usize,
    /// Whether each line is a JSON object.
    pub json: bool,
}

impl Default for Logging {
    fn default() -> Self {
        Self { level: "info".into(), folder: None, rotate: 64 << 20, keep: 8, json: false }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, has an unknown key, or holds a value that can't be used.
    pub fn load(file: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(&file.display().to_string(), &text)
    }

    /// Reads and checks settings from text; `origin` names it in errors.
    ///
    /// # Errors
    ///
    /// Fails as [`Settings::load`] does, except that no file is read.
    pub fn parse(origin: &str, text: &str) -> Result<Self, ConfigError> {
        let settings: Self = serde_norway::from_str(text).context(ParseSnafu { origin })?;
        check::check(Checker { origin, text }, &settings)?;
        Ok(settings)
    }
}

#[cfg(test)]
mod tests;
