//! Quantiles of latency over a sliding window.

use hdrhistogram::Histogram;

use crate::interface::Micros;

/// Buckets of the window; the oldest is dropped as a whole.
const BUCKETS: usize = 6;
/// Largest latency that is recorded, ms; with two significant digits a bucket takes a few KB.
const MAX_LATENCY_MS: u64 = 120_000;

/// Latencies within the window.
#[derive(Debug)]
pub struct LatencyWindow {
    buckets: Vec<Histogram<u32>>,
    bucket_duration: Micros,
    current: usize,
    current_since: Micros,
}

impl LatencyWindow {
    /// An empty window of this duration, 1 ms or more.
    ///
    /// # Panics
    /// Never: the bounds are constants that fit.
    pub fn new(now: Micros, duration: Micros) -> LatencyWindow {
        let empty_bucket = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2)
                .unwrap_or_else(|_| unreachable!("the histogram bounds are valid constants"))
        };
        let bucket_duration = Micros(duration.0.max(1_000) / BUCKETS as u64);
        LatencyWindow {
            buckets: (0..BUCKETS).map(|_| empty_bucket()).collect(),
            bucket_duration,
            current: 0,
            current_since: now,
        }
    }

    fn rotate(&mut self, now: Micros) {
        for _ in 0..BUCKETS {
            if now - self.current_since < self.bucket_duration {
                return;
            }
            self.current = (self.current + 1) % BUCKETS;
            self.buckets[self.current].reset();
            self.current_since = self.current_since + self.bucket_duration;
        }
        // Nothing was recorded for longer than the window.
        self.current_since = now;
    }

    /// Records one latency.
    pub fn record(&mut self, now: Micros, latency: Micros) {
        self.rotate(now);
        self.buckets[self.current].saturating_record((latency.0 / 1_000).max(1));
    }

    /// Number of latencies in the window.
    pub fn sample_count(&mut self, now: Micros) -> u64 {
        self.rotate(now);
        self.buckets.iter().map(Histogram::len).sum()
    }

    /// A quantile, 0 to 1, of the latencies; `None` if there are none.
    pub fn quantile(&mut self, now: Micros, quantile: f64) -> Option<Micros> {
        self.rotate(now);
        let mut merged = self.buckets[0].clone();
        for bucket in &self.buckets[1..] {
            merged.add(bucket).ok()?;
        }
        (!merged.is_empty()).then(|| Micros::from_millis(merged.value_at_quantile(quantile)))
    }
}
