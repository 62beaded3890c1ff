//! The declarations in force, parsed once for each revision.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use agatetrestle_config::Declarations;
use agatetrestle_config::declarations::BackendKind;
use agatetrestle_config::declarations::Class;
use agatetrestle_config::declarations::SHARED_SCOPE;
use agatetrestle_config::declarations::Service;

use crate::attempts::catalog;
use crate::control::command::Configuration;
use crate::entry::problem::Problem;
use crate::entry::problem::Reason;

/// The parsed documents of one revision.
#[derive(Debug, Default)]
pub struct Declared {
    revision: u64,
    documents: BTreeMap<Arc<str>, Declarations>,
}

/// Keeps the newest parsed revision.
#[derive(Default)]
pub struct Cache {
    newest: RefCell<Rc<Declared>>,
}

impl Cache {
    /// The parsed form of a configuration; parses only where the revision is new.
    pub fn of(&self, configuration: &Configuration) -> Rc<Declared> {
        let cached = Rc::clone(&self.newest.borrow());
        if cached.revision == configuration.revision {
            return cached;
        }
        let documents = catalog::parse(configuration).into_iter().collect();
        let fresh = Rc::new(Declared { revision: configuration.revision, documents });
        *self.newest.borrow_mut() = Rc::clone(&fresh);
        fresh
    }
}

impl Declared {
    /// The class of a program to be opened.
    ///
    /// # Errors
    ///
    /// Refuses a partner, team or class that is not declared.
    pub fn class(&self, partner: &str, team: &str, class: &str) -> Result<&Class, Problem> {
        let own = self.documents.get(partner).filter(|_| partner != SHARED_SCOPE);
        let own = own.ok_or_else(|| undeclared("partner", partner))?;
        if !own.teams.contains_key(team) {
            return Err(undeclared("team", team));
        }
        own.classes.get(class).ok_or_else(|| undeclared("class", class))
    }

    /// A service as the partner may use it: its own or a shared one.
    ///
    /// # Errors
    ///
    /// Refuses a service that neither document declares.
    pub fn service(&self, partner: &str, name: &str) -> Result<&Service, Problem> {
        let found = self.visible(partner).find_map(|document| document.services.get(name));
        found.ok_or_else(|| no_backend("service", name))
    }

    /// Whether the partner may use a model.
    ///
    /// # Errors
    ///
    /// Refuses a model that neither the partner nor the shared document declares.
    pub fn model(&self, partner: &str, name: &str) -> Result<(), Problem> {
        let known = self.visible(partner).any(|document| document.models.contains_key(name));
        known.then_some(()).ok_or_else(|| no_backend("model", name))
    }

    /// Name under which the partner's calls find their backend servers.
    #[must_use]
    pub fn pool(&self, partner: &str, kind: BackendKind, name: &str) -> Arc<str> {
        catalog::pool_name(partner, self.documents.get(partner), kind, name)
    }

    fn visible(&self, partner: &str) -> impl Iterator<Item = &Declarations> {
        [self.documents.get(partner), self.documents.get(SHARED_SCOPE)].into_iter().flatten()
    }
}

fn undeclared(kind: &str, name: &str) -> Problem {
    Problem::not_run(422, Reason::Undeclared, format!("the {kind} {name} is not declared"))
}

fn no_backend(kind: &str, name: &str) -> Problem {
    Problem::not_run(404, Reason::NoBackend, format!("the {kind} {name} is not declared"))
}
