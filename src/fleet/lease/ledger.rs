//! The replicated ledger of leases: how much of each fleet-wide budget each process holds.
//!
//! All replicas apply the same entries in the same order and reach the same state, so no clock is read here.
//!
//! Invariant: an amount grows only in [`LeaseLedger::apply`] on requests, by no more than the free units. It shrinks only by
//! what its holder reports as retained once it has seen the last grant, or by an [`LedgerEntry::ExpireLeases`] that no later
//! request has overtaken. Other modules decide which replica proposes entries, and when.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config_store::RolloutDecision;
use crate::fleet::compressed_change::CompressedChange;
use crate::fleet::lease::budget::{BudgetLedger, Lease};
use crate::fleet::{BUDGETS_MAX, CapacityScope, LeaseHolderId, NAME_MAX};
use crate::zone::{ZoneOrder, ZoneStatusMap, ZoneStatusUpdate};

/// A process's request for leases or for their renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The process that requests.
    pub holder: LeaseHolderId,
    /// Number of the request, from 1.
    pub seq: u64,
    /// The process accepts no response to a request up to this number: it has applied that response, or renounced it.
    pub acknowledged_seq: u64,
    /// The process has valid leases. A process without them may not receive responses, so it gets the minimum share only.
    pub has_valid_lease: bool,
    /// Weight against other nodes.
    pub weight: u32,
    /// The process is to leave: it requests only what it still needs and gets no part of the surplus.
    pub is_leaving: bool,
    /// The demand on each budget.
    pub demands: Vec<BudgetDemand>,
}

/// A request's demand on one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetDemand {
    /// Name of the budget.
    pub budget: String,
    /// Units that the process uses at the most after this request, until a response changes its limit.
    pub retained: u32,
    /// Units that the process could use.
    pub demand: u32,
}

/// The configured capacity of a budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetCapacity {
    /// Name of the budget.
    pub budget: String,
    /// Units over all nodes.
    pub capacity: u32,
    /// Units that each node gets at least.
    pub min_share: u32,
    /// What the capacity depends on.
    pub scope: CapacityScope,
}

/// A lease that has expired by a replica's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpiredLease {
    /// The holder of the lease.
    pub holder: LeaseHolderId,
    /// Name of the budget.
    pub budget: String,
    /// The holder's last request that the replica had applied.
    pub seq: u64,
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerEntry {
    /// Sets the capacities of all budgets.
    Capacities(Vec<BudgetCapacity>),
    /// Renews leases and grants free units.
    LeaseRequests(Vec<LeaseRequest>),
    /// Removes expired leases.
    ExpireLeases(Vec<ExpiredLease>),
    /// Changes the status of zones.
    ZoneUpdate(ZoneStatusUpdate),
    /// An operator's order for a zone.
    ZoneOrder {
        /// Name of the zone.
        zone: String,
        /// The ordered state.
        order: ZoneOrder,
    },
    /// A change of the configuration. The ledger only counts it; [`crate::fleet::replica_state::ReplicaState`] applies it.
    ConfigChange(CompressedChange),
    /// Whether a version of the configuration may go to all nodes. The ledger only counts it;
    /// [`crate::fleet::replica_state::ReplicaState`] applies it.
    RolloutDecision(RolloutDecision),
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The process that requested.
    pub holder: LeaseHolderId,
    /// Number of the request.
    pub seq: u64,
    /// The ledger's entry count after the request was applied.
    pub epoch: u64,
    /// The grant of each budget.
    pub grants: Vec<BudgetGrant>,
}

/// A response's grant of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetGrant {
    /// Name of the budget.
    pub budget: String,
    /// Units leased to the holder.
    pub amount: u32,
    /// Units that the holder is to reduce its use to; equal to `amount` where it returns none.
    pub target: u32,
}

/// The replicated state. It is encoded field by field in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseLedger {
    /// Entries applied so far.
    pub epoch: u64,
    budgets: BTreeMap<String, BudgetLedger>,
    zones: ZoneStatusMap,
}

impl LeaseLedger {
    /// Applies an entry. Returns the responses to those of its requests that are not outdated.
    #[must_use]
    pub fn apply(&mut self, entry: &LedgerEntry) -> Vec<LeaseResponse> {
        self.epoch += 1;
        match entry {
            LedgerEntry::LeaseRequests(requests) => return self.grant_leases(requests),
            LedgerEntry::Capacities(capacities) => self.set_capacities(capacities),
            LedgerEntry::ExpireLeases(expired) => self.expire_leases(expired),
            LedgerEntry::ZoneUpdate(update) => {
                if self.zones.apply(update) {
                    self.update_capacities();
                }
            }
            // An order that can't be carried out changes nothing; its reason was reported when it was proposed.
            LedgerEntry::ZoneOrder { zone, order } => {
                if self.zones.apply_order(zone, *order).is_ok() {
                    self.update_capacities();
                }
            }
            LedgerEntry::ConfigChange(_) | LedgerEntry::RolloutDecision(_) => {}
        }
        Vec::new()
    }

