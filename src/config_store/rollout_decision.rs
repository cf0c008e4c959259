//! Decisions on the rollout of a version, which the replicas agree on.
//!
//! The canary rollout proposes these decisions and the version history applies them, so both modules depend on this one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::identity::Revision;

/// What went wrong with a canary node.
///
/// The JSON names are those that `config where --json` prints; the order of the variants is part of the log's format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CanaryFailure {
    /// The node can't put the version in force; the reason that the node reported.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// The node has not reported for as long as [`super::CanaryPolicy::report_timeout`].
    #[serde(rename = "Lost")]
    Unresponsive,
    /// The node has not reported for that long, and another process runs under its name.
    #[serde(rename = "Anew")]
    Restarted,
}

/// A version whose rollout is halted, and the canary nodes that failed with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutHalted {
    /// The halted version.
    pub revision: Revision,
    /// The failure of each canary node, by the node's name.
    #[serde(rename = "harm")]
    pub failures: BTreeMap<String, CanaryFailure>,
}

/// A decision about a version. The order of the variants is part of the log's format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutDecision {
    /// All nodes may have the version: the canary nodes have passed probation with it, or an operator has released it.
    Approved(Revision),
    /// The version is not sent to further nodes.
    Halted(RolloutHalted),
}

impl RolloutDecision {
    /// The version that the decision concerns.
    #[must_use]
    pub fn revision(&self) -> Revision {
        match self {
            RolloutDecision::Approved(revision) => *revision,
            RolloutDecision::Halted(halted) => halted.revision,
        }
    }
}
