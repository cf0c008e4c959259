//! Hot restarts on real sockets: a successor process takes over from the incumbent under load and under faults.

mod net;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use net::*;
use tokio::time::sleep;

/// Starts a simulated agent with two cores; returns it and its address.
async fn start_farm() -> (Arc<Farm>, SocketAddr) {
    let (agents, agent) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().agent(agents));
    (farm, agent)
}

/// Settings in which the class `book-job` deduplicates by key.
fn keyed_settings() -> serde_json::Value {
    let mut settings = settings(2, 3_000, 6_000);
    settings["classes"][2]["effect"] = "dedup".into();
    settings
}

/// Replaces a process: starts a successor, waits until it is ready, and sends the incumbent the notice to leave. Returns the
/// successor and the incumbent's departure.
async fn replace(
    incumbent: Node,
    agent: SocketAddr,
) -> (Node, tokio::task::JoinHandle<(Duration, bool, String)>) {
    let successor = incumbent.succeed(agent).await;
    successor.ready().await;
    (successor, tokio::spawn(incumbent.leave()))
}

/// Five hot restarts in a row under load. No connection is refused, reset or left unread, no open request of an incumbent is lost, the
/// directory never receives `closed`, and no write runs twice although each is repeated at the successor.
#[tokio::test]
async fn five_hot_restarts_under_load_lose_no_request_and_run_no_write_twice() {
    let directory_reports = Heard::default();
    let (directories, lookup) = bind().await;
    tokio::spawn(http(directories, "lookup", directory_reports.clone(), "HTTP/1.1 204 No Content\r\n\r\n"));
    let (first, agent) = start_farm().await;
    let mut farms = vec![first];
    let setup = Setup { settings: settings(2, 3_000, 6_000), lookup: Some(lookup), ..Setup::default() };
    let mut node = Setup { agent: Some(agent), stop_ms: 4_000, ..setup }.start().await;
    let at = node.msgpack;
    node.ready().await;
    // New connections throughout, each of which sends one health check.
    let (stop, failed_checks, checks) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let checker = {
        let (stop, failed_checks, checks) = (stop.clone(), failed_checks.clone(), checks.clone());
        tokio::spawn(async move {
            while !stop.load(Ordering::SeqCst) {
                let succeeded = check(at).await;
                checks.fetch_add(1, Ordering::SeqCst);
                failed_checks.fetch_add(u32::from(!succeeded), Ordering::SeqCst);
            }
        })
    };
    for round in 0..5 {
        let name = format!("w{round}");
        let mut c = Caller::connect(at).await;
        c.ask(1, "book-job", fields(&name, &[]), &format!("300 {name}")).await;
        for id in 2..12 {
            c.ask(id, "quote", fields(&format!("q{round}-{id}"), &[]), &format!("30 q{round}-{id}")).await;
        }
        sleep(Duration::from_millis(50)).await;
        let mut observer = Caller::connect(at).await;
        observer.healthy().await;
        let (next, agent) = start_farm().await;
        farms.push(next);
        let (successor, leaving) = replace(node, agent).await;
        // Until the incumbent announces its drain either process may accept a connection; from then on only the successor
        // does. The incumbent has ended before the second repeat.
        observer.last_call().await;
        // The same attempt is sent again on a new connection. It is running in the incumbent, or has run there.
        let mut repeater = Caller::connect(at).await;
        let mut words = Vec::new();
        for id in 1..3 {
            repeater.ask(id, "book-job", fields(&name, &[]), &format!("1 {name}")).await;
            words.push(repeater.answer().await.expect("the request is answered").word);
            sleep(Duration::from_millis(400)).await;
        }
        // The incumbent closes the connection once all is answered; its drain announcement may come after its last answer.
        let mut answers = Vec::new();
        while let Some(a) = c.answer().await {
            answers.push((a.word, a.id, a.fields));
        }
        let (_, good, log) = leaving.await.expect("the incumbent leaves");
        let ok = answers.iter().filter(|a| a.0 == "ok").count();
        let observed = (words, ok, answers.len());
        assert_eq!(observed, (vec!["Error".to_owned(); 2], 11, 11), "round {round}: {answers:?}\n{log}");
        assert!(good && log.contains("replaced: ") && !log.contains("drain: "), "{log}");
        node = successor;
    }
    stop.store(true, Ordering::SeqCst);
    checker.await.expect("the health checks do not panic");
    assert!(checks.load(Ordering::SeqCst) > 50, "too few connections came during the restarts");
    assert_eq!(
        failed_checks.load(Ordering::SeqCst),
        0,
        "failed health checks of {}",
        checks.load(Ordering::SeqCst)
    );
    assert_eq!(farms.iter().map(|f| f.most_runs()).max(), Some(1));
    for round in 0..5 {
        let runs = |f: &Arc<Farm>| f.runs.lock().unwrap().get(&format!("w{round}")).copied().unwrap_or(0);
        assert_eq!(farms.iter().map(runs).sum::<u32>(), 1, "runs of the write of round {round}");
    }
    let reports = directory_reports.lock().unwrap().clone();
    assert!(!reports.is_empty() && reports.iter().all(|report| report.1.contains("open")), "{reports:?}");
}

