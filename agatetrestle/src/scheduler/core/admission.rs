//! Admission of new programs to a pool by the cache tokens that they are expected to hold.

use std::sync::Arc;
use std::time::Duration;

use crate::admission::queue::CallKey;
use crate::admission::queue::QueuedCall;
use crate::admission::tokens::TokenAdmission;
use crate::clock::Timestamp;
use crate::scheduler::core::CallPhase;
use crate::scheduler::core::Core;
use crate::scheduler::event::Action;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::RefusalReason;
use crate::scheduler::event::Work;
use crate::scheduler::fleet::PoolKey;
use crate::scheduler::programs::ProgramKey;

const PERCENT: u64 = 100;
const DEFAULT_ADMISSION_TIMEOUT: Duration = Duration::from_mins(1);

impl Core {
    /// Queues a call. The first call of a program waits for admission if the pool lacks cache memory.
    pub(super) fn admit(&mut self, key: CallKey) {
        let entry = &self.calls[key];
        let pool = entry.pool;
        let is_model = matches!(entry.call.work, Work::Model { .. });
        let is_new = entry.root == entry.program
            && self.programs.get(entry.program).is_some_and(|program| program.reservation.is_none());
        if !self.components.shares || !is_model || !is_new {
            self.enqueue(key);
            return;
        }
        let partner = entry.owner.partner.clone();
        let tokens = self.classes.expected_tokens(&partner, &entry.call.class);
        self.update_admission(pool, &partner);
        let percent = self.classes.capacity_percent(&partner, &self.calls[key].call.class);
        if self.admissions[pool].admits(&partner, tokens, percent) {
            self.reserve_and_enqueue(key, tokens);
            return;
        }
        let queued = self.rank(key);
        self.admissions[pool].enqueue(&partner, queued);
        let entry = &mut self.calls[key];
        entry.phase = CallPhase::AwaitingAdmission(queued);
        let rule = self.classes.rule(&partner, &entry.call.class);
        let timeout = rule.deadline.map_or(DEFAULT_ADMISSION_TIMEOUT, |deadline| deadline / 2);
        self.admission_timeouts.insert((entry.submitted + timeout, key));
    }

    /// Admits waiting programs while the pool has cache memory for them.
    pub(super) fn admit_waiting(&mut self, pool: PoolKey) {
        while let Some((partner, queued)) = self.admissions.get(pool).and_then(TokenAdmission::next) {
            let class = &self.calls[queued.call].call.class;
            let tokens = self.classes.expected_tokens(&partner, class);
            let percent = self.classes.capacity_percent(&partner, class);
            if !self.admissions[pool].admits(&partner, tokens, percent) {
                return;
            }
            self.remove_from_admission(queued.call, queued);
            self.reserve_and_enqueue(queued.call, tokens);
        }
    }

    /// Removes a call that waits for admission.
    pub(super) fn remove_from_admission(&mut self, key: CallKey, queued: QueuedCall) {
        let entry = &self.calls[key];
        let rule = self.classes.rule(&entry.owner.partner, &entry.call.class);
        let timeout = rule.deadline.map_or(DEFAULT_ADMISSION_TIMEOUT, |deadline| deadline / 2);
        self.admission_timeouts.remove(&(entry.submitted + timeout, key));
        if let Some(admission) = self.admissions.get_mut(entry.pool) {
            admission.dequeue(&entry.owner.partner, queued);
        }
    }

    /// Refuses calls that waited too long for admission.
    pub(super) fn refuse_timed_out(&mut self, now: Timestamp, decisions: &mut Decisions) {
        while let Some((due, key)) = self.admission_timeouts.first().copied().filter(|(due, _)| *due <= now) {
            self.admission_timeouts.remove(&(due, key));
            let Some(id) = self.calls.get(key).map(|entry| entry.call.id) else {
                continue;
            };
            self.remove_waiting(now, id);
            let reason = RefusalReason::Overload;
            let retry_after = self.cfg.retry_after;
            decisions.actions.push(Action::Refuse { call: id, reason, retry_after });
        }
    }

    /// Raises the reservation of a program to the tokens that it holds.
    pub(super) fn raise_reservation(&mut self, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        let own_tokens = program.own_tokens();
        let Some((pool, reserved)) = program.reservation.filter(|(_, reserved)| *reserved < own_tokens)
        else {
            return;
        };
        program.reservation = Some((pool, own_tokens));
        let partner = program.id.partner.clone();
        self.admissions[pool].update_reservation(&partner, reserved, own_tokens);
    }

    fn reserve_and_enqueue(&mut self, key: CallKey, tokens: u64) {
        let entry = &self.calls[key];
        let (pool, program) = (entry.pool, entry.program);
        let partner = entry.owner.partner.clone();
        self.admissions[pool].update_reservation(&partner, 0, tokens);
        if let Some(program) = self.programs.get_mut(program) {
            program.reservation = Some((pool, tokens));
        }
        self.enqueue(key);
    }

    fn update_admission(&mut self, pool: PoolKey, partner: &Arc<str>) {
        if !self.admissions.contains_key(pool) {
            self.admissions.insert(pool, TokenAdmission::default());
        }
        let members = &self.fleet.pools[pool].members;
        let usable = members.iter().map(|key| &self.fleet.servers[*key]).filter(|server| server.usable());
        let cache_tokens: u64 = usable.map(|server| server.cache_budget(PERCENT)).sum();
        let share = self.catalog.shares.get(partner).copied().unwrap_or(1);
        self.admissions[pool].set_capacity(cache_tokens * self.cfg.door_fill / PERCENT, self.cfg.door_lent);
        self.admissions[pool].set_share(partner, share);
    }
}
