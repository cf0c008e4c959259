use super::*;
use crate::zone::ZoneOrder;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn evaluator() -> ZoneHealthEvaluator {
    ZoneHealthEvaluator::new(EvaluatorSettings {
        zones: ZONES.map(str::to_owned).to_vec(),
        max_out_share: 0.34,
        first_out_duration: Micros::from_millis(2_000),
        max_out_duration: Micros::from_millis(60_000),
        return_step: Micros::from_millis(1_000),
        returns_at_full_weight: false,
    })
}

/// One node's calls to each zone: percentage of failed calls, and time of the successful ones, ms.
type ZoneCalls = [(u32, u32); 3];
const HEALTHY: ZoneCalls = [(0, 20), (0, 20), (0, 20)];

fn report(seen: ZoneCalls) -> Vec<ZoneHealthReport> {
    let report_zone = |(zone, (failed_percent, ms)): (&str, (u32, u32))| ZoneHealthReport {
        zone: zone.to_owned(),
        calls: 30,
        failed: 30 * failed_percent / 100,
        mean_us: if failed_percent < 100 { ms * 1_000 } else { 0 },
    };
    ZONES.into_iter().zip(seen).map(report_zone).collect()
}

/// Runs two nodes per zone for `ms`. `seen` returns the calls of a node, by zone and node; `None` for one that sends no
/// report. Returns the time at the end.
fn run_for(
    evaluator: &mut ZoneHealthEvaluator,
    agreed: &mut ZoneStatusMap,
    from: u64,
    ms: u64,
    seen: impl Fn(usize, usize) -> Option<ZoneCalls>,
) -> u64 {
    for t in (from..from + ms).step_by(100) {
        let now = Micros::from_millis(t);
        for (zone, name) in ZONES.iter().enumerate() {
            for node in 0..2 {
                if let Some(seen) = seen(zone, node) {
                    evaluator.record_report(now, &format!("{name}{node}"), name, &report(seen));
                }
            }
        }
        if let Some((update, _)) = evaluator.evaluate(now, agreed) {
            assert!(agreed.apply(&update));
        }
    }
    from + ms
}

fn states(agreed: &ZoneStatusMap) -> Vec<ZoneState> {
    ZONES.iter().map(|zone| agreed.get(zone).expect("each zone has an agreed status").state).collect()
}

#[test]
fn failing_and_isolated_zones_are_taken_out_by_the_nodes_reports() {
    use ZoneState::{In, Out, Suspect};
    let dead = |zone: usize| {
        let mut seen = HEALTHY;
        seen[zone] = (100, 0);
        seen
    };
    let with = |zone: usize, calls| {
        let mut seen = HEALTHY;
        seen[zone] = calls;
        seen
    };
    type Case<'a> = (&'a str, Box<dyn Fn(usize, usize) -> Option<ZoneCalls>>, [ZoneState; 3]);
    let cases: Vec<Case> = vec![
        ("all zones are healthy", Box::new(|_, _| Some(HEALTHY)), [In, In, In]),
        ("a and its nodes are dead", Box::new(move |zone, _| (zone != 0).then(|| dead(0))), [Out, In, In]),
        ("a is dead, its nodes still report", Box::new(move |_, _| Some(dead(0))), [Out, In, In]),
        ("a is 4.6 times slower", Box::new(move |_, _| Some(with(0, (0, 92)))), [Out, In, In]),
        ("one call to b in five fails", Box::new(move |_, _| Some(with(1, (20, 20)))), [In, Out, In]),
        (
            "one observer has a bad link",
            Box::new(move |zone, node| {
                Some(if (zone, node) == (0, 0) { [(0, 20), (100, 0), (90, 20)] } else { HEALTHY })
            }),
            [In, In, In],
        ),
        ("a common service fails", Box::new(|_, _| Some([(60, 20), (60, 20), (60, 20)])), [In, In, In]),
        (
            "all zones are slow, at 110% load",
            Box::new(|_, _| Some([(5, 900), (8, 1_100), (6, 700)])),
            [In, In, In],
        ),
        (
            "b fails for a and is healthy for c",
            Box::new(move |zone, _| Some(if zone == 0 { dead(1) } else { HEALTHY })),
            [In, In, In],
        ),
        (
            "a and b can't reach each other",
            Box::new(move |zone, _| {
                Some(match zone {
                    0 => dead(1),
                    1 => dead(0),
                    _ => HEALTHY,
                })
            }),
            [In, In, In],
        ),
        (
            "calls from and to a fail, its reports arrive",
            Box::new(move |zone, _| Some(if zone == 0 { [(0, 20), (100, 0), (100, 0)] } else { dead(0) })),
            [Out, In, In],
        ),
        (
            "calls from a fail, calls to a succeed",
            Box::new(|zone, _| Some(if zone == 0 { [(0, 20), (100, 0), (100, 0)] } else { HEALTHY })),
            [Out, In, In],
        ),
        (
            "two zones fail, only one may be taken out",
            Box::new(|_, _| Some([(100, 0), (50, 20), (0, 20)])),
            [Out, Suspect, In],
        ),
        (
            "the nodes of a send no report during a restart",
            Box::new(|zone, _| (zone != 0).then_some(HEALTHY)),
            [In, In, In],
        ),
    ];
    for (case, seen, expected) in cases {
        let (mut evaluator, mut agreed) = (evaluator(), ZoneStatusMap::default());
        let at = run_for(&mut evaluator, &mut agreed, 1_000, 1_000, |_, _| Some(HEALTHY));
        assert_eq!(states(&agreed), [In, In, In]);
        run_for(&mut evaluator, &mut agreed, at, 1_200, seen);
        assert_eq!(states(&agreed), expected, "{case}");
    }
}

