//! HTTP API for operators, served by every control replica.

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
use snafu::ResultExt;

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
use crate::routing::InvalidTable;
use crate::routing::NotUtf8Snafu;
use crate::transport::body::ResponseBody;
use crate::transport::server::Handler;

/// Largest request body; a table of 10,000 routes fits.
const MAX_REQUEST_BYTES: usize = 4 << 20;
/// Incarnation in each command that drains a VM, since a drain is not tied to an incarnation.
const DRAIN_INCARNATION: u64 = 1;

struct OperatorApi {
    wire: Rc<dyn WireFormat>,
    router: Rc<Router>,
}

pub(super) fn handler(wire: Rc<dyn WireFormat>, router: Rc<Router>) -> Handler {
    let api = Rc::new(OperatorApi { wire, router });
    Rc::new(move |request| {
        let api = api.clone();
        Box::pin(async move { api.handle(request).await })
    })
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(text));
    *response.status_mut() = status;
    response
}

fn json_response(body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::OK, body);
    let content_type = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// The command may or may not have taken effect, or no leader is known; the operator may retry at any replica.
fn unavailable(error: &GroupError) -> Response<ResponseBody> {
    text_response(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
}

impl OperatorApi {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (parts, body) = request.into_parts();
        let body = match Limited::new(body, MAX_REQUEST_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return text_response(StatusCode::PAYLOAD_TOO_LARGE, error.to_string()),
        };
        match self.wire.read_operator_request(&parts.method, parts.uri.path(), &body) {
            Some(OperatorRequest::PublishRoutes(text)) => self.publish(&text).await,
            Some(OperatorRequest::ReadRoutes) => self.read_routes().await,
            Some(OperatorRequest::Drain(vm)) => self.drain(vm).await,
            Some(OperatorRequest::DrainStatus(vm)) => self.drain_status(vm).await,
            None => text_response(StatusCode::NOT_FOUND, "there is no such call"),
        }
    }

    /// Reads a table that an operator published, with its version. What is kept is what was sent, byte for byte.
    fn read_table(&self, text: &[u8]) -> Result<(u64, Arc<str>), InvalidTable> {
        let text = str::from_utf8(text).context(NotUtf8Snafu)?;
        let table = self.wire.read_table(text.as_bytes())?;
        Ok((table.version, text.into()))
    }

    async fn publish(&self, text: &[u8]) -> Response<ResponseBody> {
        let (version, text) = match self.read_table(text) {
            Ok(read) => read,
            Err(invalid) => {
                info!("publish outcome=refused reason=\"{invalid}\"");
                return text_response(StatusCode::BAD_REQUEST, invalid.to_string());
            }
        };
        let command = ControlRequest::Command(ControlCommand::Publish { version, text });
        match self.submit::<ControlReply>(&command).await {
            Ok(ControlReply::Published { version: in_force }) => {
                info!("publish version={version} outcome=accepted in_force={in_force}");
                json_response(format!("{{\"version\":{in_force}}}"))
            }
            Ok(reply) => {
                warn!("publish version={version} outcome=unsure reply={reply:?}");
                text_response(StatusCode::SERVICE_UNAVAILABLE, "control gave no clear answer")
            }
            Err(error) => {
                warn!("publish version={version} outcome=unsure reason=\"{error}\"");
                unavailable(&error)
            }
        }
    }

    async fn read_routes(&self) -> Response<ResponseBody> {
        match self.submit::<Option<Document>>(&ControlRequest::Routes).await {
            Ok(Some(document)) => {
                info!("read version={} revision={}", document.version, document.revision);
                json_response(document.text.to_string())
            }
            Ok(None) => text_response(StatusCode::SERVICE_UNAVAILABLE, "no routes were published yet"),
            Err(error) => {
                warn!("read outcome=unsure reason=\"{error}\"");
                unavailable(&error)
            }
        }
    }

    async fn drain(&self, vm: Arc<str>) -> Response<ResponseBody> {
        match self.submit::<DrainStatus>(&ControlRequest::Emptying(vm.clone())).await {
            Ok(DrainStatus::Unknown) => text_response(StatusCode::NOT_FOUND, "there is no such store"),
            Ok(DrainStatus::TooFew) => text_response(StatusCode::CONFLICT, "too few stores would be left"),
            Ok(DrainStatus::Running | DrainStatus::Done) => json_response("{}"),
            Ok(DrainStatus::NotAsked) => {
                let command = ControlCommand::Leave { name: vm.clone(), incarnation: DRAIN_INCARNATION };
                match self.submit::<ControlReply>(&ControlRequest::Command(command)).await {
                    Ok(reply) => {
                        info!("drain vm={vm} outcome=accepted reply={reply:?}");
                        json_response("{}")
                    }
                    Err(error) => unavailable(&error),
                }
            }
            Err(error) => unavailable(&error),
        }
    }

    async fn drain_status(&self, vm: Arc<str>) -> Response<ResponseBody> {
        match self.submit::<DrainStatus>(&ControlRequest::Emptying(vm)).await {
            Ok(DrainStatus::Unknown) => text_response(StatusCode::NOT_FOUND, "there is no such store"),
            Ok(status) => json_response(self.wire.write_drain_status(status)),
            Err(error) => unavailable(&error),
        }
    }

    async fn submit<T: DeserializeOwned>(&self, request: &ControlRequest) -> Result<T, GroupError> {
        let reply = self.router.submit(encode(request)).await?;
        decode(&reply).map_err(|error| GroupError::Unknown { reason: error.to_string().into() })
    }
}
