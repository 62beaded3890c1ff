//! Single-server membership changes and leadership transfers.
//!
//! Consecutive sets differ by one voter, so that their majorities overlap. This requires that each change
//! waits until the previous one is committed, and the first until the leader has committed an entry of its own term.

use crate::agreement::ALL_PROPOSALS;
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
use crate::agreement::replica::leader::LeadershipTransfer;
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
            self.outputs.push(Output::Replicas { ticket: Some(ticket), replicas: changed });
            return;
        }
        let index = self.append_as_leader(EntryKind::Replicas, coding::encode_replicas(&changed));
        self.track_outcome(now, index, ticket);
        self.add_peers();
        self.start_round(now);
    }

    /// Returns the set after a change, or why it is rejected.
    fn check_change(&self, now: Timestamp, change: ReplicaChange) -> Result<Replicas, Rejection> {
        self.check_accepts_proposals(now, ALL_PROPOSALS)?;
        let pending =
            self.memberships.current_index() > self.commit && !fault_injected!(self, AllowTwoChanges);
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

    /// Drops the progress of removed peers once the change is committed, and steps down if this node was removed.
    pub(super) fn complete_change(&mut self, now: Timestamp) {
        if self.memberships.current_index() > self.commit {
            return;
        }
        let replicas = self.memberships.current();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let is_member = |peer: &NodeId| replicas.voters.contains(peer) || replicas.learners.contains(peer);
        leader.progress.retain(|peer, _| is_member(peer));
        if !self.is_voter(self.cfg.node) {
            self.start_round(now);
            self.become_follower(self.term, None);
            self.reset_election_deadline(now);
        }
    }

    pub(super) fn transfer_leadership(&mut self, now: Timestamp) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let voters = &self.memberships.current().voters;
        let peers = leader.progress.iter().filter(|(peer, _)| voters.contains(peer));
        let target = peers.max_by_key(|(_, progress)| (progress.acked_at, progress.matched));
        if let Some((peer, _)) = target {
            leader.transfer = Some(LeadershipTransfer { to: *peer, started: now });
            self.try_transfer();
        }
    }

    /// Asks the target of a transfer to campaign once it has the whole log.
    ///
    /// It may then be elected at any time, so the lease is given up for the rest of the term.
    pub(super) fn try_transfer(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(LeadershipTransfer { to, .. }) = leader.transfer else {
            return;
        };
        if leader.progress.get(&to).is_some_and(|progress| progress.matched == last) {
            leader.lease_forfeited = true;
            self.send(to, Body::TimeoutNow);
        }
    }

    /// Accepts proposals again if the transfer has not completed within an election timeout.
    pub(super) fn expire_transfer(&mut self, now: Timestamp) {
        let timeout = self.cfg.election_timeout;
        if let Role::Leader(leader) = &mut self.role
            && leader.transfer.is_some_and(|transfer| now.since(transfer.started) >= timeout)
        {
            leader.transfer = None;
        }
    }
}
