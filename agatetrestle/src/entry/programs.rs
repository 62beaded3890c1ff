//! Handlers for caller addresses, for opening and ending programs and for stored answers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

use crate::entry::ApiServer;
use crate::entry::problem::Problem;
use crate::entry::problem::ProblemReason;
use crate::entry::problem::RunOutcome;
use crate::entry::routes;
use crate::ids::ProgramId;
use crate::ids::RequestKey;
use crate::ports::GroupError;
use crate::ports::Labels;
use crate::ports::Measurement;
use crate::programs::command::Answer;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramSpec;
use crate::programs::command::ProgramView;
use crate::programs::command::QueryReply;
use crate::programs::command::Refusal;

/// `Retry-After` of refusals that are likely to clear soon.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Serialize)]
struct Addresses {
    addresses: Vec<Arc<str>>,
    max_age_ms: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Opening {
    partner: Arc<str>,
    team: Arc<str>,
    class: Arc<str>,
    name: Option<Arc<str>>,
    budget: Option<u64>,
    parent: Option<Arc<str>>,
}

#[derive(Serialize)]
struct ProgramBody<'a> {
    program: String,
    partner: &'a str,
    team: &'a str,
    class: &'a str,
    parent: Option<String>,
    budget: u64,
    turns: u32,
    next_call: u32,
    spent: u64,
    reserved: u64,
    ended: bool,
}

/// Lists the caller addresses of nodes, for one program or in general.
///
/// # Errors
///
/// Fails if the program name is malformed.
pub fn addresses(server: &ApiServer, request: &Request) -> Result<Response, Problem> {
    let program = match routes::query_value(request, "program") {
        Some(text) => Some(routes::parse_program(Some(&text))?),
        None => None,
    };
    let max_age = server.limits.address_max_age;
    let body = Addresses {
        addresses: server.members.addresses(program.as_ref()),
        max_age_ms: u64::try_from(max_age.as_millis()).unwrap_or(u64::MAX),
    };
    let mut response = json_response(StatusCode::Ok, &body);
    response.insert_header("Cache-Control", format!("max-age={}", max_age.as_secs()));
    Ok(response)
}

/// Opens a program. A resend with the same key gets the same answer.
///
/// # Errors
///
/// Fails if the request is malformed, or refused by the declarations in force or by the ledger.
pub async fn open(server: &Rc<ApiServer>, mut request: Request) -> Result<Response, Problem> {
    let key = routes::idempotency_key(&request)?;
    let body = request.body_bytes().await.map_err(|e| routes::malformed(e.to_string()))?;
    let opening: Opening = serde_json::from_slice(&body).map_err(|e| routes::malformed(e.to_string()))?;
    let labels = Labels { partner: opening.partner.clone(), class: opening.class.clone() };
    let command = open_command(server, &opening, key)
        .map_err(|problem| routes::record_refusal(server, &labels, problem))?;
    if let Err(problem) = routes::require_accepting_work(server) {
        let outcome = check_opened(server, command.program()).await.err();
        let refusal = outcome.map(|outcome| Problem { outcome, ..problem });
        refusal.map_or(Ok(()), |problem| Err(routes::record_refusal(server, &labels, problem)))?;
    }
    let reply = server.ledger.commit(command).await;
    let view = expect_view(reply).map_err(|problem| routes::record_refusal(server, &labels, problem))?;
    if view.spec.parent.is_none() {
        server.state.recent_programs.insert(&view, view.program.clone());
    }
    Ok(json_response(StatusCode::Created, &program_body(&view)))
}

fn open_command(server: &ApiServer, opening: &Opening, key: RequestKey) -> Result<ProgramCommand, Problem> {
    let declared = server.state.declarations.get(&server.control.configuration());
    let class = declared.class(&opening.partner, &opening.team, &opening.class)?;
    let budget = opening.budget.unwrap_or(class.budget);
    if budget > class.budget {
        let detail = format!("the class allows at most {} tokens", class.budget);
        return Err(Problem::not_run(422, ProblemReason::Budget, detail));
    }
    let parent = match &opening.parent {
        Some(text) => Some(routes::parse_program(Some(text))?),
        None => None,
    };
    if parent.as_ref().is_some_and(|parent| parent.partner != opening.partner) {
        return Err(Problem::not_run(422, ProblemReason::Undeclared, "a parent must be of the same partner"));
    }
    let name = opening.name.clone().unwrap_or_else(|| name_for_key(&key));
    let program = routes::parse_program(Some(&format!("{}/{name}", opening.partner)))?;
    let spec = ProgramSpec {
        team: opening.team.clone(),
        class: opening.class.clone(),
        budget,
        turns: class.turns,
        parent,
    };
    Ok(ProgramCommand::Open { program, key, spec, at: unix_millis() })
}

/// Checks whether the program exists, since a node that accepts no new work still answers a resend. Fails with
/// `Unknown` if the ledger does not reply.
async fn check_opened(server: &ApiServer, program: &ProgramId) -> Result<(), RunOutcome> {
    match server.ledger.query(ProgramQuery::Program(program.clone())).await {
        Ok(QueryReply::One(ProgramReply::Done(_))) => Ok(()),
        Ok(_) => Err(RunOutcome::NotRun),
        Err(_) => Err(RunOutcome::Unknown),
    }
}

