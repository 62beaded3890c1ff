//! The listening sockets of a node, bound before their addresses are published.

use std::net::SocketAddr;

use agatetrestle_config::settings::Listen;
use smol::net::TcpListener;
use snafu::ResultExt;

use crate::node::NodeError;
use crate::node::error::BindSnafu;

/// All listening sockets.
#[derive(Debug)]
pub struct Listeners {
    /// HTTP for callers.
    pub callers: TcpListener,
    /// RPC between nodes.
    pub peers: TcpListener,
    /// RPC for operators.
    pub operators: TcpListener,
    /// HTTP for the metrics scrape.
    pub metrics: TcpListener,
}

impl Listeners {
    /// Binds all sockets. Port 0 lets the operating system choose a port.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or does not belong to this VM.
    pub async fn bind(listen: &Listen) -> Result<Self, NodeError> {
        Ok(Self {
            callers: bind_one(listen.callers).await?,
            peers: bind_one(listen.peers).await?,
            operators: bind_one(listen.operators).await?,
            metrics: bind_one(listen.metrics).await?,
        })
    }

    /// Returns the bound addresses.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report them.
    pub fn addresses(&self) -> Result<Listen, NodeError> {
        let address = |listener: &TcpListener| {
            listener.local_addr().context(BindSnafu { address: SocketAddr::from(([0, 0, 0, 0], 0)) })
        };
        Ok(Listen {
            callers: address(&self.callers)?,
            peers: address(&self.peers)?,
            operators: address(&self.operators)?,
            metrics: address(&self.metrics)?,
        })
    }
}

async fn bind_one(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.context(BindSnafu { address })
}
