//! How long programs stay away, learned by class and tool.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::micros;

const BUCKETS: usize = 48;
const BUCKETS_PER_DOUBLING: u32 = 2;
const SMALLEST: u64 = 1_000;
const FORGET_AFTER: u32 = 4_096;
const DEFAULT_RETURN: Duration = Duration::from_secs(5);
const ENOUGH: u32 = 8;

#[derive(Clone, Debug)]
struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }
}

impl Histogram {
    fn record(&mut self, away: Duration) {
        self.counts[bucket(away)] += 1;
        self.total += 1;
        if self.total < FORGET_AFTER {
            return;
        }
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }

    fn quantile(&self, percent: u32) -> Option<Duration> {
        if self.total < ENOUGH {
            return None;
        }
        let wanted = self.total * percent / 100;
        let mut seen = 0;
        for (at, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen > wanted {
                return Some(upper(at));
            }
        }
        Some(upper(BUCKETS - 1))
    }
}

/// Histograms of the time between an answer and the next call, by class and tool and by class.
#[derive(Debug, Default)]
pub struct PauseHistograms {
    by_tool: HashMap<(Arc<str>, Option<Arc<str>>), Histogram>,
}

impl PauseHistograms {
    /// Takes in a pause that is over.
    pub fn record(&mut self, class: &Arc<str>, tool: Option<&Arc<str>>, away: Duration) {
        self.by_tool.entry((class.clone(), None)).or_default().record(away);
        if let Some(tool) = tool {
            self.by_tool.entry((class.clone(), Some(tool.clone()))).or_default().record(away);
        }
    }

    /// The time by which this share of pauses, in percent, was over.
    #[must_use]
    pub fn quantile(&self, class: &Arc<str>, tool: Option<&Arc<str>>, percent: u32) -> Duration {
        let of = |tool: Option<Arc<str>>| {
            let histogram = self.by_tool.get(&(class.clone(), tool));
            histogram.and_then(|histogram| histogram.quantile(percent))
        };
        let known = tool.and_then(|tool| of(Some(tool.clone())));
        known.or_else(|| of(None)).unwrap_or(DEFAULT_RETURN)
    }
}

fn bucket(away: Duration) -> usize {
    let ratio = (micros(away) / SMALLEST).max(1);
    let doublings = ratio.ilog2();
    let half = u32::from(ratio >= (3u64 << doublings) / 2);
    usize::try_from(doublings * BUCKETS_PER_DOUBLING + half).unwrap_or(BUCKETS).min(BUCKETS - 1)
}

fn upper(bucket: usize) -> Duration {
    let bucket = u32::try_from(bucket).unwrap_or_default();
    let base = SMALLEST << (bucket / BUCKETS_PER_DOUBLING);
    let half = u64::from(bucket % BUCKETS_PER_DOUBLING);
    Duration::from_micros(base * (3 + half) / 2)
}
