//! Dispatch of waiting calls.

use crate::admission::queue::CallKey;
use crate::admission::queue::FairQueue;
use crate::admission::queue::Owner;
use crate::admission::queue::QueuedCall;
use crate::clock::Timestamp;
use crate::placing::Fetch;
use crate::placing::Placement;
use crate::placing::PlacementRequest;
use crate::placing::cost::missing_tokens;
use crate::placing::cost::required_tokens;
use crate::scheduler::core::CallEntry;
use crate::scheduler::core::CallPhase;
use crate::scheduler::core::Core;
use crate::scheduler::core::InService;
use crate::scheduler::event::Action;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::CacheCommand;
use crate::scheduler::event::Decisions;
use crate::scheduler::event::RefusalReason;
use crate::scheduler::event::Work;
use crate::scheduler::fleet::PoolKey;
use crate::scheduler::programs::PrefixLocation;
use crate::scheduler::programs::Program;
use crate::scheduler::programs::ProgramKey;
use crate::scheduler::programs::Programs;

impl Core {
    /// Dispatches waiting calls of all pools.
    pub(super) fn dispatch_all(&mut self, now: Timestamp, decisions: &mut Decisions) {
        let pools: Vec<PoolKey> = self.fleet.pools.keys().collect();
        for pool in pools {
            self.dispatch_pool(now, pool, decisions);
        }
    }

    /// Dispatches waiting calls of a pool in order until no server is open or too many were skipped. Outliers
    /// go first but are limited in number, so that they neither starve nor fill the batches.
    pub(super) fn dispatch_pool(&mut self, now: Timestamp, pool: PoolKey, decisions: &mut Decisions) {
        self.dispatch_queue(now, pool, true, decisions);
        self.dispatch_queue(now, pool, false, decisions);
    }

    fn dispatch_queue(&mut self, now: Timestamp, pool: PoolKey, outliers: bool, decisions: &mut Decisions) {
        let mut skipped: Vec<(Owner, QueuedCall)> = Vec::new();
        let mut deferred_to: Vec<BackendKey> = Vec::new();
        while skipped.len() <= self.cfg.pass_skips && !self.fleet.pools[pool].open.is_empty() {
            if outliers && !self.can_send_outlier(pool) {
                break;
            }
            let queues = if outliers { &mut self.outlier_queues } else { &mut self.queues };
            let Some((owner, waiting)) = queues.get_mut(pool).and_then(FairQueue::pop) else {
                break;
            };
            if self.refuse_if_expired(now, waiting.call, decisions) {
                continue;
            }
            match self.place(now, pool, waiting.call) {
                Placement::Send { to, fetch } => self.send(now, waiting.call, to, fetch, decisions),
                Placement::WaitFor(server) => {
                    self.fleet.servers[server].deferred_calls += 1;
                    deferred_to.push(server);
                    skipped.push((owner, waiting));
                }
                Placement::NoCapacity => skipped.push((owner, waiting)),
            }
        }
        for server in deferred_to {
            self.fleet.servers[server].deferred_calls = 0;
        }
        let queues = if outliers { &mut self.outlier_queues } else { &mut self.queues };
        for (owner, waiting) in skipped {
            queues[pool].push(&owner, waiting);
        }
    }

    /// Ends a call whose deadline has passed.
    fn refuse_if_expired(&mut self, now: Timestamp, key: CallKey, decisions: &mut Decisions) -> bool {
        let entry = &self.calls[key];
        if entry.call.deadline.is_none_or(|deadline| deadline > now) {
            return false;
        }
        let (id, was_sent) = (entry.call.id, entry.attempts > 0);
        self.remove_waiting(now, id);
        let retry_after = self.cfg.retry_after;
        decisions.actions.push(if was_sent {
            Action::GiveUp { call: id, retry_after }
        } else {
            Action::Refuse { call: id, reason: RefusalReason::Deadline, retry_after }
        });
        true
    }

    /// Whether the program of a call has attained so much more service than the mean of its class that it may
    /// be in a loop.
    pub(super) fn is_outlier(&self, key: CallKey) -> bool {
        let entry = &self.calls[key];
        if !self.components.shares || !matches!(entry.call.work, Work::Model { .. }) {
            return false;
        }
        let mean = self.classes.mean_service(&entry.owner.partner, &entry.call.class);
        let attained = self.programs.get(entry.root).map_or(0, |root| root.attained);
        mean.is_some_and(|mean| attained > mean.saturating_mul(self.cfg.outlier_factor))
    }

    fn can_send_outlier(&self, pool: PoolKey) -> bool {
        let pool = &self.fleet.pools[pool];
        let engines = u64::try_from(pool.members.len()).unwrap_or(u64::MAX);
        let others = pool.running.saturating_sub(pool.outlier_calls);
        let is_lightly_loaded = others < engines * self.cfg.quiet_calls;
        is_lightly_loaded || pool.outlier_calls < (engines * self.cfg.outliers_per_ten / 10).max(1)
    }

    fn place(&mut self, now: Timestamp, pool: PoolKey, call: CallKey) -> Placement {
        let entry = &self.calls[call];
        let request = placement_request(&self.programs, entry, now);
        self.components.placer.place(&self.fleet, pool, &request)
    }

