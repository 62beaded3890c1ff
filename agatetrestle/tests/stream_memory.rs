//! Memory of the resumable streams that a state group remembers. A counting allocator makes the result independent of the
//! machine.

use std::alloc::System;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle::agreement::StateMachine;
use agatetrestle::agreement::message::Position;
use agatetrestle::suspects::Fingerprint;
use agatetrestle::turns::command::RecordStream;
use agatetrestle::turns::command::TurnCommand;
use agatetrestle::turns::state::TurnState;
use agatetrestle::turns::streams::MAX_STREAMS;
use agatetrestle::turns::streams::StreamOrigin;
use agatetrestle::turns::streams::StreamStart;
use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// What [`MAX_STREAMS`] promises, a third of what a full store of 120 MB can spare.
const MAX_BYTES: usize = 5 << 20;

fn record(state: &mut TurnState, number: usize) {
    let origin = StreamOrigin { service: "service-00000001".into(), version: "v1.12".into() };
    let request = u64::try_from(number).ok().map(Fingerprint);
    let start = StreamStart { origin, resumable_ms: 600_000, revision: 0, request };
    let turn: Arc<str> = format!("{number:016x}").into();
    let record = RecordStream { program: turn.clone(), turn, start };
    let payload: Arc<[u8]> = TurnCommand::RecordStream(record).encode(Duration::ZERO).into();
    let index = u64::try_from(number).expect("it is small") + 1;
    state.apply_without_reply(Position { term: 1, index }, &payload);
}

#[test]
fn streams_stay_within_their_memory() {
    let mut state = TurnState::default();
    let before = ALLOCATOR.allocated();
    for number in 0..2 * MAX_STREAMS {
        record(&mut state, number);
    }
    assert_eq!(state.streams().len(), MAX_STREAMS);
    let used = ALLOCATOR.allocated() - before;
    println!("{MAX_STREAMS} streams use {used} bytes, {} each", used / MAX_STREAMS);
    assert!(used <= MAX_BYTES, "{used} bytes");
}
