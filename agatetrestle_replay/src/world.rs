//! The loop of a replay: programs on one side, fake backend servers on the other, the scheduler
//! between them, all in virtual time.

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

use crate::agenda::Agenda;
use crate::agenda::Happening;
use crate::catalog::Pool;
use crate::engine::Engine;
use crate::engine::Output;
use crate::engine::Request;
use crate::faults::Fault;
use crate::faults::FaultKind;
use crate::fleet::Fleet;
use crate::measure::Measures;
use crate::programs::TracedProgram;
use crate::random::Random;
use crate::synth::SPOILT_SUFFIX;
use crate::tally::Tally;

const REPORT_INTERVAL: u64 = 1_000_000;
const BROKEN_CONNECTION_SEEN: u64 = 2_000_000;
const CONNECT_FAILS: u64 = 1_000;
const ERROR_AFTER: u64 = 500_000;
const GONE_MARGIN: Duration = Duration::from_secs(10);
const LEAVING_MARGIN: u64 = 3_000_000;
const PATIENCE: u32 = 20;
const DEFAULT_KEEPALIVE: Duration = Duration::from_mins(5);

/// What a replay may vary beside trace and policy.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Seed of the lags and losses of the fakes.
    pub seed: u64,
    /// Size of the pool.
    pub pool: Pool,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Live,
    Completed,
    Refused,
    Failed,
}

#[derive(Clone, Debug)]
struct Progress {
    next: usize,
    begun: Option<u64>,
    paused: u64,
    children: usize,
    children_paused: u64,
    refusals: u32,
    maybe_ran: bool,
    in_service: bool,
    fate: Fate,
}

#[derive(Debug)]
struct LiveCall {
    program: usize,
    index: usize,
    submitted: u64,
    attempt: u32,
    server: Option<usize>,
}

struct World<'a> {
    scheduler: &'a mut dyn Scheduler,
    programs: &'a [TracedProgram],
    catalog: &'a Catalog,
    faults: &'a [Fault],
    progress: Vec<Progress>,
    fleet: Fleet,
    agenda: Agenda,
    calls: BTreeMap<u64, LiveCall>,
    index: HashMap<&'a ProgramId, usize>,
    computed: HashSet<u64>,
    block_tokens: u32,
    next_call: u64,
    live: usize,
    now: u64,
    rng: Random,
    tally: Tally,
}

/// Replays programs under a scheduler and measures.
pub fn run(
    programs: &[TracedProgram],
    catalog: &Arc<Catalog>,
    scheduler: &mut dyn Scheduler,
    options: &Options,
) -> Measures {
    let block_tokens =
        programs.iter().flat_map(|p| &p.calls).map(|call| call.block_tokens).max().unwrap_or(1).max(1);
    let fresh = Progress {
        next: 0,
        begun: None,
        paused: 0,
        children: 0,
        children_paused: 0,
        refusals: 0,
        maybe_ran: false,
        in_service: false,
        fate: Fate::Live,
    };
    let mut world = World {
        scheduler,
        programs,
        catalog,
        faults: &options.faults,
        progress: vec![fresh; programs.len()],
        fleet: Fleet::new(catalog, &options.pool, block_tokens),
        agenda: Agenda::default(),
        calls: BTreeMap::new(),
        index: programs.iter().enumerate().map(|(at, program)| (&program.id, at)).collect(),
        computed: HashSet::new(),
        block_tokens,
        next_call: 0,
        live: programs.len(),
        now: 0,
        rng: Random::new(options.seed, 2),
        tally: Tally::default(),
    };
    world.tell(Event::Catalog(catalog.clone()));
    world.begin();
    world.drive();
    let seed = options.seed;
    let World { tally, fleet, .. } = world;
    let mut measures = tally.close(&fleet, block_tokens);
    measures.seed = seed;
    measures.programs = programs.iter().filter(|program| program.parent.is_none()).count();
    measures
}

