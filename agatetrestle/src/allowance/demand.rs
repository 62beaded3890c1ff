//! What the active programs of one team are expected to need.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::allowance::ProgramSize;
use crate::clock::Timestamp;

/// What the estimates start with: one program of 10 requests in 2.5 s with a deadline of 1.35 times that, the middle of the
/// multiples that callers use.
const PRIOR: Totals = Totals { programs: 1.0, requests: 10.0, seconds: 2.5, deadline_seconds: 3.4 };
/// Time constant of the estimates. A team of 11 requests a second ends about one program of each route in 3 s, so a shorter
/// one would leave too much weight to the prior.
const TIME_CONSTANT: Duration = Duration::from_mins(1);
/// Part of the time to its deadline that a program is assumed to take at most. Those that take longer were held up.
const MAX_DURATION_RATIO: f64 = 0.8;
/// Time without a request after which a program counts as ended, in its mean times between requests and in total: longer than
/// most turns and tool calls. The upper bound also limits the number of programs, each of which has sent a request within it.
const IDLE_GAPS: f64 = 4.0;
const IDLE_TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_millis(1_500), Duration::from_secs(5));
/// Part of the expected requests and time that a program is assumed to need when it has used nearly all or more; some
/// programs need several times the expected.
const MIN_REMAINING_RATIO: f64 = 0.3;
/// The same for programs whose size nothing indicates.
const MIN_REMAINING_RATIO_UNSIZED: f64 = 0.6;
/// Factor on the requests of programs whose size nothing indicates; some need twice the average.
const UNSIZED_FACTOR: f64 = 1.4;
/// Routes of a team with an estimate of their own. The programs of further routes share one.
const MAX_ROUTES: usize = 8;

/// Decaying sums over programs that ended.
#[derive(Clone, Copy, Debug)]
struct Totals {
    programs: f64,
    requests: f64,
    seconds: f64,
    /// Seconds to the deadline at the start, of programs with a deadline.
    deadline_seconds: f64,
}

impl Totals {
    fn decay(&mut self, factor: f64) {
        let toward = |value: f64, prior: f64| prior + (value - prior) * factor;
        self.programs = toward(self.programs, PRIOR.programs);
        self.requests = toward(self.requests, PRIOR.requests);
        self.seconds = toward(self.seconds, PRIOR.seconds);
        self.deadline_seconds = toward(self.deadline_seconds, PRIOR.deadline_seconds);
    }

    /// Requests and seconds that a program is expected to need.
    fn expected(&self, finish_in: Option<Duration>) -> ExpectedRequests {
        let scale = finish_in.map_or(1.0 / self.programs, |left| left.as_secs_f64() / self.deadline_seconds);
        let uncertainty = if finish_in.is_some() { 1.0 } else { UNSIZED_FACTOR };
        ExpectedRequests {
            requests: (self.requests * scale * uncertainty).max(1.0),
            seconds: (self.seconds * scale).max(0.1),
        }
    }
}

/// Requests that are sent evenly over a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedRequests {
    requests: f64,
    seconds: f64,
}

impl ExpectedRequests {
    /// The time over which the requests are sent.
    pub(super) fn duration(self) -> Duration {
        Duration::try_from_secs_f64(self.seconds).unwrap_or(Duration::MAX)
    }

    /// So many times the requests in the same time.
    pub(super) fn scaled(self, factor: f64) -> Self {
        Self { requests: self.requests * factor, ..self }
    }

    /// Requests within a time from the start.
    pub(super) fn within(self, time: Duration) -> f64 {
        self.requests * (time.as_secs_f64() / self.seconds).min(1.0)
    }
}

#[derive(Clone, Debug)]
struct Program {
    route: Option<Arc<str>>,
    finish_in: Option<Duration>,
    /// Whether its first request was seen, so that all are counted.
    saw_first: bool,
    /// Whether its last request was granted.
    is_granted: bool,
    expected: ExpectedRequests,
    began: Timestamp,
    last_request: Timestamp,
    /// When it counts as ended unless it sends another request.
    expires: Timestamp,
    requests: f64,
}

impl Program {
    fn remaining(&self, now: Timestamp) -> ExpectedRequests {
        let ExpectedRequests { requests, seconds } = self.expected;
        let elapsed = now.since(self.began).as_secs_f64();
        let least = if self.finish_in.is_some() { MIN_REMAINING_RATIO } else { MIN_REMAINING_RATIO_UNSIZED };
        ExpectedRequests {
            requests: (requests - self.requests).max(requests * least),
            seconds: (seconds - elapsed).max(seconds * least),
        }
    }
}