#[test]
fn a_zone_returns_by_steps_and_stays_out_longer_after_each_failure() {
    let (mut evaluator, mut agreed) = (evaluator(), ZoneStatusMap::default());
    let mut dead = HEALTHY;
    dead[2] = (100, 0);
    let at = run_for(&mut evaluator, &mut agreed, 1_000, 2_000, |_, _| Some(dead));
    assert_eq!(
        agreed.get("c").map(|status| (status.state, status.weight, status.consecutive_failures)),
        Some((ZoneState::Out, 0, 1))
    );
    let at = run_for(&mut evaluator, &mut agreed, at, 2_600, |_, _| Some(HEALTHY));
    assert_eq!(agreed.get("c").map(|status| status.state), Some(ZoneState::Returning));
    // At a third of its speed the zone keeps the weight that the speed supports.
    let slow = [(0, 20), (0, 20), (0, 60)];
    let at = run_for(&mut evaluator, &mut agreed, at, 8_000, |_, _| Some(slow));
    assert_eq!(
        agreed.get("c").map(|status| (status.state, status.weight)),
        Some((ZoneState::Returning, 300))
    );
    let strained = [(0, 20), (0, 20), (15, 60)];
    let at = run_for(&mut evaluator, &mut agreed, at, 1_000, |_, _| Some(strained));
    assert_eq!(
        agreed.get("c").map(|status| (status.state, status.weight)),
        Some((ZoneState::Returning, 150))
    );
    let at = run_for(&mut evaluator, &mut agreed, at, 300, |_, _| Some(dead));
    assert_eq!(
        agreed.get("c").map(|status| (status.state, status.consecutive_failures)),
        Some((ZoneState::Out, 2)),
        "c is out again"
    );
    let at = run_for(&mut evaluator, &mut agreed, at, 2_700, |_, _| Some(HEALTHY));
    assert_eq!(
        agreed.get("c").map(|status| status.state),
        Some(ZoneState::Out),
        "c stays out for longer than the first time"
    );
    let at = run_for(&mut evaluator, &mut agreed, at, 12_000, |_, _| Some(HEALTHY));
    assert_eq!(
        agreed.get("c").map(|status| (status.state, status.weight)),
        Some((ZoneState::In, FULL_WEIGHT))
    );
    // An operator's order takes precedence over observations.
    agreed.apply_order("a", ZoneOrder::Leave).expect("two other zones are in use");
    let at = run_for(&mut evaluator, &mut agreed, at, 9_000, |_, _| Some(HEALTHY));
    assert_eq!(states(&agreed), [ZoneState::Out, ZoneState::In, ZoneState::In]);
    agreed.apply_order("c", ZoneOrder::Hold).expect("the zone exists");
    let at = run_for(&mut evaluator, &mut agreed, at, 2_000, |_, _| Some(dead));
    assert_eq!(states(&agreed), [ZoneState::Out, ZoneState::In, ZoneState::In]);
    agreed.apply_order("a", ZoneOrder::Return).expect("the zone exists");
    run_for(&mut evaluator, &mut agreed, at, 10_000, |_, _| Some(HEALTHY));
    assert_eq!(states(&agreed), [ZoneState::In, ZoneState::In, ZoneState::In]);
}
