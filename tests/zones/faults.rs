//! Zones that fail outright, slow down, fail in part, are cut off, or return cold.

use std::sync::atomic::Ordering;

use holdlift_lab::Caller;

use super::*;

/// A zone fails outright. All nodes leave it and send it only probes, and its own nodes report that they are not in
/// service. On the return the load never exceeds the capacity that the cold service counts for itself.
#[tokio::test]
async fn a_failed_zone_gets_only_probes_and_a_return_within_its_capacity() {
    let fleet = ZonedFleet::start(plan(41)).await;
    fleet.rig.tiers[0].be(Mood::Resets);
    fleet.until_all_see(&fleet.rig.all_nodes(), 0, "out").await;
    let calls_before = fleet.calls_begun(0);
    fleet.run_for_ms(600).await;
    assert_eq!(fleet.calls_begun(0), calls_before, "no call goes to a zone that is out");
    let own_node = fleet.rig.procs[0].callers.expect("process 0 is a node, which has an address for callers");
    fleet
        .rig
        .until("a node of the zone is out of service", async || {
            !Caller::connect(own_node).await.health(1).await
        })
        .await;
    // The zone is probed, fails again and stays out for longer.
    fleet
        .rig
        .until("node n1 logs that the zone is out a second time", async || {
            fleet.rig.log("n1").matches("-> out").count() >= 2
        })
        .await;
    assert!(fleet.calls_begun(0) - calls_before <= 40, "{} probes", fleet.calls_begun(0) - calls_before);
    fleet.recover_cold(0);
    let excess_before = fleet.rig.tiers[0].beyond.load(Ordering::SeqCst);
    fleet.until_all_see(&fleet.rig.all_nodes(), 0, "returning").await;
    fleet.until_all_see(&fleet.rig.all_nodes(), 0, "in").await;
    let excess_after = fleet.rig.tiers[0].beyond.load(Ordering::SeqCst);
    assert_eq!(excess_after, excess_before, "calls beyond the capacity of the cold service");
    fleet
        .rig
        .until("the node of the zone is in service again", async || {
            Caller::connect(own_node).await.health(1).await
        })
        .await;
    let calls_on_return = fleet.calls_begun(0);
    fleet
        .rig
        .until("more than 100 further calls in the zone", async || {
            fleet.calls_begun(0) > calls_on_return + 100
        })
        .await;
}

/// A zone fails again halfway through its return: it goes out at once, and for longer than the first time.
#[tokio::test]
async fn a_zone_that_fails_during_its_return_goes_out_again() {
    let fleet = ZonedFleet::start(plan(42)).await;
    fleet.rig.tiers[1].be(Mood::Errors);
    fleet.until_one_sees(0, 1, "out").await;
    fleet.recover_cold(1);
    fleet.until_one_sees(0, 1, "returning").await;
    fleet
        .rig
        .until("more than two calls under way in zone z1", async || {
            fleet.rig.tiers[1].counts.counted().under_way > 2
        })
        .await;
    fleet.rig.tiers[1].be(Mood::Errors);
    fleet.until_all_see(&fleet.rig.all_nodes(), 1, "out").await;
    let failures = fleet.rig.report(0).await.map(|r| r["zones"]["zones"][1]["failures"].clone());
    assert!(failures.as_ref().and_then(|f| f.as_u64()) >= Some(2), "{failures:?}");
    fleet.recover_cold(1);
    fleet.until_all_see(&fleet.rig.all_nodes(), 1, "in").await;
}

#[tokio::test]
async fn a_slow_zone_is_left_and_returned_to_once_it_is_fast() {
    let fleet = ZonedFleet::start(plan(43)).await;
    fleet.rig.tiers[2].be(Mood::Slow);
    fleet.until_all_see(&fleet.rig.all_nodes(), 2, "out").await;
    fleet.rig.tiers[2].be(Mood::Fine);
    fleet.until_all_see(&fleet.rig.all_nodes(), 2, "in").await;
}

