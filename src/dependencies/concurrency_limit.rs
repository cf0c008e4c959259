//! A limit on concurrent calls that adapts to latency: additive increase, multiplicative decrease.
//!
//! The rule is that of Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in
//! Computer Networks" (1989): of the linear rules, only this one converges to a fair and efficient share. A call that
//! was slow against the lowest latency seen, or was rejected, is the sign of congestion.

use crate::interface::Micros;

/// Factor on the limit after a sign of congestion.
const DECREASE: f64 = 0.85;
/// Age at which the lowest latency is measured anew, so that a permanently slower tier gets a new baseline. The limit is
/// halved meanwhile: a baseline measured under the limit's own load would let the limit grow without end.
const BASELINE_MAX_AGE: Micros = Micros::from_millis(10_000);
/// Duration of a measurement in multiples of the old lowest latency.
const MEASUREMENT_LATENCIES: u64 = 4;

/// The settings of a concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimitSettings {
    /// The limit at the start.
    pub initial: f64,
    /// The lowest limit, 1 or more; equal bounds fix the limit.
    pub minimum: f64,
    /// The highest limit, `minimum` or more.
    pub maximum: f64,
    /// A call this many times slower than the lowest latency is a sign of congestion; above 1.
    pub tolerance: f64,
}

/// The lowest latency seen, µs, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Baseline {
    latency_us: u64,
    measured_at: Micros,
}

/// A limit on the calls in flight at one tier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    settings: ConcurrencyLimitSettings,
    limit: f64,
    baseline: Option<Baseline>,
    measurement: Option<BaselineMeasurement>,
    /// The limit decreases at most once per round trip: calls that were in flight at a decrease carry no new information.
    decreased_at: Micros,
}

/// The baseline is being measured anew.
#[derive(Clone, Copy, Debug, PartialEq)]
struct BaselineMeasurement {
    since: Micros,
    until: Micros,
    /// The limit to return to.
    saved_limit: f64,
    lowest_us: Option<u64>,
}

/// What a call's outcome says about congestion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CongestionSignal {
    /// It ended after this latency.
    Latency(Micros),
    /// It was rejected or timed out.
    Congested,
}

impl ConcurrencyLimit {
    /// A limit at its initial value.
    pub fn new(settings: ConcurrencyLimitSettings) -> ConcurrencyLimit {
        let limit = settings.initial.clamp(settings.minimum, settings.maximum);
        ConcurrencyLimit { settings, limit, baseline: None, measurement: None, decreased_at: Micros(0) }
    }

    /// The number of calls that may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Whether one more call may start while these are in flight.
    pub fn allows(&self, in_flight: u32) -> bool {
        in_flight < self.limit()
    }

    /// Takes the outcome of a call that started at `started_at`; `in_flight` counts it too.
    pub fn record_call(&mut self, now: Micros, started_at: Micros, in_flight: u32, signal: CongestionSignal) {
        if self.settings.minimum >= self.settings.maximum {
            return;
        }
        let is_congested = match signal {
            CongestionSignal::Congested => true,
            CongestionSignal::Latency(latency) if self.measurement.is_some() => {
                return self.measure_baseline(now, started_at, latency);
            }
            CongestionSignal::Latency(latency) => match self.compare_with_baseline(now, latency) {
                Some(is_congested) => is_congested,
                None => return,
            },
        };
        if is_congested {
            self.decrease(now, started_at);
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            // The limit grows only while at least half of it is in use: success below that does not show that more calls fit.
            self.limit = (self.limit + 1.0 / self.limit).min(self.settings.maximum);
        }
    }

    /// Counts a latency in the measurement under way, which ends with the first one after its time.
    fn measure_baseline(&mut self, now: Micros, started_at: Micros, latency: Micros) {
        let Some(measurement) = &mut self.measurement else { return };
        if started_at >= measurement.since {
            let lowest = measurement.lowest_us.map_or(latency.0, |lowest| lowest.min(latency.0));
            measurement.lowest_us = Some(lowest.max(1));
        }
        if let Some(latency_us) = measurement.lowest_us.filter(|_| now >= measurement.until) {
            self.limit = measurement.saved_limit;
            self.baseline = Some(Baseline { latency_us, measured_at: now });
            self.measurement = None;
        }
    }

    /// Whether a latency is a sign of congestion; `None` if the baseline was too old and its measurement begins.
    fn compare_with_baseline(&mut self, now: Micros, latency: Micros) -> Option<bool> {
        let latency_us = latency.0.max(1);
        let Some(baseline) = self.baseline.filter(|baseline| latency_us >= baseline.latency_us) else {
            self.baseline = Some(Baseline { latency_us, measured_at: now });
            return Some(false);
        };
        if now - baseline.measured_at >= BASELINE_MAX_AGE {
            let until = now + Micros(baseline.latency_us * MEASUREMENT_LATENCIES);
            self.measurement =
                Some(BaselineMeasurement { since: now, until, saved_limit: self.limit, lowest_us: None });
            self.limit = (self.limit / 2.0).max(self.settings.minimum);
            return None;
        }
        Some(latency_us as f64 > baseline.latency_us as f64 * self.settings.tolerance)
    }

    /// Decreases the limit, and the one that a measurement returns to.
    fn decrease(&mut self, now: Micros, started_at: Micros) {
        if started_at < self.decreased_at {
            return;
        }
        self.limit = (self.limit * DECREASE).max(self.settings.minimum);
        if let Some(measurement) = &mut self.measurement {
            measurement.saved_limit = (measurement.saved_limit * DECREASE).max(self.settings.minimum);
        }
        self.decreased_at = now;
    }
}
