//! Opens the replicas that a node holds.

use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::Settings;
use agatetrestle_config::settings::Storage as StorageSettings;
use agatetrestle_config::settings::Timing;
use log::debug;
use smol::LocalExecutor;
use smol::Task;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::ensure;

use crate::agreement::HardState;
use crate::agreement::Replicas;
use crate::agreement::Snapshot;
use crate::agreement::StateMachine;
use crate::agreement::message::Message;
use crate::agreement::message::Position;
use crate::agreement::replica::PersistentState;
use crate::agreement::replica::Replica;
use crate::agreement::replica::ReplicaConfig;
use crate::agreement::storage::Storage;
use crate::agreement::storage::StorageConfig;
use crate::agreement::storage::error::StorageError;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::ids::CONTROL_GROUP;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::NodeError;
use crate::node::error::MissingSnafu;
use crate::node::error::NoDataFolderSnafu;
use crate::node::error::OpenHistorySnafu;
use crate::node::error::OpenSnafu;
use crate::node::error::RestoreSnafu;
use crate::node::group::Group;
use crate::node::group::GroupParts;
use crate::node::group::HistorySource;
use crate::node::group::MakeReplica;
use crate::node::group::Outbox;
use crate::node::group::Reopen;
use crate::node::links::Links;
use crate::node::peer_link::LinkError;
use crate::node::peer_link::PeerLink;

/// Limit of uncommitted commands in one group; further ones are refused as busy.
const MAX_IN_FLIGHT: usize = 4_096;
/// Time that a command may wait to be committed before further ones are refused. On an overloaded leader heartbeats wait as
/// long as commands do, so this must stay well below half of an election timeout; see `agreement/tests/overload.rs`.
const MAX_COMMIT_WAIT: Duration = Duration::from_millis(100);
/// Payload of a message. On a link that loses packets a larger one often takes longer than a call to a peer may.
pub(crate) const MAX_BATCH_BYTES: usize = 128 << 10;
/// Timer ticks in each leader interval, which limit how late a heartbeat can be.
const TICKS_PER_INTERVAL: u32 = 4;

/// What to do when the files of a replica are missing.
///
/// A replica that lost its files may have voted and acknowledged entries, so it must not start empty: the group could then
/// elect a leader that lacks committed entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MissingFiles {
    /// Fail to start.
    #[default]
    Refuse,
    /// Form a new group from the configured replica nodes.
    Bootstrap,
    /// Join an existing group; the replica takes no part until the leader adds it as a learner.
    Join,
    /// Join an existing group under a node ID that no process has used before. Nothing was lost then, so the replica has its
    /// vote as soon as it is promoted.
    JoinUnderNewId,
}

/// Opens replicas, with the parameters shared by all replicas of a node.
pub struct ReplicaOpener<'a> {
    /// ID of this node.
    pub node: NodeId,
    /// Data folder, if any, and sizes of its files.
    pub storage: &'a StorageSettings,
    /// Timeouts of the groups.
    pub timing: &'a Timing,
    /// The process's clock.
    pub clock: Clock,
    /// Links to the other nodes.
    pub links: &'a Rc<Links>,
    /// Executor of the replica's tasks.
    pub executor: &'a LocalExecutor<'static>,
}

/// The storage of a replica and its persistent state.
pub struct StoredReplica {
    group: GroupId,
    folder: PathBuf,
    storage: Storage,
    restored: PersistentState,
}

impl StoredReplica {
    /// ID of the group.
    #[must_use]
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Whether there is no persistent state, so that [`MissingFiles`] applies.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        is_empty(&self.restored)
    }
}

/// An open replica and its driver task.
pub struct OpenReplica<M: StateMachine> {
    /// The replica.
    pub group: Rc<Group<M>>,
    /// The driver task; dropping it stops the replica.
    pub driver: Task<()>,
}

/// Returns the nodes that hold a replica of `group` according to the settings.
#[must_use]
pub fn holders(settings: &Settings, group: GroupId) -> Vec<NodeId> {
    let holds = |peer: &&agatetrestle_config::settings::PeerSeed| {
        if group == CONTROL_GROUP { peer.control } else { peer.state_groups.contains(&group.0) }
    };
    settings.peers.iter().filter(holds).map(|peer| NodeId(peer.id)).collect()
}

