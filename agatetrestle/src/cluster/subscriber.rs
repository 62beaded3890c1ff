//! The client side of reports: finds the control leader, reports to it and applies the updates.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use futures::StreamExt;
use futures::future::Either;
use futures::future::select;
use futures::stream::FuturesUnordered;
use log::info;
use log::warn;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use snafu::ResultExt;
use snafu::Snafu;

use crate::clock::Clock;
use crate::cluster::message::NodeStatus;
use crate::cluster::message::Report;
use crate::cluster::message::Update;
use crate::cluster::registry::ClusterRegistry;
use crate::cluster::report_log::ReportLog;
use crate::cluster::report_log::ReportOutcome;
use crate::cluster::view::ClusterView;
use crate::codec::DecodeError;
use crate::codec::decode;
use crate::codec::encode;
use crate::node::links::Links;
use crate::node::peer_link::LinkError;
use crate::node::peer_link::PeerLink;
use crate::node::peer_link::with_deadline;
use crate::ports::Freshness;
use crate::ports::Recorder;

/// Time for which the leader may delay its answer until there is a change. It sets the reporting interval.
const REPORT_LONG_POLL: Duration = Duration::from_millis(500);
/// Time to wait for the answer to a report before another control replica is tried.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a report is sent again to a control replica that is unreachable or not the leader.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Duration of a search for the leader, after which the addresses are read again from updates and settings.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the current status of the process.
pub type StatusSource = Rc<dyn Fn() -> NodeStatus>;

/// The reason why a report has no usable answer.
#[derive(Debug, Snafu)]
enum ReportError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// The error of the connection.
        source: LinkError,
    },
    /// The answer could not be decoded, for example because its sender runs another version.
    #[snafu(display("{source}"))]
    Answer {
        /// The decoding error.
        source: DecodeError,
    },
    /// The address belongs to this process, which is not a control replica.
    #[snafu(display("the address belongs to this process, which is not a control replica"))]
    OwnAddress,
}

impl ReportError {
    fn outcome(&self) -> ReportOutcome {
        match self {
            Self::Call { source } => source.into(),
            Self::Answer { .. } => ReportOutcome::Unreadable,
            Self::OwnAddress => ReportOutcome::Unreachable,
        }
    }
}

/// Sends the reports of a process and applies the answers.
pub struct Subscriber {
    /// Returns the current status of the process.
    pub status_source: StatusSource,
    /// Control addresses from the settings, possibly outdated.
    pub seeds: RefCell<Vec<SocketAddrV4>>,
    /// The view that updates are applied to.
    pub view: Rc<ClusterView>,
    /// The registry of this process, on a control replica.
    pub registry: Option<Rc<ClusterRegistry>>,
    /// Connections to other nodes, updated with the addresses of members.
    pub links: Rc<Links>,
    /// Clock for timeouts and ages.
    pub clock: Clock,
    /// Connections by address, since the node ID behind an address may be unknown.
    pub links_by_address: RefCell<BTreeMap<SocketAddrV4, Rc<PeerLink>>>,
    /// Outcomes of recent reports.
    pub log: ReportLog,
    /// Records outcomes and durations of reports as metrics.
    pub recorder: Rc<dyn Recorder>,
    /// Notified when the process has to report before the long poll ends.
    pub notify: (Sender<()>, Receiver<()>),
}

impl Subscriber {
    /// Requests a report without delay, after the status of the process has changed.
    pub fn report_now(&self) {
        // A full channel means that a report is already requested.
        let _ = self.notify.0.try_send(());
    }

