//! Where resumable streams began, for as long as their callers may resume them.
//!
//! Backend servers of several software versions serve side by side, and their output does not fit together. The entry that
//! receives a resumed stream learns from here at which version it has to go on; see
//! docs/design/025-software-versions-of-streams.md.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::codec::Blob;
use crate::suspects::Fingerprint;
use crate::turns::command::TurnId;
use crate::turns::relayed::ReadEvents;
use crate::turns::relayed::ReceivedEvents;
use crate::turns::relayed::RecordEvents;
use crate::turns::relayed::Relayed;

/// Streams that are remembered, 5 MB at most. Beyond it those are dropped whose callers have the least time left. Their
/// callers can start over but not resume.
pub const MAX_STREAMS: usize = 16_384;
/// Added to the time for which a caller may resume, which starts at its first attempt and not at the commit.
const RESUME_MARGIN_MS: u64 = 1_000;
/// Bounds the time that an entry asks for.
const MAX_RESUMABLE_MS: u64 = 600_000;

/// The service and the software version that a stream began at.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: Arc<str>,
    /// The software version of its server.
    pub version: Arc<str>,
}

/// The start of a resumable stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamStart {
    /// Where it begins.
    pub origin: StreamOrigin,
    /// Milliseconds for which its caller may resume it.
    pub resumable_ms: u64,
    /// Number of origins that were recorded before for the same attempt, whose servers did not run it.
    #[serde(default, skip_serializing_if = "is_first")]
    pub revision: u32,
    /// What its caller's attempts at the same request have in common; `None` from entries that do not send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Fingerprint>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_first(revision: &u32) -> bool {
    *revision == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Stream {
    origin: StreamOrigin,
    revision: u32,
    until: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    request: Option<Fingerprint>,
}

/// Streams by the attempt that began them. Times are those of the state, in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Streams {
    by_turn: HashMap<TurnId, Stream>,
    by_end: BTreeSet<(u64, TurnId)>,
    /// The attempts at each request. Derived from `by_turn`.
    #[serde(skip)]
    by_request: BTreeSet<(Option<Fingerprint>, TurnId)>,
    /// Since when no stream may be resumed any more that was dropped for want of memory.
    #[serde(default, skip_serializing_if = "is_zero")]
    complete_since: u64,
    /// The events of turns that are to be retained. Few streams have any, so those of others take no memory for them.
    #[serde(default, skip_serializing_if = "HashMap::is_empty")]
    relayed: HashMap<TurnId, Relayed>,
    /// Attempts of which events were recorded so far.
    #[serde(default, skip_serializing_if = "is_zero")]
    relaying: u64,
    /// Memory of the recorded events. Derived from `relayed`.
    #[serde(skip)]
    event_bytes: usize,
}

