//! Simulated inference engine with continuous batching and chunked prefill.
//!
//! Each step generates one token for every decoding request and prefills a chunk of one prompt. Consecutive steps with
//! the same batch are simulated as one event, so the cost of a replay depends on batch changes and not on tokens.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::cache::PrefixCache;
use crate::host::HostStore;

const STEP_BASE_MICROS: u64 = 15_000;
const STEP_PER_REQUEST_MICROS: u64 = 300;
const PREFILL_CHUNK_TOKENS: u32 = 1024;
const PREFILL_TOKEN_MICROS: u64 = 60;
const IMPORT_COST_DIVISOR: u32 = 4;
const NORMAL_PACE_PERCENT: u64 = 100;

/// Microseconds of engine time for one generated token in a batch of this size.
#[must_use]
pub fn decode_cost(batch: u64) -> u64 {
    (STEP_BASE_MICROS + STEP_PER_REQUEST_MICROS * batch) / batch.max(1)
}

/// Microseconds of engine time for prompt tokens that are not cached.
#[must_use]
pub fn prefill_cost(tokens: u64) -> u64 {
    tokens * PREFILL_TOKEN_MICROS
}

/// A model call submitted to an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Id of the call in the simulation.
    pub call: u64,
    /// Index of the program.
    pub program: u32,
    /// Full blocks of the prompt.
    pub prompt: Arc<[u64]>,
    /// Full blocks of prompt and answer.
    pub sequence: Arc<[u64]>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Scheduling priority, higher first.
    pub priority: u8,
}

#[derive(Debug)]
struct RunningRequest {
    req: EngineRequest,
    pinned: usize,
    imported: Vec<u64>,
    reserved: usize,
    prefill_left: u32,
    output_left: u32,
    cached_tokens: u32,
}

/// An output event of an engine.
#[derive(Clone, Debug)]
pub enum EngineOutput {
    /// A prompt is prefilled.
    Prefilled {
        /// Id of the call.
        call: u64,
        /// Blocks that were neither cached nor imported.
        computed: Vec<u64>,
    },
    /// The first token of the answer to this call.
    FirstToken(u64),
    /// The answer is complete.
    Finished {
        /// Id of the call.
        call: u64,
        /// Prompt tokens read from the cache or imported.
        cached_tokens: u32,
    },
    /// Blocks entered the cache.
    Stored(Vec<u64>),
    /// Blocks left the cache.
    Evicted(Vec<u64>),
}

/// A simulated engine.
#[derive(Debug)]
pub struct SimEngine {
    /// Prefix cache of this engine.
    pub cache: PrefixCache,
    /// Maximum number of running requests.
    pub slots: usize,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Duration of a step in percent of the normal duration.
    pub pace_percent: u64,
    /// Total time with at least one running request.
    pub busy_micros: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), EngineRequest>,
    running: Vec<RunningRequest>,
    pending_imports: BTreeSet<u32>,
    reserved: usize,
    submit_seq: u64,
    planned_at: u64,
    step_micros: u64,
    planned_steps: u64,
}

impl SimEngine {
    /// Creates an idle engine with a cache of `cache_blocks`.
    #[must_use]
    pub fn new(slots: usize, cache_blocks: usize, block_tokens: u32) -> Self {
        Self {
            cache: PrefixCache::new(cache_blocks),
            slots,
            block_tokens,
            pace_percent: NORMAL_PACE_PERCENT,
            busy_micros: 0,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            pending_imports: BTreeSet::new(),
            reserved: 0,
            submit_seq: 0,
            planned_at: 0,
            step_micros: 0,
            planned_steps: 0,
        }
    }

    /// Numbers of running and waiting requests.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Virtual time of the next batch change, if any request is running.
    #[must_use]
    pub fn next_wake(&self) -> Option<u64> {
        (self.planned_steps > 0).then(|| self.planned_at + self.step_micros * self.planned_steps)
    }

    /// Queues a request and schedules it when the current step ends.
    pub fn submit(&mut self, now: u64, req: EngineRequest, host: &mut HostStore) {
        self.submit_seq += 1;
        self.waiting.insert((Reverse(req.priority), self.submit_seq), req);
        if self.planned_steps > 0 {
            self.truncate_plan(now);
            return;
        }
        self.plan(now, host);
    }

    /// Lets the next request of a program import its blocks from host memory.
    pub fn import(&mut self, program: u32) {
        self.pending_imports.insert(program);
    }

