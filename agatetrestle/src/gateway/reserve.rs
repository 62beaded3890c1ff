//! What the state groups are asked before a request is sent: a turn of its program, and a request of its team's account.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http::StatusCode;

use crate::gateway::Gateway;
use crate::gateway::job::COME_BACK;
use crate::gateway::job::Job;
use crate::gateway::job::Problem;
use crate::gateway::turn::OpenTurn;
use crate::node::peer_link::within;
use crate::ports::GroupError;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Begin;
use crate::turns::command::Take;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnReply;

/// Whether the state group has to know of a request: it spends from a budget or goes on from a turn.
pub(super) fn needs_turn(job: &Job) -> bool {
    let counted = job.call.token_budget.is_some() || job.route.retention.is_some();
    job.route.is_streaming() && job.call.program.is_some() && counted
}

/// Whether a request counts against the allowance of its team.
fn is_limited(job: &Job) -> bool {
    job.team.as_ref().is_some_and(|team| team.rate_limit.is_some())
}

/// Takes a request that is no turn from its team's account.
pub(super) async fn take(gateway: &Rc<Gateway>, job: &Job) -> Result<(), Problem> {
    if !is_limited(job) {
        return Ok(());
    }
    let command =
        TurnCommand::Take(Take { team: job.team_name(), program: job.call.program.clone(), begins: false });
    let left = job.until.since(gateway.clock.now());
    let reply = within(left, gateway.turns.commit(command)).await;
    match reply.unwrap_or_else(|| Err(GroupError::NotProposed { reason: "no account answers".into() })) {
        Ok(TurnReply::Taken) => Ok(()),
        Ok(reply) => Err(refusal(&reply)),
        Err(failure) => Err(Problem::not_run(failure, COME_BACK)),
    }
}

/// Reserves the turn and puts what it goes on from before what the caller sent.
pub(super) async fn begin(gateway: &Rc<Gateway>, job: &mut Job) -> Result<OpenTurn, Problem> {
    let opening = AdmissionParams {
        service: job.service.clone(),
        route: job.route.name.clone(),
        places: gateway.dispatch.borrow().total_slots(&job.service),
        charge: is_limited(job),
        patience: millis(job.until.since(gateway.clock.now())),
        finish_in: job.call.finish_in.map(millis),
        begins: !job.begun,
    };
    let reservation = Begin {
        program: job.call.program.clone().unwrap_or_default(),
        team: job.team_name(),
        turn: job.attempt.clone(),
        budget: job.call.token_budget,
        most: job.call.max_tokens.unwrap_or(0),
        previous: job.call.previous_turn.clone().filter(|_| job.route.retention.is_some()),
        carried: Vec::new(),
        opening: Some(opening),
    };
    let (turn, reply) = OpenTurn::begin(gateway, reservation).await;
    match reply {
        Ok(TurnReply::Begun { chain }) => {
            job.chain = chain.iter().map(|text| text.len()).sum();
            let mut body = BytesMut::with_capacity(job.chain + job.body.len());
            for text in &chain {
                body.extend_from_slice(text);
            }
            body.extend_from_slice(&job.body);
            job.body = body.freeze();
            Ok(turn)
        }
        Ok(reply) => {
            turn.forget();
            Err(refusal(&reply))
        }
        // The reservation may stand, so the turn is settled when it is dropped.
        Err(failure @ (GroupError::NotProposed { .. } | GroupError::Unknown { .. })) => {
            Err(Problem::not_run(failure, COME_BACK))
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// What a caller is told where the state group lets nothing be sent.
fn refusal(reply: &TurnReply) -> Problem {
    match reply {
        TurnReply::Spent => Problem::new(StatusCode::PAYMENT_REQUIRED, "the budget of the program is spent"),
        TurnReply::NoSuchTurn => Problem::new(StatusCode::NOT_FOUND, "there is no such previous turn"),
        TurnReply::Over(millis) => {
            let retry_after = Some(Duration::from_millis(*millis));
            let reason = "the team has sent as much as it may";
            Problem { retry_after, ..Problem::new(StatusCode::TOO_MANY_REQUESTS, reason) }
        }
        TurnReply::Crowded(millis) => {
            Problem::not_run("no program may begin now", Duration::from_millis(*millis))
        }
        reply => Problem::not_run(format!("the state group answered {reply:?}"), COME_BACK),
    }
}
