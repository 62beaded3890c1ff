//! Many requests that end their servers, among those of programs, in virtual time: several entries with their own dispatch, one
//! record, and servers that come back as other instances.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::Decision;
use crate::dispatch::Dispatch;
use crate::dispatch::Instance;
use crate::dispatch::Request;
use crate::dispatch::RequestOutcome;
use crate::dispatch::RequestProfile;
use crate::dispatch::ServerKey;
use crate::health::max_ejected;
use crate::ids::FIRST_STATE_GROUP;
use crate::scheduler::random::Random;
use crate::suspects::Fingerprint;
use crate::suspects::SuspectView;
use crate::suspects::Suspects;
use crate::suspects::record::Admit;
use crate::suspects::record::End;
use crate::suspects::record::Lose;
use crate::suspects::record::SuspectCommand;
use crate::suspects::record::SuspectDecision;

const SERVICE: &str = "engines";
const ENTRIES: usize = 8;
const SERVERS: usize = 24;
const SLOTS: u32 = 8;
const MILLIS: u64 = 1_000;
/// Time that a request runs.
const RUN_US: (u64, u64) = (150 * MILLIS, 450 * MILLIS);
/// Time until a server ends that runs a fatal request.
const FATAL_US: u64 = 30 * MILLIS;
/// Time until a server that ended is back.
const DOWN_US: u64 = 2_000 * MILLIS;
/// Time until entries know a change of the list, or a suspect that was added.
const LIST_US: u64 = 500 * MILLIS;
const PUSH_US: u64 = 4 * MILLIS;
/// Time until a caller repeats what failed.
const REPEAT_US: u64 = 200 * MILLIS;
/// Tries of a caller. One whose request is fatal goes on for longer.
const TRIES: u32 = 3;
const FATAL_TRIES: u32 = 20;
/// Time between two requests of programs: some half of the slots are busy.
const ARRIVAL_US: u64 = 3_100;

/// Where losses are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Counting {
    /// Nowhere, as before.
    None,
    /// At each entry for itself.
    Entry,
    /// In the record of a state group that is asked about each request.
    EachRequest,
    /// In the record, which is asked about suspects that it has told of.
    Suspects,
}

/// What a replay is about.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) counting: Counting,
    /// Losses from which a suspect is kept apart from other requests.
    pub(super) isolated_from: u32,
    pub(super) fatal_requests: usize,
    /// Time between crashes for no request's sake, and how many servers crash at once.
    pub(super) crashes: Option<(u64, usize)>,
    pub(super) seconds: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Figures {
    /// Servers that ended under each fatal request.
    pub(super) ended: Vec<usize>,
    /// Requests of programs that were completed, given up by their caller, and refused as suspects at least once.
    pub(super) completed: u64,
    pub(super) lost: u64,
    pub(super) refused: u64,
    /// Questions to the record about requests that were no suspects.
    pub(super) calm_questions: u64,
    pub(super) questions: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrive,
    Send(u64),
    End(u64, u64),
    Crash,
    Listed(usize),
    Back(usize),
    Push,
}

/// Whether an attempt may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Permission {
    Refused,
    Free,
    /// It is counted as under way, for a request with so many losses.
    Counted(u32),
}

impl Permission {
    fn is_isolated(self, from: u32) -> bool {
        matches!(self, Self::Counted(losses) if losses >= from)
    }
}

#[derive(Clone, Debug)]
struct Caller {
    fingerprint: Fingerprint,
    is_fatal: bool,
    tries: u32,
    refused: bool,
}

#[derive(Clone, Debug)]
struct InFlight {
    caller: u64,
    entry: usize,
    key: ServerKey,
    server: usize,
    generation: u64,
    admitted: bool,
}

struct Replay {
    scenario: Scenario,
    rng: Random,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    sequence: u64,
    entries: Vec<(Dispatch, Rc<SuspectView>)>,
    /// Losses that an entry counted itself.
    own: Vec<HashMap<Fingerprint, usize>>,
    /// Generation of each server, and whether it runs.
    servers: Vec<(u64, bool)>,
    record: Suspects,
    callers: BTreeMap<u64, Caller>,
    in_flight: BTreeMap<u64, InFlight>,
    ended: HashMap<Fingerprint, usize>,
    figures: Figures,
}

