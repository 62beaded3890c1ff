//! Accepts connections up to a limit, for all servers of a process.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use smol::Timer;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// Delay after a failed accept, so that the loop does not spin while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Limits the open connections of one server.
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    peer: &'static str,
    open: Rc<Cell<usize>>,
}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ConnectionLimiter {
    /// Creates a limiter without open connections; `peer` names the connecting side in the logs.
    #[must_use]
    pub fn new(peer: &'static str) -> Self {
        Self { peer, open: Rc::default() }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Returns the next connection, closing those that exceed the limit. `max_connections` is called for each
    /// connection, since the limit may change in between.
    pub async fn accept(
        &self,
        listener: &TcpListener,
        max_connections: impl Fn() -> usize,
    ) -> (TcpStream, ConnectionPermit) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.open_connections() < max_connections() => {
                    self.open.set(self.open.get() + 1);
                    return (stream, ConnectionPermit(self.open.clone()));
                }
                Ok(_) => {
                    warn!(
                        "Rejected a connection from {} because {} are open.",
                        self.peer,
                        self.open_connections()
                    );
                }
                Err(error) => {
                    warn!("Failed to accept a connection from {}: {error}.", self.peer);
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}
