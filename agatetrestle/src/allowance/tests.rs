//! Tests of the rate limits of teams.

use std::collections::VecDeque;

use proptest::prelude::*;

use crate::allowance::*;
use crate::routing::RateLimit;
use crate::scheduler::random::Random;

const BOUNDS: AllowanceBounds = AllowanceBounds { window: Duration::from_secs(5), overrun: 0.1, slack: 20 };
const RED: &str = "red";

fn team(name: &str, per_second: f64) -> Arc<Team> {
    let rate_limit = Some(RateLimit { per_second, burst: per_second }).filter(|_| per_second > 0.0);
    Arc::new(Team { name: name.into(), keys: Vec::new(), priority: 1, rate_limit })
}

fn limiter(per_second: f64) -> RateLimiter {
    let mut limiter = RateLimiter::new(BOUNDS);
    limiter.set_teams(Timestamp(0), &[team(RED, per_second)]);
    limiter
}

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn request(team: &str, kind: RequestKind) -> OutgoingRequest<'_> {
    OutgoingRequest { team, program: None, kind }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

fn max_per_window(granted: &[u64]) -> f64 {
    let window = u64::try_from(BOUNDS.window.as_millis()).unwrap();
    let count =
        |first: usize| granted[first..].iter().take_while(|time| **time < granted[first] + window).count();
    to_f64((0..granted.len()).map(count).max().unwrap_or(0))
}

fn window_limit(per_second: f64) -> f64 {
    (per_second * BOUNDS.window.as_secs_f64() + per_second) * (1.0 + BOUNDS.overrun) + f64::from(BOUNDS.slack)
}

/// An event for two replicas, one of which leads.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// This many requests arrive at the leader.
    Request(u8),
    /// Milliseconds pass.
    Advance(u16),
    /// The other replica becomes leader with its own buckets.
    ChangeLeader,
    /// The leader restarts and is elected again.
    Restart,
    /// The limit is configured again, halved if true.
    SetLimit(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1_u8..60).prop_map(Step::Request),
        4 => (1_u16..1_500).prop_map(Step::Advance),
        1 => Just(Step::ChangeLeader),
        1 => Just(Step::Restart),
        1 => any::<bool>().prop_map(Step::SetLimit),
    ]
}

/// Runs the steps and returns the times of granted requests. With `report_term` leaders clear their buckets in a new term.
fn run_steps(rate: f64, steps: &[Step], report_term: bool) -> Vec<u64> {
    let mut replicas = [limiter(rate), limiter(rate)];
    let (mut leader, mut term, mut now) = (0, 1, 100_000);
    let mut granted = Vec::new();
    for step in steps {
        match *step {
            Step::Request(count) => {
                let reported = if report_term { term } else { 1 };
                let granted_now = (0..count).filter(|number| {
                    let kind = if number % 7 == 0 { RequestKind::Beginning } else { RequestKind::Request };
                    replicas[leader].take(at(now), reported, request(RED, kind)).is_ok()
                });
                granted.extend(std::iter::repeat_n(now, granted_now.count()));
            }
            Step::Advance(millis) => now += u64::from(millis),
            Step::ChangeLeader => {
                leader = 1 - leader;
                term += 1;
            }
            Step::Restart => {
                replicas[leader] = limiter(rate);
                term += 1;
            }
            Step::SetLimit(halved) => {
                let rate = if halved { rate / 2.0 } else { rate };
                for replica in &mut replicas {
                    replica.set_teams(at(now), &[team(RED, rate)]);
                }
            }
        }
    }
    granted
}

proptest! {
    #[test]
    fn limits_requests_per_window_across_leaders(
        rate in 1_u32..200,
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let granted = run_steps(rate.into(), &steps, true);
        prop_assert!(max_per_window(&granted) <= window_limit(rate.into()), "{}", max_per_window(&granted));
    }
}

#[test]
fn buckets_kept_across_terms_exceed_limit() {
    let start = [Step::Request(1), Step::ChangeLeader, Step::Request(1), Step::Advance(5_000)];
    let repeated = [Step::Request(59), Step::ChangeLeader, Step::Request(59), Step::Advance(1_250)];
    let steps: Vec<Step> = start.into_iter().chain(repeated.into_iter().cycle().take(16)).collect();
    let max = |report_term| max_per_window(&run_steps(11.0, &steps, report_term));
    assert!(max(false) > window_limit(11.0), "the scenario must exceed the limit: {}", max(false));
    assert!(max(true) <= window_limit(11.0), "{}", max(true));
}

#[test]
fn lowered_limit_applies_after_one_window() {
    let mut limiter = limiter(100.0);
    let mut granted = Vec::new();
    for now in 0..20_000 {
        if now == 10_000 {
            limiter.set_teams(at(now), &[team(RED, 10.0)]);
        }
        if limiter.take(at(now), 1, request(RED, RequestKind::Request)).is_ok() {
            granted.push(now);
        }
    }
    let after: Vec<u64> = granted.into_iter().filter(|time| *time >= 10_000).collect();
    assert!(max_per_window(&after) <= window_limit(10.0), "{}", max_per_window(&after));
    assert!(after.len() >= 100, "{}", after.len());
}

