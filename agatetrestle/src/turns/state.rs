//! The replicated state machine of a state group.

mod decoded;
mod pending;

pub use self::pending::LogProgress;
pub use self::pending::PendingCommands;
#[cfg(test)]
pub(crate) use self::pending::examined_commands;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::agreement::RestoreError;
use crate::agreement::SnapshotEncoder;
use crate::agreement::StateMachine;
use crate::agreement::UndecodableSnafu;
use crate::agreement::message::Position;
use crate::cluster::message::StoreUsage;
use crate::codec::Blob;
use crate::codec::decode;
use crate::codec::encode_large;
use crate::ids::NodeId;
use crate::suspects::Fingerprint;
use crate::suspects::Suspects;
use crate::suspects::record::MAX_LOSSES;
use crate::turns::command::Begin;
use crate::turns::command::Finish;
use crate::turns::command::ReadStream;
use crate::turns::command::RequestOrigin;
use crate::turns::command::RetainedTurn;
use crate::turns::command::TimedCommand;
use crate::turns::command::TransferredTurn;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnId;
use crate::turns::command::TurnReply;
use crate::turns::recent::RecentPrograms;
use crate::turns::relayed::ReadEvents;
use crate::turns::relayed::ReceivedEvents;
use crate::turns::relayed::RecordEvents;
use crate::turns::state::decoded::DecodedProposals;
use crate::turns::streams::StreamOrigin;
use crate::turns::streams::Streams;

/// Added to a turn's retention, since the caller counts it from when it received the last bytes of the answer. Clock skew
/// needs no margin: only intervals measured by a leader count.
const RETENTION_MARGIN_MS: u64 = 10_000;
/// Time without a turn after which a program's token usage is dropped. It exceeds the usual retention, within which a
/// program may continue.
const ACCOUNT_EXPIRY_MS: u64 = 300_000;
/// Memory of a retained turn besides its text: identifiers, map entries, allocations, and the rest of the command that
/// holds the text.
const TURN_BYTES: usize = 500;
/// Memory of the account of a program that retained a turn. [`RecentPrograms`] are not counted, since they last for seconds.
const PROGRAM_BYTES: usize = 250;
/// Most that the end of a turn can add to the memory of the state besides its text.
const TURN_OVERHEAD_BYTES: usize = TURN_BYTES + PROGRAM_BYTES;

/// Token usage of one program.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Account {
    spent: u64,
    /// Turns that have not ended, with their reserved tokens.
    open: BTreeMap<TurnId, u64>,
    /// Where the open turns come from. Empty in snapshots of older builds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    origins: BTreeMap<TurnId, OpenOrigin>,
    /// When a turn last began or ended, or has to end at the latest.
    last_used: u64,
    /// Whether `kept_bytes` includes this program, from the first turn that it retains.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    counted: bool,
}

/// The request that an open turn is an attempt at, and the entry that sent it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct OpenOrigin {
    request: Fingerprint,
    entry: NodeId,
    begun_at: u64,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Turn {
    previous: Option<TurnId>,
    text: Blob,
    until: u64,
    #[serde(default, skip_serializing_if = "str::is_empty")]
    team: Arc<str>,
}

impl Turn {
    /// Whether a team may continue it. A turn without a team was sent without authentication, and its sender may have joined
    /// a team since.
    fn is_open_to(&self, team: &str) -> bool {
        self.team.is_empty() || &*self.team == team
    }
}

/// Retained turns and token usage of all programs of a group.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnState {
    /// Sum of the milliseconds that leaders measured between commands. It is the same on all replicas, independent of wall
    /// clocks, and does not advance without a leader.
    now: u64,
    accounts: HashMap<Arc<str>, Account>,
    turns: HashMap<TurnId, Turn>,
    turns_by_end: BTreeSet<(u64, TurnId)>,
    accounts_by_use: BTreeSet<(u64, Arc<str>)>,
    /// Memory of retained turns and their programs.
    kept_bytes: usize,
    /// The part of `kept_bytes` that programs use.
    #[serde(default)]
    program_bytes: usize,
    /// Bytes of retained turns and their programs beyond which no turn begins; 0 for no limit.
    room: usize,
    /// Programs of teams that ran recently, for the admission of the next leader. Empty in snapshots of older builds.
    #[serde(default, skip_serializing_if = "RecentPrograms::is_empty")]
    recent: RecentPrograms,
    /// Where resumable streams began. Empty in snapshots of older builds.
    #[serde(default, skip_serializing_if = "Streams::is_empty")]
    streams: Streams,
    /// Requests under which servers ended. Unused in snapshots of older builds.
    #[serde(default, skip_serializing_if = "Suspects::is_unused")]
    suspects: Suspects,
    #[serde(skip)]
    decoded: DecodedProposals,
}

