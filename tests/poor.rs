//! Poor links on real sockets: one test for each way in which a sender or reader is slow, stalls or vanishes. The tests
//! check the node's counters and answers, with time limits that allow for a slow machine.

mod net;

use std::sync::Arc;
use std::time::Duration;

use holdlift_lab::link::{Impairment, Link};
use net::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The text of an edge file with one listener and one profile with these settings.
fn edge(limits: &str, profile: &str, connections: usize) -> Option<String> {
    Some(format!(
        "[limits]\n{limits}\n[profiles.p]\n{profile}\n[[listeners]]\nname = \"field\"\nfront = \"uwsgi\"\n\
         listen = \"{{edge}}\"\nprofile = \"p\"\nconnections = {connections}\n"
    ))
}

async fn node(edge: Option<String>, reply: usize) -> (Node, Arc<Farm>) {
    let (listener, server) = bind().await;
    let farm = Farm::new(2);
    if reply == 0 {
        tokio::spawn(farm.clone().uwsgi(listener));
    } else {
        tokio::spawn(async move {
            while let Ok((mut s, _)) = listener.accept().await {
                tokio::spawn(async move {
                    read_packet(&mut s).await;
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {reply}\r\n\r\n");
                    let _ = s.write_all(&[head.as_bytes(), &vec![b'x'; reply]].concat()).await;
                });
            }
        });
    }
    let settings = settings(2, 10_000, 20_000);
    let setup = Setup { settings, servers: vec![server], slots: 2, sockets: 2_000, edge, ..Setup::default() };
    (setup.start().await, farm)
}

fn request(class: &str, body: &str) -> Vec<u8> {
    packet(&[("CLASS", class)], body.as_bytes())
}

/// Stops the node and returns the final value of each named counter, 0 where it is absent.
async fn stop_and_read_counters(node: Node, names: &[&str]) -> Vec<u64> {
    let (_, good, log) = node.leave().await;
    assert!(good, "{log}");
    let counter = |name: &&str| {
        let at = log.rfind(&format!(" {name}=")).map(|at| &log[at + name.len() + 2..]);
        let digits = at.map_or("0", |t| t.split(|c: char| !c.is_ascii_digit()).next().unwrap_or("0"));
        digits.parse().unwrap_or(0)
    };
    names.iter().map(counter).collect()
}

/// 400 senders that trickle fast enough keep their connections, and other requests are served meanwhile.
#[tokio::test]
async fn slow_senders_delay_no_other_request() {
    let (node, _farm) = node(edge("", "grace_ms = 30000\nburst_ms = 30000\nrest_ms = 200", 600), 0).await;
    let complete = request("quote", "1 trickle");
    let mut slow_senders = Vec::new();
    for _ in 0..400 {
        let mut s = TcpStream::connect(node.edge).await.unwrap();
        s.write_all(&complete[..1]).await.unwrap();
        slow_senders.push(s);
    }
    for at in 1..6 {
        for s in &mut slow_senders {
            s.write_all(&complete[at..at + 1]).await.unwrap();
        }
        sleep(Duration::from_millis(250)).await;
        assert_eq!(exchange(node.edge, &request("quote", "1 quick")).await.0, "HTTP/1.1 200 OK");
    }
    // The requests they began can still be completed.
    for s in slow_senders.iter_mut().take(20) {
        s.write_all(&complete[6..]).await.unwrap();
        assert_eq!(read_reply(s).await.0, "HTTP/1.1 200 OK");
    }
    drop(slow_senders);
    let [rests, looks, half_in, conns] =
        stop_and_read_counters(node, &["rests", "looks", "half_in", "conns"]).await[..]
    else {
        panic!()
    };
    assert!(rests > 400 && looks > 400, "{rests} {looks}");
    assert_eq!((half_in, conns), (0, 0));
}

/// A connection whose body never arrives, or arrives at the lowest rate for ever, is closed at its time limit. A stall
/// that the earned credit covers closes no connection; under a fixed timeout the same stall does.
#[tokio::test]
async fn a_request_is_cut_off_for_lack_of_progress_not_for_a_short_stall() {
    let figures = "least_rate = 50\ngrace_ms = 1500\nburst_ms = 1500\nlongest = 0.3\nrest_ms = 100";
    let (node, farm) = node(edge("", figures, 64), 0).await;
    let complete = request("book-job", &format!("1 slow {}", ".".repeat(200)));
    // Above the lowest rate, with a stall shorter than the grace.
    let stalls = Impairment { rate: 400, stall_after: Some(100), stall_ms: 600, ..Impairment::default() };
    let link = Link::to(node.edge, stalls, 1).await;
    assert_eq!(exchange(link.address, &complete).await.0, "HTTP/1.1 200 OK");
    let link = Link::to(node.uwsgi, stalls, 1).await;
    assert_eq!(
        exchange(link.address, &complete).await.0,
        "",
        "the listener has header_ms = 400, shorter than the stall"
    );
    // The header is complete and the body never arrives.
    assert_eq!(exchange(node.edge, &complete[..complete.len() - 200]).await.0, "");
    // Just above the lowest rate: a body that takes 40 s, where 0.3 times 20 s are allowed.
    let long = request("quote", &format!("1 long {}", ".".repeat(3_000)));
    let link = Link::to(node.edge, Impairment { rate: 75, ..Impairment::default() }, 1).await;
    assert_eq!(exchange(link.address, &long).await.0, "");
    assert_eq!(farm.runs.lock().unwrap().len(), 1);
    assert_eq!(
        stop_and_read_counters(node, &["asked.Uwsgi", "cut_off", "closed.Uwsgi.Slow"]).await,
        [1, 3, 3]
    );
}

