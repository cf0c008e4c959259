use super::*;
use crate::fleet::CapacityScope;
use crate::fleet::lease::ledger::{BudgetCapacity, BudgetDemand, LedgerEntry};

fn request(node: usize, seq: u64, demand: u32) -> LeaseRequest {
    LeaseRequest {
        holder: LeaseHolderId { name: format!("n{node}"), incarnation: 0 },
        seq,
        acknowledged_seq: seq - 1,
        has_valid_lease: true,
        weight: 1,
        is_leaving: false,
        demands: vec![BudgetDemand { budget: "b".to_owned(), retained: 0, demand }],
    }
}

/// Returns a ledger with this many nodes, each with a demand of one unit.
fn ledger(nodes: usize) -> LeaseLedger {
    let mut ledger = LeaseLedger::default();
    let capacity =
        BudgetCapacity { budget: "b".to_owned(), capacity: 9, min_share: 0, scope: CapacityScope::Fixed };
    let _ = ledger.apply(&LedgerEntry::Capacities(vec![capacity]));
    let _ = ledger.apply(&LedgerEntry::LeaseRequests((0..nodes).map(|n| request(n, 1, 1)).collect()));
    ledger
}

fn seqs(requests: Vec<(LeaseRequest, ())>) -> Vec<u64> {
    requests.into_iter().map(|(request, ())| request.seq).collect()
}

/// A renewal is due at once. A request that changes the demand waits for up to 60 ms after the last recomputation, and for
/// less in a small fleet.
#[test]
fn renewals_are_due_at_once_and_recomputations_are_spaced() {
    let (large, small) = (ledger(20_000), ledger(100));
    let mut batcher = RequestBatcher::default();
    let at = |ms: u64| LeaseInstant(1_000_000 + ms * 1_000);
    batcher.push(&large, request(1, 2, 5), ());
    assert_eq!(seqs(batcher.take_due(at(0))), [2], "no recomputation has happened lately");
    batcher.push(&large, request(2, 3, 5), ());
    batcher.push(&large, request(3, 4, 1), ());
    assert_eq!(seqs(batcher.take_due(at(20))), [4], "only the renewal is due");
    batcher.push(&large, request(4, 5, 5), ());
    assert!(batcher.take_due(at(59)).is_empty());
    assert!(!batcher.is_empty());
    assert_eq!(
        seqs(batcher.take_due(at(60))),
        [3, 5],
        "both requests that change the demand are due in one entry"
    );
    assert!(batcher.is_empty());
    batcher.push(&small, request(5, 6, 5), ());
    assert_eq!(seqs(batcher.take_due(at(61))), [6], "a recomputation of 100 leases is due after 1 ms");
}

/// Only the last request of a node is kept, whether it changes the demand or not; one that arrives after a later one does
/// not replace it.
#[test]
fn only_the_last_request_of_a_holder_waits() {
    let ledger = ledger(20_000);
    let mut batcher = RequestBatcher::default();
    batcher.push(&ledger, request(1, 2, 5), ());
    let _ = batcher.take_due(LeaseInstant(1_000_000));
    for seq in [4, 6, 5] {
        batcher.push(&ledger, request(2, seq, 5), ());
    }
    batcher.push(&ledger, request(3, 7, 5), ());
    batcher.push(&ledger, request(3, 8, 1), ());
    assert_eq!(seqs(batcher.take_due(LeaseInstant(1_001_000))), [8]);
    assert_eq!(seqs(batcher.take_due(LeaseInstant(2_000_000))), [6]);
}

/// At most `WAITING_MAX` requests wait, and an entry has at most `REQUESTS_MAX`.
#[test]
fn waiting_requests_and_entries_are_bounded() {
    let ledger = ledger(20_000);
    let mut batcher = RequestBatcher::default();
    batcher.push(&ledger, request(1, 2, 5), ());
    let _ = batcher.take_due(LeaseInstant(1_000_000));
    (0..WAITING_MAX).for_each(|n| batcher.push(&ledger, request(n, 3, 5), ()));
    let sizes: Vec<usize> = (0..5).map(|_| batcher.take_due(LeaseInstant(1_000_001)).len()).collect();
    assert_eq!(sizes, [REQUESTS_MAX, REQUESTS_MAX, REQUESTS_MAX, REQUESTS_MAX, 0]);
    (0..WAITING_MAX).for_each(|n| batcher.push(&ledger, request(n, 4, 5), ()));
    assert_eq!(batcher.remaining_capacity(), REQUESTS_MAX);
    let _ = batcher.take_due(LeaseInstant(1_000_001));
    assert_eq!(batcher.remaining_capacity(), 0, "no room until the requests that are ready were taken");
}
