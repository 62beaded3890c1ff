//! From a request's path and method to what answers it.

use std::sync::Arc;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use smol::channel::Receiver;

use crate::attempts::IDEMPOTENCY_KEY_HEADER;
use crate::entry::ApiServer;
use crate::entry::calls;
use crate::entry::connection::Context;
use crate::entry::problem::Problem;
use crate::entry::problem::Reason;
use crate::entry::programs;
use crate::ids::ProgramId;
use crate::ids::RequestKey;
use crate::ports::Labels;
use crate::ports::Measure;
use crate::ports::NotTaking;

const SERVICES: &str = "/v1/services/";
const KEY_LIMIT: usize = 256;

/// Answers one request. The caller is gone once the sender of `gone` is dropped.
pub async fn answer(cx: Context, request: Request, gone: Receiver<()>) -> Response {
    match route(&cx, request, gone).await {
        Ok(response) => response,
        Err(problem) => problem.response(),
    }
}

async fn route(cx: &Context, request: Request, gone: Receiver<()>) -> Result<Response, Problem> {
    let path = request.url().path().to_owned();
    let method = request.method();
    let expect = |wanted: Method| (method == wanted).then_some(()).ok_or_else(|| wrong_method(wanted));
    match path.as_str() {
        "/v1/addresses" => {
            expect(Method::Get)?;
            programs::addresses(&cx.entry, &request)
        }
        "/v1/programs" => {
            expect(Method::Post)?;
            programs::open(&cx.entry, request).await
        }
        "/v1/programs/end" => {
            expect(Method::Post)?;
            programs::end(&cx.entry, &request).await
        }
        "/v1/answers" => {
            expect(Method::Get)?;
            programs::stored(&cx.entry, &request).await
        }
        "/v1/chat/completions" => {
            expect(Method::Post)?;
            calls::model(cx, request, gone).await
        }
        _ => {
            let rest = path.strip_prefix(SERVICES).ok_or_else(not_found)?;
            expect(Method::Post)?;
            let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
            calls::service(cx, request, gone, service, rest).await
        }
    }
}

/// Refuses new work while the node may not take any.
///
/// # Errors
///
/// Says why not.
pub fn taking_work(entry: &ApiServer) -> Result<(), Problem> {
    if entry.stopping.get() {
        return Err(NotTaking::Stopping.into());
    }
    entry.control.taking_work()?;
    Ok(())
}

/// Counts a refusal and passes it on.
pub fn counted(entry: &ApiServer, labels: &Labels, problem: Problem) -> Problem {
    entry.recorder.record(labels, &Measure::Refused(problem.label()));
    problem
}

/// The key of a request.
///
/// # Errors
///
/// Refuses a missing, empty, long or unprintable key.
pub fn key(request: &Request) -> Result<RequestKey, Problem> {
    let key = request.header(IDEMPOTENCY_KEY_HEADER).map(|v| v.last().as_str()).unwrap_or_default();
    usable_key(key)
}

/// Checks the text of a key.
///
/// # Errors
///
/// Refuses an empty, long or unprintable key.
pub fn usable_key(key: &str) -> Result<RequestKey, Problem> {
    let usable = !key.is_empty() && key.len() <= KEY_LIMIT && key.bytes().all(|b| b.is_ascii_graphic());
    let refusal =
        || Problem::not_run(400, Reason::Key, "Idempotency-Key must be 1 to 256 printable characters");
    usable.then(|| RequestKey(key.into())).ok_or_else(refusal)
}

/// A value of the query part.
#[must_use]
pub fn query(request: &Request, name: &str) -> Option<String> {
    request.url().query_pairs().find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// The program that the query part names.
///
/// # Errors
///
/// Refuses a missing or malformed name.
pub fn program_in_query(request: &Request) -> Result<ProgramId, Problem> {
    program(query(request, "program").as_deref())
}

/// Reads the name of a program.
///
/// # Errors
///
/// Refuses a missing or malformed name.
pub fn program(text: Option<&str>) -> Result<ProgramId, Problem> {
    text.and_then(ProgramId::parse).ok_or_else(|| malformed("a program is named partner/name"))
}

/// A refusal of a request that can't be understood.
pub fn malformed(detail: impl Into<Arc<str>>) -> Problem {
    Problem::not_run(400, Reason::Malformed, detail)
}

fn not_found() -> Problem {
    Problem::not_run(404, Reason::NotFound, "no such path")
}

fn wrong_method(wanted: Method) -> Problem {
    Problem::not_run(405, Reason::Method, format!("use {wanted}"))
}
