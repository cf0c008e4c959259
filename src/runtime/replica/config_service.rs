//! The configuration service of a replica: proposes changes while this replica leads, and serves the versions.
//!
//! Any replica may serve versions and name the approved one: what it has applied is agreed, revisions only increase, and no
//! node returns to an earlier version because a replica lags. Only the leader proposes changes and decides which nodes get a
//! version before it is approved.

mod rollout;
mod serving;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use openraft::error::{ClientWriteError, RaftError};
use tokio::time::timeout;
use tracing::{info, warn};

use super::protocol::config::{ChangeSignature, ConfigRequest, ConfigResponse};
use super::server::ReplicaServer;
use super::{PROPOSAL_TIMEOUT, lock};
use crate::config_store::{
    CanaryRollout, ChangeAuthor, ChangeSet, Digest, History, Revision, RolloutDecision, Snapshot,
};
use crate::fleet::LeaseHolderId;
use crate::fleet::compressed_change::CompressedChange;
use crate::fleet::lease::ledger::LedgerEntry;
use crate::fleet::version_status::VersionStatusTable;

pub(super) use rollout::{publish_versions, run_rollouts};

/// The state of the configuration service that is not replicated.
#[derive(Default)]
pub(super) struct ConfigService {
    version_statuses: Mutex<VersionStatusTable>,
    /// The address of each node's last report.
    node_addresses: Mutex<HashMap<LeaseHolderId, SocketAddr>>,
    /// Present while this replica leads.
    canary_rollout: Mutex<Option<CanaryRollout>>,
    /// The most recently compressed snapshots. Locked while one is compressed, so that other requests wait for the result.
    snapshots: tokio::sync::Mutex<VecDeque<Arc<Snapshot>>>,
    /// Held while a change is proposed: the next change is checked against the resulting version.
    proposing: tokio::sync::Mutex<()>,
}

/// The outcome of a proposed change or decision.
enum CommitOutcome {
    /// The entry is committed; the version made or concerned.
    Applied(Revision),
    /// The entry is committed and had no effect; the reason.
    Rejected(String),
    /// This replica does not lead.
    NotLeader,
    /// The entry was not committed within [`PROPOSAL_TIMEOUT`]; it may still be committed later.
    Unknown,
}

