//! Named scheduling policies.

use std::str::FromStr;
use std::sync::Arc;

use snafu::OptionExt;
use snafu::Snafu;

use crate::placing::cost::CostPlacer;
use crate::placing::least_load::LeastLoad;
use crate::placing::sticky::Sticky;
use crate::scheduler::Scheduler;
use crate::scheduler::config::SchedulerConfig;
use crate::scheduler::core::Components;
use crate::scheduler::core::Core;
use crate::scheduler::order::Fcfs;
use crate::scheduler::order::ProgramOrder;
use crate::scheduler::order::RankBy;
use crate::scheduler::order::ShortestCall;
use crate::scheduler::round_robin::RoundRobinScheduler;

/// A combination of order of service, placement and retention.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Policy {
    /// First come, first served with round robin placement.
    RoundRobin,
    /// First come, first served, each call on the least loaded server.
    LeastLoad,
    /// First come, first served, each program on the server that was least loaded at its first call.
    Sticky,
    /// Shortest call first with sticky placement.
    Shortest,
    /// Least attained service with sticky placement.
    Order,
    /// First come, first served, with placement by cost and retention.
    Placing,
    /// Like [`Policy::Attained`], without retention.
    NoRetention,
    /// Like [`Policy::Attained`], without shares of partners and teams and without health checks.
    NoShares,
    /// Like [`Policy::Adaptive`], ordered by attained instead of remaining service.
    Attained,
    /// Least remaining service, with placement by cost, retention, shares and health checks.
    #[default]
    Adaptive,
}

/// All policies by name.
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
    /// The name in [`POLICIES`].
    #[must_use]
    pub fn name(self) -> &'static str {
        let found = POLICIES.iter().find(|(_, policy)| *policy == self);
        found.map_or("", |(name, _)| name)
    }
}

/// A name that no policy has.
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

/// Creates the scheduler of a policy. Its decisions are deterministic for a given seed.
#[must_use]
pub fn build(policy: Policy, cfg: SchedulerConfig, seed: u64) -> Box<dyn Scheduler> {
    // Sticky placement tries every waiting call, so that no server idles while a call could be sent to it.
    let full_scan = SchedulerConfig { pass_skips: usize::MAX, ..cfg.clone() };
    let is_sticky = [Policy::Sticky, Policy::Shortest, Policy::Order].contains(&policy);
    let fcfs = || Box::new(Fcfs);
    let attained = |cfg: &SchedulerConfig| Box::new(ProgramOrder::new(cfg, RankBy::Attained));
    let remaining = |cfg: &SchedulerConfig| Box::new(ProgramOrder::new(cfg, RankBy::Remaining));
    let cost = |cfg: &SchedulerConfig, imports| Box::new(CostPlacer::new(cfg, imports, seed));
    let components = match policy {
        Policy::RoundRobin => return Box::new(RoundRobinScheduler::default()),
        Policy::LeastLoad => Components {
            order: fcfs(),
            placer: Box::new(LeastLoad),
            retention: false,
            health: false,
            shares: false,
        },
        Policy::Sticky => Components {
            order: fcfs(),
            placer: Box::new(Sticky),
            retention: false,
            health: false,
            shares: false,
        },
        Policy::Shortest => Components {
            order: Box::new(ShortestCall),
            placer: Box::new(Sticky),
            retention: false,
            health: false,
            shares: false,
        },
        Policy::Order => Components {
            order: attained(&cfg),
            placer: Box::new(Sticky),
            retention: false,
            health: false,
            shares: false,
        },
        Policy::Placing => Components {
            order: fcfs(),
            placer: cost(&cfg, true),
            retention: true,
            health: false,
            shares: false,
        },
        Policy::NoRetention => Components {
            order: attained(&cfg),
            placer: cost(&cfg, false),
            retention: false,
            health: true,
            shares: true,
        },
        Policy::NoShares => Components {
            order: attained(&cfg),
            placer: cost(&cfg, true),
            retention: true,
            health: false,
            shares: false,
        },
        Policy::Attained => Components {
            order: attained(&cfg),
            placer: cost(&cfg, true),
            retention: true,
            health: true,
            shares: true,
        },
        Policy::Adaptive => Components {
            order: remaining(&cfg),
            placer: cost(&cfg, true),
            retention: true,
            health: true,
            shares: true,
        },
    };
    Box::new(Core::new(components, if is_sticky { full_scan } else { cfg }, seed))
}