impl Streams {
    /// Whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_turn.is_empty()
    }

    /// Number of streams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_turn.len()
    }

    /// Records where an attempt begins. A late copy of an earlier record of the attempt changes nothing.
    pub(super) fn record(&mut self, now: u64, turn: &TurnId, start: StreamStart) {
        let StreamStart { origin, resumable_ms, revision, request } = start;
        if self.by_turn.get(turn).is_some_and(|known| known.revision >= revision) {
            return;
        }
        self.remove(turn);
        let until = now.saturating_add(resumable_ms.min(MAX_RESUMABLE_MS)).saturating_add(RESUME_MARGIN_MS);
        let origin = self.share(origin);
        self.by_end.insert((until, turn.clone()));
        self.by_request.insert((request, turn.clone()));
        self.by_turn.insert(turn.clone(), Stream { origin, revision, until, request });
        if self.by_turn.len() > MAX_STREAMS
            && let Some((until, turn)) = self.by_end.first().cloned()
        {
            self.complete_since = self.complete_since.max(until.saturating_add(1));
            self.remove(&turn);
        }
    }

    /// Where an attempt began; `None` if it is not known any more.
    pub(crate) fn origin(&self, turn: &TurnId) -> Option<&StreamOrigin> {
        self.by_turn.get(turn).map(|stream| &stream.origin)
    }

    /// Where all attempts at a request began that may be resumed; `None` if there is none, if they differ, or if one may be
    /// unknown.
    pub(crate) fn only_origin(&self, now: u64, request: Fingerprint) -> Option<&StreamOrigin> {
        if now < self.complete_since || self.attempts(None).next().is_some() {
            return None;
        }
        let mut origins = self.attempts(Some(request)).filter_map(|turn| self.origin(turn));
        let first = origins.next()?;
        origins.all(|origin| origin == first).then_some(first)
    }

    /// Memory of the events of unfinished turns.
    pub(crate) fn event_bytes(&self) -> usize {
        self.event_bytes
    }

    /// Records events of an attempt. Returns whether no earlier ones are missing. An attempt that is not known (any more) can't be
    /// resumed, so that its events are not needed.
    pub(super) fn record_events(&mut self, record: RecordEvents) -> bool {
        let RecordEvents { turn, root, position, events, .. } = record;
        if !self.by_turn.contains_key(&turn) {
            return true;
        }
        let relayed = self.relayed.entry(turn).or_insert_with(|| {
            self.relaying += 1;
            Relayed::new(root, self.relaying)
        });
        let added = relayed.append(position, events);
        self.event_bytes += added.unwrap_or(0);
        added.is_some()
    }

    /// What the caller of an unfinished turn has received; `None` if it is not certain.
    ///
    /// The newest attempt that brought the last event is the one that the caller went on from. If the caller names no attempt, all
    /// streams that it may have received have to agree.
    pub(crate) fn received(&self, now: u64, read: &ReadEvents) -> Option<ReceivedEvents> {
        let ReadEvents { root, request, last_event, .. } = read;
        let (origin, request) = if root.is_empty() {
            (self.only_origin(now, *request)?, Some(*request))
        } else {
            let stream = self.by_turn.get(root)?;
            (&stream.origin, stream.request)
        };
        let relayed = self.attempts(request).filter_map(|turn| self.relayed.get(turn));
        let relayed = relayed.filter(|relayed| root.is_empty() || relayed.root == *root);
        let mut brought: Vec<(&Relayed, Vec<u8>)> =
            relayed.filter_map(|relayed| Some((relayed, relayed.text_until(last_event)?))).collect();
        brought.sort_by_key(|(relayed, _)| relayed.number);
        let (newest, text) = brought.pop()?;
        let mut roots_seen = BTreeSet::from([&newest.root]);
        while let Some((other, other_text)) = brought.pop() {
            if roots_seen.insert(&other.root) && other_text != text {
                return None;
            }
        }
        Some(ReceivedEvents {
            origin: origin.clone(),
            root: newest.root.clone(),
            text: Blob::from(&text[..]),
        })
    }

    /// The attempts at a request, or those of an unknown request.
    fn attempts(&self, request: Option<Fingerprint>) -> impl Iterator<Item = &TurnId> {
        let from = self.by_request.range((request, TurnId::default())..);
        from.take_while(move |(of, _)| *of == request).map(|(_, turn)| turn)
    }

    /// Restores what is derived, after the rest was decoded.
    pub(super) fn restore_index(&mut self) {
        let entries = self.by_turn.iter().map(|(turn, stream)| (stream.request, turn.clone()));
        self.by_request = entries.collect();
        self.event_bytes = self.relayed.values().map(Relayed::bytes).sum();
    }

    /// Drops the streams that cannot be resumed any more.
    pub(super) fn advance(&mut self, now: u64) {
        while let Some((until, turn)) = self.by_end.first().cloned()
            && until < now
        {
            self.remove(&turn);
        }
    }

    fn remove(&mut self, turn: &TurnId) {
        if let Some(stream) = self.by_turn.remove(turn) {
            self.by_end.remove(&(stream.until, turn.clone()));
            self.by_request.remove(&(stream.request, turn.clone()));
            self.event_bytes -= self.relayed.remove(turn).map_or(0, |relayed| relayed.bytes());
        }
    }

    /// Replaces an origin by an equal one that is held already, since each decoded command has copies of its own.
    fn share(&self, origin: StreamOrigin) -> StreamOrigin {
        let known = [self.by_end.first(), self.by_end.last()].into_iter().flatten();
        let mut known = known.filter_map(|(_, turn)| self.origin(turn));
        known.find(|known| **known == origin).cloned().unwrap_or(origin)
    }
}
