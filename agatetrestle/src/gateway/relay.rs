//! Passing an answer on: whole if it is short, event by event if it is a stream.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::clock::Timestamp;
use crate::dispatch::RequestOutcome;
use crate::gateway::Gateway;
use crate::gateway::UnderWay;
use crate::gateway::attempt::Sent;
use crate::gateway::attempt::drop_connection_headers;
use crate::gateway::events::EventReader;
use crate::gateway::job::Job;
use crate::gateway::job::keeping;
use crate::gateway::place::Place;
use crate::gateway::trail::CALLER_LEFT;
use crate::gateway::trail::Trail;
use crate::gateway::turn::Keeping;
use crate::gateway::turn::OpenTurn;
use crate::node::peer_link::within;
use crate::transport::body::AnswerBody;
use crate::transport::body::Cut;
use crate::transport::body::Pieces;
use crate::transport::client::Lease;

/// An answer up to this size is read whole before any of it is passed on, so that one that breaks off can still be
/// replaced by that of another server.
const SHORT: usize = 256 << 10;
/// Bytes of one event beyond which a stream is no stream of events.
const LONGEST_EVENT: usize = 1 << 20;

/// The body of an answer as it comes from a server, with everything that ends with it.
struct Flow {
    gateway: Rc<Gateway>,
    place: Option<Place>,
    lease: Option<Lease>,
    body: Incoming,
    headers: HeaderMap,
    until: Timestamp,
    sent_at: Timestamp,
    arrived: Timestamp,
    status: u16,
    logged: bool,
    trail: Trail,
    _under_way: UnderWay,
}

/// Why a body ended before its end.
type Broken = &'static str;

impl Flow {
    /// The next bytes, or none at the end of a whole body.
    async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        loop {
            let left = self.until.since(self.gateway.clock.now());
            match within(left, self.body.frame()).await {
                None => return Err("the time of the answer is up"),
                Some(Some(Err(_))) => return Err("the server broke off"),
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(None) => return Ok(None),
            }
        }
    }

    /// Gives place and connection back after a whole answer.
    fn complete(&mut self) {
        let took = self.gateway.clock.now().since(self.sent_at);
        if let Some(place) = self.place.take() {
            let failed = self.status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16();
            place.release(if failed {
                RequestOutcome::ServerError(took)
            } else {
                RequestOutcome::Completed(took)
            });
        }
        if let Some(lease) = self.lease.take() {
            self.gateway.client.keep(lease, &self.headers);
        }
    }

    /// Gives the place back and closes the connection, on which more of the answer may come.
    fn fail(&mut self) {
        self.lease = None;
        if let Some(place) = self.place.take() {
            place.release(RequestOutcome::BadResponse);
        }
    }

    fn log(&mut self, outcome: &str) {
        self.logged = true;
        let took = self.gateway.clock.now().since(self.arrived);
        self.trail.end(&self.gateway, self.status, outcome, took);
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        if !self.logged {
            self.log(CALLER_LEFT);
        }
    }
}

/// Passes an answer on.
///
/// # Errors
///
/// Says why a short answer broke off, of which the caller has seen nothing.
pub(super) async fn answer(
    gateway: &Rc<Gateway>,
    job: &Job,
    sent: Sent,
    turn: &mut Option<OpenTurn>,
    trail: &Trail,
) -> Result<Response<AnswerBody>, String> {
    let Sent { place, lease, response, at: sent_at } = sent;
    let (mut head, body) = response.into_parts();
    let status = head.status;
    let headers = head.headers.clone();
    drop_connection_headers(&mut head.headers);
    let length = body.size_hint().exact();
    let flow = Flow {
        gateway: gateway.clone(),
        place: Some(place),
        lease: Some(lease),
        body,
        headers,
        until: job.until,
        sent_at,
        arrived: job.arrived,
        status: status.as_u16(),
        logged: false,
        trail: trail.clone(),
        _under_way: UnderWay::new(gateway),
    };
    if job.route.is_streaming() && status.is_success() {
        let stream = EventStream {
            flow,
            reader: EventReader::default(),
            turn: turn.take(),
            keeping: keeping(job),
            tokens_per_event: job.tokens_per_event,
            program: job.call.program.clone(),
            ended: false,
        };
        let body = AnswerBody::Pieces(stream.into_pieces(), None);
        return Ok(Response::from_parts(head, body));
    }
    let body = read_short(flow, length).await?;
    Ok(Response::from_parts(head, body))
}

