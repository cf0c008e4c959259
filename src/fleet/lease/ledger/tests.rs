mod plain;

use proptest::prelude::*;

use super::*;
use crate::zone::{ZoneState, ZoneStatus};

fn holder(n: u8) -> LeaseHolderId {
    LeaseHolderId { name: format!("n{}", n / 2), incarnation: u64::from(n % 2) }
}

fn request(n: u8, seq: u64, acknowledged_seq: u64, retained: u32, demand: u32) -> LeaseRequest {
    let demands = vec![BudgetDemand { budget: "b".to_owned(), retained, demand }];
    LeaseRequest {
        holder: holder(n),
        seq,
        acknowledged_seq,
        has_valid_lease: acknowledged_seq > 0,
        weight: 1,
        is_leaving: false,
        demands,
    }
}

fn ledger(capacity: u32) -> LeaseLedger {
    let mut ledger = LeaseLedger::default();
    let _ = ledger.apply(&LedgerEntry::Capacities(vec![BudgetCapacity {
        budget: "b".to_owned(),
        capacity,
        min_share: 1,
        scope: CapacityScope::Fixed,
    }]));
    ledger
}

/// The request number, amount and target of the first grant of each response.
fn first_grants(responses: &[LeaseResponse]) -> Vec<(u64, u32, u32)> {
    let first =
        |response: &LeaseResponse| (response.seq, response.grants[0].amount, response.grants[0].target);
    responses.iter().map(first).collect()
}

#[test]
fn a_lease_grows_and_shrinks_by_requests_and_responses() {
    let mut ledger = ledger(10);
    let mut apply_request =
        |request: LeaseRequest| first_grants(&ledger.apply(&LedgerEntry::LeaseRequests(vec![request])));
    assert_eq!(
        apply_request(request(0, 1, 0, 0, 8)),
        [(1, 1, 1)],
        "the minimum share, as the holder may not receive responses"
    );
    assert_eq!(
        apply_request(request(0, 2, 1, 1, 8)),
        [(2, 10, 10)],
        "the whole capacity, as there is no other demand"
    );
    assert_eq!(apply_request(request(0, 2, 1, 1, 8)), [], "a duplicate request has no response");
    assert_eq!(apply_request(request(0, 1, 1, 0, 0)), [], "an older request has no response");
    assert_eq!(
        apply_request(request(0, 3, 1, 0, 8)),
        [(3, 10, 10)],
        "the response to request 2 may still be on its way, so the amount is not reduced"
    );
    assert_eq!(apply_request(request(2, 1, 0, 0, 8)), [(1, 0, 0)], "no unit is free for another node");
    assert_eq!(
        apply_request(request(0, 4, 3, 10, 8)),
        [(4, 10, 5)],
        "half of the units are to be returned to the other node"
    );
    assert_eq!(
        apply_request(request(0, 5, 4, 7, 8)),
        [(5, 7, 5)],
        "two units above the target are still in use"
    );
    assert_eq!(apply_request(request(2, 2, 1, 0, 8)), [(2, 3, 3)], "the other node gets the returned units");
    let expire = |seq| {
        LedgerEntry::ExpireLeases(vec![ExpiredLease { holder: holder(0), budget: "b".to_owned(), seq }])
    };
    let _ = ledger.apply(&expire(4));
    assert!(ledger.lease("b", &holder(0)).is_some(), "the lease was renewed after request 4");
    let _ = ledger.apply(&expire(5));
    assert!(ledger.lease("b", &holder(0)).is_none());
}

#[test]
fn processes_of_one_name_share_one_claim() {
    let mut ledger = ledger(12);
    // Each process acknowledges the last response; after 6 rounds the amounts are stable.
    let mut seqs = [0u64; 3];
    for _ in 0..6 {
        for (i, n) in [0u8, 1, 2].into_iter().enumerate() {
            seqs[i] += 1;
            let amount = ledger.lease("b", &holder(n)).map_or(0, |lease| lease.amount);
            // The former process of n0 needs two units and returns the others.
            let (demand, retained) = if n == 0 { (2, amount.min(2)) } else { (9, amount) };
            let _ = ledger.apply(&LedgerEntry::LeaseRequests(vec![request(
                n,
                seqs[i],
                seqs[i] - 1,
                retained,
                demand,
            )]));
        }
    }
    let amount = |n| ledger.lease("b", &holder(n)).map_or(0, |lease| lease.amount);
    let amounts = [amount(0), amount(1), amount(2)];
    assert_eq!(amounts[0] + amounts[1], amounts[2], "units of n0's two processes and of n1: {amounts:?}");
}

