//! Decides for the whole fleet which zones fail, which are isolated, and how much of a returning zone is used.
//!
//! Reports arrive one node at a time and are kept as counts. The decisions are in the agreed [`ZoneStatusMap`]; this module
//! keeps only how long each status has been in force. A replica that becomes leader starts that time anew, so a zone is
//! taken out or returned later than otherwise, never sooner. Other modules agree on the statuses and send them.

mod observations;
mod transition;

use super::decision::CallTotals;
use super::health_report::ZoneHealthReport;
use super::{FULL_WEIGHT, MAX_ZONES, ZoneState, ZoneStatus, ZoneStatusMap, ZoneStatusUpdate};
use crate::interface::Micros;
use observations::HealthObservations;
use transition::{ZoneObservation, next_status};

/// The operators' settings of the evaluation.
#[derive(Clone, Debug, PartialEq)]
pub struct EvaluatorSettings {
    /// Names of the zones, at most [`MAX_ZONES`].
    pub zones: Vec<String>,
    /// Largest share of the zones that may be out at a time, 0 to under 1.
    pub max_out_share: f64,
    /// Time for which a zone is out after its first failure.
    pub first_out_duration: Micros,
    /// Longest time for which a zone is out, after many consecutive failures.
    pub max_out_duration: Micros,
    /// Time between two steps of a return.
    pub return_step: Micros,
    /// For drills: a zone returns at full weight as soon as its time out has passed, without probes.
    pub returns_at_full_weight: bool,
}

/// The evidence for a change of a zone's state or weight, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct TransitionReason {
    /// Name of the zone.
    pub zone: String,
    /// State and weight before.
    pub from: (ZoneState, u16),
    /// State and weight after.
    pub to: (ZoneState, u16),
    /// Number of nodes outside the zone for which it fails, and number for which it is healthy.
    pub node_votes: (u32, u32),
    /// Number of recent calls to the zone, and number of them that failed.
    pub call_counts: (u32, u32),
    /// Speed relative to the other zones, 1 for as fast, 0 where unknown.
    pub speed: f64,
}

/// Times since a zone's last changes, by this process's clock.
#[derive(Clone, Debug, Default)]
struct ZoneTimers {
    /// The status in force, and the time since which it has been.
    status: Option<(ZoneStatus, Micros)>,
    /// Start of the present period in which the zone has been failing by the reports.
    failing_since: Option<Micros>,
    /// When the zone was last failing by the reports.
    last_failing: Option<Micros>,
}

/// Turns the nodes' reports into changes of the agreed zone statuses.
#[derive(Clone, Debug)]
pub struct ZoneHealthEvaluator {
    settings: EvaluatorSettings,
    observations: HealthObservations,
    timers: Vec<ZoneTimers>,
}

