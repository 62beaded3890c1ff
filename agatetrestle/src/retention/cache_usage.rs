//! Tokens that a node's programs hold in engine caches, and how many of them were wasted.
//!
//! Wasted tokens are those computed again although an earlier call of the program had computed them, and
//! those that a program's last call added to the cache. Prompt token counts are estimates if the engine does
//! not report them; see docs/operators/metrics-and-logs.md.

/// Totals over all programs of a node, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CacheUsage {
    /// Held by running programs; a shared prefix counts once per program.
    pub held_tokens: u64,
    /// Wasted since the process started.
    pub wasted_tokens: u64,
}

/// One program's share of the totals.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProgramCacheUsage {
    held: u64,
    computed: u64,
    /// Computed by the latest call and not yet read by a later one.
    unread: u64,
}

impl CacheUsage {
    /// Records an answered model call, of whose `prompt` tokens `cached` were read from the cache.
    pub fn record_call(&mut self, program: &mut ProgramCacheUsage, prompt: u64, cached: u64, output: u64) {
        self.wasted_tokens += program.computed.min(prompt).saturating_sub(cached);
        program.unread = prompt.saturating_sub(cached) + output;
        program.computed = prompt + output;
        self.set_held(program, program.computed);
    }

    /// Records that the engine was ordered to release or export the program's tokens.
    pub fn record_release(&mut self, program: &mut ProgramCacheUsage) {
        self.set_held(program, 0);
    }

    /// Records the end of a program.
    pub fn record_end(&mut self, mut program: ProgramCacheUsage) {
        self.wasted_tokens += program.unread;
        self.set_held(&mut program, 0);
    }

    fn set_held(&mut self, program: &mut ProgramCacheUsage, tokens: u64) {
        self.held_tokens = self.held_tokens - program.held + tokens;
        program.held = tokens;
    }
}

#[cfg(test)]
mod tests;