#[test]
fn grants_unlimited_team_and_denies_unknown_team() {
    let mut limiter = limiter(1.0);
    assert_eq!(limiter.take(at(1), 1, request("blue", RequestKind::Request)), Err(Denial::UnknownTeam));
    limiter.set_teams(at(2), &[team(RED, 1.0), team("blue", 0.0)]);
    assert!((0..1_000).all(|_| limiter.take(at(3), 1, request("blue", RequestKind::Request)).is_ok()));
    let denial = limiter.take(at(3), 1, request(RED, RequestKind::Request)).unwrap_err();
    assert!(matches!(denial, Denial::OverLimit(after) if after > Duration::from_millis(500)), "{denial:?}");
}

/// Attempts of a program to begin, each after the returned delay.
const MAX_START_ATTEMPTS: u32 = 3;

struct Programs {
    rng: Random,
    /// Time and program of each coming request.
    scheduled: VecDeque<(u64, u64)>,
    remaining_requests: Vec<u64>,
}

/// Simulates 200 s of programs with 1 to 27 requests each. Returns the numbers of programs that could not begin, that were
/// denied a later request, and that completed.
fn run_programs(rate: f64, starts_per_second: f64, seed: u64) -> (usize, usize, usize) {
    let mut limiter = limiter(rate);
    limiter.take(at(0), 1, request(RED, RequestKind::Request)).expect_err("a term begins with empty buckets");
    let mut programs =
        Programs { rng: Random::new(seed), scheduled: VecDeque::new(), remaining_requests: Vec::new() };
    let (mut rejected, mut interrupted, mut completed, mut pending_starts) = (0, 0, 0, 0.0);
    let mut arrivals = Vec::new();
    for now in 5_000..205_000 {
        // Programs start at even intervals, so that all windows have the same load.
        pending_starts += starts_per_second / 1_000.0;
        if pending_starts >= 1.0 {
            pending_starts -= 1.0;
            arrivals.push((now, 1));
        }
        let (arrived, later): (Vec<(u64, u32)>, _) = arrivals.into_iter().partition(|(time, _)| *time <= now);
        arrivals = later;
        for (_, attempt) in arrived {
            let name = programs.remaining_requests.len().to_string().into();
            let first = OutgoingRequest { program: Some(&name), ..request(RED, RequestKind::Beginning) };
            match limiter.take(at(now), 1, first) {
                Ok(()) => {
                    programs.remaining_requests.push(programs.rng.below(27));
                    let next = now + 100 + programs.rng.below(200);
                    programs.scheduled.push_back((next, programs.remaining_requests.len() as u64 - 1));
                }
                Err(Denial::OverLimit(after)) if attempt < MAX_START_ATTEMPTS => {
                    arrivals.push((now + u64::try_from(after.as_millis()).unwrap(), attempt + 1));
                }
                Err(_) => rejected += 1,
            }
        }
        let due: Vec<(u64, u64)> =
            programs.scheduled.iter().copied().filter(|(time, _)| *time <= now).collect();
        programs.scheduled.retain(|(time, _)| *time > now);
        for (_, program) in due {
            let remaining = &mut programs.remaining_requests[usize::try_from(program).unwrap()];
            if *remaining == 0 {
                completed += 1;
                continue;
            }
            *remaining -= 1;
            let name = program.to_string().into();
            let next = OutgoingRequest { program: Some(&name), ..request(RED, RequestKind::Request) };
            if limiter.take(at(now), 1, next).is_err() {
                interrupted += 1;
                continue;
            }
            programs.scheduled.push_back((now + 100 + programs.rng.below(200), program));
        }
    }
    (rejected, interrupted, completed)
}

#[test]
fn completes_programs_within_limit() {
    // A program has 14 requests on average, and the load is the limit divided by 1.6.
    for (rate, seed) in [(11.0, 1), (11.0, 2), (30.0, 3), (179.0, 4)] {
        let (rejected, interrupted, completed) = run_programs(rate, rate / 1.6 / 14.0, seed);
        let all = rejected + interrupted + completed;
        assert!(
            (rejected + interrupted) * 50 <= all,
            "{rate}: {rejected} rejected, {interrupted} interrupted, {completed} completed"
        );
    }
}

#[test]
fn overloaded_team_completes_started_programs() {
    for (rate, seed) in [(11.0, 1), (30.0, 3), (179.0, 4), (179.0, 5)] {
        let (rejected, interrupted, completed) = run_programs(rate, rate * 7.5 / 1.6 / 14.0, seed);
        // The limit allows this many programs in 200 s.
        let allowed = rate * 200.0 / 14.0;
        assert!(
            to_f64(completed) >= 0.75 * allowed,
            "{rate}: {rejected} rejected, {interrupted} interrupted, {completed} of {allowed} completed"
        );
        assert!(
            interrupted * 20 <= completed,
            "{rate}: {rejected} rejected, {interrupted} interrupted, {completed} completed"
        );
    }
}
