//! Reserves turns and charges requests to team rate limits at the state groups before a request is sent.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http::StatusCode;

use crate::gateway::Gateway;
use crate::gateway::context::ErrorResponse;
use crate::gateway::context::FAILOVER_RETRY_AFTER;
use crate::gateway::context::RequestContext;
use crate::gateway::turn::OpenTurn;
use crate::node::peer_link::with_deadline;
use crate::ports::GroupError;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Take;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;

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
    let left = ctx.deadline.since(gateway.clock.now());
    let reply = with_deadline(left, gateway.turns.commit(command)).await;
    match reply.unwrap_or_else(|| Err(GroupError::NotProposed { reason: "no account answers".into() })) {
        Ok(TurnReply::Taken) => Ok(()),
        Ok(reply) => Err(error_response(&reply)),
        Err(error) => Err(ErrorResponse::not_run(error, FAILOVER_RETRY_AFTER)),
    }
}

/// Reserves a turn and prepends the text of the turns that it continues to the request body.
pub(super) async fn reserve_turn(
    gateway: &Rc<Gateway>,
    ctx: &mut RequestContext,
) -> Result<OpenTurn, ErrorResponse> {
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
        candidates: Vec::new(),
    };
    let begin = Begin {
        program: ctx.metadata.program.clone().unwrap_or_default(),
        team: ctx.team_name(),
        turn: ctx.attempt_id.clone(),
        budget: ctx.metadata.token_budget,
        most: ctx.metadata.max_tokens.unwrap_or(0),
        previous: ctx.metadata.previous_turn.clone().filter(|_| ctx.route.retention.is_some()),
        carried: Vec::new(),
        opening: Some(opening),
    };
    let (turn, reply) = OpenTurn::reserve(gateway, begin).await;
    match reply {
        Ok(TurnReply::Begun { chain, .. }) => {
            ctx.chain_bytes = chain.iter().map(|text| text.len()).sum();
            let mut body = BytesMut::with_capacity(ctx.chain_bytes + ctx.body.len());
            for text in &chain {
                body.extend_from_slice(text);
            }
            body.extend_from_slice(&ctx.body);
            ctx.body = body.freeze();
            Ok(turn)
        }
        Ok(reply) => {
            turn.discard();
            Err(error_response(&reply))
        }
        // The reservation may have taken effect, so dropping the turn settles it.
        Err(error @ (GroupError::NotProposed { .. } | GroupError::Unknown { .. })) => {
            Err(ErrorResponse::not_run(error, FAILOVER_RETRY_AFTER))
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Maps a state group's refusal to the response for the caller.
fn error_response(reply: &TurnReply) -> ErrorResponse {
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
