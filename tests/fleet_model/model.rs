//! The simulated fleet: nodes with lease holders, ledger replicas, the network between them and the downstream service.

use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};

use holdlift::Micros;
use holdlift::fleet::lease::holder::{LeaseHolder, Permit, ReleaseEvidence};
use holdlift::fleet::lease::ledger::{LeaseRequest, LedgerEntry};
use holdlift::fleet::replica_state::ReplicaState;
use holdlift::fleet::{Budget, BudgetKind, CapacityScope, LeaseBounds, LeaseHolderId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::parts::{Clock, Event, ScheduledEvent, Tally};

/// One millisecond in microseconds, the unit of all times here.
const MS: u64 = 1_000;
const REPLICAS: usize = 3;
/// Time for which a replica collects lease requests into one ledger entry.
const BATCH_DELAY: u64 = 20 * MS;
/// Interval at which a replica looks for expired leases.
const EXPIRY_CHECK_INTERVAL: u64 = 100 * MS;

#[derive(Clone, Copy, PartialEq)]
enum ProcessState {
    Running,
    Stopped,
    Killed,
}

struct Node {
    name: String,
    clock: Clock,
    lease_holder: LeaseHolder,
    process: ProcessState,
    /// Grows with each restart after a kill, as the new process is a different lease holder of the same name.
    incarnation: u64,
    /// Mean rate of calls that the node tries to start.
    calls_per_s: f64,
    /// Messages to the node are lost.
    drops_incoming: bool,
    /// Messages from the node are lost.
    drops_outgoing: bool,
    /// Permits of the calls under way, by call number.
    open_permits: BTreeMap<u64, Permit>,
    /// Events that arrive while the process is stopped.
    queued_events: VecDeque<Event>,
}

struct Replica {
    state: ReplicaState,
    clock: Clock,
    /// Number of log entries that the replica has applied.
    applied: usize,
    stopped: bool,
    /// Lease requests of the next ledger entry.
    requests: Vec<LeaseRequest>,
    /// An event that proposes `requests` is scheduled.
    batch_scheduled: bool,
}

pub struct Model {
    rng: ChaCha8Rng,
    now_us: u64,
    /// Sequence number of the latest scheduled event; breaks ties between events of the same time.
    events_scheduled: u64,
    events: BinaryHeap<ScheduledEvent<Event>>,
    bounds: LeaseBounds,
    budgets: Vec<Budget>,
    nodes: Vec<Node>,
    replicas: Vec<Replica>,
    log: Vec<LedgerEntry>,
    leader: Option<usize>,
    term: u64,
    /// Share of the messages that are lost.
    loss_share: f64,
    /// Share of the messages that take up to 6 s.
    late_share: f64,
    /// Number of the latest call.
    calls_started: u64,
    /// Calls under way in the downstream service.
    calls_running: HashSet<u64>,
    /// Times at which calls began in the last window.
    recent_starts: VecDeque<u64>,
    /// The most calls under way and the most starts in a window that the service may count.
    allowed: [u32; 2],
    /// The next, lower values of `allowed`, and the time from which they apply.
    pending_reduction: Option<(u64, [u32; 2])>,
    faults_end_us: u64,
    /// The most capacity of each budget that was leased at once in the last 3 s. A single look would miss capacity
    /// that is moving from one node to another.
    peak_leased: BTreeMap<String, u64>,
    end_us: u64,
    pub tally: Tally,
}

impl Model {
    pub fn new(seed: u64) -> Model {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let max_nodes = [12, 12, 12, 40, 40, 100, 300][rng.random_range(0..7usize)];
        let n = rng.random_range(5..=max_nodes);
        let drift = [0.0, 0.05, 0.1, 0.2][rng.random_range(0..4usize)];
        let bounds = LeaseBounds {
            lease_duration: Micros(rng.random_range(400..4_000) * MS),
            drift,
            transit: Micros(rng.random_range(20..400) * MS),
        };
        let capacity = if rng.random::<f64>() < 0.15 { n / 2 + 1 } else { n * rng.random_range(1..6) };
        let longest_call = Micros(rng.random_range(300..2_000) * MS);
        let budgets = vec![
            Budget {
                name: "slots".to_owned(),
                kind: BudgetKind::Slots { max_duration: longest_call + bounds.transit },
                capacity: capacity as u32,
                min_share: 1,
                scope: CapacityScope::Fixed,
            },
            Budget {
                name: "starts".to_owned(),
                kind: BudgetKind::Starts { window: Micros(1_000 * MS) },
                capacity: (capacity * [2, 8][rng.random_range(0..2usize)]) as u32,
                min_share: 2,
                scope: CapacityScope::Fixed,
            },
        ];
        let clock = |rng: &mut ChaCha8Rng| Clock {
            start: rng.random_range(0..1_000_000_000),
            // Half of the clocks run at one of the two ends of the range that the drift bound allows.
            speed: 1.0 + drift * [0.0, 1.0, rng.random(), rng.random()][rng.random_range(0..4usize)],
        };
        let nodes: Vec<Node> = (0..n)
            .map(|i| {
                let clock = clock(&mut rng);
                let (name, calls_per_s) = (format!("n{i}"), rng.random_range(1.0..40.0));
                let holder = LeaseHolderId { name: name.clone(), incarnation: 1 };
                let lease_holder = LeaseHolder::new(clock.lease_instant(0), holder, 1, bounds, &budgets);
                Node {
                    name,
                    clock,
                    lease_holder,
                    process: ProcessState::Running,
                    incarnation: 1,
                    calls_per_s,
                    drops_incoming: false,
                    drops_outgoing: false,
                    open_permits: BTreeMap::new(),
                    queued_events: VecDeque::new(),
                }
            })
            .collect();
        let replicas = (0..REPLICAS)
            .map(|_| Replica {
                state: ReplicaState::new(bounds, budgets.clone()),
                clock: clock(&mut rng),
                applied: 0,
                stopped: false,
                requests: Vec::new(),
                batch_scheduled: false,
            })
            .collect();
        let loss_share = [0.0, 0.02, 0.2][rng.random_range(0..3usize)];
        let late_share = [0.02, 0.02, 0.4][rng.random_range(0..3usize)];
        let allowed = [budgets[0].capacity, budgets[1].capacity];
        Model {
            rng,
            now_us: 0,
            events_scheduled: 0,
            events: BinaryHeap::new(),
            bounds,
            budgets,
            nodes,
            replicas,
            log: Vec::new(),
            leader: Some(0),
            term: 1,
            loss_share,
            late_share,
            calls_started: 0,
            calls_running: HashSet::new(),
            recent_starts: VecDeque::new(),
            allowed,
            pending_reduction: None,
            faults_end_us: 14_000 * MS,
            peak_leased: BTreeMap::new(),
            end_us: u64::MAX,
            tally: Tally::default(),
        }
    }

    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.events_scheduled += 1;
        self.events.push(ScheduledEvent {
            at_us: at_us.max(self.now_us),
            sequence: self.events_scheduled,
            event,
        });
    }

    fn schedule_after(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now_us + delay_us, event);
    }

    /// Runs the model to its end. The faults end earlier, and the shares must be restored by the end.
    pub fn run(mut self) -> Tally {
        for i in 0..self.nodes.len() {
            let at = self.rng.random_range(0..500 * MS);
            self.schedule_at(at, Event::SendLeaseRequest(i, 1));
            self.schedule_at(at, Event::StartCall(i, 1));
        }
        for k in 0..REPLICAS {
            self.schedule_at(EXPIRY_CHECK_INTERVAL, Event::CheckExpiry(k));
        }
        self.schedule_after(300 * MS, Event::InjectFault);
        // Covers the last lease of a killed node, the lifetime of its permits, and time for the others to lease the
        // capacity that is free then.
        let permit_lifetime =
            self.budgets.iter().map(|b| self.bounds.permit_lifetime(b.kind).0).max().unwrap_or(0);
        let end = self.faults_end_us + 3 * self.bounds.lease_duration.0 + 2 * permit_lifetime + 6_000 * MS;
        self.end_us = end;
        while let Some(ScheduledEvent { at_us, event, .. }) = self.events.pop() {
            if at_us > end {
                break;
            }
            self.now_us = at_us;
            self.handle_event(event);
            self.check_service_counts();
        }
        self.check_shares_after_faults();
        self.tally
    }

    /// Asserts that the service counts no more calls and starts than the budgets allow.
    fn check_service_counts(&mut self) {
        if let Some((from, allowed)) = self.pending_reduction
            && self.now_us >= from
        {
            (self.allowed, self.pending_reduction) = (allowed, None);
        }
        let window = 1_000 * MS;
        while self.recent_starts.front().is_some_and(|s| s + window <= self.now_us) {
            self.recent_starts.pop_front();
        }
        let counts = [self.calls_running.len() as u32, self.recent_starts.len() as u32];
        assert!(
            counts[0] <= self.allowed[0] && counts[1] <= self.allowed[1],
            "the service counts {counts:?} calls and starts of {:?} allowed at {} µs",
            self.allowed,
            self.now_us
        );
    }

    /// Asserts that the leased capacity meets the demand, and that each running node holds a share.
    fn check_shares_after_faults(&self) {
        let leader = self.leader.expect("the replicas have a leader once the faults have ended");
        let ledger = self.replicas[leader].state.ledger();
        for (budget, capacity, leased) in ledger.usage() {
            assert!(leased <= u64::from(capacity), "{budget}: {leased} of {capacity} leased");
            let wanted: u64 = ledger.leases().filter(|l| l.0 == budget).map(|l| u64::from(l.2.demand)).sum();
            let least = wanted.min(u64::from(capacity)) as f64 * 0.95 - 1.0;
            let leased = self.peak_leased[budget];
            assert!(
                leased as f64 >= least,
                "{budget}: {leased} of {capacity} leased for a demand of {wanted}"
            );
        }
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.process == ProcessState::Running) {
            let now = node.clock.lease_instant(self.now_us);
            for ((_, status), budget) in node.lease_holder.status(now).zip(&self.budgets) {
                let covers_all_nodes =
                    budget.capacity as usize >= self.nodes.len() * budget.min_share as usize;
                assert!(
                    !covers_all_nodes || status.limit >= 1,
                    "node {i} has no share of {}: {status:?}",
                    budget.name
                );
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::SendLeaseRequest(i, incarnation) => self.send_lease_request(i, incarnation),
            Event::StartCall(i, incarnation) => self.start_call(i, incarnation),
            Event::SendCall(i, call, latest_begin) => self.send_call(i, call, latest_begin),
            Event::CallBegins { node, incarnation, call, until } => {
                self.calls_running.insert(call);
                self.recent_starts.push_back(self.now_us);
                self.schedule_at(until, Event::CallEnds { node, incarnation, call });
            }
            Event::CallEnds { node, incarnation, call } => {
                self.calls_running.remove(&call);
                let delay = self.rng.random_range(0..20 * MS);
                self.schedule_after(
                    delay,
                    Event::CallOutcome { node, incarnation, call, evidence: ReleaseEvidence::Answered },
                );
            }
            Event::CallOutcome { node, incarnation, .. } | Event::ResponseArrives(node, incarnation, _)
                if self.nodes[node].incarnation != incarnation => {}
            Event::CallOutcome { node, call, evidence, .. } => {
                let n = &mut self.nodes[node];
                if n.process == ProcessState::Stopped {
                    n.queued_events.push_back(event);
                } else if let Some(permit) = n.open_permits.remove(&call) {
                    self.tally.unknown_outcomes += u64::from(evidence == ReleaseEvidence::Unknown);
                    n.lease_holder.release(&permit, evidence);
                }
            }
            Event::ResponseArrives(i, _, ref response) => {
                let n = &mut self.nodes[i];
                if n.process == ProcessState::Stopped {
                    n.queued_events.push_back(event);
                } else {
                    n.lease_holder.accept_response(response);
                }
            }
            Event::RequestArrives(k, request) => self.receive_lease_request(k, request),
            Event::ProposeBatch(k) => {
                self.replicas[k].batch_scheduled = false;
                if self.replicas[k].stopped {
                    return self.schedule_after(BATCH_DELAY, Event::ProposeBatch(k));
                }
                let requests = std::mem::take(&mut self.replicas[k].requests);
                self.propose(k, LedgerEntry::LeaseRequests(requests));
            }
            Event::CheckExpiry(k) => {
                self.schedule_after(EXPIRY_CHECK_INTERVAL, Event::CheckExpiry(k));
                if self.leader == Some(k) && !self.replicas[k].stopped {
                    let now = self.replicas[k].clock.lease_instant(self.now_us);
                    if let Some(entry) = self.replicas[k].state.pending_capacities() {
                        self.propose(k, entry);
                    }
                    if let Some(entry) = self.replicas[k].state.expired_leases(now) {
                        self.propose(k, entry);
                    }
                }
            }
            Event::EntryCommitted { replica, term, entry } => {
                if term == self.term && self.leader == Some(replica) {
                    self.tally.committed_entries += 1;
                    if let LedgerEntry::ExpireLeases(leases) = &entry {
                        self.tally.expired_leases += leases.len() as u64;
                    }
                    self.log.push(entry);
                    let upto = self.log.len();
                    self.apply_log(replica, upto);
                    for k in (0..REPLICAS).filter(|k| *k != replica) {
                        let max_delay_ms = if self.rng.random::<f64>() < 0.02 { 3_000 } else { 40 };
                        let delay = self.rng.random_range(0..max_delay_ms * MS);
                        self.schedule_after(delay, Event::ApplyLog(k, upto));
                    }
                }
            }
            Event::ApplyLog(k, upto) => {
                if self.replicas[k].stopped {
                    self.schedule_after(50 * MS, Event::ApplyLog(k, upto));
                } else {
                    self.apply_log(k, upto);
                }
            }
            Event::BecomeLeader(k) => {
                if self.leader.is_none() && !self.replicas[k].stopped {
                    (self.leader, self.term) = (Some(k), self.term + 1);
                    // A new leader applies every committed entry before it sends any message.
                    let upto = self.log.len();
                    self.apply_log(k, upto);
                } else if self.leader.is_none() {
                    self.schedule_after(200 * MS, Event::BecomeLeader((k + 1) % REPLICAS));
                }
            }
            Event::InjectFault => self.inject_fault(),
        }
    }

    /// Sends the lease request of a node if it is due, and schedules the next attempt.
    fn send_lease_request(&mut self, i: usize, incarnation: u64) {
        let now = self.nodes[i].clock.lease_instant(self.now_us);
        let n = &mut self.nodes[i];
        if n.incarnation != incarnation || n.process == ProcessState::Killed {
            return;
        }
        let next_attempt = if n.process == ProcessState::Stopped {
            self.now_us + 50 * MS
        } else if n.lease_holder.next_request_at() <= now {
            let request = n.lease_holder.next_request(now);
            let drops_outgoing = n.drops_outgoing;
            if !drops_outgoing && let Some(leader) = self.leader {
                self.deliver(|request| Event::RequestArrives(leader, request), request);
            }
            self.now_us + 10 * MS
        } else {
            n.clock.real_time(n.lease_holder.next_request_at()).clamp(self.now_us + MS, self.now_us + 50 * MS)
        };
        self.schedule_at(next_attempt, Event::SendLeaseRequest(i, incarnation));
    }

    /// Schedules the arrival of a message, which may be lost, late or duplicated.
    fn deliver<T: Clone>(&mut self, arrival: impl Fn(T) -> Event, message: T) {
        for _ in 0..=usize::from(self.rng.random::<f64>() < 0.05) {
            if self.rng.random::<f64>() < self.loss_share {
                continue;
            }
            let late = self.rng.random::<f64>() < self.late_share;
            let delay = self.rng.random_range(0..if late { 6_000 * MS } else { 10 * MS });
            self.schedule_after(delay, arrival(message.clone()));
        }
    }

    /// Acquires a permit for a call, and schedules the next call of the node.
    fn start_call(&mut self, i: usize, incarnation: u64) {
        let n = &mut self.nodes[i];
        if n.incarnation != incarnation || n.process == ProcessState::Killed {
            return;
        }
        let gap = (-(1.0 - self.rng.random::<f64>()).ln() / n.calls_per_s * 1e6) as u64;
        if n.process == ProcessState::Running {
            let now = n.clock.lease_instant(self.now_us);
            match n.lease_holder.acquire(now, &[0, 1]) {
                Ok(permit) => {
                    self.tally.permits += 1;
                    self.calls_started += 1;
                    let call = self.calls_started;
                    n.open_permits.insert(call, permit);
                    // Opening a connection takes up to half of the transit bound, and in 2 % of the calls up to 1.5
                    // times the bound.
                    let half_transits = if self.rng.random::<f64>() < 0.02 { 3 } else { 1 };
                    let connect_us = self.rng.random_range(0..half_transits * self.bounds.transit.0 / 2);
                    let (now_us, latest_begin) = (self.now_us, self.now_us + self.bounds.transit.0);
                    self.schedule_at(now_us + connect_us, Event::SendCall(i, call, latest_begin));
                }
                Err(_) => self.tally.refused += 1,
            }
        }
        self.schedule_after(gap.clamp(MS, 5_000 * MS), Event::StartCall(i, incarnation));
    }

    /// Sends a call to the downstream service unless its send deadline has passed.
    fn send_call(&mut self, i: usize, call: u64, latest_begin: u64) {
        let n = &mut self.nodes[i];
        let (now, incarnation) = (n.clock.lease_instant(self.now_us), n.incarnation);
        match n.process {
            ProcessState::Stopped => {
                return self.schedule_after(20 * MS, Event::SendCall(i, call, latest_begin));
            }
            ProcessState::Killed => return,
            ProcessState::Running => {}
        }
        let Some(permit) = n.open_permits.get(&call) else { return };
        // The program reads the clock right before it writes the request.
        if now >= permit.send_deadline {
            self.tally.not_sent += 1;
            let permit = n.open_permits.remove(&call).expect("the permit of the call was found above");
            return n.lease_holder.release(&permit, ReleaseEvidence::NotSent);
        }
        let acquired_at = latest_begin - self.bounds.transit.0;
        let begin = self.rng.random_range(self.now_us..=latest_begin.max(self.now_us));
        let BudgetKind::Slots { max_duration: longest_call } = self.budgets[0].kind else {
            unreachable!("the first budget of the model has slots")
        };
        let until = self.rng.random_range(begin..=(acquired_at + longest_call.0).max(begin));
        // Eight of ten calls end within 300 ms, one takes any time up to the longest duration, and one takes the
        // longest.
        let until = match self.rng.random_range(0..10) {
            0 => (acquired_at + longest_call.0).max(begin),
            1 => until,
            _ => until.min(begin + 300 * MS),
        };
        self.schedule_at(begin, Event::CallBegins { node: i, incarnation, call, until });
        // The connection breaks or the caller gives up, while the call still runs in the downstream service.
        if self.rng.random::<f64>() < 0.1 {
            let at = self.rng.random_range(begin..=until);
            self.schedule_at(
                at,
                Event::CallOutcome { node: i, incarnation, call, evidence: ReleaseEvidence::Unknown },
            );
        }
    }

    fn receive_lease_request(&mut self, k: usize, request: LeaseRequest) {
        // A stopped replica finds the request in its socket later. A replica that does not lead
        // would redirect the sender; here its proposal is lost.
        if self.replicas[k].stopped {
            return self.schedule_after(100 * MS, Event::RequestArrives(k, request));
        }
        self.replicas[k].requests.push(request);
        if !std::mem::replace(&mut self.replicas[k].batch_scheduled, true) {
            self.schedule_after(BATCH_DELAY, Event::ProposeBatch(k));
        }
    }

    fn propose(&mut self, k: usize, entry: LedgerEntry) {
        // A former leader still takes itself for the leader: its proposal is never committed.
        let term = if self.leader == Some(k) { self.term } else { 0 };
        let delay = self.rng.random_range(0..30 * MS);
        self.schedule_after(delay, Event::EntryCommitted { replica: k, term, entry });
    }

    /// Applies the log of replica `k` up to `upto` entries. If it leads, it sends the responses to the nodes.
    fn apply_log(&mut self, k: usize, upto: usize) {
        while self.replicas[k].applied < upto {
            let replica = &mut self.replicas[k];
            let (now, at) = (replica.clock.lease_instant(self.now_us), replica.applied);
            let responses = replica.state.apply(now, &self.log[at]);
            replica.applied += 1;
            for (budget, capacity, leased) in replica.state.ledger().usage() {
                if self.leader == Some(k) && self.now_us + 3_000 * MS > self.end_us {
                    let peak = self.peak_leased.entry(budget.to_owned()).or_default();
                    *peak = leased.max(*peak);
                }
                assert!(
                    self.pending_reduction.is_some() || leased <= u64::from(capacity.max(1)),
                    "{budget}: {leased} of {capacity} leased"
                );
            }
            if self.leader != Some(k) {
                continue;
            }
            for response in responses {
                let i: usize =
                    response.holder.name[1..].parse().expect("the lease holders are named n0, n1 and so on");
                if !self.nodes[i].drops_incoming {
                    let incarnation = response.holder.incarnation;
                    self.deliver(|response| Event::ResponseArrives(i, incarnation, response), response);
                }
            }
        }
    }

    /// Injects one random fault and schedules the next, or ends all faults once their time is over.
    fn inject_fault(&mut self) {
        if self.now_us >= self.faults_end_us {
            return self.end_faults();
        }
        let i = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..10) {
            0 if self.nodes[i].process == ProcessState::Running => {
                self.nodes[i].process = ProcessState::Stopped
            }
            1 | 2 if self.nodes[i].process == ProcessState::Stopped => self.resume_node(i),
            3 | 4 if self.nodes[i].process != ProcessState::Killed => {
                // The downstream service still runs the calls of the killed node.
                self.nodes[i].process = ProcessState::Killed;
                self.nodes[i].queued_events.clear();
                if self.rng.random::<f64>() < 0.5 {
                    self.restart_node(i);
                }
            }
            3..=5 if self.nodes[i].process == ProcessState::Killed => self.restart_node(i),
            6 => {
                // The cut covers one node or a group of nodes with adjacent numbers.
                let (drops_incoming, drops_outgoing) = (self.rng.random(), self.rng.random());
                let group = [1, self.nodes.len() / 3 + 1][self.rng.random_range(0..2usize)];
                for k in 0..group {
                    let n = (i + k) % self.nodes.len();
                    (self.nodes[n].drops_incoming, self.nodes[n].drops_outgoing) =
                        (drops_incoming, drops_outgoing);
                }
            }
            7 => {
                if let Some(k) = self.leader.take() {
                    self.replicas[k].stopped = self.rng.random();
                    let next = (k + self.rng.random_range(0..REPLICAS)) % REPLICAS;
                    let wait = self.rng.random_range(100..1_500) * MS;
                    self.schedule_after(wait, Event::BecomeLeader(next));
                }
            }
            8 => self.replicas.iter_mut().for_each(|replica| replica.stopped = false),
            9 if self.pending_reduction.is_none() && self.rng.random::<f64>() < 0.3 => self.reduce_capacity(),
            _ => {}
        }
        let gap = self.rng.random_range(20..600) * MS;
        self.schedule_after(gap, Event::InjectFault);
    }

    /// Reduces the capacities as an operator would, while all of them may be leased.
    fn reduce_capacity(&mut self) {
        for b in &mut self.budgets {
            b.capacity = (b.capacity * 3 / 4).max(1);
        }
        for replica in &mut self.replicas {
            replica.state.update_budgets(self.bounds, self.budgets.clone());
        }
        // By this time every lease that could be renewed under the old capacity has ended, and so have the calls that
        // began on it. The span includes a change of the leader and the requests by which nodes release capacity.
        let permit_lifetime =
            self.budgets.iter().map(|b| self.bounds.permit_lifetime(b.kind).0).max().unwrap_or(0);
        let applies_from = self.now_us + 4 * (self.bounds.lease_duration.0 + permit_lifetime) + 16_000 * MS;
        self.pending_reduction = Some((applies_from, [self.budgets[0].capacity, self.budgets[1].capacity]));
    }

    fn resume_node(&mut self, i: usize) {
        self.nodes[i].process = ProcessState::Running;
        let queued: Vec<Event> = self.nodes[i].queued_events.drain(..).collect();
        for event in queued {
            self.handle_event(event);
        }
    }

    fn restart_node(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        n.incarnation += 1;
        n.process = ProcessState::Running;
        n.open_permits.clear();
        n.clock.start = self.rng.random_range(0..1_000_000_000);
        let holder = LeaseHolderId { name: n.name.clone(), incarnation: n.incarnation };
        n.lease_holder =
            LeaseHolder::new(n.clock.lease_instant(self.now_us), holder, 1, self.bounds, &self.budgets);
        let incarnation = n.incarnation;
        self.schedule_after(1, Event::SendLeaseRequest(i, incarnation));
        self.schedule_after(1, Event::StartCall(i, incarnation));
    }

    /// Ends all faults: the network delivers everything, stopped processes continue, and half of the killed nodes
    /// restart.
    fn end_faults(&mut self) {
        for i in 0..self.nodes.len() {
            (self.nodes[i].drops_incoming, self.nodes[i].drops_outgoing) = (false, false);
            match self.nodes[i].process {
                ProcessState::Stopped => self.resume_node(i),
                ProcessState::Killed if self.rng.random() => self.restart_node(i),
                _ => {}
            }
        }
        (self.loss_share, self.late_share) = (0.0, 0.0);
        self.replicas.iter_mut().for_each(|replica| replica.stopped = false);
        if self.leader.is_none() {
            self.handle_event(Event::BecomeLeader(0));
        }
    }
}