    fn send(
        &mut self,
        now: Timestamp,
        call: CallKey,
        to: BackendKey,
        fetch: Fetch,
        decisions: &mut Decisions,
    ) {
        let entry = &self.calls[call];
        let program = entry.program;
        let request = placement_request(&self.programs, entry, now);
        let (prefill_tokens, pinned_tokens, cached_blocks) = {
            let cached_blocks = self.fleet.servers[to].residency.prefix_len(request.blocks);
            let missing = missing_tokens(&request, cached_blocks);
            let fetched = match fetch {
                Fetch::None => 0,
                Fetch::Import => request.exported_tokens.min(missing),
                Fetch::Move(_) => request.own_tokens.min(missing),
            };
            let divisor = self.cfg.import_divisor.max(1);
            (missing - fetched + fetched / divisor, required_tokens(&request), cached_blocks)
        };
        let is_model = matches!(entry.call.work, Work::Model { .. });
        let charged_service = self.expected_service(entry);
        let is_outlier = self.is_outlier(call);
        self.fleet.pools[entry.pool].outlier_calls += u64::from(is_outlier);
        let root = entry.root;
        let queue_time = now.since(entry.submitted);
        if let Some(root) = self.programs.get_mut(root) {
            root.queue_time += queue_time;
        }
        if is_model {
            self.record_shared_prefix(program, cached_blocks, call);
            self.fetch_prefix(program, to, fetch, decisions);
        }
        self.record_prefix_location(call, to, is_model);
        let server = &mut self.fleet.servers[to];
        server.pinned_tokens += pinned_tokens;
        server.pending_prefill += prefill_tokens;
        self.fleet.acquire(to);
        if is_model {
            self.export_excess(to, decisions);
        }
        let entry = &mut self.calls[call];
        entry.attempts += 1;
        let service = InService {
            server: to,
            first_token: None,
            prefill_tokens,
            pinned_tokens,
            charged_service,
            is_outlier,
        };
        entry.phase = CallPhase::InService(service);
        let priority = self.classes.rule(&entry.call.program.partner, &entry.call.class).priority;
        decisions.actions.push(Action::Dispatch { call: entry.call.id, backend: to, priority });
        let (owner, pool) = (entry.owner.clone(), entry.pool);
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.charge(&owner, charged_service);
        }
    }

    /// Records how much of a program's first prompt was already cached.
    fn record_shared_prefix(&mut self, key: ProgramKey, cached_blocks: usize, call: CallKey) {
        let Work::Model { blocks, prompt_tokens, .. } = &self.calls[call].call.work else {
            return;
        };
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        if !program.blocks.is_empty() || blocks.is_empty() {
            return;
        }
        let count = u64::try_from(blocks.len()).unwrap_or(u64::MAX);
        let cached = u64::try_from(cached_blocks).unwrap_or(u64::MAX);
        program.shared_blocks = cached_blocks;
        program.shared_tokens = u64::from(*prompt_tokens) / count * cached;
    }

    /// Issues the commands that bring the program's prefix to the engine.
    fn fetch_prefix(&mut self, key: ProgramKey, to: BackendKey, fetch: Fetch, decisions: &mut Decisions) {
        let location = self.programs.get(key).map(|program| program.prefix_location).unwrap_or_default();
        match (fetch, location) {
            (Fetch::Move(from), _) if self.components.retention => self.export_prefix(key, from, decisions),
            (_, PrefixLocation::Cached(from)) if from != to => self.release_prefix(key, decisions),
            _ => self.release_idle_tokens(key),
        }
        if fetch == Fetch::None || !self.components.retention {
            return;
        }
        if let Some(program) = self.programs.get(key) {
            let program = program.id.clone();
            decisions.cache_commands.push(CacheCommand::Import { program, backend: to });
        }
    }

    /// Records the server and the prompt of a program's latest call.
    fn record_prefix_location(&mut self, call: CallKey, to: BackendKey, is_model: bool) {
        let entry = &self.calls[call];
        let Some(program) = self.programs.get_mut(entry.program) else {
            return;
        };
        let Work::Model { blocks, prompt_tokens, .. } = &entry.call.work else {
            return;
        };
        if is_model {
            program.last_server = Some(to);
            program.prefix_location = PrefixLocation::Cached(to);
            program.blocks = blocks.clone();
            program.prompt_tokens = u64::from(*prompt_tokens);
            program.tokens = u64::from(*prompt_tokens);
        }
    }
}

fn placement_request<'a>(
    programs: &'a Programs,
    entry: &'a CallEntry,
    now: Timestamp,
) -> PlacementRequest<'a> {
    let program = programs.get(entry.program);
    let root = programs.get(entry.root);
    let (blocks, prompt_tokens): (&[u64], u64) = match &entry.call.work {
        Work::Model { blocks, prompt_tokens, .. } => (blocks, u64::from(*prompt_tokens)),
        Work::Service { .. } => (&[], 0),
    };
    let exported = |program: &&Program| program.exported;
    let exported_tokens = program.filter(exported).or(root.filter(exported)).map_or(0, |p| p.tokens);
    PlacementRequest {
        blocks,
        prompt_tokens,
        output_tokens: entry.expected_output,
        own_tokens: program.map_or(0, Program::own_tokens),
        shared_tokens: program.map_or(0, |program| program.shared_tokens),
        exported_tokens,
        prefix_location: program.map(|program| program.prefix_location).unwrap_or_default(),
        last_server: program.and_then(|program| program.last_server),
        root_server: root.and_then(|root| root.last_server),
        waited: now.since(entry.submitted),
    }
}