impl TurnState {
    /// A state that begins no turn once retained turns exceed this many bytes. Every replica needs the same limit, so
    /// snapshots include it.
    #[must_use]
    pub fn with_max_bytes(max_bytes: usize) -> Self {
        Self { room: max_bytes, ..Self::default() }
    }

    /// Applies a command. The reply is the same on every replica.
    pub fn execute(&mut self, timed: TimedCommand) -> TurnReply {
        self.advance(timed.elapsed);
        match timed.command {
            TurnCommand::Begin(begin) => self.begin(begin),
            TurnCommand::Finish(finish) => self.finish(finish),
            TurnCommand::Chain(last) => TurnReply::Chain(self.export(&last)),
            TurnCommand::RecordStream(record) => {
                self.streams.record(self.now, &record.turn, record.start);
                TurnReply::Recorded
            }
            TurnCommand::ReadStream(read) => TurnReply::Stream(self.stream_origin(&read)),
            TurnCommand::RecordEvents(record) => self.record_events(record),
            TurnCommand::ReadEvents(read) => TurnReply::Received(self.received_events(&read)),
            TurnCommand::Suspect(command) => TurnReply::Suspect(self.suspects.execute(self.now, command)),
            TurnCommand::Take(_) => TurnReply::Refused,
        }
    }

    /// Keeps a command that was proposed at a position of the log, so that applying it does not decode it again. It must be
    /// the one that its payload in the log decodes to.
    pub fn expect_proposal(&self, position: Position, timed: TimedCommand) {
        self.decoded.insert(position, timed);
    }

    /// Whether a turn has begun and not ended.
    #[must_use]
    pub fn is_open(&self, team: &str, program: &Arc<str>, turn: &TurnId) -> bool {
        let account = self.accounts.get(&account_key(team, program));
        account.is_some_and(|account| account.open.contains_key(turn))
    }

    /// Other open attempts at the request of a begin, of entries that have ended. `is_gone` tells whether an entry has since a time
    /// of this state.
    #[must_use]
    pub fn interrupted(&self, begin: &Begin, is_gone: impl Fn(NodeId, u64) -> bool) -> Vec<TurnId> {
        let Some(origin) = begin.opening.as_ref().and_then(|params| params.origin.as_ref()) else {
            return Vec::new();
        };
        let Some(account) = self.accounts.get(&account_key(&begin.team, &begin.program)) else {
            return Vec::new();
        };
        let others = account
            .origins
            .iter()
            .filter(|(turn, open)| open.request == origin.request && **turn != begin.turn);
        others
            .filter(|(_, open)| is_gone(open.entry, open.begun_at))
            .map(|(turn, _)| turn.clone())
            .take(MAX_LOSSES)
            .collect()
    }

    /// Whether a program has begun a turn in this group.
    #[must_use]
    pub fn has_begun(&self, team: &str, program: &Arc<str>) -> bool {
        self.accounts.contains_key(&account_key(team, program))
    }

    /// Programs of teams that ran recently.
    #[must_use]
    pub fn recent_programs(&self) -> &RecentPrograms {
        &self.recent
    }

    /// Streams that callers may resume.
    #[must_use]
    pub fn streams(&self) -> &Streams {
        &self.streams
    }

    /// Where a stream began that a caller resumes; `None` if it is not certain.
    #[must_use]
    pub fn stream_origin(&self, read: &ReadStream) -> Option<StreamOrigin> {
        let origin = match read.request {
            Some(request) => self.streams.only_origin(self.now, request),
            None => self.streams.origin(&read.turn),
        };
        origin.cloned()
    }

    /// What the caller of an unfinished turn has received; `None` if it is not certain.
    #[must_use]
    pub fn received_events(&self, read: &ReadEvents) -> Option<ReceivedEvents> {
        self.streams.received(self.now, read)
    }

    /// Requests under which servers ended.
    #[must_use]
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Milliseconds that leaders measured between commands so far.
    #[must_use]
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Counts and sizes reported to operators.
    #[must_use]
    pub fn usage(&self) -> StoreUsage {
        StoreUsage {
            turns: self.turns.len(),
            bytes: self.kept_bytes - self.program_bytes,
            room: self.room.saturating_sub(self.program_bytes),
            programs: self.accounts.len(),
        }
    }

    fn decode(&self, position: Position, payload: &Arc<[u8]>) -> Option<TimedCommand> {
        self.decoded.take(position).or_else(|| TimedCommand::decode(payload))
    }

