//! Derives the declarations that a trace needs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle::scheduler::event::Backend;
use agatetrestle::scheduler::event::Catalog;
use agatetrestle::scheduler::event::ClassRule;
use agatetrestle::trace::CallKind;
use agatetrestle::trace::TraceCall;
use agatetrestle_config::declarations::BackendKind;

/// Number and capacity of the engines.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Engines for each model.
    pub engines: usize,
    /// Maximum number of running requests of an engine.
    pub engine_slots: u32,
    /// Capacity of the prefix cache of an engine in tokens.
    pub cache_tokens: u32,
    /// Host memory for exported cache in tokens for each engine; the engines share the total.
    pub host_tokens: u32,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self { engines: 8, engine_slots: 16, cache_tokens: 400_000, host_tokens: 1_600_000 }
    }
}

const SERVICE_REPLICAS: usize = 4;
const SERVICE_SLOTS: u32 = 64;
const FAILURE_DOMAINS: usize = 3;

/// Declares the partners, teams, classes and backend servers of the calls.
#[must_use]
pub fn declare(calls: &[TraceCall], pool: &PoolConfig) -> Catalog {
    let mut catalog = Catalog::default();
    let mut targets = BTreeSet::new();
    for call in calls {
        targets.insert((call.kind == CallKind::Service, call.serves.clone()));
        catalog.shares.insert(call.partner.clone(), 1);
        catalog.teams.insert((call.partner.clone(), call.team.clone()), 1);
        let class = (call.partner.clone(), call.class.clone());
        catalog.classes.entry(class).or_insert_with(|| class_rule(&call.class));
    }
    for (is_service, serves) in targets {
        declare_replicas(&mut catalog, is_service, &serves, pool);
    }
    catalog
}

fn declare_replicas(catalog: &mut Catalog, is_service: bool, serves: &Arc<str>, pool: &PoolConfig) {
    let replicas = if is_service { SERVICE_REPLICAS } else { pool.engines };
    for number in 0..replicas {
        let name: Arc<str> = format!("{serves}-{number}").into();
        catalog.backends.push(Backend {
            vm: format!("vm-{name}").into(),
            name,
            kind: if is_service { BackendKind::Service } else { BackendKind::Engine },
            serves: serves.clone(),
            failure_domain: format!("domain-{}", number % FAILURE_DOMAINS).into(),
            slots: if is_service { SERVICE_SLOTS } else { pool.engine_slots },
            cache_tokens: if is_service { 0 } else { pool.cache_tokens.into() },
        });
    }
}

fn class_rule(class: &str) -> ClassRule {
    let rules: BTreeMap<&str, (u8, u64, u64)> = BTreeMap::from([
        ("replacement", (9, 600, 300)),
        ("tutor", (8, 3600, 300)),
        ("planning", (4, 3600, 120)),
        ("assessment", (3, 7200, 120)),
    ]);
    let (priority, deadline, keepalive) = rules.get(class).copied().unwrap_or((5, 3600, 120));
    ClassRule {
        priority,
        deadline: Some(Duration::from_secs(deadline)),
        keepalive: Duration::from_secs(keepalive),
    }
}
