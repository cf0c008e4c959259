//! One budget of the lease ledger: its capacity, and the lease of each holder.
//!
//! The target of a lease depends on all leases of the budget, so computing it visits all of them. That is done only when
//! something has changed that the targets depend on, and the result is cached beside the leases: a request that changes no
//! target visits its own lease only. The cache is not part of the replicated state and is not serialised. Replicas may fill
//! it at different entries, with the same result.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::LeaseHolderId;
use crate::fleet::lease::fair_share::{ShareClaim, fair_share};
use crate::fleet::lease::ledger::{BudgetCapacity, BudgetDemand, LeaseRequest};

/// Most leases of one budget; further holders get none. It is several times the largest fleet, so that leases of former
/// incarnations fit beside those of new ones.
const LEASES_MAX: usize = 16_384;
/// Entries after which another node is first to get a unit that can't be divided. At some 50 entries a second that is 5 s or
/// more, so shares do not alternate within a lease.
const ROTATION_ENTRIES: u64 = 256;

/// One holder's lease on one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Units reserved for this holder.
    pub amount: u32,
    /// Demand in its last request.
    pub demand: u32,
    /// Number of its last request.
    pub seq: u64,
    weight: u32,
    /// Number of the last request whose response raised the amount.
    last_grant_seq: u64,
    /// The ledger's entry count at the holder's first request. The latest process of a node is the successor.
    created_epoch: u64,
    /// The ledger's entry count at its last request.
    request_epoch: u64,
    has_valid_lease: bool,
    is_leaving: bool,
    #[serde(skip)]
    cached: Cached<LeaseShare>,
}

/// A cached result. It takes no part in comparisons: ledgers are equal whether they have it or not.
#[derive(Clone, Debug, Default)]
struct Cached<T>(T);

impl<T> PartialEq for Cached<T> {
    fn eq(&self, _: &Cached<T>) -> bool {
        true
    }
}

impl<T> Eq for Cached<T> {}

/// The cached share of a lease.
#[derive(Clone, Copy, Debug, Default)]
struct LeaseShare {
    /// Units that the lease should have.
    target: u32,
    /// Other leases' targets depend on this lease's amount: its node leaves, or has more than one process.
    affects_others: bool,
}

/// The inputs of the targets other than the leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ShareInputs {
    capacity: u32,
    min_share: u32,
    rotation: u64,
}

/// Cached totals of a budget.
#[derive(Clone, Debug, Default)]
struct BudgetTotals {
    /// Sum of all amounts; `None` until it is first needed after the ledger was decoded.
    leased: Option<u64>,
    /// The inputs that the targets were computed from; `None` where a lease has since changed in a way that they depend on.
    inputs: Option<ShareInputs>,
    /// Leases below their target by more than rounding.
    below_target: usize,
    /// At the last computation each node had one process and none was leaving, and since then no lease has been added or
    /// removed and no process has started to leave.
    has_one_process_per_node: bool,
    /// Leases recomputed so far.
    leases_recomputed: u64,
}

/// The leases of one budget.
///
/// Invariant: [`BudgetLedger::grant`] raises amounts by no more than capacity less leased units.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct BudgetLedger {
    /// The capacity as configured.
    pub configured: BudgetCapacity,
    /// Units that may be leased by the status of the zones.
    pub capacity: u32,
    pub min_share: u32,
    leases: BTreeMap<LeaseHolderId, Lease>,
    #[serde(skip)]
    cached: Cached<BudgetTotals>,
}

/// The grant of one budget to one holder.
pub(super) struct HolderGrant<'a> {
    pub holder: &'a LeaseHolderId,
    pub seq: u64,
    pub amount: u32,
    pub target: u32,
}

/// The processes of one node, by incarnation.
struct NodeLeases<'a> {
    leases: &'a [(&'a LeaseHolderId, &'a Lease)],
    /// At least one process of the node does not leave.
    is_staying: bool,
}

impl NodeLeases<'_> {
    /// Returns the node's claim, in which its processes count as one.
    fn claim(&self) -> ShareClaim {
        ShareClaim {
            weight: self.leases.iter().map(|(_, lease)| lease.weight).max().unwrap_or(1),
            demand: self.leases.iter().fold(0, |sum, (_, lease)| sum.saturating_add(lease.demand)),
        }
    }

    /// Returns the index of the latest process that does not leave; it takes over the node's share.
    fn successor(&self) -> Option<usize> {
        let staying = (0..self.leases.len()).filter(|&index| !self.leases[index].1.is_leaving);
        staying.max_by_key(|&index| (self.leases[index].1.created_epoch, self.leases[index].0.incarnation))
    }

    /// Returns the units of the node's processes other than the one at `index`.
    fn amount_except(&self, index: usize) -> u32 {
        let others = self.leases.iter().enumerate().filter(|(i, _)| *i != index);
        others.fold(0u32, |sum, (_, (_, lease))| sum.saturating_add(lease.amount))
    }
}

