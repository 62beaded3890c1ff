//! The loop that tells the control replicas of this node and learns what is in force.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_schema::peer_capnp::peer;
use futures::future::join_all;
use log::debug;
use log::info;
use smol::Timer;

use crate::attempts::Dispatcher;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::control::command::Configuration;
use crate::control::command::Document;
use crate::ids::NodeId;
use crate::ids::ProgramId;
use crate::members::message::Digest;
use crate::members::message::Heartbeat;
use crate::members::message::LeaveNotice;
use crate::members::roster::Roster;
use crate::members::vm_list::Vm;
use crate::members::vm_list::VmChange;
use crate::node::control_port::ControlPort;
use crate::node::links::Links;
use crate::node::peer_link::LinkError;
use crate::node::peer_link::PeerLink;
use crate::node::registry::Registry;
use crate::node::wire_members::read_digest;
use crate::node::wire_members::write_heartbeat;
use crate::ports::Control;
use crate::ports::MemberView;
use crate::ports::Members;
use crate::scheduler::event::Event;

/// This node's place among the members.
pub struct Heartbeats {
    /// What every heartbeat says; revision, stopping and signs are filled in when it is sent.
    pub identity: Heartbeat,
    /// Time between two heartbeats.
    pub interval: Duration,
    /// The nodes with a control replica, by the settings.
    pub replicas: Vec<NodeId>,
    /// The ways to all nodes.
    pub links: Rc<Links>,
    /// The control replica here, if any.
    pub registry: Option<Rc<Registry>>,
    /// What is in force here.
    pub control: Rc<ControlPort>,
    /// Told of new configurations and leaving signs.
    pub calls: Rc<Dispatcher>,
    /// This node's picture of the others.
    pub roster: RefCell<Roster>,
    /// Whether a planned stop is under way.
    pub stopping: Rc<Cell<bool>>,
    /// The process's clock.
    pub clock: Clock,
}

