//! Tests of the pieces of the gateway that need no socket.

use proptest::prelude::*;

use crate::gateway::events::EventReader;

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
