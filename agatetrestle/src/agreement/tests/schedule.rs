//! Random schedules of failures; the invariants are checked after every input.

use proptest::prelude::*;
use proptest::test_runner::TestError;

use crate::agreement::ReplicaChange;
use crate::agreement::replica::fault::Fault;
use crate::agreement::tests::seeded;
use crate::agreement::tests::world::Noise;
use crate::agreement::tests::world::Violation;
use crate::agreement::tests::world::Who;
use crate::agreement::tests::world::World;

/// Ticks in which a new leader is usually elected.
const ELECTION_TICKS: u64 = 50;

/// Ticks in which a healthy leader commits.
const COMMIT_TICKS: u64 = 6;

/// True time, in microseconds, after which each leader sends a heartbeat.
const HEARTBEAT: u64 = 25_000;

/// True time, in microseconds, after which every follower has timed out.
const LONGEST_ELECTION_TIMEOUT: u64 = 220_000;

/// True time, in microseconds, for which a restarted replica refuses votes at least.
const SHORTEST_PROMISE: u64 = 96_000;

/// Ticks that a lease lasts.
const LEASE_TICKS: u64 = 17;

/// Hops in a tick after which a healthy network is quiet.
const HOPS: usize = 6;

#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// Time passes with messages and syncs going on, so many hops in each tick.
    Run(u64, usize),
    /// Time passes and nothing else happens.
    Pass(u64),
    Late(usize),
    Sync(usize, usize),
    /// The writes of a node wait from now on, or no longer.
    Slow(Who, bool),
    /// Whether clients keep reading and proposing.
    Load(bool),
    Propose(Who),
    ProposeMany(Who, usize),
    Read,
    Crash(Who, usize),
    Restart(usize),
    /// A crash and a start at once.
    Bounce(Who),
    CrashAll,
    Cut(usize, usize),
    Isolate(Who),
    /// Cuts between the leader and one node.
    Sever(usize),
    Heal,
    Pause(Who),
    /// Goes on after a pause and is asked to read before it hears anything.
    Resume(usize),
    AddLearner(usize),
    Promote(usize),
    Remove(Who),
    HandOver,
    TakeSnapshot(Who),
    FailWrite(Who),
    Noise(Noise),
    /// A replica is lost and replaced, and another is lost right after.
    Replace(usize, usize),
    /// A node loses its files, is removed, and joins again under its number.
    Rejoin(usize),
    /// A leader is paused across its lease while another is elected and commits; then it hears some
    /// old answers and reads.
    Usurp(usize),
    /// A leader hands over and is cut off.
    Depose,
    /// Several stand for the same term, and a voter restarts between their requests.
    SplitVote(u64),
    /// A follower that the leader can't reach stands while the lease holds and the voters restart.
    Rival(usize, u64),
    /// A leader whose disk is slow replicates to some of the others, and all but these restart.
    Unsynced(usize),
    /// Entries of an older term reach a majority, and a leader of a term between the two comes back.
    Return,
    /// A leader that is cut off is told to remove two others.
    RemoveTwo(usize),
}

/// One case.
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
    let who = || prop_oneof![2 => Just(Who::Leader), 1 => node().prop_map(Who::Node)];
    let noise = (0..4_u64, 0..6_u64, 0..4_u64);
    let network = prop_oneof![
        8 => (1..60_u64, 1..7_usize).prop_map(|(ticks, hops)| Step::Run(ticks, hops)),
        4 => (1..12_u64, 1..3_usize).prop_map(|(ticks, hops)| Step::Run(ticks, hops)),
        3 => (1..60_000_u64).prop_map(Step::Pass),
        1 => (100_000..250_000_u64).prop_map(Step::Pass),
        8 => any::<usize>().prop_map(Step::Late),
        2 => (node(), 1..4_usize).prop_map(|(place, count)| Step::Sync(place, count)),
        1 => (node(), node()).prop_map(|(from, to)| Step::Cut(from, to)),
        2 => who().prop_map(Step::Isolate),
        3 => node().prop_map(Step::Sever),
        2 => (who(), any::<bool>()).prop_map(|(who, slow)| Step::Slow(who, slow)),
        3 => Just(Step::Heal),
        2 => noise.prop_map(|(lost, late, doubled)| Step::Noise(Noise { lost, late, doubled })),
    ];
    let clients = prop_oneof![
        6 => who().prop_map(Step::Propose),
        2 => (who(), 2..12_usize).prop_map(|(who, count)| Step::ProposeMany(who, count)),
        2 => Just(Step::Read),
        3 => any::<bool>().prop_map(Step::Load),
        1 => Just(Step::HandOver),
        1 => who().prop_map(Step::TakeSnapshot),
        1 => node().prop_map(Step::AddLearner),
        1 => node().prop_map(Step::Promote),
        1 => who().prop_map(Step::Remove),
    ];
    let failures = prop_oneof![
        3 => (who(), 0..3_usize).prop_map(|(who, kept)| Step::Crash(who, kept)),
        4 => node().prop_map(Step::Restart),
        1 => Just(Step::CrashAll),
        2 => who().prop_map(Step::Pause),
        3 => node().prop_map(Step::Resume),
        1 => who().prop_map(Step::FailWrite),
        1 => (node(), node()).prop_map(|(lost, second)| Step::Replace(lost, second)),
        3 => who().prop_map(Step::Bounce),
        1 => node().prop_map(Step::Rejoin),
        2 => (0..5_usize).prop_map(Step::Usurp),
        1 => Just(Step::Depose),
        2 => (0..90_000_u64).prop_map(Step::SplitVote),
        2 => (node(), 0..40_u64).prop_map(|(node, ticks)| Step::Rival(node, ticks)),
        1 => Just(Step::Return),
        1 => node().prop_map(Step::Unsynced),
        1 => node().prop_map(Step::RemoveTwo),
    ];
    prop_oneof![5 => network, 3 => clients, 3 => failures]
}

