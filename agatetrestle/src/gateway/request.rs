//! The way of one request from its arrival to the head of its answer.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HOST;
use http::header::RETRY_AFTER;
use http::request::Parts;
use hyper::body::Incoming;

use crate::clock::Timestamp;
use crate::dispatch;
use crate::dispatch::ServerKey;
use crate::gateway::Gateway;
use crate::gateway::attempt;
use crate::gateway::attempt::Failure;
use crate::gateway::intake::read_body;
use crate::gateway::job::COME_BACK;
use crate::gateway::job::Job;
use crate::gateway::job::Problem;
use crate::gateway::place::Place;
use crate::gateway::relay;
use crate::gateway::reserve;
use crate::gateway::trail::CALLER_LEFT;
use crate::gateway::trail::NO_STATUS;
use crate::gateway::trail::Trail;
use crate::gateway::turn::OpenTurn;
use crate::gateway::wire::RequestHead;
use crate::routing::Route;
use crate::routing::RouteTable;
use crate::routing::Unauthorized;
use crate::transport::body::AnswerBody;

/// Servers that may say in turn that they did not run a request before it is turned away.
const MOST_NOT_RUN: u32 = 4;
/// Share of a route's objective, as a divisor, that a program may wait before its first turn. Told at once to come back,
/// it still ends in time if it then gets a place; and what waits longer delays the programs that have begun.
const PATIENCE_DIVISOR: u32 = 2;
/// When a caller may come back to an entry that knows no routes yet: after a restart of all, control is back and has told
/// them some 0.6 s after the entries take connections.
const COME_BACK_AFTER_START: Duration = Duration::from_millis(600);

/// Answers a request.
pub(super) async fn answer(gateway: &Rc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = gateway.clock.now();
    let mut open = Unanswered { gateway, arrived, trail: Trail::default(), answered: false };
    let outcome = serve(gateway, request, arrived, &mut open.trail).await;
    open.answered = true;
    let mut response = match outcome {
        Ok(response) => response,
        Err(problem) => {
            let took = gateway.clock.now().since(arrived);
            open.trail.end(gateway, problem.status.as_u16(), &problem.reason, took);
            write_problem(&problem)
        }
    };
    if gateway.draining.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// A request on its way to an answer; dropped before that, its caller has gone.
struct Unanswered<'a> {
    gateway: &'a Gateway,
    arrived: Timestamp,
    trail: Trail,
    answered: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let took = self.gateway.clock.now().since(self.arrived);
            self.trail.end(self.gateway, NO_STATUS, CALLER_LEFT, took);
        }
    }
}

fn write_problem(problem: &Problem) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(problem.reason.to_string()));
    *response.status_mut() = problem.status;
    let seconds = problem.retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::from_str(&seconds).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

async fn serve(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    arrived: Timestamp,
    trail: &mut Trail,
) -> Result<Response<AnswerBody>, Problem> {
    let (head, body) = request.into_parts();
    let call = read_head(gateway, &head)?;
    let attempt = call.attempt_id.clone().unwrap_or_default();
    trail.attempt = attempt.clone();
    let table = gateway.table.borrow().clone();
    let table =
        table.ok_or_else(|| Problem::not_run("no routes are in force here yet", COME_BACK_AFTER_START))?;
    trail.version = table.version;
    let route = find_route(&table, &head)?;
    trail.route = route.name.clone();
    let team = table.authorize(&route, call.key.as_ref());
    let team =
        team.map_err(|Unauthorized| Problem::new(StatusCode::UNAUTHORIZED, "no team has this key"))?.cloned();
    trail.team = team.as_ref().map(|team| team.name.clone()).unwrap_or_default();
    if attempt.is_empty() {
        return Err(Problem::new(StatusCode::BAD_REQUEST, "the request has no id"));
    }
    let patience = call.timeout.unwrap_or(route.timeout).min(route.timeout);
    let until = arrived + patience;
    let limit = table.limits.max_body_bytes;
    let (_held, body) = read_body(gateway, body, limit, until).await?;
    let draw = gateway.random.borrow_mut().below(u64::MAX);
    let service = route.pick_service(draw).clone();
    trail.service = service.clone();
    // A call of a tool belongs to a program that has had a turn.
    let begun = !route.is_streaming() || call.previous_turn.is_some() || gateway.has_seen(&call);
    let declared = table.service(&service).and_then(|service| service.tokens_per_event);
    let tokens_per_event = declared.unwrap_or(1);
    let job = Job {
        head,
        call,
        attempt,
        route,
        service,
        team,
        tokens_per_event,
        arrived,
        until,
        body,
        chain: 0,
        begun,
    };
    run(gateway, job, trail).await
}

