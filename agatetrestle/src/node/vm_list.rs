//! The loop that reads the platform's VM list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::AsyncReadExt;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use log::debug;
use smol::Timer;
use smol::net::TcpStream;
use snafu::ResultExt;
use snafu::Snafu;

use crate::members::vm_list::VmListError;
use crate::members::vm_list::VmListReader;
use crate::members::vm_list::parse;
use crate::node::heartbeats::Heartbeats;
use crate::node::peer_link::within;

/// Largest list that is read: 100 bytes for each of 40,000 VMs.
const MAX_BYTES: u64 = 4 << 20;

/// Why a list could not be had.
#[derive(Debug, Snafu)]
enum FetchError {
    #[snafu(display("no connection: {source}"))]
    Connect { source: std::io::Error },
    #[snafu(display("no answer: {detail}"))]
    Exchange { detail: Arc<str> },
    #[snafu(display("the answer broke off: {source}"))]
    Body { source: std::io::Error },
    #[snafu(display("no answer in time"))]
    Timeout,
    #[snafu(context(false), display("{source}"))]
    Parse { source: VmListError },
}

/// Reads the list again and again until the task is dropped.
pub async fn run(heartbeats: Rc<Heartbeats>, address: SocketAddr, interval: Duration) {
    let mut reader = VmListReader::default();
    loop {
        match within(interval, fetch(address)).await.unwrap_or(TimeoutSnafu.fail()) {
            Ok(bytes) => match parse(&bytes).map_err(FetchError::from) {
                Ok(list) => heartbeats.take_vm_changes(reader.update(list)),
                Err(failure) => debug!("The VM list is passed over: {failure}."),
            },
            Err(failure) => debug!("The VM list is passed over: {failure}."),
        }
        Timer::after(interval).await;
    }
}

async fn fetch(address: SocketAddr) -> Result<Vec<u8>, FetchError> {
    let url = Url::parse(&format!("http://{address}/")).map_err(|failure| unanswered(&failure))?;
    let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
    let exchange = async_h1::connect(stream, Request::new(Method::Get, url)).await;
    let mut response = exchange.map_err(|failure| unanswered(&failure))?;
    let mut bytes = Vec::new();
    response.take_body().take(MAX_BYTES).read_to_end(&mut bytes).await.context(BodySnafu)?;
    Ok(bytes)
}

/// The library's error is no `std::error::Error`, so only its text is kept.
fn unanswered(failure: &dyn std::fmt::Display) -> FetchError {
    FetchError::Exchange { detail: failure.to_string().into() }
}
