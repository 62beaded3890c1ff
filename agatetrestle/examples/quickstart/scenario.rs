//! The program of the quickstart: it finds a replacement for a cleaner who called in sick.

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

use crate::cluster::LocalCluster;
use crate::cluster::NoAnswerSnafu;
use crate::cluster::QuickstartError;
use crate::report::RunReport;
use crate::report::TurnSummary;

const PROGRAM: &str = "vrsta/dawn-1";
const BUDGET: u64 = 20_000;
/// After this time without a complete answer, the caller retries on another node.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_ATTEMPTS: u32 = 60;
/// Chunks of the streamed answer that the caller receives before the node is killed.
const CHUNKS_BEFORE_KILL: u32 = 5;

struct ProgramClient {
    addresses: Vec<SocketAddr>,
    messages: Vec<Value>,
    number: u32,
    report: RunReport,
}

/// Runs the program and reports its turns and checks.
pub async fn run(executor: &Rc<LocalExecutor<'static>>) -> Result<RunReport, QuickstartError> {
    let mut cluster = LocalCluster::start(executor).await?;
    let started = Instant::now();
    let first = Client::new(cluster.live_addresses()[0]);
    let addresses = first.addresses(Some(PROGRAM)).await?;
    let system =
        json!({ "role": "system", "content": "You find a replacement and rebook the rota. ".repeat(40) });
    let mut client =
        ProgramClient { addresses, messages: vec![system], number: 0, report: RunReport::default() };
    client.report.check("the address answer names three nodes", client.addresses.len() == 3);
    client.open(&cluster, PROGRAM, None).await?;
    client.call_model(&cluster, "Ana is ill, ward 3 must be clean before rounds.").await?;
    client.call_service(&cluster, "rota", "free-cleaners", "ward 3").await?;
    client.run_sub_agent(&cluster).await?;
    client.call_model_and_kill_node(&mut cluster, "Ask Maja first, then Luka.").await?;
    client.book(&cluster).await?;
    client.call_model(&cluster, "Tell the supervisor.").await?;
    client.end(&cluster).await?;
    let mut report = client.report;
    report.latency = started.elapsed();
    measure_cache_use(&cluster, &mut report);
    Ok(report)
}

impl ProgramClient {
    async fn open(
        &mut self,
        cluster: &LocalCluster,
        program: &str,
        parent: Option<&str>,
    ) -> Result<(), QuickstartError> {
        let (partner, name) = program.split_once('/').unwrap_or_default();
        let budget = if parent.is_some() { BUDGET / 10 } else { BUDGET };
        let mut body = json!({ "partner": partner, "name": name, "team": "dawn", "class": "replacement", "budget": budget });
        if let Some(parent) = parent {
            body["parent"] = parent.into();
        }
        let key = format!("open-{program}");
        let (reply, _) = self.retry(async |client| client.open(&key, &body).await).await?;
        let opened = reply.status / 100 == 2;
        self.record_turn(cluster, &format!("open {program}"), &reply, String::new());
        self.report.check(&format!("{program} was opened"), opened);
        Ok(())
    }

    fn next_call(&mut self, program: &str) -> ClientCall {
        self.number += 1;
        ClientCall { program: program.to_owned(), number: self.number, key: format!("key-{}", self.number) }
    }

    async fn call_model(&mut self, cluster: &LocalCluster, question: &str) -> Result<(), QuickstartError> {
        let call = self.next_call(PROGRAM);
        let body = self.model_request(question);
        let (reply, _) = self.retry(async |client| client.chat(&call, &body).await).await?;
        self.record_answer(cluster, &format!("model call {}", call.number), &reply);
        Ok(())
    }

    fn model_request(&mut self, question: &str) -> Value {
        self.messages.push(json!({ "role": "user", "content": question }));
        json!({ "model": "assistant", "stream": true, "max_tokens": 64, "messages": self.messages })
    }

    fn record_answer(&mut self, cluster: &LocalCluster, description: &str, reply: &Reply) {
        let text = reply.text();
        self.messages.push(json!({ "role": "assistant", "content": text }));
        let complete = reply.status == 200 && reply.is_done();
        self.record_turn(cluster, description, reply, text.chars().take(40).collect());
        self.report.check(&format!("{description} got its whole answer"), complete);
    }

    async fn call_service(
        &mut self,
        cluster: &LocalCluster,
        name: &str,
        path: &str,
        body: &str,
    ) -> Result<Reply, QuickstartError> {
        let call = self.next_call(PROGRAM);
        let (reply, _) =
            self.retry(async |client| client.service(&call, name, path, body, name == "rota").await).await?;
        let text = String::from_utf8_lossy(&reply.body).chars().take(40).collect();
        self.record_turn(cluster, &format!("service call {} to {name}", call.number), &reply, text);
        self.report.check(&format!("{name} answered"), reply.status == 200);
        Ok(reply)
    }

