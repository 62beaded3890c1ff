//! Orders to engines come only from the control leader, with fencing tokens that increase with each leader.

mod cluster;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use agatetrestle::control::command::ControlCommand;
use agatetrestle::control::command::ControlReply;
use agatetrestle::ids::CONTROL_GROUP;
use agatetrestle::orders::engines::FENCING_TOKEN_HEADER;
use agatetrestle_fakes::server;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;
use serde_json::json;

use crate::cluster::TestCluster;

const SHARED_DOCUMENT: &str = "\
format: 1
models:
  tutor:
    weights: 1GiB
backend_servers:
";

/// An engine that checks fencing tokens, and whose model the test unloads.
#[derive(Default)]
struct FencedEngine {
    loaded: Cell<bool>,
    tokens: RefCell<Vec<u64>>,
}

impl FencedEngine {
    fn answer(&self, request: &http_types::Request) -> Response {
        if request.method() == Method::Get {
            let data = if self.loaded.get() { json!([{ "id": "tutor" }]) } else { json!([]) };
            return server::json(StatusCode::Ok, &json!({ "data": data }));
        }
        let token: u64 = server::header(request, FENCING_TOKEN_HEADER).parse().unwrap();
        let newest = self.tokens.borrow().last().copied().unwrap_or(0);
        if token < newest {
            return Response::new(StatusCode::Conflict);
        }
        self.tokens.borrow_mut().push(token);
        self.loaded.set(true);
        Response::new(StatusCode::Ok)
    }
}

async fn declare(cluster: &TestCluster, address: std::net::SocketAddr) {
    let engine = format!(
        "  engine-1:\n    kind: engine\n    address: {address}\n    serves: tutor\n    vm: gpu-1\n    \
         failure_domain: domain-1\n    checks_fencing: true\n"
    );
    let command = ControlCommand::Apply {
        scope: "shared".into(),
        text: format!("{SHARED_DOCUMENT}{engine}").into(),
        expected: 0,
        change_id: "engines".into(),
    };
    cluster::retry("applying the declarations", async || {
        match cluster.nodes()[0].control().commit(command.clone()).await {
            Ok(ControlReply::Accepted { .. }) => Some(()),
            Ok(other) => panic!("unexpected reply to the declarations: {other:?}"),
            Err(_) => None,
        }
    })
    .await;
}

fn control_leader(cluster: &TestCluster) -> Option<u64> {
    let groups = cluster.nodes()[0].groups().groups();
    let view = groups.iter().find(|view| view.group == CONTROL_GROUP)?;
    Some(view.leader?.0)
}

#[test]
fn new_leader_sends_higher_fencing_tokens() {
    cluster::run(|executor| async move {
        let engine = Rc::new(FencedEngine::default());
        let handler_engine = engine.clone();
        let handler = move |request: http_types::Request| {
            let response = handler_engine.answer(&request);
            async move { Ok(response) }
        };
        let engine_server = server::serve(&executor, 0, handler).await.unwrap();
        let cluster = TestCluster::new(&executor, "orders");
        cluster.bootstrap(3).await;
        cluster.wait_until_taking_work().await;
        declare(&cluster, engine_server.address).await;
        cluster.wait_until("the first order", || engine.loaded.get()).await;
        let first_token = *engine.tokens.borrow().last().unwrap();

        let leader = control_leader(&cluster).unwrap();
        cluster.kill(leader).await;
        engine.loaded.set(false);
        cluster.wait_until("an order of the new leader", || engine.loaded.get()).await;
        let tokens = engine.tokens.borrow().clone();
        assert!(tokens.last().unwrap() > &first_token, "{tokens:?}");
        assert!(tokens.is_sorted());
    });
}
