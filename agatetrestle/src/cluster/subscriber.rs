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
use crate::clock::micros;
use crate::cluster::message::NodeStatus;
use crate::cluster::message::Report;
use crate::cluster::message::ReportTarget;
use crate::cluster::message::Update;
use crate::cluster::registry::ClusterRegistry;
use crate::cluster::relays::AssignedRelay;
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
use crate::scheduler::random::Random;

/// Time for which the leader may delay its answer until there is a change. It sets the reporting interval.
const REPORT_LONG_POLL: Duration = Duration::from_millis(500);
/// Time to wait for the answer to a report before another control replica is tried.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// First delay before a report is sent again to a control replica that is unreachable or not the leader; doubled each time.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time without an answer after which a search for the leader asks the next control replica too.
const HEDGE_DELAY: Duration = Duration::from_millis(100);
/// Duration of a search for the leader, after which the addresses are read again from updates and settings.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    /// The update is current, or names a relay.
    Confirmed,
    /// The replica is not the leader, and named this one.
    Redirected(SocketAddrV4),
    /// There was no usable answer, and no leader was named.
    Failed,
}

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
    /// The control replica that relays to this process.
    pub relay: AssignedRelay,
    /// Random numbers, other ones in each process, so that processes do not act in step.
    pub random: RefCell<Random>,
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
        let mut last_contact = None;
        loop {
            let Either::Left((contact, _)) =
                select(pin!(self.report_once()), pin!(self.notify.1.recv())).await
            else {
                continue;
            };
            if contact != last_contact {
                match contact {
                    Some(contact) => info!("Control is reached through {contact}."),
                    None => warn!("Control is lost: no leader found among {:?}.", self.contacts()),
                }
                last_contact = contact;
            }
        }
    }

    /// Reports once, to the relay if there is one, else to the last known leader. If neither confirms, searches for the
    /// leader.
    async fn report_once(&self) -> Option<SocketAddrV4> {
        if let Some(relay) = self.relay.current(self.clock.now()) {
            if self.report_to(relay, ReportTarget::Relay).await == Answer::Confirmed {
                return Some(relay);
            }
            self.relay.give_up(relay);
            // While there is no leader, relays would be given up as fast as they are assigned.
            Timer::after(self.jittered(REPORT_RETRY_DELAY)).await;
        }
        if let Some((_, leader)) = self.view.leader()
            && self.report_to(leader, self.relay.target()).await == Answer::Confirmed
        {
            return Some(leader);
        }
        let found = with_deadline(LEADER_SEARCH_TIMEOUT, self.find_leader()).await.flatten();
        if found.is_none() {
            self.log.write(self.clock.now(), self.view.known(), self.view.confirmed_at());
        }
        found
    }

    /// Asks the control replicas one after the other, in an order of its own, and goes on to the next when one does not answer
    /// within [`HEDGE_DELAY`], which doubles with each, so that slow answers do not multiply the reports. One that knows the leader names it. So an unreachable replica delays the search by little, and
    /// a lost leader is not followed by reports of every process to every replica.
    async fn find_leader(&self) -> Option<SocketAddrV4> {
        let mut contacts = shuffled(self.contacts(), &mut self.random.borrow_mut());
        if contacts.is_empty() {
            Timer::after(LEADER_SEARCH_TIMEOUT).await;
        }
        let mut searches = FuturesUnordered::new();
        let mut delay = HEDGE_DELAY;
        loop {
            if let Some(contact) = contacts.pop() {
                searches.push(self.poll_until_leader(contact));
            }
            let answered = with_deadline(delay, searches.next()).await;
            delay *= 2;
            match answered {
                Some(Some(found)) => return Some(found),
                Some(None) => return None,
                None => {}
            }
        }
    }

    /// Reports to a control replica, and to the leader that it names, until one confirms that it is the leader.
    async fn poll_until_leader(&self, contact: SocketAddrV4) -> SocketAddrV4 {
        let mut delay = REPORT_RETRY_DELAY;
        let mut target = contact;
        loop {
            target = match self.report_to(target, self.relay.target()).await {
                Answer::Confirmed => return target,
                Answer::Redirected(leader) if leader != target => leader,
                Answer::Redirected(_) | Answer::Failed => contact,
            };
            if target == contact {
                Timer::after(self.jittered(delay)).await;
                delay = (delay * 2).min(MAX_REPORT_RETRY_DELAY);
            }
        }
    }

    /// A random time between a delay and twice that.
    fn jittered(&self, delay: Duration) -> Duration {
        delay + Duration::from_micros(self.random.borrow_mut().below(micros(delay)))
    }

    /// Reports to a control replica.
    async fn report_to(&self, contact: SocketAddrV4, target: ReportTarget) -> Answer {
        let sent = self.clock.now();
        self.log.record_sent(sent, contact);
        let answer = self.send_report(contact, target).await;
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
                return Answer::Failed;
            }
            Err(_) => return Answer::Failed,
        };
        for (node, address) in &update.control {
            self.links.add_address(*node, SocketAddr::V4(*address));
        }
        let (leader, assigned) = (update.leader, update.relay.is_some());
        if assigned || (outcome == ReportOutcome::Confirmed && target != ReportTarget::Relay) {
            self.relay.assign(sent, update.relay, &mut self.random.borrow_mut());
        }
        let known = self.view.known().members;
        self.view.apply_update(sent, update);
        if self.view.known().members != known {
            self.add_addresses();
        }
        match (outcome, leader) {
            _ if assigned => Answer::Confirmed,
            (ReportOutcome::Confirmed, _) => Answer::Confirmed,
            (_, Some((_, leader))) => Answer::Redirected(leader),
            (_, None) => Answer::Failed,
        }
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

    async fn send_report(&self, contact: SocketAddrV4, target: ReportTarget) -> Result<Update, ReportError> {
        let status = (self.status_source)();
        let is_own_address = status.member.peer == contact;
        let long_poll_ms = u32::try_from(REPORT_LONG_POLL.as_millis()).unwrap_or(u32::MAX);
        let relayed = self.registry.as_ref().and_then(|registry| registry.relayed_members());
        let report = Report { introduction: status, known: self.view.known(), long_poll_ms, target, relayed };
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

/// Addresses in a random order.
fn shuffled(contacts: BTreeSet<SocketAddrV4>, random: &mut Random) -> Vec<SocketAddrV4> {
    let mut keyed: Vec<(u64, SocketAddrV4)> =
        contacts.into_iter().map(|contact| (random.below(u64::MAX), contact)).collect();
    keyed.sort_unstable();
    keyed.into_iter().map(|(_, contact)| contact).collect()
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
