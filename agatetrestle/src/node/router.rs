//! Finds the leader of a group and forwards requests to it, from any node.
//!
//! Every command is idempotent: the ledger records attempts and the control state change IDs. A request without an answer
//! is therefore retried until its deadline, and only then reported as unknown.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::Either;
use futures::future::select;
use log::info;
use log::warn;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;
use crate::clock::Timestamp;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::breaker::Admission;
use crate::node::breaker::CircuitBreaker;
use crate::node::links::Links;
use crate::node::peer_link::CallDeadlines;
use crate::node::peer_link::LinkError;
use crate::node::peer_link::PeerLink;
use crate::node::refusal_rate::RefusalRate;
use crate::node::service::GroupService;
use crate::node::service::Submission;
use crate::node::wire::read_submission;
use crate::ports::GroupError;

/// Initial delay before a request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Limit of the exponential backoff from [`RETRY_DELAY`]. All nodes retry at the same time when a leader is lost, and
/// without backoff they would overload the group.
const MAX_RETRY_DOUBLINGS: u32 = 2;
/// The same while a leader is busy, which retries make worse. A refused command waits up to 320 ms, a quarter of what a
/// caller has for the end of its turn.
const MAX_BUSY_RETRY_DOUBLINGS: u32 = 4;
/// Part of a delay that is drawn at random.
const MAX_JITTER_PERCENT: u32 = 50;
/// Time after a busy leader's refusal for which no early answers are asked for.
const EARLY_ANSWER_PAUSE: Duration = Duration::from_millis(500);
/// Time without an answer after which the other holders are queried for the leader. Longer than a commit, and shorter than
/// the timeout of an attempt.
const SEARCH_DELAY: Duration = Duration::from_millis(100);

/// How often a long question checks whether the leader was replaced.
const LEADER_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Why new work is refused while the circuit breaker is open.
const UNREACHABLE: &str = "no replica of the group answers";

/// Routes requests to the leader of one group.
pub struct Router {
    group: GroupId,
    node: NodeId,
    local: Option<Rc<dyn GroupService>>,
    links: Rc<Links>,
    holders: RefCell<Vec<NodeId>>,
    leader_hint: Cell<Option<NodeId>>,
    /// Until when early answers are not asked for.
    no_early_answers_until: Cell<Timestamp>,
    refusal_rate: RefCell<RefusalRate>,
    /// Whether a request is searching for the leader; others wait for its result.
    searching: Cell<bool>,
    breaker: RefCell<CircuitBreaker>,
    time: Rc<dyn Time>,
    timeouts: RequestTimeouts,
}

/// Clears [`Router::searching`] when dropped.
struct SearchGuard<'a>(&'a Cell<bool>);

impl Drop for SearchGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Ends a probe when dropped.
struct ProbeGuard<'a>(&'a RefCell<CircuitBreaker>);

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().end_probe();
    }
}

/// What to do when the leader's queue is full, or the group is unreachable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BusyPolicy {
    /// Retry until a leader accepts the request or its timeout ends. Ends of turns must be recorded, so they keep trying, and
    /// may be the first to reach the group again.
    Retry,
    /// Fail at once.
    Fail,
}

/// Delays between the retries of a request, with exponential backoff. The jitter is drawn from the request, so that requests
/// that failed together do not return together.
struct Backoff {
    retries: u32,
    seed: u64,
}

impl Backoff {
    fn new(request: &[u8]) -> Self {
        Self { retries: 0, seed: xxh3_64(request) }
    }

    /// The delay before the next retry, of which up to half is jitter.
    fn next_delay(&mut self, max_doublings: u32) -> Duration {
        let longest = RETRY_DELAY * 2_u32.pow(self.retries.min(max_doublings));
        self.retries += 1;
        let jitter =
            xxh3_64_with_seed(&self.retries.to_le_bytes(), self.seed) % u64::from(MAX_JITTER_PERCENT);
        longest * (100 - u32::try_from(jitter).unwrap_or(0)) / 100
    }
}

/// The timeouts of a router.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimeouts {
    /// Timeout of one attempt. Retries are safe, so it is only somewhat longer than a leader takes to answer.
    pub attempt: Duration,
    /// Timeout of a request with all its attempts.
    pub request: Duration,
    /// The same for a request that must be recorded. Its caller may stop waiting before.
    pub recorded: Duration,
}

