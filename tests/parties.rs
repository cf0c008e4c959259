//! The agent protocol without a socket, calls to the ledger on real sockets, and the check of the program's files.

mod net;

use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use holdlift::Outcome;
use holdlift::agent::{self, Agent, CommandInDoubt, Notice};
use holdlift::ledger::{self, Call, CallEnd};
use net::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, watch};
use tokio::time::sleep;

fn sent_text(out: &mut BytesMut) -> String {
    String::from_utf8(out.split().to_vec()).expect("the commands are valid UTF-8").replace("\r\n", "|")
}

fn launch() -> agent::Command {
    let class = "quote".to_owned();
    agent::Command::Launch { class, body: Bytes::from_static(b"hi"), may_run_again: true }
}

fn outcome(n: u64, name: &str) -> Notice {
    Notice::Outcome { n, name: name.to_owned(), end: Outcome::Good, ms: 1.0, result: Bytes::new() }
}

fn sampled(tag: &str) -> Notice {
    Notice::Sampled { tag: tag.to_owned(), values: vec![] }
}

/// After a lost link only commands without proof of delivery are sent again, and only after the missed notices. A reply is
/// not, as the run may have received it.
#[test]
fn only_commands_without_proof_of_delivery_are_repeated_after_a_lost_link() {
    let (mut a, mut out) = (Agent::default(), BytesMut::new());
    let greeting = Notice::Greeting { cold: false, ms: 0.0 };
    a.command("early", launch(), &mut out);
    assert_eq!(sent_text(&mut out), "", "no command is sent without a link");
    a.linked(&mut out);
    a.handle_notice(greeting.clone(), &mut out);
    assert_eq!(sent_text(&mut out), "subscribe 0|sample barrier-1|");
    a.handle_notice(sampled("barrier-1"), &mut out);
    assert_eq!(sent_text(&mut out), "launch early quote 2|hi|");
    // Delivery is proved by the answer to a later question, by an outcome, or by a call of the run.
    assert!(a.ask("sample", "s1", &mut out));
    a.handle_notice(sampled("s1"), &mut out);
    for name in ["ended", "called", "lost", "missed"] {
        a.command(name, launch(), &mut out);
    }
    a.handle_notice(outcome(1, "ended"), &mut out);
    a.handle_notice(Notice::Request { n: 2, name: "called".to_owned(), body: Bytes::new() }, &mut out);
    let reply = agent::Command::Deliver { notice_id: 2, body: Bytes::from_static(b"re") };
    a.command("called", reply, &mut out);
    a.command("lost", agent::Command::Freeze, &mut out);
    sent_text(&mut out);
    a.lost(u64::MAX);
    assert!(!a.ask("sample", "s2", &mut out));
    a.linked(&mut out);
    a.handle_notice(greeting, &mut out);
    assert_eq!(sent_text(&mut out), "subscribe 2|sample barrier-2|");
    // A notice received before is ignored; a missed outcome prevents its launch from being repeated.
    assert_eq!(a.handle_notice(outcome(1, "ended"), &mut out), None);
    assert!(a.handle_notice(outcome(3, "missed"), &mut out).is_some());
    assert_eq!(a.handle_notice(Notice::Aside { n: 4 }, &mut out), None);
    a.handle_notice(sampled("barrier-2"), &mut out);
    assert_eq!(sent_text(&mut out), "launch lost quote 2|hi|freeze lost|");
    let reply_in_doubt = CommandInDoubt::Reply { name: "called".to_owned(), notice_id: 2 };
    assert_eq!(a.take_in_doubt(), [reply_in_doubt]);
}

fn call(body: &str) -> Call {
    Call { name: "r1".to_owned(), limit_ms: 250, body: Bytes::from(body.to_owned()) }
}

/// The list of unproven questions is bounded even when the agent reads on and answers none.
#[test]
fn the_number_of_unanswered_questions_is_bounded() {
    let (mut a, mut out) = (Agent::default(), BytesMut::new());
    a.linked(&mut out);
    a.handle_notice(Notice::Greeting { cold: false, ms: 0.0 }, &mut out);
    a.handle_notice(sampled("barrier-1"), &mut out);
    a.command("early", launch(), &mut out);
    (0..10_000).for_each(|n| assert!(a.ask("sample", &format!("s{n}"), &mut out)));
    assert_eq!(a.unproven(), 65);
    a.handle_notice(sampled("s0"), &mut out);
    assert_eq!(a.unproven(), 63, "the answer proves the delivery of the question and the command before it");
}