fn instance(number: usize, generation: u64) -> Instance {
    Instance {
        id: format!("s{number}-{generation}").into(),
        service: SERVICE.into(),
        version: "v1".into(),
        address: std::net::SocketAddrV4::new([10, 0, 0, 1].into(), u16::try_from(number).unwrap() + 1),
        zone: "a".into(),
        slots: SLOTS,
        leaving: false,
        born: None,
    }
}

pub(super) fn play(scenario: Scenario, seed: u64) -> Figures {
    let mut replay = Replay::new(scenario, seed);
    replay.run();
    let Replay { figures, ended, callers, .. } = replay;
    let fatal = callers.values().filter(|caller| caller.is_fatal);
    let ended = fatal.map(|caller| ended.get(&caller.fingerprint).copied().unwrap_or(0)).collect();
    Figures { ended, ..figures }
}

impl Replay {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let list: Vec<Instance> = (0..SERVERS).map(|number| instance(number, 0)).collect();
        let entries = (0..ENTRIES).map(|number| {
            let mut dispatch = Dispatch::new("a".into(), number as u64 + 1);
            dispatch.replace_instances(Timestamp(0), &list);
            (dispatch, Rc::new(SuspectView::without_groups()))
        });
        let mut replay = Self {
            scenario,
            rng: Random::new(seed),
            now: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
            entries: entries.collect(),
            own: vec![HashMap::new(); ENTRIES],
            servers: vec![(0, true); SERVERS],
            record: Suspects::default(),
            callers: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            ended: HashMap::new(),
            figures: Figures::default(),
        };
        replay.at(0, SimEvent::Arrive);
        if let Some((interval, _)) = scenario.crashes {
            replay.at(interval, SimEvent::Crash);
        }
        for _ in 0..scenario.fatal_requests {
            let caller = replay.add_caller(true);
            let delay = replay.rng.below(scenario.seconds / 2 * 1_000) * MILLIS;
            replay.at(1_000 * MILLIS + delay, SimEvent::Send(caller));
        }
        replay
    }

    fn at(&mut self, time: u64, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((time, self.sequence, event)));
    }

    fn add_caller(&mut self, is_fatal: bool) -> u64 {
        let id = self.callers.len() as u64;
        let fingerprint = Fingerprint::of(&[&id.to_le_bytes()]);
        self.callers.insert(id, Caller { fingerprint, is_fatal, tries: 0, refused: false });
        id
    }

    fn run(&mut self) {
        let end = self.scenario.seconds * 1_000 * MILLIS;
        while let Some(Reverse((time, _, event))) = self.queue.pop() {
            if time > end + 10_000 * MILLIS {
                return;
            }
            self.now = time;
            self.record.advance(time / MILLIS);
            match event {
                SimEvent::Arrive if time < end => {
                    let caller = self.add_caller(false);
                    self.send(caller);
                    let pause = ARRIVAL_US / 2 + self.rng.below(ARRIVAL_US);
                    self.at(time + pause, SimEvent::Arrive);
                }
                SimEvent::Send(caller) => self.send(caller),
                SimEvent::End(ticket, generation) => self.end_run(ticket, generation),
                SimEvent::Crash if time < end => self.crash(),
                SimEvent::Arrive | SimEvent::Crash => {}
                SimEvent::Listed(_) => self.update_lists(),
                SimEvent::Back(server) => {
                    self.servers[server] = (self.servers[server].0 + 1, true);
                    self.at(time + LIST_US, SimEvent::Listed(server));
                }
                SimEvent::Push => self.push(),
            }
        }
    }

    fn crash(&mut self) {
        let Some((interval, servers)) = self.scenario.crashes else {
            return;
        };
        let first = self.rng.index(SERVERS);
        for number in 0..servers {
            self.end_server((first + number) % SERVERS);
        }
        self.at(self.now + interval, SimEvent::Crash);
    }

    fn update_lists(&mut self) {
        let list: Vec<Instance> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, (_, runs))| *runs)
            .map(|(number, (generation, _))| instance(number, *generation))
            .collect();
        for entry in 0..ENTRIES {
            let decisions = self.entries[entry].0.replace_instances(Timestamp(self.now), &list);
            self.apply(entry, &decisions);
        }
    }

    fn push(&mut self) {
        for (_, view) in &self.entries {
            let digest = self.record.since(self.now / MILLIS, view.version(FIRST_STATE_GROUP).unwrap_or(0));
            view.apply(Timestamp(self.now), FIRST_STATE_GROUP, &digest);
        }
    }

    fn admit_of(&self, caller: u64) -> Admit {
        let Caller { fingerprint, tries, .. } = self.callers[&caller];
        Admit {
            fingerprint,
            attempt: format!("{caller}-{tries}").into(),
            service: SERVICE.into(),
            run_ms: 4_000,
            max_running: u32::try_from(max_ejected(SERVERS)).unwrap(),
        }
    }

    /// Asks the record, or an entry's own count, whether an attempt may be sent.
    fn admit(&mut self, entry: usize, caller: u64) -> Permission {
        let fingerprint = self.callers[&caller].fingerprint;
        match self.scenario.counting {
            Counting::None => return Permission::Free,
            Counting::Entry => {
                let losses = self.own[entry].get(&fingerprint).copied().unwrap_or(0);
                return if losses < 3 { Permission::Free } else { Permission::Refused };
            }
            Counting::Suspects if !self.entries[entry].1.contains(fingerprint) => return Permission::Free,
            Counting::Suspects | Counting::EachRequest => {}
        }
        self.figures.questions += 1;
        let admit = self.admit_of(caller);
        match self.record.execute(self.now / MILLIS, SuspectCommand::Admit(admit)) {
            SuspectDecision::Innocent => {
                self.figures.calm_questions += 1;
                Permission::Free
            }
            SuspectDecision::Admitted { losses } => Permission::Counted(losses),
            SuspectDecision::Exhausted { .. } | SuspectDecision::Busy { .. } => Permission::Refused,
        }
    }

    fn send(&mut self, caller: u64) {
        let limit = if self.callers[&caller].is_fatal { FATAL_TRIES } else { TRIES };
        if self.callers[&caller].tries >= limit {
            self.figures.lost += u64::from(!self.callers[&caller].is_fatal);
            return;
        }
        self.callers.get_mut(&caller).unwrap().tries += 1;
        let entry = self.rng.index(ENTRIES);
        let permission = self.admit(entry, caller);
        if permission == Permission::Refused {
            let refused = &mut self.callers.get_mut(&caller).unwrap().refused;
            let is_first = !std::mem::replace(refused, true);
            self.figures.refused += u64::from(is_first && !self.callers[&caller].is_fatal);
            self.take_back_try(caller);
            self.at(self.now + REPEAT_US, SimEvent::Send(caller));
            return;
        }
        self.sequence += 1;
        let ticket = self.sequence;
        let placeholder = InFlight {
            caller,
            entry,
            key: ServerKey::default(),
            server: 0,
            generation: 0,
            admitted: matches!(permission, Permission::Counted(_)),
        };
        self.in_flight.insert(ticket, placeholder);
        let request = Request {
            ticket,
            service: SERVICE.into(),
            priority: 1,
            started: true,
            max_wait: Duration::from_secs(4),
            deadline: Timestamp(self.now + 4_000 * MILLIS),
            finish_by: Timestamp(self.now + 4_000 * MILLIS),
            affinity: None,
            version: None,
            excluded: Vec::new(),
            isolated: permission.is_isolated(self.scenario.isolated_from),
            profile: RequestProfile::default(),
        };
        let decisions = self.entries[entry].0.submit(Timestamp(self.now), request);
        self.apply(entry, &decisions);
    }

    fn apply(&mut self, entry: usize, decisions: &[Decision]) {
        for decision in decisions {
            match decision {
                Decision::Send { ticket, server } => self.start(entry, *ticket, *server),
                Decision::Reject { ticket, .. } => {
                    if let Some(InFlight { caller, admitted, .. }) = self.in_flight.remove(ticket) {
                        self.release(caller, admitted);
                        self.take_back_try(caller);
                        self.at(self.now + REPEAT_US, SimEvent::Send(caller));
                    }
                }
                Decision::Eject { .. } | Decision::DropConnections { .. } => {}
            }
        }
    }

    fn start(&mut self, entry: usize, ticket: u64, key: ServerKey) {
        let id = self.entries[entry].0.instance(key).unwrap().id.clone();
        let (number, generation) = id[1..].split_once('-').unwrap();
        let (server, generation) = (number.parse::<usize>().unwrap(), generation.parse::<u64>().unwrap());
        let run = self.in_flight.get_mut(&ticket).unwrap();
        (run.key, run.server, run.generation) = (key, server, generation);
        if self.servers[server] != (generation, true) {
            // The address refuses the connection, or another instance answers.
            let InFlight { caller, admitted, .. } = self.in_flight.remove(&ticket).unwrap();
            self.release(caller, admitted);
            let outcome = RequestOutcome::Unreachable;
            let progress = crate::dispatch::RunProgress::default();
            let decisions =
                self.entries[entry].0.finish_request(Timestamp(self.now), key, ticket, outcome, progress);
            self.callers.get_mut(&caller).unwrap().tries -= 1;
            self.at(self.now + REPEAT_US / 10, SimEvent::Send(caller));
            self.apply(entry, &decisions);
            return;
        }
        let time = if self.callers[&run.caller].is_fatal {
            FATAL_US
        } else {
            RUN_US.0 + self.rng.below(RUN_US.1 - RUN_US.0)
        };
        self.at(self.now + time, SimEvent::End(ticket, generation));
    }

    fn end_run(&mut self, ticket: u64, generation: u64) {
        let Some(run) = self.in_flight.get(&ticket).cloned().filter(|run| run.generation == generation)
        else {
            return;
        };
        let Caller { fingerprint, is_fatal, .. } = self.callers[&run.caller];
        if is_fatal {
            *self.ended.entry(fingerprint).or_default() += 1;
            self.end_server(run.server);
            return;
        }
        self.in_flight.remove(&ticket);
        self.figures.completed += 1;
        self.release(run.caller, run.admitted);
        let took = Duration::from_micros(RUN_US.0);
        let outcome = RequestOutcome::Completed(took);
        let progress = crate::dispatch::RunProgress::default();
        let decisions =
            self.entries[run.entry].0.finish_request(Timestamp(self.now), run.key, ticket, outcome, progress);
        self.apply(run.entry, &decisions);
    }

    /// Ends a server, under all requests that it runs.
    fn end_server(&mut self, server: usize) {
        let (generation, runs) = self.servers[server];
        if !runs {
            return;
        }
        self.servers[server].1 = false;
        self.at(self.now + LIST_US, SimEvent::Listed(server));
        self.at(self.now + DOWN_US, SimEvent::Back(server));
        let under_way = |run: &InFlight| {
            run.server == server && run.generation == generation && run.key != ServerKey::default()
        };
        let lost: Vec<u64> =
            self.in_flight.iter().filter(|(_, run)| under_way(run)).map(|(ticket, _)| *ticket).collect();
        for ticket in lost {
            let InFlight { caller, entry, key, .. } = self.in_flight.remove(&ticket).unwrap();
            let report = Lose {
                server: instance(server, generation).id,
                goes_on: false,
                abandoned: false,
                admit: self.admit_of(caller),
            };
            *self.own[entry].entry(report.admit.fingerprint).or_default() += 1;
            self.record.execute(self.now / MILLIS, SuspectCommand::Lose(report));
            let outcome = RequestOutcome::BadResponse;
            let progress = crate::dispatch::RunProgress::default();
            let decisions =
                self.entries[entry].0.finish_request(Timestamp(self.now), key, ticket, outcome, progress);
            self.at(self.now + REPEAT_US, SimEvent::Send(caller));
            self.apply(entry, &decisions);
        }
        self.at(self.now + PUSH_US, SimEvent::Push);
    }

    /// Lets the caller of a fatal request go on after a refusal, as long as it may: it would have to be refused each time.
    fn take_back_try(&mut self, caller: u64) {
        let ends_at = self.scenario.seconds * 1_000 * MILLIS;
        if self.now < ends_at && self.callers[&caller].is_fatal {
            self.callers.get_mut(&caller).unwrap().tries -= 1;
        }
    }

    fn release(&mut self, caller: u64, admitted: bool) {
        if admitted {
            let Admit { fingerprint, attempt, .. } = self.admit_of(caller);
            let end = End { fingerprint, attempt, clears: false };
            self.record.execute(self.now / MILLIS, SuspectCommand::End(end));
        }
    }
}

