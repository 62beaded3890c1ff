//! How much service programs of a class still need, learned from those that ended.

const BUCKETS: usize = 64;
const PER_DOUBLING: u32 = 4;
const SMALLEST: u64 = 10_000;
const FORGET_AFTER: u64 = 8_192;
const ENOUGH: u64 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    count: u64,
    sum: u64,
}

/// Whole service of ended programs, in microseconds of engine time, by size.
#[derive(Clone, Debug)]
pub struct Residual {
    buckets: [Bucket; BUCKETS],
    total: u64,
}

impl Default for Residual {
    fn default() -> Self {
        Self { buckets: [Bucket::default(); BUCKETS], total: 0 }
    }
}

impl Residual {
    /// Takes in the whole service of a program that ended.
    pub fn learn(&mut self, service: u64) {
        let bucket = &mut self.buckets[index(service)];
        bucket.count += 1;
        bucket.sum += service;
        self.total += 1;
        if self.total < FORGET_AFTER {
            return;
        }
        for bucket in &mut self.buckets {
            let half = bucket.count / 2;
            bucket.sum = bucket.sum.checked_div(bucket.count).unwrap_or_default() * half;
            bucket.count = half;
        }
        self.total = self.buckets.iter().map(|bucket| bucket.count).sum();
    }

    /// The mean service, if enough programs are known.
    #[must_use]
    pub fn mean(&self) -> Option<u64> {
        let sum: u64 = self.buckets.iter().map(|bucket| bucket.sum).sum();
        (self.total >= ENOUGH).then(|| sum / self.total)
    }

    /// The mean of what is left for programs that have attained so much and did not end; what was
    /// attained itself where too few are known, as the order by attained service would have it.
    #[must_use]
    pub fn expected(&self, attained: u64) -> u64 {
        let from = index(attained);
        let longer = &self.buckets[from..];
        let count: u64 = longer.iter().map(|bucket| bucket.count).sum();
        if count < ENOUGH {
            return attained;
        }
        let sum: u64 = longer.iter().map(|bucket| bucket.sum).sum();
        (sum / count).saturating_sub(attained).max(SMALLEST)
    }
}

fn index(service: u64) -> usize {
    let ratio = (service / SMALLEST).max(1);
    let doublings = ratio.ilog2();
    let within = (u128::from(ratio) * u128::from(PER_DOUBLING)) >> doublings;
    let quarter = u32::try_from(within).unwrap_or(PER_DOUBLING) - PER_DOUBLING;
    usize::try_from(doublings * PER_DOUBLING + quarter).unwrap_or(BUCKETS).min(BUCKETS - 1)
}