/// A zone that is out reduces a capacity by its part; a returning zone adds to it in proportion to its weight.
#[test]
fn capacities_follow_the_zone_status() {
    let mut ledger = LeaseLedger::default();
    let configured = |budget: &str, capacity, scope| BudgetCapacity {
        budget: budget.to_owned(),
        capacity,
        min_share: 0,
        scope,
    };
    let all = vec![
        configured("at-once", 240, CapacityScope::Zones),
        configured("starts", 50, CapacityScope::Fixed),
        configured("zone/a", 80, CapacityScope::Zone("a".to_owned())),
    ];
    let _ = ledger.apply(&LedgerEntry::Capacities(all.clone()));
    let table = [
        (ZoneState::In, 1_000, [240, 50, 0]),
        (ZoneState::Suspect, 1_000, [240, 50, 0]),
        (ZoneState::Out, 0, [160, 50, 0]),
        (ZoneState::Probing, 0, [160, 50, 2]),
        (ZoneState::Returning, 50, [164, 50, 4]),
        (ZoneState::Returning, 500, [200, 50, 40]),
    ];
    for (epoch, (state, weight, capacities)) in table.into_iter().enumerate() {
        let a = ZoneStatus { state, weight, ..ZoneStatus::new("a") };
        let update = ZoneStatusUpdate {
            base_epoch: epoch as u64,
            statuses: vec![a, ZoneStatus::new("b"), ZoneStatus::new("c")],
        };
        let _ = ledger.apply(&LedgerEntry::ZoneUpdate(update.clone()));
        let _ = ledger.apply(&LedgerEntry::ZoneUpdate(update));
        assert_eq!(ledger.usage().map(|usage| usage.1).collect::<Vec<_>>(), capacities, "{state}");
        assert_eq!(ledger.capacities().collect::<Vec<_>>(), all, "the configured capacities stay");
    }
    let _ = ledger.apply(&LedgerEntry::ZoneOrder { zone: "a".to_owned(), order: ZoneOrder::Leave });
    assert_eq!(ledger.usage().map(|usage| usage.1).collect::<Vec<_>>(), [160, 50, 0]);
}

proptest! {
    /// Requests in any order, also outdated ones, and the expiry of leases never bring the leased units above the capacity.
    #[test]
    fn leased_units_never_exceed_the_capacity(
        capacity in 0u32..30,
        entries in proptest::collection::vec(
            (0u8..12, 0u64..40, 0u64..40, 0u32..40, 0u32..40, any::<bool>(), 0u8..8), 0..200),
    ) {
        let mut ledger = ledger(capacity);
        for (n, seq, acknowledged_seq, retained, demand, leaving, kind) in entries {
            let _ = ledger.apply(&if kind == 0 {
                LedgerEntry::ExpireLeases(vec![ExpiredLease { holder: holder(n), budget: "b".to_owned(), seq }])
            } else {
                LedgerEntry::LeaseRequests(vec![LeaseRequest { is_leaving: leaving, ..request(n, seq, acknowledged_seq, retained, demand) }])
            });
            for (_, capacity, leased) in ledger.usage() {
                prop_assert!(leased <= u64::from(capacity));
            }
        }
    }
}

/// A random step of the comparison with the model.
#[derive(Clone, Debug)]
enum LedgerStep {
    /// A node requests the budgets in the bit set `budgets`; a repeated request has the number of the last one.
    Request {
        node: u8,
        budgets: u8,
        demand: u8,
        retained: Retained,
        weight: u8,
        toggles_leaving: bool,
        is_repeated: bool,
    },
    /// Another process of the node starts.
    Restart { node: u8 },
    /// The node's lease on a budget expires; `is_outdated` where a later request has renewed it.
    Expire { node: u8, budget: u8, is_outdated: bool },
    /// The requests since the last such step are applied as one entry.
    ApplyRequests,
    /// The configured capacities change.
    SetCapacities { capacities: [u8; 3], min_share: u8 },
    /// The status of a zone changes; `weight` is the index of its new state and weight.
    UpdateZone { weight: u8 },
    /// The ledger is decoded from its bytes, as by a replica that loads another replica's ledger.
    Reload,
}

/// The units that a request reports as retained.
#[derive(Clone, Copy, Debug)]
enum Retained {
    /// All that were granted.
    AsGranted,
    /// So many less than were granted.
    LessBy(u8),
    /// All that were granted, in a request that does not acknowledge the last responses.
    Unacknowledged,
}

