//! The records that operators change: fields, units and ranges.
//!
//! Each record is encoded by postcard: the order of fields and variants is part of the wire format and of the digest. The
//! names in [`ValueError`] are the keys of the operators' files.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::digest::Digest;
use super::error::{ChangeError, ValueError};
use super::identity::{RecordKey, RecordKind};
use super::range_check::{check_count, check_duration, check_figure, check_name_length};
use super::value::{Figure, Name, micros, optional_micros};
use crate::interface::{ClassSettings, Effect, Micros, TenantSettings};

/// Most endpoints of a tier.
pub const ENDPOINTS_MAX: usize = 64;
/// Longest name of a budget, bytes: it is part of the fleet's datagrams.
pub const FLEET_NAME_MAX: usize = 32;
/// Longest name of a zone, bytes: `zone/` and the name together name the budget that limits the traffic on its return.
pub const ZONE_NAME_MAX: usize = FLEET_NAME_MAX - 5;
/// The name of the tier that always exists; its address is in the platform's file.
pub const LEDGER: &str = "ledger";
/// Longest duration in a record: a year.
const DURATION_MAX: Micros = Micros(366 * 86_400 * 1_000_000);
/// Largest capacity of a budget or a zone.
const CAPACITY_MAX: u32 = 1_000_000;

/// How [`Effect`] is encoded in a record.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Effect")]
enum EncodedEffect {
    Retryable,
    Dedup,
    Fragile,
}

/// A class of requests; the stored form of [`ClassSettings`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassRecord {
    /// The name.
    pub name: Name,
    /// A response within this time has the full weight.
    #[serde(with = "micros")]
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of the request's work.
    pub objective_stretch: Figure,
    /// The client's timeout; above 0.
    #[serde(with = "micros")]
    pub deadline: Micros,
    /// Fraction of the weight after the latency objective has passed.
    pub late_weight: Figure,
    /// Priority weight of a request, or of a unit of its work.
    pub weight: Figure,
    /// Whether the request may run again.
    #[serde(with = "EncodedEffect")]
    pub effect: Effect,
    /// How long after a request's arrival a repeat of it may arrive.
    #[serde(with = "micros")]
    pub repeat_window: Micros,
    /// Whether its requests may call dependencies.
    pub may_call_dependencies: bool,
    /// Fraction of the weight that remains where a call was skipped.
    pub weight_without_call: Figure,
}

/// A tenant; the stored form of [`TenantSettings`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRecord {
    /// The name.
    pub name: Name,
    /// Requests per second within its quota, over all nodes.
    pub quota_per_s: Figure,
}

/// The address of a tier.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The address.
    pub address: SocketAddr,
    /// The endpoint's zone, if any. A zone without a record is treated as none, as in the file of tiers.
    pub zone: Option<Name>,
}

/// A tier of dependencies. `None` stands for the program's default.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TierRecord {
    /// The name.
    pub name: Name,
    /// The endpoints: 1 to [`ENDPOINTS_MAX`], none twice; empty for [`LEDGER`].
    pub endpoints: Vec<Endpoint>,
    /// Initial concurrency limit, calls in flight, 1 to 1e9.
    pub limit_start: Option<Figure>,
    /// Largest concurrency limit, calls in flight, 1 to 1e9.
    pub limit_most: Option<Figure>,
    /// Fraction of failures at which the circuit breaker opens, 0.01 to 1.
    pub breaker_failures: Option<Figure>,
    /// How long the circuit breaker stays open at first, 10 ms to 10 min.
    #[serde(with = "optional_micros")]
    pub breaker_open: Option<Micros>,
    /// Consecutive failures that eject an endpoint, 1 to 1,000.
    pub eject_failures: Option<u32>,
    /// Calls per window, from all nodes, that an endpoint gets at the start of its warm-up, 0.01 to 1e6.
    pub slow_start_calls: Option<Figure>,
    /// The window of `slow_start_calls`, 10 ms to 10 min.
    #[serde(with = "optional_micros")]
    pub slow_start_window: Option<Micros>,
    /// How long an endpoint warms up, 10 ms to 1 h.
    #[serde(with = "optional_micros")]
    pub slow_start: Option<Micros>,
    /// Attempts of a call, 1 to 5.
    pub tries: Option<u32>,
    /// Retries as a fraction of first attempts, 0 to 1.
    pub retry_share: Option<Figure>,
    /// Largest burst of retries, 0 to 10,000.
    pub retry_burst: Option<Figure>,
    /// Latency quantile after which a call is hedged, 0.5 to 0.999.
    pub hedge_at: Option<Figure>,
}

