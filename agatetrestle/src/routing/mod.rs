//! The route table that operators declare, which maps requests to services.
//!
//! The control group validates a table before it accepts it, so nodes only receive valid ones; see
//! docs/design/012-a-deployment-of-three-roles.md.

mod check;
mod teams;
#[cfg(test)]
mod tests;

pub use self::check::InvalidTable;
pub(crate) use self::check::NotUtf8Snafu;
pub use self::teams::ApiKey;
pub use self::teams::RateLimit;
pub use self::teams::Team;
pub use self::teams::Teams;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Whether and how the requests of a route may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Streaming {
        /// Whether another run may resume after the last event that the caller received. If not, a request runs at
        /// most once.
        resumable: bool,
    },
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share relative to the weights of the other targets.
    pub weight: u64,
}

/// A declared route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Declared name, for logs.
    pub name: Arc<str>,
    /// Host to match, in lower case.
    pub host: Arc<str>,
    /// Path prefix to match, which starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be retried.
    pub kind: RouteKind,
    /// Limit on the time until the response is complete.
    pub timeout: Duration,
    /// Target latency of the response, or of its first event if it is a stream.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Services that requests are distributed to.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of backend servers that one request may run on.
    pub max_attempts: u32,
    /// How long a completed turn is retained for later turns to continue from, if the route retains turns.
    pub retention: Option<Duration>,
    /// Whether requests that share a prompt prefer the same replica.
    pub sticky: bool,
    /// Whether requests need no API key even if teams are declared.
    pub public: bool,
}

/// A declared service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name that routes refer to.
    pub name: Arc<str>,
    /// Connections that one of its backend servers accepts from all nodes together.
    pub max_connections: u32,
    /// Tokens per event, if its backend servers are model engines.
    pub tokens_per_event: Option<u64>,
    /// Tokens that the memory of one of its backend servers holds, if they are model engines that declare it.
    pub memory_tokens: Option<u64>,
    /// Path at which its backend servers tell whether they are healthy, if they do.
    pub health_path: Option<Arc<str>>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request header.
    pub max_header_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Limit on the time to receive a request header.
    pub header_timeout: Duration,
    /// Limit on the time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// Indices of routes by host and prefix.
type RouteIndex = HashMap<Arc<str>, HashMap<Arc<str>, usize>>;

/// One version of the declared routes, services and teams.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Declared version; a table replaces those with lower versions.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    routes: Vec<Arc<Route>>,
    services: BTreeMap<Arc<str>, Service>,
    by_host: RouteIndex,
    /// `None` if requests need no API key.
    teams: Option<Teams>,
}

/// The route is not public and the request has no API key of a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unauthorized;

impl RouteTable {
    /// Validates and indexes a table without teams.
    ///
    /// # Errors
    ///
    /// Fails if a route is invalid or duplicated.
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

    /// Restricts the routes that are not public to the given teams.
    ///
    /// # Errors
    ///
    /// Fails if two teams share a key.
    pub fn with_teams(self, teams: Vec<Team>) -> Result<Self, InvalidTable> {
        Ok(Self { teams: Some(Teams::new(teams)?), ..self })
    }

    /// Authorizes a request and returns its team. There is none if no teams are declared, or on a public route without an
    /// API key of a team.
    ///
    /// # Errors
    ///
    /// Fails if the route requires an API key and the request has none of a team.
    pub fn authorize(&self, route: &Route, key: Option<&ApiKey>) -> Result<Option<&Arc<Team>>, Unauthorized> {
        let Some(teams) = &self.teams else {
            return Ok(None);
        };
        let team = key.and_then(|key| teams.find(key));
        if team.is_none() && !route.public { Err(Unauthorized) } else { Ok(team) }
    }

    /// The teams in declared order, empty if none are declared.
    #[must_use]
    pub fn teams(&self) -> &[Arc<Team>] {
        self.teams.as_ref().map_or(&[], Teams::all)
    }

    /// The route of the request's host with the longest matching prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.by_host.get(name.to_ascii_lowercase().as_str())?;
        // Every prefix ends with a slash, so only substrings up to a slash can match.
        let candidates = path.rmatch_indices('/').map(|(end, _)| &path[..=end]);
        let index = candidates.into_iter().find_map(|prefix| prefixes.get(prefix))?;
        Some(&self.routes[*index])
    }

    /// The declaration of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The services that declare the memory of their backend servers, with its size in tokens.
    pub fn memory_tokens(&self) -> impl Iterator<Item = (Arc<str>, u64)> {
        let declared = |service: &Service| Some((service.name.clone(), service.memory_tokens?));
        self.services.values().filter_map(declared)
    }

    /// All routes in declared order.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}

impl Route {
    /// The service for a request, by weight. `draw` is uniformly distributed over `u64`.
    #[must_use]
    pub fn pick_service(&self, draw: u64) -> &Arc<str> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut offset = draw % total.max(1);
        for target in &self.targets {
            if offset < target.weight {
                return &target.service;
            }
            offset -= target.weight;
        }
        &self.targets[0].service
    }

    /// Whether a request that may already have run must not be sent again.
    #[must_use]
    pub fn is_at_most_once(&self) -> bool {
        !matches!(self.kind, RouteKind::Idempotent | RouteKind::Streaming { resumable: true })
    }

    /// Whether responses are streams of events.
    #[must_use]
    pub fn is_streaming(&self) -> bool {
        matches!(self.kind, RouteKind::Streaming { .. })
    }
}
