use proptest::prelude::*;

use super::*;

fn claims(demands: &[u32]) -> Vec<ShareClaim> {
    demands.iter().map(|demand| ShareClaim { weight: 1, demand: *demand }).collect()
}

#[test]
fn fair_share_divides_by_demand_weight_and_rotation() {
    type Case = (u32, u32, &'static [u32], u64, &'static [u32]);
    let cases: [Case; 8] = [
        (40, 1, &[100, 100, 100, 100], 0, &[10, 10, 10, 10]),
        (40, 1, &[2, 100, 100, 100], 0, &[2, 13, 13, 12]),
        (40, 1, &[0, 0, 0, 0], 0, &[10, 10, 10, 10]),
        (40, 1, &[28, 4, 4, 4], 0, &[28, 4, 4, 4]),
        (40, 2, &[100, 0, 0, 0], 0, &[34, 2, 2, 2]),
        // Fewer units than nodes: some nodes get none, and `rotation` changes which.
        (2, 1, &[5, 5, 5], 0, &[1, 1, 0]),
        (2, 1, &[5, 5, 5], 1, &[0, 1, 1]),
        (0, 1, &[5, 5], 0, &[0, 0]),
    ];
    for (capacity, min_share, demands, rotation, shares) in cases {
        assert_eq!(
            fair_share(capacity, min_share, &claims(demands), rotation),
            shares,
            "capacity {capacity} among demands {demands:?}"
        );
    }
    let heavy = [ShareClaim { weight: 3, demand: 90 }, ShareClaim { weight: 1, demand: 90 }];
    assert_eq!(fair_share(40, 0, &heavy, 0), [30, 10]);
}

/// Both algorithms compute the same shares, as replicas of any build must compute the same.
fn check_same_shares(
    capacity: u32,
    min_share: u32,
    demands: &[u32],
    first: usize,
) -> Result<(), TestCaseError> {
    let (claims, count) = (claims(demands), demands.len());
    let min_share = if min_share as usize * count <= capacity as usize { min_share } else { 0 };
    let expected = weighted_shares(capacity, min_share, &claims, first % count);
    if let Some(shares) = equal_weight_shares(capacity, min_share, &claims, first % count) {
        prop_assert_eq!(shares, expected);
    }
    Ok(())
}

proptest! {
    /// The shares sum to the capacity. A claim with at least another's demand gets at least its share, but for one unit of
    /// rounding.
    #[test]
    fn shares_sum_to_the_capacity_and_follow_demand(
        capacity in 0u32..2_000,
        min_share in 0u32..4,
        demands in proptest::collection::vec(0u32..200, 1..60),
        rotation in 0u64..100,
    ) {
        let shares = fair_share(capacity, min_share, &claims(&demands), rotation);
        prop_assert_eq!(shares.iter().sum::<u32>(), capacity);
        let fits = min_share as usize * demands.len() <= capacity as usize;
        for (i, a) in shares.iter().enumerate() {
            prop_assert!(!fits || *a >= min_share);
            for (j, b) in shares.iter().enumerate() {
                prop_assert!(demands[i] < demands[j] || *a + 1 >= *b, "{:?} of {:?}", shares, demands);
            }
        }
    }

    #[test]
    fn equal_weight_shares_equal_the_weighted_ones(
        capacity in 0u32..2_000,
        min_share in 0u32..4,
        demands in proptest::collection::vec(0u32..200, 1..60),
        first in 0usize..60,
    ) {
        check_same_shares(capacity, min_share, &demands, first)?;
    }

    /// Large values and many nodes make the fractions of a unit as small as rounding errors.
    #[test]
    fn equal_weight_shares_equal_the_weighted_ones_at_any_size(
        capacity in any::<u32>(),
        shift in 0u32..32,
        min_share in 0u32..3,
        demands in proptest::collection::vec((any::<u32>(), 0u32..32), 1..1_500),
        first in 0usize..1_500,
    ) {
        let demands: Vec<u32> = demands.into_iter().map(|(demand, shift)| demand >> shift).collect();
        check_same_shares(capacity >> shift, min_share, &demands, first)?;
    }
}