impl ReplicaServer {
    fn version_statuses(&self) -> MutexGuard<'_, VersionStatusTable> {
        lock(&self.config_service.version_statuses)
    }

    fn history(&self) -> History {
        self.state().history().clone()
    }

    /// The newest version that this replica has applied.
    fn newest_version(&self) -> (Revision, Digest) {
        let state = self.state();
        let newest = state.history().newest();
        (newest.revision(), newest.digest())
    }

    /// The version that all nodes may have, as far as this replica has applied the log.
    fn approved_version(&self) -> (Revision, Digest) {
        let state = self.state();
        let approved = state.history().approved();
        (approved.revision(), approved.digest())
    }

    /// Answers a configuration request of a node or a command.
    pub(super) async fn answer_config_request(&self, request: ConfigRequest) -> ConfigResponse {
        if self.fleet.catalog.is_none() {
            return ConfigResponse::Disabled;
        }
        match request {
            ConfigRequest::Changes { since, to } => self.changes_between(since, to),
            ConfigRequest::Chunks { revision, from_chunk, above, to } => {
                self.snapshot_chunks(revision, from_chunk, serving::RevisionBounds { above, to }).await
            }
            ConfigRequest::Head => {
                let leads = self.confirm_leadership().await.is_ok();
                let (revision, digest) = self.newest_version();
                ConfigResponse::Head { revision, digest, leads, leader: self.leader() }
            }
            ConfigRequest::Newest => {
                let (revision, digest) = self.approved_version();
                ConfigResponse::Head { revision, digest, leads: false, leader: self.leader() }
            }
            // A replica that has just started may not have applied all committed entries.
            ConfigRequest::History(limit) => match self.confirm_leadership().await {
                Ok(()) => self.recent_versions(limit),
                Err(response) => response,
            },
            ConfigRequest::RolloutStatus if self.is_leader() => {
                ConfigResponse::RolloutStatus(self.rollout_status())
            }
            ConfigRequest::Release(revision, signature) if self.is_leader() => {
                self.release_version(revision, signature).await
            }
            ConfigRequest::Propose(compressed) if self.is_leader() => self.propose_change(compressed).await,
            ConfigRequest::Rollback(to, signature) if self.is_leader() => self.roll_back(to, signature).await,
            ConfigRequest::Propose(_)
            | ConfigRequest::Rollback(..)
            | ConfigRequest::Release(..)
            | ConfigRequest::RolloutStatus => ConfigResponse::NotLeader(self.leader()),
        }
    }

    /// Confirms that this replica leads and has applied all entries committed before the call. Otherwise returns the
    /// response that directs the peer to another replica.
    async fn confirm_leadership(&self) -> Result<(), ConfigResponse> {
        match timeout(PROPOSAL_TIMEOUT, self.raft.ensure_linearizable()).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(ConfigResponse::NotLeader(self.leader().filter(|leader| *leader != self.name))),
        }
    }

    async fn release_version(&self, revision: Revision, signature: ChangeSignature) -> ConfigResponse {
        if let Err(response) = self.confirm_leadership().await {
            return response;
        }
        let ChangeSignature(author, note, _) = signature;
        let response = self.commit_decision(RolloutDecision::Approved(revision)).await;
        if matches!(response, ConfigResponse::Agreed(_)) {
            info!(%author, "version {revision}: released to all nodes: {note}");
        }
        response
    }

    async fn propose_change(&self, compressed: CompressedChange) -> ConfigResponse {
        let _proposal_guard = self.config_service.proposing.lock().await;
        if let Err(response) = self.confirm_leadership().await {
            return response;
        }
        match compressed.decompress() {
            Ok(change) => self.commit_change(change, compressed).await,
            Err(e) => ConfigResponse::Refused(e.to_string()),
        }
    }

    async fn roll_back(&self, to: Revision, signature: ChangeSignature) -> ConfigResponse {
        let _proposal_guard = self.config_service.proposing.lock().await;
        if let Err(response) = self.confirm_leadership().await {
            return response;
        }
        let ChangeSignature(author, note, at) = signature;
        let change = match self.history().draft_rollback(to, ChangeAuthor { author, note, at }) {
            Ok(change) => change,
            Err(e) => return ConfigResponse::Refused(e.to_string()),
        };
        match CompressedChange::compress(&change) {
            Ok(compressed) => self.commit_change(change, compressed).await,
            Err(e) => ConfigResponse::Refused(e.to_string()),
        }
    }

    /// Commits a change. It is checked first, so that a change without effect is not written to every replica's log. The
    /// outcome is decided when the entry is applied.
    async fn commit_change(&self, change: ChangeSet, compressed: CompressedChange) -> ConfigResponse {
        let (author, next_revision) = (change.author.clone(), change.resulting_revision());
        let (set, removed) = (change.set.len(), change.remove.len());
        let mut newest = self.state().history().newest().clone();
        if let Err(e) = newest.apply(&change) {
            warn!(%author, "version {next_revision}, {set} set, {removed} removed: {e}");
            return ConfigResponse::Refused(e.to_string());
        }
        let outcome = self.commit(LedgerEntry::ConfigChange(compressed)).await;
        match &outcome {
            CommitOutcome::Applied(revision) => {
                info!(%author, "version {revision}, {set} set, {removed} removed: agreed");
            }
            CommitOutcome::Rejected(reason) => {
                warn!(%author, "version {next_revision}, {set} set, {removed} removed: {reason}");
            }
            CommitOutcome::NotLeader | CommitOutcome::Unknown => {}
        }
        self.commit_response(outcome)
    }

    /// Commits a rollout decision. Like a change, it is checked first.
    async fn commit_decision(&self, decision: RolloutDecision) -> ConfigResponse {
        if let Err(e) = self.state().history().check_decision(&decision) {
            return ConfigResponse::Refused(e.to_string());
        }
        let outcome = self.commit(LedgerEntry::RolloutDecision(decision)).await;
        self.commit_response(outcome)
    }

    async fn commit(&self, entry: LedgerEntry) -> CommitOutcome {
        match timeout(PROPOSAL_TIMEOUT, self.raft.client_write(entry)).await {
            Ok(Ok(committed)) => {
                self.note_committed();
                match committed.data.apply_outcome {
                    Some(Ok(revision)) => CommitOutcome::Applied(revision),
                    Some(Err(reason)) => CommitOutcome::Rejected(reason),
                    None => CommitOutcome::Unknown,
                }
            }
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_)))) => CommitOutcome::NotLeader,
            _ => CommitOutcome::Unknown,
        }
    }

    fn commit_response(&self, outcome: CommitOutcome) -> ConfigResponse {
        match outcome {
            CommitOutcome::Applied(revision) => ConfigResponse::Agreed(revision),
            CommitOutcome::Rejected(reason) => ConfigResponse::Refused(reason),
            CommitOutcome::NotLeader => ConfigResponse::NotLeader(self.leader()),
            CommitOutcome::Unknown => ConfigResponse::Unknown,
        }
    }
}
