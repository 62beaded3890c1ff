//! Choice of a backend server for each turn by the leader of a state group.
//!
//! An entry sends to any given server rarely, so its information on the server's load and speed is seconds old. The leader
//! of a state group sees every turn of its group begin and end. It chooses among the candidates that an entry sends with a
//! `Begin`, and learns from what entries report with the `Finish`. The choice is a hint, which an entry may decline.
//! Alternatives are compared in docs/design/021-placement-by-the-leader.md.

mod evidence;
mod report;

pub use self::report::ServiceReport;

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Timestamp;
use crate::ids::NodeId;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Candidate;
use crate::turns::command::Finish;
use crate::turns::command::MAX_CANDIDATES;
use crate::turns::command::TurnId;
use crate::turns::placement::evidence::Evidence;
use crate::turns::placement::evidence::Overdue;
use crate::turns::placement::evidence::decay;

/// Part by which the expected time must be shorter than on the entry's own choice, which has a connection more often than
/// the estimates tell.
const MIN_GAIN_RATIO: f64 = 0.1;
/// The same as an absolute time, which covers a connection to be made.
const MIN_GAIN_SECONDS: f64 = 0.002;
/// The same for a turn whose own choice has the prompt cached. If it leaves, its prompt is read in twice more, there and
/// with the next turn at home, and takes memory from other prompts: with [`MIN_GAIN_RATIO`] engines read three times as many
/// tokens as without placement.
const MIN_GAIN_RATIO_CACHED: f64 = 0.5;
/// The same as an absolute time, in which an engine reads one to two thousand tokens.
const MIN_GAIN_SECONDS_CACHED: f64 = 0.02;
/// Candidates whose expected times differ by less than this part are chosen at random.
const TIE_RATIO: f64 = 0.01;
/// Part by which each other running request slows a request down.
const CONCURRENCY_SLOWDOWN: f64 = 0.03;
/// Time constant with which reported load of others is replaced by the mean of the service. About the length of a turn.
const OTHER_LOAD_TTL: Duration = Duration::from_millis(300);
/// Time constant of the mean run time of a route.
const ROUTE_MEMORY: Duration = Duration::from_secs(10);
/// Turns of a route, decayed, before its mean run time is used.
const MIN_ROUTE_TURNS: f64 = 4.0;
/// Weight of one report in the mean load of others on the servers of a service.
const MEAN_LOAD_WEIGHT: f64 = 0.05;
/// Time beyond its caller's timeout after which a turn counts as ended without a report, as when its entry was lost.
const LOST_TURN_GRACE: Duration = Duration::from_millis(200);
/// Bounds a caller's timeout as reported by an entry.
const MAX_TIMEOUT: Duration = Duration::from_mins(10);
/// Time without a turn after which a server, a route or a service is forgotten.
const IDLE_EXPIRY: Duration = Duration::from_mins(1);
/// Bounds on the state: twice the servers and turns of the design size of one group; see docs/CAPACITY.md.
const MAX_SERVERS: usize = 20_000;
const MAX_OPEN_TURNS: usize = 50_000;
/// Routes with a mean run time. Turns of further routes are placed by load alone.
const MAX_ROUTES: usize = 4_096;
/// Open turns of one server that are examined for being overdue, the oldest first.
const MAX_EXAMINED_TURNS: usize = 16;

/// A turn that is open at a server.
#[derive(Debug)]
struct OpenTurn {
    turn: TurnId,
    entry: NodeId,
    route: RouteKey,
    begun: Timestamp,
    expires: Timestamp,
    /// What an average turn takes on an idle server of average speed, relative to the mean run time of the route. Accounts
    /// for the load at the start, and for the entry's expectation for this server relative to the other candidates.
    relative_time: f64,
    /// Turns of this group at the server when it began, itself included.
    load_at_begin: usize,
    /// Index of the server among the candidates; 0 is the entry's own choice.
    candidate: u32,
}

/// What the leader knows of one server.
#[derive(Debug)]
struct Server {
    service: Arc<str>,
    /// Open turns of this group, the oldest first.
    open: Vec<OpenTurn>,
    /// Requests there that are not turns of this group, as last reported, and when.
    other_load: f64,
    other_load_at: Option<Timestamp>,
    evidence: Evidence,
    last_used: Timestamp,
}