/// Runs a case and returns how many reads were answered.
pub(super) fn run(schedule: &Schedule, fault: Option<Fault>) -> Result<u64, Violation> {
    let mut world = World::new(schedule.voters, schedule.seed, fault);
    world.run(ELECTION_TICKS, HOPS)?;
    for step in &schedule.steps {
        take(&mut world, *step)?;
    }
    world.must_progress()?;
    Ok(world.answered)
}

fn take(world: &mut World, step: Step) -> Result<(), Violation> {
    let place = |who, world: &World| world.find(who);
    match step {
        Step::Run(ticks, hops) => world.run(ticks, hops)?,
        Step::Pass(micros) => world.pass(micros)?,
        Step::Late(pick) => world.deliver_late(pick)?,
        Step::Sync(node, count) => world.sync(place(Who::Node(node), world), count)?,
        Step::Propose(who) => world.propose(place(who, world)).map(|_| ())?,
        Step::Slow(who, slow) => {
            let slowed = place(who, world);
            world.nodes[slowed].slow = slow;
        }
        Step::Load(load) => world.load = load,
        Step::ProposeMany(who, count) => propose_many(world, place(who, world), count)?,
        Step::Read => world.read_all()?,
        Step::Crash(who, kept) => world.crash(place(who, world), kept)?,
        Step::Restart(node) => world.restart(place(Who::Node(node), world)),
        Step::Bounce(who) => bounce(world, place(who, world))?,
        Step::CrashAll => crash_all(world)?,
        Step::Cut(from, to) => world.cut(place(Who::Node(from), world), place(Who::Node(to), world)),
        Step::Isolate(who) => world.isolate(place(who, world)),
        Step::Sever(node) => sever(world, place(Who::Node(node), world)),
        Step::Heal => world.heal(),
        Step::Pause(who) => {
            let paused = place(who, world);
            world.nodes[paused].paused = true;
        }
        Step::Resume(node) => resume(world, place(Who::Node(node), world))?,
        Step::AddLearner(node) => change(world, node, ReplicaChange::AddLearner)?,
        Step::Promote(node) => change(world, node, ReplicaChange::Promote)?,
        Step::Remove(who) => change(world, place(who, world), ReplicaChange::Remove)?,
        Step::HandOver => world.hand_over(place(Who::Leader, world))?,
        Step::TakeSnapshot(who) => world.take_snapshot(place(who, world))?,
        Step::FailWrite(who) => world.fail_write(place(who, world))?,
        Step::Noise(noise) => world.noise = noise,
        Step::Replace(lost, second) => replace(world, lost, second)?,
        Step::Rejoin(node) => rejoin(world, node)?,
        Step::Usurp(heard) => usurp(world, heard)?,
        Step::Depose => depose(world)?,
        Step::SplitVote(wait) => split_vote(world, wait)?,
        Step::Rival(node, ticks) => rival(world, place(Who::Node(node), world), ticks)?,
        Step::Unsynced(node) => unsynced(world, place(Who::Node(node), world))?,
        Step::Return => return_of_a_leader(world)?,
        Step::RemoveTwo(node) => remove_two(world, node)?,
    }
    Ok(())
}

