//! Descriptors that are kept: clients, idle ones and others, take all that there are for clients while the directory is
//! down, and the node still reaches its agent, its ledger, its directory and its console.

mod net;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use net::*;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// The directory is down, clients take every place that there is, and more of them wait: idle ones, then some who are owed
/// an answer, so that nobody makes room. Then the agent's link breaks: it is made again, a run's call reaches the ledger, the
/// console answers, and the directory hears of the node as soon as it is back.
#[tokio::test]
async fn idle_clients_leave_descriptors_for_the_other_parties() {
    let (relay, agent) = bind().await;
    let (listener, inner) = bind().await;
    let (ledgers, ledger) = bind().await;
    // More cores than the node knows of, so that no run waits for one there.
    let farm = Farm::new(16);
    tokio::spawn(farm.clone().agent(listener));
    let heard = Heard::default();
    tokio::spawn(http(ledgers, "ledger", heard.clone(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    // A relay whose links end when told, each of them heard of.
    let (broken, links) = (Arc::new(Notify::new()), Arc::new(tokio::sync::Semaphore::new(0)));
    let (breaker, made) = (broken.clone(), links.clone());
    tokio::spawn(async move {
        while let Ok((mut a, _)) = relay.accept().await {
            let mut b = TcpStream::connect(inner).await.expect("the agent");
            made.add_permits(1);
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut a, &mut b) => {}
                () = breaker.notified() => {}
            }
        }
    });
    let lookup = free().await;
    let mut settings = settings(2, 100_000, 500_000);
    settings["domain"]["below"] = "tier".into();
    settings["domain"]["class-calls"] = serde_json::json!([1, 0, 0]);
    let setup = Setup { settings, agent: Some(agent), ledger: Some(ledger), ..Setup::default() };
    let setup = Setup { lookup: Some(lookup), files: Some(64), sockets: 256, ..setup };
    let node = setup.start().await;
    within("a link", links.acquire()).await.expect("a relay").forget();
    let mut keeps = Caller::connect(node.msgpack).await;
    keeps.healthy().await;
    // Both cores are taken by runs that wait at the gate.
    for n in 0..2 {
        keeps.ask(1_000 + n, "quote", fields(&format!("gate-{n}"), &[]), &format!("gate g{n}")).await;
    }
    within("two runs", async {
        while farm.running.load(Ordering::SeqCst) < 2 {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    let mut crowd = Vec::new();
    for n in 0..100 {
        let mut c = Caller::connect(node.msgpack).await;
        if n < 10 {
            c.healthy().await;
        } else {
            c.ask(1, "proof", fields(&format!("c{n}"), &[]), &format!("60000 c{n}")).await;
        }
        crowd.push(c);
    }
    for _ in 0..3 {
        broken.notify_one();
        within("the link anew", links.acquire()).await.expect("a relay").forget();
        assert_eq!(node.control("GET", "ready").await, Some(200));
    }
    // The best of all that waits starts next, and comes to a call.
    keeps.ask(1_002, "quote", fields("call", &[("class_rank", "0.99")]), "1 call x").await;
    farm.open_gate();
    for _ in 0..3 {
        assert_eq!(keeps.answer().await.expect("an answer").word, "ok");
    }
    let calls = heard.lock().unwrap().iter().filter(|h| h.0 == "ledger").count();
    assert_eq!(calls, 1, "the run's call reached the ledger");
    let directory = tokio::net::TcpListener::bind(lookup).await.expect("the directory's address");
    tokio::spawn(http(directory, "directory", heard.clone(), "HTTP/1.1 204 No Content\r\n\r\n"));
    within("a report", async {
        while !heard.lock().unwrap().iter().any(|h| h.0 == "directory" && h.1.contains("open")) {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    drop(crowd);
    let (_, good, log) = node.leave().await;
    assert!(good, "{log}");
}
