//! Orders to engines: only from the control leader, under fencing numbers that rise with each leader.

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

use crate::cluster::Cluster;

const SHARED: &str = "\
format: 1
models:
  tutor:
    weights: 1GiB
backend_servers:
";

/// An engine that forgets its model whenever it is told to.
#[derive(Default)]
struct Engine {
    loaded: Cell<bool>,
    fences: RefCell<Vec<u64>>,
}

impl Engine {
    fn answer(&self, request: &http_types::Request) -> Response {
        if request.method() == Method::Get {
            let data = if self.loaded.get() { json!([{ "id": "tutor" }]) } else { json!([]) };
            return server::json(StatusCode::Ok, &json!({ "data": data }));
        }
        let fence: u64 = server::header(request, FENCING_TOKEN_HEADER).parse().unwrap();
        let newest = self.fences.borrow().last().copied().unwrap_or(0);
        if fence < newest {
            return Response::new(StatusCode::Conflict);
        }
        self.fences.borrow_mut().push(fence);
        self.loaded.set(true);
        Response::new(StatusCode::Ok)
    }
}

async fn declare(cluster: &Cluster, address: std::net::SocketAddr) {
    let engine = format!(
        "  engine-1:\n    kind: engine\n    address: {address}\n    serves: tutor\n    vm: gpu-1\n    \
         failure_domain: domain-1\n    checks_fencing: true\n"
    );
    let command = ControlCommand::Apply {
        scope: "shared".into(),
        text: format!("{SHARED}{engine}").into(),
        expected: 0,
        change_id: "engines".into(),
    };
    cluster::persist("declaring", async || {
        match cluster.nodes()[0].control().commit(command.clone()).await {
            Ok(ControlReply::Accepted { .. }) => Some(()),
            Ok(other) => panic!("the declarations were answered by {other:?}"),
            Err(_) => None,
        }
    })
    .await;
}

fn control_leader(cluster: &Cluster) -> Option<u64> {
    let views = cluster.nodes()[0].groups().groups();
    let view = views.iter().find(|view| view.group == CONTROL_GROUP)?;
    Some(view.leader?.0)
}

#[test]
fn a_new_leader_gives_orders_under_a_higher_fencing_number() {
    cluster::run(|executor| async move {
        let engine = Rc::new(Engine::default());
        let shared = engine.clone();
        let answering = move |request: http_types::Request| {
            let response = shared.answer(&request);
            async move { Ok(response) }
        };
        let fake = server::serve(&executor, 0, answering).await.unwrap();
        let cluster = Cluster::new(&executor, "orders");
        cluster.found(3).await;
        cluster.until_taking_work().await;
        declare(&cluster, fake.address).await;
        cluster.until("the first order", || engine.loaded.get()).await;
        let first = *engine.fences.borrow().last().unwrap();

        let leader = control_leader(&cluster).unwrap();
        cluster.lose(leader).await;
        engine.loaded.set(false);
        cluster.until("an order of the new leader", || engine.loaded.get()).await;
        let fences = engine.fences.borrow().clone();
        assert!(fences.last().unwrap() > &first, "{fences:?}");
        assert!(fences.is_sorted());
    });
}
