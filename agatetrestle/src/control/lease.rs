//! What is in force on a node, and how long the node may rely on it.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Timestamp;
use crate::control::command::Configuration;
use crate::ports::NotTaking;

/// The configuration in force with the lease on it. The revision never falls.
#[derive(Clone, Debug, Default)]
pub struct LeasedConfig {
    configuration: Arc<Configuration>,
    until: Option<Timestamp>,
}

impl LeasedConfig {
    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Arc<Configuration> {
        self.configuration.clone()
    }

    /// Puts a newer configuration in force; an older or equal one changes nothing.
    pub fn adopt(&mut self, configuration: Configuration) -> bool {
        let newer = configuration.revision > self.configuration.revision;
        if newer {
            self.configuration = Arc::new(configuration);
        }
        newer
    }

    /// Puts in force what changed since the revision that is in force here; the other documents stay.
    pub fn adopt_changes(&mut self, changes: Configuration) -> bool {
        let Configuration { revision, documents, leaving } = changes;
        let mut whole = Configuration { revision, leaving, ..Configuration::clone(&self.configuration) };
        whole.documents.extend(documents);
        self.adopt(whole)
    }

    /// Renews the lease after a control leader confirmed `revision`. The lease counts from `sent`,
    /// when the node asked, because the leader may have answered any time after that.
    pub fn renew(&mut self, sent: Timestamp, lease: Duration, drift: Duration, revision: u64) {
        if revision > self.configuration.revision {
            return;
        }
        let until = sent + lease.saturating_sub(drift);
        self.until = Some(self.until.map_or(until, |known| known.max(until)));
    }

    /// Whether new work may be taken.
    ///
    /// # Errors
    ///
    /// Says whether the lease was never had or has run out.
    pub fn check_lease(&self, now: Timestamp) -> Result<(), NotTaking> {
        match self.until {
            None => Err(NotTaking::Starting),
            Some(until) if now >= until => Err(NotTaking::Isolated),
            Some(_) => Ok(()),
        }
    }
}
