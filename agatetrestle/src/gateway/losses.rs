//! Requests under which servers ended: reports of losses, and permission for further attempts.
//!
//! A request is asked about only if its entry knows it as a suspect, so that others pay for nothing. The record is kept by the
//! state group of its fingerprint; see docs/design/027-requests-that-end-servers.md.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::channel::oneshot;
use log::info;
use log::warn;
use smol::Timer;

use crate::clock::Timestamp;
use crate::dispatch::ServerKey;
use crate::gateway::Gateway;
use crate::gateway::context::ErrorResponse;
use crate::gateway::context::FAILOVER_RETRY_AFTER;
use crate::gateway::context::RequestContext;
use crate::gateway::reserve::millis;
use crate::gateway::sent::FailureSign;
use crate::gateway::turn::TurnClient;
use crate::health::max_ejected;
use crate::node::peer_link::with_deadline;
use crate::ports::Labels;
use crate::ports::Measurement;
use crate::suspects::Fingerprint;
use crate::suspects::SuspectView;
use crate::suspects::record::Admit;
use crate::suspects::record::Clear;
use crate::suspects::record::End;
use crate::suspects::record::Lose;
use crate::suspects::record::RETENTION_MS;
use crate::suspects::record::SuspectCommand;
use crate::suspects::record::SuspectDecision;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;

/// Longest time that the end of a failed response waits for the report of the loss. A caller that returns after it may find an
/// entry that has not heard of it.
pub(super) const MAX_REPORT_WAIT: Duration = Duration::from_millis(500);
/// The same for turns and resumable streams, whose next attempt needs the group anyway; outlasts an election.
pub(super) const MAX_GROUP_REPORT_WAIT: Duration = Duration::from_secs(2);
/// Share of the time left for which a call waits for the permission to go on at another server. The rest is for the other attempt, or
/// for the caller's own.
const PERMISSION_WAIT_DIVISOR: u32 = 2;
/// Reports under way, some hundred bytes each. Beyond it losses are logged only.
const MAX_REPORTS: usize = 1_024;
/// Pause before a report is sent again that its group did not confirm.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after the end of an attempt from which a response shows that its server runs. One that is about to end may still answer
/// others.
const LIFE_SIGN_DELAY: Duration = Duration::from_secs(2);
/// Time after that for which the server's responses are watched.
const WATCH_TIME: Duration = Duration::from_secs(15);
/// Time after that in which a response to a caller's request saves the probe of the server.
const PROBE_DELAY: Duration = Duration::from_millis(250);
/// Pause before the second probe of a server that does not answer, doubled with each further one.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Servers to which probes are sent at a time.
const MAX_PROBES: usize = 16;
/// Servers that are watched since an attempt failed there, and requests of each. Beyond it a loss is not taken back.
const MAX_WATCHED_SERVERS: usize = 1_024;
const MAX_WATCHED_PER_SERVER: usize = 64;
/// Time after the start in which requests wait for the suspects of all groups.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Longest time that a request waits for them.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(300);
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The group's answer to a report.
pub(super) type Reply = oneshot::Receiver<TurnReply>;

/// Losses of servers, as this entry knows them.
pub(super) struct Losses {
    suspects: Rc<SuspectView>,
    started_at: Timestamp,
    /// Losses that are taken back if their server runs.
    watched: RefCell<HashMap<ServerKey, Vec<WatchedLoss>>>,
    reports: Rc<Cell<usize>>,
    /// Losses whose reports are under way. Their requests are refused, since the group would decide without them.
    unreported: Rc<RefCell<HashMap<Fingerprint, usize>>>,
}

/// A loss that a response to a request sent at `settles_at` or later takes back.
struct WatchedLoss {
    fingerprint: Fingerprint,
    attempt: Arc<str>,
    server_id: Arc<str>,
    settles_at: Timestamp,
    /// When its server is asked whether it runs.
    probe_at: Timestamp,
    probe_interval: Duration,
}

/// A server that may have ended under an attempt.
pub(super) struct LossReport {
    pub(super) admit: Admit,
    pub(super) server: ServerKey,
    pub(super) server_id: Arc<str>,
    pub(super) route: Arc<str>,
    /// Time since the request was sent.
    pub(super) run_time: Duration,
    /// How long the server may run the request.
    pub(super) runs_until: Timestamp,
}

impl Losses {
    pub(super) fn new(suspects: Rc<SuspectView>, started_at: Timestamp) -> Self {
        Self {
            suspects,
            started_at,
            watched: RefCell::default(),
            reports: Rc::default(),
            unreported: Rc::default(),
        }
    }

