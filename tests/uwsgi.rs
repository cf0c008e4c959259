//! The uwsgi front of a real node on real sockets, alone and together with the MessagePack front.

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

/// Stops the node and checks that its log contains each of these texts, such as the final values of counters.
async fn stop_and_check_log(node: Node, wanted: &[&str]) {
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
    stop_and_check_log(node, &["asked.Uwsgi=2", "served=2", "unfit.UnknownClass=2", "unfit.BadRequest=2"])
        .await;
}

/// A request that is cut off or stalls in its header, vars or body never reaches the core; one that arrives byte by byte
/// is served.
#[tokio::test]
async fn only_complete_requests_reach_the_core() {
    let (node, farm) = node(2, 3_000).await;
    let complete = packet(&[("CLASS", "book-job")], b"1 whole");
    let cut_points = [2, 10, complete.len() - 3];
    for at in cut_points {
        let mut s = TcpStream::connect(node.uwsgi).await.unwrap();
        s.write_all(&complete[..at]).await.unwrap();
        drop(s);
    }
    for at in cut_points {
        // Stalled but not closed: the node closes without a response.
        assert_eq!(exchange(node.uwsgi, &complete[..at]).await.0, "");
    }
    let mut s = TcpStream::connect(node.uwsgi).await.unwrap();
    s.set_nodelay(true).unwrap();
    for byte in &complete {
        s.write_all(&[*byte]).await.unwrap();
        tokio::task::yield_now().await;
    }
    assert_eq!(read_reply(&mut s).await.0, "HTTP/1.1 200 OK");
    assert_eq!(farm.runs.lock().unwrap().len(), 1);
    stop_and_check_log(
        node,
        &["asked.Uwsgi=1 ", "cut_off=6", "closed.Uwsgi.CutOff=3", "closed.Uwsgi.Slow=3"],
    )
    .await;
}

/// A write runs at most once, even when its server breaks off the reply; only an unreachable server is skipped.
#[tokio::test]
async fn a_write_whose_server_breaks_off_never_runs_twice() {
    let (listener, broken) = bind().await;
    let received = Arc::new(std::sync::atomic::AtomicU32::new(0));
    let count = received.clone();
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
        assert_eq!(received.load(std::sync::atomic::Ordering::SeqCst), n);
    }
    let unreachable = Setup { settings, servers: vec![refusing], slots: 1, ..Setup::default() }.start().await;
    assert_eq!(exchange(unreachable.uwsgi, &write).await.0, "HTTP/1.1 502 Bad Gateway");
    stop_and_check_log(node, &["failed.Run=3"]).await;
}

/// Requests beyond the capacity are refused with a Retry-After.
#[tokio::test]
async fn excess_requests_are_refused_with_a_retry_time() {
    let (node, farm) = node(1, 400).await;
    let address = node.uwsgi;
    let request = |i| packet(&[("CLASS", "quote"), ("EFFORT", "200")], format!("200 job-{i}").as_bytes());
    let connections: Vec<_> =
        (0..12).map(|i| tokio::spawn(async move { exchange(address, &request(i)).await })).collect();
    let mut refused = 0;
    for task in connections {
        let (line, rest) = task.await.unwrap();
        if line == "HTTP/1.1 503 Service Unavailable" {
            assert!(rest.contains("Retry-After: 1\r\n"), "{rest}");
            refused += 1;
        }
    }
    assert!(refused > 0 && farm.runs.lock().unwrap().len() == 12 - refused);
    stop_and_check_log(node, &[&format!("refused={refused} ")]).await;
}

