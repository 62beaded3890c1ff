//! Settings of one process of a deployment whose members discover each other through seed addresses.
//!
//! Unlike [`crate::settings::Settings`] they don't list the other members: a process gets the addresses of control and
//! learns the rest from there; see docs/design/012-a-deployment-of-three-roles.md.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
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

/// Role of a process in a deployment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts requests of callers and forwards them; stores nothing on disk.
    Entry,
    /// Replicates the active declarations and the list of members.
    Control,
    /// Replicates the turns and budgets of programs.
    Store,
}

/// Settings file of one process, read at start and again on reload.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Identity and location of this process.
    pub process: Process,
    /// Addresses for clients from outside the deployment.
    #[serde(default)]
    pub listen: Listen,
    /// Operator addresses of control; only their IP addresses are used, with [`Process::peer_port`].
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the whole deployment starts for the first time.
    pub founding: bool,
    /// Folder of the durable state; required for control and store.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Failures that the deployment tolerates at once.
    pub tolerance: Tolerance,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Time bounds.
    pub bounds: Bounds,
    /// The platform's list of backend servers.
    pub backend_list: BackendList,
    /// Scheduling policy of an entry.
    #[serde(default)]
    pub decisions: Decisions,
    /// Who chooses the server of a turn that is reserved at a state group; read by entries.
    #[serde(default)]
    pub placement: Placement,
}

/// Who chooses the server of a turn that is reserved at a state group.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// The entry that forwards it.
    #[default]
    Entry,
    /// The leader of the state group, among the candidates that the entry sends.
    Leader,
}

/// Scheduling policy of an entry: the default or, for comparisons, one with a decision replaced by a baseline.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decisions {
    /// The default policy.
    #[default]
    Own,
    /// Like [`Decisions::Own`], but requests are queued in order of arrival.
    FirstCome,
    /// Like [`Decisions::Own`], but requests go round-robin to the servers with a free slot.
    RoundRobin,
    /// Like [`Decisions::Own`], but each request goes to the least loaded server, regardless of its prefix cache.
    LeastLoad,
    /// Like [`Decisions::Own`], but servers are compared by their numbers of requests alone, never by their speed,
    /// contention or memory.
    RequestCounts,
    /// Like [`Decisions::Own`], but servers are compared by the expected completion time also if the table declares their
    /// memory or their observed speeds differ, not only if they report contention.
    ExpectedTime,
    /// Like [`Decisions::Own`], but a server never gets more requests than it has slots.
    Places,
    /// Like [`Decisions::Own`], but an unresponsive server is waited for until the caller's deadline.
    Patient,
    /// Like [`Decisions::Own`], but no request is rejected before its deadline.
    NoRejection,
}

/// Identity and location of the process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Role of the process.
    pub role: Role,
    /// IP address of the VM.
    pub ip: Ipv4Addr,
    /// Port for calls between processes of the deployment; the same on every VM.
    pub peer_port: u16,
    /// Failure domain of the VM.
    pub failure_domain: Arc<str>,
    /// Region of the VM.
    pub region: Arc<str>,
    /// Cores of the VM, which may be a fraction; callers are spread over entries by it.
    #[serde(default)]
    pub cores: Option<f64>,
}

/// Listening addresses; a process binds those of its role.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers, on an entry.
    pub callers: Option<SocketAddrV4>,
    /// HTTP for readiness probes, on an entry.
    pub readiness: Option<SocketAddrV4>,
    /// HTTP for operators, on control.
    pub operators: Option<SocketAddrV4>,
    /// HTTP for callers that look up the address of an entry, on control.
    pub directory: Option<SocketAddrV4>,
    /// Port of the metrics endpoint, on the IP address of the process.
    pub metrics_port: Option<u16>,
}

/// Failures that are tolerated at once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tolerance {
    /// Number of VMs with a disk that may be lost.
    pub vms: usize,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory in MB; beyond it the platform kills the process.
    pub memory_mb: u64,
    /// Maximum number of file descriptors, sockets included.
    pub descriptors: u64,
}

/// Time bounds of the deployment.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time between the stop signal and the kill at a planned stop.
    #[serde_as(as = "DurationText")]
    pub stop_grace: Duration,
    /// Maximum time for which callers may cache an address.
    #[serde_as(as = "DurationText")]
    pub address_max_age: Duration,
    /// Tolerance of the rate limits of teams.
    #[serde(default)]
    pub allowance: AllowanceBounds,
}

/// How far the requests of a team may exceed its rate and burst within any window.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AllowanceBounds {
    /// Length of the sliding window.
    #[serde_as(as = "DurationText")]
    pub window: Duration,
    /// Permitted excess as a fraction of the allowance.
    pub overrun: f64,
    /// Number of requests that are permitted in addition.
    pub slack: u32,
}

impl Default for AllowanceBounds {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overrun: 0.0, slack: 0 }
    }
}

/// The platform's list of backend servers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendList {
    /// Address of the list.
    pub address: SocketAddrV4,
    /// Rate limit for calls of all processes together.
    pub calls_per_second: f64,
}

impl Deployment {
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
    /// Fails as [`Deployment::load`] does, except that no file is read.
    pub fn parse(origin: &str, text: &str) -> Result<Self, ConfigError> {
        let settings: Self = serde_norway::from_str(text).context(ParseSnafu { origin })?;
        settings.check(Checker { origin, text })?;
        Ok(settings)
    }

    fn check(&self, checker: Checker<'_>) -> Result<(), ConfigError> {
        checker.valid_name(&self.process.vm, "process.vm")?;
        checker.valid_name(&self.process.failure_domain, "process.failure_domain")?;
        checker.positive(self.process.peer_port.into(), "process.peer_port")?;
        let cores = self.process.cores.unwrap_or(1.0);
        checker.require(
            (0.001..=1_000.0).contains(&cores),
            "process.cores",
            "a number from 0.001 to 1000",
        )?;
        checker.require(!self.seeds.is_empty(), "seeds", "at least one address")?;
        let is_stateful = self.process.role != Role::Entry;
        checker.require(
            !is_stateful || self.data_folder.is_some(),
            "data_folder",
            "a folder, for this role",
        )?;
        let listen = &self.listen;
        match self.process.role {
            Role::Entry => {
                checker.require(listen.callers.is_some(), "listen.callers", "an address, on an entry")?;
                checker.require(listen.readiness.is_some(), "listen.readiness", "an address, on an entry")?;
            }
            Role::Control => {
                checker.require(listen.operators.is_some(), "listen.operators", "an address, on control")?;
                checker.require(listen.directory.is_some(), "listen.directory", "an address, on control")?;
            }
            Role::Store => {}
        }
        checker.positive(self.limits.memory_mb, "limits.memory_mb")?;
        checker.positive(self.limits.descriptors, "limits.descriptors")?;
        checker.positive_duration(self.bounds.stop_grace, "bounds.stop_grace")?;
        checker.positive_duration(self.bounds.address_max_age, "bounds.address_max_age")?;
        checker.positive_duration(self.bounds.allowance.window, "bounds.allowance.window")?;
        let overrun = self.bounds.allowance.overrun;
        checker.require(
            (0.0..=1.0).contains(&overrun),
            "bounds.allowance.overrun",
            "a fraction from 0 to 1",
        )?;
        checker.require(
            self.backend_list.calls_per_second > 0.0,
            "backend_list.calls_per_second",
            "a number above 0",
        )
    }
}

#[cfg(test)]
mod tests;
