//! The uwsgi front on real sockets, alone and beside the platform's.

mod net;

use std::sync::Arc;
use std::time::{Duration, Instant};

use net::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until};

/// A node without an agent, in front of one uwsgi server.
async fn node(slots: usize, aim_ms: u64) -> (Node, Arc<Farm>) {
    let (listener, server) = bind().await;
    let farm = Farm::new(slots);
    tokio::spawn(farm.clone().uwsgi(listener));
    let settings = settings(slots as u32, aim_ms, 2 * aim_ms);
    (Setup { settings, servers: vec![server], slots, ..Setup::default() }.start().await, farm)
}

/// Waits until the node says that a counter stands so; its log is read at the end.
async fn left(node: Node, wanted: &[&str]) {
    let (_, good, log) = node.leave().await;
    let missing: Vec<_> = wanted.iter().filter(|w| !log.contains(**w)).collect();
    assert!(good && missing.is_empty(), "{missing:?} not in {log}");
}

#[tokio::test]
async fn each_request_has_its_status() {
    let (node, farm) = node(2, 3_000).await;
    let class = |c| ("CLASS", c);
    let big = vec![b'x'; 5_000];
    let cases = [
        ("read", packet(&[class("quote")], b"5 a")),
        ("write by another name", packet(&[class("/buy"), ("EFFORT", "5"), ("RANK", "0.9")], b"5 b")),
        ("unknown class", packet(&[class("/dance")], b"5 c")),
        ("no class", packet(&[], b"5 d")),
        ("bad rank", packet(&[class("quote"), ("RANK", "2")], b"")),
        ("bad effort", packet(&[class("quote"), ("EFFORT", "much")], b"")),
        ("large body", packet(&[class("quote")], &big)),
        ("large vars", packet(&[class("quote"), ("X", std::str::from_utf8(&big).unwrap())], b"")),
        ("another modifier", vec![5, 0, 0, 0]),
        ("vars that do not fit", vec![0, 3, 0, 0, 9, 0, b'x']),
    ];
    let mut seen = Vec::new();
    for (what, bytes) in &cases {
        seen.push(format!("{what}: {:?}", exchange(node.uwsgi, bytes).await));
    }
    insta::assert_snapshot!(seen.join("\n"));
    assert_eq!(farm.runs.lock().unwrap().len(), 2);
    left(node, &["asked.Uwsgi=2", "served=2", "unfit.UnknownClass=2", "unfit.BadRequest=2"]).await;
}

/// What is cut off or stalls in its header, vars or body was never read; byte by byte all is well.
#[tokio::test]
async fn only_whole_requests_are_read() {
    let (node, farm) = node(2, 3_000).await;
    let whole = packet(&[("CLASS", "book-job")], b"1 whole");
    let places = [2, 10, whole.len() - 3];
    for at in places {
        let mut s = TcpStream::connect(node.uwsgi).await.unwrap();
        s.write_all(&whole[..at]).await.unwrap();
        drop(s);
    }
    for at in places {
        // Stalled, not closed: the node closes without a word.
        assert_eq!(exchange(node.uwsgi, &whole[..at]).await.0, "");
    }
    let mut s = TcpStream::connect(node.uwsgi).await.unwrap();
    s.set_nodelay(true).unwrap();
    for byte in &whole {
        s.write_all(&[*byte]).await.unwrap();
        tokio::task::yield_now().await;
    }
    assert_eq!(read_reply(&mut s).await.0, "HTTP/1.1 200 OK");
    assert_eq!(farm.runs.lock().unwrap().len(), 1);
    left(node, &["asked.Uwsgi=1 ", "cut_off=6", "closed.Uwsgi.CutOff=3", "closed.Uwsgi.Slow=3"]).await;
}

