//! Tests of the replies that a leader foresees for begins that are not committed yet.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use proptest::prelude::*;

use crate::codec::Blob;
use crate::turns::command::Begin;
use crate::turns::command::BeginQuery;
use crate::turns::command::Finish;
use crate::turns::command::RetainedTurn;
use crate::turns::command::TimedCommand;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::state::LogProgress;
use crate::turns::state::PendingCommands;
use crate::turns::state::TurnState;
use crate::turns::state::examined_commands;

/// A leader's log, of which the state machine has applied a prefix.
struct Leader {
    term: u64,
    state: TurnState,
    log: Vec<TimedCommand>,
    applied: usize,
    pending: PendingCommands,
    /// Chains that were answered early, by the index of their begin.
    answered: BTreeMap<usize, Vec<Blob>>,
}

impl Leader {
    fn new(state: TurnState) -> Self {
        let (log, pending) = (Vec::new(), PendingCommands::default());
        Self { term: 1, state, log, applied: 0, pending, answered: BTreeMap::new() }
    }

    fn progress(&self) -> LogProgress {
        LogProgress { term: self.term, last: self.log.len() as u64, applied: self.applied as u64 }
    }

    fn append(&mut self, timed: TimedCommand) {
        self.log.push(timed);
    }

    fn propose(&mut self, timed: TimedCommand) {
        self.append(timed.clone());
        self.pending.push(self.progress(), timed.elapsed, Rc::new(timed.command));
    }

    /// Proposes a command and returns the chain of its early answer, if there is one.
    fn propose_and_ask(&mut self, command: &TurnCommand) -> Option<Vec<Blob>> {
        self.propose(TimedCommand { elapsed: Duration::ZERO, command: command.clone() });
        self.ask(command)
    }

    fn ask(&mut self, command: &TurnCommand) -> Option<Vec<Blob>> {
        let TurnCommand::Begin(begin) = command else {
            return None;
        };
        self.pending.granted_chain(self.progress(), &self.state, &BeginQuery::from(begin))
    }

    fn apply_next(&mut self) -> Option<TurnReply> {
        let timed = self.log.get(self.applied)?.clone();
        self.applied += 1;
        Some(self.state.execute(timed))
    }

    fn apply_all(&mut self) {
        while self.apply_next().is_some() {}
    }
}

fn begin(program: &str, turn: &str, budget: u64, most: u64, previous: Option<&str>) -> TurnCommand {
    TurnCommand::Begin(Begin {
        stream: None,
        program: program.into(),
        team: "".into(),
        turn: turn.into(),
        budget: Some(budget),
        most,
        previous: previous.map(Into::into),
        carried: Vec::new(),
        opening: None,
    })
}

fn finish(program: &str, turn: &str, spent: u64, kept: Option<&str>) -> TurnCommand {
    let kept =
        kept.map(|text| RetainedTurn { previous: None, text: Blob::from(text.as_bytes()), retention: 500 });
    TurnCommand::Finish(Finish {
        program: program.into(),
        turn: turn.into(),
        spent,
        kept,
        ..Finish::default()
    })
}

/// Guards against two turns of one program that are both answered early although the budget holds only one.
#[test]
fn pending_turns_of_a_program_share_its_budget() {
    let mut leader = Leader::new(TurnState::default());
    assert_eq!(leader.propose_and_ask(&begin("p", "a", 15, 10, None)), Some(Vec::new()));
    assert_eq!(leader.propose_and_ask(&begin("p", "b", 15, 10, None)), None);
    assert_eq!(leader.propose_and_ask(&begin("q", "c", 15, 10, None)), Some(Vec::new()), "another program");
    assert!(matches!(leader.apply_next(), Some(TurnReply::Begun { .. })));
    assert_eq!(leader.apply_next(), Some(TurnReply::Spent));
    leader.apply_all();
    leader.propose(TimedCommand { elapsed: Duration::ZERO, command: finish("p", "a", 3, None) });
    assert_eq!(
        leader.propose_and_ask(&begin("p", "d", 15, 12, None)),
        Some(Vec::new()),
        "a pending finish of an open turn releases its unused tokens"
    );
}

