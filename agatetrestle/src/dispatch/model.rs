//! Performance model of the servers of a service: how fast each one works, and how long a request is expected to take.
//!
//! An entry of a large deployment sends a request to one given server every few seconds only, so estimates have to be
//! useful after one sample and are forgotten within seconds. See docs/design/019-performance-model-of-servers.md.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::RequestProfile;
use crate::dispatch::RunProgress;
use crate::dispatch::speed::CONTENTION_RANGE;
use crate::dispatch::speed::DecayingMean;
use crate::dispatch::speed::SpeedEstimate;

/// Time to read one prompt token that is not cached, in microseconds. Engines read 1,000 tokens in 8 to 12 ms.
pub(super) const READ_TOKEN_US: f64 = 10.0;
/// Half-life of the knowledge that a server is not slow. Without it a server counts like any other of its service.
const KNOWN_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Half-life of a fault that slows a server down, since most last some seconds.
const FAULT_HALF_LIFE: Duration = Duration::from_secs(4);
/// Half-life of the weight of a server in the mean of its service. Slow servers get few requests, so it is longer.
const COUNTED_HALF_LIFE: Duration = Duration::from_secs(4);
/// Standard errors from which on the slowness of a server is significant.
const SIGNIFICANT_ERRORS: f64 = 1.5;
/// Slowness of a server, and the number of such servers, from which on speeds differ clearly without further statistics.
const VERY_SLOW: f64 = 2.5;
const MIN_VERY_SLOW_SERVERS: usize = 2;
/// Deviation from which on an estimate of recent slowness is compared with the next sample, as a logarithm. Smaller ones are
/// mostly noise.
const NOTABLE_DEVIATION: f64 = 0.25;
/// Weight of the assumption that recent slowness persists, as a sum of squared deviations.
const PERSISTENCE_PRIOR: f64 = 0.1;
/// Half-life of the evidence on persistence.
const PERSISTENCE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Multiple of its longest usual time from which on a request in flight is evidence of a slow server.
const OVERDUE_RATIO: f64 = 1.3;
/// Bounds of the variance of one sample's logarithm. Services whose requests differ more tell little by one sample.
const SAMPLE_VARIANCE_RANGE: (f64, f64) = (0.02, 2.0);
const INITIAL_SAMPLE_VARIANCE: f64 = 0.2;
/// A residual counts up to this multiple of the standard deviation towards the variance, so that a fault raises it little.
const MAX_RESIDUAL_DEVIATIONS: f64 = 2.5;
/// Samples over which the service's own figures are averaged.
const AVERAGED_SAMPLES: f64 = 64.0;
/// Largest step of the service's usual time for one sample, as a logarithm. With it the figure follows the median, so
/// that a slow fifth of the servers does not shift what counts as usual.
const MAX_USUAL_STEP: f64 = 0.3;
/// Range of a sample's logarithm.
const MAX_SAMPLE: f64 = 2.5;
/// Half-life of the largest reported slowdown.
const CONTENTION_HALF_LIFE: Duration = Duration::from_secs(10);
/// Generated tokens from which on the pace of a stream is a sample of its own, without the wait for its first byte.
const MIN_PACED_TOKENS: u64 = 8;
/// Time for which the model stays on after the last reason for it.
const ACTIVE_TIME: Duration = Duration::from_secs(20);
/// Interval between comparisons of the servers' speeds.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(250);
/// Ratio of the speeds of the fastest and slowest tenth of the servers above which they differ clearly.
const UNEVEN_RATIO: f64 = 1.5;
/// Variance between servers, as a multiple of what equal servers would show, above which the difference is significant.
const UNEVEN_VARIANCE_RATIO: f64 = 3.0;
/// Servers that have to be compared.
const MIN_COMPARED_SERVERS: usize = 4;
/// Routes of a service whose usual time is known; bounds the memory.
const MAX_ROUTES: usize = 64;

/// A figure that is averaged over [`AVERAGED_SAMPLES`], and over fewer samples at first.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    value: f64,
    samples: f64,
}

