//! Membership of 60 to 150 nodes, by the decision code on a simulated network in virtual time. Every node must know
//! every other one after a start, after kills and after a partition between two regions, and the traffic of each node
//! stays bounded.

use holdlift_lab::scale::members_net::{Net, Repair, Start};

/// Bytes that a node may send and receive for membership in any second.
const MAX_NODE_BYTES_PER_S: u64 = 30_000;

fn fleet(nodes: usize, lost_per_mille: u32, repair: Repair) -> Net {
    Net::new(Start { nodes, within_ms: 10_000, lost: lost_per_mille, repair, seed: 7 })
}

fn converged_fleet(nodes: usize, lost_per_mille: u32) -> Net {
    let mut net = fleet(nodes, lost_per_mille, Repair::Carried);
    let converged_after_ms = net.until_whole(500, 30_000);
    assert!(
        converged_after_ms.is_some(),
        "{nodes} nodes, {lost_per_mille} of 1000 datagrams lost: not converged 20 s after the last start: {:?}",
        net.census()
    );
    net
}

/// Gossip alone leaves a few nodes without some members, and no later gossip mentions these members. Repair messages
/// close the gap.
#[test]
fn every_node_knows_all_members_within_20_s_of_the_last_start() {
    for lost_per_mille in [0, 50] {
        let mut net = converged_fleet(150, lost_per_mille);
        let carried = net.carried();
        assert!(
            carried.node_peak < MAX_NODE_BYTES_PER_S,
            "{lost_per_mille} of 1000 datagrams lost: {carried:?}"
        );
        net.run(20_000);
        net.carried();
        net.run(10_000);
        let idle = net.carried();
        assert!(net.census().whole(), "{lost_per_mille} of 1000 datagrams lost: {:?}", net.census());
        assert!(
            lost_per_mille > 0 || idle.bytes < 153 * 10 * 600,
            "a converged fleet sends at most 600 bytes a second per member: {idle:?}"
        );
    }
}

/// Gossip repeats each change a bounded number of times, which does not reach every node. Without repair messages the
/// test above would fail.
#[test]
fn gossip_without_repair_leaves_some_members_unknown() {
    let mut net = fleet(150, 0, Repair::Lost);
    net.run(60_000);
    let census = net.census();
    assert!(census.unknown > 0, "{census:?}");
}

/// Half of the nodes run a version that drops the unknown repair messages; all nodes learn all members nevertheless.
#[test]
fn a_fleet_with_nodes_that_drop_repair_messages_converges() {
    let mut net = fleet(60, 10, Repair::HalfKnowIt);
    let converged_after_ms = net.until_whole(500, 120_000);
    assert!(converged_after_ms.is_some(), "{:?}", net.census());
}

/// Partitions of 180 s and 30 s: longer and shorter than the time for which absent members are remembered.
#[test]
fn regions_know_each_other_again_after_a_partition() {
    for (cut_ms, most_ms) in [(180_000, 60_000), (30_000, 60_000)] {
        let mut net = converged_fleet(150, 10);
        net.cut(true);
        net.run(cut_ms);
        assert!(
            cut_ms < 60_000 || net.census().whole(),
            "each region must know exactly its own members: {:?}",
            net.census()
        );
        net.carried();
        net.cut(false);
        let converged_after_ms = net.until_whole(500, most_ms);
        assert!(converged_after_ms.is_some(), "after a cut of {cut_ms} ms: {:?}", net.census());
        net.run(20_000);
        let carried = net.carried();
        assert!(carried.node_peak < MAX_NODE_BYTES_PER_S, "after a cut of {cut_ms} ms: {carried:?}");
        assert!(net.census().whole(), "after a cut of {cut_ms} ms: {:?}", net.census());
    }
}

/// All nodes learn that the killed ones are down, and no later message adds them again.
#[test]
fn killed_nodes_are_removed_at_all_others_and_stay_removed() {
    let mut net = converged_fleet(150, 10);
    net.kill(25);
    let converged_after_ms = net.until_whole(500, 60_000);
    assert!(converged_after_ms.is_some(), "{:?}", net.census());
    // Longer than the time for which absent members are remembered.
    net.run(90_000);
    assert!(net.census().whole(), "{:?}", net.census());
}
