//! The changes that lead from one version to the next, and their encoding.

use serde::{Deserialize, Serialize};

use super::checksum;
use super::digest::Digest;
use super::error::{ChangeError, DecodeError};
use super::identity::{RecordKey, RecordKind, Revision};
use super::record::Record;

/// Longest name of an author, bytes.
pub const AUTHOR_MAX: usize = 64;
/// Longest note, bytes.
pub const NOTE_MAX: usize = 256;
/// Largest encoded change, bytes: the first change may set as many records as a version may have.
pub const CHANGE_BYTES_MAX: usize = 32 << 20;

/// Most records in a change: all that a version may have, each once.
const RECORDS_MAX: usize = {
    let (mut sum, mut index) = (0, 0);
    while index < RecordKind::ALL.len() {
        sum += RecordKind::ALL[index].max_records();
        index += 1;
    }
    sum
};

/// The records that a change sets and removes. It applies to one base version only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// The version that it applies to; the result has the next revision.
    pub base: Revision,
    /// Records that are new or have other values than before.
    pub set: Vec<Record>,
    /// Records that are removed.
    pub remove: Vec<RecordKey>,
    /// The digest of the resulting version.
    pub digest: Digest,
    /// The author's name, at most [`AUTHOR_MAX`] bytes; shown to operators only.
    pub author: String,
    /// The reason for the change, at most [`NOTE_MAX`] bytes; shown to operators only.
    pub note: String,
    /// When the change was made, seconds since 1970 by the author's clock; shown to operators only.
    pub at: u64,
}

/// The author of a change, its reason and its time; shown to operators only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeAuthor {
    /// The author's name, at most [`AUTHOR_MAX`] bytes.
    pub author: String,
    /// The reason for the change, at most [`NOTE_MAX`] bytes.
    pub note: String,
    /// When the change was made, seconds since 1970.
    pub at: u64,
}

impl ChangeSet {
    /// The revision of the resulting version.
    #[must_use]
    pub fn resulting_revision(&self) -> Revision {
        self.base.next().unwrap_or(self.base)
    }

    /// Checks that its lists and texts are within their bounds.
    pub(super) fn check_bounds(&self) -> Result<(), ChangeError> {
        if self.author.len() > AUTHOR_MAX {
            return Err(ChangeError::TooLarge("the author's name is longer than 64 bytes"));
        }
        if self.note.len() > NOTE_MAX {
            return Err(ChangeError::TooLarge("the note is longer than 256 bytes"));
        }
        if self.set.len().saturating_add(self.remove.len()) > RECORDS_MAX {
            return Err(ChangeError::TooLarge("the change has more records than a version may have"));
        }
        Ok(())
    }

    /// The encoded change, with a checksum.
    ///
    /// # Errors
    /// [`ChangeError::TooLarge`] above [`CHANGE_BYTES_MAX`].
    pub fn encode(&self) -> Result<Vec<u8>, ChangeError> {
        let too_large = ChangeError::TooLarge("the encoded change is larger than 32 MiB");
        let bytes = postcard::to_allocvec(self).map_err(|_| too_large.clone())?;
        let bytes = checksum::append(bytes);
        if bytes.len() > CHANGE_BYTES_MAX { Err(too_large) } else { Ok(bytes) }
    }

    /// Decodes a change. Whether it can be applied depends on the version that it is applied to.
    ///
    /// # Errors
    /// [`DecodeError`] where the bytes are not an encoded change, or the change exceeds its bounds.
    pub fn decode(bytes: &[u8]) -> Result<ChangeSet, DecodeError> {
        if bytes.len() > CHANGE_BYTES_MAX {
            return Err(DecodeError::Length);
        }
        let (change, rest) = postcard::take_from_bytes::<ChangeSet>(checksum::verify(bytes)?)
            .map_err(|_| DecodeError::Malformed)?;
        if !rest.is_empty() || change.check_bounds().is_err() {
            return Err(DecodeError::Malformed);
        }
        Ok(change)
    }
}
