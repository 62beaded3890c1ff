//! Queue of simulation events, ordered deterministically.

use std::collections::BTreeMap;

use agatetrestle::scheduler::event::Event;
use agatetrestle::scheduler::event::Failure;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum SimEvent {
    /// A program submits its next call.
    Submit(usize),
    /// The batch of an engine changes. Ignored if the engine was rescheduled after this event was queued.
    EngineWake {
        /// Index of the engine.
        engine: usize,
        /// Wake generation of the engine when the event was queued.
        generation: u64,
    },
    /// A service answers a call.
    ServiceReply(u64),
    /// An event reaches the scheduler.
    Deliver(Event),
    /// The failure of an attempt is detected.
    AttemptFailed {
        /// Id of the call.
        call: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Kind of failure.
        failure: Failure,
    },
    /// Engines report their load.
    LoadReport,
    /// The scheduler's clock ticks.
    SchedulerTick,
    /// The fault at this index takes effect.
    Fault(usize),
    /// Checks that the cache of a program is released if it made no further call.
    CheckReleased {
        /// Index of the program.
        program: usize,
        /// Calls that the program had made when the check was scheduled.
        calls_made: usize,
    },
}

/// Events by time; those of the same microsecond keep the order in which they were scheduled.
#[derive(Debug, Default)]
pub struct EventQueue {
    entries: BTreeMap<(u64, u64), SimEvent>,
    next_seq: u64,
}

impl EventQueue {
    /// Schedules an event at a virtual time in microseconds.
    pub fn schedule(&mut self, at: u64, event: SimEvent) {
        self.next_seq += 1;
        self.entries.insert((at, self.next_seq), event);
    }

    /// Removes and returns the earliest event with its time.
    pub fn pop(&mut self) -> Option<(u64, SimEvent)> {
        self.entries.pop_first().map(|((at, _), event)| (at, event))
    }
}
