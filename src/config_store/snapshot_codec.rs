//! Encodes all records of a version as chunks, and decodes them one by one, so that no step takes long.
//!
//! A chunk is a magic number, a format version, a flag for the last chunk, the version's revision and digest, the chunk's
//! number, the unpacked length, the records (postcard, in order, deflated) and a checksum over all of it. Each chunk is
//! checked separately: a damaged chunk is requested again, and the others are kept.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use super::checksum;
use super::digest::Digest;
use super::error::DecodeError;
use super::identity::{RecordKey, Revision};
use super::record::Record;
use super::version::ConfigVersion;

/// Most records in a chunk: such a chunk is decoded in about 1 ms.
pub const CHUNK_RECORDS: usize = 512;
/// Largest encoded chunk, bytes.
pub const CHUNK_BYTES_MAX: usize = 160 << 10;
/// Largest unpacked chunk, bytes. A chunk is closed where another record might not fit.
const UNPACKED_BYTES_MAX: usize = 128 << 10;
/// Largest record, bytes: a tier with all its endpoints.
const RECORD_BYTES_MAX: usize = 32 << 10;
const MAGIC: [u8; 2] = *b"hc";
/// The format version in the header of a chunk.
const FORMAT_VERSION: u8 = 1;
/// Magic number, format version, last flag, revision, digest, chunk number, unpacked length.
const HEADER_BYTES: usize = 2 + 1 + 1 + 8 + 32 + 4 + 4;

/// An encoded version; clones share the bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision.
    pub revision: Revision,
    /// The digest of the version.
    pub digest: Digest,
    /// The chunks, in order; at least one.
    pub chunks: Vec<Bytes>,
}

impl Snapshot {
    /// Encodes a version in one step.
    #[must_use]
    pub fn pack(version: &ConfigVersion) -> Snapshot {
        let mut writer = SnapshotWriter::new(version);
        loop {
            if let Some(snapshot) = writer.write_chunk() {
                return snapshot;
            }
        }
    }

    /// The bytes of all chunks together.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }
}

/// Encodes a version chunk by chunk.
#[derive(Debug)]
pub struct SnapshotWriter {
    version: ConfigVersion,
    last_key: Option<RecordKey>,
    chunks: Vec<Bytes>,
}

impl SnapshotWriter {
    /// A writer for a version. The writer holds a clone, so later changes don't affect the snapshot.
    #[must_use]
    pub fn new(version: &ConfigVersion) -> SnapshotWriter {
        SnapshotWriter { version: version.clone(), last_key: None, chunks: Vec::new() }
    }

    /// Encodes the next chunk. Returns the snapshot with the last chunk; must not be called after that.
    pub fn write_chunk(&mut self) -> Option<Snapshot> {
        let mut unpacked = Vec::new();
        let mut records = self.version.records_after(self.last_key.as_ref()).peekable();
        let (mut count, mut last_key) = (0, None);
        while count < CHUNK_RECORDS && unpacked.len() + RECORD_BYTES_MAX <= UNPACKED_BYTES_MAX {
            let Some(record) = records.next() else { break };
            // Encoding to memory can't fail.
            unpacked = postcard::to_extend(record, unpacked).unwrap_or_default();
            (count, last_key) = (count + 1, Some(record.key()));
        }
        let is_last = records.peek().is_none();
        drop(records);
        self.last_key = last_key.or(self.last_key.take());
        let chunk = self.encode_chunk(&unpacked, is_last);
        self.chunks.push(chunk);
        is_last.then(|| Snapshot {
            revision: self.version.revision(),
            digest: self.version.digest(),
            chunks: std::mem::take(&mut self.chunks),
        })
    }

    fn encode_chunk(&self, unpacked: &[u8], is_last: bool) -> Bytes {
        let mut encoded = Vec::with_capacity(HEADER_BYTES + unpacked.len() / 2);
        encoded.extend_from_slice(&MAGIC);
        encoded.extend_from_slice(&[FORMAT_VERSION, u8::from(is_last)]);
        encoded.extend_from_slice(&self.version.revision().0.to_be_bytes());
        encoded.extend_from_slice(&self.version.digest().to_bytes());
        encoded.extend_from_slice(&(self.chunks.len() as u32).to_be_bytes());
        encoded.extend_from_slice(&(unpacked.len() as u32).to_be_bytes());
        let mut encoder = DeflateEncoder::new(encoded, Compression::default());
        // Writing to memory can't fail; the receiver's checks would find a chunk that is incomplete.
        let _ = encoder.write_all(unpacked);
        Bytes::from(checksum::append(encoder.finish().unwrap_or_default()))
    }
}

/// The state of the assembly after an accepted chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssemblyProgress {
    /// The number of the next chunk.
    NextChunk(u32),
    /// The complete version.
    Complete(Box<ConfigVersion>),
}

/// Assembles a version from its chunks.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    /// The version that the accepted chunks belong to; `None` before the first chunk.
    identity: Option<SnapshotIdentity>,
    next_chunk: u32,
    version: ConfigVersion,
}