/// A zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// The name, at most [`ZONE_NAME_MAX`] bytes.
    pub name: Name,
    /// Capacity: calls in flight, 1 to 1e6.
    pub capacity: u32,
}

/// What a budget limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum BudgetScope {
    /// Calls to a tier.
    Tier(Name),
    /// Retries at a tier.
    Retries(Name),
    /// Requests of a tenant within its quota.
    Tenant(Name),
}

impl BudgetScope {
    /// The key of the tier or tenant.
    #[must_use]
    pub fn key(&self) -> RecordKey {
        let (kind, name) = match self {
            BudgetScope::Tier(name) | BudgetScope::Retries(name) => (RecordKind::Tier, name),
            BudgetScope::Tenant(name) => (RecordKind::Tenant, name),
        };
        RecordKey { kind, name: name.clone() }
    }
}

/// The unit that a budget counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BudgetUnit {
    /// Calls in flight; for a tier only.
    InFlight {
        /// Longest duration of a call at the dependency, 2 ms to 1 h.
        #[serde(with = "micros")]
        max_duration: Micros,
    },
    /// Calls or requests started within a sliding window.
    Rate {
        /// The window, 10 ms to 10 min.
        #[serde(with = "micros")]
        window: Micros,
    },
}

/// A budget that all nodes share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRecord {
    /// The name, at most [`FLEET_NAME_MAX`] bytes.
    pub name: Name,
    /// What it limits.
    pub scope: BudgetScope,
    /// The unit that it counts.
    pub unit: BudgetUnit,
    /// Capacity over all nodes, up to 1e6.
    pub capacity: u32,
    /// Minimum share of each node, whatever its demand; at most the capacity.
    pub min_share: u32,
    /// Whether zones that are out of service reduce the capacity by their share.
    pub scales_with_zones: bool,
}

/// A record of any kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A class.
    Class(ClassRecord),
    /// A tenant.
    Tenant(TenantRecord),
    /// A tier.
    Tier(Box<TierRecord>),
    /// A zone.
    Zone(ZoneRecord),
    /// A budget.
    Budget(BudgetRecord),
}

impl Record {
    /// The kind.
    #[must_use]
    pub fn kind(&self) -> RecordKind {
        match self {
            Record::Class(_) => RecordKind::Class,
            Record::Tenant(_) => RecordKind::Tenant,
            Record::Tier(_) => RecordKind::Tier,
            Record::Zone(_) => RecordKind::Zone,
            Record::Budget(_) => RecordKind::Budget,
        }
    }

    /// The name.
    #[must_use]
    pub fn name(&self) -> &Name {
        match self {
            Record::Class(record) => &record.name,
            Record::Tenant(record) => &record.name,
            Record::Tier(record) => &record.name,
            Record::Zone(record) => &record.name,
            Record::Budget(record) => &record.name,
        }
    }

    /// The key.
    #[must_use]
    pub fn key(&self) -> RecordKey {
        RecordKey { kind: self.kind(), name: self.name().clone() }
    }

    /// The key of the record that this one requires to exist. [`LEDGER`] always exists and is not counted as a reference.
    pub(super) fn reference(&self) -> Option<RecordKey> {
        let Record::Budget(budget) = self else { return None };
        let key = budget.scope.key();
        let is_ledger = key.kind == RecordKind::Tier && key.name.as_str() == LEDGER;
        (!is_ledger).then_some(key)
    }

