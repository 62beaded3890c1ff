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

use crate::turns::command::TurnId;

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
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_first(revision: &u32) -> bool {
    *revision == 0
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Stream {
    origin: StreamOrigin,
    revision: u32,
    until: u64,
}

/// Streams by the attempt that began them. Times are those of the state, in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Streams {
    by_turn: HashMap<TurnId, Stream>,
    by_end: BTreeSet<(u64, TurnId)>,
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
        let StreamStart { origin, resumable_ms, revision } = start;
        if let Some(known) = self.by_turn.get(turn) {
            if known.revision >= revision {
                return;
            }
            self.by_end.remove(&(known.until, turn.clone()));
        }
        let until = now.saturating_add(resumable_ms.min(MAX_RESUMABLE_MS)).saturating_add(RESUME_MARGIN_MS);
        self.by_turn.insert(turn.clone(), Stream { origin, revision, until });
        self.by_end.insert((until, turn.clone()));
        if self.by_turn.len() > MAX_STREAMS
            && let Some((_, turn)) = self.by_end.pop_first()
        {
            self.by_turn.remove(&turn);
        }
    }

    /// Where an attempt began; `None` if it is not known any more.
    pub(crate) fn origin(&self, turn: &TurnId) -> Option<&StreamOrigin> {
        self.by_turn.get(turn).map(|stream| &stream.origin)
    }

    /// Drops the streams that cannot be resumed any more.
    pub(super) fn advance(&mut self, now: u64) {
        while let Some((until, _)) = self.by_end.first()
            && *until < now
            && let Some((_, turn)) = self.by_end.pop_first()
        {
            self.by_turn.remove(&turn);
        }
    }
}
