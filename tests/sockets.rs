//! The MessagePack front of a real node on real sockets, between a simulated agent and simulated callers.

mod net;

use std::sync::atomic::Ordering;
use std::time::Duration;

use net::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

async fn node(cores: usize) -> (Node, std::sync::Arc<Farm>) {
    node_with_file_limit(cores, None).await
}

async fn node_with_file_limit(cores: usize, files_later: Option<u64>) -> (Node, std::sync::Arc<Farm>) {
    let (listener, agent) = bind().await;
    let farm = Farm::new(cores);
    tokio::spawn(farm.clone().agent(listener));
    let settings = settings(cores as u32, 3_000, 6_000);
    let node = Setup { settings, agent: Some(agent), files_later, ..Setup::default() }.start().await;
    Caller::connect(node.msgpack).await.healthy().await;
    (node, farm)
}

/// Each request gets exactly one complete answer, whether it is valid, invalid, coalesced or follows a cancelled one.
#[tokio::test]
async fn one_answer_each() {
    let (node, farm) = node(2).await;
    let mut c = Caller::connect(node.msgpack).await;
    c.ask(1, "quote", fields("r1", &[]), "5 a").await;
    c.ask(2, "dance", fields("r2", &[]), "5 b").await;
    for (i, bad) in [
        ("since", "soon"),
        ("room", "-1"),
        ("room", "inf"),
        ("class_rank", "1.5"),
        ("ref", ""),
        ("ref", "a b"),
        ("project", "nobody"),
        ("effort", "NaN"),
    ]
    .iter()
    .enumerate()
    {
        c.ask(3 + i as i128, "quote", fields(&format!("x{i}"), &[*bad]), "5 c").await;
    }
    c.ask(20, "quote", fields("r20", &[]), &"5 ".repeat(1_200)).await;
    c.ask(21, "book-job", fields("r21", &[("effort", "5")]), "60 d").await;
    c.ask(22, "quote", fields("r21", &[]), "5 same name").await;
    c.ask(23, "proof", fields("r23", &[("lookup", "k")]), "60 e").await;
    // Reads are coalesced only with one accepted in an earlier batch.
    sleep(Duration::from_millis(25)).await;
    c.ask(24, "proof", fields("r24", &[("lookup", "k")]), "60 f").await;
    // A cancelled request gets no answer; the cancellation of a request that is not open is ignored.
    c.ask(25, "quote", fields("r25", &[]), "9000 g").await;
    c.cancel(25).await;
    c.cancel(77).await;
    let mut answers = Vec::new();
    while answers.len() < 15 {
        answers.push(c.answer().await.expect("the node answers the request"));
    }
    answers.sort_by_key(|a| a.id);
    let seen: Vec<String> = answers.iter().map(|a| format!("{} {} {:?}", a.id, a.word, a.body)).collect();
    insta::assert_snapshot!(seen.join("\n"));
    // Only the coalesced read had no run of its own.
    assert_eq!(farm.runs.lock().unwrap().get("f"), None);
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("served=4") && log.contains("gone=1") && log.contains("shared=1"), "{log}");
}

