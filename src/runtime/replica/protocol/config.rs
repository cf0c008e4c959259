//! The configuration requests that nodes and operators' commands send to a replica, and the responses.

use serde::{Deserialize, Serialize};

use crate::config_store::{Digest, Revision};
use crate::fleet::compressed_change::CompressedChange;
use crate::fleet::version_status::RolloutStatus;

/// Most bytes of changes or chunks in one response, unless its first item alone is larger: a receiver processes this many
/// within a few ms.
pub const RESPONSE_BYTES_MAX: usize = 256 << 10;
/// Most bytes of changes that are sent individually; above this limit a compressed snapshot is smaller.
pub const CHANGES_BYTES_MAX: usize = 512 << 10;
/// Most versions in one [`ConfigResponse::History`].
pub const HISTORY_ROWS_MAX: usize = 256;

/// A request about the configuration.
#[derive(Serialize, Deserialize)]
pub enum ConfigRequest {
    /// From a node or a command: the changes that follow a version.
    Changes {
        /// The version that the sender has.
        since: Revision,
        /// The last version requested: the one that the node was notified of. A command, which puts no version in force,
        /// sends the largest number.
        to: Revision,
    },
    /// From a node or a command: chunks of a snapshot.
    Chunks {
        /// The version of the snapshot; `None` requests the first chunks of any version between `above` and `to`.
        #[serde(rename = "of")]
        revision: Option<Revision>,
        /// The first chunk requested.
        #[serde(rename = "from")]
        from_chunk: u32,
        /// The version must be later than this one, which the node has.
        above: Option<Revision>,
        /// The version must be no later than this one, which the node was notified of.
        to: Revision,
    },
    /// From a command: the newest version, and which replica leads.
    Head,
    /// From a command: commit this change.
    Propose(CompressedChange),
    /// From a command: the last versions, at most this many.
    History(u32),
    /// From a command: commit the records of an earlier version as a new version.
    Rollback(Revision, ChangeSignature),
    /// From a command: which nodes have which version.
    RolloutStatus,
    /// From a node that starts: the newest version that all nodes may have.
    Newest,
    /// From a command: release a version to all nodes, whatever the canary nodes reported.
    Release(Revision, ChangeSignature),
}

impl ConfigRequest {
    /// Whether the request takes one of the permits for nodes' streams; otherwise it takes one for commands' streams.
    pub fn uses_node_permit(&self) -> bool {
        matches!(self, ConfigRequest::Changes { .. } | ConfigRequest::Chunks { .. } | ConfigRequest::Newest)
    }

    /// Whether the request may change the replicated state, so that a lost response leaves its outcome unknown.
    pub fn is_write(&self) -> bool {
        matches!(self, ConfigRequest::Propose(_) | ConfigRequest::Rollback(..) | ConfigRequest::Release(..))
    }
}

/// The author of a command, its reason, and its time in seconds since 1970.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChangeSignature(pub String, pub String, pub u64);

/// One version in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionSummary {
    /// The version's number.
    pub revision: Revision,
    /// The version's digest.
    pub digest: Digest,
    /// The number of records that the version's change set.
    pub set: u32,
    /// The number of records that the version's change removed.
    pub removed: u32,
    /// The author of the change.
    pub author: String,
    /// The reason for the change.
    pub note: String,
    /// When the change was made, seconds since 1970 by the author's clock.
    pub at: u64,
}

/// A response about the configuration.
#[derive(Debug, Serialize, Deserialize)]
pub enum ConfigResponse {
    /// Encoded changes in order. The replica may have more than fit one response.
    Changes(Vec<Vec<u8>>),
    /// Chunks of a snapshot in order.
    Chunks(Vec<Vec<u8>>),
    /// The changes requested are no longer stored: the node needs a snapshot.
    Snapshot,
    /// The requested snapshot is no longer cached.
    SnapshotGone,
    /// There is no newer version within the requested bounds.
    NothingNewer,
    /// Too many peers of this kind are being served.
    Busy,
    /// The newest version of this replica, and the leader as far as it knows.
    Head {
        /// The version's number.
        revision: Revision,
        /// The version's digest.
        digest: Digest,
        /// Whether this replica leads, confirmed by a majority.
        leads: bool,
        /// The name of the leading replica.
        leader: Option<String>,
    },
    /// The change or decision is committed; the version made or concerned.
    Agreed(Revision),
    /// The request is refused; the reason.
    Refused(String),
    /// This replica does not lead; the name of the leader, as far as it knows.
    NotLeader(Option<String>),
    /// The entry was not committed in time; it may still be committed later.
    Unknown,
    /// Versions, the newest last, and the number of the oldest stored version.
    History(Vec<VersionSummary>, Revision),
    /// Which nodes have which version.
    RolloutStatus(RolloutStatus),
    /// The fleet's file of this replica has no configuration table.
    Disabled,
}
