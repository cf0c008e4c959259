//! Leases on fleet-wide budgets held by this process, and the permits drawn from them that may still be in use downstream.
//!
//! A permit takes one token of each budget that applies to it, or none at all. The caller reads the clock for each
//! acquisition, so a process that was stopped finds its lease expired before it acquires anything. A token is free again
//! once the end of its use is proved, or after the budget's permit lifetime. No I/O: the caller sends the requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::fleet::lease::ledger::{BudgetDemand, LeaseRequest, LeaseResponse};
use crate::fleet::{Budget, BudgetKind, LeaseBounds, LeaseHolderId, LeaseInstant};
use crate::interface::Micros;

/// Renewal requests per lease duration; a lease survives the loss of three in a row.
const RENEWALS_PER_LEASE: u64 = 4;
/// Longest time between two requests, however long a lease is: a reduction arrives with the next response.
const RENEWAL_INTERVAL_MAX: Micros = Micros::from_millis(1_000);
/// Shortest time between two requests: at the most 10 datagrams a second.
const REQUEST_INTERVAL_MIN: Micros = Micros::from_millis(100);
/// Demand samples that are kept, one per [`REQUEST_INTERVAL_MIN`]: long enough that a share does not follow each burst.
const DEMAND_SAMPLES: usize = 12;
/// Requests whose responses are still accepted: those of several leases.
const PENDING_REQUESTS_MAX: usize = 64;

/// Tokens taken for one call; give it back with [`LeaseHolder::release`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Budget index and token id.
    tokens: Vec<(usize, u64)>,
    /// The call's bytes are sent before this instant, or not at all.
    pub send_deadline: LeaseInstant,
}

/// What is known about the end of a call when its permit is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseEvidence {
    /// Nothing was sent.
    NotSent,
    /// The service has answered in full and does no more work for the call.
    Answered,
    /// Neither is known: the tokens stay in use for the budget's permit lifetime.
    Unknown,
}

/// Why no permit was granted; each variant has the index of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitError {
    /// All tokens of this process's share are in use.
    Exhausted(usize),
    /// The lease has expired, or none was granted yet.
    LeaseExpired(usize),
}

/// One budget as this process sees it, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaStatus {
    /// Most tokens in use at a time; 0 without a valid lease.
    pub limit: u32,
    /// Tokens in use now.
    pub in_use: u32,
    /// Tokens that this process requests.
    pub demand: u32,
    /// Time until the lease expires; 0 once it has.
    pub lease_remaining: Micros,
    /// Permits refused since the start of the process.
    pub refused: u64,
}

/// Use of one budget within one sample interval.
#[derive(Clone, Copy, Debug, Default)]
struct DemandSample {
    peak_in_use: u32,
    refused: u32,
}

impl DemandSample {
    /// The peak, and what was refused on top. Refusals count for no more than twice the peak, as one call may retry often.
    fn demand(&self) -> u32 {
        self.peak_in_use.saturating_add(self.refused.min(self.peak_in_use.saturating_add(4)))
    }
}

#[derive(Debug)]
struct BudgetState {
    budget: Budget,
    /// Most tokens in use at a time while the lease is valid.
    limit: u32,
    /// Amount that the ledger has for this process, by the last response.
    granted: u32,
    lease_expires: Option<LeaseInstant>,
    /// Tokens in use, by the time at which they are free again without evidence.
    tokens: BTreeSet<(LeaseInstant, u64)>,
    expiry_by_token: BTreeMap<u64, LeaseInstant>,
    /// The latest first.
    samples: [DemandSample; DEMAND_SAMPLES],
    /// Demand in the last request.
    requested: u32,
    refused: u64,
}

impl BudgetState {
    fn new(budget: &Budget) -> BudgetState {
        BudgetState {
            budget: budget.clone(),
            limit: 0,
            granted: 0,
            lease_expires: None,
            tokens: BTreeSet::new(),
            expiry_by_token: BTreeMap::new(),
            samples: [DemandSample::default(); DEMAND_SAMPLES],
            requested: 0,
            refused: 0,
        }
    }

    fn release_expired(&mut self, now: LeaseInstant) {
        while let Some(&(expires, token)) = self.tokens.first().filter(|token| token.0 <= now) {
            self.tokens.remove(&(expires, token));
            self.expiry_by_token.remove(&token);
        }
    }

    fn in_use(&self) -> u32 {
        self.tokens.len() as u32
    }

    fn is_lease_valid(&self, now: LeaseInstant) -> bool {
        self.lease_expires.is_some_and(|expires| now < expires)
    }

    /// The highest demand of the kept samples.
    fn demand(&self) -> u32 {
        self.samples.iter().map(DemandSample::demand).max().unwrap_or(0)
    }

    /// Demand has grown beyond the share and beyond what the last request said.
    fn has_unsent_demand(&self) -> bool {
        self.demand() > self.requested.max(self.limit)
    }

