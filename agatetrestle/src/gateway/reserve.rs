//! Reserves turns and charges requests to team rate limits at the state groups before a request is sent.

use std::rc::Rc;
use std::time::Duration;

use agatetrestle_config::deployment::Placement;
use bytes::BytesMut;
use http::StatusCode;

use crate::clock::Timestamp;
use crate::dispatch;
use crate::dispatch::ServerKey;
use crate::gateway::Gateway;
use crate::gateway::commit::PendingCommit;
use crate::gateway::context::ErrorResponse;
use crate::gateway::context::FAILOVER_RETRY_AFTER;
use crate::gateway::context::RequestContext;
use crate::gateway::losses;
use crate::gateway::losses::Admission;
use crate::gateway::slot::ServerSlot;
use crate::gateway::turn::OpenTurn;
use crate::gateway::turn::Reservation;
use crate::node::peer_link::with_deadline;
use crate::ports::GroupError;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Candidate;
use crate::turns::command::MAX_CANDIDATES;
use crate::turns::command::RequestOrigin;
use crate::turns::command::Take;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;
use crate::turns::streams::StreamStart;

/// Whether a request has to reserve a turn, because it has a token budget or its route retains turns.
pub(super) fn needs_turn(ctx: &RequestContext) -> bool {
    let tracked = ctx.metadata.token_budget.is_some() || ctx.route.retention.is_some();
    ctx.route.is_streaming() && ctx.metadata.program.is_some() && tracked
}

fn has_rate_limit(ctx: &RequestContext) -> bool {
    ctx.team.as_ref().is_some_and(|team| team.rate_limit.is_some())
}

/// Charges a request that reserves no turn to its team's rate limit.
pub(super) async fn charge_team(gateway: &Rc<Gateway>, ctx: &RequestContext) -> Result<(), ErrorResponse> {
    if !has_rate_limit(ctx) {
        return Ok(());
    }
    let command = TurnCommand::Take(Take {
        team: ctx.team_name(),
        program: ctx.metadata.program.clone(),
        begins: false,
    });
    match commit_before_sending(gateway, command, ctx.deadline).await? {
        TurnReply::Taken => Ok(()),
        reply => Err(error_response(&reply)),
    }
}

/// Commits a command on behalf of a request that was sent to no server.
///
/// # Errors
///
/// 503 if the state group does not reply.
pub(super) async fn commit_before_sending(
    gateway: &Gateway,
    command: TurnCommand,
    deadline: Timestamp,
) -> Result<TurnReply, ErrorResponse> {
    let left = deadline.since(gateway.clock.now());
    let reply = with_deadline(left, gateway.turns.commit(command)).await;
    reply
        .unwrap_or_else(|| {
            Err(GroupError::NotProposed { reason: "no state group answers".into(), retry_after: None })
        })
        .map_err(no_reply)
}

/// Reserves a turn and prepends the text of the turns that it continues to the request body. The returned commit must be
/// awaited before the caller gets anything. If the settings let the leader of the state group place turns, the slot moves
/// to the server that it chooses.
pub(super) async fn reserve_turn(
    gateway: &Rc<Gateway>,
    ctx: &mut RequestContext,
    slot: &mut ServerSlot,
    request: &dispatch::Request,
    stream: Option<StreamStart>,
    admission: &mut Option<Rc<Admission>>,
) -> Result<(OpenTurn, PendingCommit), ErrorResponse> {
    let started_at = gateway.clock.now();
    let candidates = match gateway.placement {
        Placement::Entry => Vec::new(),
        Placement::Leader if request.isolated => Vec::new(),
        Placement::Leader => candidates(gateway, slot.server, request),
    };
    let capacity = {
        let dispatch = gateway.dispatch.borrow();
        let modelled = dispatch.is_modelled(gateway.clock.now(), &ctx.service);
        modelled.then(|| dispatch.capacity(&ctx.service))
    };
    let opening = AdmissionParams {
        service: ctx.service.clone(),
        route: ctx.route.name.clone(),
        places: gateway.dispatch.borrow().total_slots(&ctx.service),
        charge: has_rate_limit(ctx),
        patience: millis(ctx.deadline.since(gateway.clock.now())),
        finish_in: ctx.metadata.finish_in.map(millis),
        begins: !ctx.program_started,
        capacity,
        candidates: named(gateway, &candidates),
        entry: (!candidates.is_empty()).then_some(gateway.node),
        cached: !candidates.is_empty() && request.affinity.is_some(),
        priority: ctx.priority(),
        origin: Some(RequestOrigin { request: ctx.fingerprint(), entry: gateway.node, reported: false }),
    };
    let begin = Begin {
        program: ctx.metadata.program.clone().unwrap_or_default(),
        team: ctx.team_name(),
        turn: ctx.attempt_id.clone(),
        budget: ctx.metadata.token_budget,
        most: ctx.metadata.max_tokens.unwrap_or(0),
        previous: ctx.metadata.previous_turn.clone().filter(|_| ctx.route.retention.is_some()),
        carried: Vec::new(),
        stream,
        opening: Some(opening),
    };
    let (turn, reservation) = reserve_reported(gateway, ctx, begin, admission).await?;
    match reservation {
        Ok(Reservation { reply: TurnReply::Begun { chain, server }, commit }) => {
            let chosen = server.and_then(|index| candidates.get(usize::try_from(index).ok()?));
            if let Some((server, _)) = chosen {
                slot.move_to(*server);
            }
            ctx.chain_bytes = chain.iter().map(|text| text.len()).sum();
            let mut body = BytesMut::with_capacity(ctx.chain_bytes + ctx.body.len());
            for text in &chain {
                body.extend_from_slice(text);
            }
            body.extend_from_slice(&ctx.body);
            ctx.body = body.freeze();
            Ok((turn, PendingCommit::new(gateway, started_at, commit)))
        }
        Ok(Reservation { reply, .. }) => {
            turn.discard();
            Err(error_response(&reply))
        }
        // There is nothing to settle, and a command would add to the load of a busy leader.
        Err(error @ GroupError::NotProposed { .. }) => {
            turn.discard();
            Err(no_reply(error))
        }
        // The reservation may have taken effect, so dropping the turn settles it.
        Err(error @ GroupError::Unknown { .. }) => Err(no_reply(error)),
    }
}