/// One call in five fails. That is too few for the ejection at a single node, which needs failures in a row.
#[tokio::test]
async fn a_zone_that_fails_one_call_in_five_is_left() {
    let fleet = ZonedFleet::start(plan(44)).await;
    fleet.rig.tiers[0].be(Mood::Grey);
    fleet.until_all_see(&fleet.rig.all_nodes(), 0, "out").await;
}

/// A healthy zone is cut off from all others, together with one of the replicas. The other nodes leave it. Its own
/// nodes receive no decision, keep the last one for a while, then go by their own evidence and log that.
#[tokio::test]
async fn a_zone_that_is_cut_off_is_left_and_goes_by_its_own_evidence() {
    let fleet = ZonedFleet::start(plan(45)).await;
    let (zone, others) = fleet.rig.sides(0);
    fleet.rig.net.between(&zone, &others, CUT);
    fleet.until_all_see(&[1, 2, 4, 5], 0, "out").await;
    for node in [0, 3] {
        fleet
            .rig
            .until("the cut-off node goes by its own evidence", async || {
                fleet.rig.report(node).await.is_some_and(|r| r["zones"]["own_evidence"] == true)
            })
            .await;
        assert_ne!(
            fleet.rig.life(node, 0).await.as_deref(),
            Some("out"),
            "no decision could reach node {node}"
        );
    }
    fleet.rig.net.heal();
    fleet.until_all_see(&fleet.rig.all_nodes(), 0, "in").await;
    assert!(fleet.rig.log("n0").contains("by this node's own evidence"));
}

/// The nodes of a zone cannot reach the services of other zones, while the others reach theirs and the replicas
/// receive all reports. If all nodes of one zone see the rest fail and the rest sees itself healthy, the one zone is
/// at fault.
#[tokio::test]
async fn a_zone_that_cannot_reach_the_others_is_the_one_that_is_left() {
    let fleet = ZonedFleet::start(plan(46)).await;
    fleet.rig.net.one_way(&[0, 3], &[fleet.rig.service(1), fleet.rig.service(2)], CUT);
    fleet.until_all_see(&fleet.rig.all_nodes(), 0, "out").await;
    for zone in [1, 2] {
        assert_ne!(fleet.rig.life(1, zone).await.as_deref(), Some("out"));
    }
}

/// A zone fails and recovers in turn. After each failure it stays out for longer, so the fleet does not return at every
/// recovery.
#[tokio::test]
async fn a_flapping_zone_stays_out_longer_after_each_failure() {
    let fleet = ZonedFleet::start(plan(47)).await;
    for _ in 0..3 {
        fleet.rig.tiers[0].be(Mood::Errors);
        fleet.until_one_sees(0, 0, "out").await;
        fleet.rig.tiers[0].be(Mood::Fine);
        fleet
            .rig
            .until("zone z0 is no longer out", async || fleet.rig.life(0, 0).await.as_deref() != Some("out"))
            .await;
    }
    let log = fleet.rig.log("n0");
    let seconds_of_day = |line: &str| -> f64 {
        let clock = line.split_once('T').map_or("", |x| x.1);
        let part = |i: usize| {
            clock.split(':').nth(i).and_then(|p| p.split('Z').next()?.parse::<f64>().ok()).unwrap_or(0.0)
        };
        part(0) * 3_600.0 + part(1) * 60.0 + part(2)
    };
    let times_of = |mark: &str| -> Vec<f64> {
        log.lines().filter(|l| l.contains("z0") && l.contains(mark)).map(seconds_of_day).collect()
    };
    let (out, probing) = (times_of("-> out"), times_of("out 0 -> probing"));
    let out_spans: Vec<f64> = out.iter().zip(&probing).map(|(o, p)| (p - o).rem_euclid(86_400.0)).collect();
    assert!(
        out_spans.len() >= 3 && out_spans[1] > out_spans[0] * 1.3 && out_spans[2] > out_spans[1] * 1.3,
        "seconds out: {out_spans:?}"
    );
}

