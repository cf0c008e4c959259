//! The model of one fleet and its configuration replicas.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use bytes::Bytes;
use holdlift::Micros;
use holdlift::config_store::{
    Advertised, BudgetScope, ChangeSet, ChangesSince, ConfigVersion, Digest, FetchOutcome, FetchRequest,
    FetchResponse, FetchSchedule, Follower, History, Record, RecordKey, RecordKind, RetentionPolicy,
    Revision, Snapshot, VersionRejected, diff,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::records::{author, budget, class, classes_and_tenants, key, name, tenant, tier};

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
/// Faults occur until this time, in microseconds; then all of them end.
const FAULTS_END: u64 = 40 * S;
/// All nodes must have the newest version by this time. The 16 s cover the last advertisement, which arrives within a second, the
/// timeout of an outstanding request, the longest delay between requests, and a snapshot in several parts.
const CONVERGED_BY: u64 = FAULTS_END + 16 * S;
/// The interval at which a replica advertises its newest version to each node, in microseconds.
const ADVERTISE_INTERVAL: u64 = 500 * MS;

/// Counts of events and faults of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCounts {
    pub changes: u64,
    pub rollbacks: u64,
    pub adopted: u64,
    pub declined: u64,
    pub snapshots: u64,
    pub damaged: u64,
    pub retry_later: u64,
    pub killed: u64,
    pub paused: u64,
    pub partitions: u64,
    pub lost: u64,
    pub requests: u64,
}

impl EventCounts {
    pub fn add(&mut self, o: &EventCounts) {
        self.changes += o.changes;
        self.rollbacks += o.rollbacks;
        self.adopted += o.adopted;
        self.declined += o.declined;
        self.snapshots += o.snapshots;
        self.damaged += o.damaged;
        self.retry_later += o.retry_later;
        self.killed += o.killed;
        self.paused += o.paused;
        self.partitions += o.partitions;
        self.lost += o.lost;
        self.requests += o.requests;
    }
}

enum Event {
    /// A replica's advertisement arrives at a node.
    Advertisement(usize, Advertised),
    /// A node's request arrives at a replica.
    Request { node: usize, incarnation: u64, replica: usize, fetch: FetchRequest },
    /// A response arrives at a node.
    Response { node: usize, incarnation: u64, response: FetchResponse },
    /// A node processes responses and timeouts that are due.
    Poll(usize),
    /// A node has prepared the state that a ready version needs.
    Prepared { node: usize, incarnation: u64 },
    /// A replica advertises to a node and schedules the next advertisement.
    Advertise(usize),
    /// A replica applies agreed changes.
    ReplicaCatchUp(usize),
    /// An operator changes the configuration, or a fault occurs.
    OperatorOrFault,
}

struct Node {
    follower: Follower,
    incarnation: u64,
    region: usize,
    /// The node rejects versions that contain the class `poison`.
    rejects_poison: bool,
    paused_until: u64,
    building: bool,
    /// The time of the next poll, in microseconds; polls scheduled for other times are ignored.
    poll_at: u64,
    /// The time, in microseconds, at which the outstanding request times out, if one is outstanding.
    request_timeout_at: Option<u64>,
    /// The highest revision that the current process had in force.
    highest_revision: Revision,
}

struct Replica {
    history: History,
    region: usize,
    up: bool,
    snapshots: Vec<Snapshot>,
}

pub struct Model {
    rng: ChaCha8Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    /// All agreed versions, indexed by revision; `log` holds the changes between them.
    agreed: Vec<ConfigVersion>,
    log: Vec<ChangeSet>,
    nodes: Vec<Node>,
    replicas: Vec<Replica>,
    fetch_schedule: FetchSchedule,
    /// The probability that a message is lost.
    loss: f64,
    /// The probability that a message is delayed by up to 4 s.
    delay_probability: f64,
    partitioned_until: u64,
    faults_enabled: bool,
    counts: EventCounts,
}

