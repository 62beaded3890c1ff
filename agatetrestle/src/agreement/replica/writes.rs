//! What must be durable before it may be acted on.

use crate::agreement::HardState;
use crate::agreement::Output;
use crate::agreement::Write;
use crate::agreement::coding;
use crate::agreement::message::Body;
use crate::agreement::message::Entry;
use crate::agreement::message::EntryKind;
use crate::agreement::message::Message;
use crate::agreement::replica::Replica;
use crate::clock::Timestamp;
use crate::ids::NodeId;

impl Replica {
    /// The number of the write that holds everything decided so far.
    pub(super) fn gate(&self) -> u64 {
        if write_is_empty(&self.write) { self.sequence } else { self.sequence + 1 }
    }

    /// Sends a message once everything decided so far is durable.
    pub(super) fn send_when_durable(&mut self, to: NodeId, body: Body) {
        let gate = self.gate();
        if gate <= self.written || faulty!(self, AcknowledgeBeforeSync) {
            self.send(to, body);
            return;
        }
        let message = Message { group: self.cfg.group, from: self.cfg.node, to, term: self.term, body };
        self.gated.push_back((gate, message));
    }

    pub(super) fn save_hard_state(&mut self) {
        let Self { term, vote, without_vote, .. } = *self;
        self.write.hard_state = Some(HardState { term, vote, without_vote });
    }

    pub(super) fn append(&mut self, entry: Entry) {
        if entry.kind == EntryKind::Replicas
            && let Ok(replicas) = coding::decode_replicas(&entry.payload)
        {
            self.sets.push(entry.position.index, replicas);
        }
        self.log.push(entry.clone());
        self.write.entries.push(entry);
    }

    /// Drops entries from `index` on, in memory and in the next write.
    pub(super) fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.sets.truncate(index);
        let last = index.saturating_sub(1);
        self.durable = self.durable.min(last);
        for mark in &mut self.marks {
            mark.1 = mark.1.min(last);
        }
        self.write.entries.retain(|entry| entry.position.index < index);
        self.write.truncate_from = Some(self.write.truncate_from.map_or(index, |from| from.min(index)));
    }

    /// Hands the write that this step gathered to the driver.
    pub(super) fn flush_write(&mut self) {
        if self.failed || write_is_empty(&self.write) {
            return;
        }
        self.sequence += 1;
        let mut write = std::mem::take(&mut self.write);
        write.sequence = self.sequence;
        self.marks.push_back((self.sequence, self.log.last().index));
        self.out.push(Output::Write(write));
    }

    pub(super) fn acknowledge_writes(&mut self, now: Timestamp, sequence: u64) {
        self.written = self.written.max(sequence.min(self.sequence));
        while let Some((number, last)) = self.marks.front().copied()
            && number <= self.written
        {
            self.durable = last;
            self.marks.pop_front();
        }
        while let Some((gate, _)) = self.gated.front()
            && *gate <= self.written
            && let Some((_, message)) = self.gated.pop_front()
        {
            self.out.push(Output::Send(message));
        }
        self.count_own_vote(now);
        self.advance_commit(now);
    }
}

fn write_is_empty(write: &Write) -> bool {
    write.hard_state.is_none()
        && write.truncate_from.is_none()
        && write.entries.is_empty()
        && write.snapshot.is_none()
}
