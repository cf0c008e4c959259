//! A replica of the lease ledger: one of the few processes that store the replicated log and agree on every lease.
//!
//! `openraft` runs the consensus and `redb` stores its log. What an entry does, and when a lease has expired, is decided in
//! [`crate::fleet`]; which version of the configuration nodes may fetch, in [`crate::config_store`]. The files here move
//! bytes, propose entries and write log lines. Nothing is reported as agreed before a majority has stored it.

mod bootstrap;
pub mod client;
mod config_service;
mod datagrams;
pub mod fetch;
mod leadership_log;
mod lease_proposals;
mod maintenance;
mod protocol;
mod server;
mod state_machine;
mod store;
mod stream_server;
mod version_inventory;
mod zone_coordinator;

use std::io::Cursor;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use openraft::{BasicNode, Config, SnapshotPolicy};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tracing::{info, warn};

use crate::config::fleet::Fleet;
use crate::fleet::lease::ledger::{LeaseResponse, LedgerEntry};
use crate::fleet::membership::{Member, Members};
use crate::fleet::replica_state::{ApplyOutcome, ReplicaState};
use crate::runtime::clock::LeaseClock;
use crate::runtime::signals::{Signal, Signals};
use crate::time::process;
use server::ReplicaServer;
use state_machine::StateMachineStore;
use store::LogStore;
pub use store::LogStoreError;
pub use version_inventory::StoredConfigError;

/// Raft's heartbeat interval, ms; also the time limit of one call to another replica. If it is much shorter, a busy machine
/// answers no call in time while the leader's heartbeats still arrive: nothing is agreed, and no other leader is elected.
const HEARTBEAT_MS: u64 = 250;
/// Log entries after which Raft takes a snapshot.
const SNAPSHOT_ENTRIES: u64 = 2_000;
/// Log entries that are kept behind a snapshot, so that a replica with a small lag needs no snapshot.
const KEPT_ENTRIES: u64 = 200;
/// Most lease requests that wait to be proposed. A further request is dropped, and its node sends it again.
const REQUEST_QUEUE_MAX: usize = 4_096;
/// Time limit for an entry to be committed: nodes have repeated older requests by then.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two checks of expired leases, rollouts and leadership.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// What applying an entry produced.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryResult {
    /// The responses to the lease requests in the entry.
    pub lease_responses: Vec<LeaseResponse>,
    /// The outcome of a configuration change or rollout decision; `None` for other entries.
    pub apply_outcome: Option<ApplyOutcome>,
}

openraft::declare_raft_types!(
    /// The types that `openraft` is instantiated with.
    pub Raft:
        D = LedgerEntry,
        R = EntryResult,
        NodeId = u64,
        Node = BasicNode,
        Entry = openraft::Entry<Raft>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = openraft::TokioRuntime,
);

type RaftHandle = openraft::Raft<Raft>;

