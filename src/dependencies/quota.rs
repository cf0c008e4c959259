//! A process's quota of the fleet-wide budgets as one more bound on calls, by tier.
//!
//! A tier's own concurrency limit adapts below it. Without a fleet there is no [`FleetQuota`], and no permit is needed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::call_plan::TierId;
use crate::fleet::LeaseInstant;
use crate::fleet::lease::holder::{LeaseHolder, Permit, PermitError, ReleaseEvidence};

/// The budgets that bound one tier, by their index in the lease holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TierQuota {
    /// Budgets that each call takes a permit of.
    pub calls: Vec<usize>,
    /// Budgets that retries beyond this process's credit take a permit of as well.
    pub retries: Vec<usize>,
}

/// How an attempt is funded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryFunding {
    /// By this process: a first attempt, or a retry that first attempts have earned.
    ProcessCredit,
    /// By the fleet's budget of retries.
    FleetBudget,
}

/// The leases of this process, the instant that the caller has last read, and the budgets of each tier.
#[derive(Clone, Debug)]
pub struct FleetQuota {
    lease_holder: Rc<RefCell<LeaseHolder>>,
    now: Rc<Cell<LeaseInstant>>,
    tiers: Rc<[TierQuota]>,
}

impl FleetQuota {
    /// A quota with the budgets of each tier; `now` is set by the driver of the dependency client.
    #[must_use]
    pub fn new(
        lease_holder: Rc<RefCell<LeaseHolder>>,
        now: Rc<Cell<LeaseInstant>>,
        tiers: Vec<TierQuota>,
    ) -> FleetQuota {
        FleetQuota { lease_holder, now, tiers: tiers.into() }
    }

    /// Whether retries at a tier are funded by the fleet.
    #[must_use]
    pub fn funds_retries(&self, tier: TierId) -> bool {
        self.tiers.get(tier.0).is_some_and(|quota| !quota.retries.is_empty())
    }

    /// Takes a permit for one attempt at a tier, and of the recovery budget of its zone if that is given. `None` if no budget
    /// applies.
    ///
    /// # Errors
    /// A budget is exhausted or its lease has expired; the zone's is looked at first.
    pub fn acquire(
        &self,
        tier: TierId,
        funding: RetryFunding,
        recovery_budget: Option<usize>,
    ) -> Result<Option<Permit>, PermitError> {
        let Some(quota) = self.tiers.get(tier.0) else { return Ok(None) };
        let retries: &[usize] = if funding == RetryFunding::FleetBudget { &quota.retries } else { &[] };
        let acquire =
            |budgets: &[usize]| self.lease_holder.borrow_mut().acquire(self.now.get(), budgets).map(Some);
        match (recovery_budget, retries) {
            (None, []) if quota.calls.is_empty() => Ok(None),
            (None, []) => acquire(&quota.calls),
            _ => acquire(&[recovery_budget.as_slice(), &quota.calls, retries].concat()),
        }
    }

    /// Releases an attempt's permit as far as the evidence allows.
    pub fn release(&self, permit: &Permit, evidence: ReleaseEvidence) {
        self.lease_holder.borrow_mut().release(permit, evidence);
    }
}
