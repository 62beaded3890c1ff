//! A TCP forwarder that can blackhole connections: they stay open and all bytes are dropped.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use smol::LocalExecutor;
use smol::Task;
use smol::future::zip;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

const BUF_SIZE: usize = 16 << 10;

/// A connection forwards while its generation is the current one.
#[derive(Debug, Default)]
struct ForwarderState {
    generation: Cell<u64>,
    blackholes_new: Cell<bool>,
    accepted: Cell<u64>,
    dropped_bytes: Cell<u64>,
}

/// A running forwarder.
#[derive(Debug)]
pub struct Forwarder {
    /// Listening address.
    pub address: SocketAddr,
    state: Rc<ForwarderState>,
    _accepting: Task<()>,
}

impl Forwarder {
    /// Starts a forwarder to `target`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(ForwarderState::default());
        let shared = Rc::clone(&state);
        let connections = Rc::new(LocalExecutor::new());
        let accepting = async move {
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    shared.accepted.set(shared.accepted.get() + 1);
                    let blackholed = shared.blackholes_new.get();
                    let generation = if blackholed { None } else { Some(shared.generation.get()) };
                    connections.spawn(forward(Rc::clone(&shared), generation, stream, target)).detach();
                }
            };
            connections.run(accept).await;
        };
        Ok(Self { address, state, _accepting: executor.spawn(accepting) })
    }

    /// Closes the listener and all connections.
    pub fn stop(self) {
        drop(self);
    }

    /// Drops all further bytes of the existing connections; new ones are forwarded.
    pub fn blackhole_existing(&self) {
        self.state.generation.set(self.state.generation.get() + 1);
    }

    /// Sets whether all bytes of new connections are dropped.
    pub fn blackhole_new(&self, enabled: bool) {
        self.state.blackholes_new.set(enabled);
    }

    /// Number of connections accepted.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.state.accepted.get()
    }

    /// Number of bytes dropped.
    #[must_use]
    pub fn dropped_bytes(&self) -> u64 {
        self.state.dropped_bytes.get()
    }
}

async fn forward(state: Rc<ForwarderState>, generation: Option<u64>, client: TcpStream, target: SocketAddr) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let requests = copy(&state, generation, client.clone(), server.clone());
    zip(requests, copy(&state, generation, server, client)).await;
}

async fn copy(state: &ForwarderState, generation: Option<u64>, mut from: TcpStream, mut to: TcpStream) {
    let mut buf = vec![0; BUF_SIZE];
    loop {
        let count = from.read(&mut buf).await.unwrap_or(0);
        let blackholed = generation != Some(state.generation.get());
        if blackholed && count == 0 {
            return std::future::pending().await;
        }
        if blackholed {
            state.dropped_bytes.set(state.dropped_bytes.get() + count as u64);
            continue;
        }
        if count == 0 || to.write_all(&buf[..count]).await.is_err() {
            to.shutdown(std::net::Shutdown::Both).ok();
            return;
        }
    }
}
