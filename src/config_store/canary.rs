//! Canary rollout: a few nodes get a new version first, and the others get it once these have passed probation with it.
//!
//! It halts versions that can be applied but that nodes can't run with. Nodes that already have such a version keep it until
//! a later one arrives, as revisions never decrease.
//!
//! The leading replica owns the state. It only proposes a [`RolloutDecision`]; a decision takes effect once the replicas
//! have agreed on it, so that the next leader continues from there. There is no I/O and no clock: callers pass the time.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use super::history::History;
use super::identity::Revision;
use super::rollout_decision::{CanaryFailure, RolloutDecision, RolloutHalted};
use crate::interface::Micros;

/// Most versions of one canary in probation at a time. A version above this limit has no probation of its own; a later
/// version covers it.
const PROBATION_VERSIONS_MAX: usize = 64;
/// Most processes that are tracked. Further processes never become canaries.
const PROCESSES_MAX: usize = 16_384;
/// A process without a report for this many report timeouts is no longer tracked.
const FORGET_AFTER_TIMEOUTS: u64 = 10;

/// How a version is tested on canary nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CanaryPolicy {
    /// Most canary nodes at a time. There are never more than a quarter of the live nodes, and at least one.
    pub max_canaries: usize,
    /// A canary has passed once it has had the version in force for this long.
    pub probation: Micros,
    /// A canary without a report for this long has failed.
    pub report_timeout: Micros,
    /// Nodes fetch a version at a random time within this window. A canary that neither adopts nor rejects the version
    /// within the report timeout and this window is replaced by another node.
    pub fetch_window: Micros,
    /// This many failed canaries halt the version; fewer where there are fewer canaries.
    pub failure_limit: usize,
}

impl Default for CanaryPolicy {
    /// Fits nodes that report twice a second: the canaries pass about 2 s after a change.
    fn default() -> CanaryPolicy {
        CanaryPolicy {
            max_canaries: 8,
            probation: Micros::from_millis(750),
            report_timeout: Micros::from_millis(2_500),
            fetch_window: Micros::from_millis(1_000),
            failure_limit: 3,
        }
    }
}

/// A node's report about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CanaryReport<'a> {
    /// The node's name.
    pub node: &'a str,
    /// Identifies the process; drawn at random when it starts.
    pub incarnation: u64,
    /// The version in force.
    pub in_force: Revision,
    /// A version that the node can't put in force, and the reason.
    pub rejected: Option<(Revision, &'a str)>,
}

/// A process: the node's name and the incarnation. Two processes of one name exist while one takes over from the other.
type Process = (String, u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Serving,
    /// The process was told to stop, so the end of its reports is not counted as a failure of a version.
    Draining,
}

#[derive(Clone, Debug)]
struct ProcessStatus {
    in_force: Revision,
    last_report: Micros,
    state: ProcessState,
}

#[derive(Clone, Debug)]
struct Canary {
    /// Whether the node was notified of a version on trial. If not, the end of its reports is not counted as a failure.
    notified: bool,
    /// When the node last adopted a newer version, or was selected.
    progressed_at: Micros,
    /// Versions in probation, and since when each is in force; later ones last.
    in_probation: VecDeque<(Revision, Micros)>,
    /// The newest version that has passed probation.
    passed: Revision,
}

impl Canary {
    fn selected_at(now: Micros) -> Canary {
        Canary {
            notified: false,
            progressed_at: now,
            in_probation: VecDeque::new(),
            passed: Revision::default(),
        }
    }
}

/// The test of the newest version on its canaries. Canaries always get the newest version. Each version has its own
/// probation, so a change does not wait for the trial of the change before it.
#[derive(Clone, Debug)]
struct Trial {
    /// The newest version that canaries are notified of.
    revision: Revision,
    canaries: BTreeMap<Process, Canary>,
    /// Failed nodes; they are no longer canaries.
    failures: BTreeMap<String, CanaryFailure>,
    /// Processes that adopted no version in time; they are not selected again while there are other candidates.
    timed_out: Vec<Process>,
}

impl Trial {
    fn new(revision: Revision) -> Trial {
        Trial { revision, canaries: BTreeMap::new(), failures: BTreeMap::new(), timed_out: Vec::new() }
    }

