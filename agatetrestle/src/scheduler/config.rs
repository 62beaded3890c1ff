//! Constants of the decisions that do not come from declarations.

use std::time::Duration;

use agatetrestle_config::units::DurationText;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// What the decisions assume and how far they go; docs/MEASUREMENTS.md tells how each was chosen.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SchedulerConfig {
    /// Time to compute one prompt token, before any was measured, in microseconds.
    pub prefill_per_token: u64,
    /// Time of one generated token in an empty batch, before any was measured, in microseconds.
    pub step_base: u64,
    /// What each further request in a batch adds to it, in microseconds.
    pub step_per_request: u64,
    /// How many times cheaper an imported prompt token is than a computed one.
    pub import_divisor: u64,
    /// Share of a prompt's time that the others in the batch lose by it, in percent.
    pub externality: u64,
    /// Delay in rank for each microsecond of service that a program has attained.
    pub attained_factor: u64,
    /// Delay in rank for each microsecond of service that a program is expected to need yet.
    pub rest_factor: u64,
    /// Share of the time that a program has waited that its rank is advanced by, in percent.
    pub wait_credit: u64,
    /// Most delay in rank by attained service; no call waits behind a younger one beyond it.
    #[serde_as(as = "DurationText")]
    pub aging_bound: Duration,
    /// Advance in rank for each step of class priority.
    #[serde_as(as = "DurationText")]
    pub priority_step: Duration,
    /// Engine time by which a partner may run ahead of its share while others wait.
    #[serde_as(as = "DurationText")]
    pub share_slack: Duration,
    /// The same among the teams of one partner.
    #[serde_as(as = "DurationText")]
    pub team_slack: Duration,
    /// How many times the usual service of its class a program attains before it counts as an outlier.
    pub outlier_factor: u64,
    /// Calls of outliers in service for each ten engines of a pool.
    pub outliers_per_ten: u64,
    /// Calls of other programs in service for each engine below which outliers are not held back.
    pub quiet_calls: u64,
    /// Share of an engine's prefix cache that is planned with, in percent.
    pub cache_fill: u64,
    /// Memory that programs under way may fill together, in percent of the engines' prefix caches;
    /// above 100 counts on memory to which cache is exported.
    pub door_fill: u64,
    /// How far into that memory a partner may go beyond its share, in percent.
    pub door_lent: u64,
    /// The share of pauses, in percent, that is over by when a program is expected back.
    pub return_percent: u32,
    /// Engine time that a call may wait for the engine that holds its prefix.
    #[serde_as(as = "DurationText")]
    pub hold_bound: Duration,
    /// Waiting calls that one pass may leave behind before it stops looking further.
    pub pass_skips: usize,
    /// Calls that may wait for one pool.
    pub queue_limit: usize,
    /// Attempts at one call.
    pub max_attempts: u32,
    /// Retries for a hundred successes.
    pub retry_percent: u64,
    /// Pause before a retry, jitter aside.
    #[serde_as(as = "DurationText")]
    pub retry_delay: Duration,
    /// What a refused caller is told to wait, at least.
    #[serde_as(as = "DurationText")]
    pub retry_after: Duration,
    /// Interval of housekeeping.
    #[serde_as(as = "DurationText")]
    pub tick: Duration,
    /// Equal prompts in a row after which a program counts as looping.
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