/// Input that is not MessagePack-RPC, is too large, or reuses an open id ends its connection and no other.
#[tokio::test]
async fn invalid_input_ends_only_its_own_connection() {
    let (node, farm) = node(2).await;
    let mut good = Caller::connect(node.msgpack).await;
    let oversized = [&b"\xc6\x7f\xff\xff\xff"[..], &vec![0; 64 << 10]].concat();
    for bytes in [&b"\xc1"[..], b"GET / HTTP/1.1\r\n\r\n", b"\x93\x01\x02\x03", &oversized] {
        let mut c = Caller::connect(node.msgpack).await;
        c.raw(bytes).await;
        assert_eq!(c.next().await, None, "{:?}", &bytes[..4]);
    }
    let mut repeated_id = Caller::connect(node.msgpack).await;
    repeated_id.ask(1, "quote", fields("a", &[]), "500 a").await;
    repeated_id.ask(1, "quote", fields("b", &[]), "500 b").await;
    // The first request was complete before and is answered; the second never runs.
    let first = repeated_id.answer().await.expect("the node answers the request");
    assert_eq!((first.id, first.word.as_str(), &first.body[..]), (1, "ok", &b"done a"[..]));
    assert_eq!(repeated_id.answer().await, None);
    assert!(!farm.runs.lock().unwrap().contains_key("b"));
    // A message cut off halfway is not a request.
    let mut cut_off = TcpStream::connect(node.msgpack).await.unwrap();
    cut_off.write_all(b"\x94\x00\x01\xa5quo").await.unwrap();
    drop(cut_off);
    good.ask(1, "quote", fields("c", &[]), "1 c").await;
    assert_eq!(good.answer().await.expect("the node answers the request").word, "ok");
    let (_, _, log) = node.leave().await;
    assert!(log.contains("closed.Msgpack.CutOff=1") && log.contains("asked.Msgpack=2"), "{log}");
}

