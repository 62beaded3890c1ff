//! Errors of starting a node.

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
    /// A listening socket can't be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings assign a replica to this node but no data folder.
    #[snafu(display("group {} has a replica here, but storage.data_folder is not set", group.0))]
    NoDataFolder {
        /// The group.
        group: GroupId,
    },
    /// The files of a group are missing.
    #[snafu(display(
        "group {} has no files under {}: start a new system with --bootstrap, or replace a VM that lost \
         its disk as docs/operators/replace-vm.md describes",
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
        /// Error of the storage.
        source: StorageError,
    },
    /// The snapshot of a group can't be used.
    #[snafu(display("the snapshot of group {} can't be used: {source}", group.0))]
    Restore {
        /// The group.
        group: GroupId,
        /// Error of the state machine.
        source: RestoreError,
    },
    /// The history of a group can't be opened.
    #[snafu(display("the history in {} can't be opened: {source}", folder.display()))]
    OpenHistory {
        /// The history folder.
        folder: PathBuf,
        /// Error of the history.
        source: HistoryError,
    },
    /// The metrics can't be set up.
    #[snafu(display("the metrics can't be set up: {source}"))]
    Metrics {
        /// Error of the metrics library.
        source: MetricsError,
    },
}
