//! Tests of the canary rollout: a version on which a canary fails spreads no further, the other nodes keep the last good one,
//! and operators see the halt and decide how to proceed. Of six nodes one is the canary.

use super::nodes::NODES;
use super::*;

/// The trial of 4 s is long enough to kill a canary well before it ends.
const LONG_TRIAL: &str = "spread_ms = 300\nhold_ms = 4000\npatience_ms = 5000\n";
/// Like [`LONG_TRIAL`], and a silent node counts as unresponsive only after 20 s.
const LONG_TRIAL_AND_PATIENCE: &str = "spread_ms = 300\nhold_ms = 4000\npatience_ms = 20000\n";

impl Cluster {
    async fn with_nodes_and_catalog(seed: u64, catalog: &'static str) -> Cluster {
        let cluster = Cluster::start_with_catalog(NODES, seed, catalog).await;
        cluster.apply_first_version().await;
        cluster.wait_for_version(&cluster.all_nodes(), 1).await;
        cluster
    }

    /// Waits until a node has adopted that version and returns the first such node.
    pub async fn first_node_with(&self, revision: u64) -> usize {
        let has = || self.all_nodes().into_iter().find(|i| self.adopted_versions(*i).contains(&revision));
        self.until("a node has adopted the version", async || has().is_some()).await;
        has().expect("a node has adopted the revision")
    }

    /// Waits until `config where` lists the version as halted and returns its output.
    async fn wait_until_halted(&self, revision: u64) -> String {
        let mut last = String::new();
        self.until("the version is halted", async || {
            last = self.config(0, &["where"]).await.1;
            last.contains(&format!("stopped: version {revision} spreads no further"))
        })
        .await;
        last
    }

    /// The nodes that had a version in force or rejected it, by their logs.
    fn nodes_that_tried(&self, revision: u64) -> Vec<usize> {
        let rejection = format!(" version {revision}: ");
        let tried = |i: &usize| {
            self.adopted_versions(*i).contains(&revision) || self.log(&format!("n{i}")).contains(&rejection)
        };
        self.all_nodes().into_iter().filter(tried).collect()
    }
}

/// A version removes a class that the nodes' own files of tiers name, so no node can adopt it. The canary keeps the last good
/// version and reports the reason; no other node is notified, neither by a new leader nor at its start. The next good version
/// reaches all nodes.
#[tokio::test]
async fn a_version_its_canary_rejects_stays_halted_across_leader_change_and_restart() {
    let mut cluster = Cluster::with_nodes(59).await;
    let mut file = config_file(&[("acme", 50.0), ("other", 0.0)]);
    file["classes"].as_array_mut().expect("the field is a list").truncate(2);
    let path = cluster.file("poison.json", &file.to_string()).display().to_string();
    let (success, output) = cluster.config(0, &["apply", &path, "--base", "1"]).await;
    assert!(success && output.contains("class: 1 removed: book-job"), "{output}");
    let output = cluster.wait_until_halted(2).await;
    assert!(output.contains("can't have it: ") && output.contains("book-job"), "{output}");
    let canaries = cluster.nodes_that_tried(2);
    assert_eq!(canaries.len(), 1, "{canaries:?}");
    let (success, output) = cluster.config(0, &["where", "--wait", "60"]).await;
    assert!(!success && output.contains("version 2 is stopped"), "{output}");
    // A new replica leads, and another node restarts.
    let leader = cluster.leader().expect("a replica leads");
    cluster.kill(leader);
    cluster.until("another replica leads", async || cluster.leader().is_some_and(|l| l != leader)).await;
    let restarted = (canaries[0] + 1) % NODES;
    cluster.restart(restarted);
    cluster.ready(restarted).await;
    assert_eq!(
        cluster.version_report(restarted).await["revision"],
        1,
        "a restarted node has the last good version"
    );
    let output = cluster.wait_until_halted(2).await;
    assert!(output.contains("the others stay with version 1"), "{output}");
    cluster.wait_for_version(&cluster.all_nodes(), 1).await;
    assert_eq!(cluster.nodes_that_tried(2), canaries);
    let (success, output) = cluster.config(0, &["rollback", "1"]).await;
    assert!(success, "{output}");
    cluster.wait_for_version(&cluster.all_nodes(), 3).await;
    let (success, output) = cluster.config(0, &["where", "--wait", "60"]).await;
    assert!(success && !output.contains("stopped:"), "{output}");
    cluster
        .until("version 3 is approved", async || !cluster.config(0, &["where"]).await.1.contains("on trial:"))
        .await;
    assert_eq!(cluster.nodes_that_tried(2), canaries);
}

