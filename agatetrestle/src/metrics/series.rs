//! Label values of the series, bounded in number, with their attributes.

use std::collections::HashMap;

use opentelemetry::KeyValue;

use crate::ports::Labels;

/// Pairs of partner and class that get their own series; all others share [`OTHER_LABEL`].
pub const MAX_LABEL_PAIRS: usize = 256;

/// Reasons that get their own series for each pair; all others share [`OTHER_LABEL`].
pub const MAX_REASONS_PER_PAIR: usize = 16;

/// Label value of everything beyond the bounds.
pub const OTHER_LABEL: &str = "other";

/// Attributes of the series of one partner and class.
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

    /// Attributes with a reason added. Reasons are few, so that a list is faster than a map.
    pub(super) fn with_reason(&mut self, reason: &'static str) -> &[KeyValue; 3] {
        let known = self.reasons.iter().position(|(name, _)| *name == reason);
        let index = known.unwrap_or_else(|| self.add_reason(reason));
        &self.reasons[index].1
    }

    fn add_reason(&mut self, reason: &'static str) -> usize {
        if self.reasons.len() > MAX_REASONS_PER_PAIR {
            return MAX_REASONS_PER_PAIR;
        }
        let name = if self.reasons.len() == MAX_REASONS_PER_PAIR { OTHER_LABEL } else { reason };
        let [partner, class] = self.attributes.clone();
        self.reasons.push((name, [partner, class, KeyValue::new("reason", name)]));
        self.reasons.len() - 1
    }
}

#[derive(Default)]
pub(super) struct SeriesTable {
    series: HashMap<Labels, Series>,
}

impl SeriesTable {
    pub(super) fn get_or_insert(&mut self, labels: &Labels) -> &mut Series {
        if self.series.contains_key(labels) {
            return self.series.get_mut(labels).expect("the key was checked above");
        }
        let labels = if self.series.len() < MAX_LABEL_PAIRS {
            labels.clone()
        } else {
            Labels { partner: OTHER_LABEL.into(), class: OTHER_LABEL.into() }
        };
        self.series.entry(labels).or_insert_with_key(Series::new)
    }
}
