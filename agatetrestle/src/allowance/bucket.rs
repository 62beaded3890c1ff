//! The token bucket of one team.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::AllowanceBounds;

use crate::allowance::RequestKind;
use crate::clock::Timestamp;
use crate::routing::RateLimit;

/// Part of the permitted overrun of a window that a bucket grants. The rest covers requests that are sent long after they
/// were granted, as by a paused entry.
const USABLE_OVERRUN_RATIO: f64 = 0.9;
/// Requests that a program is assumed to need before any measurement, and the weight of that assumption in programs.
const DEMAND_PRIOR: (f64, f64) = (10.0, 2.0);
/// Time constant of the moving average of requests per program: longer than a program lasts, shorter than changes of a
/// team's load.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Time without a request after which a program counts as ended. Longer than tool calls and pauses between turns.
const REQUEST_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Part of the average demand that stays reserved for a program that has exceeded it; some need several times the average.
const MIN_RESERVE_RATIO: f64 = 0.6;
/// Time of refill that counts as available when a program asks to begin, since its requests are spread over time.
const REFILL_LOOKAHEAD: Duration = Duration::from_millis(1_250);
/// Bounds of the retry delay: a shorter one costs more than it gains, a longer one makes programs miss their deadlines.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

#[derive(Clone, Debug)]
struct Program {
    requests: f64,
    last_request: Timestamp,
}

#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    /// Requests per second.
    rate: f64,
    capacity: f64,
    tokens: f64,
    programs: HashMap<Arc<str>, Program>,
    by_last_request: BTreeSet<(Timestamp, Arc<str>)>,
    updated: Timestamp,
    /// Decaying counts of requests and of programs that began; their quotient is the average demand of a program.
    recent_requests: f64,
    recent_programs: f64,
}

impl TokenBucket {
    /// An empty bucket that does not refill before its limit is set.
    pub(super) fn new(now: Timestamp) -> Self {
        let (demand, programs) = DEMAND_PRIOR;
        Self {
            rate: 0.0,
            capacity: 0.0,
            tokens: 0.0,
            programs: HashMap::new(),
            by_last_request: BTreeSet::new(),
            updated: now,
            recent_requests: demand * programs,
            recent_programs: programs,
        }
    }

    /// Sets the limit. The bucket grants at most `capacity + rate * window` requests in any window.
    pub(super) fn set_limit(&mut self, now: Timestamp, limit: RateLimit, bounds: AllowanceBounds) {
        self.advance(now);
        let RateLimit { per_second, burst } = limit;
        let permitted = per_second * bounds.window.as_secs_f64() + burst;
        let overrun = permitted * bounds.overrun + f64::from(bounds.slack);
        self.rate = per_second;
        self.capacity = burst + overrun * USABLE_OVERRUN_RATIO;
        self.tokens = self.tokens.min(self.capacity);
    }

    pub(super) fn clear(&mut self, now: Timestamp) {
        self.updated = now;
        self.tokens = 0.0;
        self.programs.clear();
        self.by_last_request.clear();
    }

    /// Takes a token for a request, or returns the time after which to retry.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        program: Option<&Arc<str>>,
        kind: RequestKind,
    ) -> Result<(), Duration> {
        self.advance(now);
        let shortfall = match kind {
            RequestKind::Beginning => self.shortfall_to_begin(),
            RequestKind::Request => 1.0 - self.tokens,
        };
        if shortfall > 0.0 {
            return Err(self.refill_time(shortfall));
        }
        self.tokens -= 1.0;
        self.recent_requests += 1.0;
        self.recent_programs += f64::from(u8::from(kind == RequestKind::Beginning));
        if let Some(program) = program {
            self.record_program(now, program);
        }
        Ok(())
    }

    /// Returns the token of a request that is not sent after all.
    pub(super) fn refund(&mut self, program: Option<&Arc<str>>, kind: RequestKind) {
        self.tokens = (self.tokens + 1.0).min(self.capacity);
        self.recent_requests -= 1.0;
        self.recent_programs -= f64::from(u8::from(kind == RequestKind::Beginning));
        if let Some(name) = program
            && let Some(program) = self.programs.get_mut(name)
        {
            program.requests -= 1.0;
            if program.requests <= 0.0 {
                let last_request = program.last_request;
                self.programs.remove(name);
                self.by_last_request.remove(&(last_request, name.clone()));
            }
        }
    }

    /// Tokens missing for a program to begin: its own demand and the reserves of active programs must be covered.
    fn shortfall_to_begin(&self) -> f64 {
        let demand = self.requests_per_program();
        let reserved: f64 = self
            .programs
            .values()
            .map(|program| (demand - program.requests).max(demand * MIN_RESERVE_RATIO))
            .sum();
        let available = self.tokens + self.rate * REFILL_LOOKAHEAD.as_secs_f64();
        (demand + reserved - available).max(1.0 - self.tokens)
    }

    fn record_program(&mut self, now: Timestamp, name: &Arc<str>) {
        let program =
            self.programs.entry(name.clone()).or_insert(Program { requests: 0.0, last_request: now });
        self.by_last_request.remove(&(program.last_request, name.clone()));
        program.requests += 1.0;
        program.last_request = now;
        self.by_last_request.insert((now, name.clone()));
    }

    /// Average demand of a program of the team.
    fn requests_per_program(&self) -> f64 {
        (self.recent_requests / self.recent_programs).max(1.0)
    }

    fn refill_time(&self, shortfall: f64) -> Duration {
        let seconds = shortfall / self.rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(RETRY_AFTER_RANGE.1)
            .clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }

    /// Adds tokens for the elapsed time, drops idle programs and decays the demand counts.
    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated);
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.capacity);
        while let Some((last_request, _)) = self.by_last_request.first()
            && now.since(*last_request) > REQUEST_IDLE_TIMEOUT
            && let Some((_, program)) = self.by_last_request.pop_first()
        {
            self.programs.remove(&program);
        }
        let decay = decay(elapsed, DEMAND_TIME_CONSTANT);
        let (demand, programs) = DEMAND_PRIOR;
        self.recent_requests = demand * programs + (self.recent_requests - demand * programs) * decay;
        self.recent_programs = programs + (self.recent_programs - programs) * decay;
    }
}

/// Factor of an exponential decay.
fn decay(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