/// Guards against an early answer from a state that does not hold, or may soon drop, what the turn continues.
#[test]
fn chain_must_be_applied_and_outlast_the_commit() {
    let mut leader = Leader::new(TurnState::default());
    leader.propose(TimedCommand { elapsed: Duration::ZERO, command: finish("p", "a", 3, Some("one")) });
    assert_eq!(leader.propose_and_ask(&begin("p", "b", 90, 1, Some("a"))), None, "a is not applied");
    leader.apply_all();
    assert_eq!(
        leader.propose_and_ask(&begin("p", "c", 90, 1, Some("a"))),
        Some(vec![Blob::from(&b"one"[..])])
    );
    let retention = Duration::from_millis(10_500);
    leader.propose(TimedCommand { elapsed: retention, command: finish("q", "x", 0, None) });
    assert!(leader.propose_and_ask(&begin("p", "d", 90, 1, Some("a"))).is_some(), "the last moment");
    leader.propose(TimedCommand { elapsed: Duration::from_millis(1), command: finish("q", "x", 0, None) });
    assert_eq!(leader.propose_and_ask(&begin("p", "e", 90, 1, Some("a"))), None);
    assert_eq!(leader.propose_and_ask(&begin("p", "f", 90, 1, Some("missing"))), None);
}

/// Guards against an early answer while the log holds an entry that this leader did not propose here, such as one of an
/// earlier term or a command that could not be decoded.
#[test]
fn unknown_entries_prevent_early_answers() {
    let mut leader = Leader::new(TurnState::default());
    leader.append(TimedCommand { elapsed: Duration::ZERO, command: begin("p", "x", 10, 10, None) });
    assert_eq!(leader.propose_and_ask(&begin("p", "a", 10, 5, None)), None);
    leader.apply_all();
    assert_eq!(leader.propose_and_ask(&begin("q", "a", 10, 5, None)), Some(Vec::new()));
    leader.term += 1;
    assert_eq!(leader.ask(&begin("q", "a", 10, 5, None)), None, "proposals of an earlier term may be lost");
    assert_eq!(leader.propose_and_ask(&begin("r", "a", 10, 5, None)), None);
}

/// Guards against an answer to a turn whose begin was proposed twice or is being settled.
#[test]
fn repeated_and_settled_begins_wait_for_the_commit() {
    let mut leader = Leader::new(TurnState::default());
    assert!(leader.propose_and_ask(&begin("p", "a", 10, 5, None)).is_some());
    assert!(leader.propose_and_ask(&begin("p", "b", 10, 5, None)).is_some());
    leader.apply_all();
    assert!(leader.propose_and_ask(&begin("p", "b", 10, 5, None)).is_some(), "a repeat of an open turn");
    leader.apply_all();
    leader.propose(TimedCommand { elapsed: Duration::ZERO, command: finish("p", "b", 5, None) });
    assert_eq!(leader.propose_and_ask(&begin("p", "b", 10, 5, None)), None);
    assert_eq!(leader.ask(&begin("p", "a", 10, 5, None)), None, "it is applied, the commit is on its way");
}

/// Guards against an early answer that ignores the memory that pending finishes will take.
#[test]
fn pending_texts_count_towards_the_memory_limit() {
    let mut leader = Leader::new(TurnState::with_max_bytes(900));
    assert!(leader.propose_and_ask(&begin("p", "a", 90, 1, None)).is_some());
    for turn in ["a", "b", "c"] {
        leader.propose(TimedCommand { elapsed: Duration::ZERO, command: finish("p", turn, 1, Some("text")) });
    }
    assert_eq!(leader.propose_and_ask(&begin("p", "d", 90, 1, None)), None);
    leader.apply_next();
    while let Some(reply) = leader.apply_next() {
        assert!(matches!(reply, TurnReply::Settled | TurnReply::Full));
    }
}

