use super::*;
use crate::config_store::{ChangeAuthor, ChangeSet, Name, Record, TenantRecord};
use crate::config_store::{ClassRecord, RecordKind};
use crate::fleet::CapacityScope;
use crate::fleet::lease::ledger::{BudgetDemand, LeaseRequest};
use crate::interface::{ClassSettings, Effect, Micros};

fn replica_of(budgets: &[&str]) -> ReplicaState {
    let bounds = LeaseBounds { lease_duration: Micros(3_000_000), drift: 0.0, transit: Micros(1) };
    let kind = crate::fleet::BudgetKind::Slots { max_duration: Micros(1_000_000) };
    let budget = |name: &&str| Budget {
        name: (*name).to_owned(),
        kind,
        capacity: 9,
        min_share: 0,
        scope: CapacityScope::Fixed,
    };
    let mut replica = ReplicaState::new(bounds, budgets.iter().map(budget).collect());
    let capacities = replica.pending_capacities().expect("the ledger has no capacities yet");
    let _ = replica.apply(LeaseInstant(0), &capacities);
    replica
}

fn replica() -> ReplicaState {
    let bounds = LeaseBounds { lease_duration: Micros(1), drift: 0.0, transit: Micros(1) };
    ReplicaState::new(bounds, Vec::new())
}

fn class(name: &str) -> Record {
    let number = |value: f64| value.try_into().expect("the value is a valid setting");
    let defaults = ClassSettings::default();
    Record::Class(ClassRecord {
        name: Name::new(name).expect("the name is valid"),
        latency_objective: Micros(1_000),
        objective_stretch: number(0.0),
        deadline: Micros(2_000),
        late_weight: number(0.0),
        weight: number(1.0),
        effect: Effect::Retryable,
        repeat_window: defaults.window,
        may_call_dependencies: false,
        weight_without_call: number(0.0),
    })
}

fn tenant(name: &str, quota: f64) -> Record {
    let quota_per_s = quota.try_into().expect("the quota is a valid setting");
    Record::Tenant(TenantRecord { name: Name::new(name).expect("the name is valid"), quota_per_s })
}

fn entry(change: &ChangeSet) -> LedgerEntry {
    LedgerEntry::ConfigChange(CompressedChange::compress(change).expect("the change fits an entry"))
}

/// Replicas that apply the same entries accept and reject the same ones. A rejected entry leaves the version unchanged, but
/// the ledger counts it as it counts all entries.
#[test]
fn all_replicas_accept_and_reject_alike() {
    let (mut a, mut b) = (replica(), replica());
    let draft = |of: &ReplicaState, set| {
        ChangeSet::draft(of.history().newest(), set, Vec::new(), ChangeAuthor::default())
    };
    let first = draft(&a, vec![class("c"), tenant("t", 1.0)]).expect("the change is valid");
    let mut entries = vec![entry(&first)];
    assert_eq!(a.apply_with_outcome(LeaseInstant(0), &entries[0]).1, Some(Ok(Revision(1))));
    let second = draft(&a, vec![tenant("t", 2.0)]).expect("the change is valid");
    let overtaken = draft(&a, vec![tenant("t", 3.0)]).expect("the change is valid");
    let wrong_digest = ChangeSet { digest: overtaken.digest, ..second.clone() };
    let gap = ChangeSet { base: Revision(9), ..second.clone() };
    entries.extend([&wrong_digest, &gap, &second, &overtaken, &second].map(entry));
    entries.push(LedgerEntry::ConfigChange(
        postcard::from_bytes(&[3, 1, 2, 3]).expect("any bytes are a compressed change"),
    ));
    let outcomes: Vec<_> = entries[1..]
        .iter()
        .map(|entry| {
            a.apply_with_outcome(LeaseInstant(0), entry).1.expect("a configuration change has an outcome")
        })
        .collect();
    let accepted: Vec<bool> = outcomes.iter().map(Result::is_ok).collect();
    assert_eq!(accepted, [false, false, true, false, false, false], "{outcomes:?}");
    let others: Vec<_> = entries
        .iter()
        .map(|entry| {
            b.apply_with_outcome(LeaseInstant(7), entry).1.expect("a configuration change has an outcome")
        })
        .collect();
    assert_eq!(others[1..], outcomes);
    assert_eq!(a.history().newest(), b.history().newest());
    assert_eq!(a.history().newest().revision(), Revision(2));
    assert_eq!((a.ledger().epoch, b.ledger().epoch), (7, 7));
    assert_eq!(a.history().newest().count(RecordKind::Tenant), 1);
}

