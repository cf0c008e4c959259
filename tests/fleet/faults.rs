//! Nodes that are stopped, killed and cut off, and messages that are lost, late and doubled.

use holdlift_lab::rig::net::Fault;

use super::*;

const CUT: Fault = Fault::CUT;

/// A node stopped past its lease spends nothing on it when it goes on amid a burst. Requests pile up in its sockets
/// meanwhile, and it reads them all at once.
#[tokio::test]
async fn a_node_stopped_past_its_lease_spends_nothing_on_it() {
    let s = Scene::start(Plan { seed: 11, ..Plan::default() }).await;
    for _ in 0..2 {
        // Most of the whole is its own when it stops.
        s.load.rates(&mostly_at(0));
        s.lent(&[0], 13).await;
        s.rig.stop(0);
        s.load.rates(&HIGH);
        s.lent(&[1, 2, 3, 4], 20).await;
        s.go_on(500).await;
        s.rig.go_on(0);
        s.each(&s.rig.all_nodes(), 3).await;
    }
    s.held().await;
}

/// A third of the nodes die at once, and their calls go on below.
#[tokio::test]
async fn what_dead_nodes_held_is_free_when_their_leases_have_ended() {
    let mut s = Scene::start(Plan { seed: 12, base_ms: 1_200, ..Plan::default() }).await;
    s.rig.kill(0);
    s.rig.kill(3);
    s.lent(&[1, 2, 4], 20).await;
    s.go_on(1_000).await;
    s.held().await;
}

/// Killed outright, and back under its name within its old lease: what the old process held is not the new one's.
#[tokio::test]
async fn a_node_back_within_its_old_lease_holds_only_its_own() {
    let mut s = Scene::start(Plan { seed: 13, lease_ms: 2_500, base_ms: 1_200, ..Plan::default() }).await;
    for node in [2, 2, 4] {
        s.rig.restart(node);
        s.rig.ready(node).await;
        s.go_on(300).await;
    }
    s.each(&s.rig.all_nodes(), 3).await;
    s.held().await;
}

/// All nodes are killed and started in one second.
#[tokio::test]
async fn all_nodes_restart_at_once() {
    let mut s = Scene::start(Plan { seed: 14, base_ms: 1_200, ..Plan::default() }).await;
    s.rig.all_nodes().into_iter().for_each(|i| s.rig.restart(i));
    s.each(&s.rig.all_nodes(), 3).await;
    s.held().await;
}

/// Cut one way: a node that is not heard, and one that does not hear. Neither spends past its lease; the share of the
/// first is the others', that of the second is renewed in the book and lies idle.
#[tokio::test]
async fn one_way_cuts() {
    let s = Scene::start(Plan { seed: 15, ..Plan::default() }).await;
    let keepers = s.rig.keepers();
    s.rig.net.one_way(&[0], &keepers, CUT);
    s.rig.net.one_way(&keepers, &[1], CUT);
    s.none(&[0, 1]).await;
    s.lent(&[2, 3, 4], 14).await;
    s.go_on(1_500).await;
    s.rig.net.heal();
    s.each(&s.rig.all_nodes(), 3).await;
    s.held().await;
}

/// A zone is cut off from all others, keepers among them, and its nodes' clocks run slow; others have its shares meanwhile.
#[tokio::test]
async fn a_zone_cut_off_whose_clocks_run_slow() {
    let speeds = vec![0.9, 1.0, 1.0, 0.9, 1.0, 1.0, 1.0, 1.0];
    let s = Scene::start(Plan { seed: 16, drift: 0.12, speeds, ..Plan::default() }).await;
    let zone = s.rig.zone("z0");
    let others: Vec<usize> = (0..s.rig.procs.len()).filter(|i| !zone.contains(i)).collect();
    assert_eq!(zone, [0, 3]);
    s.rig.net.between(&zone, &others, CUT);
    s.lent(&[1, 2, 4], 20).await;
    s.go_on(1_000).await;
    s.rig.net.heal();
    s.each(&s.rig.all_nodes(), 3).await;
    s.held().await;
}

/// Grants that come after they have ended, behind their successors, twice or not at all; handing-back that is lost, while
/// demand goes from one node to another.
#[tokio::test]
async fn late_doubled_and_lost_messages() {
    let s = Scene::start(Plan { seed: 17, ..Plan::default() }).await;
    let (nodes, keepers) = (s.rig.all_nodes(), s.rig.keepers());
    let jitter = Duration::from_millis(200);
    let late_by = Duration::from_millis(2_500);
    let bad = Fault { loss: 0.25, twice: 0.3, jitter, late: 0.2, late_by, ..Fault::default() };
    s.rig.net.between(&nodes, &keepers, bad);
    for hot in [0, 3, 1, 4, 2] {
        let mut rates = [4.0; 5];
        rates[hot] = 150.0;
        s.load.rates(&rates);
        s.go_on(1_500).await;
    }
    s.rig.net.heal();
    s.load.rates(&HIGH);
    s.each(&s.rig.all_nodes(), 3).await;
    s.held().await;
}

/// Calls that take longer than a lease lasts, of nodes that die and callers that give up: the whole counts them until they
/// can no longer be running.
#[tokio::test]
async fn calls_that_outlive_their_lease() {
    let budgets = vec![Whole::Slots { slots: 20, longest_ms: 3_000 }];
    let plan = Plan { seed: 18, lease_ms: 500, base_ms: 1_500, budgets, ..Plan::default() };
    let mut s = Scene::start(plan).await;
    for node in [0, 1, 2] {
        s.rig.kill(node);
        s.go_on(400).await;
        s.rig.restart(node);
        s.go_on(1_200).await;
    }
    s.each(&s.rig.all_nodes(), 3).await;
    s.held().await;
}
