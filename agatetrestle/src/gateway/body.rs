//! Reads request bodies within the memory limit that all requests share.

use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::clock::Timestamp;
use crate::gateway::Gateway;
use crate::gateway::context::ErrorResponse;
use crate::gateway::context::FAILOVER_RETRY_AFTER;
use crate::node::peer_link::with_deadline;

/// Memory charged for a body until its request is handled.
pub(super) struct BodyPermit<'a> {
    gateway: &'a Gateway,
    bytes: usize,
}

impl BodyPermit<'_> {
    fn try_grow(&mut self, bytes: usize) -> bool {
        let free = self.gateway.free_body_bytes.get();
        if bytes > free {
            return false;
        }
        self.gateway.free_body_bytes.set(free - bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyPermit<'_> {
    fn drop(&mut self) {
        self.gateway.free_body_bytes.set(self.gateway.free_body_bytes.get() + self.bytes);
    }
}

/// Buffers a request body, subject to the size limit, the deadline and the shared memory limit.
pub(super) async fn read_body(
    gateway: &Gateway,
    mut body: Incoming,
    limit: usize,
    deadline: Timestamp,
) -> Result<(BodyPermit<'_>, Bytes), ErrorResponse> {
    let mut permit = BodyPermit { gateway, bytes: 0 };
    let too_large = || ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if usize::try_from(body.size_hint().lower()).is_ok_and(|length| length > limit) {
        return Err(too_large());
    }
    let mut buffer = BytesMut::new();
    loop {
        let left = deadline.since(gateway.clock.now());
        let Some(frame) = with_deadline(left, body.frame()).await else {
            return Err(ErrorResponse::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"));
        };
        let Some(frame) = frame else {
            return Ok((permit, buffer.freeze()));
        };
        let frame = frame.map_err(|error| ErrorResponse::new(StatusCode::BAD_REQUEST, error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(too_large());
        }
        if !permit.try_grow(data.len()) {
            return Err(ErrorResponse::not_run("too many bodies are held", FAILOVER_RETRY_AFTER));
        }
        buffer.extend_from_slice(&data);
    }
}
