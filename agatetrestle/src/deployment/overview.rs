//! Queries the control leader of a deployment for an operator's tool.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use agatetrestle_config::Deployment;
use smol::LocalExecutor;
use snafu::Snafu;

use crate::cluster::message::ControlRequest;
use crate::cluster::overview::Overview;
use crate::codec::decode;
use crate::codec::encode;
use crate::deployment::PEER_CALL_TIMEOUT;
use crate::deployment::REQUEST_TIMEOUTS;
use crate::deployment::peer_addresses;
use crate::ids::CONTROL_GROUP;
use crate::ids::NodeId;
use crate::node::links::Links;
use crate::node::peer_link::PeerLink;
use crate::node::router::submit_remotely;
use crate::node::service::Submission;

/// Node ID of a tool, which is not a member.
const TOOL_NODE: NodeId = NodeId(0);

/// None of the control replicas that could be asked is the leader.
#[derive(Debug, Snafu)]
#[snafu(display("no control replica leads: {answers}"))]
pub struct NoLeaderError {
    answers: Arc<str>,
}

/// Queries the control replicas in turn for an overview of the deployment: those in the settings, and others that they know.
///
/// # Errors
///
/// Fails with the answer of each replica if none leads.
pub async fn overview(
    settings: &Deployment,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<Overview, NoLeaderError> {
    let links = Links::new(TOOL_NODE, PEER_CALL_TIMEOUT, &executor);
    let request = encode(&ControlRequest::Overview);
    let mut addresses = peer_addresses(settings, settings.process.peer_port);
    let mut answers = Vec::new();
    let mut next = 0;
    while let Some(address) = addresses.get(next).copied() {
        next += 1;
        let link = links.link_to(SocketAddr::V4(address));
        let answer = match submit_remotely(&link, REQUEST_TIMEOUTS.attempt, CONTROL_GROUP, &request).await {
            Ok(Submission::Applied(bytes)) => match decode(&bytes) {
                Ok(overview) => return Ok(overview),
                Err(error) => error.to_string(),
            },
            Ok(Submission::NotLeader(_)) => {
                for known in control_addresses(&link).await {
                    if !addresses.contains(&known) {
                        addresses.push(known);
                    }
                }
                "not the leader".into()
            }
            Ok(
                Submission::Refused(reason) | Submission::Unknown(reason) | Submission::Unreachable(reason),
            ) => reason.to_string(),
            Err(error) => error.to_string(),
        };
        answers.push(format!("{address}: {answer}"));
    }
    Err(NoLeaderError { answers: answers.join("; ").into() })
}

/// The addresses of the control replicas that one of them knows; none if it does not tell, such as one of an older build.
async fn control_addresses(link: &PeerLink) -> Vec<SocketAddrV4> {
    let request = encode(&ControlRequest::Addresses);
    match submit_remotely(link, REQUEST_TIMEOUTS.attempt, CONTROL_GROUP, &request).await {
        Ok(Submission::Applied(bytes)) => {
            let known: Option<BTreeMap<NodeId, SocketAddrV4>> = decode(&bytes).ok();
            known.unwrap_or_default().into_values().collect()
        }
        _ => Vec::new(),
    }
}
