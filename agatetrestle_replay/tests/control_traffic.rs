//! What control sends must not grow faster than the fleet.

use agatetrestle_replay::control_traffic::ControlTraffic;
use agatetrestle_replay::control_traffic::model;

const SEED: u64 = 1;

fn at_both_sizes(figure: impl Fn(&ControlTraffic) -> u64) -> (u64, u64) {
    (figure(&model(250, SEED)), figure(&model(500, SEED)))
}

#[test]
fn reports_to_one_replica_are_fewer_than_those_of_the_fleet() {
    let fleet = model(250, SEED);
    assert!(fleet.leader_reports * 3 < fleet.star_reports, "{fleet:?}");
    assert!(fleet.relay_reports * 2 < fleet.star_reports, "{fleet:?}");
    assert!(fleet.relay_reports_after_loss <= fleet.star_reports, "{fleet:?}");
}

#[test]
fn new_leader_sends_a_hundredth_of_the_full_lists() {
    let fleet = model(250, SEED);
    assert!(fleet.election_bytes * 100 < fleet.whole_after_election_bytes, "{fleet:?}");
}

#[test]
fn change_costs_a_process_the_same_in_a_fleet_of_twice_the_size() {
    let (single, double) = at_both_sizes(|fleet| fleet.replacement_items);
    assert_eq!(single, double);
    let (single, double) = at_both_sizes(|fleet| fleet.replacement_bytes);
    assert!(single.abs_diff(double) * 20 < single, "{single} and {double} bytes");
}

#[test]
fn traffic_of_a_new_leader_grows_as_the_fleet() {
    let (single, double) = at_both_sizes(|fleet| fleet.election_bytes);
    assert!(double * 10 < single * 22, "{single} and {double} bytes");
}
