//! Model tests of the canary rollout: versions that nodes reject, crash on or hang on must not spread beyond the canaries.
//! The model runs in virtual time with lost messages, restarts and a leader whose decisions take time to be agreed.

use holdlift::Micros;
use holdlift::config_store::{
    CanaryFailure, CanaryPolicy, CanaryReport, CanaryRollout, Revision, RolloutDecision,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: u64 = 1_000;

/// How nodes behave with a version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum VersionEffect {
    /// All nodes work with it.
    Good,
    /// All nodes reject it.
    RejectedByAll,
    /// A node that adopts it dies within half a second.
    Crashes,
    /// Seven of eight nodes reject it.
    RejectedByMost,
    /// A node that adopts it hangs: its process runs but sends no reports.
    Hangs,
}

struct Node {
    name: String,
    incarnation: u64,
    in_force: Revision,
    rejected: Option<Revision>,
    /// The highest revision that the node adopted or tried to adopt.
    highest_tried: Revision,
    /// The time of the next adoption, in microseconds, and its revision.
    adopts_at: Option<(u64, Revision)>,
    /// The time at which the process dies, in microseconds.
    dies_at: Option<u64>,
    silent_until: u64,
    next_report_at: u64,
}

/// A fleet whose nodes report their version twice a second and adopt an allowed version 10 ms to 400 ms after they learn of it.
struct Fleet {
    rng: ChaCha8Rng,
    now: u64,
    rollout: CanaryRollout,
    nodes: Vec<Node>,
    versions: Vec<VersionEffect>,
    /// The probability that a message is lost.
    loss: f64,
    /// The decision that is being agreed by the replicas, and the time at which it takes effect.
    decision_in_progress: Option<(u64, RolloutDecision)>,
}

impl Fleet {
    fn new(seed: u64, n: usize) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..n).map(|i| Node {
            name: format!("n{i}"),
            incarnation: rng.random(),
            in_force: Revision(0),
            rejected: None,
            highest_tried: Revision(0),
            adopts_at: None,
            dies_at: None,
            silent_until: 0,
            next_report_at: rng.random_range(0..500 * MS),
        });
        let nodes = nodes.collect();
        let rollout = CanaryRollout::new(CanaryPolicy::default(), Revision(0));
        let mut fleet = Fleet {
            rng,
            now: 0,
            rollout,
            nodes,
            versions: vec![VersionEffect::Good],
            loss: [0.0, 0.1][seed as usize % 2],
            decision_in_progress: None,
        };
        fleet.run(1_000);
        fleet
    }

    fn add_agreed_version(&mut self, version: VersionEffect) {
        self.versions.push(version);
        self.rollout.add_version(Micros(self.now), Revision(self.versions.len() as u64 - 1));
    }

    /// Advances the model by this many milliseconds in steps of 10 ms.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10 * MS;
            let now = self.now;
            for i in 0..self.nodes.len() {
                self.step_node(i, now);
            }
            self.rollout.evaluate(Micros(now));
            self.decide(now);
        }
    }

    /// A decision of the rollout takes effect 10 ms to 150 ms later, once the replicas have agreed on it; an attempt to agree
    /// fails with probability 0.2.
    fn decide(&mut self, now: u64) {
        if let Some((_, decision)) = self.decision_in_progress.take_if(|(at, _)| *at <= now) {
            self.rollout.apply_decision(Micros(now), &decision);
            // The leader notifies all nodes at once.
            for i in 0..self.nodes.len() {
                if self.nodes[i].silent_until <= now && !self.rng.random_bool(self.loss) {
                    let allowed = self.rollout.approved();
                    self.receive_allowed_revision(i, now, allowed);
                }
            }
        }
        if self.decision_in_progress.is_none()
            && let Some(decision) = self.rollout.pending_decision().filter(|_| !self.rng.random_bool(0.2))
        {
            self.decision_in_progress =
                Some((now + self.rng.random_range(10 * MS..150 * MS), decision.clone()));
        }
    }

    fn step_node(&mut self, i: usize, now: u64) {
        let node = &mut self.nodes[i];
        if node.dies_at.is_some_and(|at| at <= now) {
            // A new process of the same name starts 200 ms to 5 s later and then learns the approved version.
            (node.dies_at, node.adopts_at) = (None, None);
            (node.incarnation, node.in_force) = (self.rng.random(), Revision(0));
            node.silent_until = now + self.rng.random_range(200 * MS..5_000 * MS);
        }
        if now < node.silent_until {
            return;
        }
        if let Some((_, version)) = node.adopts_at.take_if(|(at, _)| *at <= now) {
            node.highest_tried = node.highest_tried.max(version);
            match self.versions[version.0 as usize] {
                VersionEffect::RejectedByAll => node.rejected = Some(version),
                VersionEffect::RejectedByMost if !i.is_multiple_of(8) => node.rejected = Some(version),
                effect => {
                    node.rejected = None;
                    node.in_force = version;
                    if effect == VersionEffect::Crashes {
                        node.dies_at = Some(now + self.rng.random_range(0..500 * MS));
                    }
                    if effect == VersionEffect::Hangs {
                        node.silent_until = u64::MAX;
                    }
                }
            }
        }
        if now < node.next_report_at {
            return;
        }
        node.next_report_at = now + 500 * MS;
        if self.rng.random_bool(self.loss) {
            return;
        }
        let rejected = node.rejected.map(|r| (r, "no"));
        let Node { incarnation, in_force, .. } = *node;
        let report = CanaryReport { node: &node.name, incarnation, in_force, rejected };
        self.rollout.record_report(Micros(now), &report);
        let allowed = self.rollout.notify(&node.name, incarnation);
        self.receive_allowed_revision(i, now, allowed);
    }

    fn receive_allowed_revision(&mut self, i: usize, now: u64, allowed: Revision) {
        let node = &mut self.nodes[i];
        if allowed > node.in_force && node.rejected != Some(allowed) && node.adopts_at.is_none() {
            node.adopts_at = Some((now + self.rng.random_range(10 * MS..400 * MS), allowed));
        }
    }

    /// A node that is a canary of a version on trial.
    fn first_canary(&self) -> Option<usize> {
        let allowed = |n: &Node| self.rollout.allowed_revision(&n.name, n.incarnation);
        self.nodes.iter().position(|n| allowed(n) > self.rollout.approved())
    }

    fn nodes_with(&self, version: u64) -> usize {
        self.nodes.iter().filter(|n| n.in_force == Revision(version)).count()
    }

    /// The number of nodes whose highest version ever adopted or tried is this one.
    fn nodes_that_tried(&self, version: u64) -> usize {
        self.nodes.iter().filter(|n| n.highest_tried == Revision(version)).count()
    }
}

