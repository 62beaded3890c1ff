//! The question of an operator's tool to the control leader of a deployment.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use agatetrestle_config::Deployment;
use smol::LocalExecutor;
use snafu::Snafu;

use crate::cluster::message::ControlRequest;
use crate::cluster::overview::Overview;
use crate::codec::decode;
use crate::codec::encode;
use crate::deployment::PEER_CALL;
use crate::deployment::REQUEST_TIMEOUTS;
use crate::deployment::peer_addresses;
use crate::ids::CONTROL_GROUP;
use crate::ids::NodeId;
use crate::node::links::Links;
use crate::node::router::submit_remotely;
use crate::node::service::Submission;

/// Number of a tool, which takes part in nothing.
const TOOL: NodeId = NodeId(0);

/// No control replica of the settings answered as the leader.
#[derive(Debug, Snafu)]
#[snafu(display("no control replica leads: {answers}"))]
pub struct NoLeaderError {
    answers: Arc<str>,
}

/// Asks the control replicas that the settings name, one after the other, for an overview of the deployment.
///
/// # Errors
///
/// Fails with what each of them said if none leads.
pub async fn overview(
    settings: &Deployment,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<Overview, NoLeaderError> {
    let links = Links::new(TOOL, PEER_CALL, &executor);
    let question = encode(&ControlRequest::Overview);
    let mut answers = Vec::new();
    for address in peer_addresses(settings, settings.process.peer_port) {
        let link = links.link_to(SocketAddr::V4(address));
        let answer = match submit_remotely(&link, REQUEST_TIMEOUTS.attempt, CONTROL_GROUP, &question).await {
            Ok(Submission::Applied(bytes)) => match decode(&bytes) {
                Ok(overview) => return Ok(overview),
                Err(failure) => failure.to_string(),
            },
            Ok(Submission::NotLeader(_)) => "it does not lead".into(),
            Ok(
                Submission::Refused(reason) | Submission::Unknown(reason) | Submission::Unreachable(reason),
            ) => reason.to_string(),
            Err(failure) => failure.to_string(),
        };
        answers.push(format!("{address}: {answer}"));
    }
    Err(NoLeaderError { answers: answers.join("; ").into() })
}
