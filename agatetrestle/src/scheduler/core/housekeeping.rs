//! What is done as time passes.

use crate::clock::Timestamp;
use crate::scheduler::core::Core;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::Decisions;
use crate::scheduler::programs::ProgramKey;

impl Core {
    pub(super) fn tick(&mut self, now: Timestamp, decisions: &mut Decisions) {
        self.wake_resting(now);
        self.readmit(now);
        self.requeue_delayed(now);
        self.expire(now, decisions);
        self.turn_away(now, decisions);
        self.expect_later(now);
        self.pass_all(now, decisions);
    }

    fn wake_resting(&mut self, now: Timestamp) {
        while let Some((until, key)) = self.resting.first().copied().filter(|(until, _)| *until <= now) {
            self.resting.remove(&(until, key));
            if let Some(server) = self.fleet.servers.get_mut(key)
                && server.resting_until == until
            {
                server.resting_until = Timestamp(0);
            }
            self.fleet.refresh(key);
        }
    }

    fn requeue_delayed(&mut self, now: Timestamp) {
        while let Some((due, key)) = self.delayed.first().copied().filter(|(due, _)| *due <= now) {
            self.delayed.remove(&(due, key));
            self.enqueue(key);
        }
    }

    /// Releases what programs hold that did nothing for their keepalive.
    fn expire(&mut self, now: Timestamp, decisions: &mut Decisions) {
        while let Some(key) = self.programs.take_expired(now) {
            self.forget(key, decisions);
        }
    }

    /// A program that is not back when it was expected is likely to stay away as long again.
    fn expect_later(&mut self, now: Timestamp) {
        let servers: Vec<BackendKey> = self.fleet.servers.keys().collect();
        for server in servers {
            while let Some((expected, key)) = self.overdue(server, now) {
                let away = self.programs.get(key).and_then(|p| p.pause.as_ref()).map(|p| now.since(p.since));
                let Some(away) = away else {
                    self.fleet.servers[server].idle.remove(&(expected, key));
                    continue;
                };
                self.expect_at(key, expected, now + away.max(self.cfg.tick));
            }
        }
    }

    fn overdue(&self, server: BackendKey, now: Timestamp) -> Option<(Timestamp, ProgramKey)> {
        let idle = &self.fleet.servers[server].idle;
        idle.first().copied().filter(|(expected, _)| *expected <= now)
    }
}
