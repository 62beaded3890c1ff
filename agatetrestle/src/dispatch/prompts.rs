//! Memory of the servers to which this node has sent the turns of a program.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::dispatch::ServerKey;

/// Bounds the memory for prompts. An entry sends some hundred programs at a time.
const MAX_PROMPTS: usize = 4_096;
/// Time after which a prompt is forgotten; longer than the usual pause between turns.
const PROMPT_TTL: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug)]
struct SentPrompt {
    server: ServerKey,
    tokens: f64,
    sent_at: Timestamp,
}

/// The server and length of the last prompt of each program, by its affinity.
#[derive(Debug, Default)]
pub(super) struct SentPrompts {
    by_affinity: HashMap<u64, SentPrompt>,
    cleaned_at: Timestamp,
}

impl SentPrompts {
    pub(super) fn record(&mut self, now: Timestamp, affinity: u64, server: ServerKey, tokens: f64) {
        if now.since(self.cleaned_at) >= PROMPT_TTL {
            self.cleaned_at = now;
            self.by_affinity.retain(|_, prompt| now.since(prompt.sent_at) < PROMPT_TTL);
        }
        if self.by_affinity.len() < MAX_PROMPTS || self.by_affinity.contains_key(&affinity) {
            self.by_affinity.insert(affinity, SentPrompt { server, tokens, sent_at: now });
        }
    }

    pub(super) fn get(&self, affinity: u64) -> Option<(ServerKey, f64)> {
        self.by_affinity.get(&affinity).map(|prompt| (prompt.server, prompt.tokens))
    }
}
