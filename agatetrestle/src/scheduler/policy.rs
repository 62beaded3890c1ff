//! The policies that can be chosen by name, each a choice of parts.

use std::str::FromStr;
use std::sync::Arc;

use snafu::OptionExt;
use snafu::Snafu;

use crate::placing::cost::CostPlacer;
use crate::placing::least_load::LeastLoad;
use crate::placing::sticky::Sticky;
use crate::scheduler::Scheduler;
use crate::scheduler::config::SchedulerConfig;
use crate::scheduler::core::Core;
use crate::scheduler::core::Parts;
use crate::scheduler::order::ByProgram;
use crate::scheduler::order::FirstCome;
use crate::scheduler::order::Measure;
use crate::scheduler::order::ShortestCall;
use crate::scheduler::round_robin::RoundRobinScheduler;

/// How calls are ordered, placed and kept.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Policy {
    /// First come first served over round robin.
    RoundRobin,
    /// First come first served, each call to the least loaded server.
    LeastLoad,
    /// First come first served, each program to the server that was least loaded at its first call.
    Sticky,
    /// Shortest call first over sticky sessions.
    Shortest,
    /// Least attained service over sticky sessions.
    Order,
    /// First come first served, placed by cost with retention.
    Placing,
    /// Least attained service, placed by cost, without retention.
    NoRetention,
    /// Everything but the shares of partners and teams.
    NoShares,
    /// Everything, but by attained service in place of the expected rest.
    Attained,
    /// Everything together.
    #[default]
    Adaptive,
}

/// Every policy with its name.
pub const POLICIES: [(&str, Policy); 10] = [
    ("round_robin", Policy::RoundRobin),
    ("least_load", Policy::LeastLoad),
    ("sticky", Policy::Sticky),
    ("shortest", Policy::Shortest),
    ("order", Policy::Order),
    ("placing", Policy::Placing),
    ("no_retention", Policy::NoRetention),
    ("no_shares", Policy::NoShares),
    ("attained", Policy::Attained),
    ("adaptive", Policy::Adaptive),
];

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

/// Makes the scheduler of a policy; equal seeds decide equally.
#[must_use]
pub fn build(policy: Policy, cfg: SchedulerConfig, seed: u64) -> Box<dyn Scheduler> {
    // The baselines look at every waiting call, so that no server idles while a call could go there.
    let thorough = SchedulerConfig { pass_skips: usize::MAX, ..cfg.clone() };
    let baseline = [Policy::Sticky, Policy::Shortest, Policy::Order].contains(&policy);
    let first_come = || Box::new(FirstCome);
    let attained = |cfg: &SchedulerConfig| Box::new(ByProgram::new(cfg, Measure::Attained));
    let rest = |cfg: &SchedulerConfig| Box::new(ByProgram::new(cfg, Measure::Rest));
    let cost = |cfg: &SchedulerConfig, moves| Box::new(CostPlacer::new(cfg, moves, seed));
    let parts = match policy {
        Policy::RoundRobin => return Box::new(RoundRobinScheduler::default()),
        Policy::LeastLoad => Parts {
            order: first_come(),
            placer: Box::new(LeastLoad),
            retention: false,
            health: false,
            shares: false,
        },
        Policy::Sticky => Parts {
            order: first_come(),
            placer: Box::new(Sticky),
            retention: false,
            health: false,
            shares: false,
        },
        Policy::Shortest => Parts {
            order: Box::new(ShortestCall),
            placer: Box::new(Sticky),
            retention: false,
            health: false,
            shares: false,
        },
        Policy::Order => Parts {
            order: attained(&cfg),
            placer: Box::new(Sticky),
            retention: false,
            health: false,
            shares: false,
        },
        Policy::Placing => Parts {
            order: first_come(),
            placer: cost(&cfg, true),
            retention: true,
            health: false,
            shares: false,
        },
        Policy::NoRetention => Parts {
            order: attained(&cfg),
            placer: cost(&cfg, false),
            retention: false,
            health: true,
            shares: true,
        },
        Policy::NoShares => Parts {
            order: attained(&cfg),
            placer: cost(&cfg, true),
            retention: true,
            health: false,
            shares: false,
        },
        Policy::Attained => Parts {
            order: attained(&cfg),
            placer: cost(&cfg, true),
            retention: true,
            health: true,
            shares: true,
        },
        Policy::Adaptive => {
            Parts { order: rest(&cfg), placer: cost(&cfg, true), retention: true, health: true, shares: true }
        }
    };
    Box::new(Core::new(parts, if baseline { thorough } else { cfg }, seed))
}
