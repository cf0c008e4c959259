//! Zones that die, slow down, fail a little, are cut off, and come back cold.

use std::sync::atomic::Ordering;

use holdlift_lab::Caller;

use super::*;

/// Dead at once: all leave, nothing but probes goes there, its own nodes stand aside, and the return is never more than the
/// cold service bears by its own count.
#[tokio::test]
async fn a_dead_zone_is_left_by_all_and_returned_to_as_it_bears() {
    let s = Scene::start(plan(41)).await;
    s.rig.tiers[0].be(Mood::Resets);
    s.all(&s.rig.all_nodes(), 0, "out").await;
    let before = s.calls(0);
    s.go_on(600).await;
    assert_eq!(s.calls(0), before, "nothing goes there while it is out");
    let own = s.rig.procs[0].callers.expect("a node");
    s.rig.until("its nodes to stand aside", async || !Caller::connect(own).await.health(1).await).await;
    // It is probed, fails again and stays out for longer.
    s.rig.until("a second failure", async || s.rig.log("n1").matches("-> out").count() >= 2).await;
    assert!(s.calls(0) - before <= 40, "{} probes", s.calls(0) - before);
    s.cold(0);
    let beyond = s.rig.tiers[0].beyond.load(Ordering::SeqCst);
    s.all(&s.rig.all_nodes(), 0, "returning").await;
    s.all(&s.rig.all_nodes(), 0, "in").await;
    let now = s.rig.tiers[0].beyond.load(Ordering::SeqCst);
    assert_eq!(now, beyond, "calls beyond what it bears, cold as it was");
    s.rig.until("its nodes back", async || Caller::connect(own).await.health(1).await).await;
    let calls = s.calls(0);
    s.rig.until("its part of the calls", async || s.calls(0) > calls + 100).await;
}

/// Half way through its return it fails again: out at once, and for longer than at first.
#[tokio::test]
async fn it_fails_again_half_way_through_its_return() {
    let s = Scene::start(plan(42)).await;
    s.rig.tiers[1].be(Mood::Errors);
    s.one(0, 1, "out").await;
    s.cold(1);
    s.one(0, 1, "returning").await;
    s.rig.until("calls there", async || s.rig.tiers[1].counts.counted().under_way > 2).await;
    s.rig.tiers[1].be(Mood::Errors);
    s.all(&s.rig.all_nodes(), 1, "out").await;
    let failures = s.rig.report(0).await.map(|r| r["zones"]["zones"][1]["failures"].clone());
    assert!(failures.as_ref().and_then(|f| f.as_u64()) >= Some(2), "{failures:?}");
    s.cold(1);
    s.all(&s.rig.all_nodes(), 1, "in").await;
}

#[tokio::test]
async fn a_slow_zone_is_left() {
    let s = Scene::start(plan(43)).await;
    s.rig.tiers[2].be(Mood::Slow);
    s.all(&s.rig.all_nodes(), 2, "out").await;
    s.rig.tiers[2].be(Mood::Fine);
    s.all(&s.rig.all_nodes(), 2, "in").await;
}

/// One call in five fails: too little for any node's own ejection, which wants failures in a row.
#[tokio::test]
async fn a_grey_zone_is_left() {
    let s = Scene::start(plan(44)).await;
    s.rig.tiers[0].be(Mood::Grey);
    s.all(&s.rig.all_nodes(), 0, "out").await;
}

/// Well inside, but cut off from all others, one of the keepers with it. The others leave it; its own nodes hear of nothing, hold
/// to what they know for a while and then go by their own evidence, and say so.
#[tokio::test]
async fn a_zone_that_is_cut_off() {
    let s = Scene::start(plan(45)).await;
    let (zone, others) = s.rig.sides(0);
    s.rig.net.between(&zone, &others, CUT);
    s.all(&[1, 2, 4, 5], 0, "out").await;
    for node in [0, 3] {
        s.rig
            .until("its own evidence", async || {
                s.rig.report(node).await.is_some_and(|r| r["zones"]["own_evidence"] == true)
            })
            .await;
        assert_ne!(s.rig.life(node, 0).await.as_deref(), Some("out"), "nobody could tell it");
    }
    s.rig.net.heal();
    s.all(&s.rig.all_nodes(), 0, "in").await;
    assert!(s.rig.log("n0").contains("by this node's own evidence"));
}

/// Its nodes reach nobody else's services while others reach theirs, and keepers hear all: where all of a zone sees the rest
/// fail and the rest sees itself well, it is the sick one.
#[tokio::test]
async fn a_zone_cut_off_one_way_is_the_sick_one() {
    let s = Scene::start(plan(46)).await;
    s.rig.net.one_way(&[0, 3], &[s.rig.service(1), s.rig.service(2)], CUT);
    s.all(&s.rig.all_nodes(), 0, "out").await;
    for zone in [1, 2] {
        assert_ne!(s.rig.life(1, zone).await.as_deref(), Some("out"));
    }
}