/// A write that ended while the agent's link was down is not launched again.
#[tokio::test]
async fn a_lost_agent_link_launches_no_write_twice() {
    let (relay, agent) = bind().await;
    let (listener, inner) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().agent(listener));
    // A relay whose links can be broken, also in the middle of a line.
    let broken = std::sync::Arc::new(tokio::sync::Notify::new());
    let breaker = broken.clone();
    tokio::spawn(async move {
        while let Ok((mut a, _)) = relay.accept().await {
            let mut b = TcpStream::connect(inner).await.expect("the simulated agent accepts connections");
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut a, &mut b) => {}
                () = breaker.notified() => {
                    let _ = a.write_all(b"outcome 1 ").await;
                    drop((a, b));
                    // Down for longer than the run takes.
                    sleep(Duration::from_millis(150)).await;
                }
            }
        }
    });
    let node =
        Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() }.start().await;
    let mut c = Caller::connect(node.msgpack).await;
    c.healthy().await;
    c.ask(1_000, "book-job", fields("w1", &[]), "60 once").await;
    within("a run", async {
        while farm.running.load(Ordering::SeqCst) == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    broken.notify_one();
    sleep(Duration::from_millis(20)).await;
    // Requested while there is no link: launched once the link is back.
    c.ask(1_001, "book-job", fields("w2", &[]), "5 later").await;
    let words = [
        c.answer().await.expect("the node answers the request"),
        c.answer().await.expect("the node answers the request"),
    ]
    .map(|a| a.word);
    assert_eq!((words, farm.most_runs()), (["ok".to_owned(), "ok".to_owned()], 1));
    let mut launches = farm.launches.lock().unwrap().clone();
    launches.sort();
    assert_eq!(launches, ["w1", "w2"]);
}

/// After the notice to leave every request is answered, late arrivals do not run, and the process exits in time.
#[tokio::test]
async fn draining_answers_every_request() {
    let (node, farm) = node(2).await;
    let mut c = Caller::connect(node.msgpack).await;
    for id in 0..12 {
        c.ask(id, "book-job", fields(&format!("w{id}"), &[]), &format!("150 {id}")).await;
    }
    // A run too long for the drain to wait for.
    c.ask(12, "book-job", fields("long", &[("class_rank", "0.9")]), "9000 long").await;
    sleep(Duration::from_millis(50)).await;
    let address = node.msgpack;
    let leaving = tokio::spawn(node.leave());
    sleep(Duration::from_millis(600)).await;
    // After the grace period of 0.3 s, on a new connection.
    let mut late = Caller::connect(address).await;
    late.ask(1, "quote", fields("late", &[]), "1 late").await;
    assert_eq!(late.answer().await.expect("the node answers the request").word, "Full");
    let mut answers = Vec::new();
    while let Some(a) = c.answer().await {
        answers.push((a.id, a.word));
    }
    answers.sort();
    assert_eq!(answers.iter().map(|a| a.0).collect::<Vec<_>>(), (0..13).collect::<Vec<_>>());
    assert!(answers.iter().filter(|a| a.1 == "ok").count() >= 3, "{answers:?}");
    let (took, good, log) = leaving.await.expect("the task that stops the node ends without a panic");
    assert!(good && took < BY_ITSELF, "{took:?} {log}");
    assert!(!farm.runs.lock().unwrap().contains_key("late") && farm.most_runs() == 1);
}

/// Requests beyond the capacity of the cores wait, and a caller that reads nothing delays no other.
#[tokio::test]
async fn excess_requests_wait_and_a_caller_that_does_not_read_delays_no_other() {
    let (node, farm) = node(2).await;
    let mut unread = TcpStream::connect(node.msgpack).await.unwrap();
    for id in 0..20_000u32 {
        // Unknown classes, whose answers are never read.
        let n = id.to_be_bytes();
        let ask = [&b"\x94\x00\xce"[..], &n, b"\xa1x\x92\x80\xc4\x00"].concat();
        if tokio::time::timeout(Duration::from_millis(50), unread.write_all(&ask)).await.is_err() {
            break;
        }
    }
    let mut c = Caller::connect(node.msgpack).await;
    let mut most = 0;
    for id in 0..30 {
        c.ask(id, "proof", fields(&format!("p{id}"), &[]), &format!("20 {id}")).await;
    }
    for _ in 0..30 {
        assert_eq!(c.answer().await.expect("the node answers the request").word, "ok");
        most = most.max(farm.running.load(Ordering::SeqCst));
    }
    assert!(most <= 16, "{most} at once on 2 cores");
    // Requests beyond 32 open on one connection are answered without a run.
    for id in 100..140 {
        c.ask(id, "proof", fields(&format!("q{id}"), &[]), &format!("1 q{id}")).await;
    }
    for _ in 0..40 {
        assert!(["ok", "Error"].contains(&&*c.answer().await.expect("the node answers the request").word));
    }
}

/// The agent may start long after the node: health checks fail and requests are refused until it is up.
#[tokio::test]
async fn a_late_agent_is_waited_for() {
    let (listener, agent) = bind().await;
    let (directory, lookup) = bind().await;
    let farm = Farm::new(2);
    farm.asleep.store(true, Ordering::SeqCst);
    tokio::spawn(farm.clone().agent(listener));
    let reports = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let received = reports.clone();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = directory.accept().await {
            let mut buffer = vec![0; 4096];
            while let Ok(n @ 1..) = s.read(&mut buffer).await {
                received.lock().unwrap().push(String::from_utf8_lossy(&buffer[..n]).into_owned());
                let _ = s.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await;
            }
        }
    });
    let setup = Setup {
        settings: settings(2, 3_000, 6_000),
        agent: Some(agent),
        lookup: Some(lookup),
        ..Setup::default()
    };
    let node = setup.start().await;
    let mut c = Caller::connect(node.msgpack).await;
    assert!(!c.health(1).await);
    c.ask(2, "quote", fields("early", &[]), "1 early").await;
    assert_eq!(c.answer().await.expect("the node answers the request").word, "Full");
    assert!(reports.lock().unwrap().is_empty(), "no report before the agent is up");
    farm.asleep.store(false, Ordering::SeqCst);
    within("a good check", async {
        let mut id = 3;
        while !c.health(id).await {
            id += 1;
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    within("a report", async {
        while reports.lock().unwrap().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    insta::assert_snapshot!(reports.lock().unwrap()[0].replace('\r', ""));
    node.leave().await;
    assert!(reports.lock().unwrap().last().unwrap().contains("closed"));
}

/// Out of descriptors, the node closes idle connections, goes on serving open ones, and accepts again later.
#[tokio::test]
async fn the_node_recovers_from_running_out_of_descriptors() {
    let (node, _farm) = node_with_file_limit(2, Some(40)).await;
    let mut c = Caller::connect(node.msgpack).await;
    c.ask(1, "quote", fields("a", &[]), "200 a").await;
    let mut connections = Vec::new();
    for _ in 0..60 {
        connections.push(TcpStream::connect(node.msgpack).await.unwrap());
    }
    assert_eq!(c.answer().await.expect("the node answers the request").word, "ok");
    drop(connections);
    let mut late = Caller::connect(node.msgpack).await;
    late.ask(1, "quote", fields("b", &[]), "1 b").await;
    assert_eq!(late.answer().await.expect("the node answers the request").word, "ok");
    node.signal("-USR1");
    sleep(Duration::from_millis(100)).await;
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("accept: ") && log.matches("counters: ").count() == 2, "{log}");
}

/// A connection without a message, or with a partial one, is closed within 3 s. Any number of them keeps no caller out,
/// and a caller that has sent a request keeps its connection.
#[tokio::test]
async fn silent_connections_are_closed_and_keep_no_caller_out() {
    let (node, _farm) = node(2).await;
    let mut active = Caller::connect(node.msgpack).await;
    active.ask(1, "quote", fields("a", &[]), "1 a").await;
    assert_eq!(active.answer().await.expect("the node answers the request").word, "ok");
    let mut silent = TcpStream::connect(node.msgpack).await.unwrap();
    let mut partial = TcpStream::connect(node.msgpack).await.unwrap();
    partial.write_all(b"\x94\x00\x01\xa5quo").await.unwrap();
    let is_closed = |s: &mut TcpStream| s.try_read(&mut [0]).is_ok_and(|n| n == 0);
    sleep(Duration::from_millis(500)).await;
    assert!(!is_closed(&mut silent) && !is_closed(&mut partial), "neither is closed before its time");
    for s in [&mut silent, &mut partial] {
        within("a close", s.read(&mut [0])).await.expect("the connection is closed without a reset");
    }
    active.ask(2, "quote", fields("b", &[]), "1 b").await;
    assert_eq!(active.answer().await.expect("the node answers the request").word, "ok");
    // More connections than the node has descriptors: a new caller is accepted at once, and one that waits stays open.
    active.ask(3, "quote", fields("c", &[]), "800 c").await;
    let mut connections = Vec::new();
    for i in 0..400 {
        connections.push(TcpStream::connect(node.msgpack).await.unwrap());
        if i % 2 == 0 {
            let _ = connections[i].write_all(b"\x94\x00").await;
        }
    }
    let mut late = Caller::connect(node.msgpack).await;
    late.ask(1, "quote", fields("d", &[]), "1 d").await;
    assert_eq!(late.answer().await.expect("the node answers the request").word, "ok");
    assert_eq!(active.answer().await.expect("the node answers the request").word, "ok");
    let (_, good, log) = node.leave().await;
    let counted = ["closed.Msgpack.Silent=", "closed.Msgpack.Slow=", "closed.Msgpack.Crowded="];
    assert!(good && counted.iter().all(|c| log.contains(c)), "{log}");
}

/// A connection is closed after 64 rejected requests in a row; one with an accepted request among them stays open.
#[tokio::test]
async fn a_connection_with_only_rejected_requests_is_closed() {
    let (node, _farm) = node(2).await;
    let mut c = Caller::connect(node.msgpack).await;
    for id in 0..200 {
        c.ask(id, if id % 50 == 0 { "health" } else { "dance" }, fields("r", &[]), "").await;
        c.next().await.expect("the node answers the request");
    }
    let mut c = Caller::connect(node.msgpack).await;
    for id in 0..5_000 {
        c.ask(id, "dance", fields("r", &[]), "").await;
    }
    let mut answers = 0;
    while let Some(a) = c.answer().await {
        assert_eq!(a.word, "Error");
        answers += 1;
    }
    assert_eq!(answers, 64);
    let (_, _, log) = node.leave().await;
    assert!(log.contains("closed.Msgpack.Unruly=1"), "{log}");
}
