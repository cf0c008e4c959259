//! The rules on real sockets, one test each: a real node between stand-ins.

mod net;

use std::sync::atomic::Ordering;
use std::time::Duration;

use net::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

async fn node(cores: usize) -> (Node, std::sync::Arc<Farm>) {
    node_with(cores, None).await
}

async fn node_with(cores: usize, files_later: Option<u64>) -> (Node, std::sync::Arc<Farm>) {
    let (listener, agent) = bind().await;
    let farm = Farm::new(cores);
    tokio::spawn(farm.clone().agent(listener));
    let settings = settings(cores as u32, 3_000, 6_000);
    let node = Setup { settings, agent: Some(agent), files_later, ..Setup::default() }.start().await;
    Caller::connect(node.msgpack).await.healthy().await;
    (node, farm)
}

/// Lost: each request gets exactly one whole answer, whatever is wrong with it or happens to it.
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
    // Reads are linked once the first has been taken in, not within a batch.
    sleep(Duration::from_millis(25)).await;
    c.ask(24, "proof", fields("r24", &[("lookup", "k")]), "60 f").await;
    // A cancelled request is owed nothing, and one that is not open is no harm.
    c.ask(25, "quote", fields("r25", &[]), "9000 g").await;
    c.cancel(25).await;
    c.cancel(77).await;
    let mut answers = Vec::new();
    while answers.len() < 15 {
        answers.push(c.answer().await.expect("an answer"));
    }
    answers.sort_by_key(|a| a.id);
    let seen: Vec<String> = answers.iter().map(|a| format!("{} {} {:?}", a.id, a.word, a.body)).collect();
    insta::assert_snapshot!(seen.join("\n"));
    // Only what one subject's reads share was not run for itself.
    assert_eq!(farm.runs.lock().unwrap().get("f"), None);
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("served=4") && log.contains("gone=1") && log.contains("shared=1"), "{log}");
}

/// Lost: what is no MessagePack-RPC, is too large, or uses an id twice ends that connection and no other.
#[tokio::test]
async fn nonsense_ends_its_own_connection() {
    let (node, farm) = node(2).await;
    let mut good = Caller::connect(node.msgpack).await;
    let oversized = [&b"\xc6\x7f\xff\xff\xff"[..], &vec![0; 64 << 10]].concat();
    for bytes in [&b"\xc1"[..], b"GET / HTTP/1.1\r\n\r\n", b"\x93\x01\x02\x03", &oversized] {
        let mut c = Caller::connect(node.msgpack).await;
        c.raw(bytes).await;
        assert_eq!(c.next().await, None, "{:?}", &bytes[..4]);
    }
    let mut twice = Caller::connect(node.msgpack).await;
    twice.ask(1, "quote", fields("a", &[]), "500 a").await;
    twice.ask(1, "quote", fields("b", &[]), "500 b").await;
    // The first was read whole before, and has its answer; the second is never run.
    let first = twice.answer().await.expect("an answer");
    assert_eq!((first.id, first.word.as_str(), &first.body[..]), (1, "ok", &b"done a"[..]));
    assert_eq!(twice.answer().await, None);
    assert!(!farm.runs.lock().unwrap().contains_key("b"));
    // A message cut off halfway was never a request.
    let mut cut = TcpStream::connect(node.msgpack).await.unwrap();
    cut.write_all(b"\x94\x00\x01\xa5quo").await.unwrap();
    drop(cut);
    good.ask(1, "quote", fields("c", &[]), "1 c").await;
    assert_eq!(good.answer().await.expect("an answer").word, "ok");
    let (_, _, log) = node.leave().await;
    assert!(log.contains("closed.Msgpack.CutOff=1") && log.contains("asked.Msgpack=2"), "{log}");
}

