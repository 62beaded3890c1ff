//! The teams that may send requests, by the keys that their callers carry.
//!
//! A key is a secret of a team: no log, metric, error or overview shows one; docs/PROMISES.md.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use snafu::ensure;

use crate::routing::InvalidTable;
use crate::routing::check::SharedKeySnafu;

/// A caller's key. It can be compared, never read back.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct ApiKey(Arc<str>);

impl From<&str> for ApiKey {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

/// How many requests a team may send, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second, without end.
    pub per_second: f64,
    /// Requests on top of that, once.
    pub burst: f64,
}

/// One team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Declared name; backend servers are told it.
    pub name: Arc<str>,
    /// Each of them opens the routes that are not public.
    pub keys: Vec<ApiKey>,
    /// Rank among teams, 0 for the most urgent; it goes before the rank of a route.
    pub priority: u8,
    /// None where it may send without a limit.
    pub rate_limit: Option<RateLimit>,
}

/// The teams of one table.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    all: Vec<Arc<Team>>,
    by_key: HashMap<ApiKey, usize>,
}

impl Teams {
    /// Puts teams together.
    ///
    /// # Errors
    ///
    /// Fails if two teams share a key.
    pub(super) fn new(teams: Vec<Team>) -> Result<Self, InvalidTable> {
        let mut by_key = HashMap::new();
        for (at, team) in teams.iter().enumerate() {
            for key in &team.keys {
                let before = by_key.insert(key.clone(), at);
                let other = before.filter(|before| *before != at).map(|before| teams[before].name.clone());
                ensure!(
                    other.is_none(),
                    SharedKeySnafu { team: team.name.clone(), other: other.unwrap_or_default() }
                );
            }
        }
        Ok(Self { all: teams.into_iter().map(Arc::new).collect(), by_key })
    }

    /// The team that holds a key.
    #[must_use]
    pub fn holder(&self, key: &ApiKey) -> Option<&Arc<Team>> {
        self.by_key.get(key).map(|at| &self.all[*at])
    }

    /// All teams in declared order.
    #[must_use]
    pub fn all(&self) -> &[Arc<Team>] {
        &self.all
    }
}
