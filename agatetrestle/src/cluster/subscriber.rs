//! Reports of a process to the control leader, and the updates that it gets in return.

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
use crate::node::peer_link::within;
use crate::ports::Freshness;
use crate::ports::Recorder;

/// Time for which the leader may hold a report that brings no news: a process is thus heard from twice a second.
const LONG_POLL: Duration = Duration::from_millis(500);
/// Time for the answer to a report, from when it is sent; then another control replica is asked.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time before a control replica is asked again that does not lead or can't be reached; an election takes longer.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the control replicas to ask are gathered anew, since answers and settings may name others.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Gives the present state of the process.
pub type StatusSource = Rc<dyn Fn() -> NodeStatus>;

/// Why a report has no answer.
#[derive(Debug, Snafu)]
enum ReportError {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// What became of it.
        source: LinkError,
    },
    /// The answer comes from another build.
    #[snafu(display("{source}"))]
    Answer {
        /// What can't be decoded.
        source: DecodeError,
    },
    /// The process has the address of a control replica and is none.
    #[snafu(display("this process is no control replica"))]
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

/// The reports of one process.
pub struct Subscriber {
    /// Gives the present state of the process.
    pub status_source: StatusSource,
    /// Control addresses from the settings; they may be out of date.
    pub seeds: RefCell<Vec<SocketAddrV4>>,
    /// What the process knows.
    pub view: Rc<ClusterView>,
    /// This process's own registry, on control.
    pub registry: Option<Rc<ClusterRegistry>>,
    /// The ways to other nodes, which learn addresses from the lists.
    pub links: Rc<Links>,
    /// The process's clock.
    pub clock: Clock,
    /// Links by address, since a seed's number is not known.
    pub by_address: RefCell<BTreeMap<SocketAddrV4, Rc<PeerLink>>>,
    /// What became of them.
    pub log: ReportLog,
    /// Where their outcomes and times are counted.
    pub recorder: Rc<dyn Recorder>,
    /// Notified when the process has to report before the long poll ends.
    pub notify: (Sender<()>, Receiver<()>),
}

impl Subscriber {
    /// Reports at once, since the state of the process has changed.
    pub fn report_now(&self) {
        // A full channel means that it reports again anyway.
        let _ = self.notify.0.try_send(());
    }

    /// Reports until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut reached = None;
        loop {
            let Either::Left((leader, _)) = select(pin!(self.round()), pin!(self.notify.1.recv())).await
            else {
                continue;
            };
            if leader != reached {
                match leader {
                    Some(leader) => info!("Control is reached: {leader} leads."),
                    None => warn!("Control is lost: nobody leads among {:?}.", self.contacts()),
                }
                reached = leader;
            }
        }
    }

    /// Reports once to the last leader. If that does not confirm, reports to all known control replicas at the same time,
    /// so that one that is unreachable does not delay the others.
    async fn round(&self) -> Option<SocketAddrV4> {
        if let Some((_, leader)) = self.view.leader()
            && self.report_to(leader).await
        {
            return Some(leader);
        }
        let contacts = self.contacts();
        let mut asked: FuturesUnordered<_> = contacts.iter().map(|contact| self.ask_on(*contact)).collect();
        let found = within(SEARCH_TIMEOUT, asked.next()).await.flatten();
        if found.is_none() {
            self.log.write(self.clock.now(), self.view.known(), self.view.confirmed_at());
        }
        found
    }

    /// Reports to a control replica until it confirms as the leader.
    async fn ask_on(&self, contact: SocketAddrV4) -> SocketAddrV4 {
        while !self.report_to(contact).await {
            Timer::after(RETRY_INTERVAL).await;
        }
        contact
    }

    /// Reports to a control replica; whether it confirmed as the leader.
    async fn report_to(&self, contact: SocketAddrV4) -> bool {
        let sent = self.clock.now();
        self.log.begin(sent, contact);
        let answered = self.ask(contact).await;
        let outcome = match &answered {
            Ok(update) if update.confirmed => ReportOutcome::Confirmed,
            Ok(_) => ReportOutcome::NotLeader,
            Err(failure) => failure.outcome(),
        };
        self.log.end(contact, outcome);
        self.recorder.report(outcome.name(), self.clock.now().since(sent));
        let update = match answered {
            Ok(update) => update,
            Err(failure @ ReportError::Answer { .. }) => {
                warn!("The update of {contact} can't be read: {failure}.");
                return false;
            }
            Err(_) => return false,
        };
        for (node, address) in &update.control {
            self.links.learn(*node, SocketAddr::V4(*address));
        }
        let known = self.view.known().members;
        self.view.apply_update(sent, update);
        if self.view.known().members != known {
            self.learn_members();
        }
        outcome == ReportOutcome::Confirmed
    }

    /// The known control replicas and the seeds.
    fn contacts(&self) -> BTreeSet<SocketAddrV4> {
        let mut contacts: BTreeSet<SocketAddrV4> = self.view.control().values().copied().collect();
        contacts.extend(&*self.seeds.borrow());
        contacts
    }

    fn learn_members(&self) {
        for member in self.view.members().iter().filter(|member| member.role != Role::Entry) {
            self.links.learn(member.node, SocketAddr::V4(member.peer));
        }
    }

    async fn ask(&self, contact: SocketAddrV4) -> Result<Update, ReportError> {
        let introduction = (self.status_source)();
        let own = introduction.member.peer == contact;
        let long_poll_ms = u32::try_from(LONG_POLL.as_millis()).unwrap_or(u32::MAX);
        let report = Report { introduction, known: self.view.known(), long_poll_ms };
        if own {
            let registry = self.registry.clone().ok_or(ReportError::OwnAddress)?;
            return Ok(registry.report(report).await);
        }
        let link = self.link(contact);
        let answer = call(&link, encode(&report)).await.context(CallSnafu)?;
        decode(&answer).context(AnswerSnafu)
    }

    fn link(&self, contact: SocketAddrV4) -> Rc<PeerLink> {
        let mut links = self.by_address.borrow_mut();
        links.entry(contact).or_insert_with(|| self.links.unnamed(SocketAddr::V4(contact))).clone()
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
