//! Calls of operators, at any control replica.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use log::info;
use log::warn;
use serde::de::DeserializeOwned;

use crate::cluster::message::ControlRequest;
use crate::cluster::message::DrainStatus;
use crate::codec::decode;
use crate::codec::encode;
use crate::control::command::ControlCommand;
use crate::control::command::ControlReply;
use crate::control::command::Document;
use crate::gateway::wire::OperatorRequest;
use crate::gateway::wire::WireFormat;
use crate::node::router::Router;
use crate::ports::GroupError;
use crate::transport::body::AnswerBody;
use crate::transport::server::Handler;

/// Largest call: a table of some 10,000 routes.
const CALL_BYTES: usize = 4 << 20;
/// A VM's emptying is asked for once and stands.
const FIRST_MARK: u64 = 1;

struct Operators {
    wire: Rc<dyn WireFormat>,
    router: Rc<Router>,
}

pub(super) fn handler(wire: Rc<dyn WireFormat>, router: Rc<Router>) -> Handler {
    let operators = Rc::new(Operators { wire, router });
    Rc::new(move |request| {
        let operators = operators.clone();
        Box::pin(async move { operators.answer(request).await })
    })
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(text));
    *response.status_mut() = status;
    response
}

fn json(body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::OK, body);
    let media = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media);
    response
}

/// Nobody can tell whether a command took effect, or who leads: the operator tries again, here or elsewhere.
fn unsure(failure: &GroupError) -> Response<AnswerBody> {
    plain(StatusCode::SERVICE_UNAVAILABLE, failure.to_string())
}

impl Operators {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, CALL_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(failure) => return plain(StatusCode::PAYLOAD_TOO_LARGE, failure.to_string()),
        };
        match self.wire.read_operator_request(&head.method, head.uri.path(), &body) {
            Some(OperatorRequest::PublishRoutes(text)) => self.publish(text).await,
            Some(OperatorRequest::ReadRoutes) => self.read().await,
            Some(OperatorRequest::Drain(vm)) => self.empty(vm).await,
            Some(OperatorRequest::DrainStatus(vm)) => self.emptied(vm).await,
            None => plain(StatusCode::NOT_FOUND, "there is no such call"),
        }
    }

    async fn publish(&self, text: Arc<str>) -> Response<AnswerBody> {
        let version = match self.wire.read_table(text.as_bytes()) {
            Ok(table) => table.version,
            Err(invalid) => {
                info!("publish outcome=refused reason=\"{invalid}\"");
                return plain(StatusCode::BAD_REQUEST, invalid.to_string());
            }
        };
        let command = ControlRequest::Command(ControlCommand::Publish { version, text });
        match self.ask::<ControlReply>(&command).await {
            Ok(ControlReply::Published { version: in_force }) => {
                info!("publish version={version} outcome=accepted in_force={in_force}");
                json(format!("{{\"version\":{in_force}}}"))
            }
            Ok(reply) => {
                warn!("publish version={version} outcome=unsure reply={reply:?}");
                plain(StatusCode::SERVICE_UNAVAILABLE, "control gave no clear answer")
            }
            Err(failure) => {
                warn!("publish version={version} outcome=unsure reason=\"{failure}\"");
                unsure(&failure)
            }
        }
    }

    async fn read(&self) -> Response<AnswerBody> {
        match self.ask::<Option<Document>>(&ControlRequest::Routes).await {
            Ok(Some(document)) => json(document.text.to_string()),
            Ok(None) => plain(StatusCode::SERVICE_UNAVAILABLE, "no routes were published yet"),
            Err(failure) => unsure(&failure),
        }
    }

    async fn empty(&self, vm: Arc<str>) -> Response<AnswerBody> {
        match self.ask::<DrainStatus>(&ControlRequest::Emptying(vm.clone())).await {
            Ok(DrainStatus::Unknown) => plain(StatusCode::NOT_FOUND, "there is no such store"),
            Ok(DrainStatus::TooFew) => plain(StatusCode::CONFLICT, "too few stores would be left"),
            Ok(DrainStatus::Running | DrainStatus::Done) => json("{}"),
            Ok(DrainStatus::NotAsked) => {
                let mark = ControlCommand::Leave { name: vm.clone(), incarnation: FIRST_MARK };
                match self.ask::<ControlReply>(&ControlRequest::Command(mark)).await {
                    Ok(reply) => {
                        info!("empty vm={vm} outcome=accepted reply={reply:?}");
                        json("{}")
                    }
                    Err(failure) => unsure(&failure),
                }
            }
            Err(failure) => unsure(&failure),
        }
    }

    async fn emptied(&self, vm: Arc<str>) -> Response<AnswerBody> {
        match self.ask::<DrainStatus>(&ControlRequest::Emptying(vm)).await {
            Ok(DrainStatus::Unknown) => plain(StatusCode::NOT_FOUND, "there is no such store"),
            Ok(emptying) => json(self.wire.write_drain_status(emptying)),
            Err(failure) => unsure(&failure),
        }
    }

    async fn ask<T: DeserializeOwned>(&self, request: &ControlRequest) -> Result<T, GroupError> {
        let reply = self.router.submit(encode(request)).await?;
        decode(&reply).map_err(|failure| GroupError::Unknown { reason: failure.to_string().into() })
    }
}
