//! Classes of programs: their declared rules and statistics of their calls.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::scheduler::event::Catalog;
use crate::scheduler::event::ClassRule;
use crate::scheduler::service_histogram::ServiceHistogram;

const DEFAULT_OUTPUT_TOKENS: u64 = 200;
const DEFAULT_PROGRAM_TOKENS: u64 = 4_000;
const PROGRAM_TOKENS_SAMPLES: u64 = 32;
const MIN_CAPACITY_PERCENT: u64 = 50;
const OUTPUT_TOKENS_SAMPLES: u64 = 16;
const DEFAULT_RULE: ClassRule = ClassRule { priority: 0, deadline: None, keepalive: Duration::from_mins(5) };

#[derive(Debug)]
struct Class {
    rule: ClassRule,
    output_tokens: u64,
    service: ServiceHistogram,
    program_tokens: u64,
}

impl Class {
    fn new(rule: ClassRule) -> Self {
        Self {
            rule,
            output_tokens: DEFAULT_OUTPUT_TOKENS,
            service: ServiceHistogram::default(),
            program_tokens: DEFAULT_PROGRAM_TOKENS,
        }
    }
}

/// Classes by partner and name.
#[derive(Debug, Default)]
pub struct Classes {
    max_priorities: HashMap<Arc<str>, u8>,
    by_name: HashMap<(Arc<str>, Arc<str>), Class>,
}

impl Classes {
    /// Replaces the declared rules and keeps the statistics of classes that remain declared.
    pub fn set_catalog(&mut self, catalog: &Catalog) {
        self.max_priorities.clear();
        for ((partner, _), rule) in &catalog.classes {
            let max = self.max_priorities.entry(partner.clone()).or_default();
            *max = rule.priority.max(*max);
        }
        self.by_name.retain(|name, _| catalog.classes.contains_key(name));
        for (name, rule) in &catalog.classes {
            let class = Class::new(*rule);
            self.by_name.entry(name.clone()).or_insert(class).rule = *rule;
        }
    }

    /// The rule of a class. An undeclared class has the lowest priority.
    #[must_use]
    pub fn rule(&self, partner: &Arc<str>, class: &Arc<str>) -> ClassRule {
        self.find(partner, class).map_or(DEFAULT_RULE, |class| class.rule)
    }

    /// Moving average of the response length in tokens.
    #[must_use]
    pub fn expected_output(&self, partner: &Arc<str>, class: &Arc<str>) -> u64 {
        self.find(partner, class).map_or(DEFAULT_OUTPUT_TOKENS, |class| class.output_tokens)
    }

    /// Records the length of a response.
    pub fn record_output(&mut self, partner: &Arc<str>, class: &Arc<str>, tokens: u64) {
        if let Some(class) = self.by_name.get_mut(&(partner.clone(), class.clone())) {
            class.output_tokens =
                (class.output_tokens * (OUTPUT_TOKENS_SAMPLES - 1) + tokens).div_ceil(OUTPUT_TOKENS_SAMPLES);
        }
    }

    /// Records the total service of an ended program.
    pub fn record_service(&mut self, partner: &Arc<str>, class: &Arc<str>, service: u64) {
        if let Some(class) = self.by_name.get_mut(&(partner.clone(), class.clone())) {
            class.service.record(service);
        }
    }

    /// Expected remaining service of a program, given its attained service.
    #[must_use]
    pub fn expected_remaining(&self, partner: &Arc<str>, class: &Arc<str>, attained: u64) -> u64 {
        self.find(partner, class).map_or(attained, |class| class.service.expected_remaining(attained))
    }

    /// Mean total service of the programs of a class, or none with too few samples.
    #[must_use]
    pub fn mean_service(&self, partner: &Arc<str>, class: &Arc<str>) -> Option<u64> {
        self.find(partner, class).and_then(|class| class.service.mean())
    }

    /// Records the tokens that a program held at its end.
    pub fn record_tokens(&mut self, partner: &Arc<str>, class: &Arc<str>, tokens: u64) {
        if let Some(class) = self.by_name.get_mut(&(partner.clone(), class.clone())) {
            class.program_tokens = (class.program_tokens * (PROGRAM_TOKENS_SAMPLES - 1) + tokens)
                .div_ceil(PROGRAM_TOKENS_SAMPLES);
        }
    }

    /// Moving average of the tokens that a program holds at its end.
    #[must_use]
    pub fn expected_tokens(&self, partner: &Arc<str>, class: &Arc<str>) -> u64 {
        self.find(partner, class).map_or(DEFAULT_PROGRAM_TOKENS, |class| class.program_tokens)
    }

    /// Percentage of the admission capacity that a class may use: all for the partner's highest priority,
    /// half for priority 0 and linear in between.
    #[must_use]
    pub fn capacity_percent(&self, partner: &Arc<str>, class: &Arc<str>) -> u64 {
        let max = self.max_priorities.get(partner).copied().unwrap_or_default();
        let priority = self.rule(partner, class).priority.min(max);
        let extra = u64::from(priority) * MIN_CAPACITY_PERCENT;
        MIN_CAPACITY_PERCENT + extra.checked_div(u64::from(max)).unwrap_or(MIN_CAPACITY_PERCENT)
    }

    fn find(&self, partner: &Arc<str>, class: &Arc<str>) -> Option<&Class> {
        self.by_name.get(&(partner.clone(), class.clone()))
    }
}