fn ledger_step() -> impl Strategy<Value = LedgerStep> {
    let retained = prop_oneof![
        4 => Just(Retained::AsGranted),
        1 => (0u8..9).prop_map(Retained::LessBy),
        1 => Just(Retained::Unacknowledged),
    ];
    // Demands have few values, so that many requests change no target.
    let requests =
        (0u8..28, 1u8..8, 0u8..4, retained, prop_oneof![9 => Just(1u8), 1 => 0u8..4], 0u8..40, 0u8..30);
    prop_oneof![
        40 => requests.prop_map(|(node, budgets, demand, retained, weight, toggles_leaving, is_repeated)| LedgerStep::Request {
            node, budgets, demand, retained, weight, toggles_leaving: toggles_leaving == 0, is_repeated: is_repeated == 0
        }),
        20 => Just(LedgerStep::ApplyRequests),
        1 => (0u8..24).prop_map(|node| LedgerStep::Restart { node }),
        2 => (0u8..24, 0u8..3, any::<bool>()).prop_map(|(node, budget, is_outdated)| LedgerStep::Expire { node, budget, is_outdated }),
        1 => (any::<[u8; 3]>(), 0u8..3).prop_map(|(capacities, min_share)| LedgerStep::SetCapacities { capacities, min_share }),
        1 => (0u8..3).prop_map(|weight| LedgerStep::UpdateZone { weight }),
        1 => Just(LedgerStep::Reload),
    ]
}

const BUDGETS: [&str; 3] = ["a", "b", "c"];

fn capacities(capacities: [u8; 3], min_share: u8) -> LedgerEntry {
    let scopes = [CapacityScope::Fixed, CapacityScope::Zones, CapacityScope::Zone("z".to_owned())];
    let configured = |((budget, capacity), scope): ((&str, u8), CapacityScope)| BudgetCapacity {
        budget: budget.to_owned(),
        capacity: capacity.into(),
        min_share: min_share.into(),
        scope,
    };
    LedgerEntry::Capacities(BUDGETS.into_iter().zip(capacities).zip(scopes).map(configured).collect())
}

/// Node names. The first four of them have two processes that both send requests.
const NODES: u8 = 24;
/// Incarnations from this one on are of a second process.
const SECOND_PROCESS: u64 = 1_000;

fn process(node: u8, incarnation: u64) -> LeaseHolderId {
    let second = if node < NODES { 0 } else { SECOND_PROCESS };
    LeaseHolderId { name: format!("n{}", node % NODES), incarnation: second + incarnation }
}

