//! How the capacity of a budget is divided among the nodes, and divided again when nodes join, leave or are replaced.

use std::time::Instant;

use holdlift_lab::Mood;
use holdlift_lab::rig::load::Work;

use super::*;

#[tokio::test]
async fn equal_demand_divides_the_capacity_without_excess() {
    let fleet = LoadedFleet::start(Plan::default()).await;
    fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    fleet.run_for_ms(2_000).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// Every node knows the live members: after one is killed, after one is stopped, suspected and then refutes the
/// suspicion, and after one returns under a new incarnation.
#[tokio::test]
async fn every_node_knows_the_live_members_through_kills_and_stops() {
    let mut fleet = LoadedFleet::start(Plan { seed: 10, ..Plan::default() }).await;
    let known_incarnation = async |rig: &Rig, observer: usize, name: &str| -> Option<u64> {
        let report = rig.report(observer).await?;
        let members = report["members"].as_array()?;
        members.iter().find(|m| m["name"] == name)?["incarnation"].as_u64()
    };
    for observer in fleet.rig.all_nodes() {
        fleet
            .rig
            .until("the report lists eight members", async || {
                let report = fleet.rig.report(observer).await;
                report.and_then(|r| Some(r["members"].as_array()?.len())) == Some(8)
            })
            .await;
    }
    let incarnation_before_kill = known_incarnation(&fleet.rig, 0, "n3").await;
    let incarnation_before_stop = known_incarnation(&fleet.rig, 0, "n4").await;
    fleet.rig.kill(3);
    fleet.rig.stop(4);
    for absent in ["n3", "n4"] {
        fleet
            .rig
            .until("node 0 no longer lists the absent member", async || {
                known_incarnation(&fleet.rig, 0, absent).await.is_none()
            })
            .await;
    }
    fleet.rig.restart(3);
    fleet.rig.go_on(4);
    fleet
        .rig
        .until("node 0 lists n3 under a new incarnation", async || {
            known_incarnation(&fleet.rig, 0, "n3").await > incarnation_before_kill
        })
        .await;
    fleet
        .rig
        .until("node 0 lists n4 under the incarnation of its refutation", async || {
            known_incarnation(&fleet.rig, 0, "n4").await > incarnation_before_stop
        })
        .await;
    fleet.assert_capacity_never_exceeded().await;
}

/// The shares move to the node that has the demand, and are even again when the demand is.
#[tokio::test]
async fn shares_follow_demand_from_node_to_node() {
    let fleet = LoadedFleet::start(Plan { seed: 2, ..Plan::default() }).await;
    fleet.load.rates(&rates_mostly_at(0));
    fleet.until_limits_total(&[0], 13).await;
    fleet.load.rates(&rates_mostly_at(4));
    fleet.until_limits_total(&[4], 13).await;
    fleet.load.rates(&HIGH_RATES);
    fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// A budget of starts per second is used as slots are; a start is free again when the window has passed over it.
#[tokio::test]
async fn starts_in_a_window_stay_within_capacity_when_a_node_is_killed() {
    let budgets = vec![Whole::Starts(100)];
    let mut fleet = LoadedFleet::start(Plan { seed: 3, budgets, ..Plan::default() }).await;
    fleet.run_for_ms(1_500).await;
    fleet.rig.kill(1);
    fleet.rig.stop(2);
    fleet.until_limits_total(&[0, 3, 4], 100).await;
    fleet.rig.go_on(2);
    fleet.rig.restart(1);
    fleet.until_each_limit_is(&fleet.rig.all_nodes(), 15).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// Two nodes receive the notice to leave while the capacity is divided. What they held is released at once instead of
/// after their leases.
#[tokio::test]
async fn a_leaving_node_releases_its_share_at_once() {
    // Longer than the bound of every wait: a share that is free only after its lease would make the test fail.
    let lease_ms = 2 * BOUND.as_millis() as u64;
    let mut fleet = LoadedFleet::start(Plan { seed: 4, lease_ms, ..Plan::default() }).await;
    fleet.load.rates(&[120.0, 10.0, 10.0, 10.0, 10.0]);
    fleet.rig.signal(3, "-TERM");
    fleet.rig.signal(4, "-TERM");
    fleet.rig.leave(4).await;
    fleet.rig.leave(3).await;
    fleet.load.rates(&HIGH_RATES);
    fleet.until_limits_total(&[0, 1, 2], 20).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// The two processes of a node count as one while one replaces the other, and the share goes to the successor.
#[tokio::test]
async fn a_replacement_process_receives_the_share_of_its_predecessor() {
    let mut fleet = LoadedFleet::start(Plan { seed: 5, lease_ms: 3_000, ..Plan::default() }).await;
    for node in [1, 3] {
        fleet.rig.replace(node).await;
        fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    }
    fleet.assert_capacity_never_exceeded().await;
}

/// All nodes leave and restart, one after the other, under load.
#[tokio::test]
async fn capacity_is_not_exceeded_in_a_rolling_deploy_of_all_nodes() {
    let mut fleet = LoadedFleet::start(Plan { seed: 6, ..Plan::default() }).await;
    for node in fleet.rig.all_nodes() {
        fleet.rig.leave(node).await;
        fleet.rig.restart(node);
        fleet.rig.ready(node).await;
    }
    fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// The capacity is smaller than the number of nodes: some nodes have a limit of zero, but not always the same ones.
#[tokio::test]
async fn a_capacity_of_three_reaches_each_of_five_nodes_in_turn() {
    let budgets = vec![Whole::Slots { slots: 3, longest_ms: 1_000 }];
    let fleet =
        LoadedFleet::start(Plan { seed: 7, lease_ms: 400, base_ms: 20, budgets, ..Plan::default() }).await;
    let mut had_a_slot = [false; 5];
    fleet
        .rig
        .until("each node has had a slot", async || {
            for (had_one, limit) in had_a_slot.iter_mut().zip(fleet.rig.limits().await) {
                *had_one |= limit > 0;
            }
            had_a_slot.iter().all(|had_one| *had_one)
        })
        .await;
    fleet.assert_capacity_never_exceeded().await;
}

/// The capacity is reduced by SIGHUP while all of it is leased. The lower capacity holds once the excess has been
/// released.
#[tokio::test]
async fn a_capacity_reduced_by_sighup_holds_once_the_excess_is_released() {
    let mut fleet = LoadedFleet::start(Plan { seed: 8, ..Plan::default() }).await;
    // The larger capacity is in use, not only leased: the checks below count its use too.
    fleet.assert_capacity_never_exceeded().await;
    fleet.rig.rebudget(vec![Whole::Slots { slots: 8, longest_ms: 1_500 }]);
    fleet
        .rig
        .until("the limits add up to at most 8", async || fleet.rig.limits().await.iter().sum::<u64>() <= 8)
        .await;
    // Calls that began under the larger capacity have ended after this time.
    fleet.run_for_ms(2_000).await;
    fleet.rig.tier.counts.allow(8, u32::MAX);
    fleet.run_for_ms(2_000).await;
    fleet.rig.kill(0);
    fleet.until_limits_total(&[1, 2, 3, 4], 8).await;
    fleet.assert_capacity_never_exceeded().await;
    fleet.rig.rebudget(vec![Whole::Slots { slots: 20, longest_ms: 1_500 }]);
    fleet.rig.tier.counts.allow(20, u32::MAX);
    fleet.until_limits_total(&[1, 2, 3, 4], 20).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// Without a fleet file the program opens no fleet socket and has no fleet report.
#[tokio::test]
async fn without_a_fleet_file_no_socket_is_opened() {
    let _rig_permit = RIG_PERMITS.acquire().await.expect("the semaphore for rigs is never closed");
    let single_node = Plan { keepers: 0, limit: Some(4), ..Plan::default() }.start().await;
    let load = Load::start(&single_node, &HIGH_RATES, 9);
    single_node.until("more than 200 calls", async || single_node.tier.counts.counted().all > 200).await;
    assert_eq!(single_node.datagram_sockets(0), 0);
    assert_eq!(single_node.report(0).await, None);
    drop((load, single_node));
    let with_fleet = Plan::default().start().await;
    assert_eq!(with_fleet.datagram_sockets(0), 1, "the test counts the socket of a node with a fleet file");
}

/// While the service fails, the retries of all nodes together stay within the one retry budget of the fleet and the
/// share that first attempts earn. A new process adds no burst of its own. The repeats of a call by the dependency
/// module itself count too.
#[tokio::test]
async fn retries_of_all_nodes_share_one_fleet_budget() {
    let plan = |budgets| Plan { seed: 31, budgets, tries: (3, 0.02, 30), ..Plan::default() };
    let large = Whole::Slots { slots: 400, longest_ms: 1_500 };
    let count_retries = async |budgets: Vec<Whole>, least: u64, restart: bool| {
        let _rig_permit = RIG_PERMITS.acquire().await.expect("the semaphore for rigs is never closed");
        let mut rig = plan(budgets).start().await;
        rig.tier.counts.allow_further(10, 0.02);
        let load = Load::start(&rig, &HIGH_RATES, 31);
        rig.until("the limits add up to the capacity", async || {
            rig.limits().await.iter().sum::<u64>() >= least
        })
        .await;
        rig.tier.be(Mood::Errors);
        rig.until("at least 40 retries", async || rig.tier.counts.counted().again >= 40).await;
        if restart {
            for node in [0, 1, 2] {
                rig.restart(node);
                rig.ready(node).await;
            }
            rig.until("at least 120 retries", async || rig.tier.counts.counted().again >= 120).await;
        }
        drop(load);
        rig.tier.counts.counted()
    };
    let with_fleet_budget = count_retries(vec![large, Whole::Further(10)], 10, true).await;
    assert_eq!(with_fleet_budget.excess, 0, "{with_fleet_budget:?}");
    let node_budgets_only = count_retries(vec![large], 400, false).await;
    assert!(
        node_budgets_only.excess > 0,
        "a separate burst at each node exceeds the bound: {node_budgets_only:?}"
    );
}

/// A member sends five times its quota, spread over all nodes, and ranks above another member that keeps the cores
/// busy. It gets its quota and no more, also when a node that held a part of it is killed.
#[tokio::test]
async fn a_member_gets_one_quota_for_the_whole_fleet() {
    let _rig_permit = RIG_PERMITS.acquire().await.expect("the semaphore for rigs is never closed");
    let budgets = vec![Whole::Member(20)];
    let mut rig = Plan { seed: 32, budgets, ..Plan::default() }.start().await;
    let other = Work { member: "other", rank: "0.5", says: "200" };
    let _other_load = Load::of(&rig, &[60.0; 5], 1, other);
    let acme = Work { member: "acme", rank: "0.9", says: "200" };
    let _acme_load = Load::of(&rig, &[20.0; 5], 2, acme);
    rig.until("the limits add up to the capacity", async || rig.limits().await.iter().sum::<u64>() >= 20)
        .await;
    let runs_with_prefix = |rig: &Rig, prefix: &str| -> usize {
        let runs_at = |i| {
            rig.farms
                .of(i)
                .runs
                .lock()
                .expect("no thread panicked with the lock on the runs")
                .keys()
                .filter(|k| k.starts_with(prefix))
                .count()
        };
        rig.all_nodes().into_iter().map(runs_at).sum()
    };
    // Before this point the cores are not busy, and the runs that were admitted early still hold their share.
    rig.until("more than 1500 runs of the other member", async || runs_with_prefix(&rig, "q-1-") > 1_500)
        .await;
    let (start, before) = (Instant::now(), runs_with_prefix(&rig, "q-2-"));
    rig.until("100 more runs of the member", async || runs_with_prefix(&rig, "q-2-") >= before + 100).await;
    rig.kill(0);
    rig.until("200 more runs of the member", async || runs_with_prefix(&rig, "q-2-") >= before + 200).await;
    let most = 20.0 * (start.elapsed().as_secs_f64() + 4.0);
    let got = runs_with_prefix(&rig, "q-2-") - before;
    assert!((got as f64) < most, "{got} runs, but the quota allows at most {most:.0}");
    let refused: u64 = rig
        .report(1)
        .await
        .and_then(|r| r["budgets"][0]["short"].as_u64())
        .expect("the report of node 1 has the refusal count of the first budget");
    assert!(refused > 50, "node 1 refused only {refused} requests beyond its share");
}