/// The held request of a client that has disconnected never runs.
#[tokio::test]
async fn a_held_request_of_a_disconnected_client_never_runs() {
    let (node, farm) = node(1, 5_000).await;
    let address = node.uwsgi;
    let request = |name: &str| packet(&[("CLASS", "book-job")], format!("300 {name}").as_bytes());
    let first = request("first");
    let first = tokio::spawn(async move { exchange(address, &first).await.0 });
    within("a run", async {
        while farm.running.load(std::sync::atomic::Ordering::SeqCst) == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    let mut disconnected = TcpStream::connect(address).await.unwrap();
    disconnected.write_all(&request("gone")).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    drop(disconnected);
    assert_eq!(first.await.unwrap(), "HTTP/1.1 200 OK");
    assert_eq!(exchange(address, &request("last")).await.0, "HTTP/1.1 200 OK");
    assert!(!farm.runs.lock().unwrap().contains_key("gone"));
    stop_and_check_log(node, &["asked.Uwsgi=3 ", "gone=1 "]).await;
}

/// While draining, held and running requests are answered, requests after the grace period are refused, and the process
/// exits in time.
#[tokio::test]
async fn draining_answers_every_request() {
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
    // The decision module refuses requests that it expects to outlast the time left; every request is answered.
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

/// A gateway that does not read a large reply delays no other.
#[tokio::test]
async fn a_gateway_that_does_not_read_delays_no_other() {
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
    let request = packet(&[("CLASS", "quote")], b"");
    let mut unread = Vec::new();
    for _ in 0..6 {
        let mut s = TcpStream::connect(node.uwsgi).await.unwrap();
        s.write_all(&request).await.unwrap();
        unread.push(s);
    }
    let (line, rest) = exchange(node.uwsgi, &request).await;
    assert_eq!((line.as_str(), rest.matches('x').count()), ("HTTP/1.1 200 OK", 200_000));
    // A gateway that reads late still receives the complete reply.
    let mut got = Vec::new();
    within("a reply", unread[0].read_to_end(&mut got)).await.unwrap();
    assert!(got.len() > 200_000);
}

/// Both protocols together at 110% of the capacity: each gets the same service per unit of work, and no job runs twice.
#[tokio::test]
async fn both_protocols_get_equal_service_under_overload() {
    const CORES: usize = 4;
    const SECONDS: f64 = 8.0;
    /// The largest difference between the shares of work served.
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
    // A generator with a fixed seed draws work, class and rank in the same way for both protocols.
    let mut random_state = 7u64;
    let mut draw = move || {
        random_state =
            random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random_state >> 33) as f64 / (1u64 << 31) as f64
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
                assert!(line.starts_with("HTTP/1.1 "), "incomplete answer: {line:?}");
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
                c.answer().await.expect("the node answers the request").word == "ok"
            };
            (uwsgi, ms, served, sent.elapsed())
        }));
        i += 1;
        // The mean work of 60 ms arrives at 110% of the capacity of 4 cores.
        at += 0.060 / (1.1 * CORES as f64) * 2.0 * draw();
    }
    let (mut offered, mut served, mut slowest) = ([0.0; 2], [0.0; 2], Duration::ZERO);
    for task in tasks {
        let (uwsgi, ms, ok, took) = task.await.expect("the caller's task ends without a panic");
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
    assert_eq!(farm.most_runs(), 1, "no job runs twice");
    stop_and_check_log(node, &["backstop=0"]).await;
}

/// Closing idle connections keeps one with a partial request open, and closes one that has sent nothing.
#[tokio::test]
async fn a_connection_with_a_partial_request_is_not_idle() {
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
    let complete = packet(&[("CLASS", "quote")], b"slow body");
    for (sent, is_submitted) in [(0, false), (9, true), (complete.len() - 4, true)] {
        let (listener, address) = bind().await;
        let mut client = TcpStream::connect(address).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let (events, mut reported) = tokio::sync::mpsc::channel::<ConnectionEvent>(8);
        let (replies, inbox) = tokio::sync::mpsc::channel(8);
        let session = Gateway::new(1, settings.clone(), config.clone());
        let codec = Gateway::codec(&config);
        let listener_settings =
            ListenerSettings { profile: Profile::STRICT, connections_max: 4, partial_message_max: 1 << 16 };
        let settings = AdmissionSettings {
            listeners: vec![listener_settings],
            partial_bytes_max: 1 << 20,
            unsent_bytes_max: 1 << 20,
            sources: SourceLimits::NONE,
        };
        let mut admission = ConnectionAdmission::new(settings);
        let AdmissionDecision::Admit(id) =
            admission.admit(holdlift::time::process::now(), ListenerId(0), address.ip())
        else {
            panic!("an empty admission state admits the first connection")
        };
        let with = (SharedAdmission::new(admission), Duration::from_millis(150));
        let talk = async {
            client.write_all(&complete[..sent]).await.unwrap();
            sleep(Duration::from_millis(30)).await;
            replies.send(Reply::CloseIdle(holdlift::Micros(0))).await.unwrap();
            sleep(Duration::from_millis(30)).await;
            let _ = client.write_all(&complete[sent..]).await;
            let first = reported.recv().await;
            assert_eq!(
                matches!(first, Some(ConnectionEvent::Input(Input::RequestReceived(..)))),
                is_submitted,
                "{sent}: {first:?}"
            );
            drop(client);
        };
        tokio::join!(serve((Wire::Uwsgi, id), stream, session, codec, events, inbox, with), talk);
    }
}

/// Silent gateways are closed to admit new ones; a gateway whose body is arriving or whose request is open is not.
#[tokio::test]
async fn silent_gateways_are_closed_for_active_ones() {
    let (node, _farm) = node(2, 3_000).await;
    let complete = packet(&[("CLASS", "quote")], b"300 slow");
    let mut waiting = TcpStream::connect(node.uwsgi).await.unwrap();
    waiting.write_all(&complete).await.unwrap();
    let mut partial = TcpStream::connect(node.uwsgi).await.unwrap();
    partial.write_all(&complete[..complete.len() - 3]).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let mut connections = Vec::new();
    for _ in 0..100 {
        connections.push(TcpStream::connect(node.uwsgi).await.unwrap());
    }
    let got = exchange(node.uwsgi, &packet(&[("CLASS", "quote")], b"1 new")).await;
    assert_eq!(got.0, "HTTP/1.1 200 OK");
    partial.write_all(&complete[complete.len() - 3..]).await.unwrap();
    for s in [&mut waiting, &mut partial] {
        assert_eq!(read_reply(s).await.0, "HTTP/1.1 200 OK");
    }
    stop_and_check_log(node, &["closed.Uwsgi.Crowded="]).await;
}
