//! The fleet's figures for operators: counters in the log, and the response at the control address.

use serde_json::{Value, json};
use tracing::info;

use super::Fleet;
use crate::fleet::lease::holder::QuotaStatus;
use crate::fleet::membership::Member;
use crate::fleet::{Budget, BudgetKind};

impl Fleet {
    /// Logs each budget's lease, and the number of members and dropped datagrams.
    pub fn log_counters(&self) {
        let now = self.clock.now();
        for (budget, status) in self.lease_holder.borrow().status(now) {
            info!(
                "fleet {}: limit={} out={} wants={} short={} left_ms={}",
                budget.name,
                status.limit,
                status.in_use,
                status.demand,
                status.refused,
                status.lease_remaining.0 / 1_000
            );
        }
        let members = self.members.borrow();
        let dropped = self.dropped.get() + members.dropped;
        info!("fleet: members={} dropped={dropped}", members.peers().count() + 1);
    }

    /// The response at the control address: budgets, members, zones, and the version of the configuration. Its keys are an
    /// interface.
    pub fn status_report(&self) -> Value {
        let (now, lease_holder, members) =
            (self.clock.now(), self.lease_holder.borrow(), self.members.borrow());
        let budgets: Vec<Value> =
            lease_holder.status(now).map(|(budget, status)| budget_report(budget, &status)).collect();
        let members: Vec<Value> =
            std::iter::once(members.local_member()).chain(members.peers()).map(member_report).collect();
        let mut report = json!({"fleet": self.config.name, "me": lease_holder.holder().to_string(),
            "epoch": lease_holder.epoch(), "budgets": budgets, "members": members,
            "zones": self.zones_report()});
        if let Some(version) = self.version_report() {
            report["catalog"] = version;
        }
        report
    }
}

fn budget_report(budget: &Budget, status: &QuotaStatus) -> Value {
    let kind = match budget.kind {
        BudgetKind::Slots { .. } => "slots",
        BudgetKind::Starts { .. } => "starts",
    };
    json!({"budget": budget.name, "counts": kind, "whole": budget.capacity, "limit": status.limit,
        "out": status.in_use, "wants": status.demand, "lease_ms": status.lease_remaining.0 / 1_000, "short": status.refused})
}

fn member_report(member: &Member) -> Value {
    let role = member.role.control_name();
    json!({"name": member.name, "role": role, "zone": member.zone, "region": member.region, "at": member.addr,
        "incarnation": member.incarnation})
}
