//! Counts over the nodes' recent reports on the zones.
//!
//! Each node's latest report counts until it is [`REPORT_VALIDITY`] old. The counts always equal the sum over the reports
//! in force, so a report costs a few additions however large the fleet is.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::Micros;
use crate::zone::ZoneStatus;
use crate::zone::decision::{
    CallTotals, SampleSize, ZoneHealth, compare_zones, median, sees_most_zones_fail,
};

/// Share of the nodes with a vote on a zone that must vote that it fails.
const FAILING_VOTE_SHARE: f64 = 0.6;
/// The same share where all nodes of the zone itself have stopped reporting.
const FAILING_VOTE_SHARE_IF_SILENT: f64 = 0.5;
/// Fewest nodes that must vote that a zone fails, so that one node with a faulty link decides nothing.
const MIN_FAILING_VOTES: u32 = 2;
/// Time for which a report counts; a node sends four in that time.
const REPORT_VALIDITY: Micros = Micros::from_millis(1_100);
/// Time for which a zone counts as silent after all its nodes have stopped reporting.
const SILENCE_MEMORY: Micros = Micros::from_millis(30_000);
/// Most nodes whose reports are kept: several times the largest fleet.
const MAX_NODES: usize = 16_384;

/// Numbers of nodes that vote that one zone fails, and that it is healthy.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Votes {
    pub failing: u32,
    pub healthy: u32,
}

impl Votes {
    /// Returns whether at least `share` of the votes, and at least one vote, are that the zone fails.
    fn agree_on_failing(self, share: f64) -> bool {
        self.failing > 0 && f64::from(self.failing) >= share * f64::from(self.failing + self.healthy) - 1e-9
    }
}

/// One node's latest report.
#[derive(Clone, Debug, Default)]
struct NodeReport {
    own_zone: Option<usize>,
    received_at: Micros,
    /// Bit set of the zones that fail in the node's calls, however few these are.
    failing_zones: u32,
    /// Bit set of the zones that are healthy in the node's calls.
    healthy_zones: u32,
    by_zone: Vec<CallTotals>,
    /// Most zones fail in the node's calls, so these are left out of the fleet's totals.
    sees_most_fail: bool,
}

/// Counts over the reports in force. Zones are given by their index in the settings.
#[derive(Clone, Debug)]
pub(super) struct HealthObservations {
    zone_count: usize,
    nodes: BTreeMap<String, NodeReport>,
    /// Nodes by the time of their latest report.
    by_age: BTreeSet<(Micros, String)>,
    /// By zone: receipt time of the last report by one of its nodes that has since expired.
    silent_since: Vec<Option<Micros>>,
    /// By zone: number of its nodes whose reports are in force.
    reporting_nodes: Vec<u32>,
    /// Votes by the observers' zone, then by the observed zone; observers without a zone have the last row.
    votes: Vec<Vec<Votes>>,
    /// Calls by the observers' zone, then by the observed zone, with the same last row.
    observed: Vec<Vec<CallTotals>>,
    /// Calls by zone of all observers except those in whose calls most zones fail.
    totals: Vec<CallTotals>,
}

impl HealthObservations {
    /// Returns observations of `zone_count` zones without any report yet.
    pub(super) fn new(zone_count: usize) -> HealthObservations {
        HealthObservations {
            zone_count,
            nodes: BTreeMap::new(),
            by_age: BTreeSet::new(),
            silent_since: vec![None; zone_count],
            reporting_nodes: vec![0; zone_count],
            votes: vec![vec![Votes::default(); zone_count]; zone_count + 1],
            observed: vec![vec![CallTotals::default(); zone_count]; zone_count + 1],
            totals: vec![CallTotals::default(); zone_count],
        }
    }