/// A write runs once, also when its server breaks off; only a server that can't be reached is passed over.
#[tokio::test]
async fn a_write_never_runs_twice() {
    let (listener, broken) = bind().await;
    let taken = Arc::new(std::sync::atomic::AtomicU32::new(0));
    let count = taken.clone();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            read_packet(&mut s).await;
            count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            let _ = s.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal").await;
        }
    });
    let (refusing, settings) = (free().await, settings(2, 3_000, 6_000));
    let node =
        Setup { settings: settings.clone(), servers: vec![refusing, broken], slots: 1, ..Setup::default() };
    let node = node.start().await;
    let write = packet(&[("CLASS", "book-job")], b"1 x");
    for n in 1..=3 {
        assert_eq!(exchange(node.uwsgi, &write).await.0, "HTTP/1.1 502 Bad Gateway");
        assert_eq!(taken.load(std::sync::atomic::Ordering::SeqCst), n);
    }
    let nowhere = Setup { settings, servers: vec![refusing], slots: 1, ..Setup::default() }.start().await;
    assert_eq!(exchange(nowhere.uwsgi, &write).await.0, "HTTP/1.1 502 Bad Gateway");
    left(node, &["failed.Run=3"]).await;
}

/// Too much at once is refused, with a time to stay away.
#[tokio::test]
async fn the_hold_refuses() {
    let (node, farm) = node(1, 400).await;
    let address = node.uwsgi;
    let ask = |i| packet(&[("CLASS", "quote"), ("EFFORT", "200")], format!("200 job-{i}").as_bytes());
    let crowd: Vec<_> =
        (0..12).map(|i| tokio::spawn(async move { exchange(address, &ask(i)).await })).collect();
    let mut refused = 0;
    for task in crowd {
        let (line, rest) = task.await.unwrap();
        if line == "HTTP/1.1 503 Service Unavailable" {
            assert!(rest.contains("Retry-After: 1\r\n"), "{rest}");
            refused += 1;
        }
    }
    assert!(refused > 0 && farm.runs.lock().unwrap().len() == 12 - refused);
    left(node, &[&format!("refused={refused} ")]).await;
}

/// A client gone from the hold is never run.
#[tokio::test]
async fn the_gone_are_forgotten() {
    let (node, farm) = node(1, 5_000).await;
    let address = node.uwsgi;
    let ask = |name: &str| packet(&[("CLASS", "book-job")], format!("300 {name}").as_bytes());
    let first = ask("first");
    let first = tokio::spawn(async move { exchange(address, &first).await.0 });
    within("a run", async {
        while farm.running.load(std::sync::atomic::Ordering::SeqCst) == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    let mut gone = TcpStream::connect(address).await.unwrap();
    gone.write_all(&ask("gone")).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    drop(gone);
    assert_eq!(first.await.unwrap(), "HTTP/1.1 200 OK");
    assert_eq!(exchange(address, &ask("last")).await.0, "HTTP/1.1 200 OK");
    assert!(!farm.runs.lock().unwrap().contains_key("gone"));
    left(node, &["asked.Uwsgi=3 ", "gone=1 "]).await;
}

/// Drain: held and running work is answered, what comes past the grace is refused, and the process is gone in time.
#[tokio::test]
async fn leaving_answers_all() {
    let (node, farm) = node(2, 3_000).await;
    let address = node.uwsgi;
    let early: Vec<_> = (0..8)
        .map(|i| {
            let p = packet(&[("CLASS", "book-job")], format!("150 w{i}").as_bytes());
            tokio::spawn(async move { exchange(address, &p).await.0 })
        })
        .collect();
    sleep(Duration::from_millis(60)).await;
    let leaving = tokio::spawn(node.leave());
    sleep(Duration::from_millis(600)).await;
    let late = exchange(address, &packet(&[("CLASS", "book-job")], b"1 late")).await;
    assert_eq!(late.0, "HTTP/1.1 503 Service Unavailable");
    // The module turns away what it holds to be too long for the time left; nothing goes without an answer.
    let mut served = 0;
    for task in early {
        let line = task.await.unwrap();
        assert!(line == "HTTP/1.1 200 OK" || line == "HTTP/1.1 503 Service Unavailable", "{line}");
        served += u32::from(line.contains("200"));
    }
    assert!(served >= 4, "{served}");
    let (took, good, log) = leaving.await.unwrap();
    assert!(good && took < BY_ITSELF, "{took:?}: {log}");
    assert!(!farm.runs.lock().unwrap().contains_key("late") && farm.most_runs() == 1);
}

/// A gateway that does not read a large reply holds up nobody else.
#[tokio::test]
async fn slow_readers_stall_nobody() {
    let (listener, server) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            tokio::spawn(async move {
                read_packet(&mut s).await;
                let head = "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n";
                let _ = s.write_all(&[head.as_bytes(), &[b'x'; 200_000]].concat()).await;
            });
        }
    });
    let settings = settings(4, 3_000, 6_000);
    let node = Setup { settings, servers: vec![server], slots: 4, ..Setup::default() }.start().await;
    let ask = packet(&[("CLASS", "quote")], b"");
    let mut deaf = Vec::new();
    for _ in 0..6 {
        let mut s = TcpStream::connect(node.uwsgi).await.unwrap();
        s.write_all(&ask).await.unwrap();
        deaf.push(s);
    }
    let (line, rest) = exchange(node.uwsgi, &ask).await;
    assert_eq!((line.as_str(), rest.matches('x').count()), ("HTTP/1.1 200 OK", 200_000));
    // And whoever reads late still gets it whole.
    let mut got = Vec::new();
    within("a reply", deaf[0].read_to_end(&mut got)).await.unwrap();
    assert!(got.len() > 200_000);
}

