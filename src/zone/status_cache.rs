//! One node's copy of the agreed zone statuses: which zones its calls may go to, and whether its own zone is out.
//!
//! An older epoch never replaces a newer one. Once a node has received no status for the validity time, it relies on its own
//! observations: it uses all zones again, and only the ejection of endpoints excludes any. Other modules send and receive
//! the datagrams.

use super::health_report::{CallResult, ZoneHealthObserver, ZoneHealthReport};
use super::{FULL_WEIGHT, ZoneState, ZoneStatus, ZoneStatusMap};
use crate::interface::Micros;

/// Time between a node's reports, within which the replicas learn of a fault.
pub const REPORT_INTERVAL: Micros = Micros::from_millis(250);
/// Weight of a returning zone from which its nodes accept clients again.
const MIN_WEIGHT_FOR_CLIENTS: u16 = FULL_WEIGHT / 2;

/// The condition under which calls may go to a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneAccess {
    /// All calls may go to the zone.
    Open,
    /// Each call needs a permit from the zone's own budget.
    Budgeted,
    /// No call may go to the zone.
    Closed,
}

/// State and weight of one zone.
#[derive(Clone, Copy, Debug)]
struct ZoneUse {
    state: ZoneState,
    weight: u16,
}

impl ZoneUse {
    const FULL: ZoneUse = ZoneUse { state: ZoneState::In, weight: FULL_WEIGHT };
}

/// The zone statuses that one node has received, and its own observations of the zones. Zones are given by their index in
/// the list of names.
#[derive(Clone, Debug)]
pub struct ZoneStatusCache {
    names: Vec<String>,
    own_zone: Option<usize>,
    /// Time after the last message from a replica for which the statuses apply.
    validity: Micros,
    statuses: ZoneStatusMap,
    /// State and weight per name; zones without a status are in full use.
    uses: Vec<ZoneUse>,
    last_received: Option<Micros>,
    observer: ZoneHealthObserver,
    last_report: Micros,
    /// Staleness as last returned by [`ZoneStatusCache::take_staleness_change`].
    reported_stale: bool,
}

impl ZoneStatusCache {
    /// Returns a cache without any status yet. `own` is the node's zone and need not be one of the names.
    #[must_use]
    pub fn new(now: Micros, names: Vec<String>, own: &str, validity: Micros) -> ZoneStatusCache {
        ZoneStatusCache {
            own_zone: names.iter().position(|name| name == own),
            validity,
            statuses: ZoneStatusMap::default(),
            uses: vec![ZoneUse::FULL; names.len()],
            last_received: None,
            observer: ZoneHealthObserver::new(now, names.len()),
            last_report: now,
            reported_stale: false,
            names,
        }
    }

    /// Returns the index of a zone; `None` where its name is not known.
    #[must_use]
    pub fn zone_index(&self, zone: &str) -> Option<usize> {
        self.names.iter().position(|name| name == zone)
    }

    /// Returns the statuses received last.
    #[must_use]
    pub fn statuses(&self) -> &ZoneStatusMap {
        &self.statuses
    }

    /// Returns the statuses received last and the time since; `None` before the first.
    #[must_use]
    pub fn received(&self, now: Micros) -> Option<(&ZoneStatusMap, Micros)> {
        self.last_received.map(|at| (&self.statuses, now - at))
    }

    /// Applies the statuses that a replica sent, which were received at `at`, here or in another process of the node. Returns
    /// each changed zone's status before and after; an epoch older than the one known changes nothing and does not renew the
    /// validity.
    pub fn receive_statuses(
        &mut self,
        at: Micros,
        received: &ZoneStatusMap,
    ) -> Vec<(ZoneStatus, ZoneStatus)> {
        if received.epoch < self.statuses.epoch {
            return Vec::new();
        }
        self.last_received = self.last_received.max(Some(at));
        if received.epoch == self.statuses.epoch {
            return Vec::new();
        }
        let before = |status: &ZoneStatus| {
            self.statuses.get(&status.zone).cloned().unwrap_or_else(|| ZoneStatus::new(&status.zone))
        };
        let pairs = received.statuses.iter().map(|status| (before(status), status.clone()));
        let changes = pairs.filter(|(before, after)| before != after).collect();
        self.statuses = received.clone();
        for (name, zone_use) in self.names.iter().zip(&mut self.uses) {
            *zone_use = received
                .get(name)
                .map_or(ZoneUse::FULL, |status| ZoneUse { state: status.state, weight: status.weight });
        }
        changes
    }

    /// Returns whether no replica has sent a status within the validity time, or ever.
    #[must_use]
    pub fn is_stale(&self, now: Micros) -> bool {
        self.last_received.is_none_or(|at| at + self.validity <= now)
    }

    /// Returns the new staleness, once after each change; `None` without a change, or where no status was ever received.
    pub fn take_staleness_change(&mut self, now: Micros) -> Option<bool> {
        let is_stale = self.is_stale(now) && self.last_received.is_some();
        (std::mem::replace(&mut self.reported_stale, is_stale) != is_stale).then_some(is_stale)
    }

    /// Returns the access to a zone, and the share of it that is used, in thousandths.
    #[must_use]
    pub fn access(&self, now: Micros, zone: usize) -> (ZoneAccess, u16) {
        if self.is_stale(now) {
            return (ZoneAccess::Open, FULL_WEIGHT);
        }
        let zone_use = self.uses.get(zone).copied().unwrap_or(ZoneUse::FULL);
        match zone_use.state {
            ZoneState::In | ZoneState::Suspect => (ZoneAccess::Open, FULL_WEIGHT),
            ZoneState::Out => (ZoneAccess::Closed, 0),
            // A zone with weight 0 is selected for probes with the least weight; its budget limits their number.
            ZoneState::Probing | ZoneState::Returning => (ZoneAccess::Budgeted, zone_use.weight.max(1)),
        }
    }

    /// Returns whether this node's own zone is out, so that the node should accept no clients.
    #[must_use]
    pub fn is_own_zone_out(&self, now: Micros) -> bool {
        if self.is_stale(now) {
            return false;
        }
        match self.own_zone.and_then(|zone| self.uses.get(zone)) {
            Some(ZoneUse { state: ZoneState::Out | ZoneState::Probing, .. }) => true,
            Some(ZoneUse { state: ZoneState::Returning, weight }) => *weight < MIN_WEIGHT_FOR_CLIENTS,
            _ => false,
        }
    }

    /// Counts a call to a zone as pending.
    pub fn record_call_start(&mut self, now: Micros, zone: usize) {
        self.observer.record_call_start(now, zone);
    }

    /// Counts a call that started at `started_at` as ended.
    pub fn record_call_end(&mut self, now: Micros, zone: usize, started_at: Micros, result: CallResult) {
        self.observer.record_call_end(now, zone, started_at, result);
    }

    /// Returns when the next report is due.
    #[must_use]
    pub fn next_report_at(&self) -> Micros {
        self.last_report + REPORT_INTERVAL
    }

    /// Returns the report on all zones, in the order of the names; `None` before it is due.
    pub fn take_report(&mut self, now: Micros) -> Option<Vec<ZoneHealthReport>> {
        if now < self.next_report_at() {
            return None;
        }
        self.last_report = now;
        Some(self.observer.report(now, &self.names))
    }
}

#[cfg(test)]
mod tests;