/// The active programs of a team, and what its programs needed recently.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    programs: HashMap<Arc<str>, Program>,
    by_expiry: BTreeSet<(Timestamp, Arc<str>)>,
    routes: HashMap<Arc<str>, Totals>,
    others: Totals,
    updated: Timestamp,
}

impl Demand {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            programs: HashMap::new(),
            by_expiry: BTreeSet::new(),
            routes: HashMap::new(),
            others: PRIOR,
            updated: now,
        }
    }

    /// Drops the active programs and keeps the estimates.
    pub(super) fn clear(&mut self) {
        self.programs.clear();
        self.by_expiry.clear();
    }

    /// What a program is expected to need.
    pub(super) fn expected(&self, size: ProgramSize<'_>) -> ExpectedRequests {
        let totals = size.route.and_then(|route| self.routes.get(route)).unwrap_or(&self.others);
        totals.expected(size.finish_in)
    }

    /// Requests that the active programs will send within each of these times.
    pub(super) fn within<const N: usize>(&self, now: Timestamp, horizons: &[Duration; N]) -> [f64; N] {
        let mut requests = [0.0; N];
        for program in self.programs.values() {
            let remaining = program.remaining(now);
            for (sum, horizon) in requests.iter_mut().zip(horizons) {
                *sum += remaining.within(*horizon);
            }
        }
        requests
    }

    /// Records a granted request of a program.
    pub(super) fn record(&mut self, now: Timestamp, name: &Arc<str>, size: ProgramSize<'_>, is_first: bool) {
        let expected = self.expected(size);
        let program = self.programs.entry(name.clone()).or_insert_with(|| Program {
            route: size.route.cloned(),
            finish_in: size.finish_in,
            saw_first: is_first,
            is_granted: true,
            expected,
            began: now,
            last_request: now,
            expires: now,
            requests: 0.0,
        });
        self.by_expiry.remove(&(program.expires, name.clone()));
        program.requests += 1.0;
        program.is_granted = true;
        program.last_request = now;
        let gap = program.expected.seconds / program.expected.requests;
        let timeout = Duration::try_from_secs_f64(gap * IDLE_GAPS).unwrap_or(IDLE_TIMEOUT_RANGE.1);
        program.expires = now + timeout.clamp(IDLE_TIMEOUT_RANGE.0, IDLE_TIMEOUT_RANGE.1);
        self.by_expiry.insert((program.expires, name.clone()));
    }

    /// Records that a request of a program was denied. Unless another is granted, it was interrupted.
    pub(super) fn record_denial(&mut self, name: &Arc<str>) {
        if let Some(program) = self.programs.get_mut(name) {
            program.is_granted = false;
        }
    }

    /// Drops programs that ended and decays the estimates.
    pub(super) fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated);
        self.updated = self.updated.max(now);
        let factor = (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.others.decay(factor);
        for totals in self.routes.values_mut() {
            totals.decay(factor);
        }
        while let Some((expires, _)) = self.by_expiry.first()
            && *expires <= now
            && let Some((_, name)) = self.by_expiry.pop_first()
        {
            if let Some(program) = self.programs.remove(&name)
                && program.saw_first
                && program.is_granted
            {
                self.learn(program);
            }
        }
    }

    fn learn(&mut self, program: Program) {
        let Program { route, finish_in, began, last_request, requests, .. } = program;
        let is_known = route.as_ref().is_some_and(|route| self.routes.contains_key(route));
        let totals = match route {
            Some(route) if is_known || self.routes.len() < MAX_ROUTES => {
                self.routes.entry(route).or_insert(PRIOR)
            }
            _ => &mut self.others,
        };
        let limit = finish_in.map_or(f64::MAX, |left| left.as_secs_f64() * MAX_DURATION_RATIO);
        let seconds = last_request.since(began).as_secs_f64().min(limit);
        totals.programs += 1.0;
        totals.requests += requests;
        totals.seconds += seconds;
        let without_deadline = totals.deadline_seconds / totals.programs;
        totals.deadline_seconds += finish_in.map_or(without_deadline, |left| left.as_secs_f64());
    }
}