impl Lease {
    fn new(epoch: u64) -> Lease {
        Lease {
            amount: 0,
            demand: 0,
            seq: 0,
            weight: 1,
            last_grant_seq: 0,
            created_epoch: epoch,
            request_epoch: epoch,
            has_valid_lease: false,
            is_leaving: false,
            cached: Cached::default(),
        }
    }

    /// Returns whether the amount is below the target by more than rounding.
    fn is_below_target(&self) -> bool {
        let target = self.cached.0.target;
        target > self.amount.saturating_add(target / 10) && (self.amount == 0 || target > self.amount + 1)
    }

    /// Returns the units that the holder needs of those that it has.
    fn needed(&self) -> u32 {
        self.demand.min(self.amount)
    }

    /// Changes the amount and keeps the totals up to date.
    fn set_amount(&mut self, amount: u32, totals: &mut BudgetTotals) {
        if self.amount == amount {
            return;
        }
        let was_below = self.is_below_target();
        if let Some(leased) = &mut totals.leased {
            *leased = *leased - u64::from(self.amount) + u64::from(amount);
        }
        self.amount = amount;
        totals.below_target =
            totals.below_target + usize::from(self.is_below_target()) - usize::from(was_below);
        if self.cached.0.affects_others {
            totals.inputs = None;
        }
    }
}

impl BudgetTotals {
    /// Marks the targets as outdated after a lease was added or removed or a process started or stopped leaving.
    fn invalidate_processes(&mut self) {
        (self.inputs, self.has_one_process_per_node) = (None, false);
    }
}

impl BudgetLedger {
    /// Returns the sum of all amounts.
    pub fn leased(&self) -> u64 {
        self.cached.0.leased.unwrap_or_else(|| self.sum_amounts())
    }

    fn sum_amounts(&self) -> u64 {
        self.leases.values().map(|lease| u64::from(lease.amount)).sum()
    }

    pub fn leases(&self) -> &BTreeMap<LeaseHolderId, Lease> {
        &self.leases
    }

    /// Returns how many leases this process has recomputed so far.
    pub fn leases_recomputed(&self) -> u64 {
        self.cached.0.leases_recomputed
    }

    /// Removes a lease, if that was its last request.
    pub fn expire(&mut self, holder: &LeaseHolderId, seq: u64) {
        if self.leases.get(holder).is_some_and(|lease| lease.seq == seq) {
            self.remove(holder);
        }
    }

    fn remove(&mut self, holder: &LeaseHolderId) {
        let Some(mut lease) = self.leases.remove(holder) else { return };
        let totals = &mut self.cached.0;
        lease.set_amount(0, totals);
        totals.below_target -= usize::from(lease.is_below_target());
        totals.invalidate_processes();
    }

    /// Records a request's demand on this budget. Returns whether the request gets a response.
    pub fn record_request(&mut self, request: &LeaseRequest, demand: &BudgetDemand, epoch: u64) -> bool {
        if self.cached.0.leased.is_none() {
            self.cached.0.leased = Some(self.sum_amounts());
        }
        let totals = &mut self.cached.0;
        let has_room = self.leases.len() < LEASES_MAX;
        let (lease, is_new) = match self.leases.get_mut(&request.holder) {
            Some(lease) => (lease, false),
            None if has_room => {
                totals.invalidate_processes();
                (self.leases.entry(request.holder.clone()).or_insert_with(|| Lease::new(epoch)), true)
            }
            None => return false,
        };
        // A duplicate, or a request that a later one has overtaken, changes nothing.
        if request.seq <= lease.seq {
            return is_new;
        }
        (lease.seq, lease.request_epoch) = (request.seq, epoch);
        // Until the holder has seen its last grant, it may use more than it reports as retained.
        if request.acknowledged_seq >= lease.last_grant_seq {
            lease.set_amount(lease.amount.min(demand.retained), totals);
        }
        if (lease.demand, lease.weight) != (demand.demand, request.weight) {
            totals.inputs = None;
        }
        if lease.is_leaving != request.is_leaving {
            totals.invalidate_processes();
        }
        (lease.demand, lease.weight) = (demand.demand, request.weight);
        (lease.has_valid_lease, lease.is_leaving) = (request.has_valid_lease, request.is_leaving);
        true
    }

    /// Returns whether a request changes the targets, so that all leases are recomputed.
    pub fn changes_targets(&self, request: &LeaseRequest, demand: &BudgetDemand) -> bool {
        self.leases.get(&request.holder).is_none_or(|lease| {
            (lease.demand, lease.weight, lease.is_leaving)
                != (demand.demand, request.weight, request.is_leaving)
                || lease.cached.0.affects_others
        })
    }

