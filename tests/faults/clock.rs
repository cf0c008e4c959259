//! The wall clock is stepped, by seconds and by an hour. Deadlines, windows and the drain's grace are spans of real time.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use holdlift_lab::*;

use crate::{Runs, agent, started};

/// Steps of the node's wall clock, ms.
const STEPS_MS: [i64; 4] = [3_600_000, -3_600_000, 1_500, -1_500];
/// The class's deadline, and how much sooner an answer may come, as the module gives it.
const DEADLINE: Duration = Duration::from_millis(2_000);
const SOONER: Duration = Duration::from_millis(200);
/// How much later an answer may be here: what a busy machine takes to tell of it.
const LATER: Duration = Duration::from_millis(1_500);

/// The agent never ends a run. The one that is in hand as the clock is stepped is answered at its deadline and no sooner, and so
/// is one that comes after the step.
#[tokio::test]
async fn a_step_moves_no_deadline() {
    join_all(STEPS_MS.map(|step| async move {
        let (shim, node, link, _agents) = started().await;
        let mut launches = agent(link, Runs::Never);
        let mut caller = Caller::connect(node.msgpack).await;
        for (id, name) in [(1, "before"), (2, "after")] {
            let asked = Instant::now();
            caller.ask(id, "proof", fields(name, &[]), "body").await;
            assert_eq!(within("a launch", launches.recv()).await.as_deref(), Some(name), "step of {step} ms");
            shim.step_clock(step);
            assert_eq!(caller.answer().await.expect("an answer").word, "Error", "step of {step} ms: {name}");
            let took = asked.elapsed();
            let range = DEADLINE - SOONER..DEADLINE + LATER;
            assert!(range.contains(&took), "step of {step} ms: {name} was answered after {took:?}");
        }
        let (_, good, log) = node.leave().await;
        assert!(good && log.contains("wall clock stepped"), "{log}");
    }))
    .await;
}

/// A key is known for its window, whatever the clock does meanwhile; behind it, it is another request's.
#[tokio::test]
async fn a_step_moves_no_window() {
    join_all(STEPS_MS.map(|step| async move {
        let (shim, node, link, _agents) = started().await;
        let mut launches = agent(link, Runs::End);
        let mut caller = Caller::connect(node.msgpack).await;
        let attempt = |name: &str| fields(name, &[("replay", "5c0f6e1a2b3d4c59")]);
        let written = Instant::now();
        let at = |ms: u64| tokio::time::sleep_until((written + Duration::from_millis(ms)).into());
        // Within the window, then behind it and behind the time for which a request may be read late.
        for (id, name, when) in [(1, "a1", 0), (2, "a2", 100), (3, "a3", 2_900), (4, "a4", 6_500)] {
            at(when).await;
            caller.ask(id, "book-job", attempt(name), "body").await;
            assert_eq!(caller.answer().await.expect("an answer").body, "done", "step of {step} ms: {name}");
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

/// What comes behind the drain's grace (300 ms) never runs, and is answered, though the clock says that it came before.
#[tokio::test]
async fn a_step_moves_no_grace() {
    for step in STEPS_MS {
        let (shim, node, link, _agents) = started().await;
        let mut launches = agent(link, Runs::End);
        let mut caller = Caller::connect(node.msgpack).await;
        caller.healthy().await;
        node.signal("-TERM");
        caller.last_call().await;
        shim.step_clock(step);
        tokio::time::sleep(Duration::from_millis(400)).await;
        caller.ask(1_000, "quote", fields("late", &[]), "body").await;
        let answer = caller.answer().await.expect("an answer");
        assert_ne!(answer.word, "ok", "step of {step} ms");
        drop(caller);
        let (good, log) = node.ended().await;
        assert!(good, "{log}");
        assert_eq!(launches.recv().await, None, "step of {step} ms");
    }
}
