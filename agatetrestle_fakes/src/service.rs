//! A fake service that counts the runs of each request, so that tests detect duplicate runs.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;
use smol::LocalExecutor;
use smol::channel;
use smol::channel::Receiver;
use smol::channel::Sender;

use crate::server;
use crate::server::HttpServer;
use crate::server::header;

/// What the service does with incoming requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs them and answers.
    #[default]
    Answer,
    /// Rejects them with the outcome `not_run`.
    NotRun,
    /// Runs them and answers with status 500.
    Fail,
    /// Runs them and closes the connection without an answer.
    RunAndClose,
    /// Closes the connection without running them.
    Close,
    /// Runs them and answers only after [`Service::release`].
    Hang,
}

#[derive(Debug)]
struct ServiceState {
    behaviour: Cell<Behaviour>,
    runs: RefCell<BTreeMap<String, u32>>,
    bodies: RefCell<Vec<String>>,
    arrival_tx: Sender<()>,
    arrival_rx: Receiver<()>,
    release_tx: Sender<()>,
    release_rx: Receiver<()>,
}

/// A running fake service.
#[derive(Debug)]
pub struct Service {
    /// Listening address.
    pub address: SocketAddr,
    state: Rc<ServiceState>,
    _server: HttpServer,
}

impl Service {
    /// Starts a service on a port chosen by the operating system.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>) -> io::Result<Self> {
        Self::start_at(executor, 0).await
    }

    /// Starts a service on the given port.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
    pub async fn start_at(executor: &Rc<LocalExecutor<'static>>, port: u16) -> io::Result<Self> {
        let (arrival_tx, arrival_rx) = channel::unbounded();
        let (release_tx, release_rx) = channel::bounded(1);
        let state = Rc::new(ServiceState {
            behaviour: Cell::default(),
            runs: RefCell::default(),
            bodies: RefCell::default(),
            arrival_tx,
            arrival_rx,
            release_tx,
            release_rx,
        });
        let shared = Rc::clone(&state);
        let server = server::serve(executor, port, move |req| answer(Rc::clone(&shared), req)).await?;
        Ok(Self { address: server.address, state, _server: server })
    }

    /// Closes the listener and all connections.
    pub fn stop(self) {
        drop(self);
    }

    /// Sets the behaviour for further requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.behaviour.set(behaviour);
    }

    /// Answers all hanging requests; further ones no longer hang.
    pub fn release(&self) {
        self.state.release_tx.close();
    }

    /// Number of runs of each request by idempotency key.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.runs.borrow().clone()
    }

    /// The bodies of the requests that ran, in order.
    #[must_use]
    pub fn bodies(&self) -> Vec<String> {
        self.state.bodies.borrow().clone()
    }

    /// Waits for the next request.
    pub async fn wait_for_request(&self) {
        self.state.arrival_rx.recv().await.ok();
    }
}

async fn answer(state: Rc<ServiceState>, mut request: Request) -> http_types::Result<Response> {
    let body = request.body_string().await?;
    let behaviour = state.behaviour.get();
    let close =
        || http_types::Error::from_str(StatusCode::InternalServerError, "connection closed by the fake");
    let runs = !matches!(behaviour, Behaviour::NotRun | Behaviour::Close);
    if runs {
        let key = header(&request, "Idempotency-Key");
        *state.runs.borrow_mut().entry(key).or_default() += 1;
        state.bodies.borrow_mut().push(body.clone());
    }
    state.arrival_tx.try_send(()).ok();
    let reply =
        json!({ "path": request.url().path(), "call": header(&request, "Agatetrestle-Call"), "body": body });
    match behaviour {
        Behaviour::Answer => Ok(server::json(StatusCode::Ok, &reply)),
        Behaviour::Fail => Ok(server::json(StatusCode::InternalServerError, &reply)),
        Behaviour::RunAndClose | Behaviour::Close => Err(close()),
        Behaviour::Hang => {
            state.release_rx.recv().await.ok();
            Ok(server::json(StatusCode::Ok, &reply))
        }
        Behaviour::NotRun => {
            let mut response = Response::new(StatusCode::ServiceUnavailable);
            response.insert_header("Agatetrestle-Outcome", "not_run");
            Ok(response)
        }
    }
}
