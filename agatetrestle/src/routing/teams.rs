//! The teams that may send requests, identified by the API keys of their callers.
//!
//! Keys are secret: no log, metric, error or overview may show one; see docs/PROMISES.md.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use snafu::ensure;

use crate::routing::InvalidTable;
use crate::routing::check::SharedKeySnafu;

/// An API key, which can be compared but not read back.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct ApiKey(Arc<str>);

impl From<&str> for ApiKey {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey")
    }
}

/// Limit on the request rate of a team, over all entry nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained requests per second.
    pub per_second: f64,
    /// Requests that may exceed the sustained rate in a burst.
    pub burst: f64,
}

/// A declared team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Declared name, which backend servers receive.
    pub name: Arc<str>,
    /// API keys, each of which gives access to all routes that are not public.
    pub keys: Vec<ApiKey>,
    /// Priority among teams, 0 for the most urgent; takes precedence over the priority of the route.
    pub priority: u8,
    /// Limit on its requests, if any.
    pub rate_limit: Option<RateLimit>,
}

/// The teams of one route table.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    all: Vec<Arc<Team>>,
    by_key: HashMap<ApiKey, usize>,
}

impl Teams {
    /// Indexes teams by key.
    ///
    /// # Errors
    ///
    /// Fails if two teams share a key.
    pub(super) fn new(teams: Vec<Team>) -> Result<Self, InvalidTable> {
        let mut by_key = HashMap::new();
        for (index, team) in teams.iter().enumerate() {
            for key in &team.keys {
                let previous = by_key.insert(key.clone(), index);
                let other = previous
                    .filter(|previous| *previous != index)
                    .map(|previous| teams[previous].name.clone());
                ensure!(
                    other.is_none(),
                    SharedKeySnafu { team: team.name.clone(), other: other.unwrap_or_default() }
                );
            }
        }
        Ok(Self { all: teams.into_iter().map(Arc::new).collect(), by_key })
    }

    /// The team with an API key.
    #[must_use]
    pub fn find(&self, key: &ApiKey) -> Option<&Arc<Team>> {
        self.by_key.get(key).map(|index| &self.all[*index])
    }

    /// All teams in declared order.
    #[must_use]
    pub fn all(&self) -> &[Arc<Team>] {
        &self.all
    }
}
