//! The policies that can be chosen by name.

use std::str::FromStr;
use std::sync::Arc;

use snafu::OptionExt;
use snafu::Snafu;

use crate::scheduler::Scheduler;
use crate::scheduler::baseline::Baseline;

/// How calls are ordered, placed and kept.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Policy {
    /// First come first served over round robin.
    #[default]
    RoundRobin,
}

/// Every policy with its name.
pub const POLICIES: [(&str, Policy); 1] = [("round_robin", Policy::RoundRobin)];

impl Policy {
    /// The name by which it is chosen.
    #[must_use]
    pub fn name(self) -> &'static str {
        let found = POLICIES.iter().find(|(_, policy)| *policy == self);
        found.map_or("", |(name, _)| name)
    }
}

/// No policy has this name.
#[derive(Debug, Snafu)]
#[snafu(display("no policy is named {name}"))]
pub struct UnknownPolicy {
    name: Arc<str>,
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = POLICIES.iter().find(|(known, _)| *known == name);
        found.map(|(_, policy)| *policy).context(UnknownPolicySnafu { name })
    }
}

/// Constants of the decisions that do not come from declarations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SchedulerConfig {}

/// Makes the scheduler of a policy; equal seeds decide equally.
#[must_use]
pub fn build(policy: Policy, _cfg: SchedulerConfig, _seed: u64) -> Box<dyn Scheduler> {
    match policy {
        Policy::RoundRobin => Box::new(Baseline::default()),
    }
}
