//! Tests of the origins of resumable streams.

use std::time::Duration;

use crate::agreement::StateMachine;
use crate::codec::Blob;
use crate::suspects::Fingerprint;
use crate::turns::command::Begin;
use crate::turns::command::ReadStream;
use crate::turns::command::RecordStream;
use crate::turns::command::TimedCommand;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::relayed::ReadEvents;
use crate::turns::relayed::RecordEvents;
use crate::turns::relayed::RelayedEvent;
use crate::turns::state::TurnState;
use crate::turns::streams::MAX_STREAMS;
use crate::turns::streams::StreamOrigin;
use crate::turns::streams::StreamStart;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: "engines".into(), version: version.into() }
}

fn start(version: &str, revision: u32) -> StreamStart {
    StreamStart { origin: origin(version), resumable_ms: 4_000, revision, request: None }
}

fn execute(state: &mut TurnState, elapsed_ms: u64, command: TurnCommand) -> TurnReply {
    state.execute(TimedCommand { elapsed: Duration::from_millis(elapsed_ms), command })
}

fn record(state: &mut TurnState, turn: &str, start: StreamStart) {
    let record = RecordStream { program: "p".into(), turn: turn.into(), start };
    assert_eq!(execute(state, 0, TurnCommand::RecordStream(record)), TurnReply::Recorded);
}

fn read(state: &mut TurnState, elapsed_ms: u64, turn: &str) -> Option<StreamOrigin> {
    let read = ReadStream { program: "p".into(), turn: turn.into(), request: None };
    match execute(state, elapsed_ms, TurnCommand::ReadStream(read)) {
        TurnReply::Stream(origin) => origin,
        reply => panic!("{reply:?}"),
    }
}

/// Records an attempt at a request.
fn record_at(state: &mut TurnState, turn: &str, version: &str, request: u64) {
    record(state, turn, StreamStart { request: Some(Fingerprint(request)), ..start(version, 0) });
}

/// Reads the origin that all attempts at a request have in common.
fn read_request(state: &mut TurnState, elapsed_ms: u64, request: u64) -> Option<StreamOrigin> {
    let read = ReadStream { program: "p".into(), turn: "".into(), request: Some(Fingerprint(request)) };
    match execute(state, elapsed_ms, TurnCommand::ReadStream(read)) {
        TurnReply::Stream(origin) => origin,
        reply => panic!("{reply:?}"),
    }
}

fn begin(turn: &str, budget: Option<u64>) -> TurnCommand {
    let stream = Some(start("v1", 0));
    TurnCommand::Begin(Begin {
        program: "p".into(),
        team: "".into(),
        turn: turn.into(),
        budget,
        most: 10,
        previous: None,
        carried: Vec::new(),
        stream,
        opening: None,
    })
}

#[test]
fn begin_records_the_version_unless_it_is_refused() {
    let mut state = TurnState::default();
    execute(&mut state, 0, begin("a", None));
    assert_eq!(execute(&mut state, 0, begin("b", Some(5))), TurnReply::Spent);
    assert_eq!(read(&mut state, 0, "a"), Some(origin("v1")));
    assert_eq!(read(&mut state, 0, "b"), None);
}

/// Guards against a copy of the first record that arrives after the attempt went to a server of another version.
#[test]
fn late_copy_does_not_replace_newer_version() {
    let mut state = TurnState::default();
    execute(&mut state, 0, begin("a", None));
    record(&mut state, "a", start("v2", 1));
    execute(&mut state, 0, begin("a", None));
    record(&mut state, "a", start("v1", 0));
    assert_eq!(read(&mut state, 0, "a"), Some(origin("v2")));
}

#[test]
fn stream_is_known_while_its_caller_may_resume_it() {
    let mut state = TurnState::default();
    record(&mut state, "a", start("v1", 0));
    assert_eq!(read(&mut state, 4_500, "a"), Some(origin("v1")));
    assert_eq!(read(&mut state, 600, "a"), None);
    assert!(state.streams().is_empty());
}

#[test]
fn snapshot_keeps_streams_and_reads_older_ones() {
    let mut state = TurnState::default();
    let empty = state.snapshot();
    record(&mut state, "a", start("v1", 0));
    let snapshot = state.snapshot();
    state.restore(&empty).unwrap();
    assert_eq!(read(&mut state, 0, "a"), None);
    state.restore(&snapshot).unwrap();
    assert_eq!(read(&mut state, 0, "a"), Some(origin("v1")));
}

