//! Applies a change to a version in bounded steps, so that a large change blocks its caller no longer than one step.

use std::collections::BTreeSet;

use super::change_set::ChangeSet;
use super::error::ChangeError;
use super::identity::{RecordKey, RecordKind, Revision};
use super::version::ConfigVersion;

/// What an applied change did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeSummary {
    /// The resulting version.
    pub revision: Revision,
    /// Records that were set: new ones and changed ones.
    pub records_set: usize,
    /// Records that were removed.
    pub records_removed: usize,
    touched_kinds: [bool; RecordKind::ALL.len()],
}

impl ChangeSummary {
    /// Whether a record of that kind was set or removed.
    #[must_use]
    pub fn touches(&self, kind: RecordKind) -> bool {
        self.touched_kinds[kind as usize]
    }
}

/// The next piece of work, with an index into the change's lists. Removals come first, then the records that are set. Both
/// are then checked for references, as a change may list a budget before its tier.
#[derive(Clone, Copy, Debug)]
enum Stage {
    Remove(usize),
    Set(usize),
    CheckReferences(usize),
    CheckRemoved(usize),
}

/// A change that is being applied to a version. That version stays as it is; the result is a new one.
#[derive(Debug)]
pub struct Transaction {
    change: ChangeSet,
    result: ConfigVersion,
    stage: Stage,
    seen_keys: BTreeSet<RecordKey>,
    touched_kinds: [bool; RecordKind::ALL.len()],
    scratch: Vec<u8>,
}

impl Transaction {
    /// Begins to apply a change to a version. Checks all that does not depend on the records.
    ///
    /// # Errors
    /// [`ChangeError::Gap`], [`ChangeError::Outdated`], [`ChangeError::Empty`], [`ChangeError::TooLarge`],
    /// [`ChangeError::RevisionsExhausted`].
    pub fn begin(version: &ConfigVersion, change: ChangeSet) -> Result<Transaction, ChangeError> {
        let (base, in_force) = (change.base, version.revision());
        if base > in_force {
            return Err(ChangeError::Gap { base, in_force });
        }
        if base < in_force {
            return Err(ChangeError::Outdated { base, in_force });
        }
        change.check_bounds()?;
        if change.set.is_empty() && change.remove.is_empty() {
            return Err(ChangeError::Empty);
        }
        Ok(Transaction {
            result: version.with_next_revision()?,
            stage: Stage::Remove(0),
            seen_keys: BTreeSet::new(),
            touched_kinds: [false; RecordKind::ALL.len()],
            scratch: Vec::new(),
            change,
        })
    }

    /// Processes up to `records` records. Returns the resulting version once all are processed, `None` before.
    ///
    /// # Errors
    /// [`ChangeError`]: why the change is rejected; no part of it is applied then.
    pub fn step(&mut self, records: usize) -> Result<Option<(ConfigVersion, ChangeSummary)>, ChangeError> {
        for _ in 0..records.max(1) {
            if self.process_record()? {
                self.result.check_limits()?;
                let (expected, actual) = (self.change.digest, self.result.digest());
                if expected != actual {
                    return Err(ChangeError::DigestMismatch { expected, actual });
                }
                return Ok(Some(self.finish()));
            }
        }
        Ok(None)
    }

    /// Applies all of the change and returns it with the digest of the result, whatever digest it had.
    pub(super) fn into_draft(mut self) -> Result<ChangeSet, ChangeError> {
        while !self.process_record()? {}
        self.result.check_limits()?;
        self.change.digest = self.result.digest();
        Ok(self.change)
    }

    fn finish(&mut self) -> (ConfigVersion, ChangeSummary) {
        let summary = ChangeSummary {
            revision: self.result.revision(),
            records_set: self.change.set.len(),
            records_removed: self.change.remove.len(),
            touched_kinds: self.touched_kinds,
        };
        (std::mem::take(&mut self.result), summary)
    }

    /// Processes one record and returns whether all are processed.
    fn process_record(&mut self) -> Result<bool, ChangeError> {
        match self.stage {
            Stage::Remove(index) => self.remove_record(index)?,
            Stage::Set(index) => self.set_record(index)?,
            Stage::CheckReferences(index) => self.check_references(index)?,
            Stage::CheckRemoved(index) => return self.check_removed(index),
        }
        Ok(false)
    }

    fn remove_record(&mut self, index: usize) -> Result<(), ChangeError> {
        let Some(key) = self.change.remove.get(index) else {
            self.stage = Stage::Set(0);
            return Ok(());
        };
        if !self.seen_keys.insert(key.clone()) {
            return Err(ChangeError::DuplicateRecord(key.clone()));
        }
        if !self.result.remove(key, &mut self.scratch) {
            return Err(ChangeError::RecordNotFound(key.clone()));
        }
        self.touched_kinds[key.kind as usize] = true;
        self.stage = Stage::Remove(index + 1);
        Ok(())
    }

    fn set_record(&mut self, index: usize) -> Result<(), ChangeError> {
        let Some(record) = self.change.set.get(index) else {
            self.stage = Stage::CheckReferences(0);
            return Ok(());
        };
        let key = record.checked_key()?;
        if !self.seen_keys.insert(key.clone()) {
            return Err(ChangeError::DuplicateRecord(key));
        }
        self.touched_kinds[key.kind as usize] = true;
        self.result.insert(key, record, &mut self.scratch);
        self.stage = Stage::Set(index + 1);
        Ok(())
    }

    fn check_references(&mut self, index: usize) -> Result<(), ChangeError> {
        let Some(record) = self.change.set.get(index) else {
            self.stage = Stage::CheckRemoved(0);
            return Ok(());
        };
        self.result.check_reference(record)?;
        self.stage = Stage::CheckReferences(index + 1);
        Ok(())
    }

    /// Checks that nothing refers to a removed record. Returns whether all removed records are checked.
    fn check_removed(&mut self, index: usize) -> Result<bool, ChangeError> {
        let Some(key) = self.change.remove.get(index) else { return Ok(true) };
        if let Some(references) = self.result.reference_count(key) {
            return Err(ChangeError::StillReferenced { key: key.clone(), references });
        }
        self.stage = Stage::CheckRemoved(index + 1);
        Ok(false)
    }
}

impl ConfigVersion {
    /// Applies a change, completely or not at all. The cost is the number of records in it times the logarithm
    /// of the number of all records.
    ///
    /// # Errors
    /// [`ChangeError`]: why the change is rejected; this version is then unchanged.
    pub fn apply(&mut self, change: &ChangeSet) -> Result<ChangeSummary, ChangeError> {
        let mut transaction = Transaction::begin(self, change.clone())?;
        loop {
            if let Some((result, summary)) = transaction.step(usize::MAX)? {
                *self = result;
                return Ok(summary);
            }
        }
    }
}
