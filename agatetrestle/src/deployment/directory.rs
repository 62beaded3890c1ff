//! Answers address lookups of callers; see docs/design/010-addresses-without-a-balancer.md.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::Role;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;

use crate::cluster::message::Member;
use crate::cluster::registry::ClusterRegistry;
use crate::gateway::wire::WireFormat;
use crate::transport::body::ResponseBody;
use crate::transport::server::Handler;

/// Time for which callers may cache an answer. An entry that stops waits for caches to expire, within its grace period.
pub(super) const ADDRESS_MAX_AGE: Duration = Duration::from_secs(1);
const MAX_ENTRY_ADDRESSES: usize = 64;
/// Callers stay in their failure domain if it has this many ready entries, so that the loss of one leaves another.
const MIN_LOCAL_ENTRIES: usize = 2;

pub(super) fn handler(wire: Rc<dyn WireFormat>, registry: Rc<ClusterRegistry>, max_age: Duration) -> Handler {
    Rc::new(move |request| {
        let response = match wire.read_lookup(request.uri()) {
            None => empty_response(StatusCode::NOT_FOUND),
            Some(lookup) => {
                let addresses = addresses(&registry.members(), &lookup.zone);
                if addresses.is_empty() {
                    empty_response(StatusCode::SERVICE_UNAVAILABLE)
                } else {
                    let body = wire.write_addresses(&addresses, ADDRESS_MAX_AGE.min(max_age));
                    let mut response = Response::new(ResponseBody::full(body));
                    let content_type = http::HeaderValue::from_static("application/json");
                    response.headers_mut().insert(CONTENT_TYPE, content_type);
                    response
                }
            }
        };
        Box::pin(async move { response })
    })
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(""));
    *response.status_mut() = status;
    response
}

/// Addresses of the ready entries in the caller's failure domain if there are enough, else of all ready entries.
pub(super) fn addresses(members: &[Member], zone: &str) -> Vec<SocketAddrV4> {
    let entries: Vec<&Member> =
        members.iter().filter(|member| member.role == Role::Entry && member.ready).collect();
    let local: Vec<&Member> = entries.iter().copied().filter(|entry| &*entry.zone == zone).collect();
    let chosen = if local.len() >= MIN_LOCAL_ENTRIES { local } else { entries };
    chosen.into_iter().filter_map(|entry| entry.callers).take(MAX_ENTRY_ADDRESSES).collect()
}
