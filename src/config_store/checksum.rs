//! A checksum at the end of sent or stored bytes, so that truncated or damaged bytes are not decoded.

use super::error::DecodeError;

/// Length of the checksum, bytes: the first bytes of a BLAKE3 hash.
const CHECKSUM_BYTES: usize = 8;

fn checksum_of(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut checksum = [0; CHECKSUM_BYTES];
    checksum.copy_from_slice(&blake3::hash(bytes).as_bytes()[..CHECKSUM_BYTES]);
    checksum
}

/// The bytes with their checksum at the end.
pub(super) fn append(mut bytes: Vec<u8>) -> Vec<u8> {
    let checksum = checksum_of(&bytes);
    bytes.extend_from_slice(&checksum);
    bytes
}

/// Checks the checksum and returns the bytes before it.
///
/// # Errors
/// [`DecodeError::Length`] where the bytes are shorter than a checksum, [`DecodeError::Checksum`] where it does not match.
pub(super) fn verify(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    let body_len = bytes.len().checked_sub(CHECKSUM_BYTES).ok_or(DecodeError::Length)?;
    let (body, stored) = bytes.split_at(body_len);
    if checksum_of(body) == stored { Ok(body) } else { Err(DecodeError::Checksum) }
}
