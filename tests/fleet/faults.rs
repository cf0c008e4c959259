//! Capacity limits while nodes are stopped, killed or partitioned, and while messages are lost, late or duplicated.

use holdlift_lab::rig::net::Fault;

use super::*;

const CUT: Fault = Fault::CUT;

/// A node that is stopped until its lease has ended starts no call on that lease when it continues. Requests pile up
/// in its sockets meanwhile, and it reads them all at once.
#[tokio::test]
async fn a_node_stopped_past_its_lease_starts_no_call_on_it() {
    let fleet = LoadedFleet::start(Plan { seed: 11, ..Plan::default() }).await;
    for _ in 0..2 {
        // It holds most of the capacity when it stops.
        fleet.load.rates(&rates_mostly_at(0));
        fleet.until_limits_total(&[0], 13).await;
        fleet.rig.stop(0);
        fleet.load.rates(&HIGH_RATES);
        fleet.until_limits_total(&[1, 2, 3, 4], 20).await;
        fleet.run_for_ms(500).await;
        fleet.rig.go_on(0);
        fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    }
    fleet.assert_capacity_never_exceeded().await;
}

/// Two of five nodes are killed at once, while the downstream service still runs their calls. Their capacity is
/// leased to the others only after their leases have ended.
#[tokio::test]
async fn capacity_of_killed_nodes_is_leased_again_after_their_leases_end() {
    let mut fleet = LoadedFleet::start(Plan { seed: 12, base_ms: 1_200, ..Plan::default() }).await;
    fleet.rig.kill(0);
    fleet.rig.kill(3);
    fleet.until_limits_total(&[1, 2, 4], 20).await;
    fleet.run_for_ms(1_000).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// A node is killed and returns under its name before its old lease ends. The new process must not use what the old
/// process held.
#[tokio::test]
async fn a_node_restarted_within_its_old_lease_does_not_use_that_lease() {
    let mut fleet =
        LoadedFleet::start(Plan { seed: 13, lease_ms: 2_500, base_ms: 1_200, ..Plan::default() }).await;
    for node in [2, 2, 4] {
        fleet.rig.restart(node);
        fleet.rig.ready(node).await;
        fleet.run_for_ms(300).await;
    }
    fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// All nodes are killed and started again within one second.
#[tokio::test]
async fn capacity_is_not_exceeded_when_all_nodes_restart_at_once() {
    let mut fleet = LoadedFleet::start(Plan { seed: 14, base_ms: 1_200, ..Plan::default() }).await;
    fleet.rig.all_nodes().into_iter().for_each(|i| fleet.rig.restart(i));
    fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// One-way cuts: the messages of node 0 are lost, and node 1 receives none. Neither starts calls past its lease. The
/// share of node 0 goes to the others; that of node 1 is renewed in the ledger and lies idle.
#[tokio::test]
async fn nodes_cut_off_one_way_stop_when_their_leases_end() {
    let fleet = LoadedFleet::start(Plan { seed: 15, ..Plan::default() }).await;
    let replicas = fleet.rig.keepers();
    fleet.rig.net.one_way(&[0], &replicas, CUT);
    fleet.rig.net.one_way(&replicas, &[1], CUT);
    fleet.until_limits_are_zero(&[0, 1]).await;
    fleet.until_limits_total(&[2, 3, 4], 14).await;
    fleet.run_for_ms(1_500).await;
    fleet.rig.net.heal();
    fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// A zone is cut off from all other nodes and from the replicas, and the clocks of its nodes run slow. Its shares go
/// to the other nodes meanwhile.
#[tokio::test]
async fn shares_of_a_zone_cut_off_with_slow_clocks_go_to_other_nodes() {
    let speeds = vec![0.9, 1.0, 1.0, 0.9, 1.0, 1.0, 1.0, 1.0];
    let fleet = LoadedFleet::start(Plan { seed: 16, drift: 0.12, speeds, ..Plan::default() }).await;
    let zone = fleet.rig.zone("z0");
    let others: Vec<usize> = (0..fleet.rig.procs.len()).filter(|i| !zone.contains(i)).collect();
    assert_eq!(zone, [0, 3]);
    fleet.rig.net.between(&zone, &others, CUT);
    fleet.until_limits_total(&[1, 2, 4], 20).await;
    fleet.run_for_ms(1_000).await;
    fleet.rig.net.heal();
    fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// Grants arrive after they have ended, after later grants, twice or not at all, and released capacity is reported in
/// messages that are lost, while demand moves from one node to another.
#[tokio::test]
async fn capacity_is_not_exceeded_with_late_duplicated_and_lost_messages() {
    let fleet = LoadedFleet::start(Plan { seed: 17, ..Plan::default() }).await;
    let (nodes, replicas) = (fleet.rig.all_nodes(), fleet.rig.keepers());
    let jitter = Duration::from_millis(200);
    let late_by = Duration::from_millis(2_500);
    let faulty_link = Fault { loss: 0.25, twice: 0.3, jitter, late: 0.2, late_by, ..Fault::default() };
    fleet.rig.net.between(&nodes, &replicas, faulty_link);
    for hot in [0, 3, 1, 4, 2] {
        let mut rates = [4.0; 5];
        rates[hot] = 150.0;
        fleet.load.rates(&rates);
        fleet.run_for_ms(1_500).await;
    }
    fleet.rig.net.heal();
    fleet.load.rates(&HIGH_RATES);
    fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    fleet.assert_capacity_never_exceeded().await;
}

/// Calls take longer than a lease lasts, nodes are killed and callers give up. Each call counts against the capacity
/// until it can no longer be running.
#[tokio::test]
async fn calls_that_outlive_their_lease_still_count_against_the_capacity() {
    let budgets = vec![Whole::Slots { slots: 20, longest_ms: 3_000 }];
    let plan = Plan { seed: 18, lease_ms: 500, base_ms: 1_500, budgets, ..Plan::default() };
    let mut fleet = LoadedFleet::start(plan).await;
    for node in [0, 1, 2] {
        fleet.rig.kill(node);
        fleet.run_for_ms(400).await;
        fleet.rig.restart(node);
        fleet.run_for_ms(1_200).await;
    }
    fleet.until_each_limit_is(&fleet.rig.all_nodes(), 3).await;
    fleet.assert_capacity_never_exceeded().await;
}
