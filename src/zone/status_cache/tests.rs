use super::*;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn agreed_statuses(epoch: u64, state: ZoneState, weight: u16) -> ZoneStatusMap {
    ZoneStatusMap {
        epoch,
        statuses: vec![ZoneStatus { state, weight, ..ZoneStatus::new("a") }, ZoneStatus::new("b")],
    }
}

/// Statuses that another process of the node received apply for as long as they would there.
#[test]
fn statuses_received_earlier_elsewhere_apply_for_the_rest_of_their_time() {
    let names = vec!["a".to_owned(), "b".to_owned()];
    let mut cache = ZoneStatusCache::new(ms(0), names, "a", ms(1_000));
    assert_eq!(cache.received(ms(1_000)), None);
    cache.receive_statuses(ms(400), &agreed_statuses(7, ZoneState::Out, 0));
    assert_eq!(cache.received(ms(1_000)).map(|(statuses, age)| (statuses.epoch, age)), Some((7, ms(600))));
    assert!(!cache.is_stale(ms(1_399)) && cache.is_stale(ms(1_400)));
    // What is heard here lasts longer, and is not cut short by what was heard elsewhere before.
    cache.receive_statuses(ms(900), &agreed_statuses(7, ZoneState::Out, 0));
    cache.receive_statuses(ms(500), &agreed_statuses(7, ZoneState::Out, 0));
    assert!(!cache.is_stale(ms(1_899)) && cache.is_stale(ms(1_900)));
}

#[test]
fn access_follows_the_agreed_statuses_until_they_are_stale() {
    let names = vec!["a".to_owned(), "b".to_owned()];
    let mut cache = ZoneStatusCache::new(ms(0), names, "a", ms(1_000));
    assert_eq!(cache.access(ms(1), 0), (ZoneAccess::Open, FULL_WEIGHT), "no status was received yet");
    let table = [
        (ZoneState::In, FULL_WEIGHT, ZoneAccess::Open, FULL_WEIGHT, false),
        (ZoneState::Suspect, FULL_WEIGHT, ZoneAccess::Open, FULL_WEIGHT, false),
        (ZoneState::Out, 0, ZoneAccess::Closed, 0, true),
        (ZoneState::Probing, 0, ZoneAccess::Budgeted, 1, true),
        (ZoneState::Returning, 400, ZoneAccess::Budgeted, 400, true),
        (ZoneState::Returning, 500, ZoneAccess::Budgeted, 500, false),
    ];
    for (epoch, (state, weight, access, share, is_out)) in (1u64..).zip(table) {
        cache.receive_statuses(ms(10), &agreed_statuses(epoch, state, weight));
        assert_eq!(
            (cache.access(ms(11), 0), cache.is_own_zone_out(ms(11))),
            ((access, share), is_out),
            "{state}"
        );
        assert_eq!(cache.access(ms(11), 1), (ZoneAccess::Open, FULL_WEIGHT));
    }
    assert_eq!(
        cache.receive_statuses(ms(20), &agreed_statuses(3, ZoneState::Out, 0)),
        [],
        "an older epoch changes nothing"
    );
    assert_eq!(cache.access(ms(21), 0), (ZoneAccess::Budgeted, 500));
    assert_eq!(cache.receive_statuses(ms(30), &agreed_statuses(7, ZoneState::Out, 0)).len(), 1);
    assert_eq!(
        (cache.access(ms(1_029), 0).0, cache.take_staleness_change(ms(1_029))),
        (ZoneAccess::Closed, None)
    );
    assert_eq!(
        (cache.access(ms(1_030), 0).0, cache.is_own_zone_out(ms(1_030))),
        (ZoneAccess::Open, false),
        "stale statuses do not restrict access"
    );
    assert_eq!(
        (cache.take_staleness_change(ms(1_030)), cache.take_staleness_change(ms(1_031))),
        (Some(true), None),
        "the staleness is reported once"
    );
    cache.receive_statuses(ms(1_040), &agreed_statuses(7, ZoneState::Out, 0));
    assert_eq!(
        (cache.access(ms(1_041), 0).0, cache.take_staleness_change(ms(1_041))),
        (ZoneAccess::Closed, Some(false))
    );
}