/// The canary dies right after it adopts the version: no other node gets it, and the canary's next process starts with the last
/// good version. Once an operator releases the version, all nodes adopt it.
#[tokio::test]
async fn a_version_whose_canary_dies_is_halted_until_an_operator_releases_it() {
    let mut cluster = Cluster::with_nodes_and_catalog(61, LONG_TRIAL).await;
    assert_eq!(cluster.set_quotas(0, &[("acme", 6.0)]).await, Revision(2));
    let canary = cluster.first_node_with(2).await;
    cluster.kill(canary);
    let output = cluster.wait_until_halted(2).await;
    assert!(output.contains(&format!("n{canary} has fallen silent with it")), "{output}");
    assert_eq!(cluster.nodes_that_tried(2), [canary]);
    cluster.restart(canary);
    cluster.ready(canary).await;
    assert_eq!(
        cluster.version_report(canary).await["revision"],
        1,
        "the restarted canary has the last good version"
    );
    cluster.wait_for_version(&cluster.all_nodes(), 1).await;
    let (success, output) = cluster.config(0, &["release", "3"]).await;
    assert!(!success && output.contains("there is no version 3"), "{output}");
    let (success, output) =
        cluster.config(0, &["release", "2", "--by", "north", "--note", "the rack was moved"]).await;
    assert!(success && output.contains("all nodes may have version 2"), "{output}");
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    let (success, output) = cluster.config(0, &["release", "2"]).await;
    assert!(!success && output.contains("already"), "{output}");
}

/// A canary that dies and is restarted at once by its supervisor halts the version too.
#[tokio::test]
async fn a_version_whose_canary_restarts_at_once_is_halted() {
    let mut cluster = Cluster::with_nodes_and_catalog(62, LONG_TRIAL).await;
    assert_eq!(cluster.set_quotas(0, &[("acme", 6.0)]).await, Revision(2));
    let canary = cluster.first_node_with(2).await;
    cluster.restart(canary);
    let output = cluster.wait_until_halted(2).await;
    assert!(output.contains(&format!("n{canary} has ended with it and begun anew")), "{output}");
    assert_eq!(cluster.nodes_that_tried(2), [canary]);
    cluster.wait_for_version(&cluster.all_nodes(), 1).await;
}

/// The leading replica is killed while a version is on trial: the new leader completes the trial, and all nodes adopt the
/// version.
#[tokio::test]
async fn a_trial_completes_after_the_leading_replica_is_killed() {
    let mut cluster = Cluster::with_nodes_and_catalog(63, LONG_TRIAL_AND_PATIENCE).await;
    assert_eq!(cluster.set_quotas(0, &[("acme", 6.0)]).await, Revision(2));
    cluster.first_node_with(2).await;
    let leader = cluster.leader().expect("a replica leads");
    cluster.kill(leader);
    assert!(cluster.nodes_that_tried(2).len() < NODES, "the version is still on trial");
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    cluster.assert_versions_never_decrease();
}

/// A rollback while version 2 is on trial creates version 3, and only the canary ever adopts version 2.
#[tokio::test]
async fn a_rollback_during_a_trial_confines_the_version_to_its_canary() {
    let cluster = Cluster::with_nodes_and_catalog(64, LONG_TRIAL_AND_PATIENCE).await;
    assert_eq!(cluster.set_quotas(0, &[("acme", 6.0)]).await, Revision(2));
    let canary = cluster.first_node_with(2).await;
    let (success, output) = cluster.config(0, &["rollback", "1"]).await;
    assert!(success && output.contains("version 3"), "{output}");
    cluster.wait_for_version(&cluster.all_nodes(), 3).await;
    assert_eq!(cluster.nodes_that_tried(2), [canary]);
    cluster.assert_versions_never_decrease();
}

/// A canary that gets its notice to leave during a trial does not count as failed, and another node becomes the canary.
#[tokio::test]
async fn a_canary_that_drains_during_a_trial_does_not_halt_the_version() {
    let mut cluster = Cluster::with_nodes_and_catalog(65, LONG_TRIAL).await;
    assert_eq!(cluster.set_quotas(0, &[("acme", 6.0)]).await, Revision(2));
    let canary = cluster.first_node_with(2).await;
    cluster.leave(canary).await;
    let others: Vec<usize> = cluster.all_nodes().into_iter().filter(|i| *i != canary).collect();
    cluster.wait_for_version(&others, 2).await;
    let (_, output) = cluster.config(0, &["where"]).await;
    assert!(!output.contains("stopped:"), "{output}");
}

/// A canary replaced during a trial, so that two processes have its name for a while, does not count as failed.
#[tokio::test]
async fn a_canary_replaced_during_a_trial_does_not_halt_the_version() {
    let mut cluster = Cluster::with_nodes_and_catalog(66, LONG_TRIAL).await;
    assert_eq!(cluster.set_quotas(0, &[("acme", 6.0)]).await, Revision(2));
    let canary = cluster.first_node_with(2).await;
    cluster.replace(canary).await;
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    let (_, output) = cluster.config(0, &["where"]).await;
    assert!(!output.contains("stopped:"), "{output}");
}
