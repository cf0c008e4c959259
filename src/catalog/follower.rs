//! A node's way to the newest version: when it asks for what, and what it makes of the answers. Free of I/O, told the time.
//!
//! What it guards against: 900 nodes that ask in the same moment; a node that asks without end; one that goes back; a
//! version that is put in force half; and an answer to something that was never asked.
//!
//! Its driver tells it what it hears and gets, carries out what [`Follower::poll`] says, builds what a version that is ready
//! asks for off the requests' way, and then says whether it is in force ([`Follower::adopted`]) or can't be
//! ([`Follower::declined`]).

use bytes::Bytes;
use thiserror::Error;

use super::change::Change;
use super::refusal::{Damaged, Refused};
use super::whole::Catalog;
use super::{Digest, Revision};
use crate::interface::Micros;

/// How a follower paces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// It asks within this long of hearing of a version, at a moment by its lot.
    pub spread: Micros,
    /// An ask that has no answer by then counts as failed.
    pub patience: Micros,
    /// It waits so long after a failed ask at first, twice as long after each further one,
    pub retry: Micros,
    /// and no longer than this.
    pub retry_most: Micros,
}

impl Default for Pace {
    /// In force everywhere within 6 s, and 900 asks over a second.
    fn default() -> Pace {
        Pace {
            spread: Micros::from_millis(1_000),
            patience: Micros::from_millis(1_500),
            retry: Micros::from_millis(250),
            retry_most: Micros::from_millis(4_000),
        }
    }
}

/// The version that somebody says is agreed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// Its number.
    pub revision: Revision,
    /// Its digest.
    pub digest: Digest,
}

/// What to ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fetch {
    /// The changes that follow a version.
    Changes {
        /// That version.
        since: Revision,
    },
    /// Chunks of a snapshot.
    Chunks {
        /// Of that version; the newest where it begins.
        of: Option<Revision>,
        /// From that chunk on.
        from: u32,
    },
}

/// What came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Given {
    /// Changes, in order.
    Changes(Vec<Change>),
    /// Chunks, in order, as many as the giver sends at once.
    Chunks(Vec<Bytes>),
    /// The changes asked for are kept no more: a snapshot it has to be.
    Snapshot,
    /// That snapshot is kept no more: another one it has to be.
    Gone,
    /// The giver has too much to do; not before this long.
    Later(Micros),
    /// The giver has nothing newer.
    Nothing,
    /// The ask failed: no answer, or none that can be read.
    Failed,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Took {
    /// A version is ready to be put in force.
    Ready,
    /// More is needed; [`Follower::poll`] says when.
    More,
    /// Nothing: it was late, doubled, or for something else.
    Nothing,
}

/// A version that this node can't have in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Declined {
    /// A change does not fit.
    #[error("the change to version {0}: {1}")]
    Change(Revision, Refused),
    /// A snapshot does not fit.
    #[error("a snapshot: {0}")]
    Snapshot(Damaged),
    /// The node can't work with it.
    #[error("version {0}: {1}")]
    Settings(Revision, String),
    /// Another has the same number and another digest.
    #[error("version {0} is in force with digest {1}, and elsewhere with {2}")]
    Diverged(Revision, Digest, Digest),
}

/// One node's state.
#[derive(Debug)]
pub struct Follower {
    catalog: Catalog,
}

impl Follower {
    /// With that version in force; `lot` tells this process from others, and makes its asks fall apart from theirs.
    #[must_use]
    pub fn new(pace: Pace, lot: u64, in_force: Catalog) -> Follower {
        let _ = (pace, lot);
        Follower { catalog: in_force }
    }

    /// Somebody says which version is agreed.
    pub fn heard(&mut self, now: Micros, heard: Heard) {
        let _ = (now, heard);
        todo!()
    }

    /// What is to be asked for now; nothing while an ask is out.
    #[must_use]
    pub fn poll(&mut self, now: Micros) -> Option<Fetch> {
        let _ = now;
        todo!()
    }

    /// When [`Follower::poll`] has something to do next, if nothing comes before.
    #[must_use]
    pub fn next_poll(&self) -> Option<Micros> {
        todo!()
    }

    /// An answer to what was asked for last, or its failure.
    pub fn took(&mut self, now: Micros, given: Given) -> Took {
        let _ = (now, given);
        todo!()
    }

    /// The version that is ready to be put in force, if any.
    #[must_use]
    pub fn ready(&self) -> Option<&Catalog> {
        todo!()
    }

    /// The version that was ready is in force.
    pub fn adopted(&mut self, now: Micros) {
        let _ = now;
        todo!()
    }

    /// The version that was ready can't be in force; it is not asked for again, and a later one is.
    pub fn declined(&mut self, now: Micros, why: String) {
        let _ = (now, why);
        todo!()
    }

    /// The version in force.
    #[must_use]
    pub fn in_force(&self) -> &Catalog {
        &self.catalog
    }

    /// The newest version that it has heard of.
    #[must_use]
    pub fn newest(&self) -> Option<Heard> {
        todo!()
    }

    /// The last version that could not be in force, until a later one is.
    #[must_use]
    pub fn refused(&self) -> Option<&Declined> {
        todo!()
    }

    /// How long ago the version in force was last known to be the newest; nothing before it ever was.
    #[must_use]
    pub fn age(&self, now: Micros) -> Option<Micros> {
        let _ = now;
        todo!()
    }
}