fn read_head(gateway: &Gateway, head: &Parts) -> Result<RequestHead, Problem> {
    if head.headers.get_all(HOST).iter().count() > 1 {
        return Err(Problem::new(StatusCode::BAD_REQUEST, "the request can be read in two ways"));
    }
    let call = gateway.wire.read_request(&head.headers);
    call.map_err(|failure| Problem::new(StatusCode::BAD_REQUEST, failure))
}

fn find_route(table: &RouteTable, head: &Parts) -> Result<Arc<Route>, Problem> {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = head.uri.host().or(named).unwrap_or_default();
    let route = table.find(host, head.uri.path()).cloned();
    route.ok_or_else(|| Problem::new(StatusCode::NOT_FOUND, "no route takes this host and path"))
}

/// How far a request has come with the servers.
#[derive(Default)]
struct Progress {
    /// Servers that had it.
    avoid: Vec<ServerKey>,
    /// Servers that said that they did not run it.
    not_run: u32,
    /// Servers that may have run it.
    ran: u32,
}

impl Progress {
    /// Notes a sending that came to nothing, and says whether there may be another.
    fn note(&mut self, job: &Job, failure: Failure) -> Result<(), Problem> {
        match failure {
            Failure::TooLate => Err(Problem::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time")),
            Failure::MayHaveRun(reason) => after_run(job, &mut self.ran, &reason),
            Failure::NotRun(reason) => {
                self.not_run += 1;
                if self.not_run < MOST_NOT_RUN {
                    return Ok(());
                }
                Err(self.give_up(reason, COME_BACK))
            }
        }
    }

    /// The answer where no server is left: a promise that the request was not run, if that is true.
    fn give_up(&self, reason: impl fmt::Display, retry_after: Duration) -> Problem {
        match self.ran {
            0 => Problem::not_run(reason, retry_after),
            _ => Problem::new(StatusCode::BAD_GATEWAY, reason),
        }
    }
}

/// Tries servers until one answers, the request must not be sent again, or time is up.
async fn run(
    gateway: &Rc<Gateway>,
    mut job: Job,
    trail: &mut Trail,
) -> Result<Response<AnswerBody>, Problem> {
    let mut progress = Progress::default();
    let mut turn: Option<OpenTurn> = None;
    let mut reserved = !reserve::needs_turn(&job);
    if reserved {
        reserve::take(gateway, &job).await?;
    }
    loop {
        let asked = gateway.clock.now();
        let place = Place::find(gateway, wanted(&job, asked, &progress.avoid)).await;
        let place = place.map_err(|away| progress.give_up(format!("{:?}", away.reason), away.retry_after))?;
        let found = gateway.clock.now();
        trail.wait += found.since(asked);
        if !reserved {
            turn = Some(reserve::begin(gateway, &mut job).await?);
            trail.begin = gateway.clock.now().since(found);
            reserved = true;
        }
        trail.tries += 1;
        progress.avoid.push(place.server);
        trail.server = gateway.address(place.server).map(|(id, _)| id).unwrap_or_default();
        let last = !may_run_again(&job, progress.ran + 1);
        let failure = match attempt::send(gateway, &job, place, last).await {
            Ok(sent) => {
                trail.head = gateway.clock.now().since(job.arrived);
                match relay::answer(gateway, &job, sent, &mut turn, trail).await {
                    Ok(response) => return Ok(response),
                    Err(reason) => Failure::MayHaveRun(reason),
                }
            }
            Err(failure) => failure,
        };
        progress.note(&job, failure)?;
    }
}

/// Whether a request that may have run may be sent again.
fn after_run(job: &Job, ran: &mut u32, reason: &str) -> Result<(), Problem> {
    *ran += 1;
    if !may_run_again(job, *ran) {
        return Err(Problem::new(StatusCode::BAD_GATEWAY, reason));
    }
    Ok(())
}

/// Whether a request may be sent to one more server after it may have run on this many.
fn may_run_again(job: &Job, ran: u32) -> bool {
    !job.route.is_at_most_once() && !job.route.is_streaming() && ran < job.route.max_attempts
}

fn wanted(job: &Job, now: Timestamp, avoid: &[ServerKey]) -> dispatch::Request {
    let finish_in = job.call.finish_in.unwrap_or_else(|| job.until.since(now));
    dispatch::Request {
        ticket: 0,
        service: job.service.clone(),
        priority: job.priority(),
        started: job.begun,
        max_wait: job.route.objective / PATIENCE_DIVISOR,
        deadline: job.until,
        finish_by: job.arrived + finish_in,
        affinity: job.call.affinity.filter(|_| job.route.sticky),
        excluded: avoid.to_vec(),
    }
}
