//! Links to all other nodes, by addresses from the settings and from heartbeats.

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

/// One link to each other node whose address is known.
pub struct Links {
    node: NodeId,
    deadline: Duration,
    executor: Rc<LocalExecutor<'static>>,
    by_node: RefCell<BTreeMap<NodeId, Rc<PeerLink>>>,
    handlers: Rc<RefCell<MessageHandlers>>,
}

impl Links {
    /// Creates an empty set of links of `node`. `deadline` limits each connection attempt and each call.
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

    /// Creates a link to an address, for a peer whose ID is not known. It is used for calls, not for messages of a group.
    #[must_use]
    pub fn link_to(&self, address: SocketAddr) -> Rc<PeerLink> {
        PeerLink::new(address, self.deadline, self.executor.clone(), self.handler())
    }

    /// Sets the handlers of immediate replies from other nodes.
    pub fn set_handlers(&self, handlers: MessageHandlers) {
        self.handlers.replace(handlers);
    }

    fn handler(&self) -> MessageHandler {
        let handlers = self.handlers.clone();
        Rc::new(move |message| {
            let handle = handlers.borrow().get(&message.group).cloned();
            handle.map_or_else(Vec::new, |handle| handle(message))
        })
    }

    /// Adds an address of a node. The first one, usually from the settings, takes precedence; a later one serves as
    /// fallback, such as after a VM was replaced.
    pub fn add_address(&self, node: NodeId, address: SocketAddr) {
        if node == self.node {
            return;
        }
        let mut links = self.by_node.borrow_mut();
        if let Some(link) = links.get(&node) {
            link.set_fallback(address);
            return;
        }
        let link = PeerLink::new(address, self.deadline, self.executor.clone(), self.handler());
        links.insert(node, link);
    }

    /// Returns the link to a node, if its address is known.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<Rc<PeerLink>> {
        self.by_node.borrow().get(&node).cloned()
    }
}
