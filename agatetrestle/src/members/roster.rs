//! A node's copy of the member table, built from digests, and the selection of caller addresses.

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::NodeId;
use crate::ids::ProgramId;
use crate::members::leave_notices::LeaveNotices;
use crate::members::message::Digest;
use crate::members::message::DigestPosition;
use crate::members::message::Heartbeat;
use crate::members::message::LeaveNotice;
use crate::members::message::MemberState;
use crate::members::message::NodeRecord;
use crate::ports::MemberView;

/// Addresses per answer: one to use and two alternatives, in other failure domains if possible.
const MAX_CALLER_ADDRESSES: usize = 3;

/// The known nodes, leave notices and position in the digests of the last replica.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: BTreeMap<NodeId, NodeRecord>,
    notices: LeaveNotices,
    /// Notices that this node observed itself, sent in every heartbeat until a digest contains them.
    pending: Vec<LeaveNotice>,
    /// The replica whose digest was applied last, with the position of that digest.
    position: Option<(NodeId, DigestPosition)>,
    new_program_count: u64,
}

impl Roster {
    /// Applies a digest of a control replica and returns the notices that are new. A digest without a lease is ignored,
    /// since a partitioned replica receives heartbeats of few nodes.
    pub fn apply_digest(&mut self, from: NodeId, digest: &Digest) -> Vec<LeaveNotice> {
        if digest.lease.is_zero() {
            return Vec::new();
        }
        if digest.full {
            self.members.clear();
        }
        for member in &digest.members {
            self.members.insert(member.heartbeat.node, member.clone());
        }
        self.position = Some((from, digest.position));
        let acknowledged = |own: &LeaveNotice| {
            digest.leaving.iter().any(|other| other.name == own.name && other.incarnation >= own.incarnation)
        };
        self.pending.retain(|own| !acknowledged(own));
        let added = digest.leaving.iter().filter(|notice| self.notices.add(notice, 0));
        added.cloned().collect()
    }

    /// The position of the last digest, or zero, which requests a full digest, if another replica sent it: replicas number
    /// changes independently.
    #[must_use]
    pub fn position(&self, replica: NodeId) -> DigestPosition {
        self.position.filter(|(from, _)| *from == replica).map(|(_, position)| position).unwrap_or_default()
    }

    /// Adds a notice that this node observed itself and returns whether it is new.
    pub fn add_notice(&mut self, notice: &LeaveNotice) -> bool {
        let added = self.notices.add(notice, 0);
        if added {
            self.pending.push(notice.clone());
        }
        added
    }

    /// Notices that this node observed itself and no digest contains yet.
    #[must_use]
    pub fn pending_notices(&self) -> Vec<LeaveNotice> {
        self.pending.clone()
    }

    /// The highest leaving incarnation of a VM or backend server, if any.
    #[must_use]
    pub fn leaving(&self, name: &str) -> Option<u64> {
        self.notices.incarnation(name)
    }

    /// The incarnation of the node on a VM, if known.
    #[must_use]
    pub fn incarnation_on(&self, vm: &str) -> Option<u64> {
        let member = self.members.values().find(|member| &*member.heartbeat.vm == vm)?;
        Some(member.heartbeat.incarnation)
    }

    /// Descriptions of all nodes, for listings.
    #[must_use]
    pub fn views(&self) -> Vec<MemberView> {
        self.members.values().map(|member| self.view(member)).collect()
    }

    fn state(&self, member: &NodeRecord) -> MemberState {
        let heartbeat = &member.heartbeat;
        match member.state {
            MemberState::Live if self.notices.contains(&heartbeat.vm, heartbeat.incarnation) => {
                MemberState::Leaving
            }
            state => state,
        }
    }

    fn view(&self, member: &NodeRecord) -> MemberView {
        let state = self.state(member);
        let name = match state {
            MemberState::Live => "live",
            MemberState::Stopping => "stopping",
            MemberState::Silent => "silent",
            MemberState::Leaving => "leaving",
        };
        let heartbeat = &member.heartbeat;
        MemberView {
            node: heartbeat.node,
            vm: heartbeat.vm.clone(),
            failure_domain: heartbeat.failure_domain.clone(),
            region: heartbeat.region.clone(),
            incarnation: heartbeat.incarnation,
            caller_address: heartbeat.caller_address.clone(),
            live: state == MemberState::Live,
            state: name.into(),
            revision: heartbeat.revision,
        }
    }

    /// A unique key, so that new programs are distributed over all nodes.
    fn next_new_key(&mut self) -> String {
        self.new_program_count += 1;
        format!("new {}", self.new_program_count)
    }

    /// Addresses for a program, chosen alike on every node, or for a new program, distributed over the nodes.
    pub fn addresses(&mut self, program: Option<&ProgramId>) -> Vec<Arc<str>> {
        let key = program.map_or_else(|| self.next_new_key(), ToString::to_string);
        let live = self.members.values().filter(|member| self.state(member) == MemberState::Live);
        let mut ranked: Vec<&Heartbeat> = live.map(|member| &member.heartbeat).collect();
        // Rendezvous hashing reassigns only the programs of a removed node.
        ranked
            .sort_by_key(|heartbeat| std::cmp::Reverse(xxh3_64_with_seed(key.as_bytes(), heartbeat.node.0)));
        select(&ranked).into_iter().map(|heartbeat| heartbeat.caller_address.clone()).collect()
    }
}

/// Selects the first nodes in rank order, one per failure domain before a second one of any.
fn select<'a>(ranked: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    let mut chosen: Vec<&Heartbeat> = Vec::new();
    for heartbeat in ranked {
        let domain_used = chosen.iter().any(|other| other.failure_domain == heartbeat.failure_domain);
        if !domain_used && chosen.len() < MAX_CALLER_ADDRESSES {
            chosen.push(heartbeat);
        }
    }
    for heartbeat in ranked {
        let selected = chosen.iter().any(|other| other.node == heartbeat.node);
        if !selected && chosen.len() < MAX_CALLER_ADDRESSES {
            chosen.push(heartbeat);
        }
    }
    chosen
}
