//! The start limit N: at most N requests start in each control period.
//!
//! N is updated from the measured core occupancy and the number of starts, by a published algorithm for
//! overload control. Names such as `max.occup` are the names of its parameters. Some values differ from the
//! published ones; the reason is given with each.

use crate::interface::Micros;

/// Call Control Period, s. Kept short so that a used up N is soon renewed; a shorter period would lose too
/// much to rounding N down.
const CONTROL_PERIOD_S: f64 = 1.0;
/// Control periods in one update interval (OPPUI). The busy gauge covers half a second, so an interval needs
/// a few samples of it.
const PERIODS_PER_INTERVAL: u32 = 2;
/// Entries of the start program in a control period. Each entry may start an equal part of N
/// (max.calls.per.entry).
const ENTRIES_PER_PERIOD: f64 = 10.0;
/// max.occup, busy fraction. Above the 0.95 of the algorithm because the bound on concurrent runs absorbs
/// peaks.
const MAX_OCCUPANCY: f64 = 0.97;
/// occ.too.high, busy fraction. Its distance above max.occup is that of the published values.
const EXCESSIVE_OCCUPANCY: f64 = 0.99;
/// addl.decrement, fraction. Half the published value because update intervals are shorter here.
const ADDITIONAL_DECREMENT: f64 = 0.05;
/// max.increase, fraction (the published default).
const MAX_INCREASE: f64 = 0.1;
/// max.decrease, requests: an absolute step (the published value).
const MAX_DECREASE: f64 = 1.0;
/// min.occup, busy fraction. Above the published 0.75 because reading alone can use that much, and N must not
/// delay starts then.
const MIN_OCCUPANCY: f64 = 0.92;
/// min.fraction.calls, fraction of N (the published value).
const MIN_FRACTION_STARTED: f64 = 0.75;
/// Least difference of occupancy and overhead by which the update divides; a smaller one makes the ratio
/// unreliable.
const MIN_SPREAD: f64 = 0.05;

/// Measurements of one update interval.
#[derive(Clone, Copy, Debug)]
pub struct IntervalMeasurements {
    /// Mean busy fraction of the cores, 0 to 1.
    pub occupancy: f64,
    /// Busy fraction at light load, 0 to 1.
    pub overhead: f64,
    /// Mean starts per control period.
    pub starts: f64,
    /// The limit during the interval; `None` before the first update.
    pub limit: Option<u32>,
    /// Whether the limit delayed a start.
    pub was_limited: bool,
}

/// The limit for the next interval by section 2 of the algorithm: at least 1, or `None` for no limit.
pub fn next_start_limit(interval: IntervalMeasurements) -> Option<u32> {
    let IntervalMeasurements { occupancy, overhead, starts, .. } = interval;
    let round_down = |limit: f64| Some((limit + 1e-9).floor().clamp(1.0, 1e9) as u32);
    let spread = occupancy - overhead;
    let preliminary = (MAX_OCCUPANCY - overhead).max(0.0) / spread * starts;
    let Some(previous) = interval.limit else {
        // There is no limit until an interval is busy enough to determine the ratio.
        let is_inconclusive = spread < MIN_SPREAD || starts <= 0.0 || occupancy < MIN_OCCUPANCY;
        return if is_inconclusive { None } else { round_down(preliminary) };
    };
    let previous = f64::from(previous);
    if occupancy < MIN_OCCUPANCY && starts < MIN_FRACTION_STARTED * previous {
        return interval.limit;
    }
    // N rises by the fraction at most, or by one request where the fraction is less than one request.
    let is_step_small = MAX_INCREASE * previous < 1.0;
    let highest = if is_step_small { previous + 1.0 } else { previous * (1.0 + MAX_INCREASE) };
    if spread < MIN_SPREAD {
        return round_down(highest);
    }
    let lowest = previous - MAX_DECREASE;
    if occupancy >= EXCESSIVE_OCCUPANCY {
        return round_down(preliminary.max(lowest) * (1.0 - ADDITIONAL_DECREMENT));
    }
    if !interval.was_limited {
        return round_down(preliminary.max(starts));
    }
    round_down(preliminary.clamp(lowest, highest))
}

/// Applies the start limit N to the current control period and updates it after each interval.
#[derive(Default)]
pub(super) struct CapacityController {
    pub limit: Option<u32>,
    pub period_start: Micros,
    starts_in_period: u32,
    periods: u32,
    starts_in_interval: u32,
    was_limited: bool,
    /// The latest busy fraction of the cores, 0 to 1.
    pub busy: f64,
    busy_sum: f64,
    busy_samples: u32,
    overhead: f64,
}

impl CapacityController {
    pub(super) fn new(limit: Option<u32>) -> CapacityController {
        CapacityController { limit, ..CapacityController::default() }
    }

    /// Ends the control period, and the update interval, if they are over.
    pub(super) fn advance(&mut self, now: Micros) {
        if (now - self.period_start).as_secs_f64() < CONTROL_PERIOD_S {
            return;
        }
        self.period_start = now;
        self.starts_in_period = 0;
        self.periods += 1;
        if self.periods >= PERIODS_PER_INTERVAL && self.busy_samples > 0 {
            self.limit = next_start_limit(IntervalMeasurements {
                occupancy: self.busy_sum / f64::from(self.busy_samples),
                overhead: self.overhead,
                starts: f64::from(self.starts_in_interval) / f64::from(self.periods),
                limit: self.limit,
                was_limited: self.was_limited,
            });
            (self.periods, self.starts_in_interval, self.was_limited) = (0, 0, false);
            (self.busy_sum, self.busy_samples) = (0.0, 0);
        }
    }

    /// Whether one more request may start in the current entry. The limit applies only above min.occup.
    pub(super) fn allows_start(&mut self, now: Micros) -> bool {
        let Some(limit) = self.limit else { return true };
        let elapsed = (now - self.period_start).as_secs_f64();
        let entry = (elapsed / CONTROL_PERIOD_S * ENTRIES_PER_PERIOD).floor() + 1.0;
        let allowed = (f64::from(limit) * (entry / ENTRIES_PER_PERIOD).min(1.0)).ceil();
        let is_delayed = f64::from(self.starts_in_period) >= allowed && self.busy >= MIN_OCCUPANCY;
        self.was_limited |= is_delayed;
        !is_delayed
    }

    pub(super) fn count_start(&mut self) {
        self.starts_in_period += 1;
        self.starts_in_interval += 1;
    }

    /// Records the busy fraction of the cores. The lowest one at light load is the overhead.
    pub(super) fn record_busy(&mut self, busy: f64, has_runs: bool) {
        self.busy = busy;
        self.busy_sum += busy;
        self.busy_samples += 1;
        // Light load: no request runs, and none has started for at least one control period, which is longer
        // than the window of the gauge.
        if !has_runs && self.starts_in_interval == 0 && self.periods > 0 {
            self.overhead = if self.overhead > 0.0 { self.overhead.min(busy) } else { busy };
        }
    }
}
