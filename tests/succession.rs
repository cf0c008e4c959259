//! Replacing the process under load, on real sockets.

mod net;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use net::*;
use tokio::time::sleep;

async fn farm() -> (Arc<Farm>, SocketAddr) {
    let (agents, agent) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().agent(agents));
    (farm, agent)
}

fn keyed() -> serde_json::Value {
    let mut s = settings(2, 3_000, 6_000);
    s["classes"][2]["effect"] = "dedup".into();
    s
}

/// Replaces a node: starts a successor, waits for its yes, and has the old one leave.
async fn replace(node: Node, agent: SocketAddr) -> (Node, tokio::task::JoinHandle<(Duration, bool, String)>) {
    let heir = node.succeed(agent).await;
    heir.ready().await;
    (heir, tokio::spawn(node.leave()))
}

/// Under load, over five upgrades in a row: no connection is refused, reset or left unread, nothing that the old one
/// holds is lost, the directory never hears `closed`, and no write runs twice although each is repeated at the successor.
#[tokio::test]
async fn five_upgrades_under_load() {
    let heard = Heard::default();
    let (directories, lookup) = bind().await;
    tokio::spawn(http(directories, "lookup", heard.clone(), "HTTP/1.1 204 No Content\r\n\r\n"));
    let (first, agent) = farm().await;
    let mut farms = vec![first];
    let setup = Setup { settings: settings(2, 3_000, 6_000), lookup: Some(lookup), ..Setup::default() };
    let mut node = Setup { agent: Some(agent), stop_ms: 4_000, ..setup }.start().await;
    let at = node.msgpack;
    node.ready().await;
    // Newcomers all the while: one connection for each check.
    let (stop, lost, met) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let crowd = {
        let (stop, lost, met) = (stop.clone(), lost.clone(), met.clone());
        tokio::spawn(async move {
            while !stop.load(Ordering::SeqCst) {
                let good = check(at).await;
                met.fetch_add(1, Ordering::SeqCst);
                lost.fetch_add(u32::from(!good), Ordering::SeqCst);
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
        let mut told = Caller::connect(at).await;
        told.healthy().await;
        let (next, agent) = farm().await;
        farms.push(next);
        let (heir, leaving) = replace(node, agent).await;
        // From then on the old one takes no connections: until it does, either may, and the old one is gone before the second
        // try.
        told.last_call().await;
        // The same try again, on a new connection: it runs in the old process, or did.
        let mut again = Caller::connect(at).await;
        let mut words = Vec::new();
        for id in 1..3 {
            again.ask(id, "book-job", fields(&name, &[]), &format!("1 {name}")).await;
            words.push(again.answer().await.expect("an answer").word);
            sleep(Duration::from_millis(400)).await;
        }
        // The old process closes, with nothing owed; its last call may come behind its last answer.
        let mut answers = Vec::new();
        while let Some(a) = c.answer().await {
            answers.push((a.word, a.id, a.fields));
        }
        let (_, good, log) = leaving.await.expect("left");
        let ok = answers.iter().filter(|a| a.0 == "ok").count();
        let all = (words, ok, answers.len());
        assert_eq!(all, (vec!["Error".to_owned(); 2], 11, 11), "round {round}: {answers:?}\n{log}");
        assert!(good && log.contains("replaced: ") && !log.contains("drain: "), "{log}");
        node = heir;
    }
    stop.store(true, Ordering::SeqCst);
    crowd.await.expect("newcomers");
    assert!(met.load(Ordering::SeqCst) > 50, "there were newcomers");
    assert_eq!(lost.load(Ordering::SeqCst), 0, "of {} connections", met.load(Ordering::SeqCst));
    assert_eq!(farms.iter().map(|f| f.most_runs()).max(), Some(1));
    for round in 0..5 {
        let runs = |f: &Arc<Farm>| f.runs.lock().unwrap().get(&format!("w{round}")).copied().unwrap_or(0);
        assert_eq!(farms.iter().map(runs).sum::<u32>(), 1, "a write of round {round}");
    }
    let said = heard.lock().unwrap().clone();
    assert!(!said.is_empty() && said.iter().all(|h| h.1.contains("open")), "{said:?}");
}

/// A connection that asks for a check and gets a good one, be it behind a last call.
async fn check(at: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let Ok(mut s) = tokio::net::TcpStream::connect(at).await else { return false };
    let (mut said, mut all) = ([0; 64], Vec::new());
    // [0, 1, "health", [{}]]
    let sent = s.write_all(b"\x94\x00\x01\xa6health\x91\x80").await.is_ok();
    // [1, 1, nil, [true, ...
    let good = |all: &[u8]| all.windows(6).any(|w| w == b"\x94\x01\x01\xc0\x92\xc3");
    while sent && !good(&all) {
        match within("a check", s.read(&mut said)).await {
            Ok(n @ 1..) => all.extend_from_slice(&said[..n]),
            _ => return false,
        }
    }
    sent
}

/// The heir has its notice to leave between its word that it could take clients and the holder's that it knows, and the holder
/// stands still meanwhile: the heir takes nobody any more, and who comes waits in the queue that both share for the holder.
#[tokio::test]
async fn an_heir_that_leaves_before_its_turn_takes_nobody() {
    let (_farm, agent) = farm().await;
    let setup = Setup { settings: settings(2, 10_000, 20_000), agent: Some(agent), ..Setup::default() };
    let holder = setup.start().await;
    holder.ready().await;
    let (agents, at) = bind().await;
    let heir = holder.succeed(at).await;
    // Its link to the agent is made once it has been welcomed.
    let mut link = ScriptedLink::accept(&agents).await;
    holder.freeze().await;
    link.greet("").await;
    assert_eq!(heir.control("GET", "ready").await, Some(503), "the holder has not said that it knows");
    heir.signal("-TERM");
    let mut caller = Caller::connect(holder.msgpack).await;
    caller.ask(1, "book-job", fields("w1", &[]), "5 w").await;
    let rest = tokio::spawn(link.rest());
    let (good, log) = heir.ended().await;
    assert!(good && log.contains("launched=0"), "{log}");
    assert_eq!(rest.await.expect("read"), Vec::<String>::new());
    holder.thaw();
    assert_eq!(caller.answer().await.map(|a| (a.id, a.word)), Some((1, "ok".to_owned())));
    holder.leave().await;
}

/// Writes that a key links: a repeat at the successor fails while the first runs in the old process, and gets its result
/// once it is there. Out of service goes over too.
#[tokio::test]
async fn keyed_writes_and_the_state_cross() {
    let ((old, agent), (new, next)) = (farm().await, farm().await);
    let setup = Setup { settings: keyed(), stop_ms: 4_000, ..Setup::default() };
    let node = Setup { agent: Some(agent), ..setup }.start().await;
    let at = node.msgpack;
    node.ready().await;
    let key = |name: &str, key: &str| fields(name, &[("replay", key)]);
    let mut c = Caller::connect(at).await;
    c.ask(1, "book-job", key("a1", "a"), "1 a").await;
    assert_eq!(c.answer().await.expect("an answer").word, "ok");
    c.ask(2, "book-job", key("b1", "b"), "gate b").await;
    sleep(Duration::from_millis(50)).await;
    assert_eq!(node.control("POST", "out-of-service").await, Some(200));
    let (heir, leaving) = replace(node, next).await;
    // From then on the old one takes no connections: until it does, either may.
    c.last_call().await;
    let mut d = Caller::connect(at).await;
    assert!(!d.health(1).await, "the node is out of service still");
    let mut words = Vec::new();
    for (id, name, k, body) in [(2, "a2", "a", "1 a"), (3, "b2", "b", "gate b"), (4, "c1", "c", "1 c")] {
        d.ask(id, "book-job", key(name, k), body).await;
        let a = d.answer().await.expect("an answer");
        words.push((a.word, a.body));
    }
    let ok = |body: &'static str| ("ok".to_owned(), body.into());
    assert_eq!(words, [ok("done a"), ("Error".to_owned(), "".into()), ok("done c")]);
    old.open_gate();
    assert_eq!(c.answer().await.expect("an answer").word, "ok");
    // The answer may be here before the news of the result has crossed; until then a repeat fails, and never runs.
    within("the result to cross", async {
        for id in 5.. {
            d.ask(id, "book-job", key(&format!("b{id}"), "b"), "gate b").await;
            let a = d.answer().await.expect("an answer");
            if a.word == "ok" {
                return assert_eq!(a.body, "done b");
            }
            assert_eq!(a.word, "Error", "a repeat whose first try ran is never refused");
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    assert!(leaving.await.expect("left").1);
    let runs = |f: &Farm| f.runs.lock().unwrap().keys().cloned().collect::<Vec<_>>();
    assert_eq!((runs(&old), runs(&new)), (vec!["a".to_owned(), "b".into()], vec!["c".to_owned()]));
    drop(heir);
}

/// What stands at the meeting place when a node starts. Whatever it is, the node serves and leaves.
#[tokio::test]
async fn whatever_is_at_the_place_a_node_starts() {
    fn place(dir: &Path, at: SocketAddr) -> std::path::PathBuf {
        dir.join(format!("holdlift-n0-{}.sock", at.port()))
    }
    fn answering(dir: &Path, at: SocketAddr, said: &'static [u8]) {
        use std::io::{Read, Write};
        let listener = std::os::unix::net::UnixListener::bind(place(dir, at)).expect("a socket");
        std::thread::spawn(move || {
            // One peer, then it is gone.
            let Ok((mut s, _)) = listener.accept() else { return };
            let _ = s.read(&mut [0; 256]);
            let _ = s.write_all(said);
            if said.is_empty() {
                // One that hangs, for longer than a node waits for it.
                std::thread::sleep(Duration::from_secs(3));
            }
        });
    }
    type Prepare = fn(&Path, SocketAddr);
    let table: [(&str, Prepare, &str); 7] = [
        ("nothing", |_, _| {}, ""),
        (
            "a socket that nobody listens on",
            |dir, at| drop(std::os::unix::net::UnixListener::bind(place(dir, at)).expect("a socket")),
            "",
        ),
        (
            "a foreign file",
            |dir, at| std::fs::write(place(dir, at), "pid 1").expect("a file"),
            "no socket is in the way",
        ),
        ("a folder", |dir, at| std::fs::create_dir(place(dir, at)).expect("a folder"), "is in the way"),
        ("rubbish", |dir, at| answering(dir, at, b"HTTP/1.1 400 Bad Request\r\n\r\n"), "listening by itself"),
        (
            "another version",
            |dir, at| {
                answering(
                    dir,
                    at,
                    b"\0\0\0\x35\0\0\0\0{\"welcome\":{\"version\":1,\"aside\":false,\"listeners\":[]}}",
                );
            },
            "listening by itself",
        ),
        ("one that hangs", |dir, at| answering(dir, at, b""), "did not answer in time; listening by itself"),
    ];
    for (what, prepare, logged) in table {
        let (_farm, agent) = farm().await;
        let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
        let node = Setup { prepare: Some(prepare), ..setup }.start().await;
        node.ready().await;
        let mut c = Caller::connect(node.msgpack).await;
        c.ask(1, "book-job", fields("w", &[]), "1 w").await;
        assert_eq!(c.answer().await.expect("an answer").word, "ok", "{what}");
        let (_, good, log) = node.leave().await;
        assert!(good && log.contains("drain: ") && log.contains(logged), "{what}: {log}");
    }
}

/// A successor that dies on the way changes nothing: the old one serves on, its notice to leave is a plain one, and the next
/// successor is met. A second successor meanwhile listens beside the first. One whose holder died takes clients by itself.
#[tokio::test]
async fn successors_and_holders_that_die() {
    let ((_old, agent), (sleepy, next), (_third, third)) = (farm().await, farm().await, farm().await);
    sleepy.asleep.store(true, Ordering::SeqCst);
    let setup = Setup { settings: settings(2, 3_000, 6_000), agent: Some(agent), ..Setup::default() };
    let node = setup.start().await;
    node.ready().await;
    // Its agent has not greeted it, so it does not take clients.
    let heir = node.succeed(next).await;
    within("the heir", async {
        while heir.control("GET", "ready").await != Some(503) {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    let second = node.succeed(third).await;
    second.ready().await;
    for _ in 0..50 {
        assert!(check(node.msgpack).await, "two listeners serve");
    }
    let (_, good, log) = second.leave().await;
    assert!(
        good && log.contains("has a successor already, or is leaving; listening beside it")
            && log.contains("drain: "),
        "{log}"
    );
    drop(heir);
    within("the death of the heir", async {
        while !check(node.msgpack).await {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
    sleepy.asleep.store(false, Ordering::SeqCst);
    let heir = node.succeed(next).await;
    heir.ready().await;
    // The holder is killed, with no notice at all.
    let at = node.msgpack;
    drop(node);
    for _ in 0..50 {
        assert!(check(at).await, "the heir serves alone");
    }
    let (_fourth, fourth) = farm().await;
    let last = heir.succeed(fourth).await;
    last.ready().await;
    let (_, good, log) = heir.leave().await;
    assert!(good && log.contains("replaced: "), "{log}");
    let (_, good, log) = last.leave().await;
    assert!(good && log.contains("drain: "), "{log}");
}
