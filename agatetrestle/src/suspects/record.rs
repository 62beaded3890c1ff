//! The replicated record of suspects: requests under which servers have ended.
//!
//! It decides whether a suspect may be sent to another server. Times are those of the state that holds it, in milliseconds,
//! so that all replicas decide alike.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::suspects::Fingerprint;

/// Servers that may end under one request. Once as many have ended, it is sent to none.
pub const MAX_LOSSES: usize = 3;
/// Suspects that are remembered, 3 MB at most. Beyond it those with the fewest losses are dropped first, the oldest of them
/// before others.
pub const MAX_SUSPECTS: usize = 8_192;
/// Losses from which few suspects of a service run at once. After an outage many requests have lost one server, of which
/// hardly any loses another.
const LIMITED_FROM_LOSSES: usize = 2;
/// Time after its last loss for which a suspect is remembered. Callers that repeat a request for longer have a person or a
/// schedule behind them, and a mended server may run it.
pub const RETENTION_MS: u64 = 600_000;
/// Time after a loss from which responses of the server may take it back.
const CONFIRMATION_MS: u64 = 2_000;
/// Time after a loss in which most servers that run have shown it. Losses that stand for longer are hardly ever taken back.
const PROVISIONAL_MS: u64 = 10_000;
/// Retry delay between [`CONFIRMATION_MS`] and [`PROVISIONAL_MS`] after the last loss.
const PROVISIONAL_RETRY_MS: u64 = 2_000;
/// Retry delay while other attempts at suspects are under way.
const BUSY_RETRY_MS: u64 = 500;
/// Servers that are remembered of one suspect. More end only under attempts that were sent before the first loss was known.
const MAX_REMEMBERED_LOSSES: usize = 8;
/// Time after the deadline of an attempt until which its entry reports its end. An entry that does not has ended, maybe after its
/// server did.
const REPORT_MARGIN_MS: u64 = 2_000;
/// Bounds the time for which an attempt counts as under way, if its entry does not report its end.
const MAX_RUN_MS: u64 = RETENTION_MS;

/// A command about a suspect. All are idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectCommand {
    /// Asks whether an attempt may be sent to a server, and counts it as under way if it may.
    Admit(Admit),
    /// Reports that the server of an attempt may have ended.
    Lose(Lose),
    /// Reports that a server which may have ended runs.
    Clear(Clear),
    /// Reports that an attempt is not under way any more.
    End(End),
}

impl SuspectCommand {
    /// The request that it is about.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        match self {
            Self::Admit(admit) => admit.fingerprint,
            Self::Lose(lose) => lose.admit.fingerprint,
            Self::Clear(clear) => clear.fingerprint,
            Self::End(end) => end.fingerprint,
        }
    }
}

/// Payload of [`SuspectCommand::Admit`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Admit {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The attempt.
    pub attempt: Arc<str>,
    /// The service that it is addressed to.
    pub service: Arc<str>,
    /// Milliseconds for which it may be under way.
    pub run_ms: u64,
    /// Suspects of the service under which several servers ended that this group may let run at once.
    pub max_running: u32,
}

/// Payload of [`SuspectCommand::Lose`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lose {
    /// The server that may have ended; empty if it is not known, since the entry of the attempt has ended.
    pub server: Arc<str>,
    /// Whether the attempt goes on at another server if it may.
    pub goes_on: bool,
    /// Whether the caller left, which says nothing about the server.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub abandoned: bool,
    /// The attempt and its request.
    pub admit: Admit,
}

/// Payload of [`SuspectCommand::Clear`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Clear {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The server that runs.
    pub server: Arc<str>,
}

/// Payload of [`SuspectCommand::End`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The attempt.
    pub attempt: Arc<str>,
    /// Whether its completion clears the request, since nothing tells it from those of other callers.
    pub clears: bool,
}

/// Whether an attempt may be sent to a server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectDecision {
    /// The request is no suspect.
    Innocent,
    /// It may, as one that is counted as under way.
    Admitted {
        /// Servers that have ended under the request.
        losses: u32,
    },
    /// So many servers have ended under the request that it is sent to none.
    Exhausted {
        /// Milliseconds until that may change.
        retry_ms: u64,
    },
    /// Other attempts are under way, under which servers may end.
    Busy {
        /// Milliseconds after which the caller may retry.
        retry_ms: u64,
    },
}

#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Suspect {
    /// Servers that may have ended under it.
    lost: BTreeSet<Arc<str>>,
    /// Those of them of which only callers that left are known.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    abandoned: BTreeSet<Arc<str>>,
    /// Attempts whose entries have not reported what became of them.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    unreported: BTreeSet<Arc<str>>,
    /// Attempts whose losses name their servers.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    reported: BTreeSet<Arc<str>>,
    /// Attempts under way, with the time until which their entries report their end.
    running: BTreeMap<Arc<str>, u64>,
    service: Arc<str>,
    last_loss: u64,
    /// Version of the record that added it.
    version: u64,
}