/// Mean run time of the turns of a route, corrected by the load at their start.
#[derive(Debug, Default)]
struct RouteTimes {
    turns: f64,
    seconds: f64,
    updated: Timestamp,
}

/// A service and a route to it.
type RouteKey = (Arc<str>, Arc<str>);

/// Sums over the servers of a service.
#[derive(Debug, Default)]
struct Service {
    mean_other_load: f64,
    /// Open turns of this group.
    in_flight: u32,
    placed: u32,
    moved: u32,
}

/// Places the turns of one state group.
#[derive(Debug, Default)]
pub struct Placement {
    servers: HashMap<Arc<str>, Server>,
    services: HashMap<Arc<str>, Service>,
    /// By service and route.
    routes: HashMap<RouteKey, RouteTimes>,
    /// Servers of the open turns.
    turns: HashMap<TurnId, Arc<str>>,
    turns_by_expiry: BTreeSet<(Timestamp, TurnId)>,
    reported_at: Timestamp,
}

impl Placement {
    /// Chooses among the candidates of a turn that may begin, and counts the turn at the chosen server until it ends or its
    /// caller has timed out. Returns the index of the chosen candidate; `None` stands for the entry's own choice. A repeated
    /// call for an open turn returns the same server.
    pub fn place(&mut self, now: Timestamp, begin: &Begin) -> Option<u32> {
        let params = begin.opening.as_ref()?;
        let candidates = &params.candidates[..params.candidates.len().min(MAX_CANDIDATES)];
        let own = candidates.first()?;
        self.expire(now);
        if let Some(server) = self.turns.get(&begin.turn) {
            return index_of(candidates, server).filter(|index| *index > 0);
        }
        if self.turns.len() >= MAX_OPEN_TURNS || self.servers.len() + candidates.len() > MAX_SERVERS {
            return None;
        }
        let route_time = self.route_time(now, &(params.service.clone(), params.route.clone()));
        let estimates = self.estimate(now, &params.service, route_time, candidates);
        let mut best = own;
        if let [own_estimate, others @ ..] = &estimates[..] {
            let (ratio, seconds) = if params.cached {
                (MIN_GAIN_RATIO_CACHED, MIN_GAIN_SECONDS_CACHED)
            } else {
                (MIN_GAIN_RATIO, MIN_GAIN_SECONDS)
            };
            let limit = (own_estimate.completion * (1.0 - ratio)).min(own_estimate.completion - seconds);
            let shortest = others.iter().map(|other| other.completion).fold(f64::INFINITY, f64::min);
            let is_best = |estimate: &Estimate| estimate.completion <= shortest * (1.0 + TIE_RATIO);
            if shortest < limit {
                let tied = candidates[1..].iter().zip(others).filter(|(_, other)| is_best(other));
                let choice = tied.max_by_key(|(candidate, _)| tie_break(&begin.turn, &candidate.server));
                best = choice.map_or(own, |(candidate, _)| candidate);
            }
        }
        let index = index_of(candidates, &best.server)?;
        let load_factor = estimates.get(usize::try_from(index).ok()?)?.load_factor;
        let mean = candidates.iter().map(|candidate| f64::from(candidate.expected_us)).sum::<f64>()
            / f64::from(u32::try_from(candidates.len()).ok()?);
        let relative_time = load_factor * f64::from(best.expected_us) / mean.max(1.0);
        self.open(now, begin, params, index, relative_time);
        let service = self.services.entry(params.service.clone()).or_default();
        service.placed += 1;
        service.moved += u32::from(index > 0);
        (index > 0).then_some(index)
    }

    /// Open turns of this group at the servers of a service, which tells how much of the service's slots it uses.
    #[must_use]
    pub fn in_flight(&self, service: &str) -> u32 {
        self.services.get(service).map_or(0, |service| service.in_flight)
    }

    /// The index that [`Self::place`] returned for an open turn.
    #[must_use]
    pub fn placed(&self, turn: &TurnId) -> Option<u32> {
        let server = self.servers.get(self.turns.get(turn)?)?;
        let open = server.open.iter().find(|open| open.turn == *turn)?;
        Some(open.candidate).filter(|candidate| *candidate > 0)
    }

    /// Removes a turn that did not begin after all.
    pub fn abandon(&mut self, turn: &TurnId) {
        self.close(turn);
    }

