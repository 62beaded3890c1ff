//! Settings of one process: its identity, listening addresses, peers and limits.

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

/// Settings file of one daemon, its only source of configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Identity of this process.
    pub node: Node,
    /// The addresses it listens on.
    pub listen: Listen,
    /// All known processes of the system, this one included.
    pub peers: Vec<PeerSeed>,
    /// Durable state, if this VM has a disk.
    pub storage: Storage,
    /// Time bounds of the replicated groups and heartbeats.
    pub timing: Timing,
    /// Limits for requests of callers.
    pub callers: Callers,
    /// The platform's list of live and leaving VMs.
    pub platform: Platform,
    /// Destination and format of the logs.
    pub logging: Logging,
}

/// Identity and location of the process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Node {
    /// Number of the node, unique in the whole system and above 0.
    pub id: u64,
    /// Name of the VM in the platform's list.
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

/// Listening addresses; the operating system chooses a port for 0.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// RPC between the processes of the system.
    pub peers: SocketAddr,
    /// RPC for operators.
    pub operators: SocketAddr,
    /// HTTP for scrapes of metrics.
    pub metrics: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self { callers: local(7400), peers: local(7401), operators: local(7402), metrics: local(7403) }
    }
}

/// One process of the system, as configured before the first heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// Number of the node.
    pub id: u64,
    /// Its address for RPC between processes.
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
    /// Size at which a log segment is closed.
    #[serde_as(as = "SizeText")]
    pub segment: u64,
    /// Growth of the log after which a snapshot is taken.
    #[serde_as(as = "SizeText")]
    pub snapshot_after: u64,
}

impl Default for Storage {
    fn default() -> Self {
        Self { data_folder: None, segment: 16 << 20, snapshot_after: 64 << 20 }
    }
}

/// Time bounds of the replicated groups and heartbeats.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Interval between messages of a leader to its followers.
    #[serde_as(as = "DurationText")]
    pub leader_interval: Duration,
    /// Minimum time without a message of the leader before a replica starts an election.
    #[serde_as(as = "DurationText")]
    pub election_timeout: Duration,
    /// Maximum drift between two clocks over one election timeout.
    #[serde_as(as = "DurationText")]
    pub clock_drift: Duration,
    /// Interval between heartbeats to the control replicas.
    #[serde_as(as = "DurationText")]
    pub heartbeat: Duration,
    /// Time for which a node may use the configuration that it last confirmed.
    #[serde_as(as = "DurationText")]
    pub configuration_lease: Duration,
    /// Timeout of a call to another process of the system.
    #[serde_as(as = "DurationText")]
    pub peer_call: Duration,
    /// Time for which a planned stop waits for requests in flight.
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

/// Limits for requests of callers; docs/operators/settings.md describes how each is enforced.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Maximum size of a request head.
    #[serde_as(as = "SizeText")]
    pub head: u64,
    /// Maximum size of a request body.
    #[serde_as(as = "SizeText")]
    pub body: u64,
    /// Time within which the whole head must arrive.
    #[serde_as(as = "DurationText")]
    pub head_time: Duration,
    /// Maximum time without progress on a body or an idle connection.
    #[serde_as(as = "DurationText")]
    pub idle: Duration,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Time for which callers may cache an address.
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

/// The platform's list of VMs, an HTTP resource whose content may be outdated.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Platform {
    /// Address of the list, if the platform has one.
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

/// Destination and format of the logs.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Logging {
    /// Log levels in the syntax of `flexi_logger`, such as `info, agatetrestle::agreement=debug`.
    pub level: Arc<str>,
    /// Folder of the log files; without it logs go to the standard error stream.
    pub folder: Option<PathBuf>,
    /// Size at which a log file is rotated.
    #[serde_as(as = "SizeText")]
    pub rotate: u64,
    /// Number of rotated files that are kept.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, has an unknown key, or holds an invalid value.
    pub fn load(file: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(&file.display().to_string(), &text)
    }

    /// Parses and validates settings; `origin` names the text in errors.
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