impl Router {
    /// Creates a router to the group that `holders` have replicas of; `local` is the replica of this node, if any.
    #[must_use]
    pub fn new(
        group: GroupId,
        node: NodeId,
        local: Option<Rc<dyn GroupService>>,
        links: Rc<Links>,
        holders: &[NodeId],
        time: Rc<dyn Time>,
        timeouts: RequestTimeouts,
    ) -> Self {
        let router = Self {
            group,
            node,
            local,
            links,
            holders: RefCell::default(),
            leader_hint: Cell::new(None),
            no_early_answers_until: Cell::default(),
            refusal_rate: RefCell::default(),
            searching: Cell::new(false),
            breaker: RefCell::default(),
            time,
            timeouts,
        };
        router.set_holders(holders);
        router
    }

    /// Replaces the holders. This node goes first if it is one of them.
    pub fn set_holders(&self, holders: &[NodeId]) {
        let mut holders = holders.to_vec();
        holders.sort_by_key(|holder| *holder != self.node);
        self.holders.replace(holders);
    }

    /// Forwards an encoded request and returns the encoded reply.
    ///
    /// # Errors
    ///
    /// Fails with [`GroupError::NotProposed`] if the request certainly did not enter the log, else with
    /// [`GroupError::Unknown`].
    pub async fn submit(&self, request: Vec<u8>) -> Result<Vec<u8>, GroupError> {
        self.forward(request, BusyPolicy::Retry).await
    }

    /// Forwards a request as [`Router::submit`] does, but fails at once if the leader's queue is full or the group is
    /// unreachable. For new work.
    ///
    /// # Errors
    ///
    /// As [`Router::submit`].
    pub async fn try_submit(&self, request: Vec<u8>) -> Result<Vec<u8>, GroupError> {
        self.forward(request, BusyPolicy::Fail).await
    }

    /// Forwards a request as [`Router::try_submit`] does, and asks the known leader with `query` for an early answer to it,
    /// which is sent to `early` if there is one before the reply.
    ///
    /// # Errors
    ///
    /// As [`Router::submit`].
    pub async fn try_submit_early(
        &self,
        request: Vec<u8>,
        query: &[u8],
        early: oneshot::Sender<Vec<u8>>,
    ) -> Result<Vec<u8>, GroupError> {
        // Polled first, so that the request is sent before the query about it.
        let forwarding = pin!(self.forward(request, BusyPolicy::Fail));
        match select(forwarding, pin!(self.ask_early(query))).await {
            Either::Left((reply, _)) => reply,
            Either::Right((answer, forwarding)) => {
                if let Some(answer) = answer {
                    // A caller that left has dropped the receiver.
                    let _ = early.send(answer);
                } else {
                    drop(early);
                }
                forwarding.await
            }
        }
    }

