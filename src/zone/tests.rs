use super::*;

fn agreed_statuses() -> ZoneStatusMap {
    ZoneStatusMap { epoch: 7, statuses: vec![ZoneStatus::new("a"), ZoneStatus::new("b")] }
}

#[test]
fn an_update_for_another_epoch_changes_nothing() {
    let mut statuses = agreed_statuses();
    let update = |base_epoch| ZoneStatusUpdate {
        base_epoch,
        statuses: vec![
            ZoneStatus { state: ZoneState::Out, weight: 0, ..ZoneStatus::new("a") },
            ZoneStatus::new("b"),
        ],
    };
    for base_epoch in [0, 6, 8] {
        assert!(!statuses.apply(&update(base_epoch)));
    }
    assert_eq!(statuses, agreed_statuses());
    assert!(statuses.apply(&update(7)));
    assert_eq!((statuses.epoch, statuses.get("a").map(|a| a.state)), (8, Some(ZoneState::Out)));
    assert!(!statuses.apply(&update(7)), "the update was applied already");
    assert!((statuses.share_in_use() - 0.5).abs() < 1e-9);
}

#[test]
fn orders_change_the_zone_or_return_the_reason() {
    let mut statuses = agreed_statuses();
    assert_eq!(statuses.apply_order("c", ZoneOrder::Leave), Err(ZoneOrderError::UnknownZone("c".to_owned())));
    assert_eq!(statuses.apply_order("a", ZoneOrder::Leave), Ok(()));
    assert_eq!(
        statuses.get("a"),
        Some(&ZoneStatus {
            state: ZoneState::Out,
            weight: 0,
            order: Some(ZoneOrder::Leave),
            ..ZoneStatus::new("a")
        })
    );
    assert_eq!(
        statuses.apply_order("b", ZoneOrder::Leave),
        Err(ZoneOrderError::LastZoneInUse("b".to_owned()))
    );
    assert_eq!(statuses.apply_order("b", ZoneOrder::Hold), Ok(()));
    assert_eq!(statuses.get("b"), Some(&ZoneStatus { order: Some(ZoneOrder::Hold), ..ZoneStatus::new("b") }));
    assert_eq!(statuses.apply_order("a", ZoneOrder::Return), Ok(()));
    assert_eq!(
        statuses.get("a"),
        Some(&ZoneStatus { state: ZoneState::Probing, weight: 0, ..ZoneStatus::new("a") })
    );
    assert_eq!(statuses.apply_order("b", ZoneOrder::Return), Ok(()));
    assert_eq!(statuses.get("b"), Some(&ZoneStatus::new("b")));
    assert_eq!(statuses.epoch, 11, "each order that is carried out advances the epoch");
}
