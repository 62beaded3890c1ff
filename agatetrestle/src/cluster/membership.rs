//! The live members, with list versions that depend on what a role can see.

use agatetrestle_config::deployment::Role;

use crate::cluster::message::ListVersion;
use crate::cluster::message::Member;

/// The live members and counts of their changes.
#[derive(Debug)]
pub struct Membership {
    members: Vec<Member>,
    count: u64,
    /// The count as of the last change among stores and control replicas.
    replica_count: u64,
}

impl Default for Membership {
    fn default() -> Self {
        // A process without a list reports count 0, so the first list counts as a change for all.
        Self { members: Vec::new(), count: 1, replica_count: 1 }
    }
}

impl Membership {
    /// All live members of every role.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Replaces the live members and returns whether they changed.
    pub fn replace(&mut self, members: Vec<Member>) -> bool {
        if self.members == members {
            return false;
        }
        self.count += 1;
        if !replicas(&self.members).eq(replicas(&members)) {
            self.replica_count = self.count;
        }
        self.members = members;
        true
    }

    /// The version, in a leader's term, of the members visible to a role. Entries are visible to control alone, which gives
    /// their addresses to callers; they start and stop too often to notify other roles.
    #[must_use]
    pub fn version(&self, role: Role, term: u64) -> ListVersion {
        let count = if role == Role::Control { self.count } else { self.replica_count };
        ListVersion { term, count }
    }

    /// The members visible to a role.
    #[must_use]
    pub fn visible_to(&self, role: Role) -> Vec<Member> {
        let visible = |member: &&Member| role == Role::Control || member.role != Role::Entry;
        self.members.iter().filter(visible).cloned().collect()
    }
}

fn replicas(members: &[Member]) -> impl Iterator<Item = &Member> {
    members.iter().filter(|member| member.role != Role::Entry)
}
