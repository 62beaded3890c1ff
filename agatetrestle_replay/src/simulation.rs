//! Discrete-event simulation of programs, the scheduler and simulated backend servers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle::clock::Timestamp;
use agatetrestle::clock::micros;
use agatetrestle::ids::ProgramId;
use agatetrestle::programs::command::Repeatable;
use agatetrestle::scheduler::Scheduler;
use agatetrestle::scheduler::event::Action;
use agatetrestle::scheduler::event::BackendKey;
use agatetrestle::scheduler::event::CacheChange;
use agatetrestle::scheduler::event::CacheCommand;
use agatetrestle::scheduler::event::Call;
use agatetrestle::scheduler::event::CallId;
use agatetrestle::scheduler::event::Catalog;
use agatetrestle::scheduler::event::Decisions;
use agatetrestle::scheduler::event::Event;
use agatetrestle::scheduler::event::Failure;
use agatetrestle::scheduler::event::Load;
use agatetrestle::scheduler::event::Work;
use agatetrestle::trace::CallKind;

use crate::catalog::PoolConfig;
use crate::counters::Counters;
use crate::engine::EngineOutput;
use crate::engine::EngineRequest;
use crate::engine::SimEngine;
use crate::event_queue::EventQueue;
use crate::event_queue::SimEvent;
use crate::faults::Fault;
use crate::faults::FaultKind;
use crate::fleet::SimFleet;
use crate::programs::TracedProgram;
use crate::random::Random;
use crate::stats::ReplayStats;
use crate::synth::DEFECT_SUFFIX;

const LOAD_REPORT_MICROS: u64 = 1_000_000;
const CONNECTION_LOSS_MICROS: u64 = 2_000_000;
const CONNECT_FAILURE_MICROS: u64 = 1_000;
const CALL_FAILURE_MICROS: u64 = 500_000;
const RELEASE_MARGIN: Duration = Duration::from_secs(10);
const LEAVING_MARGIN_MICROS: u64 = 3_000_000;
const MAX_REFUSALS: u32 = 20;
const DEFAULT_KEEPALIVE: Duration = Duration::from_mins(5);

/// Options of a replay beside its trace and policy.
#[derive(Clone, Debug, Default)]
pub struct ReplayOptions {
    /// Seed of the simulated delays and losses.
    pub seed: u64,
    /// Number and capacity of the engines.
    pub pool: PoolConfig,
    /// Faults to inject.
    pub faults: Vec<Fault>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Pending,
    Completed,
    Refused,
    Failed,
}

#[derive(Clone, Debug)]
struct ProgramProgress {
    next_call: usize,
    started_at: Option<u64>,
    paused_micros: u64,
    pending_children: usize,
    children_paused_micros: u64,
    refusals: u32,
    maybe_ran: bool,
    in_service: bool,
    outcome: Outcome,
}

#[derive(Debug)]
struct ActiveCall {
    program: usize,
    index: usize,
    submitted_at: u64,
    attempts: u32,
    server: Option<usize>,
}

struct Simulation<'a> {
    scheduler: &'a mut dyn Scheduler,
    programs: &'a [TracedProgram],
    catalog: &'a Catalog,
    faults: &'a [Fault],
    progress: Vec<ProgramProgress>,
    fleet: SimFleet,
    queue: EventQueue,
    calls: BTreeMap<u64, ActiveCall>,
    program_index: HashMap<&'a ProgramId, usize>,
    computed_blocks: HashSet<u64>,
    block_tokens: u32,
    last_call_id: u64,
    unfinished: usize,
    now: u64,
    rng: Random,
    counters: Counters,
}

