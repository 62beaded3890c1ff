//! Converts the active declarations to the scheduler's catalog and the dispatcher's endpoints.

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

/// Address and kind of a declared backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackendEndpoint {
    /// IP address and port.
    pub address: SocketAddr,
    /// Engine or service replica.
    pub kind: BackendKind,
    /// Whether it reports its load.
    pub reports_load: bool,
}

/// Endpoints of the declared backend servers by name.
pub type Endpoints = HashMap<Arc<str>, BackendEndpoint>;

/// Parses the active documents, the shared one first. A document that can't be parsed is logged and
/// skipped, so that it does not affect the others.
#[must_use]
pub fn parse(configuration: &Configuration) -> Vec<(Arc<str>, Declarations)> {
    let mut documents = Vec::new();
    for (scope, document) in &configuration.documents {
        match Declarations::parse_unchecked(scope, &document.text) {
            Ok(declarations) => documents.push((scope.clone(), declarations)),
            Err(e) => log::error!("Skipping an active document that can't be parsed: {e}."),
        }
    }
    documents.sort_by_key(|(scope, _)| &**scope != SHARED_SCOPE);
    documents
}

/// Name of the pool for a partner's calls: the partner's own backend servers if its document declares any
/// that serve `name`, otherwise the shared ones.
#[must_use]
pub fn pool_name(partner: &str, own: Option<&Declarations>, kind: BackendKind, name: &str) -> Arc<str> {
    let serves = |server: &BackendServer| server.kind == kind && *server.serves == *name;
    let has_own = own.is_some_and(|own| own.backend_servers.values().any(serves));
    if has_own { qualified(partner, name) } else { name.into() }
}

/// A name scoped to one partner; documents can't declare names of this form.
fn qualified(partner: &str, name: &str) -> Arc<str> {
    format!("{partner}/{name}").into()
}

/// Builds the scheduler's catalog and the endpoints from the parsed documents with their scopes.
///
/// A partner's document affects only that partner: its backend servers receive only its own calls, and a
/// backend server whose name is already in use is registered as `partner/name`.
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
        let name_in_use = endpoints.contains_key(name);
        let name = if name_in_use { qualified(scope, name) } else { name.clone() };
        let serves = if is_shared { server.serves.clone() } else { qualified(scope, &server.serves) };
        let reports_load = server.kind == BackendKind::Engine || server.reports_load;
        let endpoint = BackendEndpoint { address: server.address, kind: server.kind, reports_load };
        endpoints.insert(name.clone(), endpoint);
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
