//! What wakes a node that has nothing to do: the module's tick, and the agent's gauges for it.

mod net;

use std::time::Duration;

use net::*;
use tokio::time::sleep;

/// A figure of the process, so far.
fn figure(node: &Node, file: &str, name: &str) -> f64 {
    let pid = node.child.as_ref().expect("running").id();
    let text = std::fs::read_to_string(format!("/proc/{pid}/{file}")).expect("a process");
    let line = text.lines().find_map(|l| l.strip_prefix(name)).expect("a figure");
    line.trim().parse().expect("a number")
}

/// A tick of the module is two wakes, its own and that of the gauges which it asks the agent for, and two writes, the question
/// and one of the runtime to itself for a timer that is sooner than the one before. There once was a third wake, for the time
/// until which the gauges would have been awaited, and a write for each wake by a timer.
#[tokio::test]
async fn a_tick_is_two_wakes_and_two_writes() {
    let (agents, agent) = bind().await;
    tokio::spawn(Farm::new(4).agent(agents));
    let node = Setup { settings: settings(4, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
    let node = node.start().await;
    node.ready().await;
    sleep(Duration::from_millis(300)).await;
    let mut told = Vec::new();
    for _ in 0..4 {
        node.signal("-USR1");
        // The counters are written by then, and the ticks since count on both sides.
        sleep(Duration::from_millis(100)).await;
        let wakes = figure(&node, "status", "voluntary_ctxt_switches:");
        told.push((wakes, figure(&node, "io", "syscw:")));
        sleep(Duration::from_millis(900)).await;
    }
    let (_, good, log) = node.leave().await;
    assert!(good, "{log}");
    let steps: Vec<f64> =
        log.split(" steps=").skip(1).map(|rest| word(rest).parse().expect("steps")).collect();
    assert!(steps.len() > told.len(), "{log}");
    // The machine may be busy: gauges that come late are rightly not awaited any more.
    let spans = told.windows(2).zip(steps.windows(2));
    let each = spans.map(|(t, s)| ((t[1].0 - t[0].0) / (s[1] - s[0]), (t[1].1 - t[0].1) / (s[1] - s[0])));
    let least = each.fold((f64::MAX, f64::MAX), |a, b| (a.0.min(b.0), a.1.min(b.1)));
    println!("a tick took {:.2} wakes and {:.2} writes", least.0, least.1);
    assert!(least.0 < 2.6, "{:.2} wakes a tick", least.0);
    assert!(least.1 < 2.5, "{:.2} writes a tick", least.1);
}

fn word(text: &str) -> &str {
    text.split_whitespace().next().expect("a word")
}
