//! The dependency client without sockets: where calls go, what they fall back on, and properties that hold for any order
//! of events.

use std::net::SocketAddr;

use bytes::Bytes;
use holdlift::dependencies::call_plan::{CallPlan, CallPlans, Fallback, RetrySettings, TierId, TierSettings};
use holdlift::dependencies::circuit_breaker::{CircuitBreaker, CircuitBreakerSettings, CircuitState};
use holdlift::dependencies::concurrency_limit::{
    ConcurrencyLimit, ConcurrencyLimitSettings, CongestionSignal,
};
use holdlift::dependencies::latency_window::LatencyWindow;
use holdlift::dependencies::load_balancer::{EndpointId, EndpointPool, OutlierEjectionSettings};
use holdlift::dependencies::retry_budget::RetryBudget;
use holdlift::dependencies::{AttemptId, CallAction, CallIndex, CallRequest, DependencyClient};
use holdlift::{Micros, Outcome};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn ms(x: u64) -> Micros {
    Micros::from_millis(x)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn tier(name: &str, ports: &[u16]) -> TierSettings {
    TierSettings::unlimited(name, ports.iter().map(|port| address(*port)).collect())
}

fn call(tier: usize, fallbacks: Vec<Fallback>) -> CallPlan {
    CallPlan { tier: TierId(tier), time_share: 0.5, time_cap: ms(800), fallbacks, has_effect: false }
}

fn plans(tiers: Vec<TierSettings>, calls: Vec<CallPlan>) -> CallPlans {
    let default_plan = call(0, Vec::new());
    CallPlans { tiers, classes: vec![calls], prefetch: Vec::new(), default_plan }
}

/// A dependency client with a clock that the test advances.
struct Harness {
    client: DependencyClient,
    now: Micros,
    last_ticket: u64,
}

impl Harness {
    fn new(plans: CallPlans) -> Harness {
        Harness { client: DependencyClient::new(ms(1_000), plans, 7), now: ms(1_000), last_ticket: 0 }
    }

    fn start_call(&mut self, at_most_once: bool) -> (u64, Vec<CallAction>) {
        self.last_ticket += 1;
        let request = CallRequest {
            ticket: self.last_ticket,
            class: 0,
            index: CallIndex::Run(0),
            deadline: self.now + ms(1_000),
            at_most_once,
            is_retry: false,
        };
        let mut out = Vec::new();
        self.client.start_call(self.now, request, &mut out);
        (self.last_ticket, out)
    }

    fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) -> Vec<CallAction> {
        let mut out = Vec::new();
        self.client.attempt_ended(self.now, id, outcome, Bytes::from_static(b"reply"), &mut out);
        out
    }

    fn advance(&mut self, span: u64) -> Vec<CallAction> {
        self.now = self.now + ms(span);
        let mut out = Vec::new();
        self.client.run_due_timers(self.now, &mut out);
        out
    }
}

/// The attempts that the actions start: id, port and timeout.
fn attempts(actions: &[CallAction]) -> Vec<(AttemptId, u16, Micros)> {
    let started = |action: &CallAction| match action {
        CallAction::StartAttempt { attempt, address, timeout, .. } => {
            Some((*attempt, address.port(), *timeout))
        }
        _ => None,
    };
    actions.iter().filter_map(started).collect()
}

/// The outcome and reply of the call that the actions finish, if any.
fn finished(actions: &[CallAction]) -> Option<(Outcome, &[u8])> {
    actions.iter().find_map(|action| {
        if let CallAction::CallFinished { outcome, body, .. } = action {
            Some((*outcome, &body[..]))
        } else {
            None
        }
    })
}

/// The platform's plan: one attempt, for as long as the decision module allows, and its outcome is passed on unchanged.
#[test]
fn the_platform_plan_makes_one_attempt_at_the_ledger() {
    for end in [Outcome::Good, Outcome::Full, Outcome::Bad, Outcome::Late, Outcome::Moot, Outcome::Reset] {
        let mut harness = Harness::new(CallPlans::platform(Some(address(1))));
        let (_, out) = harness.start_call(end == Outcome::Bad);
        let all = attempts(&out);
        assert_eq!((all.len(), all[0].1, all[0].2), (1, 1, ms(1_000)));
        assert!(harness.advance(999).is_empty());
        let out = harness.end_attempt(all[0].0, end);
        assert!(attempts(&out).is_empty() && harness.client.open_calls() == 0);
        assert_eq!(finished(&out).map(|d| d.0), Some(end));
    }
    let (_, out) = Harness::new(CallPlans::platform(None)).start_call(false);
    assert_eq!(finished(&out), Some((Outcome::Unreachable, &b""[..])));
}

