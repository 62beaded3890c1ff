//! What will happen in virtual time, in an order that is the same on every run.

use std::collections::BTreeMap;

use agatetrestle::scheduler::event::Event;
use agatetrestle::scheduler::event::Failure;

/// Something that happens in a replay.
#[derive(Clone, Debug)]
pub enum Happening {
    /// A program makes its next call.
    Arrive(usize),
    /// The batch of an engine changes, unless it was planned anew since.
    Wake {
        /// The engine.
        engine: usize,
        /// Count of plans of that engine.
        plan: u64,
    },
    /// A service answers.
    Served(u64),
    /// The scheduler learns something.
    Tell(Event),
    /// An attempt turns out to have failed.
    Fails {
        /// The call.
        call: u64,
        /// Which attempt at it.
        attempt: u32,
        /// How.
        failure: Failure,
    },
    /// Engines report their load.
    Report,
    /// The scheduler's clock ticks.
    Tick,
    /// A fault of the list sets in.
    Fault(usize),
    /// A program made no call for its keepalive and a margin.
    CheckGone {
        /// The program.
        program: usize,
        /// Calls it had made when the check was set.
        made: usize,
    },
}

/// Happenings by time; those of the same microsecond keep the order in which they were added.
#[derive(Debug, Default)]
pub struct Agenda {
    entries: BTreeMap<(u64, u64), Happening>,
    sequence: u64,
}

impl Agenda {
    /// Adds a happening.
    pub fn add(&mut self, at: u64, happening: Happening) {
        self.sequence += 1;
        self.entries.insert((at, self.sequence), happening);
    }

    /// Takes the next one.
    pub fn take(&mut self) -> Option<(u64, Happening)> {
        self.entries.pop_first().map(|((at, _), happening)| (at, happening))
    }
}
