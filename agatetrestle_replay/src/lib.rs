//! Replay of recorded traces in virtual time, with a small fake engine.
//!
//! The replay drives the very scheduler that serves in the daemon. Everything is decided by trace,
//! policy and seed, so that the same command writes the same bytes; see docs/TRACE.md.

pub mod agenda;
pub mod cache;
pub mod catalog;
pub mod detect;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod host;
pub mod measure;
pub mod programs;
pub mod random;
pub mod report;
pub mod score;
pub mod synth;
pub mod tally;
pub mod world;

use std::sync::Arc;

use agatetrestle::scheduler::Policy;
use agatetrestle::scheduler::SchedulerConfig;
use agatetrestle::scheduler::build;
use agatetrestle::trace::TraceCall;

use crate::measure::Measures;
use crate::world::Options;

/// Replays a trace under a policy.
#[must_use]
pub fn replay(calls: &[TraceCall], policy: Policy, options: &Options) -> Measures {
    replay_with(calls, policy, &SchedulerConfig::default(), options)
}

/// Replays a trace under a policy with other constants than the usual ones.
#[must_use]
pub fn replay_with(
    calls: &[TraceCall],
    policy: Policy,
    cfg: &SchedulerConfig,
    options: &Options,
) -> Measures {
    let catalog = Arc::new(catalog::declare(calls, &options.pool));
    let programs = programs::arrange(calls.to_vec());
    let mut scheduler = build(policy, cfg.clone(), options.seed);
    let measures = world::run(&programs, &catalog, scheduler.as_mut(), options);
    Measures { policy: policy.name().into(), ..measures }
}
