//! State of the programs that have calls or cached prefixes through this node.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::Timestamp;
use crate::ids::ProgramId;
use crate::scheduler::event::BackendKey;
use crate::scheduler::fleet::PoolKey;

/// Delay of the next check if the keepalive of a program expires while it has calls.
const EXPIRY_RECHECK_INTERVAL: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a program in [`Programs`].
    pub struct ProgramKey;
}

/// Location of a program's prefix.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PrefixLocation {
    /// Not known to be cached.
    #[default]
    Unknown,
    /// In the prefix cache of an engine.
    Cached(BackendKey),
    /// Exported from an engine.
    Exported(BackendKey),
}

/// A pause between two calls of a program.
#[derive(Clone, Debug)]
pub struct ProgramPause {
    /// End of the last call.
    pub since: Timestamp,
    /// Expected time of the next call.
    pub expected_end: Timestamp,
    /// The tool that the program waits for, if known.
    pub tool: Option<Arc<str>>,
}

/// State of a program.
#[derive(Debug)]
pub struct Program {
    /// Its identifier.
    pub id: ProgramId,
    /// Declared class.
    pub class: Arc<str>,
    /// Service attained by it and its sub-agents, in microseconds of engine time.
    pub attained: u64,
    /// Total queue time of its calls and those of its sub-agents.
    pub queue_time: Duration,
    /// Location of its prefix.
    pub prefix_location: PrefixLocation,
    /// The backend server of its last call.
    pub last_server: Option<BackendKey>,
    /// Blocks of its last prompt.
    pub blocks: Arc<[u64]>,
    /// Tokens of its last prompt.
    pub prompt_tokens: u64,
    /// Tokens of its last prompt and response.
    pub tokens: u64,
    /// Leading blocks that were already cached at its first call.
    pub shared_blocks: usize,
    /// Leading tokens that were already cached at its first call, such as a system prompt.
    pub shared_tokens: u64,
    /// Calls waiting or in service.
    pub calls: u32,
    /// The current pause.
    pub pause: Option<ProgramPause>,
    /// Start or end of its latest call.
    pub last_active: Timestamp,
    /// Time without a call after which its prefix is released.
    pub keepalive: Duration,
    /// Consecutive repetitions of the same prompt.
    pub repeated_prompts: u32,
    /// Tokens reserved for it, and the pool that they are reserved in.
    pub reservation: Option<(PoolKey, u64)>,
    /// Whether its prefix has ever been exported.
    pub exported: bool,
    /// Whether its tokens are included in the idle tokens of their engine.
    pub counted_idle: bool,
}

impl Program {
    /// Tokens of its prefix that no other program shares.
    #[must_use]
    pub fn own_tokens(&self) -> u64 {
        self.tokens.saturating_sub(self.shared_tokens)
    }
}

/// Table of programs with their expiry times.
#[derive(Debug, Default)]
pub struct Programs {
    arena: SlotMap<ProgramKey, Program>,
    by_id: HashMap<ProgramId, ProgramKey>,
    expiry: BTreeSet<(Timestamp, ProgramKey)>,
    expires_at: HashMap<ProgramKey, Timestamp>,
}

impl Programs {
    /// Looks up a program and marks it as active, or inserts it.
    pub fn get_or_insert(
        &mut self,
        id: &ProgramId,
        class: &Arc<str>,
        keepalive: Duration,
        now: Timestamp,
    ) -> ProgramKey {
        if let Some(key) = self.by_id.get(id) {
            self.arena[*key].last_active = now;
            return *key;
        }
        let key = self.arena.insert(Program {
            id: id.clone(),
            class: class.clone(),
            attained: 0,
            queue_time: Duration::ZERO,
            prefix_location: PrefixLocation::Unknown,
            last_server: None,
            blocks: Arc::default(),
            prompt_tokens: 0,
            tokens: 0,
            shared_blocks: 0,
            shared_tokens: 0,
            calls: 0,
            pause: None,
            last_active: now,
            keepalive,
            repeated_prompts: 0,
            reservation: None,
            exported: false,
            counted_idle: false,
        });
        self.by_id.insert(id.clone(), key);
        self.schedule(key, now + keepalive);
        key
    }

    /// Looks up the key of a program.
    #[must_use]
    pub fn find(&self, id: &ProgramId) -> Option<ProgramKey> {
        self.by_id.get(id).copied()
    }

    /// Looks up a program.
    #[must_use]
    pub fn get(&self, key: ProgramKey) -> Option<&Program> {
        self.arena.get(key)
    }

    /// Looks up a program for modification.
    pub fn get_mut(&mut self, key: ProgramKey) -> Option<&mut Program> {
        self.arena.get_mut(key)
    }

    /// Removes a program.
    pub fn remove(&mut self, key: ProgramKey) -> Option<Program> {
        let program = self.arena.remove(key)?;
        self.by_id.remove(&program.id);
        if let Some(due) = self.expires_at.remove(&key) {
            self.expiry.remove(&(due, key));
        }
        Some(program)
    }

    /// Returns the key of the next program that has been inactive for its keepalive and stops tracking its
    /// expiry.
    pub fn take_expired(&mut self, now: Timestamp) -> Option<ProgramKey> {
        loop {
            let (due, key) = *self.expiry.first().filter(|(due, _)| *due <= now)?;
            self.expiry.remove(&(due, key));
            self.expires_at.remove(&key);
            let program = &self.arena[key];
            let expires = program.last_active + program.keepalive;
            if program.calls == 0 && expires <= now {
                return Some(key);
            }
            self.schedule(key, expires.max(now + EXPIRY_RECHECK_INTERVAL));
        }
    }

    /// Number of programs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether there are no programs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    fn schedule(&mut self, key: ProgramKey, due: Timestamp) {
        self.expires_at.insert(key, due);
        self.expiry.insert((due, key));
    }
}
