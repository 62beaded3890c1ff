//! What a node's programs hold in engine caches, and how much of what they put there was wasted.
//!
//! Wasted are tokens that were computed again although an earlier call of the program had computed
//! them, and what a program's last call put there, which nobody reads again. The counts of prompt
//! tokens are estimates where the engine does not tell them; see docs/operators/metrics-and-logs.md.

/// The sums over all programs of a node, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CacheUsage {
    /// Held by programs under way; a prefix that several share counts for each.
    pub held_tokens: u64,
    /// Wasted since the start.
    pub wasted_tokens: u64,
}

/// One program's part of the account.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProgramCacheUsage {
    held: u64,
    computed: u64,
    unread: u64,
}

impl CacheUsage {
    /// A model call has its answer: `cached` of its `prompt` tokens were read from the cache.
    pub fn record_call(&mut self, program: &mut ProgramCacheUsage, prompt: u64, cached: u64, output: u64) {
        self.wasted_tokens += program.computed.min(prompt).saturating_sub(cached);
        program.unread = prompt.saturating_sub(cached) + output;
        program.computed = prompt + output;
        self.hold(program, program.computed);
    }

    /// The engine was told to drop or export what the program holds.
    pub fn record_release(&mut self, program: &mut ProgramCacheUsage) {
        self.hold(program, 0);
    }

    /// The program has ended.
    pub fn record_end(&mut self, mut program: ProgramCacheUsage) {
        self.wasted_tokens += program.unread;
        self.hold(&mut program, 0);
    }

    fn hold(&mut self, program: &mut ProgramCacheUsage, tokens: u64) {
        self.held_tokens = self.held_tokens - program.held + tokens;
        program.held = tokens;
    }
}

#[cfg(test)]
mod tests;
