//! Who may give which order when: a pure state machine of the control leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::orders::pacer::LoadPacer;

/// Time after which an order without an outcome is given again; loading is idempotent.
const GIVE_AGAIN: Duration = Duration::from_mins(5);

/// An engine as the declarations want it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineSpec {
    /// The model it shall serve.
    pub model: Arc<str>,
    /// Size of the model's weights in bytes.
    pub weights_bytes: u64,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

/// An order to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Name of the engine.
    pub engine: Arc<str>,
    /// The model to load.
    pub model: Arc<str>,
    /// Fencing number.
    pub fencing_token: u64,
}

/// The right to give orders, as confirmed by the control group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaderLease {
    /// Fencing number from the log.
    pub fencing_token: u64,
    /// When the number was obtained.
    pub acquired_at: Timestamp,
    /// Until when this node leads by its own clock.
    pub expires_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    wanted: Option<EngineSpec>,
    /// Whether the engine ever said what it serves; one that never did gets no orders.
    observed: bool,
    serves: Option<Arc<str>>,
    ordered: Option<(Arc<str>, Timestamp)>,
}

/// Compares what engines serve with what the declarations want, and orders the difference.
#[derive(Clone, Debug)]
pub struct Reconciler {
    engines: BTreeMap<Arc<str>, Engine>,
    pace: LoadPacer,
    /// How long an old leader may still believe that it leads: its lease and the declared clock drift.
    wait_out: Duration,
    mandate: Option<LeaderLease>,
}

impl Reconciler {
    /// A desk without a mandate. `wait_out` is the longest lease of an old leader plus the clock drift.
    #[must_use]
    pub fn new(now: Timestamp, rate: u64, wait_out: Duration) -> Self {
        Self { engines: BTreeMap::new(), pace: LoadPacer::new(rate, now), wait_out, mandate: None }
    }

    /// Takes in the declarations.
    pub fn set_specs(&mut self, wanted: BTreeMap<Arc<str>, EngineSpec>, rate: u64) {
        self.pace.set_rate(rate);
        self.engines.retain(|name, _| wanted.contains_key(name));
        for (name, wanted) in wanted {
            self.engines.entry(name).or_default().wanted = Some(wanted);
        }
    }

    /// Takes in what an engine says it serves; `None` for nothing.
    pub fn observe(&mut self, engine: &str, serves: Option<Arc<str>>) {
        if let Some(engine) = self.engines.get_mut(engine) {
            if engine.ordered.as_ref().map(|(model, _)| model) == serves.as_ref() {
                engine.ordered = None;
            }
            engine.observed = true;
            engine.serves = serves;
        }
    }

    /// Takes in the mandate, renewed while this node leads, or its loss.
    pub fn set_lease(&mut self, mandate: Option<LeaderLease>) {
        let same = |old: &LeaderLease, new: &LeaderLease| old.fencing_token == new.fencing_token;
        self.mandate = match (self.mandate, mandate) {
            // The wait counts from the first sight of a fencing number, not from its renewals.
            (Some(old), Some(new)) if same(&old, &new) => {
                Some(LeaderLease { acquired_at: old.acquired_at, ..new })
            }
            (_, new) => new,
        };
    }

    /// The next order, if one is due. Right before sending it the driver must ask [`Reconciler::may_send`]
    /// again, since the process may have been paused in between.
    pub fn next_order(&mut self, now: Timestamp) -> Option<Order> {
        if !self.pace.is_free(now) {
            return None;
        }
        let mandate = self.mandate?;
        let due = self.engines.iter().find(|(_, engine)| self.is_due(now, engine))?;
        let (name, wanted) = (due.0.clone(), due.1.wanted.clone()?);
        let order = Order { engine: name, model: wanted.model.clone(), fencing_token: mandate.fencing_token };
        self.pace.begin(now, wanted.weights_bytes);
        if let Some(engine) = self.engines.get_mut(&order.engine) {
            engine.ordered = Some((wanted.model, now));
        }
        Some(order)
    }

    fn is_due(&self, now: Timestamp, engine: &Engine) -> bool {
        let Some(wanted) = &engine.wanted else {
            return false;
        };
        if !engine.observed
            || engine.serves.as_ref() == Some(&wanted.model)
            || !self.is_authorised(now, wanted.checks_fencing)
        {
            return false;
        }
        let under_way =
            |(model, at): &(Arc<str>, Timestamp)| *model == wanted.model && now.since(*at) < GIVE_AGAIN;
        !engine.ordered.as_ref().is_some_and(under_way)
    }

    fn is_authorised(&self, now: Timestamp, checks_fencing: bool) -> bool {
        let Some(mandate) = self.mandate else {
            return false;
        };
        let old_leader_is_gone = checks_fencing || now >= mandate.acquired_at + self.wait_out;
        now < mandate.expires_at && old_leader_is_gone
    }

    /// Whether an order may still be sent now.
    #[must_use]
    pub fn may_send(&self, now: Timestamp, order: &Order) -> bool {
        let current = self.mandate.is_some_and(|mandate| mandate.fencing_token == order.fencing_token);
        let engine = self.engines.get(&order.engine);
        let checks = engine.and_then(|engine| engine.wanted.as_ref()).map(|wanted| wanted.checks_fencing);
        current && checks.is_some_and(|checks| self.is_authorised(now, checks))
    }

    /// An order was not sent, or its engine did not take it; it is due again.
    pub fn mark_failed(&mut self, order: &Order) {
        if let Some(engine) = self.engines.get_mut(&order.engine) {
            engine.ordered = None;
        }
    }
}
