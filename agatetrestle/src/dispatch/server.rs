//! One backend server as a node sees it.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slotmap::new_key_type;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Timestamp;
use crate::dispatch::suspicion::Suspicion;

/// Requests beyond its places that a server is sent, as a share of the places. What waits there takes a place the
/// moment it is free; what waits at a node hears of it with that node's next answer, which at a fiftieth of the traffic
/// is late. A server that has no room says so, and has not run the request.
const OVERFLOW: f64 = 1.0;
/// Times in which what is usual was told; as many as it takes for a node that sends now and then to have heard of some.
const USUAL_SPAN: u32 = 4;
/// Time after an answer in which a connection is most likely open; servers close idle ones after some 10 s.
const WARM: Duration = Duration::from_secs(5);
/// How long a server rests after a failure that points at the server, doubled with each further one in a row.
const REST: Duration = Duration::from_millis(250);
/// Doublings of [`REST`]: 4 s at the most, since a replica that crashed stays listed for some seconds.
const MOST_DOUBLINGS: u32 = 4;
/// Failures in a row, other than of connecting, that are put down to chance: some replicas spoil 2 to 5 in a
/// hundred answers, so three in a row are chance once in 8,000.
const CHANCE_FAILURES: u32 = 2;

new_key_type! {
    /// Key of a backend server while it is known.
    pub struct ServerKey;
}

/// One life of a backend server, as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Identity; another one after each restart, unless `born` tells the lives apart.
    pub id: Arc<str>,
    /// The service that it serves.
    pub service: Arc<str>,
    /// Where it listens; used again by another instance once this one is gone.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// When this life began, in Unix milliseconds, where the platform says so. Only compared with that of another life
    /// under the same id, never with a clock of ours.
    pub born: Option<u64>,
}

impl Instance {
    /// Whether this is a later life than another one under the same id. A list that lags may name an earlier one.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.born > other.born
    }
}

/// What an answer tells of a server's load, by all nodes together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests in service.
    pub running: u32,
    /// Requests that wait inside the server.
    pub waiting: u32,
}

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// Whole, in this time.
    Completed(Duration),
    /// Whole, but it says that the server has failed.
    ServerError(Duration),
    /// The caller gave up after the server had said nothing for longer than such a request should take.
    Unresponsive,
    /// No connection could be made.
    Unreachable,
    /// The server said that it has no room.
    Full,
    /// It broke off or answered what is no answer.
    BadResponse,
    /// The caller went away, or the node gave up for a reason of its own.
    Cancelled,
}

/// A server with all that this node knows of it.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) instance: Instance,
    pub(super) listed: bool,
    /// Whether it was told that this life is over.
    pub(super) ended: bool,
    /// This node's requests in service.
    pub(super) running: u32,
    others: f64,
    observed_at: Timestamp,
    rests_until: Timestamp,
    failures: u32,
    suspicion: Suspicion,
    /// Until when requests rather go elsewhere, for what speaks against it.
    out_until: Timestamp,
    /// When an answer last left a connection that can be used again.
    answered_at: Option<Timestamp>,
}

impl Server {
    pub(super) fn new(instance: &Instance) -> Self {
        Self {
            instance: instance.clone(),
            listed: true,
            ended: false,
            running: 0,
            others: 0.0,
            observed_at: Timestamp(0),
            rests_until: Timestamp(0),
            failures: 0,
            suspicion: Suspicion::default(),
            out_until: Timestamp(0),
            answered_at: None,
        }
    }

    pub(super) fn update(&mut self, instance: &Instance) {
        self.listed = true;
        self.ended = false;
        if self.instance.is_newer_than(instance) && instance.born.is_some() {
            // The list lags and names a life that is over.
            return;
        }
        let leaving = self.instance.leaving || instance.leaving;
        let born = self.instance.born.max(instance.born);
        self.instance = Instance { leaving, born, ..instance.clone() };
    }

    pub(super) fn serves(&self, service: &Arc<str>) -> bool {
        self.instance.service == *service
    }

    /// How long it rests after a failure of the moment; none where it takes no request any more.
    pub(super) fn rest_left(&self, now: Timestamp) -> Option<Duration> {
        (self.listed && !self.instance.leaving).then(|| self.rests_until.since(now))
    }

    /// Whether it takes requests now, though they may rather go elsewhere.
    pub(super) fn usable(&self, now: Timestamp) -> bool {
        self.rest_left(now) == Some(Duration::ZERO)
    }