/// Replays programs under a scheduler and returns the statistics.
pub fn run(
    programs: &[TracedProgram],
    catalog: &Arc<Catalog>,
    scheduler: &mut dyn Scheduler,
    options: &ReplayOptions,
) -> ReplayStats {
    let block_tokens =
        programs.iter().flat_map(|p| &p.calls).map(|call| call.block_tokens).max().unwrap_or(1).max(1);
    let initial = ProgramProgress {
        next_call: 0,
        started_at: None,
        paused_micros: 0,
        pending_children: 0,
        children_paused_micros: 0,
        refusals: 0,
        maybe_ran: false,
        in_service: false,
        outcome: Outcome::Pending,
    };
    let mut simulation = Simulation {
        scheduler,
        programs,
        catalog,
        faults: &options.faults,
        progress: vec![initial; programs.len()],
        fleet: SimFleet::new(catalog, &options.pool, block_tokens),
        queue: EventQueue::default(),
        calls: BTreeMap::new(),
        program_index: programs.iter().enumerate().map(|(at, program)| (&program.id, at)).collect(),
        computed_blocks: HashSet::new(),
        block_tokens,
        last_call_id: 0,
        unfinished: programs.len(),
        now: 0,
        rng: Random::new(options.seed, 2),
        counters: Counters::default(),
    };
    simulation.deliver(Event::Catalog(catalog.clone()));
    simulation.schedule_initial();
    simulation.run();
    let seed = options.seed;
    let Simulation { counters, fleet, .. } = simulation;
    let mut stats = counters.into_stats(&fleet, block_tokens);
    stats.seed = seed;
    stats.programs = programs.iter().filter(|program| program.parent.is_none()).count();
    stats
}

