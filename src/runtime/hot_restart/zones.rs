//! The statuses of the fleet's zones while the node has two processes.
//!
//! The replicas own the statuses, and each process receives them. A successor has received none when it starts, so it takes over
//! what the incumbent has; from then on each tells the other of a newer epoch, so that neither answers for the node by an older one.

use super::Runtime;
use crate::service::handover::{HandoverMessage, SharedZoneStatuses};

impl Runtime {
    /// The zones' statuses to tell the other process now. `None` if there are none, it can't take them, or has them.
    pub(super) fn zones_for_peer(&mut self) -> Option<SharedZoneStatuses> {
        let fleet = self.fleet.as_ref()?;
        let epoch = fleet.zone_epoch();
        let link = self.peer_process.as_mut().filter(|link| link.features.zones && !link.is_given_up)?;
        if link.told_zone_epoch >= epoch {
            return None;
        }
        link.told_zone_epoch = epoch;
        fleet.shared_zone_statuses()
    }

    /// Tells the other process of newer statuses of the zones.
    pub(in crate::runtime) fn share_zones(&mut self) {
        if let Some(zones) = self.zones_for_peer() {
            self.send_to_peer(vec![HandoverMessage::Zones(zones)]);
        }
    }

    /// Puts the statuses of the zones in force that the other process has received.
    pub(super) fn receive_zones(&mut self, zones: &SharedZoneStatuses) {
        if let Some(fleet) = &self.fleet {
            fleet.receive_shared_zone_statuses(zones);
            self.follow_own_zone();
        }
    }
}
