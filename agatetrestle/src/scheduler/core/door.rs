//! New programs at the door of a pool.

use std::sync::Arc;
use std::time::Duration;

use crate::admission::queue::CallKey;
use crate::admission::queue::QueuedCall;
use crate::admission::tokens::TokenAdmission;
use crate::clock::Timestamp;
use crate::scheduler::core::Core;
use crate::scheduler::core::State;
use crate::scheduler::event::Action;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::RefusalReason;
use crate::scheduler::event::Work;
use crate::scheduler::fleet::PoolKey;
use crate::scheduler::programs::ProgramKey;

const PERCENT: u64 = 100;
const USUAL_WAIT: Duration = Duration::from_mins(1);

impl Core {
    /// Lets a call go on to the queue, or keeps it at the door if it is the first of a program for
    /// which there is no memory.
    pub(super) fn knock(&mut self, key: CallKey) {
        let entry = &self.calls[key];
        let pool = entry.pool;
        let is_model = matches!(entry.call.work, Work::Model { .. });
        let is_new = entry.root == entry.program
            && self.programs.get(entry.program).is_some_and(|program| program.booked.is_none());
        if !self.parts.shares || !is_model || !is_new {
            self.enqueue(key);
            return;
        }
        let partner = entry.owner.partner.clone();
        let tokens = self.classes.expected_tokens(&partner, &entry.call.class);
        self.measure_door(pool, &partner);
        let open = self.classes.open_percent(&partner, &self.calls[key].call.class);
        if self.doors[pool].admits(&partner, tokens, open) {
            self.let_in(key, tokens);
            return;
        }
        let ticket = self.ticket(key);
        self.doors[pool].enqueue(&partner, ticket);
        let entry = &mut self.calls[key];
        entry.state = State::AtDoor(ticket);
        let rule = self.classes.rule(&partner, &entry.call.class);
        let patience = rule.deadline.map_or(USUAL_WAIT, |deadline| deadline / 2);
        self.impatient.insert((entry.submitted + patience, key));
    }

    /// Lets programs in for which there is room now.
    pub(super) fn open_door(&mut self, pool: PoolKey) {
        while let Some((partner, ticket)) = self.doors.get(pool).and_then(TokenAdmission::next) {
            let class = &self.calls[ticket.call].call.class;
            let tokens = self.classes.expected_tokens(&partner, class);
            let open = self.classes.open_percent(&partner, class);
            if !self.doors[pool].admits(&partner, tokens, open) {
                return;
            }
            self.leave_door(ticket.call, ticket);
            self.let_in(ticket.call, tokens);
        }
    }

    /// Takes a call from the door.
    pub(super) fn leave_door(&mut self, key: CallKey, ticket: QueuedCall) {
        let entry = &self.calls[key];
        let rule = self.classes.rule(&entry.owner.partner, &entry.call.class);
        let patience = rule.deadline.map_or(USUAL_WAIT, |deadline| deadline / 2);
        self.impatient.remove(&(entry.submitted + patience, key));
        if let Some(door) = self.doors.get_mut(entry.pool) {
            door.dequeue(&entry.owner.partner, ticket);
        }
    }

    /// Turns away what waited at the door for too long.
    pub(super) fn turn_away(&mut self, now: Timestamp, decisions: &mut Decisions) {
        while let Some((due, key)) = self.impatient.first().copied().filter(|(due, _)| *due <= now) {
            self.impatient.remove(&(due, key));
            let Some(id) = self.calls.get(key).map(|entry| entry.call.id) else {
                continue;
            };
            self.withdraw(now, id);
            let reason = RefusalReason::Overload;
            let retry_after = self.cfg.retry_after;
            decisions.actions.push(Action::Refuse { call: id, reason, retry_after });
        }
    }

    /// Books what a program holds now, which may be more than was expected.
    pub(super) fn rebook(&mut self, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        let own = program.own_tokens();
        let Some((pool, before)) = program.booked.filter(|(_, before)| *before < own) else {
            return;
        };
        program.booked = Some((pool, own));
        let partner = program.id.partner.clone();
        self.doors[pool].update_reservation(&partner, before, own);
    }

    fn let_in(&mut self, key: CallKey, tokens: u64) {
        let entry = &self.calls[key];
        let (pool, program) = (entry.pool, entry.program);
        let partner = entry.owner.partner.clone();
        self.doors[pool].update_reservation(&partner, 0, tokens);
        if let Some(program) = self.programs.get_mut(program) {
            program.booked = Some((pool, tokens));
        }
        self.enqueue(key);
    }

    fn measure_door(&mut self, pool: PoolKey, partner: &Arc<str>) {
        if !self.doors.contains_key(pool) {
            self.doors.insert(pool, TokenAdmission::default());
        }
        let members = &self.fleet.pools[pool].members;
        let usable = members.iter().map(|key| &self.fleet.servers[*key]).filter(|server| server.usable());
        let memory: u64 = usable.map(|server| server.cache_budget(PERCENT)).sum();
        let share = self.catalog.shares.get(partner).copied().unwrap_or(1);
        self.doors[pool].set_capacity(memory * self.cfg.door_fill / PERCENT, self.cfg.door_lent);
        self.doors[pool].set_share(partner, share);
    }
}
