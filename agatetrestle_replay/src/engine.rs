//! A fake engine: continuous batching with a cost for each prompt and each generated token.
//!
//! Time passes in steps. Each step generates one token for every request past its prompt and works
//! through a chunk of one prompt. Steps of equal make-up are taken together, so that a replay costs
//! time by changes of the batch and not by tokens.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::cache::PrefixCache;
use crate::host::HostStore;

const STEP_BASE: u64 = 15_000;
const STEP_PER_REQUEST: u64 = 300;
const PREFILL_CHUNK: u32 = 1024;
const PREFILL_PER_TOKEN: u64 = 60;
const IMPORT_DIVISOR: u32 = 4;
const NORMAL_PACE: u64 = 100;

/// Microseconds of engine time for one generated token in a batch of this size.
#[must_use]
pub fn decode_cost(batch: u64) -> u64 {
    (STEP_BASE + STEP_PER_REQUEST * batch) / batch.max(1)
}

/// Microseconds of engine time for prompt tokens that are not cached.
#[must_use]
pub fn prefill_cost(tokens: u64) -> u64 {
    tokens * PREFILL_PER_TOKEN
}

/// A model call as an engine sees it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number by which the replay knows the call.
    pub call: u64,
    /// The program.
    pub program: u32,
    /// Full blocks of the prompt.
    pub prompt: Arc<[u64]>,
    /// Full blocks of prompt and answer.
    pub whole: Arc<[u64]>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Higher goes first.
    pub priority: u8,
}

#[derive(Debug)]
struct Running {
    req: Request,
    pinned: usize,
    imported: Vec<u64>,
    reserved: usize,
    prefill_left: u32,
    output_left: u32,
    cached_tokens: u32,
}

/// What an engine tells the replay.
#[derive(Clone, Debug)]
pub enum Output {
    /// Blocks of a prompt were computed.
    Prefilled {
        /// The call.
        call: u64,
        /// Those that were neither cached nor imported.
        computed: Vec<u64>,
    },
    /// The first token of an answer.
    FirstToken(u64),
    /// The whole answer.
    Finished {
        /// The call.
        call: u64,
        /// Prompt tokens that were not computed.
        cached_tokens: u32,
    },
    /// Blocks entered the cache.
    Stored(Vec<u64>),
    /// Blocks left the cache.
    Evicted(Vec<u64>),
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Its prefix cache.
    pub cache: PrefixCache,
    /// Requests it takes at once.
    pub slots: usize,
    /// Tokens in one block.
    pub block_tokens: u32,
    /// Time of a step against the normal, in percent.
    pub pace: u64,
    /// Microseconds during which at least one request ran.
    pub busy: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), Request>,
    running: Vec<Running>,
    importing: BTreeSet<u32>,
    reserved: usize,
    sequence: u64,
    planned_at: u64,
    step: u64,
    steps: u64,
}

impl Engine {
    /// An idle engine with a cache of so many blocks.
    #[must_use]
    pub fn new(slots: usize, cache_blocks: usize, block_tokens: u32) -> Self {
        Self {
            cache: PrefixCache::new(cache_blocks),
            slots,
            block_tokens,
            pace: NORMAL_PACE,
            busy: 0,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            importing: BTreeSet::new(),
            reserved: 0,
            sequence: 0,
            planned_at: 0,
            step: 0,
            steps: 0,
        }
    }

    /// Requests in service and waiting.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// When the batch next changes, if anything runs.
    #[must_use]
    pub fn wakes_at(&self) -> Option<u64> {
        (self.steps > 0).then(|| self.planned_at + self.step * self.steps)
    }

    /// Takes in a request.
    pub fn submit(&mut self, now: u64, req: Request, host: &mut HostStore) {
        self.sequence += 1;
        self.waiting.insert((Reverse(req.priority), self.sequence), req);
        if self.steps > 0 {
            self.shorten(now);
            return;
        }
        self.plan(now, host);
    }

    /// Allows the next prompt of a program to be read back from the host.
    pub fn import(&mut self, program: u32) {
        self.importing.insert(program);
    }

