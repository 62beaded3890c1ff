//! Parameters of the scheduler that are not declared.

use std::time::Duration;

use agatetrestle_config::units::DurationText;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Parameters of the scheduler; see docs/MEASUREMENTS.md.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SchedulerConfig {
    /// Estimated time to compute a prompt token, in microseconds.
    pub prefill_per_token: u64,
    /// Estimated time per generated token in an empty batch, in microseconds.
    pub step_base: u64,
    /// Additional time per generated token for each request in the batch, in microseconds.
    pub step_per_request: u64,
    /// Ratio of the cost of computing a prompt token to the cost of importing it.
    pub import_divisor: u64,
    /// Delay of each other request in a batch, as a percentage of the time of a prompt.
    pub externality: u64,
    /// Increase of the rank for each microsecond of attained service.
    pub attained_factor: u64,
    /// Increase of the rank for each microsecond of expected remaining service.
    pub rest_factor: u64,
    /// Decrease of the rank, as a percentage of the program's total queue time.
    pub wait_credit: u64,
    /// Maximum increase of the rank by service, which bounds how long younger calls overtake a call.
    #[serde_as(as = "DurationText")]
    pub aging_bound: Duration,
    /// Decrease of the rank for each level of class priority.
    #[serde_as(as = "DurationText")]
    pub priority_step: Duration,
    /// Engine time by which a partner may exceed its share while others wait.
    #[serde_as(as = "DurationText")]
    pub share_slack: Duration,
    /// Engine time by which a team may exceed its weight while other teams of the partner wait.
    #[serde_as(as = "DurationText")]
    pub team_slack: Duration,
    /// Multiple of the mean service of its class above which a program is an outlier.
    pub outlier_factor: u64,
    /// Maximum calls of outliers in service for every ten engines of a pool.
    pub outliers_per_ten: u64,
    /// Calls of other programs per engine below which outliers are not limited.
    pub quiet_calls: u64,
    /// Usable part of an engine's prefix cache, in percent.
    pub cache_fill: u64,
    /// Tokens that admitted programs may hold, in percent of the engines' prefix caches; above 100 they rely
    /// on exports.
    pub door_fill: u64,
    /// Percentage of the tokens of `door_fill` up to which partners may exceed their shares.
    pub door_lent: u64,
    /// Percentile of past pauses that predicts the end of a pause.
    pub return_percent: u32,
    /// Time after submission up to which a call waits for the engine that caches its prefix.
    #[serde_as(as = "DurationText")]
    pub hold_bound: Duration,
    /// Maximum waiting calls that a dispatch pass skips.
    pub pass_skips: usize,
    /// Maximum waiting calls of a pool.
    pub queue_limit: usize,
    /// Maximum attempts of a call.
    pub max_attempts: u32,
    /// Retries per hundred successful calls.
    pub retry_percent: u64,
    /// Delay before a retry, without jitter.
    #[serde_as(as = "DurationText")]
    pub retry_delay: Duration,
    /// Minimum delay after which a refused caller may retry.
    #[serde_as(as = "DurationText")]
    pub retry_after: Duration,
    /// Interval of ticks.
    #[serde_as(as = "DurationText")]
    pub tick: Duration,
    /// Consecutive repetitions of a prompt after which calls of a program are refused.
    pub repeat_limit: u32,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            prefill_per_token: 60,
            step_base: 15_000,
            step_per_request: 300,
            import_divisor: 4,
            externality: 75,
            attained_factor: 20,
            rest_factor: 20,
            wait_credit: 100,
            aging_bound: Duration::from_mins(10),
            priority_step: Duration::from_secs(50),
            share_slack: Duration::from_secs(10),
            team_slack: Duration::from_mins(5),
            outlier_factor: 8,
            outliers_per_ten: 5,
            quiet_calls: 1,
            cache_fill: 85,
            door_fill: 200,
            door_lent: 75,
            return_percent: 50,
            hold_bound: Duration::from_secs(5),
            pass_skips: 64,
            queue_limit: 100_000,
            max_attempts: 3,
            retry_percent: 10,
            retry_delay: Duration::from_millis(50),
            retry_after: Duration::from_secs(1),
            tick: Duration::from_millis(500),
            repeat_limit: 20,
        }
    }
}
