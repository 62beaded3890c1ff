//! What happens when a call comes.

use std::sync::Arc;

use crate::admission::queue::CallKey;
use crate::admission::queue::FairQueue;
use crate::admission::queue::Owner;
use crate::admission::queue::QueuedCall;
use crate::clock::Timestamp;
use crate::clock::micros;
use crate::scheduler::core::Core;
use crate::scheduler::core::Entry;
use crate::scheduler::core::State;
use crate::scheduler::event::Action;
use crate::scheduler::event::Call;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::RefusalReason;
use crate::scheduler::event::Work;
use crate::scheduler::fleet::PoolKey;
use crate::scheduler::order::Candidate;
use crate::scheduler::programs::ProgramKey;

const BATCH_OF_ESTIMATES: u64 = 12;

impl Core {
    pub(super) fn submit(&mut self, now: Timestamp, call: Call, decisions: &mut Decisions) {
        let pool = match self.admit(now, &call) {
            Ok(pool) => pool,
            Err(reason) => {
                let retry_after = self.cfg.retry_after;
                decisions.actions.push(Action::Refuse { call: call.id, reason, retry_after });
                return;
            }
        };
        let program = self.enter(now, &call);
        let root = self.enter_root(now, &call, program);
        let expected_output = self.expected_output(&call);
        let owner = Owner { partner: call.program.partner.clone(), team: call.team.clone() };
        let entry = Entry {
            owner,
            pool,
            program,
            root,
            submitted: now,
            expected_output,
            attempts: 0,
            state: State::Delayed(now),
            call,
        };
        let id = entry.call.id;
        let key = self.calls.insert(entry);
        self.ids.insert(id, key);
        self.knock(key);
        self.pass(now, pool, decisions);
    }

    /// Puts a call into the queue of its pool, by its rank.
    pub(super) fn enqueue(&mut self, key: CallKey) {
        let ticket = self.ticket(key);
        let entry = &mut self.calls[key];
        entry.state = State::Waiting(ticket);
        let owner = entry.owner.clone();
        let pool = entry.pool;
        let outlier = self.is_outlier(key);
        self.queue(pool, &owner, outlier).push(&owner, ticket);
    }

    fn waiting(&self, pool: PoolKey) -> usize {
        [&self.queues, &self.outliers].iter().map(|queues| queues.get(pool).map_or(0, FairQueue::len)).sum()
    }

    /// Ranks a call.
    pub(super) fn ticket(&mut self, key: CallKey) -> QueuedCall {
        let entry = &self.calls[key];
        let rule = self.classes.rule(&entry.call.program.partner, &entry.call.class);
        let attained = self.programs.get(entry.root).map_or(0, |program| program.attained);
        let rest = self.classes.expected_rest(&entry.call.program.partner, &entry.call.class, attained);
        let candidate = Candidate {
            submitted: entry.submitted,
            attained,
            rest,
            waited: self.programs.get(entry.root).map(|program| program.waited).unwrap_or_default(),
            expected: self.expected_service(entry),
            priority: rule.priority,
        };
        self.sequence += 1;
        let rank = self.parts.order.rank(&candidate);
        QueuedCall { rank, sequence: self.sequence, call: key }
    }

    /// Engine time of a generated token in a usual batch, in microseconds.
    pub(super) fn token_time(&self) -> u64 {
        self.cfg.step_base / BATCH_OF_ESTIMATES + self.cfg.step_per_request
    }

    /// Engine time that a waiting call is expected to take, in microseconds.
    pub(super) fn expected_service(&self, entry: &Entry) -> u64 {
        let Work::Model { prompt_tokens, .. } = &entry.call.work else {
            return 0;
        };
        let known = self.programs.get(entry.program).map_or(0, |program| program.tokens);
        let fresh = u64::from(*prompt_tokens).saturating_sub(known);
        fresh * self.cfg.prefill_per_token + entry.expected_output * self.token_time()
    }

    /// The queue of a pool, or the one for calls of its outliers.
    fn queue(&mut self, pool: PoolKey, owner: &Owner, outlier: bool) -> &mut FairQueue {
        let queues = if outlier { &mut self.outliers } else { &mut self.queues };
        if !queues.contains_key(pool) {
            let queue = if self.parts.shares {
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

    fn admit(&mut self, now: Timestamp, call: &Call) -> Result<PoolKey, RefusalReason> {
        let pool = self.fleet.pool_for(&call.work).ok_or(RefusalReason::NoBackend)?;
        if call.deadline.is_some_and(|deadline| deadline <= now) {
            return Err(RefusalReason::Deadline);
        }
        let waiting = self.waiting(pool);
        if waiting >= self.cfg.queue_limit {
            return Err(RefusalReason::Overload);
        }
        if self.repeats(call) > self.cfg.repeat_limit {
            return Err(RefusalReason::Runaway);
        }
        Ok(pool)
    }

    /// Counts equal prompts in a row. A loop that grows its history is not seen here; it sinks in
    /// the order of service and meets the turn limit and the budget of its program.
    fn repeats(&mut self, call: &Call) -> u32 {
        let Work::Model { blocks, prompt_tokens, .. } = &call.work else {
            return 0;
        };
        let Some(key) = self.programs.find(&call.program) else {
            return 0;
        };
        let Some(program) = self.programs.get_mut(key) else {
            return 0;
        };
        let equal = program.prompt_tokens == u64::from(*prompt_tokens)
            && !blocks.is_empty()
            && program.blocks.last() == blocks.last();
        program.repeats = if equal { program.repeats + 1 } else { 0 };
        program.repeats
    }

    fn enter(&mut self, now: Timestamp, call: &Call) -> ProgramKey {
        let rule = self.classes.rule(&call.program.partner, &call.class);
        let key = self.programs.enter(&call.program, &call.class, rule.keepalive, now);
        self.unpause(now, key);
        if let Some(program) = self.programs.get_mut(key) {
            program.calls += 1;
        }
        key
    }

    fn enter_root(&mut self, now: Timestamp, call: &Call, program: ProgramKey) -> ProgramKey {
        if call.root == call.program {
            return program;
        }
        let rule = self.classes.rule(&call.root.partner, &call.class);
        self.programs.enter(&call.root, &call.class, rule.keepalive, now)
    }

    fn unpause(&mut self, now: Timestamp, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        let Some(pause) = program.pause.take() else {
            return;
        };
        let class: Arc<str> = program.class.clone();
        self.returns.record(&class, pause.tool.as_ref(), now.since(pause.since));
        self.no_longer_idle(key, pause.expected);
    }

    fn expected_output(&self, call: &Call) -> u64 {
        let Work::Model { max_tokens, .. } = &call.work else {
            return 0;
        };
        let usual = self.classes.expected_output(&call.program.partner, &call.class);
        usual.min(u64::from(*max_tokens))
    }
}
