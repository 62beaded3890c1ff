//! What a declaration document must hold beyond its shape before it may be applied.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::check::Checker;
use crate::declarations::BackendKind;
use crate::declarations::BackendServer;
use crate::declarations::Declarations;
use crate::declarations::FORMAT;
use crate::declarations::SHARED_SCOPE;
use crate::error::ConfigError;

/// Checks a document; `shared` is the shared one where `document` is a partner's and it is known.
pub(super) fn check(
    checker: Checker<'_>,
    document: &Declarations,
    shared: Option<&Declarations>,
) -> Result<(), ConfigError> {
    checker.require(document.format == FORMAT, "format", "the number 1")?;
    check_scope(checker, document)?;
    check_names(checker, document)?;
    check_programs(checker, document)?;
    check_targets(checker, document)?;
    for (name, server) in &document.backend_servers {
        check_server(checker, document, shared, name, server)?;
    }
    Ok(())
}

fn check_scope(checker: Checker<'_>, document: &Declarations) -> Result<(), ConfigError> {
    let is_shared = checker.origin == SHARED_SCOPE;
    let only_shared = "nothing, since only the shared document sets it";
    let only_partners = "nothing, since only a partner's document sets it";
    checker.require(is_shared || document.shares.is_empty(), "shares", only_shared)?;
    checker.require(is_shared || document.weight_store.is_none(), "weight_store", only_shared)?;
    checker.require(!is_shared || document.teams.is_empty(), "teams", only_partners)?;
    checker.require(!is_shared || document.classes.is_empty(), "classes", only_partners)
}

fn check_names(checker: Checker<'_>, document: &Declarations) -> Result<(), ConfigError> {
    names(checker, "shares", &document.shares)?;
    names(checker, "teams", &document.teams)?;
    names(checker, "classes", &document.classes)?;
    names(checker, "services", &document.services)?;
    names(checker, "models", &document.models)?;
    names(checker, "backend_servers", &document.backend_servers)
}

fn names<T>(checker: Checker<'_>, group: &str, named: &BTreeMap<Arc<str>, T>) -> Result<(), ConfigError> {
    named.keys().try_for_each(|name| checker.named(name, &format!("{group}.{name}")))
}

fn check_programs(checker: Checker<'_>, document: &Declarations) -> Result<(), ConfigError> {
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
        checker.lasting(class.keepalive, &format!("classes.{name}.keepalive"))?;
        let deadline = class.deadline.is_none_or(|deadline| !deadline.is_zero());
        checker.require(deadline, &format!("classes.{name}.deadline"), "a duration above 0")?;
    }
    Ok(())
}

fn check_targets(checker: Checker<'_>, document: &Declarations) -> Result<(), ConfigError> {
    for (name, service) in &document.services {
        checker.lasting(service.timeout, &format!("services.{name}.timeout"))?;
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
    checker.require(reachable, &key("address"), "an IP number and a port above 0")?;
    checker.positive(u64::from(server.slots), &key("slots"))?;
    checker.named(&server.vm, &key("vm"))?;
    checker.named(&server.failure_domain, &key("failure_domain"))?;
    let same = |other: &BackendServer| other.address == server.address && other.serves == server.serves;
    let first = document.backend_servers.iter().find(|(_, other)| same(other));
    let is_first = first.is_none_or(|(other, _)| **other == *name);
    checker.require(is_first, &key("address"), "an address that no other backend server has")?;
    let declared = |document: &Declarations| match server.kind {
        BackendKind::Engine => document.models.contains_key(&server.serves),
        BackendKind::Service => document.services.contains_key(&server.serves),
    };
    let is_shared = checker.origin == SHARED_SCOPE;
    let unsure = !is_shared && shared.is_none();
    let known = declared(document) || shared.is_some_and(declared) || unsure;
    checker.require(
        known,
        &key("serves"),
        "a model or service that is declared here or in the shared document",
    )
}
