//! The table that a control replica keeps of all nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::NodeId;
use crate::members::message::Heartbeat;
use crate::members::message::Member;
use crate::members::message::MemberState;
use crate::members::message::Sign;
use crate::members::signs::Signs;

/// Heartbeats that may be missed before a node counts as silent.
const MISSED_BEATS: u32 = 3;
/// Heartbeats after which a silent node is forgotten; it is listed until then for operators.
const FORGOTTEN_BEATS: u32 = 3_600;

#[derive(Clone, Debug)]
struct Row {
    beat: Heartbeat,
    heard: Timestamp,
}

/// Last heartbeat of every node, with all leaving signs.
#[derive(Clone, Debug)]
pub struct Table {
    interval: Duration,
    rows: BTreeMap<NodeId, Row>,
    signs: Signs,
}

impl Table {
    /// An empty table for heartbeats of this interval.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self { interval, rows: BTreeMap::new(), signs: Signs::default() }
    }

    /// Takes in a heartbeat; one of an older incarnation is a late message and changes nothing. Returns
    /// whether it was of the newest incarnation.
    pub fn record(&mut self, now: Timestamp, mut beat: Heartbeat) -> bool {
        for sign in beat.leaving.drain(..) {
            self.signs.add(&sign);
        }
        let known = self.rows.get(&beat.node);
        if known.is_some_and(|row| row.beat.incarnation > beat.incarnation) {
            return false;
        }
        self.rows.insert(beat.node, Row { beat, heard: now });
        true
    }

    /// Adds a sign that came from elsewhere, such as an operator.
    pub fn mark(&mut self, sign: &Sign) {
        self.signs.add(sign);
    }

    /// All signs.
    #[must_use]
    pub fn signs(&self) -> Vec<Sign> {
        self.signs.list()
    }

    /// All nodes as of now; those long forgotten are dropped.
    pub fn members(&mut self, now: Timestamp) -> Vec<Member> {
        let forgotten = self.interval * FORGOTTEN_BEATS;
        self.rows.retain(|_, row| now.since(row.heard) <= forgotten);
        self.rows.values().map(|row| self.judge(now, row)).collect()
    }

    fn judge(&self, now: Timestamp, row: &Row) -> Member {
        let beat = row.beat.clone();
        let state = if now.since(row.heard) > self.interval * MISSED_BEATS {
            MemberState::Silent
        } else if beat.stopping {
            MemberState::Stopping
        } else if self.signs.covers(&beat.vm, beat.incarnation) {
            MemberState::Leaving
        } else {
            MemberState::Live
        };
        Member { beat, state }
    }
}
