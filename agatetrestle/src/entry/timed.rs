//! Times the parts of a streamed answer on their way to the caller.

use std::cell::Cell;

use crate::attempts::Caller;
use crate::clock::Clock;
use crate::clock::Timestamp;
use crate::ports::Labels;
use crate::ports::Measure;
use crate::ports::Recorder;

/// Passes parts on and records when each came; an engine sends a token a part.
pub struct Timed<'a> {
    caller: &'a dyn Caller,
    recorder: &'a dyn Recorder,
    labels: &'a Labels,
    clock: Clock,
    arrived: Timestamp,
    last: Cell<Option<Timestamp>>,
}

impl<'a> Timed<'a> {
    /// Times the parts of the answer to a call that arrived at `arrived`.
    #[must_use]
    pub fn new(
        caller: &'a dyn Caller,
        recorder: &'a dyn Recorder,
        labels: &'a Labels,
        clock: Clock,
        arrived: Timestamp,
    ) -> Self {
        Self { caller, recorder, labels, clock, arrived, last: Cell::new(None) }
    }
}

impl Caller for Timed<'_> {
    fn piece(&self, bytes: &[u8]) {
        let now = self.clock.now();
        let measure = match self.last.replace(Some(now)) {
            None => Measure::FirstToken(now.since(self.arrived)),
            Some(last) => Measure::BetweenTokens(now.since(last)),
        };
        self.recorder.record(self.labels, &measure);
        self.caller.piece(bytes);
    }

    fn broke_off(&self) {
        self.caller.broke_off();
    }
}