/// Identifies a snapshot; all its chunks carry the same value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SnapshotIdentity {
    revision: Revision,
    digest: Digest,
}

/// A chunk with its header decoded.
struct Chunk<'a> {
    is_last: bool,
    snapshot: SnapshotIdentity,
    number: u32,
    unpacked_len: usize,
    packed: &'a [u8],
}

impl<'a> Chunk<'a> {
    fn decode(bytes: &'a [u8]) -> Result<Chunk<'a>, DecodeError> {
        if bytes.len() > CHUNK_BYTES_MAX {
            return Err(DecodeError::Length);
        }
        let body = checksum::verify(bytes)?;
        let (header, packed) = body.split_at_checked(HEADER_BYTES).ok_or(DecodeError::Length)?;
        if header[..2] != MAGIC || header[2] != FORMAT_VERSION || header[3] > 1 {
            return Err(DecodeError::UnknownFormat);
        }
        let u64_at = |at: usize| header[at..at + 8].iter().fold(0, |n, byte| n << 8 | u64::from(*byte));
        let u32_at = |at: usize| header[at..at + 4].iter().fold(0, |n, byte| n << 8 | u32::from(*byte));
        let digest = Digest::from_lanes([u64_at(12), u64_at(20), u64_at(28), u64_at(36)]);
        let unpacked_len = u32_at(48) as usize;
        if unpacked_len > UNPACKED_BYTES_MAX {
            return Err(DecodeError::UnpackedTooLarge);
        }
        let snapshot = SnapshotIdentity { revision: Revision(u64_at(4)), digest };
        Ok(Chunk { is_last: header[3] == 1, snapshot, number: u32_at(44), unpacked_len, packed })
    }

    /// The unpacked records, if they have the length that the header states.
    fn unpack(&self) -> Result<Vec<u8>, DecodeError> {
        let mut unpacked = Vec::with_capacity(self.unpacked_len);
        let limit = self.unpacked_len as u64 + 1;
        DeflateDecoder::new(self.packed)
            .take(limit)
            .read_to_end(&mut unpacked)
            .map_err(|_| DecodeError::Malformed)?;
        match unpacked.len().cmp(&self.unpacked_len) {
            std::cmp::Ordering::Less => Err(DecodeError::Malformed),
            std::cmp::Ordering::Equal => Ok(unpacked),
            std::cmp::Ordering::Greater => Err(DecodeError::UnpackedTooLarge),
        }
    }

    /// Adds the chunk's records to a version.
    fn add_records_to(&self, version: &mut ConfigVersion) -> Result<(), DecodeError> {
        let unpacked = self.unpack()?;
        let (mut remaining, mut count, mut scratch) = (&unpacked[..], 0, Vec::new());
        while !remaining.is_empty() {
            let (record, rest) =
                postcard::take_from_bytes::<Record>(remaining).map_err(|_| DecodeError::Malformed)?;
            count += 1;
            if count > CHUNK_RECORDS {
                return Err(DecodeError::UnpackedTooLarge);
            }
            version.push_in_order(&record, &mut scratch).map_err(|_| DecodeError::InvalidVersion)?;
            remaining = rest;
        }
        if count == 0 && !self.is_last {
            // An endless sequence of empty chunks would never complete the snapshot.
            return Err(DecodeError::Malformed);
        }
        Ok(())
    }
}

impl SnapshotAssembler {
    /// An assembler without chunks.
    #[must_use]
    pub fn new() -> SnapshotAssembler {
        SnapshotAssembler::default()
    }

    /// The revision that the accepted chunks belong to; `None` before the first chunk.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.identity.map(|identity| identity.revision)
    }

    /// The number of the next chunk.
    #[must_use]
    pub fn next_chunk(&self) -> u32 {
        self.next_chunk
    }

    /// Adds the next chunk. After the last one the assembler is empty again.
    ///
    /// # Errors
    /// [`DecodeError`]: why the chunk is rejected; the chunks before it are kept.
    pub fn add_chunk(&mut self, chunk: &[u8]) -> Result<AssemblyProgress, DecodeError> {
        let chunk = Chunk::decode(chunk)?;
        let is_other_snapshot = self.identity.is_some_and(|identity| identity != chunk.snapshot);
        if chunk.number != self.next_chunk || is_other_snapshot {
            return Err(DecodeError::OutOfOrder);
        }
        let mut version = match self.identity {
            None => ConfigVersion::empty_at(chunk.snapshot.revision),
            Some(_) => self.version.clone(),
        };
        chunk.add_records_to(&mut version)?;
        if chunk.is_last {
            if version.digest() != chunk.snapshot.digest {
                return Err(DecodeError::DigestMismatch);
            }
            *self = SnapshotAssembler::default();
            return Ok(AssemblyProgress::Complete(Box::new(version)));
        }
        (self.identity, self.version) = (Some(chunk.snapshot), version);
        self.next_chunk = self.next_chunk.saturating_add(1);
        Ok(AssemblyProgress::NextChunk(self.next_chunk))
    }
}
