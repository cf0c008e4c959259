//! What a keeper holds: the newest version, and the last ones with the changes between them.

use std::collections::VecDeque;

use bytes::Bytes;
use thiserror::Error;

use super::change::{Change, Signed, diff};
use super::record::Record;
use super::refusal::Refused;
use super::whole::{Applied, Catalog};
use super::{Kind, Revision};

/// How much is kept for those who lag; the last change always is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keeps {
    /// Changes at the most.
    pub changes: usize,
    /// Their bytes at the most, all together.
    pub bytes: usize,
}

impl Default for Keeps {
    /// More than a day's changes, and the first one that brings all records.
    fn default() -> Keeps {
        Keeps { changes: 1_024, bytes: 8 << 20 }
    }
}

/// What somebody lacks who has a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Since {
    /// Nothing.
    Current,
    /// These changes in order, as [`Change::encode`] has them; more may follow them.
    Changes(Vec<Bytes>),
    /// More than is kept: the whole.
    Snapshot,
    /// It is further than this.
    Ahead,
}

/// A version that is not kept, or can't be gone back to.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NotKept {
    /// It is not among those kept.
    #[error("version {asked} is not kept; kept are {oldest} to {newest}")]
    Unknown {
        /// The version asked for.
        asked: Revision,
        /// The oldest kept.
        oldest: Revision,
        /// The newest.
        newest: Revision,
    },
    /// The newest version refuses the change.
    #[error(transparent)]
    Refused(#[from] Refused),
}

/// A version that was, and the change that ended it.
#[derive(Clone, Debug)]
struct Past {
    was: Catalog,
    change: Change,
    bytes: Bytes,
}

/// The newest version and some before it. A former one costs what has changed since: they share their records.
#[derive(Clone, Debug)]
pub struct History {
    now: Catalog,
    past: VecDeque<Past>,
    bytes: usize,
    keeps: Keeps,
}

impl History {
    /// From that version on.
    #[must_use]
    pub fn new(from: Catalog, keeps: Keeps) -> History {
        History { now: from, past: VecDeque::new(), bytes: 0, keeps }
    }

    /// The newest version.
    #[must_use]
    pub fn now(&self) -> &Catalog {
        &self.now
    }

    /// Takes a change over.
    ///
    /// # Errors
    /// Why the newest version refuses it; nothing has changed then.
    pub fn apply(&mut self, change: &Change) -> Result<Applied, Refused> {
        let bytes = Bytes::from(change.encode()?);
        let was = self.now.clone();
        let applied = self.now.apply(change)?;
        self.bytes += bytes.len();
        self.past.push_back(Past { was, change: change.clone(), bytes });
        while self.past.len() > 1 && (self.past.len() > self.keeps.changes || self.bytes > self.keeps.bytes) {
            let gone = self.past.pop_front();
            self.bytes -= gone.map_or(0, |p| p.bytes.len());
        }
        Ok(applied)
    }

    /// The oldest version kept.
    #[must_use]
    pub fn oldest(&self) -> &Catalog {
        self.past.front().map_or(&self.now, |p| &p.was)
    }

    /// A version, where it is kept.
    #[must_use]
    pub fn at(&self, revision: Revision) -> Option<&Catalog> {
        if revision == self.now.revision() {
            return Some(&self.now);
        }
        self.past.get(self.place(revision)?).map(|p| &p.was)
    }

    fn place(&self, revision: Revision) -> Option<usize> {
        let place = revision.0.checked_sub(self.oldest().revision().0)?;
        usize::try_from(place).ok()
    }

    /// The changes kept, oldest first: from [`History::oldest`] they lead to [`History::now`].
    pub fn changes(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.past.iter().map(|p| &p.change)
    }

    /// What leads from a version towards another, up to so many bytes and at least one change. Where the changes have more
    /// bytes than the whole has packed, [`Since::Snapshot`] serves better; that is for the caller to weigh.
    #[must_use]
    pub fn since(&self, from: Revision, to: Revision, bytes: usize) -> Since {
        let to = to.min(self.now.revision());
        if from > self.now.revision() {
            return Since::Ahead;
        }
        if from >= to {
            return Since::Current;
        }
        let Some(first) = self.place(from) else { return Since::Snapshot };
        let (mut all, mut sum) = (Vec::new(), 0usize);
        for past in self.past.iter().skip(first).take_while(|p| p.was.revision() < to) {
            sum = sum.saturating_add(past.bytes.len());
            if sum > bytes && !all.is_empty() {
                break;
            }
            all.push(past.bytes.clone());
        }
        Since::Changes(all)
    }

    /// The change that makes the newest version's records those of a former one. It walks all records of both.
    ///
    /// # Errors
    /// [`NotKept`].
    pub fn rollback(&self, to: Revision, by: Signed) -> Result<Change, NotKept> {
        let unknown =
            || NotKept::Unknown { asked: to, oldest: self.oldest().revision(), newest: self.now.revision() };
        let records: Vec<Record> = self.at(to).ok_or_else(unknown)?.records().cloned().collect();
        Ok(diff(&self.now, &records, &Kind::ALL, by)?)
    }
}
