//! Tests of the splitting of server-sent events, of request priorities, of early answers and of the end of a process.

mod buffer_budget;
mod durations;
mod early;
mod endings;
mod losses;
mod owner;
mod relay;
mod routes;
mod stop;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;

use crate::clock::Timestamp;
use crate::gateway::context::RequestContext;
use crate::gateway::event_splitter::EventSplitter;
use crate::gateway::event_splitter::RawEvent;
use crate::gateway::resumption::StreamBinding;
use crate::gateway::wire::RequestMetadata;
use crate::routing::Route;
use crate::routing::RouteKind;
use crate::routing::Team;
use crate::transport::body_end::ContentEnd;

fn split(pieces: &[&[u8]]) -> (Vec<Vec<u8>>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            events.push(event.0.to_vec());
        }
    }
    (events, splitter.into_remainder().to_vec())
}

#[test]
fn splits_events_at_empty_lines() {
    let (events, remainder) = split(&[b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"]);
    assert_eq!(events, [b"id: 1\ndata: a\n\n".to_vec(), b"id: 2\r\ndata: b\r\n\r\n".to_vec()]);
    assert_eq!(remainder, b"id: 3\nda");
}

#[test]
fn joins_data_lines_of_an_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"weights: 3\nid: 1\ndata: one\ndata:two\n\nid: 2\n\n");
    assert_eq!(splitter.next_event().and_then(|event| event.data()), Some(b"one\ntwo".to_vec()));
    assert_eq!(splitter.next_event().and_then(|event| event.data()), None);
}

#[test]
fn splits_events_whose_lines_end_in_cr() {
    let (events, remainder) =
        split(&[b"id: 1\rdata: a\r\r", b"id: 2\r\ndata: b\r\n\r", b"\nid: 3\rdata: c\r"]);
    assert_eq!(events, [b"id: 1\rdata: a\r\r".to_vec(), b"id: 2\r\ndata: b\r\n\r\n".to_vec()]);
    assert_eq!(remainder, b"id: 3\rdata: c\r");
    assert_eq!(RawEvent(events[0].clone().into()).data(), Some(b"a".to_vec()));
}

#[test]
fn tells_the_end_inside_an_event_from_the_end_after_one() {
    let content_end = |stream: &str| EventSplitter::content_end_of(stream.as_bytes());
    for stream in ["", "\n", "\r", ": comment\n", ": comment\n\n", "\n: comment\r\n"] {
        assert_eq!(content_end(stream), ContentEnd::NoEvent, "{stream:?}");
    }
    for rest in ["", "\n", "\r\n", "\r", ": comment\n", ": comment\n\n"] {
        for event in ["data: a\n\n", "data: a\r\n\r\n", "data: a\r\r"] {
            assert_eq!(content_end(&format!("{event}{rest}")), ContentEnd::AfterEvent, "{event:?}{rest:?}");
        }
    }
    for rest in
        ["d", "data: b\n", "data: b\r", "data: b\r\n\r", "data: b\n\r", "\n\ndata", ": comm", "id: 2\n: c\n"]
    {
        for event in ["", "data: a\n\n", "data: a\r\n\r\n", "data: a\r\r"] {
            assert_eq!(content_end(&format!("{event}{rest}")), ContentEnd::InsideEvent, "{event:?}{rest:?}");
        }
    }
}

proptest! {
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        text in "(id: [0-9]\n|data: [a-c]{0,3}\n|data: [a-c]\r|:c\r\n|\n|\r\n|\r){0,12}",
        cuts in prop::collection::vec(0_usize..80, 0..6),
    ) {
        let bytes = text.as_bytes();
        let mut ends: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        ends.extend([0, bytes.len()]);
        ends.sort_unstable();
        let pieces: Vec<&[u8]> = ends.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        let (events, remainder) = split(&pieces);
        prop_assert_eq!((events.clone(), remainder.clone()), split(&[bytes]));
        prop_assert_eq!([events.concat(), remainder].concat(), bytes);
    }
}

/// A request with the given priorities of its route and team, whose program has `left_ms` until its deadline.
fn request(
    route_priority: u8,
    team_priority: Option<u8>,
    program_started: bool,
    left_ms: Option<u64>,
) -> RequestContext {
    let route = Route {
        name: "r".into(),
        host: "app.example".into(),
        prefix: "/r/".into(),
        kind: RouteKind::Streaming { resumable: false },
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(200),
        priority: route_priority,
        targets: Vec::new(),
        max_attempts: 1,
        retention: None,
        sticky: true,
        public: false,
    };
    let team = team_priority
        .map(|priority| Arc::new(Team { name: "t".into(), keys: Vec::new(), priority, rate_limit: None }));
    RequestContext {
        stream: StreamBinding::default(),
        timeout: Duration::from_secs(3),
        parts: http::Request::new(()).into_parts().0,
        metadata: RequestMetadata {
            finish_in: left_ms.map(Duration::from_millis),
            ..RequestMetadata::default()
        },
        attempt_id: "a".into(),
        route: Arc::new(route),
        service: "s".into(),
        team,
        tokens_per_event: 1,
        arrived_at: Timestamp(0),
        deadline: Timestamp(3_000_000),
        body: Bytes::new(),
        chain_bytes: 0,
        received: None,
        program_started,
    }
}

#[test]
fn orders_by_team_then_route_and_puts_late_programs_last() {
    let priorities = |ctx: &RequestContext| (ctx.priority(), ctx.server_priority(Timestamp(1_000)));
    let order = [
        request(0, Some(0), true, Some(500)),
        request(0, Some(0), false, Some(500)),
        request(1, Some(0), true, None),
        request(0, Some(1), true, Some(500)),
        request(1, Some(1), true, Some(500)),
    ];
    let found: Vec<(u8, u8)> = order.iter().map(priorities).collect();
    assert!(found.windows(2).all(|pair| pair[0].0 <= pair[1].0 && pair[0].1 < pair[1].1), "{found:?}");
    assert_eq!(priorities(&request(0, Some(0), true, Some(1))).1, 9, "the program's deadline has passed");
    assert_eq!(
        [0, 1, 7].map(|route| request(route, None, false, None).server_priority(Timestamp(0))),
        [1, 3, 9]
    );
    assert!(priorities(&request(255, Some(255), true, None)).1 == 9, "capped at the lowest server priority");
}
