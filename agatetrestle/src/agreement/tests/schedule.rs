//! Random schedules of failures, with the invariants checked after every input.

use proptest::prelude::*;
use proptest::test_runner::TestError;

use crate::agreement::ReplicaChange;
use crate::agreement::replica::fault::Fault;
use crate::agreement::tests::seeded;
use crate::agreement::tests::simulation::NetworkFaults;
use crate::agreement::tests::simulation::NodeSelector;
use crate::agreement::tests::simulation::Simulation;
use crate::agreement::tests::simulation::Violation;

/// Ticks within which a new leader is usually elected.
const ELECTION_TICKS: u64 = 50;

/// Ticks within which a healthy leader commits.
const COMMIT_TICKS: u64 = 6;

/// True time after which every leader has sent a heartbeat.
const HEARTBEAT_MICROS: u64 = 25_000;

/// True time after which every follower has timed out.
const MAX_ELECTION_TIMEOUT_MICROS: u64 = 220_000;

/// Minimum true time for which a restarted replica refuses votes.
const MIN_VOTE_REFUSAL_MICROS: u64 = 96_000;

const LEASE_TICKS: u64 = 17;

/// Hops after which no messages are in transit on a healthy network.
const HOPS_PER_TICK: usize = 6;

#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// Advances the time by a number of ticks, each with a number of hops.
    Run(u64, usize),
    /// Advances the time without delivering messages or syncing.
    AdvanceTime(u64),
    DeliverDelayed(usize),
    Sync(usize, usize),
    /// Stops or resumes the automatic syncs of a node.
    SlowDisk(NodeSelector, bool),
    /// Starts or stops continuous reads and proposals.
    ClientLoad(bool),
    Propose(NodeSelector),
    ProposeMany(NodeSelector, usize),
    Read,
    Crash(NodeSelector, usize),
    Restart(usize),
    CrashRestart(NodeSelector),
    CrashAll,
    Cut(usize, usize),
    Isolate(NodeSelector),
    CutFromLeader(usize),
    Heal,
    Pause(NodeSelector),
    /// Resumes a paused node and has it read before it receives any message.
    ResumeAndRead(usize),
    AddLearner(usize),
    Promote(usize),
    Remove(NodeSelector),
    TransferLeadership,
    TakeSnapshot(NodeSelector),
    FailWrite(NodeSelector),
    SetNetworkFaults(NetworkFaults),
    /// Replaces a crashed node by a spare one, then crashes another.
    Replace(usize, usize),
    /// Deletes the files of a node, removes it, and adds it again under the same node ID.
    LoseFilesAndRejoin(usize),
    /// Pauses the leader until another is elected and commits, then delivers some old replies to it and reads.
    ElectDuringPause(usize),
    /// Isolates a leader after it started a leadership transfer.
    TransferAndIsolate,
    /// Lets several nodes campaign in the same term, and restarts a voter between their requests.
    SplitVote(u64),
    /// Lets a follower that is cut from the leader campaign during the lease while the voters restart.
    CampaignDuringLease(usize, u64),
    /// Crashes all nodes but one after a leader with a slow disk has replicated an unsynced entry.
    CrashBeforeSync(usize),
    /// Crashes followers with slow disks that have answered heartbeats after an entry which they have not synced.
    CrashSlowFollowers(usize),
    /// Replicates entries of an earlier term to a majority, then restarts the leader of a term in between.
    OldLeaderReturns,
    /// Has an isolated leader remove two other nodes.
    RemoveTwo(usize),
}

/// A test case.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    pub(super) voters: u64,
    pub(super) seed: u64,
    pub(super) steps: Vec<Step>,
}