impl Simulation<'_> {
    fn schedule_initial(&mut self) {
        for (at, program) in self.programs.iter().enumerate() {
            if program.parent.is_none() {
                self.queue.schedule(program.calls[0].arrival, SimEvent::Submit(at));
            }
        }
        for (at, fault) in self.faults.iter().enumerate() {
            self.queue.schedule(fault.at, SimEvent::Fault(at));
        }
        self.queue.schedule(LOAD_REPORT_MICROS, SimEvent::LoadReport);
        self.queue.schedule(micros(self.scheduler.tick_interval()), SimEvent::SchedulerTick);
    }

    fn run(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            match event {
                SimEvent::Submit(program) => self.submit(program),
                SimEvent::EngineWake { engine, generation } => self.wake_engine(engine, generation),
                SimEvent::ServiceReply(call) => self.complete_call(call, 0),
                SimEvent::Deliver(event) => self.deliver(event),
                SimEvent::AttemptFailed { call, attempt, failure } => {
                    self.attempt_failed(call, attempt, failure);
                }
                SimEvent::LoadReport => self.report_load(),
                SimEvent::SchedulerTick => self.tick(),
                SimEvent::Fault(fault) => self.apply_fault(fault),
                SimEvent::CheckReleased { program, calls_made } => self.check_released(program, calls_made),
            }
        }
    }

    fn deliver(&mut self, event: Event) {
        let decisions = self.scheduler.step(Timestamp(self.now), event);
        self.apply_decisions(&decisions);
    }

    fn tick(&mut self) {
        if self.unfinished == 0 {
            return;
        }
        self.deliver(Event::Tick);
        let next = self.now + micros(self.scheduler.tick_interval()).max(1);
        self.queue.schedule(next, SimEvent::SchedulerTick);
    }

    fn submit(&mut self, at: usize) {
        let program = &self.programs[at];
        let index = self.progress[at].next_call;
        let trace_call = &program.calls[index];
        self.progress[at].started_at.get_or_insert(self.now);
        self.last_call_id += 1;
        let id = CallId(self.last_call_id);
        let active = ActiveCall { program: at, index, submitted_at: self.now, attempts: 0, server: None };
        self.calls.insert(id.0, active);
        let work = match trace_call.kind {
            CallKind::Model => Work::Model {
                model: trace_call.serves.clone(),
                blocks: trace_call.blocks.clone(),
                prompt_tokens: trace_call.prompt_tokens,
                max_tokens: trace_call.output.max(2_048),
            },
            CallKind::Service => Work::Service { service: trace_call.serves.clone() },
        };
        let call = Call {
            id,
            program: program.id.clone(),
            root: self.programs[program.root].id.clone(),
            team: trace_call.team.clone(),
            class: trace_call.class.clone(),
            work,
            repeatable: if trace_call.repeatable { Repeatable::Yes } else { Repeatable::No },
            deadline: trace_call.deadline.map(|after| Timestamp(self.now + after)),
        };
        self.deliver(Event::Submit(call));
    }

    fn apply_decisions(&mut self, decisions: &Decisions) {
        for order in &decisions.cache_commands {
            self.apply_cache_order(order);
        }
        for action in &decisions.actions {
            match *action {
                Action::Dispatch { call, backend, priority } => self.dispatch(call.0, backend, priority),
                Action::Refuse { call, retry_after, .. } => self.handle_refusal(call.0, retry_after),
                Action::GiveUp { call, .. } => self.fail_call(call.0),
            }
        }
    }

    fn server_index(&self, key: BackendKey) -> Option<usize> {
        let backend = self.scheduler.backend(key)?;
        self.fleet.index.get(&backend.name).copied()
    }

    fn dispatch(&mut self, id: u64, key: BackendKey, priority: u8) {
        let Some(at) = self.server_index(key) else {
            self.counters.violations.order += 1;
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            self.counters.violations.order += 1;
            return;
        };
        let progress = &mut self.progress[call.program];
        let trace_call = &self.programs[call.program].calls[call.index];
        if call.server.is_some() || progress.in_service || progress.next_call != call.index {
            self.counters.violations.order += 1;
            return;
        }
        if progress.maybe_ran && !trace_call.repeatable {
            self.counters.violations.at_most_once += 1;
        }
        call.server = Some(at);
        call.attempts += 1;
        progress.in_service = true;
        self.counters.attempts += 1;
        self.counters.sent += u64::from(call.attempts == 1);
        let attempt = call.attempts;
        let failed = |failure| SimEvent::AttemptFailed { call: id, attempt, failure };
        let server = &mut self.fleet.servers[at];
        if server.dead {
            self.queue.schedule(self.now + CONNECT_FAILURE_MICROS, failed(Failure::Connect));
        } else if server.leaving_since.is_some() {
            self.reject_leaving(at, id, attempt);
        } else if server.failure_percent > 0 && self.rng.between(1, 100) <= server.failure_percent {
            self.queue.schedule(self.now + CALL_FAILURE_MICROS, failed(Failure::Lost));
        } else {
            self.start_attempt(at, id, priority);
        }
    }

    fn reject_leaving(&mut self, at: usize, id: u64, attempt: u32) {
        let server = &mut self.fleet.servers[at];
        let noticed = *server.leaving_noticed.get_or_insert(self.now + CONNECT_FAILURE_MICROS);
        if self.now > noticed + LEAVING_MARGIN_MICROS {
            self.counters.violations.to_leaving += 1;
        }
        let name = server.name.clone();
        let seen = self.now + CONNECT_FAILURE_MICROS;
        self.queue.schedule(seen, SimEvent::Deliver(Event::Leaving { name, leaving: true }));
        let failure = Failure::Refused;
        self.queue.schedule(seen, SimEvent::AttemptFailed { call: id, attempt, failure });
    }

    fn start_attempt(&mut self, at: usize, id: u64, priority: u8) {
        let call = &self.calls[&id];
        let program = &self.programs[call.program];
        let trace_call = &program.calls[call.index];
        let server = &mut self.fleet.servers[at];
        let Some(engine) = server.engine.as_mut() else {
            self.queue.schedule(self.now + u64::from(trace_call.output), SimEvent::ServiceReply(id));
            return;
        };
        let req = EngineRequest {
            call: id,
            program: u32::try_from(call.program).unwrap_or(u32::MAX),
            prompt: trace_call.blocks.clone(),
            sequence: program.sequences[call.index].clone(),
            prompt_tokens: trace_call.prompt_tokens,
            output_tokens: trace_call.output.max(1),
            priority,
        };
        engine.submit(self.now, req, &mut self.fleet.host);
        self.schedule_wake(at);
    }

    fn schedule_wake(&mut self, at: usize) {
        let server = &mut self.fleet.servers[at];
        server.wake_generation += 1;
        let Some(next_wake) = server.engine.as_ref().and_then(SimEngine::next_wake) else {
            return;
        };
        self.queue
            .schedule(next_wake, SimEvent::EngineWake { engine: at, generation: server.wake_generation });
    }

    fn wake_engine(&mut self, at: usize, generation: u64) {
        let server = &mut self.fleet.servers[at];
        if server.wake_generation != generation {
            return;
        }
        let Some(engine) = server.engine.as_mut() else {
            return;
        };
        let outputs = engine.advance(self.now, &mut self.fleet.host);
        self.schedule_wake(at);
        self.handle_outputs(at, outputs);
    }

    fn handle_outputs(&mut self, at: usize, outputs: Vec<EngineOutput>) {
        for output in outputs {
            match output {
                EngineOutput::Prefilled { call, computed } => self.record_prefill(call, &computed),
                EngineOutput::FirstToken(call) => {
                    if let Some(active) = self.calls.get(&call) {
                        self.counters.first_tokens.push(self.now - active.submitted_at);
                    }
                    self.deliver(Event::FirstToken(CallId(call)));
                }
                EngineOutput::Finished { call, cached_tokens } => self.complete_call(call, cached_tokens),
                EngineOutput::Stored(blocks) => self.send_cache_event(at, CacheChange::Stored(blocks.into())),
                EngineOutput::Evicted(blocks) => {
                    self.send_cache_event(at, CacheChange::Evicted(blocks.into()));
                }
            }
        }
    }

    fn send_cache_event(&mut self, at: usize, change: CacheChange) {
        let server = &self.fleet.servers[at];
        if self.rng.between(1, 100) <= server.event_loss_percent {
            return;
        }
        let backend = server.name.clone();
        let lag = u64::from(self.rng.between(200_000, 2_000_000));
        self.queue.schedule(self.now + lag, SimEvent::Deliver(Event::Cache { backend, change }));
    }

    fn record_prefill(&mut self, id: u64, computed: &[u64]) {
        if !self.calls.contains_key(&id) {
            return;
        }
        let tokens = u64::from(self.block_tokens);
        for block in computed {
            self.counters.computed_tokens += tokens;
            if !self.computed_blocks.insert(*block) {
                self.counters.recomputed_tokens += tokens;
            }
        }
    }

    fn complete_call(&mut self, id: u64, cached_tokens: u32) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let program = &self.programs[call.program];
        let trace_call = &program.calls[call.index];
        self.computed_blocks.extend(&program.sequences[call.index][trace_call.blocks.len()..]);
        self.counters.calls += 1;
        self.counters.last_answer = self.now;
        self.counters.prompt_tokens += u64::from(trace_call.prompt_tokens);
        let progress = &mut self.progress[call.program];
        progress.in_service = false;
        progress.maybe_ran = false;
        progress.refusals = 0;
        progress.next_call += 1;
        let output_tokens = if trace_call.kind == CallKind::Model { trace_call.output } else { 0 };
        self.deliver(Event::Finished { call: CallId(id), output_tokens, cached_tokens });
        self.continue_program(call.program);
    }

    fn continue_program(&mut self, at: usize) {
        let program = &self.programs[at];
        let next = self.progress[at].next_call;
        let children = u32::try_from(next).ok().and_then(|call| program.children.get(&call));
        if next >= program.calls.len() {
            self.end_program(at, Outcome::Completed);
            return;
        }
        let Some(children) = children else {
            self.start_pause(at);
            return;
        };
        self.progress[at].pending_children = children.len();
        self.progress[at].children_paused_micros = 0;
        for child in children {
            self.queue.schedule(self.now, SimEvent::Submit(*child));
        }
    }

    fn start_pause(&mut self, at: usize) {
        let program = &self.programs[at];
        let next = self.progress[at].next_call;
        let Some(pause) = &program.calls[next].pause else {
            self.queue.schedule(self.now, SimEvent::Submit(at));
            return;
        };
        self.progress[at].paused_micros += pause.micros;
        let event = Event::Paused { program: program.id.clone(), tool: pause.tool.clone() };
        self.queue.schedule(self.now + pause.micros, SimEvent::Submit(at));
        self.deliver(event);
        if Duration::from_micros(pause.micros) > self.keepalive(at) + RELEASE_MARGIN {
            self.schedule_check(at);
        }
    }

    fn keepalive(&self, at: usize) -> Duration {
        let program = &self.programs[at];
        let class = (program.id.partner.clone(), program.calls[0].class.clone());
        self.catalog.classes.get(&class).map_or(DEFAULT_KEEPALIVE, |rule| rule.keepalive)
    }

    fn schedule_check(&mut self, at: usize) {
        let due_at = self.now + micros(self.keepalive(at) + RELEASE_MARGIN);
        let calls_made = self.progress[at].next_call;
        self.queue.schedule(due_at, SimEvent::CheckReleased { program: at, calls_made });
    }

    fn check_released(&mut self, at: usize, calls_made: usize) {
        if self.progress[at].next_call != calls_made {
            return;
        }
        let held = self.fleet.exclusive_blocks(u32::try_from(at).unwrap_or(u32::MAX));
        self.counters.violations.cache_for_the_gone += u64::try_from(held).unwrap_or(u64::MAX);
    }

    fn end_program(&mut self, at: usize, outcome: Outcome) {
        let program = &self.programs[at];
        self.progress[at].outcome = outcome;
        self.unfinished -= 1;
        // Sub-agents only start after an answered call that is followed by another call.
        let calls_made = self.progress[at].next_call;
        let first_unstarted = if outcome == Outcome::Completed { calls_made } else { calls_made + 1 };
        self.unfinished -= self.unstarted_children(at, first_unstarted);
        self.schedule_check(at);
        let reports_end = program.calls.last().is_some_and(|call| call.ended);
        if reports_end || outcome != Outcome::Completed {
            self.deliver(Event::Ended(program.id.clone()));
        }
        if program.parent.is_none() {
            self.record_outcome(at, outcome);
        }
        let Some((parent, _)) = program.parent else {
            return;
        };
        let paused = self.progress[at].paused_micros;
        let parent_progress = &mut self.progress[parent];
        parent_progress.children_paused_micros = parent_progress.children_paused_micros.max(paused);
        parent_progress.pending_children = parent_progress.pending_children.saturating_sub(1);
        if parent_progress.pending_children == 0 && parent_progress.outcome == Outcome::Pending {
            parent_progress.paused_micros += parent_progress.children_paused_micros;
            self.start_pause(parent);
        }
    }

    /// Counts the descendants that a program would have started after this call or a later one.
    fn unstarted_children(&self, at: usize, call: usize) -> usize {
        let call = u32::try_from(call).unwrap_or(u32::MAX);
        let children = self.programs[at].children.range(call..).flat_map(|(_, children)| children);
        children.map(|child| 1 + self.unstarted_children(*child, 0)).sum()
    }

    fn record_outcome(&mut self, at: usize, outcome: Outcome) {
        let program = &self.programs[at];
        let progress = &self.progress[at];
        match outcome {
            Outcome::Pending => {}
            Outcome::Refused => self.counters.refused_programs += 1,
            Outcome::Failed => self.counters.failed_programs += 1,
            Outcome::Completed => {
                let latency = self.now - progress.started_at.unwrap_or(self.now);
                let served = latency.saturating_sub(progress.paused_micros);
                let suffix = if program.id.name.ends_with(DEFECT_SUFFIX) { DEFECT_SUFFIX } else { "" };
                let class = format!("{}/{}{suffix}", program.id.partner, program.calls[0].class);
                let model = program.calls.iter().filter(|call| call.kind == CallKind::Model);
                self.counters.useful_tokens += model.map(|call| u64::from(call.output)).sum::<u64>();
                self.counters.record_completed(class.into(), latency, served);
            }
        }
    }

    fn handle_refusal(&mut self, id: u64, retry_after: Duration) {
        let Some(call) = self.calls.remove(&id) else {
            self.counters.violations.order += 1;
            return;
        };
        self.counters.refusals += 1;
        let progress = &mut self.progress[call.program];
        if call.server.is_some() || progress.maybe_ran {
            self.counters.violations.refused_after_send += 1;
        }
        progress.refusals += 1;
        if progress.refusals > MAX_REFUSALS {
            self.end_program(call.program, Outcome::Refused);
            return;
        }
        let wait = micros(retry_after).max(1_000);
        let jitter = self.rng.next_u64() % (wait / 2 + 1);
        self.queue.schedule(self.now + wait + jitter, SimEvent::Submit(call.program));
    }

    fn fail_call(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else {
            self.counters.violations.order += 1;
            return;
        };
        self.end_program(call.program, Outcome::Failed);
    }

    fn attempt_failed(&mut self, id: u64, attempt: u32, failure: Failure) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.attempts != attempt || call.server.is_none() {
            return;
        }
        call.server = None;
        let progress = &mut self.progress[call.program];
        progress.in_service = false;
        progress.maybe_ran |= matches!(failure, Failure::Lost | Failure::Error);
        self.deliver(Event::Failed { call: CallId(id), failure });
    }

    fn apply_cache_order(&mut self, order: &CacheCommand) {
        let (CacheCommand::Release { program, backend }
        | CacheCommand::Export { program, backend }
        | CacheCommand::Import { program, backend }) = order;
        let found = self.program_index.get(program).copied();
        let (Some(at), Some(server)) = (found, self.server_index(*backend)) else {
            return;
        };
        let owner = u32::try_from(at).unwrap_or(u32::MAX);
        let last = self.progress[at].next_call.clamp(1, self.programs[at].sequences.len()) - 1;
        let sequence = self.programs[at].sequences[..=last].iter().rev().find(|blocks| !blocks.is_empty());
        let blocks = sequence.cloned().unwrap_or_default();
        let Some(engine) = self.fleet.servers[server].engine.as_mut() else {
            return;
        };
        match order {
            CacheCommand::Release { .. } => {
                let released = engine.cache.release(&blocks, owner);
                if self.progress[at].outcome != Outcome::Pending {
                    self.fleet.host.discard(&blocks, owner);
                }
                if !released.is_empty() {
                    self.send_cache_event(server, CacheChange::Evicted(released.into()));
                }
            }
            CacheCommand::Export { .. } => {
                let exported = engine.cache.export(&blocks, owner);
                self.fleet.host.store(&exported, owner);
                let evicted: Vec<u64> = exported.iter().map(|exported| exported.block).collect();
                if !evicted.is_empty() {
                    self.send_cache_event(server, CacheChange::Evicted(evicted.into()));
                }
            }
            CacheCommand::Import { .. } => engine.import(owner),
        }
    }

    fn report_load(&mut self) {
        if self.unfinished == 0 {
            return;
        }
        for at in 0..self.fleet.servers.len() {
            let server = &self.fleet.servers[at];
            let Some(engine) = server.engine.as_ref().filter(|_| !server.dead) else {
                continue;
            };
            let (running, waiting) = engine.load();
            let reported = |count: usize| {
                u32::try_from(count).unwrap_or(u32::MAX).saturating_mul(server.reported_load_percent) / 100
            };
            let (running, waiting) = (reported(running), reported(waiting));
            let backend = server.name.clone();
            let lag = u64::from(self.rng.between(300_000, 1_500_000));
            let load = Load { running, waiting, age: Duration::from_micros(lag) };
            self.queue.schedule(self.now + lag, SimEvent::Deliver(Event::Load { backend, load }));
        }
        self.queue.schedule(self.now + LOAD_REPORT_MICROS, SimEvent::LoadReport);
    }

    fn apply_fault(&mut self, index: usize) {
        let fault = &self.faults[index];
        let Some(at) = self.fleet.index.get(&fault.backend).copied() else {
            return;
        };
        let lost = self.fleet.apply_fault(at, fault.kind, self.now);
        for call in lost {
            let Some(active) = self.calls.get(&call) else {
                continue;
            };
            let event = SimEvent::AttemptFailed { call, attempt: active.attempts, failure: Failure::Lost };
            self.queue.schedule(self.now + CONNECTION_LOSS_MICROS, event);
        }
        match fault.kind {
            FaultKind::Leave { lag } => {
                let vm = self.fleet.servers[at].vm.clone();
                let listed_at = self.now + lag;
                let event = Event::Leaving { name: vm, leaving: true };
                self.queue.schedule(listed_at, SimEvent::Deliver(event));
            }
            FaultKind::Recover => {
                let backend = fault.backend.clone();
                self.deliver(Event::Cache { backend, change: CacheChange::Cleared });
            }
            _ => {}
        }
    }
}
