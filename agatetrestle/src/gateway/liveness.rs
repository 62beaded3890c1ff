//! Asks servers whether they run that have lost a request and have not responded to others since.
//!
//! A loss is taken back once its server has responded to a later request. If the refused request is all that its service is asked
//! for, there is none, so the entry asks itself; see docs/design/027-requests-that-end-servers.md.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::Full;
use log::debug;

use crate::dispatch::ServerKey;
use crate::gateway::Gateway;
use crate::gateway::losses;
use crate::node::peer_link::with_deadline;
use crate::transport::client::ReusePolicy;

/// Limit on the time to the response. A server without a free slot may not respond before.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks the servers that are due.
pub(super) fn probe_due(gateway: &Rc<Gateway>) {
    for server in gateway.losses.take_due_probes(gateway.clock.now()) {
        let gateway = gateway.clone();
        let executor = gateway.executor.clone();
        let probing = async move {
            let sent_at = gateway.clock.now();
            if with_deadline(RESPONSE_TIMEOUT, runs(&gateway, server)).await == Some(true) {
                losses::record_response(&gateway, server, sent_at);
            }
        };
        executor.spawn(probing).detach();
    }
}

/// Whether the instance responds on the health path of its service. An unhealthy one runs as well.
async fn runs(gateway: &Gateway, server: ServerKey) -> bool {
    let Some((instance, address)) = gateway.address(server) else {
        return false;
    };
    let Some(path) = health_path(gateway, server) else {
        return false;
    };
    // On a connection of its own, no late response to another request can be taken for the answer.
    let mut connection = match gateway.client.acquire(address, ReusePolicy::Never).await {
        Ok(connection) => connection,
        Err(error) => {
            debug!("server={instance} address={address} can't be probed: {error}.");
            return false;
        }
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path;
    gateway.wire.write_probe(request.headers_mut(), &instance, address);
    match connection.send(request).await {
        Ok(response) => {
            let named = gateway.wire.read_response(response.headers()).instance;
            let is_other = named.is_some_and(|named| named != instance);
            !is_other && response.status() != StatusCode::MISDIRECTED_REQUEST
        }
        Err(error) => {
            debug!("server={instance} address={address} did not answer a probe: {error}.");
            false
        }
    }
}

fn health_path(gateway: &Gateway, server: ServerKey) -> Option<Uri> {
    let service = gateway.dispatch.borrow().instance(server)?.service.clone();
    let table = gateway.table.borrow().clone()?;
    table.service(&service)?.health_path.as_ref()?.parse().ok()
}