    /// Returns the early answer of the known leader; `None` if it gives none or runs a build without early answers.
    async fn ask_early(&self, query: &[u8]) -> Option<Vec<u8>> {
        if self.time.now() < self.no_early_answers_until.get() {
            return None;
        }
        let link = self.links.get(self.leader_hint.get()?)?;
        let group = self.group.early_answers();
        match submit_remotely(&link, self.timeouts.attempt, group, query).await {
            Ok(Submission::Applied(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Asks the next holder in turn, or the known leader if `prefers_leader` is set, through another address of the group. Does
    /// not retry, and ends early if another leader becomes known.
    pub async fn ask_once(
        &self,
        group: GroupId,
        request: &[u8],
        deadline: Duration,
        prefers_leader: bool,
        cursor: &mut usize,
    ) -> Submission {
        if self.holders.borrow().is_empty() {
            return Submission::NotLeader(None);
        }
        let known = self.leader_hint.get();
        let target = known.filter(|_| prefers_leader).unwrap_or_else(|| self.next_holder(cursor, None));
        let Some(link) = self.links.get(target) else {
            return Submission::NotLeader(None);
        };
        let answer = submit_remotely(&link, deadline, group, request);
        // Answers may take long, so a replaced leader is noticed by what other requests learn.
        let replaced = async {
            let is_news = |leader: &NodeId| *leader != target && Some(*leader) != known;
            while !self.leader_hint.get().as_ref().is_some_and(is_news) {
                self.time.sleep(LEADER_POLL_INTERVAL).await;
            }
            Submission::NotLeader(self.leader_hint.get())
        };
        match select(pin!(answer), pin!(replaced)).await {
            Either::Left((Err(error), _)) => Submission::Unreachable(error.to_string().into()),
            Either::Left((Ok(submission), _)) | Either::Right((submission, _)) => submission,
        }
    }

    async fn forward(&self, request: Vec<u8>, policy: BusyPolicy) -> Result<Vec<u8>, GroupError> {
        let admission = match policy {
            BusyPolicy::Retry => Admission::Pass,
            BusyPolicy::Fail => self.breaker.borrow_mut().admit(),
        };
        if admission == Admission::Refuse {
            return Err(GroupError::NotProposed { reason: UNREACHABLE.into(), retry_after: None });
        }
        let probe = (admission == Admission::Probe).then(|| ProbeGuard(&self.breaker));
        let start = self.time.now();
        let timeout = match policy {
            BusyPolicy::Retry => self.timeouts.recorded,
            BusyPolicy::Fail => self.timeouts.request,
        };
        let mut ambiguous = false;
        let mut suspect = None;
        let mut reason: Arc<str> = "the group has no replica".into();
        let mut cursor = 0;
        let mut backoff = Backoff::new(&request);
        while self.time.now().since(start) < timeout {
            if policy == BusyPolicy::Fail && probe.is_none() && self.breaker.borrow().is_open() {
                reason = UNREACHABLE.into();
                break;
            }
            if self.holders.borrow().is_empty() {
                // A process that has just started learns the holders after a short time.
                self.time.sleep(RETRY_DELAY).await;
                continue;
            }
            let target = self.leader_hint.get().unwrap_or_else(|| self.next_holder(&mut cursor, suspect));
            let mut max_doublings = MAX_RETRY_DOUBLINGS;
            let left = timeout.saturating_sub(self.time.now().since(start));
            let (submission, abandoned) = self.try_or_search(target, &request, left).await;
            ambiguous |= abandoned;
            match submission {
                Submission::Applied(reply) => {
                    if policy == BusyPolicy::Fail {
                        self.refusal_rate.borrow_mut().record(self.time.now(), false);
                    }
                    return Ok(reply);
                }
                Submission::NotLeader(leader) => {
                    let named = leader.filter(|leader| *leader != target);
                    let hint = named.filter(|leader| Some(*leader) != suspect);
                    self.leader_hint.set(hint);
                    reason = "the group has no leader".into();
                    if hint.is_some() {
                        continue;
                    }
                    if named.is_some() {
                        // It may only be slow, and is asked again after the delay.
                        suspect = None;
                        reason = "the leader is silent".into();
                    }
                }
                Submission::Refused(text) => {
                    self.no_early_answers_until.set(self.time.now() + EARLY_ANSWER_PAUSE);
                    if policy == BusyPolicy::Fail && !ambiguous {
                        let mut rate = self.refusal_rate.borrow_mut();
                        rate.record(self.time.now(), true);
                        let retry_after = Some(rate.retry_after(xxh3_64(&request)));
                        return Err(GroupError::NotProposed { reason: text, retry_after });
                    }
                    // Usually the leader's queue is full.
                    max_doublings = MAX_BUSY_RETRY_DOUBLINGS;
                    reason = text;
                }
                Submission::Unreachable(text) => {
                    self.leader_hint.set(None);
                    reason = text;
                }
                Submission::Unknown(text) => {
                    self.leader_hint.set(None);
                    // A follower may name an unresponsive leader until another is elected.
                    suspect = Some(target);
                    ambiguous = true;
                    reason = text;
                }
            }
            self.time.sleep(backoff.next_delay(max_doublings)).await;
        }
        if ambiguous {
            return Err(GroupError::Unknown { reason });
        }
        Err(GroupError::NotProposed { reason, retry_after: None })
    }

    /// Returns the next holder in turn, skipping `suspect` if there are others.
    fn next_holder(&self, cursor: &mut usize, suspect: Option<NodeId>) -> NodeId {
        let holders = self.holders.borrow();
        let next = holders[*cursor % holders.len()];
        *cursor += 1;
        if Some(next) != suspect || holders.len() == 1 {
            return next;
        }
        drop(holders);
        self.next_holder(cursor, suspect)
    }

    /// Sends the request to one holder, and searches for another leader if there is no answer within [`SEARCH_DELAY`]. Waits
    /// for up to `left` while the holder answers other requests, since a copy would only add to what it has to do. Also
    /// returns whether the search ended first, so that the holder may still execute the request.
    async fn try_or_search(&self, target: NodeId, request: &[u8], left: Duration) -> (Submission, bool) {
        let attempt = pin!(self.send_once(target, request, left));
        let attempt = match select(attempt, self.time.sleep(SEARCH_DELAY)).await {
            Either::Left((submission, _)) => return (self.record_leader(target, submission), false),
            Either::Right(((), attempt)) => attempt,
        };
        match select(attempt, pin!(self.find_other_leader(target, request))).await {
            Either::Left((submission, _)) => (self.record_leader(target, submission), false),
            Either::Right((submission, _)) => (submission, true),
        }
    }

    fn record_leader(&self, target: NodeId, submission: Submission) -> Submission {
        if matches!(submission, Submission::Applied(_)) {
            self.leader_hint.set(Some(target));
        }
        submission
    }

    /// Sends the request to the other holders until one of them is the leader or names one other than `silent`; never
    /// returns otherwise. The request may be sent twice, which is safe. Only one request searches at a time, and the
    /// others use its result.
    async fn find_other_leader(&self, silent: NodeId, request: &[u8]) -> Submission {
        let mut backoff = Backoff::new(request);
        loop {
            if let Some(leader) = self.leader_hint.get().filter(|leader| *leader != silent) {
                return Submission::NotLeader(Some(leader));
            }
            // Held during the delay too, so that the requests that wait do not search in turn.
            let search = (!self.searching.replace(true)).then(|| SearchGuard(&self.searching));
            if search.is_some()
                && let Some(submission) = self.ask_others(silent, request).await
            {
                return submission;
            }
            self.time.sleep(backoff.next_delay(MAX_RETRY_DOUBLINGS)).await;
            drop(search);
        }
    }

    /// Sends the request to each other holder once; `None` if none of them is the leader or names another than `silent`.
    async fn ask_others(&self, silent: NodeId, request: &[u8]) -> Option<Submission> {
        let others: Vec<NodeId> =
            self.holders.borrow().iter().copied().filter(|node| *node != silent).collect();
        for other in others {
            match self.send_once(other, request, self.timeouts.attempt).await {
                Submission::Applied(reply) => {
                    return Some(self.record_leader(other, Submission::Applied(reply)));
                }
                Submission::NotLeader(Some(leader)) if leader != silent => {
                    self.leader_hint.set(Some(leader));
                    return Some(Submission::NotLeader(Some(leader)));
                }
                _ => {}
            }
        }
        None
    }

    async fn send_once(&self, target: NodeId, request: &[u8], left: Duration) -> Submission {
        if target == self.node
            && let Some(local) = &self.local
        {
            return local.submit(request.to_vec()).await;
        }
        let Some(link) = self.links.get(target) else {
            return Submission::NotLeader(None);
        };
        let sent_at = self.time.now();
        let deadlines = CallDeadlines { silence: self.timeouts.attempt, total: left };
        match submit_remotely(&link, deadlines, self.group, request).await {
            Ok(submission) => {
                self.record_answer(&submission);
                submission
            }
            Err(error) => {
                self.record_failure(target, sent_at);
                let reason = error.to_string().into();
                if error.is_unsent() { Submission::Unreachable(reason) } else { Submission::Unknown(reason) }
            }
        }
    }

    fn record_answer(&self, submission: &Submission) {
        let mut breaker = self.breaker.borrow_mut();
        match submission {
            Submission::Applied(_) | Submission::Refused(_) => {
                if breaker.record_leader() {
                    info!("Group {} is reachable again.", self.group.0);
                }
            }
            _ => breaker.record_answer(),
        }
    }

    fn record_failure(&self, target: NodeId, sent_at: Timestamp) {
        let replicas = self.holders.borrow().len();
        if self.breaker.borrow_mut().record_failure(target, replicas, sent_at, self.time.now()) {
            warn!("Group {} is unreachable: no replica answers; refusing new work.", self.group.0);
        }
    }
}

/// Sends a request to one replica, without retries.
pub(crate) async fn submit_remotely(
    link: &PeerLink,
    deadlines: impl Into<CallDeadlines>,
    group: GroupId,
    command: &[u8],
) -> Result<Submission, LinkError> {
    link.call_within(deadlines, |client| {
        let mut request = client.submit_request();
        request.get().set_group(group.0);
        request.get().set_command(command);
        let sent = request.send();
        async move {
            let response = sent.promise.await?;
            read_submission(response.get()?.get_submission()?)
        }
    })
    .await
}

#[cfg(test)]
mod tests;
