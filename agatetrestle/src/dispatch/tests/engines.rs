//! Simulated model engines that run the turns of programs, for [`super::simulation`].

use std::collections::HashMap;

use super::*;

/// Time to read a prompt token that is not cached, in microseconds.
const READ_US: u64 = 10;
/// Time to generate a token, in microseconds.
const GENERATE_US: u64 = 1_000;
/// Prefix that all programs share.
const SHARED_TOKENS: u64 = 512;
/// Turns that the tokens of a request may generate at most.
const MAX_TOKENS: u64 = 150;
/// Programs under way.
const PROGRAMS: usize = 400;
/// Interval at which contention changes.
const CONTENTION_STEP_US: u64 = 100_000;
/// Share of the time on an idle engine, and additional time, beyond which a turn counts as late.
const LATE: (u64, u64) = (150, 60_000);

/// Behaviour of the engines.
#[derive(Clone, Copy)]
pub(super) struct EngineBehavior {
    /// Factor by which an engine is slower than the fastest, by its number and the time.
    pub(super) slowness: fn(usize, u64) -> f64,
    /// Factor by which contention slows an engine down in addition.
    pub(super) contention: fn(usize, u64) -> f64,
    /// Whether responses report the contention.
    pub(super) reports_contention: bool,
    /// Tokens that an engine holds at once, if that is limited.
    pub(super) memory_tokens: Option<u64>,
    /// Largest number of turns of a program.
    pub(super) max_turns: u64,
}

/// One turn of a program.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    pub(super) program: u64,
    prompt: u64,
    pub(super) generated: u64,
    /// Tokens of its own, beyond those of earlier turns.
    new_tokens: u64,
    /// When the prompt was read.
    pub(super) read_at: u64,
    /// Contention that the response reports.
    pub(super) percent: Option<u32>,
}

impl Turn {
    pub(super) fn profile(&self) -> RequestProfile {
        RequestProfile {
            route: 0,
            prompt_tokens: Some(self.prompt),
            max_tokens: Some(MAX_TOKENS),
            shared_prefix: Some((1, SHARED_TOKENS)),
        }
    }

    pub(super) fn is_late(&self, latency: u64) -> bool {
        let idle = self.new_tokens * READ_US + self.generated * GENERATE_US;
        latency > idle * LATE.0 / 100 + LATE.1
    }

    fn tokens(&self) -> u64 {
        self.prompt - SHARED_TOKENS + self.generated
    }
}

/// A turn that an engine has started.
pub(super) struct StartedRun {
    pub(super) ends_at: u64,
    pub(super) preempted: bool,
}

#[derive(Clone, Copy, Debug)]
struct Program {
    id: u64,
    prompt: u64,
    turns_left: u64,
}

/// The programs, and what the engines have cached of them.
#[derive(Debug, Default)]
pub(super) struct Workload {
    /// Turns that have not ended, by ticket.
    pub(super) turns: HashMap<u64, Turn>,
    programs: Vec<Program>,
    max_turns: u64,
    next_program: u64,
    cached: HashMap<(usize, u64), u64>,
}

impl Workload {
    pub(super) fn new(max_turns: u64) -> Self {
        Self { max_turns, ..Self::default() }
    }

    /// Adds the next turn of a random program.
    pub(super) fn add_turn(&mut self, rng: &mut Random, ticket: u64) {
        while self.programs.len() < PROGRAMS {
            let turns_left = 1 + rng.below(self.max_turns);
            self.next_program += 1;
            let id = self.next_program.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            self.programs.push(Program { id, prompt: SHARED_TOKENS, turns_left });
        }
        let index = rng.index(PROGRAMS);
        let program = &mut self.programs[index];
        let new_tokens = 300 + rng.below(401);
        let generated = 50 + rng.below(MAX_TOKENS - 49);
        let prompt = program.prompt + new_tokens;
        program.prompt = prompt + generated;
        program.turns_left -= 1;
        let turn = Turn { program: program.id, prompt, generated, new_tokens, read_at: 0, percent: None };
        if program.turns_left == 0 {
            self.programs.swap_remove(index);
        }
        self.turns.insert(ticket, turn);
    }

    /// Starts a turn on an engine that holds `held` tokens. If they exceed its memory, the turn is preempted: its prompt is
    /// read again, and half of it is generated twice.
    pub(super) fn start(
        &mut self,
        engines: &EngineBehavior,
        now: u64,
        server: usize,
        ticket: u64,
        held: &mut u64,
    ) -> StartedRun {
        let turn = self.turns.get_mut(&ticket).unwrap();
        let cached = self.cached.get(&(server, turn.program)).copied().unwrap_or(SHARED_TOKENS);
        let read = turn.prompt.saturating_sub(cached) * READ_US;
        *held += turn.tokens();
        let preempted = engines.memory_tokens.is_some_and(|memory| *held + SHARED_TOKENS > memory);
        let again = if preempted { turn.prompt * READ_US + turn.generated * GENERATE_US / 2 } else { 0 };
        turn.read_at = run_until(engines, server, now, read);
        let ends_at = run_until(engines, server, turn.read_at, turn.generated * GENERATE_US + again);
        StartedRun { ends_at, preempted }
    }

    /// Ends a turn, whose prompt is cached from now on.
    pub(super) fn complete(
        &mut self,
        engines: &EngineBehavior,
        now: u64,
        server: usize,
        ticket: u64,
        held: &mut u64,
    ) {
        let turn = self.turns.get_mut(&ticket).unwrap();
        *held -= turn.tokens();
        self.cached.insert((server, turn.program), turn.prompt + turn.generated);
        let percent = (engines.contention)(server, now) * 100.0;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small number")]
        let percent = percent as u32;
        turn.percent = engines.reports_contention.then_some(percent);
    }
}

/// When work that takes `work` microseconds on the fastest idle engine ends on one that starts it now.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "microseconds of a short simulation"
)]
fn run_until(engines: &EngineBehavior, server: usize, start: u64, work: u64) -> u64 {
    let mut now = start;
    let mut left = work as f64;
    loop {
        let slowness = (engines.slowness)(server, now) * (engines.contention)(server, now);
        let step = CONTENTION_STEP_US - now % CONTENTION_STEP_US;
        let done = step as f64 / slowness;
        if done >= left {
            return now + (left * slowness) as u64;
        }
        left -= done;
        now += step;
    }
}

/// Engines of equal speed.
pub(super) fn equal(_server: usize, _now: u64) -> f64 {
    1.0
}

/// A fifth of the engines is five times slower from the 5th to the 12th second.
pub(super) fn fifth_slow(server: usize, now: u64) -> f64 {
    if server.is_multiple_of(5) && (5_000_000..12_000_000).contains(&now) { 5.0 } else { 1.0 }
}

/// Engines that take 1 to 3 times as long as the fastest, in 24 steps.
pub(super) fn uneven(server: usize, _now: u64) -> f64 {
    let step = u32::try_from(server * 7 % 24).unwrap();
    1.0 + 2.0 * f64::from(step) / 23.0
}

/// 15 in 100 of the engines are 2.5 times slower for some 600 ms at a time. Changes ten times a second.
pub(super) fn contended(server: usize, now: u64) -> f64 {
    let step = now / CONTENTION_STEP_US + 6;
    let starts = |step: u64| Random::new((server as u64) << 32 | step).below(1_000) < 27;
    if (0..6).any(|ago| starts(step - ago)) { 2.5 } else { 1.0 }
}
