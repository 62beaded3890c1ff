//! Answers address lookups of callers; see docs/design/010-addresses-without-a-balancer.md.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use log::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::cluster::registry::ClusterRegistry;
use crate::deployment::selection::Spill;
use crate::deployment::selection::select;
use crate::gateway::wire::WireFormat;
use crate::scheduler::random::Random;
use crate::transport::body::ResponseBody;
use crate::transport::server::Handler;
use crate::transport::server::PeerAddress;

/// Time for which callers may cache an answer. An entry that stops waits for caches to expire, within its grace period.
pub(super) const ADDRESS_MAX_AGE: Duration = Duration::from_secs(1);

/// What lookups are answered from.
pub(super) struct Directory {
    pub(super) wire: Rc<dyn WireFormat>,
    pub(super) registry: Rc<ClusterRegistry>,
    pub(super) max_age: Duration,
    pub(super) clock: Clock,
    pub(super) random: RefCell<Random>,
    pub(super) spill: RefCell<Spill>,
}

pub(super) fn handler(directory: Directory) -> Handler {
    Rc::new(move |request| {
        let peer = request.extensions().get::<PeerAddress>().copied();
        let response = directory.answer(request.uri(), peer);
        Box::pin(async move { response })
    })
}

impl Directory {
    fn answer(&self, uri: &http::Uri, peer: Option<PeerAddress>) -> Response<ResponseBody> {
        let Some(lookup) = self.wire.read_lookup(uri) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let members = self.registry.members();
        let mut spill = self.spill.borrow_mut();
        for (zone, share) in spill.update(self.clock.now(), &members) {
            info!("Failure domain {zone} sends {share} in 100 of its callers to other domains.");
        }
        let addresses = select(&members, &spill, &lookup.zone, self.caller(peer));
        if addresses.is_empty() {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let body = self.wire.write_addresses(&addresses, ADDRESS_MAX_AGE.min(self.max_age));
        let mut response = Response::new(ResponseBody::full(body));
        response.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
        response
    }

    /// Identifies a caller by its IP address. Callers on this machine share one, so each of their lookups is drawn anew.
    fn caller(&self, peer: Option<PeerAddress>) -> u64 {
        match peer.map(|PeerAddress(ip)| ip).filter(|ip| !ip.is_loopback()) {
            Some(IpAddr::V4(ip)) => xxh3_64(&ip.octets()),
            Some(IpAddr::V6(ip)) => xxh3_64(&ip.octets()),
            None => self.random.borrow_mut().below(u64::MAX),
        }
    }
}

fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(""));
    *response.status_mut() = status;
    response
}