/// Each reply maps to its outcome; no call is made twice, each has a connection of its own, and only a refused connection proves
/// that the call did not run.
#[tokio::test]
async fn the_ledger_is_called_once() {
    let (listener, address) = bind().await;
    let calls = Arc::new(std::sync::Mutex::new(Vec::new()));
    let received = calls.clone();
    tokio::spawn(async move {
        for conn in 0.. {
            let Ok((mut s, _)) = listener.accept().await else { return };
            let received = received.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 4096];
                while let Ok(n @ 1..) = s.read(&mut buffer).await {
                    let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
                    let body = text.rsplit("\r\n\r\n").next().unwrap_or("").to_owned();
                    received.lock().unwrap().push(format!("{conn} {body}"));
                    match body.as_str() {
                        "break" => return,
                        "last" => {
                            let _ = s.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
                            return;
                        }
                        reply => {
                            let text = format!("HTTP/1.1 {reply}\r\nContent-Length: 2\r\n\r\nhi");
                            let _ = s.write_all(text.as_bytes()).await;
                        }
                    }
                }
            });
        }
    });
    let mut seen = Vec::new();
    for body in [
        "200 OK",
        "503 Busy\r\nX-Untouched: 1",
        "503 Busy",
        "409 Gone\r\nX-Untouched: 1",
        "500 No",
        "504 Late",
        "break",
        "200 OK",
        "last",
        "200 OK",
    ] {
        let CallEnd { outcome, body: reply, .. } =
            within("a reply", ledger::call(address, &call(body))).await;
        seen.push(format!("{body:?} {:?}", (outcome, reply)));
    }
    let CallEnd { outcome, body: reply, .. } = ledger::call(free().await, &call("200 OK")).await;
    seen.push(format!("refused {:?}", (outcome, reply)));
    seen.push(format!("{:?}", calls.lock().unwrap()));
    insta::assert_snapshot!(seen.join("\n"));
}

/// A ledger that keeps each connection and echoes each call's body. What a body asks for comes besides: before the reply, behind
/// it at once, in its place, or once a later call has arrived.
async fn serve_echoes(stream: TcpStream, arrivals: watch::Sender<u32>) {
    let (mut read, write) = stream.into_split();
    let write = Arc::new(Mutex::new(write));
    let mut buffer = vec![0; 4096];
    while let Ok(n @ 1..) = read.read(&mut buffer).await {
        let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
        let body = text.rsplit("\r\n\r\n").next().unwrap_or("").to_owned();
        let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        arrivals.send_modify(|count| *count += 1);
        let kind = body.split(' ').next().unwrap_or("");
        if kind == "held" {
            sleep(Duration::from_millis(100)).await;
        }
        let written = match kind {
            "ahead" => format!("HTTP/1.1 100 Continue\r\n\r\n{reply}"),
            "behind" => format!("{reply}{reply}"),
            "noise" => format!("{reply}HTTP/1.1 200"),
            "huge" => "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore".to_owned(),
            _ => reply.clone(),
        };
        let mut later_calls = arrivals.subscribe();
        let _ = write.lock().await.write_all(written.as_bytes()).await;
        if kind == "late" {
            let write = write.clone();
            tokio::spawn(async move {
                let _ = later_calls.changed().await;
                let _ = write.lock().await.write_all(reply.as_bytes()).await;
            });
        }
    }
}