    /// The newest version such that at least `required` canaries have passed it or a later one.
    fn passed_by(&self, required: usize) -> Option<Revision> {
        let mut passed: Vec<Revision> = self.canaries.values().map(|canary| canary.passed).collect();
        passed.sort_unstable_by(|a, b| b.cmp(a));
        passed.get(required - 1).copied()
    }
}

/// The state of a rollout, owned by the leading replica.
#[derive(Debug)]
pub struct CanaryRollout {
    policy: CanaryPolicy,
    processes: BTreeMap<Process, ProcessStatus>,
    newest: Revision,
    /// All nodes may have this version.
    approved: Revision,
    /// An operator has rolled this version back: it and earlier versions are not tested any more.
    withdrawn: Revision,
    trial: Option<Trial>,
    halted: Option<RolloutHalted>,
    /// The decision that the replicas have to agree on next.
    pending_decision: Option<RolloutDecision>,
}

impl CanaryRollout {
    /// A rollout in which all nodes may have the version `approved`.
    #[must_use]
    pub fn new(policy: CanaryPolicy, approved: Revision) -> CanaryRollout {
        CanaryRollout {
            policy,
            processes: BTreeMap::new(),
            newest: approved,
            approved,
            withdrawn: Revision::default(),
            trial: None,
            halted: None,
            pending_decision: None,
        }
    }

    /// Applies the versions and decisions that were agreed since the last call.
    pub fn follow_history(&mut self, now: Micros, history: &History) {
        if let Some(halted) = history.halted()
            && self.halted.as_ref().is_none_or(|known| known.revision != halted.revision)
        {
            self.apply_decision(now, &RolloutDecision::Halted(halted.clone()));
        }
        let (newest, approved) = (history.newest().revision(), history.approved().revision());
        if approved > self.approved {
            self.apply_decision(now, &RolloutDecision::Approved(approved));
        }
        if newest > self.newest {
            let later = (self.newest.0 + 1..=newest.0).map(Revision);
            if let Some(rollback) = later.rev().find(|revision| history.is_rollback(*revision)) {
                self.withdraw_up_to(Revision(rollback.0 - 1));
            }
            self.add_version(now, newest);
        }
    }

    /// The next version restores the records of an earlier one: versions up to `revision` are not tested any more.
    pub fn withdraw_up_to(&mut self, revision: Revision) {
        self.withdrawn = self.withdrawn.max(revision);
        for canary in self.trial.iter_mut().flat_map(|trial| trial.canaries.values_mut()) {
            canary.in_probation.retain(|(version, _)| *version > revision);
            canary.passed = Revision::default();
        }
    }

    /// Adds a newly agreed version. It is tested at once, together with the versions already on trial.
    pub fn add_version(&mut self, now: Micros, revision: Revision) {
        self.newest = self.newest.max(revision);
        if let Some(trial) = &mut self.trial
            && trial.revision < self.newest
        {
            trial.revision = self.newest;
            // A node that rejected the version before may accept this one.
            trial.failures.retain(|_, failure| !matches!(failure, CanaryFailure::Rejected(_)));
        }
        self.evaluate(now);
    }

    /// Applies an agreed decision: this rollout's own, a former leader's, or an operator's.
    pub fn apply_decision(&mut self, now: Micros, decision: &RolloutDecision) {
        self.pending_decision = None;
        match decision {
            RolloutDecision::Approved(revision) if *revision > self.approved => self.approve(*revision),
            RolloutDecision::Halted(halted) if halted.revision > self.approved => {
                self.trial.take_if(|trial| trial.revision <= halted.revision);
                self.newest = self.newest.max(halted.revision);
                self.halted = Some(halted.clone());
            }
            RolloutDecision::Approved(_) | RolloutDecision::Halted(_) => {}
        }
        self.evaluate(now);
    }

    fn approve(&mut self, revision: Revision) {
        self.approved = revision;
        self.newest = self.newest.max(revision);
        self.halted.take_if(|halted| halted.revision <= revision);
        if let Some(trial) = self.trial.as_mut().filter(|trial| trial.revision > revision) {
            // Failures so far were not caused by a later version; unrelated failures must not add up over many changes.
            trial.failures.clear();
            trial.timed_out.clear();
        } else {
            self.trial = None;
        }
    }

