//! The next state of one zone: from in use to suspect to out, and back through probes and a growing weight.
//!
//! The functions depend only on the zone's status and the observations of it. An operator's order takes precedence over
//! observations.

use super::EvaluatorSettings;
use crate::interface::Micros;
use crate::zone::{FULL_WEIGHT, ZoneOrder, ZoneState, ZoneStatus};

/// Time for which a zone must be failing before it is taken out.
const CONFIRM_AFTER: Micros = Micros::from_millis(400);
/// Time without a failing report after which a suspect zone counts as healthy again.
const CLEAR_AFTER: Micros = Micros::from_millis(1_000);
/// Time for which a zone must be in use before its consecutive failures are reset to 0.
const FORGET_FAILURES_AFTER: Micros = Micros::from_millis(60_000);
/// Largest part by which a time out is shortened, by zone and failure, so that two zones do not return at the same time.
const OUT_JITTER: f64 = 0.25;
/// Successful probes before a return starts.
const MIN_PROBES: u32 = 3;
/// Failed probes before a zone is taken out again, so that one node with a faulty link does not decide.
const MIN_FAILED_PROBES: u32 = 2;
/// Failure rate at which probes have failed, whatever the nodes' votes.
const PROBE_FAILURE_RATE: f64 = 0.5;
/// Failure rate at which a return has failed, if the nodes' votes agree.
const RETURN_FAILURE_RATE: f64 = 0.3;
/// Failure rate at which a return's weight is halved.
const STRAIN_FAILURE_RATE: f64 = 0.1;
/// Fewest calls from which the weight of a return is decided.
const MIN_RETURN_CALLS: u32 = 8;
/// First weight of a return, in thousandths.
const FIRST_WEIGHT: u16 = 50;
/// Largest growth of a weight per step, as a factor.
const GROWTH_FACTOR: f64 = 1.5;
/// Growth per step, in thousandths, for weights so small that it exceeds the growth by [`GROWTH_FACTOR`].
const MIN_GROWTH: f64 = 20.0;
/// A weight is reduced once it exceeds what the observed speed supports by this factor.
const WEIGHT_TOLERANCE: f64 = 1.25;
/// Relative speed from which a zone counts as fully fast, as the speeds of healthy zones differ by as much. Below it, also
/// the part of the speed that the weight may reach, as observations lag behind.
const FULL_SPEED: f64 = 0.9;

/// The observations of one zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneObservation {
    /// Time since the zone's status last changed.
    pub in_status_for: Micros,
    /// Start of the present period of failing; `None` where the zone is not failing now.
    pub failing_since: Option<Micros>,
    /// When the zone was last failing.
    pub last_failing: Option<Micros>,
    pub calls: u32,
    pub failed: u32,
    pub failure_rate: f64,
    /// At least as many nodes outside the zone vote that it fails as vote that it is healthy.
    pub majority_sees_failing: bool,
    /// Speed relative to the other zones, 1 for as fast; 0 where unknown.
    pub speed: f64,
    /// The limit on zones that are out allows this one to be taken out.
    pub may_be_taken_out: bool,
}

impl ZoneObservation {
    /// Returns whether a return has failed: by the votes of most nodes and [`RETURN_FAILURE_RATE`], or whatever the votes by
    /// [`PROBE_FAILURE_RATE`].
    fn has_return_failed(&self) -> bool {
        self.failure_rate >= RETURN_FAILURE_RATE
            && (self.majority_sees_failing || self.failure_rate >= PROBE_FAILURE_RATE)
    }

    fn have_probes_failed(&self) -> bool {
        self.failed >= MIN_FAILED_PROBES && self.failure_rate >= PROBE_FAILURE_RATE
    }

    fn successful_calls(&self) -> u32 {
        self.calls - self.failed.min(self.calls)
    }
}

/// Returns the zone's next status, by an operator's order or else by the observations.
pub(super) fn next_status(
    now: Micros,
    settings: &EvaluatorSettings,
    status: &ZoneStatus,
    seen: &ZoneObservation,
) -> ZoneStatus {
    let mut next = status.clone();
    match next.order {
        Some(ZoneOrder::Leave) => next.set(ZoneState::Out, 0),
        Some(ZoneOrder::Hold) => {}
        Some(ZoneOrder::Return) | None => advance_state(now, settings, &mut next, seen),
    }
    next
}

