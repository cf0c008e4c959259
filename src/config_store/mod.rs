//! Versioned configuration: typed records that operators change for the whole fleet, and how each version spreads.
//!
//! [`Record`]s make a [`ConfigVersion`] under a [`Revision`] that only grows. A [`ChangeSet`] leads from one version to the
//! next and carries the digest of the result. [`Snapshot`] holds all records of a version in chunks. [`History`] holds what
//! a replica retains for nodes that lag. [`Follower`] decides what a node fetches to reach the newest version.
//! [`CanaryRollout`] decides how far a version may spread. [`file_format`] reads an operator's file.
//!
//! Invariants: one revision stands for one set of records on all nodes; a change is applied completely or not at all; a node
//! never returns to an earlier revision; the cost of a change follows the records in it, not all records.
//!
//! Nothing here does I/O or reads a clock: callers pass the time. `docs/design/configuration.md` has the reasons.

mod canary;
mod change_set;
mod checksum;
mod digest;
mod draft;
mod error;
mod fetch;
pub mod file_format;
mod follower;
mod history;
mod identity;
mod range_check;
mod record;
mod rollout_decision;
mod snapshot_codec;
mod transaction;
mod value;
mod version;

pub use canary::{CanaryPolicy, CanaryReport, CanaryRollout};
pub use change_set::{AUTHOR_MAX, CHANGE_BYTES_MAX, ChangeAuthor, ChangeSet, NOTE_MAX};
pub use digest::Digest;
pub use draft::diff;
pub use error::{ChangeError, DecodeError, ValueError};
pub use fetch::{Advertised, FetchOutcome, FetchRequest, FetchResponse, FetchSchedule, VersionRejected};
pub use follower::Follower;
pub use history::{ChangesSince, DecisionRejected, History, RetentionPolicy, VersionUnavailable};
pub use identity::{
    BUDGETS_MAX, CLASSES_MAX, RecordKey, RecordKind, Revision, TENANTS_MAX, TIERS_MAX, ZONES_MAX,
};
pub use record::{
    BudgetRecord, BudgetScope, BudgetUnit, ClassRecord, ENDPOINTS_MAX, Endpoint, FLEET_NAME_MAX, LEDGER,
    Record, TenantRecord, TierRecord, ZONE_NAME_MAX, ZoneRecord,
};
pub use rollout_decision::{CanaryFailure, RolloutDecision, RolloutHalted};
pub use snapshot_codec::{
    AssemblyProgress, CHUNK_BYTES_MAX, CHUNK_RECORDS, Snapshot, SnapshotAssembler, SnapshotWriter,
};
pub use transaction::{ChangeSummary, Transaction};
pub use value::{FIGURE_MAX, Figure, NAME_MAX, Name};
pub use version::ConfigVersion;
