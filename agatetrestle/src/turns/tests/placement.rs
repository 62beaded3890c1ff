//! Tests of the placement of turns by the leader, alone and on the simulated entries and engines of [`super::burst`].

use std::time::Duration;

use super::burst::Results;
use super::burst::Scenario;
use super::burst::Speeds;
use super::burst::on_time_ratio;
use super::burst::simulate_scenario;
use crate::clock::Timestamp;
use crate::ids::NodeId;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Candidate;
use crate::turns::command::Finish;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::placement::Placement;

const SEEDS: [u64; 3] = [3, 5, 7];
const SERVERS: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
const TURN_MS: u64 = 200;
/// Share of programs that are late if a fifth of the servers is slow and each entry chooses alone: more than this.
const MIN_LATE_ALONE: f64 = 0.17;

fn scenario(speeds: Speeds, groups: usize) -> Scenario {
    Scenario {
        with_limiter: true,
        seconds: 10,
        burst_load: 50,
        base_load: 50,
        speeds,
        groups,
        leaders_lost_at: None,
        wrong_reports: false,
    }
}

/// Share of programs that are late or refused, and the 99th percentile of the time of a turn in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Figures {
    late: f64,
    p99: u64,
}

fn measure(label: &str, scenario: Scenario, seed: u64) -> (Figures, Results) {
    let results = simulate_scenario(scenario, seed);
    let p99 = results.latencies[results.latencies.len() * 99 / 100] / 1_000;
    let figures = Figures { late: 1.0 - on_time_ratio(&results.seconds), p99 };
    println!("{:?} {label} seed={seed} late={:.3} p99_ms={p99}", scenario.speeds, figures.late);
    (figures, results)
}

/// Compares placement by the leaders of one and of three groups with the choice of each entry alone.
fn compare(speeds: Speeds, min_late_alone: f64) {
    for seed in SEEDS {
        let (alone, _) = measure("alone", scenario(speeds, 0), seed);
        assert!(alone.late > min_late_alone, "the scenario must be hard for entries alone: {alone:?}");
        for groups in [1, 3] {
            let label = format!("groups={groups}");
            let (placed, results) = measure(&label, scenario(speeds, groups), seed);
            assert!(placed.late * 4.0 <= alone.late, "seed {seed}, {groups} groups: {placed:?} {alone:?}");
            assert!(placed.p99 * 10 <= alone.p99 * 6, "seed {seed}, {groups} groups: {placed:?} {alone:?}");
            let report = results.reports.last().expect("the leaders report every few seconds");
            assert!(report.placed > 0 && report.moved < report.placed, "{report}");
        }
    }
}

/// Guards against a leader that does not find out which servers are slower for good.
#[test]
fn leader_avoids_servers_of_low_speed() {
    compare(Speeds::Uneven, 0.02);
}

/// Guards against a leader that notices a slow server only by the turns that it completes, which come late.
#[test]
fn leader_avoids_servers_while_they_are_slow() {
    compare(Speeds::FifthSlow, MIN_LATE_ALONE);
}

/// Guards against a leader that acts on the speed of some time ago: other workloads slow a server down for moments only.
#[test]
fn leader_does_not_chase_short_contention() {
    for seed in SEEDS {
        let (alone, _) = measure("alone", scenario(Speeds::Contended, 0), seed);
        let (one, _) = measure("groups=1", scenario(Speeds::Contended, 1), seed);
        assert!(one.late * 2.0 <= alone.late && one.p99 < alone.p99, "seed {seed}: {one:?} {alone:?}");
        let (three, _) = measure("groups=3", scenario(Speeds::Contended, 3), seed);
        assert!(
            three.late * 4.0 <= alone.late * 3.0 && three.p99 < alone.p99,
            "seed {seed}: {three:?} {alone:?}"
        );
    }
}

/// Guards against a new leader that acts on no evidence, or does not learn. The bound is below what entries alone reach in
/// [`leader_avoids_servers_while_they_are_slow`], as the leader is there for most of the time.
#[test]
fn new_leader_learns_after_the_former_is_lost() {
    for seed in SEEDS {
        let lost = Scenario { leaders_lost_at: Some(5_000_000), ..scenario(Speeds::FifthSlow, 1) };
        let (lost, results) = measure("lost", lost, seed);
        assert!(lost.late <= MIN_LATE_ALONE, "seed {seed}: {lost:?}");
        let after = on_time_ratio(&results.seconds[7..]);
        assert!(after >= 0.95, "seed {seed}: {after} of the programs that start afterwards are in time");
    }
}

