//! The operators' fleet file: the replicas of the budget ledger, the budgets, and this process's place in the fleet.
//!
//! Nodes and replicas read the same file; only `[here]` differs. Without it a process runs outside any fleet.
//! The file's table `[keepers]` lists the replicas.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::ConfigError;
use super::doc::{Doc, few};
use super::tiers::{Tiers, ms};
use super::zones::{Zones, ZonesFile};
use crate::config_store::CanaryPolicy;
use crate::dependencies::quota::TierQuota;
use crate::dependencies::zone_routing::ZoneIndex;
use crate::fleet::{BUDGETS_MAX, Budget, BudgetKind, CapacityScope, LeaseBounds, NAME_MAX};
use crate::interface::{Micros, Settings, TenantId};

/// Allowed replica counts: an even count tolerates no more failures than one less, and more than five are only slower.
const REPLICA_COUNTS: [usize; 3] = [1, 3, 5];

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    fleet: FleetFile,
    #[serde(default)]
    here: HereFile,
    keepers: BTreeMap<String, String>,
    #[serde(default)]
    budgets: BTreeMap<String, BudgetFile>,
    zones: Option<ZonesFile>,
    catalog: Option<CatalogFile>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    name: String,
    #[serde(default = "lease_ms")]
    lease_ms: f64,
    #[serde(default = "drift")]
    drift: f64,
    #[serde(default = "transit_ms")]
    transit_ms: f64,
}

fn lease_ms() -> f64 {
    3_000.0
}

fn drift() -> f64 {
    0.01
}

fn transit_ms() -> f64 {
    100.0
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct HereFile {
    listen: Option<String>,
    zone: String,
    region: String,
    weight: Option<u32>,
    reach: BTreeMap<String, String>,
    drill_clock_speed: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BudgetFile {
    tier: Option<String>,
    member: Option<String>,
    slots: Option<u32>,
    longest_ms: Option<f64>,
    starts: Option<u32>,
    further: Option<u32>,
    window_ms: Option<f64>,
    #[serde(default = "floor")]
    floor: u32,
    #[serde(default)]
    by_zone: bool,
}

fn floor() -> u32 {
    1
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CatalogFile {
    #[serde(default = "spread_ms")]
    spread_ms: f64,
    #[serde(default = "start_ms")]
    start_ms: f64,
    #[serde(default = "served")]
    served: u32,
    #[serde(default = "first")]
    first: u32,
    #[serde(default = "bad")]
    bad: u32,
    #[serde(default = "hold_ms")]
    hold_ms: f64,
    #[serde(default = "patience_ms")]
    patience_ms: f64,
}

fn spread_ms() -> f64 {
    1_000.0
}

fn start_ms() -> f64 {
    3_000.0
}

fn served() -> u32 {
    32
}

fn first() -> u32 {
    8
}

fn bad() -> u32 {
    3
}

fn hold_ms() -> f64 {
    750.0
}

fn patience_ms() -> f64 {
    2_500.0
}

/// How the configuration that the replicas store reaches the nodes. Without it no node requests any.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Window within which a node fetches a newer revision, at a random offset of its own.
    pub within: Micros,
    /// Longest time that a starting node waits for the newest revision before it accepts clients.
    pub start: Micros,
    /// Nodes and commands that one replica serves at a time; others are told to retry later.
    pub served: usize,
    /// How the canary nodes try a version before all nodes may fetch it.
    pub trial: CanaryPolicy,
}

/// This process's place in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Here {
    /// Address on which a node receives the fleet's datagrams; the port may be 0.
    pub listen: SocketAddr,
    /// Its zone; may be empty.
    pub zone: String,
    /// Its region; may be empty.
    pub region: String,
    /// Its weight relative to other nodes, 1 to 1,000.
    pub weight: u32,
    /// Addresses by process name, where this process can't use the address that another one advertises.
    pub reach: BTreeMap<String, SocketAddr>,
    /// Speed of its clock, for drills; 1.0 outside them.
    pub clock_speed: f64,
}

/// What consumes a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BudgetTarget {
    /// Calls to a tier.
    Tier(String),
    /// Retries and hedges at a tier beyond those that first attempts have earned.
    Further(String),
    /// Requests of a tenant within its quota.
    Member(String),
}

/// One budget, and what consumes it.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBudget {
    /// The capacity that is divided among the nodes.
    pub budget: Budget,
    /// What consumes it.
    pub of: BudgetTarget,
}

