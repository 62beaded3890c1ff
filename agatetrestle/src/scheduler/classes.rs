//! The classes: their declared rules and what their calls usually need.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::scheduler::event::Catalog;
use crate::scheduler::event::ClassRule;
use crate::scheduler::residual::Residual;

const OUTPUT_AT_START: u64 = 200;
const OUTPUT_WEIGHT: u64 = 16;
const DEFAULT_RULE: ClassRule = ClassRule { priority: 0, deadline: None, keepalive: Duration::from_mins(5) };

#[derive(Debug)]
struct Class {
    rule: ClassRule,
    output: u64,
    residual: Residual,
}

/// The classes by partner and name.
#[derive(Debug, Default)]
pub struct Classes {
    by_name: HashMap<(Arc<str>, Arc<str>), Class>,
}

impl Classes {
    /// Takes in the declared rules; what was learned of a class that stays is kept.
    pub fn declare(&mut self, catalog: &Catalog) {
        self.by_name.retain(|name, _| catalog.classes.contains_key(name));
        for (name, rule) in &catalog.classes {
            let class = Class { rule: *rule, output: OUTPUT_AT_START, residual: Residual::default() };
            self.by_name.entry(name.clone()).or_insert(class).rule = *rule;
        }
    }

    /// The rule of a class; one that is not declared gets the lowest priority.
    #[must_use]
    pub fn rule(&self, partner: &Arc<str>, class: &Arc<str>) -> ClassRule {
        self.find(partner, class).map_or(DEFAULT_RULE, |class| class.rule)
    }

    /// Tokens that an answer is expected to have.
    #[must_use]
    pub fn expected_output(&self, partner: &Arc<str>, class: &Arc<str>) -> u64 {
        self.find(partner, class).map_or(OUTPUT_AT_START, |class| class.output)
    }

    /// Takes in the length of an answer.
    pub fn learn_output(&mut self, partner: &Arc<str>, class: &Arc<str>, tokens: u64) {
        if let Some(class) = self.by_name.get_mut(&(partner.clone(), class.clone())) {
            class.output = (class.output * (OUTPUT_WEIGHT - 1) + tokens).div_ceil(OUTPUT_WEIGHT);
        }
    }

    /// Takes in the whole service of a program that ended.
    pub fn learn_service(&mut self, partner: &Arc<str>, class: &Arc<str>, service: u64) {
        if let Some(class) = self.by_name.get_mut(&(partner.clone(), class.clone())) {
            class.residual.learn(service);
        }
    }

    /// Service that a program is expected to need yet, having attained so much.
    #[must_use]
    pub fn expected_rest(&self, partner: &Arc<str>, class: &Arc<str>, attained: u64) -> u64 {
        self.find(partner, class).map_or(attained, |class| class.residual.expected(attained))
    }

    fn find(&self, partner: &Arc<str>, class: &Arc<str>) -> Option<&Class> {
        self.by_name.get(&(partner.clone(), class.clone()))
    }
}
