//! Rule CONFIG: a desired state that can't be read in full is acknowledged and in force.

use std::sync::Arc;
use std::time::Duration;

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

const WORK: Duration = Duration::from_millis(10);
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Time for a desired state to be in force.
const IN_FORCE: Duration = Duration::from_secs(3);
const REQUESTS: usize = 50;

pub fn run(record: &Record, has_trouble: bool) -> Finding {
    let log = Log::new();
    let servers: Vec<Arc<Server>> = vec![
        Server::start("t-1", "tools", WORK, &log),
        Server::start("t-2", "tools", WORK, &log),
        Server::start("o-1", "other", WORK, &log),
    ];
    let list = List::start(&servers);
    let system = System::start(list.address);
    let book = |service| Route { name: "book", kind: "non_idempotent", service, timeout_ms: 3000, extra: "" };
    let mark = Route { name: "M", kind: "idempotent", service: "other", timeout_ms: 3000, extra: "" };
    let first = desired_state(1, &[book("tools")]);
    if system.publish(first.as_bytes()) != 200 || !system.wait_until_ready() {
        return Finding::Failed("the deployment did not start".into());
    }
    if !serves(record, &system, &log, "a", "t-") {
        return Finding::Failed("the first desired state is not in force".into());
    }
    let mut acknowledged = 0;
    if has_trouble {
        // The second route's name holds a byte that is no UTF-8, as a tool with another encoding writes it.
        let mut bytes = desired_state(2, &[book("other"), mark]).into_bytes();
        let at = bytes.windows(3).position(|window| window == b"\"M\"").expect("the route is there") + 1;
        bytes[at] = 0xe9;
        acknowledged = system.publish(&bytes);
        record.say(format!(
            "a desired state of version 2 with a byte that can't be read: status={acknowledged}"
        ));
    }
    std::thread::sleep(IN_FORCE);
    let read = http::send(system.operators()[0], "GET", &wire::read_path(), &[], b"", CALL_LIMIT);
    let held = read.body == first.as_bytes();
    record.say(format!("read back: status={} the first desired state={held}", read.status));
    record.add(String::from_utf8_lossy(&read.body));
    let obeyed = !serves(record, &system, &log, "b", "t-");
    record.say(format!("acknowledged={acknowledged} read_back_changed={} obeyed={obeyed}", !held));
    if read.status != 200 {
        return Finding::Failed("the desired state could not be read".into());
    }
    if (200..300).contains(&acknowledged) || !held || obeyed { Finding::Broken } else { Finding::Held }
}

/// Sends requests, and returns whether all that ran did so at servers whose names start so.
fn serves(record: &Record, system: &System, log: &Log, name: &str, start: &str) -> bool {
    let entries = system.entries();
    for number in 0..REQUESTS {
        let id = format!("{name}{number}");
        let headers = [
            ("host", HOST),
            (wire::header("ATTEMPT_ID"), id.as_str()),
            (wire::header("DEADLINE_MS"), "3000"),
        ];
        let answer =
            http::send(entries[number % entries.len()], "POST", "/book/x", &headers, b"one seat", CALL_LIMIT);
        record.add(format!("request={id} status={}", answer.status));
    }
    let runs = log.runs();
    let own: Vec<_> = runs.iter().filter(|run| run.attempt.starts_with(name)).collect();
    let elsewhere = own.iter().filter(|run| !run.server.starts_with(start)).count();
    record.say(format!("requests={name} sent={REQUESTS} ran={} at other services={elsewhere}", own.len()));
    !own.is_empty() && elsewhere == 0
}
