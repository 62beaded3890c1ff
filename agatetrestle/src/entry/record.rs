//! What the history keeps of a model call: only what the conversation gained since an earlier call.
//!
//! A chat-completions request carries the whole conversation, so keeping each request whole would grow
//! with the square of the turns; see docs/CAPACITY.md. A program's first call through a node is kept whole;
//! a later one names the call that it continues and how many messages it shares with that one's request.

use std::sync::Arc;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::CallNumber;

/// The member of a request that holds the conversation.
const MESSAGES: &str = "messages";

/// A finished call that a later one may continue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Base {
    /// The call.
    pub call: CallNumber,
    /// Hashes of its messages, in order.
    pub messages: Arc<[u64]>,
}

/// A request with the hashes of its messages.
#[derive(Clone, Debug)]
pub struct Conversation {
    form: Map<String, Value>,
    hashes: Arc<[u64]>,
}

#[derive(Serialize)]
struct Continued<'a> {
    base_call: u32,
    base_messages: usize,
    request: &'a Map<String, Value>,
}

impl Conversation {
    /// The conversation of a request; none where it holds no list of messages.
    #[must_use]
    pub fn of(form: Map<String, Value>) -> Option<Self> {
        let messages = form.get(MESSAGES)?.as_array()?;
        let hash = |message: &Value| xxh3_64(message.to_string().as_bytes());
        let hashes = messages.iter().map(hash).collect();
        Some(Self { form, hashes })
    }

    /// What a later call may continue once this one has finished.
    #[must_use]
    pub fn base(&self, call: CallNumber) -> Base {
        Base { call, messages: self.hashes.clone() }
    }

    /// The request without what it shares with its base; none where it does not continue it.
    #[must_use]
    pub fn since(&self, base: &Base) -> Option<Vec<u8>> {
        let shared = base.messages.len();
        if shared == 0 || self.hashes.get(..shared)? != &*base.messages {
            return None;
        }
        let gained = self.form.get(MESSAGES)?.as_array()?.get(shared..)?;
        let others = self.form.iter().filter(|(name, _)| *name != MESSAGES);
        let mut request: Map<String, Value> = others.map(|(n, v)| (n.clone(), v.clone())).collect();
        request.insert(MESSAGES.into(), Value::Array(gained.to_vec()));
        let continued = Continued { base_call: base.call.0, base_messages: shared, request: &request };
        serde_json::to_vec(&continued).ok()
    }
}

#[cfg(test)]
mod tests;
