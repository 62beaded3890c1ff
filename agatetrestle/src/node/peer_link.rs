//! Connections to other processes: one to each peer for calls, and up to [`MAX_LANES`] for the messages of groups.
//!
//! Every call has a deadline. When a call times out and no other call was answered in the meantime, the connection is
//! replaced, because it may be dead. A slow peer still answers other calls and keeps its connection: closing it would fail
//! all calls on it, and their retries would add to the load. A call whose caller drops it runs until its deadline, so that
//! callers with short timeouts do not hide a dead connection.

mod lanes;

pub(crate) use self::lanes::Delivery;
pub(crate) use self::lanes::Lanes;
pub(crate) use self::lanes::MAX_LANES;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use agatetrestle_schema::peer_capnp::peer;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
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
use crate::clock::Clock;
use crate::ids::GroupId;
use crate::node::peer_link::lanes::LARGE_BYTES;
use crate::node::rpc_stream::RpcStream;
use crate::node::wire::WireError;
use crate::node::wire::read_message;
use crate::node::wire::write_message;

/// Messages queued for a slow peer. Further ones are dropped, since the protocol tolerates the loss of messages.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Payload bytes after which no further message is queued. A single message holds up to 1 MiB.
const MAX_QUEUED_BYTES: usize = 1 << 20;
const MAX_BATCH_MESSAGES: usize = 64;
const MAX_PENDING_DELIVERIES: usize = 64;
/// Payload bytes of unanswered deliveries after which the next one waits. The RPC library and the connection each hold a copy.
const MAX_PENDING_BYTES: usize = 1 << 20;
/// Deadline of a delivery on a connection that answers others, in multiples of that of a call. On a link that loses packets the copy
/// of a state fills the connection for seconds.
const DELIVERY_DEADLINE_FACTOR: u32 = 8;
/// Shorter than the operating system's retransmission timeout of the first packet, so that a new attempt replaces a lost
/// packet sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Failure of a call to a peer.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// No connection could be made, so the call was not sent.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection attempt timed out, so the call was not sent.
    #[snafu(display("can't connect in time"))]
    ConnectTimeout,
    /// The connection failed after the call was sent, so it may have been executed.
    #[snafu(display("the call broke: {source}"))]
    Broken {
        /// Error of the RPC library.
        source: capnp::Error,
    },
    /// The call was sent but not answered in time, so it may have been executed.
    #[snafu(display("no answer in time"))]
    Timeout,
}

impl LinkError {
    /// Whether the call was certainly not sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::ConnectTimeout)
    }

    /// The kind reported to callers that shared the connection attempt.
    fn kind(&self) -> io::ErrorKind {
        match self {
            Self::Connect { source } => source.kind(),
            Self::ConnectTimeout | Self::Timeout => io::ErrorKind::TimedOut,
            Self::Broken { .. } => io::ErrorKind::NotConnected,
        }
    }
}

/// How long a call waits for its answer.
#[derive(Clone, Copy, Debug)]
pub struct CallDeadlines {
    /// Time without any answer on the connection after which it counts as dead.
    pub silence: Duration,
    /// Time that the call waits while the connection answers others, in whole multiples of `silence`.
    pub total: Duration,
}

impl From<Duration> for CallDeadlines {
    fn from(deadline: Duration) -> Self {
        Self { silence: deadline, total: deadline }
    }
}

