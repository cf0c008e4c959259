//! A simple model of the lease ledger: it recomputes all leases at each entry and caches nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::lease::fair_share::{ShareClaim, weighted_shares};
use crate::fleet::lease::ledger::{BudgetCapacity, BudgetGrant, LeaseRequest, LeaseResponse, LedgerEntry};
use crate::fleet::{BUDGETS_MAX, LeaseHolderId, NAME_MAX};
use crate::zone::ZoneStatusMap;

const LEASES_MAX: usize = 16_384;
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
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ModelBudget {
    /// The capacity as configured.
    configured: BudgetCapacity,
    /// Units that may be leased by the status of the zones.
    capacity: u32,
    min_share: u32,
    leases: BTreeMap<LeaseHolderId, Lease>,
}

/// The model of the ledger, with the same encoding.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelLedger {
    /// Entries applied so far.
    pub epoch: u64,
    budgets: BTreeMap<String, ModelBudget>,
    zones: ZoneStatusMap,
}

fn divide_capacity(capacity: u32, min_share: u32, claims: &[ShareClaim], rotation: u64) -> Vec<u32> {
    let n = claims.len();
    let min_share = if (min_share as usize).saturating_mul(n) <= capacity as usize { min_share } else { 0 };
    if n == 0 {
        Vec::new()
    } else {
        weighted_shares(capacity, min_share, claims, (rotation % n as u64) as usize)
    }
}

impl ModelBudget {
    fn leased(&self) -> u64 {
        self.leases.values().map(|lease| u64::from(lease.amount)).sum()
    }

    /// Computes the target of each lease, in the leases' order. Processes of one name count as one node; the latest gets the
    /// node's share less the units of the others.
    fn targets(&self, rotation: u64) -> Vec<u32> {
        let all: Vec<(&LeaseHolderId, &Lease)> = self.leases.iter().collect();
        let needed = |lease: &Lease| lease.demand.min(lease.amount);
        // A node that leaves and has no successor gets no part of the surplus: it keeps what it needs.
        let nodes: Vec<(&[(&LeaseHolderId, &Lease)], bool)> = all
            .chunk_by(|a, b| a.0.name == b.0.name)
            .map(|node| (node, node.iter().any(|(_, l)| !l.is_leaving)))
            .collect();
        let reserved = nodes.iter().filter(|n| !n.1).flat_map(|n| n.0);
        let reserved = reserved.fold(0u32, |sum, (_, l)| sum.saturating_add(needed(l)));
        let claims: Vec<ShareClaim> = nodes
            .iter()
            .filter(|n| n.1)
            .map(|(node, _)| ShareClaim {
                weight: node.iter().map(|(_, l)| l.weight).max().unwrap_or(1),
                demand: node.iter().fold(0, |sum, (_, l)| sum.saturating_add(l.demand)),
            })
            .collect();
        let mut shares =
            divide_capacity(self.capacity.saturating_sub(reserved), self.min_share, &claims, rotation)
                .into_iter();
        let mut targets = Vec::with_capacity(all.len());
        for (node, is_staying) in nodes {
            let first = targets.len();
            targets.extend(node.iter().map(|(_, l)| needed(l)));
            let latest = (0..node.len()).filter(|&i| !node[i].1.is_leaving);
            let latest = latest.max_by_key(|&i| (node[i].1.created_epoch, node[i].0.incarnation));
            if let Some(latest) = latest.filter(|_| is_staying) {
                let share = shares.next().unwrap_or(0);
                let others = node.iter().enumerate().filter(|(i, _)| *i != latest);
                let others = others.fold(0u32, |sum, (_, (_, l))| sum.saturating_add(l.amount));
                // The units of a former process count for the node, but its successor gets the minimum share at least.
                targets[first + latest] = share.saturating_sub(others).max(self.min_share.min(share));
            }
        }
        targets
    }

    /// Grants free units to the holders that requested in this entry and are below their target.
    fn grant(&mut self, epoch: u64) -> Vec<(LeaseHolderId, u64, u32, u32)> {
        let targets = self.targets(epoch / ROTATION_ENTRIES);
        let (leased, min_share) = (self.leased(), self.min_share.max(1));
        let (mut free, is_over_capacity) =
            (u64::from(self.capacity).saturating_sub(leased) as u32, leased > u64::from(self.capacity));
        let mut leases: Vec<(&LeaseHolderId, &mut Lease)> = self.leases.iter_mut().collect();
        // Units are returned only where a lease is below its target by more than rounding, so that shares are stable.
        let is_demand_unmet = leases.iter().zip(&targets).any(|((_, l), &target)| {
            target > l.amount.saturating_add(target / 10) && (l.amount == 0 || target > l.amount + 1)
        });
        let mut requesters: Vec<usize> =
            (0..leases.len()).filter(|&i| leases[i].1.request_epoch == epoch).collect();
        requesters.sort_by_key(|&i| leases[i].1.amount);
        let mut grants = Vec::with_capacity(requesters.len());
        for i in requesters {
            let (target, (holder, lease)) = (targets[i], &mut leases[i]);
            let most = if lease.has_valid_lease { target } else { target.min(min_share) };
            let granted = most.saturating_sub(lease.amount).min(free);
            if granted > 0 {
                (lease.amount, lease.last_grant_seq) = (lease.amount + granted, lease.seq);
                free -= granted;
            }
            let must_return =
                lease.amount > target && (is_demand_unmet || is_over_capacity || lease.is_leaving);
            grants.push((
                holder.clone(),
                lease.seq,
                lease.amount,
                if must_return { target } else { lease.amount },
            ));
        }
        self.leases.retain(|_, l| !(l.is_leaving && l.amount == 0));
        grants
    }
}

