//! The replay gives the same bytes on every run and keeps the promises that it counts.

use agatetrestle::scheduler::Policy;
use agatetrestle::trace;
use agatetrestle_replay::catalog::Pool;
use agatetrestle_replay::replay;
use agatetrestle_replay::report;
use agatetrestle_replay::synth::Synth;
use agatetrestle_replay::synth::Workload;
use agatetrestle_replay::synth::synthesise;
use agatetrestle_replay::world::Options;

fn small(workload: Workload) -> Synth {
    Synth { workload, programs: 60, load: 85, engines: 2, seed: 3 }
}

fn options() -> Options {
    Options { seed: 3, pool: Pool { engines: 2, ..Pool::default() }, faults: Vec::new() }
}

#[test]
fn same_seed_gives_same_bytes() {
    let bytes = || {
        let calls = synthesise(&small(Workload::Shared));
        let measures = replay(&calls, Policy::RoundRobin, &options());
        report::json(&[measures]).expect("JSON")
    };
    assert_eq!(bytes(), bytes());
}

#[test]
fn another_seed_gives_another_trace() {
    let one = synthesise(&small(Workload::Shared));
    let two = synthesise(&Synth { seed: 4, ..small(Workload::Shared) });
    assert_ne!(one, two);
}

#[test]
fn a_trace_reads_back_as_written() {
    let calls = synthesise(&small(Workload::Lernwerk));
    let text = trace::format(&calls).expect("JSON");
    assert_eq!(trace::parse(&text).expect("trace"), calls);
}

#[test]
fn a_line_that_is_no_call_is_named() {
    let error = trace::parse("\n{}\n").expect_err("no call");
    assert!(error.to_string().starts_with("line 2: "), "{error}");
}

#[test]
fn baseline_completes_everything_in_order() {
    for workload in [Workload::Vrsta, Workload::Lernwerk, Workload::Tenfold] {
        let calls = synthesise(&small(workload));
        let measures = replay(&calls, Policy::RoundRobin, &options());
        assert_eq!(measures.completed, 60, "{workload:?}");
        assert_eq!(measures.broken.order, 0, "{workload:?}");
        assert_eq!(measures.broken.at_most_once, 0, "{workload:?}");
    }
}

#[test]
fn a_sub_agent_that_never_starts_does_not_keep_the_replay_going() {
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
    let measures = replay(&calls, Policy::Adaptive, &options());
    assert_eq!((measures.programs, measures.completed, measures.calls), (1, 1, 1));
}