fn propose_many(world: &mut World, place: usize, count: usize) -> Result<(), Violation> {
    (0..count).try_for_each(|_| world.propose(place).map(|_| ()))
}

fn bounce(world: &mut World, place: usize) -> Result<(), Violation> {
    world.crash(place, 0)?;
    world.restart(place);
    Ok(())
}

fn sever(world: &mut World, place: usize) {
    let leader = world.find(Who::Leader);
    world.cut(leader, place);
    world.cut(place, leader);
}

fn crash_all(world: &mut World) -> Result<(), Violation> {
    (0..world.nodes.len()).try_for_each(|place| world.crash(place, 0))?;
    (0..world.nodes.len()).for_each(|place| world.restart(place));
    Ok(())
}

fn resume(world: &mut World, place: usize) -> Result<(), Violation> {
    world.nodes[place].paused = false;
    world.read(place)
}

fn change(
    world: &mut World,
    node: usize,
    kind: impl Fn(crate::ids::NodeId) -> ReplicaChange,
) -> Result<(), Violation> {
    let id = world.nodes[world.find(Who::Node(node))].id;
    let leader = world.find(Who::Leader);
    world.change(leader, kind(id))
}

fn replace(world: &mut World, lost: usize, second: usize) -> Result<(), Violation> {
    let spare = world.nodes.len() - 1;
    world.crash(world.find(Who::Node(lost)), 0)?;
    world.run(ELECTION_TICKS, HOPS)?;
    for kind in [ReplicaChange::AddLearner, ReplicaChange::Promote] {
        change(world, spare, kind)?;
        world.run(COMMIT_TICKS, HOPS)?;
    }
    change(world, lost, ReplicaChange::Remove)?;
    world.run(COMMIT_TICKS, HOPS)?;
    world.crash(world.find(Who::Node(second)), 0)
}

fn rejoin(world: &mut World, node: usize) -> Result<(), Violation> {
    let place = world.find(Who::Node(node));
    world.lose_files(place);
    world.restart(place);
    world.run(ELECTION_TICKS, HOPS)?;
    for kind in [ReplicaChange::Remove, ReplicaChange::AddLearner, ReplicaChange::Promote] {
        change(world, node, kind)?;
        world.run(COMMIT_TICKS, HOPS)?;
    }
    Ok(())
}

fn usurp(world: &mut World, heard: usize) -> Result<(), Violation> {
    let old = world.find(Who::Leader);
    world.pass(HEARTBEAT)?;
    world.hop()?;
    world.nodes[old].paused = true;
    world.run(ELECTION_TICKS, HOPS)?;
    let new = world.find(Who::Leader);
    world.propose(new)?;
    world.run(COMMIT_TICKS, HOPS)?;
    world.nodes[old].paused = false;
    world.deliver_late_to(old, heard)?;
    world.read(old)
}

fn depose(world: &mut World) -> Result<(), Violation> {
    let old = world.find(Who::Leader);
    world.hand_over(old)?;
    world.hop()?;
    world.isolate(old);
    world.run(COMMIT_TICKS / 2, HOPS)?;
    let new = world.find(Who::Leader);
    world.propose(new)?;
    world.run(1, HOPS)?;
    world.read(old)
}

fn split_vote(world: &mut World, wait: u64) -> Result<(), Violation> {
    let old = world.find(Who::Leader);
    world.isolate(old);
    world.pass(LONGEST_ELECTION_TIMEOUT)?;
    world.heal();
    world.noise = Noise { late: 4, ..Noise::default() };
    world.run(1, HOPS)?;
    let new = world.find(Who::Leader);
    world.isolate(new);
    bounce(world, old)?;
    world.pass(SHORTEST_PROMISE + wait)?;
    (0..world.nodes.len()).try_for_each(|place| world.deliver_late_to(place, usize::MAX))?;
    world.noise = Noise::default();
    world.run(1, HOPS)
}

fn rival(world: &mut World, node: usize, ticks: u64) -> Result<(), Violation> {
    let leader = world.find(Who::Leader);
    sever(world, node);
    world.run(ticks, HOPS)?;
    world.isolate(leader);
    let others: Vec<usize> = (0..world.nodes.len()).filter(|place| ![leader, node].contains(place)).collect();
    others.into_iter().try_for_each(|place| bounce(world, place))?;
    let load = std::mem::replace(&mut world.load, true);
    world.run(LEASE_TICKS, HOPS)?;
    world.load = load;
    Ok(())
}

