//! The ways to all other nodes, by seeds from the settings and by what members tell later.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::Settings;
use log::info;
use smol::LocalExecutor;

use crate::ids::NodeId;
use crate::node::peer_link::PeerLink;

/// One link to each other node.
pub struct Links {
    node: NodeId,
    deadline: Duration,
    executor: Rc<LocalExecutor<'static>>,
    by_node: RefCell<BTreeMap<NodeId, Rc<PeerLink>>>,
}

impl Links {
    /// Links to the peers that the settings name.
    #[must_use]
    pub fn new(settings: &Settings, executor: &Rc<LocalExecutor<'static>>) -> Rc<Self> {
        let links = Rc::new(Self {
            node: NodeId(settings.node.id),
            deadline: settings.timing.peer_call,
            executor: executor.clone(),
            by_node: RefCell::default(),
        });
        for peer in &settings.peers {
            links.learn(NodeId(peer.id), peer.address);
        }
        links
    }

    /// Takes in the address of a node; a replaced VM has a new one. A link that works is kept, since the
    /// settings may name another way to the same node.
    pub fn learn(&self, node: NodeId, address: SocketAddr) {
        let mut links = self.by_node.borrow_mut();
        let kept = links.get(&node).is_some_and(|link| link.is_connected() || link.address() == address);
        if node == self.node || kept {
            return;
        }
        if links.contains_key(&node) {
            info!("Node {} is now at {address}.", node.0);
        }
        links.insert(node, PeerLink::new(address, self.deadline, self.executor.clone()));
    }

    /// The link to a node, if its address is known.
    #[must_use]
    pub fn get(&self, node: NodeId) -> Option<Rc<PeerLink>> {
        self.by_node.borrow().get(&node).cloned()
    }
}
