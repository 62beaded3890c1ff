//! Replay of whole programs of one team in virtual time, against the sliding window and the token bucket before it.

mod token_bucket;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use crate::allowance::account::Account;
use crate::allowance::replay::token_bucket::TokenBucket;
use crate::allowance::window::Window;
use crate::allowance::*;
use crate::routing::RateLimit;
use crate::scheduler::random::Random;

/// Milliseconds at the start that are not counted, since a term begins with a full window.
const WARMUP_MS: u64 = 20_000;
/// Requests of a program of 3 and of one of 9 turns, with 1 to 3 tool calls a turn.
const MEAN_REQUESTS: f64 = 18.0;
/// A request's timeout, of which its caller waits a third at most before its only retry.
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// Requests for the same turn or tool call, each of which is retried once.
const ATTEMPTS: u32 = 3;

trait Limit {
    fn take(
        &mut self,
        now: u64,
        name: &Arc<str>,
        kind: RequestKind,
        size: ProgramSize<'_>,
    ) -> Result<(), u64>;
    fn change_leader(&mut self, now: u64);
}

fn to_millis(wait: Duration) -> u64 {
    u64::try_from(wait.as_micros().div_ceil(1_000)).unwrap()
}

impl Limit for Account {
    fn take(
        &mut self,
        now: u64,
        name: &Arc<str>,
        kind: RequestKind,
        size: ProgramSize<'_>,
    ) -> Result<(), u64> {
        Self::take(self, Timestamp(now * 1_000), Some(name), kind, size).map_err(to_millis)
    }

    fn change_leader(&mut self, now: u64) {
        self.start_term(Timestamp(now * 1_000));
    }
}

impl Limit for TokenBucket {
    fn take(&mut self, now: u64, name: &Arc<str>, kind: RequestKind, _: ProgramSize<'_>) -> Result<(), u64> {
        Self::take(self, Timestamp(now * 1_000), Some(name), kind).map_err(to_millis)
    }

    fn change_leader(&mut self, now: u64) {
        self.clear(Timestamp(now * 1_000));
    }
}

#[derive(Clone, Copy, Debug)]
struct Load {
    rate: f64,
    /// Mean load relative to the rate.
    factor: f64,
    seed: u64,
    bounds: AllowanceBounds,
    /// When another leader takes over.
    failover: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    programs: u32,
    /// Programs that ended, and those that did in time.
    ended: u32,
    in_time: u32,
    /// Programs refused at their beginning and later.
    refused: u32,
    interrupted: u32,
    requests: u32,
    /// Responses 429, those to first requests, and those to requests that the declared window would have held.
    denials: u32,
    first_denials: u32,
    false_denials: u32,
    /// Denials of programs that were refused at their beginning.
    refused_denials: u32,
    /// Programs that were told a delay that their caller waits, and those that were admitted after it.
    promised: u32,
    kept: u32,
    /// Most requests granted in a window.
    peak: u32,
}

struct Program {
    name: Arc<str>,
    route: Arc<str>,
    /// Kinds and durations of the requests, last first.
    requests: Vec<u64>,
    deadline: u64,
    began: bool,
    /// Requests for the present turn or call that were denied, counting retries.
    attempts: u32,
    denials: u32,
    is_promised: bool,
}

fn program(rng: &mut Random, number: usize, now: u64) -> Program {
    let is_long = rng.below(2) == 1;
    let mut requests = Vec::new();
    for _ in 0..if is_long { 9 } else { 3 } {
        requests.push(150 + rng.below(250));
        for _ in 0..=rng.below(3) {
            requests.push(30 + rng.below(70));
        }
    }
    let duration: u64 = requests.iter().sum();
    requests.reverse();
    Program {
        name: number.to_string().into(),
        route: if is_long { "long" } else { "short" }.into(),
        requests,
        deadline: now + duration * 135 / 100 + 300,
        began: false,
        attempts: 0,
        denials: 0,
        is_promised: false,
    }
}