/// A reader that takes a large answer a few bytes at a time is closed at its time limit, its request counts as answered,
/// and no other reader is delayed.
#[tokio::test]
async fn a_slow_reader_is_closed_at_its_time_limit() {
    let figures = "answer_ms = 1500\nstall_ms = 60000\nsend_buffer_kb = 4";
    let (node, _farm) = node(edge("", figures, 64), 200_000).await;
    let packet_bytes = request("quote", "1 x");
    let mut slow = Vec::new();
    for _ in 0..4 {
        let mut s = connect_slow(node.edge, 4 << 10).await.unwrap();
        s.write_all(&packet_bytes).await.unwrap();
        slow.push(s);
    }
    for _ in 0..5 {
        let (line, rest) = exchange(node.edge, &packet_bytes).await;
        assert_eq!((line.as_str(), rest.matches('x').count()), ("HTTP/1.1 200 OK", 200_000));
    }
    for s in &mut slow {
        // 100 bytes at a time until the node closes the connection.
        let (mut bytes, mut got) = ([0; 100], 0);
        while let Ok(n @ 1..) = within("the rest of the answer", s.read(&mut bytes)).await {
            got += n;
            sleep(Duration::from_millis(if got < 2_000 { 100 } else { 1 })).await;
        }
        assert!(got < 200_000, "{got}");
    }
    let counted =
        stop_and_read_counters(node, &["served", "undelivered", "closed.Uwsgi.Stalled", "conns", "owed"])
            .await;
    assert_eq!(counted, [9, 4, 4, 0, 0]);
}

/// A device vanishes without closing, in each state: the node keeps no memory or connection for it, and its requests
/// count as answered.
#[tokio::test]
async fn a_vanished_device_leaves_no_connection_or_memory() {
    let figures = "least_rate = 100\ngrace_ms = 500\nburst_ms = 500\nrest_ms = 100\nstall_ms = 500\nanswer_ms = 3000\n\
                   send_buffer_kb = 4\nsilence_ms = 500\nlinger_ms = 200";
    let (node, _farm) = node(edge("", figures, 64), 100_000).await;
    let complete = request("quote", &format!("1 gone {}", ".".repeat(100)));
    let held = 20_000;
    let up = |bytes: usize| Impairment {
        vanish_after: Some(bytes as u64),
        held_ms: held,
        ..Impairment::default()
    };
    let states = [
        ("before a byte", up(1)),
        ("in the header", Impairment { rate: 100, ..up(30) }),
        ("in the body", Impairment { rate: 100, ..up(complete.len() - 40) }),
        ("mid-answer", Impairment { vanish_down: Some(2_000), held_ms: held, ..Impairment::default() }),
    ];
    let mut links = Vec::new();
    for (what, i) in states {
        let link = Link::to(node.edge, i, 3).await;
        let mut s = TcpStream::connect(link.address).await.expect(what);
        s.write_all(&complete).await.expect(what);
        links.push((link, s));
    }
    let mut counted = Vec::new();
    within("all gone", async {
        // Requests that are served meanwhile show that the node goes on.
        loop {
            assert_eq!(exchange(node.edge, &request("quote", "1 here")).await.0, "HTTP/1.1 200 OK");
            sleep(Duration::from_millis(200)).await;
            counted.push(());
            if counted.len() > 15 {
                break;
            }
        }
    })
    .await;
    let names = [
        "conns",
        "half_in",
        "owed",
        "undelivered",
        "closed.Uwsgi.Stalled",
        "closed.Uwsgi.Silent",
        "closed.Uwsgi.Slow",
    ];
    let all = stop_and_read_counters(node, &names).await;
    assert_eq!(all, [0, 0, 0, 1, 1, 1, 2], "{names:?}");
}

