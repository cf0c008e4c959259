//! How versions and records are identified, and how many records of a kind there may be.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::value::Name;

/// Most classes: twice the routes that are planned for.
pub const CLASSES_MAX: usize = 16_384;
/// Most tenants: twice those that are planned for.
pub const TENANTS_MAX: usize = 65_536;
/// Most tiers: three times the services that are planned for.
pub const TIERS_MAX: usize = 1_024;
/// Most zones: as many as the zone health evaluator handles.
pub const ZONES_MAX: usize = 20;
/// Most budgets: one for each tenant, and some for each tier.
pub const BUDGETS_MAX: usize = 69_632;

/// The number of a version. Version 0 precedes all changes: it has no records, and only the platform's file is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

impl Revision {
    /// The next number; `None` after the largest.
    #[must_use]
    pub fn next(self) -> Option<Revision> {
        self.0.checked_add(1).map(Revision)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The kind of a record. The order of the variants is the order of records in all lists, and part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKind {
    /// A class of requests.
    Class,
    /// A tenant.
    Tenant,
    /// A tier of dependencies.
    Tier,
    /// A zone.
    Zone,
    /// A budget that all nodes share.
    Budget,
}

impl RecordKind {
    /// All kinds, in order.
    pub const ALL: [RecordKind; 5] =
        [RecordKind::Class, RecordKind::Tenant, RecordKind::Tier, RecordKind::Zone, RecordKind::Budget];

    /// Most records of this kind in a version.
    #[must_use]
    pub const fn max_records(self) -> usize {
        match self {
            RecordKind::Class => CLASSES_MAX,
            RecordKind::Tenant => TENANTS_MAX,
            RecordKind::Tier => TIERS_MAX,
            RecordKind::Zone => ZONES_MAX,
            RecordKind::Budget => BUDGETS_MAX,
        }
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RecordKind::Class => "class",
            RecordKind::Tenant => "tenant",
            RecordKind::Tier => "tier",
            RecordKind::Zone => "zone",
            RecordKind::Budget => "budget",
        })
    }
}

/// Identifies a record within a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// The kind.
    pub kind: RecordKind,
    /// The name, unique among records of the kind.
    pub name: Name,
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} \"{}\"", self.kind, self.name)
    }
}