    fn begin(&mut self, begin: Begin) -> TurnReply {
        let longest_run = begin.longest_run_ms();
        self.import(begin.carried);
        let Some(chain) = self.chain(&begin.team, begin.previous.as_ref()) else {
            return TurnReply::NoSuchTurn;
        };
        if self.is_full(0) {
            return TurnReply::Full;
        }
        let key = account_key(&begin.team, &begin.program);
        let account = self.accounts.entry(key.clone()).or_default();
        let reserved: u64 = account.open.values().sum();
        let is_repeat = account.open.contains_key(&begin.turn);
        let total = account.spent.saturating_add(reserved).saturating_add(begin.most);
        let reply = if !is_repeat && begin.budget.is_some_and(|budget| total > budget) {
            TurnReply::Spent
        } else {
            if !begin.team.is_empty()
                && let Some(params) = &begin.opening
            {
                self.recent.begin(&key, &begin.team, &begin.turn, params);
            }
            if let Some(start) = begin.stream {
                self.streams.record(self.now, &begin.turn, start);
            }
            if let Some(origin) = begin.opening.and_then(|params| params.origin) {
                let RequestOrigin { request, entry, .. } = origin;
                let origin = OpenOrigin { request, entry, begun_at: self.now };
                account.origins.insert(begin.turn.clone(), origin);
            }
            account.open.entry(begin.turn).or_insert(begin.most);
            if longest_run > 0 {
                let until = self.now.saturating_add(longest_run).saturating_add(RETENTION_MARGIN_MS);
                self.extend_retention(begin.previous, until);
            }
            TurnReply::Begun { chain, server: None }
        };
        self.touch(&key, longest_run);
        reply
    }

    /// Whether the memory is used up once so many bytes are added.
    fn is_full(&self, added: usize) -> bool {
        let used = self.kept_bytes.saturating_add(self.streams.event_bytes()).saturating_add(added);
        self.room > 0 && used > self.room
    }

    fn record_events(&mut self, record: RecordEvents) -> TurnReply {
        if self.is_full(record.bytes()) {
            return TurnReply::Full;
        }
        if self.streams.record_events(record) { TurnReply::Recorded } else { TurnReply::Refused }
    }

    fn finish(&mut self, finish: Finish) -> TurnReply {
        let key = account_key(&finish.team, &finish.program);
        if let Some(account) = self.accounts.get_mut(&key)
            && account.open.remove(&finish.turn).is_some()
        {
            account.spent = account.spent.saturating_add(finish.spent);
            account.origins.remove(&finish.turn);
            free_if_empty(&mut account.open);
            free_if_empty(&mut account.origins);
        }
        self.recent.finish(&key, &finish);
        self.touch(&key, 0);
        let Some(kept) = finish.kept else {
            return TurnReply::Settled;
        };
        let is_missing = |name: &TurnId| !self.turns.contains_key(name);
        if kept.previous.as_ref().is_some_and(is_missing) && is_missing(&finish.turn) {
            return TurnReply::NoSuchTurn;
        }
        self.count_program(&key);
        self.retain(&finish.team, finish.turn, kept);
        TurnReply::Settled
    }

    /// Retains a turn and extends the retention of its ancestors to match.
    fn retain(&mut self, team: &Arc<str>, name: TurnId, kept: RetainedTurn) {
        let until = self.now.saturating_add(kept.retention).saturating_add(RETENTION_MARGIN_MS);
        if !self.turns.contains_key(&name) {
            self.kept_bytes += kept.text.len() + TURN_BYTES;
            let (previous, team) = self.share(kept.previous, team);
            self.turns.insert(name.clone(), Turn { previous, text: kept.text, until: 0, team });
        }
        self.extend_retention(Some(name), until);
    }

    /// Extends the retention of a turn and its ancestors.
    fn extend_retention(&mut self, last: Option<TurnId>, until: u64) {
        let mut next = last;
        while let Some(name) = next.take() {
            let Some(turn) = self.turns.get_mut(&name) else {
                return;
            };
            if turn.until >= until {
                return;
            }
            self.turns_by_end.remove(&(turn.until, name.clone()));
            turn.until = until;
            next.clone_from(&turn.previous);
            self.turns_by_end.insert((until, name));
        }
    }

    /// Replaces identifiers of a turn by those that the turn it continues holds already, since each decoded command has
    /// copies of its own.
    fn share(&self, previous: Option<TurnId>, team: &Arc<str>) -> (Option<TurnId>, Arc<str>) {
        let Some((name, turn)) = previous.as_ref().and_then(|name| self.turns.get_key_value(name)) else {
            return (previous, team.clone());
        };
        let team = if turn.team == *team { &turn.team } else { team };
        (Some(name.clone()), team.clone())
    }

    /// Texts of a turn and its ancestors, oldest first; `None` if one is missing or belongs to another team.
    fn chain(&self, team: &str, last: Option<&TurnId>) -> Option<Vec<Blob>> {
        let mut texts = Vec::new();
        let mut next = last;
        while let Some(name) = next {
            let turn = self.turns.get(name).filter(|turn| turn.is_open_to(team))?;
            texts.push(turn.text.clone());
            next = turn.previous.as_ref();
        }
        texts.reverse();
        Some(texts)
    }

