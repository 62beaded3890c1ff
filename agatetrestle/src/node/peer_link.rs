//! Connections to the other processes, one to each peer.
//!
//! Every call has a deadline, and a connection on which a call missed it while no other was answered is replaced instead
//! of being waited on, because something between the two ends may have lost track of it. A peer that is only late goes on
//! answering others; cutting its connection would fail every call on it, and their repetition would make it later still.
//! A call goes on until its deadline though its caller leaves, since a connection would else be judged by patient callers
//! alone.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use agatetrestle_schema::peer_capnp::peer;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use futures::future::Either;
use futures::future::LocalBoxFuture;
use futures::future::select;
use log::debug;
use log::info;
use smol::LocalExecutor;
use smol::Task;
use smol::Timer;
use smol::channel::Receiver;
use smol::channel::Sender;
use smol::lock::Mutex;
use smol::net::TcpStream;
use snafu::ResultExt;
use snafu::Snafu;

use crate::agreement::message::Message;
use crate::ids::GroupId;
use crate::node::wire::WireError;
use crate::node::wire::read_message;
use crate::node::wire::write_message;

/// Messages that may wait for a slow peer; agreement survives the loss of any, so the rest is dropped.
const QUEUE: usize = 1_024;
/// Messages in one delivery.
const BATCH: usize = 64;
/// Deliveries that may be unanswered at once.
const WINDOW: usize = 64;
/// Longest time for a connection. The operating system of a machine that is there answers within a round trip,
/// whatever its processes do; a first packet that was lost or sent to a dark machine is repeated by the next try sooner
/// than by the operating system, which waits for a second.
const CONNECT: Duration = Duration::from_millis(250);
/// Pause before a new connection after a failed one.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Why a call to a peer has no answer.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// No connection could be made, so the call was not sent.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// What the operating system said.
        source: io::Error,
    },
    /// No connection was made in time, so the call was not sent.
    #[snafu(display("can't connect in time"))]
    ConnectTimeout,
    /// The call was sent and may have been carried out.
    #[snafu(display("the call broke: {source}"))]
    Broken {
        /// What the library found.
        source: capnp::Error,
    },
    /// The call was sent and may have been carried out.
    #[snafu(display("no answer in time"))]
    Timeout,
}

impl LinkError {
    /// Whether the peer can't have seen the call.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::ConnectTimeout)
    }

    /// What it is to callers that shared the try.
    fn kind(&self) -> io::ErrorKind {
        match self {
            Self::Connect { source } => source.kind(),
            Self::ConnectTimeout | Self::Timeout => io::ErrorKind::TimedOut,
            Self::Broken { .. } => io::ErrorKind::NotConnected,
        }
    }
}

/// Bounds a future by a deadline.
pub async fn with_deadline<F: Future>(deadline: Duration, future: F) -> Option<F::Output> {
    let future = std::pin::pin!(future);
    match select(future, Timer::after(deadline)).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

struct Connection {
    handle: Handle,
    made: Instant,
    _system: Task<()>,
}

/// What a call needs of a connection.
#[derive(Clone)]
struct Handle {
    client: peer::Client,
    generation: u64,
    /// Counts the calls that were answered on the connection.
    answers: Rc<Cell<u64>>,
}

/// The connection to a peer, while there is one.
struct Slot {
    address: SocketAddr,
    connection: RefCell<Option<Connection>>,
}

impl Slot {
    fn handle(&self) -> Option<Handle> {
        self.connection.borrow().as_ref().map(|connection| connection.handle.clone())
    }

    /// Gives up a connection, unless another has already taken its place.
    fn discard(&self, generation: u64, reason: &LinkError) {
        let mut connection = self.connection.borrow_mut();
        let Some(given_up) = connection.take_if(|connection| connection.handle.generation == generation)
        else {
            return;
        };
        info!(
            "connection peer={} outcome=given_up reason=\"{reason}\" age_ms={} answers={}",
            self.address,
            given_up.made.elapsed().as_millis(),
            given_up.handle.answers.get()
        );
    }

    /// Waits for the answer to a call until its deadline, and judges the connection by it.
    async fn finish<T>(
        self: Rc<Self>,
        on: Handle,
        deadline: Duration,
        call: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, LinkError> {
        let before = on.answers.get();
        let error = match with_deadline(deadline, call).await {
            Some(Ok(answer)) => {
                on.answers.set(on.answers.get() + 1);
                return Ok(answer);
            }
            Some(Err(source)) => LinkError::Broken { source },
            None if on.answers.get() > before => return Err(LinkError::Timeout),
            None => LinkError::Timeout,
        };
        self.discard(on.generation, &error);
        Err(error)
    }
}

/// A call under way. If it is dropped it goes on by itself; its deadline bounds for how long.
struct PendingCall<T: 'static> {
    finishing: Option<LocalBoxFuture<'static, Result<T, LinkError>>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl<T> Future for PendingCall<T> {
    type Output = Result<T, LinkError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(finishing) = &mut self.finishing else {
            return Poll::Pending;
        };
        let outcome = ready!(finishing.as_mut().poll(cx));
        self.finishing = None;
        Poll::Ready(outcome)
    }
}

