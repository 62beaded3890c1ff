//! Periodic work of the scheduler.

use crate::clock::Timestamp;
use crate::scheduler::core::Core;
use crate::scheduler::event::BackendKey;
use crate::scheduler::event::Decisions;
use crate::scheduler::programs::ProgramKey;

impl Core {
    pub(super) fn tick(&mut self, now: Timestamp, decisions: &mut Decisions) {
        self.end_backoffs(now);
        self.readmit(now);
        self.requeue_delayed(now);
        self.expire_programs(now, decisions);
        self.refuse_timed_out(now, decisions);
        self.extend_pauses(now);
        self.dispatch_all(now, decisions);
    }

    fn end_backoffs(&mut self, now: Timestamp) {
        while let Some((until, key)) = self.backoffs.first().copied().filter(|(until, _)| *until <= now) {
            self.backoffs.remove(&(until, key));
            if let Some(server) = self.fleet.servers.get_mut(key)
                && server.backoff_until == until
            {
                server.backoff_until = Timestamp(0);
            }
            self.fleet.update_open(key);
        }
    }

    fn requeue_delayed(&mut self, now: Timestamp) {
        while let Some((due, key)) = self.delayed.first().copied().filter(|(due, _)| *due <= now) {
            self.delayed.remove(&(due, key));
            self.enqueue(key);
        }
    }

    /// Removes programs that were inactive for their keepalive.
    fn expire_programs(&mut self, now: Timestamp, decisions: &mut Decisions) {
        while let Some(key) = self.programs.take_expired(now) {
            self.remove_program(key, decisions);
        }
    }

    /// Extends overdue pauses by the time that they have lasted so far.
    fn extend_pauses(&mut self, now: Timestamp) {
        let servers: Vec<BackendKey> = self.fleet.servers.keys().collect();
        for server in servers {
            while let Some((expected, key)) = self.overdue_pause(server, now) {
                let elapsed =
                    self.programs.get(key).and_then(|p| p.pause.as_ref()).map(|p| now.since(p.since));
                let Some(elapsed) = elapsed else {
                    self.fleet.servers[server].idle_programs.remove(&(expected, key));
                    continue;
                };
                self.set_expected_end(key, expected, now + elapsed.max(self.cfg.tick));
            }
        }
    }

    fn overdue_pause(&self, server: BackendKey, now: Timestamp) -> Option<(Timestamp, ProgramKey)> {
        let idle = &self.fleet.servers[server].idle_programs;
        idle.first().copied().filter(|(expected, _)| *expected <= now)
    }
}
