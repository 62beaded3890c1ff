//! Other rules to compare with: earliest deadline first and newest first, with the same limit on capacity.

use std::collections::HashMap;
use std::sync::Arc;

use crate::turns::tests::contention::Admission;
use crate::turns::tests::contention::Program;
use crate::turns::tests::contention::SLOTS;

/// Slots that an active program of the replay needs on average, in hundredths.
const SLOTS_PER_PROGRAM: u64 = 62;
/// Time for which a refused program is taken into account.
const WAITING_US: u64 = 1_000_000;

pub(super) enum Order {
    EarliestDeadline,
    Newest,
}

/// Admits a program if those that come before it in an order leave capacity for it.
pub(super) struct Ordered {
    pub(super) order: Order,
    open: HashMap<Arc<str>, (u32, u64)>,
    /// Refused programs with their rank and the time of their last request.
    waiting: HashMap<Arc<str>, (u64, u64)>,
}

impl Ordered {
    pub(super) fn new(order: Order) -> Self {
        Self { order, open: HashMap::new(), waiting: HashMap::new() }
    }

    fn rank(&self, program: &Program) -> u64 {
        match self.order {
            Order::EarliestDeadline => program.deadline,
            Order::Newest => u64::MAX - program.start,
        }
    }
}

impl Admission for Ordered {
    fn admit(&mut self, now: u64, program: &Program, _turn: &Arc<str>, _patience: u64) -> Result<(), u64> {
        self.open.retain(|_, (open, last)| *open > 0 || now.saturating_sub(*last) < 700_000);
        self.waiting.retain(|_, (_, last)| now.saturating_sub(*last) < WAITING_US);
        let rank = self.rank(program);
        self.waiting.remove(&program.name);
        let ahead = self.waiting.values().filter(|(other, _)| *other < rank).count();
        let needed = (self.open.len() + ahead + 1) as u64 * SLOTS_PER_PROGRAM;
        if needed <= u64::from(SLOTS) * 110 {
            return Ok(());
        }
        self.waiting.insert(program.name.clone(), (rank, now));
        Err(200 + now % 300)
    }

    fn begin(&mut self, now: u64, program: &Program, _turn: &Arc<str>, _patience: u64) {
        let (open, last) = self.open.entry(program.name.clone()).or_default();
        (*open, *last) = (*open + 1, now);
    }

    fn finish(&mut self, now: u64, program: &Program, _turn: &Arc<str>, _server_us: u64) {
        if let Some((open, last)) = self.open.get_mut(&program.name) {
            (*open, *last) = (*open - 1, now);
        }
    }
}
