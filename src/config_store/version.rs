//! One version of the configuration: all its records, with the counts and references that keep them consistent.

use std::ops::Bound;

use rpds::RedBlackTreeMapSync;

use super::digest::Digest;
use super::error::ChangeError;
use super::identity::{RecordKey, RecordKind, Revision};
use super::record::Record;
use super::value::Name;
use crate::interface::Settings;

/// One version of all records.
///
/// A clone shares all records and copies a few machine words. After a change two versions differ in the changed records and
/// some 15 small tree nodes for each of them, so a reader may hold a version for any length of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigVersion {
    revision: Revision,
    digest: Digest,
    records: RedBlackTreeMapSync<RecordKey, Record>,
    /// The number of records that require a key to exist. With it, a removal is checked without a scan of all records.
    reference_counts: RedBlackTreeMapSync<RecordKey, u32>,
    counts: [usize; RecordKind::ALL.len()],
    /// Budgets whose capacity scales with the zones.
    zone_scaled_budgets: usize,
}

/// A key that sorts before all keys of a kind, as a valid name is never empty.
fn lower_bound_of(kind: RecordKind) -> RecordKey {
    RecordKey { kind, name: Name::lower_bound() }
}

impl ConfigVersion {
    /// The revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The digest of all records.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.size()
    }

    /// Whether there are no records: then the platform's file alone is in force.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The number of records of a kind.
    #[must_use]
    pub fn count(&self, kind: RecordKind) -> usize {
        self.counts[kind as usize]
    }

    /// The record with this key, if the version has it.
    #[must_use]
    pub fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// All records, by kind and name.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// The records of a kind, by name.
    pub fn records_of_kind(&self, kind: RecordKind) -> impl Iterator<Item = &Record> {
        let from_kind = self.records.range(lower_bound_of(kind)..).map(|(_, record)| record);
        from_kind.take_while(move |record| record.kind() == kind)
    }

    /// The records after a key, in order; all records where there is no key.
    pub(super) fn records_after(&self, key: Option<&RecordKey>) -> impl Iterator<Item = &Record> {
        let start = key.map_or(Bound::Unbounded, |key| Bound::Excluded(key.clone()));
        self.records.range((start, Bound::Unbounded)).map(|(_, record)| record)
    }

    /// Whether two versions have the same records, whatever their revisions.
    #[must_use]
    pub fn has_same_records(&self, other: &ConfigVersion) -> bool {
        self.digest == other.digest && self.records == other.records
    }

    /// The same records under the next revision.
    ///
    /// # Errors
    /// [`ChangeError::RevisionsExhausted`].
    pub(super) fn with_next_revision(&self) -> Result<ConfigVersion, ChangeError> {
        let revision = self.revision.next().ok_or(ChangeError::RevisionsExhausted(self.revision))?;
        Ok(ConfigVersion { revision, ..self.clone() })
    }

    /// The number of records that refer to this key; `None` where there are none.
    pub(super) fn reference_count(&self, key: &RecordKey) -> Option<u32> {
        self.reference_counts.get(key).copied()
    }

    /// Checks that the record that `record` refers to exists, and that a tenant has one budget at the most.
    pub(super) fn check_reference(&self, record: &Record) -> Result<(), ChangeError> {
        let Some(key) = record.reference() else { return Ok(()) };
        if !self.records.contains_key(&key) {
            return Err(ChangeError::MissingReference { key, referrer: record.key() });
        }
        if key.kind == RecordKind::Tenant && self.reference_count(&key).is_some_and(|count| count > 1) {
            return Err(ChangeError::DuplicateTenantBudget(key));
        }
        Ok(())
    }

    /// Checks the limits that depend only on the number of records of each kind.
    pub(super) fn check_limits(&self) -> Result<(), ChangeError> {
        for kind in RecordKind::ALL {
            let (count, max) = (self.count(kind), kind.max_records());
            if count > max {
                return Err(ChangeError::TooManyRecords { kind, count, max });
            }
        }
        if self.zone_scaled_budgets > 0 && self.count(RecordKind::Zone) == 0 {
            return Err(ChangeError::NoZones);
        }
        if self.count(RecordKind::Tenant) > 0 && self.count(RecordKind::Class) == 0 {
            return Err(ChangeError::NoClasses);
        }
        Ok(())
    }

    /// Adds a record, or replaces the one under its key. `scratch` is a reusable buffer that saves an allocation.
    pub(super) fn insert(&mut self, key: RecordKey, record: &Record, scratch: &mut Vec<u8>) {
        self.remove(&key, scratch);
        self.digest = self.digest.plus(record.digest(scratch));
        self.counts[key.kind as usize] += 1;
        self.zone_scaled_budgets += usize::from(scales_with_zones(record));
        if let Some(referred) = record.reference() {
            let count = self.reference_count(&referred).unwrap_or(0);
            self.reference_counts.insert_mut(referred, count + 1);
        }
        self.records.insert_mut(key, record.clone());
    }

    /// Removes a record and returns whether it existed.
    pub(super) fn remove(&mut self, key: &RecordKey, scratch: &mut Vec<u8>) -> bool {
        let Some(removed) = self.records.get(key) else { return false };
        self.digest = self.digest.minus(removed.digest(scratch));
        self.counts[key.kind as usize] -= 1;
        self.zone_scaled_budgets -= usize::from(scales_with_zones(removed));
        if let Some(referred) = removed.reference() {
            match self.reference_counts.get(&referred).copied() {
                Some(count) if count > 1 => self.reference_counts.insert_mut(referred, count - 1),
                _ => _ = self.reference_counts.remove_mut(&referred),
            }
        }
        self.records.remove_mut(key)
    }

    /// A version without records, which [`Self::push_in_order`] fills with the records of a snapshot.
    pub(super) fn empty_at(revision: Revision) -> ConfigVersion {
        ConfigVersion { revision, ..ConfigVersion::default() }
    }

    /// Adds the next record of a snapshot. Records that others refer to come first in the order of kinds, so each record is
    /// checked against the records added before it.
    ///
    /// # Errors
    /// [`ChangeError`] where the record is invalid, out of order, refers to a missing record, or exceeds a limit.
    pub(super) fn push_in_order(
        &mut self,
        record: &Record,
        scratch: &mut Vec<u8>,
    ) -> Result<(), ChangeError> {
        let key = record.checked_key()?;
        if self.records.last().is_some_and(|(last, _)| *last >= key) {
            return Err(ChangeError::DuplicateRecord(key));
        }
        self.insert(key, record, scratch);
        self.check_reference(record)?;
        self.check_limits()
    }

    /// The settings that a node runs with: the classes and tenants of this version, by name, and everything else from the
    /// platform's file. Without a class, the file's classes and tenants stay.
    ///
    /// The cost is proportional to the number of classes and tenants, so a node in service calls this on a thread that
    /// serves no requests.
    #[must_use]
    pub fn settings(&self, base: &Settings) -> Settings {
        if self.count(RecordKind::Class) == 0 {
            return base.clone();
        }
        let mut classes = Vec::with_capacity(self.count(RecordKind::Class));
        let mut tenants = Vec::with_capacity(self.count(RecordKind::Tenant));
        for record in self.records() {
            match record {
                Record::Class(class) => classes.push(class.settings()),
                Record::Tenant(tenant) => tenants.push(tenant.settings()),
                // Classes and tenants come before all other kinds.
                _ => break,
            }
        }
        Settings { classes: classes.into(), tenants: tenants.into(), ..base.clone() }
    }
}

fn scales_with_zones(record: &Record) -> bool {
    matches!(record, Record::Budget(budget) if budget.scales_with_zones)
}