    /// Ends the steps that were planned up to now and plans the next ones.
    pub fn advance(&mut self, now: u64, host: &mut HostStore) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.steps == 0 {
            return outputs;
        }
        self.busy += self.step * self.steps;
        self.progress(&mut outputs);
        self.steps = 0;
        self.plan(now, host);
        outputs
    }

    /// Stops a call wherever it is; its blocks stay cached.
    pub fn cancel(&mut self, now: u64, call: u64) {
        self.waiting.retain(|_, req| req.call != call);
        let Some(at) = self.running.iter().position(|r| r.req.call == call) else {
            return;
        };
        let running = self.running.remove(at);
        self.cache.unpin(&running.req.whole[..running.pinned]);
        self.reserved -= running.reserved;
        if self.steps > 0 {
            self.shorten(now);
        }
    }

    /// Dies: everything in service and cached is lost; returns the calls.
    pub fn die(&mut self) -> Vec<u64> {
        let running = self.running.drain(..).map(|r| r.req.call);
        let mut calls: Vec<u64> = running.collect();
        calls.extend(self.waiting.values().map(|req| req.call));
        self.waiting.clear();
        self.cache.clear();
        self.importing.clear();
        self.reserved = 0;
        self.steps = 0;
        calls
    }

    fn shorten(&mut self, now: u64) {
        let elapsed = now.saturating_sub(self.planned_at);
        let begun = elapsed.div_ceil(self.step.max(1)).max(1);
        self.steps = self.steps.min(begun);
    }

    fn progress(&mut self, outputs: &mut Vec<Output>) {
        let steps = u32::try_from(self.steps).unwrap_or(u32::MAX);
        let prefilling = self.running.iter().position(|r| r.prefill_left > 0);
        let mut finished = Vec::new();
        for (at, running) in self.running.iter_mut().enumerate() {
            if running.prefill_left > 0 {
                if Some(at) == prefilling {
                    let done = PREFILL_CHUNK.saturating_mul(steps).min(running.prefill_left);
                    running.prefill_left -= done;
                }
                continue;
            }
            if running.output_left == running.req.output_tokens {
                outputs.push(Output::FirstToken(running.req.call));
            }
            running.output_left = running.output_left.saturating_sub(steps);
            if running.output_left == 0 {
                finished.push(at);
            }
        }
        if let Some(at) = prefilling.filter(|at| self.running[*at].prefill_left == 0) {
            self.prefilled(at, outputs);
        }
        for at in finished.into_iter().rev() {
            self.finish(at, outputs);
        }
    }

    fn prefilled(&mut self, at: usize, outputs: &mut Vec<Output>) {
        let running = &mut self.running[at];
        let coming = &running.req.prompt[running.pinned..];
        let evicted = self.cache.insert_pinned(coming, running.req.program, &running.imported);
        let imported = std::mem::take(&mut running.imported);
        let computed = coming.iter().copied().filter(|block| !imported.contains(block)).collect();
        outputs.push(Output::Prefilled { call: running.req.call, computed });
        if !coming.is_empty() {
            outputs.push(Output::Stored(coming.to_vec()));
        }
        self.reserved -= coming.len();
        running.reserved -= coming.len();
        running.pinned = running.req.prompt.len();
        if !evicted.is_empty() {
            outputs.push(Output::Evicted(evicted));
        }
    }

    fn finish(&mut self, at: usize, outputs: &mut Vec<Output>) {
        let running = self.running.remove(at);
        let answer = &running.req.whole[running.pinned..];
        let evicted = self.cache.insert_pinned(answer, running.req.program, &[]);
        self.cache.unpin(&running.req.whole);
        self.reserved -= running.reserved;
        if !answer.is_empty() {
            outputs.push(Output::Stored(answer.to_vec()));
        }
        if !evicted.is_empty() {
            outputs.push(Output::Evicted(evicted));
        }
        let Running { req, cached_tokens, .. } = running;
        outputs.push(Output::Finished { call: req.call, cached_tokens });
    }

    fn plan(&mut self, now: u64, host: &mut HostStore) {
        self.admit(host);
        self.planned_at = now;
        if self.running.is_empty() {
            return;
        }
        let decoding = self.running.iter().filter(|r| r.prefill_left == 0);
        let batch = u64::try_from(decoding.clone().count()).unwrap_or_default();
        let mut step = STEP_BASE + STEP_PER_REQUEST * batch;
        let mut steps = decoding.map(|r| r.output_left.max(1)).min().unwrap_or(u32::MAX);
        if let Some(running) = self.running.iter().find(|r| r.prefill_left > 0) {
            let chunk = running.prefill_left.min(PREFILL_CHUNK);
            step += PREFILL_PER_TOKEN * u64::from(chunk);
            steps = steps.min(running.prefill_left / chunk);
        }
        let fresh = self.running.iter().any(|r| r.prefill_left == 0 && r.output_left == r.req.output_tokens);
        self.step = step * self.pace / NORMAL_PACE;
        self.steps = if fresh { 1 } else { u64::from(steps) };
    }

    fn admit(&mut self, host: &mut HostStore) {
        while self.running.len() < self.slots {
            let Some((key, req)) = self.waiting.first_key_value() else {
                return;
            };
            let further = req.whole.len() - self.cache.matching(&req.prompt);
            let fits = self.cache.fits(&req.prompt, further + self.reserved);
            if !fits && !self.running.is_empty() {
                return;
            }
            let key = *key;
            if let Some(req) = self.waiting.remove(&key) {
                self.start(req, host);
            }
        }
    }

    fn start(&mut self, req: Request, host: &mut HostStore) {
        let held = self.cache.pin_prefix(&req.prompt, req.program);
        let missing = &req.prompt[held..];
        let mut imported = Vec::new();
        if self.importing.remove(&req.program) {
            imported = host.read(missing, req.program);
        }
        let tokens = |blocks: usize| self.block_tokens * u32::try_from(blocks).unwrap_or(u32::MAX);
        let cached_tokens = tokens(held + imported.len()).min(req.prompt_tokens);
        let computed = req.prompt_tokens - cached_tokens;
        let reserved = req.whole.len() - held;
        self.reserved += reserved;
        self.running.push(Running {
            pinned: held,
            reserved,
            prefill_left: (computed + tokens(imported.len()) / IMPORT_DIVISOR).max(1),
            imported,
            output_left: req.output_tokens,
            cached_tokens,
            req,
        });
    }
}
