//! When a restarted process is ready: as soon as its agent has greeted it, even if its directory and its ledger hang.

mod net;

use std::time::{Duration, Instant};

use net::*;
use tokio::net::TcpListener;

/// Accepts connections, keeps them open and never writes to them.
async fn accept_and_hang(listener: TcpListener) {
    let mut connections = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.push(stream);
    }
}

/// Ten processes in a row are each killed without notice and restarted in the same folder, while the directory and the ledger hang.
/// Each is ready once its agent has greeted it and not before, and at least nine are ready within ten seconds of that.
#[tokio::test]
async fn a_restarted_process_waits_only_for_its_agent() {
    let (directory, lookup) = bind().await;
    let (ledgers, ledger) = bind().await;
    tokio::spawn(accept_and_hang(directory));
    tokio::spawn(accept_and_hang(ledgers));
    let (agents, agent) = bind().await;
    let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
    let setup = Setup { lookup: Some(lookup), ledger: Some(ledger), ..setup };
    let mut node = setup.start().await;
    let mut ready_in_time = 0;
    for round in 0..10 {
        let mut link = ScriptedLink::accept(&agents).await;
        assert_eq!(link.subscribed, 0, "round {round}: a new process has read no notices");
        // The process has connected to the agent but has not been greeted: it reports that it is not ready, and is not healthy.
        assert_eq!(node.control("GET", "ready").await, Some(503), "round {round}");
        assert!(!Caller::connect(node.msgpack).await.health(1).await, "round {round}");
        link.greet("").await;
        let greeted = Instant::now();
        let rest = tokio::spawn(link.rest());
        node.ready().await;
        Caller::connect(node.msgpack).await.healthy().await;
        ready_in_time += u32::from(greeted.elapsed() < Duration::from_secs(10));
        let next = node.kill_and_start(agent).await;
        rest.abort();
        node = next;
    }
    assert!(ready_in_time >= 9, "{ready_in_time} of 10 were ready in time");
}