#[test]
fn replaced_endpoints_apply_to_new_calls_only() {
    let mut harness = Harness::new(CallPlans::platform(Some(address(1))));
    let (_, first) = harness.start_call(false);
    harness.client.set_tier_endpoints(TierId(0), &[address(2)]);
    assert_eq!(attempts(&harness.start_call(false).1)[0].1, 2);
    assert_eq!(
        finished(&harness.end_attempt(attempts(&first)[0].0, Outcome::Good)),
        Some((Outcome::Good, &b"reply"[..]))
    );
}

#[test]
fn fallbacks_are_taken_in_the_order_of_the_plan() {
    let chain = vec![
        Fallback::CachedReply(ms(5_000)),
        Fallback::Tier(TierId(1)),
        Fallback::Fixed(Bytes::from_static(b"none")),
    ];
    let mut harness = Harness::new(plans(vec![tier("a", &[1]), tier("b", &[2])], vec![call(0, chain)]));
    // The first tier has half of the 1 s that is left; after that the next fallback is taken at once.
    let (_, out) = harness.start_call(false);
    assert_eq!(attempts(&out)[0].2, ms(500));
    let out = harness.advance(500);
    assert!(matches!(out[0], CallAction::CancelAttempt(_)));
    assert_eq!(attempts(&out)[0].1, 2, "no good reply is cached yet");
    let out = harness.end_attempt(attempts(&out)[0].0, Outcome::Full);
    assert_eq!(finished(&out), Some((Outcome::Good, &b"none"[..])));
    let (_, out) = harness.start_call(false);
    harness.end_attempt(attempts(&out)[0].0, Outcome::Good);
    let (_, out) = harness.start_call(false);
    assert_eq!(
        finished(&harness.end_attempt(attempts(&out)[0].0, Outcome::Bad)),
        Some((Outcome::Good, &b"reply"[..]))
    );
    harness.advance(6_000);
    let (_, out) = harness.start_call(false);
    assert_eq!(
        attempts(&harness.end_attempt(attempts(&out)[0].0, Outcome::Bad))[0].1,
        2,
        "the cached reply is too old"
    );
}

/// The client ends a prefetch call at its deadline, with a fallback that takes no time if there is one; it leaves a run's
/// call to the core.
#[test]
fn a_prefetch_call_ends_at_its_deadline() {
    let fixed = || Fallback::Fixed(Bytes::from_static(b"flat"));
    for (index, fallbacks, expected) in [
        (CallIndex::Prefetch(0), vec![fixed()], Some((Outcome::Good, &b"flat"[..]))),
        (
            CallIndex::Prefetch(0),
            vec![Fallback::Tier(TierId(1)), fixed()],
            Some((Outcome::Good, &b"flat"[..])),
        ),
        (CallIndex::Prefetch(0), vec![Fallback::Tier(TierId(1))], Some((Outcome::Late, &b""[..]))),
        (CallIndex::Prefetch(0), vec![], Some((Outcome::Late, &b""[..]))),
        (CallIndex::Run(0), vec![fixed()], None),
    ] {
        let what = format!("{index:?} {fallbacks:?}");
        let mut harness = Harness::new(plans(vec![tier("a", &[1]), tier("b", &[2])], vec![call(0, vec![])]));
        let mut out = Vec::new();
        let plan = CallPlan { time_share: 1.0, ..call(0, fallbacks) };
        let request = CallRequest {
            ticket: 9,
            class: 0,
            index,
            deadline: harness.now + ms(400),
            at_most_once: false,
            is_retry: false,
        };
        harness.client.start_call_with_plan(harness.now, request, plan, &mut out);
        assert_eq!(attempts(&out).len(), 1, "{what}");
        assert!(harness.advance(399).is_empty(), "{what}");
        let out = harness.advance(1);
        assert_eq!(finished(&out), expected, "{what}");
        assert_eq!(
            out.iter().any(|s| matches!(s, CallAction::CancelAttempt(_))),
            expected.is_some(),
            "{what}"
        );
        assert_eq!(harness.client.open_calls(), usize::from(expected.is_none()), "{what}");
    }
}

