//! What entries report of one server: how long turns take there, and whether it fails them.
//!
//! The link of one entry may be partitioned, or its figures wrong. Its evidence therefore counts at most a third, and older
//! evidence less than newer.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::ids::NodeId;

/// Time constant with which a sample of the speed loses weight after the begin of its turn. With 2 s, servers that are slowed
/// down for 600 ms at a time are avoided mostly after they have recovered, which is worse than to ignore speeds.
const SPEED_MEMORY: Duration = Duration::from_millis(700);
/// Samples of the speed that are kept; at the usual rate they cover about a second.
const MAX_SAMPLES: usize = 12;
/// Weight of the usual speed of the server, in samples.
const USUAL_WEIGHT: f64 = 1.5;
/// Bounds of a sample. A turn whose caller reads slowly takes long at no fault of the server, and a server that is four times
/// slower is avoided as one that is eight times slower.
const RATIO_RANGE: (f64, f64) = (0.1, 4.0);
/// Bounds of a sample for the usual speed, so that some slow seconds change it little.
const USUAL_RANGE: (f64, f64) = (0.3, 2.5);
/// Weight of one sample in the usual speed once there are many.
const MIN_USUAL_GAIN: f64 = 0.02;
/// Weight of the assumption of average speed, in samples.
const USUAL_PRIOR: f64 = 6.0;
/// Time constant with which the usual speed returns to the average without samples.
const USUAL_MEMORY: Duration = Duration::from_mins(1);
/// Age of an open turn, relative to the usual time on the server, from which it counts as a sample.
const OVERDUE_RATIO: f64 = 1.5;
/// Time constant with which a failure loses weight.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);
/// Entries whose failures suffice to avoid a server as much as possible.
const ENTRIES_FOR_FULL_SUSPICION: f64 = 3.0;
/// Expected times that a turn loses on a server that fails: what it spent there, and its repetition by the caller.
const FAILURE_COST: f64 = 4.0;
/// Entries whose failures are kept, more than suffice for full suspicion.
const MAX_FAILING_ENTRIES: usize = 6;

/// A relative run time that an entry reported.
#[derive(Clone, Copy, Debug)]
struct Sample {
    entry: NodeId,
    ratio: f64,
    at: Timestamp,
}

/// An open turn with its age relative to the time it should take.
#[derive(Clone, Copy, Debug)]
pub(super) struct Overdue {
    pub(super) entry: NodeId,
    pub(super) ratio: f64,
}

/// Evidence on one server.
#[derive(Debug)]
pub(super) struct Evidence {
    samples: VecDeque<Sample>,
    /// Speed over a long time, which differs between kinds of machines.
    usual: f64,
    usual_samples: f64,
    usual_at: Timestamp,
    /// The last failure that each entry reported.
    failures: Vec<(NodeId, Timestamp)>,
}

impl Default for Evidence {
    fn default() -> Self {
        Self {
            samples: VecDeque::new(),
            usual: 1.0,
            usual_samples: 0.0,
            usual_at: Timestamp(0),
            failures: Vec::new(),
        }
    }
}

impl Evidence {
    /// Records the time that a turn took, relative to a server of average speed. It tells the speed as of the turn's begin.
    pub(super) fn record_speed(&mut self, begun: Timestamp, entry: NodeId, ratio: f64) {
        if !ratio.is_finite() {
            return;
        }
        let (low, high) = USUAL_RANGE;
        let gain = (1.0 / (USUAL_PRIOR + self.usual_samples)).max(MIN_USUAL_GAIN) * self.share(entry);
        let usual = self.usual(begun);
        self.usual = usual + gain * (ratio.clamp(low, high) - usual);
        self.usual_samples += 1.0;
        self.usual_at = self.usual_at.max(begun);
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        let (low, high) = RATIO_RANGE;
        self.samples.push_back(Sample { entry, ratio: ratio.clamp(low, high), at: begun });
    }

    /// Records that the server did not complete a turn.
    pub(super) fn record_failure(&mut self, now: Timestamp, entry: NodeId) {
        self.failures.retain(|(known, _)| *known != entry);
        if self.failures.len() >= MAX_FAILING_ENTRIES {
            self.failures.remove(0);
        }
        self.failures.push((entry, now));
    }

    /// Time that a turn takes relative to a server of average speed. Open turns count once they are overdue.
    pub(super) fn speed(&self, now: Timestamp, open: impl Iterator<Item = Overdue>) -> f64 {
        let usual = self.usual(now);
        let recent = self.samples.iter();
        let recent =
            recent.map(|sample| (sample.entry, sample.ratio, decay(now.since(sample.at), SPEED_MEMORY)));
        let overdue = open
            .filter(|turn| turn.ratio > OVERDUE_RATIO * usual)
            .map(|turn| (turn.entry, turn.ratio.min(RATIO_RANGE.1), 1.0));
        let evidence: Vec<(NodeId, f64, f64)> = recent.chain(overdue).collect();
        let total = USUAL_WEIGHT + evidence.iter().map(|(_, _, weight)| weight).sum::<f64>();
        let (mut sum, mut weights) = (USUAL_WEIGHT * usual, USUAL_WEIGHT);
        for (entry, ratio, weight) in &evidence {
            let same = evidence.iter().filter(|(other, ..)| other == entry);
            let of_entry = same.map(|(_, _, weight)| weight).sum::<f64>();
            let allowed = part_allowed(of_entry, total - of_entry);
            sum += weight * allowed * ratio;
            weights += weight * allowed;
        }
        sum / weights
    }

    /// Factor for the risk that the server fails a turn.
    pub(super) fn failure_factor(&self, now: Timestamp) -> f64 {
        let weights = self.failures.iter().map(|(_, at)| decay(now.since(*at), FAILURE_MEMORY));
        let suspicion = (weights.sum::<f64>() / ENTRIES_FOR_FULL_SUSPICION).min(1.0);
        1.0 + FAILURE_COST * suspicion * suspicion
    }

    /// Part of a further sample of an entry that counts for the usual speed.
    fn share(&self, entry: NodeId) -> f64 {
        let weights = |same: bool| {
            let samples = self.samples.iter().filter(move |sample| (sample.entry == entry) == same);
            samples.map(|_| 1.0).sum::<f64>()
        };
        part_allowed(weights(true) + 1.0, weights(false) + USUAL_WEIGHT)
    }

    fn usual(&self, now: Timestamp) -> f64 {
        1.0 + (self.usual - 1.0) * decay(now.since(self.usual_at), USUAL_MEMORY)
    }
}

/// Part of the evidence of one entry that counts, so that it is at most a third of the whole: half of what the rest weighs.
fn part_allowed(of_entry: f64, of_others: f64) -> f64 {
    (of_others / 2.0 / of_entry).min(1.0)
}

/// Weight of something after a time.
pub(super) fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
