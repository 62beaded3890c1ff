//! Answers callers that ask which address to use; docs/design/010-addresses-without-a-balancer.md.

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

/// For how long callers are told to keep an answer. Some keep it three times as long, and a planned stop has to wait for
/// those within its grace of 8 s.
pub(super) const MAX_AGE: Duration = Duration::from_secs(1);
/// Most addresses in one answer.
const MOST: usize = 64;
/// Entries of the caller's own failure domain that suffice, so that the loss of one leaves another.
const ENOUGH: usize = 2;

pub(super) fn handler(wire: Rc<dyn WireFormat>, registry: Rc<ClusterRegistry>, bound: Duration) -> Handler {
    Rc::new(move |request| {
        let response = match wire.read_lookup(request.uri()) {
            None => empty(StatusCode::NOT_FOUND),
            Some(lookup) => {
                let addresses = addresses(&registry.members(), &lookup.zone);
                if addresses.is_empty() {
                    empty(StatusCode::SERVICE_UNAVAILABLE)
                } else {
                    let body = wire.write_addresses(&addresses, MAX_AGE.min(bound));
                    let mut response = Response::new(ResponseBody::full(body));
                    let media = http::HeaderValue::from_static("application/json");
                    response.headers_mut().insert(CONTENT_TYPE, media);
                    response
                }
            }
        };
        Box::pin(async move { response })
    })
}

fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(""));
    *response.status_mut() = status;
    response
}

/// The entries that take requests: those of the caller's failure domain if they are enough, else all.
pub(super) fn addresses(members: &[Member], zone: &str) -> Vec<SocketAddrV4> {
    let entries: Vec<&Member> =
        members.iter().filter(|member| member.role == Role::Entry && member.ready).collect();
    let near: Vec<&Member> = entries.iter().copied().filter(|entry| &*entry.zone == zone).collect();
    let chosen = if near.len() >= ENOUGH { near } else { entries };
    chosen.into_iter().filter_map(|entry| entry.callers).take(MOST).collect()
}