/// A call with a side effect has no fallback, no hedged attempt and no retry, unless the connection was refused.
#[test]
fn a_call_with_a_side_effect_is_sent_once() {
    let generous_retries = RetrySettings { attempts_max: 3, share: 1.0, burst: 10.0, hedge: Some(0.5) };
    for (end, is_retry) in
        [(Outcome::Unreachable, true), (Outcome::Full, false), (Outcome::Bad, false), (Outcome::Reset, false)]
    {
        let a = TierSettings { retry: generous_retries, ..tier("a", &[1, 2, 3]) };
        let mut harness = Harness::new(plans(vec![a], vec![call(0, vec![Fallback::Fixed(Bytes::new())])]));
        for _ in 0..60 {
            let (_, out) = harness.start_call(false);
            harness.end_attempt(attempts(&out)[0].0, Outcome::Good);
        }
        let (_, out) = harness.start_call(true);
        assert!(attempts(&harness.advance(400)).is_empty(), "a call with a side effect is not hedged");
        let out = harness.end_attempt(attempts(&out)[0].0, end);
        assert_eq!(
            (attempts(&out).len(), finished(&out).is_none()),
            (usize::from(is_retry), is_retry),
            "{end:?}"
        );
        let in_doubt = harness.client.counters().next().expect("the plans have a tier").1.in_doubt;
        assert_eq!(in_doubt, u64::from(matches!(end, Outcome::Bad | Outcome::Reset)));
    }
}

/// A fallback tier is bounded by its own concurrency limit: at the limit the next fallback is taken, and no call waits.
#[test]
fn a_fallback_tier_at_its_limit_is_skipped() {
    let limit = ConcurrencyLimitSettings { initial: 2.0, minimum: 2.0, maximum: 2.0, tolerance: 2.0 };
    let b = TierSettings { limit, ..tier("b", &[2]) };
    let chain = vec![Fallback::Tier(TierId(1)), Fallback::Fixed(Bytes::from_static(b"none"))];
    let mut harness = Harness::new(plans(vec![tier("a", &[1]), b], vec![call(0, chain)]));
    let mut fallback_attempts = 0;
    for _ in 0..5 {
        let (_, out) = harness.start_call(false);
        let out = harness.end_attempt(attempts(&out)[0].0, Outcome::Unreachable);
        fallback_attempts += attempts(&out).len();
        assert!(!attempts(&out).is_empty() || finished(&out) == Some((Outcome::Good, &b"none"[..])));
    }
    assert_eq!(fallback_attempts, 2);
}

#[test]
fn circuit_breaker_opens_probes_and_closes() {
    let s = CircuitBreakerSettings {
        failure_share: Some(0.5),
        min_calls: 4,
        window: ms(1_000),
        open_duration: ms(100),
        open_duration_max: ms(300),
        probes: 2,
    };
    let mut b = CircuitBreaker::new(ms(0), s);
    for i in 0..3 {
        assert_eq!(b.call_ended(ms(i), true), None);
    }
    let change = b.call_ended(ms(3), true).expect("the fourth failure opens the breaker");
    assert_eq!((change.to, change.calls, change.failed), (CircuitState::Open, 4, 4));
    assert!(!b.check(ms(102)).0);
    // Each failed probe doubles the open duration, up to its maximum.
    for (now, open_for) in [(103, 200), (303, 300), (603, 300)] {
        assert_eq!(b.check(ms(now)).1.map(|c| c.to), Some(CircuitState::HalfOpen));
        b.call_started();
        b.call_ended(ms(now), true);
        assert!(!b.check(ms(now + open_for - 1)).0 && b.state() == CircuitState::Open);
    }
    assert!(b.check(ms(903)).0);
    for _ in 0..2 {
        assert!(b.check(ms(903)).0);
        b.call_started();
    }
    assert!(!b.check(ms(903)).0, "at most two probes are in flight");
    assert_eq!(b.call_ended(ms(904), false), None);
    assert_eq!(b.call_ended(ms(905), false).map(|c| c.to), Some(CircuitState::Closed));
    // Failures that have left the window do not count.
    for i in 0..20 {
        assert_eq!(b.call_ended(ms(2_000 * (i + 1)), true), None);
    }
}