/// Why a replica did not start or did not shut down cleanly.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// The fleet's file names no such replica.
    #[error("the fleet's file has no keeper \"{name}\"; it has: {}", known.join(", "))]
    UnknownReplica {
        /// The name that was given.
        name: String,
        /// The names in the file.
        known: Vec<String>,
    },
    /// The replica's UDP or TCP socket can't be bound.
    #[error("can't bind {address}: {reason}")]
    Bind {
        /// The replica's address.
        address: SocketAddr,
        /// The operating system's error.
        reason: std::io::Error,
    },
    /// The data folder can't be created, or signals can't be received.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The replica's file can't be opened or read.
    #[error(transparent)]
    Store(#[from] LogStoreError),
    /// Raft's settings contradict each other.
    #[error(transparent)]
    RaftConfig(#[from] openraft::ConfigError),
    /// Raft did not start.
    #[error(transparent)]
    Raft(#[from] openraft::error::Fatal<u64>),
    /// Raft's task ended with a panic.
    #[error(transparent)]
    Shutdown(#[from] tokio::task::JoinError),
}

/// The Raft node id of the replica with this name.
fn replica_id(name: &str) -> u64 {
    u64::from(crc32fast::hash(name.as_bytes()))
}

/// Locks a mutex, also after a panic in another task that held it: each mutex guards a struct that is valid between calls.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the replica `name`, with its data in `folder`, until it receives the signal to stop.
///
/// # Errors
/// [`ReplicaError`]: what prevented the start, or went wrong in the shutdown.
pub async fn run(name: String, folder: PathBuf, fleet: Fleet) -> Result<(), ReplicaError> {
    let Some(address) = fleet.keepers.get(&name).copied() else {
        return Err(ReplicaError::UnknownReplica { name, known: fleet.keepers.keys().cloned().collect() });
    };
    let signals = Signals::new()?;
    let (config_changed, config_changes) = watch::channel(());
    let server = Arc::new(open_server(name, &folder, fleet, config_changed).await?);
    server.note_version(false);
    let bind_error = |reason| ReplicaError::Bind { address, reason };
    let socket = Arc::new(UdpSocket::bind(address).await.map_err(bind_error)?);
    let listener = TcpListener::bind(address).await.map_err(bind_error)?;
    info!("replica {} on {address}, ledger in {}", server.name, folder.display());
    let tasks = spawn_tasks(&server, socket, listener, config_changes);
    loop {
        match signals.next().await {
            Signal::Leave => break,
            Signal::Reload => reload_budgets(&server),
            Signal::Print => {}
        }
    }
    tasks.iter().for_each(JoinHandle::abort);
    server.raft.shutdown().await?;
    info!("replica {} ends", server.name);
    Ok(())
}

/// Starts the replica's tasks; they run until they are aborted.
fn spawn_tasks(
    server: &Arc<ReplicaServer>,
    socket: Arc<UdpSocket>,
    listener: TcpListener,
    config_changes: watch::Receiver<()>,
) -> [JoinHandle<()>; 9] {
    let (requests, request_queue) = mpsc::channel(REQUEST_QUEUE_MAX);
    [
        tokio::spawn(stream_server::serve(server.clone(), listener)),
        tokio::spawn(datagrams::receive_datagrams(server.clone(), socket.clone(), requests)),
        tokio::spawn(lease_proposals::propose_lease_requests(server.clone(), socket.clone(), request_queue)),
        tokio::spawn(maintenance::run_maintenance(server.clone(), socket.clone())),
        tokio::spawn(leadership_log::log_leadership(server.clone())),
        tokio::spawn(datagrams::run_membership(server.clone(), socket.clone())),
        tokio::spawn(bootstrap::bootstrap(server.clone())),
        tokio::spawn(config_service::publish_versions(server.clone(), socket, config_changes)),
        tokio::spawn(config_service::run_rollouts(server.clone())),
    ]
}

/// Opens the data folder and starts Raft with the stored state.
async fn open_server(
    name: String,
    folder: &Path,
    fleet: Fleet,
    config_changed: watch::Sender<()>,
) -> Result<ReplicaServer, ReplicaError> {
    std::fs::create_dir_all(folder)?;
    let log_store = LogStore::open(folder)?;
    let clock = LeaseClock::new(fleet.here.clock_speed);
    let state = Arc::new(Mutex::new(ReplicaState::new(fleet.bounds, fleet.all_budgets())));
    let state_machine = StateMachineStore::load(log_store.clone(), state.clone(), clock, config_changed)?;
    let addresses = fleet
        .keepers
        .iter()
        .map(|(replica, address)| (replica_id(replica), *fleet.here.reach.get(replica).unwrap_or(address)));
    let network = protocol::ReplicaNetwork(addresses.collect());
    let config = Arc::new(raft_config(&fleet).validate()?);
    let raft = RaftHandle::new(replica_id(&name), config, network, log_store.clone(), state_machine).await?;
    let members = own_membership(&name, &fleet);
    Ok(ReplicaServer::new(name, fleet, clock, state, raft, log_store, members))
}

fn raft_config(fleet: &Fleet) -> Config {
    Config {
        cluster_name: fleet.name.clone(),
        heartbeat_interval: HEARTBEAT_MS,
        election_timeout_min: 4 * HEARTBEAT_MS,
        election_timeout_max: 7 * HEARTBEAT_MS,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_ENTRIES),
        max_in_snapshot_log_to_keep: KEPT_ENTRIES,
        ..Config::default()
    }
}

/// This replica as a member of the fleet, with all replicas of the file as seeds.
fn own_membership(name: &str, fleet: &Fleet) -> Members {
    let incarnation = process::wall().0;
    let own = Member {
        addr: fleet.keepers[name],
        zone: fleet.here.zone.clone(),
        region: fleet.here.region.clone(),
        incarnation,
        ..Member::seed(name, fleet.keepers[name])
    };
    let seeds = fleet.keepers.iter().map(|(replica, address)| Member::seed(replica, *address));
    Members::new(own, incarnation).with_replicas(seeds)
}

/// Reads the fleet's file again. Budgets and zone settings take effect at once; other settings need a restart.
fn reload_budgets(server: &ReplicaServer) {
    match Fleet::load(&server.fleet.file, None) {
        Ok(file) if file.bounds == server.fleet.bounds && file.keepers == server.fleet.keepers => {
            let budgets = file.all_budgets();
            info!("reload: {} budgets", budgets.len());
            server.state().update_budgets(file.bounds, budgets);
            file.zones.iter().for_each(|zones| server.reload_zones(zones));
        }
        Ok(_) => warn!("reload: the fleet's bounds and replicas change with a restart of all replicas only"),
        Err(e) => warn!("reload: {e}; nothing changed"),
    }
}

#[cfg(test)]
mod golden_data_tests;
#[cfg(test)]
mod golden_tests;
