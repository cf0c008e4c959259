//! The leader's periodic proposals: changed capacities, expired leases and zone updates.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tracing::{debug, info};

use super::server::ReplicaServer;
use super::{MAINTENANCE_INTERVAL, PROPOSAL_TIMEOUT};
use crate::fleet::lease::ledger::LedgerEntry;

/// Every [`MAINTENANCE_INTERVAL`], while this replica leads, proposes the entries that are due.
pub(super) async fn run_maintenance(server: Arc<ReplicaServer>, socket: Arc<UdpSocket>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut logged_leased = BTreeMap::<String, u64>::new();
    loop {
        ticks.tick().await;
        if !server.is_leader() {
            continue;
        }
        let (capacities, expired) = {
            let state = server.state();
            (state.pending_capacities(), state.expired_leases(server.clock.now()))
        };
        for entry in [capacities, expired].into_iter().flatten() {
            log_entry(&entry);
            let _ = timeout(PROPOSAL_TIMEOUT, server.raft.client_write(entry)).await;
        }
        server.evaluate_zones(&socket).await;
        log_leased_amounts(&server, &mut logged_leased);
    }
}

fn log_entry(entry: &LedgerEntry) {
    match entry {
        LedgerEntry::Capacities(capacities) => {
            let texts: Vec<String> =
                capacities.iter().map(|c| format!("{}={}", c.budget, c.capacity)).collect();
            info!("capacities: {}", texts.join(" "));
        }
        LedgerEntry::ExpireLeases(leases) => {
            for lease in leases {
                info!(budget = %lease.budget, holder = %lease.holder, seq = lease.seq, "lease expired");
            }
        }
        LedgerEntry::LeaseRequests(_)
        | LedgerEntry::ZoneUpdate(_)
        | LedgerEntry::ZoneOrder { .. }
        | LedgerEntry::ConfigChange(_)
        | LedgerEntry::RolloutDecision(_) => {}
    }
}

/// Logs each budget whose leased amount has changed since it was last logged.
fn log_leased_amounts(server: &ReplicaServer, logged: &mut BTreeMap<String, u64>) {
    let sums: Vec<(String, u32, u64)> = server
        .state()
        .ledger()
        .usage()
        .map(|(budget, capacity, leased)| (budget.to_owned(), capacity, leased))
        .collect();
    for (budget, capacity, leased) in sums {
        if logged.get(&budget) != Some(&leased) {
            debug!(%budget, capacity, leased, "ledger");
            logged.insert(budget, leased);
        }
    }
}
