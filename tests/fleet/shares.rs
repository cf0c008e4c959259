//! How the whole is divided, and divided anew as nodes come and go by their own will.

use std::time::Instant;

use holdlift_lab::Mood;
use holdlift_lab::rig::load::Work;

use super::*;

#[tokio::test]
async fn a_whole_is_divided_evenly_and_held() {
    let s = Scene::start(Plan::default()).await;
    s.each(&s.rig.all_nodes(), 3).await;
    s.go_on(2_000).await;
    s.held().await;
}

/// Each knows who is there, through a death, a stop that is refuted, and a return under a new incarnation.
#[tokio::test]
async fn who_is_there_is_known_to_all() {
    let mut s = Scene::start(Plan { seed: 10, ..Plan::default() }).await;
    let seen = async |rig: &Rig, by: usize, name: &str| -> Option<u64> {
        let report = rig.report(by).await?;
        let all = report["members"].as_array()?;
        all.iter().find(|m| m["name"] == name)?["incarnation"].as_u64()
    };
    for by in s.rig.all_nodes() {
        s.rig
            .until("eight members", async || {
                let report = s.rig.report(by).await;
                report.and_then(|r| Some(r["members"].as_array()?.len())) == Some(8)
            })
            .await;
    }
    let (first, stopped) = (seen(&s.rig, 0, "n3").await, seen(&s.rig, 0, "n4").await);
    s.rig.kill(3);
    s.rig.stop(4);
    for gone in ["n3", "n4"] {
        s.rig.until("one fewer", async || seen(&s.rig, 0, gone).await.is_none()).await;
    }
    s.rig.restart(3);
    s.rig.go_on(4);
    s.rig.until("a new process", async || seen(&s.rig, 0, "n3").await > first).await;
    s.rig.until("a refutation", async || seen(&s.rig, 0, "n4").await > stopped).await;
    s.held().await;
}

/// Where the demand is, there the shares are; and back.
#[tokio::test]
async fn shares_follow_demand() {
    let s = Scene::start(Plan { seed: 2, ..Plan::default() }).await;
    s.load.rates(&mostly_at(0));
    s.lent(&[0], 13).await;
    s.load.rates(&mostly_at(4));
    s.lent(&[4], 13).await;
    s.load.rates(&HIGH);
    s.each(&s.rig.all_nodes(), 3).await;
    s.held().await;
}

/// A start a second is spent as a slot is, and is back when the window has gone over it.
#[tokio::test]
async fn starts_in_a_window_are_held_through_a_death() {
    let budgets = vec![Whole::Starts(100)];
    let mut s = Scene::start(Plan { seed: 3, budgets, ..Plan::default() }).await;
    s.go_on(1_500).await;
    s.rig.kill(1);
    s.rig.stop(2);
    s.lent(&[0, 3, 4], 100).await;
    s.rig.go_on(2);
    s.rig.restart(1);
    s.each(&s.rig.all_nodes(), 15).await;
    s.held().await;
}

/// The notice to leave during a division: what the leaver had is handed back at once, not after its lease.
#[tokio::test]
async fn a_leaving_node_hands_back_at_once() {
    // Longer than anything is waited for: a share that had to run out would not be had.
    let lease_ms = 2 * BOUND.as_millis() as u64;
    let mut s = Scene::start(Plan { seed: 4, lease_ms, ..Plan::default() }).await;
    s.load.rates(&[120.0, 10.0, 10.0, 10.0, 10.0]);
    s.rig.signal(3, "-TERM");
    s.rig.signal(4, "-TERM");
    s.rig.leave(4).await;
    s.rig.leave(3).await;
    s.load.rates(&HIGH);
    s.lent(&[0, 1, 2], 20).await;
    s.held().await;
}

/// Two processes of one node in a replacement count as one, and its share crosses.
#[tokio::test]
async fn a_replacement_takes_the_share_over() {
    let mut s = Scene::start(Plan { seed: 5, lease_ms: 3_000, ..Plan::default() }).await;
    for node in [1, 3] {
        s.rig.replace(node).await;
        s.each(&s.rig.all_nodes(), 3).await;
    }
    s.held().await;
}

/// All are replaced one after the other under load.
#[tokio::test]
async fn a_rolling_deploy_of_all_nodes() {
    let mut s = Scene::start(Plan { seed: 6, ..Plan::default() }).await;
    for node in s.rig.all_nodes() {
        s.rig.leave(node).await;
        s.rig.restart(node);
        s.rig.ready(node).await;
    }
    s.each(&s.rig.all_nodes(), 3).await;
    s.held().await;
}

/// A whole smaller than the number of nodes: some have nothing, and not always the same ones.
#[tokio::test]
async fn a_whole_of_three_goes_round_five_nodes() {
    let budgets = vec![Whole::Slots { slots: 3, longest_ms: 1_000 }];
    let s = Scene::start(Plan { seed: 7, lease_ms: 400, base_ms: 20, budgets, ..Plan::default() }).await;
    let mut had = [false; 5];
    s.rig
        .until("a slot for each in turn", async || {
            for (had, now) in had.iter_mut().zip(s.rig.limits().await) {
                *had |= now > 0;
            }
            had.iter().all(|h| *h)
        })
        .await;
    s.held().await;
}