#[test]
fn streams_over_the_limit_are_forgotten_and_never_confused() {
    let mut state = TurnState::default();
    for number in 0..=MAX_STREAMS {
        record(&mut state, &format!("a{number:05}"), start("v1", 0));
    }
    assert_eq!(state.streams().len(), MAX_STREAMS);
    assert_eq!(read(&mut state, 0, "a00000"), None, "it has the least time left");
    assert_eq!(read(&mut state, 0, "a00001"), Some(origin("v1")));
}

/// Guards against a guess where a caller names no attempt and its request began at two versions.
#[test]
fn request_has_an_origin_only_if_all_its_attempts_agree() {
    let mut state = TurnState::default();
    record_at(&mut state, "a", "v1", 7);
    record_at(&mut state, "b", "v1", 7);
    record_at(&mut state, "c", "v2", 8);
    assert_eq!(read_request(&mut state, 0, 7), Some(origin("v1")));
    assert_eq!(read_request(&mut state, 0, 8), Some(origin("v2")));
    assert_eq!(read_request(&mut state, 0, 9), None);
    record_at(&mut state, "d", "v2", 7);
    assert_eq!(read_request(&mut state, 0, 7), None);
    // The server of the last one did not run it.
    record(&mut state, "d", StreamStart { request: Some(Fingerprint(7)), ..start("v1", 1) });
    assert_eq!(read_request(&mut state, 0, 7), Some(origin("v1")));
    assert_eq!(read_request(&mut state, 5_100, 7), None, "no caller waits any more");
}

/// Guards against an attempt that seems to be the only one, since another was dropped or recorded without its request.
#[test]
fn request_has_no_origin_while_an_attempt_at_it_may_be_unknown() {
    let mut state = TurnState::default();
    for number in 0..=MAX_STREAMS {
        record_at(&mut state, &format!("a{number:05}"), "v1", 7);
    }
    assert_eq!(read_request(&mut state, 0, 7), None, "one was dropped");
    execute(&mut state, 5_100, begin("b", None));
    record_at(&mut state, "c", "v1", 7);
    assert_eq!(read_request(&mut state, 0, 7), None, "the request of one is not known");
    execute(&mut state, 5_100, TurnCommand::Chain("x".into()));
    record_at(&mut state, "d", "v1", 7);
    assert_eq!(read_request(&mut state, 0, 7), Some(origin("v1")));
}

#[test]
fn snapshot_keeps_the_attempts_at_a_request() {
    let mut state = TurnState::default();
    record_at(&mut state, "a", "v1", 7);
    let mut restored = TurnState::default();
    restored.restore(&state.snapshot()).unwrap();
    assert_eq!(restored, state);
    assert_eq!(read_request(&mut restored, 0, 7), Some(origin("v1")));
    record_at(&mut restored, "b", "v2", 7);
    assert_eq!(read_request(&mut restored, 0, 7), None);
}

fn relay(
    state: &mut TurnState,
    turn: &str,
    root: &str,
    position: usize,
    events: &[(&str, &str)],
) -> TurnReply {
    let events =
        events.iter().map(|(id, text)| RelayedEvent { id: (*id).into(), text: Blob::from(text.as_bytes()) });
    let record = RecordEvents {
        program: "p".into(),
        turn: turn.into(),
        root: root.into(),
        position,
        events: events.collect(),
    };
    execute(state, 0, TurnCommand::RecordEvents(record))
}

/// Reads what the caller of request 7 has received, as its text and the attempt that began it.
fn received(
    state: &mut TurnState,
    elapsed_ms: u64,
    root: &str,
    last_event: &str,
) -> Option<(String, String)> {
    let read = ReadEvents {
        program: "p".into(),
        root: root.into(),
        request: Fingerprint(7),
        last_event: last_event.into(),
    };
    match execute(state, elapsed_ms, TurnCommand::ReadEvents(read)) {
        TurnReply::Received(received) => received.map(|received| {
            (String::from_utf8_lossy(&received.text).into_owned(), received.root.to_string())
        }),
        reply => panic!("{reply:?}"),
    }
}