    /// Drops what is not watched any more.
    pub(super) fn expire(&self, now: Timestamp) {
        self.suspects.expire(now);
        self.watched.borrow_mut().retain(|_, losses| {
            losses.retain(|loss| now.since(loss.settles_at) < WATCH_TIME);
            !losses.is_empty()
        });
    }

    /// Returns the servers to be asked now whether they run, and schedules their next probes.
    pub(super) fn take_due_probes(&self, now: Timestamp) -> Vec<ServerKey> {
        let mut watched = self.watched.borrow_mut();
        let is_due = |loss: &WatchedLoss| loss.probe_at <= now;
        let due = watched.iter_mut().filter(|(_, losses)| losses.iter().any(is_due)).take(MAX_PROBES);
        let schedule_next = |(server, losses): (&ServerKey, &mut Vec<WatchedLoss>)| {
            for loss in losses.iter_mut().filter(|loss| is_due(loss)) {
                loss.probe_at = now + loss.probe_interval;
                loss.probe_interval *= 2;
            }
            *server
        };
        due.map(schedule_next).collect()
    }

    fn watch(&self, report: &LossReport) {
        let mut watched = self.watched.borrow_mut();
        if watched.len() < MAX_WATCHED_SERVERS {
            let losses = watched.entry(report.server).or_default();
            if losses.len() < MAX_WATCHED_PER_SERVER {
                let settles_at = report.runs_until + LIFE_SIGN_DELAY;
                losses.push(WatchedLoss {
                    fingerprint: report.admit.fingerprint,
                    attempt: report.admit.attempt.clone(),
                    server_id: report.server_id.clone(),
                    settles_at,
                    probe_at: settles_at + PROBE_DELAY,
                    probe_interval: PROBE_INTERVAL,
                });
            }
        }
    }
}

/// Permission to send an attempt at a suspect to a server. Dropping it reports that the attempt has ended.
pub(super) struct Admission {
    gateway: Rc<Gateway>,
    admit: Admit,
    ended: Cell<bool>,
}

impl Admission {
    pub(super) fn new(gateway: Rc<Gateway>, admit: Admit) -> Rc<Self> {
        Rc::new(Self { gateway, admit, ended: Cell::new(false) })
    }

    /// Records that a report has ended it.
    pub(super) fn end(&self) {
        self.ended.set(true);
    }

    /// Records that it was granted again.
    pub(super) fn resume(&self) {
        self.ended.set(false);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if !self.ended.get() {
            let Admit { fingerprint, attempt, .. } = self.admit.clone();
            drop(report(&self.gateway, SuspectCommand::End(End { fingerprint, attempt, clears: false })));
        }
    }
}

pub(super) fn admit_of(gateway: &Gateway, ctx: &RequestContext) -> Admit {
    let servers = gateway.dispatch.borrow().server_count(&ctx.service);
    Admit {
        fingerprint: ctx.fingerprint(),
        attempt: ctx.attempt_id.clone(),
        service: ctx.service.clone(),
        run_ms: millis(ctx.deadline.since(gateway.clock.now())),
        max_running: u32::try_from(max_ejected(servers)).unwrap_or(u32::MAX).max(1),
    }
}

/// Returns the permission to send a request that is a suspect; `None` for others, which need none.
///
/// # Errors
///
/// 503 if too many servers have ended under it, if others under way may end as many, or if its group does not answer.
pub(super) async fn admit(
    gateway: &Rc<Gateway>,
    ctx: &RequestContext,
) -> Result<Option<Rc<Admission>>, ErrorResponse> {
    let losses = &gateway.losses;
    if losses.suspects.is_empty() || !losses.suspects.contains(ctx.fingerprint()) {
        return Ok(None);
    }
    let admit = admit_of(gateway, ctx);
    if losses.unreported.borrow().contains_key(&admit.fingerprint) {
        return Err(unknown_record(&admit, "a loss is not reported yet"));
    }
    let asked_at = gateway.clock.now();
    let left = ctx.deadline.since(asked_at);
    let reply = gateway.turns.commit(TurnCommand::Suspect(SuspectCommand::Admit(admit.clone())));
    let reply = with_deadline(left, reply).await;
    let decision = match reply {
        Some(Ok(TurnReply::Suspect(decision))) => decision,
        Some(Ok(reply)) => return Err(unknown_record(&admit, &format!("{reply:?}"))),
        Some(Err(error)) => return Err(unknown_record(&admit, &error.to_string())),
        None => return Err(unknown_record(&admit, "no answer in time")),
    };
    let Admit { fingerprint, attempt, service, .. } = &admit;
    info!(
        "request={attempt} fingerprint={fingerprint} service={service} is a suspect: decision={decision:?}."
    );
    match decision {
        SuspectDecision::Innocent => {
            losses.suspects.remove_older(asked_at, *fingerprint);
            Ok(None)
        }
        SuspectDecision::Admitted { .. } => Ok(Some(Admission::new(gateway.clone(), admit))),
        SuspectDecision::Exhausted { retry_ms } => Err(refusal(
            format!("too many servers ended under the request, fingerprint={fingerprint}"),
            retry_ms,
        )),
        SuspectDecision::Busy { retry_ms } => Err(refusal(
            format!("servers ended under the request and others run, fingerprint={fingerprint}"),
            retry_ms,
        )),
    }
}

