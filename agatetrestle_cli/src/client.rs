//! RPC client with failover between nodes.
//!
//! A call is sent to the configured addresses in turn until one answers. Whether it is retried after its answer was lost
//! depends on its [`RetryPolicy`].

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

/// Maximum number of times that a call is sent to each address.
const MAX_ROUNDS: usize = 2;

/// Whether a call may be retried after its answer was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// The call has no side effects and is retried.
    Read,
    /// The call is retried; a repetition returns the first result.
    Idempotent,
    /// The call is not retried once it may have been sent.
    Once,
}

/// Outcome of a call to one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Attempt<T> {
    /// The call succeeded.
    Done(T),
    /// The node rejected the input, as every other node would.
    Invalid(Arc<str>),
    /// The node could not accept the call; nothing was changed.
    Unavailable(Arc<str>),
    /// The call may have taken effect or may still do so.
    Unknown(Arc<str>),
}

/// Client of the operators' RPC, with the nodes' addresses and timeouts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Client {
    /// Operator addresses of nodes, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Timeout for an answer.
    pub answer_timeout: Duration,
}

impl Client {
    /// Creates a client with the default timeouts.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses, connect_timeout: Duration::from_secs(2), answer_timeout: Duration::from_secs(10) }
    }

    /// Sends a call to one node after another until one returns a result.
    ///
    /// # Errors
    ///
    /// Fails with [`ToolError::Invalid`] if a node rejected the input, with [`ToolError::Unknown`] if the outcome of a
    /// change is unknown after all retries, and otherwise with [`ToolError::Unavailable`].
    pub async fn call<T>(
        &self,
        policy: RetryPolicy,
        call: impl AsyncFn(operator::Client) -> Result<Attempt<T>, capnp::Error>,
    ) -> Result<T, ToolError> {
        let mut failures = Failures::default();
        let rounds = if policy == RetryPolicy::Once { 1 } else { MAX_ROUNDS };
        for address in self.addresses.iter().cycle().take(rounds * self.addresses.len()) {
            let attempt = match self.connect(*address).await {
                Ok(stream) => self.call_over(stream, &call).await,
                Err(e) => Attempt::Unavailable(e.to_string().into()),
            };
            match attempt {
                Attempt::Done(result) => return Ok(result),
                Attempt::Invalid(reason) => return Err(ToolError::Invalid { reason }),
                Attempt::Unavailable(reason) => failures.push(*address, &reason),
                Attempt::Unknown(reason) => {
                    failures.push(*address, &reason);
                    failures.outcome_unknown |= policy != RetryPolicy::Read;
                    if policy == RetryPolicy::Once {
                        break;
                    }
                }
            }
        }
        Err(failures.into_error())
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let timeout = async {
            Timer::after(self.connect_timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        TcpStream::connect(address).or(timeout).await
    }

    async fn call_over<T>(
        &self,
        stream: TcpStream,
        call: &impl AsyncFn(operator::Client) -> Result<Attempt<T>, capnp::Error>,
    ) -> Attempt<T> {
        let network = VatNetwork::new(stream.clone(), stream, Side::Client, ReaderOptions::new());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: operator::Client = system.bootstrap(Side::Server);
        let disconnected = async {
            match system.await {
                Ok(()) => Err(capnp::Error::disconnected("the node closed the connection".to_owned())),
                Err(e) => Err(e),
            }
        };
        let timeout = async {
            Timer::after(self.answer_timeout).await;
            Err(capnp::Error::disconnected(format!("no answer within {:?}", self.answer_timeout)))
        };
        match call(client).or(disconnected).or(timeout).await {
            Ok(attempt) => attempt,
            Err(e) if e.kind == ErrorKind::Overloaded => Attempt::Unavailable(e.to_string().into()),
            Err(e) if e.kind == ErrorKind::Unimplemented => Attempt::Invalid(e.to_string().into()),
            Err(e) => Attempt::Unknown(e.to_string().into()),
        }
    }
}

/// Failures of a call so far.
#[derive(Default)]
struct Failures {
    reasons: Vec<String>,
    outcome_unknown: bool,
}

impl Failures {
    fn push(&mut self, address: SocketAddr, reason: &str) {
        let line = format!("{address}: {reason}");
        if !self.reasons.contains(&line) {
            self.reasons.push(line);
        }
    }

    fn into_error(self) -> ToolError {
        let reason = self.reasons.join("; ").into();
        if self.outcome_unknown { ToolError::Unknown { reason } } else { ToolError::Unavailable { reason } }
    }
}