    /// Checks the values and returns the record's key.
    pub(super) fn checked_key(&self) -> Result<RecordKey, ChangeError> {
        let key = self.key();
        match self.check() {
            Ok(()) => Ok(key),
            Err(error) => Err(ChangeError::InvalidRecord { key, error }),
        }
    }

    /// The record's part of a version's digest. `scratch` is a reusable buffer that saves an allocation.
    pub(super) fn digest(&self, scratch: &mut Vec<u8>) -> Digest {
        scratch.clear();
        // Encoding to memory can't fail; a record that could not be encoded would count as empty in every process.
        if let Ok(bytes) = postcard::to_extend(self, std::mem::take(scratch)) {
            *scratch = bytes;
        }
        Digest::of_bytes(scratch)
    }

    /// Checks the values: a class and a tenant against the ranges of [`crate::Settings::validate`], the others against those
    /// of the operators' files.
    ///
    /// # Errors
    /// The first value out of its range, and the range.
    pub fn check(&self) -> Result<(), ValueError> {
        match self {
            Record::Class(record) => record.check(),
            Record::Tenant(_) => Ok(()),
            Record::Tier(record) => record.check(),
            Record::Zone(record) => record.check(),
            Record::Budget(record) => record.check(),
        }
    }
}

impl ClassRecord {
    fn check(&self) -> Result<(), ValueError> {
        check_duration("deadline", Some(self.deadline), Micros(1)..=DURATION_MAX)?;
        check_duration("aim", Some(self.latency_objective), Micros(0)..=DURATION_MAX)?;
        check_duration("window", Some(self.repeat_window), Micros(0)..=DURATION_MAX)
    }

    /// The settings of the decision module.
    #[must_use]
    pub fn settings(&self) -> ClassSettings {
        ClassSettings {
            name: self.name.as_str().to_owned(),
            latency_objective: self.latency_objective,
            objective_stretch: self.objective_stretch.get(),
            deadline: self.deadline,
            late_weight: self.late_weight.get(),
            priority_weight: self.weight.get(),
            effect: self.effect,
            window: self.repeat_window,
            may_call: self.may_call_dependencies,
            weight_without_call: self.weight_without_call.get(),
            is_retired: false,
        }
    }
}

impl TryFrom<&ClassSettings> for ClassRecord {
    type Error = ValueError;
    fn try_from(class: &ClassSettings) -> Result<ClassRecord, ValueError> {
        let figure = |field, value| Figure::new(value).map_err(|error| ValueError { field, ..error });
        let record = ClassRecord {
            name: Name::new(&class.name)?,
            latency_objective: class.latency_objective,
            objective_stretch: figure("aim-stretch", class.objective_stretch)?,
            deadline: class.deadline,
            late_weight: figure("late-worth", class.late_weight)?,
            weight: figure("points", class.priority_weight)?,
            effect: class.effect,
            repeat_window: class.window,
            may_call_dependencies: class.may_call,
            weight_without_call: figure("worth-without", class.weight_without_call)?,
        };
        record.check()?;
        Ok(record)
    }
}

impl TenantRecord {
    /// The settings of the decision module.
    #[must_use]
    pub fn settings(&self) -> TenantSettings {
        TenantSettings { name: self.name.as_str().to_owned(), quota_per_s: self.quota_per_s.get() }
    }
}

impl TryFrom<&TenantSettings> for TenantRecord {
    type Error = ValueError;
    fn try_from(tenant: &TenantSettings) -> Result<TenantRecord, ValueError> {
        let quota_per_s =
            Figure::new(tenant.quota_per_s).map_err(|error| ValueError { field: "quota-per-s", ..error })?;
        Ok(TenantRecord { name: Name::new(&tenant.name)?, quota_per_s })
    }
}