/// Derives a program's name from the key, so that a resend to any node names the same program.
fn name_for_key(key: &RequestKey) -> Arc<str> {
    format!("p-{:032x}", xxh3_128(key.0.as_bytes())).into()
}

/// Wall-clock milliseconds since 1970.
#[must_use]
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Ends a program.
///
/// # Errors
///
/// Fails if the program name is malformed, or if the ledger refuses or does not reply.
pub async fn end(server: &Rc<ApiServer>, request: &Request) -> Result<Response, Problem> {
    let program = routes::program_from_query(request)?;
    let reply = server.ledger.commit(ProgramCommand::End { program: program.clone() }).await;
    let view = expect_view(reply)?;
    record_latency(server, &view);
    server.dispatcher.step(crate::scheduler::event::Event::Ended(program));
    Ok(json_response(StatusCode::Ok, &program_body(&view)))
}

/// Records the latency of an ended program, from its opening to its last answer on this node or, without one,
/// to its end.
fn record_latency(server: &ApiServer, view: &ProgramView) {
    let cached = server.state.recent_programs.remove(&view.program);
    let answered_at = cached.map_or(0, |cached| cached.answered_at);
    let finished_at = if answered_at > 0 { answered_at } else { unix_millis() };
    let latency = Duration::from_millis(finished_at.saturating_sub(view.opened_at));
    let labels = Labels { partner: view.program.partner.clone(), class: view.spec.class.clone() };
    server.recorder.record(&labels, &Measurement::ProgramLatency(latency));
}

/// Returns the stored answer to an earlier request.
///
/// # Errors
///
/// Fails if there is no answer or the ledger does not reply.
pub async fn stored_answer(server: &Rc<ApiServer>, request: &Request) -> Result<Response, Problem> {
    let program = routes::program_from_query(request)?;
    let key = routes::parse_key(&routes::query_value(request, "key").unwrap_or_default())?;
    let reply = server.ledger.query(ProgramQuery::Request(program, key)).await;
    match reply.map_err(|e| unknown_outcome(&e))? {
        QueryReply::One(ProgramReply::Stored(answer)) => Ok(answer_response(&answer)),
        QueryReply::One(ProgramReply::InProgress(_)) => Err(in_progress()),
        QueryReply::One(ProgramReply::InDoubt(_)) => Err(in_doubt()),
        QueryReply::One(ProgramReply::Refused(Refusal::NoProgram)) => Err(Refusal::NoProgram.into()),
        QueryReply::One(_) | QueryReply::Many(_) => {
            Err(Problem::not_run(404, ProblemReason::NotFound, "no request with this key was begun"))
        }
    }
}

/// The response for a stored answer.
#[must_use]
pub fn answer_response(answer: &Answer) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(answer.body.to_vec());
    if !answer.content_type.is_empty() {
        response.insert_header("Content-Type", &*answer.content_type);
    }
    response
}

/// The refusal while another attempt of the request is running.
#[must_use]
pub fn in_progress() -> Problem {
    let detail = "the request is being worked on; ask again with the same key";
    Problem::unknown(409, ProblemReason::InProgress, detail).retry_after(RETRY_AFTER)
}

/// The refusal when it is unknown whether the request ran.
#[must_use]
pub fn in_doubt() -> Problem {
    let detail =
        "nobody can tell whether the request ran; it is not sent again, and an operator can settle it";
    Problem::unknown(409, ProblemReason::InDoubt, detail)
}

/// The refusal when the ledger did not reply, so that the outcome of the request is unknown.
#[must_use]
pub fn unknown_outcome(e: &GroupError) -> Problem {
    Problem::unknown(503, ProblemReason::Ledger, e.to_string()).retry_after(RETRY_AFTER)
}

/// The refusal when a command got no reply; the request did not run if the command was never proposed.
#[must_use]
pub fn commit_problem(e: &GroupError) -> Problem {
    match e {
        GroupError::NotProposed { .. } => {
            Problem::not_run(503, ProblemReason::Ledger, e.to_string()).retry_after(RETRY_AFTER)
        }
        GroupError::Unknown { .. } => unknown_outcome(e),
    }
}

fn expect_view(reply: Result<ProgramReply, GroupError>) -> Result<ProgramView, Problem> {
    match reply.map_err(|e| commit_problem(&e))? {
        ProgramReply::Done(view) => Ok(view),
        ProgramReply::Refused(refusal) => Err(refusal.into()),
        ProgramReply::Stored(_) | ProgramReply::InProgress(_) | ProgramReply::InDoubt(_) => {
            Err(Refusal::KeyReused.into())
        }
    }
}

fn program_body(view: &ProgramView) -> ProgramBody<'_> {
    ProgramBody {
        program: view.program.to_string(),
        partner: &view.program.partner,
        team: &view.spec.team,
        class: &view.spec.class,
        parent: view.spec.parent.as_ref().map(ProgramId::to_string),
        budget: view.spec.budget,
        turns: view.spec.turns,
        next_call: view.next_call.0,
        spent: view.spent,
        reserved: view.reserved,
        ended: view.ended,
    }
}

fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response.insert_header("Content-Type", "application/json");
    response
}
