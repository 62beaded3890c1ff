//! Tests of the accounts of teams.

use std::collections::VecDeque;

use proptest::prelude::*;

use crate::allowance::*;
use crate::routing::RateLimit;
use crate::scheduler::random::Random;

const BOUNDS: AllowanceBounds = AllowanceBounds { window: Duration::from_secs(5), overrun: 0.1, slack: 20 };
const RED: &str = "red";

fn team(name: &str, per_second: f64) -> Arc<Team> {
    let allowance = Some(RateLimit { per_second, burst: per_second }).filter(|_| per_second > 0.0);
    Arc::new(Team { name: name.into(), keys: Vec::new(), priority: 1, rate_limit: allowance })
}

fn accounts(per_second: f64) -> RateLimiter {
    let mut accounts = RateLimiter::new(BOUNDS);
    accounts.set_teams(Timestamp(0), &[team(RED, per_second)]);
    accounts
}

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn asked(team: &str, need: RequestKind) -> OutgoingRequest<'_> {
    OutgoingRequest { team, program: None, need }
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// The most requests that any window holds.
fn fullest(taken: &[u64]) -> f64 {
    let window = u64::try_from(BOUNDS.window.as_millis()).unwrap();
    let held = |first: usize| taken[first..].iter().take_while(|time| **time < taken[first] + window).count();
    number((0..taken.len()).map(held).max().unwrap_or(0))
}

fn most(per_second: f64) -> f64 {
    (per_second * BOUNDS.window.as_secs_f64() + per_second) * (1.0 + BOUNDS.overrun) + f64::from(BOUNDS.slack)
}

/// What happens to the two replicas of which one leads.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// So many requests are asked for at the leader.
    Ask(u8),
    /// Time passes, in milliseconds.
    Pass(u16),
    /// The other replica leads; it has heard nothing of the accounts.
    Lead,
    /// The leader restarts and leads again.
    Restart,
    /// The limit is declared again, halved or as it was.
    Declare(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1_u8..60).prop_map(Step::Ask),
        4 => (1_u16..1_500).prop_map(Step::Pass),
        1 => Just(Step::Lead),
        1 => Just(Step::Restart),
        1 => any::<bool>().prop_map(Step::Declare),
    ]
}

/// Plays steps and returns when requests were let through; `emptied` is what a leader does with its accounts when its term
/// begins.
fn play(rate: f64, steps: &[Step], emptied: bool) -> Vec<u64> {
    let mut replicas = [accounts(rate), accounts(rate)];
    let (mut leader, mut term, mut now) = (0, 1, 100_000);
    let mut taken = Vec::new();
    for step in steps {
        match *step {
            Step::Ask(count) => {
                let told = if emptied { term } else { 1 };
                let asked = (0..count).filter(|number| {
                    let need = if number % 7 == 0 { RequestKind::Beginning } else { RequestKind::Request };
                    replicas[leader].take(at(now), told, asked(RED, need)).is_ok()
                });
                taken.extend(std::iter::repeat_n(now, asked.count()));
            }
            Step::Pass(millis) => now += u64::from(millis),
            Step::Lead => {
                leader = 1 - leader;
                term += 1;
            }
            Step::Restart => {
                replicas[leader] = accounts(rate);
                term += 1;
            }
            Step::Declare(halved) => {
                let rate = if halved { rate / 2.0 } else { rate };
                for replica in &mut replicas {
                    replica.set_teams(at(now), &[team(RED, rate)]);
                }
            }
        }
    }
    taken
}

proptest! {
    #[test]
    fn no_window_holds_more_than_the_allowance_whoever_leads(
        rate in 1_u32..200,
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let taken = play(rate.into(), &steps, true);
        prop_assert!(fullest(&taken) <= most(rate.into()), "{}", fullest(&taken));
    }
}

#[test]
fn a_leader_that_believes_its_accounts_full_breaks_the_allowance() {
    let begin = [Step::Ask(1), Step::Lead, Step::Ask(1), Step::Pass(5_000)];
    let again = [Step::Ask(59), Step::Lead, Step::Ask(59), Step::Pass(1_250)];
    let steps: Vec<Step> = begin.into_iter().chain(again.into_iter().cycle().take(16)).collect();
    let held = |emptied| fullest(&play(11.0, &steps, emptied));
    assert!(held(false) > most(11.0), "the check can fail: {}", held(false));
    assert!(held(true) <= most(11.0), "{}", held(true));
}

#[test]
fn a_lowered_limit_binds_one_window_later() {
    let mut accounts = accounts(100.0);
    let mut taken = Vec::new();
    for now in 0..20_000 {
        if now == 10_000 {
            accounts.set_teams(at(now), &[team(RED, 10.0)]);
        }
        if accounts.take(at(now), 1, asked(RED, RequestKind::Request)).is_ok() {
            taken.push(now);
        }
    }
    let after: Vec<u64> = taken.into_iter().filter(|time| *time >= 10_000).collect();
    assert!(fullest(&after) <= most(10.0), "{}", fullest(&after));
    assert!(after.len() >= 100, "{}", after.len());
}