impl ZoneHealthEvaluator {
    /// Returns an evaluator without any report yet.
    #[must_use]
    pub fn new(settings: EvaluatorSettings) -> ZoneHealthEvaluator {
        let zone_count = settings.zones.len();
        ZoneHealthEvaluator {
            observations: HealthObservations::new(zone_count),
            timers: vec![ZoneTimers::default(); zone_count],
            settings,
        }
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> &EvaluatorSettings {
        &self.settings
    }

    fn zone_index(&self, zone: &str) -> Option<usize> {
        self.settings.zones.iter().position(|name| name == zone)
    }

    /// Records a node's report. Only the latest report of each node name counts, also after a restart of the node.
    pub fn record_report(&mut self, now: Micros, node: &str, zone: &str, report: &[ZoneHealthReport]) {
        let mut by_zone = vec![CallTotals::default(); self.settings.zones.len()];
        for seen in report.iter().take(MAX_ZONES) {
            if let Some(zone) = self.zone_index(&seen.zone) {
                let success_us = u64::from(seen.mean_us) * u64::from(seen.succeeded());
                let failed = seen.failed.min(seen.calls);
                by_zone[zone] = CallTotals { calls: seen.calls, failed, success_us };
            }
        }
        let own_zone = self.zone_index(zone);
        self.observations.record(now, node, own_zone, by_zone);
    }

    /// Returns the update that the replicas are to agree on now, with its reasons; `None` where no status changes.
    pub fn evaluate(
        &mut self,
        now: Micros,
        agreed: &ZoneStatusMap,
    ) -> Option<(ZoneStatusUpdate, Vec<TransitionReason>)> {
        self.observations.expire_reports(now);
        let zones = self.settings.zones.iter();
        let mut statuses: Vec<ZoneStatus> =
            zones.map(|zone| agreed.get(zone).cloned().unwrap_or_else(|| ZoneStatus::new(zone))).collect();
        let failing = self.observations.find_failing(now);
        self.update_timers(now, &statuses, &failing);
        self.advance_statuses(now, &mut statuses, &failing);
        if statuses == agreed.statuses {
            return None;
        }
        let reasons = self.explain_changes(agreed, &statuses);
        Some((ZoneStatusUpdate { base_epoch: agreed.epoch, statuses }, reasons))
    }

    fn update_timers(&mut self, now: Micros, statuses: &[ZoneStatus], failing: &[usize]) {
        for (zone, (timers, status)) in self.timers.iter_mut().zip(statuses).enumerate() {
            if timers.status.as_ref().is_none_or(|(in_force, _)| in_force != status) {
                timers.status = Some((status.clone(), now));
            }
            if failing.contains(&zone) {
                timers.failing_since.get_or_insert(now);
                timers.last_failing = Some(now);
            } else {
                timers.failing_since = None;
            }
        }
    }

    /// Moves each zone to its next status. The failing zones come first, in the given order, so that the limit on zones that
    /// are out applies to the least affected of them.
    fn advance_statuses(&self, now: Micros, statuses: &mut [ZoneStatus], failing: &[usize]) {
        let mut out = statuses.iter().filter(|status| !status.is_in_use()).count();
        let max_out = (self.settings.max_out_share * statuses.len() as f64 + 1e-9) as usize;
        let others = (0..statuses.len()).filter(|zone| !failing.contains(zone));
        for zone in failing.iter().copied().chain(others) {
            let may_be_taken_out = out < max_out && out + 1 < statuses.len();
            let seen = self.observe(now, zone, statuses, may_be_taken_out);
            let next = next_status(now, &self.settings, &statuses[zone], &seen);
            out += usize::from(statuses[zone].is_in_use() && !next.is_in_use());
            statuses[zone] = next;
        }
    }

    fn observe(
        &self,
        now: Micros,
        zone: usize,
        statuses: &[ZoneStatus],
        may_be_taken_out: bool,
    ) -> ZoneObservation {
        let timers = &self.timers[zone];
        let totals = self.observations.totals(zone);
        let votes = self.observations.outside_votes(zone);
        ZoneObservation {
            in_status_for: now - timers.status.as_ref().map_or(now, |(_, since)| *since),
            failing_since: timers.failing_since,
            last_failing: timers.last_failing,
            calls: totals.calls,
            failed: totals.failed,
            failure_rate: totals.failure_rate(),
            majority_sees_failing: votes.failing >= votes.healthy,
            speed: self.observations.relative_speed(zone, statuses).unwrap_or(0.0),
            may_be_taken_out,
        }
    }

    fn explain_changes(&self, agreed: &ZoneStatusMap, statuses: &[ZoneStatus]) -> Vec<TransitionReason> {
        let explain = |(zone, status): (usize, &ZoneStatus)| {
            let before = agreed.get(&status.zone);
            let from = before.map_or((ZoneState::In, FULL_WEIGHT), |before| (before.state, before.weight));
            let to = (status.state, status.weight);
            let votes = self.observations.outside_votes(zone);
            let totals = self.observations.totals(zone);
            let reason = TransitionReason {
                zone: status.zone.clone(),
                from,
                to,
                node_votes: (votes.failing, votes.healthy),
                call_counts: (totals.calls, totals.failed),
                speed: self.observations.relative_speed(zone, statuses).unwrap_or(0.0),
            };
            (from != to).then_some(reason)
        };
        statuses.iter().enumerate().filter_map(explain).collect()
    }
}

#[cfg(test)]
mod tests;
