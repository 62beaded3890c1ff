//! Progress and outcomes of attempts.

use crate::clock::Timestamp;
use crate::clock::micros;
use crate::ids::ProgramId;
use crate::programs::command::Repeatable;
use crate::scheduler::core::CallEntry;
use crate::scheduler::core::CallPhase;
use crate::scheduler::core::Core;
use crate::scheduler::core::InService;
use crate::scheduler::event::Action;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::Failure;
use crate::scheduler::event::Work;
use crate::scheduler::programs::ProgramKey;
use crate::scheduler::programs::ProgramPause;

const PERCENT: u64 = 100;
const MAX_TRACKED_BLOCKS: u64 = 1 << 16;
const SERVER_BACKOFF: std::time::Duration = std::time::Duration::from_secs(2);
const MAX_UNSENT_ATTEMPTS: u32 = 10;

impl Core {
    pub(super) fn first_token(&mut self, now: Timestamp, id: CallId) {
        let Some(key) = self.keys_by_id.get(&id) else {
            return;
        };
        let entry = &mut self.calls[*key];
        let CallPhase::InService(service) = &mut entry.phase else {
            return;
        };
        if service.first_token.is_some() {
            return;
        }
        service.first_token = Some(now);
        let Some(server) = self.fleet.servers.get_mut(service.server) else {
            return;
        };
        server.pending_prefill = server.pending_prefill.saturating_sub(service.prefill_tokens);
        if let Work::Model { blocks, prompt_tokens, .. } = &entry.call.work {
            if let Some(block_tokens) = prompt_tokens.checked_div(u32::try_from(blocks.len()).unwrap_or(0)) {
                let capacity =
                    (server.cache_budget(PERCENT) / u64::from(block_tokens.max(1))).min(MAX_TRACKED_BLOCKS);
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
        let Some((entry, service)) = self.remove_in_service(id) else {
            return;
        };
        let partner = &entry.call.program.partner;
        self.retries.record_success(partner);
        self.record_outcome(now, &entry, service.server, false);
        if let Work::Model { prompt_tokens, .. } = &entry.call.work {
            self.classes.record_output(partner, &entry.call.class, output_tokens);
            self.record_token_time(now, &service, output_tokens);
            let computed = u64::from(*prompt_tokens).saturating_sub(cached_tokens);
            let attained = computed * self.cfg.prefill_per_token + output_tokens * self.token_time();
            self.add_service(&entry, attained);
            self.settle_charge(&entry, &service, attained);
            if let Some(program) = self.programs.get_mut(entry.program) {
                program.tokens = u64::from(*prompt_tokens) + output_tokens;
            }
            self.raise_reservation(entry.program);
        }
        self.finish_call(now, &entry);
        self.begin_pause(now, entry.program);
        self.export_excess(service.server, decisions);
        self.dispatch_pool(now, entry.pool, decisions);
    }

    pub(super) fn failed(&mut self, now: Timestamp, id: CallId, failure: Failure, decisions: &mut Decisions) {
        let Some((entry, service)) = self.remove_in_service(id) else {
            return;
        };
        let pool = entry.pool;
        self.settle_charge(&entry, &service, 0);
        let is_unsent = matches!(failure, Failure::Connect | Failure::Refused);
        if is_unsent {
            self.back_off(now, service.server);
        } else {
            self.record_outcome(now, &entry, service.server, true);
        }
        if failure == Failure::Connect {
            self.clear_residency(service.server);
        }
        if self.may_retry(&entry, failure) {
            let delay = micros(self.cfg.retry_delay);
            let jitter = self.rng.below(delay + 1);
            let due = if is_unsent { now } else { Timestamp(now.0 + delay + jitter) };
            let key = self.calls.insert(CallEntry { phase: CallPhase::Delayed(due), ..entry });
            self.keys_by_id.insert(id, key);
            if is_unsent {
                self.enqueue(key);
            } else {
                self.delayed.insert((due, key));
            }
        } else {
            self.finish_call(now, &entry);
            self.begin_pause(now, entry.program);
            let retry_after = self.cfg.retry_after;
            decisions.actions.push(Action::GiveUp { call: id, retry_after });
        }
        self.dispatch_pool(now, pool, decisions);
    }

    pub(super) fn cancelled(&mut self, now: Timestamp, id: CallId, decisions: &mut Decisions) {
        let Some(key) = self.keys_by_id.get(&id).copied() else {
            return;
        };
        let pool = self.calls[key].pool;
        match &self.calls[key].phase {
            CallPhase::InService(_) => {
                let Some((entry, service)) = self.remove_in_service(id) else {
                    return;
                };
                self.settle_charge(&entry, &service, service.charged_service);
                self.finish_call(now, &entry);
                self.begin_pause(now, entry.program);
            }
            CallPhase::AwaitingAdmission(_) | CallPhase::Queued(_) | CallPhase::Delayed(_) => {
                self.remove_waiting(now, id);
            }
        }
        self.dispatch_pool(now, pool, decisions);
    }

    /// Removes a call that is not in service.
    pub(super) fn remove_waiting(&mut self, now: Timestamp, id: CallId) {
        let Some(key) = self.keys_by_id.remove(&id) else {
            return;
        };
        if let Some(CallPhase::AwaitingAdmission(queued)) = self.calls.get(key).map(|entry| &entry.phase) {
            self.remove_from_admission(key, *queued);
        }
        let Some(entry) = self.calls.remove(key) else {
            return;
        };
        match entry.phase {
            CallPhase::Queued(queued) => {
                for queues in [&mut self.queues, &mut self.outlier_queues] {
                    if let Some(queue) = queues.get_mut(entry.pool) {
                        queue.remove(&entry.owner, queued);
                    }
                }
            }
            CallPhase::Delayed(due) => {
                self.delayed.remove(&(due, key));
            }
            CallPhase::AwaitingAdmission(_) | CallPhase::InService(_) => {}
        }
        self.finish_call(now, &entry);
        self.begin_pause(now, entry.program);
    }

    pub(super) fn ended(&mut self, now: Timestamp, id: &ProgramId, decisions: &mut Decisions) {
        let Some(key) = self.programs.find(id) else {
            return;
        };
        self.remove_program(key, decisions);
        self.dispatch_all(now, decisions);
    }

    /// Releases the prefix of a program and removes the program.
    pub(super) fn remove_program(&mut self, key: ProgramKey, decisions: &mut Decisions) {
        self.release_prefix(key, decisions);
        let Some(program) = self.programs.remove(key) else {
            return;
        };
        if program.attained > 0 {
            self.classes.record_service(&program.id.partner, &program.class, program.attained);
        }
        if let Some((pool, reservation)) = program.reservation {
            self.classes.record_tokens(&program.id.partner, &program.class, program.own_tokens());
            self.admissions[pool].update_reservation(&program.id.partner, reservation, 0);
            self.admit_waiting(pool);
        }
    }

    fn remove_in_service(&mut self, id: CallId) -> Option<(CallEntry, InService)> {
        let key = *self.keys_by_id.get(&id)?;
        if !matches!(self.calls[key].phase, CallPhase::InService(_)) {
            return None;
        }
        self.keys_by_id.remove(&id);
        let mut entry = self.calls.remove(key)?;
        let CallPhase::InService(service) =
            std::mem::replace(&mut entry.phase, CallPhase::Delayed(Timestamp(0)))
        else {
            return None;
        };
        if let Some(server) = self.fleet.servers.get_mut(service.server) {
            server.pinned_tokens = server.pinned_tokens.saturating_sub(service.pinned_tokens);
            if service.first_token.is_none() {
                server.pending_prefill = server.pending_prefill.saturating_sub(service.prefill_tokens);
            }
        }
        self.fleet.release(service.server);
        if let Some(pool) = self.fleet.pools.get_mut(entry.pool) {
            pool.outlier_calls = pool.outlier_calls.saturating_sub(u64::from(service.is_outlier));
        }
        Some((entry, service))
    }

    fn may_retry(&mut self, entry: &CallEntry, failure: Failure) -> bool {
        match failure {
            Failure::Connect | Failure::Refused => entry.attempts < MAX_UNSENT_ATTEMPTS,
            Failure::Error => false,
            Failure::Lost => {
                entry.call.repeatable == Repeatable::Yes
                    && entry.attempts < self.cfg.max_attempts
                    && self.retries.take(&entry.call.program.partner)
            }
        }
    }

    fn add_service(&mut self, entry: &CallEntry, attained: u64) {
        for key in [Some(entry.program), (entry.root != entry.program).then_some(entry.root)] {
            if let Some(program) = key.and_then(|key| self.programs.get_mut(key)) {
                program.attained = program.attained.saturating_add(attained);
            }
        }
    }

    /// Replaces the expected service charged to the owner by the actual one.
    fn settle_charge(&mut self, entry: &CallEntry, service: &InService, actual: u64) {
        if let Some(queue) = self.queues.get_mut(entry.pool) {
            queue.refund(&entry.owner, service.charged_service);
            queue.charge(&entry.owner, actual);
        }
    }

    fn record_token_time(&mut self, now: Timestamp, service: &InService, output_tokens: u64) {
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
            server.record_token_time(percent);
        }
    }

    fn finish_call(&mut self, now: Timestamp, entry: &CallEntry) {
        if let Some(root) = self.programs.get_mut(entry.root) {
            root.last_active = now;
        }
        if let Some(program) = self.programs.get_mut(entry.program) {
            program.last_active = now;
            program.calls = program.calls.saturating_sub(1);
        }
    }

    fn begin_pause(&mut self, now: Timestamp, key: ProgramKey) {
        let Some(program) = self.programs.get(key).filter(|program| program.calls == 0) else {
            return;
        };
        let class = program.class.clone();
        let pause = self.pauses.quantile(&class, None, self.cfg.return_percent);
        let expected = now + pause;
        if let Some(program) = self.programs.get_mut(key) {
            program.pause = Some(ProgramPause { since: now, expected_end: expected, tool: None });
        }
        self.mark_idle(key, expected);
    }

    /// Stops sending calls to a server for [`SERVER_BACKOFF`].
    fn back_off(&mut self, now: Timestamp, key: BackendKey) {
        let until = now + SERVER_BACKOFF;
        if let Some(server) = self.fleet.servers.get_mut(key) {
            server.backoff_until = until;
            self.backoffs.insert((until, key));
        }
        self.fleet.update_open(key);
    }

    /// Assumes that an unreachable server has lost its cache.
    fn clear_residency(&mut self, key: BackendKey) {
        if let Some(server) = self.fleet.servers.get_mut(key) {
            server.residency.clear();
        }
    }
}