/// Numbers of nodes.
const FLEET_SIZES: [usize; 6] = [1, 2, 6, 30, 150, 900];

#[test]
fn a_good_version_reaches_all_nodes_in_bounded_time() {
    for (seed, n) in (0..24).zip(FLEET_SIZES.into_iter().cycle()) {
        let mut fleet = Fleet::new(seed, n);
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(300);
        let canaries = CanaryPolicy::default().max_canaries.min(n / 4).max(1);
        assert!(
            fleet.nodes_that_tried(1) <= canaries,
            "{n} nodes: at first only the canaries adopt the version"
        );
        fleet.run(5_000);
        assert_eq!((fleet.nodes_with(1), fleet.rollout.approved()), (n, Revision(1)), "{n} nodes");
        // With a change every 50 ms the rollout must skip versions rather than wait for each one.
        for _ in 0..100 {
            fleet.add_agreed_version(VersionEffect::Good);
            fleet.run(50);
        }
        assert!(fleet.rollout.approved() > Revision(20), "{n} nodes: {}", fleet.rollout.approved());
        fleet.run(6_000);
        assert_eq!(fleet.nodes_with(101), n, "{n} nodes");
    }
}

#[test]
fn a_version_that_fails_on_its_canaries_is_halted() {
    for bad in [VersionEffect::RejectedByAll, VersionEffect::Crashes, VersionEffect::Hangs] {
        for (seed, n) in (100..124).zip(FLEET_SIZES.into_iter().cycle()) {
            let mut fleet = Fleet::new(seed, n);
            fleet.add_agreed_version(VersionEffect::Good);
            fleet.run(5_000);
            fleet.add_agreed_version(bad);
            fleet.run(20_000);
            // Each canary that fails is replaced by another until the failure limit is reached.
            let canaries = CanaryPolicy::default().max_canaries.min(n / 4).max(1);
            assert!(
                fleet.nodes_that_tried(2) < canaries + failure_limit(n),
                "{bad:?}, {n} nodes: {} tried it",
                fleet.nodes_that_tried(2)
            );
            assert!(fleet.nodes_that_tried(2) > 0, "{bad:?}, {n} nodes");
            let halted = fleet.rollout.halted().unwrap_or_else(|| panic!("{bad:?}, {n} nodes: not halted"));
            assert_eq!((halted.revision, fleet.rollout.approved()), (Revision(2), Revision(1)));
            // Failures that occur while the decision is being agreed are part of it, and only canaries fail.
            let failures = halted.failures.values();
            assert!(
                (failure_limit(n)..=canaries).contains(&failures.len()),
                "{bad:?}, {n} nodes: {halted:?}"
            );
            match bad {
                VersionEffect::RejectedByAll => {
                    assert!(failures.clone().all(|h| *h == CanaryFailure::Rejected("no".to_owned())))
                }
                VersionEffect::Hangs => assert!(failures.clone().all(|h| *h == CanaryFailure::Unresponsive)),
                _ => assert!(
                    failures
                        .clone()
                        .all(|h| matches!(h, CanaryFailure::Unresponsive | CanaryFailure::Restarted))
                ),
            }
            // A later good version reaches all nodes in spite of the halted one.
            fleet.nodes.iter_mut().filter(|n| n.silent_until == u64::MAX).for_each(|n| n.silent_until = 0);
            fleet.add_agreed_version(VersionEffect::Good);
            fleet.run(12_000);
            assert_eq!((fleet.nodes_with(3), fleet.rollout.halted()), (n, None), "{bad:?}, {n} nodes");
        }
    }
}

