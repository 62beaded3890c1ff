//! What the engines hold for programs, and the orders about it.

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
    /// Begins a pause: the program's tokens are idle on the engine that holds them.
    pub(super) fn park(&mut self, key: ProgramKey, expected: Timestamp) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        let PrefixLocation::Cached(holder) = program.place else {
            return;
        };
        let Some(server) = self.fleet.servers.get_mut(holder) else {
            program.place = PrefixLocation::Unknown;
            return;
        };
        if !program.parked {
            program.parked = true;
            server.idle_tokens += program.own_tokens();
        }
        server.idle.insert((expected, key));
    }

    /// A program is about to go on, so that its tokens are no longer offered for export.
    pub(super) fn no_longer_idle(&mut self, key: ProgramKey, expected: Timestamp) {
        let Some(PrefixLocation::Cached(holder)) = self.programs.get(key).map(|program| program.place) else {
            return;
        };
        if let Some(server) = self.fleet.servers.get_mut(holder) {
            server.idle.remove(&(expected, key));
        }
    }

    /// Ends the count of a program's tokens as idle.
    pub(super) fn unpark(&mut self, key: ProgramKey) {
        let Some(program) = self.programs.get_mut(key).filter(|program| program.parked) else {
            return;
        };
        program.parked = false;
        let PrefixLocation::Cached(holder) = program.place else {
            return;
        };
        if let Some(server) = self.fleet.servers.get_mut(holder) {
            server.idle_tokens = server.idle_tokens.saturating_sub(program.own_tokens());
        }
    }

    /// Exports what is expected back last until the engine's plan fits its memory.
    pub(super) fn make_room(&mut self, holder: BackendKey, decisions: &mut Decisions) {
        if !self.parts.retention {
            return;
        }
        while let Some(server) = self.fleet.servers.get(holder) {
            let budget = server.cache_budget(self.cfg.cache_fill);
            if server.pinned_tokens + server.idle_tokens <= budget {
                return;
            }
            let Some((_, key)) = server.idle.last().copied() else {
                return;
            };
            self.export(key, holder, decisions);
        }
    }

    /// Moves a program's tokens out of an engine's memory.
    pub(super) fn export(&mut self, key: ProgramKey, holder: BackendKey, decisions: &mut Decisions) {
        let expected = self.programs.get(key).and_then(|program| program.pause.as_ref());
        if let Some(expected) = expected.map(|pause| pause.expected) {
            self.no_longer_idle(key, expected);
        }
        self.unpark(key);
        self.forget_blocks(key, holder);
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        program.place = PrefixLocation::Exported(holder);
        program.exported = true;
        let program = program.id.clone();
        decisions.cache_commands.push(CacheCommand::Export { program, backend: holder });
    }

    /// Drops what a program holds anywhere.
    pub(super) fn release_everywhere(&mut self, key: ProgramKey, decisions: &mut Decisions) {
        let Some(program) = self.programs.get(key) else {
            return;
        };
        let place = program.place;
        if let Some(expected) = program.pause.as_ref().map(|pause| pause.expected) {
            self.no_longer_idle(key, expected);
        }
        self.unpark(key);
        let (PrefixLocation::Cached(holder) | PrefixLocation::Exported(holder)) = place else {
            return;
        };
        if !self.parts.retention {
            return;
        }
        self.forget_blocks(key, holder);
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        program.place = PrefixLocation::Unknown;
        let program = program.id.clone();
        decisions.cache_commands.push(CacheCommand::Release { program, backend: holder });
    }

    /// Ends a pause's guess and makes a better one, now that the tool is known.
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
        let (before, since) = (pause.expected, pause.since);
        let away = self.returns.quantile(&class, Some(&tool), self.cfg.return_percent);
        self.expect_at(key, before, since + away);
        if let Some(pause) = self.programs.get_mut(key).and_then(|program| program.pause.as_mut()) {
            pause.tool = Some(tool);
        }
    }

    /// Changes when a paused program is expected back.
    pub(super) fn expect_at(&mut self, key: ProgramKey, before: Timestamp, expected: Timestamp) {
        let Some(program) = self.programs.get_mut(key) else {
            return;
        };
        let Some(pause) = program.pause.as_mut() else {
            return;
        };
        pause.expected = expected;
        let PrefixLocation::Cached(holder) = program.place else {
            return;
        };
        let Some(server) = self.fleet.servers.get_mut(holder) else {
            return;
        };
        if server.idle.remove(&(before, key)) {
            server.idle.insert((expected, key));
        }
    }

    fn forget_blocks(&mut self, key: ProgramKey, holder: BackendKey) {
        let Some(program) = self.programs.get(key) else {
            return;
        };
        let Some(server) = self.fleet.servers.get_mut(holder) else {
            return;
        };
        let shared = program.shared_blocks.min(program.blocks.len());
        server.residency.remove(&program.blocks[shared..]);
    }
}
