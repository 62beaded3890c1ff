//! Durable writes, and messages that wait for them.

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
    /// Sequence number of the write after which all changes so far are durable.
    pub(super) fn required_write(&self) -> u64 {
        if self.nothing_to_write() { self.write_sequence } else { self.write_sequence + 1 }
    }

    /// Whether the current step has changed nothing that has to be stored.
    pub(super) fn nothing_to_write(&self) -> bool {
        write_is_empty(&self.write)
    }

    /// Whether the term and the vote are stored.
    pub(super) fn term_is_durable(&self) -> bool {
        self.hard_state_write <= self.synced_sequence
    }

    /// Sends a message once all changes so far are durable.
    pub(super) fn send_when_durable(&mut self, to: NodeId, body: Body) {
        let required = self.required_write();
        if required <= self.synced_sequence || fault_injected!(self, AcknowledgeBeforeSync) {
            self.send(to, body);
            return;
        }
        let message = Message { group: self.cfg.group, from: self.cfg.node, to, term: self.term, body };
        self.delayed_messages.push_back((required, message));
    }

    pub(super) fn save_hard_state(&mut self) {
        let Self { term, vote, without_vote, .. } = *self;
        self.write.hard_state = Some(HardState { term, vote, without_vote });
        self.hard_state_write = self.write_sequence + 1;
    }

    pub(super) fn append(&mut self, entry: Entry) {
        if entry.kind == EntryKind::Replicas
            && let Ok(replicas) = coding::decode_replicas(&entry.payload)
        {
            self.memberships.push(entry.position.index, replicas);
        }
        self.log.push(entry.clone());
        self.write.entries.push(entry);
    }

    /// Removes entries from `index` on, in memory and with the next write.
    pub(super) fn truncate(&mut self, index: u64) {
        self.log.truncate(index);
        self.memberships.truncate(index);
        let last = index.saturating_sub(1);
        self.durable_index = self.durable_index.min(last);
        for (_, last_index) in &mut self.pending_writes {
            *last_index = (*last_index).min(last);
        }
        self.write.entries.retain(|entry| entry.position.index < index);
        self.write.truncate_from = Some(self.write.truncate_from.map_or(index, |from| from.min(index)));
    }

    /// Outputs the write collected by this step.
    pub(super) fn flush_write(&mut self) {
        if self.failed || write_is_empty(&self.write) {
            return;
        }
        self.write_sequence += 1;
        let mut write = std::mem::take(&mut self.write);
        write.sequence = self.write_sequence;
        self.pending_writes.push_back((self.write_sequence, self.log.last().index));
        self.outputs.push(Output::Write(write));
    }

    pub(super) fn acknowledge_writes(&mut self, now: Timestamp, sequence: u64) {
        self.synced_sequence = self.synced_sequence.max(sequence.min(self.write_sequence));
        while let Some((pending, last)) = self.pending_writes.front().copied()
            && pending <= self.synced_sequence
        {
            self.durable_index = last;
            self.pending_writes.pop_front();
        }
        while let Some((required, _)) = self.delayed_messages.front()
            && *required <= self.synced_sequence
            && let Some((_, message)) = self.delayed_messages.pop_front()
        {
            self.outputs.push(Output::Send(message));
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
