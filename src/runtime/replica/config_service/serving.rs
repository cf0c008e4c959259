//! Serves versions to nodes: changes, or chunks of a compressed snapshot where changes are too many or no longer stored.

use std::sync::Arc;

use super::ReplicaServer;
use crate::config_store::{ChangeSet, ChangesSince, History, Revision, Snapshot};
use crate::runtime::replica::protocol::config::{
    CHANGES_BYTES_MAX, ConfigResponse, HISTORY_ROWS_MAX, RESPONSE_BYTES_MAX, VersionSummary,
};

/// Most compressed snapshots that are cached: one of the approved version and one of the newest.
const CACHED_SNAPSHOTS_MAX: usize = 2;

/// The versions that a node can use.
pub(super) struct RevisionBounds {
    /// Only versions later than this one.
    pub above: Option<Revision>,
    /// Only versions no later than this one.
    pub to: Revision,
}

impl ReplicaServer {
    /// The changes from version `since` up to version `to`, or the response that a snapshot is needed or nothing is newer.
    pub(super) fn changes_between(&self, since: Revision, to: Revision) -> ConfigResponse {
        let history = self.history();
        match history.changes_since(since, to, RESPONSE_BYTES_MAX) {
            ChangesSince::UpToDate | ChangesSince::Ahead => ConfigResponse::NothingNewer,
            ChangesSince::SnapshotRequired => ConfigResponse::Snapshot,
            // A snapshot is smaller and faster to process than very many changes.
            ChangesSince::Changes(_) if !is_reached_by_changes(&history, since, to) => {
                ConfigResponse::Snapshot
            }
            ChangesSince::Changes(changes) => {
                ConfigResponse::Changes(changes.iter().map(|change| change.to_vec()).collect())
            }
        }
    }

    /// Chunks of the snapshot of a version, or of any version in the bounds, starting at `from_chunk`.
    pub(super) async fn snapshot_chunks(
        &self,
        revision: Option<Revision>,
        from_chunk: u32,
        bounds: RevisionBounds,
    ) -> ConfigResponse {
        let snapshot = match self.snapshot(revision, bounds).await {
            Ok(snapshot) => snapshot,
            Err(response) => return response,
        };
        let mut size = 0;
        let chunks = snapshot.chunks.iter().skip(from_chunk as usize).take_while(|chunk| {
            size += chunk.len();
            size <= RESPONSE_BYTES_MAX || size == chunk.len()
        });
        let chunks: Vec<Vec<u8>> = chunks.map(|chunk| chunk.to_vec()).collect();
        if chunks.is_empty() { ConfigResponse::SnapshotGone } else { ConfigResponse::Chunks(chunks) }
    }

    /// The cached snapshot of a version; without a version, a cached or new snapshot in the bounds. Otherwise the response
    /// to send.
    async fn snapshot(
        &self,
        revision: Option<Revision>,
        bounds: RevisionBounds,
    ) -> Result<Arc<Snapshot>, ConfigResponse> {
        let mut cached = self.config_service.snapshots.lock().await;
        let history = self.history();
        let to = bounds.to.min(history.newest().revision());
        // The node has this version already. If another replica notified it of a later one, it fetches from that replica.
        if bounds.above.is_some_and(|above| to <= above) {
            return Err(ConfigResponse::NothingNewer);
        }
        if let Some(revision) = revision {
            let snapshot = cached.iter().find(|snapshot| snapshot.revision == revision).cloned();
            return snapshot.ok_or(ConfigResponse::SnapshotGone);
        }
        // A cached snapshot from which stored changes lead to `to` is as useful as a new one, and needs no compression.
        let is_usable = |snapshot: &Arc<Snapshot>| {
            snapshot.revision <= to
                && bounds.above.is_none_or(|above| snapshot.revision > above)
                && is_reached_by_changes(&history, snapshot.revision, to)
        };
        if let Some(snapshot) = cached.iter().find(|snapshot| is_usable(snapshot)) {
            return Ok(snapshot.clone());
        }
        let approved = Some(history.approved()).filter(|approved| approved.revision() == to);
        let Some(version) = approved.or_else(|| history.version(to)).cloned() else {
            return Err(ConfigResponse::NothingNewer);
        };
        // On a blocking thread, as heartbeats and lease requests must not wait for the compression.
        let compressed = tokio::task::spawn_blocking(move || Snapshot::pack(&version)).await;
        let Ok(snapshot) = compressed.map(Arc::new) else { return Err(ConfigResponse::NothingNewer) };
        cached.truncate(CACHED_SNAPSHOTS_MAX - 1);
        cached.push_front(snapshot.clone());
        Ok(snapshot)
    }

    /// The last versions, at most `limit`, the newest last.
    pub(super) fn recent_versions(&self, limit: u32) -> ConfigResponse {
        let history = self.history();
        let limit = (limit as usize).min(HISTORY_ROWS_MAX);
        let mut rows: Vec<VersionSummary> =
            history.changes().rev().take(limit).map(version_summary).collect();
        rows.reverse();
        ConfigResponse::History(rows, history.oldest().revision())
    }
}

fn version_summary(change: &ChangeSet) -> VersionSummary {
    let count = |records: usize| u32::try_from(records).unwrap_or(u32::MAX);
    VersionSummary {
        revision: change.resulting_revision(),
        digest: change.digest,
        set: count(change.set.len()),
        removed: count(change.remove.len()),
        author: change.author.clone(),
        note: change.note.clone(),
        at: change.at,
    }
}

/// Whether the stored changes lead from one version to another and have at most [`CHANGES_BYTES_MAX`].
fn is_reached_by_changes(history: &History, from: Revision, to: Revision) -> bool {
    match history.changes_since(from, to, usize::MAX) {
        ChangesSince::UpToDate => true,
        ChangesSince::Changes(changes) => {
            changes.iter().map(|change| change.len()).sum::<usize>() <= CHANGES_BYTES_MAX
        }
        ChangesSince::SnapshotRequired | ChangesSince::Ahead => false,
    }
}
