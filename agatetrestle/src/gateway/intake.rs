//! The body of a request on its way in, and the memory that all bodies share.

use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::clock::Timestamp;
use crate::gateway::Gateway;
use crate::gateway::job::COME_BACK;
use crate::gateway::job::Problem;
use crate::node::peer_link::within;

/// Room that a body takes while its request is answered.
pub(super) struct Held<'a> {
    gateway: &'a Gateway,
    bytes: usize,
}

impl Held<'_> {
    fn grow(&mut self, bytes: usize) -> bool {
        let left = self.gateway.body_buffer_bytes.get();
        if bytes > left {
            return false;
        }
        self.gateway.body_buffer_bytes.set(left - bytes);
        self.bytes += bytes;
        true
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.gateway.body_buffer_bytes.set(self.gateway.body_buffer_bytes.get() + self.bytes);
    }
}

/// Reads the body of a request whole, unless it is too large, too slow or one too many.
pub(super) async fn read_body(
    gateway: &Gateway,
    mut body: Incoming,
    limit: usize,
    until: Timestamp,
) -> Result<(Held<'_>, Bytes), Problem> {
    let mut held = Held { gateway, bytes: 0 };
    let too_large = || Problem::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    if usize::try_from(body.size_hint().lower()).is_ok_and(|length| length > limit) {
        return Err(too_large());
    }
    let mut whole = BytesMut::new();
    loop {
        let left = until.since(gateway.clock.now());
        let Some(frame) = within(left, body.frame()).await else {
            return Err(Problem::new(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"));
        };
        let Some(frame) = frame else {
            return Ok((held, whole.freeze()));
        };
        let frame = frame.map_err(|failure| Problem::new(StatusCode::BAD_REQUEST, failure))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(too_large());
        }
        if !held.grow(data.len()) {
            return Err(Problem::not_run("too many bodies are held", COME_BACK));
        }
        whole.extend_from_slice(&data);
    }
}