    /// Records what a node reports about itself.
    pub fn record_report(&mut self, now: Micros, report: &CanaryReport<'_>) {
        let CanaryReport { node, incarnation, in_force, rejected } = report;
        let process = ((*node).to_owned(), *incarnation);
        self.record_process(now, &process, *in_force);
        let settled = self.settled_revision();
        let Some(trial) = &mut self.trial else { return };
        let Some(canary) = trial.canaries.get_mut(&process) else { return };
        let is_newer =
            canary.in_probation.back().is_none_or(|(last, _)| in_force > last) && *in_force > settled;
        if is_newer && canary.in_probation.len() < PROBATION_VERSIONS_MAX {
            canary.in_probation.push_back((*in_force, now));
            canary.progressed_at = now;
        }
        // A node continues to report the rejection of an older version until it has processed the newest.
        if let Some((_, reason)) = rejected.filter(|(revision, _)| *revision == trial.revision) {
            trial.failures.insert((*node).to_owned(), CanaryFailure::Rejected(reason.to_owned()));
            trial.canaries.remove(&process);
        }
        self.evaluate(now);
    }

    fn record_process(&mut self, now: Micros, process: &Process, in_force: Revision) {
        let has_room = self.processes.len() < PROCESSES_MAX;
        match self.processes.get_mut(process) {
            Some(status) => (status.in_force, status.last_report) = (in_force, now),
            None if has_room => {
                let status = ProcessStatus { in_force, last_report: now, state: ProcessState::Serving };
                self.processes.insert(process.clone(), status);
            }
            None => {}
        }
    }

    /// Marks a process that was told to stop. It is no longer a canary, and the end of its reports is not a failure.
    pub fn mark_draining(&mut self, node: &str, incarnation: u64) {
        let process = (node.to_owned(), incarnation);
        if let Some(status) = self.processes.get_mut(&process) {
            status.state = ProcessState::Draining;
        }
        if let Some(trial) = &mut self.trial {
            trial.canaries.remove(&process);
        }
    }

    /// The newest version that a process may have.
    #[must_use]
    pub fn allowed_revision(&self, node: &str, incarnation: u64) -> Revision {
        let process = (node.to_owned(), incarnation);
        match &self.trial {
            Some(trial) if trial.canaries.contains_key(&process) => trial.revision,
            _ => self.approved,
        }
    }

    /// Returns the newest version that a process may have, and records that a canary was notified of it.
    pub fn notify(&mut self, node: &str, incarnation: u64) -> Revision {
        let process = (node.to_owned(), incarnation);
        if let Some(trial) = &mut self.trial
            && let Some(canary) = trial.canaries.get_mut(&process)
        {
            canary.notified = true;
            return trial.revision;
        }
        self.approved
    }

    /// The newest version that is decided: approved, halted or withdrawn. Neither it nor earlier versions are tested any
    /// more, though some nodes still report them.
    fn settled_revision(&self) -> Revision {
        let settled = self.approved.max(self.withdrawn);
        self.halted.as_ref().map_or(settled, |halted| halted.revision.max(settled))
    }

    /// The version that all nodes may have.
    #[must_use]
    pub fn approved(&self) -> Revision {
        self.approved
    }

    /// The halted version, until a later one is approved.
    #[must_use]
    pub fn halted(&self) -> Option<&RolloutHalted> {
        self.halted.as_ref()
    }

    /// The decision that the replicas have to agree on now, if any.
    #[must_use]
    pub fn pending_decision(&self) -> Option<&RolloutDecision> {
        self.pending_decision.as_ref()
    }

    /// The names of the current canaries.
    pub fn canaries(&self) -> impl Iterator<Item = &str> {
        self.trial.iter().flat_map(|trial| trial.canaries.keys()).map(|(name, _)| name.as_str())
    }

