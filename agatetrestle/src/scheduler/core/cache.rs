//! Bookkeeping of cached prefixes, and commands to export and release them.

use std::sync::Arc;

use crate::clock::Timestamp;
use crate::ids::ProgramId;
use crate::scheduler::core::Core;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::CacheCommand;
use crate::scheduler::event::Decisions;
use crate::scheduler::programs::PrefixLocation;
use crate::scheduler::programs::ProgramKey;

impl Core {
    /// Marks the tokens of a paused program as idle on its engine.
    pub(super) fn mark_idle(&mut self, key: ProgramKey, expected: Timestamp) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        let PrefixLocation::Cached(engine) = program.prefix_location else {
            return;
        };
        let Some(server) = self.fleet.servers.get_mut(engine) else {
            program.prefix_location = PrefixLocation::Unknown;
            return;
        };
        if !program.counted_idle {
            program.counted_idle = true;
            server.idle_tokens += program.own_tokens();
        }
        server.idle_programs.insert((expected, key));
    }

    /// Removes a program from the idle programs of its engine, so that it is not exported.
    pub(super) fn remove_idle_program(&mut self, key: ProgramKey, expected: Timestamp) {
        let Some(PrefixLocation::Cached(engine)) =
            self.programs.get(key).map(|program| program.prefix_location)
        else {
            return;
        };
        if let Some(server) = self.fleet.servers.get_mut(engine) {
            server.idle_programs.remove(&(expected, key));
        }
    }

    /// Subtracts the tokens of a program from the idle tokens of its engine.
    pub(super) fn release_idle_tokens(&mut self, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key).filter(|program| program.counted_idle) else {
            return;
        };
        program.counted_idle = false;
        let PrefixLocation::Cached(engine) = program.prefix_location else {
            return;
        };
        if let Some(server) = self.fleet.servers.get_mut(engine) {
            server.idle_tokens = server.idle_tokens.saturating_sub(program.own_tokens());
        }
    }

    /// Exports idle prefixes, the one with the latest expected use first, until the rest fits the cache.
    pub(super) fn export_excess(&mut self, engine: BackendKey, decisions: &mut Decisions) {
        if !self.components.retention {
            return;
        }
        while let Some(server) = self.fleet.servers.get(engine) {
            let budget = server.cache_budget(self.cfg.cache_fill);
            if server.pinned_tokens + server.idle_tokens <= budget {
                return;
            }
            let Some((_, key)) = server.idle_programs.last().copied() else {
                return;
            };
            self.export_prefix(key, engine, decisions);
        }
    }

    /// Exports the prefix of a program from an engine.
    pub(super) fn export_prefix(&mut self, key: ProgramKey, engine: BackendKey, decisions: &mut Decisions) {
        let expected = self.programs.get(key).and_then(|program| program.pause.as_ref());
        if let Some(expected) = expected.map(|pause| pause.expected_end) {
            self.remove_idle_program(key, expected);
        }
        self.release_idle_tokens(key);
        self.remove_own_blocks(key, engine);
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        program.prefix_location = PrefixLocation::Exported(engine);
        program.exported = true;
        let program = program.id.clone();
        decisions.cache_commands.push(CacheCommand::Export { program, backend: engine });
    }

    /// Releases the prefix of a program, cached or exported.
    pub(super) fn release_prefix(&mut self, key: ProgramKey, decisions: &mut Decisions) {
        let Some(program) = self.programs.get(key) else {
            return;
        };
        let location = program.prefix_location;
        if let Some(expected) = program.pause.as_ref().map(|pause| pause.expected_end) {
            self.remove_idle_program(key, expected);
        }
        self.release_idle_tokens(key);
        let (PrefixLocation::Cached(engine) | PrefixLocation::Exported(engine)) = location else {
            return;
        };
        if !self.components.retention {
            return;
        }
        self.remove_own_blocks(key, engine);
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        program.prefix_location = PrefixLocation::Unknown;
        let program = program.id.clone();
        decisions.cache_commands.push(CacheCommand::Release { program, backend: engine });
    }

    /// Updates the expected end of a pause for the tool that the program waits for.
    pub(super) fn paused(&mut self, id: &ProgramId, tool: Arc<str>) {
        let Some(key) = self.programs.find(id) else {
            return;
        };
        let Some(program) = self.programs.get(key) else {
            return;
        };
        let Some(pause) = &program.pause else {
            return;
        };
        let class = program.class.clone();
        let (previous, since) = (pause.expected_end, pause.since);
        let pause_length = self.pauses.quantile(&class, Some(&tool), self.cfg.return_percent);
        self.set_expected_end(key, previous, since + pause_length);
        if let Some(pause) = self.programs.get_mut(key).and_then(|program| program.pause.as_mut()) {
            pause.tool = Some(tool);
        }
    }

    /// Changes the expected end of a pause.
    pub(super) fn set_expected_end(&mut self, key: ProgramKey, previous: Timestamp, expected: Timestamp) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        let Some(pause) = program.pause.as_mut() else {
            return;
        };
        pause.expected_end = expected;
        let PrefixLocation::Cached(engine) = program.prefix_location else {
            return;
        };
        let Some(server) = self.fleet.servers.get_mut(engine) else {
            return;
        };
        if server.idle_programs.remove(&(previous, key)) {
            server.idle_programs.insert((expected, key));
        }
    }

    fn remove_own_blocks(&mut self, key: ProgramKey, engine: BackendKey) {
        let Some(program) = self.programs.get(key) else {
            return;
        };
        let Some(server) = self.fleet.servers.get_mut(engine) else {
            return;
        };
        let shared = program.shared_blocks.min(program.blocks.len());
        server.residency.remove(&program.blocks[shared..]);
    }
}
