//! The versions that a replica stores: the newest, some before it with the changes between them, and the rollout decisions.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use thiserror::Error;

use super::change_set::{ChangeAuthor, ChangeSet};
use super::draft::diff;
use super::error::ChangeError;
use super::identity::{RecordKind, Revision};
use super::record::Record;
use super::rollout_decision::{RolloutDecision, RolloutHalted};
use super::transaction::ChangeSummary;
use super::version::ConfigVersion;

/// Limits on the changes that are retained for nodes that lag. The last change is always retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionPolicy {
    /// Most changes that are retained.
    pub changes: usize,
    /// Most encoded bytes of all changes together.
    pub bytes: usize,
}

impl Default for RetentionPolicy {
    /// Enough for more than a day's changes and for the first change, which sets all records.
    fn default() -> RetentionPolicy {
        RetentionPolicy { changes: 1_024, bytes: 8 << 20 }
    }
}

/// How to get from one version to a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangesSince {
    /// Nothing is missing.
    UpToDate,
    /// These changes in order, encoded by [`ChangeSet::encode`]; more may follow them.
    Changes(Vec<Bytes>),
    /// The changes are no longer retained: a snapshot is needed.
    SnapshotRequired,
    /// The version is later than the newest one here.
    Ahead,
}

/// Why a version can't be restored.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VersionUnavailable {
    /// The version is not retained.
    #[error("version {requested} is not kept; kept are {oldest} to {newest}")]
    NotRetained {
        /// The requested version.
        requested: Revision,
        /// The oldest retained version.
        oldest: Revision,
        /// The newest version.
        newest: Revision,
    },
    /// The newest version rejects the change.
    #[error(transparent)]
    ChangeRejected(#[from] ChangeError),
}

/// Why a rollout decision has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecisionRejected {
    /// The version is later than the newest one.
    #[error("there is no version {0}")]
    UnknownVersion(Revision),
    /// The version is approved already, or older than the approved one.
    #[error("version {0} is already released to all nodes")]
    AlreadyApproved(Revision),
    /// The version is no longer retained.
    #[error("version {0} is no longer kept")]
    NotRetained(Revision),
}

/// An earlier version and the change that was applied to it.
#[derive(Clone, Debug)]
struct RetainedVersion {
    version: ConfigVersion,
    /// Shared, as the history is cloned for each request that a replica serves.
    change: Arc<ChangeSet>,
    encoded: Bytes,
}

/// The newest version and some before it. Versions share unchanged records, so an earlier version costs only the memory of
/// the records that have changed since.
#[derive(Clone, Debug)]
pub struct History {
    newest: ConfigVersion,
    retained: VecDeque<RetainedVersion>,
    retained_bytes: usize,
    retention: RetentionPolicy,
    /// Stored separately, as it may be older than all retained versions.
    approved: ConfigVersion,
    halted: Option<RolloutHalted>,
}

impl History {
    /// A history that starts with an approved version.
    #[must_use]
    pub fn new(from: ConfigVersion, retention: RetentionPolicy) -> History {
        History {
            approved: from.clone(),
            newest: from,
            retained: VecDeque::new(),
            retained_bytes: 0,
            retention,
            halted: None,
        }
    }

    /// The newest version that all nodes may have.
    #[must_use]
    pub fn approved(&self) -> &ConfigVersion {
        &self.approved
    }

    /// The version whose rollout is halted, until that version or a later one is approved.
    #[must_use]
    pub fn halted(&self) -> Option<&RolloutHalted> {
        self.halted.as_ref()
    }

    /// Restores the approved and the halted version as read from storage.
    pub fn restore_decisions(&mut self, approved: ConfigVersion, halted: Option<RolloutHalted>) {
        (self.approved, self.halted) = (approved, halted);
    }

    /// Whether a version has the same records as an earlier retained one, as after an operator's rollback.
    #[must_use]
    pub fn is_rollback(&self, revision: Revision) -> bool {
        let Some(digest) = self.version(revision).map(ConfigVersion::digest) else { return false };
        let mut earlier = self.retained.iter().take_while(|retained| retained.version.revision() < revision);
        earlier.any(|retained| retained.version.digest() == digest)
    }

    /// Checks whether a decision would have an effect. Returns the version concerned.
    ///
    /// # Errors
    /// [`DecisionRejected`].
    pub fn check_decision(&self, decision: &RolloutDecision) -> Result<Revision, DecisionRejected> {
        let revision = decision.revision();
        if revision > self.newest.revision() {
            Err(DecisionRejected::UnknownVersion(revision))
        } else if revision <= self.approved.revision() {
            Err(DecisionRejected::AlreadyApproved(revision))
        } else if self.version(revision).is_none() {
            Err(DecisionRejected::NotRetained(revision))
        } else {
            Ok(revision)
        }
    }