/// Milliseconds until the next arrival of a Poisson process.
fn arrival_gap(rng: &mut Random, per_second: f64) -> f64 {
    let uniform = (f64::from(u32::try_from(rng.below(1 << 20)).unwrap()) + 1.0) / f64::from(1 << 20);
    -uniform.ln() / per_second * 1_000.0
}

fn run(limit: &mut dyn Limit, load: Load) -> Outcome {
    let mut rng = Random::new(load.seed);
    let mut out = Outcome::default();
    let mut programs: Vec<Program> = Vec::new();
    let mut events = BinaryHeap::new();
    let window = u64::try_from(load.bounds.window.as_millis()).unwrap();
    let permitted = load.rate * load.bounds.window.as_secs_f64() + load.rate;
    let mut granted: VecDeque<u64> = VecDeque::new();
    let mut next = 0.0;
    while next < 200_000.0 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let now = next as u64;
        events.push(Reverse((now, programs.len())));
        programs.push(program(&mut rng, programs.len(), now));
        next += arrival_gap(&mut rng, load.rate * load.factor / MEAN_REQUESTS);
    }
    let mut failover = load.failover;
    while let Some(Reverse((now, index))) = events.pop() {
        if failover.is_some_and(|at| now >= at) {
            failover = None;
            limit.change_leader(now);
        }
        while granted.front().is_some_and(|time| time + window <= now) {
            granted.pop_front();
        }
        let program = &mut programs[index];
        let counts = now >= WARMUP_MS;
        let Some(duration) = program.requests.last().copied() else {
            out.ended += u32::from(counts);
            out.in_time += u32::from(counts && now <= program.deadline);
            continue;
        };
        let kind = if program.began { RequestKind::Request } else { RequestKind::Beginning };
        let finish_in = Duration::from_millis(program.deadline.saturating_sub(now));
        let size = ProgramSize { route: Some(&program.route), finish_in: Some(finish_in) };
        out.programs += u32::from(counts && !program.began && program.attempts == 0);
        out.requests += u32::from(counts && program.attempts.is_multiple_of(2));
        match limit.take(now, &program.name, kind, size) {
            Ok(()) => {
                out.kept += u32::from(counts && program.is_promised);
                program.is_promised = false;
                granted.push_back(now);
                out.peak = out.peak.max(u32::try_from(granted.len()).unwrap());
                program.requests.pop();
                (program.began, program.attempts) = (true, 0);
                events.push(Reverse((now + duration, index)));
            }
            Err(wait) => {
                let held = f64::from(u32::try_from(granted.len()).unwrap()) + 1.0 <= permitted;
                out.denials += u32::from(counts);
                out.first_denials += u32::from(counts && !program.began);
                out.false_denials += u32::from(counts && held);
                program.attempts += 1;
                program.is_promised =
                    !program.began && program.attempts % 2 == 1 && wait <= REQUEST_TIMEOUT_MS / 3;
                out.promised += u32::from(counts && program.is_promised);
                program.denials += 1;
                if program.attempts == 2 * ATTEMPTS {
                    if program.began {
                        out.interrupted += u32::from(counts);
                    } else {
                        out.refused += u32::from(counts);
                        out.refused_denials += if counts { program.denials } else { 0 };
                    }
                } else if program.attempts % 2 == 1 {
                    events.push(Reverse((now + wait.min(REQUEST_TIMEOUT_MS / 3), index)));
                } else {
                    events.push(Reverse((now + 100 + rng.below(300), index)));
                }
            }
        }
    }
    out
}

const BOUNDS: AllowanceBounds = AllowanceBounds { window: Duration::from_secs(5), overrun: 0.1, slack: 20 };

fn bucket(load: Load) -> Outcome {
    let mut bucket = TokenBucket::new(Timestamp(0));
    bucket.set_limit(Timestamp(0), RateLimit { per_second: load.rate, burst: load.rate }, load.bounds);
    run(&mut bucket, load)
}

