//! How long the requests of each route took recently, to tell whether another one can end before the process does.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;

/// Half of the time for which a duration counts.
const WINDOW_TIME: Duration = Duration::from_secs(30);
/// Routes of which durations are kept. Further ones count as unknown.
const MAX_ROUTES: usize = 16_384;

/// The longest requests of a route in the current and the previous window.
#[derive(Clone, Copy, Debug)]
struct Longest {
    window_start: Timestamp,
    current: Duration,
    previous: Duration,
}

impl Longest {
    /// Starts new windows until `now` lies in the current one.
    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.window_start);
        if elapsed >= WINDOW_TIME {
            self.previous = if elapsed < WINDOW_TIME * 2 { self.current } else { Duration::ZERO };
            self.current = Duration::ZERO;
            self.window_start = now;
        }
    }
}

/// Durations of whole responses by route.
#[derive(Debug, Default)]
pub(super) struct Durations {
    by_route: RefCell<HashMap<Arc<str>, Longest>>,
}

impl Durations {
    /// Records how long a request took.
    pub(super) fn record(&self, now: Timestamp, route: &Arc<str>, took: Duration) {
        let mut by_route = self.by_route.borrow_mut();
        if by_route.len() >= MAX_ROUTES && !by_route.contains_key(route) {
            return;
        }
        let longest = by_route.entry(route.clone()).or_insert(Longest {
            window_start: now,
            current: took,
            previous: Duration::ZERO,
        });
        longest.advance(now);
        longest.current = longest.current.max(took);
    }

    /// The longest recent request of a route; `None` if there was none.
    pub(super) fn longest(&self, now: Timestamp, route: &str) -> Option<Duration> {
        let mut by_route = self.by_route.borrow_mut();
        let longest = by_route.get_mut(route)?;
        longest.advance(now);
        Some(longest.current.max(longest.previous)).filter(|longest| !longest.is_zero())
    }

    /// Drops the routes that are not in force any more.
    pub(super) fn retain(&self, is_in_force: impl Fn(&str) -> bool) {
        self.by_route.borrow_mut().retain(|route, _| is_in_force(route));
    }
}

/// Whether a request that has `time_limit` can end while the process runs for `left`. One of a route without recent requests may take
/// all of its time.
pub(super) fn ends_in_time(left: Duration, time_limit: Duration, longest: Option<Duration>) -> bool {
    longest.unwrap_or(time_limit).min(time_limit) <= left
}
