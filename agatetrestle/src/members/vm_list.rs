//! The platform's VM list as one sign among several; it lags.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use snafu::ResultExt;
use snafu::Snafu;

/// A list that can't be read.
#[derive(Debug, Snafu)]
#[snafu(display("the VM list can't be read: {source}"))]
pub struct VmListError {
    source: serde_json::Error,
}

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to go.
    Leaving,
}

/// A line of the list. The platform may name further fields, which are passed over.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Vm {
    /// Name of the VM.
    pub name: Arc<str>,
    /// What the platform says of it.
    pub state: VmState,
    /// Higher for each VM of this name, or 0 where the platform does not count them.
    #[serde(default)]
    pub incarnation: u64,
}

#[derive(Deserialize)]
struct Listing {
    vms: Vec<Vm>,
}

/// Reads a list.
///
/// # Errors
///
/// Fails if the bytes are no list of VMs.
pub fn parse(bytes: &[u8]) -> Result<Vec<Vm>, VmListError> {
    let listing: Listing = serde_json::from_slice(bytes).context(VmListSnafu)?;
    Ok(listing.vms)
}

/// What changed from one list to the next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmChange {
    /// The VM began to leave.
    Leaving(Vm),
    /// The list shows it live; only a newer incarnation than the one that left counts.
    Live(Vm),
}

/// Compares each list with the one before.
///
/// Only the moment at which a VM begins to leave is told, because the list may go on saying so after a new VM
/// took the name, and that one must not be marked.
#[derive(Clone, Debug, Default)]
pub struct VmListReader {
    known: BTreeMap<Arc<str>, Vm>,
}

impl VmListReader {
    /// Takes in a list and returns what changed.
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
