//! Creates changes to a version: from records to set and remove, or from the complete list of wanted records.

use std::collections::BTreeSet;

use super::change_set::{ChangeAuthor, ChangeSet};
use super::digest::Digest;
use super::error::ChangeError;
use super::identity::{RecordKey, RecordKind};
use super::record::Record;
use super::transaction::Transaction;
use super::version::ConfigVersion;

impl ChangeSet {
    /// Creates a change to version `from` that sets and removes these records.
    ///
    /// # Errors
    /// [`ChangeError`]: why version `from` would reject the change.
    pub fn draft(
        from: &ConfigVersion,
        set: Vec<Record>,
        remove: Vec<RecordKey>,
        by: ChangeAuthor,
    ) -> Result<ChangeSet, ChangeError> {
        let ChangeAuthor { author, note, at } = by;
        let base = from.revision();
        let change = ChangeSet { base, set, remove, digest: Digest::default(), author, note, at };
        Transaction::begin(from, change)?.into_draft()
    }
}

/// The change after which `from` has exactly these records of the kinds in `covers`. Records of other kinds stay as they
/// are.
///
/// # Errors
/// [`ChangeError::Empty`] where the version has exactly these records already; otherwise why the version would reject the
/// change.
pub fn diff(
    from: &ConfigVersion,
    records: &[Record],
    covers: &[RecordKind],
    by: ChangeAuthor,
) -> Result<ChangeSet, ChangeError> {
    let (mut set, mut wanted_keys) = (Vec::new(), BTreeSet::new());
    for record in records {
        let key = record.key();
        if from.get(&key) != Some(record) {
            set.push(record.clone());
        }
        if let Some(key) = wanted_keys.replace(key) {
            return Err(ChangeError::DuplicateRecord(key));
        }
    }
    let mut kinds = covers.to_vec();
    kinds.sort_unstable();
    kinds.dedup();
    let existing_keys = kinds.iter().flat_map(|kind| from.records_of_kind(*kind)).map(Record::key);
    let remove = existing_keys.filter(|key| !wanted_keys.contains(key)).collect();
    ChangeSet::draft(from, set, remove, by)
}
