//! Zones: which of them the fleet uses, and how much of each. Decisions without I/O; the time is a parameter.
//!
//! [`health_report`] counts the calls of one node to each zone, [`health_evaluator`] decides from the reports of all nodes,
//! [`ZoneStatusMap`] has the statuses that the replicas have agreed on, and [`status_cache`] is each node's copy of them.
//! `docs/design/zones.md` gives the reasons.
//!
//! The epoch of the agreed statuses grows with each change, and no older epoch replaces a newer one. Other modules
//! agree on the statuses and exchange the datagrams.

mod decision;
pub mod health_evaluator;
pub mod health_report;
pub mod status_cache;

use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most zones of a fleet: a report on all of them fits a datagram.
pub const MAX_ZONES: usize = 20;
/// The weight of a zone in full use; weights are thousandths.
pub const FULL_WEIGHT: u16 = 1_000;

/// How a zone is used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ZoneState {
    /// In full use.
    #[default]
    In,
    /// In full use, but recent reports show it failing.
    Suspect,
    /// Out of service: no new call goes to the zone.
    Out,
    /// Out of service except for a few concurrent calls, over all nodes, that test whether it works again.
    Probing,
    /// In use in proportion to its weight.
    Returning,
}

impl fmt::Display for ZoneState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ZoneState::In => "in",
            ZoneState::Suspect => "suspect",
            ZoneState::Out => "out",
            ZoneState::Probing => "probing",
            ZoneState::Returning => "returning",
        })
    }
}

/// An operator's order for one zone; it takes precedence over observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ZoneOrder {
    /// Take the zone out and keep it out.
    Leave,
    /// Return the zone to service by the usual steps and by observations.
    Return,
    /// Keep the zone's present state and weight.
    Hold,
}

/// The reason why an operator's order is not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ZoneOrderError {
    /// There is no zone of this name.
    #[error("there is no zone \"{0}\"")]
    UnknownZone(String),
    /// The zone can't be taken out, as no other zone is in use.
    #[error("\"{0}\" is the last zone in")]
    LastZoneInUse(String),
}

/// The agreed status of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Name of the zone.
    pub zone: String,
    /// State of the zone.
    pub state: ZoneState,
    /// Share of the zone that is used, in thousandths.
    pub weight: u16,
    /// Consecutive failures; each lengthens the next period out of service.
    pub consecutive_failures: u8,
    /// The operator's order in force.
    pub order: Option<ZoneOrder>,
}

impl ZoneStatus {
    /// Returns the status of a zone in full use.
    #[must_use]
    pub fn new(zone: &str) -> ZoneStatus {
        ZoneStatus {
            zone: zone.to_owned(),
            state: ZoneState::In,
            weight: FULL_WEIGHT,
            consecutive_failures: 0,
            order: None,
        }
    }

    /// Returns whether calls go to the zone without restriction.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        matches!(self.state, ZoneState::In | ZoneState::Suspect)
    }

    fn set(&mut self, state: ZoneState, weight: u16) {
        (self.state, self.weight) = (state, weight);
    }
}

/// New statuses of all zones, decided from the agreed statuses of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatusUpdate {
    /// The epoch of the agreed statuses that the update was decided from.
    pub base_epoch: u64,
    /// The new statuses of all zones.
    pub statuses: Vec<ZoneStatus>,
}

/// The agreed statuses of all zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatusMap {
    /// Number of changes so far.
    pub epoch: u64,
    /// One status per zone.
    pub statuses: Vec<ZoneStatus>,
}

impl ZoneStatusMap {
    /// Returns the status of a zone; `None` where it has none yet.
    #[must_use]
    pub fn get(&self, zone: &str) -> Option<&ZoneStatus> {
        self.statuses.iter().find(|status| status.zone == zone)
    }

    /// Applies an update. Returns false and changes nothing where it was decided from another epoch or has more
    /// than [`MAX_ZONES`] zones.
    pub fn apply(&mut self, update: &ZoneStatusUpdate) -> bool {
        if update.base_epoch != self.epoch || update.statuses.len() > MAX_ZONES {
            return false;
        }
        self.epoch += 1;
        self.statuses.clone_from(&update.statuses);
        true
    }

    /// Carries out an operator's order, whatever the epoch.
    ///
    /// # Errors
    /// There is no such zone, or it is to be taken out and no other zone is in use.
    pub fn apply_order(&mut self, zone: &str, order: ZoneOrder) -> Result<(), ZoneOrderError> {
        let Some(index) = self.statuses.iter().position(|status| status.zone == zone) else {
            return Err(ZoneOrderError::UnknownZone(zone.to_owned()));
        };
        let is_other_in_use =
            self.statuses.iter().enumerate().any(|(other, status)| other != index && status.is_in_use());
        if order == ZoneOrder::Leave && !is_other_in_use {
            return Err(ZoneOrderError::LastZoneInUse(zone.to_owned()));
        }
        let status = &mut self.statuses[index];
        match order {
            ZoneOrder::Leave => status.set(ZoneState::Out, 0),
            ZoneOrder::Return if status.state == ZoneState::Out => status.set(ZoneState::Probing, 0),
            ZoneOrder::Return | ZoneOrder::Hold => {}
        }
        status.order = Some(order).filter(|order| *order != ZoneOrder::Return);
        self.epoch += 1;
        Ok(())
    }

    /// Returns the share of all zones together that is in use, 0 to 1; 1 where there are no zones.
    #[must_use]
    pub fn share_in_use(&self) -> f64 {
        if self.statuses.is_empty() {
            return 1.0;
        }
        let weights: f64 = self.statuses.iter().map(|status| f64::from(status.weight)).sum();
        weights / (self.statuses.len() as f64 * f64::from(FULL_WEIGHT))
    }
}

#[cfg(test)]
mod tests;
