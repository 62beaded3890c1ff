//! Tests of cutting streams into events.

use super::*;

const STREAM: &str = concat!(
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\r\n\r\n",
    "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n",
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2,",
    "\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n\n",
    "data: [DONE]\n\n",
    "data: after the end\n\n",
);

#[test]
fn every_cut_gives_the_same_events() {
    let whole = SseParser::default().push(STREAM.as_bytes());
    assert_eq!(whole.iter().map(|p| p.last).collect::<Vec<_>>(), [false, false, false, true]);
    for size in 1..40 {
        let mut splitter = SseParser::default();
        let pieces: Vec<SseEvent> = STREAM.as_bytes().chunks(size).flat_map(|c| splitter.push(c)).collect();
        assert_eq!(pieces, whole, "in parts of {size}");
        assert!(splitter.ended());
        assert_eq!(splitter.usage(), TokenUsage { prompt: 7, output: 2, cached: 3 });
    }
}

#[test]
fn the_first_tool_that_is_asked_for_is_found() {
    let call = |name: &str| format!("{{\"tool_calls\":[{{\"function\":{{\"name\":\"{name}\"}}}}]}}");
    let event = |name: &str| format!("data: {{\"choices\":[{{\"delta\":{}}}]}}\n\n", call(name));
    let mut splitter = SseParser::default();
    splitter.push(STREAM.split("data: [DONE]").next().unwrap().as_bytes());
    assert_eq!(splitter.tool(), None);
    splitter.push((event("rota") + &event("bookings")).as_bytes());
    assert_eq!(splitter.tool().as_deref(), Some("rota"));
    let whole = format!("{{\"choices\":[{{\"message\":{}}}]}}", call("rota"));
    assert_eq!(tool_of(&serde_json::from_str(&whole).unwrap()).as_deref(), Some("rota"));
}

#[test]
fn a_stream_without_its_end_is_not_ended() {
    let mut splitter = SseParser::default();
    let pieces = splitter.push(&STREAM.as_bytes()[..60]);
    assert_eq!(pieces.len(), 1);
    assert!(!splitter.ended());
    assert_eq!(splitter.usage(), TokenUsage { output: 1, ..TokenUsage::default() });
}
