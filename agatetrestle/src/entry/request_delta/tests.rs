//! Tests of the delta encoding of model requests.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::entry::request_delta::Conversation;
use crate::ids::CallNumber;

fn conversation(texts: &[&str]) -> Conversation {
    let messages: Vec<Value> = texts.iter().map(|text| json!({ "role": "user", "content": text })).collect();
    let fields: Map<String, Value> =
        json!({ "model": "tutor", "messages": messages }).as_object().cloned().unwrap();
    Conversation::parse(fields).unwrap()
}

#[test]
fn stores_only_new_messages_of_a_continued_conversation() {
    let base = conversation(&["one", "two"]).as_base(CallNumber(3));
    let delta = conversation(&["one", "two", "three"]).delta_from(&base).unwrap();
    insta::assert_json_snapshot!(serde_json::from_slice::<Value>(&delta).unwrap());
}

#[test]
fn gives_no_delta_for_a_different_conversation() {
    let base = conversation(&["one", "two"]).as_base(CallNumber(3));
    assert!(conversation(&["one", "other", "three"]).delta_from(&base).is_none());
    assert!(conversation(&["one"]).delta_from(&base).is_none());
    assert!(conversation(&["one"]).delta_from(&conversation(&[]).as_base(CallNumber(1))).is_none());
}

#[test]
fn stored_bytes_grow_linearly_with_turns() {
    let stored_bytes = |turns: usize| -> usize {
        let texts: Vec<String> = (0..turns).map(|turn| format!("turn {turn} {}", "x".repeat(400))).collect();
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        let mut base = conversation(&texts[..1]).as_base(CallNumber(1));
        let mut bytes = 0;
        for turn in 2..=turns {
            let call = CallNumber(u32::try_from(turn).unwrap());
            let next = conversation(&texts[..turn]);
            bytes += next.delta_from(&base).unwrap().len();
            base = next.as_base(call);
        }
        bytes
    };
    assert!(stored_bytes(160) < 5 * stored_bytes(40));
}
