//! A change of the configuration in compressed form, as it goes through the replicated log and to the nodes.
//!
//! With compression, a change that sets all records fits one entry, which a slow link carries within the consensus engine's
//! timeout. Invariant: at most [`COMPRESSED_MAX`] bytes are decompressed, and to no more than a change may have.
//! `config_store` decides whether a change is valid.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use crate::config_store::{CHANGE_BYTES_MAX, ChangeError, ChangeSet, DecodeError};

/// Most bytes of a compressed change. 28,000 tenants and 8,300 classes at once are far below it; a larger one would delay
/// lease renewals on a slow link.
pub const COMPRESSED_MAX: usize = 2 << 20;

/// A compressed change. Its content is not validated until it is decompressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedChange(Vec<u8>);

impl CompressedChange {
    /// Compresses a change.
    ///
    /// # Errors
    /// [`ChangeError::TooLarge`] above [`COMPRESSED_MAX`], or why the change can't be encoded.
    pub fn compress(change: &ChangeSet) -> Result<CompressedChange, ChangeError> {
        let too_large =
            ChangeError::TooLarge("it has more bytes than a ledger entry may have; split it into parts");
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let compressed = encoder.write_all(&change.encode()?).and_then(|()| encoder.finish());
        // Writing to memory does not fail.
        let compressed = compressed.map_err(|_| too_large.clone())?;
        if compressed.len() > COMPRESSED_MAX { Err(too_large) } else { Ok(CompressedChange(compressed)) }
    }

    /// Returns the number of compressed bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no bytes, which can't be decoded to a change.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Decompresses and decodes the change.
    ///
    /// # Errors
    /// The change is too large before or after decompression, cut off, or corrupt.
    pub fn decompress(&self) -> Result<ChangeSet, DecodeError> {
        if self.0.len() > COMPRESSED_MAX {
            return Err(DecodeError::Length);
        }
        let mut bytes = Vec::new();
        let bytes_max = CHANGE_BYTES_MAX as u64 + 1;
        DeflateDecoder::new(&self.0[..])
            .take(bytes_max)
            .read_to_end(&mut bytes)
            .map_err(|_| DecodeError::Malformed)?;
        if bytes.len() as u64 >= bytes_max {
            return Err(DecodeError::UnpackedTooLarge);
        }
        ChangeSet::decode(&bytes)
    }
}