/// Half of the slots are busy, and each second two requests arrive that end their servers.
fn fatal_requests(counting: Counting, isolated_from: u32) -> Scenario {
    Scenario { counting, isolated_from, fatal_requests: 20, crashes: None, seconds: 20 }
}

/// One server crashes each second, for no request's sake.
fn crashes(counting: Counting) -> Scenario {
    let crashes = Some((1_000 * MILLIS, 1));
    Scenario { counting, isolated_from: 1, fatal_requests: 0, crashes, seconds: 20 }
}

/// A third of the servers crash at once, every five seconds.
fn outages(counting: Counting) -> Scenario {
    Scenario { crashes: Some((5_000 * MILLIS, SERVERS / 3)), ..crashes(counting) }
}

const SEEDS: [u64; 3] = [1, 3, 5];
/// No suspect is kept apart.
const NEVER: u32 = u32::MAX;

/// Plays a scenario and prints what docs/design/027-requests-that-end-servers.md reports.
fn play_and_print(name: &str, scenario: Scenario, seed: u64) -> Figures {
    let figures = play(scenario, seed);
    let Figures { ended, completed, lost, refused, calm_questions, questions } = &figures;
    let (sum, most) = (ended.iter().sum::<usize>(), ended.iter().max().copied().unwrap_or(0));
    println!(
        "{name} counting={:?} isolated_from={} seed={seed} ended={sum} most={most} completed={completed} \
         lost={lost} refused={refused} questions={questions} calm_questions={calm_questions}",
        scenario.counting, scenario.isolated_from
    );
    figures
}

