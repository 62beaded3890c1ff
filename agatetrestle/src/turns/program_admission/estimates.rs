//! What the programs of a route need, learnt from those that run and those that ended.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::turns::program_admission::programs::IDLE_TIMEOUT;

/// Time constant of all estimates. Longer than most programs last, since programs that began together need fewer slots at
/// first than later.
pub(super) const TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Slots that a program is assumed to need before any measurement, and the weight of that assumption in programs.
const PRIOR_SLOTS_PER_PROGRAM: f64 = 0.5;
const PRIOR_PROGRAMS: f64 = 8.0;
/// Weight of the assumption that turns spend all their time on a server, in seconds.
const PRIOR_TURN_SECONDS: f64 = 2.0;
/// Duration of a program relative to the time to its deadline at the start, before any measurement. Deadlines are 1.2 to 1.5
/// times the duration on idle servers, plus 200 to 400 ms.
const PRIOR_DURATION_RATIO: f64 = 0.7;
/// Slot time of a program relative to the time to its deadline at the start, before any measurement.
const PRIOR_SLOT_RATIO: f64 = 0.35;
/// Weight of these two assumptions, in programs.
const PRIOR_ENDED: f64 = 4.0;
/// Duration of a program before any measurement, for those without a deadline.
const PRIOR_DURATION_SECONDS: f64 = 3.0;

/// Programs that must have ended before their slots are derived from them.
const MIN_ENDED: f64 = 4.0;

/// Factor by which an estimate decays over a time.
pub(super) fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}

/// A sum whose terms decay, which estimates their rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingSum {
    value: f64,
    updated: Timestamp,
}

impl DecayingSum {
    /// Adds an amount as of a time, which may be before that of the last one.
    pub(super) fn add(&mut self, time: Timestamp, amount: f64) {
        let latest = self.updated.max(time);
        self.value = self.value * decay(latest.since(self.updated)) + amount * decay(latest.since(time));
        self.updated = latest;
    }

    /// Mean of what was added in a second.
    pub(super) fn per_second(&self, now: Timestamp) -> f64 {
        self.value * decay(now.since(self.updated)) / TIME_CONSTANT.as_secs_f64()
    }
}

/// A program that ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedProgram {
    /// From its first begin to its last finish.
    pub(super) duration: Duration,
    /// Time that servers spent on its turns.
    pub(super) slot_time: Duration,
    /// Time to its deadline at its start.
    pub(super) finish_in: Option<Duration>,
}

/// Estimates for one route, whose programs need more similar numbers of slots than programs of different routes.
#[derive(Debug, Default)]
pub(super) struct RouteEstimate {
    pub(super) programs: u32,
    pub(super) open_turns: u32,
    mean_open_turns: f64,
    mean_programs: f64,
    /// Decaying sums over programs that ended.
    ended: f64,
    seconds: f64,
    slot_seconds: f64,
    ended_with_deadline: f64,
    duration_ratios: f64,
    slot_ratios: f64,
}

impl RouteEstimate {
    /// Slots that one active program needs, if turns spend a part of their time on servers. This is the mean of two estimates:
    /// the turns that are open now, too few while programs that began together are young, and the slot time of programs that
    /// ended, which is late when servers become slow.
    pub(super) fn slots_per_program(&self, server_share: f64) -> f64 {
        let open_turns = (self.mean_open_turns + PRIOR_SLOTS_PER_PROGRAM * PRIOR_PROGRAMS)
            / (self.mean_programs + PRIOR_PROGRAMS);
        if self.ended < MIN_ENDED {
            return open_turns * server_share;
        }
        let counted_seconds = self.seconds + self.ended * IDLE_TIMEOUT.as_secs_f64();
        f64::midpoint(self.slot_seconds / counted_seconds, open_turns * server_share)
    }

    /// Time that a program is expected to take at the present speed.
    pub(super) fn duration(&self, finish_in: Option<Duration>) -> Duration {
        match finish_in {
            Some(finish_in) => finish_in.mul_f64(
                (self.duration_ratios + PRIOR_DURATION_RATIO * PRIOR_ENDED)
                    / (self.ended_with_deadline + PRIOR_ENDED),
            ),
            None => Duration::from_secs_f64(self.mean_seconds()),
        }
    }

    /// Seconds of a slot that a program is expected to take.
    pub(super) fn slot_seconds(&self, finish_in: Option<Duration>) -> f64 {
        if let Some(finish_in) = finish_in {
            let ratio = (self.slot_ratios + PRIOR_SLOT_RATIO * PRIOR_ENDED)
                / (self.ended_with_deadline + PRIOR_ENDED);
            return finish_in.as_secs_f64() * ratio;
        }
        let prior = PRIOR_DURATION_SECONDS * PRIOR_SLOTS_PER_PROGRAM;
        (self.slot_seconds + prior * PRIOR_ENDED) / (self.ended + PRIOR_ENDED)
    }

    /// Mean duration of a program.
    pub(super) fn mean_seconds(&self) -> f64 {
        (self.seconds + PRIOR_DURATION_SECONDS * PRIOR_ENDED) / (self.ended + PRIOR_ENDED)
    }

    pub(super) fn record(&mut self, program: EndedProgram) {
        let (seconds, slot_seconds) = (program.duration.as_secs_f64(), program.slot_time.as_secs_f64());
        self.ended += 1.0;
        self.seconds += seconds;
        self.slot_seconds += slot_seconds;
        if let Some(finish_in) = program.finish_in.filter(|finish_in| !finish_in.is_zero()) {
            self.ended_with_deadline += 1.0;
            self.duration_ratios += seconds / finish_in.as_secs_f64();
            self.slot_ratios += slot_seconds / finish_in.as_secs_f64();
        }
    }

    /// Takes the present counts as the means, after they were rebuilt from the log.
    pub(super) fn seed_means(&mut self) {
        self.mean_open_turns = self.open_turns.into();
        self.mean_programs = self.programs.into();
    }

    pub(super) fn advance(&mut self, decay: f64) {
        let mean = |mean: f64, value: u32| mean * decay + f64::from(value) * (1.0 - decay);
        self.mean_open_turns = mean(self.mean_open_turns, self.open_turns);
        self.mean_programs = mean(self.mean_programs, self.programs);
        self.ended *= decay;
        self.seconds *= decay;
        self.slot_seconds *= decay;
        self.ended_with_deadline *= decay;
        self.duration_ratios *= decay;
        self.slot_ratios *= decay;
    }
}

/// Part of the time of open turns that is spent on servers, over completed turns.
#[derive(Debug, Default)]
pub(super) struct ServerShare {
    turn_seconds: f64,
    server_seconds: f64,
}

impl ServerShare {
    pub(super) fn value(&self) -> f64 {
        let share = (self.server_seconds + PRIOR_TURN_SECONDS) / (self.turn_seconds + PRIOR_TURN_SECONDS);
        share.min(1.0)
    }

    pub(super) fn record(&mut self, open: Duration, on_server: Duration) {
        self.turn_seconds += open.as_secs_f64();
        self.server_seconds += on_server.as_secs_f64();
    }

    pub(super) fn advance(&mut self, decay: f64) {
        self.turn_seconds *= decay;
        self.server_seconds *= decay;
    }
}
