//! Streams that callers resume after a broken connection.
//!
//! Servers of several software versions serve side by side, and their output does not fit together. A stream therefore goes
//! on only at the version that began it, which its state group knows, or not at all; see
//! docs/design/025-software-versions-of-streams.md.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::codec::Blob;
use crate::gateway::Gateway;
use crate::gateway::context::ErrorResponse;
use crate::gateway::context::FAILOVER_RETRY_AFTER;
use crate::gateway::context::RequestContext;
use crate::gateway::reserve;
use crate::gateway::reserve::error_response;
use crate::gateway::reserve::millis;
use crate::gateway::wire::RequestMetadata;
use crate::routing::Route;
use crate::routing::RouteKind;
use crate::suspects::Fingerprint;
use crate::turns::command::ReadStream;
use crate::turns::command::RecordStream;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnId;
use crate::turns::command::TurnReply;
use crate::turns::relayed::ReadEvents;
use crate::turns::relayed::ReceivedEvents;
use crate::turns::streams::StreamOrigin;
use crate::turns::streams::StreamStart;

/// What an attempt of a resumable stream is bound to.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamBinding {
    /// The version at which the stream has to go on, if the attempt resumes it.
    pub(super) required: Option<Arc<str>>,
    /// The version that is recorded for the attempt, and how many were before.
    recorded: Option<(Arc<str>, u32)>,
    /// The request, under which the attempt is recorded for callers that do not name it.
    request: Option<Fingerprint>,
}

impl StreamBinding {
    /// A binding of an attempt at a request to the version at which the stream has to go on, if any.
    pub(super) fn new(required: Option<Arc<str>>, request: Fingerprint) -> Self {
        Self { required, recorded: None, request: Some(request) }
    }

    /// The start to record before a server of this version is sent the attempt; `None` if it is recorded already. `timeout` is
    /// how long the caller waits, which bounds the time in which it may resume.
    pub(super) fn start(
        &mut self,
        service: &Arc<str>,
        version: Arc<str>,
        timeout: Duration,
    ) -> Option<StreamStart> {
        let revision = match &self.recorded {
            Some((recorded, _)) if *recorded == version => return None,
            Some((_, revision)) => revision + 1,
            None => 0,
        };
        self.recorded = Some((version.clone(), revision));
        let origin = StreamOrigin { service: service.clone(), version };
        Some(StreamStart { origin, resumable_ms: millis(timeout), revision, request: self.request })
    }
}

/// A stream that a request resumes.
#[derive(Clone, Debug)]
pub(super) struct Resumption {
    /// Where it began.
    pub(super) origin: StreamOrigin,
    /// What the caller has received, if the turn is to be retained.
    pub(super) received: Option<Received>,
}

/// What the caller of a turn has received before it resumes it.
#[derive(Clone, Debug)]
pub(super) struct Received {
    /// The attempt that brought its first event.
    pub(super) root: TurnId,
    /// ID of the last event.
    pub(super) last_event: Arc<str>,
    /// The data of each event, followed by a line feed.
    pub(super) text: Blob,
}

/// Whether callers may resume the streams of a route.
pub(super) fn is_resumable(route: &Route) -> bool {
    matches!(route.kind, RouteKind::Streaming { resumable: true })
}

/// Returns the stream that a request resumes; `None` if it resumes none.
///
/// # Errors
///
/// 503 if it is not known, or if the route in force does not allow it (any more).
pub(super) async fn find_stream(
    gateway: &Gateway,
    route: &Route,
    metadata: &RequestMetadata,
    request: Fingerprint,
    deadline: Timestamp,
) -> Result<Option<Resumption>, ErrorResponse> {
    let resumes = metadata.resumes.as_ref();
    if !is_resumable(route) {
        // The caller may know the route from another version of the table.
        return resumes.map_or(Ok(None), |_| Err(refusal("streams of the route may not be resumed")));
    }
    if resumes.is_none() && !metadata.has_last_event {
        return Ok(None);
    }
    // A turn that is retained needs what its caller has received already.
    if let (Some(_), Some(program), true) = (route.retention, &metadata.program, metadata.has_last_event) {
        let Some(last_event) = metadata.last_event.clone() else {
            return Err(refusal("the request names no event after which it goes on"));
        };
        let root = resumes.cloned().unwrap_or_default();
        let read = ReadEvents { program: program.clone(), root, request, last_event };
        let resumption = read_events(gateway, read, deadline).await?;
        return check_service(route, resumption).map(Some);
    }
    let read = match (resumes, &metadata.program) {
        (Some(first), program) => {
            let program = program.as_ref().unwrap_or(first).clone();
            ReadStream { program, turn: first.clone(), request: None }
        }
        (None, Some(program)) => {
            ReadStream { program: program.clone(), turn: TurnId::default(), request: Some(request) }
        }
        (None, None) => return Err(refusal("the request names no attempt and no program to find it by")),
    };
    let Some(origin) = read_origin(gateway, read, deadline).await? else {
        return Err(refusal("the software version that began the stream is not known"));
    };
    check_service(route, Resumption { origin, received: None }).map(Some)
}

fn check_service(route: &Route, resumption: Resumption) -> Result<Resumption, ErrorResponse> {
    if !route.targets.iter().any(|target| target.service == resumption.origin.service) {
        return Err(refusal("the route does not lead to the service that began the stream any more"));
    }
    Ok(resumption)
}

fn refusal(reason: &str) -> ErrorResponse {
    ErrorResponse::not_run(reason, FAILOVER_RETRY_AFTER)
}

/// Reads where a stream began from its state group.
async fn read_origin(
    gateway: &Gateway,
    read: ReadStream,
    deadline: Timestamp,
) -> Result<Option<StreamOrigin>, ErrorResponse> {
    match reserve::commit_before_sending(gateway, TurnCommand::ReadStream(read), deadline).await? {
        TurnReply::Stream(origin) => Ok(origin),
        reply => Err(error_response(&reply)),
    }
}

/// Reads what the caller of an unfinished turn has received from its state group.
async fn read_events(
    gateway: &Gateway,
    read: ReadEvents,
    deadline: Timestamp,
) -> Result<Resumption, ErrorResponse> {
    let last_event = read.last_event.clone();
    match reserve::commit_before_sending(gateway, TurnCommand::ReadEvents(read), deadline).await? {
        TurnReply::Received(Some(ReceivedEvents { origin, root, text })) => {
            Ok(Resumption { origin, received: Some(Received { root, last_event, text }) })
        }
        TurnReply::Received(None) => Err(refusal("the events that the caller has received are not known")),
        reply => Err(error_response(&reply)),
    }
}

/// Records where an attempt begins, which must be complete before the attempt is sent.
///
/// # Errors
///
/// 503 if the state group does not confirm the record.
pub(super) async fn record_start(
    gateway: &Gateway,
    ctx: &RequestContext,
    start: StreamStart,
) -> Result<(), ErrorResponse> {
    let program = ctx.metadata.program.as_ref().unwrap_or(&ctx.attempt_id).clone();
    let command = TurnCommand::RecordStream(RecordStream { program, turn: ctx.attempt_id.clone(), start });
    match reserve::commit_before_sending(gateway, command, ctx.deadline).await? {
        TurnReply::Recorded => Ok(()),
        reply => Err(error_response(&reply)),
    }
}