/// Reads a short answer whole; a long one is passed on from where it got long.
async fn read_short(mut flow: Flow, length: Option<u64>) -> Result<AnswerBody, String> {
    let mut read = BytesMut::new();
    while read.len() <= SHORT {
        match flow.next().await {
            Ok(Some(data)) => read.extend_from_slice(&data),
            Ok(None) => {
                flow.complete();
                flow.log("whole");
                return Ok(AnswerBody::whole(read.freeze()));
            }
            Err(reason) => {
                flow.fail();
                // The request may be tried elsewhere; its line comes with what is then answered.
                flow.logged = true;
                return Err(reason.into());
            }
        }
    }
    let first = read.freeze();
    let pieces = futures::stream::unfold((flow, Some(first)), |(mut flow, first)| async move {
        if let Some(first) = first {
            return Some((Ok(first), (flow, None)));
        }
        match flow.next().await {
            Ok(Some(data)) => Some((Ok(data), (flow, None))),
            Ok(None) => {
                flow.complete();
                flow.log("whole");
                None
            }
            Err(reason) => {
                flow.fail();
                flow.log(reason);
                Some((Err(Cut), (flow, None)))
            }
        }
    });
    Ok(AnswerBody::Pieces(Box::pin(pieces), length))
}

/// A stream of events on its way to a caller.
struct EventStream {
    flow: Flow,
    reader: EventReader,
    turn: Option<OpenTurn>,
    keeping: Option<Keeping>,
    tokens_per_event: u64,
    program: Option<Arc<str>>,
    ended: bool,
}

impl EventStream {
    fn into_pieces(self) -> Pieces {
        let pieces = futures::stream::unfold(Some(self), |stream| async move {
            let mut stream = stream?;
            match stream.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(stream))),
                Ok(None) => {
                    let ended = stream.end().await;
                    ended.err().map(|cut| (Err(cut), None))
                }
                Err(reason) => {
                    stream.flow.fail();
                    stream.flow.log(reason);
                    Some((Err(Cut), None))
                }
            }
        });
        Box::pin(pieces)
    }

    /// The next whole event; a part of one is never passed on, unless the stream ends whole with it.
    async fn next(&mut self) -> Result<Option<Bytes>, Broken> {
        if self.ended {
            return Ok(None);
        }
        loop {
            if let Some(event) = self.reader.next_event() {
                if let Some(turn) = &mut self.turn {
                    turn.spend(self.tokens_per_event);
                }
                if let (Some(keeping), Some(data)) = (&mut self.keeping, event.data()) {
                    keeping.text.extend_from_slice(&data);
                    keeping.text.push(b'\n');
                }
                return Ok(Some(event.0));
            }
            if self.reader.pending() > LONGEST_EVENT {
                return Err("an event is too long");
            }
            let Some(data) = self.flow.next().await? else {
                self.ended = true;
                let rest = std::mem::take(&mut self.reader).rest();
                return Ok((!rest.is_empty()).then_some(rest));
            };
            self.reader.push(&data);
        }
    }

    /// Ends the answer once the turn is kept, if it is to be: from then on the caller may go on from it.
    async fn end(mut self) -> Result<(), Cut> {
        self.flow.complete();
        self.flow.gateway.note_turn(self.program.as_ref());
        if let Some(turn) = &mut self.turn {
            turn.note_run(self.flow.gateway.clock.now().since(self.flow.sent_at));
        }
        let (Some(turn), Some(keeping)) = (self.turn.take(), self.keeping.take()) else {
            self.flow.log("whole");
            return Ok(());
        };
        let asked = self.flow.gateway.clock.now();
        let kept = within(self.flow.until.since(asked), turn.keep(keeping)).await;
        self.flow.trail.finish = self.flow.gateway.clock.now().since(asked);
        match kept {
            Some(Ok(())) => {
                self.flow.log("whole and kept");
                Ok(())
            }
            Some(Err(failure)) => {
                self.flow.log(&format!("not kept: {failure}"));
                Err(Cut)
            }
            None => {
                self.flow.log("not kept in time");
                Err(Cut)
            }
        }
    }
}