    /// Applies an agreed decision. Returns the version concerned.
    ///
    /// # Errors
    /// [`DecisionRejected`]; the history is then unchanged.
    pub fn apply_decision(&mut self, decision: &RolloutDecision) -> Result<Revision, DecisionRejected> {
        let revision = self.check_decision(decision)?;
        match decision {
            RolloutDecision::Approved(_) => {
                if let Some(approved) = self.version(revision).cloned() {
                    self.approved = approved;
                }
                self.halted.take_if(|halted| halted.revision <= revision);
            }
            RolloutDecision::Halted(halted) => self.halted = Some(halted.clone()),
        }
        Ok(revision)
    }

    /// The newest version.
    #[must_use]
    pub fn newest(&self) -> &ConfigVersion {
        &self.newest
    }

    /// Applies a change to the newest version.
    ///
    /// # Errors
    /// [`ChangeError`] where the newest version rejects the change; the history is then unchanged.
    pub fn apply(&mut self, change: &ChangeSet) -> Result<ChangeSummary, ChangeError> {
        let encoded = Bytes::from(change.encode()?);
        let version = self.newest.clone();
        let summary = self.newest.apply(change)?;
        self.retained_bytes += encoded.len();
        self.retained.push_back(RetainedVersion { version, change: Arc::new(change.clone()), encoded });
        self.drop_excess();
        Ok(summary)
    }

    fn drop_excess(&mut self) {
        while self.retained.len() > 1
            && (self.retained.len() > self.retention.changes || self.retained_bytes > self.retention.bytes)
        {
            let dropped = self.retained.pop_front();
            self.retained_bytes -= dropped.map_or(0, |retained| retained.encoded.len());
        }
    }

    /// The oldest retained version.
    #[must_use]
    pub fn oldest(&self) -> &ConfigVersion {
        self.retained.front().map_or(&self.newest, |retained| &retained.version)
    }

    /// A version, if it is retained.
    #[must_use]
    pub fn version(&self, revision: Revision) -> Option<&ConfigVersion> {
        if revision == self.newest.revision() {
            return Some(&self.newest);
        }
        self.retained.get(self.retained_index(revision)?).map(|retained| &retained.version)
    }

    fn retained_index(&self, revision: Revision) -> Option<usize> {
        let index = revision.0.checked_sub(self.oldest().revision().0)?;
        usize::try_from(index).ok()
    }

    /// The retained changes, oldest first: they lead from [`History::oldest`] to [`History::newest`].
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &ChangeSet> {
        self.retained.iter().map(|retained| &*retained.change)
    }

    /// The changes that lead from one version towards another: up to `max_bytes` encoded bytes, and at least one change. It
    /// does not compare their size with that of a snapshot, which is the caller's task.
    #[must_use]
    pub fn changes_since(&self, from: Revision, to: Revision, max_bytes: usize) -> ChangesSince {
        let to = to.min(self.newest.revision());
        if from > self.newest.revision() {
            return ChangesSince::Ahead;
        }
        if from >= to {
            return ChangesSince::UpToDate;
        }
        let Some(first) = self.retained_index(from) else { return ChangesSince::SnapshotRequired };
        let (mut changes, mut bytes) = (Vec::new(), 0usize);
        let span = self.retained.iter().skip(first);
        for retained in span.take_while(|retained| retained.version.revision() < to) {
            bytes = bytes.saturating_add(retained.encoded.len());
            if bytes > max_bytes && !changes.is_empty() {
                break;
            }
            changes.push(retained.encoded.clone());
        }
        ChangesSince::Changes(changes)
    }

    /// The change after which the newest version has the records of version `to`. The cost is proportional to all records of
    /// both versions.
    ///
    /// # Errors
    /// [`VersionUnavailable`].
    pub fn draft_rollback(&self, to: Revision, by: ChangeAuthor) -> Result<ChangeSet, VersionUnavailable> {
        let not_retained = || VersionUnavailable::NotRetained {
            requested: to,
            oldest: self.oldest().revision(),
            newest: self.newest.revision(),
        };
        let records: Vec<Record> = self.version(to).ok_or_else(not_retained)?.records().cloned().collect();
        Ok(diff(&self.newest, &records, &RecordKind::ALL, by)?)
    }
}