/// The fleet file, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Path of the file.
    pub file: PathBuf,
    /// The fleet's name.
    pub name: String,
    /// Lease length, clock drift and transit time that lease safety depends on.
    pub bounds: LeaseBounds,
    /// This process's place in the fleet.
    pub here: Here,
    /// Addresses of the replicas by name, the same in every process; each serves datagrams and streams alike.
    pub keepers: BTreeMap<String, SocketAddr>,
    /// The budgets, by name.
    pub budgets: Vec<FleetBudget>,
    /// The zones, where the fleet takes them out of service and returns them as one.
    pub zones: Option<Zones>,
    /// How the agreed configuration reaches the nodes; `None` where it is off.
    pub catalog: Option<RolloutSettings>,
}

impl Fleet {
    /// Reads the file. On a node, the tiers and tenants that it names must exist; a replica has neither and passes `None`.
    ///
    /// # Errors
    /// The first invalid value, with its file and line and what is allowed.
    pub fn load(path: &Path, node: Option<(&Tiers, &Settings)>) -> Result<Fleet, ConfigError> {
        Fleet::read(&Doc::open(path)?, node)
    }

    fn read(doc: &Doc, node: Option<(&Tiers, &Settings)>) -> Result<Fleet, ConfigError> {
        let file: File = doc.read()?;
        let f = &file.fleet;
        check_name(doc, &["fleet", "name"], &f.name)?;
        check_range(doc, &["fleet", "lease_ms"], f.lease_ms, 200.0, 600_000.0, "ms")?;
        check_range(doc, &["fleet", "drift"], f.drift, 0.0, 0.2, "as a share")?;
        check_range(doc, &["fleet", "transit_ms"], f.transit_ms, 2.0, 60_000.0, "ms")?;
        if !REPLICA_COUNTS.contains(&file.keepers.len()) {
            let n = file.keepers.len();
            return Err(doc.bad(&["keepers"], format!("{n} keepers; right would be 1, 3 or 5")));
        }
        let mut replicas = BTreeMap::new();
        for (name, at) in &file.keepers {
            check_name(doc, &["keepers", name], name)?;
            let at = parse_address(doc, &["keepers", name], at)?;
            if replicas.values().any(|other| *other == at) {
                return Err(doc.bad(&["keepers", name], format!("{at} is another keeper's")));
            }
            replicas.insert(name.clone(), at);
        }
        let zones = file.zones.as_ref().map(|z| Zones::read(doc, z, f.transit_ms)).transpose()?;
        let returns = zones.as_ref().map_or(0, |z| z.bears.len());
        if file.budgets.len() + returns > BUDGETS_MAX {
            let most = BUDGETS_MAX - returns.min(BUDGETS_MAX);
            return Err(doc.bad(&["budgets"], format!("there may be {most} at most, beside {returns} zones")));
        }
        if let Some(name) = file.budgets.iter().find(|b| b.1.by_zone && zones.is_none()).map(|b| b.0) {
            return Err(doc.bad(&["budgets", name, "by_zone"], "needs [zones]"));
        }
        let mut budgets = Vec::new();
        for (name, b) in &file.budgets {
            budgets.push(check_budget(doc, name, b, &f.transit_ms, node)?);
        }
        Ok(Fleet {
            file: doc.path.clone(),
            name: f.name.clone(),
            bounds: LeaseBounds { lease_duration: ms(f.lease_ms), drift: f.drift, transit: ms(f.transit_ms) },
            here: check_here(doc, &file.here)?,
            keepers: replicas,
            budgets,
            zones,
            catalog: file.catalog.as_ref().map(|c| rollout_settings(doc, c)).transpose()?,
        })
    }

    /// All budgets that are divided: those of the file, then one per zone for its return to service.
    pub fn all_budgets(&self) -> Vec<Budget> {
        let returns = self.zones.iter().flat_map(Zones::budgets);
        self.budgets.iter().map(|b| b.budget.clone()).chain(returns).collect()
    }

    /// For each tier the zones of its endpoints, and for each zone the index of its return budget; `None` without zones.
    pub fn routes(&self, tiers: &Tiers) -> Option<ZoneIndex> {
        let zones = &self.zones.as_ref()?.evaluation.zones;
        let index = |name: &String| zones.iter().position(|z| z == name);
        let of = tiers.plans.tiers.iter().map(|t| t.zones.iter().map(index).collect()).collect();
        let returns = (0..zones.len()).map(|z| self.budgets.len() + z).collect();
        Some(ZoneIndex { endpoint_zones: of, recovery_budgets: returns })
    }

