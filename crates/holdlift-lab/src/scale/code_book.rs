//! A keeper's book by nodes and budgets: the entries that a fleet of that size makes, applied as a keeper applies them.

use std::time::Duration;

use holdlift::Micros;
use holdlift::fleet::datagram::{DatagramCodec, FleetMessage};
use holdlift::fleet::lease::ledger::{BudgetDemand, LeaseRequest, LeaseResponse, LedgerEntry};
use holdlift::fleet::lease::request_batcher::RequestBatcher;
use holdlift::fleet::replica_state::ReplicaState;
use holdlift::fleet::{Budget, BudgetKind, CapacityScope, LeaseBounds, LeaseHolderId, LeaseInstant};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::code::{Figures, cpu, rss_kb};

/// Pieces a node of each whole.
const PIECES: u32 = 20;
/// Entries a second at the most: asks of 20 ms make one.
const ENTRIES: f64 = 50.0;
/// Between two asks of a node, s, with leases of 3 s.
pub(super) const PACE_S: f64 = 0.75;
/// Asks in the entry that all sizes are compared by: those of 900 nodes in 20 ms.
const ASKS: usize = 24;
/// Books for the figure of memory: one alone is little against what an allocator keeps.
const BOOKS: usize = 4;

pub(super) fn bounds() -> LeaseBounds {
    LeaseBounds { lease_duration: Micros::from_millis(3_000), drift: 0.01, transit: Micros::from_millis(100) }
}

pub(super) fn budgets(n: usize, nodes: usize) -> Vec<Budget> {
    (0..n)
        .map(|i| Budget {
            name: format!("budget-{i:02}"),
            kind: BudgetKind::Slots { max_duration: Micros::from_millis(1_500) },
            capacity: nodes as u32 * PIECES,
            min_share: 1,
            scope: CapacityScope::Fixed,
        })
        .collect()
}

/// A fleet's nodes as the book hears them: each says what it holds, as last told, and what it could use.
struct Nodes {
    draws: ChaCha8Rng,
    all: Vec<LeaseRequest>,
    next: usize,
}

impl Nodes {
    fn new(nodes: usize, budgets: &[Budget], seed: u64) -> Self {
        let line = |b: &Budget| BudgetDemand { budget: b.name.clone(), retained: 0, demand: PIECES };
        let ask = |i: usize| LeaseRequest {
            holder: LeaseHolderId {
                name: format!("intake-{i}"),
                incarnation: 1_764_000_000_000_000 + i as u64,
            },
            seq: 0,
            acknowledged_seq: 0,
            has_valid_lease: false,
            weight: 1,
            is_leaving: false,
            demands: budgets.iter().map(line).collect(),
        };
        let all = (0..nodes).map(ask).collect();
        Self { draws: ChaCha8Rng::seed_from_u64(seed), all, next: 0 }
    }

    /// The asks of the next so many nodes, in turn.
    fn entry(&mut self, asks: usize, wants: Wants) -> Vec<LeaseRequest> {
        let mut entry = Vec::with_capacity(asks);
        for _ in 0..asks.min(self.all.len()) {
            let ask = &mut self.all[self.next];
            ask.seq += 1;
            for line in ask.demands.iter_mut().filter(|_| wants == Wants::Others) {
                line.demand = self.draws.random_range(PIECES / 2..PIECES * 2);
            }
            entry.push(ask.clone());
            self.next = (self.next + 1) % self.all.len();
        }
        entry
    }

    fn told(&mut self, all: &[LeaseResponse]) {
        for told in all {
            let i = told.holder.name.strip_prefix("intake-").and_then(|n| n.parse::<usize>().ok());
            let Some(ask) = i.and_then(|i| self.all.get_mut(i)) else { continue };
            (ask.acknowledged_seq, ask.has_valid_lease) = (told.seq, true);
            for (line, told) in ask.demands.iter_mut().zip(&told.grants) {
                line.retained = told.target.min(told.amount);
            }
        }
    }
}

/// What nodes could use, against their asks before.
#[derive(Clone, Copy, PartialEq)]
enum Wants {
    /// Something else in each line, each time: the shares are divided anew by each entry.
    Others,
    /// The same: renewals.
    Same,
}

/// Applies entries of so many asks for a while; processor time each, s.
fn apply(keeper: &mut ReplicaState, nodes: &mut Nodes, asks: usize, wants: Wants, entries: usize) -> f64 {
    let mut took = Duration::ZERO;
    for n in 0..entries {
        let entry = LedgerEntry::LeaseRequests(nodes.entry(asks, wants));
        let start = cpu();
        let told = keeper.apply(LeaseInstant(1_000_000 + n as u64 * 20_000), &entry);
        took += cpu() - start;
        nodes.told(&told);
    }
    took.as_secs_f64() / entries as f64
}

