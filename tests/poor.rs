//! Poor links on real sockets: one test for each way in which a sender or reader is slow, stalls or vanishes. Verdicts
//! come from what the node counts and answers, with times that leave room for a slow machine.

mod net;

use std::sync::Arc;
use std::time::Duration;

use holdlift_lab::link::{Impairment, Link};
use net::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// An edge with one listener under a profile of these figures.
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

fn ask(class: &str, body: &str) -> Vec<u8> {
    packet(&[("CLASS", class)], body.as_bytes())
}

/// Leaves and returns a figure of each name that the last counters hold.
async fn left(node: Node, names: &[&str]) -> Vec<u64> {
    let (_, good, log) = node.leave().await;
    assert!(good, "{log}");
    let figure = |name: &&str| {
        let at = log.rfind(&format!(" {name}=")).map(|at| &log[at + name.len() + 2..]);
        let digits = at.map_or("0", |t| t.split(|c: char| !c.is_ascii_digit()).next().unwrap_or("0"));
        digits.parse().unwrap_or(0)
    };
    names.iter().map(figure).collect()
}

/// Hundreds that trickle stay or go by their pace, and who asks beside them is served.
#[tokio::test]
async fn tricklers_starve_nobody() {
    let (node, _farm) = node(edge("", "grace_ms = 30000\nburst_ms = 30000\nrest_ms = 200", 600), 0).await;
    let whole = ask("quote", "1 trickle");
    let mut tricklers = Vec::new();
    for _ in 0..400 {
        let mut s = TcpStream::connect(node.edge).await.unwrap();
        s.write_all(&whole[..1]).await.unwrap();
        tricklers.push(s);
    }
    for at in 1..6 {
        for s in &mut tricklers {
            s.write_all(&whole[at..at + 1]).await.unwrap();
        }
        sleep(Duration::from_millis(250)).await;
        assert_eq!(exchange(node.edge, &ask("quote", "1 quick")).await.0, "HTTP/1.1 200 OK");
    }
    // What they began is still good.
    for s in tricklers.iter_mut().take(20) {
        s.write_all(&whole[6..]).await.unwrap();
        assert_eq!(read_reply(s).await.0, "HTTP/1.1 200 OK");
    }
    drop(tricklers);
    let [rests, looks, half_in, conns] = left(node, &["rests", "looks", "half_in", "conns"]).await[..] else {
        panic!()
    };
    assert!(rests > 400 && looks > 400, "{rests} {looks}");
    assert_eq!((half_in, conns), (0, 0));
}

/// A body that never comes, or comes at the least rate for ever, ends with its time; a stall that the credit covers
/// does not. The same stall under fixed patience does.
#[tokio::test]
async fn progress_is_what_counts() {
    let figures = "least_rate = 50\ngrace_ms = 1500\nburst_ms = 1500\nlongest = 0.3\nrest_ms = 100";
    let (node, farm) = node(edge("", figures, 64), 0).await;
    let whole = ask("book-job", &format!("1 slow {}", ".".repeat(200)));
    // Twice the least rate, and a stall under the grace.
    let stalls = Impairment { rate: 400, stall_after: Some(100), stall_ms: 600, ..Impairment::default() };
    let link = Link::to(node.edge, stalls, 1).await;
    assert_eq!(exchange(link.address, &whole).await.0, "HTTP/1.1 200 OK");
    let link = Link::to(node.uwsgi, stalls, 1).await;
    assert_eq!(exchange(link.address, &whole).await.0, "", "header_ms is 400 there");
    // Headers whole, body never.
    assert_eq!(exchange(node.edge, &whole[..whole.len() - 200]).await.0, "");
    // The least rate for ever: a body that would take 40 s, in 0.3 times 20 s.
    let long = ask("quote", &format!("1 long {}", ".".repeat(3_000)));
    let link = Link::to(node.edge, Impairment { rate: 75, ..Impairment::default() }, 1).await;
    assert_eq!(exchange(link.address, &long).await.0, "");
    assert_eq!(farm.runs.lock().unwrap().len(), 1);
    assert_eq!(left(node, &["asked.Uwsgi", "cut_off", "closed.Uwsgi.Slow"]).await, [1, 3, 3]);
}

/// A reader that takes a large answer byte by byte is cut off when its time is over, its request is answered, and
/// nobody else waits.
#[tokio::test]
async fn slow_readers_have_their_time() {
    let figures = "answer_ms = 1500\nstall_ms = 60000\nsend_buffer_kb = 4";
    let (node, _farm) = node(edge("", figures, 64), 200_000).await;
    let request = ask("quote", "1 x");
    let mut slow = Vec::new();
    for _ in 0..4 {
        let mut s = connect_slow(node.edge, 4 << 10).await.unwrap();
        s.write_all(&request).await.unwrap();
        slow.push(s);
    }
    for _ in 0..5 {
        let (line, rest) = exchange(node.edge, &request).await;
        assert_eq!((line.as_str(), rest.matches('x').count()), ("HTTP/1.1 200 OK", 200_000));
    }
    for s in &mut slow {
        // 100 bytes at a time until the node has had enough.
        let (mut bytes, mut got) = ([0; 100], 0);
        while let Ok(n @ 1..) = within("the rest", s.read(&mut bytes)).await {
            got += n;
            sleep(Duration::from_millis(if got < 2_000 { 100 } else { 1 })).await;
        }
        assert!(got < 200_000, "{got}");
    }
    let counted = left(node, &["served", "undelivered", "closed.Uwsgi.Stalled", "conns", "owed"]).await;
    assert_eq!(counted, [9, 4, 4, 0, 0]);
}

