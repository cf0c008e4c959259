//! What the desk adds to a call: the same calls to the same tier, straight and by the desk's word, in turn.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use holdlift::dependencies::call_plan::CallPlans;
use holdlift::dependencies::{CallAction, CallIndex, CallRequest, DependencyClient};
use holdlift::ledger::{self, Call};
use holdlift::{Micros, Outcome};

use crate::standin::{Tier, bind, unix_ms};

/// Service time of the tier: none, so that what is measured is the way there and back.
const BASE: Duration = Duration::ZERO;

/// Time for a call, us: straight, by the desk, and the desk's own part of the latter.
pub struct Cost {
    pub straight: Histogram<u64>,
    pub by_desk: Histogram<u64>,
    /// ns.
    pub desk: Histogram<u64>,
}

/// Makes so many calls each way, in turn.
pub async fn measure(calls: u32) -> Cost {
    let (listener, address) = bind().await;
    let serving = tokio::spawn(Tier::new(4, BASE, 0.0).serve(listener));
    let now = || Micros(unix_ms() as u64 * 1000);
    let mut desk = DependencyClient::new(now(), CallPlans::platform(Some(address)), 1);
    let fresh = || Histogram::new(3).expect("three digits");
    let mut cost = Cost { straight: fresh(), by_desk: fresh(), desk: fresh() };
    for n in 0..calls {
        let call = |limit_ms| Call { name: format!("c{n}"), limit_ms, body: Bytes::from_static(b"abc") };
        let start = Instant::now();
        let end = ledger::call(address, &call(1_000)).await;
        assert_eq!(end.outcome, Outcome::Good);
        let _ = cost.straight.record(start.elapsed().as_micros() as u64);

        let (start, mut steps) = (Instant::now(), Vec::new());
        let at = now();
        let deadline = at + Micros::from_millis(1_000);
        let want = CallRequest {
            ticket: u64::from(n),
            class: 0,
            index: CallIndex::Run(0),
            deadline,
            at_most_once: false,
            is_retry: false,
        };
        desk.start_call(at, want, &mut steps);
        let mut own = start.elapsed();
        let Some(CallAction::StartAttempt { attempt, timeout, .. }) = steps.pop() else { panic!("a try") };
        let end = ledger::call(address, &call(timeout.0 / 1000)).await;
        let back = Instant::now();
        desk.attempt_ended(now(), attempt, end.outcome, end.body, &mut steps);
        own += back.elapsed();
        assert!(matches!(steps.pop(), Some(CallAction::CallFinished { outcome: Outcome::Good, .. })));
        let _ = cost.by_desk.record(start.elapsed().as_micros() as u64);
        let _ = cost.desk.record(own.as_nanos() as u64);
        desk.run_due_timers(now(), &mut steps);
    }
    serving.abort();
    cost
}