impl<T> Drop for PendingCall<T> {
    fn drop(&mut self) {
        if let Some(finishing) = self.finishing.take() {
            // Nobody waits for what becomes of it; the connection has been judged by then.
            self.executor.spawn(async move { drop(finishing.await) }).detach();
        }
    }
}

/// The way to one peer.
pub struct PeerLink {
    slot: Rc<Slot>,
    fallback: Cell<Option<SocketAddr>>,
    deadline: Duration,
    executor: Rc<LocalExecutor<'static>>,
    generation: Cell<u64>,
    /// Held while a connection is made: a second one would take the place of the first under the calls on it.
    connecting: Mutex<()>,
    /// Counts the connections that could not be made, and why the last one could not.
    failed: Cell<(u64, io::ErrorKind)>,
    outbox: Sender<Message>,
    /// Takes in what the peer answers at once.
    inbound: MessageHandler,
    delivery: RefCell<Option<Task<()>>>,
}

/// Takes in a message from another node, and returns what is sent to it next.
pub type MessageHandler = Rc<dyn Fn(Message) -> Vec<Message>>;

/// Who takes in the messages of each group.
pub type MessageHandlers = BTreeMap<GroupId, MessageHandler>;

impl PeerLink {
    /// A link that connects on first use. `deadline` bounds connecting and each call.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        deadline: Duration,
        executor: Rc<LocalExecutor<'static>>,
        inbound: MessageHandler,
    ) -> Rc<Self> {
        let (outbox, inbox) = smol::channel::bounded(QUEUE);
        let link = Rc::new(Self {
            slot: Rc::new(Slot { address, connection: RefCell::default() }),
            fallback: Cell::new(None),
            deadline,
            executor,
            generation: Cell::new(0),
            connecting: Mutex::new(()),
            failed: Cell::new((0, io::ErrorKind::NotConnected)),
            outbox,
            inbound,
            delivery: RefCell::new(None),
        });
        let weak = Rc::downgrade(&link);
        let delivery = link.executor.spawn(deliver_all(weak, inbox));
        link.delivery.replace(Some(delivery));
        link
    }

    /// Takes in a further address, tried where the first can't be connected to.
    pub fn set_fallback(&self, address: SocketAddr) {
        if address != self.slot.address {
            self.fallback.set(Some(address));
        }
    }

    /// Queues a message; it is dropped where the peer is too slow or away.
    pub fn deliver(&self, message: Message) {
        if self.outbox.try_send(message).is_err() {
            debug!("A message to {} was dropped because the queue is full.", self.slot.address);
        }
    }

    /// Makes a call within the deadline. `call` starts it on the client it is given. A caller that drops it leaves it to
    /// go on until the deadline.
    ///
    /// # Errors
    ///
    /// Fails without an answer; [`LinkError::is_unsent`] tells whether the peer can have seen the call.
    pub async fn call<T, F>(&self, call: impl FnOnce(&peer::Client) -> F) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, capnp::Error>> + 'static,
        T: 'static,
    {
        self.call_within(self.deadline, call).await
    }

    /// Makes a call as [`PeerLink::call`] does, within a deadline of its own.
    ///
    /// # Errors
    ///
    /// As [`PeerLink::call`].
    pub async fn call_within<T, F>(
        &self,
        deadline: Duration,
        call: impl FnOnce(&peer::Client) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, capnp::Error>> + 'static,
        T: 'static,
    {
        let on = self.client().await?;
        let started = call(&on.client);
        let finishing = self.slot.clone().finish(on, deadline, started);
        PendingCall { finishing: Some(Box::pin(finishing)), executor: self.executor.clone() }.await
    }

    /// The connection, made now if there is none. Callers that come meanwhile share it, or its failure.
    async fn client(&self) -> Result<Handle, LinkError> {
        if let Some(handle) = self.slot.handle() {
            return Ok(handle);
        }
        let (failures, _) = self.failed.get();
        let _connecting = self.connecting.lock().await;
        if let Some(handle) = self.slot.handle() {
            return Ok(handle);
        }
        let (now_failed, kind) = self.failed.get();
        if now_failed > failures {
            return Err(LinkError::Connect { source: kind.into() });
        }
        let made = self.connect_anywhere().await;
        if let Err(failure) = &made {
            self.failed.set((failures + 1, failure.kind()));
        }
        Ok(self.install(made?))
    }

    async fn connect_anywhere(&self) -> Result<TcpStream, LinkError> {
        match (self.connect(self.slot.address).await, self.fallback.get()) {
            (Err(_), Some(fallback)) => self.connect(fallback).await,
            (outcome, _) => outcome,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, LinkError> {
        let connecting = with_deadline(self.deadline.min(CONNECT), TcpStream::connect(address)).await;
        let stream = connecting.ok_or(LinkError::ConnectTimeout)?.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        Ok(stream)
    }

    fn install(&self, stream: TcpStream) -> Handle {
        let (reader, writer) = stream.split();
        let network = VatNetwork::new(reader, writer, Side::Client, capnp::message::ReaderOptions::new());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let running = self.executor.spawn(async move {
            if let Err(error) = system.await {
                debug!("A connection to a peer ended: {error}.");
            }
        });
        let generation = self.generation.get() + 1;
        self.generation.set(generation);
        let handle = Handle { client, generation, answers: Rc::default() };
        let connection = Connection { handle: handle.clone(), made: Instant::now(), _system: running };
        self.slot.connection.replace(Some(connection));
        handle
    }

    async fn deliver_batch(&self, batch: &[Message]) -> Result<(), LinkError> {
        let replies = self.call(|client| {
            let mut request = client.deliver_request();
            let count = u32::try_from(batch.len()).unwrap_or(u32::MAX);
            let mut list = request.get().init_messages(count);
            for (index, message) in (0..count).zip(batch) {
                write_message(list.reborrow().get(index), message);
            }
            let sent = request.send();
            async move {
                let response = sent.promise.await?;
                let replies = response.get()?.get_replies()?.iter().map(read_message);
                let replies: Result<Vec<Message>, WireError> = replies.collect();
                replies.map_err(|failure| capnp::Error::failed(failure.to_string()))
            }
        });
        for reply in replies.await? {
            for next in (self.inbound)(reply) {
                self.deliver(next);
            }
        }
        Ok(())
    }
}

async fn deliver_all(link: std::rc::Weak<PeerLink>, inbox: Receiver<Message>) {
    let mut window: VecDeque<Task<Result<(), LinkError>>> = VecDeque::new();
    while let Ok(message) = inbox.recv().await {
        let Some(link) = link.upgrade() else {
            return;
        };
        if let Err(error) = link.client().await {
            debug!("No connection to peer {}: {error}.", link.slot.address);
            // What waited for the peer is old by the time it answers again.
            while inbox.try_recv().is_ok() {}
            Timer::after(RECONNECT_PAUSE).await;
            continue;
        }
        let mut batch = vec![message];
        while batch.len() < BATCH
            && let Ok(next) = inbox.try_recv()
        {
            batch.push(next);
        }
        let sender = link.clone();
        window.push_back(link.executor.spawn(async move { sender.deliver_batch(&batch).await }));
        if window.len() < WINDOW {
            continue;
        }
        if let Some(oldest) = window.pop_front() {
            // A failure has already discarded the connection, and agreement sends again by itself.
            let _ = oldest.await;
        }
    }
}

#[cfg(test)]
mod tests;
