//! The serving side of calls between our own processes.

use std::collections::BTreeMap;
use std::rc::Rc;

use agatetrestle_schema::peer_capnp::peer;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use log::debug;
use smol::LocalExecutor;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::ids::GroupId;
use crate::node::peer_link::MessageHandlers;
use crate::node::registry::MemberRegistry;
use crate::node::service::GroupService;
use crate::node::service::ReportService;
use crate::node::service::Submission;
use crate::node::wire::read_message;
use crate::node::wire::write_message;
use crate::node::wire::write_submission;
use crate::node::wire_members::read_heartbeat;
use crate::node::wire_members::write_digest;
use crate::transport::accept::ConnectionLimiter;

/// Connections that may be open at once; 400 nodes with a reconnect each stay well below.
const CONNECTIONS: usize = 2_048;
/// Largest call in 8-byte words: 64 MiB, above the largest batch and snapshot piece.
const CALL_WORDS: usize = 8 << 20;

/// Everything that other nodes may reach here.
#[derive(Default)]
pub struct PeerServer {
    /// Takes messages of a group.
    pub handlers: MessageHandlers,
    /// Takes requests to a group.
    pub services: BTreeMap<GroupId, Rc<dyn GroupService>>,
    /// Answers heartbeats, where this node is a control replica.
    pub registry: Option<Rc<MemberRegistry>>,
    /// Answers reports, where this node is a control replica of a deployment that finds itself.
    pub reports: Option<Rc<dyn ReportService>>,
}

#[derive(Clone)]
struct Handle(Rc<PeerServer>);

impl peer::Server for Handle {
    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        mut results: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let mut replies = Vec::new();
        for message in params.get()?.get_messages()? {
            let message =
                read_message(message).map_err(|failure| capnp::Error::failed(failure.to_string()))?;
            match self.0.handlers.get(&message.group) {
                Some(receive) => replies.extend(receive(message)),
                None => debug!("A message for group {}, which is not here, was dropped.", message.group.0),
            }
        }
        let count = u32::try_from(replies.len()).unwrap_or(u32::MAX);
        let mut list = results.get().init_replies(count);
        for (index, reply) in (0..count).zip(&replies) {
            write_message(list.reborrow().get(index), reply);
        }
        Ok(())
    }

    async fn submit(
        self: Rc<Self>,
        params: peer::SubmitParams,
        mut results: peer::SubmitResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let service = self.0.services.get(&GroupId(params.get_group())).cloned();
        let submission = match service {
            Some(service) => service.submit(params.get_command()?.to_vec()).await,
            None => Submission::NotLeader(None),
        };
        write_submission(results.get().init_submission(), &submission);
        Ok(())
    }

    async fn heartbeat(
        self: Rc<Self>,
        params: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        let beat = read_heartbeat(params.get()?.get_beat()?)
            .map_err(|failure| capnp::Error::failed(failure.to_string()))?;
        let digest = match &self.0.registry {
            Some(registry) => registry.heartbeat(beat).await,
            None => return Err(capnp::Error::unimplemented("this node is no control replica".into())),
        };
        write_digest(results.get().init_digest(), &digest);
        Ok(())
    }

    async fn history(
        self: Rc<Self>,
        params: peer::HistoryParams,
        mut results: peer::HistoryResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        if let Some(service) = self.0.services.get(&GroupId(params.get_group())) {
            results.get().set_bytes(&service.history(params.get_offset()));
        }
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: peer::ReportParams,
        mut results: peer::ReportResults,
    ) -> Result<(), capnp::Error> {
        let Some(reports) = &self.0.reports else {
            return Err(capnp::Error::unimplemented("this node is no control replica".into()));
        };
        let update = reports.take(params.get()?.get_report()?.to_vec()).await;
        let update = update.map_err(|failure| capnp::Error::failed(failure.to_string()))?;
        results.get().set_bulletin(&update);
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> Result<(), capnp::Error> {
        let Some(registry) = &self.0.registry else {
            return Err(capnp::Error::unimplemented("this node is no control replica".into()));
        };
        let configuration = registry.configuration();
        let mut results = results.get();
        results.set_revision(configuration.revision);
        let known = params.get()?.get_known();
        let newer: Vec<_> =
            configuration.documents.iter().filter(|(_, document)| document.revision > known).collect();
        let count = u32::try_from(newer.len()).unwrap_or(u32::MAX);
        let mut list = results.init_documents(count);
        for (index, (scope, document)) in (0..count).zip(newer) {
            let mut builder = list.reborrow().get(index);
            builder.set_scope(&**scope);
            builder.set_version(document.version);
            builder.set_text(&*document.text);
        }
        Ok(())
    }
}

/// Accepts connections of other nodes until the task is dropped.
pub async fn serve(
    server: Rc<PeerServer>,
    listener: TcpListener,
    executor: std::rc::Weak<LocalExecutor<'static>>,
) {
    let limiter = ConnectionLimiter::new("a peer");
    loop {
        let (stream, permit) = limiter.accept(&listener, || CONNECTIONS).await;
        let Some(executor) = executor.upgrade() else {
            return;
        };
        let handle = Handle(server.clone());
        let serving = async move {
            serve_connection(handle, stream).await;
            drop(permit);
        };
        executor.spawn(serving).detach();
    }
}

async fn serve_connection(handle: Handle, stream: TcpStream) {
    if let Err(failure) = stream.set_nodelay(true) {
        debug!("A connection of a peer could not be set up: {failure}.");
        return;
    }
    let (reader, writer) = stream.split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(CALL_WORDS));
    let network = VatNetwork::new(reader, writer, Side::Server, options);
    let client: peer::Client = capnp_rpc::new_client(handle);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    if let Err(failure) = system.await {
        debug!("A connection of a peer ended: {failure}.");
    }
}
