//! The bootstrap of a fleet's ledger, which happens once and needs all replicas.
//!
//! A replica with an empty file neither votes nor stores entries before it joins the bootstrap. A replica whose disk was
//! lost has also lost its votes, so it must stay out: the other replicas, which still have their files, refuse a second
//! bootstrap.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use openraft::BasicNode;
use tokio::time::sleep;
use tracing::{info, warn};

use super::protocol::{ReplicaConnection, ReplicaRequest, ReplicaResponse};
use super::replica_id;
use super::server::ReplicaServer;

/// Interval between two attempts to bootstrap.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for another replica's answer.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Attempts the bootstrap until this replica has a log. The first replica of the fleet's file starts it, the others join.
pub(super) async fn bootstrap(server: Arc<ReplicaServer>) {
    let is_initiator = server.fleet.keepers.keys().next() == Some(&server.name);
    let mut is_warned = false;
    loop {
        let bootstrap_id = match server.log_store.bootstrap_id() {
            Ok(bootstrap_id) => bootstrap_id,
            Err(e) => return warn!("bootstrap: can't read the replica's file: {e}"),
        };
        if server.raft.is_initialized().await.unwrap_or(true) {
            return;
        }
        if is_initiator {
            let bootstrap_id = bootstrap_id.unwrap_or_else(rand::random);
            let joined = invite_replicas(&server, bootstrap_id, &mut is_warned).await;
            if joined + 1 == server.fleet.keepers.len() {
                initialize(&server, bootstrap_id).await;
            }
        } else if bootstrap_id.is_none() && !std::mem::replace(&mut is_warned, true) {
            info!(
                "empty: waits for the bootstrap; where the fleet has a ledger, this disk is lost and this replica may not vote"
            );
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Asks all other replicas to join and returns how many do.
async fn invite_replicas(server: &ReplicaServer, bootstrap_id: u64, is_warned: &mut bool) -> usize {
    let mut joined = 0;
    for other in server.fleet.keepers.keys().filter(|name| **name != server.name) {
        let mut connection = ReplicaConnection::to(server.address_of(other));
        match connection.request(&ReplicaRequest::JoinBootstrap(bootstrap_id), JOIN_TIMEOUT).await {
            Ok(ReplicaResponse::BootstrapJoined(true)) => joined += 1,
            Ok(_) if !std::mem::replace(is_warned, true) => warn!(
                "replica {other} has a bootstrapped ledger and this one has none: this disk is lost, and this replica \
                 may not vote"
            ),
            Ok(_) | Err(_) => {}
        }
    }
    joined
}

/// Initializes the log with all replicas as voters.
async fn initialize(server: &ReplicaServer, bootstrap_id: u64) {
    let replicas: BTreeMap<u64, BasicNode> = server
        .fleet
        .keepers
        .iter()
        .map(|(name, address)| (replica_id(name), BasicNode::new(address.to_string())))
        .collect();
    let count = replicas.len();
    match server.log_store.join_bootstrap(bootstrap_id) {
        Ok(()) => match server.raft.initialize(replicas).await {
            Ok(()) => info!("bootstrapped the ledger with {count} replicas"),
            Err(e) => warn!("bootstrap: {e}"),
        },
        Err(e) => warn!("bootstrap: can't write the replica's file: {e}"),
    }
}
