//! The bounded set of label values, each with its attributes made once.

use std::collections::HashMap;

use opentelemetry::KeyValue;

use crate::ports::Labels;

/// Pairs of partner and class that get series of their own; the rest is counted under [`OTHER_LABEL`].
pub const MAX_LABEL_PAIRS: usize = 256;

/// Reasons that one pair may have series for; the rest is counted under [`OTHER_LABEL`].
pub const MAX_REASONS_PER_PAIR: usize = 16;

/// Label value for whatever came after the bounds were reached.
pub const OTHER_LABEL: &str = "other";

/// Attributes of one pair of partner and class.
pub(super) struct Series {
    pub(super) attributes: [KeyValue; 2],
    reasons: Vec<(&'static str, [KeyValue; 3])>,
}

impl Series {
    fn new(labels: &Labels) -> Self {
        let attributes =
            [KeyValue::new("partner", labels.partner.clone()), KeyValue::new("class", labels.class.clone())];
        Self { attributes, reasons: Vec::new() }
    }

    /// The attributes with a reason beside them; reasons are few, so that a list is quicker than a map.
    pub(super) fn with_reason(&mut self, reason: &'static str) -> &[KeyValue; 3] {
        let known = self.reasons.iter().position(|(name, _)| *name == reason);
        let place = known.unwrap_or_else(|| self.add(reason));
        &self.reasons[place].1
    }

    fn add(&mut self, reason: &'static str) -> usize {
        if self.reasons.len() > MAX_REASONS_PER_PAIR {
            return MAX_REASONS_PER_PAIR;
        }
        let name = if self.reasons.len() == MAX_REASONS_PER_PAIR { OTHER_LABEL } else { reason };
        let [partner, class] = self.attributes.clone();
        self.reasons.push((name, [partner, class, KeyValue::new("reason", name)]));
        self.reasons.len() - 1
    }
}

/// Attributes by labels.
#[derive(Default)]
pub(super) struct SeriesTable {
    known: HashMap<Labels, Series>,
}

impl SeriesTable {
    pub(super) fn of(&mut self, labels: &Labels) -> &mut Series {
        if self.known.contains_key(labels) {
            return self.known.get_mut(labels).expect("it was there a line above");
        }
        let labels = if self.known.len() < MAX_LABEL_PAIRS {
            labels.clone()
        } else {
            Labels { partner: OTHER_LABEL.into(), class: OTHER_LABEL.into() }
        };
        self.known.entry(labels).or_insert_with_key(Series::new)
    }
}
