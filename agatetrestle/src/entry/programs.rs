//! Addresses, opening and ending programs, and answers asked for again.

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
use crate::entry::problem::Reason;
use crate::entry::problem::Told;
use crate::entry::routes;
use crate::ids::ProgramId;
use crate::ids::RequestKey;
use crate::ports::GroupError;
use crate::ports::Labels;
use crate::ports::Measure;
use crate::programs::command::Answer;
use crate::programs::command::ProgramCommand;
use crate::programs::command::ProgramQuery;
use crate::programs::command::ProgramReply;
use crate::programs::command::ProgramSpec;
use crate::programs::command::ProgramView;
use crate::programs::command::QueryReply;
use crate::programs::command::Refusal;

/// When a caller may ask again for an answer that is being worked on.
pub const COMEBACK: Duration = Duration::from_secs(1);

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
struct View<'a> {
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

/// Tells a caller where to connect.
///
/// # Errors
///
/// Refuses a malformed program name.
pub fn addresses(entry: &ApiServer, request: &Request) -> Result<Response, Problem> {
    let program = match routes::query(request, "program") {
        Some(text) => Some(routes::program(Some(&text))?),
        None => None,
    };
    let age = entry.limits.address_max_age;
    let answer = Addresses {
        addresses: entry.members.addresses(program.as_ref()),
        max_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    };
    let mut response = json(StatusCode::Ok, &answer);
    response.insert_header("Cache-Control", format!("max-age={}", age.as_secs()));
    Ok(response)
}

/// Opens a program; a resend with the same key is answered as the first.
///
/// # Errors
///
/// Refuses what the declarations in force or the ledger don't allow.
pub async fn open(entry: &Rc<ApiServer>, mut request: Request) -> Result<Response, Problem> {
    let key = routes::key(&request)?;
    let body = request.body_bytes().await.map_err(|e| routes::malformed(e.to_string()))?;
    let opening: Opening = serde_json::from_slice(&body).map_err(|e| routes::malformed(e.to_string()))?;
    let labels = Labels { partner: opening.partner.clone(), class: opening.class.clone() };
    let command =
        prepare(entry, &opening, key).map_err(|problem| routes::counted(entry, &labels, problem))?;
    if let Err(problem) = routes::taking_work(entry) {
        let refusal = opened_before(entry, command.program()).await.err();
        let told = refusal.map(|outcome| Problem { outcome, ..problem });
        told.map_or(Ok(()), |problem| Err(routes::counted(entry, &labels, problem)))?;
    }
    let reply = entry.ledger.commit(command).await;
    let view = done(reply).map_err(|problem| routes::counted(entry, &labels, problem))?;
    if view.spec.parent.is_none() {
        entry.state.known.learn(&view, view.program.clone());
    }
    Ok(json(StatusCode::Created, &form(&view)))
}

fn prepare(entry: &ApiServer, opening: &Opening, key: RequestKey) -> Result<ProgramCommand, Problem> {
    let declared = entry.state.declared.of(&entry.control.configuration());
    let class = declared.class(&opening.partner, &opening.team, &opening.class)?;
    let budget = opening.budget.unwrap_or(class.budget);
    if budget > class.budget {
        let detail = format!("the class allows at most {} tokens", class.budget);
        return Err(Problem::not_run(422, Reason::Budget, detail));
    }
    let parent = match &opening.parent {
        Some(text) => Some(routes::program(Some(text))?),
        None => None,
    };
    if parent.as_ref().is_some_and(|parent| parent.partner != opening.partner) {
        return Err(Problem::not_run(422, Reason::Undeclared, "a parent must be of the same partner"));
    }
    let name = opening.name.clone().unwrap_or_else(|| name_from(&key));
    let program = routes::program(Some(&format!("{}/{name}", opening.partner)))?;
    let spec = ProgramSpec {
        team: opening.team.clone(),
        class: opening.class.clone(),
        budget,
        turns: class.turns,
        parent,
    };
    Ok(ProgramCommand::Open { program, key, spec, at: wall_clock() })
}

/// A node that takes no new work still answers a resend: the ledger gives the first answer again. If the
/// program does not exist the opening did not run, and without the ledger's word nobody can say.
async fn opened_before(entry: &ApiServer, program: &ProgramId) -> Result<(), Told> {
    match entry.ledger.query(ProgramQuery::Program(program.clone())).await {
        Ok(QueryReply::One(ProgramReply::Done(_))) => Ok(()),
        Ok(_) => Err(Told::NotRun),
        Err(_) => Err(Told::Unknown),
    }
}

