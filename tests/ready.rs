//! How soon a restarted process is ready: as soon as its agent has greeted it, whatever its directory and its ledger do.

mod net;

use std::time::{Duration, Instant};

use net::*;
use tokio::net::TcpListener;

/// A party that accepts and never says a word.
async fn hang(listener: TcpListener) {
    let mut all = Vec::new();
    while let Ok((s, _)) = listener.accept().await {
        all.push(s);
    }
}

/// Ten processes in a row, each killed without notice and started anew in the same folder, beside a directory and a ledger
/// that hang: each is ready once its agent has greeted it and not before, and nine in ten are within ten seconds of that.
#[tokio::test]
async fn restarted_processes_wait_for_their_agent_alone() {
    let (directory, lookup) = bind().await;
    let (ledgers, ledger) = bind().await;
    tokio::spawn(hang(directory));
    tokio::spawn(hang(ledgers));
    let (agents, agent) = bind().await;
    let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
    let setup = Setup { lookup: Some(lookup), ledger: Some(ledger), ..setup };
    let mut node = setup.start().await;
    let mut soon = 0;
    for round in 0..10 {
        let mut link = ScriptedLink::accept(&agents).await;
        assert_eq!(link.subscribed, 0, "round {round}: a new process has read nothing");
        // The link is there, so the process is up, and it is not greeted yet: it says no, and takes nothing.
        assert_eq!(node.control("GET", "ready").await, Some(503), "round {round}");
        assert!(!Caller::connect(node.msgpack).await.health(1).await, "round {round}");
        link.greet("").await;
        let greeted = Instant::now();
        let rest = tokio::spawn(link.rest());
        node.ready().await;
        Caller::connect(node.msgpack).await.healthy().await;
        soon += u32::from(greeted.elapsed() < Duration::from_secs(10));
        let next = node.kill_and_start(agent).await;
        rest.abort();
        node = next;
    }
    assert!(soon >= 9, "{soon} of 10");
}