fn advance_state(now: Micros, settings: &EvaluatorSettings, status: &mut ZoneStatus, seen: &ZoneObservation) {
    match status.state {
        ZoneState::In if seen.failing_since.is_some() => status.set(ZoneState::Suspect, FULL_WEIGHT),
        ZoneState::In if status.consecutive_failures > 0 && seen.in_status_for >= FORGET_FAILURES_AFTER => {
            status.consecutive_failures = 0;
        }
        ZoneState::In => {}
        ZoneState::Suspect => advance_suspect(now, status, seen),
        ZoneState::Out if seen.in_status_for >= out_duration(settings, status) => {
            if settings.returns_at_full_weight {
                status.set(ZoneState::In, FULL_WEIGHT);
            } else {
                status.set(ZoneState::Probing, 0);
            }
        }
        ZoneState::Out => {}
        ZoneState::Probing if seen.have_probes_failed() => take_out(status),
        ZoneState::Probing
            if seen.successful_calls() >= MIN_PROBES && seen.in_status_for >= settings.return_step =>
        {
            status.set(ZoneState::Returning, FIRST_WEIGHT);
        }
        ZoneState::Probing => {}
        ZoneState::Returning => advance_return(settings, status, seen),
    }
}

fn advance_suspect(now: Micros, status: &mut ZoneStatus, seen: &ZoneObservation) {
    if seen.failing_since.is_some_and(|since| since + CONFIRM_AFTER <= now) && seen.may_be_taken_out {
        take_out(status);
    } else if seen.last_failing.is_none_or(|last| last + CLEAR_AFTER <= now) {
        status.set(ZoneState::In, FULL_WEIGHT);
    }
}

fn advance_return(settings: &EvaluatorSettings, status: &mut ZoneStatus, seen: &ZoneObservation) {
    let has_enough_calls = seen.calls >= MIN_RETURN_CALLS;
    if seen.in_status_for < settings.return_step {
        if has_enough_calls && seen.has_return_failed() {
            take_out(status);
        }
    } else if !has_enough_calls {
        // There are too few calls to judge the zone by, so a little more weight does little harm.
        status.weight = grow_weight(status.weight, FULL_WEIGHT / 4);
    } else if seen.has_return_failed() {
        take_out(status);
    } else if seen.failure_rate >= STRAIN_FAILURE_RATE {
        status.weight = (status.weight / 2).max(FIRST_WEIGHT / 2);
    } else {
        follow_speed(status, seen.speed);
    }
}

/// Moves a return's weight towards what the observed speed supports.
fn follow_speed(status: &mut ZoneStatus, speed: f64) {
    let supported =
        if speed >= FULL_SPEED { FULL_WEIGHT } else { (speed * FULL_SPEED * f64::from(FULL_WEIGHT)) as u16 };
    if supported >= status.weight {
        status.weight = grow_weight(status.weight, supported);
    } else if f64::from(supported) * WEIGHT_TOLERANCE < f64::from(status.weight) {
        status.weight = supported.max(status.weight / 2).max(FIRST_WEIGHT / 2);
    }
    if status.weight >= FULL_WEIGHT {
        status.set(ZoneState::In, FULL_WEIGHT);
    }
}

/// Returns the next weight of a return, up to a limit.
fn grow_weight(weight: u16, limit: u16) -> u16 {
    let grown = (f64::from(weight) * GROWTH_FACTOR).max(f64::from(weight) + MIN_GROWTH);
    (grown as u16).min(limit).max(weight.min(limit))
}

fn take_out(status: &mut ZoneStatus) {
    status.set(ZoneState::Out, 0);
    status.consecutive_failures = status.consecutive_failures.saturating_add(1);
}

/// Returns how long a zone stays out: the first time out, doubled with each further consecutive failure up to the limit,
/// less a jitter by zone and failure.
fn out_duration(settings: &EvaluatorSettings, status: &ZoneStatus) -> Micros {
    let failures = status.consecutive_failures;
    let doubled = settings.first_out_duration.0.saturating_mul(1 << u32::from(failures.clamp(1, 16) - 1));
    let longest = doubled.min(settings.max_out_duration.0);
    let jitter_hash = crc32fast::hash(format!("{}/{failures}", status.zone).as_bytes());
    Micros((longest as f64 * (1.0 - OUT_JITTER * f64::from(jitter_hash) / f64::from(u32::MAX))) as u64)
}