    /// Completes the planned steps and plans the next ones.
    pub fn advance(&mut self, now: u64, host: &mut HostStore) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        if self.planned_steps == 0 {
            return outputs;
        }
        self.busy_micros += self.step_micros * self.planned_steps;
        self.complete_steps(&mut outputs);
        self.planned_steps = 0;
        self.plan(now, host);
        outputs
    }

    /// Cancels a waiting or running call; its cached blocks stay.
    pub fn cancel(&mut self, now: u64, call: u64) {
        self.waiting.retain(|_, req| req.call != call);
        let Some(at) = self.running.iter().position(|r| r.req.call == call) else {
            return;
        };
        let running = self.running.remove(at);
        self.cache.unpin(&running.req.sequence[..running.pinned]);
        self.reserved -= running.reserved;
        if self.planned_steps > 0 {
            self.truncate_plan(now);
        }
    }

    /// Drops all requests and cached blocks and returns the aborted calls.
    pub fn crash(&mut self) -> Vec<u64> {
        let running = self.running.drain(..).map(|r| r.req.call);
        let mut calls: Vec<u64> = running.collect();
        calls.extend(self.waiting.values().map(|req| req.call));
        self.waiting.clear();
        self.cache.clear();
        self.pending_imports.clear();
        self.reserved = 0;
        self.planned_steps = 0;
        calls
    }

    fn truncate_plan(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.planned_at);
        let started = elapsed.div_ceil(self.step_micros.max(1)).max(1);
        self.planned_steps = self.planned_steps.min(started);
    }

    fn complete_steps(&mut self, outputs: &mut Vec<EngineOutput>) {
        let steps = u32::try_from(self.planned_steps).unwrap_or(u32::MAX);
        let prefilling = self.running.iter().position(|r| r.prefill_left > 0);
        let mut finished = Vec::new();
        for (at, running) in self.running.iter_mut().enumerate() {
            if running.prefill_left > 0 {
                if Some(at) == prefilling {
                    let done = PREFILL_CHUNK_TOKENS.saturating_mul(steps).min(running.prefill_left);
                    running.prefill_left -= done;
                }
                continue;
            }
            if running.output_left == running.req.output_tokens {
                outputs.push(EngineOutput::FirstToken(running.req.call));
            }
            running.output_left = running.output_left.saturating_sub(steps);
            if running.output_left == 0 {
                finished.push(at);
            }
        }
        if let Some(at) = prefilling.filter(|at| self.running[*at].prefill_left == 0) {
            self.complete_prefill(at, outputs);
        }
        for at in finished.into_iter().rev() {
            self.finish(at, outputs);
        }
    }

    fn complete_prefill(&mut self, at: usize, outputs: &mut Vec<EngineOutput>) {
        let running = &mut self.running[at];
        let added = &running.req.prompt[running.pinned..];
        let evicted = self.cache.insert_pinned(added, running.req.program, &running.imported);
        let imported = std::mem::take(&mut running.imported);
        let computed = added.iter().copied().filter(|block| !imported.contains(block)).collect();
        outputs.push(EngineOutput::Prefilled { call: running.req.call, computed });
        if !added.is_empty() {
            outputs.push(EngineOutput::Stored(added.to_vec()));
        }
        self.reserved -= added.len();
        running.reserved -= added.len();
        running.pinned = running.req.prompt.len();
        if !evicted.is_empty() {
            outputs.push(EngineOutput::Evicted(evicted));
        }
    }

    fn finish(&mut self, at: usize, outputs: &mut Vec<EngineOutput>) {
        let running = self.running.remove(at);
        let answer = &running.req.sequence[running.pinned..];
        let evicted = self.cache.insert_pinned(answer, running.req.program, &[]);
        self.cache.unpin(&running.req.sequence);
        self.reserved -= running.reserved;
        if !answer.is_empty() {
            outputs.push(EngineOutput::Stored(answer.to_vec()));
        }
        if !evicted.is_empty() {
            outputs.push(EngineOutput::Evicted(evicted));
        }
        let RunningRequest { req, cached_tokens, .. } = running;
        outputs.push(EngineOutput::Finished { call: req.call, cached_tokens });
    }

    fn plan(&mut self, now: u64, host: &mut HostStore) {
        self.admit(host);
        self.planned_at = now;
        if self.running.is_empty() {
            return;
        }
        let decoding = self.running.iter().filter(|r| r.prefill_left == 0);
        let batch = u64::try_from(decoding.clone().count()).unwrap_or_default();
        let mut step = STEP_BASE_MICROS + STEP_PER_REQUEST_MICROS * batch;
        let mut steps = decoding.map(|r| r.output_left.max(1)).min().unwrap_or(u32::MAX);
        if let Some(running) = self.running.iter().find(|r| r.prefill_left > 0) {
            let chunk = running.prefill_left.min(PREFILL_CHUNK_TOKENS);
            step += PREFILL_TOKEN_MICROS * u64::from(chunk);
            steps = steps.min(running.prefill_left / chunk);
        }
        let first_token_due =
            self.running.iter().any(|r| r.prefill_left == 0 && r.output_left == r.req.output_tokens);
        self.step_micros = step * self.pace_percent / NORMAL_PACE_PERCENT;
        self.planned_steps = if first_token_due { 1 } else { u64::from(steps) };
    }

    fn admit(&mut self, host: &mut HostStore) {
        while self.running.len() < self.slots {
            let Some((key, req)) = self.waiting.first_key_value() else {
                return;
            };
            let needed = req.sequence.len() - self.cache.prefix_len(&req.prompt);
            let fits = self.cache.fits(&req.prompt, needed + self.reserved);
            if !fits && !self.running.is_empty() {
                return;
            }
            let key = *key;
            if let Some(req) = self.waiting.remove(&key) {
                self.start(req, host);
            }
        }
    }

    fn start(&mut self, req: EngineRequest, host: &mut HostStore) {
        let cached = self.cache.pin_prefix(&req.prompt, req.program);
        let missing = &req.prompt[cached..];
        let mut imported = Vec::new();
        if self.pending_imports.remove(&req.program) {
            imported = host.read(missing, req.program);
        }
        let tokens = |blocks: usize| self.block_tokens * u32::try_from(blocks).unwrap_or(u32::MAX);
        let cached_tokens = tokens(cached + imported.len()).min(req.prompt_tokens);
        let computed = req.prompt_tokens - cached_tokens;
        let reserved = req.sequence.len() - cached;
        self.reserved += reserved;
        self.running.push(RunningRequest {
            pinned: cached,
            reserved,
            prefill_left: (computed + tokens(imported.len()) / IMPORT_COST_DIVISOR).max(1),
            imported,
            output_left: req.output_tokens,
            cached_tokens,
            req,
        });
    }
}
