//! A whole version as bytes, in chunks: packed, checked and taken one by one, so that nothing is held up by all of them.

use bytes::Bytes;

use super::refusal::Damaged;
use super::whole::Catalog;
use super::{Digest, Revision};

/// Records in a chunk at the most.
pub const CHUNK_RECORDS: usize = 512;
/// Bytes of a chunk at the most, packed.
pub const CHUNK_BYTES_MAX: usize = 160 << 10;

/// A version, packed; copies share the bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Of which version.
    pub revision: Revision,
    /// Its digest.
    pub digest: Digest,
    /// Its chunks, in order; at least one.
    pub chunks: Vec<Bytes>,
}

impl Snapshot {
    /// Packs a version in one go.
    #[must_use]
    pub fn of(catalog: &Catalog) -> Snapshot {
        let _ = catalog;
        todo!()
    }

    /// The bytes of all chunks.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }
}

/// Packs a version chunk by chunk.
#[derive(Debug)]
pub struct SnapshotWriter {}

impl SnapshotWriter {
    /// Of that version.
    #[must_use]
    pub fn new(catalog: &Catalog) -> SnapshotWriter {
        let _ = catalog;
        todo!()
    }

    /// Packs the next chunk; the snapshot once that was the last.
    pub fn step(&mut self) -> Option<Snapshot> {
        todo!()
    }
}

/// How far a version that comes in chunks is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// That chunk is next.
    Next(u32),
    /// This is the version.
    Whole(Box<Catalog>),
}

/// Puts a version together from its chunks.
#[derive(Debug, Default)]
pub struct Assembly {}

impl Assembly {
    /// Nothing yet.
    #[must_use]
    pub fn new() -> Assembly {
        Assembly::default()
    }

    /// Of which version the chunks so far are.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        todo!()
    }

    /// Takes the next chunk.
    ///
    /// # Errors
    /// Why it can't be; what has been taken before stays.
    pub fn take(&mut self, chunk: &[u8]) -> Result<Progress, Damaged> {
        let _ = chunk;
        todo!()
    }
}