/// Awaits a future for at most `deadline`; returns `None` if it does not complete in time.
pub async fn with_deadline<F: Future>(deadline: Duration, future: F) -> Option<F::Output> {
    let future = pin!(future);
    match select(future, Timer::after(deadline)).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

struct Connection {
    handle: ConnectionHandle,
    connected_at: Instant,
    _system: Task<()>,
}

#[derive(Clone)]
struct ConnectionHandle {
    client: peer::Client,
    generation: u64,
    /// Number of calls answered on the connection.
    answers: Rc<Cell<u64>>,
}

/// Address of a peer and a connection to it, if any.
struct ConnectionSlot {
    address: SocketAddr,
    connection: RefCell<Option<Connection>>,
    generation: Cell<u64>,
    /// Held while connecting, since a second connection would replace the first and fail the calls on it.
    connecting: Mutex<()>,
    /// Number of failed connection attempts, and the kind of the last failure.
    connect_failures: Cell<(u64, io::ErrorKind)>,
}

impl ConnectionSlot {
    fn new(address: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            address,
            connection: RefCell::default(),
            generation: Cell::new(0),
            connecting: Mutex::new(()),
            connect_failures: Cell::new((0, io::ErrorKind::NotConnected)),
        })
    }

    fn handle(&self) -> Option<ConnectionHandle> {
        self.connection.borrow().as_ref().map(|connection| connection.handle.clone())
    }

    /// Closes a connection unless it has been replaced already.
    fn discard(&self, generation: u64, reason: &LinkError) {
        let mut connection = self.connection.borrow_mut();
        let Some(discarded) = connection.take_if(|connection| connection.handle.generation == generation)
        else {
            return;
        };
        info!(
            "connection peer={} outcome=given_up reason=\"{reason}\" age_ms={} answers={}",
            self.address,
            discarded.connected_at.elapsed().as_millis(),
            discarded.handle.answers.get()
        );
    }

    /// Awaits the answer to a call until its deadlines, and discards the connection if it failed or appears dead.
    async fn await_answer<T>(
        self: Rc<Self>,
        handle: ConnectionHandle,
        deadlines: CallDeadlines,
        call: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, LinkError> {
        let mut call = pin!(call);
        let mut waited = Duration::ZERO;
        let error = loop {
            let answers_before = handle.answers.get();
            match with_deadline(deadlines.silence, call.as_mut()).await {
                Some(Ok(answer)) => {
                    handle.answers.set(handle.answers.get() + 1);
                    return Ok(answer);
                }
                Some(Err(source)) => break LinkError::Broken { source },
                None if handle.answers.get() == answers_before => break LinkError::Timeout,
                None => {}
            }
            waited += deadlines.silence;
            if waited + deadlines.silence > deadlines.total {
                return Err(LinkError::Timeout);
            }
        };
        self.discard(handle.generation, &error);
        Err(error)
    }
}

/// A call in progress. When dropped it continues in the background until its deadline.
struct PendingCall<T: 'static> {
    answer: Option<LocalBoxFuture<'static, Result<T, LinkError>>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl<T> Future for PendingCall<T> {
    type Output = Result<T, LinkError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(answer) = &mut self.answer else {
            return Poll::Pending;
        };
        let outcome = ready!(answer.as_mut().poll(cx));
        self.answer = None;
        Poll::Ready(outcome)
    }
}

impl<T> Drop for PendingCall<T> {
    fn drop(&mut self) {
        if let Some(answer) = self.answer.take() {
            // The result is ignored; awaiting it may discard the connection.
            self.executor.spawn(async move { drop(answer.await) }).detach();
        }
    }
}

/// A link to one peer, which reconnects on demand.
pub struct PeerLink {
    /// Connections. The first one also carries the calls; the others are opened once those before them stall.
    slots: Vec<Rc<ConnectionSlot>>,
    /// Deliveries on each connection.
    lanes: RefCell<Lanes>,
    clock: Clock,
    /// Address to try if the first one can't be connected to.
    fallback: Cell<Option<SocketAddr>>,
    deadline: Duration,
    executor: Rc<LocalExecutor<'static>>,
    /// Queue of messages, and that of large ones.
    outbox: Outbox,
    large_outbox: Outbox,
    /// Handles the immediate replies of the peer.
    handler: MessageHandler,
    deliveries: RefCell<Vec<Task<()>>>,
}

/// A queue of messages to a peer.
struct Outbox {
    tx: Sender<Message>,
    /// Payload bytes of the messages in the queue.
    queued_bytes: Cell<usize>,
    /// Payload bytes of unanswered deliveries.
    pending_bytes: Cell<usize>,
}

impl Outbox {
    fn new() -> (Self, Receiver<Message>) {
        let (tx, inbox) = smol::channel::bounded(MAX_QUEUED_MESSAGES);
        (Self { tx, queued_bytes: Cell::new(0), pending_bytes: Cell::new(0) }, inbox)
    }

    /// Takes the next queued messages that fit a batch with `first`, and returns their payload bytes. A large message is a batch of
    /// its own, so that each is answered and the connection shows progress.
    fn fill_batch(&self, first: Message, inbox: &Receiver<Message>) -> (Vec<Message>, usize) {
        let mut bytes = first.payload_bytes();
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_MESSAGES
            && bytes < LARGE_BYTES
            && let Ok(next) = inbox.try_recv()
        {
            bytes += next.payload_bytes();
            batch.push(next);
        }
        self.queued_bytes.set(self.queued_bytes.get() - bytes);
        (batch, bytes)
    }

