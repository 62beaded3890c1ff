//! Tells entries of new suspects.
//!
//! An entry that reported a loss asks the leader to announce it before its caller gets the end of the broken response, so that no
//! caller comes back before the entries in touch know of the suspect; see docs/design/027-requests-that-end-servers.md.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use futures::channel::oneshot;
use serde::Deserialize;
use serde::Serialize;
use smol::Timer;

use crate::clock::Timestamp;
use crate::ids::NodeId;
use crate::node::peer_link::with_deadline;

/// Longest time that an entry's question waits for a new suspect. Longer ones would cost less, but an entry learns only from
/// the next one that a leader it still reaches was replaced.
pub const MAX_WATCH: Duration = Duration::from_secs(10);
/// Longest time that an announcement waits until entries know of all suspects; longer than a message takes to an entry that
/// is in touch, and much shorter than callers wait.
pub const MAX_ACKNOWLEDGEMENT: Duration = Duration::from_millis(250);
/// Time after a leader learns of its term in which it may not have heard of all entries.
const GATHERING_TIME: Duration = Duration::from_secs(1);
/// How often a waiting announcement looks for acknowledgements.
const ACKNOWLEDGEMENT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A question of an entry to the leader of a state group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectQuery {
    /// Answered with an encoded [`crate::suspects::record::Digest`] once there are new suspects.
    Watch(WatchRequest),
    /// Answered once the entries in touch know all suspects.
    Announce,
}

/// A question for suspects that were added after a version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchRequest {
    /// The entry that asks.
    pub node: NodeId,
    /// The version that it knows; `None` if it knows none, so that it is answered at once.
    pub version: Option<u64>,
}

#[derive(Debug, Default)]
struct WatchingEntry {
    version: Option<u64>,
    /// When its process asked for the first time, in the time of the group's state; 0 if another leader was asked then.
    joined_at: u64,
    /// When it asked last, or got its answer.
    seen_at: Timestamp,
    /// Wakes its question; `None` between two questions.
    waker: Option<oneshot::Sender<()>>,
}

/// The entries that a leader tells of suspects.
#[derive(Debug, Default)]
pub struct SuspectWatch {
    entries: RefCell<HashMap<NodeId, WatchingEntry>>,
    /// Version that all questions were woken for.
    announced: Cell<u64>,
    /// The last term in which this replica led, with the time at which it learned that.
    term: Cell<Option<(u64, Timestamp)>>,
}

/// Forgets an entry whose question is dropped, since its connection ended.
struct WatchGuard<'a> {
    watch: &'a SuspectWatch,
    node: NodeId,
    answered: bool,
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.watch.entries.borrow_mut().remove(&self.node);
        }
    }
}

impl SuspectWatch {
    /// Records what an entry knows, and waits until there is a newer version or the time is up. `state_now` is the time of the
    /// group's state.
    pub(super) async fn wait(&self, now: Timestamp, request: WatchRequest, version: u64, state_now: u64) {
        let (tx, rx) = oneshot::channel();
        let waits = request.version == Some(version);
        let waker = waits.then_some(tx);
        {
            let mut entries = self.entries.borrow_mut();
            // A process that knows no version has just started.
            let joined_at = match request.version {
                None => state_now,
                Some(_) => entries.get(&request.node).map_or(0, |entry| entry.joined_at),
            };
            let entry = WatchingEntry { version: request.version, joined_at, seen_at: now, waker };
            entries.insert(request.node, entry);
        }
        if !waits {
            return;
        }
        let mut guard = WatchGuard { watch: self, node: request.node, answered: false };
        // A question that another one of the entry replaced is answered at once.
        let _ = with_deadline(MAX_WATCH, rx).await;
        guard.answered = true;
    }

    /// Wakes the questions if there is a newer version, or if this replica does not lead any more.
    pub(super) fn announce(&self, now: Timestamp, term: Option<u64>, version: u64) {
        if let Some(term) = term
            && self.term.get().is_none_or(|(known, _)| known != term)
        {
            self.term.set(Some((term, now)));
            self.entries.borrow_mut().clear();
        }
        if self.announced.replace(version) != version || term.is_none() {
            for entry in self.entries.borrow_mut().values_mut() {
                if let Some(waker) = entry.waker.take() {
                    entry.seen_at = now;
                    // A dropped receiver means that the question is answered already.
                    let _ = waker.send(());
                }
            }
        }
    }

    /// Whether the process of an entry that ran at a time of the group's state is out of touch, or was replaced since. A new leader
    /// does not know for some time.
    pub(super) fn is_gone(&self, now: Timestamp, node: NodeId, ran_at: u64) -> bool {
        if self.is_gathering(now) {
            return false;
        }
        self.entries.borrow().get(&node).is_none_or(|entry| {
            let is_asking = entry.waker.as_ref().is_some_and(|waker| !waker.is_canceled());
            entry.joined_at > ran_at || (!is_asking && now.since(entry.seen_at) > MAX_ACKNOWLEDGEMENT)
        })
    }

    /// Whether this leader does not know all entries yet.
    pub(super) fn is_gathering(&self, now: Timestamp) -> bool {
        self.term.get().is_none_or(|(_, since)| now.since(since) < GATHERING_TIME)
    }

    /// Waits until all entries in touch know a version. Entries that do not say so in time are out of touch.
    pub(super) async fn acknowledged(&self, now: Timestamp, version: u64) {
        let gathering = self.is_gathering(now);
        let known = async {
            while gathering || !self.all_know(version) {
                Timer::after(ACKNOWLEDGEMENT_POLL_INTERVAL).await;
            }
        };
        let _ = with_deadline(MAX_ACKNOWLEDGEMENT, known).await;
        self.entries.borrow_mut().retain(|_, entry| entry.version >= Some(version));
    }

    fn all_know(&self, version: u64) -> bool {
        self.entries.borrow().values().all(|entry| entry.version >= Some(version))
    }
}
