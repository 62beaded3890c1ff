//! Validation of route tables.

use std::collections::BTreeMap;
use std::str::Utf8Error;
use std::sync::Arc;

use snafu::Snafu;
use snafu::ensure;

use crate::routing::Route;
use crate::routing::RouteIndex;
use crate::routing::Service;

/// Why a route table is rejected as a whole.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum InvalidTable {
    /// The text could not be parsed.
    #[snafu(display("malformed route table: {reason}"))]
    Malformed {
        /// What was expected, and where.
        reason: Arc<str>,
    },
    /// The text is not UTF-8.
    #[snafu(display("the route table is not UTF-8: {source}"))]
    NotUtf8 {
        /// Where the text is invalid.
        source: Utf8Error,
    },
    /// A route has a target that is not declared.
    #[snafu(display("route {route} refers to undeclared service {service}"))]
    UnknownService {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the undeclared service.
        service: Arc<str>,
    },
    /// Two routes match the same requests.
    #[snafu(display("route {route} has the same host and prefix as an earlier route"))]
    DuplicateRoute {
        /// Name of the later route.
        route: Arc<str>,
    },
    /// The weights of a route's targets can't be used for a draw.
    #[snafu(display("the weights of route {route} must add up to a value from 1 to {}", u64::MAX))]
    InvalidWeights {
        /// Name of the route.
        route: Arc<str>,
    },
    /// A key would identify two teams.
    #[snafu(display("teams {other} and {team} share an API key"))]
    SharedKey {
        /// Name of the later team.
        team: Arc<str>,
        /// Name of the earlier team.
        other: Arc<str>,
    },
    /// The requests of a route would time out at once.
    #[snafu(display("route {route} has a timeout of 0"))]
    ZeroTimeout {
        /// Name of the route.
        route: Arc<str>,
    },
}

/// Validates the routes and indexes them by host and prefix.
pub(super) fn index(
    routes: &[Route],
    services: &BTreeMap<Arc<str>, Service>,
) -> Result<RouteIndex, InvalidTable> {
    let mut by_host = RouteIndex::new();
    for (position, route) in routes.iter().enumerate() {
        check_route(route, services)?;
        let earlier = by_host.entry(route.host.clone()).or_default().insert(route.prefix.clone(), position);
        ensure!(earlier.is_none(), DuplicateRouteSnafu { route: route.name.clone() });
    }
    Ok(by_host)
}

fn check_route(route: &Route, services: &BTreeMap<Arc<str>, Service>) -> Result<(), InvalidTable> {
    for target in &route.targets {
        let known = services.contains_key(&target.service);
        let (route, service) = (route.name.clone(), target.service.clone());
        ensure!(known, UnknownServiceSnafu { route, service });
    }
    let total: u128 = route.targets.iter().map(|target| u128::from(target.weight)).sum();
    ensure!(total > 0 && u64::try_from(total).is_ok(), InvalidWeightsSnafu { route: route.name.clone() });
    ensure!(!route.timeout.is_zero(), ZeroTimeoutSnafu { route: route.name.clone() });
    Ok(())
}