/// The operators make the whole smaller while all of it is lent out; once it has been handed back, less counts.
#[tokio::test]
async fn a_smaller_whole_by_sighup() {
    let mut s = Scene::start(Plan { seed: 8, ..Plan::default() }).await;
    s.rig.rebudget(vec![Whole::Slots { slots: 8, longest_ms: 1_500 }]);
    s.rig.until("at most 8 lent", async || s.rig.limits().await.iter().sum::<u64>() <= 8).await;
    // What was begun under the larger whole has ended after this.
    s.go_on(2_000).await;
    s.rig.tier.counts.allow(8, u32::MAX);
    s.go_on(2_000).await;
    s.rig.kill(0);
    s.lent(&[1, 2, 3, 4], 8).await;
    s.held().await;
    s.rig.rebudget(vec![Whole::Slots { slots: 20, longest_ms: 1_500 }]);
    s.rig.tier.counts.allow(20, u32::MAX);
    s.lent(&[1, 2, 3, 4], 20).await;
    s.held().await;
}

/// With the feature off there is no socket, and nothing to ask.
#[tokio::test]
async fn without_the_file_nothing_is_opened() {
    let _room = ROOM.acquire().await.expect("room");
    let alone = Plan { keepers: 0, limit: Some(4), ..Plan::default() }.start().await;
    let load = Load::start(&alone, &HIGH, 9);
    alone.until("calls", async || alone.tier.counts.counted().all > 200).await;
    assert_eq!(alone.datagram_sockets(0), 0);
    assert_eq!(alone.report(0).await, None);
    drop((load, alone));
    let fleet = Plan::default().start().await;
    assert_eq!(fleet.datagram_sockets(0), 1, "the test sees one where there is one");
}

/// A service that fails: what is tried again is the fleet's one whole and what first tries have earned, whoever tries, and a
/// new process brings no burst of its own. The module's own repeats of a call count too.
#[tokio::test]
async fn further_tries_are_one_budget_of_the_fleet() {
    let plan = |budgets| Plan { seed: 31, budgets, tries: (3, 0.02, 30), ..Plan::default() };
    let large = Whole::Slots { slots: 400, longest_ms: 1_500 };
    let again = async |budgets: Vec<Whole>, least: u64, restart: bool| {
        let _room = ROOM.acquire().await.expect("room");
        let mut rig = plan(budgets).start().await;
        rig.tier.counts.allow_further(10, 0.02);
        let load = Load::start(&rig, &HIGH, 31);
        rig.until("all lent", async || rig.limits().await.iter().sum::<u64>() >= least).await;
        rig.tier.be(Mood::Errors);
        rig.until("further tries", async || rig.tier.counts.counted().again >= 40).await;
        if restart {
            for node in [0, 1, 2] {
                rig.restart(node);
                rig.ready(node).await;
            }
            rig.until("and more", async || rig.tier.counts.counted().again >= 120).await;
        }
        drop(load);
        rig.tier.counts.counted()
    };
    let fleet = again(vec![large, Whole::Further(10)], 10, true).await;
    assert_eq!(fleet.excess, 0, "{fleet:?}");
    let alone = again(vec![large], 400, false).await;
    assert!(alone.excess > 0, "each with a burst of its own is seen to go beyond: {alone:?}");
}

/// A member asks for five times its quota, at all nodes, and ranks above another who keeps the cores busy: it gets its quota
/// and no more, through the death of a node that held some of it.
#[tokio::test]
async fn a_members_quota_is_one_for_the_fleet() {
    let _room = ROOM.acquire().await.expect("room");
    let budgets = vec![Whole::Member(20)];
    let mut rig = Plan { seed: 32, budgets, ..Plan::default() }.start().await;
    let other = Work { member: "other", rank: "0.5", says: "200" };
    let _others = Load::of(&rig, &[60.0; 5], 1, other);
    let acme = Work { member: "acme", rank: "0.9", says: "200" };
    let _load = Load::of(&rig, &[20.0; 5], 2, acme);
    rig.until("all lent", async || rig.limits().await.iter().sum::<u64>() >= 20).await;
    let ran = |rig: &Rig, whose: &str| -> usize {
        let of =
            |i| rig.farms.of(i).runs.lock().expect("runs").keys().filter(|k| k.starts_with(whose)).count();
        rig.all_nodes().into_iter().map(of).sum()
    };
    // Until then the cores were not busy yet, and what came early is still held.
    rig.until("busy cores", async || ran(&rig, "q-1-") > 1_500).await;
    let (start, before) = (Instant::now(), ran(&rig, "q-2-"));
    rig.until("a hundred", async || ran(&rig, "q-2-") >= before + 100).await;
    rig.kill(0);
    rig.until("and as many more", async || ran(&rig, "q-2-") >= before + 200).await;
    let most = 20.0 * (start.elapsed().as_secs_f64() + 4.0);
    let got = ran(&rig, "q-2-") - before;
    assert!((got as f64) < most, "{got} of at most {most:.0}");
    let short: u64 = rig.report(1).await.and_then(|r| r["budgets"][0]["short"].as_u64()).expect("a figure");
    assert!(short > 50, "{short} were beyond the share of one node");
}