/// The state of a requesting process: its last request, the last response that it applied, and the units granted to it.
#[derive(Clone, Default)]
struct Requester {
    incarnation: u64,
    seq: u64,
    acknowledged_seq: u64,
    granted: BTreeMap<String, u32>,
    is_leaving: bool,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: ProptestConfig::default().cases / 2, ..ProptestConfig::default() })]
    /// After any entries the ledger and its responses equal, byte for byte, those of a model that recomputes all leases at
    /// each entry. Replicas of any build therefore compute the same state.
    #[test]
    fn the_ledger_equals_the_simple_model(start in any::<[u8; 3]>(), steps in proptest::collection::vec(ledger_step(), 1..600)) {
        let (mut ledger, mut model) = (LeaseLedger::default(), plain::ModelLedger::default());
        let (mut nodes, mut requests) = (vec![Requester::default(); 28], Vec::new());
        let mut zone_epoch = 0;
        for step in std::iter::once(LedgerStep::SetCapacities { capacities: start, min_share: 1 }).chain(steps) {
            let entry = match step {
                LedgerStep::Request { node, budgets, demand, retained, weight, toggles_leaving, is_repeated } => {
                    let n = &mut nodes[usize::from(node)];
                    n.is_leaving ^= toggles_leaving;
                    n.seq += u64::from(!is_repeated);
                    let demand_on = |(index, budget): (usize, &&str)| {
                        let granted = n.granted.get(*budget).copied().unwrap_or(0);
                        let retained = match retained {
                            Retained::LessBy(by) => granted.saturating_sub(by.into()),
                            Retained::AsGranted | Retained::Unacknowledged => granted,
                        };
                        (budgets >> index & 1 == 1).then(|| BudgetDemand { budget: (*budget).to_owned(), retained, demand: u32::from(demand) * 7 })
                    };
                    let demands = BUDGETS.iter().enumerate().filter_map(demand_on).collect();
                    requests.push(LeaseRequest {
                        holder: process(node, n.incarnation),
                        seq: n.seq,
                        acknowledged_seq: if matches!(retained, Retained::Unacknowledged) { n.acknowledged_seq.saturating_sub(2) } else { n.acknowledged_seq },
                        has_valid_lease: n.acknowledged_seq > 0,
                        weight: weight.into(),
                        is_leaving: n.is_leaving,
                        demands,
                    });
                    continue;
                }
                LedgerStep::Restart { node } => {
                    let n = &mut nodes[usize::from(node)];
                    *n = Requester { incarnation: n.incarnation + 1, ..Requester::default() };
                    continue;
                }
                LedgerStep::Reload => {
                    ledger = postcard::from_bytes(&postcard::to_allocvec(&ledger).expect("the ledger is encodable")).expect("an encoded ledger is decodable");
                    continue;
                }
                LedgerStep::ApplyRequests => LedgerEntry::LeaseRequests(std::mem::take(&mut requests)),
                LedgerStep::Expire { node, budget, is_outdated } => {
                    let n = &nodes[usize::from(node)];
                    let holder = process(node, n.incarnation);
                    let budget = BUDGETS[usize::from(budget)].to_owned();
                    LedgerEntry::ExpireLeases(vec![ExpiredLease { holder, budget, seq: n.seq - u64::from(is_outdated && n.seq > 0) }])
                }
                LedgerStep::SetCapacities { capacities: all, min_share } => capacities(all, min_share),
                LedgerStep::UpdateZone { weight } => {
                    let (state, weight) = [(ZoneState::In, 1_000), (ZoneState::Out, 0), (ZoneState::Returning, 400)][usize::from(weight)];
                    zone_epoch += 1;
                    LedgerEntry::ZoneUpdate(ZoneStatusUpdate { base_epoch: zone_epoch - 1, statuses: vec![ZoneStatus { state, weight, ..ZoneStatus::new("z") }, ZoneStatus::new("y")] })
                }
            };
            let responses = ledger.apply(&entry);
            prop_assert_eq!(&responses, &model.apply(&entry));
            prop_assert_eq!(postcard::to_allocvec(&ledger), postcard::to_allocvec(&model));
            for response in responses {
                let n = response.holder.name[1..].parse::<u8>().expect("a holder's name is n and its node's number");
                let n = if response.holder.incarnation < SECOND_PROCESS { n } else { n + NODES };
                if response.holder == process(n, nodes[usize::from(n)].incarnation) {
                    let n = usize::from(n);
                    nodes[n].acknowledged_seq = response.seq;
                    nodes[n].granted.extend(response.grants.into_iter().map(|grant| (grant.budget, grant.target.min(grant.amount))));
                }
            }
            for (budget, _, leased) in ledger.usage() {
                let leases = ledger.leases().filter(|(b, ..)| *b == budget);
                prop_assert_eq!(leased, leases.map(|(_, _, lease)| u64::from(lease.amount)).sum::<u64>());
            }
        }
    }
}

/// A request that changes no target recomputes no other lease, whatever their number. A request with another demand causes
/// one recomputation of all leases of its budget per entry.
#[test]
fn only_requests_that_change_targets_recompute_all_leases() {
    let mut ledger = ledger(4_000);
    let name = |n: usize| LeaseHolderId { name: format!("n{n}"), incarnation: 0 };
    let renewal =
        |n: usize, seq, demand| LeaseRequest { holder: name(n), ..request(0, seq, seq - 1, 20, demand) };
    for seq in 1..4 {
        let _ = ledger.apply(&LedgerEntry::LeaseRequests((0..200).map(|n| renewal(n, seq, 15)).collect()));
    }
    let recomputed = ledger.leases_recomputed();
    for n in 0..100 {
        assert_eq!(ledger.recompute_cost(&renewal(n, 4, 15)), 0);
        let responses = ledger.apply(&LedgerEntry::LeaseRequests(vec![renewal(n, 4, 15)]));
        assert_eq!(responses[0].grants[0].amount, 20);
    }
    assert_eq!(ledger.leases_recomputed(), recomputed, "renewals recompute no lease");
    assert_eq!(ledger.recompute_cost(&renewal(100, 4, 16)), 200);
    let _ = ledger.apply(&LedgerEntry::LeaseRequests((100..200).map(|n| renewal(n, 4, 16)).collect()));
    assert_eq!(ledger.leases_recomputed(), recomputed + 200, "all leases once in an entry");
    let _ = ledger.apply(&LedgerEntry::ExpireLeases(vec![ExpiredLease {
        holder: name(7),
        budget: "b".to_owned(),
        seq: 4,
    }]));
    let _ = ledger.apply(&LedgerEntry::LeaseRequests(vec![renewal(1, 5, 15)]));
    assert_eq!(
        ledger.leases_recomputed(),
        recomputed + 399,
        "the expired lease's units are divided among the 199 others"
    );
}