impl ReplicaOpener<'_> {
    /// Opens the replica of a group; `holders` are the nodes known to hold a replica.
    ///
    /// # Errors
    ///
    /// Fails if the files can't be used or the node has no data folder for them.
    pub async fn open<M>(
        &self,
        id: GroupId,
        machine: M,
        holders: &[NodeId],
        missing: MissingFiles,
    ) -> Result<OpenReplica<M>, NodeError>
    where
        M: StateMachine + 'static,
    {
        let stored = self.load(id).await?;
        self.open_stored(stored, machine, holders, missing).await
    }

    /// Loads the persistent state of a replica, which may be empty.
    ///
    /// # Errors
    ///
    /// Fails if the files can't be used or the node has no data folder for them.
    pub async fn load(&self, group: GroupId) -> Result<StoredReplica, NodeError> {
        let folder = self.storage.data_folder.clone().context(NoDataFolderSnafu { group })?;
        let (storage, restored) = open_storage(&folder, group, self.storage.segment).await?;
        Ok(StoredReplica { group, folder, storage, restored })
    }

    /// Opens a replica as [`ReplicaOpener::open`] does, from storage that is loaded already.
    ///
    /// # Errors
    ///
    /// Fails as [`ReplicaOpener::open`] does.
    pub async fn open_stored<M>(
        &self,
        mut stored: StoredReplica,
        machine: M,
        holders: &[NodeId],
        missing: MissingFiles,
    ) -> Result<OpenReplica<M>, NodeError>
    where
        M: StateMachine + 'static,
    {
        let joining = matches!(missing, MissingFiles::Join | MissingFiles::JoinUnderNewId);
        if stored.is_empty() && !joining {
            let StoredReplica { group, folder, .. } = &stored;
            ensure!(missing == MissingFiles::Bootstrap, MissingSnafu { group: *group, folder });
            let snapshot = initial_snapshot(&machine, holders.to_vec());
            stored.storage = save_snapshot(stored.storage, snapshot.clone(), &stored.folder).await?;
            stored.restored.snapshot = Some(snapshot);
        }
        self.assemble(stored, machine, holders, missing)
    }

    fn assemble<M>(
        &self,
        stored: StoredReplica,
        mut machine: M,
        holders: &[NodeId],
        missing: MissingFiles,
    ) -> Result<OpenReplica<M>, NodeError>
    where
        M: StateMachine + 'static,
    {
        let StoredReplica { group: id, folder, storage, restored } = stored;
        let mut replicas = Replicas::default();
        let mut applied = Position::default();
        let mut initial_state = Vec::new();
        if let Some(snapshot) = &restored.snapshot {
            machine.restore(&snapshot.data).context(RestoreSnafu { group: id })?;
            applied = snapshot.position;
            replicas = snapshot.replicas.clone();
        } else {
            // The log is complete from its first entry, and applying it appends to the history again.
            let truncated = machine.history().map_or(Ok(()), |history| history.truncate(0));
            truncated.context(OpenHistorySnafu { folder: &folder })?;
            initial_state = machine.snapshot();
        }
        let cfg = self.replica_config(id);
        let replica = first_replica(&cfg, missing, restored, self.clock.now());
        let make_replica = make_replica(cfg);
        let (group, jobs) = Group::new(GroupParts {
            id,
            clock: self.clock,
            replica,
            machine,
            outbox: self.outbox(),
            replicas,
            applied,
            snapshot_after: self.storage.snapshot_after,
            history_source: self.history_source(id, holders),
            reopen: reopen(&folder, id, self.storage.segment),
            make_replica,
            initial_state,
        });
        let tick = self.timing.leader_interval / TICKS_PER_INTERVAL;
        let driver = self.executor.spawn(group.clone().run(storage, jobs, tick));
        Ok(OpenReplica { group, driver })
    }

    fn replica_config(&self, group: GroupId) -> ReplicaConfig {
        let timing = self.timing;
        let node = self.node;
        ReplicaConfig {
            group,
            node,
            leader_interval: timing.leader_interval,
            election_timeout: timing.election_timeout,
            clock_drift: timing.clock_drift,
            seed: node.0 ^ (u64::from(group.0) << 32),
            max_in_flight: MAX_IN_FLIGHT,
            max_commit_wait: MAX_COMMIT_WAIT,
            max_batch_bytes: MAX_BATCH_BYTES,
        }
    }

    /// Returns a source that queries the other holders of a group in turn.
    fn history_source(&self, group: GroupId, holders: &[NodeId]) -> HistorySource {
        let own = self.node;
        let others: Vec<NodeId> = holders.iter().copied().filter(|holder| *holder != own).collect();
        let links = self.links.clone();
        Rc::new(move |offset| {
            let peers: Vec<Rc<PeerLink>> = others.iter().filter_map(|node| links.get(*node)).collect();
            Box::pin(async move {
                for link in peers {
                    match fetch_history(&link, group, offset).await {
                        Ok(bytes) if !bytes.is_empty() => return Some(bytes),
                        Ok(_) => {}
                        Err(error) => debug!("Failed to fetch history: {error}."),
                    }
                }
                None
            })
        })
    }

    fn outbox(&self) -> Outbox {
        let links = self.links.clone();
        Rc::new(move |message: Message| {
            if let Some(link) = links.get(message.to) {
                link.deliver(message);
            }
        })
    }
}

