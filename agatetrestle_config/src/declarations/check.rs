//! Validation of a declaration document beyond its schema, done before the document is applied.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::check::Checker;
use crate::declarations::BackendKind;
use crate::declarations::BackendServer;
use crate::declarations::Declarations;
use crate::declarations::FORMAT_VERSION;
use crate::declarations::SHARED_SCOPE;
use crate::error::ConfigError;

/// Validates a document; `shared` is the shared document, if `document` is a partner's and the shared one is known.
pub(super) fn check(
    checker: Checker<'_>,
    document: &Declarations,
    shared: Option<&Declarations>,
) -> Result<(), ConfigError> {
    checker.require(document.format == FORMAT_VERSION, "format", "the number 1")?;
    check_scope(checker, document)?;
    check_names(checker, document)?;
    check_teams_and_classes(checker, document)?;
    check_services_and_models(checker, document)?;
    for (name, server) in &document.backend_servers {
        check_server(checker, document, shared, name, server)?;
    }
    Ok(())
}

fn check_scope(checker: Checker<'_>, document: &Declarations) -> Result<(), ConfigError> {
    let is_shared = checker.origin == SHARED_SCOPE;
    let shared_only = "no value: only the shared document may set this key";
    let partners_only = "no value: only a partner's document may set this key";
    checker.require(is_shared || document.shares.is_empty(), "shares", shared_only)?;
    checker.require(is_shared || document.weight_store.is_none(), "weight_store", shared_only)?;
    checker.require(!is_shared || document.teams.is_empty(), "teams", partners_only)?;
    checker.require(!is_shared || document.classes.is_empty(), "classes", partners_only)
}

fn check_names(checker: Checker<'_>, document: &Declarations) -> Result<(), ConfigError> {
    check_keys(checker, "shares", &document.shares)?;
    check_keys(checker, "teams", &document.teams)?;
    check_keys(checker, "classes", &document.classes)?;
    check_keys(checker, "services", &document.services)?;
    check_keys(checker, "models", &document.models)?;
    check_keys(checker, "backend_servers", &document.backend_servers)
}

fn check_keys<T>(
    checker: Checker<'_>,
    section: &str,
    entries: &BTreeMap<Arc<str>, T>,
) -> Result<(), ConfigError> {
    entries.keys().try_for_each(|name| checker.valid_name(name, &format!("{section}.{name}")))
}

fn check_teams_and_classes(checker: Checker<'_>, document: &Declarations) -> Result<(), ConfigError> {
    for (name, share) in &document.shares {
        checker.positive(u64::from(*share), &format!("shares.{name}"))?;
    }
    for (name, team) in &document.teams {
        checker.positive(u64::from(team.weight), &format!("teams.{name}.weight"))?;
        checker.positive(u64::from(team.live_programs), &format!("teams.{name}.live_programs"))?;
    }
    for (name, class) in &document.classes {
        checker.positive(class.budget, &format!("classes.{name}.budget"))?;
        checker.positive(u64::from(class.turns), &format!("classes.{name}.turns"))?;
        checker.positive_duration(class.keepalive, &format!("classes.{name}.keepalive"))?;
        let valid_deadline = class.deadline.is_none_or(|deadline| !deadline.is_zero());
        checker.require(valid_deadline, &format!("classes.{name}.deadline"), "a duration above 0")?;
    }
    Ok(())
}

fn check_services_and_models(checker: Checker<'_>, document: &Declarations) -> Result<(), ConfigError> {
    for (name, service) in &document.services {
        checker.positive_duration(service.timeout, &format!("services.{name}.timeout"))?;
    }
    for (name, model) in &document.models {
        checker.positive(model.weights, &format!("models.{name}.weights"))?;
    }
    let rate = document.weight_store.as_ref().map_or(1, |store| store.rate);
    checker.positive(rate, "weight_store.rate")
}

fn check_server(
    checker: Checker<'_>,
    document: &Declarations,
    shared: Option<&Declarations>,
    name: &str,
    server: &BackendServer,
) -> Result<(), ConfigError> {
    let key = |field: &str| format!("backend_servers.{name}.{field}");
    let reachable = server.address.port() > 0 && !server.address.ip().is_unspecified();
    checker.require(reachable, &key("address"), "an IP address and a port above 0")?;
    checker.positive(u64::from(server.slots), &key("slots"))?;
    checker.valid_name(&server.vm, &key("vm"))?;
    checker.valid_name(&server.failure_domain, &key("failure_domain"))?;
    let same_endpoint =
        |other: &BackendServer| other.address == server.address && other.serves == server.serves;
    let first = document.backend_servers.iter().find(|(_, other)| same_endpoint(other));
    let is_first = first.is_none_or(|(other, _)| **other == *name);
    checker.require(is_first, &key("address"), "an address that no other backend server has")?;
    let declared = |document: &Declarations| match server.kind {
        BackendKind::Engine => document.models.contains_key(&server.serves),
        BackendKind::Service => document.services.contains_key(&server.serves),
    };
    let is_shared = checker.origin == SHARED_SCOPE;
    let undecidable = !is_shared && shared.is_none();
    let accepted = declared(document) || shared.is_some_and(declared) || undecidable;
    checker.require(
        accepted,
        &key("serves"),
        "a model or service that is declared here or in the shared document",
    )
}
