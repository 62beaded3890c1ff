//! The program: a replacement for a cleaner who called in sick.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use agatetrestle::node::peer_link::with_deadline;
use agatetrestle_fakes::Client;
use agatetrestle_fakes::client::ClientCall;
use agatetrestle_fakes::client::ClientError;
use agatetrestle_fakes::client::Reply;
use serde_json::Value;
use serde_json::json;
use smol::LocalExecutor;
use smol::Timer;

use crate::cluster::Cluster;
use crate::cluster::NoAnswerSnafu;
use crate::cluster::QuickstartError;
use crate::report::Report;
use crate::report::Turn;

const PROGRAM: &str = "vrsta/dawn-1";
const BUDGET: u64 = 20_000;
/// A caller gives up on an answer that makes no end within this time, and asks elsewhere.
const PATIENCE: Duration = Duration::from_secs(2);
const COMEBACK: Duration = Duration::from_millis(100);
const TRIES: u32 = 60;
/// Pieces of the streamed answer that the caller sees before the node is lost.
const PIECES_BEFORE_LOSS: u32 = 5;

struct Caller {
    addresses: Vec<SocketAddr>,
    messages: Vec<Value>,
    number: u32,
    report: Report,
}

/// Runs the program and returns what was seen.
pub async fn run(executor: &Rc<LocalExecutor<'static>>) -> Result<Report, QuickstartError> {
    let mut cluster = Cluster::start(executor).await?;
    let started = Instant::now();
    let first = Client::new(cluster.live()[0]);
    let addresses = first.addresses(Some(PROGRAM)).await?;
    let system =
        json!({ "role": "system", "content": "You find a replacement and rebook the rota. ".repeat(40) });
    let mut caller = Caller { addresses, messages: vec![system], number: 0, report: Report::default() };
    caller.report.check("the address answer names three nodes", caller.addresses.len() == 3);
    caller.open(&cluster, PROGRAM, None).await?;
    caller.ask(&cluster, "Ana is ill, ward 3 must be clean before rounds.").await?;
    caller.service(&cluster, "rota", "free-cleaners", "ward 3").await?;
    caller.sub_agent(&cluster).await?;
    caller.ask_and_lose_node(&mut cluster, "Ask Maja first, then Luka.").await?;
    caller.book(&cluster).await?;
    caller.ask(&cluster, "Tell the supervisor.").await?;
    caller.end(&cluster).await?;
    let mut report = caller.report;
    report.latency = started.elapsed();
    weigh_cache(&cluster, &mut report);
    Ok(report)
}

impl Caller {
    async fn open(
        &mut self,
        cluster: &Cluster,
        program: &str,
        parent: Option<&str>,
    ) -> Result<(), QuickstartError> {
        let (partner, name) = program.split_once('/').unwrap_or_default();
        let budget = if parent.is_some() { BUDGET / 10 } else { BUDGET };
        let mut form = json!({ "partner": partner, "name": name, "team": "dawn", "class": "replacement", "budget": budget });
        if let Some(parent) = parent {
            form["parent"] = parent.into();
        }
        let key = format!("open-{program}");
        let (reply, _) = self.persist(async |client| client.open(&key, &form).await).await?;
        let kept = reply.status / 100 == 2;
        self.note(cluster, &format!("open {program}"), &reply, String::new());
        self.report.check(&format!("{program} was opened"), kept);
        Ok(())
    }

    fn next_call(&mut self, program: &str) -> ClientCall {
        self.number += 1;
        ClientCall { program: program.to_owned(), number: self.number, key: format!("key-{}", self.number) }
    }

    async fn ask(&mut self, cluster: &Cluster, question: &str) -> Result<(), QuickstartError> {
        let call = self.next_call(PROGRAM);
        let form = self.form(question);
        let (reply, _) = self.persist(async |client| client.chat(&call, &form).await).await?;
        self.take_answer(cluster, &format!("model call {}", call.number), &reply);
        Ok(())
    }

    fn form(&mut self, question: &str) -> Value {
        self.messages.push(json!({ "role": "user", "content": question }));
        json!({ "model": "assistant", "stream": true, "max_tokens": 64, "messages": self.messages })
    }

    fn take_answer(&mut self, cluster: &Cluster, what: &str, reply: &Reply) {
        let text = reply.text();
        self.messages.push(json!({ "role": "assistant", "content": text }));
        let whole = reply.status == 200 && reply.is_done();
        self.note(cluster, what, reply, text.chars().take(40).collect());
        self.report.check(&format!("{what} got its whole answer"), whole);
    }

    async fn service(
        &mut self,
        cluster: &Cluster,
        name: &str,
        path: &str,
        body: &str,
    ) -> Result<Reply, QuickstartError> {
        let call = self.next_call(PROGRAM);
        let (reply, _) = self
            .persist(async |client| client.service(&call, name, path, body, name == "rota").await)
            .await?;
        let text = String::from_utf8_lossy(&reply.body).chars().take(40).collect();
        self.note(cluster, &format!("service call {} to {name}", call.number), &reply, text);
        self.report.check(&format!("{name} answered"), reply.status == 200);
        Ok(reply)
    }

