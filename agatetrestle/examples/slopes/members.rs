//! Membership: digest size and heartbeat processing time by nodes.

use std::time::Duration;

use agatetrestle::clock::Timestamp;
use agatetrestle::ids::NodeId;
use agatetrestle::members::message::Digest;
use agatetrestle::members::message::DigestPosition;
use agatetrestle::members::message::Heartbeat;
use agatetrestle::members::table::MemberTable;
use agatetrestle::node::wire_members::write_digest;
use agatetrestle_schema::peer_capnp::digest;

use crate::fit::ScalingFit;
use crate::fit::Unit;
use crate::fit::measure_nanoseconds;

const NODE_COUNTS: [u64; 4] = [50, 100, 200, 400];
const TARGET_NODES: f64 = 400.0;
const NOW: Timestamp = Timestamp(1_000_000);

fn build_heartbeat(node: u64) -> Heartbeat {
    Heartbeat {
        node: NodeId(node),
        vm: format!("vm-{node:04}").into(),
        failure_domain: format!("domain-{}", node % 12).into(),
        region: format!("region-{}", node % 4).into(),
        incarnation: 1_764_000_000_000_000,
        caller_address: format!("10.0.{}.{}:7400", node / 250, node % 250).into(),
        peer_address: format!("10.0.{}.{}:7401", node / 250, node % 250).into(),
        revision: 1_000,
        ..Heartbeat::default()
    }
}

fn build_table(nodes: u64) -> MemberTable {
    let mut table = MemberTable::new(1, Duration::from_secs(1));
    for node in 1..=nodes {
        table.record(NOW, build_heartbeat(node));
    }
    table
}

fn encoded_bytes(digest: &Digest) -> f64 {
    let mut builder = capnp::message::Builder::new_default();
    write_digest(builder.init_root::<digest::Builder<'_>>(), digest);
    capnp::serialize::compute_serialized_size_in_words(&builder) as f64 * 8.0
}

/// Bytes of a digest for a node that just started and for one that is up to date, and time of a heartbeat.
pub fn measure() -> Vec<ScalingFit> {
    let full = NODE_COUNTS.map(|nodes| {
        (nodes as f64, encoded_bytes(&build_table(nodes).digest(NOW, DigestPosition::default())))
    });
    let incremental = NODE_COUNTS.map(|nodes| {
        let mut table = build_table(nodes);
        let position = table.digest(NOW, DigestPosition::default()).position;
        (nodes as f64, encoded_bytes(&table.digest(NOW, position)))
    });
    let time = NODE_COUNTS.map(|nodes| {
        let mut table = build_table(nodes);
        let position = table.digest(NOW, DigestPosition::default()).position;
        let time = measure_nanoseconds(5, 2_000, |index| {
            table.record(NOW, build_heartbeat(1 + u64::from(index) % nodes));
            table.digest(NOW, position).members.len()
        });
        (nodes as f64, time)
    });
    let fit = |quantity, unit, samples: [(f64, f64); 4]| ScalingFit {
        quantity,
        unit,
        per: "node",
        samples: samples.to_vec(),
        extrapolated_to: TARGET_NODES,
    };
    vec![
        fit("control replica: digest to a node that just started", Unit::Bytes, full),
        fit("control replica: digest to a node that is up to date", Unit::Bytes, incremental),
        fit("control replica: time of one heartbeat and its digest", Unit::Nanoseconds, time),
    ]
}
