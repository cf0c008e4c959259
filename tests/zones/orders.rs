//! Operators' zone orders: they override the evidence, are kept in the ledger and survive restarts.

use super::*;

#[tokio::test]
async fn leave_return_and_hold_orders_override_evidence_and_survive_restarts() {
    let mut fleet = ZonedFleet::start(plan(71)).await;
    let (done, output) = fleet.rig.command(0, &["leave", "z1"]).await;
    assert!(done, "{output}");
    fleet.until_all_see(&fleet.rig.all_nodes(), 1, "out").await;
    // The order stays in force when all replicas and a node restart.
    let replicas = fleet.rig.keepers();
    replicas.iter().for_each(|k| fleet.rig.restart(*k));
    fleet.rig.restart(2);
    fleet.rig.ready(2).await;
    fleet.until_one_sees(2, 1, "out").await;
    fleet.run_for_ms(3_000).await;
    fleet.until_all_see(&fleet.rig.all_nodes(), 1, "out").await;
    let (done, output) = fleet.rig.command(2, &["return", "z1"]).await;
    assert!(done, "{output}");
    fleet.until_all_see(&fleet.rig.all_nodes(), 1, "in").await;
    let (done, output) = fleet.rig.command(4, &["hold", "z1"]).await;
    assert!(done, "{output}");
    fleet.rig.tiers[1].be(Mood::Errors);
    fleet.run_for_ms(3_000).await;
    assert_eq!(
        fleet.rig.life(0, 1).await.as_deref(),
        Some("in"),
        "a held zone stays in while its service fails"
    );
    let (_, output) = fleet.rig.command(0, &["zones"]).await;
    assert!(output.contains("z1") && output.contains("hold"), "{output}");
    assert!(fleet.rig.command(0, &["return", "z1"]).await.0);
    fleet.until_all_see(&fleet.rig.all_nodes(), 1, "out").await;
}

#[tokio::test]
async fn a_leave_order_for_the_last_zone_in_or_an_unknown_zone_is_rejected() {
    let fleet = ZonedFleet::start(plan(72)).await;
    for zone in ["z0", "z1"] {
        let (done, output) = fleet.rig.command(0, &["leave", zone]).await;
        assert!(done, "{output}");
    }
    let (done, output) = fleet.rig.command(0, &["leave", "z2"]).await;
    assert!(!done && output.contains("last zone in"), "{output}");
    let (done, output) = fleet.rig.command(0, &["leave", "z9"]).await;
    assert!(!done && output.contains("no zone"), "{output}");
    fleet.until_one_sees(0, 2, "in").await;
}
