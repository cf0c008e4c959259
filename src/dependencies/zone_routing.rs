//! Which endpoints of a tier the state of the zones allows. The tier's load balancer chooses among these.
//!
//! Without zones there are no [`ZoneRoutes`], and every endpoint is allowed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rand::{Rng, RngExt};

use super::call_plan::TierId;
use super::load_balancer::EndpointId;
use crate::fleet::LeaseInstant;
use crate::interface::{Micros, Outcome};
use crate::zone::FULL_WEIGHT;
use crate::zone::health_report::CallResult;
use crate::zone::status_cache::{ZoneAccess, ZoneStatusCache};

/// The zones of the tiers' endpoints, and the recovery budgets of the zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneIndex {
    /// The zone of each endpoint of each tier; `None` for endpoints without a label.
    pub endpoint_zones: Vec<Vec<Option<usize>>>,
    /// Each zone's recovery budget, by its index in the lease holder.
    pub recovery_budgets: Vec<usize>,
}

/// A call in flight in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneCall {
    zone: usize,
    started_at: Micros,
}

/// The zones' states as this node knows them, with their endpoints and budgets.
#[derive(Clone, Debug)]
pub struct ZoneRoutes {
    statuses: Rc<RefCell<ZoneStatusCache>>,
    now: Rc<Cell<LeaseInstant>>,
    index: Rc<ZoneIndex>,
}

impl ZoneRoutes {
    /// Routes by these states; `now` is set by the driver of the dependency client.
    #[must_use]
    pub fn new(
        statuses: Rc<RefCell<ZoneStatusCache>>,
        now: Rc<Cell<LeaseInstant>>,
        index: ZoneIndex,
    ) -> ZoneRoutes {
        ZoneRoutes { statuses, now, index: Rc::new(index) }
    }

    fn now(&self) -> Micros {
        Micros(self.now.get().0)
    }

    fn zone(&self, tier: TierId, endpoint: usize) -> Option<usize> {
        self.index.endpoint_zones.get(tier.0)?.get(endpoint).copied().flatten()
    }

    /// Which endpoints a call may go to now, one flag each: those of one zone that is returning to service, as often as its
    /// weight says, or those of all zones in service. `exhausted` are zones whose recovery budget has just refused a permit.
    pub fn allowed_endpoints(
        &self,
        tier: TierId,
        endpoints: usize,
        exhausted: &[usize],
        rng: &mut impl Rng,
    ) -> Vec<bool> {
        let (statuses, now) = (self.statuses.borrow(), self.now());
        let zone_access = |endpoint: usize| match self.zone(tier, endpoint) {
            Some(zone) if exhausted.contains(&zone) => (ZoneAccess::Closed, 0),
            Some(zone) => statuses.access(now, zone),
            None => (ZoneAccess::Open, FULL_WEIGHT),
        };
        let accesses: Vec<(ZoneAccess, u16)> = (0..endpoints).map(zone_access).collect();
        let total_weight = |kind: ZoneAccess| -> u32 {
            accesses.iter().filter(|(access, _)| *access == kind).map(|(_, weight)| u32::from(*weight)).sum()
        };
        let (open_weight, budgeted_weight) =
            (total_weight(ZoneAccess::Open), total_weight(ZoneAccess::Budgeted));
        // A probe, whose budget is a few concurrent calls, is sent whenever it is allowed.
        let probe =
            accesses.iter().position(|(access, weight)| *access == ZoneAccess::Budgeted && *weight <= 1);
        let mut point =
            if probe.is_some() { 0 } else { rng.random_range(0..(open_weight + budgeted_weight).max(1)) };
        if point >= budgeted_weight {
            return accesses.iter().map(|(access, _)| *access == ZoneAccess::Open).collect();
        }
        let drawn = probe.or_else(|| {
            accesses.iter().position(|(access, weight)| {
                let weight = if *access == ZoneAccess::Budgeted { u32::from(*weight) } else { 0 };
                let is_drawn = point < weight;
                point = point.saturating_sub(weight);
                is_drawn
            })
        });
        let zone = drawn.and_then(|endpoint| self.zone(tier, endpoint));
        let is_in_zone = |endpoint: usize| {
            accesses[endpoint].0 == ZoneAccess::Budgeted && self.zone(tier, endpoint) == zone
        };
        (0..endpoints).map(is_in_zone).collect()
    }

    /// The zone of an endpoint that is returning to service, and the index of its recovery budget.
    #[must_use]
    pub fn recovery_budget(&self, tier: TierId, endpoint: EndpointId) -> Option<(usize, usize)> {
        let zone = self.zone(tier, endpoint.0)?;
        let is_budgeted = self.statuses.borrow().access(self.now(), zone).0 == ZoneAccess::Budgeted;
        Some((zone, *self.index.recovery_budgets.get(zone)?)).filter(|_| is_budgeted)
    }

    /// Counts a call that starts, if the endpoint has a zone.
    pub fn call_started(&self, tier: TierId, endpoint: EndpointId) -> Option<ZoneCall> {
        let (zone, started_at) = (self.zone(tier, endpoint.0)?, self.now());
        self.statuses.borrow_mut().record_call_start(started_at, zone);
        Some(ZoneCall { zone, started_at })
    }

    /// Takes a call's outcome; `None` if it was cancelled for no fault of the zone.
    pub fn call_ended(&self, zone_call: ZoneCall, outcome: Option<Outcome>) {
        let outcome = match outcome {
            Some(Outcome::Good) => CallResult::Success,
            None | Some(Outcome::Moot | Outcome::Cancelled) => CallResult::Ignored,
            Some(_) => CallResult::Failure,
        };
        self.statuses.borrow_mut().record_call_end(self.now(), zone_call.zone, zone_call.started_at, outcome);
    }
}

#[cfg(test)]
mod tests;
