//! What an operator says goes before evidence, is in the book and outlives restarts.

use super::*;

#[tokio::test]
async fn leave_return_and_hold() {
    let mut s = Scene::start(plan(71)).await;
    let (done, said) = s.rig.command(0, &["leave", "z1"]).await;
    assert!(done, "{said}");
    s.all(&s.rig.all_nodes(), 1, "out").await;
    // All keepers and a node restart: the order stands.
    let keepers = s.rig.keepers();
    keepers.iter().for_each(|k| s.rig.restart(*k));
    s.rig.restart(2);
    s.rig.ready(2).await;
    s.one(2, 1, "out").await;
    s.go_on(3_000).await;
    s.all(&s.rig.all_nodes(), 1, "out").await;
    let (done, said) = s.rig.command(2, &["return", "z1"]).await;
    assert!(done, "{said}");
    s.all(&s.rig.all_nodes(), 1, "in").await;
    let (done, said) = s.rig.command(4, &["hold", "z1"]).await;
    assert!(done, "{said}");
    s.rig.tiers[1].be(Mood::Errors);
    s.go_on(3_000).await;
    assert_eq!(s.rig.life(0, 1).await.as_deref(), Some("in"), "held");
    let (_, said) = s.rig.command(0, &["zones"]).await;
    assert!(said.contains("z1") && said.contains("hold"), "{said}");
    assert!(s.rig.command(0, &["return", "z1"]).await.0);
    s.all(&s.rig.all_nodes(), 1, "out").await;
}

#[tokio::test]
async fn the_last_zone_is_not_left() {
    let s = Scene::start(plan(72)).await;
    for zone in ["z0", "z1"] {
        let (done, said) = s.rig.command(0, &["leave", zone]).await;
        assert!(done, "{said}");
    }
    let (done, said) = s.rig.command(0, &["leave", "z2"]).await;
    assert!(!done && said.contains("last zone in"), "{said}");
    let (done, said) = s.rig.command(0, &["leave", "z9"]).await;
    assert!(!done && said.contains("no zone"), "{said}");
    s.one(0, 2, "in").await;
}