/// Guards against review case 2: a second copy of a reply was taken for the reply to the next call on its connection. What comes
/// ahead of a reply, behind it, in its place or at any time later never answers another call: each call has a connection of its
/// own.
#[tokio::test]
async fn nothing_that_a_ledger_sends_for_one_call_answers_another() {
    let (listener, address) = bind().await;
    let (arrivals, _) = watch::channel(0);
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = connections.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve_echoes(stream, arrivals.clone()));
        }
    });
    let bodies = ["ahead 1", "behind 2", "noise 3", "x 4", "late 5", "held 6", "late 7", "held 8", "x 9"];
    for body in bodies {
        let end = within("a reply", ledger::call(address, &call(body))).await;
        assert_eq!((end.outcome, end.body), (Outcome::Good, Bytes::from(body)));
        // The former pool used a connection again after 20 ms.
        sleep(Duration::from_millis(30)).await;
    }
    let end = within("an end", ledger::call(address, &call("huge"))).await;
    assert_eq!(end.outcome, Outcome::Bad);
    let end = within("a reply", ledger::call(address, &call("x 10"))).await;
    assert_eq!((end.outcome, end.body), (Outcome::Good, Bytes::from("x 10")));
    assert_eq!(connections.load(Ordering::SeqCst), bodies.len() + 2);
}

/// Guards against running out of local ports, as each call uses one: after a call none is left in TIME_WAIT, which lasts a
/// minute. Without that, calls beyond some hundreds a second to one address would fail.
#[tokio::test]
async fn an_answered_call_leaves_no_port_behind() {
    let (listener, address) = bind().await;
    let (arrivals, _) = watch::channel(0);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_echoes(stream, arrivals.clone()));
        }
    });
    for n in 0..50 {
        let end = within("a reply", ledger::call(address, &call(&format!("x {n}")))).await;
        assert_eq!(end.outcome, Outcome::Good);
    }
    // /proc/net/tcp: local address, remote address, state; 06 is TIME_WAIT.
    let port = format!(":{:04X}", address.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system lists its sockets");
    let waiting = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>()).filter(|words| {
        words.len() > 3 && (words[1].ends_with(&port) || words[2].ends_with(&port)) && words[3] == "06"
    });
    assert_eq!(waiting.count(), 0);
}

/// The uwsgi file in deploy/ is valid, and an error in an inventory or a file stops the start and names its place.
#[test]
fn files_are_checked_before_the_start() {
    let dir = std::env::temp_dir().join(format!("holdlift-check-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let config = serde_json::json!({"name": "n0", "settings": settings(2, 1_000, 2_000)});
    std::fs::write(dir.join("config.json"), config.to_string()).unwrap();
    let shipped = std::fs::read_to_string("deploy/uwsgi.toml").unwrap();
    std::fs::write(dir.join("uwsgi.toml"), shipped.replace("inventory.yaml", "bad.csv")).unwrap();
    std::fs::write(
        dir.join("bad.csv"),
        "name,group,ansible_host,ansible_port\na,storefront_apps,127.0.0.1,none\n",
    )
    .unwrap();
    std::fs::write(dir.join("odd.toml"), shipped.replace("[timeouts]", "[timeouts]\nsnooze_ms = 1")).unwrap();
    let run = |args: &[&str], config: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_holdlift"));
        command.args(args).env_remove("PROXY_NAME").env_remove("PROXY_LISTEN");
        let out = command.env("PROXY_CONFIG", dir.join(config)).output().unwrap();
        let text = [out.stdout, out.stderr].concat();
        (out.status.success(), String::from_utf8(text).unwrap())
    };
    let at = |name: &str| dir.join(name).display().to_string();
    let good = run(&["--check", "--uwsgi", "deploy/uwsgi.toml"], "config.json");
    assert!(good.0 && good.1.starts_with("good: node n0, 2 uwsgi servers\n"), "{good:?}");
    let (ok, text) = run(&["--check", "--uwsgi", &at("uwsgi.toml")], "config.json");
    assert!(!ok && text.contains("bad.csv:2: host 'a': bad port 'none'"), "{text}");
    let (ok, text) = run(&["--check", "--uwsgi", &at("odd.toml")], "config.json");
    assert!(!ok && text.contains("odd.toml") && text.contains("snooze_ms"), "{text}");
    for (args, config, wanted) in
        [(&["--check"][..], "none.json", "none.json"), (&["--dance"], "config.json", "--dance")]
    {
        let (ok, text) = run(args, config);
        assert!(!ok && text.contains(wanted), "{text}");
    }
    assert!(run(&["--help"], "none.json").1.contains("--uwsgi <FILE>"));
    let _ = std::fs::remove_dir_all(dir);
}
