//! One sending of a request to one backend server, up to the head of the answer.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::Either;
use futures::future::select;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use smol::Timer;

use crate::clock::Timestamp;
use crate::dispatch::RequestOutcome;
use crate::gateway::Gateway;
use crate::gateway::job::Job;
use crate::gateway::place::Place;
use crate::gateway::wire::ForwardHead;
use crate::node::peer_link::within;
use crate::transport::client::Lease;
use crate::transport::client::Reuse;
use crate::transport::client::SendError;

/// Share of a route's objective after which a request that may run again is sent to another server, in hundredths. An
/// answer that is not there by then is late already; some answers are lost, and their servers never say so.
const NEXT_TRY_PERCENT: u32 = 130;
/// Share of a stream's objective, in hundredths, before which no server is held to be silent. An answer that begins
/// later is late already; one that comes a little later is still worth more than another try.
const SILENCE_PERCENT: u32 = 130;
/// How often a stream that has not begun is looked at after that.
const SILENCE_POLL: Duration = Duration::from_millis(50);

/// A server began to answer.
pub(super) struct Sent {
    pub(super) place: Place,
    pub(super) lease: Lease,
    pub(super) response: Response<Incoming>,
    pub(super) at: Timestamp,
}

/// Why there is no answer to pass on.
#[derive(Debug)]
pub(super) enum Failure {
    /// The server did not run the request.
    NotRun(String),
    /// Nobody knows whether the server ran it.
    MayHaveRun(String),
    /// It was sent, and the caller no longer waits.
    TooLate,
}

/// Sends a request and checks the head of the answer; `last` is set where no other server may be tried after this one.
pub(super) async fn send(
    gateway: &Rc<Gateway>,
    job: &Job,
    mut place: Place,
    last: bool,
) -> Result<Sent, Failure> {
    let Some((instance, address)) = gateway.address(place.server) else {
        place.release(RequestOutcome::Cancelled);
        return Err(Failure::NotRun("the server is gone".into()));
    };
    let reuse = if job.route.is_at_most_once() { Reuse::Fresh } else { Reuse::Kept };
    let mut lease = match gateway.client.lease(address, reuse).await {
        Ok(lease) => lease,
        Err(failure) => {
            place.release(RequestOutcome::Unreachable);
            return Err(Failure::NotRun(failure.to_string()));
        }
    };
    let sent_at = gateway.clock.now();
    place.silent_after = Some(sent_at + job.route.objective);
    let left = job.until.since(sent_at);
    let team = job.team.as_ref().map(|team| &*team.name);
    let head = ForwardHead { time_left: left, instance: &instance, priority: job.server_rank(sent_at), team };
    let request = request(gateway, job, head);
    let patience = if last { left } else { left.min(job.route.objective * NEXT_TRY_PERCENT / 100) };
    let answered = if job.route.is_streaming() {
        let sending = Sending { gateway, job, at: sent_at, patience };
        sending.watch(lease.send(request)).await
    } else {
        within(patience, lease.send(request)).await.map_or(Answered::Late, Answered::Begun)
    };
    let response = match answered {
        Answered::Silent => {
            place.release(RequestOutcome::Unresponsive);
            return Err(Failure::MayHaveRun("the server says nothing while others answer".into()));
        }
        Answered::Late if patience < left => {
            place.release(RequestOutcome::BadResponse);
            return Err(Failure::MayHaveRun("the server was silent for too long".into()));
        }
        Answered::Late => {
            place.release(RequestOutcome::BadResponse);
            return Err(Failure::TooLate);
        }
        Answered::Begun(Err(failure @ SendError::Connect { .. })) => {
            place.release(RequestOutcome::Cancelled);
            return Err(Failure::NotRun(failure.to_string()));
        }
        Answered::Begun(Err(failure @ SendError::Broken { .. })) => {
            place.release(RequestOutcome::BadResponse);
            return Err(Failure::MayHaveRun(failure.to_string()));
        }
        Answered::Begun(Ok(response)) => response,
    };
    place.silent_after = None;
    gateway.dispatch.borrow_mut().record_response_start(gateway.clock.now(), &job.service, sent_at);
    check(gateway, job, Sent { place, lease, response, at: sent_at })
}

/// What came of a sending.
enum Answered {
    /// The answer begins, or the connection broke.
    Begun(Result<Response<Incoming>, SendError>),
    /// The server is silent while others answer.
    Silent,
    /// There is no time left.
    Late,
}

/// A request under way whose answer has not begun.
struct Sending<'a> {
    gateway: &'a Rc<Gateway>,
    job: &'a Job,
    at: Timestamp,
    patience: Duration,
}

impl Sending<'_> {
    /// Waits for the answer to begin, and gives up once the silence tells of the server. The caller is then told at once,
    /// so that it may come back and go elsewhere while its program still has time.
    async fn watch(&self, sending: impl Future<Output = Result<Response<Incoming>, SendError>>) -> Answered {
        let least = self.job.route.objective * SILENCE_PERCENT / 100;
        let mut sending = pin!(sending);
        let mut pause = least.min(self.patience);
        loop {
            match select(sending, Timer::after(pause)).await {
                Either::Left((outcome, _)) => return Answered::Begun(outcome),
                Either::Right((_, rest)) => sending = rest,
            }
            let now = self.gateway.clock.now();
            let left = self.patience.saturating_sub(now.since(self.at));
            if left.is_zero() {
                return Answered::Late;
            }
            if self.gateway.dispatch.borrow().is_unresponsive(now, &self.job.service, self.at, least) {
                return Answered::Silent;
            }
            pause = SILENCE_POLL.min(left);
        }
    }
}

fn request(gateway: &Gateway, job: &Job, send: ForwardHead<'_>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.head.method.clone();
    // A caller may name the host in the target; the server is sent the path alone, as in any other request.
    let path = job.head.uri.path_and_query().cloned();
    *request.uri_mut() = path.map(Into::into).unwrap_or_default();
    let mut headers = job.head.headers.clone();
    drop_connection_headers(&mut headers);
    gateway.wire.write_forwarded(&mut headers, send);
    *request.headers_mut() = headers;
    request
}

/// Drops what concerns one connection alone, and the framing, which each side makes anew.
pub(super) fn drop_connection_headers(headers: &mut HeaderMap) {
    const NAMES: [&str; 10] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in NAMES.into_iter().chain(named.iter().map(String::as_str)) {
        headers.remove(name);
    }
}

fn check(gateway: &Gateway, job: &Job, sent: Sent) -> Result<Sent, Failure> {
    let status = sent.response.status();
    let head = gateway.wire.read_response(sent.response.headers());
    let server = sent.place.server;
    if let Some(load) = head.load {
        gateway.dispatch.borrow_mut().record_load(gateway.clock.now(), server, load);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        gateway.dispatch.borrow_mut().mark_leaving(server);
        sent.place.release(RequestOutcome::Cancelled);
        return Err(Failure::NotRun("another instance has the address".into()));
    }
    if head.not_run {
        sent.place.release(RequestOutcome::Full);
        return Err(Failure::NotRun(format!("the server answered {status} without running it")));
    }
    if head.attempt_id.as_ref() != Some(&job.attempt) {
        sent.place.release(RequestOutcome::BadResponse);
        return Err(Failure::MayHaveRun("the answer belongs to another request".into()));
    }
    if !head.signed {
        sent.place.release(RequestOutcome::BadResponse);
        return Err(Failure::MayHaveRun(format!("the server answered {status} without a signature")));
    }
    Ok(sent)
}
