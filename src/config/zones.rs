//! The table `[zones]` of the fleet file: the zones, their capacities, and how they go out of service and return.
//!
//! Without it no zone health is aggregated, decided or requested, whatever zone labels nodes and endpoints have.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::ConfigError;
use super::doc::Doc;
use super::fleet::{check_name, check_range};
use super::tiers::ms;
use crate::fleet::{Budget, BudgetKind, CapacityScope, NAME_MAX};
use crate::interface::Micros;
use crate::zone::MAX_ZONES;
use crate::zone::health_evaluator::EvaluatorSettings;

/// Prefix of a zone's name in the name of the budget for its return to service.
const RETURN: &str = "zone/";

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ZonesFile {
    bears: BTreeMap<String, u32>,
    longest_ms: f64,
    #[serde(default = "out_most")]
    out_most: f64,
    #[serde(default = "out_ms")]
    out_ms: f64,
    #[serde(default = "out_longest_ms")]
    out_longest_ms: f64,
    #[serde(default = "step_ms")]
    step_ms: f64,
    #[serde(default = "trust_ms")]
    trust_ms: f64,
    /// For drills: a zone returns at full weight, without probes or a slow start.
    #[serde(default)]
    drill_at_once: bool,
}

fn out_most() -> f64 {
    0.34
}

fn out_ms() -> f64 {
    2_000.0
}

fn out_longest_ms() -> f64 {
    60_000.0
}

fn step_ms() -> f64 {
    1_000.0
}

fn trust_ms() -> f64 {
    10_000.0
}

/// The checked zone settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Zones {
    /// Settings by which the leading replica evaluates zone health.
    pub evaluation: EvaluatorSettings,
    /// Concurrent calls that each zone can serve, in the order of the zone names.
    pub bears: Vec<u32>,
    /// Longest time that a call into a zone runs downstream after it consumed its budget.
    pub longest: Micros,
    /// How long a node that hears from no replica follows the last decision.
    pub decision_lifetime: Micros,
}

impl Zones {
    pub(super) fn read(doc: &Doc, f: &ZonesFile, transit_ms: f64) -> Result<Zones, ConfigError> {
        let at = |key| ["zones", key];
        if f.bears.is_empty() || f.bears.len() > MAX_ZONES {
            return Err(doc.bad(&at("bears"), format!("must name 1 to {MAX_ZONES} zones")));
        }
        for (zone, bears) in &f.bears {
            check_name(doc, &["zones", "bears", zone], zone)?;
            if zone.len() + RETURN.len() > NAME_MAX {
                let most = NAME_MAX - RETURN.len();
                return Err(
                    doc.bad(&["zones", "bears", zone], format!("a zone's name has {most} bytes at most"))
                );
            }
            check_range(doc, &["zones", "bears", zone], f64::from(*bears), 1.0, 1e6, "calls at a time")?;
        }
        check_range(
            doc,
            &at("longest_ms"),
            f.longest_ms,
            transit_ms,
            3_600_000.0,
            "ms, transit_ms at the least",
        )?;
        check_range(doc, &at("out_most"), f.out_most, 0.0, 0.9, "as a share of the zones")?;
        check_range(doc, &at("out_ms"), f.out_ms, 100.0, 600_000.0, "ms")?;
        check_range(
            doc,
            &at("out_longest_ms"),
            f.out_longest_ms,
            f.out_ms,
            3_600_000.0,
            "ms, out_ms at the least",
        )?;
        check_range(doc, &at("step_ms"), f.step_ms, 100.0, 600_000.0, "ms")?;
        check_range(doc, &at("trust_ms"), f.trust_ms, 500.0, 3_600_000.0, "ms")?;
        Ok(Zones {
            evaluation: EvaluatorSettings {
                zones: f.bears.keys().cloned().collect(),
                max_out_share: f.out_most,
                first_out_duration: ms(f.out_ms),
                max_out_duration: ms(f.out_longest_ms),
                return_step: ms(f.step_ms),
                returns_at_full_weight: f.drill_at_once,
            },
            bears: f.bears.values().copied().collect(),
            longest: ms(f.longest_ms),
            decision_lifetime: ms(f.trust_ms),
        })
    }

    /// One budget per zone for its return to service, in the order of the zone names.
    pub fn budgets(&self) -> impl Iterator<Item = Budget> {
        self.evaluation.zones.iter().zip(&self.bears).map(|(zone, bears)| Budget {
            name: format!("{RETURN}{zone}"),
            kind: BudgetKind::Slots { max_duration: self.longest },
            capacity: *bears,
            min_share: 0,
            scope: CapacityScope::Zone(zone.clone()),
        })
    }
}