    /// Computes the share of each lease, in the leases' order. Processes of one name count as one node; the latest gets the
    /// node's share less the units of the others.
    fn compute_shares(&self, rotation: u64) -> Vec<LeaseShare> {
        let all: Vec<(&LeaseHolderId, &Lease)> = self.leases.iter().collect();
        let nodes: Vec<NodeLeases> = all
            .chunk_by(|left, right| left.0.name == right.0.name)
            .map(|leases| NodeLeases { leases, is_staying: leases.iter().any(|(_, l)| !l.is_leaving) })
            .collect();
        // A node that leaves and has no successor gets no part of the surplus: it keeps what it needs.
        let leaving = nodes.iter().filter(|node| !node.is_staying).flat_map(|node| node.leases);
        let reserved = leaving.fold(0u32, |sum, (_, lease)| sum.saturating_add(lease.needed()));
        let claims: Vec<ShareClaim> =
            nodes.iter().filter(|node| node.is_staying).map(NodeLeases::claim).collect();
        let available = self.capacity.saturating_sub(reserved);
        let mut node_shares = fair_share(available, self.min_share, &claims, rotation).into_iter();
        let mut shares = Vec::with_capacity(all.len());
        for node in nodes {
            let first = shares.len();
            let affects_others = node.leases.len() > 1 || !node.is_staying;
            shares.extend(
                node.leases.iter().map(|(_, lease)| LeaseShare { target: lease.needed(), affects_others }),
            );
            if let Some(successor) = node.successor().filter(|_| node.is_staying) {
                let share = node_shares.next().unwrap_or(0);
                // The units of a former process count for the node, but its successor gets the minimum share at least.
                shares[first + successor].target =
                    share.saturating_sub(node.amount_except(successor)).max(self.min_share.min(share));
            }
        }
        shares
    }

    /// Computes the shares where there is one process per node: the same result without comparing names.
    fn compute_shares_by_lease(&self, rotation: u64) -> Vec<LeaseShare> {
        let claim = |lease: &Lease| ShareClaim { weight: lease.weight, demand: lease.demand };
        let claims: Vec<ShareClaim> = self.leases.values().map(claim).collect();
        let targets = fair_share(self.capacity, self.min_share, &claims, rotation);
        targets.into_iter().map(|target| LeaseShare { target, affects_others: false }).collect()
    }

    /// Recomputes the targets of all leases where anything that they depend on has changed.
    fn update_targets(&mut self, epoch: u64) {
        let inputs = ShareInputs {
            capacity: self.capacity,
            min_share: self.min_share,
            rotation: epoch / ROTATION_ENTRIES,
        };
        if self.cached.0.inputs == Some(inputs) {
            return;
        }
        let shares = if self.cached.0.has_one_process_per_node {
            self.compute_shares_by_lease(inputs.rotation)
        } else {
            self.compute_shares(inputs.rotation)
        };
        let totals = &mut self.cached.0;
        (totals.inputs, totals.has_one_process_per_node, totals.below_target) = (Some(inputs), true, 0);
        totals.leases_recomputed += shares.len() as u64;
        for (lease, share) in self.leases.values_mut().zip(shares) {
            lease.cached.0 = share;
            totals.has_one_process_per_node &= !share.affects_others;
            totals.below_target += usize::from(lease.is_below_target());
        }
    }

    /// Grants free units to the holders that requested in this entry and are below their target, the smallest lease first.
    pub fn grant<'a>(&mut self, epoch: u64, mut requesters: Vec<&'a LeaseHolderId>) -> Vec<HolderGrant<'a>> {
        self.update_targets(epoch);
        let (leased, capacity) = (self.leased(), u64::from(self.capacity));
        let min_share = self.min_share.max(1);
        let (mut free, is_over_capacity) = (capacity.saturating_sub(leased) as u32, leased > capacity);
        let totals = &mut self.cached.0;
        // Units are returned only where a lease is below its target by more than rounding, so that shares are stable.
        let is_demand_unmet = totals.below_target > 0;
        requesters.sort_unstable();
        requesters.dedup();
        requesters.sort_by_cached_key(|holder| self.leases.get(*holder).map(|lease| lease.amount));
        let (mut grants, mut departed) = (Vec::with_capacity(requesters.len()), Vec::new());
        for holder in requesters {
            let Some(lease) = self.leases.get_mut(holder) else { continue };
            let target = lease.cached.0.target;
            let most = if lease.has_valid_lease { target } else { target.min(min_share) };
            let granted = most.saturating_sub(lease.amount).min(free);
            if granted > 0 {
                lease.last_grant_seq = lease.seq;
                lease.set_amount(lease.amount + granted, totals);
                free -= granted;
            }
            let must_return =
                lease.amount > target && (is_demand_unmet || is_over_capacity || lease.is_leaving);
            let target = if must_return { target } else { lease.amount };
            grants.push(HolderGrant { holder, seq: lease.seq, amount: lease.amount, target });
            if lease.is_leaving && lease.amount == 0 {
                departed.push(holder);
            }
        }
        departed.into_iter().for_each(|holder| self.remove(holder));
        grants
    }
}

#[cfg(test)]
pub(crate) mod golden_tests;
