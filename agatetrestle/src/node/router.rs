//! Finds the leader of a group and forwards requests to it, from any node.
//!
//! Every command is idempotent: the ledger knows its attempts and the control state
//! its change ids. So a lost answer is followed by another try until the deadline, and only then
//! told as unknown.

use std::cell::Cell;
use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::Either;
use futures::future::select;
use smol::Timer;

use crate::clock::Clock;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::node::links::Links;
use crate::node::peer_link::LinkError;
use crate::node::peer_link::PeerLink;
use crate::node::service::GroupService;
use crate::node::service::Submission;
use crate::node::wire::read_submission;
use crate::ports::GroupError;

/// Time after which a request that found no leader is tried again; an election takes longer.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Doublings of [`RETRY_INTERVAL`] with each further try of one request. All nodes ask at the same time where a leader is lost or
/// late; 255 of them that asked every 20 ms took the processor time that the group needed to answer.
const MAX_DOUBLINGS: u32 = 2;
/// Time without an answer after which the other holders are asked whether another one leads by now. A commit takes 10 ms and
/// a try lasts 400 ms; one that was under way when its leader was lost waited 0.7 s for the next.
const SEARCH_DELAY: Duration = Duration::from_millis(100);

/// The way to one group.
pub struct Router {
    group: GroupId,
    node: NodeId,
    local: Option<Rc<dyn GroupService>>,
    links: Rc<Links>,
    order: RefCell<Vec<NodeId>>,
    hint: Cell<Option<NodeId>>,
    /// Whether a request asks the holders who leads.
    searching: Cell<bool>,
    clock: Clock,
    timeouts: RequestTimeouts,
}

/// A search under way; dropped, another request may search.
struct Search<'a>(&'a Cell<bool>);

impl Drop for Search<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// When a request that the leader has no room for is tried again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RetryRule {
    /// Until a leader accepts it or its time is up.
    UntilAccepted,
    /// Until a replica that leads has no room for it.
    UntilRefused,
}

/// The next pause of a request, longer with each.
fn pause(pauses: &mut u32) -> Duration {
    let pause = RETRY_INTERVAL * 2_u32.pow((*pauses).min(MAX_DOUBLINGS));
    *pauses += 1;
    pause
}

/// The timeouts of a router.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimeouts {
    /// Of one attempt. Repeating is safe, so this is short: a leader answers much sooner, and a frozen replica never
    /// does.
    pub attempt: Duration,
    /// Of a request with all its attempts.
    pub request: Duration,
}

impl Router {
    /// A way to a group by its holders; `local` is this node's replica if it is one of them.
    #[must_use]
    pub fn new(
        group: GroupId,
        node: NodeId,
        local: Option<Rc<dyn GroupService>>,
        links: Rc<Links>,
        holders: &[NodeId],
        clock: Clock,
        timeouts: RequestTimeouts,
    ) -> Self {
        let order = RefCell::default();
        let router = Self {
            group,
            node,
            local,
            links,
            order,
            hint: Cell::new(None),
            searching: Cell::new(false),
            clock,
            timeouts,
        };
        router.set_holders(holders);
        router
    }

    /// Replaces the holders that are asked for the leader.
    pub fn set_holders(&self, holders: &[NodeId]) {
        let mut order = holders.to_vec();
        order.sort_by_key(|holder| *holder != self.node);
        self.order.replace(order);
    }

    /// Forwards a coded request and returns the coded reply.
    ///
    /// # Errors
    ///
    /// [`GroupError::NotProposed`] if no replica can have let it into the log, else
    /// [`GroupError::Unknown`].
    pub async fn submit(&self, request: Vec<u8>) -> Result<Vec<u8>, GroupError> {
        self.forward(request, RetryRule::UntilAccepted).await
    }

    /// Forwards a request as [`Router::submit`] does, but fails at once if the leader's queue is full. For requests that
    /// begin something new.
    ///
    /// # Errors
    ///
    /// As [`Router::submit`].
    pub async fn try_submit(&self, request: Vec<u8>) -> Result<Vec<u8>, GroupError> {
        self.forward(request, RetryRule::UntilRefused).await
    }

