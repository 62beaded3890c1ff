//! Rule DRAIN: an entry of the platform's list that can't be read hides that a server is leaving.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Finding;
use crate::Record;
use crate::http;
use crate::servers::List;
use crate::servers::Log;
use crate::servers::Server;
use crate::system::HOST;
use crate::system::Route;
use crate::system::System;
use crate::system::desired_state;
use crate::wire;

const SERVERS: usize = 4;
const LEAVING: &str = "t-1";
/// Time for which requests may reach a server after it is listed as draining.
const DRAIN: Duration = Duration::from_millis(4_000);
/// How long a leaving server goes on after that.
const SERVES_ON: Duration = Duration::from_millis(1_500);
/// Requests that may reach it later, such as those that were under way.
const TOLERATED: usize = 3;
const CALM_TIME: Duration = Duration::from_secs(3);
const CALLERS: usize = 24;
const WORK: Duration = Duration::from_millis(200);
const CALLER_INTERVAL: Duration = Duration::from_millis(100);

pub fn run(record: &Record, has_trouble: bool) -> Finding {
    let log = Log::new();
    let servers: Vec<Arc<Server>> =
        (1..=SERVERS).map(|number| Server::start(&format!("t-{number}"), "tools", WORK, &log)).collect();
    let list = List::start(&servers);
    let system = System::start(list.address);
    let route = Route { name: "book", kind: "non_idempotent", service: "tools", timeout_ms: 3000, extra: "" };
    if system.publish(desired_state(1, &[route]).as_bytes()) != 200 || !system.wait_until_ready() {
        return Finding::Failed("the deployment did not start".into());
    }
    let answers: Mutex<Vec<(String, u16)>> = Mutex::default();
    let end = Instant::now() + CALM_TIME + DRAIN + SERVES_ON + CALM_TIME;
    let entries = system.entries();
    let mut leaving_at = Duration::ZERO;
    let mut reads = 0;
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (answers, entry) = (&answers, entries[caller % entries.len()]);
            scope.spawn(move || {
                // Callers do not act in step.
                std::thread::sleep(Duration::from_millis(13 * caller as u64));
                for number in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let id = format!("c{caller}-{number}");
                    let headers = [
                        ("host", HOST),
                        (wire::header("ATTEMPT_ID"), id.as_str()),
                        (wire::header("DEADLINE_MS"), "3000"),
                    ];
                    let answer =
                        http::send(entry, "POST", "/book/x", &headers, b"one seat", Duration::from_secs(4));
                    let status = if answer.complete { answer.status } else { 0 };
                    answers.lock().expect("no thread panics").push((id, status));
                    std::thread::sleep(CALLER_INTERVAL);
                }
            });
        }
        std::thread::sleep(CALM_TIME);
        if has_trouble {
            // One byte of its version can't be read: a control character may not stand in a string.
            let entry = format!(
                r#"{{"service":"tools","address":"{}","zone":"zone-1","version":"v{}1","slots":16,"state":"ready","id":"x-1"}}"#,
                servers[1].address, '\u{1}'
            );
            list.set_foreign(Some(entry.into_bytes()));
            record.say("the list holds an entry of another writer with a byte that can't be read");
            std::thread::sleep(Duration::from_secs(1));
        }
        reads = list.reads.load(Ordering::SeqCst);
        list.set_state(LEAVING, "draining");
        leaving_at = log.started.elapsed();
        record.say(format!("{LEAVING} is listed as draining"));
        std::thread::sleep(DRAIN + SERVES_ON);
        reads = list.reads.load(Ordering::SeqCst) - reads;
        list.remove(LEAVING);
        servers[0].stop();
        record.say(format!("{LEAVING} ends; the list was read {reads} times meanwhile"));
    });
    let runs = log.runs();
    let late: Vec<_> =
        runs.iter().filter(|run| run.server == LEAVING && run.at > leaving_at + DRAIN).collect();
    let counts = log.counts();
    let mut answers = answers.into_inner().expect("no thread panics");
    answers.sort();
    for (id, status) in &answers {
        record.add(format!("request={id} status={status} runs={}", counts.get(id).copied().unwrap_or(0)));
    }
    for run in &late {
        let after = (run.at - leaving_at).as_secs_f64();
        let status = answers.iter().find(|(id, _)| *id == run.attempt).map_or(0, |(_, status)| *status);
        record.say(format!(
            "DRAIN: request={} reached {LEAVING} {after:.3} s after it was listed as draining, status={status}",
            run.attempt
        ));
    }
    let failed = answers.iter().filter(|(_, status)| *status != 200).count();
    record.say(format!("requests={} failed={failed} late={}", answers.len(), late.len()));
    if reads == 0 || failed * 2 > answers.len() {
        return Finding::Failed(
            "the list was not read, or less than half of the requests were served".into(),
        );
    }
    if late.len() > TOLERATED { Finding::Broken } else { Finding::Held }
}