#[test]
fn ejection_keeps_the_minimum_share_of_endpoints() {
    let outlier_ejection = OutlierEjectionSettings {
        consecutive_failures: Some(3),
        base_duration: ms(1_000),
        min_available_share: 0.5,
    };
    let all: Vec<SocketAddr> = (1..=4).map(address).collect();
    let mut e = EndpointPool::new(&all, outlier_ejection);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for id in (0..4).map(EndpointId) {
        for _ in 0..5 {
            e.call_started(ms(10), id);
            e.call_ended(ms(10), id, ms(1), Outcome::Bad);
        }
    }
    assert_eq!(e.counts(ms(10)), (2, 4), "half of the endpoints are never ejected");
    for _ in 0..100 {
        let id = e.choose(ms(10), &[], None, &mut rng).expect("the collection is not empty");
        assert!(id.0 >= 2);
        assert_ne!(e.choose(ms(10), &[EndpointId(2)], None, &mut rng), Some(EndpointId(2)));
    }
    assert_eq!(e.counts(ms(1_010)), (4, 4));
    // A slow endpoint gets fewer calls; failing fast does not attract any.
    let mut e = EndpointPool::new(
        &all[..2],
        OutlierEjectionSettings { consecutive_failures: None, ..outlier_ejection },
    );
    for _ in 0..20 {
        e.call_ended(ms(1), EndpointId(0), ms(10), Outcome::Good);
        e.call_ended(ms(1), EndpointId(1), ms(50), Outcome::Good);
        e.call_ended(ms(1), EndpointId(1), ms(1), Outcome::Bad);
    }
    let first = (0..400).filter(|_| e.choose(ms(2), &[], None, &mut rng) == Some(EndpointId(0))).count();
    assert!((260..340).contains(&first), "expected about three of four calls at the fast endpoint: {first}");
}

#[test]
fn latency_quantiles_cover_the_window_only() {
    let mut w = LatencyWindow::new(ms(0), ms(6_000));
    for i in 0..100 {
        w.record(ms(10 * i), ms(i + 1));
    }
    let (p50, p99) = (w.quantile(ms(1_000), 0.5).unwrap(), w.quantile(ms(1_000), 0.99).unwrap());
    assert!(p50.0.abs_diff(50_000) <= 1_000 && p99.0.abs_diff(99_000) <= 1_000, "{p50:?} {p99:?}");
    assert_eq!(w.quantile(ms(9_000), 0.5), None);
}

/// A tier with 20 slots, a base latency, and queueing beyond the slots: the limit settles near the number of slots, and
/// again after a time in which the tier is five times slower.
#[test]
fn the_concurrency_limit_converges_and_recovers() {
    let s = ConcurrencyLimitSettings { initial: 4.0, minimum: 1.0, maximum: 200.0, tolerance: 1.8 };
    let mut limit = ConcurrencyLimit::new(s);
    let mut now = 0u64;
    let mut settle = |limit: &mut ConcurrencyLimit, base: f64, rounds: usize| {
        let mut seen = Vec::new();
        for _ in 0..rounds {
            let n = limit.limit();
            let latency = Micros((base * 1e3 * (f64::from(n) / 20.0).max(1.0)) as u64);
            let call_started = Micros(now);
            now += latency.0;
            for _ in 0..n {
                limit.record_call(Micros(now), call_started, n, CongestionSignal::Latency(latency));
            }
            seen.push(n);
        }
        seen
    };
    let seen = settle(&mut limit, 20.0, 400);
    // The limit is halved while the baseline latency is measured anew.
    assert!(seen[100..].iter().all(|n| (12..=40).contains(n)), "{seen:?}");
    let halved = seen[100..].iter().filter(|n| **n < 20).count();
    assert!(halved > 0 && halved < 30, "{halved}");
    let slow = settle(&mut limit, 100.0, 40);
    assert!(*slow.last().expect("rounds were run") <= 20, "{slow:?}");
    let recovered = settle(&mut limit, 20.0, 200);
    assert!((20..=40).contains(recovered.last().expect("rounds were run")), "{recovered:?}");
}

#[derive(Clone, Debug)]
enum ClientEvent {
    StartCall { at_most_once: bool },
    EndAttempt(usize, u8),
    Wait(u64),
    CancelCall(usize),
}

