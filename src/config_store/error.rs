//! Errors of records, changes and encoded bytes. The texts are shown to operators.

use thiserror::Error;

use super::digest::Digest;
use super::identity::{RecordKey, RecordKind, Revision};

/// A value that a record can't have.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field} {reason}")]
pub struct ValueError {
    /// The key of the value in the operator's file.
    pub field: &'static str,
    /// What is wrong with the value, and what would be accepted.
    pub reason: String,
}

impl ValueError {
    pub(super) fn new(field: &'static str, reason: impl Into<String>) -> ValueError {
        ValueError { field, reason: reason.into() }
    }
}

/// Why a change is rejected. No part of it is applied, and the version in force is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The change is made for a later version than the one in force: the changes between them are missing.
    #[error(
        "made for version {base}, but version {in_force} is in force: the changes between them are missing"
    )]
    Gap {
        /// The version that the change is made for.
        base: Revision,
        /// The version in force.
        in_force: Revision,
    },
    /// The change is made for an earlier version: it is a duplicate, or another change was applied first.
    #[error("made for version {base}, but version {in_force} is in force already")]
    Outdated {
        /// The version that the change is made for.
        base: Revision,
        /// The version in force.
        in_force: Revision,
    },
    /// There is no revision after the one in force.
    #[error("version {0} is the highest possible; no change can follow it")]
    RevisionsExhausted(Revision),
    /// The resulting version has another digest than the change states.
    #[error("the resulting version has digest {actual}, but the change states {expected}")]
    DigestMismatch {
        /// The digest in the change.
        expected: Digest,
        /// The digest of the resulting version.
        actual: Digest,
    },
    /// The change sets and removes no record.
    #[error("it changes nothing")]
    Empty,
    /// The change removes a record that does not exist.
    #[error("{0} is not there to be removed")]
    RecordNotFound(RecordKey),
    /// The change contains one record twice.
    #[error("{0} is in the change twice")]
    DuplicateRecord(RecordKey),
    /// A record has a value out of its range.
    #[error("{key}: {error}")]
    InvalidRecord {
        /// The record.
        key: RecordKey,
        /// What is wrong with it.
        error: ValueError,
    },
    /// A record refers to another that would not exist.
    #[error("{referrer} refers to {key}, which does not exist")]
    MissingReference {
        /// The record that does not exist.
        key: RecordKey,
        /// The record that refers to it.
        referrer: RecordKey,
    },
    /// A record is removed that others still refer to.
    #[error(
        "{key} is still referred to by {references} others; remove or change these first, or in the same change"
    )]
    StillReferenced {
        /// The record that was to be removed.
        key: RecordKey,
        /// How many records refer to it.
        references: u32,
    },
    /// Two budgets of one tenant: only one of them would be used.
    #[error("{0} has a budget already; a tenant has one at the most")]
    DuplicateTenantBudget(RecordKey),
    /// A budget scales with the zones, and the version would have none.
    #[error("a budget by zone needs zones, and the version would have none")]
    NoZones,
    /// The version would have tenants and no class: no node can run with such settings.
    #[error("there would be tenants but no class; settings need at least one class")]
    NoClasses,
    /// More records of a kind than a version may have.
    #[error("there would be {count} records of kind {kind}; the maximum is {max}")]
    TooManyRecords {
        /// The kind.
        kind: RecordKind,
        /// The number of records that the version would have.
        count: usize,
        /// The maximum.
        max: usize,
    },
    /// The author or the note is too long, or the change has too many records or bytes.
    #[error("{0}")]
    TooLarge(&'static str),
}

/// Why bytes can't be decoded as a change or as a chunk of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are truncated, or longer than the maximum.
    #[error("the data are too short or too long")]
    Length,
    /// The checksum does not match.
    #[error("the checksum does not match")]
    Checksum,
    /// A format version that this program does not know.
    #[error("the format version is unknown")]
    UnknownFormat,
    /// The contents can't be decoded.
    #[error("the contents can't be decoded")]
    Malformed,
    /// The chunk unpacks to more bytes or records than the maximum.
    #[error("unpacks to more bytes or records than the maximum")]
    UnpackedTooLarge,
    /// The chunk belongs to another snapshot, or is not the next one.
    #[error("not the next chunk of this snapshot")]
    OutOfOrder,
    /// All chunks are received, and the version has another digest than the chunks state.
    #[error("the assembled version has another digest than its chunks state")]
    DigestMismatch,
    /// The records can't form a version.
    #[error("the records do not form a valid version")]
    InvalidVersion,
}