impl Average {
    fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(AVERAGED_SAMPLES);
        self.value += (sample - self.value) / self.samples;
    }

    /// Adds the logarithm of a time, by a bounded step once there are some samples.
    fn add_robust(&mut self, sample: f64) {
        let is_first = self.samples < 1.0;
        self.samples = (self.samples + 1.0).min(AVERAGED_SAMPLES);
        let step = sample - self.value;
        let bounded = step.clamp(-MAX_USUAL_STEP, MAX_USUAL_STEP);
        // A robust step of the initial samples is larger, so that the first one may be an outlier.
        self.value += if is_first { step } else { bounded * (2.0 / self.samples.sqrt()).min(1.0) / 4.0 };
    }

    fn get(self) -> Option<f64> {
        (self.samples >= 1.0).then_some(self.value)
    }
}

/// What is usual for the requests of one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceModel {
    /// Tokens that one server holds in its memory, if the table declares it.
    pub(super) memory_tokens: Option<u64>,
    /// Logarithm of the microseconds for each generated token.
    token_time: Average,
    /// Logarithm of the microseconds of the requests of each route.
    route_times: HashMap<u64, Average>,
    /// Share of the permitted tokens that a request generates.
    generated_ratio: Average,
    /// Tokens that a request holds in a server's memory.
    held_tokens: Average,
    /// Variance of the logarithm of a sample, around the estimate of its server.
    sample_variance: f64,
    /// How much of a server's recent slowness its next sample still shows: products as the sum, squares as the weight.
    persistence: DecayingMean,
    /// Mean factor by which servers of the service were slower recently, which applies to those of which nothing is known.
    mean_recent: f64,
    contention_reported_at: Option<Timestamp>,
    /// Logarithm of the largest recent slowdown by contention, and when it was reported.
    largest_contention: (f64, Timestamp),
    uneven_at: Option<Timestamp>,
    compared_at: Timestamp,
}

impl Default for ServiceModel {
    fn default() -> Self {
        Self {
            memory_tokens: None,
            token_time: Average::default(),
            route_times: HashMap::new(),
            generated_ratio: Average::default(),
            held_tokens: Average::default(),
            sample_variance: INITIAL_SAMPLE_VARIANCE,
            persistence: DecayingMean::default(),
            mean_recent: 1.0,
            contention_reported_at: None,
            largest_contention: (0.0, Timestamp(0)),
            uneven_at: None,
            compared_at: Timestamp(0),
        }
    }
}

