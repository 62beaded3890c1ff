//! Histograms of the pauses of programs by class and tool.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::micros;

const BUCKET_COUNT: usize = 48;
const BUCKETS_PER_DOUBLING: u32 = 2;
const MIN_BUCKET_MICROS: u64 = 1_000;
/// Number of samples at which all counts are halved, so that old pauses lose weight.
const DECAY_SAMPLE_COUNT: u32 = 4_096;
const DEFAULT_PAUSE: Duration = Duration::from_secs(5);
const MIN_SAMPLES: u32 = 8;

#[derive(Clone, Debug)]
struct Histogram {
    counts: [u32; BUCKET_COUNT],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT], total: 0 }
    }
}

impl Histogram {
    fn record(&mut self, pause: Duration) {
        self.counts[bucket_of(pause)] += 1;
        self.total += 1;
        if self.total < DECAY_SAMPLE_COUNT {
            return;
        }
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }

    fn quantile(&self, percent: u32) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = self.total * percent / 100;
        let mut cumulative = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative > rank {
                return Some(upper_bound(bucket));
            }
        }
        Some(upper_bound(BUCKET_COUNT - 1))
    }
}

/// Histograms of the time between an answer and the next call, per class and per class and tool.
#[derive(Debug, Default)]
pub struct PauseHistograms {
    histograms: HashMap<(Arc<str>, Option<Arc<str>>), Histogram>,
}

impl PauseHistograms {
    /// Records a completed pause.
    pub fn record(&mut self, class: &Arc<str>, tool: Option<&Arc<str>>, pause: Duration) {
        self.histograms.entry((class.clone(), None)).or_default().record(pause);
        if let Some(tool) = tool {
            self.histograms.entry((class.clone(), Some(tool.clone()))).or_default().record(pause);
        }
    }

    /// The duration that `percent` of the pauses did not exceed, for the tool if enough are known, otherwise
    /// for the class.
    #[must_use]
    pub fn quantile(&self, class: &Arc<str>, tool: Option<&Arc<str>>, percent: u32) -> Duration {
        let quantile = |tool: Option<Arc<str>>| {
            let histogram = self.histograms.get(&(class.clone(), tool));
            histogram.and_then(|histogram| histogram.quantile(percent))
        };
        let for_tool = tool.and_then(|tool| quantile(Some(tool.clone())));
        for_tool.or_else(|| quantile(None)).unwrap_or(DEFAULT_PAUSE)
    }
}

fn bucket_of(pause: Duration) -> usize {
    let ratio = (micros(pause) / MIN_BUCKET_MICROS).max(1);
    let doublings = ratio.ilog2();
    let half = u32::from(ratio >= (3u64 << doublings) / 2);
    usize::try_from(doublings * BUCKETS_PER_DOUBLING + half).unwrap_or(BUCKET_COUNT).min(BUCKET_COUNT - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    let bucket = u32::try_from(bucket).unwrap_or_default();
    let base = MIN_BUCKET_MICROS << (bucket / BUCKETS_PER_DOUBLING);
    let half = u64::from(bucket % BUCKETS_PER_DOUBLING);
    Duration::from_micros(base * (3 + half) / 2)
}