    async fn sub_agent(&mut self, cluster: &Cluster) -> Result<(), QuickstartError> {
        let child = "vrsta/dawn-1-search";
        self.open(cluster, child, Some(PROGRAM)).await?;
        let call = ClientCall { program: child.to_owned(), number: 1, key: "search".to_owned() };
        let mut messages = self.messages.clone();
        messages.push(json!({ "role": "user", "content": "Rank the free cleaners by distance." }));
        let form = json!({ "model": "assistant", "stream": true, "max_tokens": 64, "messages": messages });
        let (reply, _) = self.persist(async |client| client.chat(&call, &form).await).await?;
        self.note(cluster, "sub-agent's model call", &reply, reply.text().chars().take(40).collect());
        self.report.check("the sub-agent got its whole answer", reply.is_done());
        let (ended, _) = self.persist(async |client| client.end(child).await).await?;
        self.report.check("the sub-agent ended", ended.status / 100 == 2);
        Ok(())
    }

    /// Loses the serving node in the middle of a streamed answer, then asks again with the same key elsewhere.
    async fn ask_and_lose_node(
        &mut self,
        cluster: &mut Cluster,
        question: &str,
    ) -> Result<(), QuickstartError> {
        let call = self.next_call(PROGRAM);
        let form = self.form(question);
        let serving = self.addresses[0];
        let pieces = Cell::new(0);
        let streaming = async {
            let client = Client::new(serving);
            let outcome = client.chat_with_progress(&call, &form, |_| pieces.set(pieces.get() + 1)).await;
            outcome.is_ok()
        };
        let losing = async {
            while pieces.get() < PIECES_BEFORE_LOSS {
                Timer::after(Duration::from_millis(1)).await;
            }
            cluster.lose(serving).await;
            Timer::after(PATIENCE).await;
            false
        };
        let finished = smol::future::or(streaming, losing).await;
        self.report.check("the node was lost in the middle of an answer", !finished);
        self.addresses.retain(|address| *address != serving);
        let (reply, _) = self.persist(async |client| client.chat(&call, &form).await).await?;
        self.take_answer(cluster, &format!("model call {}, asked again", call.number), &reply);
        Ok(())
    }

    /// A booking that may not run twice, and the same request once more on another node.
    async fn book(&mut self, cluster: &Cluster) -> Result<(), QuickstartError> {
        let reply = self.service(cluster, "bookings", "shifts", "Maja, ward 3").await?;
        let call = ClientCall {
            program: PROGRAM.to_owned(),
            number: self.number,
            key: format!("key-{}", self.number),
        };
        self.addresses.rotate_left(1);
        let again = self
            .persist(async |client| client.service(&call, "bookings", "shifts", "Maja, ward 3", false).await);
        let (again, _) = again.await?;
        let runs: u32 = cluster.bookings.runs().values().sum();
        self.report.check("the booking ran once", runs == 1);
        self.report.check("the resend got the first answer", again.body == reply.body && again.status == 200);
        Ok(())
    }

    async fn end(&mut self, cluster: &Cluster) -> Result<(), QuickstartError> {
        let (reply, _) = self.persist(async |client| client.end(PROGRAM).await).await?;
        let view = reply.json();
        self.report.spent = view["spent"].as_u64().unwrap_or(u64::MAX);
        self.report.budget = BUDGET;
        self.note(cluster, "end", &reply, String::new());
        self.report.check("the program ended", reply.status / 100 == 2);
        let within_budget = self.report.spent > 0 && self.report.spent <= BUDGET;
        self.report.check("the spending is within the budget", within_budget);
        Ok(())
    }

    /// Tries the addresses in turn until an answer is final, as every caller should.
    async fn persist(
        &mut self,
        send: impl AsyncFn(Client) -> Result<Reply, ClientError>,
    ) -> Result<(Reply, SocketAddr), QuickstartError> {
        for _ in 0..TRIES {
            let address = self.addresses[0];
            match with_deadline(PATIENCE, send(Client::new(address))).await {
                Some(Ok(reply)) if reply.status != 503 && reply.json()["reason"] != "in_progress" => {
                    return Ok((reply, address));
                }
                Some(Ok(_)) => {}
                Some(Err(_)) | None => self.addresses.rotate_left(1),
            }
            Timer::after(COMEBACK).await;
        }
        NoAnswerSnafu.fail()
    }

    fn note(&mut self, cluster: &Cluster, what: &str, reply: &Reply, answer: String) {
        let node = cluster.name(self.addresses[0]);
        let answer =
            if reply.status / 100 == 2 { answer } else { String::from_utf8_lossy(&reply.body).into_owned() };
        self.report.turns.push(Turn { what: what.to_owned(), node, took: reply.total, answer });
    }
}

/// Every prompt but the first of an engine begins with an earlier one, so what an engine did not
/// read from its cache although another call had computed it was computed again.
fn weigh_cache(cluster: &Cluster, report: &mut Report) {
    let mut seen: Vec<_> = cluster.engines.iter().flat_map(agatetrestle_fakes::Engine::requests).collect();
    seen.sort_by_key(|request| request.prompt_tokens);
    let mut computed_before = 0;
    for request in &seen {
        report.prompt_tokens += request.prompt_tokens;
        report.cached_tokens += request.cached_tokens;
        report.recomputed_tokens +=
            computed_before.min(request.prompt_tokens).saturating_sub(request.cached_tokens);
        computed_before = computed_before.max(request.prompt_tokens);
    }
}