    /// The ledger reserves more for this process than it can use.
    fn has_surplus(&self) -> bool {
        self.granted > self.limit.max(self.in_use())
    }

    fn check_available(&self, now: LeaseInstant, index: usize) -> Result<(), PermitError> {
        if !self.is_lease_valid(now) {
            Err(PermitError::LeaseExpired(index))
        } else if self.in_use() >= self.limit {
            Err(PermitError::Exhausted(index))
        } else {
            Ok(())
        }
    }

    fn count_refusal(&mut self) {
        self.refused += 1;
        self.samples[0].refused = self.samples[0].refused.saturating_add(1);
    }

    fn add_token(&mut self, token: u64, expires: LeaseInstant) {
        self.tokens.insert((expires, token));
        self.expiry_by_token.insert(token, expires);
        self.samples[0].peak_in_use = self.samples[0].peak_in_use.max(self.in_use());
    }
}

/// This process's leases on the fleet-wide budgets.
///
/// Invariant: tokens in use never exceed a limit that this process may still rely on; nothing is acquired without a valid
/// lease.
#[derive(Debug)]
pub struct LeaseHolder {
    holder: LeaseHolderId,
    weight: u32,
    bounds: LeaseBounds,
    budgets: Vec<BudgetState>,
    last_token: u64,
    /// Number of the last request.
    seq: u64,
    /// Responses to requests up to this number are not accepted any more.
    acknowledged_seq: u64,
    /// When each request was sent whose response may still come.
    sent_at: BTreeMap<u64, LeaseInstant>,
    last_request_at: Option<LeaseInstant>,
    /// Start of the current demand sample.
    sample_start: LeaseInstant,
    is_draining: bool,
    is_closed: bool,
    epoch: u64,
}

impl LeaseHolder {
    /// Returns a holder without leases. Demand is sampled from `now` on.
    #[must_use]
    pub fn new(
        now: LeaseInstant,
        holder: LeaseHolderId,
        weight: u32,
        bounds: LeaseBounds,
        budgets: &[Budget],
    ) -> LeaseHolder {
        LeaseHolder {
            holder,
            weight,
            bounds,
            budgets: budgets.iter().map(BudgetState::new).collect(),
            last_token: 0,
            seq: 0,
            acknowledged_seq: 0,
            sent_at: BTreeMap::new(),
            last_request_at: None,
            sample_start: now,
            is_draining: false,
            is_closed: false,
            epoch: 0,
        }
    }

    /// Returns the index of the budget of that name.
    #[must_use]
    pub fn budget_index(&self, budget: &str) -> Option<usize> {
        self.budgets.iter().position(|state| state.budget.name == budget)
    }

    /// Returns the identity of this process.
    #[must_use]
    pub fn holder(&self) -> &LeaseHolderId {
        &self.holder
    }

    /// Returns the ledger's entry count in the last accepted response.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes one token of each of these budgets. Read `now` for this call.
    ///
    /// # Errors
    /// The first budget without a free token; no token is taken then.
    pub fn acquire(&mut self, now: LeaseInstant, indexes: &[usize]) -> Result<Permit, PermitError> {
        self.advance_samples(now);
        for &index in indexes {
            let state = &mut self.budgets[index];
            state.release_expired(now);
            if let Err(refusal) = state.check_available(now, index) {
                state.count_refusal();
                return Err(refusal);
            }
        }
        let mut send_deadline = now + Micros(self.bounds.transit.0 / 2);
        let mut tokens = Vec::with_capacity(indexes.len());
        for &index in indexes {
            let state = &mut self.budgets[index];
            self.last_token += 1;
            let expires = now + self.bounds.permit_lifetime(state.budget.kind);
            state.add_token(self.last_token, expires);
            send_deadline = send_deadline.min(state.lease_expires.unwrap_or(now));
            tokens.push((index, self.last_token));
        }
        Ok(Permit { tokens, send_deadline })
    }

    /// Frees the permit's tokens as far as the evidence proves that they are not in use.
    pub fn release(&mut self, permit: &Permit, evidence: ReleaseEvidence) {
        for (index, token) in &permit.tokens {
            let state = &mut self.budgets[*index];
            let is_free = match (evidence, state.budget.kind) {
                (ReleaseEvidence::NotSent, _) | (ReleaseEvidence::Answered, BudgetKind::Slots { .. }) => true,
                // A call that was started counts in its window whatever became of it.
                (ReleaseEvidence::Answered, BudgetKind::Starts { .. }) | (ReleaseEvidence::Unknown, _) => {
                    false
                }
            };
            if is_free && let Some(expires) = state.expiry_by_token.remove(token) {
                state.tokens.remove(&(expires, *token));
            }
        }
    }

