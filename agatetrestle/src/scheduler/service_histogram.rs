//! Estimates the remaining service of programs from the total service of ended ones.

const BUCKET_COUNT: usize = 64;
const BUCKETS_PER_DOUBLING: u32 = 4;
const MIN_SERVICE_MICROS: u64 = 10_000;
/// Number of samples at which all counts are halved, so that old programs lose weight.
const DECAY_SAMPLE_COUNT: u64 = 8_192;
const MIN_SAMPLES: u64 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    count: u64,
    sum: u64,
}

/// Histogram of the total service of ended programs, in microseconds of engine time.
#[derive(Clone, Debug)]
pub struct ServiceHistogram {
    buckets: [Bucket; BUCKET_COUNT],
    sample_count: u64,
}

impl Default for ServiceHistogram {
    fn default() -> Self {
        Self { buckets: [Bucket::default(); BUCKET_COUNT], sample_count: 0 }
    }
}

impl ServiceHistogram {
    /// Records the total service of an ended program.
    pub fn record(&mut self, service: u64) {
        let bucket = &mut self.buckets[bucket_of(service)];
        bucket.count += 1;
        bucket.sum += service;
        self.sample_count += 1;
        if self.sample_count < DECAY_SAMPLE_COUNT {
            return;
        }
        for bucket in &mut self.buckets {
            let halved = bucket.count / 2;
            bucket.sum = bucket.sum.checked_div(bucket.count).unwrap_or_default() * halved;
            bucket.count = halved;
        }
        self.sample_count = self.buckets.iter().map(|bucket| bucket.count).sum();
    }

    /// Mean total service, or none with fewer than `MIN_SAMPLES` samples.
    #[must_use]
    pub fn mean(&self) -> Option<u64> {
        let sum: u64 = self.buckets.iter().map(|bucket| bucket.sum).sum();
        (self.sample_count >= MIN_SAMPLES).then(|| sum / self.sample_count)
    }

    /// Mean remaining service of the programs whose total was at least `attained`. With too few samples it is
    /// `attained` itself, which amounts to ranking by attained service.
    #[must_use]
    pub fn expected_remaining(&self, attained: u64) -> u64 {
        let longer = &self.buckets[bucket_of(attained)..];
        let count: u64 = longer.iter().map(|bucket| bucket.count).sum();
        if count < MIN_SAMPLES {
            return attained;
        }
        let sum: u64 = longer.iter().map(|bucket| bucket.sum).sum();
        (sum / count).saturating_sub(attained).max(MIN_SERVICE_MICROS)
    }
}

fn bucket_of(service: u64) -> usize {
    let ratio = (service / MIN_SERVICE_MICROS).max(1);
    let doublings = ratio.ilog2();
    let scaled = (u128::from(ratio) * u128::from(BUCKETS_PER_DOUBLING)) >> doublings;
    let offset = u32::try_from(scaled).unwrap_or(BUCKETS_PER_DOUBLING) - BUCKETS_PER_DOUBLING;
    usize::try_from(doublings * BUCKETS_PER_DOUBLING + offset).unwrap_or(BUCKET_COUNT).min(BUCKET_COUNT - 1)
}