/// Guards against queries that look at all proposals, of which an overloaded leader has thousands, so that the work grows
/// with the square of the load; see docs/incidents/008-a-leader-that-its-callers-keep-overloaded.md.
#[test]
fn work_of_a_query_does_not_grow_with_the_pending_commands_of_other_programs() {
    let examined = [10, 1_000].map(|others| {
        let mut leader = Leader::new(TurnState::default());
        for number in 0..others {
            let other = begin(&format!("p-{number}"), "a", 90, 1, None);
            leader.propose(TimedCommand { elapsed: Duration::ZERO, command: other });
        }
        let before = examined_commands();
        assert!(leader.propose_and_ask(&begin("p", "a", 90, 1, None)).is_some());
        let (granted, before) = (examined_commands() - before, examined_commands());
        let missing = BeginQuery { team: "".into(), program: "p".into(), turn: "b".into() };
        assert!(!leader.pending.contains(&missing));
        (granted, examined_commands() - before)
    });
    assert_eq!(examined[0], examined[1], "commands examined for a granted query and for one without a begin");
}

#[derive(Clone, Debug)]
enum Step {
    Propose(TimedCommand),
    /// An entry that the leader did not track.
    Append(TimedCommand),
    /// Asks for the early answer to a begin that is proposed and not applied.
    Ask(prop::sample::Index),
    Apply,
    NewTerm,
}

fn step() -> impl Strategy<Value = Step> {
    let (program, turn) = ("[pq]", "[a-d]");
    let begins = (program, turn, 0_u64..12, prop::option::of(turn), prop::option::of(8_u64..24)).prop_map(
        |(program, turn, most, previous, budget)| {
            let TurnCommand::Begin(command) = begin(&program, &turn, 0, most, previous.as_deref()) else {
                unreachable!("begin() returns a Begin command");
            };
            TurnCommand::Begin(Begin { budget, ..command })
        },
    );
    let finishes = (program, turn, 0_u64..16, any::<bool>())
        .prop_map(|(program, turn, spent, kept)| finish(&program, &turn, spent, kept.then_some("text")));
    let elapsed = prop_oneof![9 => 0_u64..20, 1 => 0_u64..400_000].prop_map(Duration::from_millis);
    let timed = (elapsed, prop_oneof![3 => begins, 2 => finishes])
        .prop_map(|(elapsed, command)| TimedCommand { elapsed, command });
    prop_oneof![
        8 => timed.clone().prop_map(Step::Propose),
        1 => timed.prop_map(Step::Append),
        8 => any::<prop::sample::Index>().prop_map(Step::Ask),
        6 => Just(Step::Apply),
        1 => Just(Step::NewTerm),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against an early answer that the commit of the same begin contradicts, under any order of proposals, questions
    /// and applied entries on one leader.
    #[test]
    fn early_answer_is_the_committed_one(steps in prop::collection::vec(step(), 1..60), room in prop_oneof![Just(0), Just(1_300_usize)]) {
        let mut leader = Leader::new(TurnState::with_max_bytes(room));
        let check = |leader: &mut Leader| {
            let index = leader.applied;
            let reply = leader.apply_next();
            match (leader.answered.get(&index), reply) {
                (Some(chain), Some(TurnReply::Begun { chain: committed, .. })) => *chain == committed,
                (Some(_), _) => false,
                (None, _) => true,
            }
        };
        for step in steps {
            match step {
                Step::Propose(timed) => leader.propose(timed),
                Step::Append(timed) => leader.append(timed),
                Step::NewTerm => leader.term += 1,
                Step::Apply => prop_assert!(check(&mut leader)),
                Step::Ask(choice) => {
                    if leader.applied == leader.log.len() {
                        continue;
                    }
                    let asked = leader.applied + choice.index(leader.log.len() - leader.applied);
                    let command = leader.log[asked].command.clone();
                    if let Some(chain) = leader.ask(&command) {
                        // A query names a turn, not an entry, so the answer holds for the only begin of the turn.
                        let same = |timed: &TimedCommand| match (&timed.command, &command) {
                            (TurnCommand::Begin(left), TurnCommand::Begin(right)) => BeginQuery::from(left) == BeginQuery::from(right),
                            _ => false,
                        };
                        let first = leader.log[leader.applied..].iter().position(same).map(|position| leader.applied + position);
                        leader.answered.insert(first.unwrap_or(asked), chain);
                    }
                }
            }
        }
        while leader.applied < leader.log.len() {
            prop_assert!(check(&mut leader));
        }
    }
}
