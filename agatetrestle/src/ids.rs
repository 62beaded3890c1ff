//! Identifiers that all modules share.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Id of a node, unique in the whole system and never 0.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct NodeId(pub u64);

/// Id of a replicated group; see docs/design/001-replicated-log-and-groups.md.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct GroupId(pub u32);

/// Id of the control group.
pub const CONTROL_GROUP: GroupId = GroupId(0);

/// The first state group, and the only one that serves the project's own API.
pub const FIRST_STATE_GROUP: GroupId = GroupId(1);

/// Limit on the state groups of a deployment, above what the largest supported load needs.
pub const MAX_STATE_GROUPS: usize = 32;

/// All ids that a state group may have, in ascending order.
pub fn state_groups() -> impl Iterator<Item = GroupId> {
    (FIRST_STATE_GROUP.0..).take(MAX_STATE_GROUPS).map(GroupId)
}

/// Added to the id of a state group to address the early answers of its leader. A node of an older build has no such group,
/// so it answers that it does not lead it, and logs nothing.
const EARLY_ANSWERS: u32 = 1 << 16;
/// The same for the suspects of a state group.
const SUSPECTS: u32 = 1 << 17;

impl GroupId {
    /// The address of the early answers of a state group; see docs/design/020-commit-latency.md.
    #[must_use]
    pub const fn early_answers(self) -> Self {
        Self(self.0 | EARLY_ANSWERS)
    }

    /// The address of the suspects of a state group; see docs/design/027-requests-that-end-servers.md.
    #[must_use]
    pub const fn suspects(self) -> Self {
        Self(self.0 | SUSPECTS)
    }
}

/// Id of a program. The partner is part of it, so that programs of two partners can't collide.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProgramId {
    /// Name of the partner that owns the program.
    pub partner: Arc<str>,
    /// Name of the program, unique within the partner.
    pub name: Arc<str>,
}

impl ProgramId {
    /// Parses `partner/name`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (partner, name) = text.split_once('/')?;
        let valid = |part: &str| {
            !part.is_empty() && part.len() <= 128 && part.bytes().all(|b| b.is_ascii_graphic() && b != b'/')
        };
        (valid(partner) && valid(name)).then(|| Self { partner: partner.into(), name: name.into() })
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.partner, self.name)
    }
}

/// Number of a call within its program, counting from 1.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct CallNumber(pub u32);

/// Id of an attempt at a call. Only the node that started the attempt may report that it did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// The node that started the attempt.
    pub node: NodeId,
    /// Incarnation of that node, which increases with each restart.
    pub incarnation: u64,
    /// Counts the attempts within the incarnation.
    pub sequence: u64,
}

/// Key that identifies retries of a request (`Idempotency-Key`).
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestKey(pub Arc<str>);
