//! Polls the platform's VM list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

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
use crate::node::heartbeats::HeartbeatSender;
use crate::node::peer_link::with_deadline;
use crate::transport::body_end::read_decoded_body;

/// Limit of the size of a list, about 100 bytes for each of 40,000 VMs.
const MAX_LIST_BYTES: u64 = 4 << 20;

#[derive(Debug, Snafu)]
enum FetchError {
    #[snafu(display("can't connect: {source}"))]
    Connect { source: std::io::Error },
    #[snafu(display("the request failed: {detail}"))]
    Exchange { detail: Arc<str> },
    #[snafu(display("the response is incomplete: {source}"))]
    Body { source: std::io::Error },
    #[snafu(display("the request timed out"))]
    Timeout,
    #[snafu(context(false), display("{source}"))]
    Parse { source: VmListError },
}

/// Reads the list at each interval until the task is dropped.
pub async fn run(heartbeats: Rc<HeartbeatSender>, address: SocketAddr, interval: Duration) {
    let mut reader = VmListReader::default();
    loop {
        match with_deadline(interval, fetch(address)).await.unwrap_or(TimeoutSnafu.fail()) {
            Ok(bytes) => match parse(&bytes).map_err(FetchError::from) {
                Ok(list) => heartbeats.apply_vm_changes(reader.update(list)),
                Err(error) => debug!("Ignored the VM list: {error}."),
            },
            Err(error) => debug!("Ignored the VM list: {error}."),
        }
        Timer::after(interval).await;
    }
}

async fn fetch(address: SocketAddr) -> Result<Vec<u8>, FetchError> {
    let url = Url::parse(&format!("http://{address}/")).map_err(|error| exchange_error(&error))?;
    let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
    let exchange = async_h1::connect(stream, Request::new(Method::Get, url)).await;
    let mut response = exchange.map_err(|error| exchange_error(&error))?;
    read_decoded_body(&mut response, MAX_LIST_BYTES).await.context(BodySnafu)
}

/// Keeps only the text, because the library's error does not implement `std::error::Error`.
fn exchange_error(error: &dyn std::fmt::Display) -> FetchError {
    FetchError::Exchange { detail: error.to_string().into() }
}
