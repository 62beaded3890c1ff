//! Status reports and cache commands over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde::Deserialize;
use serde::Serialize;
use smol::net::TcpStream;

use crate::attempts::BackendReport;
use crate::attempts::EngineCommand;
use crate::attempts::ExchangeError;
use crate::attempts::http::exchange_error;
use crate::ids::ProgramId;
use crate::scheduler::event::CacheChange;
use crate::scheduler::event::Failure;
use crate::scheduler::event::Load;
use crate::transport::body_end::read_decoded_body;
use crate::transport::bounded::BoundedStream;

const MAX_REPORT_BYTES: u64 = 4 << 20;
/// Limit of all that is read from a connection. The HTTP library reads a line of the head to its end, however long.
const MAX_READ_BYTES: usize = 8 << 20;

#[derive(Serialize)]
struct CacheCommandBody {
    program: String,
    order: EngineCommand,
}

#[derive(Deserialize)]
struct ReportBody {
    running: u32,
    waiting: u32,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    position: u64,
    #[serde(default)]
    changes: Vec<CacheChangeBody>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum CacheChangeBody {
    Stored(Vec<u64>),
    Evicted(Vec<u64>),
    Cleared,
}

pub(super) async fn cache_command(
    stream: TcpStream,
    address: SocketAddr,
    program: &ProgramId,
    command: EngineCommand,
) -> Result<(), ExchangeError> {
    let mut req = request(Method::Post, address, "/admin/cache")?;
    let body = CacheCommandBody { program: program.to_string(), order: command };
    req.set_body(serde_json::to_vec(&body).unwrap_or_default());
    req.insert_header("Content-Type", "application/json");
    let response = send(stream, req).await?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(exchange_error(Failure::Error, format!("the engine answered {}", response.status())))
}

pub(super) async fn report(
    stream: TcpStream,
    address: SocketAddr,
    after: u64,
) -> Result<Option<BackendReport>, ExchangeError> {
    let req = request(Method::Get, address, &format!("/admin/report?after={after}"))?;
    let mut response = send(stream, req).await?;
    if !response.status().is_success() {
        return Ok(None);
    }
    let read = read_decoded_body(&mut response, MAX_REPORT_BYTES).await;
    let buf = read.map_err(|e| exchange_error(Failure::Lost, e.to_string()))?;
    let body: ReportBody =
        serde_json::from_slice(&buf).map_err(|e| exchange_error(Failure::Lost, e.to_string()))?;
    let load = Load { running: body.running, waiting: body.waiting, age: Duration::from_millis(body.age_ms) };
    let changes = body.changes.into_iter().map(cache_change).collect();
    Ok(Some(BackendReport { load, changes, position: body.position }))
}

fn cache_change(body: CacheChangeBody) -> CacheChange {
    match body {
        CacheChangeBody::Stored(blocks) => CacheChange::Stored(blocks.into()),
        CacheChangeBody::Evicted(blocks) => CacheChange::Evicted(blocks.into()),
        CacheChangeBody::Cleared => CacheChange::Cleared,
    }
}

fn request(method: Method, address: SocketAddr, path: &str) -> Result<Request, ExchangeError> {
    let url = Url::parse(&format!("http://{address}{path}"));
    let url = url.map_err(|e| exchange_error(Failure::Connect, e.to_string()))?;
    let mut req = Request::new(method, url);
    req.insert_header("Connection", "close");
    Ok(req)
}

async fn send(stream: TcpStream, req: Request) -> Result<Response, ExchangeError> {
    let response = async_h1::connect(BoundedStream::new(stream, MAX_READ_BYTES), req).await;
    response.map_err(|e| exchange_error(Failure::Lost, Arc::<str>::from(e.to_string())))
}
