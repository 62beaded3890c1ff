//! State machine of the control leader that decides which engine to order to load which model, and when. It does no I/O.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::orders::pacer::LoadPacer;

/// Time after which an order whose outcome is unknown is repeated; loading is idempotent.
const ORDER_TIMEOUT: Duration = Duration::from_mins(5);

/// Desired state of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineSpec {
    /// The model to serve.
    pub model: Arc<str>,
    /// Size of the model's weights in bytes.
    pub weights_bytes: u64,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
}

/// An order to an engine to load a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// The model to load.
    pub model: Arc<str>,
    /// Token by which the engine can reject orders of an earlier leader.
    pub fencing_token: u64,
}

/// A lease to send orders, granted by the control group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaderLease {
    /// Fencing token committed to the control group's log.
    pub fencing_token: u64,
    /// When the token was obtained.
    pub acquired_at: Timestamp,
    /// End of the leadership by this node's clock.
    pub expires_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    spec: Option<EngineSpec>,
    /// Whether the served model was ever reported; until then the engine gets no orders.
    observed: bool,
    served_model: Option<Arc<str>>,
    /// Model and time of the order whose outcome is unknown.
    pending: Option<(Arc<str>, Timestamp)>,
}

/// Compares the models that engines serve with the desired ones, and issues orders for the differences.
#[derive(Clone, Debug)]
pub struct Reconciler {
    engines: BTreeMap<Arc<str>, Engine>,
    pacer: LoadPacer,
    /// Delay until no earlier leader can still hold a lease: the longest lease plus the maximum clock drift.
    takeover_delay: Duration,
    lease: Option<LeaderLease>,
}

impl Reconciler {
    /// Creates a reconciler without a lease. `takeover_delay` is the longest lease plus the maximum clock drift.
    #[must_use]
    pub fn new(now: Timestamp, rate: u64, takeover_delay: Duration) -> Self {
        Self { engines: BTreeMap::new(), pacer: LoadPacer::new(rate, now), takeover_delay, lease: None }
    }

    /// Replaces the desired state of all engines and the rate of the weight store.
    pub fn set_specs(&mut self, specs: BTreeMap<Arc<str>, EngineSpec>, rate: u64) {
        self.pacer.set_rate(rate);
        self.engines.retain(|name, _| specs.contains_key(name));
        for (name, spec) in specs {
            self.engines.entry(name).or_default().spec = Some(spec);
        }
    }

    /// Updates the model that an engine reports to serve; `None` if it serves none.
    pub fn observe(&mut self, engine: &str, served_model: Option<Arc<str>>) {
        if let Some(engine) = self.engines.get_mut(engine) {
            if engine.pending.as_ref().map(|(model, _)| model) == served_model.as_ref() {
                engine.pending = None;
            }
            engine.observed = true;
            engine.served_model = served_model;
        }
    }

    /// Sets, renews or revokes the lease.
    pub fn set_lease(&mut self, lease: Option<LeaderLease>) {
        let same = |old: &LeaderLease, new: &LeaderLease| old.fencing_token == new.fencing_token;
        self.lease = match (self.lease, lease) {
            // The takeover delay starts when the token is obtained; renewals do not restart it.
            (Some(old), Some(new)) if same(&old, &new) => {
                Some(LeaderLease { acquired_at: old.acquired_at, ..new })
            }
            (_, new) => new,
        };
    }

    /// Returns the next order that is due. The driver must check [`Reconciler::may_send`] right before sending it, since
    /// the process may have been paused in between.
    pub fn next_order(&mut self, now: Timestamp) -> Option<Order> {
        if !self.pacer.is_ready(now) {
            return None;
        }
        let lease = self.lease?;
        let (name, engine) = self.engines.iter().find(|(_, engine)| self.is_due(now, engine))?;
        let (name, spec) = (name.clone(), engine.spec.clone()?);
        let order = Order { engine: name, model: spec.model.clone(), fencing_token: lease.fencing_token };
        self.pacer.start(now, spec.weights_bytes);
        if let Some(engine) = self.engines.get_mut(&order.engine) {
            engine.pending = Some((spec.model, now));
        }
        Some(order)
    }

    fn is_due(&self, now: Timestamp, engine: &Engine) -> bool {
        let Some(spec) = &engine.spec else {
            return false;
        };
        if !engine.observed
            || engine.served_model.as_ref() == Some(&spec.model)
            || !self.is_authorized(now, spec.checks_fencing)
        {
            return false;
        }
        let is_loading =
            |(model, at): &(Arc<str>, Timestamp)| *model == spec.model && now.since(*at) < ORDER_TIMEOUT;
        !engine.pending.as_ref().is_some_and(is_loading)
    }

    fn is_authorized(&self, now: Timestamp, checks_fencing: bool) -> bool {
        let Some(lease) = self.lease else {
            return false;
        };
        let excludes_old_leader = checks_fencing || now >= lease.acquired_at + self.takeover_delay;
        now < lease.expires_at && excludes_old_leader
    }

    /// Whether the lease still covers an order.
    #[must_use]
    pub fn may_send(&self, now: Timestamp, order: &Order) -> bool {
        let current = self.lease.is_some_and(|lease| lease.fencing_token == order.fencing_token);
        let engine = self.engines.get(&order.engine);
        let spec = engine.and_then(|engine| engine.spec.as_ref());
        current && spec.is_some_and(|spec| self.is_authorized(now, spec.checks_fencing))
    }

    /// Makes an order due again that was not sent or that its engine refused.
    pub fn mark_failed(&mut self, order: &Order) {
        if let Some(engine) = self.engines.get_mut(&order.engine) {
            engine.pending = None;
        }
    }
}