/// A resend on any node must mean the same program, so that the name follows from the key.
fn name_from(key: &RequestKey) -> Arc<str> {
    format!("p-{:032x}", xxh3_128(key.0.as_bytes())).into()
}

/// Wall-clock milliseconds since 1970.
#[must_use]
pub fn wall_clock() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Ends a program.
///
/// # Errors
///
/// Refuses what the ledger refuses.
pub async fn end(entry: &Rc<ApiServer>, request: &Request) -> Result<Response, Problem> {
    let program = routes::program_in_query(request)?;
    let reply = entry.ledger.commit(ProgramCommand::End { program: program.clone() }).await;
    let view = done(reply)?;
    measure_end(entry, &view);
    entry.dispatcher.step(crate::scheduler::event::Event::Ended(program));
    Ok(json(StatusCode::Ok, &form(&view)))
}

/// Records the latency of a program that has ended, from its opening to its final answer; where another node
/// gave that answer, to its end.
fn measure_end(entry: &ApiServer, view: &ProgramView) {
    let known = entry.state.known.forget(&view.program);
    let answered_at = known.map_or(0, |known| known.answered_at);
    let until = if answered_at > 0 { answered_at } else { wall_clock() };
    let latency = Duration::from_millis(until.saturating_sub(view.opened_at));
    let labels = Labels { partner: view.program.partner.clone(), class: view.spec.class.clone() };
    entry.recorder.record(&labels, &Measure::ProgramLatency(latency));
}

/// Gives a stored answer again.
///
/// # Errors
///
/// Refuses where there is none, or none yet.
pub async fn stored(entry: &Rc<ApiServer>, request: &Request) -> Result<Response, Problem> {
    let program = routes::program_in_query(request)?;
    let key = routes::usable_key(&routes::query(request, "key").unwrap_or_default())?;
    let reply = entry.ledger.query(ProgramQuery::Request(program, key)).await;
    match reply.map_err(|e| unanswered(&e))? {
        QueryReply::One(ProgramReply::Stored(answer)) => Ok(give_again(&answer)),
        QueryReply::One(ProgramReply::InProgress(_)) => Err(in_progress()),
        QueryReply::One(ProgramReply::InDoubt(_)) => Err(in_doubt()),
        QueryReply::One(ProgramReply::Refused(Refusal::NoProgram)) => Err(Refusal::NoProgram.into()),
        QueryReply::One(_) | QueryReply::Many(_) => {
            Err(Problem::not_run(404, Reason::NotFound, "no request with this key was begun"))
        }
    }
}

/// The response for a stored answer.
#[must_use]
pub fn give_again(answer: &Answer) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(answer.body.to_vec());
    if !answer.content_type.is_empty() {
        response.insert_header("Content-Type", &*answer.content_type);
    }
    response
}

/// The refusal where the request is being worked on.
#[must_use]
pub fn in_progress() -> Problem {
    let detail = "the request is being worked on; ask again with the same key";
    Problem::unknown(409, Reason::InProgress, detail).retry_after(COMEBACK)
}

/// The refusal where nobody can tell whether the request ran.
#[must_use]
pub fn in_doubt() -> Problem {
    let detail =
        "nobody can tell whether the request ran; it is not sent again, and an operator can settle it";
    Problem::unknown(409, Reason::InDoubt, detail)
}

/// The refusal where a query got no reply.
#[must_use]
pub fn unanswered(e: &GroupError) -> Problem {
    Problem::unknown(503, Reason::Ledger, e.to_string()).retry_after(COMEBACK)
}

/// The refusal where a command got no reply.
#[must_use]
pub fn uncommitted(e: &GroupError) -> Problem {
    match e {
        GroupError::NotProposed { .. } => {
            Problem::not_run(503, Reason::Ledger, e.to_string()).retry_after(COMEBACK)
        }
        GroupError::Unknown { .. } => unanswered(e),
    }
}

fn done(reply: Result<ProgramReply, GroupError>) -> Result<ProgramView, Problem> {
    match reply.map_err(|e| uncommitted(&e))? {
        ProgramReply::Done(view) => Ok(view),
        ProgramReply::Refused(refusal) => Err(refusal.into()),
        ProgramReply::Stored(_) | ProgramReply::InProgress(_) | ProgramReply::InDoubt(_) => {
            Err(Refusal::KeyReused.into())
        }
    }
}

fn form(view: &ProgramView) -> View<'_> {
    View {
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

fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response.insert_header("Content-Type", "application/json");
    response
}