impl Suspect {
    fn until(&self) -> u64 {
        self.last_loss.saturating_add(RETENTION_MS)
    }

    fn rank(&self) -> (usize, u64) {
        (self.losses().min(MAX_REMEMBERED_LOSSES), self.last_loss)
    }

    fn losses(&self) -> usize {
        self.lost.len() + self.unreported.len()
    }

    /// Counts attempts as losses whose entries have not reported their end.
    fn expire_running(&mut self, now: u64) {
        let expired = self.running.extract_if(.., |_, until| *until <= now);
        let expired: Vec<Arc<str>> = expired.map(|(attempt, _)| attempt).collect();
        for attempt in expired {
            self.lose(attempt, "".into(), false);
        }
    }

    /// Adds the loss of an attempt, whose server may not be known.
    fn lose(&mut self, attempt: Arc<str>, server: Arc<str>, abandoned: bool) {
        self.end(&attempt);
        if server.is_empty() {
            if self.unreported.len() < MAX_REMEMBERED_LOSSES && !self.reported.contains(&attempt) {
                self.unreported.insert(attempt);
            }
        } else if self.lost.contains(&server) || self.lost.len() < MAX_REMEMBERED_LOSSES {
            if !abandoned {
                self.abandoned.remove(&server);
            } else if !self.lost.contains(&server) {
                self.abandoned.insert(server.clone());
            }
            self.lost.insert(server);
            if self.reported.len() < MAX_REMEMBERED_LOSSES {
                self.reported.insert(attempt);
            }
        }
    }

    /// Forgets a server that runs.
    fn clear(&mut self, server: &str) {
        self.lost.remove(server);
        self.abandoned.remove(server);
    }

    /// Takes the completion of a request with the same content as evidence. It outweighs any number of callers that left, whose
    /// servers may all run, and fewer than [`MAX_LOSSES`] attempts that failed.
    fn record_completion(&mut self) {
        for server in std::mem::take(&mut self.abandoned) {
            self.lost.remove(&server);
        }
        if self.losses() < MAX_LOSSES {
            self.lost.clear();
            self.unreported.clear();
        }
    }

    /// Forgets an attempt whose entry has reported its end.
    fn end(&mut self, attempt: &str) {
        self.running.remove(attempt);
        self.unreported.remove(attempt);
    }

    /// Milliseconds until a refusal of all attempts may change.
    fn retry_ms(&self, now: u64) -> u64 {
        let confirmed_at = self.last_loss.saturating_add(CONFIRMATION_MS);
        if now < confirmed_at {
            confirmed_at - now
        } else if now < self.last_loss.saturating_add(PROVISIONAL_MS) {
            PROVISIONAL_RETRY_MS
        } else {
            self.until().saturating_sub(now)
        }
    }
}

/// Suspects that were added to a record, for the processes that send requests.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// Version of the record.
    pub version: u64,
    /// The suspects, with the milliseconds for which they are remembered.
    pub added: Vec<(Fingerprint, u64)>,
}

/// Suspects by their fingerprint.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspects {
    by_fingerprint: BTreeMap<Fingerprint, Suspect>,
    /// By number of losses and time of the last one.
    by_rank: BTreeSet<((usize, u64), Fingerprint)>,
    by_version: BTreeMap<u64, Fingerprint>,
    /// Those with attempts under way.
    running: BTreeSet<Fingerprint>,
    /// Suspects that were added so far.
    version: u64,
}