    async fn forward(&self, request: Vec<u8>, rule: RetryRule) -> Result<Vec<u8>, GroupError> {
        let start = self.clock.now();
        let mut ambiguous = false;
        let mut suspect = None;
        let mut reason: Arc<str> = "the group has no replica".into();
        let mut turn = 0;
        let mut pauses = 0;
        while self.clock.now().since(start) < self.timeouts.request {
            if self.order.borrow().is_empty() {
                // A process that has just started is told of the holders a moment after the rest.
                Timer::after(RETRY_INTERVAL).await;
                continue;
            }
            let target = self.hint.get().unwrap_or_else(|| self.next_holder(&mut turn, suspect));
            match self.try_watched(target, &request).await {
                Submission::Applied(reply) => return Ok(reply),
                Submission::NotLeader(leader) => {
                    let hint = leader.filter(|leader| *leader != target && Some(*leader) != suspect);
                    self.hint.set(hint);
                    reason = "the group has no leader".into();
                    if hint.is_some() {
                        continue;
                    }
                }
                Submission::Refused(text) if rule == RetryRule::UntilRefused && !ambiguous => {
                    return Err(GroupError::NotProposed { reason: text });
                }
                // It leads and has no room now.
                Submission::Refused(text) => reason = text,
                Submission::Unreachable(text) => {
                    self.hint.set(None);
                    reason = text;
                }
                Submission::Unknown(text) => {
                    self.hint.set(None);
                    // A follower may name a frozen leader until it has elected another.
                    suspect = Some(target);
                    ambiguous = true;
                    reason = text;
                }
            }
            Timer::after(pause(&mut pauses)).await;
        }
        if ambiguous {
            return Err(GroupError::Unknown { reason });
        }
        Err(GroupError::NotProposed { reason })
    }

    /// The next holder in turn, but for the one that just missed its deadline if there are others.
    fn next_holder(&self, turn: &mut usize, suspect: Option<NodeId>) -> NodeId {
        let order = self.order.borrow();
        let next = order[*turn % order.len()];
        *turn += 1;
        if Some(next) != suspect || order.len() == 1 {
            return next;
        }
        drop(order);
        self.next_holder(turn, suspect)
    }

    /// Tries one holder; while it says nothing for long, the others are asked who leads.
    async fn try_watched(&self, target: NodeId, request: &[u8]) -> Submission {
        let trying = pin!(self.try_once(target, request));
        let trying = match select(trying, Timer::after(SEARCH_DELAY)).await {
            Either::Left((submission, _)) => return self.note(target, submission),
            Either::Right((_, trying)) => trying,
        };
        match select(trying, pin!(self.find_other(target, request))).await {
            Either::Left((submission, _)) => self.note(target, submission),
            Either::Right((submission, _)) => submission,
        }
    }

    fn note(&self, target: NodeId, submission: Submission) -> Submission {
        if matches!(submission, Submission::Applied(_)) {
            self.hint.set(Some(target));
        }
        submission
    }

    /// Asks the other holders in turn until one of them leads or names another leader than `silent`; without end otherwise.
    /// The request may thus be sent twice, which is safe. Of the requests that wait one asks, and the others see
    /// what it finds.
    async fn find_other(&self, silent: NodeId, request: &[u8]) -> Submission {
        let mut pauses = 0;
        loop {
            if let Some(leader) = self.hint.get().filter(|leader| *leader != silent) {
                return Submission::NotLeader(Some(leader));
            }
            if !self.searching.replace(true) {
                let search = Search(&self.searching);
                let others: Vec<NodeId> =
                    self.order.borrow().iter().copied().filter(|node| *node != silent).collect();
                for other in others {
                    match self.try_once(other, request).await {
                        Submission::Applied(reply) => return self.note(other, Submission::Applied(reply)),
                        Submission::NotLeader(Some(leader)) if leader != silent => {
                            self.hint.set(Some(leader));
                            return Submission::NotLeader(Some(leader));
                        }
                        _ => {}
                    }
                }
                drop(search);
            }
            Timer::after(pause(&mut pauses)).await;
        }
    }

    async fn try_once(&self, target: NodeId, request: &[u8]) -> Submission {
        if target == self.node
            && let Some(local) = &self.local
        {
            return local.submit(request.to_vec()).await;
        }
        let Some(link) = self.links.get(target) else {
            return Submission::NotLeader(None);
        };
        match submit_remotely(&link, self.timeouts.attempt, self.group, request).await {
            Ok(submission) => submission,
            Err(failure) if failure.is_unsent() => Submission::Unreachable(failure.to_string().into()),
            Err(failure) => Submission::Unknown(failure.to_string().into()),
        }
    }
}

/// Sends a request to one replica, once.
pub(crate) async fn submit_remotely(
    link: &PeerLink,
    deadline: Duration,
    group: GroupId,
    command: &[u8],
) -> Result<Submission, LinkError> {
    link.call_within(deadline, |client| {
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
