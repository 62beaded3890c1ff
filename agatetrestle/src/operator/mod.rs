//! RPC for operators; see docs/operators/README.md.
//!
//! Any node answers. Changes go through the control group, so that two operators who race each
//! other meet one compare-and-set; see docs/design/003-configuration-versions-and-lease.md.

pub mod diff;

mod calls;
mod error;
mod handlers;
mod rows;
mod rpc;

use std::rc::Rc;
use std::time::Duration;

use agatetrestle_schema::operator_capnp::operator;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use smol::LocalExecutor;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::ids::NodeId;
use crate::operator::calls::Calls;
use crate::operator::rpc::Connection;
use crate::ports::Backends;
use crate::ports::Control;
use crate::ports::Groups;
use crate::ports::Ledger;
use crate::ports::Members;
use crate::ports::Traces;
use crate::transport::accept::ConnectionLimiter;
use crate::transport::accept::ConnectionPermit;

/// Connections open at once. Each holds at most the messages of its calls and one that is being read,
/// so that all operators together hold at most 40 MiB of them.
pub const MAX_CONNECTIONS: usize = 8;

/// Largest message from an operator, in bytes; one document with 2,200 teams and 1,500 backend servers
/// takes 450 KB.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A connection without a call for this time is closed, so that one gone silent does not hold its place.
pub const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

const WORD: usize = 8;
const NESTING: i32 = 16;

/// What the RPC for operators draws on, all of it behind traits.
pub struct OperatorServer {
    /// The control group.
    pub control: Rc<dyn Control>,
    /// The known nodes.
    pub members: Rc<dyn Members>,
    /// The ledger of programs.
    pub ledger: Rc<dyn Ledger>,
    /// The backend servers.
    pub backends: Rc<dyn Backends>,
    /// The replicated groups of this node.
    pub groups: Rc<dyn Groups>,
    /// The newest trace lines.
    pub traces: Rc<dyn Traces>,
    /// This node.
    pub node: NodeId,
}

/// Accepts operators' connections for as long as it is polled.
pub async fn serve(server: Rc<OperatorServer>, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
    let limiter = ConnectionLimiter::new("an operator");
    loop {
        let (stream, permit) = limiter.accept(&listener, || MAX_CONNECTIONS).await;
        executor.spawn(converse(Rc::clone(&server), stream, permit)).detach();
    }
}

async fn converse(server: Rc<OperatorServer>, stream: TcpStream, _permit: ConnectionPermit) {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / WORD));
    options.nesting_limit(NESTING);
    let network = VatNetwork::new(stream.clone(), stream, Side::Server, options);
    let calls = Rc::new(Calls::default());
    let client: operator::Client = capnp_rpc::new_client(Connection::new(server, Rc::clone(&calls)));
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let idle = async {
        until_idle(&calls).await;
        Ok(())
    };
    if let Err(e) = system.or(idle).await {
        log::debug!("A connection ended: {e}.");
    }
}

async fn until_idle(calls: &Calls) {
    loop {
        let begun = calls.begun();
        Timer::after(IDLE_TIMEOUT).await;
        if calls.idle_since(begun) {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
