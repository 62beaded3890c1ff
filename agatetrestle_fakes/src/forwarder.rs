//! A TCP forwarder that can lose track of connections: they stay open and nothing passes.

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

/// What is forwarded; a connection remembers how many were forgotten when it was made.
#[derive(Debug, Default)]
struct State {
    generation: Cell<u64>,
    swallows_new: Cell<bool>,
    accepted: Cell<u64>,
    swallowed: Cell<u64>,
}

/// A running forwarder.
#[derive(Debug)]
pub struct Forwarder {
    /// Where it listens.
    pub address: SocketAddr,
    state: Rc<State>,
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
        let state = Rc::new(State::default());
        let shared = Rc::clone(&state);
        let connections = Rc::new(LocalExecutor::new());
        let accepting = async move {
            let accept = async {
                while let Ok((stream, _)) = listener.accept().await {
                    shared.accepted.set(shared.accepted.get() + 1);
                    let made = if shared.swallows_new.get() { None } else { Some(shared.generation.get()) };
                    connections.spawn(forward(Rc::clone(&shared), made, stream, target)).detach();
                }
            };
            connections.run(accept).await;
        };
        Ok(Self { address, state, _accepting: executor.spawn(accepting) })
    }

    /// Stops it: the listener and all connections close.
    pub fn stop(self) {
        drop(self);
    }

    /// Forgets all connections there are: from now on they swallow every byte; new ones work.
    pub fn blackhole_existing(&self) {
        self.state.generation.set(self.state.generation.get() + 1);
    }

    /// Whether connections made from now on swallow every byte too.
    pub fn blackhole_new(&self, enabled: bool) {
        self.state.swallows_new.set(enabled);
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.state.accepted.get()
    }

    /// Bytes swallowed so far.
    #[must_use]
    pub fn dropped_bytes(&self) -> u64 {
        self.state.swallowed.get()
    }
}

async fn forward(state: Rc<State>, made: Option<u64>, near: TcpStream, target: SocketAddr) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    zip(pass(&state, made, near.clone(), far.clone()), pass(&state, made, far, near)).await;
}

async fn pass(state: &State, made: Option<u64>, mut from: TcpStream, mut to: TcpStream) {
    let mut buf = vec![0; BUF_SIZE];
    loop {
        let count = from.read(&mut buf).await.unwrap_or(0);
        let forgotten = made != Some(state.generation.get());
        if forgotten && count == 0 {
            return std::future::pending().await;
        }
        if forgotten {
            state.swallowed.set(state.swallowed.get() + count as u64);
            continue;
        }
        if count == 0 || to.write_all(&buf[..count]).await.is_err() {
            to.shutdown(std::net::Shutdown::Both).ok();
            return;
        }
    }
}
