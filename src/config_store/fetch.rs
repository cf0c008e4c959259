//! The requests and responses by which a node fetches versions from a replica, and their schedule.

use bytes::Bytes;
use thiserror::Error;

use super::change_set::ChangeSet;
use super::digest::Digest;
use super::error::{ChangeError, DecodeError};
use super::identity::Revision;
use crate::interface::Micros;

/// When a follower sends its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchSchedule {
    /// A request is sent at a random time within this window after a version is advertised.
    pub spread: Micros,
    /// A request without a response after this time has failed.
    pub response_timeout: Micros,
    /// Wait after the first failed request; it doubles with each further failure.
    pub retry_initial: Micros,
    /// Longest wait after a failed request.
    pub retry_max: Micros,
}

impl Default for FetchSchedule {
    /// A version is in force on all nodes within 6 s, and the requests of 900 nodes are spread over 1 s.
    fn default() -> FetchSchedule {
        FetchSchedule {
            spread: Micros::from_millis(1_000),
            response_timeout: Micros::from_millis(1_500),
            retry_initial: Micros::from_millis(250),
            retry_max: Micros::from_millis(4_000),
        }
    }
}

/// A version that a replica advertises as agreed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advertised {
    /// Its revision.
    pub revision: Revision,
    /// Its digest.
    pub digest: Digest,
}

/// A request to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchRequest {
    /// The changes that follow a version.
    Changes {
        /// The version that the node has.
        since: Revision,
    },
    /// Chunks of a snapshot.
    Chunks {
        /// The version of the snapshot; `None` stands for the newest.
        revision: Option<Revision>,
        /// The first chunk.
        from_chunk: u32,
    },
}

/// A replica's response, or the failure to get one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchResponse {
    /// Changes, in order.
    Changes(Vec<ChangeSet>),
    /// Chunks, in order, as many as the replica sends at a time.
    Chunks(Vec<Bytes>),
    /// The changes are no longer retained: a snapshot is needed.
    SnapshotRequired,
    /// The requested snapshot is no longer retained: another one is needed.
    SnapshotExpired,
    /// The replica is overloaded; the next request must wait for this long.
    RetryAfter(Micros),
    /// The replica has no newer version.
    NothingNewer,
    /// No response, or one that can't be decoded.
    Failed,
}

/// The result of receiving or processing a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchOutcome {
    /// [`super::Follower::process_response`] has to be called until it returns something else.
    InProgress,
    /// A version is ready to be put in force.
    Ready,
    /// Another request is needed; [`super::Follower::poll_request`] returns it when it is due.
    RequestAgain,
    /// The response was late, a duplicate or unexpected, and changed nothing.
    Ignored,
}

/// Why a version can't be in force on this node.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum VersionRejected {
    /// The change to that version can't be applied.
    #[error("the change to version {0} can't be applied: {1}")]
    Change(Revision, ChangeError),
    /// A snapshot can't be decoded or assembled.
    #[error("a snapshot can't be used: {0}")]
    Snapshot(DecodeError),
    /// The node can't run with the version's settings.
    #[error("version {0}: {1}")]
    Settings(Revision, String),
    /// The version has one digest on this node (the first) and another on a replica.
    #[error("version {0} is in force with digest {1}, and elsewhere with {2}")]
    Diverged(Revision, Digest, Digest),
}