/// Many connections from one address: it is limited to its share, its silent connections are closed to admit those that
/// send requests, and other addresses are not affected.
#[tokio::test]
async fn one_address_is_limited_to_its_share_of_connections() {
    let (node, _farm) = node(edge("source_connections = 20", "silence_ms = 60000", 64), 0).await;
    let mut connections = Vec::new();
    for _ in 0..20 {
        connections.push(TcpStream::connect(node.edge).await.unwrap());
    }
    sleep(Duration::from_millis(300)).await;
    for _ in 0..5 {
        assert_eq!(exchange(node.edge, &request("quote", "1 honest")).await.0, "HTTP/1.1 200 OK");
    }
    // Another source has its own share: every address of 127.0.0.0/8 is local.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.9.9.9:0".parse().unwrap()).unwrap();
    let mut other = socket.connect(node.edge).await.unwrap();
    other.write_all(&request("quote", "1 other")).await.unwrap();
    assert_eq!(read_reply(&mut other).await.0, "HTTP/1.1 200 OK");
    drop(connections);
    let [served, crowded] = stop_and_read_counters(node, &["served", "crowded"]).await[..] else { panic!() };
    assert_eq!(served, 6);
    assert!(crowded >= 1, "{crowded}");
}

/// While 100 connections hold partial requests, a reload does not affect them, and after the notice to leave the process
/// exits in time.
#[tokio::test]
async fn a_reload_and_a_drain_with_partial_requests_open() {
    let (node, farm) =
        node(edge("", "grace_ms = 60000\nburst_ms = 60000\nrest_ms = 100\nlinger_ms = 60000", 256), 0).await;
    let complete = request("book-job", "100 honest");
    let mut bad = Vec::new();
    for i in 0..100 {
        let mut s = TcpStream::connect(node.edge).await.unwrap();
        s.write_all(&complete[..i % (complete.len() - 1)]).await.unwrap();
        bad.push(s);
    }
    sleep(Duration::from_millis(700)).await;
    node.signal("-HUP");
    let mut slow = TcpStream::connect(node.edge).await.unwrap();
    slow.write_all(&complete[..10]).await.unwrap();
    sleep(Duration::from_millis(700)).await;
    node.reloaded(1).await;
    slow.write_all(&complete[10..]).await.unwrap();
    assert_eq!(read_reply(&mut slow).await.0, "HTTP/1.1 200 OK");
    let mut last = TcpStream::connect(node.edge).await.unwrap();
    last.write_all(&complete).await.unwrap();
    within("a run", async {
        while farm.runs.lock().unwrap().get("honest") != Some(&2) {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    let leaving = tokio::spawn(node.leave());
    assert_eq!(read_reply(&mut last).await.0, "HTTP/1.1 200 OK");
    let (took, good, log) = leaving.await.unwrap();
    assert!(good && took < BY_ITSELF, "{took:?}: {log}");
    assert!(log.contains("reloads=1") && log.contains("conns=0"), "{log}");
}

/// Out of descriptors, with every connection held by a slow sender: a complete request is served eventually, and the node
/// goes on.
#[tokio::test]
async fn requests_are_served_when_slow_senders_exhaust_the_descriptors() {
    let (listener, server) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().uwsgi(listener));
    let figures = "least_rate = 1000\ngrace_ms = 600\nburst_ms = 600\nrest_ms = 100\nsilence_ms = 600";
    let setup = Setup {
        settings: settings(2, 10_000, 20_000),
        servers: vec![server],
        slots: 2,
        sockets: 2_000,
        files_later: Some(60),
        edge: edge("", figures, 500),
        ..Setup::default()
    };
    let node = setup.start().await;
    let mut connections = Vec::new();
    for _ in 0..100 {
        let mut s = TcpStream::connect(node.edge).await.unwrap();
        let _ = s.write_all(b"\0").await;
        connections.push(s);
    }
    within("an answer", async {
        while exchange(node.edge, &request("quote", "1 in")).await.0 != "HTTP/1.1 200 OK" {
            sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    drop(connections);
    assert_eq!(stop_and_read_counters(node, &["conns", "half_in"]).await, [0, 0]);
}

/// The keepalive, user timeout and send buffer of a profile are set on the socket.
#[tokio::test]
async fn a_profile_sets_the_socket_options() {
    use holdlift::door::profile::Profile;
    let (listener, address) = bind().await;
    let _client = TcpStream::connect(address).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let socket = socket2::SockRef::from(&stream);
    holdlift::runtime::set_socket_options(&stream, &Profile::STRICT).unwrap();
    assert_eq!((socket.keepalive().unwrap(), socket.tcp_user_timeout().unwrap()), (false, None));
    holdlift::runtime::set_socket_options(&stream, &Profile::PATIENT).unwrap();
    assert!(socket.keepalive().unwrap());
    assert_eq!(socket.tcp_keepalive_time().unwrap(), Duration::from_secs(10));
    assert_eq!(socket.tcp_user_timeout().unwrap(), Some(Duration::from_secs(30)));
    // Linux doubles the requested size for its own bookkeeping.
    assert!(socket.send_buffer_size().unwrap() <= 128 << 10);
}
