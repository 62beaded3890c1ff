//! Cache of the declarations in force, which are parsed once per revision.

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
use crate::entry::problem::ProblemReason;

/// The parsed documents of one revision, by partner.
#[derive(Debug, Default)]
pub struct ParsedDeclarations {
    revision: u64,
    documents: BTreeMap<Arc<str>, Declarations>,
}

/// Keeps the newest parsed revision.
#[derive(Default)]
pub struct DeclarationCache {
    latest: RefCell<Rc<ParsedDeclarations>>,
}

impl DeclarationCache {
    /// The parsed form of a configuration; parses only if its revision differs from the cached one.
    pub fn get(&self, configuration: &Configuration) -> Rc<ParsedDeclarations> {
        let cached = Rc::clone(&self.latest.borrow());
        if cached.revision == configuration.revision {
            return cached;
        }
        let documents = catalog::parse(configuration).into_iter().collect();
        let parsed = Rc::new(ParsedDeclarations { revision: configuration.revision, documents });
        *self.latest.borrow_mut() = Rc::clone(&parsed);
        parsed
    }
}

impl ParsedDeclarations {
    /// Finds the class of a new program.
    ///
    /// # Errors
    ///
    /// Fails if the partner, team or class is not declared.
    pub fn class(&self, partner: &str, team: &str, class: &str) -> Result<&Class, Problem> {
        let document = self.documents.get(partner).filter(|_| partner != SHARED_SCOPE);
        let document = document.ok_or_else(|| undeclared("partner", partner))?;
        if !document.teams.contains_key(team) {
            return Err(undeclared("team", team));
        }
        document.classes.get(class).ok_or_else(|| undeclared("class", class))
    }

    /// Finds a service of the partner or a shared one.
    ///
    /// # Errors
    ///
    /// Fails if neither document declares the service.
    pub fn service(&self, partner: &str, name: &str) -> Result<&Service, Problem> {
        let found = self.visible_to(partner).find_map(|document| document.services.get(name));
        found.ok_or_else(|| no_backend("service", name))
    }

    /// Checks that the partner may use a model.
    ///
    /// # Errors
    ///
    /// Fails if neither the partner's document nor the shared one declares the model.
    pub fn model(&self, partner: &str, name: &str) -> Result<(), Problem> {
        let is_declared = self.visible_to(partner).any(|document| document.models.contains_key(name));
        is_declared.then_some(()).ok_or_else(|| no_backend("model", name))
    }

    /// Name of the pool of backend servers for the partner's calls.
    #[must_use]
    pub fn pool(&self, partner: &str, kind: BackendKind, name: &str) -> Arc<str> {
        catalog::pool_name(partner, self.documents.get(partner), kind, name)
    }

    fn visible_to(&self, partner: &str) -> impl Iterator<Item = &Declarations> {
        [self.documents.get(partner), self.documents.get(SHARED_SCOPE)].into_iter().flatten()
    }
}

fn undeclared(kind: &str, name: &str) -> Problem {
    Problem::not_run(422, ProblemReason::Undeclared, format!("the {kind} {name} is not declared"))
}

fn no_backend(kind: &str, name: &str) -> Problem {
    Problem::not_run(404, ProblemReason::NoBackend, format!("the {kind} {name} is not declared"))
}
