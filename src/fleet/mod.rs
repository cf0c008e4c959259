//! Budgets that all processes of a fleet share, and the state that the processes agree on: leases, zones, configuration.
//!
//! State machines without I/O; the caller passes the time of a clock that also counts while a process is stopped or its
//! machine sleeps. Invariant: the permits in use over all processes never exceed a budget's capacity, whichever process
//! fails, is stopped and continued, or can't be reached. `docs/design/fleet-budgets.md` states the bounds and why it holds.
//! Sockets, timers and storage are in `runtime`.

pub mod compressed_change;
pub mod datagram;
pub mod leader_tracker;
pub mod lease;
pub mod membership;
pub mod replica_state;
pub mod version_status;

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::fleet::lease::ledger::BudgetCapacity;
use crate::interface::Micros;
use crate::zone::{FULL_WEIGHT, ZoneState, ZoneStatusMap};

/// An instant on a process's own clock, in µs from an origin that only this process knows. The clock never goes back, counts
/// while the process is stopped or the machine sleeps, and does not follow the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseInstant(pub u64);

impl Add<Micros> for LeaseInstant {
    type Output = LeaseInstant;
    fn add(self, span: Micros) -> LeaseInstant {
        LeaseInstant(self.0.saturating_add(span.0))
    }
}

impl Sub for LeaseInstant {
    type Output = Micros;
    fn sub(self, other: LeaseInstant) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

/// One process of a node. The name is the node's. The incarnation differs for each process of the node, so that leases of
/// a former process are never taken for those of a later one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolderId {
    /// The node's name, at most [`NAME_MAX`] bytes.
    pub name: String,
    /// Wall-clock time of the process's start, µs of Unix time.
    pub incarnation: u64,
}

impl fmt::Display for LeaseHolderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:08x}", self.name, self.incarnation as u32)
    }
}

/// Longest name of a node, replica, zone or budget, bytes. It keeps a request for all budgets within a datagram.
pub const NAME_MAX: usize = 32;
/// Most budgets of a fleet: a request for all of them fits a datagram.
pub const BUDGETS_MAX: usize = 24;

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetKind {
    /// Concurrent calls downstream. A call whose end is unknown counts for `max_duration` after its permit was granted.
    Slots {
        /// Longest time from a permit until its call has ended downstream.
        max_duration: Micros,
    },
    /// Calls started within a sliding window.
    Starts {
        /// Length of the window.
        window: Micros,
    },
}

/// Timing bounds that the capacity invariant depends on; all processes of a fleet have the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseBounds {
    /// A lease expires this long after the request that renewed it was sent.
    pub lease_duration: Micros,
    /// Largest difference between the speeds of two clocks, as a fraction: 0.01 is 1%.
    pub drift: f64,
    /// Longest time from a permit until the service downstream counts the call.
    pub transit: Micros,
}

impl LeaseBounds {
    /// Returns a duration on this clock after which `span` has passed on every other clock.
    #[must_use]
    pub fn with_drift_margin(&self, span: Micros) -> Micros {
        Micros((span.0 as f64 * (1.0 + self.drift)).ceil() as u64 + 1)
    }

    /// Returns how long a permit counts as in use if nothing proves the end of its call.
    #[must_use]
    pub fn permit_lifetime(&self, kind: BudgetKind) -> Micros {
        self.with_drift_margin(match kind {
            BudgetKind::Slots { max_duration } => max_duration,
            BudgetKind::Starts { window } => window + self.transit,
        })
    }
}

/// One budget, as configured for every process of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Name of the budget, at most [`NAME_MAX`] bytes.
    pub name: String,
    /// What the budget limits.
    pub kind: BudgetKind,
    /// Units over all nodes.
    pub capacity: u32,
    /// Units that each node gets whatever its demand, if the capacity suffices; a new node starts with them.
    pub min_share: u32,
    /// What the capacity depends on.
    pub scope: CapacityScope,
}

impl Budget {
    /// Returns the capacity as the replicas agree on it.
    pub(crate) fn to_capacity(&self) -> BudgetCapacity {
        BudgetCapacity {
            budget: self.name.clone(),
            capacity: self.capacity,
            min_share: self.min_share,
            scope: self.scope.clone(),
        }
    }
}

/// What a budget's capacity depends on, beside its configured value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum CapacityScope {
    /// The capacity is the configured value.
    #[default]
    Fixed,
    /// All zones together: each zone that is wholly or partly out of service reduces it.
    Zones,
    /// This zone alone: a few units while the zone is probed, a part in proportion to its weight while it returns, and
    /// none otherwise.
    Zone(String),
}

/// Most concurrent calls, over all nodes, to a zone that is being probed.
const PROBE_CALLS: u32 = 2;

impl CapacityScope {
    /// Returns how much of a configured capacity may be granted with zones in this status.
    #[must_use]
    pub fn effective_capacity(&self, capacity: u32, zones: &ZoneStatusMap) -> u32 {
        match self {
            CapacityScope::Fixed => capacity,
            // The addend corrects rounding: 240 units with one of three zones out of service are 160, not 159.
            CapacityScope::Zones => (f64::from(capacity) * zones.share_in_use() + 1e-6) as u32,
            CapacityScope::Zone(zone) => match zones.get(zone).map(|status| (status.state, status.weight)) {
                Some((ZoneState::Probing, _)) => PROBE_CALLS.min(capacity),
                Some((ZoneState::Returning, weight)) => {
                    let part = u64::from(capacity) * u64::from(weight) / u64::from(FULL_WEIGHT);
                    u32::try_from(part).unwrap_or(capacity).max(PROBE_CALLS.min(capacity))
                }
                _ => 0,
            },
        }
    }
}
