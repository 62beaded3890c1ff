//! The pass over waiting calls, and what is done when one is sent.

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
use crate::scheduler::core::Core;
use crate::scheduler::core::Entry;
use crate::scheduler::core::InService;
use crate::scheduler::core::State;
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
    /// Sends waiting calls of all pools.
    pub(super) fn pass_all(&mut self, now: Timestamp, decisions: &mut Decisions) {
        let pools: Vec<PoolKey> = self.fleet.pools.keys().collect();
        for pool in pools {
            self.pass(now, pool, decisions);
        }
    }

    /// Sends waiting calls of a pool in their order until no server is open or too many had to be
    /// left behind. Outliers go first, but few at a time, so that they neither starve nor fill every
    /// batch.
    pub(super) fn pass(&mut self, now: Timestamp, pool: PoolKey, decisions: &mut Decisions) {
        self.pass_lane(now, pool, true, decisions);
        self.pass_lane(now, pool, false, decisions);
    }

    fn pass_lane(&mut self, now: Timestamp, pool: PoolKey, outliers: bool, decisions: &mut Decisions) {
        let mut left: Vec<(Owner, QueuedCall)> = Vec::new();
        let mut held_for: Vec<BackendKey> = Vec::new();
        while left.len() <= self.cfg.pass_skips && !self.fleet.pools[pool].open.is_empty() {
            if outliers && !self.takes_outliers(pool) {
                break;
            }
            let lane = if outliers { &mut self.outliers } else { &mut self.queues };
            let Some((owner, ticket)) = lane.get_mut(pool).and_then(FairQueue::pop) else {
                break;
            };
            if self.too_late(now, ticket.call, decisions) {
                continue;
            }
            match self.choose(now, pool, ticket.call) {
                Placement::Send { to, fetch } => self.send(now, ticket.call, to, fetch, decisions),
                Placement::WaitFor(server) => {
                    self.fleet.servers[server].deferred_calls += 1;
                    held_for.push(server);
                    left.push((owner, ticket));
                }
                Placement::NoCapacity => left.push((owner, ticket)),
            }
        }
        for server in held_for {
            self.fleet.servers[server].deferred_calls = 0;
        }
        let lane = if outliers { &mut self.outliers } else { &mut self.queues };
        for (owner, ticket) in left {
            lane[pool].push(&owner, ticket);
        }
    }

    /// Turns a call away whose caller no longer wants the answer, before work is spent on it.
    fn too_late(&mut self, now: Timestamp, key: CallKey, decisions: &mut Decisions) -> bool {
        let entry = &self.calls[key];
        if entry.call.deadline.is_none_or(|deadline| deadline > now) {
            return false;
        }
        let (id, sent_before) = (entry.call.id, entry.attempts > 0);
        self.withdraw(now, id);
        let retry_after = self.cfg.retry_after;
        decisions.actions.push(if sent_before {
            Action::GiveUp { call: id, retry_after }
        } else {
            Action::Refuse { call: id, reason: RefusalReason::Deadline, retry_after }
        });
        true
    }

    /// Whether a program has attained so much more than is usual that it may be a loop.
    pub(super) fn is_outlier(&self, key: CallKey) -> bool {
        let entry = &self.calls[key];
        if !self.parts.shares || !matches!(entry.call.work, Work::Model { .. }) {
            return false;
        }
        let usual = self.classes.usual_service(&entry.owner.partner, &entry.call.class);
        let attained = self.programs.get(entry.root).map_or(0, |root| root.attained);
        usual.is_some_and(|usual| attained > usual.saturating_mul(self.cfg.outlier_factor))
    }

    fn takes_outliers(&self, pool: PoolKey) -> bool {
        let pool = &self.fleet.pools[pool];
        let engines = u64::try_from(pool.members.len()).unwrap_or(u64::MAX);
        let others = pool.running.saturating_sub(pool.outliers);
        let quiet = others < engines * self.cfg.quiet_calls;
        quiet || pool.outliers < (engines * self.cfg.outliers_per_ten / 10).max(1)
    }

    fn choose(&mut self, now: Timestamp, pool: PoolKey, call: CallKey) -> Placement {
        let entry = &self.calls[call];
        let wanted = wanted(&self.programs, entry, now);
        self.parts.placer.place(&self.fleet, pool, &wanted)
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
        let wanted = wanted(&self.programs, entry, now);
        let (uncached, pinned, blocks) = {
            let held = self.fleet.servers[to].residency.prefix_len(wanted.blocks);
            let missing = missing_tokens(&wanted, held);
            let fetched = match fetch {
                Fetch::None => 0,
                Fetch::Import => wanted.exported_tokens.min(missing),
                Fetch::Move(_) => wanted.own_tokens.min(missing),
            };
            let divisor = self.cfg.import_divisor.max(1);
            (missing - fetched + fetched / divisor, required_tokens(&wanted), held)
        };
        let is_model = matches!(entry.call.work, Work::Model { .. });
        let charged = self.expected_service(entry);
        let outlier = self.is_outlier(call);
        self.fleet.pools[entry.pool].outliers += u64::from(outlier);
        let root = entry.root;
        let queue_time = now.since(entry.submitted);
        if let Some(root) = self.programs.get_mut(root) {
            root.waited += queue_time;
        }
        if is_model {
            self.note_shared(program, blocks, call);
            self.fetch(program, to, fetch, decisions);
        }
        self.settle_in(call, to, is_model);
        let server = &mut self.fleet.servers[to];
        server.pinned_tokens += pinned;
        server.pending_prefill += uncached;
        self.fleet.acquire(to);
        if is_model {
            self.make_room(to, decisions);
        }
        let entry = &mut self.calls[call];
        entry.attempts += 1;
        let service = InService { server: to, first_token: None, uncached, pinned, charged, outlier };
        entry.state = State::InService(service);
        let priority = self.classes.rule(&entry.call.program.partner, &entry.call.class).priority;
        decisions.actions.push(Action::Dispatch { call: entry.call.id, backend: to, priority });
        let (owner, pool) = (entry.owner.clone(), entry.pool);
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.charge(&owner, charged);
        }
    }

    /// Remembers how much of a program's first prompt was there before it.
    fn note_shared(&mut self, key: ProgramKey, held: usize, call: CallKey) {
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
        let held_blocks = u64::try_from(held).unwrap_or(u64::MAX);
        program.shared_blocks = held;
        program.shared_tokens = u64::from(*prompt_tokens) / count * held_blocks;
    }

    /// Gives the orders that bring the program's prefix to the engine.
    fn fetch(&mut self, key: ProgramKey, to: BackendKey, fetch: Fetch, decisions: &mut Decisions) {
        let place = self.programs.get(key).map(|program| program.place).unwrap_or_default();
        match (fetch, place) {
            (Fetch::Move(from), _) if self.parts.retention => self.export(key, from, decisions),
            (_, PrefixLocation::Cached(from)) if from != to => self.release_everywhere(key, decisions),
            _ => self.unpark(key),
        }
        if fetch == Fetch::None || !self.parts.retention {
            return;
        }
        if let Some(program) = self.programs.get(key) {
            let program = program.id.clone();
            decisions.cache_commands.push(CacheCommand::Import { program, backend: to });
        }
    }

    /// The program is now at home on this server.
    fn settle_in(&mut self, call: CallKey, to: BackendKey, is_model: bool) {
        let entry = &self.calls[call];
        let Some(program) = self.programs.get_mut(entry.program) else {
            return;
        };
        let Work::Model { blocks, prompt_tokens, .. } = &entry.call.work else {
            return;
        };
        if is_model {
            program.home = Some(to);
            program.place = PrefixLocation::Cached(to);
            program.blocks = blocks.clone();
            program.prompt_tokens = u64::from(*prompt_tokens);
            program.tokens = u64::from(*prompt_tokens);
        }
    }
}

fn wanted<'a>(programs: &'a Programs, entry: &'a Entry, now: Timestamp) -> PlacementRequest<'a> {
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
        place: program.map(|program| program.place).unwrap_or_default(),
        last_server: program.and_then(|program| program.home),
        root_server: root.and_then(|root| root.home),
        waited: now.since(entry.submitted),
    }
}
