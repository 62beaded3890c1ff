//! Names and numbers that every slice uses.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Number of a node, unique in the whole system and never 0.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct NodeId(pub u64);

/// Number of a replicated group; see docs/design/001-replicated-log-and-groups.md.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct GroupId(pub u32);

/// The control group; state groups count from 1.
pub const CONTROL_GROUP: GroupId = GroupId(0);

/// The first state group, and the only one of the own interface.
pub const FIRST_STATE_GROUP: GroupId = GroupId(1);

/// Most state groups of a deployment. At 700 turns a second each, 24 carry the size that the project is designed for.
pub const MAX_STATE_GROUPS: usize = 32;

/// All numbers that a state group may have, in order.
pub fn state_groups() -> impl Iterator<Item = GroupId> {
    (FIRST_STATE_GROUP.0..).take(MAX_STATE_GROUPS).map(GroupId)
}

/// Identity of a program. The partner is part of it, so that two partners' programs can't meet.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ProgramId {
    /// The partner that the program belongs to.
    pub partner: Arc<str>,
    /// Name of the program, unique within the partner.
    pub name: Arc<str>,
}

impl ProgramId {
    /// Reads the form `partner/name` that callers use.
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

/// Number of a call within its program, counting from 1 in the order the program makes them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct CallNumber(pub u32);

/// One attempt at a call: only the node that began it may say that it did not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// The node that began the attempt.
    pub node: NodeId,
    /// Incarnation of that node, higher after each restart.
    pub incarnation: u64,
    /// Count of attempts within the incarnation.
    pub sequence: u64,
}

/// Key by which a caller asks again for the same request (`Idempotency-Key`).
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestKey(pub Arc<str>);