fn client_event() -> impl Strategy<Value = ClientEvent> {
    prop_oneof![
        any::<bool>().prop_map(|at_most_once| ClientEvent::StartCall { at_most_once }),
        (0usize..20, 0u8..6).prop_map(|(i, e)| ClientEvent::EndAttempt(i, e)),
        (1u64..400).prop_map(ClientEvent::Wait),
        (0usize..20).prop_map(ClientEvent::CancelCall),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Retries never exceed their share of first attempts, plus the burst.
    #[test]
    fn retries_stay_within_the_retry_budget(share in 0.0f64..1.0, burst in 0.0f64..20.0, attempts in prop::collection::vec(any::<bool>(), 0..500)) {
        let mut b = RetryBudget::new(share, burst);
        let (mut first, mut retries) = (0u32, 0u32);
        for is_retry in attempts {
            if is_retry {
                retries += u32::from(b.try_retry());
            } else {
                b.record_first_attempt();
                first += 1;
            }
            prop_assert!(f64::from(retries) <= share * f64::from(first) + burst + 1e-6);
        }
    }

    /// For any behaviour of the tiers: each call ends once, a call with a side effect is sent once unless its connection
    /// was refused, no attempt outlasts its call, no tier exceeds its limit, and no state is left over.
    #[test]
    fn calls_end_once_and_limits_hold_for_any_behaviour_of_the_tiers(events in prop::collection::vec(client_event(), 1..200)) {
        let limit = ConcurrencyLimitSettings { initial: 5.0, minimum: 2.0, maximum: 8.0, tolerance: 2.0 };
        let retry = RetrySettings { attempts_max: 3, share: 0.3, burst: 4.0, hedge: Some(0.9) };
        let circuit_breaker = CircuitBreakerSettings { failure_share: Some(0.5), min_calls: 6, ..tier("", &[]).circuit_breaker };
        let outlier_ejection = OutlierEjectionSettings { consecutive_failures: Some(3), base_duration: ms(500), min_available_share: 0.4 };
        let limited_tier = |name: &str, ports: &[u16]| TierSettings { limit, retry, circuit_breaker, outlier_ejection, ..tier(name, ports) };
        let chain = vec![Fallback::Tier(TierId(1)), Fallback::CachedReply(ms(1_000))];
        let mut harness = Harness::new(plans(vec![limited_tier("a", &[1, 2, 3]), limited_tier("b", &[4])], vec![call(0, chain)]));
        // Attempts in flight: id, ticket, and whether at tier b. Open calls by ticket: deadline, side effect, times sent.
        let mut in_flight: Vec<(AttemptId, u64, bool)> = Vec::new();
        let mut calls: std::collections::BTreeMap<u64, (Micros, bool, u32)> = Default::default();
        for event in events {
            let actions = match event {
                ClientEvent::StartCall { at_most_once } => {
                    let deadline = harness.now + ms(1_000);
                    calls.insert(harness.last_ticket + 1, (deadline, at_most_once, 0));
                    harness.start_call(at_most_once).1
                }
                ClientEvent::EndAttempt(i, e) if !in_flight.is_empty() => {
                    let (id, ticket, _) = in_flight.remove(i % in_flight.len());
                    let ends = [Outcome::Good, Outcome::Good, Outcome::Full, Outcome::Bad, Outcome::Reset, Outcome::Unreachable];
                    let end = ends[usize::from(e)];
                    let c = calls.get_mut(&ticket).expect("the attempt belongs to an open call");
                    // An attempt whose connection was refused was never sent.
                    c.2 -= u32::from(end == Outcome::Unreachable);
                    harness.end_attempt(id, end)
                }
                ClientEvent::CancelCall(i) if !calls.is_empty() => {
                    let ticket = *calls.keys().nth(i % calls.len()).expect("the collection is not empty");
                    calls.remove(&ticket);
                    let mut out = Vec::new();
                    harness.client.cancel_call(harness.now, ticket, &mut out);
                    out
                }
                ClientEvent::Wait(span) => harness.advance(span),
                _ => Vec::new(),
            };
            for action in &actions {
                match action {
                    CallAction::StartAttempt { attempt, ticket, address, timeout, .. } => {
                        let c = calls.get_mut(ticket).expect("attempts are started for open calls only");
                        c.2 += 1;
                        prop_assert!(harness.now + *timeout <= c.0, "the attempt ends within its call's deadline");
                        prop_assert!(!c.1 || c.2 == 1, "a call with a side effect is sent once");
                        in_flight.push((*attempt, *ticket, address.port() == 4));
                    }
                    CallAction::CancelAttempt(id) => in_flight.retain(|l| l.0 != *id),
                    CallAction::CallFinished { ticket, .. } => prop_assert!(calls.remove(ticket).is_some(), "the call ended twice"),
                    CallAction::CircuitChanged(..) => {}
                }
            }
            prop_assert!(in_flight.iter().filter(|l| l.2).count() <= 8 && in_flight.iter().filter(|l| !l.2).count() <= 8);
            prop_assert_eq!(harness.client.open_calls(), calls.len());
        }
    }
}
