//! Tests that replays are reproducible, complete and end.

use agatetrestle::scheduler::Policy;
use agatetrestle::trace;
use agatetrestle_replay::catalog::PoolConfig;
use agatetrestle_replay::replay;
use agatetrestle_replay::report;
use agatetrestle_replay::simulation::ReplayOptions;
use agatetrestle_replay::synth::SynthOptions;
use agatetrestle_replay::synth::Workload;
use agatetrestle_replay::synth::synthesise;

fn small_synth(workload: Workload) -> SynthOptions {
    SynthOptions { workload, programs: 60, load: 85, engines: 2, seed: 3 }
}

fn options() -> ReplayOptions {
    ReplayOptions { seed: 3, pool: PoolConfig { engines: 2, ..PoolConfig::default() }, faults: Vec::new() }
}

#[test]
fn same_seed_gives_same_bytes() {
    let bytes = || {
        let calls = synthesise(&small_synth(Workload::Shared));
        let stats = replay(&calls, Policy::RoundRobin, &options());
        report::json(&[stats]).expect("JSON")
    };
    assert_eq!(bytes(), bytes());
}

#[test]
fn different_seed_gives_different_trace() {
    let one = synthesise(&small_synth(Workload::Shared));
    let two = synthesise(&SynthOptions { seed: 4, ..small_synth(Workload::Shared) });
    assert_ne!(one, two);
}

#[test]
fn trace_round_trips_through_text() {
    let calls = synthesise(&small_synth(Workload::Lernwerk));
    let text = trace::format(&calls).expect("JSON");
    assert_eq!(trace::parse(&text).expect("trace"), calls);
}

#[test]
fn reports_the_line_of_an_invalid_call() {
    let error = trace::parse("\n{}\n").expect_err("no call");
    assert!(error.to_string().starts_with("line 2: "), "{error}");
}

#[test]
fn baseline_completes_all_programs_in_order() {
    for workload in [Workload::Vrsta, Workload::Lernwerk, Workload::Tenfold] {
        let calls = synthesise(&small_synth(workload));
        let stats = replay(&calls, Policy::RoundRobin, &options());
        assert_eq!(stats.completed, 60, "{workload:?}");
        assert_eq!(stats.broken.order, 0, "{workload:?}");
        assert_eq!(stats.broken.at_most_once, 0, "{workload:?}");
    }
}

#[test]
fn replay_ends_when_a_sub_agent_never_starts() {
    let line = |program: &str, parent: &str| {
        format!(
            "{{\"partner\":\"p\",\"program\":\"{program}\",\"team\":\"t\",\"class\":\"c\",{parent}\"call\":1,\
             \"last\":true,\"kind\":\"model\",\"serves\":\"m\",\"repeatable\":true,\"blocks\":[{}],\
             \"block_tokens\":512,\"prompt_tokens\":600,\"output\":20,\"arrival\":0,\"ended\":true}}\n",
            program.len()
        )
    };
    let child = line("child", "\"parent\":{\"program\":\"parent\",\"call\":1},");
    let calls = trace::parse(&(line("parent", "") + &child)).expect("trace");
    let stats = replay(&calls, Policy::Adaptive, &options());
    assert_eq!((stats.programs, stats.completed, stats.calls), (1, 1, 1));
}
