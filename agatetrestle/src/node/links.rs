//! The ways to all other nodes, by seeds from the settings and by what members tell later.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::LocalExecutor;

use crate::ids::NodeId;
use crate::node::peer_link::MessageHandler;
use crate::node::peer_link::MessageHandlers;
use crate::node::peer_link::PeerLink;

/// One link to each other node.
pub struct Links {
    node: NodeId,
    deadline: Duration,
    executor: Rc<LocalExecutor<'static>>,
    by_node: RefCell<BTreeMap<NodeId, Rc<PeerLink>>>,
    handlers: Rc<RefCell<MessageHandlers>>,
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
            handlers: Rc::default(),
        })
    }

    /// A link by address alone, for a peer whose number is not known yet; it carries calls but no messages of
    /// a group.
    #[must_use]
    pub fn link_to(&self, address: SocketAddr) -> Rc<PeerLink> {
        PeerLink::new(address, self.deadline, self.executor.clone(), self.inbound())
    }

    /// Sets who takes in what other nodes answer at once.
    pub fn set_handlers(&self, handlers: MessageHandlers) {
        self.handlers.replace(handlers);
    }

    fn inbound(&self) -> MessageHandler {
        let handlers = self.handlers.clone();
        Rc::new(move |message| {
            let receive = handlers.borrow().get(&message.group).cloned();
            receive.map_or_else(Vec::new, |receive| receive(message))
        })
    }

    /// Takes in the address that a node tells of itself. The one in the settings goes first, since they may
    /// name another way to the node; a replaced VM is reached by the one it tells.
    pub fn add_address(&self, node: NodeId, address: SocketAddr) {
        if node == self.node {
            return;
        }
        let mut links = self.by_node.borrow_mut();
        if let Some(link) = links.get(&node) {
            link.set_fallback(address);
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
