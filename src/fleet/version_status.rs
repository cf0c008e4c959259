//! The version of the configuration that each node has in force, from the reports that a replica receives.
//!
//! Invariant: the table has at most [`NODES_MAX`] processes. A node behind the version released to all nodes is reported
//! until it has that version or has been silent for [`FORGET_AFTER`]. A process that a later one of its name has replaced is
//! not counted for longer than [`SILENT_AFTER`]. No I/O; the caller passes the time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config_store::{Revision, RolloutHalted};
use crate::fleet::{LeaseHolderId, LeaseInstant, NAME_MAX};
use crate::interface::Micros;

/// Most processes in the table: several times the largest fleet.
pub const NODES_MAX: usize = 16_384;
/// A node is silent after this long without a report; it reports with each of its lease requests.
pub const SILENT_AFTER: Micros = Micros::from_millis(5_000);
/// A node is removed after this long without a report, as it has been taken out of service.
pub const FORGET_AFTER: Micros = Micros::from_millis(600_000);
/// Longest reason for which a node refused a version, bytes, so that a report fits a datagram.
pub const REASON_MAX: usize = 240;
/// Most nodes that a rollout status names.
pub const REPORTED_NODES_MAX: usize = 24;
/// Most versions for which a rollout status counts the nodes.
pub const REPORTED_VERSIONS_MAX: usize = 16;

/// A node's report of its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatus {
    /// The process that reports.
    pub holder: LeaseHolderId,
    /// The version in force; 0 is the node's own file without any replicated version.
    pub revision: Revision,
    /// The first 64 bits of the version's digest.
    pub digest: u64,
    /// A later version that the node could not put in force, and the reason.
    pub refused: Option<(Revision, String)>,
}

impl VersionStatus {
    /// Returns a report with the reason cut to [`REASON_MAX`] bytes.
    #[must_use]
    pub fn new(
        holder: LeaseHolderId,
        (revision, digest): (Revision, u64),
        refused: Option<(Revision, String)>,
    ) -> VersionStatus {
        let refused = refused.map(|(version, mut reason)| {
            let end = (0..=REASON_MAX.min(reason.len())).rev().find(|end| reason.is_char_boundary(*end));
            reason.truncate(end.unwrap_or(0));
            (version, reason)
        });
        VersionStatus { holder, revision, digest, refused }
    }
}

/// A node behind the released version, or that could not put a later one in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingNode {
    /// Name of the node.
    pub name: String,
    /// The version in force.
    pub revision: Revision,
    /// Time since its last report, ms.
    #[serde(rename = "heard_ms")]
    pub last_seen_ms: u64,
    /// A later version that the node could not put in force, and the reason.
    pub refused: Option<(Revision, String)>,
}

/// The state of a rollout, for operators. The names in JSON are those of earlier releases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The newest version.
    pub newest: Revision,
    /// Time since this replica applied the newest version, ms; `None` where the replica started with it.
    pub agreed_ms: Option<u64>,
    /// Number of nodes that have each version in force, the newest version first; at most [`REPORTED_VERSIONS_MAX`]
    /// versions.
    pub counts: Vec<(Revision, u32)>,
    /// Nodes without the released version, or that could not put a later one in force; those furthest behind first, at most
    /// [`REPORTED_NODES_MAX`].
    #[serde(rename = "laggards")]
    pub lagging_nodes: Vec<LaggingNode>,
    /// Number of lagging nodes, including those that `lagging_nodes` omits.
    pub lagging: u32,
    /// The newest version released to all nodes.
    #[serde(rename = "good")]
    pub released: Revision,
    /// Nodes that have the released version and wait for the canary rollout of a later one.
    pub waiting: u32,
    /// Nodes that get the newest version first.
    #[serde(rename = "first")]
    pub canary_nodes: Vec<String>,
    /// The version whose rollout was halted, with the reason; `None` once a later version is released.
    #[serde(rename = "stopped")]
    pub halted: Option<RolloutHalted>,
    /// From the newest version's agreement until the last report of a node that reached it, ms.
    #[serde(rename = "last_ms")]
    pub last_reached_ms: Option<u64>,
    /// Nodes that report the newest version with another digest.
    pub diverged: Vec<String>,
}

#[derive(Debug)]
struct NodeRow {
    status: VersionStatus,
    last_seen: LeaseInstant,
    /// When the node first reported the newest version.
    reached_at: Option<LeaseInstant>,
}

impl NodeRow {
    /// Returns whether the node is behind the released version, or could not put a later one in force.
    fn is_lagging(&self, released: Revision) -> bool {
        let in_force = self.status.revision;
        let has_refused = self.status.refused.as_ref().is_some_and(|(version, _)| *version > in_force);
        in_force < released || has_refused
    }