impl Heartbeats {
    /// Sends heartbeats until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.beat_once().await;
            Timer::after(self.interval).await;
        }
    }

    /// Sends one heartbeat to every control replica and takes in their digests.
    pub async fn beat_once(&self) {
        let links = self.replicas.iter().filter_map(|node| Some((*node, self.links.get(*node)?)));
        let remote = links.map(|(node, link)| self.beat_remotely(node, link));
        futures::future::join(join_all(remote), self.beat_locally()).await;
    }

    fn beat(&self, replica: NodeId) -> Heartbeat {
        let roster = self.roster.borrow();
        Heartbeat {
            revision: self.control.configuration().revision,
            stopping: self.stopping.get(),
            leaving: roster.pending_notices(),
            position: roster.position(replica),
            ..self.identity.clone()
        }
    }

    async fn beat_locally(&self) {
        let Some(registry) = &self.registry else {
            return;
        };
        let sent = self.clock.now();
        let digest = registry.heartbeat(self.beat(self.identity.node)).await;
        if digest.revision > self.control.configuration().revision {
            self.adopt(Configuration::clone(&registry.configuration()));
        }
        self.take_in(self.identity.node, sent, &digest);
    }

    async fn beat_remotely(&self, replica: NodeId, link: Rc<PeerLink>) {
        let beat = self.beat(replica);
        let sent = self.clock.now();
        let digest = match exchange(&link, &beat).await {
            Ok(digest) => digest,
            Err(failure) => {
                debug!("A control replica did not answer a heartbeat: {failure}.");
                return;
            }
        };
        let known = self.control.configuration().revision;
        if digest.revision > known {
            match fetch(&link, known).await {
                // Another replica may have been faster, and then these are not changes to what is in force.
                Ok(changes) if self.control.configuration().revision == known => {
                    self.adopted(self.control.adopt_changes(changes));
                }
                Ok(_) => {}
                Err(failure) => debug!("The configuration could not be fetched: {failure}."),
            }
        }
        self.take_in(replica, sent, &digest);
    }

    fn adopt(&self, configuration: Configuration) {
        // Leaving marks travel as signs in the digests, which also come from other sources.
        let configuration = Configuration { leaving: BTreeMap::new(), ..configuration };
        self.adopted(self.control.adopt(configuration));
    }

    fn adopted(&self, news: bool) {
        let configuration = self.control.configuration();
        if news {
            info!("Configuration revision {} is in force.", configuration.revision);
            self.calls.configure(&configuration);
        }
    }

    fn take_in(&self, from: NodeId, sent: Timestamp, digest: &Digest) {
        if !digest.lease.is_zero() {
            self.control.renew(sent, digest.lease, digest.revision);
            self.learn_addresses(digest);
        }
        let news = self.roster.borrow_mut().apply_digest(from, digest);
        for sign in news {
            self.announce(&sign);
        }
    }

    fn learn_addresses(&self, digest: &Digest) {
        for member in &digest.members {
            if let Ok(address) = member.heartbeat.peer_address.parse() {
                self.links.learn(member.heartbeat.node, address);
            }
        }
    }

    fn announce(&self, sign: &LeaveNotice) {
        info!("{} is leaving as of incarnation {}.", sign.name, sign.incarnation);
        self.calls.step(Event::Leaving { name: sign.name.clone(), leaving: true });
    }

    /// Takes in what changed in the platform's list. A VM that runs an entry node leaves in the incarnation
    /// that the node has now; one of a backend server in the incarnation that the list names.
    pub fn take_vm_changes(&self, changes: Vec<VmChange>) {
        for change in changes {
            match change {
                VmChange::Leaving(vm) => {
                    let node = self.roster.borrow().incarnation_on(&vm.name);
                    let incarnation = node.unwrap_or(vm.incarnation);
                    self.mark(&LeaveNotice { name: vm.name, incarnation });
                }
                VmChange::Live(vm) => self.unmark_if_newer(&vm),
            }
        }
    }

    fn unmark_if_newer(&self, vm: &Vm) {
        let leaves = self.roster.borrow().leaving(&vm.name);
        if leaves.is_some_and(|incarnation| vm.incarnation > incarnation) {
            info!("{} is back as incarnation {}.", vm.name, vm.incarnation);
            self.calls.step(Event::Leaving { name: vm.name.clone(), leaving: false });
        }
    }

    /// Adds a sign that this node saw itself; the next heartbeat spreads it.
    pub fn mark(&self, sign: &LeaveNotice) {
        let news = self.roster.borrow_mut().add_notice(sign);
        if news {
            self.announce(sign);
        }
    }
}

async fn exchange(link: &PeerLink, beat: &Heartbeat) -> Result<Digest, LinkError> {
    link.call(|client: &peer::Client| {
        let mut request = client.heartbeat_request();
        write_heartbeat(request.get().init_beat(), beat);
        let sent = request.send();
        async move {
            let response = sent.promise.await?;
            let digest = response.get()?.get_digest()?;
            read_digest(digest).map_err(|failure| capnp::Error::failed(failure.to_string()))
        }
    })
    .await
}

async fn fetch(link: &PeerLink, known: u64) -> Result<Configuration, LinkError> {
    link.call(|client: &peer::Client| {
        let mut request = client.configuration_request();
        request.get().set_known(known);
        let sent = request.send();
        async move {
            let response = sent.promise.await?;
            let answer = response.get()?;
            let mut configuration = Configuration { revision: answer.get_revision(), ..Default::default() };
            for document in answer.get_documents()? {
                let text = document.get_text()?.to_str()?.into();
                let scope: Arc<str> = document.get_scope()?.to_str()?.into();
                let document =
                    Document { version: document.get_version(), text, revision: answer.get_revision() };
                configuration.documents.insert(scope, document);
            }
            Ok(configuration)
        }
    })
    .await
}

impl Members for Heartbeats {
    fn members(&self) -> Vec<MemberView> {
        self.roster.borrow().views()
    }

    fn addresses(&self, program: Option<&ProgramId>) -> Vec<Arc<str>> {
        self.roster.borrow_mut().addresses(program)
    }
}
