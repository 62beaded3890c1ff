//! Sends heartbeats to the control replicas and applies the digests that they return.

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
use crate::node::registry::MemberRegistry;
use crate::node::wire_members::read_digest;
use crate::node::wire_members::write_heartbeat;
use crate::ports::Control;
use crate::ports::MemberView;
use crate::ports::Members;
use crate::scheduler::event::Event;

/// Sends the heartbeats of this node and tracks the other members.
pub struct HeartbeatSender {
    /// Template of the heartbeats; the fields that change are set when one is sent.
    pub template: Heartbeat,
    /// Time between two heartbeats.
    pub interval: Duration,
    /// Configured nodes with a control replica.
    pub replicas: Vec<NodeId>,
    /// Links to all nodes.
    pub links: Rc<Links>,
    /// The registry of this node if it is a control replica.
    pub registry: Option<Rc<MemberRegistry>>,
    /// Configuration in force on this node.
    pub control: Rc<ControlPort>,
    /// Notified of new configurations and of leaving VMs and backend servers.
    pub dispatcher: Rc<Dispatcher>,
    /// The members known to this node.
    pub roster: RefCell<Roster>,
    /// Whether a planned stop is in progress.
    pub stopping: Rc<Cell<bool>>,
    /// The process's clock.
    pub clock: Clock,
}

impl HeartbeatSender {
    /// Sends heartbeats until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.send_all().await;
            Timer::after(self.interval).await;
        }
    }

    /// Sends a heartbeat to every control replica and applies their digests.
    pub async fn send_all(&self) {
        let links = self.replicas.iter().filter_map(|node| Some((*node, self.links.get(*node)?)));
        let remote = links.map(|(node, link)| self.send_remote(node, link));
        futures::future::join(join_all(remote), self.send_local()).await;
    }

    fn heartbeat(&self, replica: NodeId) -> Heartbeat {
        let roster = self.roster.borrow();
        Heartbeat {
            revision: self.control.configuration().revision,
            stopping: self.stopping.get(),
            leaving: roster.pending_notices(),
            position: roster.position(replica),
            ..self.template.clone()
        }
    }

    async fn send_local(&self) {
        let Some(registry) = &self.registry else {
            return;
        };
        let sent = self.clock.now();
        let digest = registry.heartbeat(self.heartbeat(self.template.node)).await;
        if digest.revision > self.control.configuration().revision {
            self.adopt(Configuration::clone(&registry.configuration()));
        }
        self.apply_digest(self.template.node, sent, &digest);
    }

    async fn send_remote(&self, replica: NodeId, link: Rc<PeerLink>) {
        let heartbeat = self.heartbeat(replica);
        let sent = self.clock.now();
        let digest = match send(&link, &heartbeat).await {
            Ok(digest) => digest,
            Err(error) => {
                debug!("A heartbeat to a control replica failed: {error}.");
                return;
            }
        };
        let known = self.control.configuration().revision;
        if digest.revision > known {
            match fetch_changes(&link, known).await {
                // If another replica was faster, these changes do not apply to the configuration in force.
                Ok(changes) if self.control.configuration().revision == known => {
                    self.on_adopted(self.control.adopt_changes(changes));
                }
                Ok(_) => {}
                Err(error) => debug!("Failed to fetch the configuration: {error}."),
            }
        }
        self.apply_digest(replica, sent, &digest);
    }

    fn adopt(&self, configuration: Configuration) {
        // Digests also carry leaving marks from other sources, so those of the configuration are not used.
        let configuration = Configuration { leaving: BTreeMap::new(), ..configuration };
        self.on_adopted(self.control.adopt(configuration));
    }

    fn on_adopted(&self, changed: bool) {
        let configuration = self.control.configuration();
        if changed {
            info!("Configuration revision {} is in force.", configuration.revision);
            self.dispatcher.configure(&configuration);
        }
    }

    fn apply_digest(&self, from: NodeId, sent: Timestamp, digest: &Digest) {
        if !digest.lease.is_zero() {
            self.control.renew(sent, digest.lease, digest.revision);
            self.add_addresses(digest);
        }
        let new_notices = self.roster.borrow_mut().apply_digest(from, digest);
        for notice in new_notices {
            self.on_leaving(&notice);
        }
    }

    fn add_addresses(&self, digest: &Digest) {
        for member in &digest.members {
            if let Ok(address) = member.heartbeat.peer_address.parse() {
                self.links.add_address(member.heartbeat.node, address);
            }
        }
    }

    fn on_leaving(&self, notice: &LeaveNotice) {
        info!("{} is leaving in incarnation {}.", notice.name, notice.incarnation);
        self.dispatcher.step(Event::Leaving { name: notice.name.clone(), leaving: true });
    }

    /// Applies changes of the platform's VM list. A VM with a node leaves in the current incarnation of that node, a VM of
    /// a backend server in the incarnation from the list.
    pub fn apply_vm_changes(&self, changes: Vec<VmChange>) {
        for change in changes {
            match change {
                VmChange::Leaving(vm) => {
                    let node = self.roster.borrow().incarnation_on(&vm.name);
                    let incarnation = node.unwrap_or(vm.incarnation);
                    self.mark(&LeaveNotice { name: vm.name, incarnation });
                }
                VmChange::Live(vm) => self.unmark_if_restarted(&vm),
            }
        }
    }

    fn unmark_if_restarted(&self, vm: &Vm) {
        let leaving = self.roster.borrow().leaving(&vm.name);
        if leaving.is_some_and(|incarnation| vm.incarnation > incarnation) {
            info!("{} is live again in incarnation {}.", vm.name, vm.incarnation);
            self.dispatcher.step(Event::Leaving { name: vm.name.clone(), leaving: false });
        }
    }

    /// Marks a VM or backend server as leaving, as observed by this node. The next heartbeat reports it.
    pub fn mark(&self, notice: &LeaveNotice) {
        let is_new = self.roster.borrow_mut().add_notice(notice);
        if is_new {
            self.on_leaving(notice);
        }
    }
}

async fn send(link: &PeerLink, heartbeat: &Heartbeat) -> Result<Digest, LinkError> {
    link.call(|client: &peer::Client| {
        let mut request = client.heartbeat_request();
        write_heartbeat(request.get().init_beat(), heartbeat);
        let sent = request.send();
        async move {
            let response = sent.promise.await?;
            let digest = response.get()?.get_digest()?;
            read_digest(digest).map_err(|error| capnp::Error::failed(error.to_string()))
        }
    })
    .await
}

async fn fetch_changes(link: &PeerLink, known: u64) -> Result<Configuration, LinkError> {
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

impl Members for HeartbeatSender {
    fn members(&self) -> Vec<MemberView> {
        self.roster.borrow().views()
    }

    fn addresses(&self, program: Option<&ProgramId>) -> Vec<Arc<str>> {
        self.roster.borrow_mut().addresses(program)
    }
}