pub(super) fn schedules() -> impl Strategy<Value = Schedule> {
    let steps = prop::collection::vec(step(), 1..40);
    let voters = prop_oneof![3 => Just(3_u64), 1 => Just(4), 1 => Just(5)];
    (voters, any::<u64>(), steps).prop_map(|(voters, seed, steps)| Schedule { voters, seed, steps })
}

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..8_usize;
    let selector = || prop_oneof![2 => Just(NodeSelector::Leader), 1 => node().prop_map(NodeSelector::Node)];
    let network_faults = (0..4_u64, 0..6_u64, 0..4_u64);
    let network = prop_oneof![
        8 => (1..60_u64, 1..7_usize).prop_map(|(ticks, hops)| Step::Run(ticks, hops)),
        4 => (1..12_u64, 1..3_usize).prop_map(|(ticks, hops)| Step::Run(ticks, hops)),
        3 => (1..60_000_u64).prop_map(Step::AdvanceTime),
        1 => (100_000..250_000_u64).prop_map(Step::AdvanceTime),
        8 => any::<usize>().prop_map(Step::DeliverDelayed),
        2 => (node(), 1..4_usize).prop_map(|(slot, count)| Step::Sync(slot, count)),
        1 => (node(), node()).prop_map(|(from, to)| Step::Cut(from, to)),
        2 => selector().prop_map(Step::Isolate),
        3 => node().prop_map(Step::CutFromLeader),
        2 => (selector(), any::<bool>()).prop_map(|(selector, slow)| Step::SlowDisk(selector, slow)),
        3 => Just(Step::Heal),
        2 => network_faults.prop_map(|(dropped, delayed, duplicated)| Step::SetNetworkFaults(NetworkFaults { dropped, delayed, duplicated })),
    ];
    let clients = prop_oneof![
        6 => selector().prop_map(Step::Propose),
        2 => (selector(), 2..12_usize).prop_map(|(selector, count)| Step::ProposeMany(selector, count)),
        2 => Just(Step::Read),
        3 => any::<bool>().prop_map(Step::ClientLoad),
        1 => Just(Step::TransferLeadership),
        1 => selector().prop_map(Step::TakeSnapshot),
        1 => node().prop_map(Step::AddLearner),
        1 => node().prop_map(Step::Promote),
        1 => selector().prop_map(Step::Remove),
    ];
    let failures = prop_oneof![
        3 => (selector(), 0..3_usize).prop_map(|(selector, kept)| Step::Crash(selector, kept)),
        4 => node().prop_map(Step::Restart),
        1 => Just(Step::CrashAll),
        2 => selector().prop_map(Step::Pause),
        3 => node().prop_map(Step::ResumeAndRead),
        1 => selector().prop_map(Step::FailWrite),
        1 => (node(), node()).prop_map(|(crashed, second)| Step::Replace(crashed, second)),
        3 => selector().prop_map(Step::CrashRestart),
        1 => node().prop_map(Step::LoseFilesAndRejoin),
        2 => (0..5_usize).prop_map(Step::ElectDuringPause),
        1 => Just(Step::TransferAndIsolate),
        2 => (0..90_000_u64).prop_map(Step::SplitVote),
        2 => (node(), 0..40_u64).prop_map(|(node, ticks)| Step::CampaignDuringLease(node, ticks)),
        1 => Just(Step::OldLeaderReturns),
        1 => node().prop_map(Step::CrashBeforeSync),
        1 => node().prop_map(Step::CrashSlowFollowers),
        1 => node().prop_map(Step::RemoveTwo),
    ];
    prop_oneof![5 => network, 3 => clients, 3 => failures]
}

/// Runs a case and returns the number of answered reads.
pub(super) fn run(schedule: &Schedule, fault: Option<Fault>) -> Result<u64, Violation> {
    let mut sim = Simulation::new(schedule.voters, schedule.seed, fault);
    sim.run(ELECTION_TICKS, HOPS_PER_TICK)?;
    for step in &schedule.steps {
        apply_step(&mut sim, *step)?;
    }
    sim.heal_and_check_progress()?;
    Ok(sim.reads_answered)
}

