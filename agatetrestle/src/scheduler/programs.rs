//! The programs that have calls or cache on this node's account.

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

/// A program whose keepalive ran out while it has calls is looked at again after this time.
const RECHECK: Duration = Duration::from_secs(1);

new_key_type! {
    /// Key of a program in the table.
    pub struct ProgramKey;
}

/// Where a program's prefix is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PrefixLocation {
    /// Nowhere as far as is known.
    #[default]
    Unknown,
    /// In the memory of an engine.
    Cached(BackendKey),
    /// Exported from an engine.
    Exported(BackendKey),
}

/// A pause of a program.
#[derive(Clone, Debug)]
pub struct Pause {
    /// When its last answer came.
    pub since: Timestamp,
    /// When it is expected back.
    pub expected: Timestamp,
    /// The tool that it waits for, if that is known.
    pub tool: Option<Arc<str>>,
}

/// What is remembered of a program; a few hundred bytes and the blocks of its last prompt.
#[derive(Debug)]
pub struct Program {
    /// The program.
    pub id: ProgramId,
    /// Its class.
    pub class: Arc<str>,
    /// Service attained with its sub-agents, in microseconds of engine time.
    pub attained: u64,
    /// Time that its calls and those of its sub-agents have waited.
    pub waited: Duration,
    /// Where its prefix is.
    pub place: PrefixLocation,
    /// The backend server of its last call.
    pub home: Option<BackendKey>,
    /// Blocks of its last prompt.
    pub blocks: Arc<[u64]>,
    /// Tokens of its last prompt.
    pub prompt_tokens: u64,
    /// Tokens of its last prompt and answer.
    pub tokens: u64,
    /// Leading blocks that were there before its first call.
    pub shared_blocks: usize,
    /// Leading tokens that were there before its first call, such as a system prompt.
    pub shared_tokens: u64,
    /// Calls that wait or are in service.
    pub calls: u32,
    /// The pause that it is in.
    pub pause: Option<Pause>,
    /// When it last did something.
    pub active: Timestamp,
    /// Time without a call after which its cache is released.
    pub keepalive: Duration,
    /// Equal prompts in a row.
    pub repeats: u32,
    /// The pool at whose door tokens are booked for it, and how many.
    pub booked: Option<(PoolKey, u64)>,
    /// Whether any of its prefix was ever exported.
    pub exported: bool,
    /// Whether its tokens are counted as idle on the engine that holds them.
    pub parked: bool,
}

impl Program {
    /// Tokens that only this program holds.
    #[must_use]
    pub fn own_tokens(&self) -> u64 {
        self.tokens.saturating_sub(self.shared_tokens)
    }
}

/// The table of programs, each with one entry in the order of expiry.
#[derive(Debug, Default)]
pub struct Programs {
    arena: SlotMap<ProgramKey, Program>,
    names: HashMap<ProgramId, ProgramKey>,
    expiry: BTreeSet<(Timestamp, ProgramKey)>,
    due: HashMap<ProgramKey, Timestamp>,
}

impl Programs {
    /// The key of a program, which is entered if it is new.
    pub fn enter(
        &mut self,
        id: &ProgramId,
        class: &Arc<str>,
        keepalive: Duration,
        now: Timestamp,
    ) -> ProgramKey {
        if let Some(key) = self.names.get(id) {
            self.arena[*key].active = now;
            return *key;
        }
        let key = self.arena.insert(Program {
            id: id.clone(),
            class: class.clone(),
            attained: 0,
            waited: Duration::ZERO,
            place: PrefixLocation::Unknown,
            home: None,
            blocks: Arc::default(),
            prompt_tokens: 0,
            tokens: 0,
            shared_blocks: 0,
            shared_tokens: 0,
            calls: 0,
            pause: None,
            active: now,
            keepalive,
            repeats: 0,
            booked: None,
            exported: false,
            parked: false,
        });
        self.names.insert(id.clone(), key);
        self.schedule(key, now + keepalive);
        key
    }

    /// The key of a program, if it is known.
    #[must_use]
    pub fn find(&self, id: &ProgramId) -> Option<ProgramKey> {
        self.names.get(id).copied()
    }

    /// A program by its key.
    #[must_use]
    pub fn get(&self, key: ProgramKey) -> Option<&Program> {
        self.arena.get(key)
    }

    /// A program by its key, to be changed.
    pub fn get_mut(&mut self, key: ProgramKey) -> Option<&mut Program> {
        self.arena.get_mut(key)
    }

    /// Forgets a program.
    pub fn remove(&mut self, key: ProgramKey) -> Option<Program> {
        let program = self.arena.remove(key)?;
        self.names.remove(&program.id);
        if let Some(due) = self.due.remove(&key) {
            self.expiry.remove(&(due, key));
        }
        Some(program)
    }

    /// Takes out a program that did nothing for its keepalive, if there is one.
    pub fn take_expired(&mut self, now: Timestamp) -> Option<ProgramKey> {
        loop {
            let (due, key) = *self.expiry.first().filter(|(due, _)| *due <= now)?;
            self.expiry.remove(&(due, key));
            self.due.remove(&key);
            let program = &self.arena[key];
            let expires = program.active + program.keepalive;
            if program.calls == 0 && expires <= now {
                return Some(key);
            }
            self.schedule(key, expires.max(now + RECHECK));
        }
    }

    /// Programs known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no program is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    fn schedule(&mut self, key: ProgramKey, due: Timestamp) {
        self.due.insert(key, due);
        self.expiry.insert((due, key));
    }
}
