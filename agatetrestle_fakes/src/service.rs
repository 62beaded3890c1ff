//! A plain service that counts how often each request ran, so that a test sees a double run.

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
use crate::server::Server;
use crate::server::header;

/// What the service does with the requests that come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs them and answers.
    #[default]
    Answer,
    /// Says that it did not start them.
    NotRun,
    /// Runs them and answers with an error of its own.
    Fail,
    /// Runs them and closes the connection without an answer.
    RunAndClose,
    /// Closes the connection without running them.
    Close,
    /// Runs them and answers only after [`Service::release`].
    Hang,
}

#[derive(Debug)]
struct State {
    behaviour: Cell<Behaviour>,
    runs: RefCell<BTreeMap<String, u32>>,
    bodies: RefCell<Vec<String>>,
    arrived: Sender<()>,
    arrivals: Receiver<()>,
    hanging: Receiver<()>,
    release: Sender<()>,
}

/// A running service.
#[derive(Debug)]
pub struct Service {
    /// Where it listens.
    pub address: SocketAddr,
    state: Rc<State>,
    _server: Server,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(executor: &Rc<LocalExecutor<'static>>) -> io::Result<Self> {
        Self::start_at(executor, 0).await
    }

    /// Starts a service on a port.
    ///
    /// # Errors
    ///
    /// Fails if the port can't be bound.
    pub async fn start_at(executor: &Rc<LocalExecutor<'static>>, port: u16) -> io::Result<Self> {
        let (arrived, arrivals) = channel::unbounded();
        let (release, hanging) = channel::bounded(1);
        let state = Rc::new(State {
            behaviour: Cell::default(),
            runs: RefCell::default(),
            bodies: RefCell::default(),
            arrived,
            arrivals,
            hanging,
            release,
        });
        let shared = Rc::clone(&state);
        let server = server::serve(executor, port, move |req| answer(Rc::clone(&shared), req)).await?;
        Ok(Self { address: server.address, state, _server: server })
    }

    /// Stops it: the listener and all connections close.
    pub fn stop(self) {
        drop(self);
    }

    /// Changes what it does with requests that come from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.behaviour.set(behaviour);
    }

    /// Lets every hanging request be answered, now and from now on.
    pub fn release(&self) {
        self.state.release.close();
    }

    /// How often each request ran, by its key.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.runs.borrow().clone()
    }

    /// The bodies it ran, in order.
    #[must_use]
    pub fn bodies(&self) -> Vec<String> {
        self.state.bodies.borrow().clone()
    }

    /// Waits until a further request has arrived.
    pub async fn wait_for_request(&self) {
        self.state.arrivals.recv().await.ok();
    }
}

async fn answer(state: Rc<State>, mut request: Request) -> http_types::Result<Response> {
    let body = request.body_string().await?;
    let behaviour = state.behaviour.get();
    let broken = || http_types::Error::from_str(StatusCode::InternalServerError, "closed on purpose");
    let runs = !matches!(behaviour, Behaviour::NotRun | Behaviour::Close);
    if runs {
        let key = header(&request, "Idempotency-Key");
        *state.runs.borrow_mut().entry(key).or_default() += 1;
        state.bodies.borrow_mut().push(body.clone());
    }
    state.arrived.try_send(()).ok();
    let ran =
        json!({ "path": request.url().path(), "call": header(&request, "Agatetrestle-Call"), "body": body });
    match behaviour {
        Behaviour::Answer => Ok(server::json(StatusCode::Ok, &ran)),
        Behaviour::Fail => Ok(server::json(StatusCode::InternalServerError, &ran)),
        Behaviour::RunAndClose | Behaviour::Close => Err(broken()),
        Behaviour::Hang => {
            state.hanging.recv().await.ok();
            Ok(server::json(StatusCode::Ok, &ran))
        }
        Behaviour::NotRun => {
            let mut response = Response::new(StatusCode::ServiceUnavailable);
            response.insert_header("Agatetrestle-Outcome", "not_run");
            Ok(response)
        }
    }
}
