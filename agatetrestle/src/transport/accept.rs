//! Acceptance of connections within a bound, for every server of a process.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use smol::Timer;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// Pause after a connection that could not be accepted, such as when no file descriptor is left; without it the
/// loop would take the whole thread until one is.
const PAUSE: Duration = Duration::from_millis(100);

/// Counts the open connections of one server.
#[derive(Clone, Debug)]
pub struct ConnectionLimiter {
    of: &'static str,
    open: Rc<Cell<usize>>,
}

/// A connection that counts until this is dropped.
#[derive(Debug)]
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ConnectionLimiter {
    /// A gate with no connection open; `of` names in the logs who connects.
    #[must_use]
    pub fn new(of: &'static str) -> Self {
        Self { of, open: Rc::default() }
    }

    /// Connections that are open now.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// The next connection, closing those beyond `most` that are open at once. The bound is read for each, since
    /// it may change while this waits.
    pub async fn accept(
        &self,
        listener: &TcpListener,
        most: impl Fn() -> usize,
    ) -> (TcpStream, ConnectionPermit) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.open_connections() < most() => {
                    self.open.set(self.open.get() + 1);
                    return (stream, ConnectionPermit(self.open.clone()));
                }
                Ok(_) => {
                    warn!(
                        "A connection of {} was closed because {} are open.",
                        self.of,
                        self.open_connections()
                    );
                }
                Err(failure) => {
                    warn!("A connection of {} could not be accepted: {failure}.", self.of);
                    Timer::after(PAUSE).await;
                }
            }
        }
    }
}