fn unsynced(world: &mut World, severed: usize) -> Result<(), Violation> {
    let leader = world.find(Who::Leader);
    sever(world, severed);
    world.nodes[leader].slow = true;
    world.propose(leader)?;
    world.run(1, HOPS)?;
    for place in 0..world.nodes.len() {
        if place != severed {
            world.crash(place, 0)?;
        }
    }
    world.restart(leader);
    world.heal();
    world.run(ELECTION_TICKS, HOPS)
}

fn return_of_a_leader(world: &mut World) -> Result<(), Violation> {
    let first = world.find(Who::Leader);
    world.isolate(first);
    world.propose(first)?;
    world.hop()?;
    world.crash(first, usize::MAX)?;
    world.heal();
    let second = world.run_until(|_, _| true)?;
    world.isolate(second);
    world.hop()?;
    world.crash(second, usize::MAX)?;
    world.heal();
    world.restart(first);
    let committed = world.committed();
    let third = world.run_until(|world, _| world.committed() > committed)?;
    world.crash(third, 0)?;
    world.restart(second);
    world.run(ELECTION_TICKS, HOPS)
}

fn remove_two(world: &mut World, first: usize) -> Result<(), Violation> {
    let leader = world.find(Who::Leader);
    world.isolate(leader);
    change(world, first, ReplicaChange::Remove)?;
    change(world, first + 1, ReplicaChange::Remove)?;
    world.propose(leader)?;
    world.run(1, HOPS)
}

/// How a run of many cases ended.
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

/// Found by the test above: a leader that is to be removed restarts with the only log that the
/// remaining voter accepts.
#[test]
fn a_replica_whose_removal_is_uncommitted_stands_again() {
    let steps = vec![
        Step::RemoveTwo(1),
        Step::Heal,
        Step::Run(5, 4),
        Step::RemoveTwo(0),
        Step::FailWrite(Who::Leader),
    ];
    let schedule = Schedule { voters: 3, seed: 2_488_674_998_794_601, steps };
    assert_eq!(run(&schedule, None).err(), None);
}

/// Found by the test above: a replica that lost its files and joins again holds, after a restart in
/// the middle of catching up, a log that names it a voter of a set long replaced.
#[test]
fn a_joining_replica_has_no_vote_before_it_has_caught_up() {
    let steps = vec![
        Step::Bounce(Who::Leader),
        Step::Pass(141_506),
        Step::Bounce(Who::Node(7)),
        Step::Replace(0, 6),
        Step::Unsynced(0),
        Step::Run(14, 1),
        Step::Load(true),
        Step::CrashAll,
        Step::Usurp(0),
        Step::Rival(2, 18),
        Step::Pass(114_738),
        Step::Pass(115_718),
        Step::Rejoin(6),
        Step::SplitVote(2_435),
        Step::Crash(Who::Node(1), 0),
        Step::Run(7, 1),
        Step::Run(32, 1),
        Step::Rival(0, 9),
    ];
    let schedule = Schedule { voters: 3, seed: 8_026_322_220_794_987_662, steps };
    assert_eq!(run(&schedule, None).err(), None);
}

/// Found by the test above: a late answer of the process that lost its files made the leader believe
/// that the one that joined under the same number had caught up.
#[test]
fn an_answer_of_the_lost_process_is_not_counted() {
    let steps = vec![
        Step::ProposeMany(Who::Leader, 10),
        Step::Run(7, 2),
        Step::HandOver,
        Step::Replace(5, 2),
        Step::Noise(Noise { lost: 1, late: 5, doubled: 0 }),
        Step::Rejoin(7),
        Step::Run(1, 1),
        Step::Late(4_996_422_483_312_192_610),
    ];
    let schedule = Schedule { voters: 3, seed: 3_757_201_964_839_304_188, steps };
    assert_eq!(run(&schedule, None).err(), None);
}

/// Found by the test above: a late message to the lost replica, which counted it as a voter, gave a
/// vote to the one that had joined under the same number.
#[test]
fn a_message_from_before_the_admission_gives_no_vote() {
    let steps = vec![
        Step::ProposeMany(Who::Leader, 10),
        Step::Run(8, 2),
        Step::HandOver,
        Step::Replace(5, 2),
        Step::Noise(Noise { lost: 2, late: 5, doubled: 2 }),
        Step::Rejoin(7),
        Step::Propose(Who::Leader),
        Step::Late(12_404_862_201_225_441_547),
    ];
    let schedule = Schedule { voters: 3, seed: 3_757_201_964_839_304_188, steps };
    assert_eq!(run(&schedule, None).err(), None);
}
