//! A fake tool service that answers each call after a fixed delay.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_types::StatusCode;
use serde_json::json;
use smol::LocalExecutor;

use crate::server;
use crate::server::HttpServer;

/// A running fake tool service.
#[derive(Debug)]
pub struct Tool {
    /// Listening address.
    pub address: SocketAddr,
    calls: Rc<Cell<u32>>,
    _server: HttpServer,
}

impl Tool {
    /// Starts a tool service that answers each call after `delay`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>, delay: Duration) -> io::Result<Self> {
        Self::start_at(executor, 0, delay).await
    }

    /// Starts a tool service on the given port.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
    pub async fn start_at(
        executor: &Rc<LocalExecutor<'static>>,
        port: u16,
        delay: Duration,
    ) -> io::Result<Self> {
        let calls = Rc::new(Cell::new(0));
        let count = Rc::clone(&calls);
        let answer = move |mut req: http_types::Request| {
            let count = Rc::clone(&count);
            async move {
                let body = req.body_string().await?;
                count.set(count.get() + 1);
                server::sleep(delay).await;
                let result = json!({ "tool": req.url().path(), "result": "done", "input": body });
                Ok(server::json(StatusCode::Ok, &result))
            }
        };
        let server = server::serve(executor, port, answer).await?;
        Ok(Self { address: server.address, calls, _server: server })
    }

    /// Closes the listener and all connections.
    pub fn stop(self) {
        drop(self);
    }

    /// Number of calls received.
    #[must_use]
    pub fn calls(&self) -> u32 {
        self.calls.get()
    }
}
