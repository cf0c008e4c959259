//! Steps of the wall clock by seconds and by an hour. Deadlines, idempotency windows and the grace period of the drain count real
//! time.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use holdlift_lab::*;

use crate::{RunBehavior, spawn_agent, start_node_with_shim};

/// Steps of the node's wall clock, ms.
const STEPS_MS: [i64; 4] = [3_600_000, -3_600_000, 1_500, -1_500];
/// The class's deadline.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// How much earlier than the deadline an answer may come, as the decision module answers ahead of it.
const MAX_EARLY: Duration = Duration::from_millis(200);
/// How much later than the deadline an answer may be received, which allows for delays on a busy machine.
const MAX_LATE: Duration = Duration::from_millis(1_500);

/// The agent never ends a run. A request that is open when the clock is stepped is answered at its deadline and not earlier, and so
/// is a request that comes after the step.
#[tokio::test]
async fn a_clock_step_moves_no_deadline() {
    join_all(STEPS_MS.map(|step| async move {
        let (shim, node, link, _agents) = start_node_with_shim().await;
        let mut launches = spawn_agent(link, RunBehavior::NeverEnd);
        let mut caller = Caller::connect(node.msgpack).await;
        for (id, name) in [(1, "before"), (2, "after")] {
            let sent = Instant::now();
            caller.ask(id, "proof", fields(name, &[]), "body").await;
            assert_eq!(within("a launch", launches.recv()).await.as_deref(), Some(name), "step of {step} ms");
            shim.step_clock(step);
            assert_eq!(
                caller.answer().await.expect("the request is answered").word,
                "Error",
                "step of {step} ms: {name}"
            );
            let elapsed = sent.elapsed();
            let range = DEADLINE - MAX_EARLY..DEADLINE + MAX_LATE;
            assert!(range.contains(&elapsed), "step of {step} ms: {name} was answered after {elapsed:?}");
        }
        let (_, good, log) = node.leave().await;
        assert!(good && log.contains("wall clock stepped"), "{log}");
    }))
    .await;
}

/// An idempotency key is known for its window, whatever steps the clock makes. After the window the key identifies a new request.
#[tokio::test]
async fn a_clock_step_moves_no_idempotency_window() {
    join_all(STEPS_MS.map(|step| async move {
        let (shim, node, link, _agents) = start_node_with_shim().await;
        let mut launches = spawn_agent(link, RunBehavior::Succeed);
        let mut caller = Caller::connect(node.msgpack).await;
        let attempt = |name: &str| fields(name, &[("replay", "5c0f6e1a2b3d4c59")]);
        let written = Instant::now();
        let at = |ms: u64| tokio::time::sleep_until((written + Duration::from_millis(ms)).into());
        // Three attempts within the window, then one after the window and the margin for requests that are read late.
        for (id, name, when) in [(1, "a1", 0), (2, "a2", 100), (3, "a3", 2_900), (4, "a4", 6_500)] {
            at(when).await;
            caller.ask(id, "book-job", attempt(name), "body").await;
            assert_eq!(
                caller.answer().await.expect("the request is answered").body,
                "done",
                "step of {step} ms: {name}"
            );
            if id == 1 {
                shim.step_clock(step);
            }
        }
        node.leave().await;
        let mut launched = Vec::new();
        while let Some(name) = launches.recv().await {
            launched.push(name);
        }
        assert_eq!(launched, ["a1", "a4"], "step of {step} ms");
    }))
    .await;
}

/// A request that comes after the grace period of the drain (300 ms) never runs and is answered, even if the stepped clock dates it
/// before.
#[tokio::test]
async fn a_clock_step_moves_no_drain_grace_period() {
    for step in STEPS_MS {
        let (shim, node, link, _agents) = start_node_with_shim().await;
        let mut launches = spawn_agent(link, RunBehavior::Succeed);
        let mut caller = Caller::connect(node.msgpack).await;
        caller.healthy().await;
        node.signal("-TERM");
        caller.last_call().await;
        shim.step_clock(step);
        tokio::time::sleep(Duration::from_millis(400)).await;
        caller.ask(1_000, "quote", fields("late", &[]), "body").await;
        let answer = caller.answer().await.expect("the request is answered");
        assert_ne!(answer.word, "ok", "step of {step} ms");
        drop(caller);
        let (good, log) = node.ended().await;
        assert!(good, "{log}");
        assert_eq!(launches.recv().await, None, "step of {step} ms");
    }
}
