//! Zones on the side of a node: reports what its calls show of them, and follows what the replicas decide.

use std::cell::RefCell;
use std::rc::Rc;

use serde_json::{Value, json};
use tracing::{info, warn};

use super::Fleet;
use crate::config::fleet as fleet_config;
use crate::config::tiers::Tiers;
use crate::dependencies::zone_routing::ZoneRoutes;
use crate::fleet::datagram::FleetMessage;
use crate::interface::Micros;
use crate::zone::status_cache::ZoneStatusCache;
use crate::zone::{ZoneOrder, ZoneStatus, ZoneStatusMap};

impl Fleet {
    /// Which zones calls to these tiers may go to; none where the fleet has no zones.
    pub fn routes(&self, tiers: &Tiers) -> Option<ZoneRoutes> {
        let zone_status = self.zone_status.clone()?;
        Some(ZoneRoutes::new(zone_status, self.permit_time.clone(), self.config.routes(tiers)?))
    }

    /// The lease clock's time, µs.
    pub(super) fn now_us(&self) -> Micros {
        Micros(self.clock.now().0)
    }

    /// Calls a function with the zones' statuses; none where the fleet has no zones.
    fn with_zones<T>(&self, f: impl FnOnce(&mut ZoneStatusCache, Micros) -> T) -> Option<T> {
        let now = self.now_us();
        self.zone_status.as_ref().map(|cache| f(&mut cache.borrow_mut(), now))
    }

    /// How long until the next report is due.
    pub(super) fn time_to_zone_timer(&self) -> Micros {
        self.with_zones(|cache, now| cache.next_report_at() - now).unwrap_or(Micros(u64::MAX))
    }

    /// Whether this node should take no callers, as its own zone is out.
    pub fn is_out_of_service(&self) -> bool {
        self.with_zones(|cache, now| cache.is_own_zone_out(now)).unwrap_or(false)
    }

    /// Sends the leader what this node's calls show of the zones, once that is due.
    pub(super) fn report_zone_health(&self) {
        let report = self
            .with_zones(|cache, now| cache.take_report(now).map(|reports| (cache.statuses().epoch, reports)));
        let Some(Some((epoch, seen))) = report else { return };
        match self.with_zones(ZoneStatusCache::take_staleness_change).flatten() {
            Some(true) => warn!("zones: no replica heard from; from here on by this node's own evidence"),
            Some(false) => info!("zones: replicas heard from again"),
            None => {}
        }
        let node = self.lease_holder.borrow().holder().name.clone();
        let zone = self.config.here.zone.clone();
        if let Ok(frame) = self.codec.encode(&FleetMessage::ZoneHealth { node, zone, epoch, reports: seen })
            && let Some(address) = self.leader.borrow().current()
        {
            let _ = self.socket.try_send_to(&frame, address);
        }
    }

    /// Takes over the zones' statuses from a replica, and logs those that changed.
    pub(super) fn update_zone_statuses(&self, statuses: &ZoneStatusMap) {
        let changes = self.with_zones(|cache, now| cache.receive_statuses(now, statuses)).unwrap_or_default();
        for (was, is) in changes {
            let order = is.order.map_or(String::new(), |order| format!(" ({order:?})"));
            info!(
                zone = %is.zone, epoch = statuses.epoch,
                "zone {} {} -> {} {}{order}", was.state, was.weight, is.state, is.weight
            );
        }
    }

    /// Sends an operator's order to all replicas; the leader carries it out. False where the fleet has no zones.
    pub fn send_zone_order(&self, zone: &str, order: ZoneOrder) -> bool {
        self.order_rejection.replace(None);
        let Ok(frame) = self.codec.encode(&FleetMessage::ZoneOrder { zone: zone.to_owned(), order }) else {
            return false;
        };
        for address in self.leader.borrow().replica_addrs() {
            let _ = self.socket.try_send_to(&frame, address);
        }
        self.zone_status.is_some()
    }

    /// The zones' part of the control address's answer. Its keys are an interface.
    pub(super) fn zones_report(&self) -> Value {
        let Some((statuses, is_blind)) =
            self.with_zones(|cache, now| (cache.statuses().clone(), cache.is_stale(now)))
        else {
            return Value::Null;
        };
        json!({"epoch": statuses.epoch, "own_evidence": is_blind, "refused": *self.order_rejection.borrow(),
            "zones": statuses.statuses.iter().map(zone_report).collect::<Vec<_>>()})
    }
}

fn zone_report(status: &ZoneStatus) -> Value {
    json!({"zone": status.zone, "life": status.state.to_string(), "weight": status.weight,
        "failures": status.consecutive_failures, "order": status.order.map(|order| format!("{order:?}").to_lowercase())})
}

/// A node's zone statuses, where the fleet's file has zones.
pub(super) fn zone_status_cache(
    config: &fleet_config::Fleet,
    now: Micros,
) -> Option<Rc<RefCell<ZoneStatusCache>>> {
    let zones = config.zones.as_ref()?;
    let cache =
        ZoneStatusCache::new(now, zones.evaluation.zones.clone(), &config.here.zone, zones.decision_lifetime);
    Some(Rc::new(RefCell::new(cache)))
}