    /// Reports until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut last_leader = None;
        loop {
            let Either::Left((leader, _)) =
                select(pin!(self.report_to_leader()), pin!(self.notify.1.recv())).await
            else {
                continue;
            };
            if leader != last_leader {
                match leader {
                    Some(leader) => info!("Control is reached: {leader} leads."),
                    None => warn!("Control is lost: no leader found among {:?}.", self.contacts()),
                }
                last_leader = leader;
            }
        }
    }

    /// Reports once to the last known leader. If it does not confirm, reports to all known control replicas concurrently, so
    /// that an unreachable one does not delay the others.
    async fn report_to_leader(&self) -> Option<SocketAddrV4> {
        if let Some((_, leader)) = self.view.leader()
            && self.report_to(leader).await
        {
            return Some(leader);
        }
        let contacts = self.contacts();
        let mut searches: FuturesUnordered<_> =
            contacts.iter().map(|contact| self.poll_until_leader(*contact)).collect();
        let found = with_deadline(LEADER_SEARCH_TIMEOUT, searches.next()).await.flatten();
        if found.is_none() {
            self.log.write(self.clock.now(), self.view.known(), self.view.confirmed_at());
        }
        found
    }

    /// Reports to a control replica until it confirms that it is the leader.
    async fn poll_until_leader(&self, contact: SocketAddrV4) -> SocketAddrV4 {
        while !self.report_to(contact).await {
            Timer::after(REPORT_RETRY_DELAY).await;
        }
        contact
    }

    /// Reports to a control replica and returns whether it confirmed that it is the leader.
    async fn report_to(&self, contact: SocketAddrV4) -> bool {
        let sent = self.clock.now();
        self.log.record_sent(sent, contact);
        let answer = self.send_report(contact).await;
        let outcome = match &answer {
            Ok(update) if update.confirmed => ReportOutcome::Confirmed,
            Ok(_) => ReportOutcome::NotLeader,
            Err(error) => error.outcome(),
        };
        self.log.record_outcome(contact, outcome);
        self.recorder.record_report(outcome.name(), self.clock.now().since(sent));
        let update = match answer {
            Ok(update) => update,
            Err(error @ ReportError::Answer { .. }) => {
                warn!("Could not decode the update from {contact}: {error}.");
                return false;
            }
            Err(_) => return false,
        };
        for (node, address) in &update.control {
            self.links.add_address(*node, SocketAddr::V4(*address));
        }
        let known = self.view.known().members;
        self.view.apply_update(sent, update);
        if self.view.known().members != known {
            self.add_addresses();
        }
        outcome == ReportOutcome::Confirmed
    }

    /// Addresses of the known control replicas and of the settings.
    fn contacts(&self) -> BTreeSet<SocketAddrV4> {
        let mut contacts: BTreeSet<SocketAddrV4> = self.view.control().values().copied().collect();
        contacts.extend(&*self.seeds.borrow());
        contacts
    }

    fn add_addresses(&self) {
        for member in self.view.members().iter().filter(|member| member.role != Role::Entry) {
            self.links.add_address(member.node, SocketAddr::V4(member.peer));
        }
    }

    async fn send_report(&self, contact: SocketAddrV4) -> Result<Update, ReportError> {
        let status = (self.status_source)();
        let is_own_address = status.member.peer == contact;
        let long_poll_ms = u32::try_from(REPORT_LONG_POLL.as_millis()).unwrap_or(u32::MAX);
        let report = Report { introduction: status, known: self.view.known(), long_poll_ms };
        if is_own_address {
            let registry = self.registry.clone().ok_or(ReportError::OwnAddress)?;
            return Ok(registry.report(report).await);
        }
        let link = self.link(contact);
        let answer = call(&link, encode(&report)).await.context(CallSnafu)?;
        decode(&answer).context(AnswerSnafu)
    }

    fn link(&self, contact: SocketAddrV4) -> Rc<PeerLink> {
        let mut links = self.links_by_address.borrow_mut();
        links.entry(contact).or_insert_with(|| self.links.link_to(SocketAddr::V4(contact))).clone()
    }
}

impl Freshness for Subscriber {
    fn revision(&self) -> u64 {
        self.view.known().revision
    }

    fn age(&self) -> Option<Duration> {
        Some(self.clock.now().since(self.view.confirmed_at()?))
    }
}

async fn call(link: &PeerLink, report: Vec<u8>) -> Result<Vec<u8>, LinkError> {
    link.call_within(REPORT_TIMEOUT, |client| {
        let mut request = client.report_request();
        request.get().set_report(&report);
        let sent = request.send();
        async move { Ok(sent.promise.await?.get()?.get_bulletin()?.to_vec()) }
    })
    .await
}

#[cfg(test)]
mod tests;
