//! Submission of calls.

use std::sync::Arc;

use crate::admission::queue::CallKey;
use crate::admission::queue::FairQueue;
use crate::admission::queue::Owner;
use crate::admission::queue::QueuedCall;
use crate::clock::Timestamp;
use crate::clock::micros;
use crate::scheduler::core::CallEntry;
use crate::scheduler::core::CallPhase;
use crate::scheduler::core::Core;
use crate::scheduler::event::Action;
use crate::scheduler::event::Call;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::RefusalReason;
use crate::scheduler::event::Work;
use crate::scheduler::fleet::PoolKey;
use crate::scheduler::order::RankInput;
use crate::scheduler::programs::ProgramKey;

const ESTIMATED_BATCH_SIZE: u64 = 12;

impl Core {
    pub(super) fn submit(&mut self, now: Timestamp, call: Call, decisions: &mut Decisions) {
        let pool = match self.validate(now, &call) {
            Ok(pool) => pool,
            Err(reason) => {
                let retry_after = self.cfg.retry_after;
                decisions.actions.push(Action::Refuse { call: call.id, reason, retry_after });
                return;
            }
        };
        let program = self.track_program(now, &call);
        let root = self.track_root(now, &call, program);
        let expected_output = self.expected_output(&call);
        let owner = Owner { partner: call.program.partner.clone(), team: call.team.clone() };
        let entry = CallEntry {
            owner,
            pool,
            program,
            root,
            submitted: now,
            expected_output,
            attempts: 0,
            phase: CallPhase::Delayed(now),
            call,
        };
        let id = entry.call.id;
        let key = self.calls.insert(entry);
        self.keys_by_id.insert(id, key);
        self.admit(key);
        self.dispatch_pool(now, pool, decisions);
    }

    /// Ranks a call and adds it to the queue of its pool.
    pub(super) fn enqueue(&mut self, key: CallKey) {
        let queued = self.rank(key);
        let entry = &mut self.calls[key];
        entry.phase = CallPhase::Queued(queued);
        let owner = entry.owner.clone();
        let pool = entry.pool;
        let is_outlier = self.is_outlier(key);
        self.queue(pool, &owner, is_outlier).push(&owner, queued);
    }

    fn queue_len(&self, pool: PoolKey) -> usize {
        [&self.queues, &self.outlier_queues]
            .iter()
            .map(|queues| queues.get(pool).map_or(0, FairQueue::len))
            .sum()
    }

    /// Computes the queue entry of a call.
    pub(super) fn rank(&mut self, key: CallKey) -> QueuedCall {
        let entry = &self.calls[key];
        let rule = self.classes.rule(&entry.call.program.partner, &entry.call.class);
        let attained = self.programs.get(entry.root).map_or(0, |program| program.attained);
        let remaining =
            self.classes.expected_remaining(&entry.call.program.partner, &entry.call.class, attained);
        let input = RankInput {
            submitted: entry.submitted,
            attained,
            remaining,
            queue_time: self.programs.get(entry.root).map(|program| program.queue_time).unwrap_or_default(),
            expected: self.expected_service(entry),
            priority: rule.priority,
        };
        self.sequence += 1;
        let rank = self.components.order.rank(&input);
        QueuedCall { rank, sequence: self.sequence, call: key }
    }

    /// Estimated engine time per generated token, in microseconds.
    pub(super) fn token_time(&self) -> u64 {
        self.cfg.step_base / ESTIMATED_BATCH_SIZE + self.cfg.step_per_request
    }

    /// Expected service of a waiting call, in microseconds of engine time.
    pub(super) fn expected_service(&self, entry: &CallEntry) -> u64 {
        let Work::Model { prompt_tokens, .. } = &entry.call.work else {
            return 0;
        };
        let previous_tokens = self.programs.get(entry.program).map_or(0, |program| program.tokens);
        let new_tokens = u64::from(*prompt_tokens).saturating_sub(previous_tokens);
        new_tokens * self.cfg.prefill_per_token + entry.expected_output * self.token_time()
    }

    /// The queue of a pool for regular calls or for calls of outliers.
    fn queue(&mut self, pool: PoolKey, owner: &Owner, is_outlier: bool) -> &mut FairQueue {
        let queues = if is_outlier { &mut self.outlier_queues } else { &mut self.queues };
        if !queues.contains_key(pool) {
            let queue = if self.components.shares {
                FairQueue::new(micros(self.cfg.share_slack), micros(self.cfg.team_slack))
            } else {
                FairQueue::new(u64::MAX, u64::MAX)
            };
            queues.insert(pool, queue);
        }
        let queue = &mut queues[pool];
        let share = self.catalog.shares.get(&owner.partner).copied().unwrap_or(1);
        let team = (owner.partner.clone(), owner.team.clone());
        let weight = self.catalog.teams.get(&team).copied().unwrap_or(1);
        queue.set_weights(owner, share, weight);
        queue
    }

    fn validate(&mut self, now: Timestamp, call: &Call) -> Result<PoolKey, RefusalReason> {
        let pool = self.fleet.pool_for(&call.work).ok_or(RefusalReason::NoBackend)?;
        if call.deadline.is_some_and(|deadline| deadline <= now) {
            return Err(RefusalReason::Deadline);
        }
        let waiting = self.queue_len(pool);
        if waiting >= self.cfg.queue_limit {
            return Err(RefusalReason::Overload);
        }
        if self.count_repeats(call) > self.cfg.repeat_limit {
            return Err(RefusalReason::Runaway);
        }
        Ok(pool)
    }

    /// Counts consecutive repetitions of a prompt. Loops with growing prompts are not detected here; the order of
    /// service, the turn limit and the budget of the program contain them.
    fn count_repeats(&mut self, call: &Call) -> u32 {
        let Work::Model { blocks, prompt_tokens, .. } = &call.work else {
            return 0;
        };
        let Some(key) = self.programs.find(&call.program) else {
            return 0;
        };
        let Some(program) = self.programs.get_mut(key) else {
            return 0;
        };
        let is_repeated = program.prompt_tokens == u64::from(*prompt_tokens)
            && !blocks.is_empty()
            && program.blocks.last() == blocks.last();
        program.repeated_prompts = if is_repeated { program.repeated_prompts + 1 } else { 0 };
        program.repeated_prompts
    }

    fn track_program(&mut self, now: Timestamp, call: &Call) -> ProgramKey {
        let rule = self.classes.rule(&call.program.partner, &call.class);
        let key = self.programs.get_or_insert(&call.program, &call.class, rule.keepalive, now);
        self.end_pause(now, key);
        if let Some(program) = self.programs.get_mut(key) {
            program.calls += 1;
        }
        key
    }

    fn track_root(&mut self, now: Timestamp, call: &Call, program: ProgramKey) -> ProgramKey {
        if call.root == call.program {
            return program;
        }
        let rule = self.classes.rule(&call.root.partner, &call.class);
        self.programs.get_or_insert(&call.root, &call.class, rule.keepalive, now)
    }

    fn end_pause(&mut self, now: Timestamp, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        let Some(pause) = program.pause.take() else {
            return;
        };
        let class: Arc<str> = program.class.clone();
        self.pauses.record(&class, pause.tool.as_ref(), now.since(pause.since));
        self.remove_idle_program(key, pause.expected_end);
    }

    fn expected_output(&self, call: &Call) -> u64 {
        let Work::Model { max_tokens, .. } = &call.work else {
            return 0;
        };
        let average = self.classes.expected_output(&call.program.partner, &call.class);
        average.min(u64::from(*max_tokens))
    }
}