    /// Records how a turn ended, and learns from what its entry reports of the server.
    pub fn finish(&mut self, now: Timestamp, finish: &Finish) {
        self.expire(now);
        let Some((id, open)) = self.close(&finish.turn) else {
            return;
        };
        let Some(reported) = finish.server.as_ref().and_then(|server| self.servers.get_mut(server)) else {
            return;
        };
        reported.last_used = now;
        if finish.failed {
            reported.evidence.record_failure(now, open.entry);
        }
        // An entry may have sent the turn to another server, of which the load at the start is not known here.
        if finish.server.as_ref() != Some(&id) {
            return;
        }
        if let Some((running, waiting)) = finish.load {
            self.record_load(&id, &open, f64::from(running) + f64::from(waiting));
        }
        if let Some(ran) = finish.ran.filter(|_| !finish.failed) {
            self.record_run(now, &id, &open, Duration::from_millis(ran));
        }
    }

    /// The response reports the load as of its start, which is close to the start of the turn.
    fn record_load(&mut self, id: &Arc<str>, open: &OpenTurn, total: f64) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.other_load_at.is_some_and(|at| at >= open.begun) {
            return;
        }
        server.other_load = (total - count(open.load_at_begin)).max(0.0);
        server.other_load_at = Some(open.begun);
        let service = self.services.entry(server.service.clone()).or_default();
        service.mean_other_load += MEAN_LOAD_WEIGHT * (server.other_load - service.mean_other_load);
    }

    fn record_run(&mut self, now: Timestamp, id: &Arc<str>, open: &OpenTurn, ran: Duration) {
        let seconds = ran.as_secs_f64() / open.relative_time.max(f64::MIN_POSITIVE);
        if let Some(mean) = self.route_time(now, &open.route)
            && let Some(server) = self.servers.get_mut(id)
        {
            server.evidence.record_speed(open.begun, open.entry, seconds / mean);
        }
        if self.routes.len() < MAX_ROUTES || self.routes.contains_key(&open.route) {
            self.routes.entry(open.route.clone()).or_default().record(now, seconds);
        }
    }

    /// Mean run time of a route in seconds, if it is known.
    fn route_time(&self, now: Timestamp, route: &RouteKey) -> Option<f64> {
        self.routes.get(route)?.mean(now)
    }

    fn estimate(
        &self,
        now: Timestamp,
        service: &Arc<str>,
        route_time: Option<f64>,
        candidates: &[Candidate],
    ) -> Vec<Estimate> {
        let mean_other_load = self.services.get(service).map_or(0.0, |service| service.mean_other_load);
        let mut slots = 1.0;
        let estimate = |candidate: &Candidate| {
            if candidate.slots > 0 {
                slots = f64::from(candidate.slots);
            }
            let expected = f64::from(candidate.expected_us) / 1e6;
            let server = self.servers.get(&candidate.server);
            let load = server.map_or(mean_other_load, |server| server.load(now, mean_other_load));
            let load_factor = load_factor(load, slots);
            let slowness = server.map_or(1.0, |server| server.slowness(now, route_time));
            Estimate { completion: expected * load_factor * slowness, load_factor }
        };
        candidates.iter().map(estimate).collect()
    }

    fn open(
        &mut self,
        now: Timestamp,
        begin: &Begin,
        params: &AdmissionParams,
        candidate: u32,
        relative_time: f64,
    ) {
        let Some(id) = usize::try_from(candidate).ok().and_then(|index| params.candidates.get(index)) else {
            return;
        };
        let id = &id.server;
        let expires = now + Duration::from_millis(params.patience).min(MAX_TIMEOUT) + LOST_TURN_GRACE;
        let new_server = || Server::new(now, params.service.clone());
        let server = self.servers.entry(id.clone()).or_insert_with(new_server);
        server.last_used = now;
        server.open.push(OpenTurn {
            turn: begin.turn.clone(),
            entry: params.entry.unwrap_or_default(),
            route: (params.service.clone(), params.route.clone()),
            begun: now,
            expires,
            relative_time,
            load_at_begin: server.open.len() + 1,
            candidate,
        });
        self.services.entry(params.service.clone()).or_default().in_flight += 1;
        self.turns.insert(begin.turn.clone(), id.clone());
        self.turns_by_expiry.insert((expires, begin.turn.clone()));
    }

    /// Removes an open turn, and returns it with its server.
    fn close(&mut self, turn: &TurnId) -> Option<(Arc<str>, OpenTurn)> {
        let id = self.turns.remove(turn)?;
        let server = self.servers.get_mut(&id)?;
        let position = server.open.iter().position(|open| open.turn == *turn)?;
        let open = server.open.remove(position);
        if let Some(service) = self.services.get_mut(&server.service) {
            service.in_flight = service.in_flight.saturating_sub(1);
        }
        self.turns_by_expiry.remove(&(open.expires, open.turn.clone()));
        Some((id, open))
    }

    /// Ends the turns whose caller has timed out.
    fn expire(&mut self, now: Timestamp) {
        while let Some((expires, _)) = self.turns_by_expiry.first()
            && *expires < now
            && let Some((_, turn)) = self.turns_by_expiry.pop_first()
        {
            self.close(&turn);
        }
    }

    /// Drops what has not been used for [`IDLE_EXPIRY`].
    fn forget_idle(&mut self, now: Timestamp) {
        self.servers.retain(|_, server| !server.open.is_empty() || now.since(server.last_used) < IDLE_EXPIRY);
        self.routes.retain(|_, route| now.since(route.updated) < IDLE_EXPIRY);
        let used: BTreeSet<Arc<str>> = self.servers.values().map(|server| server.service.clone()).collect();
        self.services.retain(|name, _| used.contains(name));
    }
}

