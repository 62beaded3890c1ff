//! A node's picture of the others, from the digests it gets, and the choice of caller addresses.

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

/// Addresses in one answer: the first to use and two to fall back on, in other failure domains.
const ADDRESSES: usize = 3;

/// Newest word on every node.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: BTreeMap<NodeId, NodeRecord>,
    signs: LeaveNotices,
    /// Notices that this node saw itself, told in every heartbeat until a leader tells them back.
    own: Vec<LeaveNotice>,
    /// The replica whose digest was last taken in, and how far it told.
    position: Option<(NodeId, DigestPosition)>,
    answers: u64,
}

impl Roster {
    /// Takes in a digest from a control replica. Only one with a lease tells of members, since a replica
    /// that is cut off hears from few nodes. Returns the signs that were news.
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
        let told_back = |own: &LeaveNotice| {
            digest.leaving.iter().any(|sign| sign.name == own.name && sign.incarnation >= own.incarnation)
        };
        self.own.retain(|own| !told_back(own));
        let news = digest.leaving.iter().filter(|sign| self.signs.add(sign, 0));
        news.cloned().collect()
    }

    /// How far a replica has told this node. Another replica than the last one tells everything again,
    /// because its changes are counted otherwise.
    #[must_use]
    pub fn position(&self, replica: NodeId) -> DigestPosition {
        self.position.filter(|(from, _)| *from == replica).map(|(_, position)| position).unwrap_or_default()
    }

    /// Adds a sign that this node saw itself; returns whether it was news.
    pub fn add_notice(&mut self, sign: &LeaveNotice) -> bool {
        let news = self.signs.add(sign, 0);
        if news {
            self.own.push(sign.clone());
        }
        news
    }

    /// Notices that this node saw itself and no leader has told back.
    #[must_use]
    pub fn pending_notices(&self) -> Vec<LeaveNotice> {
        self.own.clone()
    }

    /// The highest incarnation of a name that leaves, if any does.
    #[must_use]
    pub fn leaving(&self, name: &str) -> Option<u64> {
        self.signs.incarnation(name)
    }

    /// The incarnation of the node on a VM, if one is known.
    #[must_use]
    pub fn incarnation_on(&self, vm: &str) -> Option<u64> {
        let member = self.members.values().find(|member| &*member.heartbeat.vm == vm)?;
        Some(member.heartbeat.incarnation)
    }

    /// All nodes for listings.
    #[must_use]
    pub fn views(&self) -> Vec<MemberView> {
        self.members.values().map(|member| self.view(member)).collect()
    }

    fn state(&self, member: &NodeRecord) -> MemberState {
        let beat = &member.heartbeat;
        match member.state {
            MemberState::Live if self.signs.covers(&beat.vm, beat.incarnation) => MemberState::Leaving,
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
        let beat = &member.heartbeat;
        MemberView {
            node: beat.node,
            vm: beat.vm.clone(),
            failure_domain: beat.failure_domain.clone(),
            region: beat.region.clone(),
            incarnation: beat.incarnation,
            caller_address: beat.caller_address.clone(),
            live: state == MemberState::Live,
            state: name.into(),
            revision: beat.revision,
        }
    }

    /// A key that differs each time, so that new programs spread over all nodes.
    fn next_new_key(&mut self) -> String {
        self.answers += 1;
        format!("new {}", self.answers)
    }

    /// Addresses for a program, the same on every node, or for a new one, each time others.
    pub fn addresses(&mut self, program: Option<&ProgramId>) -> Vec<Arc<str>> {
        let key = program.map_or_else(|| self.next_new_key(), ToString::to_string);
        let live = self.members.values().filter(|member| self.state(member) == MemberState::Live);
        let mut ranked: Vec<&Heartbeat> = live.map(|member| &member.heartbeat).collect();
        // Rendezvous hashing moves only the programs of a node that left.
        ranked.sort_by_key(|beat| std::cmp::Reverse(xxh3_64_with_seed(key.as_bytes(), beat.node.0)));
        spread(&ranked).into_iter().map(|beat| beat.caller_address.clone()).collect()
    }
}

/// Takes the first nodes in order, one of each failure domain before a second of any.
fn spread<'a>(ranked: &[&'a Heartbeat]) -> Vec<&'a Heartbeat> {
    let mut chosen: Vec<&Heartbeat> = Vec::new();
    for beat in ranked {
        let domain_taken = chosen.iter().any(|other| other.failure_domain == beat.failure_domain);
        if !domain_taken && chosen.len() < ADDRESSES {
            chosen.push(beat);
        }
    }
    for beat in ranked {
        let taken = chosen.iter().any(|other| other.node == beat.node);
        if !taken && chosen.len() < ADDRESSES {
            chosen.push(beat);
        }
    }
    chosen
}
