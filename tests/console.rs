//! The control interface on real sockets: readiness, drain and return to service under load.

mod net;

use std::time::Duration;

use net::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

async fn start_with_agent(setup: Setup) -> (Node, std::sync::Arc<Farm>) {
    let (agents, agent) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().agent(agents));
    let settings = if setup.settings.is_null() { settings(2, 3_000, 6_000) } else { setup.settings };
    let node = Setup { settings, agent: Some(agent), ..setup }.start().await;
    (node, farm)
}

/// Once a node is out of service, the next health check fails and the directory is told, but arriving requests are still
/// served. Back in service, health checks succeed again. `ready` reports whether clients are accepted and stays 200.
#[tokio::test]
async fn a_node_out_of_service_fails_health_checks_but_serves_requests() {
    let heard = Heard::default();
    let (directories, lookup) = bind().await;
    tokio::spawn(http(directories, "lookup", heard.clone(), "HTTP/1.1 204 No Content\r\n\r\n"));
    let (node, _farm) = start_with_agent(Setup { lookup: Some(lookup), ..Setup::default() }).await;
    let mut c = Caller::connect(node.msgpack).await;
    c.healthy().await;
    assert_eq!(node.control("GET", "ready").await, Some(200));
    // The directory may miss a change that the next one supersedes.
    let wait_until_listed = async |open: bool| {
        within("the directory", async {
            while heard.lock().unwrap().last().is_none_or(|h| h.1.contains("open") != open) {
                sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
    };
    wait_until_listed(true).await;
    for (round, (order, good)) in
        [("out-of-service", false), ("out-of-service", false), ("in-service", true), ("in-service", true)]
            .into_iter()
            .enumerate()
    {
        let id = 1_000 + 10 * round as i128;
        c.ask(id, "book-job", fields(&format!("b{round}"), &[]), &format!("60 b{round}")).await;
        assert_eq!(node.control("POST", order).await, Some(200), "{order}");
        let mut check = Caller::connect(node.msgpack).await;
        assert_eq!(check.health(1).await, good, "the next check after {order}");
        c.ask(id + 1, "quote", fields(&format!("q{round}"), &[]), &format!("1 q{round}")).await;
        let mut answers = vec![
            c.answer().await.expect("the request is answered"),
            c.answer().await.expect("the request is answered"),
        ];
        answers.sort_by_key(|a| a.id);
        assert!(answers.iter().all(|a| a.word == "ok"), "{answers:?}");
        assert_eq!(node.control("GET", "ready").await, Some(200));
        wait_until_listed(good).await;
    }
    let modes: Vec<bool> = heard.lock().unwrap().iter().map(|h| h.1.contains("open")).collect();
    let mut changes = modes.clone();
    changes.dedup();
    assert_eq!(changes, [true, false, true], "the directory is told of each change: {modes:?}");
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("OutOfService"), "{log}");
}

/// Silent and unfinished connections don't delay other calls, a fragmented call is carried out, and each fault has its status.
#[tokio::test]
async fn silent_connections_do_not_delay_other_calls() {
    let (node, _farm) = start_with_agent(Setup::default()).await;
    Caller::connect(node.msgpack).await.healthy().await;
    let mut silent = Vec::new();
    for n in 0..40 {
        let mut s = TcpStream::connect(node.console).await.expect("the control address accepts a connection");
        if n % 2 == 0 {
            s.write_all(b"GET /control/rea").await.expect("the bytes are sent");
        }
        silent.push(s);
    }
    assert_eq!(node.control("GET", "ready").await, Some(200));
    assert_eq!(node.control("POST", "ready").await, Some(405));
    assert_eq!(node.control("GET", "counters").await, Some(404));
    assert_eq!(control(node.console, b"\x01\x02\r\n\r\n").await, Some(400));
    let mut pieces =
        TcpStream::connect(node.console).await.expect("the control address accepts a connection");
    for b in b"POST /control/out-of-service HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" {
        pieces.write_all(&[*b]).await.expect("the bytes are sent");
        tokio::task::yield_now().await;
    }
    within("the order", async {
        while Caller::connect(node.msgpack).await.health(1).await {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// The control interface answers while open connections use up all descriptors. Their requests run for longer than the
/// test, so that no connection can be closed to make room.
#[tokio::test]
async fn the_console_answers_while_no_descriptor_is_free() {
    let settings = settings(2, 100_000, 500_000);
    let (node, _farm) = start_with_agent(Setup { settings, files_later: Some(40), ..Setup::default() }).await;
    Caller::connect(node.msgpack).await.healthy().await;
    let mut busy_callers = Vec::new();
    for n in 0..60 {
        let mut c = Caller::connect(node.msgpack).await;
        c.ask(1, "quote", fields(&format!("c{n}"), &[]), &format!("60000 c{n}")).await;
        busy_callers.push(c);
    }
    sleep(Duration::from_millis(100)).await;
    for _ in 0..5 {
        assert_eq!(node.control("GET", "ready").await, Some(200));
    }
    drop(busy_callers);
    let (_, _, log) = node.leave().await;
    assert!(log.contains("Too many open files"), "descriptors did run out: {log}");
}

/// A node that is stopping reports that it is not ready and refuses orders with a conflict.
#[tokio::test]
async fn a_stopping_node_refuses_orders() {
    let (node, _farm) = start_with_agent(Setup { stop_ms: 2_500, ..Setup::default() }).await;
    let mut c = Caller::connect(node.msgpack).await;
    c.healthy().await;
    c.ask(1_000, "book-job", fields("w", &[]), "600 w").await;
    node.signal("-TERM");
    within("the notice", async {
        while node.control("GET", "ready").await != Some(503) {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    assert_eq!(node.control("POST", "in-service").await, Some(409));
    assert_eq!(c.answer().await.expect("the request is answered").word, "ok");
}