/// What a turn is expected to meet at a candidate.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Seconds until it completes.
    completion: f64,
    /// Factor by which the load makes it longer.
    load_factor: f64,
}

impl Server {
    fn new(now: Timestamp, service: Arc<str>) -> Self {
        Self {
            service,
            open: Vec::new(),
            other_load: 0.0,
            other_load_at: None,
            evidence: Evidence::default(),
            last_used: now,
        }
    }

    /// Estimated requests there.
    fn load(&self, now: Timestamp, mean_other_load: f64) -> f64 {
        let weight = self.other_load_at.map_or(0.0, |at| decay(now.since(at), OTHER_LOAD_TTL));
        count(self.open.len()) + self.other_load * weight + mean_other_load * (1.0 - weight)
    }

    /// Factor by which a turn takes longer than on a server of average speed, risk of a failure included.
    fn slowness(&self, now: Timestamp, route_time: Option<f64>) -> f64 {
        self.speed(now, route_time) * self.evidence.failure_factor(now)
    }

    /// Time that a turn takes relative to a server of average speed. Above 1 is slower.
    fn speed(&self, now: Timestamp, route_time: Option<f64>) -> f64 {
        let examined = self.open.iter().take(MAX_EXAMINED_TURNS);
        let overdue = route_time.into_iter().flat_map(|mean| {
            examined.clone().map(move |open| Overdue {
                entry: open.entry,
                ratio: now.since(open.begun).as_secs_f64() / (mean * open.relative_time),
            })
        });
        self.evidence.speed(now, overdue)
    }
}

impl RouteTimes {
    fn advance(&mut self, now: Timestamp) {
        let factor = decay(now.since(self.updated), ROUTE_MEMORY);
        self.turns *= factor;
        self.seconds *= factor;
        self.updated = self.updated.max(now);
    }

    fn mean(&self, now: Timestamp) -> Option<f64> {
        let factor = decay(now.since(self.updated), ROUTE_MEMORY);
        let known = self.turns * factor >= MIN_ROUTE_TURNS && self.seconds > 0.0;
        known.then(|| self.seconds / self.turns)
    }

    fn record(&mut self, now: Timestamp, seconds: f64) {
        self.advance(now);
        self.turns += 1.0;
        self.seconds += seconds;
    }
}

/// Factor by which a request takes longer at a server that runs or queues `load` others.
fn load_factor(load: f64, slots: f64) -> f64 {
    let running = load.min(slots - 1.0);
    let queued = (load + 1.0 - slots).max(0.0);
    (1.0 + CONCURRENCY_SLOWDOWN * running) * (1.0 + queued / slots)
}

fn index_of(candidates: &[Candidate], server: &Arc<str>) -> Option<u32> {
    let index = candidates.iter().position(|candidate| candidate.server == *server)?;
    u32::try_from(index).ok()
}

/// The same turn prefers the same server, and different turns different ones.
fn tie_break(turn: &TurnId, server: &Arc<str>) -> Reverse<u64> {
    Reverse(xxh3_64_with_seed(server.as_bytes(), xxh3_64_with_seed(turn.as_bytes(), 0)))
}

/// Converts a count, which is far below the precision of `f64`.
fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