    /// For each tier the indexes of the budgets that its calls and retries consume.
    pub fn quota_by_tier(&self, tiers: &Tiers) -> Vec<TierQuota> {
        let indexes = |of: BudgetTarget| self.indexes_of(&of).collect();
        let all = tiers.plans.tiers.iter().map(|t| &t.name);
        all.map(|name| TierQuota {
            calls: indexes(BudgetTarget::Tier(name.clone())),
            retries: indexes(BudgetTarget::Further(name.clone())),
        })
        .collect()
    }

    /// For each tenant of the settings with a quota budget, the index of that budget.
    pub fn budget_by_tenant(&self, settings: &Settings) -> HashMap<TenantId, usize> {
        let mut all = HashMap::new();
        for (index, b) in self.budgets.iter().enumerate() {
            if let BudgetTarget::Member(name) = &b.of
                && let Some(member) = settings.tenant(name)
            {
                all.entry(member).or_insert(index);
            }
        }
        all
    }

    /// Indexes of the budgets with this target.
    fn indexes_of<'a>(&'a self, of: &'a BudgetTarget) -> impl Iterator<Item = usize> + 'a {
        self.budgets.iter().enumerate().filter(move |(_, b)| b.of == *of).map(|(i, _)| i)
    }
}

/// Checks that a value is within its range.
pub(super) fn check_range(
    doc: &Doc,
    at: &[&str],
    x: f64,
    least: f64,
    most: f64,
    unit: &str,
) -> Result<(), ConfigError> {
    if (least..=most).contains(&x) {
        return Ok(());
    }
    Err(doc.bad(at, format!("is {x}; it must be {least} to {most} {unit}")))
}

/// Checks the length of a name.
pub(super) fn check_name(doc: &Doc, at: &[&str], name: &str) -> Result<(), ConfigError> {
    if (1..=NAME_MAX).contains(&name.len()) {
        return Ok(());
    }
    Err(doc.bad(at, format!("a name has 1 to {NAME_MAX} bytes")))
}

fn parse_address(doc: &Doc, at: &[&str], text: &str) -> Result<SocketAddr, ConfigError> {
    let example = "right would be one such as \"127.0.0.1:7400\"";
    text.parse().map_err(|_| doc.bad(at, format!("\"{text}\" is no address; {example}")))
}

/// Checks the table `[catalog]`.
fn rollout_settings(doc: &Doc, c: &CatalogFile) -> Result<RolloutSettings, ConfigError> {
    check_range(doc, &["catalog", "spread_ms"], c.spread_ms, 0.0, 60_000.0, "ms")?;
    check_range(doc, &["catalog", "start_ms"], c.start_ms, 0.0, 60_000.0, "ms")?;
    check_range(doc, &["catalog", "served"], f64::from(c.served), 1.0, 1_000.0, "at a time")?;
    check_range(doc, &["catalog", "first"], f64::from(c.first), 1.0, 64.0, "nodes")?;
    check_range(
        doc,
        &["catalog", "bad"],
        f64::from(c.bad),
        1.0,
        f64::from(c.first),
        "of those that go first",
    )?;
    check_range(doc, &["catalog", "hold_ms"], c.hold_ms, 0.0, 600_000.0, "ms")?;
    // Nodes report at least once a second, and one or two reports may be lost.
    check_range(doc, &["catalog", "patience_ms"], c.patience_ms, 2_000.0, 600_000.0, "ms")?;
    let trial = CanaryPolicy {
        max_canaries: c.first as usize,
        probation: ms(c.hold_ms),
        report_timeout: ms(c.patience_ms),
        fetch_window: ms(c.spread_ms),
        failure_limit: c.bad as usize,
    };
    Ok(RolloutSettings { within: ms(c.spread_ms), start: ms(c.start_ms), served: c.served as usize, trial })
}

