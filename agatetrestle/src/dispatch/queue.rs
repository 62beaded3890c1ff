//! Queues of the requests that wait for a server.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle_config::deployment::Decisions;

use crate::clock::Timestamp;
use crate::dispatch::Decision;
use crate::dispatch::Dispatch;
use crate::dispatch::INITIAL_SERVICE_TIME;
use crate::dispatch::LOAD_TTL_RANGE;
use crate::dispatch::RETRY_AFTER_RANGE;
use crate::dispatch::RejectReason;
use crate::dispatch::Request;
use crate::dispatch::ServerKey;
use crate::dispatch::response_starts::ResponseStarts;
use crate::health::failure_rates::FailureRates;

/// Queue order: requests that already miss their `finish_by` last, then by priority, requests of started programs
/// first, then by `finish_by` and ticket.
pub(super) type QueueRank = (bool, u8, bool, Timestamp, u64);

#[derive(Debug)]
pub(super) struct Queue {
    pub(super) waiting: BTreeMap<QueueRank, Request>,
    /// Moving average of the time from sending a request to the end of its response.
    pub(super) service_time: Duration,
    /// Failure rates of the healthy servers.
    pub(super) failure_rates: FailureRates,
    pub(super) response_starts: ResponseStarts,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            service_time: INITIAL_SERVICE_TIME,
            failure_rates: FailureRates::default(),
            response_starts: ResponseStarts::default(),
        }
    }
}

impl Dispatch {
    pub(super) fn dispatch_all(&mut self, now: Timestamp) -> Vec<Decision> {
        let services: Vec<Arc<str>> = self.queues.keys().cloned().collect();
        services.iter().flat_map(|service| self.dispatch_queue(now, service, None)).collect()
    }

    /// Sends as many requests of a service as possible in queue order, then rejects those that would be late. `added`
    /// is the request that has just been submitted.
    pub(super) fn dispatch_queue(
        &mut self,
        now: Timestamp,
        service: &Arc<str>,
        added: Option<u64>,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let Some(mut queue) = self.queues.remove(service) else {
            return decisions;
        };
        let mut remaining = BTreeMap::new();
        while let Some((rank, request)) = queue.waiting.pop_first() {
            if request.deadline <= now {
                decisions.push(reject(&request, queue.service_time, RejectReason::TooLate));
                continue;
            }
            match self.choose(now, &request, queue.service_time) {
                Some(server) if self.misses_deadline(now, server, &request, queue.service_time) => {
                    decisions.push(reject(&request, queue.service_time, RejectReason::TooLate));
                }
                Some(server) => {
                    self.assign(now, server, &request);
                    decisions.push(Decision::Send { ticket: request.ticket, server });
                }
                None if request.accepts_any_server() && !request.isolated => {
                    remaining.insert(rank, request);
                    remaining.append(&mut queue.waiting);
                }
                None => {
                    remaining.insert(rank, request);
                }
            }
        }
        queue.waiting = remaining;
        decisions.extend(self.reject_late(now, service, &mut queue, added));
        self.queues.insert(service.clone(), queue);
        decisions
    }

    /// Whether a request would wait at a server for so long that its response would miss the deadline.
    fn misses_deadline(
        &self,
        now: Timestamp,
        server: ServerKey,
        request: &Request,
        service_time: Duration,
    ) -> bool {
        let load_ttl = service_time.clamp(LOAD_TTL_RANGE.0, LOAD_TTL_RANGE.1);
        let wait = self.servers[server].known_wait(now, load_ttl, service_time);
        !wait.is_zero() && now + wait + service_time > request.deadline
    }

    /// Rejects queued requests that would miss their deadlines at the current rate of service. Requests accepted
    /// earlier count with half the queueing delay, since completions come in bursts and the rate may only seem low.
    fn reject_late(
        &self,
        now: Timestamp,
        service: &Arc<str>,
        queue: &mut Queue,
        added: Option<u64>,
    ) -> Vec<Decision> {
        if queue.waiting.is_empty() || self.policy == Decisions::NoRejection {
            return Vec::new();
        }
        let concurrency = self.in_flight(service).max(1);
        let mut available_to_any = None;
        let mut decisions = Vec::new();
        let mut ahead = 0_u32;
        queue.waiting.retain(|_, request| {
            let available_in = if request.accepts_any_server() {
                *available_to_any.get_or_insert_with(|| self.time_until_accepted(now, request))
            } else {
                self.time_until_accepted(now, request)
            };
            let Some(backoff) = available_in else {
                decisions.push(reject(request, queue.service_time, RejectReason::NoServer));
                return false;
            };
            let queue_delay = queue.service_time * (ahead + 1) / concurrency;
            let wait = backoff + queue_delay;
            let is_new = Some(request.ticket) == added;
            let expected_wait = if is_new { wait } else { backoff + queue_delay / 2 };
            let in_time = now + expected_wait + queue.service_time <= request.deadline;
            let wait_acceptable = request.started || !is_new || wait <= request.max_wait;
            if in_time && wait_acceptable {
                ahead += 1;
                return true;
            }
            decisions.push(reject(request, wait, RejectReason::TooLate));
            false
        });
        decisions
    }
}

pub(super) fn reject(request: &Request, wait: Duration, reason: RejectReason) -> Decision {
    let retry_after = wait.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
    Decision::Reject { ticket: request.ticket, retry_after, reason }
}
