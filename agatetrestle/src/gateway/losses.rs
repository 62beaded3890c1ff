//! Attempts whose server broke off, which may have ended under them.

use std::sync::Arc;

use log::warn;

use crate::clock::Timestamp;
use crate::dispatch::ServerKey;
use crate::gateway::Gateway;
use crate::gateway::context::RequestContext;
use crate::suspects::Fingerprint;

/// A request that was sent to a server.
#[derive(Clone, Debug)]
pub(super) struct ServedRequest {
    fingerprint: Fingerprint,
    attempt_id: Arc<str>,
    service: Arc<str>,
    server: ServerKey,
    server_id: Arc<str>,
    arrived_at: Timestamp,
}

impl ServedRequest {
    pub(super) fn new(ctx: &RequestContext, server: ServerKey, server_id: &Arc<str>) -> Self {
        Self {
            fingerprint: ctx.fingerprint(),
            attempt_id: ctx.attempt_id.clone(),
            service: ctx.service.clone(),
            server,
            server_id: server_id.clone(),
            arrived_at: ctx.arrived_at,
        }
    }
}

/// Records that the server of a request broke off.
pub(super) fn record(gateway: &Gateway, request: &ServedRequest, reason: &str) {
    let ServedRequest { fingerprint, attempt_id, service, server, server_id, arrived_at } = request;
    let address = gateway.address(*server).map_or_else(String::new, |(_, address)| address.to_string());
    let age_ms = gateway.clock.now().since(*arrived_at).as_millis();
    warn!(
        "request={attempt_id} fingerprint={fingerprint} service={service} server={server_id} address={address} lost its \
         server: age_ms={age_ms} reason=\"{reason}\"."
    );
}