impl ServiceModel {
    /// Whether the service gives a reason for choices by the model: its table declares the memory of engines, its servers
    /// report contention, or their speeds differ clearly.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        let uneven = self.uneven_at.is_some_and(|at| now.since(at) < ACTIVE_TIME);
        self.memory_tokens.is_some() || uneven || self.reports_contention(now)
    }

    /// Whether servers of the service reported recently how long work takes on their machines.
    pub(super) fn reports_contention(&self, now: Timestamp) -> bool {
        self.contention_reported_at.is_some_and(|at| now.since(at) < ACTIVE_TIME)
    }

    /// Factor by which a server is slower than usual ones, without the contention that it reports.
    pub(super) fn slowness(&self, now: Timestamp, server: &SpeedEstimate) -> f64 {
        let known = server.knowledge(now, KNOWN_HALF_LIFE);
        let recent = self.recent(now, server);
        let expected = recent * known + self.mean_recent * (1.0 - known);
        self.lasting_slowness(now, server) * expected.max(recent)
    }

    /// Factor by which a server is slower than usual ones for a longer time.
    fn lasting_slowness(&self, now: Timestamp, server: &SpeedEstimate) -> f64 {
        let slowness = server.lasting_part(now, self.sample_variance);
        if slowness.abs() < self.significant_deviation(now, server) { 1.0 } else { slowness.exp() }
    }

    /// Logarithm of the slowness from which on a server differs significantly from usual ones.
    fn significant_deviation(&self, now: Timestamp, server: &SpeedEstimate) -> f64 {
        let weight = server.evidence(now).1;
        (self.sample_variance / (weight + 1.0)).sqrt() * SIGNIFICANT_ERRORS
    }

    /// Factor by which a server has been slower recently than it usually is.
    fn recent(&self, now: Timestamp, server: &SpeedEstimate) -> f64 {
        let DecayingMean { sum, weight, .. } = self.persistence.decay(now, PERSISTENCE_HALF_LIFE);
        let persistence = ((sum + PERSISTENCE_PRIOR) / (weight + PERSISTENCE_PRIOR)).clamp(0.0, 1.0);
        let slowness = (server.recent_part(now, self.sample_variance) * persistence).exp();
        1.0 + (slowness - 1.0) * server.knowledge(now, FAULT_HALF_LIFE)
    }

    /// Factor by which a server is at least slower, by the age of a request in flight there.
    pub(super) fn overdue(&self, age: Duration, profile: &RequestProfile, fallback: Duration) -> f64 {
        let most = profile.max_tokens.zip(self.token_time.get()).map(|(n, time)| to_f64(n) * time.exp());
        let usual = most.unwrap_or(fallback.as_secs_f64() * 2e6)
            + READ_TOKEN_US * to_f64(profile.prompt_tokens.unwrap_or(0));
        let ratio = age.as_secs_f64() * 1e6 / usual.max(1.0);
        if ratio < OVERDUE_RATIO { 1.0 } else { ratio }
    }

    /// Records that a server reported contention.
    pub(super) fn record_contention(&mut self, now: Timestamp, percent: u32) {
        self.contention_reported_at = Some(now);
        let slowdown = (f64::from(percent.clamp(100, CONTENTION_RANGE.1)) / 100.0).ln();
        let (largest, reported_at) = self.largest_contention;
        let age = now.since(reported_at).as_secs_f64() / CONTENTION_HALF_LIFE.as_secs_f64();
        if slowdown > largest * (-age).exp2() {
            self.largest_contention = (slowdown, now);
        }
    }

    /// Tokens that a request is expected to generate.
    fn generated(&self, profile: &RequestProfile) -> Option<f64> {
        let most = to_f64(profile.max_tokens?);
        Some(most * self.generated_ratio.get().unwrap_or(1.0))
    }

    /// Tokens that a request is expected to hold in the memory of its server, beyond a prefix that it shares.
    pub(super) fn own_tokens(&self, profile: &RequestProfile) -> f64 {
        let shared = profile.shared_prefix.map_or(0, |(_, tokens)| tokens);
        let prompt = profile.prompt_tokens.unwrap_or(0).saturating_sub(shared);
        to_f64(prompt) + self.generated(profile).unwrap_or(0.0)
    }

    /// Tokens that a request of another node holds, by this node's own requests.
    pub(super) fn usual_tokens(&self) -> f64 {
        self.held_tokens.get().unwrap_or(0.0)
    }

    /// Microseconds that a usual server takes for a request, without reading its prompt; `fallback` if nothing is known of
    /// requests like it.
    pub(super) fn run_time_us(&self, profile: &RequestProfile, fallback: Duration) -> f64 {
        let by_tokens = self.generated(profile).zip(self.token_time.get()).map(|(n, time)| n * time.exp());
        let by_route = || self.route_times.get(&profile.route).and_then(|time| time.get()).map(f64::exp);
        by_tokens.or_else(by_route).unwrap_or(fallback.as_secs_f64() * 1e6)
    }

    /// Records a complete response.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        server: &mut SpeedEstimate,
        profile: &RequestProfile,
        elapsed: Duration,
        progress: RunProgress,
    ) {
        let Some(sample) = self.sample(profile, elapsed, progress) else {
            return;
        };
        let sample = (sample - server.contention(now).ln()).clamp(-MAX_SAMPLE, MAX_SAMPLE);
        let deviation = self.sample_variance.sqrt() * MAX_RESIDUAL_DEVIATIONS;
        if server.has_samples() {
            let residual = sample - server.log_slowness(now, self.sample_variance);
            let square = residual.clamp(-deviation, deviation).powi(2);
            let variance = self.sample_variance + (square - self.sample_variance) / AVERAGED_SAMPLES;
            self.sample_variance = variance.clamp(SAMPLE_VARIANCE_RANGE.0, SAMPLE_VARIANCE_RANGE.1);
            let recent = server.recent_part(now, self.sample_variance);
            if recent.abs() > NOTABLE_DEVIATION {
                let shown = sample - server.lasting_part(now, self.sample_variance);
                self.persistence = self.persistence.decay(now, PERSISTENCE_HALF_LIFE);
                self.persistence.sum += recent * shown;
                self.persistence.weight += recent * recent;
            }
        }
        let (largest, reported_at) = self.largest_contention;
        let age = now.since(reported_at).as_secs_f64() / CONTENTION_HALF_LIFE.as_secs_f64();
        server.record(now, sample, self.sample_variance, largest * (-age).exp2());
    }

    /// Logarithm of the ratio of the observed time to the usual one, which is updated.
    fn sample(&mut self, profile: &RequestProfile, elapsed: Duration, progress: RunProgress) -> Option<f64> {
        let generated = to_f64(progress.generated_tokens);
        if let Some(most) = profile.max_tokens.filter(|most| *most > 0 && progress.generated_tokens > 0) {
            self.generated_ratio.add((generated / to_f64(most)).min(1.0));
            self.held_tokens.add(self.own_tokens(profile));
        }
        if progress.generated_tokens >= MIN_PACED_TOKENS
            && let Some(first_byte) = progress.first_byte
        {
            let pace = log_us(elapsed.saturating_sub(first_byte)) - generated.ln();
            let usual = self.token_time.get().unwrap_or(pace);
            self.token_time.add_robust(pace);
            return Some(pace - usual);
        }
        if self.route_times.len() >= MAX_ROUTES && !self.route_times.contains_key(&profile.route) {
            return None;
        }
        let time = log_us(elapsed);
        let average = self.route_times.entry(profile.route).or_default();
        let usual = average.get().unwrap_or(time);
        average.add_robust(time);
        Some(time - usual)
    }

    /// Whether a comparison of the servers is due; starts the next interval if so.
    pub(super) fn is_comparison_due(&mut self, now: Timestamp) -> bool {
        let due = now.since(self.compared_at) >= COMPARISON_INTERVAL;
        if due {
            self.compared_at = now;
        }
        due
    }

    /// Compares the servers, and switches the model on for some time if their speeds differ clearly.
    /// Each server comes with the factor by which a request in flight shows it to be slower at least.
    pub(super) fn compare<'a>(
        &mut self,
        now: Timestamp,
        servers: impl Iterator<Item = (&'a SpeedEstimate, f64)>,
    ) {
        let variance = self.sample_variance;
        let mut slowness = Vec::new();
        let (mut total, mut sum, mut squares) = (0.0, 0.0, 0.0);
        let (mut known, mut recent) = (0.0, 0.0);
        let mut very_slow = 0;
        for (server, overdue) in servers {
            let (mean, weight) = server.evidence(now);
            very_slow += usize::from(self.slowness(now, server).max(overdue) > VERY_SLOW);
            if weight < 0.5 {
                continue;
            }
            let counted = server.knowledge(now, COUNTED_HALF_LIFE);
            known += counted;
            recent += counted * self.recent(now, server).max(overdue);
            slowness.push(server.log_slowness(now, variance));
            total += weight;
            sum += weight * mean;
            squares += weight * mean * mean;
        }
        if slowness.len() < MIN_COMPARED_SERVERS {
            return;
        }
        self.mean_recent = recent / known.max(f64::MIN_POSITIVE);
        let between = (squares - sum * sum / total) / to_f64(slowness.len() as u64 - 1);
        slowness.sort_unstable_by(f64::total_cmp);
        let tenth = slowness.len() / 10;
        let spread = slowness[slowness.len() - 1 - tenth] - slowness[tenth];
        if very_slow >= MIN_VERY_SLOW_SERVERS {
            self.uneven_at = Some(now);
        }
        if between > variance * UNEVEN_VARIANCE_RATIO && spread > UNEVEN_RATIO.ln() {
            self.uneven_at = Some(now);
        }
    }
}

fn log_us(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e6).max(1.0).ln()
}

#[expect(clippy::cast_precision_loss, reason = "counts of tokens and servers are far below 2^52")]
pub(super) fn to_f64(number: u64) -> f64 {
    number as f64
}