/// Creates the replica of a process that starts. With empty storage it waits to join, unless it can't have voted.
fn first_replica(
    cfg: &ReplicaConfig,
    missing: MissingFiles,
    restored: PersistentState,
    now: Timestamp,
) -> Replica {
    if missing == MissingFiles::JoinUnderNewId {
        return Replica::new(cfg.clone(), Replicas::default(), restored, now);
    }
    make_replica(cfg.clone())(restored, now)
}

/// Recreates replicas from reopened storage. One whose storage is empty waits to join, since bootstrapping a group saves a
/// snapshot, and the replica before it may have voted.
fn make_replica(cfg: ReplicaConfig) -> MakeReplica {
    Rc::new(move |restored, now| {
        if is_empty(&restored) {
            return Replica::joining(cfg.clone(), now);
        }
        Replica::new(cfg.clone(), Replicas::default(), restored, now)
    })
}

fn reopen(folder: &Path, group: GroupId, segment: u64) -> Reopen {
    let folder = folder.to_path_buf();
    Rc::new(move || {
        let folder = folder.clone();
        Box::pin(async move { open_files(&folder, group, segment).await })
    })
}

fn is_empty(restored: &PersistentState) -> bool {
    let no_log = restored.snapshot.is_none() && restored.entries.is_empty();
    no_log && restored.hard_state == HardState::default()
}

/// Returns the snapshot before the first log entry. It fixes the initial voters; later settings do not change them.
fn initial_snapshot<M: StateMachine>(machine: &M, holders: Vec<NodeId>) -> Snapshot {
    let replicas = Replicas { voters: holders.into_iter().collect(), ..Replicas::default() };
    Snapshot { position: Position::default(), replicas, data: machine.snapshot().into() }
}

async fn save_snapshot(
    mut storage: Storage,
    snapshot: Snapshot,
    folder: &Path,
) -> Result<Storage, NodeError> {
    let saved = smol::unblock(move || storage.save_snapshot(&snapshot).map(|()| storage)).await;
    saved.context(OpenSnafu { folder })
}

async fn open_storage(
    folder: &Path,
    group: GroupId,
    segment: u64,
) -> Result<(Storage, PersistentState), NodeError> {
    open_files(folder, group, segment).await.context(OpenSnafu { folder })
}

async fn open_files(
    folder: &Path,
    group: GroupId,
    segment: u64,
) -> Result<(Storage, PersistentState), StorageError> {
    let segment_bytes = usize::try_from(segment).unwrap_or(usize::MAX);
    let cfg = StorageConfig { group, segment_bytes };
    let path = folder.to_path_buf();
    smol::unblock(move || Storage::open(&path, cfg)).await
}

async fn fetch_history(link: &PeerLink, group: GroupId, offset: u64) -> Result<Vec<u8>, LinkError> {
    link.call(|client| {
        let mut request = client.history_request();
        request.get().set_group(group.0);
        request.get().set_offset(offset);
        let sent = request.send();
        async move { Ok(sent.promise.await?.get()?.get_bytes()?.to_vec()) }
    })
    .await
}

#[cfg(test)]
mod tests;
