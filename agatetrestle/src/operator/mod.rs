//! RPC for operators; see docs/operators/README.md.
//!
//! Any node answers. Changes are committed by the control group, where a compare-and-set detects concurrent ones; see
//! docs/design/003-configuration-versions-and-lease.md.

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
use crate::operator::calls::CallTracker;
use crate::operator::rpc::OperatorConnection;
use crate::ports::Backends;
use crate::ports::Control;
use crate::ports::Groups;
use crate::ports::Ledger;
use crate::ports::Members;
use crate::ports::Traces;
use crate::transport::accept::ConnectionLimiter;
use crate::transport::accept::ConnectionPermit;

/// Connections open at once. Each holds the messages of its calls and one that is being read, so that all of them
/// together take at most 40 MiB.
pub const MAX_CONNECTIONS: usize = 8;

/// Largest message from an operator; a document with 2,200 teams and 1,500 backend servers fits.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A connection without calls for this time is closed, so that lost clients don't use up the connections.
pub const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

const BYTES_PER_WORD: usize = 8;
const MAX_NESTING: i32 = 16;

/// The RPC server with the parts of the node that it queries and changes.
pub struct OperatorServer {
    /// Commits changes and gives the configuration in force.
    pub control: Rc<dyn Control>,
    /// The known nodes.
    pub members: Rc<dyn Members>,
    /// The ledger of programs.
    pub ledger: Rc<dyn Ledger>,
    /// The backend servers.
    pub backends: Rc<dyn Backends>,
    /// The replicated groups of this node.
    pub groups: Rc<dyn Groups>,
    /// The most recent trace lines.
    pub traces: Rc<dyn Traces>,
    /// Id of this node.
    pub node: NodeId,
}

/// Accepts connections of operators until the future is dropped.
pub async fn serve(server: Rc<OperatorServer>, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
    let limiter = ConnectionLimiter::new("an operator");
    loop {
        let (stream, permit) = limiter.accept(&listener, || MAX_CONNECTIONS).await;
        executor.spawn(serve_connection(Rc::clone(&server), stream, permit)).detach();
    }
}

async fn serve_connection(server: Rc<OperatorServer>, stream: TcpStream, _permit: ConnectionPermit) {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / BYTES_PER_WORD));
    options.nesting_limit(MAX_NESTING);
    let network = VatNetwork::new(stream.clone(), stream, Side::Server, options);
    let calls = Rc::new(CallTracker::default());
    let client: operator::Client = capnp_rpc::new_client(OperatorConnection::new(server, Rc::clone(&calls)));
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let idle = async {
        wait_until_idle(&calls).await;
        Ok(())
    };
    if let Err(e) = system.or(idle).await {
        log::debug!("Operator connection failed: {e}.");
    }
}

async fn wait_until_idle(calls: &CallTracker) {
    loop {
        let started = calls.started();
        Timer::after(IDLE_TIMEOUT).await;
        if calls.idle_since(started) {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
