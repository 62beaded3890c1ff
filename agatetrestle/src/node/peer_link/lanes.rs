//! Decides which of several connections to a peer carries the next message of a group.
//!
//! TCP holds back all bytes behind a lost packet until it has repeated that packet, which takes 200 ms or more. One lost packet
//! then delays every heartbeat for about an election timeout. So the first connection is used while it answers, and another one
//! while it doesn't. Large messages have connections of their own, where they delay no others. Replicas tolerate that messages
//! overtake each other. Pure: time comes in as an argument.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use crate::clock::Timestamp;

/// Connections to one peer. Three lost packets in a row, each on another connection, are rare enough on links that lose 3 packets
/// in 100; large messages use [`LARGE_LANES`] more.
pub(crate) const MAX_LANES: usize = 3 + LARGE_LANES;
/// Connections for large messages. A connection on which a packet is lost carries nothing else until it is repeated, so the copy of
/// a state over one alone takes several times as long.
const LARGE_LANES: usize = 4;
/// Payload from which a message is large: more than replicas send before they know what a peer needs.
pub(crate) const LARGE_BYTES: usize = (16 << 10) + 1;
/// Least time without an answer after which a connection counts as stalled. A peer that answers needs a few milliseconds, and TCP
/// repeats a lost packet after 200 ms.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(30);
/// Multiple of the shortest answer time after which a connection counts as stalled if that is longer.
const STALL_TIMEOUT_FACTOR: u32 = 2;

/// Identifies an unanswered delivery.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Delivery {
    /// Index of the connection that carries it.
    pub(crate) lane: usize,
    sent: Timestamp,
    number: u64,
}

/// The unanswered deliveries to one peer.
#[derive(Debug)]
pub(crate) struct Lanes {
    /// Unanswered deliveries of each connection, oldest first.
    pending: Vec<VecDeque<Delivery>>,
    next_number: u64,
    shortest_answer: Option<Duration>,
}

impl Lanes {
    /// Creates the state of `count` connections without deliveries.
    pub(crate) fn new(count: usize) -> Self {
        Self { pending: vec![VecDeque::new(); count.max(1)], next_number: 0, shortest_answer: None }
    }

    /// Starts a delivery of a payload: a large one on the least used connection for large ones, another one on the first that is
    /// not stalled, or on the least used if all are.
    pub(crate) fn start(&mut self, now: Timestamp, payload_bytes: usize) -> Delivery {
        let small_lanes = self.pending.len().saturating_sub(LARGE_LANES).max(1);
        let lane = if payload_bytes >= LARGE_BYTES {
            self.least_used(small_lanes.min(self.pending.len() - 1)..self.pending.len())
        } else {
            let timeout = self.stall_timeout();
            let is_usable = |lane: &usize| {
                self.pending[*lane].front().is_none_or(|oldest| now.since(oldest.sent) < timeout)
            };
            (0..small_lanes).find(is_usable).unwrap_or_else(|| self.least_used(0..small_lanes))
        };
        let delivery = Delivery { lane, sent: now, number: self.next_number };
        self.next_number += 1;
        self.pending[lane].push_back(delivery);
        delivery
    }

    fn least_used(&self, lanes: Range<usize>) -> usize {
        lanes.min_by_key(|lane| self.pending[*lane].len()).unwrap_or_default()
    }

    /// Ends a delivery; `answered` unless its connection failed.
    pub(crate) fn end(&mut self, now: Timestamp, delivery: Delivery, answered: bool) {
        self.pending[delivery.lane].retain(|pending| pending.number != delivery.number);
        if answered {
            let took = now.since(delivery.sent);
            self.shortest_answer = Some(self.shortest_answer.map_or(took, |shortest| shortest.min(took)));
        }
    }

    fn stall_timeout(&self) -> Duration {
        let answer = self.shortest_answer.unwrap_or_default();
        MIN_STALL_TIMEOUT.max(answer * STALL_TIMEOUT_FACTOR)
    }
}