    fn expire_leases(&mut self, expired: &[ExpiredLease]) {
        for lease in expired {
            let Some(budget) = self.budgets.get_mut(&lease.budget) else { continue };
            budget.expire(&lease.holder, lease.seq);
        }
    }

    /// Computes the capacities from the status of the zones.
    fn update_capacities(&mut self) {
        for budget in self.budgets.values_mut() {
            let configured = &budget.configured;
            budget.capacity = configured.scope.effective_capacity(configured.capacity, &self.zones);
        }
    }

    /// Returns the status of the zones.
    #[must_use]
    pub fn zones(&self) -> &ZoneStatusMap {
        &self.zones
    }

    /// A budget that is not configured any more keeps its leases until they have expired, and grants nothing.
    fn set_capacities(&mut self, capacities: &[BudgetCapacity]) {
        self.budgets.retain(|name, budget| {
            !budget.leases().is_empty() || capacities.iter().any(|configured| configured.budget == *name)
        });
        for budget in self.budgets.values_mut() {
            (budget.configured.capacity, budget.min_share) = (0, 0);
        }
        for configured in capacities.iter().filter(|c| c.budget.len() <= NAME_MAX).take(BUDGETS_MAX) {
            let budget = self.budgets.entry(configured.budget.clone()).or_default();
            (budget.configured, budget.min_share) = (configured.clone(), configured.min_share);
        }
        self.update_capacities();
    }

    fn grant_leases(&mut self, requests: &[LeaseRequest]) -> Vec<LeaseResponse> {
        let epoch = self.epoch;
        let requesters = self.record_requests(requests);
        let mut responses: BTreeMap<&LeaseHolderId, LeaseResponse> = BTreeMap::new();
        for (name, holders) in requesters {
            let Some(budget) = self.budgets.get_mut(name) else { continue };
            for grant in budget.grant(epoch, holders) {
                let empty = || LeaseResponse {
                    holder: grant.holder.clone(),
                    seq: grant.seq,
                    epoch,
                    grants: Vec::new(),
                };
                responses.entry(grant.holder).or_insert_with(empty).grants.push(BudgetGrant {
                    budget: name.to_owned(),
                    amount: grant.amount,
                    target: grant.target,
                });
            }
        }
        responses.into_values().collect()
    }

    /// Records the demands of requests. Returns, for each budget, the holders whose requests are not outdated.
    fn record_requests<'a>(
        &mut self,
        requests: &'a [LeaseRequest],
    ) -> BTreeMap<&'a str, Vec<&'a LeaseHolderId>> {
        let mut requesters: BTreeMap<&str, Vec<&LeaseHolderId>> = BTreeMap::new();
        for request in requests.iter().filter(|request| request.holder.name.len() <= NAME_MAX) {
            for demand in request.demands.iter().take(BUDGETS_MAX) {
                let Some(budget) = self.budgets.get_mut(&demand.budget) else { continue };
                if budget.record_request(request, demand, self.epoch) {
                    requesters.entry(&demand.budget).or_default().push(&request.holder);
                }
            }
        }
        requesters
    }

    /// Returns how many leases are recomputed if this request is applied: 0 where it changes no other lease's target.
    #[must_use]
    pub fn recompute_cost(&self, request: &LeaseRequest) -> usize {
        let changed = request.demands.iter().take(BUDGETS_MAX).filter_map(|demand| {
            self.budgets.get(&demand.budget).filter(|budget| budget.changes_targets(request, demand))
        });
        changed.map(|budget| budget.leases().len()).sum()
    }

    /// Returns how many leases this process has recomputed so far. It measures the work of entries beyond the leases that
    /// they name.
    #[must_use]
    pub fn leases_recomputed(&self) -> u64 {
        self.budgets.values().map(BudgetLedger::leases_recomputed).sum()
    }

    /// Returns the configured capacities.
    pub fn capacities(&self) -> impl Iterator<Item = BudgetCapacity> {
        let is_configured =
            |budget: &&BudgetLedger| budget.configured.capacity > 0 || budget.leases().is_empty();
        self.budgets.values().filter(is_configured).map(|budget| budget.configured.clone())
    }

    /// Returns one holder's lease.
    #[must_use]
    pub fn lease(&self, budget: &str, holder: &LeaseHolderId) -> Option<&Lease> {
        self.budgets.get(budget)?.leases().get(holder)
    }

    /// Returns all leases with the name of their budget and their holder.
    pub fn leases(&self) -> impl Iterator<Item = (&str, &LeaseHolderId, &Lease)> {
        self.budgets.iter().flat_map(|(name, budget)| {
            budget.leases().iter().map(move |(holder, lease)| (name.as_str(), holder, lease))
        })
    }

    /// Returns, for each budget, its name, its capacity and how much of that is leased.
    pub fn usage(&self) -> impl Iterator<Item = (&str, u32, u64)> {
        self.budgets.iter().map(|(name, budget)| (name.as_str(), budget.capacity, budget.leased()))
    }
}

#[cfg(test)]
mod tests;