fn apply_step(sim: &mut Simulation, step: Step) -> Result<(), Violation> {
    let select = |selector, sim: &Simulation| sim.select(selector);
    match step {
        Step::Run(ticks, hops) => sim.run(ticks, hops)?,
        Step::AdvanceTime(micros) => sim.advance_time(micros)?,
        Step::DeliverDelayed(pick) => sim.deliver_delayed(pick)?,
        Step::Sync(node, count) => sim.sync(select(NodeSelector::Node(node), sim), count)?,
        Step::Propose(selector) => sim.propose(select(selector, sim)).map(|_| ())?,
        Step::SlowDisk(selector, slow) => {
            let slowed = select(selector, sim);
            sim.nodes[slowed].slow_disk = slow;
        }
        Step::ClientLoad(load) => sim.client_load = load,
        Step::ProposeMany(selector, count) => propose_many(sim, select(selector, sim), count)?,
        Step::Read => sim.read_all()?,
        Step::Crash(selector, kept) => sim.crash(select(selector, sim), kept)?,
        Step::Restart(node) => sim.restart(select(NodeSelector::Node(node), sim)),
        Step::CrashRestart(selector) => crash_restart(sim, select(selector, sim))?,
        Step::CrashAll => crash_all(sim)?,
        Step::Cut(from, to) => {
            sim.cut(select(NodeSelector::Node(from), sim), select(NodeSelector::Node(to), sim));
        }
        Step::Isolate(selector) => sim.isolate(select(selector, sim)),
        Step::CutFromLeader(node) => cut_from_leader(sim, select(NodeSelector::Node(node), sim)),
        Step::Heal => sim.heal(),
        Step::Pause(selector) => {
            let paused = select(selector, sim);
            sim.nodes[paused].paused = true;
        }
        Step::ResumeAndRead(node) => resume_and_read(sim, select(NodeSelector::Node(node), sim))?,
        Step::AddLearner(node) => change(sim, node, ReplicaChange::AddLearner)?,
        Step::Promote(node) => change(sim, node, ReplicaChange::Promote)?,
        Step::Remove(selector) => change(sim, select(selector, sim), ReplicaChange::Remove)?,
        Step::TransferLeadership => sim.transfer_leadership(select(NodeSelector::Leader, sim))?,
        Step::TakeSnapshot(selector) => sim.take_snapshot(select(selector, sim))?,
        Step::FailWrite(selector) => sim.fail_write(select(selector, sim))?,
        Step::SetNetworkFaults(network_faults) => sim.network_faults = network_faults,
        Step::Replace(crashed, second) => replace(sim, crashed, second)?,
        Step::LoseFilesAndRejoin(node) => lose_files_and_rejoin(sim, node)?,
        Step::ElectDuringPause(replies) => elect_during_pause(sim, replies)?,
        Step::TransferAndIsolate => transfer_and_isolate(sim)?,
        Step::SplitVote(wait) => split_vote(sim, wait)?,
        Step::CampaignDuringLease(node, ticks) => {
            campaign_during_lease(sim, select(NodeSelector::Node(node), sim), ticks)?;
        }
        Step::CrashBeforeSync(node) => crash_before_sync(sim, select(NodeSelector::Node(node), sim))?,
        Step::CrashSlowFollowers(node) => crash_slow_followers(sim, select(NodeSelector::Node(node), sim))?,
        Step::OldLeaderReturns => old_leader_returns(sim)?,
        Step::RemoveTwo(node) => remove_two(sim, node)?,
    }
    Ok(())
}

fn propose_many(sim: &mut Simulation, slot: usize, count: usize) -> Result<(), Violation> {
    (0..count).try_for_each(|_| sim.propose(slot).map(|_| ()))
}

fn crash_restart(sim: &mut Simulation, slot: usize) -> Result<(), Violation> {
    sim.crash(slot, 0)?;
    sim.restart(slot);
    Ok(())
}

fn cut_from_leader(sim: &mut Simulation, slot: usize) {
    let leader = sim.select(NodeSelector::Leader);
    sim.cut(leader, slot);
    sim.cut(slot, leader);
}

fn crash_all(sim: &mut Simulation) -> Result<(), Violation> {
    (0..sim.nodes.len()).try_for_each(|slot| sim.crash(slot, 0))?;
    (0..sim.nodes.len()).for_each(|slot| sim.restart(slot));
    Ok(())
}

fn resume_and_read(sim: &mut Simulation, slot: usize) -> Result<(), Violation> {
    sim.nodes[slot].paused = false;
    sim.read(slot)
}

