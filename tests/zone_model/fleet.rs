//! The simulated fleet: nodes in zones, the health of the services, and the evaluator of the leading replica.

use holdlift::Micros;
use holdlift::zone::health_evaluator::{EvaluatorSettings, TransitionReason, ZoneHealthEvaluator};
use holdlift::zone::health_report::ZoneHealthReport;
use holdlift::zone::{FULL_WEIGHT, ZoneState, ZoneStatusMap};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One millisecond in microseconds, the unit of all times here.
const MS: u64 = 1_000;
/// One step of the model: a part of the nodes report, and the leader evaluates.
const STEP_US: u64 = 100 * MS;
/// Steps between two reports of a node.
const REPORT_STEPS: usize = 5;
/// Speed of a cold service, as a share of its full speed.
const COLD_SPEED: f64 = 0.21;
/// Time that a cold service takes to reach its full speed.
const WARM_UP_US: u64 = 17_000 * MS;
/// Time that a zone stays out after its first failure.
const FIRST_OUT_US: u64 = 2_000 * MS;

/// State of the services of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ServiceHealth {
    Healthy,
    Failed,
    /// The services are slower by this factor.
    Slow(f64),
    /// This share of the calls fails.
    FailsShare(f64),
    /// Failed and healthy in turn, for this many microseconds each.
    Flaps(u64),
    /// Healthy inside the zone, with no connection to other zones in either direction.
    CutOff,
}

struct Zone {
    health: ServiceHealth,
    /// Time of the latest cold start.
    cold_since: Option<u64>,
    /// Time at which the fleet last left the zone.
    out_at: Option<u64>,
    /// Time of the latest change of `health`.
    health_since: u64,
}

/// Counts of what happened in one run, or in several runs together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub zone_exits: u64,
    pub zone_returns: u64,
    /// Changes of the leading replica.
    pub takeovers: u64,
    /// Changes that a former leader proposed on an epoch that was no longer current.
    pub stale_changes: u64,
    pub faults: u64,
}

pub struct Fleet {
    rng: ChaCha8Rng,
    now_us: u64,
    settings: EvaluatorSettings,
    nodes: usize,
    zones: Vec<Zone>,
    /// Mean calls of a node in a window, over all zones.
    calls_per_window: f64,
    /// Share of failed calls, and factor of the call time, that all zones have in common.
    common_fault: (f64, f64),
    evaluator: ZoneHealthEvaluator,
    /// A replica that lost the lead without learning of it, with the zone statuses of that time.
    former_leader: Option<(ZoneHealthEvaluator, ZoneStatusMap)>,
    /// The zone statuses that the replicas have agreed on.
    agreed: ZoneStatusMap,
    /// Nodes with a bad link: about 90 % of their calls to other zones fail.
    bad_link_nodes: Vec<usize>,
    /// Single zones fail; otherwise faults hit all zones alike, or the link of one node.
    zones_fail: bool,
    tally: Tally,
    /// Reasons of the latest change.
    last_reasons: Vec<TransitionReason>,
}

