//! What a keeper holds: the newest version, and the last ones with the changes between them.

use std::sync::Arc;

use thiserror::Error;

use super::Revision;
use super::change::{Change, Signed};
use super::refusal::Refused;
use super::whole::{Applied, Catalog};

/// How much is kept for those who lag; the last change always is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keeps {
    /// Changes at the most.
    pub changes: usize,
    /// Their bytes at the most, all together.
    pub bytes: usize,
}

/// What somebody lacks who has a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Since {
    /// Nothing.
    Current,
    /// These changes, in order; more may follow them.
    Changes(Vec<Arc<Change>>),
    /// More than is kept: the whole.
    Snapshot,
    /// It is further than this.
    Ahead,
}

/// A version that is not kept, or can't be gone back to.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NotKept {
    /// It is not among those kept.
    #[error("version {0} is not kept; kept are {1} to {2}")]
    Unknown(Revision, Revision, Revision),
    /// The newest version refuses the change.
    #[error(transparent)]
    Refused(#[from] Refused),
}

/// The newest version and some before it.
#[derive(Clone, Debug)]
pub struct History {
    now: Catalog,
}

impl History {
    /// From that version on.
    #[must_use]
    pub fn new(from: Catalog, keeps: Keeps) -> History {
        let _ = keeps;
        History { now: from }
    }

    /// The newest version.
    #[must_use]
    pub fn now(&self) -> &Catalog {
        &self.now
    }

    /// Takes a change over.
    ///
    /// # Errors
    /// Why the newest version refuses it.
    pub fn apply(&mut self, change: &Change) -> Result<Applied, Refused> {
        let _ = change;
        todo!()
    }

    /// The oldest version kept.
    #[must_use]
    pub fn oldest(&self) -> &Catalog {
        todo!()
    }

    /// A version, where it is kept.
    #[must_use]
    pub fn at(&self, revision: Revision) -> Option<&Catalog> {
        let _ = revision;
        todo!()
    }

    /// The changes kept, oldest first: from [`History::oldest`] they lead to [`History::now`].
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &Arc<Change>> {
        [].iter()
    }

    /// What leads from a version towards another, up to so many bytes and at least one change.
    #[must_use]
    pub fn since(&self, from: Revision, to: Revision, bytes: usize) -> Since {
        let _ = (from, to, bytes);
        todo!()
    }

    /// The change that makes the newest version's records those of a former one.
    ///
    /// # Errors
    /// [`NotKept`].
    pub fn rollback(&self, to: Revision, by: Signed) -> Result<Change, NotKept> {
        let _ = (to, by);
        todo!()
    }
}
