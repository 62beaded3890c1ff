//! The table that a control replica keeps of all nodes.
//!
//! Every visible change has a number, and a node is told only what changed since it was last told. A full
//! digest for each heartbeat would cost bytes by the square of the nodes; see docs/CAPACITY.md.

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

/// Heartbeats that may be missed before a node counts as silent.
const MISSED_BEATS: u32 = 3;
/// Heartbeats after which a silent node is forgotten; it is listed until then for operators.
const FORGOTTEN_BEATS: u32 = 3_600;

#[derive(Clone, Debug)]
struct Row {
    member: NodeRecord,
    heard: Timestamp,
    /// Number of the last visible change.
    changed: u64,
}

/// Last heartbeat of every node, with all leaving signs.
#[derive(Clone, Debug)]
pub struct MemberTable {
    epoch: u64,
    interval: Duration,
    rows: BTreeMap<NodeId, Row>,
    signs: LeaveNotices,
    sequence: u64,
    /// Number of the last change that a list of changed rows can't tell, such as a forgotten node.
    only_full: u64,
}

impl MemberTable {
    /// An empty table for heartbeats of this interval; `epoch` differs after each restart.
    #[must_use]
    pub fn new(epoch: u64, interval: Duration) -> Self {
        Self {
            epoch,
            interval,
            rows: BTreeMap::new(),
            signs: LeaveNotices::default(),
            sequence: 1,
            only_full: 0,
        }
    }

    /// Takes in a heartbeat; one of an older incarnation is a late message and changes nothing. Returns
    /// whether it was of the newest incarnation.
    pub fn record(&mut self, now: Timestamp, mut beat: Heartbeat) -> bool {
        for sign in std::mem::take(&mut beat.leaving) {
            self.add_notice(&sign);
        }
        beat.position = DigestPosition::default();
        let node = beat.node;
        match self.rows.get_mut(&node) {
            Some(row) if row.member.heartbeat.incarnation > beat.incarnation => return false,
            Some(row) if row.member.heartbeat == beat => row.heard = now,
            _ => {
                self.sequence += 1;
                let member = NodeRecord { heartbeat: beat, state: MemberState::Live };
                self.rows.insert(node, Row { member, heard: now, changed: self.sequence });
            }
        }
        true
    }

    /// Adds a sign; an older one than known changes nothing.
    pub fn add_notice(&mut self, sign: &LeaveNotice) {
        if self.signs.add(sign, self.sequence + 1) {
            self.sequence += 1;
        }
    }

    /// What a node must be told as of now that was told so far.
    pub fn digest(&mut self, now: Timestamp, position: DigestPosition) -> Digest {
        self.judge_all(now);
        let full = position.epoch != self.epoch || position.sequence < self.only_full;
        let after = if full { 0 } else { position.sequence };
        let changed = self.rows.values().filter(|row| row.changed > after);
        Digest {
            members: changed.map(|row| row.member.clone()).collect(),
            leaving: self.signs.changed_after(after),
            full,
            position: DigestPosition { epoch: self.epoch, sequence: self.sequence },
            ..Digest::default()
        }
    }

    fn judge_all(&mut self, now: Timestamp) {
        let forgotten = self.interval * FORGOTTEN_BEATS;
        let before = self.rows.len();
        self.rows.retain(|_, row| now.since(row.heard) <= forgotten);
        if self.rows.len() < before {
            self.sequence += 1;
            self.only_full = self.sequence;
        }
        for row in self.rows.values_mut() {
            let state = judge(now, self.interval, &self.signs, row);
            if state != row.member.state {
                row.member.state = state;
                self.sequence += 1;
                row.changed = self.sequence;
            }
        }
    }
}

fn judge(now: Timestamp, interval: Duration, signs: &LeaveNotices, row: &Row) -> MemberState {
    let beat = &row.member.heartbeat;
    if now.since(row.heard) > interval * MISSED_BEATS {
        MemberState::Silent
    } else if beat.stopping {
        MemberState::Stopping
    } else if signs.covers(&beat.vm, beat.incarnation) {
        MemberState::Leaving
    } else {
        MemberState::Live
    }
}