    async fn run_sub_agent(&mut self, cluster: &LocalCluster) -> Result<(), QuickstartError> {
        let child = "vrsta/dawn-1-search";
        self.open(cluster, child, Some(PROGRAM)).await?;
        let call = ClientCall { program: child.to_owned(), number: 1, key: "search".to_owned() };
        let mut messages = self.messages.clone();
        messages.push(json!({ "role": "user", "content": "Rank the free cleaners by distance." }));
        let body = json!({ "model": "assistant", "stream": true, "max_tokens": 64, "messages": messages });
        let (reply, _) = self.retry(async |client| client.chat(&call, &body).await).await?;
        self.record_turn(cluster, "sub-agent's model call", &reply, reply.text().chars().take(40).collect());
        self.report.check("the sub-agent got its whole answer", reply.is_done());
        let (ended, _) = self.retry(async |client| client.end(child).await).await?;
        self.report.check("the sub-agent ended", ended.status / 100 == 2);
        Ok(())
    }

    /// Kills the serving node during a streamed answer, then retries with the same key on another node.
    async fn call_model_and_kill_node(
        &mut self,
        cluster: &mut LocalCluster,
        question: &str,
    ) -> Result<(), QuickstartError> {
        let call = self.next_call(PROGRAM);
        let body = self.model_request(question);
        let serving = self.addresses[0];
        let chunks = Cell::new(0);
        let streaming = async {
            let client = Client::new(serving);
            let outcome = client.chat_with_progress(&call, &body, |_| chunks.set(chunks.get() + 1)).await;
            outcome.is_ok()
        };
        let killing = async {
            while chunks.get() < CHUNKS_BEFORE_KILL {
                Timer::after(Duration::from_millis(1)).await;
            }
            cluster.kill(serving).await;
            Timer::after(RESPONSE_TIMEOUT).await;
            false
        };
        let finished = smol::future::or(streaming, killing).await;
        self.report.check("the node was lost in the middle of an answer", !finished);
        self.addresses.retain(|address| *address != serving);
        let (reply, _) = self.retry(async |client| client.chat(&call, &body).await).await?;
        self.record_answer(cluster, &format!("model call {}, asked again", call.number), &reply);
        Ok(())
    }

    /// Makes a non-repeatable service call and resends it to another node.
    async fn book(&mut self, cluster: &LocalCluster) -> Result<(), QuickstartError> {
        let reply = self.call_service(cluster, "bookings", "shifts", "Maja, ward 3").await?;
        let call = ClientCall {
            program: PROGRAM.to_owned(),
            number: self.number,
            key: format!("key-{}", self.number),
        };
        self.addresses.rotate_left(1);
        let resent = self
            .retry(async |client| client.service(&call, "bookings", "shifts", "Maja, ward 3", false).await);
        let (resent, _) = resent.await?;
        let runs: u32 = cluster.bookings.runs().values().sum();
        self.report.check("the booking ran once", runs == 1);
        self.report
            .check("the resend got the first answer", resent.body == reply.body && resent.status == 200);
        Ok(())
    }

    async fn end(&mut self, cluster: &LocalCluster) -> Result<(), QuickstartError> {
        let (reply, _) = self.retry(async |client| client.end(PROGRAM).await).await?;
        let view = reply.json();
        self.report.spent = view["spent"].as_u64().unwrap_or(u64::MAX);
        self.report.budget = BUDGET;
        self.record_turn(cluster, "end", &reply, String::new());
        self.report.check("the program ended", reply.status / 100 == 2);
        let within_budget = self.report.spent > 0 && self.report.spent <= BUDGET;
        self.report.check("the spending is within the budget", within_budget);
        Ok(())
    }

    /// Tries the addresses in turn until a response is final, as every caller should.
    async fn retry(
        &mut self,
        send: impl AsyncFn(Client) -> Result<Reply, ClientError>,
    ) -> Result<(Reply, SocketAddr), QuickstartError> {
        for _ in 0..MAX_ATTEMPTS {
            let address = self.addresses[0];
            match with_deadline(RESPONSE_TIMEOUT, send(Client::new(address))).await {
                Some(Ok(reply)) if reply.status != 503 && reply.json()["reason"] != "in_progress" => {
                    return Ok((reply, address));
                }
                Some(Ok(_)) => {}
                Some(Err(_)) | None => self.addresses.rotate_left(1),
            }
            Timer::after(RETRY_DELAY).await;
        }
        NoAnswerSnafu.fail()
    }

    fn record_turn(&mut self, cluster: &LocalCluster, description: &str, reply: &Reply, answer: String) {
        let node = cluster.node_name(self.addresses[0]);
        let answer =
            if reply.status / 100 == 2 { answer } else { String::from_utf8_lossy(&reply.body).into_owned() };
        self.report.turns.push(TurnSummary {
            description: description.to_owned(),
            node,
            latency: reply.total,
            answer,
        });
    }
}

/// Counts cached and recomputed prompt tokens. Each prompt extends an earlier one, so the tokens of a shorter
/// prompt that were not read from a cache count as recomputed.
fn measure_cache_use(cluster: &LocalCluster, report: &mut RunReport) {
    let mut requests: Vec<_> =
        cluster.engines.iter().flat_map(agatetrestle_fakes::Engine::requests).collect();
    requests.sort_by_key(|request| request.prompt_tokens);
    let mut computed_before = 0;
    for request in &requests {
        report.prompt_tokens += request.prompt_tokens;
        report.cached_tokens += request.cached_tokens;
        report.recomputed_tokens +=
            computed_before.min(request.prompt_tokens).saturating_sub(request.cached_tokens);
        computed_before = computed_before.max(request.prompt_tokens);
    }
}
