//! The classes: their declared rules and what their calls usually need.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::scheduler::event::Catalog;
use crate::scheduler::event::ClassRule;
use crate::scheduler::residual::Residual;

const OUTPUT_AT_START: u64 = 200;
const TOKENS_AT_START: u64 = 4_000;
const TOKENS_WEIGHT: u64 = 32;
const HALF_OPEN: u64 = 50;
const OUTPUT_WEIGHT: u64 = 16;
const DEFAULT_RULE: ClassRule = ClassRule { priority: 0, deadline: None, keepalive: Duration::from_mins(5) };

#[derive(Debug)]
struct Class {
    rule: ClassRule,
    output: u64,
    residual: Residual,
    tokens: u64,
}

impl Class {
    fn new(rule: ClassRule) -> Self {
        Self { rule, output: OUTPUT_AT_START, residual: Residual::default(), tokens: TOKENS_AT_START }
    }
}

/// The classes by partner and name.
#[derive(Debug, Default)]
pub struct Classes {
    most_urgent: HashMap<Arc<str>, u8>,
    by_name: HashMap<(Arc<str>, Arc<str>), Class>,
}

impl Classes {
    /// Takes in the declared rules; what was learned of a class that stays is kept.
    pub fn declare(&mut self, catalog: &Catalog) {
        self.most_urgent.clear();
        for ((partner, _), rule) in &catalog.classes {
            let most = self.most_urgent.entry(partner.clone()).or_default();
            *most = rule.priority.max(*most);
        }
        self.by_name.retain(|name, _| catalog.classes.contains_key(name));
        for (name, rule) in &catalog.classes {
            let class = Class::new(*rule);
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

    /// The mean service of programs of a class, if enough are known.
    #[must_use]
    pub fn usual_service(&self, partner: &Arc<str>, class: &Arc<str>) -> Option<u64> {
        self.find(partner, class).and_then(|class| class.residual.mean())
    }

    /// Takes in how many tokens a program held at its end.
    pub fn learn_tokens(&mut self, partner: &Arc<str>, class: &Arc<str>, tokens: u64) {
        if let Some(class) = self.by_name.get_mut(&(partner.clone(), class.clone())) {
            class.tokens = (class.tokens * (TOKENS_WEIGHT - 1) + tokens).div_ceil(TOKENS_WEIGHT);
        }
    }

    /// Tokens that a program is expected to hold.
    #[must_use]
    pub fn expected_tokens(&self, partner: &Arc<str>, class: &Arc<str>) -> u64 {
        self.find(partner, class).map_or(TOKENS_AT_START, |class| class.tokens)
    }

    /// The share of the door's capacity, in percent, that is open to a class: all of it to the most
    /// urgent of its partner, half to one of priority 0.
    #[must_use]
    pub fn open_percent(&self, partner: &Arc<str>, class: &Arc<str>) -> u64 {
        let most = self.most_urgent.get(partner).copied().unwrap_or_default();
        let priority = self.rule(partner, class).priority.min(most);
        let above = u64::from(priority) * HALF_OPEN;
        HALF_OPEN + above.checked_div(u64::from(most)).unwrap_or(HALF_OPEN)
    }

    fn find(&self, partner: &Arc<str>, class: &Arc<str>) -> Option<&Class> {
        self.by_name.get(&(partner.clone(), class.clone()))
    }
}