/// Waits soon after the start until the groups have told their suspects.
pub(super) async fn wait_for_suspects(gateway: &Gateway) {
    let Losses { suspects, started_at, .. } = &gateway.losses;
    let mut waited = Duration::ZERO;
    while !suspects.is_complete()
        && waited < MAX_STARTUP_WAIT
        && gateway.clock.now().since(*started_at) < STARTUP_TIME
    {
        Timer::after(STARTUP_POLL_INTERVAL).await;
        waited += STARTUP_POLL_INTERVAL;
    }
}

fn refusal(reason: String, retry_ms: u64) -> ErrorResponse {
    ErrorResponse { is_suspect: true, ..ErrorResponse::not_run(reason, Duration::from_millis(retry_ms)) }
}

fn unknown_record(admit: &Admit, reason: &str) -> ErrorResponse {
    let reason = format!(
        "servers ended under the request, and its record is unknown, fingerprint={}: {reason}",
        admit.fingerprint
    );
    refusal(reason, millis(FAILOVER_RETRY_AFTER))
}

/// Waits until the group has confirmed a report and all entries in touch know the request as a suspect, for at most `wait`. Returns
/// whether the group permits the attempt to go on.
pub(super) async fn wait_for_report(
    gateway: &Gateway,
    fingerprint: Fingerprint,
    reply: Reply,
    wait: Duration,
) -> bool {
    let started_at = gateway.clock.now();
    let reply = with_deadline(wait, reply).await.and_then(Result::ok);
    if reply.is_some() {
        let left = wait.saturating_sub(gateway.clock.now().since(started_at));
        // Entries that are not told in time learn of the suspect later.
        let _ = with_deadline(left, gateway.turns.announce(fingerprint)).await;
    }
    is_admitted(reply.as_ref())
}

/// How long an attempt that has just lost its server and has some time left waits for the permission to go on at another one.
pub(super) fn permission_wait(left: Duration) -> Duration {
    (left / PERMISSION_WAIT_DIVISOR).min(MAX_GROUP_REPORT_WAIT)
}

const fn is_admitted(reply: Option<&TurnReply>) -> bool {
    matches!(reply, Some(TurnReply::Suspect(SuspectDecision::Admitted { .. })))
}

/// Logs and reports an attempt that brought its caller no success.
pub(super) fn report_loss(
    gateway: &Gateway,
    loss: LossReport,
    sign: FailureSign,
    reason: &str,
    goes_on: bool,
) -> Reply {
    let LossReport { admit, server, server_id, route, run_time, .. } = &loss;
    let now = gateway.clock.now();
    let Admit { fingerprint, attempt, service, .. } = admit;
    let address = gateway.address(*server).map_or_else(String::new, |(_, address)| address.to_string());
    warn!(
        "request={attempt} fingerprint={fingerprint} service={service} server={server_id} address={address} lost its \
         server: run_ms={} sign={} reason=\"{reason}\".",
        run_time.as_millis(),
        sign.name(),
    );
    let labels = Labels { partner: service.clone(), class: route.clone() };
    gateway.recorder.record(&labels, &Measurement::LostServer(sign.name()));
    gateway.losses.suspects.add(now, *fingerprint, RETENTION_MS);
    gateway.losses.watch(&loss);
    let abandoned = sign == FailureSign::Abandoned;
    report(
        gateway,
        SuspectCommand::Lose(Lose { server: loss.server_id, goes_on, abandoned, admit: loss.admit }),
    )
}

