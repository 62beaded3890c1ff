//! What happens when an attempt at a call comes to an end.

use crate::clock::Timestamp;
use crate::clock::micros;
use crate::ids::ProgramId;
use crate::programs::command::Repeatable;
use crate::scheduler::core::Core;
use crate::scheduler::core::Entry;
use crate::scheduler::core::InService;
use crate::scheduler::core::State;
use crate::scheduler::event::Action;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::Failure;
use crate::scheduler::event::Work;
use crate::scheduler::programs::Pause;
use crate::scheduler::programs::ProgramKey;

const PERCENT: u64 = 100;
const MOST_BLOCKS: u64 = 1 << 16;
const FIRST_REST: std::time::Duration = std::time::Duration::from_secs(2);
const UNSENT_ATTEMPTS: u32 = 10;

impl Core {
    pub(super) fn first_token(&mut self, now: Timestamp, id: CallId) {
        let Some(key) = self.ids.get(&id) else {
            return;
        };
        let entry = &mut self.calls[*key];
        let State::InService(service) = &mut entry.state else {
            return;
        };
        if service.first_token.is_some() {
            return;
        }
        service.first_token = Some(now);
        let Some(server) = self.fleet.servers.get_mut(service.server) else {
            return;
        };
        server.pending_prefill = server.pending_prefill.saturating_sub(service.uncached);
        if let Work::Model { blocks, prompt_tokens, .. } = &entry.call.work {
            if let Some(size) = prompt_tokens.checked_div(u32::try_from(blocks.len()).unwrap_or(0)) {
                let capacity = (server.cache_budget(PERCENT) / u64::from(size.max(1))).min(MOST_BLOCKS);
                server.residency.set_capacity(usize::try_from(capacity).unwrap_or(usize::MAX));
            }
            server.residency.insert(blocks);
        }
    }

    pub(super) fn finished(
        &mut self,
        now: Timestamp,
        id: CallId,
        output_tokens: u64,
        cached_tokens: u64,
        decisions: &mut Decisions,
    ) {
        let Some((entry, service)) = self.take_from_service(id) else {
            return;
        };
        let partner = &entry.call.program.partner;
        self.retries.record_success(partner);
        self.judge(now, &entry, service.server, false);
        if let Work::Model { prompt_tokens, .. } = &entry.call.work {
            self.classes.learn_output(partner, &entry.call.class, output_tokens);
            self.observe_pace(now, &service, output_tokens);
            let computed = u64::from(*prompt_tokens).saturating_sub(cached_tokens);
            let spent = computed * self.cfg.prefill_per_token + output_tokens * self.token_time();
            self.attain(&entry, spent);
            self.settle(&entry, &service, spent);
            if let Some(program) = self.programs.get_mut(entry.program) {
                program.tokens = u64::from(*prompt_tokens) + output_tokens;
            }
            self.rebook(entry.program);
        }
        self.call_over(now, &entry);
        self.begin_pause(now, entry.program);
        self.make_room(service.server, decisions);
        self.pass(now, entry.pool, decisions);
    }

    pub(super) fn failed(&mut self, now: Timestamp, id: CallId, failure: Failure, decisions: &mut Decisions) {
        let Some((entry, service)) = self.take_from_service(id) else {
            return;
        };
        let pool = entry.pool;
        self.settle(&entry, &service, 0);
        let unsent = matches!(failure, Failure::Connect | Failure::Refused);
        if unsent {
            self.rest(now, service.server);
        } else {
            self.judge(now, &entry, service.server, true);
        }
        if failure == Failure::Connect {
            self.lost_everything(service.server);
        }
        if self.may_retry(&entry, failure) {
            let delay = micros(self.cfg.retry_delay);
            let jitter = self.rng.below(delay + 1);
            let due = if unsent { now } else { Timestamp(now.0 + delay + jitter) };
            let key = self.calls.insert(Entry { state: State::Delayed(due), ..entry });
            self.ids.insert(id, key);
            if unsent {
                self.enqueue(key);
            } else {
                self.delayed.insert((due, key));
            }
        } else {
            self.call_over(now, &entry);
            self.begin_pause(now, entry.program);
            let retry_after = self.cfg.retry_after;
            decisions.actions.push(Action::GiveUp { call: id, retry_after });
        }
        self.pass(now, pool, decisions);
    }

    pub(super) fn cancelled(&mut self, now: Timestamp, id: CallId, decisions: &mut Decisions) {
        let Some(key) = self.ids.get(&id).copied() else {
            return;
        };
        let pool = self.calls[key].pool;
        match &self.calls[key].state {
            State::InService(_) => {
                let Some((entry, service)) = self.take_from_service(id) else {
                    return;
                };
                self.settle(&entry, &service, service.charged);
                self.call_over(now, &entry);
                self.begin_pause(now, entry.program);
            }
            State::AtDoor(_) | State::Waiting(_) | State::Delayed(_) => self.withdraw(now, id),
        }
        self.pass(now, pool, decisions);
    }