    /// Records a node's report in place of its former one. Beyond [`MAX_NODES`] a new node's report is dropped.
    pub(super) fn record(
        &mut self,
        now: Micros,
        node: &str,
        own_zone: Option<usize>,
        by_zone: Vec<CallTotals>,
    ) {
        self.expire_reports(now);
        if self.nodes.len() >= MAX_NODES && !self.nodes.contains_key(node) {
            return;
        }
        self.remove_node(node);
        let (mut failing_zones, mut healthy_zones) = (0, 0);
        for (zone, health) in compare_zones(&by_zone, SampleSize::Any).into_iter().enumerate() {
            match health {
                Some(ZoneHealth::Failing) => failing_zones |= 1 << zone,
                Some(ZoneHealth::Healthy) => healthy_zones |= 1 << zone,
                None => {}
            }
        }
        let sees_most_fail = sees_most_zones_fail(&by_zone, own_zone);
        let report =
            NodeReport { own_zone, received_at: now, failing_zones, healthy_zones, by_zone, sees_most_fail };
        self.add_to_counts(&report);
        self.by_age.insert((now, node.to_owned()));
        self.nodes.insert(node.to_owned(), report);
    }

    /// Removes the reports that are older than [`REPORT_VALIDITY`].
    pub(super) fn expire_reports(&mut self, now: Micros) {
        while let Some((received_at, node)) =
            self.by_age.first().filter(|oldest| oldest.0 + REPORT_VALIDITY < now).cloned()
        {
            if let Some(zone) = self.nodes.get(&node).and_then(|report| report.own_zone) {
                self.silent_since[zone] = Some(received_at);
            }
            self.remove_node(&node);
        }
    }

    /// Returns the calls to a zone of all observers except those in whose calls most zones fail.
    pub(super) fn totals(&self, zone: usize) -> CallTotals {
        self.totals[zone]
    }

    /// Returns the votes on a zone of all nodes outside it.
    pub(super) fn outside_votes(&self, zone: usize) -> Votes {
        self.outside_votes_without(zone, &[])
    }

    /// Returns the failing zones, the isolated ones first, then by the share of votes that they fail.
    ///
    /// Once a zone is found to fail, its nodes' reports are left out: their calls to other zones may fail by the zone's own
    /// fault.
    pub(super) fn find_failing(&self, now: Micros) -> Vec<usize> {
        let mut failing: Vec<usize> = (0..self.zone_count).filter(|zone| self.is_isolated(*zone)).collect();
        let mut excluded = vec![false; self.zone_count];
        failing.iter().for_each(|zone| excluded[*zone] = true);
        while let Some(zone) = self.find_worst(now, &failing, &excluded) {
            excluded[zone] = true;
            failing.push(zone);
        }
        failing
    }

    /// Returns the speed of a zone: the median of the mean call times of the other zones in use, divided by its own mean
    /// call time. `None` where either is unknown. With the median, a zone that is about to be taken out does not distort the
    /// result.
    pub(super) fn relative_speed(&self, zone: usize, statuses: &[ZoneStatus]) -> Option<f64> {
        let others = (0..statuses.len()).filter(|&other| other != zone && statuses[other].is_in_use());
        let others = others.filter_map(|other| self.totals[other].mean_success_us()).collect();
        Some(median(others)? / self.totals[zone].mean_success_us()?)
    }

    /// Returns the failing zone with the largest share of votes that it fails, the first of equals. The zones in `failing`
    /// are skipped, and the nodes of the zones in `excluded` are not counted.
    fn find_worst(&self, now: Micros, failing: &[usize], excluded: &[bool]) -> Option<usize> {
        let mut worst: Option<(f64, usize)> = None;
        for zone in (0..self.zone_count).filter(|zone| !failing.contains(zone)) {
            let votes = self.outside_votes_without(zone, excluded);
            let share_needed =
                if self.is_silent(now, zone) { FAILING_VOTE_SHARE_IF_SILENT } else { FAILING_VOTE_SHARE };
            let is_counted = |observer: usize| observer != zone && !is_excluded(excluded, observer);
            let is_failing = || {
                compare_zones(&self.pool_calls(is_counted), SampleSize::Significant)[zone]
                    == Some(ZoneHealth::Failing)
            };
            if votes.failing >= MIN_FAILING_VOTES && votes.agree_on_failing(share_needed) && is_failing() {
                let share = f64::from(votes.failing) / f64::from(votes.failing + votes.healthy);
                if worst.is_none_or(|worst| share > worst.0) {
                    worst = Some((share, zone));
                }
            }
        }
        worst.map(|(_, zone)| zone)
    }

