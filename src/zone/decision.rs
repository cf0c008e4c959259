//! Compares the calls to the zones of one fleet: a zone counts as failing only in comparison with the median of the others.
//!
//! A fault that all zones have in common therefore makes none of them count as failing. This module has arithmetic only: it
//! has no state and no clock, and other modules decide the status of a zone.

/// Fewest calls to a zone before it is compared, as the result of fewer calls is due to chance.
const MIN_CALLS: u32 = 8;
/// Fewest successful calls to a zone before its call time is compared.
const MIN_TIMED_CALLS: u32 = 8;
/// Difference to the median zone's failure rate from which a zone may be failing.
const EXCESS_FAILURE_RATE: f64 = 0.1;
/// The same difference where the median zone's failure rate is [`EXCESS_FAILURE_RATE`] or more: under a common fault the
/// rates of the zones differ widely.
const EXCESS_OVER_COMMON_FAULT: f64 = 0.5;
/// Failures must exceed the expected ones by this many times the square root of the expected ones plus one, as a few calls
/// fail by chance.
const CHANCE_DEVIATIONS: f64 = 4.0;
/// Mean time of successful calls, in multiples of the median zone's, from which a zone is failing.
const SLOW_FACTOR: f64 = 3.0;
/// Failure rate at which a zone counts as failing in the check whether the observer itself is at fault.
const OBSERVER_FAULT_RATE: f64 = 0.5;

/// Totals of the calls to one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CallTotals {
    pub calls: u32,
    pub failed: u32,
    /// Summed time of the successful calls, µs.
    pub success_us: u64,
}

impl CallTotals {
    /// Returns the number of calls that succeeded.
    pub fn succeeded(&self) -> u32 {
        self.calls.saturating_sub(self.failed)
    }

    /// Returns the share of failed calls, 0 to 1; 0 without any call.
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.calls.max(1))
    }

    /// Returns the mean time of the successful calls, µs; `None` without any.
    pub fn mean_success_us(&self) -> Option<f64> {
        (self.succeeded() > 0 && self.success_us > 0)
            .then(|| self.success_us as f64 / f64::from(self.succeeded()))
    }

    /// Returns the sum of both totals.
    pub fn plus(&self, other: &CallTotals) -> CallTotals {
        CallTotals {
            calls: self.calls.saturating_add(other.calls),
            failed: self.failed.saturating_add(other.failed),
            success_us: self.success_us.saturating_add(other.success_us),
        }
    }

    /// Returns these totals less the others.
    pub fn minus(&self, other: &CallTotals) -> CallTotals {
        CallTotals {
            calls: self.calls.saturating_sub(other.calls),
            failed: self.failed.saturating_sub(other.failed),
            success_us: self.success_us.saturating_sub(other.success_us),
        }
    }
}

/// Returns whether most zones other than a node's own fail in its calls. Its link or something that all zones share is then
/// at fault, and its calls are no evidence against a single zone.
pub(super) fn sees_most_zones_fail(by_zone: &[CallTotals], own_zone: Option<usize>) -> bool {
    let others =
        by_zone.iter().enumerate().filter(|(zone, totals)| Some(*zone) != own_zone && totals.calls > 0);
    let (seen, failing) = others.fold((0, 0), |(seen, failing), (_, totals)| {
        (seen + 1, failing + u32::from(totals.failure_rate() >= OBSERVER_FAULT_RATE))
    });
    failing > 1 && failing * 2 > seen
}

/// Returns the median; of an even count the lesser of the two middle values, which is still that of a working zone where
/// half of the zones fail.
pub(super) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}

/// One value for each of some zones, in ascending order, for the median of all zones but one.
struct RankedValues(Vec<(f64, usize)>);

impl RankedValues {
    /// Sorts pairs of a value and its zone's index.
    fn new(values: impl Iterator<Item = (f64, usize)>) -> RankedValues {
        let mut ranked: Vec<(f64, usize)> = values.collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        RankedValues(ranked)
    }

    /// Returns the median of the other zones' values, by the rule of [`median`]; `None` without any.
    fn median_without(&self, zone: usize) -> Option<f64> {
        let rank = self.0.iter().position(|value| value.1 == zone);
        let others = self.0.len() - usize::from(rank.is_some());
        let middle = others.checked_sub(1)? / 2;
        Some(self.0[middle + usize::from(rank.is_some_and(|rank| rank <= middle))].0)
    }
}

/// The number of calls that a comparison requires.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SampleSize {
    /// One call is enough, for a single node's vote among many.
    Any,
    /// So many calls that chance is excluded.
    Significant,
}

/// The result of comparing a zone with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ZoneHealth {
    Healthy,
    Failing,
}

/// Compares each zone with the median of the others. Returns the results in the order of the zones, `None` where the zone or
/// the others have too few calls.
pub(super) fn compare_zones(by_zone: &[CallTotals], sample: SampleSize) -> Vec<Option<ZoneHealth>> {
    let (min_calls, min_timed_calls, deviations) = match sample {
        SampleSize::Any => (1, 1, 0.0),
        SampleSize::Significant => (MIN_CALLS, MIN_TIMED_CALLS, CHANCE_DEVIATIONS),
    };
    let known = || by_zone.iter().enumerate().filter(|(_, totals)| totals.calls >= min_calls);
    let failure_rates = RankedValues::new(known().map(|(zone, totals)| (totals.failure_rate(), zone)));
    let timed = known().filter(|(_, totals)| totals.succeeded() >= min_timed_calls);
    let mean_times =
        RankedValues::new(timed.filter_map(|(zone, totals)| Some((totals.mean_success_us()?, zone))));
    let compare = |(zone, totals): (usize, &CallTotals)| {
        let others_rate = failure_rates.median_without(zone).filter(|_| totals.calls >= min_calls)?;
        let expected_failures = others_rate * f64::from(totals.calls);
        let excess =
            if others_rate >= EXCESS_FAILURE_RATE { EXCESS_OVER_COMMON_FAULT } else { EXCESS_FAILURE_RATE };
        let fails_more = totals.failure_rate() >= others_rate + excess
            && f64::from(totals.failed) >= expected_failures + deviations * (expected_failures + 1.0).sqrt();
        let is_slow = totals.succeeded() >= min_timed_calls
            && mean_times
                .median_without(zone)
                .zip(totals.mean_success_us())
                .is_some_and(|(others, own)| own >= others * SLOW_FACTOR);
        Some(if fails_more || is_slow { ZoneHealth::Failing } else { ZoneHealth::Healthy })
    };
    by_zone.iter().enumerate().map(compare).collect()
}

#[cfg(test)]
mod tests;
