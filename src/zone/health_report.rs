//! One node's recent calls to each zone: those that succeeded or failed, and those that are stuck.
//!
//! A zone that is cut off sends no response, so a call to it fails only once its own time limit has passed, which may be
//! longer than the fleet should wait. A call that has been pending for several times the usual call time is therefore stuck:
//! it counts as failed at once, and by its result once it has ended. Other modules decide the status of a zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interface::Micros;

/// Length of one interval of the window.
const INTERVAL: Micros = Micros::from_millis(100);
/// Number of intervals in the window; older calls no longer count.
const INTERVALS: usize = 15;
/// Shortest pending time after which a call may count as stuck.
const MIN_STUCK_AFTER: Micros = Micros::from_millis(300);
/// Multiple of the median zone's mean call time after which a pending call counts as stuck.
const STUCK_FACTOR: u64 = 6;

/// One node's counts of its calls to one zone in the window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneHealthReport {
    /// Name of the zone.
    pub zone: String,
    /// Calls that have ended or are stuck.
    pub calls: u32,
    /// Calls of these that failed, were rejected or are stuck.
    pub failed: u32,
    /// Returns the mean time of the successful calls, µs; 0 without any.
    pub mean_us: u32,
}

impl ZoneHealthReport {
    /// Returns the number of calls that succeeded.
    #[must_use]
    pub fn succeeded(&self) -> u32 {
        self.calls.saturating_sub(self.failed)
    }

    /// Returns the share of the calls that failed, 0 to 1; 0 without any call.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.calls.max(1))
    }
}

/// The result of a call, as evidence on the zone that it went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The call succeeded.
    Success,
    /// The call failed, was rejected or exceeded its time limit.
    Failure,
    /// The call was abandoned for a reason other than the zone, and does not count.
    Ignored,
}

#[derive(Clone, Copy, Debug, Default)]
struct IntervalCounts {
    succeeded: u32,
    failed: u32,
    /// Summed time of the successful calls, µs.
    success_us: u64,
}

impl IntervalCounts {
    fn plus(self, other: &IntervalCounts) -> IntervalCounts {
        IntervalCounts {
            succeeded: self.succeeded + other.succeeded,
            failed: self.failed + other.failed,
            success_us: self.success_us + other.success_us,
        }
    }

    /// Returns the mean time of the successful calls, µs; 0 without any.
    fn mean_us(&self) -> u64 {
        if self.succeeded > 0 { self.success_us / u64::from(self.succeeded) } else { 0 }
    }
}

/// The calls to one zone.
#[derive(Clone, Debug, Default)]
struct ZoneCalls {
    /// Ended calls by interval, the latest first.
    intervals: [IntervalCounts; INTERVALS],
    /// Pending calls by their start time; their number is bounded by the node's own limits on calls.
    pending: BTreeMap<Micros, u32>,
}

impl ZoneCalls {
    fn ended_in_window(&self) -> IntervalCounts {
        self.intervals.iter().fold(IntervalCounts::default(), IntervalCounts::plus)
    }

    /// Returns the number of pending calls that started at `started_by` or before.
    fn pending_since(&self, started_by: Micros) -> u32 {
        self.pending.range(..=started_by).map(|(_, calls)| *calls).sum()
    }
}

/// Counts one node's calls by zone. Zones are given by index.
#[derive(Clone, Debug)]
pub struct ZoneHealthObserver {
    zones: Vec<ZoneCalls>,
    /// Start of the latest interval.
    interval_start: Micros,
}

impl ZoneHealthObserver {
    /// Returns an observer of `zone_count` zones without any call yet.
    #[must_use]
    pub fn new(now: Micros, zone_count: usize) -> ZoneHealthObserver {
        ZoneHealthObserver { zones: vec![ZoneCalls::default(); zone_count], interval_start: now }
    }

    /// Counts a call as pending from now on.
    pub fn record_call_start(&mut self, now: Micros, zone: usize) {
        if let Some(calls) = self.zones.get_mut(zone) {
            *calls.pending.entry(now).or_default() += 1;
        }
    }

    /// Counts a call that started at `started_at` as ended.
    pub fn record_call_end(&mut self, now: Micros, zone: usize, started_at: Micros, result: CallResult) {
        self.advance_window(now);
        let Some(calls) = self.zones.get_mut(zone) else { return };
        if let Some(pending) = calls.pending.get_mut(&started_at) {
            *pending -= 1;
            if *pending == 0 {
                calls.pending.remove(&started_at);
            }
        }
        let latest = &mut calls.intervals[0];
        match result {
            CallResult::Success => {
                latest.succeeded += 1;
                latest.success_us += (now - started_at).0;
            }
            CallResult::Failure => latest.failed += 1,
            CallResult::Ignored => {}
        }
    }

    fn advance_window(&mut self, now: Micros) {
        let passed = ((now - self.interval_start).0 / INTERVAL.0) as usize;
        if passed == 0 {
            return;
        }
        self.interval_start = Micros(self.interval_start.0 + passed as u64 * INTERVAL.0);
        let shift = passed.min(INTERVALS);
        for calls in &mut self.zones {
            calls.intervals.copy_within(0..INTERVALS - shift, shift);
            calls.intervals[..shift].fill(IntervalCounts::default());
        }
    }

    /// Returns the report on each zone, in the order of `names`.
    pub fn report(&mut self, now: Micros, names: &[String]) -> Vec<ZoneHealthReport> {
        self.advance_window(now);
        let ended: Vec<IntervalCounts> = self.zones.iter().map(ZoneCalls::ended_in_window).collect();
        let stuck_before = now - stuck_after(&ended);
        let report_zone = |(zone, name): (usize, &String)| {
            let ended = ended.get(zone).copied().unwrap_or_default();
            let stuck = self.zones.get(zone).map_or(0, |calls| calls.pending_since(stuck_before));
            ZoneHealthReport {
                zone: name.clone(),
                calls: ended.succeeded + ended.failed + stuck,
                failed: ended.failed + stuck,
                mean_us: u32::try_from(ended.mean_us()).unwrap_or(u32::MAX),
            }
        };
        names.iter().enumerate().map(report_zone).collect()
    }
}

/// Returns how long a call may be pending before it counts as stuck: [`STUCK_FACTOR`] times the median zone's mean call
/// time, at least [`MIN_STUCK_AFTER`].
fn stuck_after(ended: &[IntervalCounts]) -> Micros {
    let mut means_us: Vec<u64> =
        ended.iter().map(IntervalCounts::mean_us).filter(|mean_us| *mean_us > 0).collect();
    means_us.sort_unstable();
    let median_us = means_us.get(means_us.len().saturating_sub(1) / 2).copied().unwrap_or(0);
    Micros(MIN_STUCK_AFTER.0.max(median_us * STUCK_FACTOR))
}

#[cfg(test)]
mod tests;