    /// Returns whether most other zones fail in the calls of a zone's nodes and are healthy in those of the other nodes.
    fn is_isolated(&self, zone: usize) -> bool {
        let others = || (0..self.zone_count).filter(|other| *other != zone);
        // A faulty link of a single node does not make its zone isolated.
        let nodes_agree = |other: &usize| self.votes[zone][*other].agree_on_failing(FAILING_VOTE_SHARE);
        if others().filter(nodes_agree).count() < 2 {
            return false;
        }
        let seen_here = compare_zones(&self.pool_calls(|observer| observer == zone), SampleSize::Significant);
        let seen_elsewhere =
            compare_zones(&self.pool_calls(|observer| observer != zone), SampleSize::Significant);
        let known = others().filter(|other| seen_here[*other].is_some()).count();
        let fails_here_alone = |other: &usize| {
            seen_here[*other] == Some(ZoneHealth::Failing)
                && seen_elsewhere[*other] == Some(ZoneHealth::Healthy)
        };
        let failing = others().filter(fails_here_alone).filter(nodes_agree).count();
        failing > 1 && failing * 2 > known
    }

    /// Returns whether a zone has no reporting node now and had one within [`SILENCE_MEMORY`].
    fn is_silent(&self, now: Micros, zone: usize) -> bool {
        self.reporting_nodes[zone] == 0 && self.silent_since[zone].is_some_and(|at| now < at + SILENCE_MEMORY)
    }

    /// Returns the votes on a zone of the nodes that are neither in it nor in an excluded zone.
    fn outside_votes_without(&self, zone: usize, excluded: &[bool]) -> Votes {
        (0..=self.zone_count)
            .filter(|&observer| observer != zone && !is_excluded(excluded, observer))
            .map(|observer| self.votes[observer][zone])
            .fold(Votes::default(), |sum, votes| Votes {
                failing: sum.failing + votes.failing,
                healthy: sum.healthy + votes.healthy,
            })
    }

    /// Returns the summed calls by zone of the observers in the zones for which `is_counted` is true.
    fn pool_calls(&self, is_counted: impl Fn(usize) -> bool) -> Vec<CallTotals> {
        let mut pooled = vec![CallTotals::default(); self.zone_count];
        for (_, observed) in self.observed.iter().enumerate().filter(|(observer, _)| is_counted(*observer)) {
            pooled.iter_mut().zip(observed).for_each(|(sum, totals)| *sum = sum.plus(totals));
        }
        pooled
    }

    fn remove_node(&mut self, node: &str) {
        if let Some(report) = self.nodes.remove(node) {
            self.by_age.remove(&(report.received_at, node.to_owned()));
            self.update_counts(&report, u32::saturating_sub, CallTotals::minus);
        }
    }

    fn add_to_counts(&mut self, report: &NodeReport) {
        self.update_counts(report, u32::saturating_add, CallTotals::plus);
    }

    /// Applies one report to all counts; `count` and `combine` both add, or both subtract.
    fn update_counts(
        &mut self,
        report: &NodeReport,
        count: fn(u32, u32) -> u32,
        combine: fn(&CallTotals, &CallTotals) -> CallTotals,
    ) {
        let row = report.own_zone.unwrap_or(self.zone_count);
        if let Some(zone) = report.own_zone {
            self.reporting_nodes[zone] = count(self.reporting_nodes[zone], 1);
        }
        for (zone, calls) in report.by_zone.iter().enumerate() {
            let votes = &mut self.votes[row][zone];
            votes.failing = count(votes.failing, report.failing_zones >> zone & 1);
            votes.healthy = count(votes.healthy, report.healthy_zones >> zone & 1);
            self.observed[row][zone] = combine(&self.observed[row][zone], calls);
            if !report.sees_most_fail {
                self.totals[zone] = combine(&self.totals[zone], calls);
            }
        }
    }
}

/// Returns whether an observer's zone is excluded; observers without a zone never are.
fn is_excluded(excluded: &[bool], observer: usize) -> bool {
    excluded.get(observer).copied().unwrap_or(false)
}
