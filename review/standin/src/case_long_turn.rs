//! Rule LOST: a turn that outlasts the retention of the turn that it continues is answered whole, and then not known.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::Finding;
use crate::Record;
use crate::http;
use crate::http::Answer;
use crate::servers::List;
use crate::servers::Log;
use crate::servers::Server;
use crate::servers::event;
use crate::system::HOST;
use crate::system::Route;
use crate::system::System;
use crate::system::desired_state;
use crate::wire;

const SERVERS: usize = 7;
/// Servers that turn slow: less than 16 in 100.
const SLOW: usize = 1;
const SLOWNESS: usize = 5;
const SLOW_TIME: Duration = Duration::from_millis(6_500);
/// Programs, which all follow the same times.
const PROGRAMS: usize = 42;
/// Time between two events, of ten tokens each.
const PACE: Duration = Duration::from_millis(500);
/// Events of the first and third turn, and of the second one, which takes 9.5 s.
const SHORT_EVENTS: usize = 1;
const LONG_EVENTS: usize = 19;
/// Time from the end of the first turn to the start of the second.
const IDLE_TIME: Duration = Duration::from_secs(58);
const TIMEOUT_MS: u64 = 30_000;

pub fn run(record: &Record, has_trouble: bool) -> Finding {
    let log = Log::new();
    let servers: Vec<Arc<Server>> =
        (1..=SERVERS).map(|number| Server::start(&format!("e-{number}"), "engines", PACE, &log)).collect();
    let list = List::start(&servers);
    let system = System::start(list.address);
    let extra = r#","retained":true,"retention_s":60.0"#;
    let route = Route { name: "chat", kind: "streaming", service: "engines", timeout_ms: TIMEOUT_MS, extra };
    if system.publish(desired_state(1, &[route]).as_bytes()) != 200 || !system.wait_until_ready() {
        return Finding::Failed("the deployment did not start".into());
    }
    std::thread::sleep(Duration::from_secs(1));
    let entries = system.entries();
    let outcomes: Mutex<Vec<(usize, Outcome)>> = Mutex::default();
    let started = Instant::now();
    std::thread::scope(|scope| {
        for program in 0..PROGRAMS {
            let (outcomes, entries, record) = (&outcomes, &entries, record);
            scope.spawn(move || {
                let outcome = converse(record, program, entries, started);
                outcomes.lock().expect("no thread panics").push((program, outcome));
            });
        }
        std::thread::sleep(IDLE_TIME + Duration::from_millis(1_600));
        if has_trouble {
            record.say(format!("{SLOW} of {SERVERS} servers work {SLOWNESS} times as long"));
            servers[..SLOW].iter().for_each(|server| server.set_slowness(SLOWNESS));
        }
        std::thread::sleep(SLOW_TIME);
        servers.iter().for_each(|server| server.set_slowness(1));
        record.say("all servers work as before");
    });
    let mut outcomes = outcomes.into_inner().expect("no thread panics");
    outcomes.sort_by_key(|(program, _)| *program);
    let count = |wanted| outcomes.iter().filter(|(_, outcome)| *outcome == wanted).count();
    let (lost, wrong, kept) = (count(Outcome::Lost), wrong_bodies(record, &log), count(Outcome::Kept));
    record.say(format!("programs={PROGRAMS} kept={kept} lost={lost} wrong_bodies={wrong}"));
    if kept + lost < PROGRAMS / 2 {
        return Finding::Failed("less than half of the programs came to their third turn".into());
    }
    if lost + wrong > 0 { Finding::Broken } else { Finding::Held }
}

/// What became of a program's third turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    /// It was answered whole.
    Kept,
    /// It was answered that the second turn, which was answered whole, is not known.
    Lost,
    /// An earlier turn failed, or it was refused for another reason.
    Other,
}

fn converse(
    record: &Record,
    program: usize,
    entries: &[std::net::SocketAddrV4],
    started: Instant,
) -> Outcome {
    // The programs begin within a second.
    std::thread::sleep(Duration::from_millis(24 * program as u64));
    let name = format!("p{program}");
    let entry = |turn: usize| entries[(program + turn) % entries.len()];
    let say = |turn: &str, answer: &Answer| {
        let at = started.elapsed().as_secs_f64();
        record.add(format!(
            "turn={turn} ended_at={at:.3} status={} complete={} events={}",
            answer.status,
            answer.complete,
            answer.body.windows(6).filter(|window| *window == b"data: ").count()
        ));
    };
    let first = format!("{name}-1");
    let answer = turn(entry(0), &name, &first, None, SHORT_EVENTS, "one;");
    say(&first, &answer);
    if answer.status != 200 || !answer.complete {
        return Outcome::Other;
    }
    std::thread::sleep(IDLE_TIME);
    let second = format!("{name}-2");
    let answer = turn(entry(1), &name, &second, Some(&first), LONG_EVENTS, "two;");
    say(&second, &answer);
    if answer.status != 200 || !answer.complete {
        return Outcome::Other;
    }
    let ended = Instant::now();
    // A refusal promises that the turn has not run, and may be followed by another attempt.
    for attempt in 0..5 {
        std::thread::sleep(Duration::from_millis(200));
        let third = format!("{name}-3.{attempt}");
        let answer = turn(entry(2 + attempt), &name, &third, Some(&second), SHORT_EVENTS, "three;");
        say(&third, &answer);
        match answer.status {
            200 if answer.complete => return Outcome::Kept,
            404 | 410 => {
                let after = ended.elapsed().as_secs_f64();
                let status = answer.status;
                record.say(format!(
                    "LOST: turn={third} status={status} names {second}, which was answered whole {after:.3} s before"
                ));
                return Outcome::Lost;
            }
            _ => {}
        }
    }
    Outcome::Other
}

fn turn(
    entry: std::net::SocketAddrV4,
    program: &str,
    id: &str,
    previous: Option<&str>,
    events: usize,
    text: &str,
) -> Answer {
    let (usage, timeout) = (format!("10,{}", events * 10), TIMEOUT_MS.to_string());
    let mut headers = vec![
        ("host", HOST),
        (wire::header("ATTEMPT_ID"), id),
        (wire::header("PROGRAM_ID"), program),
        (wire::header("TOKEN_BUDGET"), "1000"),
        (wire::header("TOKEN_USAGE"), usage.as_str()),
        (wire::header("DEADLINE_MS"), timeout.as_str()),
    ];
    headers.extend(previous.map(|previous| (wire::header("PREVIOUS_TURN"), previous)));
    http::send(entry, "POST", "/chat/x", &headers, text.as_bytes(), Duration::from_millis(TIMEOUT_MS))
}

/// Turns whose bodies are not the earlier inputs and outputs and then the new input.
fn wrong_bodies(record: &Record, log: &Log) -> usize {
    let output =
        |id: &str, events: usize| -> String { (1..=events).map(|number| event(id, number) + "\n").collect() };
    let mut wrong = 0;
    for run in log.runs() {
        let Some((program, turn)) = run.attempt.split_once('-') else {
            continue;
        };
        let mut expected = String::from("one;");
        if !turn.starts_with('1') {
            expected += &output(&format!("{program}-1"), SHORT_EVENTS);
            expected += "two;";
        }
        if turn.starts_with('3') {
            expected += &output(&format!("{program}-2"), LONG_EVENTS);
            expected += "three;";
        }
        if run.body != expected.as_bytes() {
            wrong += 1;
            record.say(format!("UNASKED: turn={} ran with another body", run.attempt));
        }
    }
    wrong
}

#[test]
fn turn_that_outlasts_its_predecessor_can_be_continued() {
    assert!(crate::script_holds(3));
}
