//! Which backend servers a caller's request may go to: the table of routes that operators declare.
//!
//! A table is checked as a whole before the control group accepts it, so that a node never has to judge one;
//! see docs/design/012-a-deployment-of-three-roles.md.

mod check;
mod teams;
#[cfg(test)]
mod tests;

pub use self::check::InvalidTable;
pub use self::teams::ApiKey;
pub use self::teams::RateLimit;
pub use self::teams::Team;
pub use self::teams::Teams;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming {
        /// Whether another run may go on after the last event that the caller has; if not, a request runs at
        /// most once.
        resumable: bool,
    },
}

/// A share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service that gets them.
    pub service: Arc<str>,
    /// Its share in relation to the other targets.
    pub weight: u64,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Declared name, for logs.
    pub name: Arc<str>,
    /// Host that callers name, in lower case.
    pub host: Arc<str>,
    /// Start of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// Time within which an answer has its full worth; for a stream, its first event.
    pub objective: Duration,
    /// Rank, 0 for the most urgent.
    pub priority: u8,
    /// Where requests go.
    pub targets: Vec<RouteTarget>,
    /// Most backend servers that one request may run on.
    pub max_attempts: u32,
    /// How long a turn that ended can be gone on from; none where the route keeps no turns.
    pub retention: Option<Duration>,
    /// Whether requests share prompts, so that it matters which replica gets which.
    pub sticky: bool,
    /// Whether requests need no key, where teams are declared.
    pub public: bool,
}

/// What is declared of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one of its backend servers takes from all nodes together.
    pub max_connections: u32,
    /// Tokens in each event, for a service of model engines.
    pub tokens_per_event: Option<u64>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Time for the head to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Places of routes by host and prefix.
type ByHost = HashMap<Arc<str>, HashMap<Arc<str>, usize>>;

/// Everything that operators declare of routes, at one version.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// The operators' number of the table; a higher one replaces a lower one.
    pub version: u64,
    /// Bounds on callers.
    pub limits: CallerLimits,
    routes: Vec<Arc<Route>>,
    services: BTreeMap<Arc<str>, Service>,
    by_host: ByHost,
    /// None where anybody may send requests.
    teams: Option<Teams>,
}

/// A request carries no key of a team, and its route is not public.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unauthorized;

impl RouteTable {
    /// Checks the parts of a table and puts them together.
    ///
    /// # Errors
    ///
    /// Says what makes the table unusable, with the route that it is about.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: CallerLimits,
    ) -> Result<Self, InvalidTable> {
        let services = services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let by_host = check::index(&routes, &services)?;
        let routes = routes.into_iter().map(Arc::new).collect();
        Ok(Self { version, limits, routes, services, by_host, teams: None })
    }

    /// The same table for the callers of some teams alone.
    ///
    /// # Errors
    ///
    /// Fails if two teams share a key.
    pub fn with_teams(self, teams: Vec<Team>) -> Result<Self, InvalidTable> {
        Ok(Self { teams: Some(Teams::new(teams)?), ..self })
    }

    /// The team that a request on a route belongs to; none where no teams are declared, or on a public route without a key
    /// of one.
    ///
    /// # Errors
    ///
    /// Fails if the request must not run for want of a key.
    pub fn authorize(&self, route: &Route, key: Option<&ApiKey>) -> Result<Option<&Arc<Team>>, Unauthorized> {
        let Some(teams) = &self.teams else {
            return Ok(None);
        };
        let holder = key.and_then(|key| teams.holder(key));
        if holder.is_none() && !route.public { Err(Unauthorized) } else { Ok(holder) }
    }

    /// The teams in declared order; empty where none are declared.
    #[must_use]
    pub fn teams(&self) -> &[Arc<Team>] {
        self.teams.as_ref().map_or(&[], Teams::all)
    }

    /// The route of a request: among those of its host the one with the longest prefix of its path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.by_host.get(name.to_ascii_lowercase().as_str())?;
        // Every prefix ends with a slash, so only those ends are worth a look.
        let ends = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let index = ends.into_iter().find_map(|prefix| prefixes.get(prefix))?;
        Some(&self.routes[*index])
    }

    /// What is declared of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All routes in declared order.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}

impl Route {
    /// The service that a request goes to, by a number drawn evenly from all `u64`.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> &Arc<str> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut place = draw % total.max(1);
        for target in &self.targets {
            if place < target.weight {
                return &target.service;
            }
            place -= target.weight;
        }
        &self.targets[0].service
    }

    /// Whether a request that may have run must not be sent again.
    #[must_use]
    pub fn is_at_most_once(&self) -> bool {
        !matches!(self.kind, RouteKind::Idempotent | RouteKind::Streaming { resumable: true })
    }

    /// Whether answers are streams of events.
    #[must_use]
    pub fn is_streaming(&self) -> bool {
        matches!(self.kind, RouteKind::Streaming { .. })
    }
}