/// Guards against a turn that is retained with events that its caller did not receive.
#[test]
fn events_are_those_of_the_newest_attempt_at_a_stream() {
    let mut state = TurnState::default();
    record_at(&mut state, "a", "v1", 7);
    assert_eq!(relay(&mut state, "a", "a", 0, &[("1", "a1\n")]), TurnReply::Recorded);
    assert_eq!(relay(&mut state, "a", "a", 1, &[("2", "a2\n"), ("3", "a3\n")]), TurnReply::Recorded);
    // A command that is repeated changes nothing, and one that leaves a gap is refused.
    assert_eq!(relay(&mut state, "a", "a", 1, &[("2", "a2\n"), ("3", "a3\n")]), TurnReply::Recorded);
    assert_eq!(relay(&mut state, "a", "a", 4, &[("5", "a5\n")]), TurnReply::Refused);
    let all = Some(("a1\na2\na3\n".into(), "a".into()));
    assert_eq!(received(&mut state, 0, "a", "3"), all);
    assert_eq!(received(&mut state, 0, "", "3"), all);
    // The third event did not reach the caller, which resumes after the second.
    record_at(&mut state, "b", "v1", 7);
    assert_eq!(relay(&mut state, "b", "a", 0, &[("2", "a1\na2\n"), ("3", "b3\n")]), TurnReply::Recorded);
    for root in ["a", ""] {
        assert_eq!(received(&mut state, 0, root, "3"), Some(("a1\na2\nb3\n".into(), "a".into())));
        assert_eq!(received(&mut state, 0, root, "2"), Some(("a1\na2\n".into(), "a".into())));
    }
    assert_eq!(received(&mut state, 0, "a", "4"), None);
    assert_eq!(received(&mut state, 0, "b", "3"), None, "it did not bring the first event");
}

/// Guards against events of another stream at the same request.
#[test]
fn events_of_streams_that_differ_are_told_apart_or_refused() {
    let mut state = TurnState::default();
    for (turn, text) in [("a", "same\n"), ("b", "same\n")] {
        record_at(&mut state, turn, "v1", 7);
        relay(&mut state, turn, turn, 0, &[("1", text)]);
        relay(&mut state, turn, turn, 1, &[("2", turn)]);
    }
    assert_eq!(received(&mut state, 0, "", "1"), Some(("same\n".into(), "b".into())));
    assert_eq!(received(&mut state, 0, "", "2"), None);
    assert_eq!(received(&mut state, 0, "a", "2"), Some(("same\na".into(), "a".into())));
    assert_eq!(received(&mut state, 0, "b", "2"), Some(("same\nb".into(), "b".into())));
}

/// Guards against events that outlive the time in which their caller may resume, or a restart.
#[test]
fn events_survive_a_snapshot_and_end_with_their_stream() {
    let mut state = TurnState::default();
    record_at(&mut state, "a", "v1", 7);
    relay(&mut state, "a", "a", 0, &[("1", "a1\n")]);
    let bytes = state.streams().event_bytes();
    let mut restored = TurnState::default();
    restored.restore(&state.snapshot()).expect("the snapshot is valid");
    assert_eq!(restored, state);
    assert_eq!(restored.streams().event_bytes(), bytes);
    assert!(received(&mut restored, 4_500, "a", "1").is_some());
    assert_eq!(received(&mut restored, 600, "a", "1"), None);
    assert_eq!(restored.streams().event_bytes(), 0);
}

/// Guards against events of unfinished turns that exceed the memory of a store.
#[test]
fn events_are_refused_once_the_memory_is_used_up() {
    let mut state = TurnState::with_max_bytes(1_000);
    record_at(&mut state, "a", "v1", 7);
    let text = "x".repeat(600);
    assert_eq!(relay(&mut state, "a", "a", 0, &[("1", &text)]), TurnReply::Recorded);
    assert_eq!(relay(&mut state, "a", "a", 1, &[("2", &text)]), TurnReply::Full);
    execute(&mut state, 6_000, TurnCommand::Chain("none".into()));
    record_at(&mut state, "b", "v1", 7);
    assert_eq!(relay(&mut state, "b", "b", 0, &[("1", &text)]), TurnReply::Recorded);
}
