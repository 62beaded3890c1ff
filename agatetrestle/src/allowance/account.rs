//! The rate limit of one team: its window, and the admission of its programs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::AllowanceBounds;

use crate::allowance::ProgramSize;
use crate::allowance::RequestKind;
use crate::allowance::demand::Demand;
use crate::allowance::demand::ExpectedRequests;
use crate::allowance::window::Window;
use crate::clock::Timestamp;
use crate::routing::RateLimit;

/// Bounds of the retry delay: a shorter one costs more than it gains, a longer one makes programs miss their deadlines.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// Times from now at which the expected requests are compared with the window's room, as parts of the window's length.
const HORIZON_RATIOS: [f64; 7] = [0.0, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0];
/// Retry delays that are tried for a program that may not begin. Callers wait for at most a third of a request's time, so a
/// longer one is only a hint to come back later.
const RETRY_DELAYS: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_millis(900),
];
/// Time after its retry delay within which a program keeps its reservation.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without an attempt after which a refused program is forgotten. Callers repeat a failed turn within it.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Refused programs of a team that are remembered. Further ones count as new when they retry.
const MAX_REFUSALS: usize = 128;

/// A program that can no longer end in time begins only if so many times its need fits, so that it takes no room from those
/// that can.
const LATE_NEED_FACTOR: f64 = 3.0;

type Horizons = [Duration; HORIZON_RATIOS.len()];

/// A program that was told to retry.
#[derive(Clone, Debug)]
struct Refusal {
    /// What it was expected to need when it first arrived. Its remaining time shrinks while it retries, so it would look
    /// smaller each time and pass before new programs that can still end in time.
    need: ExpectedRequests,
    last_attempt: Timestamp,
    /// When its reservation begins, if it has one.
    starts: Option<Timestamp>,
}

#[derive(Clone, Debug)]
pub(super) struct Account {
    window: Window,
    demand: Demand,
    refusals: HashMap<Arc<str>, Refusal>,
}

impl Account {
    /// An account at a limit, as if another leader had granted all that the limit allows until now.
    pub(super) fn new(now: Timestamp, limit: RateLimit, bounds: AllowanceBounds) -> Self {
        let mut account = Self { window: Window::new(), demand: Demand::new(now), refusals: HashMap::new() };
        account.set_limit(now, limit, bounds);
        account.window.fill(now);
        account
    }

    pub(super) fn set_limit(&mut self, now: Timestamp, limit: RateLimit, bounds: AllowanceBounds) {
        self.window.set_limit(limit, bounds, now);
    }

    /// Forgets what an earlier term granted and assumes the most that it may have.
    pub(super) fn start_term(&mut self, now: Timestamp) {
        self.window.fill(now);
        self.demand.clear();
        self.refusals.clear();
    }

    /// Grants a request, or returns the time after which to retry.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        program: Option<&Arc<str>>,
        kind: RequestKind,
        size: ProgramSize<'_>,
    ) -> Result<(), Duration> {
        self.window.advance(now);
        self.demand.advance(now);
        self.expire_refusals(now);
        let wait = self.window.wait(now);
        let is_first = kind == RequestKind::Beginning;
        let result = if is_first {
            self.check_beginning(now, wait, program, size)
        } else if wait > Duration::ZERO {
            Err(wait)
        } else {
            Ok(())
        };
        if let Err(wait) = result {
            if let Some(program) = program {
                self.demand.record_denial(program);
            }
            return Err(wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1));
        }
        self.window.record(now);
        if let Some(program) = program {
            self.refusals.remove(program);
            self.demand.record(now, program, size, is_first);
        }
        Ok(())
    }

    /// Whether a program may begin: what it and the active programs are expected to send must fit at each time from now.
    fn check_beginning(
        &mut self,
        now: Timestamp,
        wait: Duration,
        program: Option<&Arc<str>>,
        size: ProgramSize<'_>,
    ) -> Result<(), Duration> {
        let horizons = HORIZON_RATIOS.map(|ratio| self.window.span().mul_f64(ratio));
        let spare = self.spare(now, &horizons, program);
        let refusal = program.and_then(|program| self.refusals.get(program));
        let need = refusal.map_or_else(|| self.demand.expected(size), |refusal| refusal.need);
        let is_reserved = refusal.and_then(|refusal| refusal.starts).is_some_and(|starts| starts <= now);
        let spare_time = size.finish_in.map_or(Duration::MAX, |left| left.saturating_sub(need.duration()));
        let is_late = spare_time == Duration::ZERO;
        let fits_now = fits(
            &spare,
            &horizons,
            if is_late { need.scaled(LATE_NEED_FACTOR) } else { need },
            Duration::ZERO,
        );
        if wait == Duration::ZERO && (is_reserved || fits_now) {
            return Ok(());
        }
        let delay = RETRY_DELAYS
            .into_iter()
            .filter(|delay| *delay >= wait && *delay <= spare_time)
            .find(|delay| fits(&spare, &horizons, need, *delay));
        if let Some(program) = program
            && (refusal.is_some() || self.refusals.len() < MAX_REFUSALS)
        {
            let starts = delay.map(|delay| now + delay);
            self.refusals.insert(program.clone(), Refusal { need, last_attempt: now, starts });
        }
        Err(delay.unwrap_or(RETRY_AFTER_RANGE.1))
    }

    /// Drops reservations that were not used and programs that gave up.
    fn expire_refusals(&mut self, now: Timestamp) {
        for refusal in self.refusals.values_mut() {
            refusal.starts = refusal.starts.filter(|starts| now <= *starts + RESERVATION_TIMEOUT);
        }
        self.refusals.retain(|_, refusal| now.since(refusal.last_attempt) <= REFUSAL_TIMEOUT);
    }

    /// Room of the window beyond what active programs and other reservations need.
    fn spare(
        &self,
        now: Timestamp,
        horizons: &Horizons,
        program: Option<&Arc<str>>,
    ) -> [f64; HORIZON_RATIOS.len()] {
        let mut spare = self.window.room(now, horizons);
        let needed = self.demand.within(now, horizons);
        for (spare, needed) in spare.iter_mut().zip(needed) {
            *spare -= needed;
        }
        let others = self.refusals.iter().filter(|(name, _)| Some(*name) != program);
        for (starts, need) in others.filter_map(|(_, refusal)| Some((refusal.starts?, refusal.need))) {
            let starts_in = starts.since(now);
            for (spare, horizon) in spare.iter_mut().zip(horizons) {
                *spare -= need.within(horizon.saturating_sub(starts_in));
            }
        }
        spare
    }
}

/// Whether a program that begins after `delay` fits at each time from now.
fn fits(
    spare: &[f64; HORIZON_RATIOS.len()],
    horizons: &Horizons,
    need: ExpectedRequests,
    delay: Duration,
) -> bool {
    spare.iter().zip(horizons).filter(|(_, horizon)| **horizon >= delay).all(|(spare, horizon)| {
        let first = 1.0_f64.max(need.within(horizon.saturating_sub(delay)));
        first <= *spare
    })
}