fn change(
    sim: &mut Simulation,
    node: usize,
    kind: impl Fn(crate::ids::NodeId) -> ReplicaChange,
) -> Result<(), Violation> {
    let id = sim.nodes[sim.select(NodeSelector::Node(node))].id;
    let leader = sim.select(NodeSelector::Leader);
    sim.change_replicas(leader, kind(id))
}

fn replace(sim: &mut Simulation, crashed: usize, second: usize) -> Result<(), Violation> {
    let spare = sim.nodes.len() - 1;
    sim.crash(sim.select(NodeSelector::Node(crashed)), 0)?;
    sim.run(ELECTION_TICKS, HOPS_PER_TICK)?;
    for kind in [ReplicaChange::AddLearner, ReplicaChange::Promote] {
        change(sim, spare, kind)?;
        sim.run(COMMIT_TICKS, HOPS_PER_TICK)?;
    }
    change(sim, crashed, ReplicaChange::Remove)?;
    sim.run(COMMIT_TICKS, HOPS_PER_TICK)?;
    sim.crash(sim.select(NodeSelector::Node(second)), 0)
}

fn lose_files_and_rejoin(sim: &mut Simulation, node: usize) -> Result<(), Violation> {
    let slot = sim.select(NodeSelector::Node(node));
    sim.lose_files(slot);
    sim.restart(slot);
    sim.run(ELECTION_TICKS, HOPS_PER_TICK)?;
    for kind in [ReplicaChange::Remove, ReplicaChange::AddLearner, ReplicaChange::Promote] {
        change(sim, node, kind)?;
        sim.run(COMMIT_TICKS, HOPS_PER_TICK)?;
    }
    Ok(())
}

fn elect_during_pause(sim: &mut Simulation, replies: usize) -> Result<(), Violation> {
    let old = sim.select(NodeSelector::Leader);
    sim.advance_time(HEARTBEAT_MICROS)?;
    sim.hop()?;
    sim.nodes[old].paused = true;
    sim.run(ELECTION_TICKS, HOPS_PER_TICK)?;
    let new = sim.select(NodeSelector::Leader);
    sim.propose(new)?;
    sim.run(COMMIT_TICKS, HOPS_PER_TICK)?;
    sim.nodes[old].paused = false;
    sim.deliver_delayed_to(old, replies)?;
    sim.read(old)
}

fn transfer_and_isolate(sim: &mut Simulation) -> Result<(), Violation> {
    let old = sim.select(NodeSelector::Leader);
    sim.transfer_leadership(old)?;
    sim.hop()?;
    sim.isolate(old);
    sim.run(COMMIT_TICKS / 2, HOPS_PER_TICK)?;
    let new = sim.select(NodeSelector::Leader);
    sim.propose(new)?;
    sim.run(1, HOPS_PER_TICK)?;
    sim.read(old)
}

fn split_vote(sim: &mut Simulation, wait: u64) -> Result<(), Violation> {
    let old = sim.select(NodeSelector::Leader);
    sim.isolate(old);
    sim.advance_time(MAX_ELECTION_TIMEOUT_MICROS)?;
    sim.heal();
    sim.network_faults = NetworkFaults { delayed: 4, ..NetworkFaults::default() };
    sim.run(1, HOPS_PER_TICK)?;
    let new = sim.select(NodeSelector::Leader);
    sim.isolate(new);
    crash_restart(sim, old)?;
    sim.advance_time(MIN_VOTE_REFUSAL_MICROS + wait)?;
    (0..sim.nodes.len()).try_for_each(|slot| sim.deliver_delayed_to(slot, usize::MAX))?;
    sim.network_faults = NetworkFaults::default();
    sim.run(1, HOPS_PER_TICK)
}

fn campaign_during_lease(sim: &mut Simulation, node: usize, ticks: u64) -> Result<(), Violation> {
    let leader = sim.select(NodeSelector::Leader);
    cut_from_leader(sim, node);
    sim.run(ticks, HOPS_PER_TICK)?;
    sim.isolate(leader);
    let others: Vec<usize> = (0..sim.nodes.len()).filter(|slot| ![leader, node].contains(slot)).collect();
    others.into_iter().try_for_each(|slot| crash_restart(sim, slot))?;
    let load = std::mem::replace(&mut sim.client_load, true);
    sim.run(LEASE_TICKS, HOPS_PER_TICK)?;
    sim.client_load = load;
    Ok(())
}