    fn advance_samples(&mut self, now: LeaseInstant) {
        let elapsed = ((now - self.sample_start).0 / REQUEST_INTERVAL_MIN.0) as usize;
        if elapsed == 0 {
            return;
        }
        self.sample_start = now;
        for state in &mut self.budgets {
            state.release_expired(now);
            let shift = elapsed.min(DEMAND_SAMPLES);
            let idle = DemandSample { peak_in_use: state.in_use(), refused: 0 };
            state.samples.copy_within(0..DEMAND_SAMPLES - shift, shift);
            state.samples[..shift].fill(idle);
        }
    }

    /// Returns when [`LeaseHolder::next_request`] is to be called next.
    #[must_use]
    pub fn next_request_at(&self) -> LeaseInstant {
        let Some(last) = self.last_request_at else { return LeaseInstant(0) };
        let any = |test: fn(&BudgetState) -> bool| self.budgets.iter().any(test);
        let renewal = Micros(self.bounds.lease_duration.0 / RENEWALS_PER_LEASE).min(RENEWAL_INTERVAL_MAX);
        last + if any(|state| state.has_unsent_demand() || state.has_surplus()) {
            REQUEST_INTERVAL_MIN
        } else if any(|state| state.demand() > state.limit) {
            // What others return goes to whoever requests it next.
            REQUEST_INTERVAL_MIN.max(Micros(renewal.0 / 2))
        } else {
            renewal
        }
    }

    /// Returns the next request; the caller sends it now.
    #[must_use]
    pub fn next_request(&mut self, now: LeaseInstant) -> LeaseRequest {
        self.advance_samples(now);
        let has_valid_lease = self.budgets.iter().all(|state| state.is_lease_valid(now));
        if !has_valid_lease {
            // Responses still on their way are renounced, so that the ledger need not reserve their amounts.
            self.acknowledged_seq = self.seq;
            self.budgets.iter_mut().for_each(|state| (state.limit, state.granted) = (0, 0));
        }
        self.seq += 1;
        self.record_sent(now);
        let (is_draining, is_closed) = (self.is_draining, self.is_closed);
        let demand_of = |state: &mut BudgetState| {
            state.release_expired(now);
            let demand = if is_closed { state.in_use() } else { state.demand() };
            if is_draining {
                state.limit = state.limit.min(demand);
            }
            state.requested = demand;
            let retained = state.limit.max(state.in_use());
            BudgetDemand { budget: state.budget.name.clone(), retained, demand }
        };
        LeaseRequest {
            holder: self.holder.clone(),
            seq: self.seq,
            acknowledged_seq: self.acknowledged_seq,
            has_valid_lease,
            weight: self.weight,
            is_leaving: is_draining,
            demands: self.budgets.iter_mut().map(demand_of).collect(),
        }
    }

    fn record_sent(&mut self, now: LeaseInstant) {
        self.sent_at.insert(self.seq, now);
        while self.sent_at.len() > PENDING_REQUESTS_MAX {
            self.sent_at.pop_first();
        }
        self.last_request_at = Some(now);
    }

    /// Applies a response. Returns false, and changes nothing, where it is for another process or not newer than the last
    /// one that was accepted.
    pub fn accept_response(&mut self, response: &LeaseResponse) -> bool {
        if response.holder != self.holder || response.seq <= self.acknowledged_seq || self.is_closed {
            return false;
        }
        let Some(sent_at) = self.sent_at.get(&response.seq).copied() else { return false };
        self.sent_at = self.sent_at.split_off(&(response.seq + 1));
        (self.acknowledged_seq, self.epoch) = (response.seq, response.epoch);
        for grant in &response.grants {
            let Some(state) = self.budgets.iter_mut().find(|state| state.budget.name == grant.budget) else {
                continue;
            };
            state.granted = grant.amount;
            state.limit = grant.amount.min(grant.target);
            state.lease_expires = Some(sent_at + self.bounds.lease_duration);
        }
        true
    }

    /// The process is to leave: from now on only what is still needed is requested, and the next request is due at once.
    pub fn start_drain(&mut self) {
        self.is_draining = true;
        self.last_request_at = self.last_request_at.map(|_| LeaseInstant(0));
    }

    /// Grants no permit any more; the next request gives back everything that is not in use.
    pub fn close(&mut self) {
        (self.is_draining, self.is_closed) = (true, true);
        for state in &mut self.budgets {
            (state.limit, state.lease_expires) = (0, None);
        }
    }

    /// Returns each budget with its status at `now`.
    pub fn status(&self, now: LeaseInstant) -> impl Iterator<Item = (&Budget, QuotaStatus)> {
        self.budgets.iter().map(move |state| {
            let status = QuotaStatus {
                limit: if state.is_lease_valid(now) { state.limit } else { 0 },
                in_use: state.tokens.iter().filter(|token| token.0 > now).count() as u32,
                demand: state.demand(),
                lease_remaining: state.lease_expires.map_or(Micros(0), |expires| expires - now),
                refused: state.refused,
            };
            (&state.budget, status)
        })
    }
}

#[cfg(test)]
mod tests;
