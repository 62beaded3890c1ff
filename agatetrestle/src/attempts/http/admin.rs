//! Reports and cache orders over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde::Deserialize;
use serde::Serialize;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

use crate::attempts::BackendReport;
use crate::attempts::EngineCommand;
use crate::attempts::ExchangeError;
use crate::attempts::http::exchange_error;
use crate::ids::ProgramId;
use crate::scheduler::event::CacheChange;
use crate::scheduler::event::Failure;
use crate::scheduler::event::Load;

/// Largest report that is read; one that has more to tell tells it next time.
const REPORT_LIMIT: u64 = 4 << 20;

#[derive(Serialize)]
struct OrderForm {
    program: String,
    order: EngineCommand,
}

#[derive(Deserialize)]
struct ReportForm {
    running: u32,
    waiting: u32,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    position: u64,
    #[serde(default)]
    changes: Vec<ChangeForm>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ChangeForm {
    Stored(Vec<u64>),
    Evicted(Vec<u64>),
    Cleared,
}

pub(super) async fn order(
    stream: TcpStream,
    address: SocketAddr,
    program: &ProgramId,
    order: EngineCommand,
) -> Result<(), ExchangeError> {
    let mut req = request(Method::Post, address, "/admin/cache")?;
    let form = OrderForm { program: program.to_string(), order };
    req.set_body(serde_json::to_vec(&form).unwrap_or_default());
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
    let mut bytes = Vec::new();
    let body = response.take_body().take(REPORT_LIMIT).read_to_end(&mut bytes).await;
    body.map_err(|e| exchange_error(Failure::Lost, e.to_string()))?;
    let form: ReportForm =
        serde_json::from_slice(&bytes).map_err(|e| exchange_error(Failure::Lost, e.to_string()))?;
    let load = Load { running: form.running, waiting: form.waiting, age: Duration::from_millis(form.age_ms) };
    let changes = form.changes.into_iter().map(change).collect();
    Ok(Some(BackendReport { load, changes, position: form.position }))
}

fn change(form: ChangeForm) -> CacheChange {
    match form {
        ChangeForm::Stored(blocks) => CacheChange::Stored(blocks.into()),
        ChangeForm::Evicted(blocks) => CacheChange::Evicted(blocks.into()),
        ChangeForm::Cleared => CacheChange::Cleared,
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
    let exchange = async_h1::connect(stream, req).await;
    exchange.map_err(|e| exchange_error(Failure::Lost, Arc::<str>::from(e.to_string())))
}
