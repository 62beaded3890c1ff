//! Calls to whichever node answers.
//!
//! A call goes to the first address and moves on when that one doesn't answer. Whether it may be
//! sent again after its answer was lost depends on the call: reads and changes with a change id may.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_schema::operator_capnp::operator;
use capnp::ErrorKind;
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;

use crate::error::ToolError;

/// How often a call that may be repeated goes round all addresses.
const ROUNDS: usize = 2;

/// Whether a call may be sent again after its answer was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// It changes nothing.
    Read,
    /// Sending it again gives the first result.
    Idempotent,
    /// It is sent at most once after a connection was made.
    Once,
}

/// What a node made of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Attempt<T> {
    /// The result.
    Done(T),
    /// The input was refused; no other node will take it.
    Invalid(Arc<str>),
    /// This node could not take the call; nothing was changed.
    Unavailable(Arc<str>),
    /// The change may yet be applied.
    Unknown(Arc<str>),
}

/// Addresses of nodes with the time each step may take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Client {
    /// Addresses for operators, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// Time for a connection.
    pub connect_time: Duration,
    /// Time for an answer.
    pub answer_time: Duration,
}

impl Client {
    /// A client with the usual times.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses, connect_time: Duration::from_secs(2), answer_time: Duration::from_secs(10) }
    }

    /// Makes a call on the first node that gives a result.
    ///
    /// # Errors
    ///
    /// Fails as [`ToolError::Invalid`] if a node refused the input, as [`ToolError::Unknown`] if an
    /// answer to a change was lost and no resend settled it, and else as [`ToolError::Unavailable`].
    pub async fn call<T>(
        &self,
        repeat: Repeat,
        f: impl AsyncFn(operator::Client) -> Result<Attempt<T>, capnp::Error>,
    ) -> Result<T, ToolError> {
        let mut failures = Failures::default();
        let rounds = if repeat == Repeat::Once { 1 } else { ROUNDS };
        for address in self.addresses.iter().cycle().take(rounds * self.addresses.len()) {
            let attempt = match self.connect(*address).await {
                Ok(stream) => self.converse(stream, &f).await,
                Err(e) => Attempt::Unavailable(e.to_string().into()),
            };
            match attempt {
                Attempt::Done(result) => return Ok(result),
                Attempt::Invalid(reason) => return Err(ToolError::Invalid { reason }),
                Attempt::Unavailable(reason) => failures.push(*address, &reason),
                Attempt::Unknown(reason) => {
                    failures.push(*address, &reason);
                    failures.in_doubt |= repeat != Repeat::Read;
                    if repeat == Repeat::Once {
                        break;
                    }
                }
            }
        }
        Err(failures.into_error())
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let limit = async {
            Timer::after(self.connect_time).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        TcpStream::connect(address).or(limit).await
    }

    async fn converse<T>(
        &self,
        stream: TcpStream,
        f: &impl AsyncFn(operator::Client) -> Result<Attempt<T>, capnp::Error>,
    ) -> Attempt<T> {
        let network = VatNetwork::new(stream.clone(), stream, Side::Client, ReaderOptions::new());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: operator::Client = system.bootstrap(Side::Server);
        let lost = async {
            match system.await {
                Ok(()) => Err(capnp::Error::disconnected("the node closed the connection".to_owned())),
                Err(e) => Err(e),
            }
        };
        let limit = async {
            Timer::after(self.answer_time).await;
            Err(capnp::Error::disconnected("no answer in time".to_owned()))
        };
        match f(client).or(lost).or(limit).await {
            Ok(attempt) => attempt,
            Err(e) if e.kind == ErrorKind::Overloaded => Attempt::Unavailable(e.to_string().into()),
            Err(e) if e.kind == ErrorKind::Unimplemented => Attempt::Invalid(e.to_string().into()),
            Err(e) => Attempt::Unknown(e.to_string().into()),
        }
    }
}

/// What each address answered so far.
#[derive(Default)]
struct Failures {
    told: Vec<String>,
    in_doubt: bool,
}

impl Failures {
    fn push(&mut self, address: SocketAddr, reason: &str) {
        let line = format!("{address}: {reason}");
        if !self.told.contains(&line) {
            self.told.push(line);
        }
    }

    fn into_error(self) -> ToolError {
        let reason = self.told.join("; ").into();
        if self.in_doubt { ToolError::Unknown { reason } } else { ToolError::Unavailable { reason } }
    }
}
