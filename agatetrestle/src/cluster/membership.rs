//! The members that are alive, with an edition for each role that has to learn of changes.

use agatetrestle_config::deployment::Role;

use crate::cluster::message::ListVersion;
use crate::cluster::message::Member;

/// Who is there, and how often that changed.
#[derive(Debug)]
pub struct Membership {
    members: Vec<Member>,
    count: u64,
    /// The count as of the last change among stores and control replicas.
    replicas: u64,
}

impl Default for Membership {
    fn default() -> Self {
        // No process knows count 0, so that the first list is news to everyone.
        Self { members: Vec::new(), count: 1, replicas: 1 }
    }
}

impl Membership {
    /// The members.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Takes in who is there now; whether that changed anything.
    pub fn replace(&mut self, members: Vec<Member>) -> bool {
        if self.members == members {
            return false;
        }
        self.count += 1;
        if !replicas(&self.members).eq(replicas(&members)) {
            self.replicas = self.count;
        }
        self.members = members;
        true
    }

    /// The edition, under a leader, of the members that are visible to a role. Entries are visible to control alone, which
    /// gives their addresses to callers; hundreds of them start and stop in a day, and that is no news to the rest.
    #[must_use]
    pub fn edition(&self, role: Role, term: u64) -> ListVersion {
        let count = if role == Role::Control { self.count } else { self.replicas };
        ListVersion { term, count }
    }

    /// The members that are visible to a role.
    #[must_use]
    pub fn visible_to(&self, role: Role) -> Vec<Member> {
        let wanted = |member: &&Member| role == Role::Control || member.role != Role::Entry;
        self.members.iter().filter(wanted).cloned().collect()
    }
}

fn replicas(members: &[Member]) -> impl Iterator<Item = &Member> {
    members.iter().filter(|member| member.role != Role::Entry)
}
