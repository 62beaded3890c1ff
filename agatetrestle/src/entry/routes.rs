//! Routes requests by path and method, and parses what several handlers need.

use std::sync::Arc;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use smol::channel::Receiver;

use crate::attempts::IDEMPOTENCY_KEY_HEADER;
use crate::entry::ApiServer;
use crate::entry::calls;
use crate::entry::connection::ConnectionContext;
use crate::entry::problem::Problem;
use crate::entry::problem::ProblemReason;
use crate::entry::programs;
use crate::ids::ProgramId;
use crate::ids::RequestKey;
use crate::ports::Labels;
use crate::ports::Measurement;
use crate::ports::NotTakingWork;

const SERVICES_PATH: &str = "/v1/services/";
const MAX_KEY_BYTES: usize = 256;

/// Answers one request. The channel `disconnected` closes once the connection has ended.
pub async fn answer(cx: ConnectionContext, request: Request, disconnected: Receiver<()>) -> Response {
    match route(&cx, request, disconnected).await {
        Ok(response) => response,
        Err(problem) => problem.response(),
    }
}

async fn route(
    cx: &ConnectionContext,
    request: Request,
    disconnected: Receiver<()>,
) -> Result<Response, Problem> {
    let path = request.url().path().to_owned();
    let method = request.method();
    let require_method =
        |wanted: Method| (method == wanted).then_some(()).ok_or_else(|| wrong_method(wanted));
    match path.as_str() {
        "/v1/addresses" => {
            require_method(Method::Get)?;
            programs::addresses(&cx.server, &request)
        }
        "/v1/programs" => {
            require_method(Method::Post)?;
            programs::open(&cx.server, request).await
        }
        "/v1/programs/end" => {
            require_method(Method::Post)?;
            programs::end(&cx.server, &request).await
        }
        "/v1/answers" => {
            require_method(Method::Get)?;
            programs::stored_answer(&cx.server, &request).await
        }
        "/v1/chat/completions" => {
            require_method(Method::Post)?;
            calls::model_call(cx, request, disconnected).await
        }
        _ => {
            let rest = path.strip_prefix(SERVICES_PATH).ok_or_else(not_found)?;
            require_method(Method::Post)?;
            let (service, service_path) = rest.split_once('/').unwrap_or((rest, ""));
            calls::service_call(cx, request, disconnected, service, service_path).await
        }
    }
}

/// Checks that the node accepts new work.
///
/// # Errors
///
/// Fails while the node is starting, isolated or stopping.
pub fn require_accepting_work(server: &ApiServer) -> Result<(), Problem> {
    if server.stopping.get() {
        return Err(NotTakingWork::Stopping.into());
    }
    server.control.taking_work()?;
    Ok(())
}

/// Counts a refusal in the metrics and returns it.
pub fn record_refusal(server: &ApiServer, labels: &Labels, problem: Problem) -> Problem {
    server.recorder.record(labels, &Measurement::Refused(problem.label()));
    problem
}

/// The `Idempotency-Key` of a request.
///
/// # Errors
///
/// Fails if the key is missing, too long or not printable.
pub fn idempotency_key(request: &Request) -> Result<RequestKey, Problem> {
    let key = request.header(IDEMPOTENCY_KEY_HEADER).map(|v| v.last().as_str()).unwrap_or_default();
    parse_key(key)
}

/// Parses an idempotency key.
///
/// # Errors
///
/// Fails if the key is empty, too long or not printable.
pub fn parse_key(key: &str) -> Result<RequestKey, Problem> {
    let valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(|b| b.is_ascii_graphic());
    let refusal =
        || Problem::not_run(400, ProblemReason::Key, "Idempotency-Key must be 1 to 256 printable characters");
    valid.then(|| RequestKey(key.into())).ok_or_else(refusal)
}

/// The first value of a query parameter.
#[must_use]
pub fn query_value(request: &Request, name: &str) -> Option<String> {
    request.url().query_pairs().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// The program in the query parameter `program`.
///
/// # Errors
///
/// Fails if the name is missing or malformed.
pub fn program_from_query(request: &Request) -> Result<ProgramId, Problem> {
    parse_program(query_value(request, "program").as_deref())
}

/// Parses a program name of the form `partner/name`.
///
/// # Errors
///
/// Fails if the name is missing or malformed.
pub fn parse_program(text: Option<&str>) -> Result<ProgramId, Problem> {
    text.and_then(ProgramId::parse).ok_or_else(|| malformed("a program is named partner/name"))
}

/// The refusal of a malformed request, with status 400.
pub fn malformed(detail: impl Into<Arc<str>>) -> Problem {
    Problem::not_run(400, ProblemReason::Malformed, detail)
}

fn not_found() -> Problem {
    Problem::not_run(404, ProblemReason::NotFound, "no such path")
}

fn wrong_method(wanted: Method) -> Problem {
    Problem::not_run(405, ProblemReason::Method, format!("use {wanted}"))
}