/// The number of failed canaries that halts a version in a fleet of `n` nodes.
fn failure_limit(n: usize) -> usize {
    CanaryPolicy::default().failure_limit.min((n / 4).max(1))
}

/// Canaries that could adopt a halted version keep it and report it; these reports must not approve it when later versions
/// are agreed.
#[test]
fn a_halted_version_does_not_spread_with_later_versions() {
    for seed in 300..330 {
        let mut fleet = Fleet::new(seed, 150);
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(5_000);
        for (round, bad) in
            [VersionEffect::RejectedByMost, VersionEffect::RejectedByMost, VersionEffect::RejectedByAll]
                .into_iter()
                .enumerate()
        {
            fleet.add_agreed_version(bad);
            fleet.run(12_000);
            let most = CanaryPolicy::default().max_canaries + failure_limit(150);
            assert!(
                fleet.nodes_that_tried(2) < most,
                "seed {seed}, round {round}: {} tried version 2",
                fleet.nodes_that_tried(2)
            );
            assert_eq!(fleet.rollout.approved(), Revision(1), "seed {seed}, round {round}");
        }
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(12_000);
        assert_eq!(fleet.nodes_with(5), 150, "seed {seed}");
    }
}

/// One canary that dies_at for another reason does not halt a version. A halted version spreads once an operator releases exactly
/// that version.
#[test]
fn one_process_death_does_not_halt_a_version_and_an_operator_releases_a_halted_one() {
    for seed in 200..230 {
        let mut fleet = Fleet::new(seed, 150);
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(200);
        let canary = fleet.first_canary().expect("a canary has been selected");
        fleet.nodes[canary].dies_at = Some(fleet.now);
        fleet.run(8_000);
        assert_eq!(fleet.rollout.halted(), None);
        assert!(fleet.nodes_with(1) >= 149, "{}", fleet.nodes_with(1));
        fleet.add_agreed_version(VersionEffect::RejectedByAll);
        fleet.run(8_000);
        assert!(fleet.rollout.halted().is_some());
        fleet.rollout.apply_decision(Micros(fleet.now), &RolloutDecision::Approved(Revision(1)));
        assert!(fleet.rollout.halted().is_some(), "the approval names another version than the halted one");
        fleet.rollout.apply_decision(Micros(fleet.now), &RolloutDecision::Approved(Revision(2)));
        assert_eq!((fleet.rollout.approved(), fleet.rollout.halted()), (Revision(2), None));
    }
}

