use proptest::prelude::*;

use super::*;
use crate::fleet::CapacityScope;
use crate::fleet::lease::ledger::BudgetGrant;

const LEASE_DURATION: u64 = 1_000;
const TRANSIT: u64 = 100;

fn lease_holder() -> LeaseHolder {
    let bounds = LeaseBounds { lease_duration: Micros(LEASE_DURATION), drift: 0.0, transit: Micros(TRANSIT) };
    let kind = BudgetKind::Slots { max_duration: Micros(5_000) };
    let budgets =
        [Budget { name: "b".to_owned(), kind, capacity: 9, min_share: 1, scope: CapacityScope::Fixed }];
    LeaseHolder::new(
        LeaseInstant(0),
        LeaseHolderId { name: "n".to_owned(), incarnation: 1 },
        1,
        bounds,
        &budgets,
    )
}

fn accept_grant(holder: &mut LeaseHolder, seq: u64, amount: u32, target: u32) -> bool {
    let grants = vec![BudgetGrant { budget: "b".to_owned(), amount, target }];
    holder.accept_response(&LeaseResponse { holder: holder.holder().clone(), seq, epoch: seq, grants })
}

#[test]
fn units_in_use_are_retained_and_outdated_responses_change_nothing() {
    let mut holder = lease_holder();
    assert_eq!(
        holder.acquire(LeaseInstant(0), &[0]),
        Err(PermitError::LeaseExpired(0)),
        "there is no lease yet"
    );
    let _ = holder.next_request(LeaseInstant(0));
    assert!(accept_grant(&mut holder, 1, 3, 3));
    for at in [10, 20, 25] {
        let _ = holder.next_request(LeaseInstant(at));
    }
    assert!(accept_grant(&mut holder, 3, 3, 3));
    let permits: Vec<Permit> =
        (0..3).map(|_| holder.acquire(LeaseInstant(30), &[0]).expect("three units are granted")).collect();
    assert_eq!(holder.acquire(LeaseInstant(30), &[0]), Err(PermitError::Exhausted(0)));
    assert!(!accept_grant(&mut holder, 2, 9, 9), "a response to an older request than the accepted one");
    assert!(!accept_grant(&mut holder, 3, 9, 9), "a duplicate of the accepted response");
    assert!(accept_grant(&mut holder, 4, 3, 1), "two units are to be returned");
    assert_eq!(
        holder.next_request(LeaseInstant(40)).demands[0].retained,
        3,
        "all three units are still in use"
    );
    holder.release(&permits[0], ReleaseEvidence::Answered);
    holder.release(&permits[1], ReleaseEvidence::Unknown);
    assert_eq!(holder.next_request(LeaseInstant(50)).demands[0].retained, 2, "only one call's end is proved");
    assert_eq!(
        holder.next_request(LeaseInstant(5_040)).demands[0].retained,
        0,
        "the lease has expired and the permit lifetimes have passed"
    );
}

proptest! {
    /// No permit is granted after the lease has expired, and a permit's send deadline is neither after the lease's expiry
    /// nor more than half the transit time after its grant.
    #[test]
    fn no_permit_outlives_the_lease_or_half_the_transit_time(requested_at in 0u64..5_000, delay in 0u64..3_000, at in 0u64..9_000) {
        let mut holder = lease_holder();
        let _ = holder.next_request(LeaseInstant(requested_at));
        prop_assert!(accept_grant(&mut holder, 1, 4, 4));
        let now = LeaseInstant(requested_at + delay.min(at));
        match holder.acquire(now, &[0]) {
            Ok(permit) => {
                prop_assert!(now < LeaseInstant(requested_at + LEASE_DURATION) && permit.send_deadline <= LeaseInstant(requested_at + LEASE_DURATION));
                prop_assert!(permit.send_deadline <= now + Micros(TRANSIT / 2));
            }
            Err(error) => {
                prop_assert_eq!(error, PermitError::LeaseExpired(0));
                prop_assert!(now >= LeaseInstant(requested_at + LEASE_DURATION));
            }
        }
    }
}