    /// A turn and its ancestors, oldest first, for another group; empty if one is missing.
    fn export(&self, last: &TurnId) -> Vec<TransferredTurn> {
        let mut chain = Vec::new();
        let mut next = Some(last);
        while let Some(name) = next {
            let Some(turn) = self.turns.get(name) else {
                return Vec::new();
            };
            let retention = turn.until.saturating_sub(self.now);
            let (text, team) = (turn.text.clone(), turn.team.clone());
            chain.push(TransferredTurn { name: name.clone(), text, retention, team });
            next = turn.previous.as_ref();
        }
        chain.reverse();
        chain
    }

    /// Retains a chain of turns from another group, each continuing the one before it.
    fn import(&mut self, chain: Vec<TransferredTurn>) {
        let mut previous = None;
        for TransferredTurn { name, text, retention, team } in chain {
            // The remaining retention already includes the margin.
            let kept =
                RetainedTurn { previous, text, retention: retention.saturating_sub(RETENTION_MARGIN_MS) };
            self.retain(&team, name.clone(), kept);
            previous = Some(name);
        }
    }

    /// Postpones the expiry of an account that is in use for `lasting_ms` from now on.
    fn touch(&mut self, key: &Arc<str>, lasting_ms: u64) {
        let last_used = self.now.saturating_add(lasting_ms);
        if let Some(account) = self.accounts.get_mut(key).filter(|account| account.last_used <= last_used) {
            self.accounts_by_use.remove(&(account.last_used, key.clone()));
            account.last_used = last_used;
            self.accounts_by_use.insert((last_used, key.clone()));
        }
    }

    /// Advances the time and drops expired turns and accounts.
    fn advance(&mut self, elapsed: Duration) {
        let elapsed = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.now = self.now.saturating_add(elapsed);
        self.recent.advance(self.now);
        self.streams.advance(self.now);
        self.suspects.advance(self.now);
        while let Some((until, _)) = self.turns_by_end.first()
            && *until < self.now
            && let Some((_, name)) = self.turns_by_end.pop_first()
        {
            if let Some(turn) = self.turns.remove(&name) {
                self.kept_bytes -= turn.text.len() + TURN_BYTES;
            }
        }
        while let Some((used, _)) = self.accounts_by_use.first()
            && used.saturating_add(ACCOUNT_EXPIRY_MS) < self.now
            && let Some((_, key)) = self.accounts_by_use.pop_first()
        {
            if self.accounts.remove(&key).is_some_and(|account| account.counted) {
                self.kept_bytes -= PROGRAM_BYTES;
                self.program_bytes -= PROGRAM_BYTES;
            }
        }
    }

    fn count_program(&mut self, key: &Arc<str>) {
        if let Some(account) = self.accounts.get_mut(key).filter(|account| !account.counted) {
            account.counted = true;
            self.kept_bytes += PROGRAM_BYTES;
            self.program_bytes += PROGRAM_BYTES;
        }
    }

    /// Counts the memory again, for snapshots of builds that counted it differently.
    fn count_kept_bytes(&mut self) {
        let turns: usize = self.turns.values().map(|turn| turn.text.len() + TURN_BYTES).sum();
        let programs = self.accounts.values().filter(|account| account.counted).count();
        self.program_bytes = programs * PROGRAM_BYTES;
        self.kept_bytes = turns + self.program_bytes;
    }
}

/// Frees the node that a map keeps when its last entry is removed.
pub(super) fn free_if_empty<K, V>(map: &mut BTreeMap<K, V>) {
    if map.is_empty() {
        *map = BTreeMap::new();
    }
}

/// Key of a program's account; programs of different teams may share a name.
pub(super) fn account_key(team: &str, program: &Arc<str>) -> Arc<str> {
    if team.is_empty() { program.clone() } else { [team, "\0", program].concat().into() }
}

impl StateMachine for TurnState {
    fn apply(&mut self, position: Position, payload: &Arc<[u8]>) -> Vec<u8> {
        let reply = self.decode(position, payload).map_or(TurnReply::Refused, |timed| self.execute(timed));
        reply.encode()
    }

    fn apply_without_reply(&mut self, position: Position, payload: &Arc<[u8]>) {
        if let Some(timed) = self.decode(position, payload) {
            self.execute(timed);
        }
    }

    fn snapshot_encoder(&self) -> SnapshotEncoder {
        let state = self.clone();
        Box::new(move || state.snapshot())
    }

    fn snapshot(&self) -> Vec<u8> {
        encode_large(self)
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        // Freed first, since both states and the snapshot together may exceed the memory of a store.
        *self = Self::default();
        *self = decode(data).context(UndecodableSnafu)?;
        self.count_kept_bytes();
        self.streams.restore_index();
        Ok(())
    }
}