/// A canary that drains after its notice to leave, or is replaced by a successor of the same name, does not count as failed.
#[test]
fn a_drained_or_replaced_canary_does_not_count_as_a_failure() {
    for (seed, n) in (400..424).zip([1, 2, 6, 30].into_iter().cycle()) {
        let mut fleet = Fleet::new(seed, n);
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(5_000);
        fleet.add_agreed_version(VersionEffect::Good);
        for _ in 0..3 {
            fleet.run(300);
            let Some(canary) = fleet.first_canary() else { continue };
            // Both processes report for a while; then the former one gets its notice to leave and drains.
            let (name, former) = (fleet.nodes[canary].name.clone(), fleet.nodes[canary].incarnation);
            let successor = former + 1;
            fleet.nodes[canary].incarnation = successor;
            fleet.nodes[canary].in_force = fleet.rollout.approved();
            fleet.nodes[canary].adopts_at = None;
            for incarnation in [former, successor, former] {
                let in_force = fleet.rollout.approved();
                let report = CanaryReport { node: &name, incarnation, in_force, rejected: None };
                fleet.rollout.record_report(Micros(fleet.now), &report);
            }
            fleet.rollout.mark_draining(&name, former);
        }
        fleet.run(15_000);
        assert_eq!((fleet.rollout.halted(), fleet.nodes_with(2)), (None, n), "{n} nodes");
    }
}

/// A node that was not notified of a version cannot have failed because of it: one that fell silent before is skipped as a
/// canary.
#[test]
fn a_node_silent_before_its_notification_does_not_count_as_a_failure() {
    for (seed, n) in (500..524).zip([2, 6, 30].into_iter().cycle()) {
        let mut fleet = Fleet::new(seed, n);
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(5_000);
        // Half of the nodes fall silent at the time of the change and return a minute later.
        let until = fleet.now + 60_000 * MS;
        (0..n / 2).for_each(|i| fleet.nodes[i].silent_until = until);
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(20_000);
        assert_eq!((fleet.rollout.halted(), fleet.nodes_with(2)), (None, n - n / 2), "{n} nodes");
        fleet.run(45_000);
        assert_eq!(fleet.nodes_with(2), n, "{n} nodes");
    }
}

/// A new leader continues from the agreed decisions: it does not retry a halted version, and decisions on older versions change
/// nothing.
#[test]
fn a_new_leader_resumes_the_agreed_rollout_state() {
    for seed in 600..612 {
        let mut fleet = Fleet::new(seed, 30);
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(5_000);
        fleet.add_agreed_version(VersionEffect::RejectedByAll);
        fleet.run(10_000);
        let tried = fleet.nodes_that_tried(2);
        let halted = fleet.rollout.halted().cloned().expect("the rollout is halted");
        let mut new_leader = CanaryRollout::new(CanaryPolicy::default(), Revision(1));
        new_leader.apply_decision(Micros(fleet.now), &RolloutDecision::Halted(halted.clone()));
        new_leader.add_version(Micros(fleet.now), Revision(2));
        fleet.rollout = new_leader;
        fleet.run(20_000);
        assert_eq!(
            (fleet.nodes_that_tried(2), fleet.rollout.approved()),
            (tried, Revision(1)),
            "no other node has tried the halted version"
        );
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(10_000);
        assert_eq!((fleet.nodes_with(3), fleet.rollout.halted()), (30, None));
        fleet.rollout.apply_decision(Micros(fleet.now), &RolloutDecision::Approved(Revision(1)));
        fleet.rollout.apply_decision(Micros(fleet.now), &RolloutDecision::Halted(halted.clone()));
        assert_eq!((fleet.rollout.approved(), fleet.rollout.halted()), (Revision(3), None));
    }
}

/// An operator rolls back while a version is on trial: the version is never approved, although its canaries stay healthy.
#[test]
fn a_version_withdrawn_during_its_trial_is_never_approved() {
    for (seed, n) in (700..724).zip([2, 6, 30, 150].into_iter().cycle()) {
        let mut fleet = Fleet::new(seed, n);
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(6_000);
        fleet.add_agreed_version(VersionEffect::Good);
        fleet.run(700);
        assert_eq!(fleet.rollout.approved(), Revision(1), "{n} nodes: the version is still on trial");
        fleet.rollout.withdraw_up_to(Revision(2));
        fleet.add_agreed_version(VersionEffect::Good);
        for _ in 0..100 {
            fleet.run(100);
            assert_ne!(fleet.rollout.approved(), Revision(2), "{n} nodes");
        }
        assert_eq!((fleet.nodes_with(3), fleet.rollout.approved()), (n, Revision(3)), "{n} nodes");
    }
}
