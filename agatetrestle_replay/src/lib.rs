//! Replays recorded traces in virtual time against simulated backend servers.
//!
//! The replay runs the same scheduler as the daemon. Its output is deterministic for a trace, policy and seed; see
//! docs/TRACE.md.

pub mod cache;
pub mod catalog;
pub mod control_traffic;
pub mod counters;
pub mod detect;
pub mod engine;
pub mod event_queue;
pub mod faults;
pub mod fleet;
pub mod host;
pub mod programs;
pub mod random;
pub mod report;
pub mod score;
pub mod simulation;
pub mod stats;
pub mod synth;

use std::sync::Arc;

use agatetrestle::scheduler::Policy;
use agatetrestle::scheduler::SchedulerConfig;
use agatetrestle::scheduler::build;
use agatetrestle::trace::TraceCall;

use crate::simulation::ReplayOptions;
use crate::stats::ReplayStats;

/// Replays a trace under a policy with the default scheduler settings.
#[must_use]
pub fn replay(calls: &[TraceCall], policy: Policy, options: &ReplayOptions) -> ReplayStats {
    replay_with(calls, policy, &SchedulerConfig::default(), options)
}

/// Replays a trace under a policy with the given scheduler settings.
#[must_use]
pub fn replay_with(
    calls: &[TraceCall],
    policy: Policy,
    cfg: &SchedulerConfig,
    options: &ReplayOptions,
) -> ReplayStats {
    let catalog = Arc::new(catalog::declare(calls, &options.pool));
    let programs = programs::group_by_program(calls.to_vec());
    let mut scheduler = build(policy, cfg.clone(), options.seed);
    let stats = simulation::run(&programs, &catalog, scheduler.as_mut(), options);
    ReplayStats { policy: policy.name().into(), ..stats }
}