fn window(load: Load) -> Outcome {
    let limit = RateLimit { per_second: load.rate, burst: load.rate };
    run(&mut Account::new(Timestamp(0), limit, load.bounds), load)
}

/// Sums over the seeds.
fn sum(run: impl Fn(Load) -> Outcome, load: Load) -> Outcome {
    [3, 5, 7].into_iter().fold(Outcome::default(), |sum, seed| {
        let outcome = run(Load { seed, ..load });
        println!("{load:?} {outcome:?}");
        Outcome {
            programs: sum.programs + outcome.programs,
            ended: sum.ended + outcome.ended,
            in_time: sum.in_time + outcome.in_time,
            refused: sum.refused + outcome.refused,
            interrupted: sum.interrupted + outcome.interrupted,
            requests: sum.requests + outcome.requests,
            denials: sum.denials + outcome.denials,
            first_denials: sum.first_denials + outcome.first_denials,
            false_denials: sum.false_denials + outcome.false_denials,
            refused_denials: sum.refused_denials + outcome.refused_denials,
            promised: sum.promised + outcome.promised,
            kept: sum.kept + outcome.kept,
            peak: sum.peak.max(outcome.peak),
        }
    })
}

const LOAD: Load = Load { rate: 30.0, factor: 1.0, seed: 0, bounds: BOUNDS, failover: None };

/// Guards against a rule that admits so many programs that they delay each other beyond their deadlines, and against one that
/// refuses as much as the token bucket did.
#[test]
fn more_programs_end_in_time_than_with_token_bucket() {
    for (rate, factor) in [(30.0, 1.0), (30.0, 1.5), (30.0, 7.5), (11.0, 1.0), (11.0, 1.5), (11.0, 7.5)] {
        let load = Load { rate, factor, ..LOAD };
        let (before, after) = (sum(bucket, load), sum(window, load));
        assert!(after.in_time > before.in_time, "{load:?}: {after:?} against {before:?}");
        assert!(after.false_denials * 2 < before.false_denials, "{load:?}: {after:?} against {before:?}");
        assert!(after.interrupted * 50 <= after.ended, "{load:?}: {after:?}");
    }
}

/// Guards against false refusals of a team whose limit is above its load, as on a quiet day.
#[test]
fn refuses_little_that_the_window_holds() {
    let after = sum(window, Load { factor: 0.8, ..LOAD });
    assert!(after.false_denials * 200 <= after.requests, "{after:?}");
}

/// Guards against retry delays after which a program is refused again.
#[test]
fn admits_programs_after_their_retry_delay() {
    for factor in [1.0, 1.5, 7.5] {
        let after = sum(window, Load { factor, ..LOAD });
        assert!(after.kept * 100 >= after.promised * 98 && after.promised > 0, "{factor}: {after:?}");
    }
}

/// Guards against a change of leader that refuses programs under way until a whole window has passed.
#[test]
fn change_of_leader_interrupts_few_programs() {
    let after = sum(window, Load { failover: Some(100_000), ..LOAD });
    let before = sum(bucket, Load { failover: Some(100_000), ..LOAD });
    assert!(after.in_time > before.in_time, "{after:?} against {before:?}");
    assert!(after.interrupted * 100 <= after.programs, "{after:?}");
}

/// Guards against memory that grows with a team's rate.
#[test]
fn window_keeps_a_bounded_number_of_slices() {
    let limit = RateLimit { per_second: 10_000.0, burst: 10_000.0 };
    let mut window = Window::new();
    window.set_limit(limit, BOUNDS, Timestamp(0));
    for now in (0..20_000_000).step_by(100) {
        window.advance(Timestamp(now));
        window.record(Timestamp(now));
        assert!(window.slices() <= 290, "{}", window.slices());
    }
}
