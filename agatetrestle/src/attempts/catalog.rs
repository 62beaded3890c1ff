//! The declarations in force as the scheduler and the dispatcher need them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use agatetrestle_config::Declarations;
use agatetrestle_config::declarations::BackendKind;
use agatetrestle_config::declarations::SHARED_SCOPE;

use crate::control::command::Configuration;
use crate::scheduler::event::Backend;
use crate::scheduler::event::Catalog;
use crate::scheduler::event::ClassRule;

/// Where a declared backend server listens and what it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// IP number and port.
    pub address: SocketAddr,
    /// Engine or service replica.
    pub kind: BackendKind,
    /// Whether it reports its load.
    pub reports: bool,
}

/// Where each declared backend server listens.
pub type Addresses = HashMap<Arc<str>, Target>;

/// Parses the documents in force, the shared one first. A document that this build can't read is left out
/// and logged: the others must not suffer for it.
#[must_use]
pub fn parse(configuration: &Configuration) -> Vec<(Arc<str>, Declarations)> {
    let mut documents = Vec::new();
    for (scope, document) in &configuration.documents {
        match Declarations::read(scope, &document.text) {
            Ok(declarations) => documents.push((scope.clone(), declarations)),
            Err(e) => log::error!("A document in force can't be read: {e}."),
        }
    }
    documents.sort_by_key(|(scope, _)| &**scope != SHARED_SCOPE);
    documents
}

/// Builds the scheduler's catalog and the addresses from the parsed documents with their scopes. The
/// name of a backend server is unique over all documents; where two claim it, the first one wins.
#[must_use]
pub fn build(documents: &[(Arc<str>, Declarations)]) -> (Catalog, Addresses) {
    let mut catalog = Catalog::default();
    let mut addresses = Addresses::new();
    for (scope, declarations) in documents {
        add_backends(declarations, &mut catalog, &mut addresses);
        if &**scope == SHARED_SCOPE {
            catalog.shares.clone_from(&declarations.shares);
            continue;
        }
        add_partner(scope, declarations, &mut catalog);
    }
    (catalog, addresses)
}

fn add_backends(declarations: &Declarations, catalog: &mut Catalog, addresses: &mut Addresses) {
    for (name, server) in &declarations.backend_servers {
        if addresses.contains_key(name) {
            continue;
        }
        let reports = server.kind == BackendKind::Engine || server.reports_load;
        let target = Target { address: server.address, kind: server.kind, reports };
        addresses.insert(name.clone(), target);
        catalog.backends.push(Backend {
            name: name.clone(),
            kind: server.kind,
            serves: server.serves.clone(),
            vm: server.vm.clone(),
            failure_domain: server.failure_domain.clone(),
            slots: server.slots,
            cache_tokens: server.cache_tokens,
        });
    }
}

fn add_partner(scope: &Arc<str>, declarations: &Declarations, catalog: &mut Catalog) {
    let teams = declarations.teams.iter();
    let weights: BTreeMap<_, _> =
        teams.map(|(name, team)| ((scope.clone(), name.clone()), team.weight)).collect();
    catalog.teams.extend(weights);
    for (name, class) in &declarations.classes {
        let rule =
            ClassRule { priority: class.priority, deadline: class.deadline, keepalive: class.keepalive };
        catalog.classes.insert((scope.clone(), name.clone()), rule);
    }
}