/// The leading replica is killed when the zone fails. The next leader decides, all nodes end with the same epoch, and
/// an older epoch reverts no decision.
#[tokio::test]
async fn the_next_leader_decides_when_the_leader_is_killed_as_a_zone_fails() {
    let mut fleet = ZonedFleet::start(plan(48)).await;
    fleet.rig.tiers[0].be(Mood::Resets);
    fleet.until_one_sees(1, 0, "suspect").await;
    let leader = fleet.rig.leader().expect("the replicas have a leader");
    fleet.rig.kill(leader);
    fleet.until_all_see(&fleet.rig.all_nodes(), 0, "out").await;
    fleet.rig.restart(leader);
    fleet.recover_cold(0);
    fleet.until_all_see(&fleet.rig.all_nodes(), 0, "in").await;
    let mut epochs = Vec::new();
    for i in fleet.rig.all_nodes() {
        epochs.push(fleet.rig.report(i).await.map(|r| r["zones"]["epoch"].as_u64()));
    }
    assert!(epochs.windows(2).all(|e| e[0] == e[1]), "{epochs:?}");
}

/// The decision reaches half of the fleet while the other half is cut off from the replicas. Once connected again,
/// the other half learns it from the next message.
#[tokio::test]
async fn nodes_cut_off_from_the_replicas_learn_the_decision_after_the_cut() {
    let fleet = ZonedFleet::start(plan(49)).await;
    let replicas = fleet.rig.keepers();
    fleet.rig.net.between(&[3, 4, 5], &replicas, CUT);
    fleet.rig.tiers[0].be(Mood::Resets);
    fleet.until_all_see(&[0, 1, 2], 0, "out").await;
    for node in [3, 4, 5] {
        assert_ne!(fleet.rig.life(node, 0).await.as_deref(), Some("out"));
    }
    fleet.rig.net.heal();
    fleet.until_all_see(&[3, 4, 5], 0, "out").await;
}

/// The majority of the replicas is down when the zone fails. No decision is made, each node goes by its own evidence,
/// and calls are served.
#[tokio::test]
async fn without_a_majority_of_replicas_each_node_goes_by_its_own_evidence() {
    let mut fleet = ZonedFleet::start(plan(50)).await;
    let replicas = fleet.rig.keepers();
    fleet.rig.kill(replicas[0]);
    fleet.rig.kill(replicas[1]);
    fleet.rig.tiers[0].be(Mood::Resets);
    fleet
        .rig
        .until("every node goes by its own evidence", async || {
            for i in fleet.rig.all_nodes() {
                if !fleet.rig.report(i).await.is_some_and(|r| r["zones"]["own_evidence"] == true) {
                    return false;
                }
            }
            true
        })
        .await;
    let served_before = fleet.load.tally.whole.load(Ordering::SeqCst);
    fleet
        .rig
        .until("more than 300 further requests served", async || {
            fleet.load.tally.whole.load(Ordering::SeqCst) > served_before + 300
        })
        .await;
    fleet.rig.restart(replicas[0]);
    fleet.rig.restart(replicas[1]);
    fleet.until_all_see(&fleet.rig.all_nodes(), 0, "out").await;
}

/// A zone fails during a rolling deploy, with one of six nodes killed.
#[tokio::test]
async fn a_zone_that_fails_during_a_rolling_deploy_is_left_and_returned_to() {
    let mut fleet = ZonedFleet::start(plan(51)).await;
    fleet.rig.kill(5);
    for (n, node) in [1, 2, 4].into_iter().enumerate() {
        fleet.rig.leave(node).await;
        if n == 1 {
            fleet.rig.tiers[0].be(Mood::Resets);
        }
        fleet.rig.restart(node);
        fleet.rig.ready(node).await;
    }
    fleet.until_all_see(&[0, 1, 2, 3, 4], 0, "out").await;
    fleet.recover_cold(0);
    fleet.rig.restart(5);
    fleet.until_all_see(&fleet.rig.all_nodes(), 0, "in").await;
}