    /// Takes a call out that is not in service.
    pub(super) fn withdraw(&mut self, now: Timestamp, id: CallId) {
        let Some(key) = self.ids.remove(&id) else {
            return;
        };
        if let Some(State::AtDoor(ticket)) = self.calls.get(key).map(|entry| &entry.state) {
            self.leave_door(key, *ticket);
        }
        let Some(entry) = self.calls.remove(key) else {
            return;
        };
        match entry.state {
            State::Waiting(ticket) => {
                for queues in [&mut self.queues, &mut self.outliers] {
                    if let Some(queue) = queues.get_mut(entry.pool) {
                        queue.remove(&entry.owner, ticket);
                    }
                }
            }
            State::Delayed(due) => {
                self.delayed.remove(&(due, key));
            }
            State::AtDoor(_) | State::InService(_) => {}
        }
        self.call_over(now, &entry);
        self.begin_pause(now, entry.program);
    }

    pub(super) fn ended(&mut self, now: Timestamp, id: &ProgramId, decisions: &mut Decisions) {
        let Some(key) = self.programs.find(id) else {
            return;
        };
        self.forget(key, decisions);
        self.pass_all(now, decisions);
    }

    /// Releases what a program holds and forgets it.
    pub(super) fn forget(&mut self, key: ProgramKey, decisions: &mut Decisions) {
        self.release_everywhere(key, decisions);
        let Some(program) = self.programs.remove(key) else {
            return;
        };
        if program.attained > 0 {
            self.classes.learn_service(&program.id.partner, &program.class, program.attained);
        }
        if let Some((pool, booked)) = program.booked {
            self.classes.learn_tokens(&program.id.partner, &program.class, program.own_tokens());
            self.doors[pool].update_reservation(&program.id.partner, booked, 0);
            self.open_door(pool);
        }
    }

    fn take_from_service(&mut self, id: CallId) -> Option<(Entry, InService)> {
        let key = *self.ids.get(&id)?;
        if !matches!(self.calls[key].state, State::InService(_)) {
            return None;
        }
        self.ids.remove(&id);
        let mut entry = self.calls.remove(key)?;
        let State::InService(service) = std::mem::replace(&mut entry.state, State::Delayed(Timestamp(0)))
        else {
            return None;
        };
        if let Some(server) = self.fleet.servers.get_mut(service.server) {
            server.pinned_tokens = server.pinned_tokens.saturating_sub(service.pinned);
            if service.first_token.is_none() {
                server.pending_prefill = server.pending_prefill.saturating_sub(service.uncached);
            }
        }
        self.fleet.release(service.server);
        if let Some(pool) = self.fleet.pools.get_mut(entry.pool) {
            pool.outliers = pool.outliers.saturating_sub(u64::from(service.outlier));
        }
        Some((entry, service))
    }

    fn may_retry(&mut self, entry: &Entry, failure: Failure) -> bool {
        match failure {
            Failure::Connect | Failure::Refused => entry.attempts < UNSENT_ATTEMPTS,
            Failure::Error => false,
            Failure::Lost => {
                entry.call.repeatable == Repeatable::Yes
                    && entry.attempts < self.cfg.max_attempts
                    && self.retries.take(&entry.call.program.partner)
            }
        }
    }

    fn attain(&mut self, entry: &Entry, spent: u64) {
        for key in [Some(entry.program), (entry.root != entry.program).then_some(entry.root)] {
            if let Some(program) = key.and_then(|key| self.programs.get_mut(key)) {
                program.attained = program.attained.saturating_add(spent);
            }
        }
    }

    /// Puts the true service in place of the expected one in the owner's account.
    fn settle(&mut self, entry: &Entry, service: &InService, spent: u64) {
        if let Some(queue) = self.queues.get_mut(entry.pool) {
            queue.refund(&entry.owner, service.charged);
            queue.charge(&entry.owner, spent);
        }
    }

    fn observe_pace(&mut self, now: Timestamp, service: &InService, output_tokens: u64) {
        let Some(first) = service.first_token else {
            return;
        };
        let Some(server) = self.fleet.servers.get_mut(service.server) else {
            return;
        };
        let load = u64::from(server.load()) + 1;
        let step = self.cfg.step_base + self.cfg.step_per_request * load;
        let expected = step * output_tokens.saturating_sub(1);
        if let Some(percent) = (micros(now.since(first)) * PERCENT).checked_div(expected) {
            server.observe_pace(percent);
        }
    }

    fn call_over(&mut self, now: Timestamp, entry: &Entry) {
        if let Some(root) = self.programs.get_mut(entry.root) {
            root.active = now;
        }
        if let Some(program) = self.programs.get_mut(entry.program) {
            program.active = now;
            program.calls = program.calls.saturating_sub(1);
        }
    }

    fn begin_pause(&mut self, now: Timestamp, key: ProgramKey) {
        let Some(program) = self.programs.get(key).filter(|program| program.calls == 0) else {
            return;
        };
        let class = program.class.clone();
        let away = self.returns.quantile(&class, None, self.cfg.return_percent);
        let expected = now + away;
        if let Some(program) = self.programs.get_mut(key) {
            program.pause = Some(Pause { since: now, expected, tool: None });
        }
        self.park(key, expected);
    }

    /// A server that took no call gets none for a while.
    fn rest(&mut self, now: Timestamp, key: BackendKey) {
        let until = now + FIRST_REST;
        if let Some(server) = self.fleet.servers.get_mut(key) {
            server.resting_until = until;
            self.resting.insert((until, key));
        }
        self.fleet.refresh(key);
    }

    /// A server that can't be reached has probably lost its cache.
    fn lost_everything(&mut self, key: BackendKey) {
        if let Some(server) = self.fleet.servers.get_mut(key) {
            server.residency.clear();
        }
    }
}
