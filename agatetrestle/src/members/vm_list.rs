//! The platform's VM list, a lagging source of leave notices.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use snafu::ResultExt;
use snafu::Snafu;

/// The VM list is malformed.
#[derive(Debug, Snafu)]
#[snafu(display("the VM list can't be read: {source}"))]
pub struct VmListError {
    source: serde_json::Error,
}

/// State of a VM as listed by the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// An entry of the VM list. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Vm {
    /// Name of the VM.
    pub name: Arc<str>,
    /// State of the VM.
    pub state: VmState,
    /// Incarnation, higher for each new VM of this name; 0 if the platform does not provide it.
    #[serde(default)]
    pub incarnation: u64,
}

#[derive(Deserialize)]
struct VmList {
    vms: Vec<Vm>,
}

/// Parses a VM list.
///
/// # Errors
///
/// Fails if the bytes are not a list of VMs.
pub fn parse(bytes: &[u8]) -> Result<Vec<Vm>, VmListError> {
    let list: VmList = serde_json::from_slice(bytes).context(VmListSnafu)?;
    Ok(list.vms)
}

/// A change of a VM between two lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmChange {
    /// The VM started to leave.
    Leaving(Vm),
    /// The VM is listed as live, which matters only for a newer incarnation than the one that left.
    Live(Vm),
}

/// Compares each list with the previous one.
///
/// A VM is reported as leaving only once, because the list may lag after a new VM has taken the name, and that VM must not
/// be marked as leaving.
#[derive(Clone, Debug, Default)]
pub struct VmListReader {
    known: BTreeMap<Arc<str>, Vm>,
}

impl VmListReader {
    /// Stores a list and returns the changes since the previous one.
    pub fn update(&mut self, list: Vec<Vm>) -> Vec<VmChange> {
        let mut changes = Vec::new();
        for vm in list {
            if self.known.get(&vm.name) == Some(&vm) {
                continue;
            }
            self.known.insert(vm.name.clone(), vm.clone());
            changes.push(match vm.state {
                VmState::Leaving => VmChange::Leaving(vm),
                VmState::Live => VmChange::Live(vm),
            });
        }
        changes
    }
}