/// Reports attempts at a request whose entries have ended, and which may have ended their servers.
///
/// # Errors
///
/// 503 if the group of the request does not confirm a report in time.
pub(super) async fn report_interrupted(
    gateway: &Gateway,
    ctx: &RequestContext,
    attempts: Vec<Arc<str>>,
) -> Result<(), ErrorResponse> {
    let admit = admit_of(gateway, ctx);
    gateway.losses.suspects.add(gateway.clock.now(), admit.fingerprint, RETENTION_MS);
    for attempt in attempts {
        let Admit { fingerprint, service, .. } = &admit;
        warn!("request={attempt} fingerprint={fingerprint} service={service} lost its entry.");
        let lose = Lose {
            server: "".into(),
            goes_on: false,
            abandoned: false,
            admit: Admit { attempt, ..admit.clone() },
        };
        let left = ctx.deadline.since(gateway.clock.now());
        if !matches!(with_deadline(left, report(gateway, SuspectCommand::Lose(lose))).await, Some(Ok(_))) {
            return Err(unknown_record(&admit, "the loss of an entry is not reported yet"));
        }
    }
    Ok(())
}

/// Clears the losses of a server that has responded to a request which was sent later.
pub(super) fn record_response(gateway: &Gateway, server: ServerKey, sent_at: Timestamp) {
    let mut watched = gateway.losses.watched.borrow_mut();
    let Some(losses) = watched.get_mut(&server) else {
        return;
    };
    let cleared: Vec<WatchedLoss> = losses.extract_if(.., |loss| sent_at >= loss.settles_at).collect();
    if losses.is_empty() {
        watched.remove(&server);
    }
    for WatchedLoss { fingerprint, attempt, server_id, .. } in cleared {
        info!("request={attempt} fingerprint={fingerprint} server={server_id} is cleared: the server runs.");
        drop(report(gateway, SuspectCommand::Clear(Clear { fingerprint, server: server_id })));
    }
}

/// Reports that a request was completed if others of the same content are suspects.
pub(super) fn clear_completed(gateway: &Gateway, admit: &Admit) {
    let suspects = &gateway.losses.suspects;
    let Admit { fingerprint, attempt, .. } = admit.clone();
    if !suspects.is_empty() && suspects.contains(fingerprint) {
        drop(report(gateway, SuspectCommand::End(End { fingerprint, attempt, clears: true })));
    }
}

/// Sends a command to the group of its request until it is confirmed, also if nobody waits for the reply.
fn report(gateway: &Gateway, command: SuspectCommand) -> Reply {
    let (tx, rx) = oneshot::channel();
    let fingerprint = command.fingerprint();
    let Losses { reports, unreported, .. } = &gateway.losses;
    let (reports, unreported) = (reports.clone(), unreported.clone());
    let lost = match &command {
        SuspectCommand::Lose(lose) => Some(lose.admit.attempt.clone()),
        _ => None,
    };
    if reports.get() >= MAX_REPORTS {
        warn!("fingerprint={fingerprint} is not reported: too many reports are under way.");
        return rx;
    }
    reports.set(reports.get() + 1);
    if lost.is_some() {
        *unreported.borrow_mut().entry(fingerprint).or_default() += 1;
    }
    let turns = gateway.turns.clone();
    let reporting = async move {
        let reply = commit_report(&*turns, command).await;
        reports.set(reports.get() - 1);
        if lost.is_some() {
            forget_unreported(&mut unreported.borrow_mut(), fingerprint);
        }
        let unread = tx.send(reply).err();
        if let Some(attempt) = lost
            && is_admitted(unread.as_ref())
        {
            // Nobody waits any more, so the attempt does not go on.
            commit_report(&*turns, SuspectCommand::End(End { fingerprint, attempt, clears: false })).await;
        }
    };
    gateway.executor.spawn(reporting).detach();
    rx
}

/// Commits a command, which is idempotent, until its group confirms it.
async fn commit_report(turns: &dyn TurnClient, command: SuspectCommand) -> TurnReply {
    loop {
        match turns.commit(TurnCommand::Suspect(command.clone())).await {
            Ok(reply) => return reply,
            Err(error) => {
                warn!("fingerprint={} could not be reported yet: {error}.", command.fingerprint());
            }
        }
        Timer::after(REPORT_RETRY_DELAY).await;
    }
}

fn forget_unreported(unreported: &mut HashMap<Fingerprint, usize>, fingerprint: Fingerprint) {
    if let Some(losses) = unreported.get_mut(&fingerprint) {
        *losses -= 1;
        if *losses == 0 {
            unreported.remove(&fingerprint);
        }
    }
}
