//! RPC server for other nodes of the cluster.

use std::collections::BTreeMap;
use std::rc::Rc;

use agatetrestle_schema::peer_capnp::peer;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use log::debug;
use smol::LocalExecutor;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::ids::GroupId;
use crate::node::peer_link::MessageHandlers;
use crate::node::registry::MemberRegistry;
use crate::node::rpc_stream::RpcStream;
use crate::node::service::GroupService;
use crate::node::service::ReportService;
use crate::node::service::Submission;
use crate::node::wire::read_message;
use crate::node::wire::write_message;
use crate::node::wire::write_submission;
use crate::node::wire_members::read_heartbeat;
use crate::node::wire_members::write_digest;
use crate::transport::accept::ConnectionLimiter;

/// Limit of open connections, several for each node of a large deployment.
const MAX_PEER_CONNECTIONS: usize = 2_048;
/// Limit of the size of a call in 8-byte words: 64 MiB, above the largest batch and snapshot chunk.
const MAX_CALL_WORDS: usize = 8 << 20;

/// The services that a node offers to other nodes.
#[derive(Default)]
pub struct PeerServer {
    /// Handlers of agreement messages, by group.
    pub handlers: MessageHandlers,
    /// Services for requests, by group.
    pub services: BTreeMap<GroupId, Rc<dyn GroupService>>,
    /// Answers heartbeats if this node is a control replica.
    pub registry: Option<Rc<MemberRegistry>>,
    /// Answers reports if this node is a control replica of a deployment with automatic membership.
    pub reports: Option<Rc<dyn ReportService>>,
}

#[derive(Clone)]
struct PeerHandler(Rc<PeerServer>);

impl peer::Server for PeerHandler {
    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        mut results: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let mut replies = Vec::new();
        for message in params.get()?.get_messages()? {
            let message = read_message(message).map_err(|error| capnp::Error::failed(error.to_string()))?;
            match self.0.handlers.get(&message.group) {
                Some(receive) => replies.extend(receive(message)),
                None => debug!("Dropped a message for group {}, which has no replica here.", message.group.0),
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
        let heartbeat = read_heartbeat(params.get()?.get_beat()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        let digest = match &self.0.registry {
            Some(registry) => registry.heartbeat(heartbeat).await,
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
        let update = reports.answer(params.get()?.get_report()?.to_vec()).await;
        let update = update.map_err(|error| capnp::Error::failed(error.to_string()))?;
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

/// Accepts connections from other nodes until the task is dropped.
pub async fn serve(
    server: Rc<PeerServer>,
    listener: TcpListener,
    executor: std::rc::Weak<LocalExecutor<'static>>,
) {
    let limiter = ConnectionLimiter::new("a peer");
    loop {
        let (stream, permit) = limiter.accept(&listener, || MAX_PEER_CONNECTIONS).await;
        let Some(executor) = executor.upgrade() else {
            return;
        };
        let handler = PeerHandler(server.clone());
        let serving = async move {
            serve_connection(handler, stream).await;
            drop(permit);
        };
        executor.spawn(serving).detach();
    }
}

async fn serve_connection(handler: PeerHandler, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("Failed to set up a connection from a peer: {error}.");
        return;
    }
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_CALL_WORDS));
    let (connection, network) = RpcStream::new(&stream, Side::Server, options);
    let client: peer::Client = capnp_rpc::new_client(handler);
    let system = RpcSystem::new(network, Some(client.client));
    if let Err(error) = connection.drive(system).await {
        debug!("A connection from a peer closed: {error}.");
    }
}
