//! The list of members as control tells it, and for whom a change of it is news.

use agatetrestle_config::deployment::Role;

use crate::cluster::message::Edition;
use crate::cluster::message::Member;

/// Who is there, and how often that changed.
#[derive(Debug)]
pub struct Roll {
    members: Vec<Member>,
    count: u64,
    /// The count as of the last change among stores and control replicas.
    replicas: u64,
}

impl Default for Roll {
    fn default() -> Self {
        // No process knows count 0, so that the first list is news to everyone.
        Self { members: Vec::new(), count: 1, replicas: 1 }
    }
}

impl Roll {
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

    /// The edition of the list under a leader.
    #[must_use]
    pub fn edition(&self, term: u64) -> Edition {
        Edition { term, count: self.count }
    }

    /// Whether a process that knows an edition must hear of this one at once. An entry waits for stores, above all
    /// after all machines were dark; of other entries it learns with its next report, since each of them that came
    /// or went would wake all.
    #[must_use]
    pub fn is_news(&self, role: Role, known: Edition, term: u64) -> bool {
        let changed = self.edition(term) != known;
        changed && (role != Role::Entry || known.term != term || known.count < self.replicas)
    }
}

fn replicas(members: &[Member]) -> impl Iterator<Item = &Member> {
    members.iter().filter(|member| member.role != Role::Entry)
}
