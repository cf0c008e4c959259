//! The configuration's part of a Raft snapshot, which follows the ledger: the oldest stored version, compressed, the changes
//! since, and the rollout decisions.
//!
//! A replica without a configuration writes nothing, so that its snapshot is the ledger alone; a snapshot of this form is
//! read as a configuration without records.

use serde::{Deserialize, Serialize};

use super::store::LogStoreError;
use crate::config_store::{
    AssemblyProgress, ChangeError, ChangeSet, ConfigVersion, DecodeError, History, Revision, RolloutHalted,
    Snapshot, SnapshotAssembler,
};
use crate::fleet::replica_state::CONFIG_RETENTION;

/// The stored versions. The encoding depends on the order of the fields.
#[derive(Serialize, Deserialize)]
struct VersionInventory {
    /// The oldest version, compressed.
    chunks: Vec<Vec<u8>>,
    /// The changes that follow it, in order.
    changes: Vec<Vec<u8>>,
}

/// The agreed rollout decisions. Absent in a snapshot written before canary rollouts existed, when every version was
/// approved.
#[derive(Serialize, Deserialize)]
struct RolloutDecisions {
    #[serde(rename = "good")]
    approved: Revision,
    /// The approved version, compressed, where it is older than all stored versions; otherwise empty.
    chunks: Vec<Vec<u8>>,
    #[serde(rename = "stopped")]
    halted: Option<RolloutHalted>,
}

/// Why a configuration can't be stored in a snapshot or read from one.
#[derive(Debug, thiserror::Error)]
pub enum StoredConfigError {
    /// A change can't be encoded, or can't be applied to the version before it.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// The bytes are damaged.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// A version lacks chunks.
    #[error("it is not complete")]
    Incomplete,
    /// The approved version is neither among the stored versions nor stored separately.
    #[error("the version released to all nodes is missing")]
    ApprovedVersionMissing,
}

/// Appends the encoded history to the bytes of a ledger.
///
/// # Errors
/// [`LogStoreError`] where a part can't be encoded.
pub(super) fn append_history(bytes: Vec<u8>, history: &History) -> Result<Vec<u8>, LogStoreError> {
    if history.newest().revision() == Revision::default() {
        return Ok(bytes);
    }
    let changes: Result<_, ChangeError> = history.changes().map(ChangeSet::encode).collect();
    let chunks = compress(history.oldest());
    let inventory = VersionInventory { chunks, changes: changes.map_err(StoredConfigError::from)? };
    let bytes = postcard::to_extend(&inventory, bytes)?;
    let approved = history.approved().revision();
    let is_stored = approved == Revision::default() || history.version(approved).is_some();
    let chunks = if is_stored { Vec::new() } else { compress(history.approved()) };
    let decisions = RolloutDecisions { approved, chunks, halted: history.halted().cloned() };
    Ok(postcard::to_extend(&decisions, bytes)?)
}

fn compress(version: &ConfigVersion) -> Vec<Vec<u8>> {
    Snapshot::pack(version).chunks.iter().map(|chunk| chunk.to_vec()).collect()
}

fn decompress(chunks: &[Vec<u8>]) -> Result<ConfigVersion, StoredConfigError> {
    let (mut assembler, mut complete) = (SnapshotAssembler::new(), None);
    for chunk in chunks {
        if let AssemblyProgress::Complete(version) = assembler.add_chunk(chunk)? {
            complete = Some(*version);
        }
    }
    complete.ok_or(StoredConfigError::Incomplete)
}

/// Decodes the history from the bytes that follow the ledger.
///
/// # Errors
/// [`LogStoreError`] where the bytes are damaged or incomplete.
pub(super) fn read_history(bytes: &[u8]) -> Result<History, LogStoreError> {
    if bytes.is_empty() {
        return Ok(History::new(ConfigVersion::default(), CONFIG_RETENTION));
    }
    let (inventory, rest) = postcard::take_from_bytes::<VersionInventory>(bytes)?;
    let mut history = History::new(decompress(&inventory.chunks)?, CONFIG_RETENTION);
    for encoded in &inventory.changes {
        let change = ChangeSet::decode(encoded).map_err(StoredConfigError::from)?;
        history.apply(&change).map_err(StoredConfigError::from)?;
    }
    let (approved, halted) = if rest.is_empty() {
        (history.newest().clone(), None)
    } else {
        let decisions: RolloutDecisions = postcard::from_bytes(rest)?;
        (approved_version(&history, &decisions)?, decisions.halted)
    };
    history.restore_decisions(approved, halted);
    Ok(history)
}

fn approved_version(
    history: &History,
    decisions: &RolloutDecisions,
) -> Result<ConfigVersion, StoredConfigError> {
    if decisions.approved == Revision::default() {
        Ok(ConfigVersion::default())
    } else if decisions.chunks.is_empty() {
        history.version(decisions.approved).cloned().ok_or(StoredConfigError::ApprovedVersionMissing)
    } else {
        decompress(&decisions.chunks)
    }
}

#[cfg(test)]
mod tests;