impl World<'_> {
    fn begin(&mut self) {
        for (at, program) in self.programs.iter().enumerate() {
            if program.parent.is_none() {
                self.agenda.add(program.calls[0].arrival, Happening::Arrive(at));
            }
        }
        for (at, fault) in self.faults.iter().enumerate() {
            self.agenda.add(fault.at, Happening::Fault(at));
        }
        self.agenda.add(REPORT_INTERVAL, Happening::Report);
        self.agenda.add(micros(self.scheduler.tick_interval()), Happening::Tick);
    }

    fn drive(&mut self) {
        while let Some((at, happening)) = self.agenda.take() {
            self.now = at;
            match happening {
                Happening::Arrive(program) => self.submit(program),
                Happening::Wake { engine, plan } => self.wake(engine, plan),
                Happening::Served(call) => self.served(call),
                Happening::Tell(event) => self.tell(event),
                Happening::Fails { call, attempt, failure } => self.fails(call, attempt, failure),
                Happening::Report => self.report(),
                Happening::Tick => self.tick(),
                Happening::Fault(fault) => self.strike(fault),
                Happening::CheckGone { program, made } => self.check_gone(program, made),
            }
        }
    }

    fn tell(&mut self, event: Event) {
        let decisions = self.scheduler.step(Timestamp(self.now), event);
        self.carry_out(&decisions);
    }

    fn tick(&mut self) {
        if self.live == 0 {
            return;
        }
        self.tell(Event::Tick);
        let next = self.now + micros(self.scheduler.tick_interval()).max(1);
        self.agenda.add(next, Happening::Tick);
    }

    fn submit(&mut self, at: usize) {
        let program = &self.programs[at];
        let index = self.progress[at].next;
        let traced = &program.calls[index];
        self.progress[at].begun.get_or_insert(self.now);
        self.next_call += 1;
        let id = CallId(self.next_call);
        let live = LiveCall { program: at, index, submitted: self.now, attempt: 0, server: None };
        self.calls.insert(id.0, live);
        let work = match traced.kind {
            CallKind::Model => Work::Model {
                model: traced.serves.clone(),
                blocks: traced.blocks.clone(),
                prompt_tokens: traced.prompt_tokens,
                max_tokens: traced.output.max(2_048),
            },
            CallKind::Service => Work::Service { service: traced.serves.clone() },
        };
        let call = Call {
            id,
            program: program.id.clone(),
            root: self.programs[program.root].id.clone(),
            team: traced.team.clone(),
            class: traced.class.clone(),
            work,
            repeatable: if traced.repeatable { Repeatable::Yes } else { Repeatable::No },
            deadline: traced.deadline.map(|after| Timestamp(self.now + after)),
        };
        self.tell(Event::Submit(call));
    }

    fn carry_out(&mut self, decisions: &Decisions) {
        for order in &decisions.cache_commands {
            self.order(order);
        }
        for action in &decisions.actions {
            match *action {
                Action::Dispatch { call, backend, priority } => self.dispatch(call.0, backend, priority),
                Action::Refuse { call, retry_after, .. } => self.refused(call.0, retry_after),
                Action::GiveUp { call, .. } => self.given_up(call.0),
            }
        }
    }

    fn server(&self, key: BackendKey) -> Option<usize> {
        let backend = self.scheduler.backend(key)?;
        self.fleet.index.get(&backend.name).copied()
    }

    fn dispatch(&mut self, id: u64, key: BackendKey, priority: u8) {
        let Some(at) = self.server(key) else {
            self.tally.broken.order += 1;
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            self.tally.broken.order += 1;
            return;
        };
        let progress = &mut self.progress[call.program];
        let traced = &self.programs[call.program].calls[call.index];
        if call.server.is_some() || progress.in_service || progress.next != call.index {
            self.tally.broken.order += 1;
            return;
        }
        if progress.maybe_ran && !traced.repeatable {
            self.tally.broken.at_most_once += 1;
        }
        call.server = Some(at);
        call.attempt += 1;
        progress.in_service = true;
        self.tally.attempts += 1;
        self.tally.sent += u64::from(call.attempt == 1);
        let attempt = call.attempt;
        let fails = |failure| Happening::Fails { call: id, attempt, failure };
        let server = &mut self.fleet.servers[at];
        if server.dead {
            self.agenda.add(self.now + CONNECT_FAILS, fails(Failure::Connect));
        } else if server.leaving.is_some() {
            self.refused_by_leaving(at, id, attempt);
        } else if server.failing > 0 && self.rng.between(1, 100) <= server.failing {
            self.agenda.add(self.now + ERROR_AFTER, fails(Failure::Lost));
        } else {
            self.start(at, id, priority);
        }
    }

    fn refused_by_leaving(&mut self, at: usize, id: u64, attempt: u32) {
        let server = &mut self.fleet.servers[at];
        let sign = *server.sign.get_or_insert(self.now + CONNECT_FAILS);
        if self.now > sign + LEAVING_MARGIN {
            self.tally.broken.to_leaving += 1;
        }
        let name = server.name.clone();
        let seen = self.now + CONNECT_FAILS;
        self.agenda.add(seen, Happening::Tell(Event::Leaving { name, leaving: true }));
        let failure = Failure::Refused;
        self.agenda.add(seen, Happening::Fails { call: id, attempt, failure });
    }

    fn start(&mut self, at: usize, id: u64, priority: u8) {
        let call = &self.calls[&id];
        let program = &self.programs[call.program];
        let traced = &program.calls[call.index];
        let server = &mut self.fleet.servers[at];
        let Some(engine) = server.engine.as_mut() else {
            self.agenda.add(self.now + u64::from(traced.output), Happening::Served(id));
            return;
        };
        let req = Request {
            call: id,
            program: u32::try_from(call.program).unwrap_or(u32::MAX),
            prompt: traced.blocks.clone(),
            whole: program.whole[call.index].clone(),
            prompt_tokens: traced.prompt_tokens,
            output_tokens: traced.output.max(1),
            priority,
        };
        engine.submit(self.now, req, &mut self.fleet.host);
        self.plan_wake(at);
    }

    fn plan_wake(&mut self, at: usize) {
        let server = &mut self.fleet.servers[at];
        server.plan += 1;
        let Some(wakes_at) = server.engine.as_ref().and_then(Engine::wakes_at) else {
            return;
        };
        self.agenda.add(wakes_at, Happening::Wake { engine: at, plan: server.plan });
    }

    fn wake(&mut self, at: usize, plan: u64) {
        let server = &mut self.fleet.servers[at];
        if server.plan != plan {
            return;
        }
        let Some(engine) = server.engine.as_mut() else {
            return;
        };
        let outputs = engine.advance(self.now, &mut self.fleet.host);
        self.plan_wake(at);
        self.take_outputs(at, outputs);
    }

    fn take_outputs(&mut self, at: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Prefilled { call, computed } => self.prefilled(call, &computed),
                Output::FirstToken(call) => {
                    if let Some(live) = self.calls.get(&call) {
                        self.tally.first_tokens.push(self.now - live.submitted);
                    }
                    self.tell(Event::FirstToken(CallId(call)));
                }
                Output::Finished { call, cached_tokens } => self.finished(call, cached_tokens),
                Output::Stored(blocks) => self.cache_event(at, CacheChange::Stored(blocks.into())),
                Output::Evicted(blocks) => self.cache_event(at, CacheChange::Evicted(blocks.into())),
            }
        }
    }

    fn cache_event(&mut self, at: usize, change: CacheChange) {
        let server = &self.fleet.servers[at];
        if self.rng.between(1, 100) <= server.event_loss {
            return;
        }
        let backend = server.name.clone();
        let lag = u64::from(self.rng.between(200_000, 2_000_000));
        self.agenda.add(self.now + lag, Happening::Tell(Event::Cache { backend, change }));
    }

    fn prefilled(&mut self, id: u64, computed: &[u64]) {
        if !self.calls.contains_key(&id) {
            return;
        }
        let tokens = u64::from(self.block_tokens);
        for block in computed {
            self.tally.computed += tokens;
            if !self.computed.insert(*block) {
                self.tally.recomputed += tokens;
            }
        }
    }

    fn served(&mut self, id: u64) {
        self.finished(id, 0);
    }

    fn finished(&mut self, id: u64, cached_tokens: u32) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let program = &self.programs[call.program];
        let traced = &program.calls[call.index];
        self.computed.extend(&program.whole[call.index][traced.blocks.len()..]);
        self.tally.calls += 1;
        self.tally.last_answer = self.now;
        self.tally.prompts += u64::from(traced.prompt_tokens);
        let progress = &mut self.progress[call.program];
        progress.in_service = false;
        progress.maybe_ran = false;
        progress.refusals = 0;
        progress.next += 1;
        let output_tokens = if traced.kind == CallKind::Model { traced.output } else { 0 };
        self.tell(Event::Finished { call: CallId(id), output_tokens, cached_tokens });
        self.answered(call.program);
    }

    fn answered(&mut self, at: usize) {
        let program = &self.programs[at];
        let next = self.progress[at].next;
        let children = u32::try_from(next).ok().and_then(|call| program.children.get(&call));
        if next >= program.calls.len() {
            self.ended(at, Fate::Completed);
            return;
        }
        let Some(children) = children else {
            self.pause(at);
            return;
        };
        self.progress[at].children = children.len();
        self.progress[at].children_paused = 0;
        for child in children {
            self.agenda.add(self.now, Happening::Arrive(*child));
        }
    }

    fn pause(&mut self, at: usize) {
        let program = &self.programs[at];
        let next = self.progress[at].next;
        let Some(pause) = &program.calls[next].pause else {
            self.agenda.add(self.now, Happening::Arrive(at));
            return;
        };
        self.progress[at].paused += pause.micros;
        let event = Event::Paused { program: program.id.clone(), tool: pause.tool.clone() };
        self.agenda.add(self.now + pause.micros, Happening::Arrive(at));
        self.tell(event);
        if Duration::from_micros(pause.micros) > self.keepalive(at) + GONE_MARGIN {
            self.plan_check(at);
        }
    }

    fn keepalive(&self, at: usize) -> Duration {
        let program = &self.programs[at];
        let class = (program.id.partner.clone(), program.calls[0].class.clone());
        self.catalog.classes.get(&class).map_or(DEFAULT_KEEPALIVE, |rule| rule.keepalive)
    }

    fn plan_check(&mut self, at: usize) {
        let due = self.now + micros(self.keepalive(at) + GONE_MARGIN);
        let made = self.progress[at].next;
        self.agenda.add(due, Happening::CheckGone { program: at, made });
    }

    fn check_gone(&mut self, at: usize, made: usize) {
        if self.progress[at].next != made {
            return;
        }
        let held = self.fleet.held_alone(u32::try_from(at).unwrap_or(u32::MAX));
        self.tally.broken.cache_for_the_gone += u64::try_from(held).unwrap_or(u64::MAX);
    }

    fn ended(&mut self, at: usize, fate: Fate) {
        let program = &self.programs[at];
        self.progress[at].fate = fate;
        self.live -= 1;
        // Sub-agents start after an answer that is followed by another call.
        let made = self.progress[at].next;
        let first_unstarted = if fate == Fate::Completed { made } else { made + 1 };
        self.live -= self.never_started(at, first_unstarted);
        self.plan_check(at);
        let told = program.calls.last().is_some_and(|call| call.ended);
        if told || fate != Fate::Completed {
            self.tell(Event::Ended(program.id.clone()));
        }
        if program.parent.is_none() {
            self.count_root(at, fate);
        }
        let Some((parent, _)) = program.parent else {
            return;
        };
        let paused = self.progress[at].paused;
        let above = &mut self.progress[parent];
        above.children_paused = above.children_paused.max(paused);
        above.children = above.children.saturating_sub(1);
        if above.children == 0 && above.fate == Fate::Live {
            above.paused += above.children_paused;
            self.pause(parent);
        }
    }

    /// Sub-agents, and theirs, that a program would have started after this call or a later one.
    fn never_started(&self, at: usize, call: usize) -> usize {
        let call = u32::try_from(call).unwrap_or(u32::MAX);
        let children = self.programs[at].children.range(call..).flat_map(|(_, children)| children);
        children.map(|child| 1 + self.never_started(*child, 0)).sum()
    }

    fn count_root(&mut self, at: usize, fate: Fate) {
        let program = &self.programs[at];
        let progress = &self.progress[at];
        match fate {
            Fate::Live => {}
            Fate::Refused => self.tally.refused_programs += 1,
            Fate::Failed => self.tally.failed_programs += 1,
            Fate::Completed => {
                let whole = self.now - progress.begun.unwrap_or(self.now);
                let served = whole.saturating_sub(progress.paused);
                let suffix = if program.id.name.ends_with(SPOILT_SUFFIX) { SPOILT_SUFFIX } else { "" };
                let class = format!("{}/{}{suffix}", program.id.partner, program.calls[0].class);
                let model = program.calls.iter().filter(|call| call.kind == CallKind::Model);
                self.tally.useful += model.map(|call| u64::from(call.output)).sum::<u64>();
                self.tally.completed(class.into(), whole, served);
            }
        }
    }

    fn refused(&mut self, id: u64, retry_after: Duration) {
        let Some(call) = self.calls.remove(&id) else {
            self.tally.broken.order += 1;
            return;
        };
        self.tally.refusals += 1;
        let progress = &mut self.progress[call.program];
        if call.server.is_some() || progress.maybe_ran {
            self.tally.broken.refused_after_send += 1;
        }
        progress.refusals += 1;
        if progress.refusals > PATIENCE {
            self.ended(call.program, Fate::Refused);
            return;
        }
        let wait = micros(retry_after).max(1_000);
        let jitter = self.rng.bits() % (wait / 2 + 1);
        self.agenda.add(self.now + wait + jitter, Happening::Arrive(call.program));
    }

    fn given_up(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else {
            self.tally.broken.order += 1;
            return;
        };
        self.ended(call.program, Fate::Failed);
    }

    fn fails(&mut self, id: u64, attempt: u32, failure: Failure) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if call.attempt != attempt || call.server.is_none() {
            return;
        }
        call.server = None;
        let progress = &mut self.progress[call.program];
        progress.in_service = false;
        progress.maybe_ran |= matches!(failure, Failure::Lost | Failure::Error);
        self.tell(Event::Failed { call: CallId(id), failure });
    }

    fn order(&mut self, order: &CacheCommand) {
        let (CacheCommand::Release { program, backend }
        | CacheCommand::Export { program, backend }
        | CacheCommand::Import { program, backend }) = order;
        let found = self.index.get(program).copied();
        let (Some(at), Some(server)) = (found, self.server(*backend)) else {
            return;
        };
        let owner = u32::try_from(at).unwrap_or(u32::MAX);
        let last = self.progress[at].next.clamp(1, self.programs[at].whole.len()) - 1;
        let whole = self.programs[at].whole[..=last].iter().rev().find(|blocks| !blocks.is_empty());
        let blocks = whole.cloned().unwrap_or_default();
        let Some(engine) = self.fleet.servers[server].engine.as_mut() else {
            return;
        };
        match order {
            CacheCommand::Release { .. } => {
                let released = engine.cache.release(&blocks, owner);
                if self.progress[at].fate != Fate::Live {
                    self.fleet.host.discard(&blocks, owner);
                }
                if !released.is_empty() {
                    self.cache_event(server, CacheChange::Evicted(released.into()));
                }
            }
            CacheCommand::Export { .. } => {
                let exported = engine.cache.export(&blocks, owner);
                self.fleet.host.store(&exported, owner);
                let gone: Vec<u64> = exported.iter().map(|exported| exported.block).collect();
                if !gone.is_empty() {
                    self.cache_event(server, CacheChange::Evicted(gone.into()));
                }
            }
            CacheCommand::Import { .. } => engine.import(owner),
        }
    }

    fn report(&mut self) {
        if self.live == 0 {
            return;
        }
        for at in 0..self.fleet.servers.len() {
            let server = &self.fleet.servers[at];
            let Some(engine) = server.engine.as_ref().filter(|_| !server.dead) else {
                continue;
            };
            let (running, waiting) = engine.load();
            let claim =
                |count: usize| u32::try_from(count).unwrap_or(u32::MAX).saturating_mul(server.honesty) / 100;
            let (running, waiting) = (claim(running), claim(waiting));
            let backend = server.name.clone();
            let lag = u64::from(self.rng.between(300_000, 1_500_000));
            let load = Load { running, waiting, age: Duration::from_micros(lag) };
            self.agenda.add(self.now + lag, Happening::Tell(Event::Load { backend, load }));
        }
        self.agenda.add(self.now + REPORT_INTERVAL, Happening::Report);
    }

    fn strike(&mut self, number: usize) {
        let fault = &self.faults[number];
        let Some(at) = self.fleet.index.get(&fault.backend).copied() else {
            return;
        };
        let lost = self.fleet.strike(at, fault.kind, self.now);
        for call in lost {
            let Some(live) = self.calls.get(&call) else {
                continue;
            };
            let happening = Happening::Fails { call, attempt: live.attempt, failure: Failure::Lost };
            self.agenda.add(self.now + BROKEN_CONNECTION_SEEN, happening);
        }
        match fault.kind {
            FaultKind::Leave { lag } => {
                let vm = self.fleet.servers[at].vm.clone();
                let listed = self.now + lag;
                let event = Event::Leaving { name: vm, leaving: true };
                self.agenda.add(listed, Happening::Tell(event));
            }
            FaultKind::Recover => {
                let backend = fault.backend.clone();
                self.tell(Event::Cache { backend, change: CacheChange::Cleared });
            }
            _ => {}
        }
    }
}