impl Model {
    pub fn new(seed: u64) -> Model {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = match seed % 80 {
            0 => 900,
            1 | 41 => rng.random_range(40..200),
            _ => rng.random_range(5..16),
        };
        // One seed in eight has more records than one snapshot chunk holds.
        let (classes, tenants) = if seed % 8 == 3 { (500, 700) } else { (12, 20) };
        let first = diff(&ConfigVersion::default(), &classes_and_tenants(classes, tenants), &[], author())
            .expect("the change is valid for its base version");
        let mut model = Model {
            now: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            agreed: vec![ConfigVersion::default()],
            log: Vec::new(),
            nodes: Vec::new(),
            replicas: Vec::new(),
            fetch_schedule: FetchSchedule::default(),
            loss: [0.0, 0.02, 0.2][rng.random_range(0..3)],
            delay_probability: [0.0, 0.05, 0.3][rng.random_range(0..3)],
            partitioned_until: 0,
            faults_enabled: true,
            counts: EventCounts::default(),
            rng,
        };
        model.agree(first);
        for k in 0..3 {
            let history = History::new(ConfigVersion::default(), model.retention());
            model.replicas.push(Replica { history, region: k % 2, up: true, snapshots: Vec::new() });
            model.schedule(0, Event::ReplicaCatchUp(k));
        }
        for i in 0..nodes {
            let follower = Follower::new(model.fetch_schedule, model.rng.random(), ConfigVersion::default());
            let rejects_poison = model.rng.random_bool(0.2);
            let node = Node {
                follower,
                incarnation: 0,
                region: i % 2,
                rejects_poison,
                paused_until: 0,
                building: false,
                poll_at: u64::MAX,
                request_timeout_at: None,
                highest_revision: Revision(0),
            };
            model.nodes.push(node);
            let at = model.rng.random_range(0..ADVERTISE_INTERVAL);
            model.schedule(at, Event::Advertise(i));
        }
        model.schedule(S, Event::OperatorOrFault);
        model
    }

    /// A replica retains only 2 to 11 changes, so that lagging nodes need a snapshot.
    fn retention(&mut self) -> RetentionPolicy {
        RetentionPolicy { changes: self.rng.random_range(2..12), bytes: 1 << 20 }
    }