/// Whether a new connection gets a positive answer to a health check, even if an announcement of the drain comes first.
async fn check(at: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let Ok(mut stream) = tokio::net::TcpStream::connect(at).await else { return false };
    let (mut buffer, mut received) = ([0; 64], Vec::new());
    // [0, 1, "health", [{}]]
    let sent = stream.write_all(b"\x94\x00\x01\xa6health\x91\x80").await.is_ok();
    // [1, 1, nil, [true, ...
    let is_positive = |received: &[u8]| received.windows(6).any(|w| w == b"\x94\x01\x01\xc0\x92\xc3");
    while sent && !is_positive(&received) {
        match within("the answer to a health check", stream.read(&mut buffer)).await {
            Ok(n @ 1..) => received.extend_from_slice(&buffer[..n]),
            _ => return false,
        }
    }
    sent
}

/// The successor gets a notice to leave after it has sent `Ready` and before the suspended incumbent has confirmed the takeover. The
/// successor accepts no connections; new connections wait in the listener queue that both processes share until the incumbent resumes.
#[tokio::test]
async fn a_successor_that_leaves_before_the_confirmation_accepts_no_connections() {
    let (_farm, agent) = start_farm().await;
    let setup = Setup { settings: settings(2, 10_000, 20_000), agent: Some(agent), ..Setup::default() };
    let incumbent = setup.start().await;
    incumbent.ready().await;
    let (agents, at) = bind().await;
    let successor = incumbent.succeed(at).await;
    // The successor connects to its agent after it has received the welcome.
    let mut link = ScriptedLink::accept(&agents).await;
    incumbent.freeze().await;
    link.greet("").await;
    assert_eq!(
        successor.control("GET", "ready").await,
        Some(503),
        "the incumbent has not confirmed the takeover"
    );
    successor.signal("-TERM");
    let mut caller = Caller::connect(incumbent.msgpack).await;
    caller.ask(1, "book-job", fields("w1", &[]), "5 w").await;
    let rest = tokio::spawn(link.rest());
    let (good, log) = successor.ended().await;
    assert!(good && log.contains("launched=0"), "{log}");
    assert_eq!(rest.await.expect("the scripted link does not panic"), Vec::<String>::new());
    incumbent.thaw();
    assert_eq!(caller.answer().await.map(|a| (a.id, a.word)), Some((1, "ok".to_owned())));
    incumbent.leave().await;
}

