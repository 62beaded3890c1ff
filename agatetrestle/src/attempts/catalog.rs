//! The declarations in force as the scheduler and the dispatcher need them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use agatetrestle_config::Declarations;
use agatetrestle_config::declarations::BackendKind;
use agatetrestle_config::declarations::BackendServer;
use agatetrestle_config::declarations::SHARED_SCOPE;

use crate::control::command::Configuration;
use crate::scheduler::event::Backend;
use crate::scheduler::event::Catalog;
use crate::scheduler::event::ClassRule;

/// Where a declared backend server listens and what it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackendEndpoint {
    /// IP number and port.
    pub address: SocketAddr,
    /// Engine or service replica.
    pub kind: BackendKind,
    /// Whether it reports its load.
    pub reports_load: bool,
}

/// Where each declared backend server listens.
pub type Endpoints = HashMap<Arc<str>, BackendEndpoint>;

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

/// Name under which a partner's calls find their backend servers: its own where its document has any
/// that serve `name`, else the shared ones.
#[must_use]
pub fn pool_name(partner: &str, own: Option<&Declarations>, kind: BackendKind, name: &str) -> Arc<str> {
    let serves = |server: &BackendServer| server.kind == kind && *server.serves == *name;
    let has_own = own.is_some_and(|own| own.backend_servers.values().any(serves));
    if has_own { qualified(partner, name) } else { name.into() }
}

/// A name that belongs to one partner and that no document can declare.
fn qualified(partner: &str, name: &str) -> Arc<str> {
    format!("{partner}/{name}").into()
}

/// Builds the scheduler's catalog and the addresses from the parsed documents with their scopes.
///
/// What a partner's document declares never reaches beyond the partner: its backend servers only get its
/// own calls, and where it gives one a name that is taken already, that one is known as `partner/name`.
#[must_use]
pub fn build(documents: &[(Arc<str>, Declarations)]) -> (Catalog, Endpoints) {
    let mut catalog = Catalog::default();
    let mut endpoints = Endpoints::new();
    for (scope, declarations) in documents {
        add_backends(scope, declarations, &mut catalog, &mut endpoints);
        if &**scope == SHARED_SCOPE {
            catalog.shares.clone_from(&declarations.shares);
            continue;
        }
        add_partner(scope, declarations, &mut catalog);
    }
    (catalog, endpoints)
}

fn add_backends(
    scope: &Arc<str>,
    declarations: &Declarations,
    catalog: &mut Catalog,
    endpoints: &mut Endpoints,
) {
    let is_shared = &**scope == SHARED_SCOPE;
    for (name, server) in &declarations.backend_servers {
        let taken = endpoints.contains_key(name);
        let name = if taken { qualified(scope, name) } else { name.clone() };
        let serves = if is_shared { server.serves.clone() } else { qualified(scope, &server.serves) };
        let reports_load = server.kind == BackendKind::Engine || server.reports_load;
        let target = BackendEndpoint { address: server.address, kind: server.kind, reports_load };
        endpoints.insert(name.clone(), target);
        catalog.backends.push(Backend {
            name,
            kind: server.kind,
            serves,
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
