//! The digest that identifies the contents of a version.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies all records of a version: the sum, lane by lane mod 2^64, of the first 256 bits of BLAKE3 over each record's
/// bytes. It does not depend on the order of the records or on the changes that led to them, and a change updates it without
/// reading the other records.
///
/// It is a sum and not an exclusive or: with exclusive or, a duplicate record would cancel itself, and any 257
/// records have a subset that cancels out. It detects accidents, not forgery: the authors of changes are trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u64; 4]);

impl Digest {
    /// The digest of one record's bytes.
    pub(super) fn of_bytes(bytes: &[u8]) -> Digest {
        let hash = blake3::hash(bytes);
        let mut lanes = [0; 4];
        for (lane, lane_bytes) in lanes.iter_mut().zip(hash.as_bytes().chunks_exact(8)) {
            *lane = lane_bytes.iter().fold(0, |lane, byte| lane << 8 | u64::from(*byte));
        }
        Digest(lanes)
    }

    pub(super) fn from_lanes(lanes: [u64; 4]) -> Digest {
        Digest(lanes)
    }

    /// All 256 bits, big-endian.
    #[must_use]
    pub fn to_bytes(self) -> [u8; 32] {
        let mut bytes = [0; 32];
        for (lane_bytes, lane) in bytes.chunks_exact_mut(8).zip(self.0) {
            lane_bytes.copy_from_slice(&lane.to_be_bytes());
        }
        bytes
    }

    /// The digest with another record added.
    pub(super) fn plus(self, other: Digest) -> Digest {
        Digest(std::array::from_fn(|lane| self.0[lane].wrapping_add(other.0[lane])))
    }

    /// The digest with a record removed.
    pub(super) fn minus(self, other: Digest) -> Digest {
        Digest(std::array::from_fn(|lane| self.0[lane].wrapping_sub(other.0[lane])))
    }

    /// The first 64 bits, for a short message.
    #[must_use]
    pub fn first_64_bits(self) -> u64 {
        self.0[0]
    }
}

impl fmt::Display for Digest {
    /// The first 64 bits in hexadecimal; enough to compare by eye.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0[0])
    }
}
