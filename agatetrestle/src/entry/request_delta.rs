//! Delta encoding of model requests in the history.
//!
//! A chat-completions request repeats the whole conversation, so storing each request whole would grow with the
//! square of the turns; see docs/CAPACITY.md. A program's first call through a node is stored whole; a later one
//! refers to the call that it continues and adds only the new messages.

use std::sync::Arc;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::CallNumber;

const MESSAGES_FIELD: &str = "messages";

/// A finished call that a later one may continue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BaseCall {
    /// The call.
    pub call: CallNumber,
    /// Hashes of the messages in its request, in order.
    pub message_hashes: Arc<[u64]>,
}

/// A request with the hashes of its messages.
#[derive(Clone, Debug)]
pub struct Conversation {
    fields: Map<String, Value>,
    hashes: Arc<[u64]>,
}

#[derive(Serialize)]
struct RequestDelta<'a> {
    base_call: u32,
    base_messages: usize,
    request: &'a Map<String, Value>,
}

impl Conversation {
    /// Hashes the messages of a request; none if it has no list of messages.
    #[must_use]
    pub fn parse(fields: Map<String, Value>) -> Option<Self> {
        let messages = fields.get(MESSAGES_FIELD)?.as_array()?;
        let hash = |message: &Value| xxh3_64(message.to_string().as_bytes());
        let hashes = messages.iter().map(hash).collect();
        Some(Self { fields, hashes })
    }

    /// The base of later deltas, once the call has finished.
    #[must_use]
    pub fn as_base(&self, call: CallNumber) -> BaseCall {
        BaseCall { call, message_hashes: self.hashes.clone() }
    }

    /// The encoded request without the messages of its base; none if it does not continue the base.
    #[must_use]
    pub fn delta_from(&self, base: &BaseCall) -> Option<Vec<u8>> {
        let shared = base.message_hashes.len();
        if shared == 0 || self.hashes.get(..shared)? != &*base.message_hashes {
            return None;
        }
        let new_messages = self.fields.get(MESSAGES_FIELD)?.as_array()?.get(shared..)?;
        let other_fields = self.fields.iter().filter(|(name, _)| *name != MESSAGES_FIELD);
        let mut request: Map<String, Value> = other_fields.map(|(n, v)| (n.clone(), v.clone())).collect();
        request.insert(MESSAGES_FIELD.into(), Value::Array(new_messages.to_vec()));
        let delta = RequestDelta { base_call: base.call.0, base_messages: shared, request: &request };
        serde_json::to_vec(&delta).ok()
    }
}

#[cfg(test)]
mod tests;