/// Both kinds at 110% of what the farm can do: equal service per unit of work, and no rule broken.
#[tokio::test]
async fn a_mixed_crowd_is_served_alike() {
    const CORES: usize = 4;
    const SECONDS: f64 = 8.0;
    /// How far the shares of work served may lie apart.
    const TOLERANCE: f64 = 0.12;
    let farm = Farm::new(CORES);
    let (listener, agent) = bind().await;
    tokio::spawn(farm.clone().agent(listener));
    let (listener, server) = bind().await;
    tokio::spawn(farm.clone().uwsgi(listener));
    let settings = settings(CORES as u32, 700, 1_400);
    let node =
        Setup { settings, agent: Some(agent), servers: vec![server], slots: CORES, ..Setup::default() };
    let node = node.start().await;
    let mut check = Caller::connect(node.msgpack).await;
    for id in 0.. {
        if check.health(id).await {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    // A small generator with a fixed seed draws work, class and rank alike for both kinds.
    let mut lots = 7u64;
    let mut draw = move || {
        lots = lots.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (lots >> 33) as f64 / (1u64 << 31) as f64
    };
    let start = tokio::time::Instant::now();
    let (mut at, mut tasks, mut i) = (0.0, Vec::new(), 0u32);
    while at < SECONDS {
        let ms = (30.0 + 60.0 * draw()).round();
        let class = (draw() * 3.0) as usize;
        let rank = format!("{:.4}", (class as f64 + draw() * 0.999) / 3.0);
        let name = ["quote", "proof", "book-job"][class];
        let when = start + Duration::from_secs_f64(at);
        let (body, effort) = (format!("{ms} job-{i}"), ms.to_string());
        let (m, u) = (node.msgpack, node.uwsgi);
        let uwsgi = draw() < 0.5;
        tasks.push(tokio::spawn(async move {
            sleep_until(when).await;
            let sent = Instant::now();
            let served = if uwsgi {
                let vars = [("CLASS", name), ("RANK", &*rank), ("EFFORT", &*effort)];
                let (line, _) = exchange(u, &packet(&vars, body.as_bytes())).await;
                assert!(line.starts_with("HTTP/1.1 "), "no whole answer: {line:?}");
                line == "HTTP/1.1 200 OK"
            } else {
                let mut c = Caller::connect(m).await;
                c.ask(
                    1,
                    name,
                    fields(&format!("m{i}"), &[("class_rank", &rank), ("effort", &effort)]),
                    &body,
                )
                .await;
                c.answer().await.expect("an answer").word == "ok"
            };
            (uwsgi, ms, served, sent.elapsed())
        }));
        i += 1;
        // Mean work over what is offered: 60 ms at 110% of 4 cores.
        at += 0.060 / (1.1 * CORES as f64) * 2.0 * draw();
    }
    let (mut offered, mut served, mut slowest) = ([0.0; 2], [0.0; 2], Duration::ZERO);
    for task in tasks {
        let (uwsgi, ms, ok, took) = task.await.expect("an answer");
        offered[usize::from(uwsgi)] += ms;
        served[usize::from(uwsgi)] += if ok { ms } else { 0.0 };
        slowest = slowest.max(took);
    }
    let shares = [served[0] / offered[0], served[1] / offered[1]];
    println!(
        "served per unit of work: msgpack {:.3}, uwsgi {:.3}; slowest answer {slowest:?}",
        shares[0], shares[1]
    );
    assert!((shares[0] - shares[1]).abs() <= TOLERANCE, "{shares:?}");
    assert!(shares[0] > 0.3, "{shares:?}");
    assert_eq!(farm.most_runs(), 1, "nothing ran twice");
    left(node, &["backstop=0"]).await;
}

/// Closing idle connections spares one whose request is halfway in; it closes one that has sent nothing.
#[tokio::test]
async fn a_request_halfway_in_is_not_idle() {
    use holdlift::door::profile::Profile;
    use holdlift::door::sources::SourceLimits;
    use holdlift::door::{
        AdmissionDecision, AdmissionSettings, ConnectionAdmission, ListenerId, ListenerSettings,
    };
    use holdlift::front::Wire;
    use holdlift::front::driver::{ConnectionEvent, SharedAdmission, serve};
    use holdlift::front::{Reply, uwsgi::Gateway};
    use holdlift::node::Input;
    let settings = holdlift::front::CurrentSettings::new(
        holdlift::settings::from_json(&settings(1, 1_000, 2_000)).unwrap(),
    );
    let file = "listen = \"127.0.0.1:1\"\ninventory = \"x\"\nvars = { class = \"CLASS\" }\n";
    let config: std::rc::Rc<holdlift::front::uwsgi::UwsgiConfig> =
        std::rc::Rc::new(toml::from_str(file).unwrap());
    let whole = packet(&[("CLASS", "quote")], b"slow body");
    for (sent, asked) in [(0, false), (9, true), (whole.len() - 4, true)] {
        let (listener, address) = bind().await;
        let mut client = TcpStream::connect(address).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (events, mut heard) = tokio::sync::mpsc::channel::<ConnectionEvent>(8);
        let (replies, inbox) = tokio::sync::mpsc::channel(8);
        let session = Gateway::new(1, settings.clone(), config.clone());
        let codec = Gateway::codec(&config);
        let gate =
            ListenerSettings { profile: Profile::STRICT, connections_max: 4, partial_message_max: 1 << 16 };
        let settings = AdmissionSettings {
            listeners: vec![gate],
            partial_bytes_max: 1 << 20,
            unsent_bytes_max: 1 << 20,
            sources: SourceLimits::NONE,
        };
        let mut door = ConnectionAdmission::new(settings);
        let AdmissionDecision::Admit(id) =
            door.admit(holdlift::time::process::now(), ListenerId(0), address.ip())
        else {
            panic!("no room")
        };
        let with = (SharedAdmission::new(door), Duration::from_millis(150));
        let talk = async {
            client.write_all(&whole[..sent]).await.unwrap();
            sleep(Duration::from_millis(30)).await;
            replies.send(Reply::CloseIdle(holdlift::Micros(0))).await.unwrap();
            sleep(Duration::from_millis(30)).await;
            let _ = client.write_all(&whole[sent..]).await;
            let first = heard.recv().await;
            assert_eq!(
                matches!(first, Some(ConnectionEvent::Input(Input::RequestReceived(..)))),
                asked,
                "{sent}: {first:?}"
            );
            drop(client);
        };
        tokio::join!(serve((Wire::Uwsgi, id), stream, session, codec, events, inbox, with), talk);
    }
}

/// Gateways that say nothing make room for those that do: not the one whose body is on its way, nor one that waits.
#[tokio::test]
async fn silent_gateways_make_room() {
    let (node, _farm) = node(2, 3_000).await;
    let whole = packet(&[("CLASS", "quote")], b"300 slow");
    let mut waits = TcpStream::connect(node.uwsgi).await.unwrap();
    waits.write_all(&whole).await.unwrap();
    let mut halfway = TcpStream::connect(node.uwsgi).await.unwrap();
    halfway.write_all(&whole[..whole.len() - 3]).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let mut crowd = Vec::new();
    for _ in 0..100 {
        crowd.push(TcpStream::connect(node.uwsgi).await.unwrap());
    }
    let got = exchange(node.uwsgi, &packet(&[("CLASS", "quote")], b"1 new")).await;
    assert_eq!(got.0, "HTTP/1.1 200 OK");
    halfway.write_all(&whole[whole.len() - 3..]).await.unwrap();
    for s in [&mut waits, &mut halfway] {
        assert_eq!(read_reply(s).await.0, "HTTP/1.1 200 OK");
    }
    left(node, &["closed.Uwsgi.Crowded="]).await;
}
