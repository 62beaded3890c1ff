//! Parser for the server-sent events of a streamed chat completion.

use std::sync::Arc;

use crate::attempts::TokenUsage;

const EVENT_SEPARATOR: &[u8] = b"\n\n";
const DATA_PREFIX: &str = "data:";
const DONE_MARKER: &str = "[DONE]";

/// Splits a stream into events and extracts token usage and the first tool call.
#[derive(Debug, Default)]
pub struct SseParser {
    buf: Vec<u8>,
    scanned: usize,
    ended: bool,
    deltas: u64,
    usage: Option<TokenUsage>,
    tool: Option<Arc<str>>,
}

/// One event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SseEvent {
    /// The event with its separator.
    pub bytes: Vec<u8>,
    /// Whether it is the last event of the stream.
    pub last: bool,
}

impl SseParser {
    /// Adds bytes and returns the events they complete. Everything after the last event is discarded.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.buf.extend(bytes.iter().filter(|b| **b != b'\r'));
        let mut events = Vec::new();
        while let Some(end) = self.find_event_end() {
            let rest = self.buf.split_off(end);
            let event = std::mem::replace(&mut self.buf, rest);
            self.scanned = 0;
            if self.ended {
                continue;
            }
            let last = self.parse_event(&event);
            events.push(SseEvent { bytes: event, last });
        }
        events
    }

    /// Whether the last event was received.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Token counts reported by the engine; without them, the number of deltas as output.
    #[must_use]
    pub fn usage(&self) -> TokenUsage {
        self.usage.unwrap_or(TokenUsage { output: self.deltas, ..TokenUsage::default() })
    }

    /// The first tool that the answer calls.
    #[must_use]
    pub fn tool(&self) -> Option<Arc<str>> {
        self.tool.clone()
    }

    fn find_event_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(1);
        let found = self.buf[start..].windows(EVENT_SEPARATOR.len()).position(|w| w == EVENT_SEPARATOR);
        self.scanned = self.buf.len();
        found.map(|at| start + at + EVENT_SEPARATOR.len())
    }

    fn parse_event(&mut self, event: &[u8]) -> bool {
        let text = String::from_utf8_lossy(event);
        for line in text.lines() {
            let Some(data) = line.strip_prefix(DATA_PREFIX) else {
                continue;
            };
            let data = data.trim();
            if data == DONE_MARKER {
                self.ended = true;
                return true;
            }
            self.parse_data(data);
        }
        false
    }

    fn parse_data(&mut self, data: &str) {
        if data.contains("\"delta\"") {
            self.deltas += 1;
        }
        if !data.contains("\"usage\"") && !data.contains("\"tool_calls\"") {
            return;
        }
        if let Ok(value) = serde_json::from_str(data) {
            self.usage = usage_of(&value).or(self.usage);
            self.tool = self.tool.take().or_else(|| tool_of(&value));
        }
    }
}

/// Reads the name of the first tool that a chat completion or a chunk of one calls.
#[must_use]
pub fn tool_of(value: &serde_json::Value) -> Option<Arc<str>> {
    let choice = value.get("choices")?.get(0)?;
    let message = choice.get("message").or_else(|| choice.get("delta"))?;
    let name = message.get("tool_calls")?.get(0)?.get("function")?.get("name")?.as_str()?;
    Some(name.into())
}

/// Reads the `usage` object of a chat completion.
#[must_use]
pub fn usage_of(value: &serde_json::Value) -> Option<TokenUsage> {
    let usage = value.get("usage")?.as_object()?;
    let count = |name: &str| usage.get(name).and_then(serde_json::Value::as_u64).unwrap_or(0);
    let details = usage.get("prompt_tokens_details");
    let cached = details.and_then(|d| d.get("cached_tokens")).and_then(serde_json::Value::as_u64);
    Some(TokenUsage {
        prompt: count("prompt_tokens"),
        output: count("completion_tokens"),
        cached: cached.unwrap_or(0),
    })
}

#[cfg(test)]
mod tests;