#[test]
fn three_servers_end_under_each_of_many_fatal_requests() {
    for seed in SEEDS {
        let figures = play_and_print("fatal", fatal_requests(Counting::Suspects, 1), seed);
        assert!(figures.ended.iter().all(|ended| *ended <= 3), "seed {seed}: {figures:?}");
        assert_eq!(figures.calm_questions, 0, "seed {seed}");
    }
}

/// The losses of a flood are bounded by the number of its requests alone, and cost those of others dearly.
#[test]
fn three_servers_end_under_each_request_of_a_flood() {
    for count in [80, 160] {
        let scenario = Scenario { fatal_requests: count, ..fatal_requests(Counting::Suspects, 1) };
        let figures = play_and_print("flood", scenario, 1);
        assert!(figures.ended.iter().all(|ended| *ended <= 3), "{figures:?}");
    }
}

/// Asking about each request bounds the losses as well, at the price of a question for each.
#[test]
fn asking_about_each_request_ends_no_fewer_servers() {
    let figures = play_and_print("fatal", fatal_requests(Counting::EachRequest, 1), 1);
    assert!(figures.ended.iter().all(|ended| *ended <= 3), "{figures:?}");
    assert!(figures.calm_questions > figures.completed / 2, "{figures:?}");
}

/// The check above can fail: without a count, or with one for each entry, more servers end.
#[test]
fn counts_that_entries_keep_for_themselves_do_not_bound_losses() {
    for counting in [Counting::None, Counting::Entry] {
        let figures = play_and_print("fatal", fatal_requests(counting, NEVER), 1);
        assert!(figures.ended.iter().any(|ended| *ended > 3), "{counting:?}: {figures:?}");
    }
}

#[test]
fn isolated_suspects_take_fewer_requests_along() {
    let [shared, isolated] = [NEVER, 1].map(|isolated_from| {
        let scenario = fatal_requests(Counting::Suspects, isolated_from);
        SEEDS
            .map(|seed| play_and_print("fatal", scenario, seed))
            .iter()
            .map(|figures| figures.lost)
            .sum::<u64>()
    });
    assert!(isolated < shared, "{isolated} and {shared}");
}

#[test]
fn crashes_and_outages_without_a_fatal_request_cost_innocent_ones_little() {
    for (name, scenario) in [("crashes", crashes as fn(Counting) -> Scenario), ("outages", outages)] {
        for seed in SEEDS {
            let [before, after] = [Counting::None, Counting::Suspects]
                .map(|counting| play_and_print(name, scenario(counting), seed));
            let share = |count: u64| count * 1_000 / after.completed;
            assert!(
                share(after.refused) <= 5,
                "{name}, seed {seed}: {} of {}",
                after.refused,
                after.completed
            );
            assert!(share(after.lost) <= share(before.lost) + 5, "{name}, seed {seed}: {after:?}");
        }
    }
}