    /// Requests there; those of others as far as answers told within `memory`, and as `usual` among servers of the
    /// service once that is old.
    pub(super) fn load(&self, now: Timestamp, usual: f64, memory: Duration) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64() / memory.as_secs_f64();
        let trust = (1.0 - age).max(0.0);
        f64::from(self.running) + self.others * trust + usual * (1.0 - trust)
    }

    /// Whether it is known to have no room. What was told of the requests of others counts while it is fresh; after
    /// that nobody knows, and a node that sent nothing for what it once heard would never hear otherwise. When it was
    /// believed for longer, 24 in 100 calls waited for over 0.3 s in a burst before servers whose calls took 11 ms
    /// (53 nodes, seven servers, by the lines of the requests).
    pub(super) fn is_full(&self, now: Timestamp, memory: Duration, overflow: bool) -> bool {
        let places = f64::from(self.instance.slots);
        self.known_load(now, memory) >= if overflow { places * (1.0 + OVERFLOW) } else { places }
    }

    /// How long one more request is known to wait there, if a request takes `mean`.
    pub(super) fn known_wait(&self, now: Timestamp, memory: Duration, mean: Duration) -> Duration {
        let places = f64::from(self.instance.slots.max(1));
        let beyond = self.known_load(now, memory) + 1.0 - places;
        mean.mul_f64((beyond / places).max(0.0))
    }

    fn known_load(&self, now: Timestamp, memory: Duration) -> f64 {
        let others = if now.since(self.observed_at) < memory { self.others } else { 0.0 };
        f64::from(self.running) + others
    }

    /// Requests of other nodes there as last told, if that is recent enough to say what is usual.
    pub(super) fn recent_others(&self, now: Timestamp, memory: Duration) -> Option<f64> {
        (self.observed_at > Timestamp(0) && now.since(self.observed_at) < memory * USUAL_SPAN)
            .then_some(self.others)
    }

    pub(super) fn observe(&mut self, now: Timestamp, load: ServerLoad) {
        let told = f64::from(load.running.saturating_add(load.waiting));
        self.others = (told - f64::from(self.running)).max(0.0);
        self.observed_at = now;
    }

    pub(super) fn finish(&mut self, now: Timestamp, outcome: RequestOutcome) {
        self.running = self.running.saturating_sub(1);
        match outcome {
            RequestOutcome::Completed(_) | RequestOutcome::ServerError(_) => {
                self.failures = 0;
                self.answered_at = Some(now);
            }
            RequestOutcome::Cancelled | RequestOutcome::Unresponsive => {}
            RequestOutcome::Full => self.rests_until = now + REST / 4,
            RequestOutcome::Unreachable => self.rest(now, 0),
            RequestOutcome::BadResponse => self.rest(now, CHANCE_FAILURES),
        }
    }

    /// Weighs an outcome against what is usual in the pool; whether it tells of the usual itself.
    pub(super) fn weigh(&mut self, now: Timestamp, outcome: RequestOutcome, risk: f64) -> Option<bool> {
        if self.is_out(now) {
            // It was sent before the server was taken out, so it says nothing that was not known then.
            return None;
        }
        let failed = match outcome {
            RequestOutcome::Completed(_) => false,
            RequestOutcome::ServerError(_) | RequestOutcome::BadResponse | RequestOutcome::Unresponsive => {
                true
            }
            RequestOutcome::Cancelled | RequestOutcome::Full | RequestOutcome::Unreachable => return None,
        };
        self.suspicion.record(failed, risk);
        self.suspicion.is_calm().then_some(failed)
    }

    /// Takes the server out for a while if enough speaks against it; when it comes back. Requests for which there is
    /// no other server still go to it.
    pub(super) fn suspect(&mut self, now: Timestamp) -> Option<Timestamp> {
        let until = now + self.suspicion.alarm()?;
        self.out_until = until;
        Some(until)
    }

    /// Whether it is out for what speaks against it.
    pub(super) fn is_out(&self, now: Timestamp) -> bool {
        now < self.out_until
    }

    /// Whether a connection to it is most likely open.
    pub(super) fn is_warm(&self, now: Timestamp) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) < WARM)
    }

    fn rest(&mut self, now: Timestamp, by_chance: u32) {
        self.failures += 1;
        if self.failures > by_chance {
            let doublings = (self.failures - by_chance - 1).min(MOST_DOUBLINGS);
            self.rests_until = now + REST * 2_u32.pow(doublings);
        }
    }
}

/// How much a server is preferred by what a seed stands for; the same on every node, so that requests that share a
/// prompt meet at one server whichever node they come through (rendezvous hashing).
pub(super) fn affinity(seed: u64, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), seed)
}
