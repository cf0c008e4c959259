//! A replica's file: Raft's log and vote, the last snapshot, and the bootstrap that the replica joined.
//!
//! The file is a `redb` database. A write is on the disk before it is reported as done. A replica whose file was lost has
//! also lost its votes and may not vote ([`LogStore::bootstrap_id`]). Entries are applied in [`super::state_machine`].

use std::fmt::Debug;
use std::ops::RangeBounds;
use std::path::Path;
use std::sync::Arc;

use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{
    BasicNode, LogId, LogState, OptionalSend, RaftLogReader, SnapshotMeta, StorageError, StorageIOError, Vote,
};
use redb::{Database, ReadableTable, Table, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::version_inventory::StoredConfigError;
use super::{Raft, protocol};

pub(super) type NodeId = u64;
pub(super) type RaftStorageError = StorageError<NodeId>;
type RaftEntry = openraft::Entry<Raft>;
type LogTable<'txn> = Table<'txn, u64, &'static [u8]>;
type MetaTable<'txn> = Table<'txn, &'static str, &'static [u8]>;

const FILE_NAME: &str = "book.redb";
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const VOTE: &str = "vote";
const PURGED: &str = "purged";
const BOOTSTRAP: &str = "founding";
const SNAPSHOT: &str = "snapshot";

/// Most bytes of the file that are cached; up to a tenth of them wait to be written. Raft mostly reads the last entries, and
/// occasionally a snapshot; `redb`'s default of 1 GiB would hold the entire file in memory.
const CACHE_BYTES: usize = 16 << 20;

/// The replica's open file; clones share it.
#[derive(Clone)]
pub struct LogStore(Arc<Database>);

/// Why a replica's file can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum LogStoreError {
    /// The file can't be opened, read or written.
    #[error("{0}")]
    File(Box<redb::Error>),
    /// A value of the file can't be encoded or decoded.
    #[error("a value of the replica's file can't be encoded or decoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// The configuration can't be encoded or decoded.
    #[error("the configuration in the replica's file can't be encoded or decoded: {0}")]
    Config(#[from] StoredConfigError),
}

macro_rules! file_errors {
    ($($error:ty),*) => {
        $(impl From<$error> for LogStoreError {
            fn from(e: $error) -> LogStoreError {
                LogStoreError::File(Box::new(e.into()))
            }
        })*
    };
}

file_errors!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError
);

/// A stored snapshot. The encoding depends on the order of the fields.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct StoredSnapshot {
    pub meta: SnapshotMeta<NodeId, BasicNode>,
    /// The encoded ledger, followed by the configuration ([`super::version_inventory`]).
    pub bytes: Vec<u8>,
}

impl LogStore {
    /// Opens the replica's file in a folder, or creates it.
    ///
    /// # Errors
    /// [`LogStoreError::File`].
    pub fn open(folder: &Path) -> Result<LogStore, LogStoreError> {
        let database = Database::builder().set_cache_size(CACHE_BYTES).create(folder.join(FILE_NAME))?;
        let store = LogStore(Arc::new(database));
        let transaction = store.0.begin_write()?;
        transaction.open_table(LOG)?;
        transaction.open_table(META)?;
        transaction.commit()?;
        Ok(store)
    }

    fn read_meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, LogStoreError> {
        let transaction = self.0.begin_read()?;
        let table = transaction.open_table(META)?;
        let Some(bytes) = table.get(key)? else { return Ok(None) };
        Ok(Some(postcard::from_bytes(bytes.value())?))
    }

    fn write_meta(&self, key: &str, value: &impl Serialize) -> Result<(), LogStoreError> {
        let bytes = postcard::to_allocvec(value)?;
        self.write(|_, meta| Ok(meta.insert(key, &bytes[..]).map(|_| ())?))
    }

    /// Runs one write transaction on both tables.
    fn write(
        &self,
        update: impl FnOnce(&mut LogTable<'_>, &mut MetaTable<'_>) -> Result<(), LogStoreError>,
    ) -> Result<(), LogStoreError> {
        let transaction = self.0.begin_write()?;
        {
            let mut log = transaction.open_table(LOG)?;
            let mut meta = transaction.open_table(META)?;
            update(&mut log, &mut meta)?;
        }
        transaction.commit()?;
        Ok(())
    }

    /// The id of the bootstrap that this replica has joined. Without one the replica may not vote: if the fleet is
    /// bootstrapped, this replica's disk was lost.
    ///
    /// # Errors
    /// [`LogStoreError`].
    pub fn bootstrap_id(&self) -> Result<Option<u64>, LogStoreError> {
        self.read_meta(BOOTSTRAP)
    }

    /// Stores the id of the bootstrap that this replica joins.
    ///
    /// # Errors
    /// [`LogStoreError`].
    pub fn join_bootstrap(&self, bootstrap_id: u64) -> Result<(), LogStoreError> {
        self.write_meta(BOOTSTRAP, &bootstrap_id)
    }

    /// Whether Raft has written neither a vote nor a log yet.
    ///
    /// # Errors
    /// [`LogStoreError`].
    pub fn is_blank(&self) -> Result<bool, LogStoreError> {
        Ok(self.read_meta::<Vote<NodeId>>(VOTE)?.is_none()
            && self.read_meta::<LogId<NodeId>>(PURGED)?.is_none())
    }