/// Flapping: each time it fails it stays out for longer, so it is not returned to at every turn.
#[tokio::test]
async fn a_flapping_zone_is_returned_to_less_and_less_often() {
    let s = Scene::start(plan(47)).await;
    for _ in 0..3 {
        s.rig.tiers[0].be(Mood::Errors);
        s.one(0, 0, "out").await;
        s.rig.tiers[0].be(Mood::Fine);
        s.rig.until("a probe", async || s.rig.life(0, 0).await.as_deref() != Some("out")).await;
    }
    let log = s.rig.log("n0");
    let at = |l: &str| -> f64 {
        let clock = l.split_once('T').map_or("", |x| x.1);
        let part = |i: usize| {
            clock.split(':').nth(i).and_then(|p| p.split('Z').next()?.parse::<f64>().ok()).unwrap_or(0.0)
        };
        part(0) * 3_600.0 + part(1) * 60.0 + part(2)
    };
    let of = |mark: &str| -> Vec<f64> {
        log.lines().filter(|l| l.contains("z0") && l.contains(mark)).map(at).collect()
    };
    let (out, probing) = (of("-> out"), of("out 0 -> probing"));
    let spans: Vec<f64> = out.iter().zip(&probing).map(|(o, p)| (p - o).rem_euclid(86_400.0)).collect();
    assert!(spans.len() >= 3 && spans[1] > spans[0] * 1.3 && spans[2] > spans[1] * 1.3, "{spans:?}");
}

/// The leading keeper is killed as the zone dies: whoever leads next decides, all hear of one epoch, and an older one undoes
/// nothing.
#[tokio::test]
async fn the_leader_is_killed_amid_the_decision() {
    let mut s = Scene::start(plan(48)).await;
    s.rig.tiers[0].be(Mood::Resets);
    s.one(1, 0, "suspect").await;
    let leader = s.rig.leader().expect("a leader");
    s.rig.kill(leader);
    s.all(&s.rig.all_nodes(), 0, "out").await;
    s.rig.restart(leader);
    s.cold(0);
    s.all(&s.rig.all_nodes(), 0, "in").await;
    let mut epochs = Vec::new();
    for i in s.rig.all_nodes() {
        epochs.push(s.rig.report(i).await.map(|r| r["zones"]["epoch"].as_u64()));
    }
    assert!(epochs.windows(2).all(|e| e[0] == e[1]), "{epochs:?}");
}

/// The decision reaches half of the fleet while the rest is cut off from the keepers, and is caught up with by the next word.
#[tokio::test]
async fn told_to_half_of_the_fleet() {
    let s = Scene::start(plan(49)).await;
    let keepers = s.rig.keepers();
    s.rig.net.between(&[3, 4, 5], &keepers, CUT);
    s.rig.tiers[0].be(Mood::Resets);
    s.all(&[0, 1, 2], 0, "out").await;
    for node in [3, 4, 5] {
        assert_ne!(s.rig.life(node, 0).await.as_deref(), Some("out"));
    }
    s.rig.net.heal();
    s.all(&[3, 4, 5], 0, "out").await;
}

/// The keepers' majority goes with the zone: nobody decides, and each node goes by its own evidence; calls are made.
#[tokio::test]
async fn the_keepers_majority_goes_with_the_zone() {
    let mut s = Scene::start(plan(50)).await;
    let keepers = s.rig.keepers();
    s.rig.kill(keepers[0]);
    s.rig.kill(keepers[1]);
    s.rig.tiers[0].be(Mood::Resets);
    s.rig
        .until("their own evidence", async || {
            for i in s.rig.all_nodes() {
                if !s.rig.report(i).await.is_some_and(|r| r["zones"]["own_evidence"] == true) {
                    return false;
                }
            }
            true
        })
        .await;
    let served = s.load.tally.whole.load(Ordering::SeqCst);
    s.rig.until("service", async || s.load.tally.whole.load(Ordering::SeqCst) > served + 300).await;
    s.rig.restart(keepers[0]);
    s.rig.restart(keepers[1]);
    s.all(&s.rig.all_nodes(), 0, "out").await;
}

/// A zone fails amid a rolling deploy and the death of one node in six.
#[tokio::test]
async fn a_zone_fails_amid_a_rolling_deploy() {
    let mut s = Scene::start(plan(51)).await;
    s.rig.kill(5);
    for (n, node) in [1, 2, 4].into_iter().enumerate() {
        s.rig.leave(node).await;
        if n == 1 {
            s.rig.tiers[0].be(Mood::Resets);
        }
        s.rig.restart(node);
        s.rig.ready(node).await;
    }
    s.all(&[0, 1, 2, 3, 4], 0, "out").await;
    s.cold(0);
    s.rig.restart(5);
    s.all(&s.rig.all_nodes(), 0, "in").await;
}
