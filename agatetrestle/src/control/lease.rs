//! A node's copy of the configuration and the lease under which it may use it.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::control::command::Configuration;
use crate::ports::NotTakingWork;

/// The configuration of a node with its lease. The revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct LeasedConfig {
    configuration: Arc<Configuration>,
    expires_at: Option<Timestamp>,
}

impl LeasedConfig {
    /// The newest adopted configuration.
    #[must_use]
    pub fn configuration(&self) -> Arc<Configuration> {
        self.configuration.clone()
    }

    /// Adopts a configuration if it is newer, and returns whether it is.
    pub fn adopt(&mut self, configuration: Configuration) -> bool {
        let newer = configuration.revision > self.configuration.revision;
        if newer {
            self.configuration = Arc::new(configuration);
        }
        newer
    }

    /// Adopts the changes since the current revision; unchanged documents stay.
    pub fn adopt_changes(&mut self, changes: Configuration) -> bool {
        let Configuration { revision, documents, leaving } = changes;
        let mut merged = Configuration { revision, leaving, ..Configuration::clone(&self.configuration) };
        merged.documents.extend(documents);
        self.adopt(merged)
    }

    /// Renews the lease after a control leader confirmed `revision`. The lease starts at `sent`, when the request was sent,
    /// because the leader may have confirmed at any time after that; `drift` is the clock drift to allow for.
    pub fn renew(&mut self, sent: Timestamp, lease: Duration, drift: Duration, revision: u64) {
        if revision > self.configuration.revision {
            return;
        }
        let expires_at = sent + lease.saturating_sub(drift);
        self.expires_at = Some(self.expires_at.map_or(expires_at, |known| known.max(expires_at)));
    }

    /// Checks that the node holds a valid lease and may accept new work.
    ///
    /// # Errors
    ///
    /// Fails if no lease was granted yet or if it has expired.
    pub fn check_lease(&self, now: Timestamp) -> Result<(), NotTakingWork> {
        match self.expires_at {
            None => Err(NotTakingWork::Starting),
            Some(expires_at) if now >= expires_at => Err(NotTakingWork::Isolated),
            Some(_) => Ok(()),
        }
    }
}
