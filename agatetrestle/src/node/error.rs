//! Why a node can't start.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

use crate::agreement::RestoreError;
use crate::agreement::storage::error::StorageError;
use crate::history::HistoryError;
use crate::ids::GroupId;
use crate::metrics::MetricsError;

/// Why a node can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum NodeError {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A replica is assigned to this node, which has no data folder.
    #[snafu(display("group {} has a replica here, but storage.data_folder is not set", group.0))]
    NoDataFolder {
        /// The group.
        group: GroupId,
    },
    /// The files of a group are not there.
    #[snafu(display(
        "group {} has no files under {}: start a new system with --bootstrap, or replace a VM that lost \
         its disk as docs/operators/replace-vm.md tells",
        group.0,
        folder.display()
    ))]
    Missing {
        /// The group.
        group: GroupId,
        /// The data folder.
        folder: PathBuf,
    },
    /// The log of a group can't be opened.
    #[snafu(display("the log in {} can't be opened: {source}", folder.display()))]
    Open {
        /// The data folder.
        folder: PathBuf,
        /// What is wrong with it.
        source: StorageError,
    },
    /// The snapshot of a group can't be used.
    #[snafu(display("the snapshot of group {} can't be used: {source}", group.0))]
    Restore {
        /// The group.
        group: GroupId,
        /// What is wrong with it.
        source: RestoreError,
    },
    /// The history of a group can't be opened.
    #[snafu(display("the history in {} can't be opened: {source}", folder.display()))]
    OpenHistory {
        /// Its folder.
        folder: PathBuf,
        /// What is wrong with it.
        source: HistoryError,
    },
    /// The metrics can't be set up.
    #[snafu(display("the metrics can't be set up: {source}"))]
    Metrics {
        /// What the library said.
        source: MetricsError,
    },
}