/// Reserves a turn. Attempts at the same request whose entries have ended are reported first, and the request must be permitted
/// afterwards.
async fn reserve_reported(
    gateway: &Rc<Gateway>,
    ctx: &RequestContext,
    mut begin: Begin,
    admission: &mut Option<Rc<Admission>>,
) -> Result<(OpenTurn, Result<Reservation, GroupError>), ErrorResponse> {
    let (turn, reservation) = OpenTurn::reserve(gateway, begin.clone()).await;
    let Ok(Reservation { reply: TurnReply::Interrupted(attempts), .. }) = reservation else {
        return Ok((turn, reservation));
    };
    turn.discard();
    losses::report_interrupted(gateway, ctx, attempts).await?;
    if let Some(admission) = admission.take() {
        // The same attempt asks again.
        admission.end();
    }
    *admission = losses::admit(gateway, ctx).await?;
    if let Some(origin) = begin.opening.as_mut().and_then(|params| params.origin.as_mut()) {
        origin.reported = true;
    }
    Ok(OpenTurn::reserve(gateway, begin).await)
}

/// Servers that may run the turn with the time expected there, the one whose slot is held first.
fn candidates(gateway: &Gateway, own: ServerKey, request: &dispatch::Request) -> Vec<(ServerKey, Duration)> {
    let mut found = gateway.dispatch.borrow_mut().candidates(gateway.clock.now(), request);
    let expected = found.iter().find(|(server, _)| *server == own).or(found.first());
    let Some((_, expected)) = expected.copied() else {
        return Vec::new();
    };
    found.retain(|(server, _)| *server != own);
    found.insert(0, (own, expected));
    found.truncate(MAX_CANDIDATES);
    found
}

/// The candidates as they are sent to the state group. A server is left unnamed if the list no longer holds it.
fn named(gateway: &Gateway, candidates: &[(ServerKey, Duration)]) -> Vec<Candidate> {
    let dispatch = gateway.dispatch.borrow();
    let mut previous_slots = 0;
    let candidate = |(server, expected): &(ServerKey, Duration)| {
        let instance = dispatch.instance(*server);
        let slots = instance.map_or(previous_slots, |instance| instance.slots);
        Candidate {
            server: instance.map(|instance| instance.id.clone()).unwrap_or_default(),
            expected_us: u32::try_from(expected.as_micros()).unwrap_or(u32::MAX),
            slots: if std::mem::replace(&mut previous_slots, slots) == slots { 0 } else { slots },
        }
    };
    candidates.iter().map(candidate).collect()
}

pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The response if a state group gave no reply, and the request was sent to no server.
pub(super) fn no_reply(error: GroupError) -> ErrorResponse {
    let retry_after = match &error {
        GroupError::NotProposed { retry_after, .. } => *retry_after,
        GroupError::Unknown { .. } => None,
    };
    ErrorResponse::not_run(error, retry_after.unwrap_or(FAILOVER_RETRY_AFTER))
}

/// Maps a state group's refusal to the response for the caller.
pub(super) fn error_response(reply: &TurnReply) -> ErrorResponse {
    match reply {
        TurnReply::Spent => {
            ErrorResponse::new(StatusCode::PAYMENT_REQUIRED, "the budget of the program is spent")
        }
        TurnReply::NoSuchTurn => ErrorResponse::new(StatusCode::NOT_FOUND, "there is no such previous turn"),
        TurnReply::Over(millis) => {
            let retry_after = Some(Duration::from_millis(*millis));
            let reason = "the team has sent as much as it may";
            ErrorResponse { retry_after, ..ErrorResponse::new(StatusCode::TOO_MANY_REQUESTS, reason) }
        }
        TurnReply::Crowded(millis) => {
            ErrorResponse::not_run("no program may begin now", Duration::from_millis(*millis))
        }
        reply => ErrorResponse::not_run(format!("the state group answered {reply:?}"), FAILOVER_RETRY_AFTER),
    }
}
