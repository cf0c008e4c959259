//! The rollout of versions: collects which node has which version, releases a version to all nodes once the canary nodes
//! have stayed healthy with it, and halts it otherwise.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use tracing::{debug, info};

use super::ReplicaServer;
use crate::config_store::{CanaryFailure, CanaryReport, CanaryRollout, RolloutDecision};
use crate::fleet::LeaseHolderId;
use crate::fleet::datagram::{DatagramCodec, FleetMessage};
use crate::fleet::lease::ledger::LeaseRequest;
use crate::fleet::version_status::{NODES_MAX, REPORTED_NODES_MAX, RolloutStatus, VersionStatus};
use crate::interface::Micros;
use crate::runtime::replica::protocol::config::ConfigResponse;
use crate::runtime::replica::{MAINTENANCE_INTERVAL, lock};

/// Bytes of changes in the log after which a snapshot is taken, independent of the number of entries.
const LOGGED_CHANGES_BYTES_MAX: usize = 16 << 20;

impl ReplicaServer {
    /// Calls a function with the canary rollout, which only the leader has. A new leader continues from the agreed
    /// decisions. `None` where this replica does not lead or the fleet has no configuration.
    fn with_rollout<T>(&self, f: impl FnOnce(&mut CanaryRollout, Micros) -> T) -> Option<T> {
        let settings = self.fleet.catalog?;
        let mut rollout = lock(&self.config_service.canary_rollout);
        if !self.is_leader() {
            *rollout = None;
            return None;
        }
        let now = Micros(self.clock.now().0);
        let rollout = rollout.get_or_insert_with(|| {
            let state = self.state();
            CanaryRollout::new(settings.trial, state.history().approved().revision())
        });
        rollout.follow_history(now, self.state().history());
        Some(f(rollout, now))
    }

    /// Records the newest version that this replica has applied; `live` unless it was read from the disk at the start.
    pub(in crate::runtime::replica) fn note_version(&self, live: bool) {
        let (revision, digest) = self.newest_version();
        self.version_statuses().set_newest(self.clock.now(), (revision, digest.first_64_bits()), live);
    }

    /// Records a node's report of its version. Returns the answer with the version that the node may have; `None` where the
    /// fleet has no configuration.
    pub(in crate::runtime::replica) fn note_version_status(
        &self,
        status: VersionStatus,
        from: SocketAddr,
    ) -> Option<FleetMessage> {
        self.fleet.catalog?;
        let canary = self.with_rollout(|rollout, now| {
            let LeaseHolderId { name: node, incarnation } = &status.holder;
            let rejected = status.refused.as_ref().map(|(revision, reason)| (*revision, reason.as_str()));
            let incarnation = *incarnation;
            rollout
                .record_report(now, &CanaryReport { node, incarnation, in_force: status.revision, rejected });
            rollout.notify(node, incarnation)
        });
        let mut addresses = lock(&self.config_service.node_addresses);
        if addresses.len() < NODES_MAX || addresses.contains_key(&status.holder) {
            addresses.insert(status.holder.clone(), from);
        }
        drop(addresses);
        self.version_statuses().record(self.clock.now(), status);
        let state = self.state();
        let history = state.history();
        let canary = canary
            .filter(|revision| *revision > history.approved().revision())
            .and_then(|revision| history.version(revision));
        let allowed = canary.unwrap_or_else(|| history.approved());
        Some(FleetMessage::NewestVersion { revision: allowed.revision(), digest: allowed.digest() })
    }

    /// Marks a process that leaves as draining: it stops reporting soon, and its version is not the cause.
    pub(in crate::runtime::replica) fn note_leaving_node(&self, request: &LeaseRequest) {
        if request.is_leaving {
            let holder = &request.holder;
            self.with_rollout(|rollout, _| rollout.mark_draining(&holder.name, holder.incarnation));
        }
    }

    /// Notifies all nodes of the approved version. A node that misses the message gets the version with the answer to its
    /// next report.
    fn notify_approved_version(&self, socket: &UdpSocket) {
        let (revision, digest) = self.approved_version();
        let message = FleetMessage::NewestVersion { revision, digest };
        let Ok(frame) = DatagramCodec::for_fleet(&self.fleet.name).encode(&message) else { return };
        // Live nodes report again within a second and are added again; the addresses of stopped nodes are dropped.
        let addresses = std::mem::take(&mut *lock(&self.config_service.node_addresses));
        for address in addresses.values() {
            let _ = socket.try_send_to(&frame, *address);
        }
    }

    pub(super) fn rollout_status(&self) -> RolloutStatus {
        let canaries = self.with_rollout(|rollout, _| {
            rollout.canaries().take(REPORTED_NODES_MAX).map(str::to_owned).collect()
        });
        let (approved, halted) = {
            let state = self.state();
            let history = state.history();
            (history.approved().revision(), history.halted().cloned())
        };
        let report = self.version_statuses().report(self.clock.now(), approved);
        RolloutStatus { canary_nodes: canaries.unwrap_or_default(), halted, ..report }
    }
}

/// Records each newly applied version, and notifies the nodes of a newly approved version while this replica leads.
pub(in crate::runtime::replica) async fn publish_versions(
    server: Arc<ReplicaServer>,
    socket: Arc<UdpSocket>,
    mut config_changes: watch::Receiver<()>,
) {
    let mut approved = server.approved_version().0;
    while config_changes.changed().await.is_ok() {
        server.note_version(true);
        if server.state().take_snapshot_due(LOGGED_CHANGES_BYTES_MAX) {
            let _ = server.raft.trigger().snapshot().await;
        }
        let (revision, digest) = server.newest_version();
        let previous = std::mem::replace(&mut approved, server.approved_version().0);
        debug!(%digest, "version {revision}, released to all nodes: {approved}");
        if approved > previous && server.is_leader() {
            server.notify_approved_version(&socket);
        }
    }
}

/// Commits the canary rollout's decisions while this replica leads.
pub(in crate::runtime::replica) async fn run_rollouts(server: Arc<ReplicaServer>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let decision = server.with_rollout(|rollout, now| {
            rollout.evaluate(now);
            rollout.pending_decision().cloned()
        });
        let Some(decision) = decision.flatten() else { continue };
        let description = describe_decision(&decision);
        // A decision that is not committed is proposed again at the next tick.
        if let ConfigResponse::Agreed(_) = server.commit_decision(decision).await {
            info!("{description}");
        }
    }
}

fn describe_decision(decision: &RolloutDecision) -> String {
    match decision {
        RolloutDecision::Approved(revision) => {
            format!("version {revision}: the canary nodes stayed healthy, released to all nodes")
        }
        RolloutDecision::Halted(halted) => {
            let failures: Vec<String> =
                halted.failures.iter().map(|(node, failure)| describe_failure(node, failure)).collect();
            format!("version {}: rollout halted: {}", halted.revision, failures.join("; "))
        }
    }
}

fn describe_failure(node: &str, failure: &CanaryFailure) -> String {
    match failure {
        CanaryFailure::Rejected(reason) => format!("{node} refused it: {reason}"),
        CanaryFailure::Unresponsive => format!("{node} stopped reporting with it"),
        CanaryFailure::Restarted => format!("{node} restarted with it"),
    }
}