/// A repeat of a keyed write at the successor fails while the first attempt runs in the incumbent, and gets its result once that has
/// reached the successor. The order to be out of service is handed over, too.
#[tokio::test]
async fn results_of_keyed_writes_and_the_service_state_reach_the_successor() {
    let ((old, agent), (new, next)) = (start_farm().await, start_farm().await);
    let setup = Setup { settings: keyed_settings(), stop_ms: 4_000, ..Setup::default() };
    let node = Setup { agent: Some(agent), ..setup }.start().await;
    let at = node.msgpack;
    node.ready().await;
    let key = |name: &str, key: &str| fields(name, &[("replay", key)]);
    let mut c = Caller::connect(at).await;
    c.ask(1, "book-job", key("a1", "a"), "1 a").await;
    assert_eq!(c.answer().await.expect("the request is answered").word, "ok");
    c.ask(2, "book-job", key("b1", "b"), "gate b").await;
    sleep(Duration::from_millis(50)).await;
    assert_eq!(node.control("POST", "out-of-service").await, Some(200));
    let (successor, leaving) = replace(node, next).await;
    // Until the incumbent announces its drain either process may accept a connection; from then on only the successor does.
    c.last_call().await;
    let mut d = Caller::connect(at).await;
    assert!(!d.health(1).await, "the node must stay out of service");
    let mut words = Vec::new();
    for (id, name, k, body) in [(2, "a2", "a", "1 a"), (3, "b2", "b", "gate b"), (4, "c1", "c", "1 c")] {
        d.ask(id, "book-job", key(name, k), body).await;
        let a = d.answer().await.expect("the request is answered");
        words.push((a.word, a.body));
    }
    let ok = |body: &'static str| ("ok".to_owned(), body.into());
    assert_eq!(words, [ok("done a"), ("Error".to_owned(), "".into()), ok("done c")]);
    old.open_gate();
    assert_eq!(c.answer().await.expect("the request is answered").word, "ok");
    // The answer may arrive before the result has reached the successor. Until then a repeat fails, and it never runs.
    within("the result to reach the successor", async {
        for id in 5.. {
            d.ask(id, "book-job", key(&format!("b{id}"), "b"), "gate b").await;
            let a = d.answer().await.expect("the request is answered");
            if a.word == "ok" {
                return assert_eq!(a.body, "done b");
            }
            assert_eq!(a.word, "Error", "a repeat of a write that has run must not be refused");
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    assert!(leaving.await.expect("the incumbent leaves").1);
    let runs = |f: &Farm| f.runs.lock().unwrap().keys().cloned().collect::<Vec<_>>();
    assert_eq!((runs(&old), runs(&new)), (vec!["a".to_owned(), "b".into()], vec!["c".to_owned()]));
    drop(successor);
}

/// A node starts, serves and leaves whatever exists at its socket path: nothing, a stale socket, a foreign file, a folder, or a peer
/// that does not follow the protocol.
#[tokio::test]
async fn a_node_starts_whatever_exists_at_its_socket_path() {
    fn socket_path(dir: &Path, at: SocketAddr) -> std::path::PathBuf {
        dir.join(format!("holdlift-n0-{}.sock", at.port()))
    }
    /// Answers one peer with these bytes; with no bytes, it hangs for longer than a node waits.
    fn answer_one_peer(dir: &Path, at: SocketAddr, bytes: &'static [u8]) {
        use std::io::{Read, Write};
        let listener =
            std::os::unix::net::UnixListener::bind(socket_path(dir, at)).expect("the socket can be bound");
        std::thread::spawn(move || {
            let Ok((mut stream, _)) = listener.accept() else { return };
            let _ = stream.read(&mut [0; 256]);
            let _ = stream.write_all(bytes);
            if bytes.is_empty() {
                std::thread::sleep(Duration::from_secs(3));
            }
        });
    }
    type Prepare = fn(&Path, SocketAddr);
    let table: [(&str, Prepare, &str); 7] = [
        ("nothing", |_, _| {}, ""),
        (
            "a socket without a listener",
            |dir, at| {
                drop(
                    std::os::unix::net::UnixListener::bind(socket_path(dir, at))
                        .expect("the socket can be bound"),
                )
            },
            "",
        ),
        (
            "a foreign file",
            |dir, at| std::fs::write(socket_path(dir, at), "pid 1").expect("the file can be written"),
            "no socket is in the way",
        ),
        (
            "a folder",
            |dir, at| std::fs::create_dir(socket_path(dir, at)).expect("the folder can be created"),
            "is in the way",
        ),
        (
            "a peer of another protocol",
            |dir, at| answer_one_peer(dir, at, b"HTTP/1.1 400 Bad Request\r\n\r\n"),
            "listening by itself",
        ),
        (
            "a peer of another version",
            |dir, at| {
                answer_one_peer(
                    dir,
                    at,
                    b"\0\0\0\x35\0\0\0\0{\"welcome\":{\"version\":1,\"aside\":false,\"listeners\":[]}}",
                );
            },
            "listening by itself",
        ),
        (
            "a peer that hangs",
            |dir, at| answer_one_peer(dir, at, b""),
            "did not answer in time; listening by itself",
        ),
    ];
    for (what, prepare, expected_log) in table {
        let (_farm, agent) = start_farm().await;
        let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
        let node = Setup { prepare: Some(prepare), ..setup }.start().await;
        node.ready().await;
        let mut c = Caller::connect(node.msgpack).await;
        c.ask(1, "book-job", fields("w", &[]), "1 w").await;
        assert_eq!(c.answer().await.expect("the request is answered").word, "ok", "{what}");
        let (_, good, log) = node.leave().await;
        assert!(good && log.contains("drain: ") && log.contains(expected_log), "{what}: {log}");
    }
}

/// If a successor dies during the handover, the incumbent serves on and accepts the next successor. A second successor that starts
/// during a handover opens its own listeners. A successor whose incumbent dies takes clients by itself.
#[tokio::test]
async fn a_node_serves_on_when_its_successor_or_incumbent_dies() {
    let ((_old, agent), (unresponsive, next), (_third, third)) =
        (start_farm().await, start_farm().await, start_farm().await);
    unresponsive.asleep.store(true, Ordering::SeqCst);
    let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
    let node = setup.start().await;
    node.ready().await;
    // The successor's agent does not greet it, so it does not take clients.
    let successor = node.succeed(next).await;
    within("the successor to start", async {
        while successor.control("GET", "ready").await != Some(503) {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    let second = node.succeed(third).await;
    second.ready().await;
    for _ in 0..50 {
        assert!(check(node.msgpack).await, "a connection to either of two listeners must be served");
    }
    let (_, good, log) = second.leave().await;
    assert!(
        good && log.contains("has a successor already, or is leaving; listening beside it")
            && log.contains("drain: "),
        "{log}"
    );
    drop(successor);
    within("service after the successor's death", async {
        while !check(node.msgpack).await {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    unresponsive.asleep.store(false, Ordering::SeqCst);
    let successor = node.succeed(next).await;
    successor.ready().await;
    // The incumbent is killed without notice.
    let at = node.msgpack;
    drop(node);
    for _ in 0..50 {
        assert!(check(at).await, "the successor must serve alone");
    }
    let (_fourth, fourth) = start_farm().await;
    let last = successor.succeed(fourth).await;
    last.ready().await;
    let (_, good, log) = successor.leave().await;
    assert!(good && log.contains("replaced: "), "{log}");
    let (_, good, log) = last.leave().await;
    assert!(good && log.contains("drain: "), "{log}");
}
