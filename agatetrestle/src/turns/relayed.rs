//! Events of unfinished turns that their callers may have received.
//!
//! A caller that resumes the stream of a turn gets only the events that it lacks, so the attempt that completes the turn does not see
//! the others. The state group holds them, so that the turn is retained whole whatever became of the entry that relayed them; see
//! docs/design/025-software-versions-of-streams.md.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::codec::Blob;
use crate::suspects::Fingerprint;
use crate::turns::command::TurnId;
use crate::turns::streams::StreamOrigin;

/// Memory of a recorded event besides its text.
const EVENT_BYTES: usize = 100;

/// An event, or several that a caller received before it resumed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedEvent {
    /// ID of the last event.
    pub id: Arc<str>,
    /// The data of each event, followed by a line feed.
    pub text: Blob,
}

/// Payload of [`crate::turns::command::TurnCommand::RecordEvents`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordEvents {
    /// The program that the turn belongs to.
    pub program: Arc<str>,
    /// The attempt that relays the events.
    pub turn: TurnId,
    /// The attempt that brought the first event of the stream; the same if the attempt resumes none.
    pub root: TurnId,
    /// Number of events of the attempt that were recorded before.
    pub position: usize,
    /// The events, after those that the caller had received from earlier attempts.
    pub events: Vec<RelayedEvent>,
}

impl RecordEvents {
    /// Memory that the events take.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.events.iter().map(RelayedEvent::bytes).sum()
    }
}

/// Payload of [`crate::turns::command::TurnCommand::ReadEvents`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadEvents {
    /// The program that the turn belongs to.
    pub program: Arc<str>,
    /// The attempt that brought the first event; empty if its caller names none.
    pub root: TurnId,
    /// The request, by which the stream is found if its caller names no attempt.
    pub request: Fingerprint,
    /// ID of the last event that the caller received.
    pub last_event: Arc<str>,
}

/// What the caller of an unfinished turn has received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReceivedEvents {
    /// Where the stream began.
    pub origin: StreamOrigin,
    /// The attempt that brought its first event.
    pub root: TurnId,
    /// The data of each event, followed by a line feed.
    pub text: Blob,
}

impl RelayedEvent {
    fn bytes(&self) -> usize {
        EVENT_BYTES + self.id.len() + self.text.len()
    }
}

/// The events that one attempt relayed, after those that its caller had received before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Relayed {
    pub(super) root: TurnId,
    /// Grows with each attempt. The callers of a stream go on from what the newest one has brought.
    pub(super) number: u64,
    events: Vec<RelayedEvent>,
}

impl Relayed {
    pub(super) fn new(root: TurnId, number: u64) -> Self {
        Self { root, number, events: Vec::new() }
    }

    /// Appends events, and returns the memory that they take; `None` if earlier ones are missing. Events that are recorded already
    /// are left out, as when a command is repeated.
    pub(super) fn append(&mut self, position: usize, events: Vec<RelayedEvent>) -> Option<usize> {
        let recorded = self.events.len().checked_sub(position)?;
        let before = self.events.len();
        self.events.extend(events.into_iter().skip(recorded));
        Some(self.events[before..].iter().map(RelayedEvent::bytes).sum())
    }

    pub(super) fn bytes(&self) -> usize {
        self.events.iter().map(RelayedEvent::bytes).sum()
    }

    /// The text of the events up to one; `None` if the attempt did not bring it.
    pub(super) fn text_until(&self, last_event: &str) -> Option<Vec<u8>> {
        let last = self.events.iter().rposition(|event| *event.id == *last_event)?;
        let texts: Vec<&[u8]> = self.events[..=last].iter().map(|event| &*event.text).collect();
        Some(texts.concat())
    }
}
