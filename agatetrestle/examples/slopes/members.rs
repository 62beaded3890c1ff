//! Members: bytes and time of heartbeats and digests by nodes.

use std::time::Duration;

use agatetrestle::clock::Timestamp;
use agatetrestle::ids::NodeId;
use agatetrestle::members::message::Digest;
use agatetrestle::members::message::DigestPosition;
use agatetrestle::members::message::Heartbeat;
use agatetrestle::members::table::MemberTable;
use agatetrestle::node::wire_members::write_digest;
use agatetrestle_schema::peer_capnp::digest;

use crate::fit::Line;
use crate::fit::Unit;
use crate::fit::nanoseconds;

const SIZES: [u64; 4] = [50, 100, 200, 400];
const NODES: f64 = 400.0;
const NOW: Timestamp = Timestamp(1_000_000);

fn beat(node: u64) -> Heartbeat {
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

fn table(nodes: u64) -> MemberTable {
    let mut table = MemberTable::new(1, Duration::from_secs(1));
    for node in 1..=nodes {
        table.record(NOW, beat(node));
    }
    table
}

fn coded(digest: &Digest) -> f64 {
    let mut builder = capnp::message::Builder::new_default();
    write_digest(builder.init_root::<digest::Builder<'_>>(), digest);
    capnp::serialize::compute_serialized_size_in_words(&builder) as f64 * 8.0
}

/// Bytes of a digest to a node that just started and to one that is up to date; time of a heartbeat.
pub fn measure() -> Vec<Line> {
    let full = SIZES.map(|nodes| (nodes as f64, coded(&table(nodes).digest(NOW, DigestPosition::default()))));
    let quiet = SIZES.map(|nodes| {
        let mut table = table(nodes);
        let position = table.digest(NOW, DigestPosition::default()).position;
        (nodes as f64, coded(&table.digest(NOW, position)))
    });
    let time = SIZES.map(|nodes| {
        let mut table = table(nodes);
        let position = table.digest(NOW, DigestPosition::default()).position;
        let time = nanoseconds(5, 2_000, |index| {
            table.record(NOW, beat(1 + u64::from(index) % nodes));
            table.digest(NOW, position).members.len()
        });
        (nodes as f64, time)
    });
    let of = |what, unit, samples: [(f64, f64); 4]| Line {
        what,
        unit,
        per: "node",
        samples: samples.to_vec(),
        carried_to: NODES,
    };
    vec![
        of("control replica: digest to a node that just started", Unit::Bytes, full),
        of("control replica: digest to a node that is up to date", Unit::Bytes, quiet),
        of("control replica: time of one heartbeat and its digest", Unit::Nanoseconds, time),
    ]
}
