//! Tests of what the history keeps of a model call.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::entry::record::Conversation;
use crate::ids::CallNumber;

fn conversation(texts: &[&str]) -> Conversation {
    let messages: Vec<Value> = texts.iter().map(|text| json!({ "role": "user", "content": text })).collect();
    let form: Map<String, Value> =
        json!({ "model": "tutor", "messages": messages }).as_object().cloned().unwrap();
    Conversation::of(form).unwrap()
}

#[test]
fn a_call_that_continues_another_keeps_only_what_it_gained() {
    let base = conversation(&["one", "two"]).base(CallNumber(3));
    let kept = conversation(&["one", "two", "three"]).since(&base).unwrap();
    insta::assert_json_snapshot!(serde_json::from_slice::<Value>(&kept).unwrap());
}

#[test]
fn a_call_with_another_past_is_kept_whole() {
    let base = conversation(&["one", "two"]).base(CallNumber(3));
    assert!(conversation(&["one", "other", "three"]).since(&base).is_none());
    assert!(conversation(&["one"]).since(&base).is_none());
    assert!(conversation(&["one"]).since(&conversation(&[]).base(CallNumber(1))).is_none());
}

#[test]
fn the_history_of_a_long_program_grows_with_its_turns_and_not_with_their_square() {
    let kept = |turns: usize| -> usize {
        let texts: Vec<String> = (0..turns).map(|turn| format!("turn {turn} {}", "x".repeat(400))).collect();
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        let mut base = conversation(&texts[..1]).base(CallNumber(1));
        let mut bytes = 0;
        for turn in 2..=turns {
            let call = CallNumber(u32::try_from(turn).unwrap());
            let next = conversation(&texts[..turn]);
            bytes += next.since(&base).unwrap().len();
            base = next.base(call);
        }
        bytes
    };
    assert!(kept(160) < 5 * kept(40));
}
