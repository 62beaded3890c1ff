//! What a table of routes must hold as a whole.

use std::collections::BTreeMap;
use std::sync::Arc;

use snafu::Snafu;
use snafu::ensure;

use crate::routing::ByHost;
use crate::routing::Route;
use crate::routing::Service;

/// Why a table of routes is refused; none of it comes into force.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum InvalidTable {
    /// The text is no table.
    #[snafu(display("the table can't be read: {reason}"))]
    Malformed {
        /// What was expected, and where.
        reason: Arc<str>,
    },
    /// A route sends requests to a service that the table does not declare.
    #[snafu(display("route {route} names the unknown service {service}"))]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// Two routes would take the same requests.
    #[snafu(display("route {route} has the host and prefix of an earlier one"))]
    DuplicateRoute {
        /// The later route.
        route: Arc<str>,
    },
    /// No target of a route gets any request.
    #[snafu(display("the weights of route {route} add up to 0"))]
    ZeroWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A key would stand for two teams.
    #[snafu(display("teams {other} and {team} share a key"))]
    SharedKey {
        /// The later team.
        team: Arc<str>,
        /// The earlier one.
        other: Arc<str>,
    },
    /// A route would give up before it began.
    #[snafu(display("route {route} has no time"))]
    ZeroTimeout {
        /// The route.
        route: Arc<str>,
    },
}

/// Checks the routes and indexes them by host and prefix.
pub(super) fn index(
    routes: &[Route],
    services: &BTreeMap<Arc<str>, Service>,
) -> Result<ByHost, InvalidTable> {
    let mut by_host = ByHost::new();
    for (at, route) in routes.iter().enumerate() {
        check_route(route, services)?;
        let taken = by_host.entry(route.host.clone()).or_default().insert(route.prefix.clone(), at);
        ensure!(taken.is_none(), DuplicateRouteSnafu { route: route.name.clone() });
    }
    Ok(by_host)
}

fn check_route(route: &Route, services: &BTreeMap<Arc<str>, Service>) -> Result<(), InvalidTable> {
    for target in &route.targets {
        let known = services.contains_key(&target.service);
        let (route, service) = (route.name.clone(), target.service.clone());
        ensure!(known, UnknownServiceSnafu { route, service });
    }
    let weight: u128 = route.targets.iter().map(|target| u128::from(target.weight)).sum();
    ensure!(weight > 0 && u64::try_from(weight).is_ok(), ZeroWeightSnafu { route: route.name.clone() });
    ensure!(!route.timeout.is_zero(), ZeroTimeoutSnafu { route: route.name.clone() });
    Ok(())
}