/// A change that decompresses to more bytes than allowed is rejected before the excess is held in memory.
#[test]
fn a_decompression_bomb_is_rejected() {
    use std::io::Write;
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::best());
    let block = vec![0; 1 << 20];
    for _ in 0..40 {
        encoder.write_all(&block).expect("writing to memory does not fail");
    }
    let bytes = encoder.finish().expect("writing to memory does not fail");
    assert!(bytes.len() < crate::fleet::compressed_change::COMPRESSED_MAX);
    let compressed: CompressedChange =
        postcard::from_bytes(&postcard::to_allocvec(&bytes).expect("bytes are encodable"))
            .expect("a change has the encoding of its bytes");
    assert_eq!(compressed.decompress(), Err(crate::config_store::DecodeError::UnpackedTooLarge));
}

/// Expired leases are found by their age. A new request renews its lease, a duplicate does not. Where more leases have
/// expired than fit an entry, those that expired first are removed first.
#[test]
fn the_oldest_expired_leases_are_removed_first() {
    let mut replica = replica_of(&["a", "b"]);
    let holder = |n: usize| LeaseHolderId { name: format!("n{}", 9_999 - n), incarnation: 0 };
    let request = |n: usize, seq, budget: &str| LeaseRequest {
        holder: holder(n),
        seq,
        acknowledged_seq: seq - 1,
        has_valid_lease: true,
        weight: 1,
        is_leaving: false,
        demands: vec![BudgetDemand { budget: budget.to_owned(), retained: 0, demand: 1 }],
    };
    let apply_requests = |replica: &mut ReplicaState, at, requests| {
        drop(replica.apply(LeaseInstant(at), &LedgerEntry::LeaseRequests(requests)))
    };
    let expired = |replica: &ReplicaState, at| match replica.expired_leases(LeaseInstant(at)) {
        Some(LedgerEntry::ExpireLeases(leases)) => leases,
        _ => Vec::new(),
    };
    // A lease of 3 s and a permit lifetime of 1 s, without clock drift.
    for n in 0..1_000 {
        apply_requests(&mut replica, n as u64, vec![request(n, 1, "a")]);
    }
    apply_requests(&mut replica, 500, vec![request(3, 1, "b")]);
    apply_requests(&mut replica, 3_000_000, vec![request(0, 2, "a"), request(1, 1, "a")]);
    assert_eq!(expired(&replica, 4_000_003), [], "no lease has expired by then, to the microsecond");
    let first: Vec<_> =
        expired(&replica, 4_000_005).into_iter().map(|lease| (lease.holder, lease.seq)).collect();
    assert_eq!(
        first,
        [(holder(2), 1), (holder(1), 1)],
        "the lease of node 0 was renewed; the request of node 1 was only repeated"
    );
    let all = expired(&replica, 5_000_000);
    assert_eq!(all.len(), 512);
    let (of_a, of_b): (Vec<_>, Vec<_>) = all.iter().partition(|lease| lease.budget == "a");
    assert!(
        of_a.iter().all(|lease| (1..=512).any(|n| lease.holder == holder(n))),
        "the entry has the oldest leases"
    );
    assert!(of_b.len() <= 1);
    let _ = replica.apply(LeaseInstant(5_000_000), &LedgerEntry::ExpireLeases(all.clone()));
    let next = expired(&replica, 5_000_000);
    assert_eq!(next.len(), 488, "the next search finds the others, and none twice");
    assert!(next.iter().all(|lease| !all.contains(lease)));
}
