//! The replicated state as Raft drives it: applies committed entries, takes snapshots and installs them.
//!
//! Every replica applies the same entries in the same order. What an entry does is decided in [`ReplicaState`].

use std::io::Cursor;
use std::sync::{Arc, Mutex, MutexGuard};

use openraft::storage::RaftStateMachine;
use openraft::{
    BasicNode, EntryPayload, LogId, OptionalSend, RaftSnapshotBuilder, Snapshot, SnapshotMeta,
    StorageIOError, StoredMembership,
};
use tokio::sync::watch;

use super::store::{
    LogStore, LogStoreError, NodeId, RaftStorageError, StoredSnapshot, read_error, write_error,
};
use super::{EntryResult, Raft, lock, version_inventory};
use crate::config_store::History;
use crate::fleet::lease::ledger::LeaseLedger;
use crate::fleet::replica_state::ReplicaState;
use crate::runtime::clock::LeaseClock;

/// The replicated state and how far the log has been applied to it.
pub struct StateMachineStore {
    state: Arc<Mutex<ReplicaState>>,
    clock: LeaseClock,
    log_store: LogStore,
    last_applied: Option<LogId<NodeId>>,
    membership: StoredMembership<NodeId, BasicNode>,
    /// Notified whenever the configuration may have changed.
    config_changed: watch::Sender<()>,
}

impl StateMachineStore {
    /// Restores the state from the stored snapshot, if any. Raft applies the entries after it.
    ///
    /// # Errors
    /// [`LogStoreError`].
    pub fn load(
        log_store: LogStore,
        state: Arc<Mutex<ReplicaState>>,
        clock: LeaseClock,
        config_changed: watch::Sender<()>,
    ) -> Result<StateMachineStore, LogStoreError> {
        let snapshot = log_store.read_snapshot()?;
        let membership = StoredMembership::default();
        let mut machine =
            StateMachineStore { state, clock, log_store, last_applied: None, membership, config_changed };
        if let Some(snapshot) = snapshot {
            machine.restore(&snapshot.meta, &snapshot.bytes)?;
        }
        Ok(machine)
    }

    fn state(&self) -> MutexGuard<'_, ReplicaState> {
        lock(&self.state)
    }

    fn restore(&mut self, meta: &SnapshotMeta<NodeId, BasicNode>, bytes: &[u8]) -> Result<(), LogStoreError> {
        let (ledger, rest) = postcard::take_from_bytes::<LeaseLedger>(bytes)?;
        let history = version_inventory::read_history(rest)?;
        let now = self.clock.now();
        {
            let mut state = self.state();
            state.load_ledger(now, ledger);
            state.load_history(history);
        }
        self.last_applied = meta.last_log_id;
        self.membership = meta.last_membership.clone();
        Ok(())
    }
}

/// A copy of the state when a snapshot was requested. It excludes entries that are applied while the snapshot is written.
#[derive(Clone)]
pub struct SnapshotCopy {
    pub(super) meta: SnapshotMeta<NodeId, BasicNode>,
    pub(super) ledger: LeaseLedger,
    pub(super) history: History,
    pub(super) log_store: LogStore,
}

impl SnapshotCopy {
    /// Stores the ledger and the configuration. A large configuration takes long, so this must run on a blocking thread.
    pub(super) fn write(&self) -> Result<StoredSnapshot, LogStoreError> {
        let bytes = postcard::to_allocvec(&self.ledger)?;
        let bytes = version_inventory::append_history(bytes, &self.history)?;
        let snapshot = StoredSnapshot { meta: self.meta.clone(), bytes };
        self.log_store.write_snapshot(&snapshot)?;
        Ok(snapshot)
    }
}

impl RaftSnapshotBuilder<Raft> for SnapshotCopy {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Raft>, RaftStorageError> {
        let copy = self.clone();
        // On a blocking thread, as heartbeats and lease requests must not wait for it.
        let stored = tokio::task::spawn_blocking(move || copy.write()).await;
        let stored = stored.map_err(|e| StorageIOError::write_snapshot(None, &e))?.map_err(write_error)?;
        Ok(raft_snapshot(stored))
    }
}

fn raft_snapshot(stored: StoredSnapshot) -> Snapshot<Raft> {
    Snapshot { meta: stored.meta, snapshot: Box::new(Cursor::new(stored.bytes)) }
}

impl RaftStateMachine<Raft> for StateMachineStore {
    type SnapshotBuilder = SnapshotCopy;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<NodeId>>, StoredMembership<NodeId, BasicNode>), RaftStorageError> {
        Ok((self.last_applied, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<EntryResult>, RaftStorageError>
    where
        I: IntoIterator<Item = openraft::Entry<Raft>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut results = Vec::new();
        for entry in entries {
            self.last_applied = Some(entry.log_id);
            results.push(match entry.payload {
                EntryPayload::Blank => EntryResult::default(),
                EntryPayload::Normal(ref ledger_entry) => {
                    let now = self.clock.now();
                    let (lease_responses, apply_outcome) = self.state().apply_with_outcome(now, ledger_entry);
                    if apply_outcome.is_some() {
                        self.config_changed.send_replace(());
                    }
                    EntryResult { lease_responses, apply_outcome }
                }
                EntryPayload::Membership(membership) => {
                    self.membership = StoredMembership::new(Some(entry.log_id), membership);
                    EntryResult::default()
                }
            });
        }
        Ok(results)
    }

    async fn get_snapshot_builder(&mut self) -> SnapshotCopy {
        let snapshot_id = self
            .last_applied
            .map_or_else(|| "0".to_owned(), |log_id| format!("{}-{}", log_id.leader_id, log_id.index));
        let meta = SnapshotMeta {
            last_log_id: self.last_applied,
            last_membership: self.membership.clone(),
            snapshot_id,
        };
        let state = self.state();
        let (ledger, history) = (state.ledger().clone(), state.history().clone());
        drop(state);
        SnapshotCopy { meta, ledger, history, log_store: self.log_store.clone() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, RaftStorageError> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<NodeId, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), RaftStorageError> {
        let stored = StoredSnapshot { meta: meta.clone(), bytes: snapshot.into_inner() };
        self.log_store.write_snapshot(&stored).map_err(write_error)?;
        self.restore(meta, &stored.bytes).map_err(read_error)?;
        self.config_changed.send_replace(());
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Raft>>, RaftStorageError> {
        Ok(self.log_store.read_snapshot().map_err(read_error)?.map(raft_snapshot))
    }
}