impl ModelLedger {
    /// Applies an entry. Returns the responses to those of its requests that are not outdated.
    #[must_use]
    pub fn apply(&mut self, entry: &LedgerEntry) -> Vec<LeaseResponse> {
        self.epoch += 1;
        match entry {
            LedgerEntry::Capacities(all) => {
                self.set_capacities(all);
                Vec::new()
            }
            LedgerEntry::ExpireLeases(all) => {
                for expired in all {
                    let Some(budget) = self.budgets.get_mut(&expired.budget) else { continue };
                    if budget.leases.get(&expired.holder).is_some_and(|lease| lease.seq == expired.seq) {
                        budget.leases.remove(&expired.holder);
                    }
                }
                Vec::new()
            }
            LedgerEntry::LeaseRequests(requests) => self.grant_leases(requests),
            LedgerEntry::ZoneUpdate(update) => {
                if self.zones.apply(update) {
                    self.update_capacities();
                }
                Vec::new()
            }
            // An order that can't be carried out changes nothing; its reason was reported when it was proposed.
            LedgerEntry::ZoneOrder { zone, order } => {
                if self.zones.apply_order(zone, *order).is_ok() {
                    self.update_capacities();
                }
                Vec::new()
            }
            LedgerEntry::ConfigChange(_) | LedgerEntry::RolloutDecision(_) => Vec::new(),
        }
    }

    /// Computes the capacities from the status of the zones.
    fn update_capacities(&mut self) {
        for budget in self.budgets.values_mut() {
            budget.capacity =
                budget.configured.scope.effective_capacity(budget.configured.capacity, &self.zones);
        }
    }

    /// A budget that is not configured any more keeps its leases until they have expired, and grants nothing.
    fn set_capacities(&mut self, all: &[BudgetCapacity]) {
        self.budgets.retain(|name, budget| {
            !budget.leases.is_empty() || all.iter().any(|configured| configured.budget == *name)
        });
        for budget in self.budgets.values_mut() {
            (budget.configured.capacity, budget.min_share) = (0, 0);
        }
        for configured in all.iter().filter(|c| c.budget.len() <= NAME_MAX).take(BUDGETS_MAX) {
            let budget = self.budgets.entry(configured.budget.clone()).or_default();
            (budget.configured, budget.min_share) = (configured.clone(), configured.min_share);
        }
        self.update_capacities();
    }

    fn grant_leases(&mut self, requests: &[LeaseRequest]) -> Vec<LeaseResponse> {
        let epoch = self.epoch;
        for request in requests.iter().filter(|request| request.holder.name.len() <= NAME_MAX) {
            for demand in request.demands.iter().take(BUDGETS_MAX) {
                let Some(budget) = self.budgets.get_mut(&demand.budget) else { continue };
                if !budget.leases.contains_key(&request.holder) && budget.leases.len() >= LEASES_MAX {
                    continue;
                }
                let lease = budget.leases.entry(request.holder.clone()).or_insert(Lease {
                    amount: 0,
                    demand: 0,
                    seq: 0,
                    weight: 1,
                    last_grant_seq: 0,
                    created_epoch: epoch,
                    request_epoch: epoch,
                    has_valid_lease: false,
                    is_leaving: false,
                });
                // A duplicate, or a request that a later one has overtaken, changes nothing.
                if request.seq <= lease.seq {
                    continue;
                }
                (lease.seq, lease.request_epoch) = (request.seq, epoch);
                // Until the holder has seen its last grant, it may use more than it reports as retained.
                if request.acknowledged_seq >= lease.last_grant_seq {
                    lease.amount = lease.amount.min(demand.retained);
                }
                (lease.demand, lease.weight) = (demand.demand, request.weight);
                (lease.has_valid_lease, lease.is_leaving) = (request.has_valid_lease, request.is_leaving);
            }
        }
        let mut responses: BTreeMap<LeaseHolderId, LeaseResponse> = BTreeMap::new();
        for (name, budget) in &mut self.budgets {
            if !budget.leases.values().any(|l| l.request_epoch == epoch) {
                continue;
            }
            for (holder, seq, amount, target) in budget.grant(epoch) {
                let grant = BudgetGrant { budget: name.clone(), amount, target };
                let empty = || LeaseResponse { holder: holder.clone(), seq, epoch, grants: Vec::new() };
                responses.entry(holder.clone()).or_insert_with(empty).grants.push(grant);
            }
        }
        responses.into_values().collect()
    }
}
