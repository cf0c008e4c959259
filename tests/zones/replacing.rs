//! A node's process is replaced while its zone is out of service.

use super::*;

/// A successor took its zone to be in service until it heard from a replica: it answered health checks as good, and reported the
/// node as open. Here it hears from no replica at all, so that it knows what the process before it knew or nothing.
#[tokio::test]
async fn a_successor_knows_that_its_zone_is_out_of_service() {
    let zoned = Some(Zoned { trust_ms: 60_000, ..zone_plan() });
    let mut fleet = ZonedFleet::start(Plan { zoned, ..plan(73) }).await;
    let (done, output) = fleet.rig.command(0, &["leave", "z1"]).await;
    assert!(done, "{output}");
    fleet.until_all_see(&fleet.rig.all_nodes(), 1, "out").await;
    let node = fleet.rig.zone("z1")[0];
    let replicas = fleet.rig.keepers();
    fleet.rig.net.between(&[node], &replicas, CUT);
    for replacement in 1..=2 {
        fleet.rig.replace(node).await;
        let state = fleet.rig.life(node, 1).await;
        assert_eq!(state.as_deref(), Some("out"), "known to the process of replacement {replacement}");
        let callers = fleet.rig.procs[node].callers.expect("a node has callers");
        for id in 1..=5 {
            let is_healthy = Caller::connect(callers).await.health(id).await;
            assert!(!is_healthy, "the node is out of service, after replacement {replacement}");
        }
    }
    // It hears from the replicas again, and follows them.
    fleet.rig.net.heal();
    assert!(fleet.rig.command(0, &["return", "z1"]).await.0);
    fleet.until_all_see(&[node], 1, "in").await;
}
