//! Opening of the replicas that a node holds.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

use agatetrestle_config::Settings;
use log::debug;
use smol::LocalExecutor;
use smol::Task;
use snafu::OptionExt;
use snafu::ResultExt;

use crate::agreement::Replicas;
use crate::agreement::StateMachine;
use crate::agreement::message::Message;
use crate::agreement::message::Position;
use crate::agreement::replica::Replica;
use crate::agreement::replica::ReplicaConfig;
use crate::agreement::replica::Restored;
use crate::agreement::storage::Storage;
use crate::agreement::storage::StorageConfig;
use crate::clock::Clock;
use crate::ids::CONTROL_GROUP;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::NodeError;
use crate::node::error::NoDataFolderSnafu;
use crate::node::error::OpenSnafu;
use crate::node::error::RestoreSnafu;
use crate::node::group::Group;
use crate::node::group::GroupParts;
use crate::node::group::HistorySource;
use crate::node::group::Outbox;
use crate::node::peer_link::LinkError;
use crate::node::peer_link::PeerLink;

/// Commands that may be under way in one group at once; more are refused as busy.
const MAX_IN_FLIGHT: usize = 4_096;
/// Largest batch of entries in one message.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// Ticks within a leader interval: fine enough that a heartbeat is never late by much.
const TICKS_PER_INTERVAL: u32 = 4;

/// What every replica of a node is opened with.
pub struct Opener<'a> {
    /// The settings of the process.
    pub settings: &'a Settings,
    /// The process's clock.
    pub clock: Clock,
    /// The ways to the other nodes.
    pub links: &'a BTreeMap<NodeId, Rc<PeerLink>>,
    /// Where the replica runs.
    pub executor: &'a LocalExecutor<'static>,
}

/// An open replica and the task that drives it.
pub struct Opened<M: StateMachine> {
    /// The replica.
    pub group: Rc<Group<M>>,
    /// Its driver; dropping it stops the replica.
    pub driver: Task<()>,
}

/// The nodes that hold a replica of a group, by the settings.
#[must_use]
pub fn holders(settings: &Settings, group: GroupId) -> Vec<NodeId> {
    let holds = |peer: &&agatetrestle_config::settings::PeerSeed| {
        if group == CONTROL_GROUP { peer.control } else { peer.state_groups.contains(&group.0) }
    };
    settings.peers.iter().filter(holds).map(|peer| NodeId(peer.id)).collect()
}

impl Opener<'_> {
    /// Opens the replica of a group, or none where the settings give this node none.
    ///
    /// # Errors
    ///
    /// Fails if the files can't be used or the node has no data folder for them.
    pub async fn open<M>(&self, id: GroupId, machine: M) -> Result<Option<Opened<M>>, NodeError>
    where
        M: StateMachine + 'static,
    {
        let node = NodeId(self.settings.node.id);
        let holders = holders(self.settings, id);
        if !holders.contains(&node) {
            return Ok(None);
        }
        let folder = self.settings.storage.data_folder.clone().context(NoDataFolderSnafu { group: id })?;
        let (storage, restored) = open_storage(folder, id, self.settings.storage.segment).await?;
        let opened = self.assemble(id, machine, holders, storage, restored)?;
        Ok(Some(opened))
    }

    fn assemble<M>(
        &self,
        id: GroupId,
        mut machine: M,
        holders: Vec<NodeId>,
        storage: Storage,
        restored: Restored,
    ) -> Result<Opened<M>, NodeError>
    where
        M: StateMachine + 'static,
    {
        let initial = Replicas { voters: holders.into_iter().collect(), ..Replicas::default() };
        let mut replicas = initial.clone();
        let mut applied = Position::default();
        if let Some(snapshot) = &restored.snapshot {
            machine.restore(&snapshot.data).context(RestoreSnafu { group: id })?;
            applied = snapshot.position;
            replicas = snapshot.replicas.clone();
        }
        let replica = Replica::new(self.replica_config(id), initial, restored, self.clock.now());
        let (group, jobs) = Group::new(GroupParts {
            id,
            clock: self.clock,
            replica,
            machine,
            outbox: self.outbox(),
            replicas,
            applied,
            snapshot_after: self.settings.storage.snapshot_after,
            history_source: self.history_source(id),
        });
        let tick = self.settings.timing.leader_interval / TICKS_PER_INTERVAL;
        let driver = self.executor.spawn(group.clone().run(storage, jobs, tick));
        Ok(Opened { group, driver })
    }

    fn replica_config(&self, group: GroupId) -> ReplicaConfig {
        let timing = &self.settings.timing;
        let node = NodeId(self.settings.node.id);
        ReplicaConfig {
            group,
            node,
            leader_interval: timing.leader_interval,
            election_timeout: timing.election_timeout,
            clock_drift: timing.clock_drift,
            seed: node.0 ^ (u64::from(group.0) << 32),
            max_in_flight: MAX_IN_FLIGHT,
            max_batch_bytes: MAX_BATCH_BYTES,
        }
    }

    /// Asks the other holders of a group in turn.
    fn history_source(&self, group: GroupId) -> HistorySource {
        let holders = holders(self.settings, group);
        let links: Vec<Rc<PeerLink>> =
            holders.iter().filter_map(|node| self.links.get(node).cloned()).collect();
        Rc::new(move |offset| {
            let links = links.clone();
            Box::pin(async move {
                for link in links {
                    match fetch_history(&link, group, offset).await {
                        Ok(bytes) if !bytes.is_empty() => return Some(bytes),
                        Ok(_) => {}
                        Err(failure) => debug!("History could not be fetched: {failure}."),
                    }
                }
                None
            })
        })
    }

    fn outbox(&self) -> Outbox {
        let links = self.links.clone();
        Rc::new(move |message: Message| {
            if let Some(link) = links.get(&message.to) {
                link.deliver(message);
            }
        })
    }
}

async fn open_storage(
    folder: PathBuf,
    group: GroupId,
    segment: u64,
) -> Result<(Storage, Restored), NodeError> {
    let segment_bytes = usize::try_from(segment).unwrap_or(usize::MAX);
    let cfg = StorageConfig { group, segment_bytes };
    let path = folder.clone();
    let opened = smol::unblock(move || Storage::open(&path, cfg)).await;
    opened.context(OpenSnafu { folder })
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
