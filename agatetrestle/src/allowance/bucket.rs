//! The account of one team.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::AllowanceBounds;

use crate::allowance::RequestKind;
use crate::clock::Timestamp;
use crate::routing::RateLimit;

/// Share of what may be beyond the allowance in a window that an account lets through. The rest is kept for what this place
/// can't see, such as a request that a frozen entry sends long after it was taken.
const USED_OVERRUN: f64 = 0.9;
/// Requests that a program is taken to need before any was seen, and the programs that this counts as.
const FIRST_NEED: (f64, f64) = (10.0, 2.0);
/// Time after which what a program needed counts a third as much: long against the seconds that one lasts, short against the
/// change of a team's work within a day.
const NEED_MEMORY: Duration = Duration::from_secs(20);
/// Time without a request after which a program is taken to have ended: tools and pauses between turns are shorter.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Part of what a program usually needs that is kept for one that has used that up: some need several times the usual.
const LEAST_KEPT: f64 = 0.6;
/// Time ahead over which an account is reckoned to fill when it is asked whether a program may begin: a program sends its
/// requests over a second and more.
const AHEAD: Duration = Duration::from_millis(1_250);
/// Shortest and longest time that a caller is told to come back after. Below, coming back costs more than it gains; above, its
/// program has lost its time.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

#[derive(Clone, Debug)]
struct Program {
    used: f64,
    last: Timestamp,
}

#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    /// Requests a second.
    rate: f64,
    /// Requests that it holds at most.
    depth: f64,
    level: f64,
    /// Programs that have begun, by what they have used.
    programs: HashMap<Arc<str>, Program>,
    /// The same by their last request.
    by_last: BTreeSet<(Timestamp, Arc<str>)>,
    at: Timestamp,
    /// Requests and beginnings of late, from which follows what a program needs.
    requests: f64,
    beginnings: f64,
}

impl TokenBucket {
    /// An empty account, which nothing fills before its limit is set.
    pub(super) fn new(now: Timestamp) -> Self {
        let (need, programs) = FIRST_NEED;
        Self {
            rate: 0.0,
            depth: 0.0,
            level: 0.0,
            programs: HashMap::new(),
            by_last: BTreeSet::new(),
            at: now,
            requests: need * programs,
            beginnings: programs,
        }
    }

    /// Sets the limit. In any window at most `depth + rate * window` requests are let through, which is the most that may run.
    pub(super) fn limit(&mut self, now: Timestamp, allowance: RateLimit, bounds: AllowanceBounds) {
        self.pass(now);
        let RateLimit { per_second, burst } = allowance;
        let window = per_second * bounds.window.as_secs_f64() + burst;
        let beyond = window * bounds.overrun + f64::from(bounds.slack);
        self.rate = per_second;
        self.depth = burst + beyond * USED_OVERRUN;
        self.level = self.level.min(self.depth);
    }

    pub(super) fn empty(&mut self, now: Timestamp) {
        self.at = now;
        self.level = 0.0;
        self.programs.clear();
        self.by_last.clear();
    }

    /// Takes a request of a program, or says when there may be room for it.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        program: Option<&Arc<str>>,
        need: RequestKind,
    ) -> Result<(), Duration> {
        self.pass(now);
        let missing = match need {
            RequestKind::Beginning => self.missing_to_begin(),
            RequestKind::Request => 1.0 - self.level,
        };
        if missing > 0.0 {
            return Err(self.time_for(missing));
        }
        self.level -= 1.0;
        self.requests += 1.0;
        self.beginnings += f64::from(u8::from(need == RequestKind::Beginning));
        if let Some(program) = program {
            self.note(now, program);
        }
        Ok(())
    }

    /// Requests that are missing for a program to begin: beside its own, those that are kept for programs that have begun.
    fn missing_to_begin(&self) -> f64 {
        let need = self.need();
        let kept: f64 =
            self.programs.values().map(|program| (need - program.used).max(need * LEAST_KEPT)).sum();
        let ahead = self.level + self.rate * AHEAD.as_secs_f64();
        (need + kept - ahead).max(1.0 - self.level)
    }

    fn note(&mut self, now: Timestamp, name: &Arc<str>) {
        let program = self.programs.entry(name.clone()).or_insert(Program { used: 0.0, last: now });
        self.by_last.remove(&(program.last, name.clone()));
        program.used += 1.0;
        program.last = now;
        self.by_last.insert((now, name.clone()));
    }

    /// Requests that a program of the team needs, the first included.
    fn need(&self) -> f64 {
        (self.requests / self.beginnings).max(1.0)
    }

    fn time_for(&self, missing: f64) -> Duration {
        let seconds = missing / self.rate.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_AFTER.1).clamp(RETRY_AFTER.0, RETRY_AFTER.1)
    }

    fn pass(&mut self, now: Timestamp) {
        let span = now.since(self.at);
        self.at = self.at.max(now);
        self.level = (self.level + self.rate * span.as_secs_f64()).min(self.depth);
        while let Some((last, _)) = self.by_last.first()
            && now.since(*last) > PAUSE
            && let Some((_, program)) = self.by_last.pop_first()
        {
            self.programs.remove(&program);
        }
        let fade = fade(span, NEED_MEMORY);
        let (need, programs) = FIRST_NEED;
        self.requests = need * programs + (self.requests - need * programs) * fade;
        self.beginnings = programs + (self.beginnings - programs) * fade;
    }
}

/// What is left after a time of what fades to a third in `memory`.
fn fade(span: Duration, memory: Duration) -> f64 {
    (-span.as_secs_f64() / memory.as_secs_f64()).exp()
}
