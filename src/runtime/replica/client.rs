//! The client of operators' commands: sends configuration requests to the leading replica.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use thiserror::Error;
use tokio::time::sleep;

pub use super::protocol::config::VersionSummary;
use super::protocol::config::{ChangeSignature, ConfigRequest, ConfigResponse};
use super::protocol::{ReplicaConnection, ReplicaRequest, ReplicaResponse};
use crate::config::fleet::Fleet;
use crate::config_store::{
    AssemblyProgress, ChangeAuthor, ChangeError, ChangeSet, ConfigVersion, DecodeError, Revision,
    SnapshotAssembler,
};
use crate::fleet::compressed_change::CompressedChange;
pub use crate::fleet::version_status::{LaggingNode, RolloutStatus};

/// Time limit for one replica's response, including the replica's wait for a majority.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit of the search for a leader; an election takes at most 2 s.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Upper bound of a request that includes the newest version, whatever its number.
const NEWEST: Revision = Revision(u64::MAX);
/// Most bytes of an unexpected response that its error shows.
const SHOWN_BYTES_MAX: usize = 80;

/// Why a command was not carried out.
#[derive(Debug, Error)]
pub enum ReplicaClientError {
    /// No leading replica was reached; the reason from the last replica tried.
    #[error("no keeper that leads is reached ({0}); nothing was changed")]
    NoLeader(String),
    /// The fleet's file of the replica has no `[catalog]` table.
    #[error("the keepers' file of the fleet has no [catalog]: they hold no configuration")]
    Disabled,
    /// The replica refused the request, or its response does not match the request.
    #[error("{0}")]
    Refused(String),
    /// The response was lost or not sent in time, so the change may or may not be committed.
    #[error(
        "not known whether it was agreed: no majority has answered in time; look at `holdlift config history`"
    )]
    Unknown,
    /// A received change or snapshot can't be decoded.
    #[error("the response of a keeper can't be decoded: {0}")]
    Malformed(#[from] DecodeError),
    /// A received change can't be applied to the version before it, or a change to send can't be encoded.
    #[error("a configuration change can't be applied or encoded: {0}")]
    Inapplicable(#[from] ChangeError),
}

/// Sends a command's requests to the replicas of a fleet.
pub struct ReplicaClient {
    replicas: Vec<(String, SocketAddr)>,
    /// Index of the replica that answered last; tried first.
    preferred: Cell<usize>,
}

/// The result of a request to one replica.
enum Attempt {
    /// The replica leads, and answers.
    Answered(ConfigResponse),
    /// Another replica is to be tried: `leader` where the replica named one. `reason` says why.
    TryNext { leader: Option<String>, reason: String },
}

impl ReplicaClient {
    /// A client for the replicas of the fleet's file.
    #[must_use]
    pub fn new(fleet: &Fleet) -> ReplicaClient {
        let replicas = fleet
            .keepers
            .iter()
            .map(|(name, address)| (name.clone(), *fleet.here.reach.get(name).unwrap_or(address)));
        ReplicaClient { replicas: replicas.collect(), preferred: Cell::default() }
    }

    /// Sends a request to the replica that leads, and searches for it for [`LEADER_SEARCH_TIMEOUT`].
    async fn request_leader(
        &self,
        request: impl Fn() -> ConfigRequest,
    ) -> Result<ConfigResponse, ReplicaClientError> {
        let (start, mut last_reason) = (Instant::now(), String::from("no replica was tried"));
        let mut index = self.preferred.get();
        while start.elapsed() < LEADER_SEARCH_TIMEOUT {
            let (name, address) = &self.replicas[index % self.replicas.len().max(1)];
            match try_replica(name, *address, request()).await? {
                Attempt::Answered(response) => {
                    self.preferred.set(index % self.replicas.len().max(1));
                    return Ok(response);
                }
                Attempt::TryNext { leader, reason } => {
                    let known = leader.and_then(|leader| self.replicas.iter().position(|r| r.0 == leader));
                    index = known.unwrap_or(index + 1);
                    last_reason = reason;
                }
            }
            sleep(RETRY_INTERVAL).await;
        }
        Err(ReplicaClientError::NoLeader(last_reason))
    }

    /// The newest version, as the leader has it.
    ///
    /// # Errors
    /// [`ReplicaClientError`].
    pub async fn fetch_latest(&self) -> Result<ConfigVersion, ReplicaClientError> {
        // Finds the leader, to which the following requests are then sent.
        self.request_leader(|| ConfigRequest::Head).await?;
        let mut version = self.fetch_snapshot().await?;
        while let ConfigResponse::Changes(changes) =
            self.request_leader(|| ConfigRequest::Changes { since: version.revision(), to: NEWEST }).await?
        {
            for encoded in changes {
                version.apply(&ChangeSet::decode(&encoded)?)?;
            }
        }
        Ok(version)
    }

    async fn fetch_snapshot(&self) -> Result<ConfigVersion, ReplicaClientError> {
        let (mut assembler, mut from_chunk) = (SnapshotAssembler::new(), 0);
        loop {
            let revision = assembler.revision();
            let request = || ConfigRequest::Chunks { revision, from_chunk, above: None, to: NEWEST };
            match self.request_leader(request).await? {
                ConfigResponse::Chunks(chunks) => {
                    let mut complete = None;
                    for chunk in &chunks {
                        match assembler.add_chunk(chunk)? {
                            AssemblyProgress::NextChunk(next) => from_chunk = next,
                            AssemblyProgress::Complete(version) => complete = Some(*version),
                        }
                    }
                    if let Some(version) = complete {
                        return Ok(version);
                    }
                }
                _ => (assembler, from_chunk) = (SnapshotAssembler::new(), 0),
            }
        }
    }

    /// Has the leader commit a change, and returns the resulting version's number.
    ///
    /// # Errors
    /// [`ReplicaClientError`].
    pub async fn propose(&self, change: &ChangeSet) -> Result<Revision, ReplicaClientError> {
        let compressed = CompressedChange::compress(change)?;
        committed_revision(self.request_leader(|| ConfigRequest::Propose(compressed.clone())).await?)
    }

    /// Has the leader commit the records of an earlier version as a new version, and returns its number.
    ///
    /// # Errors
    /// [`ReplicaClientError`].
    pub async fn rollback(&self, to: Revision, by: &ChangeAuthor) -> Result<Revision, ReplicaClientError> {
        // Finds the leader first: the outcome of a write sent to a replica that has stopped would be unknown.
        self.request_leader(|| ConfigRequest::Head).await?;
        let signature = signature(by);
        committed_revision(self.request_leader(|| ConfigRequest::Rollback(to, signature.clone())).await?)
    }

    /// Releases a version to all nodes, whatever the canary nodes reported.
    ///
    /// # Errors
    /// [`ReplicaClientError`].
    pub async fn release(
        &self,
        revision: Revision,
        by: &ChangeAuthor,
    ) -> Result<Revision, ReplicaClientError> {
        self.request_leader(|| ConfigRequest::Head).await?;
        let signature = signature(by);
        committed_revision(self.request_leader(|| ConfigRequest::Release(revision, signature.clone())).await?)
    }

    /// The last versions, at most `limit`, the newest last, and the oldest version that a rollback can restore.
    ///
    /// # Errors
    /// [`ReplicaClientError`].
    pub async fn history(&self, limit: u32) -> Result<(Vec<VersionSummary>, Revision), ReplicaClientError> {
        match self.request_leader(|| ConfigRequest::History(limit)).await? {
            ConfigResponse::History(rows, oldest) => Ok((rows, oldest)),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Which nodes have which version.
    ///
    /// # Errors
    /// [`ReplicaClientError`].
    pub async fn rollout_status(&self) -> Result<RolloutStatus, ReplicaClientError> {
        match self.request_leader(|| ConfigRequest::RolloutStatus).await? {
            ConfigResponse::RolloutStatus(status) => Ok(status),
            other => Err(unexpected_response(&other)),
        }
    }
}

async fn try_replica(
    name: &str,
    address: SocketAddr,
    request: ConfigRequest,
) -> Result<Attempt, ReplicaClientError> {
    let is_write = request.is_write();
    let mut connection = ReplicaConnection::to(Some(address));
    let response = connection.request(&ReplicaRequest::Config(request), RESPONSE_TIMEOUT).await;
    let try_next = |leader, reason: &str| Attempt::TryNext { leader, reason: format!("{name}: {reason}") };
    match response {
        Ok(ReplicaResponse::Config(
            ConfigResponse::NotLeader(leader) | ConfigResponse::Head { leader, leads: false, .. },
        )) => Ok(try_next(leader, "this replica is not a leader confirmed by a majority")),
        Ok(ReplicaResponse::Config(ConfigResponse::Busy)) => {
            Ok(try_next(None, "this replica serves too many requests"))
        }
        Ok(ReplicaResponse::Config(ConfigResponse::Disabled)) => Err(ReplicaClientError::Disabled),
        Ok(ReplicaResponse::Config(response)) => Ok(Attempt::Answered(response)),
        Ok(ReplicaResponse::Rejected(reason)) => Ok(try_next(None, &reason)),
        Ok(_) => Ok(try_next(None, "the response does not match the request")),
        // The request may have been committed before the connection failed.
        Err(e) if is_write && e.kind() != ErrorKind::ConnectionRefused => Err(ReplicaClientError::Unknown),
        Err(e) => Ok(try_next(None, &e.to_string())),
    }
}

fn signature(by: &ChangeAuthor) -> ChangeSignature {
    ChangeSignature(by.author.clone(), by.note.clone(), by.at)
}

fn committed_revision(response: ConfigResponse) -> Result<Revision, ReplicaClientError> {
    match response {
        ConfigResponse::Agreed(revision) => Ok(revision),
        ConfigResponse::Refused(reason) => Err(ReplicaClientError::Refused(reason)),
        ConfigResponse::Unknown => Err(ReplicaClientError::Unknown),
        other => Err(unexpected_response(&other)),
    }
}

fn unexpected_response(response: &ConfigResponse) -> ReplicaClientError {
    let text = format!("{response:?}");
    let end = text.floor_char_boundary(SHOWN_BYTES_MAX);
    ReplicaClientError::Refused(format!("a keeper answered something else: {}", &text[..end]))
}
