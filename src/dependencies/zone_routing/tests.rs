use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::zone::{ZoneState, ZoneStatus, ZoneStatusMap};

/// Endpoints of the zones a, a, b, c and one without a label.
fn routes(b: (ZoneState, u16), c: (ZoneState, u16)) -> ZoneRoutes {
    let names: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
    let status = |zone: &str, (state, weight)| ZoneStatus { state, weight, ..ZoneStatus::new(zone) };
    let mut statuses = ZoneStatusCache::new(Micros(0), names, "a", Micros(1_000));
    statuses.receive_statuses(
        Micros(0),
        &ZoneStatusMap {
            epoch: 1,
            statuses: vec![status("a", (ZoneState::In, FULL_WEIGHT)), status("b", b), status("c", c)],
        },
    );
    let endpoint_zones = vec![vec![Some(0), Some(0), Some(1), Some(2), None]];
    ZoneRoutes::new(
        Rc::new(RefCell::new(statuses)),
        Rc::default(),
        ZoneIndex { endpoint_zones, recovery_budgets: vec![4, 5, 6] },
    )
}

#[test]
fn allowed_endpoints_follow_the_states_of_the_zones() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut allowed = |routes: &ZoneRoutes, exhausted: &[usize]| -> String {
        let flags = routes.allowed_endpoints(TierId(0), 5, exhausted, &mut rng);
        flags.into_iter().map(|flag| if flag { 'x' } else { '.' }).collect()
    };
    assert_eq!(
        allowed(&routes((ZoneState::In, FULL_WEIGHT), (ZoneState::Suspect, FULL_WEIGHT)), &[]),
        "xxxxx"
    );
    assert_eq!(allowed(&routes((ZoneState::Out, 0), (ZoneState::In, FULL_WEIGHT)), &[]), "xx.xx");
    let probing = routes((ZoneState::Probing, 0), (ZoneState::In, FULL_WEIGHT));
    assert_eq!(allowed(&probing, &[]), "..x..", "a probe is sent whenever it is allowed");
    assert_eq!(
        allowed(&probing, &[1]),
        "xx.xx",
        "without room for a probe, calls go to the zones in service"
    );
    assert_eq!(probing.recovery_budget(TierId(0), EndpointId(2)), Some((1, 5)));
    assert_eq!(probing.recovery_budget(TierId(0), EndpointId(3)), None);
    let returning = routes((ZoneState::Returning, 500), (ZoneState::Out, 0));
    let to_returning_zone = (0..1_000).filter(|_| allowed(&returning, &[]) == "..x..").count();
    assert!((100..190).contains(&to_returning_zone), "500 of 3,500: {to_returning_zone}");
    assert_eq!(allowed(&returning, &[1]), "xx..x");
    let zone_call = returning.call_started(TierId(0), EndpointId(2)).expect("the endpoint has a zone");
    returning.call_ended(zone_call, Some(Outcome::Bad));
    assert_eq!(
        returning.call_started(TierId(0), EndpointId(4)),
        None,
        "an endpoint without a zone is not counted"
    );
}