/// The same as a leading keeper gathers them, at a pace; the share of a core.
fn at_pace(keeper: &mut ReplicaState, nodes: &mut Nodes, asks: usize, every_us: u64, entries: u64) -> f64 {
    let (mut gather, mut took) = (RequestBatcher::default(), Duration::ZERO);
    for n in 0..entries {
        let (now, asks) = (LeaseInstant(9_000_000 + n * every_us), nodes.entry(asks, Wants::Others));
        let start = cpu();
        for ask in asks {
            gather.push(keeper.ledger(), ask, ());
        }
        let due: Vec<LeaseRequest> = gather.take_due(now).into_iter().map(|(ask, ())| ask).collect();
        let told =
            if due.is_empty() { Vec::new() } else { keeper.apply(now, &LedgerEntry::LeaseRequests(due)) };
        took += cpu() - start;
        nodes.told(&told);
    }
    took.as_secs_f64() * 1e6 / (entries * every_us) as f64
}

fn filled(nodes: usize, budgets: &[Budget], seed: u64) -> (ReplicaState, Nodes) {
    let mut keeper = ReplicaState::new(bounds(), budgets.to_vec());
    if let Some(wholes) = keeper.pending_capacities() {
        let _ = keeper.apply(LeaseInstant(0), &wholes);
    }
    let mut all = Nodes::new(nodes, budgets, seed);
    // Four rounds: floors, then shares.
    for _ in 0..4 * nodes.div_ceil(256) {
        let told = keeper.apply(LeaseInstant(0), &LedgerEntry::LeaseRequests(all.entry(256, Wants::Others)));
        all.told(&told);
    }
    (keeper, all)
}

pub(super) fn measure(nodes: usize, budgets_n: usize, seed: u64) -> Figures {
    let budgets = budgets(budgets_n, nodes);
    let before = rss_kb();
    let mut books: Vec<_> = (0..BOOKS).map(|i| filled(nodes, &budgets, seed + i as u64)).collect();
    let after = rss_kb();
    let Some((mut keeper, mut all)) = books.pop() else { return Figures::new() };
    let entry_s = apply(&mut keeper, &mut all, ASKS, Wants::Others, 150);
    let renewal_s = apply(&mut keeper, &mut all, ASKS, Wants::Same, 150);
    // What a fleet of that size asks in 20 ms, one ask at the least; fewer entries a second then.
    let asks_per_s = nodes as f64 / PACE_S;
    let asks = ((asks_per_s / ENTRIES).round() as usize).max(1);
    let every_us = (asks as f64 / asks_per_s * 1e6) as u64;
    let own = at_pace(&mut keeper, &mut all, asks, every_us, 300);
    // A leading keeper looks ten times a second for leases that have ended.
    let start = cpu();
    let ended = (0..50).filter(|_| keeper.expired_leases(LeaseInstant(0)).is_some()).count();
    let look_s = (cpu() - start).as_secs_f64() / 50.0;
    debug_assert_eq!(ended, 0);
    let start = cpu();
    let copy = keeper.ledger().clone();
    let copy_s = (cpu() - start).as_secs_f64();
    let snapshot = postcard::to_allocvec(&copy).map_or(0, |b| b.len());
    let entry = LedgerEntry::LeaseRequests(all.entry(ASKS, Wants::Others));
    let entry_bytes = postcard::to_allocvec(&entry).map_or(0, |b| b.len());
    let framing = DatagramCodec::for_fleet("fleet");
    let (mut ask_bytes, mut told_bytes) = (0, 0);
    if let LedgerEntry::LeaseRequests(asks) = &entry {
        ask_bytes = asks
            .first()
            .and_then(|a| framing.encode(&FleetMessage::LeaseRequest(a.clone())).ok())
            .map_or(0, |f| f.len());
    }
    if let Some(told) = keeper.apply(LeaseInstant(9_000_000), &entry).into_iter().next() {
        told_bytes = framing.encode(&FleetMessage::LeaseResponse(told)).map_or(0, |f| f.len());
    }
    let log_per_s = asks_per_s * entry_bytes as f64 / ASKS as f64;
    Figures::from([
        ("entry_of_24_ms".to_owned(), entry_s * 1e3),
        ("renewals_of_24_ms".to_owned(), renewal_s * 1e3),
        ("at_pace_percent".to_owned(), own * 100.0),
        ("look_percent".to_owned(), look_s * 10.0 * 100.0),
        ("copy_ms".to_owned(), copy_s * 1e3),
        // A node's asks and amounts are the load's own, and are in it: some 100 bytes a line.
        ("memory_kb".to_owned(), (after - before) / BOOKS as f64),
        ("snapshot_bytes".to_owned(), snapshot as f64),
        ("log_bytes_per_s".to_owned(), log_per_s),
        ("asks_per_s".to_owned(), asks_per_s),
        ("ask_bytes".to_owned(), ask_bytes as f64),
        ("told_bytes".to_owned(), told_bytes as f64),
        ("in_and_out_bytes_per_s".to_owned(), asks_per_s * (ask_bytes + told_bytes) as f64),
    ])
}