impl Fleet {
    /// A fleet of `min_nodes` to `max_nodes` nodes in 3 to 20 zones.
    pub fn new(seed: u64, min_nodes: usize, max_nodes: usize) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = if min_nodes == max_nodes { min_nodes } else { rng.random_range(min_nodes..=max_nodes) };
        let n = rng.random_range(3..=20usize.min(nodes / 2).max(3));
        let settings = EvaluatorSettings {
            zones: (0..n).map(|z| format!("z{z}")).collect(),
            max_out_share: [0.34, 0.4, 0.5][rng.random_range(0..3usize)],
            first_out_duration: Micros(FIRST_OUT_US),
            max_out_duration: Micros(20_000 * MS),
            return_step: Micros(1_000 * MS),
            returns_at_full_weight: false,
        };
        let zone =
            || Zone { health: ServiceHealth::Healthy, cold_since: None, out_at: None, health_since: 0 };
        Fleet {
            now_us: 1_000 * MS,
            evaluator: ZoneHealthEvaluator::new(settings.clone()),
            settings,
            nodes,
            zones: (0..n).map(|_| zone()).collect(),
            calls_per_window: rng.random_range(20.0..60.0) * n as f64,
            common_fault: (0.0, 1.0),
            former_leader: None,
            agreed: ZoneStatusMap::default(),
            bad_link_nodes: Vec::new(),
            zones_fail: true,
            rng,
            tally: Tally::default(),
            last_reasons: Vec::new(),
        }
    }

    /// Leaves only faults that hit all zones alike, or the link of one node.
    pub fn without_zone_faults(mut self) -> Fleet {
        self.zones_fail = false;
        self
    }

    pub fn run(mut self) -> Tally {
        let faults_end = 25_000 * MS;
        // After the last fault there is time for the longest time out and for the return of a cold zone after it.
        let run_end = faults_end + 24_000 * MS + 2 * WARM_UP_US;
        let mut next_fault = 2_000 * MS;
        while self.now_us < run_end {
            if self.now_us >= next_fault && self.now_us < faults_end {
                self.inject_fault();
                next_fault = self.now_us + self.rng.random_range(500..4_000) * MS;
            } else if self.now_us >= faults_end && self.zones_fail {
                self.end_faults();
            }
            self.step();
            self.now_us += STEP_US;
        }
        for z in 0..self.zones.len() {
            let status = self.agreed.get(&self.settings.zones[z]);
            assert!(
                status.is_none_or(|s| s.state == ZoneState::In),
                "a healthy zone is not in at the end: {status:?}"
            );
        }
        self.tally
    }

    fn inject_fault(&mut self) {
        self.tally.faults += 1;
        let z = self.rng.random_range(0..self.zones.len());
        match self.rng.random_range(0..10) {
            _ if !self.zones_fail => {
                let common_faults = [(0.0, 1.0), (0.3, 1.0), (0.05, 8.0), (0.7, 2.0)];
                self.common_fault = common_faults[self.rng.random_range(0..4usize)];
                self.bad_link_nodes = vec![self.rng.random_range(0..self.nodes)];
            }
            0 | 1 => self.set_health(z, ServiceHealth::Failed),
            2 => self.set_health(z, ServiceHealth::Slow(4.6)),
            3 => self.set_health(z, ServiceHealth::FailsShare(0.2)),
            4 => self.set_health(z, ServiceHealth::Flaps(2_000 * MS)),
            5 => self.set_health(z, ServiceHealth::CutOff),
            6 | 7 => {
                // The zone returns cold.
                self.set_health(z, ServiceHealth::Healthy);
                self.zones[z].cold_since = Some(self.now_us);
            }
            8 => {
                let former_evaluator =
                    std::mem::replace(&mut self.evaluator, ZoneHealthEvaluator::new(self.settings.clone()));
                self.former_leader = Some((former_evaluator, self.agreed.clone()));
                self.tally.takeovers += 1;
            }
            _ => self.bad_link_nodes = vec![self.rng.random_range(0..self.nodes)],
        }
    }

    fn set_health(&mut self, z: usize, health: ServiceHealth) {
        if self.zones[z].health != health {
            self.zones[z].health = health;
            self.zones[z].health_since = self.now_us;
        }
    }

    fn end_faults(&mut self) {
        (0..self.zones.len()).for_each(|z| self.set_health(z, ServiceHealth::Healthy));
        self.bad_link_nodes.clear();
    }

    /// Speed of the services of a zone, as a share of their full speed.
    fn speed(&self, z: usize) -> f64 {
        let warm = self.zones[z].cold_since.map_or(1.0, |at| {
            (COLD_SPEED + (1.0 - COLD_SPEED) * (self.now_us - at) as f64 / WARM_UP_US as f64).min(1.0)
        });
        let slowdown = if let ServiceHealth::Slow(factor) = self.zones[z].health { factor } else { 1.0 };
        warm / slowdown
    }

    /// What a node of zone `own` reports of zone `z` for its latest window.
    fn report_on(&mut self, node: usize, own: usize, z: usize) -> ZoneHealthReport {
        let status = self.agreed.get(&self.settings.zones[z]);
        let weight = status.map_or(1.0, |s| match s.state {
            ZoneState::Probing => 0.02,
            _ => f64::from(s.weight) / f64::from(FULL_WEIGHT),
        });
        let mean = self.calls_per_window / self.zones.len() as f64 * weight;
        // Scatters about as the Poisson and binomial distributions do.
        let mut scatter = |mean: f64| {
            let x: f64 = (0..4).map(|_| self.rng.random::<f64>() - 0.5).sum::<f64>() * 1.73;
            (mean + x * mean.sqrt()).round().max(0.0) as u32
        };
        let calls = scatter(mean);
        let zone_failed_share = match self.zones[z].health {
            ServiceHealth::Failed => 1.0,
            ServiceHealth::FailsShare(share) => share,
            ServiceHealth::Flaps(span) if (self.now_us / span).is_multiple_of(2) => 1.0,
            ServiceHealth::CutOff if own != z => 1.0,
            _ if own != z && self.zones[own].health == ServiceHealth::CutOff => 1.0,
            _ => 0.0,
        };
        let link_failed_share = if self.bad_link_nodes.contains(&node) && own != z { 0.9 } else { 0.0 };
        let failed_share = self.common_fault.0.max(zone_failed_share).max(link_failed_share);
        let failed = scatter(f64::from(calls) * failed_share).min(calls);
        let jitter = 0.9 + 0.2 * self.rng.random::<f64>();
        let mean_us =
            if failed < calls { 20_000.0 * self.common_fault.1 * jitter / self.speed(z) } else { 0.0 };
        ZoneHealthReport { zone: self.settings.zones[z].clone(), calls, failed, mean_us: mean_us as u32 }
    }

    fn step(&mut self) {
        let (now, n) = (Micros(self.now_us), self.zones.len());
        let report_turn = (self.now_us / STEP_US) as usize % REPORT_STEPS;
        for node in (report_turn..self.nodes).step_by(REPORT_STEPS) {
            let own = node % n;
            let reports: Vec<ZoneHealthReport> = (0..n).map(|z| self.report_on(node, own, z)).collect();
            // The reports of a zone that is cut off do not reach the replicas.
            if self.zones[own].health == ServiceHealth::CutOff {
                continue;
            }
            let name = format!("n{node}");
            self.evaluator.record_report(now, &name, &self.settings.zones[own], &reports);
            if let Some((former, _)) = &mut self.former_leader {
                former.record_report(now, &name, &self.settings.zones[own], &reports);
            }
        }
        // A former leader proposes its changes on statuses that are no longer current.
        if let Some((former, agreed)) = &mut self.former_leader
            && let Some((change, _)) = former.evaluate(now, agreed)
            && change.base_epoch != self.agreed.epoch
        {
            self.tally.stale_changes += 1;
            assert!(!self.agreed.apply(&change), "a change on an older epoch must not apply");
        }
        let before = self.agreed.clone();
        if let Some((change, reasons)) = self.evaluator.evaluate(now, &self.agreed) {
            assert!(self.agreed.apply(&change));
            self.last_reasons = reasons;
        }
        self.check_transitions(&before);
    }

    /// Asserts that the latest step kept the rules for leaving and returning.
    fn check_transitions(&mut self, before: &ZoneStatusMap) {
        assert!(self.agreed.epoch >= before.epoch);
        let out = self.agreed.statuses.iter().filter(|s| !s.is_in_use()).count();
        let max_out = (self.settings.max_out_share * self.zones.len() as f64 + 1e-9) as usize;
        assert!(out <= max_out, "{out} zones are out at {} µs, {max_out} may be", self.now_us);
        for z in 0..self.zones.len() {
            let name = &self.settings.zones[z];
            let (Some(status), previous) = (self.agreed.get(name), before.get(name)) else { continue };
            let was_out = previous.is_some_and(|s| s.state == ZoneState::Out);
            if status.state == ZoneState::Out && !was_out {
                self.tally.zone_exits += 1;
                let cause = self.zones[z].health != ServiceHealth::Healthy
                    || self.now_us < self.zones[z].health_since + 4_000 * MS
                    || self.speed(z) < 0.5;
                assert!(
                    cause && self.zones_fail,
                    "{status:?} without cause at {} µs: reasons {:?}, fault of all zones {:?}",
                    self.now_us,
                    self.last_reasons,
                    self.common_fault
                );
                if let Some(at) = self.zones[z].out_at {
                    let min_span = FIRST_OUT_US * 3 / 4;
                    assert!(
                        self.now_us - at >= min_span,
                        "zone {name} is out again after {} µs",
                        self.now_us - at
                    );
                }
                self.zones[z].out_at = Some(self.now_us);
            }
            if status.state == ZoneState::In && previous.is_some_and(|s| s.state == ZoneState::Returning) {
                self.tally.zone_returns += 1;
            }
            // During a return the weight exceeds the proven capacity of the services by one step at most.
            if status.state == ZoneState::Returning && self.zones[z].health == ServiceHealth::Healthy {
                let max_weight = self.speed(z).max(0.2) * 1.6 * f64::from(FULL_WEIGHT);
                let lagging = self.now_us < self.zones[z].health_since + 3_000 * MS
                    || self.zones[z].cold_since.is_some_and(|at| self.now_us < at + 4_000 * MS);
                assert!(
                    lagging || f64::from(status.weight) <= max_weight,
                    "{status:?} at speed {}",
                    self.speed(z)
                );
            }
        }
    }
}
