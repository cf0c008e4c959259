//! A node's side of the zones: reports the zones' health as its calls show it, and follows the statuses that the replicas
//! decide.

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
use crate::service::handover::SharedZoneStatuses;
use crate::zone::status_cache::ZoneStatusCache;
use crate::zone::{ZoneOrder, ZoneStatus, ZoneStatusMap};

impl Fleet {
    /// Which zones calls to these tiers may go to. `None` if the fleet has no zones.
    pub fn routes(&self, tiers: &Tiers) -> Option<ZoneRoutes> {
        let zone_status = self.zone_status.clone()?;
        Some(ZoneRoutes::new(zone_status, self.permit_time.clone(), self.config.routes(tiers)?))
    }

    /// The lease clock's time, µs.
    pub(super) fn now_us(&self) -> Micros {
        Micros(self.clock.now().0)
    }

    /// Calls a function with the zones' statuses and the time. `None` if the fleet has no zones.
    fn with_zones<T>(&self, f: impl FnOnce(&mut ZoneStatusCache, Micros) -> T) -> Option<T> {
        let now = self.now_us();
        self.zone_status.as_ref().map(|cache| f(&mut cache.borrow_mut(), now))
    }

    /// Time until the next health report is due; the maximum if the fleet has no zones.
    pub(super) fn time_to_zone_timer(&self) -> Micros {
        self.with_zones(|cache, now| cache.next_report_at() - now).unwrap_or(Micros(u64::MAX))
    }

    /// Whether this node should accept no callers because its own zone is out.
    pub fn is_out_of_service(&self) -> bool {
        self.with_zones(|cache, now| cache.is_own_zone_out(now)).unwrap_or(false)
    }

    /// Sends the zones' health as this node's calls show it to the leader, once a report is due.
    pub(super) fn report_zone_health(&self) {
        let report = self
            .with_zones(|cache, now| cache.take_report(now).map(|reports| (cache.statuses().epoch, reports)));
        let Some(Some((epoch, reports))) = report else { return };
        match self.with_zones(ZoneStatusCache::take_staleness_change).flatten() {
            Some(true) => warn!("zones: no replica heard from; from here on by this node's own evidence"),
            Some(false) => info!("zones: replicas heard from again"),
            None => {}
        }
        let node = self.lease_holder.borrow().holder().name.clone();
        let zone = self.config.here.zone.clone();
        if let Ok(frame) = self.codec.encode(&FleetMessage::ZoneHealth { node, zone, epoch, reports })
            && let Some(address) = self.leader.borrow().current()
        {
            let _ = self.socket.try_send_to(&frame, address);
        }
    }

    /// Stores the zones' statuses from a replica, and logs those that changed.
    pub(super) fn update_zone_statuses(&self, statuses: &ZoneStatusMap) {
        self.apply_zone_statuses(Micros(0), statuses);
    }

    /// The zones' statuses that were received last, for another process of this node. `None` without any.
    pub fn shared_zone_statuses(&self) -> Option<SharedZoneStatuses> {
        self.with_zones(|cache, now| {
            cache.received(now).map(|(statuses, age)| SharedZoneStatuses { age, statuses: statuses.clone() })
        })?
    }

    /// The epoch of the zones' statuses that were received last; 0 without any.
    pub fn zone_epoch(&self) -> u64 {
        self.with_zones(|cache, _| cache.statuses().epoch).unwrap_or_default()
    }

    /// Stores the zones' statuses that another process of this node has received.
    pub fn receive_shared_zone_statuses(&self, shared: &SharedZoneStatuses) {
        self.apply_zone_statuses(shared.age, &shared.statuses);
    }

    fn apply_zone_statuses(&self, age: Micros, statuses: &ZoneStatusMap) {
        let changes =
            self.with_zones(|cache, now| cache.receive_statuses(now - age, statuses)).unwrap_or_default();
        for (before, after) in changes {
            let order = after.order.map_or(String::new(), |order| format!(" ({order:?})"));
            info!(
                zone = %after.zone, epoch = statuses.epoch,
                "zone {} {} -> {} {}{order}", before.state, before.weight, after.state, after.weight
            );
        }
    }

    /// Sends an operator's order to all replicas; the leader carries it out. False if the order can't be encoded or the fleet
    /// has no zones.
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

    /// The zones' part of the response at the control address. Its keys are an interface.
    pub(super) fn zones_report(&self) -> Value {
        let Some((statuses, is_stale)) =
            self.with_zones(|cache, now| (cache.statuses().clone(), cache.is_stale(now)))
        else {
            return Value::Null;
        };
        json!({"epoch": statuses.epoch, "own_evidence": is_stale, "refused": *self.order_rejection.borrow(),
            "zones": statuses.statuses.iter().map(zone_report).collect::<Vec<_>>()})
    }
}

fn zone_report(status: &ZoneStatus) -> Value {
    json!({"zone": status.zone, "life": status.state.to_string(), "weight": status.weight,
        "failures": status.consecutive_failures, "order": status.order.map(|order| format!("{order:?}").to_lowercase())})
}

/// A new cache of the zones' statuses. `None` if the fleet's file has no zones.
pub(super) fn zone_status_cache(
    config: &fleet_config::Fleet,
    now: Micros,
) -> Option<Rc<RefCell<ZoneStatusCache>>> {
    let zones = config.zones.as_ref()?;
    let cache =
        ZoneStatusCache::new(now, zones.evaluation.zones.clone(), &config.here.zone, zones.decision_lifetime);
    Some(Rc::new(RefCell::new(cache)))
}