fn crash_before_sync(sim: &mut Simulation, cut: usize) -> Result<(), Violation> {
    let leader = sim.select(NodeSelector::Leader);
    cut_from_leader(sim, cut);
    sim.nodes[leader].slow_disk = true;
    sim.propose(leader)?;
    sim.run(1, HOPS_PER_TICK)?;
    for slot in 0..sim.nodes.len() {
        if slot != cut {
            sim.crash(slot, 0)?;
        }
    }
    sim.restart(leader);
    sim.heal();
    sim.run(ELECTION_TICKS, HOPS_PER_TICK)
}

fn crash_slow_followers(sim: &mut Simulation, cut: usize) -> Result<(), Violation> {
    let leader = sim.select(NodeSelector::Leader);
    cut_from_leader(sim, cut);
    let followers: Vec<usize> = (0..sim.nodes.len()).filter(|slot| ![leader, cut].contains(slot)).collect();
    for slot in &followers {
        sim.nodes[*slot].slow_disk = true;
    }
    sim.propose(leader)?;
    sim.run(COMMIT_TICKS, HOPS_PER_TICK)?;
    sim.isolate(leader);
    followers.into_iter().try_for_each(|slot| crash_restart(sim, slot))?;
    sim.run(ELECTION_TICKS, HOPS_PER_TICK)
}

fn old_leader_returns(sim: &mut Simulation) -> Result<(), Violation> {
    let first = sim.select(NodeSelector::Leader);
    sim.isolate(first);
    sim.propose(first)?;
    sim.hop()?;
    sim.crash(first, usize::MAX)?;
    sim.heal();
    let second = sim.run_until(|_, _| true)?;
    sim.isolate(second);
    sim.hop()?;
    sim.crash(second, usize::MAX)?;
    sim.heal();
    sim.restart(first);
    let committed = sim.committed_count();
    let third = sim.run_until(|sim, _| sim.committed_count() > committed)?;
    sim.crash(third, 0)?;
    sim.restart(second);
    sim.run(ELECTION_TICKS, HOPS_PER_TICK)
}

fn remove_two(sim: &mut Simulation, first: usize) -> Result<(), Violation> {
    let leader = sim.select(NodeSelector::Leader);
    sim.isolate(leader);
    change(sim, first, ReplicaChange::Remove)?;
    change(sim, first + 1, ReplicaChange::Remove)?;
    sim.propose(leader)?;
    sim.run(1, HOPS_PER_TICK)
}