#[test]
fn a_team_without_a_limit_is_never_held_and_an_unknown_one_waits_to_be_told() {
    let mut accounts = accounts(1.0);
    assert_eq!(accounts.take(at(1), 1, asked("blue", RequestKind::Request)), Err(Denial::UnknownTeam));
    accounts.set_teams(at(2), &[team(RED, 1.0), team("blue", 0.0)]);
    assert!((0..1_000).all(|_| accounts.take(at(3), 1, asked("blue", RequestKind::Request)).is_ok()));
    let told = accounts.take(at(3), 1, asked(RED, RequestKind::Request)).unwrap_err();
    assert!(matches!(told, Denial::OverLimit(after) if after > Duration::from_millis(500)), "{told:?}");
}

/// How often a program that may not begin comes, each time after it was told.
const TIMES: u32 = 3;

/// Programs of a team: when each begins, and its requests some time after one another.
struct Programs {
    rng: Random,
    due: VecDeque<(u64, u64)>,
    left: Vec<u64>,
}

/// Plays programs that begin so many times a second for 200 s, each of 1 to 27 requests; returns programs that were denied
/// whenever they came to begin, those that were denied later, and those that ended.
fn work(rate: f64, begin_per_second: f64, seed: u64) -> (usize, usize, usize) {
    let mut accounts = accounts(rate);
    accounts.take(at(0), 1, asked(RED, RequestKind::Request)).expect_err("a term begins with empty accounts");
    let mut programs = Programs { rng: Random::new(seed), due: VecDeque::new(), left: Vec::new() };
    let (mut denied, mut broken, mut ended, mut begun) = (0, 0, 0, 0.0);
    let mut coming = Vec::new();
    for now in 5_000..205_000 {
        // Evenly, so that no window holds more beginnings than another.
        begun += begin_per_second / 1_000.0;
        if begun >= 1.0 {
            begun -= 1.0;
            coming.push((now, 1));
        }
        let (come, later): (Vec<(u64, u32)>, _) = coming.into_iter().partition(|(time, _)| *time <= now);
        coming = later;
        for (_, times) in come {
            let name = programs.left.len().to_string().into();
            let beginning = OutgoingRequest { program: Some(&name), ..asked(RED, RequestKind::Beginning) };
            match accounts.take(at(now), 1, beginning) {
                Ok(()) => {
                    programs.left.push(programs.rng.below(27));
                    let next = now + 100 + programs.rng.below(200);
                    programs.due.push_back((next, programs.left.len() as u64 - 1));
                }
                Err(Denial::OverLimit(after)) if times < TIMES => {
                    coming.push((now + u64::try_from(after.as_millis()).unwrap(), times + 1));
                }
                Err(_) => denied += 1,
            }
        }
        let due: Vec<(u64, u64)> = programs.due.iter().copied().filter(|(time, _)| *time <= now).collect();
        programs.due.retain(|(time, _)| *time > now);
        for (_, program) in due {
            let left = &mut programs.left[usize::try_from(program).unwrap()];
            if *left == 0 {
                ended += 1;
                continue;
            }
            *left -= 1;
            let name = program.to_string().into();
            let request = OutgoingRequest { program: Some(&name), ..asked(RED, RequestKind::Request) };
            if accounts.take(at(now), 1, request).is_err() {
                broken += 1;
                continue;
            }
            programs.due.push_back((now + 100 + programs.rng.below(200), program));
        }
    }
    (denied, broken, ended)
}

#[test]
fn what_is_inside_the_allowance_is_let_through() {
    // A program needs 14 requests, and the limit is 1.6 times the usual.
    for (rate, seed) in [(11.0, 1), (11.0, 2), (30.0, 3), (179.0, 4)] {
        let (denied, broken, ended) = work(rate, rate / 1.6 / 14.0, seed);
        let all = denied + broken + ended;
        assert!((denied + broken) * 50 <= all, "{rate}: {denied} denied, {broken} broken, {ended} ended");
    }
}

#[test]
fn of_a_hot_team_beginnings_are_denied_and_what_has_begun_goes_on() {
    for (rate, seed) in [(11.0, 1), (30.0, 3), (179.0, 4), (179.0, 5)] {
        let (denied, broken, ended) = work(rate, rate * 7.5 / 1.6 / 14.0, seed);
        // 200 s of the rate hold this many programs.
        let held = rate * 200.0 / 14.0;
        assert!(
            number(ended) >= 0.75 * held,
            "{rate}: {denied} denied, {broken} broken, {ended} of {held} ended"
        );
        assert!(broken * 20 <= ended, "{rate}: {denied} denied, {broken} broken, {ended} ended");
    }
}
