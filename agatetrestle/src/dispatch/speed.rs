//! Estimate of the speed of one server, from few samples that are forgotten within seconds.

use std::time::Duration;

use crate::clock::Timestamp;

/// Half-lives of evidence on a server's speed. The short one covers faults and contention of some seconds, the long one
/// hardware that differs for good, of which an entry gets a sample every 4 s.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);
const LASTING_HALF_LIFE: Duration = Duration::from_secs(30);
/// Time without samples after which even a lasting estimate loses weight, so that a recovered server is tried again.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(5);
/// Half-life of a lasting estimate after that.
const UNSAMPLED_HALF_LIFE: Duration = Duration::from_secs(4);
/// Variance between servers, of the logarithm of their speed: what is expected of recent faults and of hardware.
const RECENT_VARIANCE: f64 = 0.5;
const LASTING_VARIANCE: f64 = 0.16;
/// Samples as which the assumption of an average speed counts at least towards a lasting estimate, so that one slow
/// response does not mark a server for long.
const MIN_LASTING_PRIOR: f64 = 2.0;
/// Age at which a reported slowdown by contention has no weight left. It changes many times a second.
const CONTENTION_TTL: Duration = Duration::from_millis(300);
/// Range of the reported percentage that is used.
pub(super) const CONTENTION_RANGE: (u32, u32) = (25, 1_000);

/// A weighted mean whose weight decays.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingMean {
    pub(super) sum: f64,
    pub(super) weight: f64,
    updated_at: Timestamp,
}

impl DecayingMean {
    pub(super) fn decay(self, now: Timestamp, half_life: Duration) -> Self {
        if self.weight <= 0.0 {
            return Self { updated_at: now, ..Self::default() };
        }
        let factor = (-now.since(self.updated_at).as_secs_f64() / half_life.as_secs_f64()).exp2();
        Self { sum: self.sum * factor, weight: self.weight * factor, updated_at: now }
    }

    fn add(&mut self, now: Timestamp, half_life: Duration, sample: f64) {
        *self = self.decay(now, half_life);
        self.sum += sample;
        self.weight += 1.0;
    }

    fn mean(self, prior: f64) -> f64 {
        self.sum / (self.weight + prior)
    }
}

/// Estimate of one server's slowness: the ratio of the time that it takes to the usual one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpeedEstimate {
    /// Logarithms of the ratios over a longer time.
    lasting: DecayingMean,
    /// What recent ratios differ from the lasting ones by.
    recent: DecayingMean,
    /// Slowdown by contention that the server last reported, and when.
    contention: Option<(f64, Timestamp)>,
}

impl SpeedEstimate {
    /// Logarithm of the slowness without contention.
    pub(super) fn log_slowness(&self, now: Timestamp, sample_variance: f64) -> f64 {
        self.lasting_part(now, sample_variance) + self.recent_part(now, sample_variance)
    }

    /// How well the server's recent speed is known, from 0 to 1.
    pub(super) fn knowledge(&self, now: Timestamp, half_life: Duration) -> f64 {
        if self.recent.weight <= 0.0 {
            return 0.0;
        }
        let age = now.since(self.recent.updated_at).as_secs_f64();
        (-age / half_life.as_secs_f64()).exp2()
    }

    pub(super) fn lasting_part(&self, now: Timestamp, sample_variance: f64) -> f64 {
        if self.lasting.weight <= 0.0 {
            return 0.0;
        }
        let prior = (sample_variance / LASTING_VARIANCE).max(MIN_LASTING_PRIOR);
        let unsampled = now.since(self.lasting.updated_at).saturating_sub(SAMPLE_INTERVAL);
        let faded = (-unsampled.as_secs_f64() / UNSAMPLED_HALF_LIFE.as_secs_f64()).exp2();
        self.lasting.decay(now, LASTING_HALF_LIFE).mean(prior) * faded
    }

    pub(super) fn recent_part(&self, now: Timestamp, sample_variance: f64) -> f64 {
        if self.recent.weight <= 0.0 {
            return 0.0;
        }
        self.recent.decay(now, RECENT_HALF_LIFE).mean(sample_variance / RECENT_VARIANCE)
    }

    /// Factor by which contention slows the server down, as far as its last report is still true.
    pub(super) fn contention(&self, now: Timestamp) -> f64 {
        self.contention.map_or(1.0, |(factor, reported_at)| {
            let age = now.since(reported_at).as_secs_f64() / CONTENTION_TTL.as_secs_f64();
            1.0 + (factor - 1.0) * (1.0 - age).max(0.0)
        })
    }

    /// Records the percentage of the usual time that work takes on the server at the moment.
    pub(super) fn record_contention(&mut self, now: Timestamp, percent: u32) {
        let percent = percent.clamp(CONTENTION_RANGE.0, CONTENTION_RANGE.1);
        self.contention = Some((f64::from(percent) / 100.0, now));
    }

    /// Records a sample. A deviation up to `explained` may be due to contention that ended before the server reported its load.
    pub(super) fn record(&mut self, now: Timestamp, sample: f64, sample_variance: f64, explained: f64) {
        self.lasting.add(now, LASTING_HALF_LIFE, sample);
        let residual = sample - self.lasting_part(now, sample_variance);
        let residual = residual - residual.clamp(-explained, explained);
        self.recent.add(now, RECENT_HALF_LIFE, residual);
    }

    /// Whether there are samples to compare the next one with.
    pub(super) fn has_samples(&self) -> bool {
        self.lasting.weight > 0.5
    }

    /// Mean and weight of the samples, for a comparison of servers.
    pub(super) fn evidence(&self, now: Timestamp) -> (f64, f64) {
        let lasting = self.lasting.decay(now, LASTING_HALF_LIFE);
        (lasting.mean(f64::MIN_POSITIVE), lasting.weight)
    }
}
