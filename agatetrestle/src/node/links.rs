//! The ways to all other nodes, by seeds from the settings and by what members tell later.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::LocalExecutor;

use crate::ids::NodeId;
use crate::node::peer_link::Inbound;
use crate::node::peer_link::PeerLink;
use crate::node::peer_link::Receivers;

/// One link to each other node.
pub struct Links {
    node: NodeId,
    deadline: Duration,
    executor: Rc<LocalExecutor<'static>>,
    by_node: RefCell<BTreeMap<NodeId, Rc<PeerLink>>>,
    receivers: Rc<RefCell<Receivers>>,
}

impl Links {
    /// Links of a node, none so far. `deadline` bounds connecting and each call.
    #[must_use]
    pub fn new(node: NodeId, deadline: Duration, executor: &Rc<LocalExecutor<'static>>) -> Rc<Self> {
        Rc::new(Self {
            node,
            deadline,
            executor: executor.clone(),
            by_node: RefCell::default(),
            receivers: Rc::default(),
        })
    }

    /// A link by address alone, for a peer whose number is not known yet; it carries calls but no messages of
    /// a group.
    #[must_use]
    pub fn unnamed(&self, address: SocketAddr) -> Rc<PeerLink> {
        PeerLink::new(address, self.deadline, self.executor.clone(), self.inbound())
    }

    /// Sets who takes in what other nodes answer at once.
    pub fn set_receivers(&self, receivers: Receivers) {
        self.receivers.replace(receivers);
    }

    fn inbound(&self) -> Inbound {
        let receivers = self.receivers.clone();
        Rc::new(move |message| {
            let receive = receivers.borrow().get(&message.group).cloned();
            receive.map_or_else(Vec::new, |receive| receive(message))
        })
    }

    /// Takes in the address that a node tells of itself. The one in the settings goes first, since they may
    /// name another way to the node; a replaced VM is reached by the one it tells.
    pub fn learn(&self, node: NodeId, address: SocketAddr) {
        if node == self.node {
            return;
        }
        let mut links = self.by_node.borrow_mut();
        if let Some(link) = links.get(&node) {
            link.learn(address);
            return;
        }
        let link = PeerLink::new(address, self.deadline, self.executor.clone(), self.inbound());
        links.insert(node, link);
    }

    /// The link to a node, if its address is known.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<Rc<PeerLink>> {
        self.by_node.borrow().get(&node).cloned()
    }
}