impl Suspects {
    /// Whether there was never a suspect.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.version == 0
    }

    /// Number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_fingerprint.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty()
    }

    /// Number of suspects that were added so far.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a request is a suspect.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.by_fingerprint.contains_key(&fingerprint)
    }

    /// Servers that ended under a request.
    #[must_use]
    pub fn losses(&self, fingerprint: Fingerprint) -> usize {
        self.by_fingerprint.get(&fingerprint).map_or(0, Suspect::losses)
    }

    /// Suspects that were added after a version, all if the version is of another record.
    #[must_use]
    pub fn since(&self, now: u64, version: u64) -> Digest {
        let version = if version > self.version { 0 } else { version };
        let added = self.by_version.range(version + 1..).filter_map(|(_, fingerprint)| {
            let suspect = self.by_fingerprint.get(fingerprint)?;
            Some((*fingerprint, suspect.until().saturating_sub(now)))
        });
        Digest { version: self.version, added: added.collect() }
    }

    /// Executes a command.
    pub(crate) fn execute(&mut self, now: u64, command: SuspectCommand) -> SuspectDecision {
        match command {
            SuspectCommand::Admit(admit) => self.admit(now, admit),
            SuspectCommand::Lose(lose) => self.lose(now, lose),
            SuspectCommand::Clear(Clear { fingerprint, server }) => {
                self.update(fingerprint, |suspect| suspect.clear(&server));
                SuspectDecision::Innocent
            }
            SuspectCommand::End(End { fingerprint, attempt, clears }) => {
                self.update(fingerprint, |suspect| {
                    suspect.end(&attempt);
                    if clears {
                        suspect.record_completion();
                    }
                });
                SuspectDecision::Innocent
            }
        }
    }

    /// Decides on an attempt. Those under way count as if their servers ended, so that three is three.
    fn admit(&mut self, now: u64, admit: Admit) -> SuspectDecision {
        let running = self.running(now, &admit.service);
        self.update(admit.fingerprint, |suspect| suspect.expire_running(now));
        let Some(suspect) = self.by_fingerprint.get_mut(&admit.fingerprint) else {
            return SuspectDecision::Innocent;
        };
        let losses = suspect.losses();
        if losses >= MAX_LOSSES {
            return SuspectDecision::Exhausted { retry_ms: suspect.retry_ms(now) };
        }
        if !suspect.running.contains_key(&admit.attempt) {
            let is_crowded = losses >= LIMITED_FROM_LOSSES && running >= admit.max_running;
            if losses + suspect.running.len() >= MAX_LOSSES || is_crowded {
                return SuspectDecision::Busy { retry_ms: BUSY_RETRY_MS };
            }
            let until = now.saturating_add(admit.run_ms.min(MAX_RUN_MS)).saturating_add(REPORT_MARGIN_MS);
            suspect.running.insert(admit.attempt, until);
            self.running.insert(admit.fingerprint);
        }
        SuspectDecision::Admitted { losses: u32::try_from(losses).unwrap_or(u32::MAX) }
    }

    fn lose(&mut self, now: u64, lose: Lose) -> SuspectDecision {
        let Lose { server, goes_on, abandoned, admit } = lose;
        let fingerprint = admit.fingerprint;
        if !self.contains(fingerprint) {
            self.version += 1;
            let suspect =
                Suspect { service: admit.service.clone(), version: self.version, ..Suspect::default() };
            self.by_version.insert(self.version, fingerprint);
            self.by_rank.insert((suspect.rank(), fingerprint));
            self.by_fingerprint.insert(fingerprint, suspect);
        }
        self.update(fingerprint, |suspect| {
            suspect.last_loss = now;
            suspect.lose(admit.attempt.clone(), server, abandoned);
        });
        if self.by_fingerprint.len() > MAX_SUSPECTS
            && let Some((_, fingerprint)) = self.by_rank.first().copied()
        {
            self.remove(fingerprint);
        }
        if goes_on { self.admit(now, admit) } else { SuspectDecision::Innocent }
    }

    /// Attempts under way at suspects of a service under which several servers ended.
    fn running(&self, now: u64, service: &str) -> u32 {
        let suspects = self.running.iter().filter_map(|fingerprint| self.by_fingerprint.get(fingerprint));
        let of_service = suspects
            .filter(|suspect| &*suspect.service == service && suspect.losses() >= LIMITED_FROM_LOSSES);
        let running = of_service.flat_map(|suspect| suspect.running.values()).filter(|until| **until > now);
        u32::try_from(running.count()).unwrap_or(u32::MAX)
    }

    /// Changes a suspect, and drops it if it has lost no server.
    fn update(&mut self, fingerprint: Fingerprint, update: impl FnOnce(&mut Suspect)) {
        let Some(suspect) = self.by_fingerprint.get_mut(&fingerprint) else {
            return;
        };
        self.by_rank.remove(&(suspect.rank(), fingerprint));
        update(suspect);
        let (rank, is_cleared) = (suspect.rank(), suspect.losses() == 0);
        self.by_rank.insert((rank, fingerprint));
        if suspect.running.is_empty() {
            self.running.remove(&fingerprint);
        }
        if is_cleared {
            self.remove(fingerprint);
        }
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.by_fingerprint.remove(&fingerprint) {
            self.by_rank.remove(&(suspect.rank(), fingerprint));
            self.by_version.remove(&suspect.version);
            self.running.remove(&fingerprint);
        }
    }

    /// Drops the suspects whose last loss is long ago.
    pub(crate) fn advance(&mut self, now: u64) {
        for losses in 1..=MAX_REMEMBERED_LOSSES {
            let oldest = ((losses, 0), Fingerprint(0));
            while let Some((rank, fingerprint)) = self.by_rank.range(oldest..).next().copied()
                && rank.0 == losses
                && rank.1.saturating_add(RETENTION_MS) < now
            {
                self.remove(fingerprint);
            }
        }
    }
}