/// Duplicates: a write that ended while the agent's link was down is not launched again.
#[tokio::test]
async fn a_lost_link_launches_nothing_twice() {
    let (relay, agent) = bind().await;
    let (listener, inner) = bind().await;
    let farm = Farm::new(2);
    tokio::spawn(farm.clone().agent(listener));
    // A relay whose links can be broken, in the middle of a line as well.
    let broken = std::sync::Arc::new(tokio::sync::Notify::new());
    let breaker = broken.clone();
    tokio::spawn(async move {
        while let Ok((mut a, _)) = relay.accept().await {
            let mut b = TcpStream::connect(inner).await.expect("the agent");
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
    // Asked for while no link exists: launched once there is one again.
    c.ask(1_001, "book-job", fields("w2", &[]), "5 later").await;
    let words = [c.answer().await.expect("an answer"), c.answer().await.expect("an answer")].map(|a| a.word);
    assert_eq!((words, farm.most_runs()), (["ok".to_owned(), "ok".to_owned()], 1));
    let mut launches = farm.launches.lock().unwrap().clone();
    launches.sort();
    assert_eq!(launches, ["w1", "w2"]);
}

/// Drain: after the notice all is answered, late arrivals do not run, and the process is gone in time.
#[tokio::test]
async fn leaving_answers_all() {
    let (node, farm) = node(2).await;
    let mut c = Caller::connect(node.msgpack).await;
    for id in 0..12 {
        c.ask(id, "book-job", fields(&format!("w{id}"), &[]), &format!("150 {id}")).await;
    }
    // So long a run that no drain can wait for it.
    c.ask(12, "book-job", fields("long", &[("class_rank", "0.9")]), "9000 long").await;
    sleep(Duration::from_millis(50)).await;
    let address = node.msgpack;
    let leaving = tokio::spawn(node.leave());
    sleep(Duration::from_millis(600)).await;
    // Past the grace of 0.3 s, on a connection of its own.
    let mut late = Caller::connect(address).await;
    late.ask(1, "quote", fields("late", &[]), "1 late").await;
    assert_eq!(late.answer().await.expect("an answer").word, "Full");
    let mut answers = Vec::new();
    while let Some(a) = c.answer().await {
        answers.push((a.id, a.word));
    }
    answers.sort();
    assert_eq!(answers.iter().map(|a| a.0).collect::<Vec<_>>(), (0..13).collect::<Vec<_>>());
    assert!(answers.iter().filter(|a| a.1 == "ok").count() >= 3, "{answers:?}");
    let (took, good, log) = leaving.await.expect("left");
    assert!(good && took < BY_ITSELF, "{took:?} {log}");
    assert!(!farm.runs.lock().unwrap().contains_key("late") && farm.most_runs() == 1);
}

/// Fall-over: more than the cores take waits in the hold, and a caller that reads nothing stalls no other.
#[tokio::test]
async fn crowds_wait_and_slow_readers_stall_nobody() {
    let (node, farm) = node(2).await;
    let mut deaf = TcpStream::connect(node.msgpack).await.unwrap();
    for id in 0..20_000u32 {
        // Unknown classes, whose answers nobody reads.
        let n = id.to_be_bytes();
        let ask = [&b"\x94\x00\xce"[..], &n, b"\xa1x\x92\x80\xc4\x00"].concat();
        if tokio::time::timeout(Duration::from_millis(50), deaf.write_all(&ask)).await.is_err() {
            break;
        }
    }
    let mut c = Caller::connect(node.msgpack).await;
    let mut most = 0;
    for id in 0..30 {
        c.ask(id, "proof", fields(&format!("p{id}"), &[]), &format!("20 {id}")).await;
    }
    for _ in 0..30 {
        assert_eq!(c.answer().await.expect("an answer").word, "ok");
        most = most.max(farm.running.load(Ordering::SeqCst));
    }
    assert!(most <= 16, "{most} at once on 2 cores");
    // More than 32 open on one connection are answered, not run.
    for id in 100..140 {
        c.ask(id, "proof", fields(&format!("q{id}"), &[]), &format!("1 q{id}")).await;
    }
    for _ in 0..40 {
        assert!(["ok", "Error"].contains(&&*c.answer().await.expect("an answer").word));
    }
}

/// The agent may start long after the node: checks are bad and requests refused until it is up.
#[tokio::test]
async fn a_late_agent_is_waited_for() {
    let (listener, agent) = bind().await;
    let (directory, lookup) = bind().await;
    let farm = Farm::new(2);
    farm.asleep.store(true, Ordering::SeqCst);
    tokio::spawn(farm.clone().agent(listener));
    let reports = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let heard = reports.clone();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = directory.accept().await {
            let mut buffer = vec![0; 4096];
            while let Ok(n @ 1..) = s.read(&mut buffer).await {
                heard.lock().unwrap().push(String::from_utf8_lossy(&buffer[..n]).into_owned());
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
    assert_eq!(c.answer().await.expect("an answer").word, "Full");
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
async fn running_out_of_descriptors_is_survived() {
    let (node, _farm) = node_with(2, Some(40)).await;
    let mut c = Caller::connect(node.msgpack).await;
    c.ask(1, "quote", fields("a", &[]), "200 a").await;
    let mut crowd = Vec::new();
    for _ in 0..60 {
        crowd.push(TcpStream::connect(node.msgpack).await.unwrap());
    }
    assert_eq!(c.answer().await.expect("an answer").word, "ok");
    drop(crowd);
    let mut late = Caller::connect(node.msgpack).await;
    late.ask(1, "quote", fields("b", &[]), "1 b").await;
    assert_eq!(late.answer().await.expect("an answer").word, "ok");
    node.signal("-USR1");
    sleep(Duration::from_millis(100)).await;
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("accept: ") && log.matches("counters: ").count() == 2, "{log}");
}

/// Who connects and says nothing, or only half of something, is closed within 3 s and locks nobody out, however many
/// they are; who has asked may keep its connection.
#[tokio::test]
async fn silent_crowds_lock_nobody_out() {
    let (node, _farm) = node(2).await;
    let mut keeps = Caller::connect(node.msgpack).await;
    keeps.ask(1, "quote", fields("a", &[]), "1 a").await;
    assert_eq!(keeps.answer().await.expect("an answer").word, "ok");
    let mut silent = TcpStream::connect(node.msgpack).await.unwrap();
    let mut halfway = TcpStream::connect(node.msgpack).await.unwrap();
    halfway.write_all(b"\x94\x00\x01\xa5quo").await.unwrap();
    let gone = |s: &mut TcpStream| s.try_read(&mut [0]).is_ok_and(|n| n == 0);
    sleep(Duration::from_millis(500)).await;
    assert!(!gone(&mut silent) && !gone(&mut halfway), "both have their time");
    for s in [&mut silent, &mut halfway] {
        within("a close", s.read(&mut [0])).await.expect("no reset");
    }
    keeps.ask(2, "quote", fields("b", &[]), "1 b").await;
    assert_eq!(keeps.answer().await.expect("an answer").word, "ok");
    // More than the node has descriptors; a caller comes in at once all the same, and one that waits is not closed.
    keeps.ask(3, "quote", fields("c", &[]), "800 c").await;
    let mut crowd = Vec::new();
    for i in 0..400 {
        crowd.push(TcpStream::connect(node.msgpack).await.unwrap());
        if i % 2 == 0 {
            let _ = crowd[i].write_all(b"\x94\x00").await;
        }
    }
    let mut late = Caller::connect(node.msgpack).await;
    late.ask(1, "quote", fields("d", &[]), "1 d").await;
    assert_eq!(late.answer().await.expect("an answer").word, "ok");
    assert_eq!(keeps.answer().await.expect("an answer").word, "ok");
    let (_, good, log) = node.leave().await;
    let counted = ["closed.Msgpack.Silent=", "closed.Msgpack.Slow=", "closed.Msgpack.Crowded="];
    assert!(good && counted.iter().all(|c| log.contains(c)), "{log}");
}

/// A connection that says only what is unfit is answered for a while, then closed; one that says a fit thing now and
/// then is not.
#[tokio::test]
async fn endless_nonsense_is_cut_short() {
    let (node, _farm) = node(2).await;
    let mut c = Caller::connect(node.msgpack).await;
    for id in 0..200 {
        c.ask(id, if id % 50 == 0 { "health" } else { "dance" }, fields("r", &[]), "").await;
        c.next().await.expect("an answer");
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
