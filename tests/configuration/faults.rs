//! Tests of other faults while a version spreads: a lost disk, an interrupted snapshot, and a quota that is fully leased.

use std::sync::atomic::Ordering;

use holdlift_lab::rig::Whole;
use holdlift_lab::rig::load::Load;
use holdlift_lab::rig::net::Fault;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::nodes::NODES;
use super::*;

/// A replica loses its disk while a version spreads: it may not vote, the two others continue, and all nodes adopt their
/// versions.
#[tokio::test]
async fn a_replica_that_lost_its_disk_does_not_vote_and_the_others_continue() {
    let mut cluster = Cluster::with_nodes(71).await;
    let leader = cluster.leader().expect("a replica leads");
    let lost = cluster.keepers().into_iter().find(|k| *k != leader).expect("another replica exists");
    assert_eq!(cluster.set_quotas(0, &[("acme", 6.0)]).await, Revision(2));
    cluster.kill(lost);
    cluster.lose_disk(lost);
    cluster.restart(lost);
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    cluster
        .until("the replica logs that it may not vote", async || {
            cluster.log(&cluster.procs[lost].name).contains("may not vote")
        })
        .await;
    assert_eq!(cluster.set_quotas(0, &[("acme", 7.0)]).await, Revision(3));
    cluster.wait_for_version(&cluster.all_nodes(), 3).await;
    // A restarted node gets the newest version from the other replicas, as the one without a disk has none.
    cluster.restart(4);
    cluster.ready(4).await;
    assert_eq!(cluster.version_report(4).await["revision"], 3);
    assert_eq!(revision_numbers(&cluster.history(0).await), [1, 2, 3]);
    cluster.assert_versions_never_decrease();
}

/// A node is cut off in the middle of a snapshot: it keeps its complete old version, and adopts the newest one, with the
/// digest that the replicas list, once it is connected again.
#[tokio::test]
async fn a_node_cut_off_during_a_snapshot_keeps_its_version_and_catches_up() {
    let cluster = Cluster::with_nodes(72).await;
    // Random names do not compress, so the snapshot takes several replies.
    let mut rng = ChaCha8Rng::seed_from_u64(72);
    let mut name = || (0..120).map(|_| char::from(rng.random_range(b'!'..=b'~'))).collect::<String>();
    let names: Vec<String> = (0..4_500).map(|_| name()).collect();
    let many: Vec<(&str, f64)> = names.iter().map(|n| (n.as_str(), 5.0)).collect();
    let received_bytes = || {
        let carried = cluster.net.carried();
        cluster.keepers().iter().filter_map(|k| carried.get(&(*k, 3))).map(|c| c.streamed).sum::<u64>()
    };
    let before = received_bytes();
    cluster.net.one_way(
        &cluster.keepers(),
        &[3],
        Fault { delay: std::time::Duration::from_millis(40), ..Fault::default() },
    );
    // On a busy machine the replicas may take longer to agree on so large a change than the client waits. The outcome is then
    // unknown, and the test waits for the version in the history.
    let client = cluster.operator(0);
    let now = client.fetch_latest().await.expect("the newest version can be fetched");
    let outcome = client.propose(&quota_change(&now, &many)).await;
    assert!(matches!(outcome, Ok(Revision(2)) | Err(ReplicaClientError::Unknown)), "{outcome:?}");
    cluster
        .until("version 2 is agreed", async || revision_numbers(&cluster.history(0).await) == [1, 2])
        .await;
    cluster.until("a part of the snapshot has arrived", async || received_bytes() > before + 100_000).await;
    cluster.net.between(&cluster.keepers(), &[3], Fault::CUT);
    assert!(received_bytes() < before + 400_000, "the snapshot has not arrived completely");
    cluster.wait_for_version(&[0, 1, 2, 4, 5], 2).await;
    assert_eq!(cluster.version_report(3).await["revision"], 1, "a partial snapshot is not adopted");
    assert_eq!(cluster.version_report(3).await["tenants"], 2);
    cluster.net.heal();
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    assert_eq!(cluster.version_report(3).await["tenants"], 4_502);
    cluster.assert_versions_never_decrease();
}

/// A tenant's quota is lowered, by a version and by its fleet budget, while it is fully leased and in use: no request is lost,
/// and the sum of the nodes' limits falls to the new quota.
#[tokio::test]
async fn a_quota_lowered_while_fully_leased_takes_effect_without_lost_requests() {
    let permit = CLUSTER_PERMITS.acquire().await.expect("the semaphore stays open");
    let catalog = Some("spread_ms = 300\nhold_ms = 300\npatience_ms = 15000\n");
    let budgets = vec![Whole::Member(60)];
    let plan = Plan { nodes: NODES, zones: 4, regions: 2, seed: 73, catalog, budgets, ..Plan::default() };
    let rig = plan.start().await;
    let mut cluster = Cluster { rig, _permit: permit };
    cluster.until("a replica leads", async || cluster.leader().is_some()).await;
    cluster.apply_first_version().await;
    cluster.wait_for_version(&cluster.all_nodes(), 1).await;
    let load = Load::start(&cluster, &[10.0; NODES], 73);
    cluster
        .until("the budget is fully leased", async || cluster.limits().await.iter().sum::<u64>() == 60)
        .await;
    cluster.until("the leased budget is in use", async || load.tally.whole.load(Ordering::SeqCst) > 30).await;
    assert_eq!(cluster.set_quotas(0, &[("acme", 12.0)]).await, Revision(2));
    cluster.rebudget(vec![Whole::Member(12)]);
    cluster.wait_for_version(&cluster.all_nodes(), 2).await;
    cluster
        .until("the limits sum to the new budget", async || cluster.limits().await.iter().sum::<u64>() == 12)
        .await;
    let served = load.tally.whole.load(Ordering::SeqCst);
    cluster
        .until("requests are still served", async || load.tally.whole.load(Ordering::SeqCst) > served + 10)
        .await;
    assert_eq!(load.tally.lost.load(Ordering::SeqCst), 0, "{:?}", load.tally);
    cluster.assert_versions_never_decrease();
}