    /// The last snapshot, if there is one.
    pub(super) fn read_snapshot(&self) -> Result<Option<StoredSnapshot>, LogStoreError> {
        self.read_meta(SNAPSHOT)
    }

    /// Stores a snapshot in place of the last one.
    pub(super) fn write_snapshot(&self, snapshot: &StoredSnapshot) -> Result<(), LogStoreError> {
        self.write_meta(SNAPSHOT, snapshot)
    }

    /// The first entries of a range, up to `bytes_max` encoded bytes, but at least one entry.
    fn read_entries(
        &self,
        range: impl RangeBounds<u64>,
        bytes_max: usize,
    ) -> Result<Vec<RaftEntry>, LogStoreError> {
        let transaction = self.0.begin_read()?;
        let table = transaction.open_table(LOG)?;
        let bounds = (range.start_bound().cloned(), range.end_bound().cloned());
        let (mut entries, mut size) = (Vec::new(), 0usize);
        for row in table.range::<u64>(bounds)? {
            let (_, bytes) = row?;
            size = size.saturating_add(bytes.value().len());
            if size > bytes_max && !entries.is_empty() {
                break;
            }
            entries.push(postcard::from_bytes(bytes.value())?);
        }
        Ok(entries)
    }

    fn last_log_id(&self) -> Result<Option<LogId<NodeId>>, LogStoreError> {
        let transaction = self.0.begin_read()?;
        let table = transaction.open_table(LOG)?;
        let Some((_, bytes)) = table.last()? else { return Ok(None) };
        let entry: RaftEntry = postcard::from_bytes(bytes.value())?;
        Ok(Some(entry.log_id))
    }

    fn append_entries(&self, entries: impl Iterator<Item = RaftEntry>) -> Result<(), LogStoreError> {
        let rows: Result<Vec<(u64, Vec<u8>)>, postcard::Error> =
            entries.map(|entry| Ok((entry.log_id.index, postcard::to_allocvec(&entry)?))).collect();
        let rows = rows?;
        self.write(|log, _| {
            for (index, bytes) in &rows {
                log.insert(*index, &bytes[..])?;
            }
            Ok(())
        })
    }

    /// Removes the entries of a range. Where they are removed from the start of the log, `purged` is the id of the last one.
    fn remove_entries(
        &self,
        range: impl RangeBounds<u64> + Clone,
        purged: Option<LogId<NodeId>>,
    ) -> Result<(), LogStoreError> {
        let purged = purged.map(|log_id| postcard::to_allocvec(&log_id)).transpose()?;
        self.write(|log, meta| {
            let bounds = (range.start_bound().cloned(), range.end_bound().cloned());
            log.retain_in::<u64, _>(bounds, |_, _| false)?;
            if let Some(bytes) = purged {
                meta.insert(PURGED, &bytes[..])?;
            }
            Ok(())
        })
    }
}

pub(super) fn read_error(e: LogStoreError) -> RaftStorageError {
    StorageIOError::read(&e).into()
}

pub(super) fn write_error(e: LogStoreError) -> RaftStorageError {
    StorageIOError::write(&e).into()
}

impl RaftLogReader<Raft> for LogStore {
    async fn try_get_log_entries<R: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: R,
    ) -> Result<Vec<RaftEntry>, RaftStorageError> {
        self.read_entries(range, usize::MAX).map_err(read_error)
    }

    /// Returns as many entries as one call to another replica carries: configuration changes are large, and a replica that
    /// lacks many of them could not receive them all in one call.
    async fn limited_get_log_entries(
        &mut self,
        start: u64,
        end: u64,
    ) -> Result<Vec<RaftEntry>, RaftStorageError> {
        self.read_entries(start..end, protocol::ENTRIES_BYTES_MAX).map_err(read_error)
    }
}

impl RaftLogStorage<Raft> for LogStore {
    type LogReader = LogStore;

    async fn get_log_state(&mut self) -> Result<LogState<Raft>, RaftStorageError> {
        let purged = self.read_meta(PURGED).map_err(read_error)?;
        let last = self.last_log_id().map_err(read_error)?;
        Ok(LogState { last_purged_log_id: purged, last_log_id: last.or(purged) })
    }

    async fn get_log_reader(&mut self) -> LogStore {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<(), RaftStorageError> {
        self.write_meta(VOTE, vote).map_err(write_error)
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>, RaftStorageError> {
        self.read_meta(VOTE).map_err(read_error)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Raft>) -> Result<(), RaftStorageError>
    where
        I: IntoIterator<Item = RaftEntry> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        match self.append_entries(entries.into_iter()) {
            Ok(()) => {
                callback.log_io_completed(Ok(()));
                Ok(())
            }
            Err(e) => {
                callback.log_io_completed(Err(std::io::Error::other(e.to_string())));
                Err(write_error(e))
            }
        }
    }

    async fn truncate(&mut self, from: LogId<NodeId>) -> Result<(), RaftStorageError> {
        self.remove_entries(from.index.., None).map_err(write_error)
    }

    async fn purge(&mut self, upto: LogId<NodeId>) -> Result<(), RaftStorageError> {
        self.remove_entries(..=upto.index, Some(upto)).map_err(write_error)
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