    fn schedule(&mut self, span: u64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((self.now + span, self.count)));
        self.events.insert(self.count, event);
    }

    pub fn run(mut self) -> EventCounts {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            self.now = at;
            if self.faults_enabled && at >= FAULTS_END {
                self.end_faults();
            }
            if at >= CONVERGED_BY {
                break;
            }
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        let newest = self.agreed.last().expect("at least one version is agreed");
        for (i, node) in self.nodes.iter().enumerate() {
            let here = node.follower.in_force();
            assert!(here == newest, "node {i} is at {}, not at {}", here.revision(), newest.revision());
            let age = node
                .follower
                .time_since_current(Micros(self.now))
                .expect("the node has received an advertisement");
            assert!(
                age.0 <= 4 * ADVERTISE_INTERVAL,
                "node {i} was last known to be current {} us ago",
                age.0
            );
            assert!(node.follower.rejection().is_none(), "{:?}", node.follower.rejection());
        }
        self.counts
    }

    /// Ends all faults. The operators' last change is one that all nodes can adopt.
    fn end_faults(&mut self) {
        (self.faults_enabled, self.loss, self.delay_probability, self.partitioned_until) =
            (false, 0.0, 0.0, 0);
        let poison = key(RecordKind::Class, "poison");
        let newest = self.agreed.last().expect("at least one version is agreed").clone();
        let remove = newest.get(&poison).map(|_| poison).into_iter().collect();
        let last = ChangeSet::draft(&newest, vec![tenant("last", 1.0)], remove, author())
            .expect("the change is valid for its base version");
        self.agree(last);
        for k in 0..self.replicas.len() {
            self.replicas[k].up = true;
        }
        for i in 0..self.nodes.len() {
            self.nodes[i].paused_until = 0;
            self.poll_now(i);
        }
    }

    fn agree(&mut self, change: ChangeSet) {
        let mut next = self.agreed.last().expect("at least one version is agreed").clone();
        next.apply(&change).expect("the change was drafted for the newest version");
        self.agreed.push(next);
        self.log.push(change);
        self.counts.changes += 1;
    }

    /// Sends a message, which may be delivered, delayed, duplicated or lost.
    fn send(&mut self, from: usize, to: usize, mut event: impl FnMut() -> Event) {
        if (from != to && self.now < self.partitioned_until) || self.rng.random_bool(self.loss) {
            self.counts.lost += 1;
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(self.loss / 2.0)) {
            let delayed = self.rng.random_bool(self.delay_probability);
            let span = self.rng.random_range(MS / 2..if delayed { 4 * S } else { 60 * MS });
            self.schedule(span, event());
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Advertise(i) => {
                self.schedule(ADVERTISE_INTERVAL, Event::Advertise(i));
                let k = self.rng.random_range(0..self.replicas.len());
                if self.replicas[k].up {
                    let now = self.replicas[k].history.newest();
                    let advertised = Advertised { revision: now.revision(), digest: now.digest() };
                    self.send(self.replicas[k].region, self.nodes[i].region, || {
                        Event::Advertisement(i, advertised)
                    });
                }
            }
            Event::Advertisement(i, advertised) => {
                self.nodes[i].follower.receive_advertisement(Micros(self.now), advertised);
                self.poll_now(i);
            }
            Event::Request { node, incarnation, replica, fetch } => {
                if let Some(response) = self.answer(replica, fetch) {
                    let response = self.damage(response);
                    let (from, to) = (self.replicas[replica].region, self.nodes[node].region);
                    self.send(from, to, || Event::Response { node, incarnation, response: response.clone() });
                }
            }
            Event::Response { node, incarnation, response }
                if self.nodes[node].incarnation == incarnation =>
            {
                if self.now < self.nodes[node].paused_until {
                    let span = self.nodes[node].paused_until - self.now;
                    self.schedule(span, Event::Response { node, incarnation, response });
                    return;
                }
                self.nodes[node].request_timeout_at = None;
                let _ = self.nodes[node].follower.receive_response(Micros(self.now), response);
                self.poll_now(node);
            }
            Event::Prepared { node, incarnation } if self.nodes[node].incarnation == incarnation => {
                let now = Micros(self.now);
                let poison = key(RecordKind::Class, "poison");
                let n = &mut self.nodes[node];
                n.building = false;
                let ready = n
                    .follower
                    .ready()
                    .expect("a ready version stays ready until it is confirmed or rejected");
                if n.rejects_poison && ready.get(&poison).is_some() {
                    let is = ready.revision();
                    n.follower.reject_ready(now, "poison".to_owned());
                    let why = VersionRejected::Settings(is, "poison".to_owned());
                    assert_eq!(n.follower.rejection(), Some(&why));
                    self.counts.declined += 1;
                } else {
                    let _ = n.follower.confirm_adopted(now);
                    self.counts.adopted += 1;
                }
                self.poll_now(node);
            }
            Event::Response { .. } | Event::Prepared { .. } => {}
            Event::Poll(i) if self.nodes[i].poll_at == self.now => {
                self.nodes[i].poll_at = u64::MAX;
                self.poll(i);
            }
            Event::Poll(_) => {}
            Event::ReplicaCatchUp(k) => self.catch_up(k),
            Event::OperatorOrFault => self.operate_or_fault(),
        }
    }

    fn poll_now(&mut self, i: usize) {
        self.check_node(i);
        self.poll_in(i, 0);
    }

    fn poll_in(&mut self, i: usize, span: u64) {
        let at = self.now + span;
        if at < self.nodes[i].poll_at {
            self.nodes[i].poll_at = at;
            self.schedule(span, Event::Poll(i));
        }
    }

    /// Asserts that the node's revision has not decreased and that its records are those agreed under that revision.
    fn check_node(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let here = node.follower.in_force();
        assert!(
            here.revision() >= node.highest_revision,
            "node {i} went back from {} to {}",
            node.highest_revision,
            here.revision()
        );
        if here.revision() != node.highest_revision {
            let agreed = self.agreed.get(here.revision().0 as usize);
            let agreed =
                agreed.unwrap_or_else(|| panic!("node {i} has {}, which was never agreed", here.revision()));
            assert!(
                here.digest() == agreed.digest() && here.has_same_records(agreed),
                "node {i} has records that differ from the agreed version"
            );
            node.highest_revision = here.revision();
        }
    }

    fn poll(&mut self, i: usize) {
        if self.now < self.nodes[i].paused_until {
            self.poll_in(i, self.nodes[i].paused_until - self.now);
            return;
        }
        let now = Micros(self.now);
        let node = &mut self.nodes[i];
        let outcome = node.follower.process_response(now);
        let fetch = node.follower.poll_request(now);
        let next = node.follower.next_timeout();
        let (incarnation, region) = (node.incarnation, node.region);
        self.check_node(i);
        if outcome == FetchOutcome::InProgress {
            self.poll_in(i, MS);
        }
        let node = &mut self.nodes[i];
        if node.follower.ready().is_some() && !node.building {
            node.building = true;
            let span = self.rng.random_range(0..200 * MS);
            self.schedule(span, Event::Prepared { node: i, incarnation });
        }
        if let Some(fetch) = fetch {
            let outstanding = self.nodes[i].request_timeout_at.filter(|until| self.now < *until);
            assert!(outstanding.is_none(), "node {i} sends a request while another one is outstanding");
            self.nodes[i].request_timeout_at = Some(self.now + self.fetch_schedule.response_timeout.0);
            self.counts.requests += 1;
            let replica = self.rng.random_range(0..self.replicas.len());
            let to = self.replicas[replica].region;
            self.send(region, to, || Event::Request { node: i, incarnation, replica, fetch });
        }
        if let Some(next) = next {
            self.poll_in(i, next.0.saturating_sub(self.now).max(MS));
        }
    }

    /// A replica's response; none if the replica is down.
    fn answer(&mut self, k: usize, fetch: FetchRequest) -> Option<FetchResponse> {
        let busy = self.faults_enabled && self.rng.random_bool(0.1);
        let replica = &mut self.replicas[k];
        if !replica.up {
            return None;
        }
        if busy {
            self.counts.retry_later += 1;
            return Some(FetchResponse::RetryAfter(Micros(300 * MS)));
        }
        let newest = replica.history.newest().revision();
        Some(match fetch {
            FetchRequest::Changes { since } => match replica.history.changes_since(since, newest, 20_000) {
                ChangesSince::UpToDate | ChangesSince::Ahead => FetchResponse::NothingNewer,
                ChangesSince::SnapshotRequired => FetchResponse::SnapshotRequired,
                ChangesSince::Changes(all) => FetchResponse::Changes(
                    all.iter()
                        .map(|b| ChangeSet::decode(b).expect("an encoded change of the history decodes"))
                        .collect(),
                ),
            },
            FetchRequest::Chunks { revision: requested, from_chunk } => {
                if requested.is_none() && replica.snapshots.iter().all(|s| s.revision != newest) {
                    replica.snapshots.push(Snapshot::pack(replica.history.newest()));
                    let surplus = replica.snapshots.len().saturating_sub(2);
                    replica.snapshots.drain(..surplus);
                }
                let revision = requested.unwrap_or(newest);
                match replica.snapshots.iter().find(|s| s.revision == revision) {
                    None => FetchResponse::SnapshotExpired,
                    Some(s) => {
                        self.counts.snapshots += 1;
                        FetchResponse::Chunks(
                            s.chunks.iter().skip(from_chunk as usize).take(2).cloned().collect(),
                        )
                    }
                }
            }
        })
    }

    /// Damages some responses, as by a faulty network or a faulty replica.
    fn damage(&mut self, response: FetchResponse) -> FetchResponse {
        if !self.faults_enabled || !self.rng.random_bool(0.05) {
            return response;
        }
        self.counts.damaged += 1;
        match response {
            FetchResponse::Changes(mut all) => {
                let i = self.rng.random_range(0..all.len());
                match self.rng.random_range(0..6) {
                    0 => _ = all.remove(i),
                    1 => all[i].set.push(class("made-up", 1.0)),
                    2 => all[i].digest = Digest::default(),
                    3 => all[i].base = Revision(all[i].base.0 + self.rng.random_range(0..4)),
                    4 => all.reverse(),
                    _ => all[i].remove.push(key(RecordKind::Tenant, "missing")),
                }
                FetchResponse::Changes(all)
            }
            FetchResponse::Chunks(mut all) if !all.is_empty() => {
                let i = self.rng.random_range(0..all.len());
                let mut bytes = all[i].to_vec();
                // The last chunk of a small version can be shorter than 100 bytes.
                let at = 100.min(bytes.len() - 1);
                match self.rng.random_range(0..4) {
                    0 => bytes.truncate(bytes.len() / 2),
                    1 => bytes[at] ^= 4,
                    2 => all.reverse(),
                    _ => _ = all.remove(i),
                }
                if let Some(damaged) = all.get_mut(i).filter(|b| b.len() == bytes.len() || bytes.len() < 400)
                {
                    *damaged = Bytes::from(bytes);
                }
                FetchResponse::Chunks(all)
            }
            _ => FetchResponse::Failed,
        }
    }

    /// A replica applies up to three agreed changes and schedules its next catch-up.
    fn catch_up(&mut self, k: usize) {
        let span = self.rng.random_range(5 * MS..if self.faults_enabled { 400 * MS } else { 40 * MS });
        self.schedule(span, Event::ReplicaCatchUp(k));
        let replica = &mut self.replicas[k];
        if !replica.up {
            return;
        }
        let applied = replica.history.newest().revision().0 as usize;
        for change in self.log[applied..].iter().take(3) {
            replica.history.apply(change).expect("an agreed change applies in order");
        }
    }

    fn operate_or_fault(&mut self) {
        if !self.faults_enabled {
            return;
        }
        let span = self.rng.random_range(100 * MS..2 * S);
        self.schedule(span, Event::OperatorOrFault);
        match self.rng.random_range(0..20) {
            0..9 => self.change_records(),
            9 => (0..self.rng.random_range(5..40)).for_each(|_| self.change_records()),
            10 => self.rollback(),
            11 => {
                // The two regions are partitioned.
                self.partitioned_until = self.now + self.rng.random_range(S..8 * S);
                self.counts.partitions += 1;
            }
            12 | 13 => {
                let k = self.rng.random_range(0..self.replicas.len());
                self.replicas[k].up = !self.replicas[k].up;
            }
            14 => {
                // A replica loses its disk: it restarts from a snapshot of another one without earlier changes.
                let k = self.rng.random_range(0..self.replicas.len());
                let retention = self.retention();
                let at = self.rng.random_range(0..self.agreed.len());
                let replica = &mut self.replicas[k];
                replica.history = History::new(self.agreed[at].clone(), retention);
                (replica.up, replica.snapshots) = (true, Vec::new());
            }
            15 | 16 => {
                // Nodes are killed; the next process of each name starts without a version or with the one its predecessor left.
                for _ in 0..self.nodes.len().div_ceil(10) {
                    let i = self.rng.random_range(0..self.nodes.len());
                    let node = &mut self.nodes[i];
                    let initial = if self.rng.random_bool(0.5) {
                        ConfigVersion::default()
                    } else {
                        node.follower.in_force().clone()
                    };
                    node.highest_revision = initial.revision();
                    node.follower = Follower::new(self.fetch_schedule, self.rng.random(), initial);
                    (node.incarnation, node.building, node.request_timeout_at) =
                        (node.incarnation + 1, false, None);
                    self.counts.killed += 1;
                }
            }
            _ => {
                // A node is paused and resumed later; messages that arrive meanwhile wait in its sockets.
                let i = self.rng.random_range(0..self.nodes.len());
                self.nodes[i].paused_until = self.now + self.rng.random_range(S..15 * S);
                self.counts.paused += 1;
            }
        }
    }

    /// An operator drafts a random change; an invalid one is rejected before it can be agreed.
    fn change_records(&mut self) {
        let newest = self.agreed.last().expect("at least one version is agreed");
        let (mut set, mut remove): (Vec<Record>, Vec<RecordKey>) = (Vec::new(), Vec::new());
        for _ in 0..self.rng.random_range(1..4) {
            let (i, x) = (self.rng.random_range(0..30), f64::from(self.rng.random_range(0..9)));
            match self.rng.random_range(0..12) {
                0..6 => set.push(tenant(&format!("tenant-{i:06x}"), x)),
                6 => set.push(class(&format!("new-{i}"), x)),
                7 => set.push(class("poison", x)),
                8 => set.push(tier(&format!("tier-{}", i % 3), 1 + i as u16)),
                9 => set.push(budget(
                    &format!("b{i}"),
                    BudgetScope::Tier(name(&format!("tier-{}", i % 3))),
                    1 + i,
                )),
                10 => remove.push(key(RecordKind::Class, "poison")),
                _ => remove.push(key(RecordKind::Tenant, &format!("tenant-{i:06x}"))),
            }
        }
        if let Ok(change) = ChangeSet::draft(newest, set, remove, author()) {
            self.agree(change);
        }
    }

    /// Restores the records of an earlier version under a new revision.
    fn rollback(&mut self) {
        let newest = self.agreed.last().expect("at least one version is agreed");
        let to = self.rng.random_range(1..self.agreed.len());
        let records: Vec<Record> = self.agreed[to].records().cloned().collect();
        if let Ok(change) = diff(newest, &records, &RecordKind::ALL, author()) {
            self.agree(change);
            self.counts.rollbacks += 1;
        }
    }
}