    fn drop_queued(&self, inbox: &Receiver<Message>) {
        while inbox.try_recv().is_ok() {}
        self.queued_bytes.set(0);
    }
}

/// Handles a message from another node and returns the messages to send to it in reply.
pub type MessageHandler = Rc<dyn Fn(Message) -> Vec<Message>>;

/// Message handlers by group.
pub type MessageHandlers = BTreeMap<GroupId, MessageHandler>;

impl PeerLink {
    /// Creates a link that connects on first use. `deadline` limits each connection attempt and each call.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        deadline: Duration,
        executor: Rc<LocalExecutor<'static>>,
        handler: MessageHandler,
    ) -> Rc<Self> {
        let ((outbox, inbox), (large_outbox, large_inbox)) = (Outbox::new(), Outbox::new());
        let link = Rc::new(Self {
            slots: (0..MAX_LANES).map(|_| ConnectionSlot::new(address)).collect(),
            lanes: RefCell::new(Lanes::new(MAX_LANES)),
            clock: Clock::start(),
            fallback: Cell::new(None),
            deadline,
            executor,
            outbox,
            large_outbox,
            handler,
            deliveries: RefCell::default(),
        });
        let deliver =
            |outbox, inbox| link.executor.spawn(deliver_forever(Rc::downgrade(&link), outbox, inbox));
        let deliveries =
            vec![deliver(|link| &link.outbox, inbox), deliver(|link| &link.large_outbox, large_inbox)];
        link.deliveries.replace(deliveries);
        link
    }

    /// Sets the address to try if the first one can't be connected to.
    pub fn set_fallback(&self, address: SocketAddr) {
        if address != self.address() {
            self.fallback.set(Some(address));
        }
    }

    fn address(&self) -> SocketAddr {
        self.slots[0].address
    }

    /// Queues a message. It is dropped if the peer is too slow or unreachable.
    pub fn deliver(&self, message: Message) {
        let bytes = message.payload_bytes();
        let outbox = if bytes >= LARGE_BYTES { &self.large_outbox } else { &self.outbox };
        let queued = outbox.queued_bytes.get();
        if queued >= MAX_QUEUED_BYTES || outbox.tx.try_send(message).is_err() {
            debug!("Dropped a message to {} because its queue is full.", self.address());
            return;
        }
        outbox.queued_bytes.set(queued + bytes);
    }

    /// Makes a call within the deadline of the link. `call` starts the call on the given client. If the returned future is
    /// dropped, the call continues until the deadline.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer; [`LinkError::is_unsent`] tells whether the call may have been sent.
    pub async fn call<T, F>(&self, call: impl FnOnce(&peer::Client) -> F) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, capnp::Error>> + 'static,
        T: 'static,
    {
        self.call_within(self.deadline, call).await
    }

    /// Makes a call as [`PeerLink::call`] does, with its own deadlines.
    ///
    /// # Errors
    ///
    /// As [`PeerLink::call`].
    pub async fn call_within<T, F>(
        &self,
        deadlines: impl Into<CallDeadlines>,
        call: impl FnOnce(&peer::Client) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, capnp::Error>> + 'static,
        T: 'static,
    {
        self.call_on(&self.slots[0], deadlines.into(), call).await
    }

    async fn call_on<T, F>(
        &self,
        slot: &Rc<ConnectionSlot>,
        deadlines: CallDeadlines,
        call: impl FnOnce(&peer::Client) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, capnp::Error>> + 'static,
        T: 'static,
    {
        let handle = self.client(slot).await?;
        let started = call(&handle.client);
        let answer = slot.clone().await_answer(handle, deadlines, started);
        PendingCall { answer: Some(Box::pin(answer)), executor: self.executor.clone() }.await
    }

    /// Returns a connection, and connects if there is none. Concurrent callers share the connection or the failure.
    async fn client(&self, slot: &ConnectionSlot) -> Result<ConnectionHandle, LinkError> {
        if let Some(handle) = slot.handle() {
            return Ok(handle);
        }
        let (failures, _) = slot.connect_failures.get();
        let _connecting = slot.connecting.lock().await;
        if let Some(handle) = slot.handle() {
            return Ok(handle);
        }
        let (current_failures, kind) = slot.connect_failures.get();
        if current_failures > failures {
            return Err(LinkError::Connect { source: kind.into() });
        }
        let connected = self.connect_any().await;
        if let Err(error) = &connected {
            slot.connect_failures.set((failures + 1, error.kind()));
        }
        Ok(self.start_rpc(slot, &connected?))
    }

    async fn connect_any(&self) -> Result<TcpStream, LinkError> {
        match (self.connect(self.address()).await, self.fallback.get()) {
            (Err(_), Some(fallback)) => self.connect(fallback).await,
            (outcome, _) => outcome,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, LinkError> {
        let connecting = with_deadline(self.deadline.min(CONNECT_TIMEOUT), TcpStream::connect(address)).await;
        let stream = connecting.ok_or(LinkError::ConnectTimeout)?.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        Ok(stream)
    }

    fn start_rpc(&self, slot: &ConnectionSlot, stream: &TcpStream) -> ConnectionHandle {
        let (connection, network) =
            RpcStream::new(stream, Side::Client, capnp::message::ReaderOptions::new());
        let mut system = RpcSystem::new(network, None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let running = self.executor.spawn(async move {
            if let Err(error) = connection.drive(system).await {
                debug!("A connection to a peer closed: {error}.");
            }
        });
        let generation = slot.generation.get() + 1;
        slot.generation.set(generation);
        let handle = ConnectionHandle { client, generation, answers: Rc::default() };
        let connection =
            Connection { handle: handle.clone(), connected_at: Instant::now(), _system: running };
        slot.connection.replace(Some(connection));
        handle
    }

    /// Delivers a batch on the connection of `delivery`, and handles the immediate replies.
    async fn deliver_batch(&self, batch: &[Message], delivery: Delivery) -> Result<(), LinkError> {
        let answer = self.send_batch(&self.slots[delivery.lane], batch).await;
        self.lanes.borrow_mut().end(self.clock.now(), delivery, answer.is_ok());
        for reply in answer? {
            for next in (self.handler)(reply) {
                self.deliver(next);
            }
        }
        Ok(())
    }

    async fn send_batch(
        &self,
        slot: &Rc<ConnectionSlot>,
        batch: &[Message],
    ) -> Result<Vec<Message>, LinkError> {
        let deadlines =
            CallDeadlines { silence: self.deadline, total: self.deadline * DELIVERY_DEADLINE_FACTOR };
        let replies = self.call_on(slot, deadlines, |client| {
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
                replies.map_err(|error| capnp::Error::failed(error.to_string()))
            }
        });
        replies.await
    }
}

/// Delivers the messages of one queue.
async fn deliver_forever(
    link: std::rc::Weak<PeerLink>,
    outbox: fn(&PeerLink) -> &Outbox,
    inbox: Receiver<Message>,
) {
    let mut deliveries: VecDeque<Task<Result<(), LinkError>>> = VecDeque::new();
    while let Ok(message) = inbox.recv().await {
        let Some(link) = link.upgrade() else {
            return;
        };
        let queue = outbox(&link);
        let delivery = link.lanes.borrow_mut().start(link.clock.now(), message.payload_bytes());
        // The connections that replace a stalled one connect in their own tasks, so that a lost packet of the handshake does not
        // delay later messages.
        let connects_first = delivery.lane == 0 || message.payload_bytes() >= LARGE_BYTES;
        if connects_first && let Err(error) = link.client(&link.slots[delivery.lane]).await {
            debug!("Failed to connect to peer {}: {error}.", link.address());
            link.lanes.borrow_mut().end(link.clock.now(), delivery, false);
            // Queued messages would be outdated by the time the peer is reachable.
            queue.drop_queued(&inbox);
            Timer::after(RECONNECT_DELAY).await;
            continue;
        }
        let (batch, bytes) = queue.fill_batch(message, &inbox);
        queue.pending_bytes.set(queue.pending_bytes.get() + bytes);
        let sender = link.clone();
        deliveries.push_back(link.executor.spawn(async move {
            let outcome = sender.deliver_batch(&batch, delivery).await;
            let queue = outbox(&sender);
            queue.pending_bytes.set(queue.pending_bytes.get() - bytes);
            outcome
        }));
        while deliveries.len() >= MAX_PENDING_DELIVERIES || queue.pending_bytes.get() >= MAX_PENDING_BYTES {
            let Some(oldest) = deliveries.pop_front() else {
                break;
            };
            // The call has discarded a failed connection already, and the protocol resends messages.
            let _ = oldest.await;
        }
    }
}

#[cfg(test)]
mod tests;
