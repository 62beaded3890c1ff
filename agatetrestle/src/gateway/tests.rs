//! Tests of the pieces of the gateway that need no socket.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;

use crate::clock::Timestamp;
use crate::gateway::events::EventReader;
use crate::gateway::job::Job;
use crate::gateway::wire::RequestHead;
use crate::routing::Route;
use crate::routing::RouteKind;
use crate::routing::Team;

fn events(pieces: &[&[u8]]) -> (Vec<Vec<u8>>, Vec<u8>) {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    for piece in pieces {
        reader.push(piece);
        while let Some(event) = reader.next_event() {
            events.push(event.0.to_vec());
        }
    }
    (events, reader.rest().to_vec())
}

#[test]
fn events_end_with_an_empty_line_of_either_kind() {
    let (whole, rest) = events(&[b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"]);
    assert_eq!(whole, [b"id: 1\ndata: a\n\n".to_vec(), b"id: 2\r\ndata: b\r\n\r\n".to_vec()]);
    assert_eq!(rest, b"id: 3\nda");
}

#[test]
fn the_data_of_an_event_is_that_of_its_data_lines() {
    let mut reader = EventReader::default();
    reader.push(b"weights: 3\nid: 1\ndata: one\ndata:two\n\nid: 2\n\n");
    assert_eq!(reader.next_event().and_then(|event| event.data()), Some(b"one\ntwo".to_vec()));
    assert_eq!(reader.next_event().and_then(|event| event.data()), None);
}

proptest! {
    #[test]
    fn every_cut_gives_the_same_events_and_loses_no_byte(
        text in "(id: [0-9]\n|data: [a-c]{0,3}\n|\n|\r\n){0,12}",
        cuts in prop::collection::vec(0_usize..80, 0..6),
    ) {
        let bytes = text.as_bytes();
        let mut ends: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        ends.extend([0, bytes.len()]);
        ends.sort_unstable();
        let pieces: Vec<&[u8]> = ends.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        let (whole, rest) = events(&pieces);
        prop_assert_eq!((whole.clone(), rest.clone()), events(&[bytes]));
        prop_assert_eq!([whole.concat(), rest].concat(), bytes);
    }
}

/// A turn of a program that has so many milliseconds left, on a route and of a team of some rank.
fn job(route: u8, team: Option<u8>, begun: bool, left: Option<u64>) -> Job {
    let rank = route;
    let route = Route {
        name: "r".into(),
        host: "app.example".into(),
        prefix: "/r/".into(),
        kind: RouteKind::Streaming { resumable: false },
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(200),
        priority: rank,
        targets: Vec::new(),
        max_attempts: 1,
        retention: None,
        sticky: true,
        public: false,
    };
    let team = team
        .map(|priority| Arc::new(Team { name: "t".into(), keys: Vec::new(), priority, rate_limit: None }));
    Job {
        head: http::Request::new(()).into_parts().0,
        call: RequestHead { finish_in: left.map(Duration::from_millis), ..RequestHead::default() },
        attempt: "a".into(),
        route: Arc::new(route),
        service: "s".into(),
        team,
        tokens_per_event: 1,
        arrived: Timestamp(0),
        until: Timestamp(3_000_000),
        body: Bytes::new(),
        chain: 0,
        begun,
    }
}

#[test]
fn a_teams_rank_goes_before_its_routes_and_what_is_late_goes_last() {
    let rank = |job: &Job| (job.priority(), job.server_rank(Timestamp(1_000)));
    let order = [
        job(0, Some(0), true, Some(500)),
        job(0, Some(0), false, Some(500)),
        job(1, Some(0), true, None),
        job(0, Some(1), true, Some(500)),
        job(1, Some(1), true, Some(500)),
    ];
    let ranks: Vec<(u8, u8)> = order.iter().map(rank).collect();
    assert!(ranks.windows(2).all(|pair| pair[0].0 <= pair[1].0 && pair[0].1 < pair[1].1), "{ranks:?}");
    assert_eq!(rank(&job(0, Some(0), true, Some(1))).1, 9, "its time is up");
    assert_eq!([0, 1, 7].map(|route| job(route, None, false, None).server_rank(Timestamp(0))), [1, 3, 9]);
    assert!(rank(&job(255, Some(255), true, None)).1 == 9, "no rank is beyond what a server knows");
}