/// Checks the table `[here]`.
fn check_here(doc: &Doc, h: &HereFile) -> Result<Here, ConfigError> {
    for (key, name) in [("zone", &h.zone), ("region", &h.region)] {
        if name.len() > NAME_MAX {
            return Err(doc.bad(&["here", key], format!("a name has {NAME_MAX} bytes at most")));
        }
    }
    let weight = h.weight.unwrap_or(1);
    check_range(doc, &["here", "weight"], f64::from(weight), 1.0, 1_000.0, "against 1 of others")?;
    let speed = h.drill_clock_speed.unwrap_or(1.0);
    check_range(doc, &["here", "drill_clock_speed"], speed, 0.5, 2.0, "x")?;
    let mut reach = BTreeMap::new();
    for (name, at) in &h.reach {
        reach.insert(name.clone(), parse_address(doc, &["here", "reach", name], at)?);
    }
    let listen = h.listen.as_deref().unwrap_or("127.0.0.1:0");
    Ok(Here {
        listen: parse_address(doc, &["here", "listen"], listen)?,
        zone: h.zone.clone(),
        region: h.region.clone(),
        weight,
        reach,
        clock_speed: speed,
    })
}

/// Checks one table of `[budgets]`; on a node, its tier or tenant must exist.
fn check_budget(
    doc: &Doc,
    name: &str,
    b: &BudgetFile,
    transit_ms: &f64,
    node: Option<(&Tiers, &Settings)>,
) -> Result<FleetBudget, ConfigError> {
    let at = |key| ["budgets", name, key];
    check_name(doc, &["budgets", name], name)?;
    if let Some((tiers, settings)) = node {
        let unknown = |key, name: &str, known| {
            Err(doc.bad(&at(key), format!("there is no {key} \"{name}\"; there are: {known}")))
        };
        let tiers = &tiers.plans.tiers;
        if let Some(name) = b.tier.as_deref().filter(|s| tiers.iter().all(|t| t.name != *s)) {
            return unknown("tier", name, few(tiers.iter().map(|t| t.name.as_str())));
        }
        if let Some(name) = b.member.as_deref().filter(|s| settings.tenant(s).is_none()) {
            return unknown("member", name, few(settings.tenants.iter().map(|t| t.name.as_str())));
        }
    }
    let of = match (&b.tier, &b.member) {
        (Some(tier), None) if b.further.is_some() => BudgetTarget::Further(tier.clone()),
        (Some(tier), None) => BudgetTarget::Tier(tier.clone()),
        (None, Some(member)) if b.starts.is_some() => BudgetTarget::Member(member.clone()),
        (None, Some(_)) => {
            return Err(doc.bad(&["budgets", name], "a member's quota has starts, and window_ms if not 1000"));
        }
        _ => return Err(doc.bad(&["budgets", name], "must be of either a tier or a member")),
    };
    let (capacity, kind) = match (b.slots, b.starts.xor(b.further)) {
        (Some(slots), None) if b.starts.is_none() => {
            let Some(longest) = b.longest_ms else {
                let reason = "is missing: the longest that a call runs below, ms, from its spending";
                return Err(doc.bad(&at("longest_ms"), reason));
            };
            check_range(
                doc,
                &at("longest_ms"),
                longest,
                *transit_ms,
                3_600_000.0,
                "ms, transit_ms at the least",
            )?;
            if b.window_ms.is_some() {
                return Err(doc.bad(&at("window_ms"), "goes with starts; leave this out"));
            }
            (slots, BudgetKind::Slots { max_duration: ms(longest) })
        }
        (None, Some(starts)) => {
            let window = b.window_ms.unwrap_or(1_000.0);
            check_range(doc, &at("window_ms"), window, 10.0, 600_000.0, "ms")?;
            if b.longest_ms.is_some() {
                return Err(doc.bad(&at("longest_ms"), "goes with slots; leave this out"));
            }
            (starts, BudgetKind::Starts { window: ms(window) })
        }
        _ => return Err(doc.bad(&["budgets", name], "must have one of slots, starts and further")),
    };
    let key = match (b.slots, b.starts) {
        (Some(_), _) => "slots",
        (None, Some(_)) => "starts",
        (None, None) => "further",
    };
    check_range(doc, &at(key), f64::from(capacity), 0.0, 1e6, "over all nodes")?;
    check_range(doc, &at("floor"), f64::from(b.floor), 0.0, f64::from(capacity), "for each node")?;
    let scope = if b.by_zone { CapacityScope::Zones } else { CapacityScope::Fixed };
    let budget = Budget { name: name.to_owned(), kind, capacity, min_share: b.floor, scope };
    Ok(FleetBudget { budget, of })
}

#[cfg(test)]
mod tests;