/// Runs random cases and returns a violation, if one is found.
pub(super) fn first_violation(name: &str, cases: u32, fault: Option<Fault>) -> Option<Violation> {
    let mut runner = seeded(name, cases);
    let found = std::cell::Cell::new(None);
    let outcome = runner.run(&schedules(), |schedule| {
        run(&schedule, fault).map(|_| ()).map_err(|violation| {
            found.set(Some(violation));
            TestCaseError::fail(violation.to_string())
        })
    });
    match outcome {
        Ok(()) => None,
        Err(error @ TestError::Fail(..)) => {
            println!("{error}");
            found.get()
        }
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

#[test]
fn invariants_hold_under_failures() {
    assert_eq!(first_violation("schedules", 2_000, None), None);
}

/// A leader that is being removed may restart with the only log that the remaining voter accepts.
#[test]
fn replica_campaigns_while_removal_is_uncommitted() {
    let steps = vec![
        Step::RemoveTwo(1),
        Step::Heal,
        Step::Run(5, 4),
        Step::RemoveTwo(0),
        Step::FailWrite(NodeSelector::Leader),
    ];
    let schedule = Schedule { voters: 3, seed: 2_488_674_998_794_601, steps };
    assert_eq!(run(&schedule, None).err(), None);
}

/// After a restart during catch-up, the log of a rejoining replica may list it as a voter of an outdated set.
#[test]
fn joining_replica_has_no_vote_until_caught_up() {
    let steps = vec![
        Step::CrashRestart(NodeSelector::Leader),
        Step::AdvanceTime(141_506),
        Step::CrashRestart(NodeSelector::Node(7)),
        Step::Replace(0, 6),
        Step::CrashBeforeSync(0),
        Step::Run(14, 1),
        Step::ClientLoad(true),
        Step::CrashAll,
        Step::ElectDuringPause(0),
        Step::CampaignDuringLease(2, 18),
        Step::AdvanceTime(114_738),
        Step::AdvanceTime(115_718),
        Step::LoseFilesAndRejoin(6),
        Step::SplitVote(2_435),
        Step::Crash(NodeSelector::Node(1), 0),
        Step::Run(7, 1),
        Step::Run(32, 1),
        Step::CampaignDuringLease(0, 9),
    ];
    let schedule = Schedule { voters: 3, seed: 8_026_322_220_794_987_662, steps };
    assert_eq!(run(&schedule, None).err(), None);
}

/// A delayed reply of a process that lost its files must not count for its successor with the same node ID.
#[test]
fn ignores_replies_of_replaced_process() {
    let steps = vec![
        Step::ProposeMany(NodeSelector::Leader, 10),
        Step::Run(7, 2),
        Step::TransferLeadership,
        Step::Replace(5, 2),
        Step::SetNetworkFaults(NetworkFaults { dropped: 1, delayed: 5, duplicated: 0 }),
        Step::LoseFilesAndRejoin(7),
        Step::Run(1, 1),
        Step::DeliverDelayed(4_996_422_483_312_192_610),
    ];
    let schedule = Schedule { voters: 3, seed: 3_757_201_964_839_304_188, steps };
    assert_eq!(run(&schedule, None).err(), None);
}

/// A delayed message that addressed the replaced replica as a voter must not restore its successor's vote.
#[test]
fn message_before_admission_restores_no_vote() {
    let steps = vec![
        Step::ProposeMany(NodeSelector::Leader, 10),
        Step::Run(8, 2),
        Step::TransferLeadership,
        Step::Replace(5, 2),
        Step::SetNetworkFaults(NetworkFaults { dropped: 2, delayed: 5, duplicated: 2 }),
        Step::LoseFilesAndRejoin(7),
        Step::Propose(NodeSelector::Leader),
        Step::DeliverDelayed(12_404_862_201_225_441_547),
    ];
    let schedule = Schedule { voters: 3, seed: 3_757_201_964_839_304_188, steps };
    assert_eq!(run(&schedule, None).err(), None);
}

/// A voter that was promoted and not reached since must not cost the group its quorum when two others lose their files.
#[test]
fn two_lost_voters_leave_a_quorum_after_a_promotion() {
    let mut sim = Simulation::new(5, 7, None);
    sim.run(ELECTION_TICKS, HOPS_PER_TICK).unwrap();
    let leader = sim.select(NodeSelector::Leader);
    let followers: Vec<usize> = (0..5).filter(|slot| *slot != leader).collect();
    // A node that is no member yet, with an empty disk and an ID of its own.
    let successor = 5;
    sim.crash(followers[0], 0).unwrap();
    change(&mut sim, successor, ReplicaChange::AddLearner).unwrap();
    sim.run(COMMIT_TICKS, HOPS_PER_TICK).unwrap();
    sim.isolate(successor);
    change(&mut sim, successor, ReplicaChange::Promote).unwrap();
    sim.run(COMMIT_TICKS, HOPS_PER_TICK).unwrap();
    let promoted = sim.nodes[leader].replicas.voters.len();
    assert_eq!(promoted, 6, "the promotion is committed");
    (0..sim.nodes.len()).for_each(|slot| sim.crash(slot, 0).unwrap());
    sim.lose_files(followers[1]);
    sim.lose_files(followers[2]);
    sim.heal();
    (0..sim.nodes.len()).for_each(|slot| sim.restart(slot));
    let leader = sim.run_until(|_, _| true).unwrap();
    assert!(sim.nodes[leader].is_leader(), "four of six voters have their files, and none leads");
}
