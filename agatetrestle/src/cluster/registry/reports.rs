//! Answers reports, as the leader, as a relay or as any other follower.

use std::net::SocketAddrV4;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use smol::Timer;

use crate::clock::Timestamp;
use crate::cluster::message::KnownVersions;
use crate::cluster::message::RelayedMembers;
use crate::cluster::message::Report;
use crate::cluster::message::ReportTarget;
use crate::cluster::message::Update;
use crate::cluster::registry::ClusterRegistry;
use crate::cluster::registry::scope;
use crate::cluster::relays;
use crate::cluster::versioned::Scope;
use crate::node::group::ProposalOutcome;
use crate::node::peer_link::with_deadline;

/// Upper bound of the long poll that a report can request.
const MAX_LONG_POLL: Duration = Duration::from_secs(2);
/// Age of the leader's last confirmation up to which a follower relays. Longer than an election takes, so that the loss of a
/// leader does not send all entries in search of another.
const MAX_RELAY_AGE: Duration = Duration::from_millis(1_500);
/// Time between two entries that a follower sends to the leader.
const REDIRECT_INTERVAL: Duration = Duration::from_millis(2);

impl ClusterRegistry {
    /// Answers a report as soon as there is a change for the process, or when the long poll ends. The answer is also delayed
    /// while no leader is known, so that repeated reports do not take processor time from an election.
    pub async fn report(&self, report: Report) -> Update {
        let long_poll = Duration::from_millis(report.long_poll_ms.into()).min(MAX_LONG_POLL);
        let deadline = self.clock.now() + long_poll;
        if report.introduction.member.is_replica() {
            // After a restart of all replicas this is how they find each other, before there is a leader.
            self.record(&report);
        }
        if report.target == ReportTarget::Relay && !self.group.leads() {
            return self.report_to_relay(&report, deadline).await;
        }
        self.wait_until(deadline, || self.group.leads() || self.group.leader().is_some()).await;
        if self.group.leads() {
            self.report_to_leader(&report, deadline).await
        } else {
            self.redirect(&report, deadline).await
        }
    }

    /// Answers the report of a process from the state machine of this leader.
    async fn report_to_leader(&self, report: &Report, deadline: Timestamp) -> Update {
        self.start_term();
        self.record(report);
        self.wait_until(deadline, || {
            !self.group.leads()
                || self.has_changes(report)
                || self.relay_for(report).is_some()
                || self.lacks_relayed(report)
        })
        .await;
        let mut update =
            Update { leader: self.leader(), control: self.control_addresses(), ..Update::default() };
        if self.group.read_barrier().await != ProposalOutcome::Ready {
            return update;
        }
        update.confirmed = true;
        update.leader = Some((self.own, self.own_address));
        update.relayed_version = self.liveness.borrow().relayed_version(report.introduction.member.node);
        update.relay = self.relay_for(report);
        if update.relay.is_none() {
            self.add_configuration(report, &mut update);
            self.add_lists(report, deadline, &mut update).await;
        }
        update
    }

    /// Names the leader, and a relay for an entry of a large deployment. Before this follower knows how large the deployment
    /// is, it sends entries to the leader one after the other, so that they do not come there all at once.
    async fn redirect(&self, report: &Report, deadline: Timestamp) -> Update {
        let relay = || self.confirmed_age().and_then(|_| self.relay_for(report));
        if report.introduction.member.role == Role::Entry && relay().is_none() {
            let remaining = deadline.since(self.clock.now());
            if let Some(_turn) = with_deadline(remaining, self.redirects.acquire()).await {
                Timer::after(REDIRECT_INTERVAL).await;
            }
        }
        Update {
            leader: self.leader(),
            control: self.control_addresses(),
            relay: relay(),
            ..Update::default()
        }
    }

    /// Answers the report of an entry from what this follower was told, as long as that is recent.
    async fn report_to_relay(&self, report: &Report, deadline: Timestamp) -> Update {
        self.record(report);
        self.wait_until(deadline, || {
            self.group.leads() || self.confirmed_age().is_none() || self.has_changes(report)
        })
        .await;
        let mut update = Update {
            leader: self.view.leader(),
            control: self.view.control(),
            groups: self.view.groups(),
            leaving: self.view.leaving(),
            ..Update::default()
        };
        let Some(age) = self.confirmed_age().filter(|_| !self.group.leads()) else {
            return update;
        };
        update.confirmed = true;
        update.age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        update.routes = self.view.routes().filter(|(revision, _)| *revision > report.known.revision);
        self.add_lists(report, deadline, &mut update).await;
        update
    }

    /// Time since the leader confirmed what this follower holds, if it may still relay that.
    fn confirmed_age(&self) -> Option<Duration> {
        let age = self.clock.now().since(self.view.confirmed_at()?);
        (age <= MAX_RELAY_AGE).then_some(age)
    }

    /// The relay that an entry should report to instead of this leader.
    fn relay_for(&self, report: &Report) -> Option<SocketAddrV4> {
        let avoid = match report.target {
            ReportTarget::Leader => return None,
            ReportTarget::LeaderOrRelay { avoid } => avoid,
            // This replica was a relay until it became the leader.
            ReportTarget::Relay => None,
        };
        let entry = &report.introduction.member;
        let list = self.view.member_list().borrow();
        if entry.role != Role::Entry || !relays::are_needed(list.len()) {
            return None;
        }
        let leader = self.group.leader();
        let followers =
            list.items().filter(|member| member.role == Role::Control && Some(member.node) != leader);
        relays::assign(entry, followers, avoid)
    }

    /// Whether the leader lacks the list of members that a relay refers to.
    fn lacks_relayed(&self, report: &Report) -> bool {
        let known = self.liveness.borrow().relayed_version(report.introduction.member.node);
        report.relayed.as_ref().is_some_and(|relayed| known != Some(relayed.version))
    }

    /// The entries that report to this replica, for its own report to the leader; none if it leads.
    #[must_use]
    pub fn relayed_members(&self) -> Option<RelayedMembers> {
        if self.group.leads() {
            return None;
        }
        let relayed = self.relayed.borrow();
        if self.view.relayed_version() == Some(relayed.version) {
            return Some(RelayedMembers { version: relayed.version, members: None });
        }
        Some(relayed.clone())
    }

    /// The current versions for a process of a role.
    pub(super) fn current_versions(&self, role: Role) -> KnownVersions {
        let revision = if self.group.leads() {
            self.group.machine(|state| state.routes().map_or(0, |document| document.revision))
        } else {
            self.view.known().revision
        };
        KnownVersions {
            revision,
            backends: self.view.backends().borrow().version(Scope::Public),
            members: self.view.member_list().borrow().version(scope(role)),
        }
    }

    /// Whether a process lacks the current routes or a change of a list. A list that it holds in a later version than this
    /// replica is newer than this replica's.
    fn has_changes(&self, report: &Report) -> bool {
        let current = self.current_versions(report.introduction.member.role);
        let known = report.known;
        current.revision > known.revision
            || current.backends > known.backends
            || current.members > known.members
    }

    /// Waits until a condition holds or a deadline passes. The condition is checked after each wakeup.
    async fn wait_until(&self, deadline: Timestamp, condition: impl Fn() -> bool) {
        while !condition() {
            let remaining = deadline.since(self.clock.now());
            if remaining.is_zero() || with_deadline(remaining, self.pending.add()).await.is_none() {
                return;
            }
        }
    }
}
