//! What must hold under the replayed loads, on seeds 3, 5 and 7.

use crate::turns::tests::contention::Load;
use crate::turns::tests::contention::OTHER;
use crate::turns::tests::contention::Outcome;
use crate::turns::tests::contention::URGENT;
use crate::turns::tests::contention::alternatives::Order;
use crate::turns::tests::contention::alternatives::Ordered;
use crate::turns::tests::contention::leader::Leader;
use crate::turns::tests::contention::replay;

/// Multiples in tenths of a team's usual load.
const BURST: u64 = 75;
const LARGE_BURST: u64 = 150;
const MODERATE_BURST: u64 = 45;
/// Second of the burst at which the leader is replaced.
const LEADER_LOST_SECOND: u64 = 8;
/// Engines that are five times slower, of 48.
const SLOW_ENGINES: usize = 9;

fn load(seed: u64, burst_tenths: u64) -> Load {
    Load { seed, burst_tenths, leader_lost: None, slow_engines: 0, strict_patience: false }
}

fn summary(outcome: &Outcome) -> String {
    format!(
        "in time {} urgent {:.3} other {:.3} others' teams {:.3} worst {:.3} refusals {:.2?} open turns {}",
        outcome.total_on_time(),
        outcome.on_time_of_route(URGENT),
        outcome.on_time_of_route(OTHER),
        outcome.other_teams(),
        outcome.worst_other_team(),
        outcome.refusals(),
        outcome.max_open_turns
    )
}

/// Guards against a burst of one team that takes capacity from other teams or from the urgent route. Without the burst all
/// their programs are in time.
fn check_others(seed: u64, burst_tenths: u64, worst_team: f64) {
    let outcome = replay(load(seed, burst_tenths), &mut Leader::with_teams());
    let text = summary(&outcome);
    println!("seed {seed} burst {burst_tenths}: {text}");
    assert!(outcome.worst_other_team() >= worst_team, "{text}");
    assert!(outcome.other_teams() >= 0.97, "{text}");
    assert!(outcome.on_time_of_route(URGENT) >= 0.97, "{text}");
    assert!(outcome.refusals_of_other_teams() <= 2.0, "{text}");
}

#[test]
fn burst_spares_other_teams_seed_3() {
    check_others(3, BURST, 0.95);
}

#[test]
fn burst_spares_other_teams_seed_5() {
    check_others(5, BURST, 0.95);
}

#[test]
fn burst_spares_other_teams_seed_7() {
    check_others(7, BURST, 0.95);
}

#[test]
fn large_burst_spares_other_teams_seed_3() {
    check_others(3, LARGE_BURST, 0.95);
}

#[test]
fn large_burst_spares_other_teams_seed_5() {
    check_others(5, LARGE_BURST, 0.95);
}

#[test]
fn large_burst_spares_other_teams_seed_7() {
    check_others(7, LARGE_BURST, 0.95);
}

/// Guards against refused programs that each send six requests, at a load at which 5 to 10 in 100 programs of the less urgent
/// route are not in time. A caller either waits for a part of a long delay or gives the request up.
fn check_refusals(seed: u64) {
    let load = load(seed, MODERATE_BURST);
    let waits = replay(load, &mut Leader::with_teams());
    let gives_up = replay(Load { strict_patience: true, ..load }, &mut Leader::with_teams());
    println!("seed {seed} waits: {}; gives up: {}", summary(&waits), summary(&gives_up));
    assert!(waits.refusals().0 <= 2.0, "{}", summary(&waits));
    assert!(gives_up.refusals().0 <= 2.0, "{}", summary(&gives_up));
    assert!(gives_up.refusals().1 <= 3.0, "{}", summary(&gives_up));
}

#[test]
fn refused_programs_receive_few_responses_seed_3() {
    check_refusals(3);
}

#[test]
fn refused_programs_receive_few_responses_seed_5() {
    check_refusals(5);
}

#[test]
fn refused_programs_receive_few_responses_seed_7() {
    check_refusals(7);
}

/// Guards against a rule that serves the worst team or the sum worse than a simpler one.
fn check_alternatives(seed: u64) {
    let load = load(seed, BURST);
    let shares = replay(load, &mut Leader::with_teams());
    let alternatives = [
        ("today's rule", replay(load, &mut Leader::without_teams())),
        ("earliest deadline first", replay(load, &mut Ordered::new(Order::EarliestDeadline))),
        ("newest first", replay(load, &mut Ordered::new(Order::Newest))),
    ];
    println!("seed {seed}: {}", summary(&shares));
    for (name, alternative) in &alternatives {
        println!("seed {seed} {name}: {}", summary(alternative));
        assert!(shares.total_on_time() >= alternative.total_on_time(), "{name}");
        assert!(shares.worst_other_team() > alternative.worst_other_team(), "{name}");
    }
}

#[test]
fn serves_worst_team_better_than_alternatives_seed_3() {
    check_alternatives(3);
}

#[test]
fn serves_worst_team_better_than_alternatives_seed_5() {
    check_alternatives(5);
}

#[test]
fn serves_worst_team_better_than_alternatives_seed_7() {
    check_alternatives(7);
}

/// Guards against a new leader that admits programs until it has counted those that run.
fn check_new_leader(seed: u64) {
    let load = Load { leader_lost: Some(LEADER_LOST_SECOND), ..load(seed, BURST) };
    let replaced = replay(load, &mut Leader::with_teams());
    let text = summary(&replaced);
    println!("seed {seed} leader lost: {text}");
    assert!(replaced.worst_other_team() >= 0.95, "{text}");
    assert!(replaced.on_time_of_route(URGENT) >= 0.97, "{text}");
    assert!(replaced.max_open_turns <= MAX_OPEN_TURNS, "{text}");
}

/// Turns that may be open at once, 1.75 times the slots. With the same leader they are at most 476 on these seeds.
const MAX_OPEN_TURNS: usize = 504;

#[test]
fn new_leader_keeps_limit_seed_3() {
    check_new_leader(3);
}

#[test]
fn new_leader_keeps_limit_seed_5() {
    check_new_leader(5);
}

#[test]
fn new_leader_keeps_limit_seed_7() {
    check_new_leader(7);
}

/// Guards against refusing the urgent route while the other one begins programs, here with a fifth of the engines five times
/// slower. Urgent programs that such an engine delays end late under any rule.
fn check_classes(seed: u64) {
    let outcome = replay(Load { slow_engines: SLOW_ENGINES, ..load(seed, BURST) }, &mut Leader::with_teams());
    let text = summary(&outcome);
    let (urgent, other) = (outcome.begun_of_route(URGENT), outcome.begun_of_route(OTHER));
    println!("seed {seed} slow engines: {text}; begun: urgent {urgent:.3} other {other:.3}");
    assert!(urgent >= 0.98, "{urgent} {text}");
    assert!(urgent > other, "{urgent} {other}");
    assert!(outcome.on_time_of_route(URGENT) > outcome.on_time_of_route(OTHER), "{text}");
}

#[test]
fn urgent_route_is_not_refused_for_other_seed_3() {
    check_classes(3);
}

#[test]
fn urgent_route_is_not_refused_for_other_seed_5() {
    check_classes(5);
}

#[test]
fn urgent_route_is_not_refused_for_other_seed_7() {
    check_classes(7);
}
