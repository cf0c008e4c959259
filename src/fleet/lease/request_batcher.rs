//! Selects the lease requests that the leading replica puts into the next log entry.
//!
//! A request that changes no target goes into the next entry. One that changes other leases' targets makes each replica
//! recompute all leases of its budgets: such requests are collected into one entry, so that the work per second is bounded
//! whatever the number of nodes. The ledger is the same however requests are grouped; only the proposer uses this.

use std::collections::BTreeMap;

use crate::fleet::lease::ledger::{LeaseLedger, LeaseRequest};
use crate::fleet::{LeaseHolderId, LeaseInstant};
use crate::interface::Micros;

/// Wait between two recomputations, for each lease that they visit: small fleets never wait.
const WAIT_PER_LEASE: Micros = Micros(4);
/// Longest wait between two recomputations: a node without a response for 150 ms sends its request to another replica.
const WAIT_MAX: Micros = Micros::from_millis(60);
/// Most requests in one entry; further ones go into the next.
const REQUESTS_MAX: usize = 1_024;
/// Requests that wait for a recomputation; once there are so many, all are due at once.
const WAITING_MAX: usize = 4_096;

/// Requests that are not in an entry yet, each with the address (`A`) that its response goes to.
#[derive(Debug)]
pub struct RequestBatcher<A> {
    /// Requests that cause no recomputation, and those whose wait is over.
    ready: Vec<(LeaseRequest, A)>,
    /// Requests that cause a recomputation; only the last one of each holder is kept.
    waiting: BTreeMap<LeaseHolderId, (LeaseRequest, A)>,
    /// Leases that are recomputed for the waiting requests.
    recompute_cost: usize,
    last_recomputation: LeaseInstant,
}

impl<A> Default for RequestBatcher<A> {
    fn default() -> RequestBatcher<A> {
        RequestBatcher {
            ready: Vec::new(),
            waiting: BTreeMap::new(),
            recompute_cost: 0,
            last_recomputation: LeaseInstant(0),
        }
    }
}

impl<A> RequestBatcher<A> {
    /// Returns whether there is no request to propose, now or later.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ready.is_empty() && self.waiting.is_empty()
    }

    /// Returns how many more requests to add before [`RequestBatcher::take_due`] is called.
    #[must_use]
    pub fn remaining_capacity(&self) -> usize {
        REQUESTS_MAX.saturating_sub(self.ready.len())
    }

    /// Adds a request, whose response goes to `reply_to`.
    pub fn push(&mut self, ledger: &LeaseLedger, request: LeaseRequest, reply_to: A) {
        let cost = ledger.recompute_cost(&request);
        let waiting_seq = self.waiting.get(&request.holder).map(|(previous, _)| previous.seq);
        if cost > 0 {
            // All requests of one entry share the recomputation of a budget.
            self.recompute_cost = self.recompute_cost.max(cost);
            if waiting_seq.is_none_or(|seq| seq < request.seq) {
                self.waiting.insert(request.holder.clone(), (request, reply_to));
            }
            return;
        }
        // This request replaces an earlier one of the holder.
        if waiting_seq.is_some_and(|seq| seq < request.seq) {
            self.waiting.remove(&request.holder);
        }
        self.ready.push((request, reply_to));
    }

    /// Takes the requests of the entry that is proposed now, `REQUESTS_MAX` at the most.
    #[must_use]
    pub fn take_due(&mut self, now: LeaseInstant) -> Vec<(LeaseRequest, A)> {
        let wait = WAIT_MAX.min(Micros(WAIT_PER_LEASE.0.saturating_mul(self.recompute_cost as u64)));
        let is_due = now - self.last_recomputation >= wait || self.waiting.len() >= WAITING_MAX;
        if !self.waiting.is_empty() && is_due {
            self.ready.extend(std::mem::take(&mut self.waiting).into_values());
            (self.last_recomputation, self.recompute_cost) = (now, 0);
        }
        let rest = self.ready.split_off(REQUESTS_MAX.min(self.ready.len()));
        std::mem::replace(&mut self.ready, rest)
    }
}

#[cfg(test)]
mod tests;
