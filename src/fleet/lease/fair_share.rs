//! Divides a capacity among claims: weighted max-min fairness in units that can't be divided.
//!
//! A claim with little demand gets its demand; the rest goes to the others by weight (the rule of Bertsekas and Gallager,
//! "Data Networks", and of Raghavan et al., "Cloud Control with Distributed Rate Limiting", 2007). Capacity beyond all
//! demand is divided by weight too, so that a rise in demand can be served at once.
//!
//! Invariant: the shares sum to the capacity, and depend on the arguments alone, in integer arithmetic: replicas of any
//! build compute the same.

/// Parts of a unit, in which fractions are counted.
const PARTS_PER_UNIT: u128 = 1 << 20;
/// Fractions that differ by fewer parts than this count as equal, as rounding may cause the difference.
const EQUAL_PARTS: u128 = 1 << 12;

/// One node's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareClaim {
    /// Weight against the other claims; 0 counts as 1.
    pub weight: u32,
    /// Units that the node could use.
    pub demand: u32,
}

impl ShareClaim {
    fn weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }

    fn demand_above(&self, min_share: u32) -> u64 {
        u64::from(self.demand.saturating_sub(min_share))
    }
}

/// Returns each claim's share, in the claims' order; they sum to `capacity` where there is a claim.
///
/// Each claim gets `min_share` at least, if the capacity suffices for all. `rotation` selects the claim that is first to
/// get a unit that can't be divided; with a changing value no claim is always last.
#[must_use]
pub fn fair_share(capacity: u32, min_share: u32, claims: &[ShareClaim], rotation: u64) -> Vec<u32> {
    if claims.is_empty() {
        return Vec::new();
    }
    let first = (rotation % claims.len() as u64) as usize;
    let suffices = (min_share as usize).saturating_mul(claims.len()) <= capacity as usize;
    let min_share = if suffices { min_share } else { 0 };
    let is_weight_equal = claims.iter().all(|claim| claim.weight() == claims[0].weight());
    let shares = if is_weight_equal { equal_weight_shares(capacity, min_share, claims, first) } else { None };
    shares.unwrap_or_else(|| weighted_shares(capacity, min_share, claims, first))
}

/// The level up to which every claim's demand is met, where all weights are equal.
struct DemandLevel {
    level: u64,
    /// Claims with more demand than the level.
    claims_above: u64,
    /// Units left for those claims.
    left: u64,
}

/// Raises the level, from an even division on, until claims with less demand than it leave no further units to the others.
fn find_level(units: u64, demands: &[u64]) -> DemandLevel {
    let count = demands.len() as u64;
    let mut level = units / count;
    loop {
        let within = demands.iter().filter(|demand| **demand <= level);
        let (met, sum) = within.fold((0u64, 0u64), |(met, sum), demand| (met + 1, sum + demand));
        let (claims_above, left) = (count - met, units - sum);
        match left.checked_div(claims_above) {
            Some(higher) if higher > level => level = higher,
            _ => return DemandLevel { level, claims_above, left },
        }
    }
}

/// Computes the same shares as [`weighted_shares`] without sorting, where all weights are equal. Returns `None` in the rare
/// case in which it can't determine which claims rounding favours.
fn equal_weight_shares(
    capacity: u32,
    min_share: u32,
    claims: &[ShareClaim],
    first: usize,
) -> Option<Vec<u32>> {
    let count = claims.len() as u64;
    let mut demands: Vec<u64> = claims.iter().map(|claim| claim.demand_above(min_share)).collect();
    let units = u64::from(capacity) - u64::from(min_share) * count;
    let DemandLevel { level, claims_above, left } = find_level(units, &demands);
    let (unit, equal) = (PARTS_PER_UNIT as u64, EQUAL_PARTS as u64);
    let rounded_fraction = |parts: u64| (parts % unit + equal / 2) / equal;
    // Claims above the level divide the units that are left. Without such claims, all claims divide them, in addition to
    // their demand. The first claims may have one part more than the others, which must not change the result.
    let receivers = if claims_above > 0 { claims_above } else { count };
    let parts = left * unit / receivers;
    let is_uneven = claims_above > 0 && !(left * unit).is_multiple_of(receivers);
    let differs =
        rounded_fraction(parts) != rounded_fraction(parts + 1) || parts / unit != (parts + 1) / unit;
    if is_uneven && differs {
        return None;
    }
    let mut missing = left % receivers;
    // Units lost in rounding go to the largest fractions first, and to all claims where no fraction is left.
    let favours_all = claims_above == 0 || rounded_fraction(parts) == 0;
    let mut shares = Vec::with_capacity(claims.len());
    // Each demand is replaced by 1 where the claim may get a unit lost in rounding, else by 0.
    for demand in &mut demands {
        let is_above = *demand > level;
        let units = match (is_above, claims_above) {
            (true, _) => parts / unit,
            (false, 0) => *demand + parts / unit,
            (false, _) => *demand,
        };
        shares.push(min_share + u32::try_from(units).ok()?);
        *demand = u64::from(favours_all || is_above);
    }
    for index in (first..claims.len()).chain(0..first) {
        if missing > 0 && demands[index] == 1 {
            shares[index] += 1;
            missing -= 1;
        }
    }
    (missing == 0).then_some(shares)
}

/// Computes the shares for any weights, by sorting the claims.
pub(super) fn weighted_shares(
    capacity: u32,
    min_share: u32,
    claims: &[ShareClaim],
    first: usize,
) -> Vec<u32> {
    let parts = weighted_parts(capacity, min_share, claims);
    let mut shares: Vec<u32> = parts.iter().map(|part| min_share + (part / PARTS_PER_UNIT) as u32).collect();
    let missing = capacity - shares.iter().sum::<u32>();
    let count = claims.len();
    let place = |index: usize| (index + count - first) % count;
    let rounded_fraction = |index: usize| (parts[index] % PARTS_PER_UNIT + EQUAL_PARTS / 2) / EQUAL_PARTS;
    let mut order: Vec<usize> = (0..count).collect();
    order.sort_by(|&left, &right| {
        rounded_fraction(right).cmp(&rounded_fraction(left)).then(place(left).cmp(&place(right)))
    });
    for nth in 0..missing as usize {
        shares[order[nth % count]] += 1;
    }
    shares
}

/// Returns each claim's part of the capacity above the minimum shares, in parts of a unit.
fn weighted_parts(capacity: u32, min_share: u32, claims: &[ShareClaim]) -> Vec<u128> {
    let demand = |index: usize| u128::from(claims[index].demand_above(min_share)) * PARTS_PER_UNIT;
    let weight = |index: usize| claims[index].weight();
    // In ascending order of demand by weight, each claim gets its demand. From the first whose demand can't be met, each
    // gets what is left in proportion to its weight.
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|&left, &right| {
        (demand(left) * weight(right)).cmp(&(demand(right) * weight(left))).then(left.cmp(&right))
    });
    let all_weights = claims.iter().map(ShareClaim::weight).sum::<u128>();
    let above_min = u128::from(capacity) - u128::from(min_share) * claims.len() as u128;
    let (mut left, mut weights_left) = (above_min * PARTS_PER_UNIT, all_weights);
    let mut parts = vec![0u128; claims.len()];
    for &index in &order {
        parts[index] = demand(index).min(left * weight(index) / weights_left);
        left -= parts[index];
        weights_left -= weight(index);
    }
    let surplus = left;
    for (part, claim) in parts.iter_mut().zip(claims) {
        *part += surplus * claim.weight() / all_weights;
    }
    parts
}

#[cfg(test)]
mod tests;
