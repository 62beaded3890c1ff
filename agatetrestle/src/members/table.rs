//! The table of all nodes that a control replica maintains from heartbeats.
//!
//! Visible changes are numbered, and a digest contains only the changes since the node's last one. Full digests would
//! cost traffic quadratic in the number of nodes; see docs/CAPACITY.md.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::NodeId;
use crate::members::leave_notices::LeaveNotices;
use crate::members::message::Digest;
use crate::members::message::DigestPosition;
use crate::members::message::Heartbeat;
use crate::members::message::LeaveNotice;
use crate::members::message::MemberState;
use crate::members::message::NodeRecord;

/// Heartbeats that a node may miss before it counts as silent.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// Missed heartbeats after which a silent node is removed; until then it is listed for operators.
const MAX_SILENT_HEARTBEATS: u32 = 3_600;

#[derive(Clone, Debug)]
struct Row {
    member: NodeRecord,
    received_at: Timestamp,
    /// Number of the last visible change.
    sequence: u64,
}

/// The last heartbeat of every node and all leave notices.
#[derive(Clone, Debug)]
pub struct MemberTable {
    epoch: u64,
    interval: Duration,
    rows: BTreeMap<NodeId, Row>,
    notices: LeaveNotices,
    sequence: u64,
    /// Number of the last removal of a node, which only a full digest can convey.
    last_removal: u64,
}

impl MemberTable {
    /// Creates an empty table for an interval of heartbeats; `epoch` must differ after each restart.
    #[must_use]
    pub fn new(epoch: u64, interval: Duration) -> Self {
        Self {
            epoch,
            interval,
            rows: BTreeMap::new(),
            notices: LeaveNotices::default(),
            sequence: 1,
            last_removal: 0,
        }
    }

    /// Records a heartbeat and returns whether it is of the newest incarnation. A delayed one of an older incarnation is
    /// ignored.
    pub fn record(&mut self, now: Timestamp, mut heartbeat: Heartbeat) -> bool {
        for notice in std::mem::take(&mut heartbeat.leaving) {
            self.add_notice(&notice);
        }
        heartbeat.position = DigestPosition::default();
        let node = heartbeat.node;
        match self.rows.get_mut(&node) {
            Some(row) if row.member.heartbeat.incarnation > heartbeat.incarnation => return false,
            Some(row) if row.member.heartbeat == heartbeat => row.received_at = now,
            _ => {
                self.sequence += 1;
                let member = NodeRecord { heartbeat, state: MemberState::Live };
                self.rows.insert(node, Row { member, received_at: now, sequence: self.sequence });
            }
        }
        true
    }

    /// Adds a leave notice, unless the incarnation is known already.
    pub fn add_notice(&mut self, notice: &LeaveNotice) {
        if self.notices.add(notice, self.sequence + 1) {
            self.sequence += 1;
        }
    }

    /// The digest for a node that has received the changes up to a position.
    pub fn digest(&mut self, now: Timestamp, position: DigestPosition) -> Digest {
        self.update_states(now);
        let full = position.epoch != self.epoch || position.sequence < self.last_removal;
        let after = if full { 0 } else { position.sequence };
        let changed = self.rows.values().filter(|row| row.sequence > after);
        Digest {
            members: changed.map(|row| row.member.clone()).collect(),
            leaving: self.notices.changed_after(after),
            full,
            position: DigestPosition { epoch: self.epoch, sequence: self.sequence },
            ..Digest::default()
        }
    }

    fn update_states(&mut self, now: Timestamp) {
        let retention = self.interval * MAX_SILENT_HEARTBEATS;
        let count = self.rows.len();
        self.rows.retain(|_, row| now.since(row.received_at) <= retention);
        if self.rows.len() < count {
            self.sequence += 1;
            self.last_removal = self.sequence;
        }
        for row in self.rows.values_mut() {
            let state = member_state(now, self.interval, &self.notices, row);
            if state != row.member.state {
                row.member.state = state;
                self.sequence += 1;
                row.sequence = self.sequence;
            }
        }
    }
}

fn member_state(now: Timestamp, interval: Duration, notices: &LeaveNotices, row: &Row) -> MemberState {
    let heartbeat = &row.member.heartbeat;
    if now.since(row.received_at) > interval * MAX_MISSED_HEARTBEATS {
        MemberState::Silent
    } else if heartbeat.stopping {
        MemberState::Stopping
    } else if notices.contains(&heartbeat.vm, heartbeat.incarnation) {
        MemberState::Leaving
    } else {
        MemberState::Live
    }
}
