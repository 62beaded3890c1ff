//! Tests of the event stream parser.

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
fn chunk_size_does_not_change_the_events() {
    let expected = SseParser::default().push(STREAM.as_bytes());
    assert_eq!(expected.iter().map(|event| event.last).collect::<Vec<_>>(), [false, false, false, true]);
    for size in 1..40 {
        let mut parser = SseParser::default();
        let events: Vec<SseEvent> = STREAM.as_bytes().chunks(size).flat_map(|c| parser.push(c)).collect();
        assert_eq!(events, expected, "in chunks of {size} bytes");
        assert!(parser.ended());
        assert_eq!(parser.usage(), TokenUsage { prompt: 7, output: 2, cached: 3 });
    }
}

#[test]
fn returns_the_first_tool_call() {
    let call = |name: &str| format!("{{\"tool_calls\":[{{\"function\":{{\"name\":\"{name}\"}}}}]}}");
    let event = |name: &str| format!("data: {{\"choices\":[{{\"delta\":{}}}]}}\n\n", call(name));
    let mut parser = SseParser::default();
    parser.push(STREAM.split("data: [DONE]").next().unwrap().as_bytes());
    assert_eq!(parser.tool(), None);
    parser.push((event("rota") + &event("bookings")).as_bytes());
    assert_eq!(parser.tool().as_deref(), Some("rota"));
    let completion = format!("{{\"choices\":[{{\"message\":{}}}]}}", call("rota"));
    assert_eq!(tool_of(&serde_json::from_str(&completion).unwrap()).as_deref(), Some("rota"));
}

#[test]
fn truncated_stream_is_not_ended() {
    let mut parser = SseParser::default();
    let events = parser.push(&STREAM.as_bytes()[..60]);
    assert_eq!(events.len(), 1);
    assert!(!parser.ended());
    assert_eq!(parser.usage(), TokenUsage { output: 1, ..TokenUsage::default() });
}