    fn to_lagging_node(&self, now: LeaseInstant) -> LaggingNode {
        LaggingNode {
            name: self.status.holder.name.clone(),
            revision: self.status.revision,
            last_seen_ms: (now - self.last_seen).0 / 1_000,
            refused: self.status.refused.clone(),
        }
    }
}

/// The reports that one replica has received.
#[derive(Debug, Default)]
pub struct VersionStatusTable {
    rows: BTreeMap<LeaseHolderId, NodeRow>,
    newest: Revision,
    digest: u64,
    agreed_at: Option<LeaseInstant>,
}

impl VersionStatusTable {
    /// Sets the newest version. `is_new` is true where it has just been agreed, false where it was loaded from disk.
    pub fn set_newest(&mut self, now: LeaseInstant, (revision, digest): (Revision, u64), is_new: bool) {
        if revision == self.newest {
            return;
        }
        (self.newest, self.digest, self.agreed_at) = (revision, digest, is_new.then_some(now));
        self.rows.values_mut().for_each(|row| row.reached_at = None);
    }

    /// Records a node's report.
    pub fn record(&mut self, now: LeaseInstant, status: VersionStatus) {
        if status.holder.name.len() > NAME_MAX {
            return;
        }
        let newest = self.newest;
        if let Some(row) = self.rows.get_mut(&status.holder) {
            // Datagrams may arrive out of order, and no process goes back to an earlier version.
            if status.revision >= row.status.revision {
                row.status = status;
            }
            row.last_seen = now;
            if row.status.revision >= newest {
                row.reached_at.get_or_insert(now);
            }
            return;
        }
        self.remove_forgotten(now);
        if self.rows.len() < NODES_MAX {
            let reached_at = (status.revision >= newest).then_some(now);
            self.rows.insert(status.holder.clone(), NodeRow { status, last_seen: now, reached_at });
        }
    }

    fn remove_forgotten(&mut self, now: LeaseInstant) {
        self.rows.retain(|_, row| now - row.last_seen < FORGET_AFTER);
    }

    /// Returns the rows that count: the latest process of each name, and each other process that still reports.
    fn counted_rows(&self, now: LeaseInstant) -> Vec<&NodeRow> {
        let mut latest: BTreeMap<&str, u64> = BTreeMap::new();
        for holder in self.rows.keys() {
            let incarnation = latest.entry(&holder.name).or_default();
            *incarnation = (*incarnation).max(holder.incarnation);
        }
        let is_latest =
            |holder: &LeaseHolderId| latest.get(holder.name.as_str()) == Some(&holder.incarnation);
        let rows = self.rows.iter();
        rows.filter(|(holder, row)| now - row.last_seen < SILENT_AFTER || is_latest(holder))
            .map(|(_, row)| row)
            .collect()
    }

    /// Returns the state of the rollout; `released` is the newest version released to all nodes.
    pub fn report(&mut self, now: LeaseInstant, released: Revision) -> RolloutStatus {
        self.remove_forgotten(now);
        let newest = self.newest;
        let rows = self.counted_rows(now);
        let mut counts: BTreeMap<Revision, u32> = BTreeMap::new();
        rows.iter().for_each(|row| *counts.entry(row.status.revision).or_default() += 1);
        let behind = rows.iter().copied().filter(|row| row.status.revision < newest);
        let (mut lagging, waiting): (Vec<&NodeRow>, Vec<&NodeRow>) =
            behind.partition(|row| row.is_lagging(released));
        lagging.sort_by_key(|row| (row.status.revision, row.status.holder.name.clone()));
        let last_reached_at = rows.iter().filter_map(|row| row.reached_at).max();
        let has_other_digest =
            |row: &&&NodeRow| row.status.revision == newest && row.status.digest != self.digest;
        let diverged = rows.iter().filter(has_other_digest).take(REPORTED_NODES_MAX);
        RolloutStatus {
            newest,
            agreed_ms: self.agreed_at.map(|agreed| (now - agreed).0 / 1_000),
            counts: counts.into_iter().rev().take(REPORTED_VERSIONS_MAX).collect(),
            lagging_nodes: lagging.iter().take(REPORTED_NODES_MAX).map(|r| r.to_lagging_node(now)).collect(),
            lagging: u32::try_from(lagging.len()).unwrap_or(u32::MAX),
            released,
            waiting: u32::try_from(waiting.len()).unwrap_or(u32::MAX),
            canary_nodes: Vec::new(),
            halted: None,
            last_reached_ms: self
                .agreed_at
                .and_then(|agreed| last_reached_at.map(|reached| (reached - agreed).0 / 1_000)),
            diverged: diverged.map(|row| row.status.holder.name.clone()).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
