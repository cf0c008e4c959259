//! The control address on real sockets: ready, drain and return under load.

mod net;

use std::time::Duration;

use net::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

async fn started(setup: Setup) -> (Node, std::sync::Arc<Farm>) {
    let (agents, agent) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().agent(agents));
    let settings = if setup.settings.is_null() { settings(2, 3_000, 6_000) } else { setup.settings };
    let node = Setup { settings, agent: Some(agent), ..setup }.start().await;
    (node, farm)
}

/// Out of service, the very next check is bad and the directory hears of it; what arrives is served all the same. Back in
/// service, checks are good again. Ready is about taking clients and stays a yes.
#[tokio::test]
async fn drain_and_return_under_load() {
    let heard = Heard::default();
    let (directories, lookup) = bind().await;
    tokio::spawn(http(directories, "lookup", heard.clone(), "HTTP/1.1 204 No Content\r\n\r\n"));
    let (node, _farm) = started(Setup { lookup: Some(lookup), ..Setup::default() }).await;
    let mut c = Caller::connect(node.msgpack).await;
    c.healthy().await;
    assert_eq!(node.control("GET", "ready").await, Some(200));
    // A turn that the next one overtakes need not be told.
    let listed = async |open: bool| {
        within("the directory", async {
            while heard.lock().unwrap().last().is_none_or(|h| h.1.contains("open") != open) {
                sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
    };
    listed(true).await;
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
        let mut words = vec![c.answer().await.expect("an answer"), c.answer().await.expect("an answer")];
        words.sort_by_key(|a| a.id);
        assert!(words.iter().all(|a| a.word == "ok"), "{words:?}");
        assert_eq!(node.control("GET", "ready").await, Some(200));
        listed(good).await;
    }
    let modes: Vec<bool> = heard.lock().unwrap().iter().map(|h| h.1.contains("open")).collect();
    let mut turns = modes.clone();
    turns.dedup();
    assert_eq!(turns, [true, false, true], "the directory hears of each turn: {modes:?}");
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("OutOfService"), "{log}");
}

/// Silent and unfinished connections hold up nobody, a call in pieces is a call, and faults are told apart.
#[tokio::test]
async fn bad_callers_hold_up_nobody() {
    let (node, _farm) = started(Setup::default()).await;
    Caller::connect(node.msgpack).await.healthy().await;
    let mut silent = Vec::new();
    for n in 0..40 {
        let mut s = TcpStream::connect(node.console).await.expect("a connection");
        if n % 2 == 0 {
            s.write_all(b"GET /control/rea").await.expect("sent");
        }
        silent.push(s);
    }
    assert_eq!(node.control("GET", "ready").await, Some(200));
    assert_eq!(node.control("POST", "ready").await, Some(405));
    assert_eq!(node.control("GET", "counters").await, Some(404));
    assert_eq!(control(node.console, b"\x01\x02\r\n\r\n").await, Some(400));
    let mut pieces = TcpStream::connect(node.console).await.expect("a connection");
    for b in b"POST /control/out-of-service HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" {
        pieces.write_all(&[*b]).await.expect("sent");
        tokio::task::yield_now().await;
    }
    within("the order", async {
        while Caller::connect(node.msgpack).await.health(1).await {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// With all the system's descriptors used up by callers who are owed answers for longer than the test waits, so that
/// nobody makes room, the console
/// still answers.
#[tokio::test]
async fn answers_with_descriptors_used_up() {
    let settings = settings(2, 100_000, 500_000);
    let (node, _farm) = started(Setup { settings, files_later: Some(40), ..Setup::default() }).await;
    Caller::connect(node.msgpack).await.healthy().await;
    let mut crowd = Vec::new();
    for n in 0..60 {
        let mut c = Caller::connect(node.msgpack).await;
        c.ask(1, "quote", fields(&format!("c{n}"), &[]), &format!("60000 c{n}")).await;
        crowd.push(c);
    }
    sleep(Duration::from_millis(100)).await;
    for _ in 0..5 {
        assert_eq!(node.control("GET", "ready").await, Some(200));
    }
    drop(crowd);
    let (_, _, log) = node.leave().await;
    assert!(log.contains("Too many open files"), "descriptors did run out: {log}");
}

/// A node that leaves takes no orders, and says why.
#[tokio::test]
async fn no_orders_while_leaving() {
    let (node, _farm) = started(Setup { stop_ms: 2_500, ..Setup::default() }).await;
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
    assert_eq!(c.answer().await.expect("an answer").word, "ok");
}