/// Guards against one entry that drives the others off all servers: one that reports each turn as failed, and one that
/// reports ten times the run time of each.
#[test]
fn wrong_reports_of_two_entries_change_little() {
    for speeds in [Speeds::Uneven, Speeds::FifthSlow] {
        for seed in SEEDS {
            let wrong = Scenario { wrong_reports: true, ..scenario(speeds, 1) };
            let (wrong, _) = measure("wrong", wrong, seed);
            assert!(wrong.late <= 0.04 && wrong.p99 <= 600, "seed {seed}: {wrong:?}");
        }
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn begin_at(turn: &str, entry: u64, servers: &[&str]) -> Begin {
    let candidate = |server: &&str| Candidate {
        server: (*server).into(),
        expected_us: u32::try_from(TURN_MS * 1_000).unwrap(),
        slots: 6,
    };
    let opening = AdmissionParams {
        service: "engines".into(),
        route: "chat".into(),
        patience: 3_000,
        candidates: servers.iter().map(candidate).collect(),
        entry: Some(NodeId(entry)),
        ..AdmissionParams::default()
    };
    Begin {
        stream: None,
        program: "p".into(),
        team: "".into(),
        turn: turn.into(),
        budget: None,
        most: 0,
        previous: None,
        carried: Vec::new(),
        opening: Some(opening),
    }
}

fn finish(turn: &str, server: &str, ran: u64) -> Finish {
    Finish { turn: turn.into(), server: Some(server.into()), ran: Some(ran), ..Finish::default() }
}

/// Runs a turn of the usual length on each server for an entry, all at the given time.
fn run_on_all(placement: &mut Placement, millis: u64, entry: u64) {
    for server in SERVERS {
        run_on(placement, millis, entry, server, TURN_MS);
    }
}

fn run_on(placement: &mut Placement, millis: u64, entry: u64, server: &str, ran: u64) {
    let turn = format!("{server}-{entry}-{millis}");
    assert_eq!(placement.place(at(millis), &begin_at(&turn, entry, &[server])), None);
    placement.finish(at(millis + ran), &finish(&turn, server, ran));
}

/// Index of the candidate for a further turn, which is abandoned at once.
fn choice(placement: &mut Placement, millis: u64, servers: &[&str]) -> u32 {
    let begin = begin_at("choice", 9, servers);
    let index = placement.place(at(millis), &begin);
    placement.abandon(&begin.turn);
    index.unwrap_or(0)
}

/// Guards against prompts that are read again and again, because turns leave the server that has them for small gains.
#[test]
fn keeps_server_with_cached_prompt_unless_it_takes_twice_as_long() {
    let moved = |queued: u64, cached: bool| {
        let mut placement = Placement::default();
        for number in 0..queued {
            placement.place(at(0), &begin_at(&format!("q-{number}"), 1, &["s-0"]));
        }
        let mut begin = begin_at("choice", 9, &["s-0", "s-1"]);
        begin.opening.as_mut().unwrap().cached = cached;
        placement.place(at(0), &begin).is_some()
    };
    assert_eq!([moved(8, false), moved(8, true)], [true, false], "a short queue");
    assert_eq!([moved(24, false), moved(24, true)], [true, true], "a queue of several turns each");
}

/// Guards against a change of servers that are alike, which costs connections and cached prompts.
#[test]
fn keeps_own_choice_if_candidates_are_alike() {
    let mut placement = Placement::default();
    assert_eq!(choice(&mut placement, 0, &SERVERS), 0);
    for entry in 0..8 {
        run_on_all(&mut placement, entry * 300, entry);
    }
    assert_eq!(choice(&mut placement, 2_500, &SERVERS), 0);
    assert_eq!(choice(&mut placement, 2_500, &[]), 0);
}

/// Guards against counting a turn twice or forever when its begin is repeated, refused, or its end is lost.
#[test]
fn counts_each_open_turn_once_until_it_expires() {
    let mut placement = Placement::default();
    let servers = ["s-0", "s-1"];
    let mut open = |millis, turn: &str| placement.place(at(millis), &begin_at(turn, 1, &servers));
    let first: Vec<_> = (0..6).map(|number| open(3_000, &number.to_string())).collect();
    assert!(first.iter().filter(|index| index.is_some()).count() <= 3, "half of the turns stay: {first:?}");
    let again: Vec<_> = (0..6).map(|number| open(3_001, &number.to_string())).collect();
    assert_eq!(first, again);
    assert_eq!(placement.in_flight("engines"), 6);
    placement.abandon(&"0".into());
    placement.finish(at(3_100), &finish("1", "s-0", 100));
    placement.finish(at(3_100), &finish("1", "s-0", 100));
    placement.finish(at(3_100), &finish("nobody", "s-0", 100));
    placement.finish(at(3_250), &Finish { server: None, ..finish("5", "", 100) });
    assert_eq!(placement.in_flight("engines"), 3);
    assert_eq!(placement.take_report(at(6_150))[0].in_flight, 3);
    assert_eq!(placement.take_report(at(6_151)), []);
    assert_eq!(placement.take_report(at(12_000))[0].in_flight, 0);
    assert_eq!(placement.take_report(at(90_000)), [], "idle servers are forgotten");
}

/// Guards against a herd: equally good servers must not all be the same one for a burst of turns.
#[test]
fn breaks_ties_by_turn() {
    let chosen = |turn: &str| {
        let mut placement = Placement::default();
        for number in 0..12 {
            placement.place(at(0), &begin_at(&number.to_string(), 1, &["s-0"]));
        }
        placement.place(at(0), &begin_at(turn, 1, &SERVERS)).expect("the own choice is full")
    };
    let first: Vec<u32> = (0..30).map(|number| chosen(&format!("t-{number}"))).collect();
    let again: Vec<u32> = (0..30).map(|number| chosen(&format!("t-{number}"))).collect();
    assert_eq!(first, again, "the choice depends on the turn alone");
    assert!((1..4).all(|index| first.contains(&index)), "{first:?}");
}

/// Guards against a partitioned entry that makes a server look failed for all: it counts a third, three count in full.
#[test]
fn failures_reported_by_one_entry_count_a_third() {
    let failing = |entries: u64| {
        let mut placement = Placement::default();
        for entry in (0..entries).cycle().take(9) {
            let turn = format!("f-{entry}");
            placement.place(at(0), &begin_at(&turn, entry, &["s-0"]));
            placement.finish(at(1), &Finish { failed: true, ran: None, ..finish(&turn, "s-0", 0) });
        }
        // The other server has a queue, so that it is chosen only if the first is much worse.
        for number in 0..20 {
            placement.place(at(1), &begin_at(&number.to_string(), 9, &["s-1"]));
        }
        choice(&mut placement, 2, &["s-0", "s-1"])
    };
    assert_eq!([failing(1), failing(2), failing(3)], [0, 0, 1]);
}

/// Guards against one entry whose callers read slowly, or whose figures are wrong.
#[test]
fn run_times_reported_by_one_entry_count_a_third() {
    let chosen = |slow_entries: u64| {
        let mut placement = Placement::default();
        for number in 0..30 {
            run_on_all(&mut placement, number, number % 8);
        }
        for number in 0..12 {
            run_on(&mut placement, 200 + number, 20 + number % slow_entries, "s-0", 4 * TURN_MS);
        }
        // The other server is busy enough to be worse than one of half the speed, and better than one much slower.
        for number in 0..11 {
            placement.place(at(1_020), &begin_at(&number.to_string(), 9, &["s-1"]));
        }
        choice(&mut placement, 1_020, &["s-0", "s-1"])
    };
    assert_eq!([chosen(1), chosen(6)], [0, 1]);
}

/// Guards against evidence that outlives its cause, and against a failure that is held against a server for good.
#[test]
fn evidence_fades_within_seconds() {
    let mut placement = Placement::default();
    for number in 0..60 {
        run_on_all(&mut placement, number, number % 8);
    }
    for entry in 0..6 {
        run_on(&mut placement, 100, entry, "s-0", 5 * TURN_MS);
        let turn = format!("f-{entry}");
        placement.place(at(1_100), &begin_at(&turn, entry, &["s-1"]));
        placement.finish(at(1_100), &Finish { failed: true, ran: None, ..finish(&turn, "s-1", 0) });
    }
    assert_eq!(choice(&mut placement, 1_200, &["s-0", "s-2"]), 1);
    assert_eq!(choice(&mut placement, 1_200, &["s-1", "s-2"]), 1);
    assert_eq!(choice(&mut placement, 9_000, &["s-1", "s-2"]), 0);
    // The usual speed of the server has changed a little, so the other one is preferred until it is busy.
    let busy = begin_at("busy", 1, &["s-2"]);
    for number in 0..6 {
        placement.place(at(9_000), &Begin { turn: number.to_string().into(), ..busy.clone() });
    }
    assert_eq!(choice(&mut placement, 9_000, &["s-0", "s-2"]), 0);
}

/// Guards against a server that completes nothing and therefore has no slow samples.
#[test]
fn overdue_turns_count_before_they_end() {
    let mut placement = Placement::default();
    for entry in 0..8 {
        run_on_all(&mut placement, entry * 10, entry);
    }
    for entry in 0..3 {
        placement.place(at(300), &begin_at(&format!("o-{entry}"), entry, &["s-0"]));
    }
    assert_eq!(choice(&mut placement, 400, &["s-0", "s-1"]), 0);
    assert_eq!(choice(&mut placement, 300 + 4 * TURN_MS, &["s-0", "s-1"]), 1);
}

/// Guards against counting this group's turns twice in the load that a server reports.
#[test]
fn load_of_others_is_the_report_minus_own() {
    let with_report = |load: (u32, u32)| {
        let mut placement = Placement::default();
        for number in 0..4 {
            placement.place(at(0), &begin_at(&number.to_string(), 1, &["s-0"]));
        }
        placement.finish(at(10), &Finish { load: Some(load), ..finish("3", "s-0", 10) });
        choice(&mut placement, 11, &["s-0", "s-1"])
    };
    assert_eq!([with_report((4, 0)), with_report((6, 8))], [0, 1]);
}

/// Guards against malformed and hostile figures, which must not panic or poison the estimates.
#[test]
fn survives_extreme_figures() {
    let mut placement = Placement::default();
    for number in 0..40_u64 {
        let mut begin = begin_at(&number.to_string(), number % 3, &SERVERS);
        let opening = begin.opening.as_mut().unwrap();
        opening.patience = u64::MAX;
        for (index, candidate) in opening.candidates.iter_mut().enumerate() {
            candidate.expected_us = [0, u32::MAX][(index + 1) % 2];
            candidate.slots = [0, u32::MAX][index % 2];
        }
        opening.candidates.extend(opening.candidates.clone().into_iter().cycle().take(40));
        placement.place(at(number), &begin);
        let ran = Some([0, u64::MAX][usize::from(number % 2 == 0)]);
        let load = Some((u32::MAX, u32::MAX));
        placement.finish(at(number), &Finish { ran, load, ..finish(&number.to_string(), "s-0", 0) });
    }
    for report in placement.take_report(at(60_000)) {
        assert!(report.slowest.iter().all(|(_, speed)| speed.is_finite()), "{report}");
    }
    assert!(choice(&mut placement, 60_000, &SERVERS) < 4);
}

/// Guards against log lines that operators cannot parse.
#[test]
fn reports_load_and_slowest_servers() {
    let mut placement = Placement::default();
    for entry in 0..8 {
        run_on_all(&mut placement, entry * 10, entry);
    }
    for entry in 0..6 {
        run_on(&mut placement, 100, entry, "s-2", 3 * TURN_MS);
    }
    placement.place(at(4_900), &begin_at("open", 1, &SERVERS));
    let lines: Vec<String> = placement.take_report(at(5_000)).iter().map(ToString::to_string).collect();
    let start = "placement service=engines in_flight=1 servers=4 placed=39 moved=0 slowest=s-2:1.";
    assert!(lines.len() == 1 && lines[0].starts_with(start), "{lines:?}");
}

/// Guards against longer messages where the settings leave the choice to entries, against longer ones than the note states
/// where they do not, and against candidates in the log.
#[test]
fn candidates_lengthen_the_message_but_not_the_log() {
    let names: Vec<String> = (0..8).map(|number| format!("i-3472656cd{number}")).collect();
    let servers: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut placed = begin_at("f06db99c70c465bc", 0x1234_5678_9abc, &servers);
    for candidate in &mut placed.opening.as_mut().unwrap().candidates[1..] {
        candidate.slots = 0;
    }
    let mut alone = placed.clone();
    let opening = alone.opening.as_mut().unwrap();
    (opening.candidates, opening.entry) = (Vec::new(), None);
    let (placed, alone) = (TurnCommand::Begin(placed), TurnCommand::Begin(alone));
    assert_eq!(placed.without_candidates(), Some(alone.clone()));
    assert_eq!(alone.without_candidates(), None);
    let encoded = |command: &TurnCommand| command.encode(Duration::ZERO);
    let text = String::from_utf8_lossy(&encoded(&alone)).into_owned();
    assert!(["candidates", "capacity", "entry", "slots"].iter().all(|field| !text.contains(field)), "{text}");
    let finished = |finish: Finish| encoded(&TurnCommand::Finish(finish)).len();
    let plain = Finish { turn: "t".into(), ran: Some(200), ..Finish::default() };
    let reporting = Finish { server: Some(servers[0].into()), load: Some((6, 2)), ..plain.clone() };
    let grown = (encoded(&placed).len() - encoded(&alone).len(), finished(reporting) - finished(plain));
    println!("bytes added to a begin and a finish: {grown:?}");
    assert!(grown.0 <= 340 && grown.1 <= 30, "{grown:?}");
}

/// Guards against an entry or a leader of an older build that fails at the new fields.
#[test]
fn decodes_commands_without_placement() {
    let old = r#"{"service":"s","route":"r","places":1,"charge":false,"patience":1,"finish_in":null,"begins":true}"#;
    let params: AdmissionParams = serde_json::from_str(old).unwrap();
    assert!(params.candidates.is_empty() && params.entry.is_none());
    let reply: TurnReply = serde_json::from_str(r#"{"Begun":{"chain":[]}}"#).unwrap();
    assert_eq!(reply, TurnReply::Begun { chain: Vec::new(), server: None });
}
