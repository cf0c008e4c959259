//! Builders of configuration records for tests.
#![allow(dead_code, reason = "several test binaries share this module and none uses all of it")]

use holdlift::Micros;
use holdlift::config_store::{
    BudgetRecord, BudgetScope, BudgetUnit, ChangeAuthor, ChangeSet, ClassRecord, ConfigVersion, Endpoint,
    Figure, Name, Record, RecordKey, RecordKind, TenantRecord, TierRecord, ZoneRecord,
};

pub fn name(text: &str) -> Name {
    Name::new(text).expect("the name is within its bounds")
}

pub fn figure(x: f64) -> Figure {
    Figure::new(x).expect("the figure is within its bounds")
}

pub fn key(kind: RecordKind, text: &str) -> RecordKey {
    RecordKey { kind, name: name(text) }
}

pub fn class_record(text: &str, weight: f64) -> ClassRecord {
    ClassRecord {
        name: name(text),
        latency_objective: Micros::from_millis(50),
        objective_stretch: figure(0.0),
        deadline: Micros::from_millis(400),
        late_weight: figure(0.25),
        weight: figure(weight),
        effect: holdlift::Effect::Retryable,
        repeat_window: Micros(0),
        may_call_dependencies: true,
        weight_without_call: figure(0.5),
    }
}

pub fn class(text: &str, weight: f64) -> Record {
    Record::Class(class_record(text, weight))
}

pub fn tenant(text: &str, quota: f64) -> Record {
    Record::Tenant(TenantRecord { name: name(text), quota_per_s: figure(quota) })
}

pub fn tier_record(text: &str, port: u16) -> TierRecord {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
    TierRecord::with_defaults(name(text), vec![Endpoint { address, zone: Some(name("z0")) }])
}

pub fn tier(text: &str, port: u16) -> Record {
    Record::Tier(Box::new(tier_record(text, port)))
}

pub fn zone(text: &str, capacity: u32) -> Record {
    Record::Zone(ZoneRecord { name: name(text), capacity })
}

pub fn budget_record(text: &str, scope: BudgetScope, capacity: u32) -> BudgetRecord {
    let unit = BudgetUnit::Rate { window: Micros::from_millis(1_000) };
    BudgetRecord { name: name(text), scope, unit, capacity, min_share: 0, scales_with_zones: false }
}

pub fn budget(text: &str, scope: BudgetScope, capacity: u32) -> Record {
    Record::Budget(budget_record(text, scope, capacity))
}

pub fn author() -> ChangeAuthor {
    ChangeAuthor { author: "ops".to_owned(), note: "a test".to_owned(), at: 1_800_000_000 }
}

/// The version that results from setting these records on an empty configuration.
pub fn version_of(records: Vec<Record>) -> ConfigVersion {
    let mut version = ConfigVersion::default();
    if !records.is_empty() {
        let change = ChangeSet::draft(&version, records, Vec::new(), author())
            .expect("the change is valid for its base version");
        version.apply(&change).expect("a valid change applies to its base version");
    }
    version
}

/// `classes` classes and `tenants` tenants that differ only in names and figures.
pub fn classes_and_tenants(classes: usize, tenants: usize) -> Vec<Record> {
    let class = |i: usize| class(&format!("route-{i:05}/v{}", i % 7), (1 + i % 50) as f64);
    let tenant = |i: usize| tenant(&format!("tenant-{i:06x}"), (10 * (1 + i % 400)) as f64);
    (0..classes).map(class).chain((0..tenants).map(tenant)).collect()
}