impl TierRecord {
    /// A tier with these endpoints and the program's defaults.
    #[must_use]
    pub fn with_defaults(name: Name, endpoints: Vec<Endpoint>) -> TierRecord {
        TierRecord {
            name,
            endpoints,
            limit_start: None,
            limit_most: None,
            breaker_failures: None,
            breaker_open: None,
            eject_failures: None,
            slow_start_calls: None,
            slow_start_window: None,
            slow_start: None,
            tries: None,
            retry_share: None,
            retry_burst: None,
            hedge_at: None,
        }
    }

    fn check_endpoints(&self) -> Result<(), ValueError> {
        let is_ledger = self.name.as_str() == LEDGER;
        if is_ledger && !self.endpoints.is_empty() {
            return Err(ValueError::new("endpoints", "are set by the platform's file; leave them out"));
        }
        if !is_ledger && !(1..=ENDPOINTS_MAX).contains(&self.endpoints.len()) {
            let reason =
                format!("are {} in number; there must be 1 to {ENDPOINTS_MAX}", self.endpoints.len());
            return Err(ValueError::new("endpoints", reason));
        }
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if self.endpoints[..index].iter().any(|other| other.address == endpoint.address) {
                return Err(ValueError::new("endpoints", format!("contain {} twice", endpoint.address)));
            }
        }
        Ok(())
    }

    fn check(&self) -> Result<(), ValueError> {
        self.check_endpoints()?;
        let min = Micros::from_millis(10);
        let (ten_minutes, hour) = (Micros::from_millis(600_000), Micros::from_millis(3_600_000));
        check_figure("limit_start", self.limit_start, 1.0..=1e9)?;
        check_figure("limit_most", self.limit_most, 1.0..=1e9)?;
        check_figure("breaker_failures", self.breaker_failures, 0.01..=1.0)?;
        check_duration("breaker_open", self.breaker_open, min..=ten_minutes)?;
        check_count("eject_failures", self.eject_failures.unwrap_or(1), 1..=1_000)?;
        check_figure("slow_start_calls", self.slow_start_calls, 0.01..=1e6)?;
        check_duration("slow_start_window", self.slow_start_window, min..=ten_minutes)?;
        check_duration("slow_start", self.slow_start, min..=hour)?;
        check_count("tries", self.tries.unwrap_or(1), 1..=5)?;
        check_figure("retry_share", self.retry_share, 0.0..=1.0)?;
        check_figure("retry_burst", self.retry_burst, 0.0..=10_000.0)?;
        check_figure("hedge_at", self.hedge_at, 0.5..=0.999)
    }
}

impl ZoneRecord {
    fn check(&self) -> Result<(), ValueError> {
        check_name_length(&self.name, ZONE_NAME_MAX)?;
        check_count("bears", self.capacity, 1..=CAPACITY_MAX)
    }
}

impl BudgetRecord {
    fn check(&self) -> Result<(), ValueError> {
        check_name_length(&self.name, FLEET_NAME_MAX)?;
        check_count("whole", self.capacity, 0..=CAPACITY_MAX)?;
        check_count("floor", self.min_share, 0..=self.capacity)?;
        match (self.unit, &self.scope) {
            (BudgetUnit::InFlight { .. }, BudgetScope::Tenant(_) | BudgetScope::Retries(_)) => {
                Err(ValueError::new(
                    "counts",
                    "are slots; a budget for a member's quota or for further tries must count starts",
                ))
            }
            (BudgetUnit::InFlight { max_duration }, BudgetScope::Tier(_)) => {
                let range = Micros::from_millis(2)..=Micros::from_millis(3_600_000);
                check_duration("longest", Some(max_duration), range)
            }
            (BudgetUnit::Rate { window }, _) => {
                let range = Micros::from_millis(10)..=Micros::from_millis(600_000);
                check_duration("window", Some(window), range)
            }
        }
    }
}
