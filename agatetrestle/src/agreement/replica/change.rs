//! Changes of the replicas, one at a time, and planned changes of leader.
//!
//! A set differs from the one before by one voter, so that majorities of both overlap; that holds only if each
//! change waits until the one before is committed, and the first until this leader has committed an
//! entry of its own term.

use crate::agreement::Output;
use crate::agreement::Rejection;
use crate::agreement::ReplicaChange;
use crate::agreement::Replicas;
use crate::agreement::Ticket;
use crate::agreement::coding;
use crate::agreement::message::Body;
use crate::agreement::message::EntryKind;
use crate::agreement::replica::Replica;
use crate::agreement::replica::Role;
use crate::agreement::replica::leader::Transfer;
use crate::clock::Timestamp;
use crate::ids::NodeId;

impl Replica {
    pub(super) fn change_replicas(&mut self, now: Timestamp, ticket: Ticket, change: ReplicaChange) {
        let changed = match self.check_change(now, change) {
            Ok(changed) => changed,
            Err(reason) => {
                self.reject(ticket, reason);
                return;
            }
        };
        if changed == *self.replicas() {
            self.out.push(Output::Replicas { ticket: Some(ticket), replicas: changed });
            return;
        }
        let index = self.append_own(EntryKind::Replicas, coding::encode_replicas(&changed));
        self.expect_outcome(now, index, ticket);
        self.add_peers();
        self.begin_round(now);
    }

    /// The set after a change, or why there is none.
    fn check_change(&self, now: Timestamp, change: ReplicaChange) -> Result<Replicas, Rejection> {
        self.accepts_proposals(now)?;
        let pending = self.sets.current_index() > self.commit && !faulty!(self, AllowTwoChanges);
        if pending || !self.has_committed_own_term() {
            return Err(Rejection::ChangePending);
        }
        let mut replicas = self.replicas().clone();
        match change {
            ReplicaChange::AddLearner(node) if replicas.voters.contains(&node) => {}
            ReplicaChange::AddLearner(node) => {
                replicas.learners.insert(node);
            }
            ReplicaChange::Promote(node) if replicas.voters.contains(&node) => {}
            ReplicaChange::Promote(node) => self.promote(&mut replicas, node)?,
            ReplicaChange::Remove(node) => {
                replicas.learners.remove(&node);
                replicas.voters.remove(&node);
            }
        }
        if replicas.voters.is_empty() {
            return Err(Rejection::InvalidChange);
        }
        Ok(replicas)
    }

    fn promote(&self, replicas: &mut Replicas, node: NodeId) -> Result<(), Rejection> {
        if !replicas.learners.remove(&node) {
            return Err(Rejection::InvalidChange);
        }
        replicas.voters.insert(node);
        match &self.role {
            Role::Leader(leader) if leader.progress.get(&node).is_some_and(|p| p.matched >= self.commit) => {
                Ok(())
            }
            _ => Err(Rejection::ChangePending),
        }
    }

    /// Lets go of removed peers, and of leadership if this node was removed.
    pub(super) fn finish_change(&mut self, now: Timestamp) {
        if self.sets.current_index() > self.commit {
            return;
        }
        let replicas = self.sets.current();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let takes_part = |peer: &NodeId| replicas.voters.contains(peer) || replicas.learners.contains(peer);
        leader.progress.retain(|peer, _| takes_part(peer));
        if !self.is_voter(self.cfg.node) {
            self.begin_round(now);
            self.become_follower(self.term, None);
            self.reset_election_deadline(now);
        }
    }

    pub(super) fn hand_over(&mut self, now: Timestamp) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let voters = &self.sets.current().voters;
        let candidates = leader.progress.iter().filter(|(peer, _)| voters.contains(peer));
        let best = candidates.max_by_key(|(_, progress)| (progress.acked_at, progress.matched));
        if let Some((peer, _)) = best {
            leader.transfer = Some(Transfer { to: *peer, since: now });
            self.retry_transfer();
        }
    }

    /// Asks the chosen peer to take over once it has the whole log.
    ///
    /// From then on it may be elected at any time, so the lease is given up for the rest of the term.
    pub(super) fn retry_transfer(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(Transfer { to, .. }) = leader.transfer else {
            return;
        };
        if leader.progress.get(&to).is_some_and(|progress| progress.matched == last) {
            leader.lease_forfeited = true;
            self.send(to, Body::TimeoutNow);
        }
    }

    /// Takes proposals again if nobody took over in time.
    pub(super) fn expire_transfer(&mut self, now: Timestamp) {
        let timeout = self.cfg.election_timeout;
        if let Role::Leader(leader) = &mut self.role
            && leader.transfer.is_some_and(|transfer| now.since(transfer.since) >= timeout)
        {
            leader.transfer = None;
        }
    }
}