    /// Updates the trial to the time `now`; to be called a few times a second.
    pub fn evaluate(&mut self, now: Micros) {
        let forget_after = Micros(self.policy.report_timeout.0.saturating_mul(FORGET_AFTER_TIMEOUTS));
        self.processes.retain(|_, status| now - status.last_report <= forget_after);
        if self.trial.is_none() && self.newest > self.settled_revision() {
            self.trial = Some(Trial::new(self.newest));
        }
        self.pending_decision = None;
        let Some(mut trial) = self.trial.take() else { return };
        self.evaluate_canaries(now, &mut trial);
        let eligible = self.processes.values().filter(|status| self.is_eligible(now, status)).count();
        let wanted = (eligible / 4).clamp(1, self.policy.max_canaries.max(1));
        if trial.failures.len() >= self.policy.failure_limit.min(wanted).max(1) {
            let halted = RolloutHalted { revision: trial.revision, failures: trial.failures.clone() };
            self.pending_decision = Some(RolloutDecision::Halted(halted));
        } else {
            // Up to a quarter of the canaries may still be fetching the version.
            let required = (wanted - wanted / 4).max(1);
            let passed = trial.passed_by(required).filter(|passed| *passed > self.approved);
            self.pending_decision = passed.map(RolloutDecision::Approved);
            self.select_canaries(now, &mut trial, wanted);
        }
        self.trial = Some(trial);
    }

    /// Whether a process reports in time and was not told to stop.
    fn is_eligible(&self, now: Micros, status: &ProcessStatus) -> bool {
        status.state == ProcessState::Serving && now - status.last_report <= self.policy.report_timeout
    }

    /// Removes canaries that fail or adopt no version in time, and advances the others' probation.
    fn evaluate_canaries(&self, now: Micros, trial: &mut Trial) {
        let CanaryPolicy { probation, report_timeout, fetch_window, .. } = self.policy;
        let Trial { revision, canaries, failures, timed_out } = trial;
        canaries.retain(|process, canary| {
            let status = self.processes.get(process);
            let Some(status) = status.filter(|status| now - status.last_report <= report_timeout) else {
                if canary.notified {
                    failures.entry(process.0.clone()).or_insert_with(|| self.failure_of(process));
                }
                return false;
            };
            // Passing needs two reports at least one probation apart: a node that crashes at once with the version sends at
            // most one report of it.
            let in_probation = &mut canary.in_probation;
            while let Some((passed, _)) =
                in_probation.pop_front_if(|(_, since)| status.last_report - *since >= probation)
            {
                canary.passed = passed;
            }
            let waited = status.last_report - canary.progressed_at;
            let is_late = status.in_force < *revision && waited > report_timeout + fetch_window;
            if is_late {
                timed_out.push(process.clone());
            }
            !is_late
        });
    }

    /// The failure of a process that stopped reporting: a later process of the same name shows that the node was restarted.
    fn failure_of(&self, process: &Process) -> CanaryFailure {
        let later_process = (process.0.clone(), process.1.saturating_add(1));
        let next = self.processes.range(later_process..).next();
        if next.is_some_and(|((name, _), _)| *name == process.0) {
            CanaryFailure::Restarted
        } else {
            CanaryFailure::Unresponsive
        }
    }

    /// Selects further canaries up to `wanted`, by a hash of the name and the version, so that each version gets different
    /// canaries.
    fn select_canaries(&self, now: Micros, trial: &mut Trial, wanted: usize) {
        let missing = wanted.saturating_sub(trial.canaries.len());
        if missing == 0 {
            return;
        }
        let rank = |process: &Process| {
            let mut hasher = std::hash::DefaultHasher::new();
            (trial.revision, &process.0).hash(&mut hasher);
            hasher.finish()
        };
        let is_candidate = |process: &Process, status: &ProcessStatus| {
            self.is_eligible(now, status)
                && !trial.canaries.contains_key(process)
                && !trial.failures.contains_key(&process.0)
                && !trial.timed_out.contains(process)
        };
        let mut candidates: Vec<(u64, &Process)> = self
            .processes
            .iter()
            .filter(|(process, status)| is_candidate(process, status))
            .map(|(process, _)| (rank(process), process))
            .collect();
        candidates.sort_unstable();
        let selected: Vec<Process> =
            candidates.into_iter().take(missing).map(|(_, process)| process.clone()).collect();
        if selected.is_empty() && trial.canaries.is_empty() {
            // All live nodes timed out: they become candidates again, as otherwise the trial would never end.
            trial.timed_out.clear();
        }
        for process in selected {
            trial.canaries.insert(process, Canary::selected_at(now));
        }
    }
}