/// A device that is gone without a word, in each state: nothing stays behind, and what it asked is counted as
/// answered.
#[tokio::test]
async fn who_vanishes_leaves_nothing_behind() {
    let figures = "least_rate = 100\ngrace_ms = 500\nburst_ms = 500\nrest_ms = 100\nstall_ms = 500\nanswer_ms = 3000\n\
                   send_buffer_kb = 4\nsilence_ms = 500\nlinger_ms = 200";
    let (node, _farm) = node(edge("", figures, 64), 100_000).await;
    let whole = ask("quote", &format!("1 gone {}", ".".repeat(100)));
    let held = 20_000;
    let up = |bytes: usize| Impairment {
        vanish_after: Some(bytes as u64),
        held_ms: held,
        ..Impairment::default()
    };
    let states = [
        ("before a byte", up(1)),
        ("in the header", Impairment { rate: 100, ..up(30) }),
        ("in the body", Impairment { rate: 100, ..up(whole.len() - 40) }),
        ("mid-answer", Impairment { vanish_down: Some(2_000), held_ms: held, ..Impairment::default() }),
    ];
    let mut links = Vec::new();
    for (what, i) in states {
        let link = Link::to(node.edge, i, 3).await;
        let mut s = TcpStream::connect(link.address).await.expect(what);
        s.write_all(&whole).await.expect(what);
        links.push((link, s));
    }
    let mut counted = Vec::new();
    within("all gone", async {
        // Counters are looked at by asking one that is served: it shows that the node goes on.
        loop {
            assert_eq!(exchange(node.edge, &ask("quote", "1 here")).await.0, "HTTP/1.1 200 OK");
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
    let all = left(node, &names).await;
    assert_eq!(all, [0, 0, 0, 1, 1, 1, 2], "{names:?}");
}

/// A crowd behind one address, with honest devices among it: the address has its share, the crowd's silent ones make
/// room for whoever of it asks, and other addresses do not notice.
#[tokio::test]
async fn a_crowd_behind_one_address() {
    let (node, _farm) = node(edge("source_connections = 20", "silence_ms = 60000", 64), 0).await;
    let mut crowd = Vec::new();
    for _ in 0..20 {
        crowd.push(TcpStream::connect(node.edge).await.unwrap());
    }
    sleep(Duration::from_millis(300)).await;
    for _ in 0..5 {
        assert_eq!(exchange(node.edge, &ask("quote", "1 honest")).await.0, "HTTP/1.1 200 OK");
    }
    // Another source has its own share: the whole of 127.0.0.0/8 is this machine.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.9.9.9:0".parse().unwrap()).unwrap();
    let mut other = socket.connect(node.edge).await.unwrap();
    other.write_all(&ask("quote", "1 other")).await.unwrap();
    assert_eq!(read_reply(&mut other).await.0, "HTTP/1.1 200 OK");
    drop(crowd);
    let [served, crowded] = left(node, &["served", "crowded"]).await[..] else { panic!() };
    assert_eq!(served, 6);
    assert!(crowded >= 1, "{crowded}");
}

/// Amid tricklers, slow readers and stalled bodies: a reload changes nothing for them, and the notice to leave is kept.
#[tokio::test]
async fn leaving_and_reloading_amid_poor_links() {
    let (node, farm) =
        node(edge("", "grace_ms = 60000\nburst_ms = 60000\nrest_ms = 100\nlinger_ms = 60000", 256), 0).await;
    let whole = ask("book-job", "100 honest");
    let mut bad = Vec::new();
    for i in 0..100 {
        let mut s = TcpStream::connect(node.edge).await.unwrap();
        s.write_all(&whole[..i % (whole.len() - 1)]).await.unwrap();
        bad.push(s);
    }
    sleep(Duration::from_millis(700)).await;
    node.signal("-HUP");
    let mut slow = TcpStream::connect(node.edge).await.unwrap();
    slow.write_all(&whole[..10]).await.unwrap();
    sleep(Duration::from_millis(700)).await;
    node.reloaded(1).await;
    slow.write_all(&whole[10..]).await.unwrap();
    assert_eq!(read_reply(&mut slow).await.0, "HTTP/1.1 200 OK");
    let mut last = TcpStream::connect(node.edge).await.unwrap();
    last.write_all(&whole).await.unwrap();
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

/// Out of descriptors with a door full of tricklers: whoever asks gets in sooner or later, and the node goes on.
#[tokio::test]
async fn out_of_descriptors_amid_tricklers() {
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
    let mut crowd = Vec::new();
    for _ in 0..100 {
        let mut s = TcpStream::connect(node.edge).await.unwrap();
        let _ = s.write_all(b"\0").await;
        crowd.push(s);
    }
    within("an answer", async {
        while exchange(node.edge, &ask("quote", "1 in")).await.0 != "HTTP/1.1 200 OK" {
            sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    drop(crowd);
    assert_eq!(left(node, &["conns", "half_in"]).await, [0, 0]);
}

/// What a profile asks of the system is set on the socket.
#[tokio::test]
async fn dead_peers_are_probed_for() {
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
    // The system doubles what it is told, for its own books.
    assert!(socket.send_buffer_size().unwrap() <= 128 << 10);
}
