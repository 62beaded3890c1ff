//! The set of leaving signs: it only grows, and a newer incarnation outlives an older sign.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::members::message::Sign;

/// Signs by name, each with the highest incarnation that was seen to leave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Signs {
    marked: BTreeMap<Arc<str>, u64>,
}

impl Signs {
    /// Adds a sign; an older one than known changes nothing. Returns whether it was news.
    pub fn add(&mut self, sign: &Sign) -> bool {
        let known = self.marked.get(&sign.name).copied();
        if known.is_some_and(|known| known >= sign.incarnation) {
            return false;
        }
        self.marked.insert(sign.name.clone(), sign.incarnation);
        true
    }

    /// Whether this incarnation of the name leaves.
    #[must_use]
    pub fn covers(&self, name: &str, incarnation: u64) -> bool {
        self.marked.get(name).is_some_and(|marked| *marked >= incarnation)
    }

    /// All signs, in order of name.
    #[must_use]
    pub fn list(&self) -> Vec<Sign> {
        let sign =
            |(name, incarnation): (&Arc<str>, &u64)| Sign { name: name.clone(), incarnation: *incarnation };
        self.marked.iter().map(sign).collect()
    }
}
