//! What is recorded reads back as a trace.

use std::sync::Arc;

use crate::clock::Timestamp;
use crate::ids::ProgramId;
use crate::ports::Traces;
use crate::programs::command::Repeatable;
use crate::scheduler::Scheduler;
use crate::scheduler::baseline::Baseline;
use crate::scheduler::event::Call;
use crate::scheduler::event::CallId;
use crate::scheduler::event::Event;
use crate::scheduler::event::Work;
use crate::trace::Recording;
use crate::trace::parse;

fn program(name: &str) -> ProgramId {
    ProgramId { partner: "partner".into(), name: name.into() }
}

fn call(id: u64, name: &str) -> Call {
    Call {
        id: CallId(id),
        program: program(name),
        root: program("root"),
        team: "team".into(),
        class: "class".into(),
        work: Work::Model {
            model: "model".into(),
            blocks: [1, 2, 3].into(),
            prompt_tokens: 1_600,
            max_tokens: 100,
        },
        repeatable: Repeatable::Yes,
        deadline: None,
    }
}

fn answer(recording: &mut Recording, at: u64, id: u64, name: &str) {
    recording.note(Timestamp(at), &Event::Submit(call(id, name)));
    let finished = Event::Finished { call: CallId(id), output_tokens: 40, cached_tokens: 0 };
    recording.note(Timestamp(at + 500), &finished);
}

#[test]
fn recorded_lines_read_back_with_pauses_and_the_end() {
    let mut recording = Recording::new(Box::new(Baseline::default()), 10);
    answer(&mut recording, 1_000, 1, "root");
    let tool: Arc<str> = "rota".into();
    recording.step(Timestamp(1_500), Event::Paused { program: program("root"), tool });
    answer(&mut recording, 9_500, 2, "root");
    recording.step(Timestamp(10_000), Event::Ended(program("root")));
    let text: Vec<String> = recording.recent(10).iter().map(ToString::to_string).collect();
    let calls = parse(&text.join("\n")).expect("a trace");
    assert_eq!(calls.len(), 2);
    assert_eq!(calls[1].pause.as_ref().map(|pause| (&*pause.tool, pause.micros)), Some(("rota", 8_000)));
    assert_eq!((calls[0].call, calls[0].last, calls[0].ended), (1, false, false));
    assert_eq!((calls[1].call, calls[1].last, calls[1].ended), (2, true, true));
    assert_eq!((calls[0].arrival, calls[0].output, calls[0].block_tokens), (1_000, 40, 533));
}

#[test]
fn programs_that_never_end_take_bounded_room() {
    let mut recording = Recording::new(Box::new(Baseline::default()), 8);
    for id in 0..1_000 {
        answer(&mut recording, id * 1_000, id, &format!("program-{id}"));
    }
    assert!(recording.programs.len() <= 8 && recording.order.len() <= 8);
    assert!(recording.lines.len() <= 8 && recording.open.is_empty());
    assert_eq!(recording.recent(3).len(), 3);
}

#[test]
fn a_refused_call_leaves_nothing_behind() {
    let mut recording = Recording::new(Box::new(Baseline::default()), 8);
    recording.step(Timestamp(0), Event::Submit(call(1, "root")));
    assert!(recording.open.is_empty());
    assert!(recording.recent(8).is_empty());
}
