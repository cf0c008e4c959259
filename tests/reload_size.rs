//! Another configuration is read beside those who serve, whatever its size and however long that takes.

mod net;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use holdlift::settings::from_text;
use net::*;
use serde_json::{Value, json};
use tokio::time::sleep;

async fn node() -> Node {
    let (agents, agent) = bind().await;
    tokio::spawn(Farm::new(4).agent(agents));
    let node =
        Setup { settings: settings(4, 3_000, 6_000), agent: Some(agent), ..Setup::default() }.start().await;
    node.ready().await;
    node
}

fn proc(node: &Node, what: &str) -> String {
    let pid = node.child.as_ref().expect("running").id();
    std::fs::read_to_string(format!("/proc/{pid}/{what}")).expect("a process")
}

/// A file that is read only as far as the test writes it.
struct Slow(PathBuf);

impl Slow {
    fn instead_of_the_file_of(node: &Node) -> Slow {
        let environ = proc(node, "environ");
        let path = environ.split('\0').find_map(|v| v.strip_prefix("PROXY_CONFIG=")).expect("a file");
        std::fs::remove_file(path).expect("a file");
        assert!(Command::new("mkfifo").arg(path).status().expect("mkfifo").success());
        Slow(Path::new(path).to_owned())
    }

    /// Waits until somebody reads, who gets this.
    async fn say(&self, text: String) {
        let path = self.0.clone();
        within("a reader", tokio::task::spawn_blocking(move || std::fs::write(path, text)))
            .await
            .expect("joined")
            .expect("written");
    }
}

/// Asks until the answer's word is this, and never waits long for one.
async fn until_said(c: &mut Caller, id: &mut i128, class: &str, word: &str) {
    within("the news", async {
        loop {
            *id += 1;
            c.ask(*id, class, fields(&format!("{class}-{id}"), &[]), "1 x").await;
            if c.answer().await.expect("an answer").word == word {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

fn with_class(good: &str, name: &str) -> String {
    let mut config: Value = serde_json::from_str(good).expect("JSON");
    let mut class = config["settings"]["classes"][0].clone();
    class["name"] = name.into();
    config["settings"]["classes"].as_array_mut().expect("a list").push(class);
    config.to_string()
}

/// Nobody waits for a file that is being read; a signal that comes meanwhile has it read once more, and what was written
/// last is in force.
#[tokio::test]
async fn requests_go_on_while_a_file_is_read() {
    let node = node().await;
    let good = node.configuration();
    let slow = Slow::instead_of_the_file_of(&node);
    let mut c = Caller::connect(node.msgpack).await;
    let mut id = 0;
    node.signal("-HUP");
    // The file's reader waits for its first byte all the while.
    for _ in 0..20 {
        until_said(&mut c, &mut id, "quote", "ok").await;
    }
    node.signal("-HUP");
    node.signal("-HUP");
    for _ in 0..20 {
        until_said(&mut c, &mut id, "quote", "ok").await;
    }
    slow.say(with_class(&good, "first")).await;
    until_said(&mut c, &mut id, "first", "ok").await;
    until_said(&mut c, &mut id, "quote", "ok").await;
    slow.say(with_class(&good, "second")).await;
    until_said(&mut c, &mut id, "second", "ok").await;
    until_said(&mut c, &mut id, "first", "Error").await;
    // A file that is no good is counted as ever, and the next one is taken.
    node.signal("-HUP");
    slow.say("{".to_owned()).await;
    // Until then its reader may still be there, and would get the next file as well.
    node.reloaded(3).await;
    node.signal("-HUP");
    slow.say(with_class(&good, "third")).await;
    until_said(&mut c, &mut id, "third", "ok").await;
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("reloads=3") && log.contains("reloads_failed=1"), "{log}");
}

/// The notice to leave, too, is heard while a file is read: what is in hand is answered, and the process gone in time.
#[tokio::test]
async fn a_node_leaves_while_a_file_is_read() {
    let node = node().await;
    let _slow = Slow::instead_of_the_file_of(&node);
    let mut c = Caller::connect(node.msgpack).await;
    c.ask(1, "quote", fields("q1", &[]), "300 q1").await;
    c.ask(2, "quote", fields("q2", &[]), "1 q2").await;
    assert_eq!(c.answer().await.expect("an answer").id, 2);
    node.signal("-HUP");
    let leaving = tokio::spawn(node.leave());
    let a = c.answer().await.expect("an answer");
    assert_eq!((a.id, a.word.as_str()), (1, "ok"));
    let (took, good, log) = leaving.await.expect("left");
    assert!(good && took < BY_ITSELF, "{took:?} {log}");
    assert!(log.contains("reloads=0") && log.contains("reloads_failed=0"), "{log}");
}

/// What an operator's fleet has: 28,000 tenants and 8,300 classes.
fn at_size(quota: f64, classes: usize) -> Value {
    let mut all = settings(4, 3_000, 6_000);
    let list = all["classes"].as_array_mut().expect("a list");
    let like = list[0].clone();
    while list.len() < classes {
        let mut class = like.clone();
        class["name"] = format!("route-{:05}", list.len()).into();
        list.push(class);
    }
    let accounts = all["accounts"].as_array_mut().expect("a list");
    for i in 0..28_000 {
        accounts.push(json!({"name": format!("tenant-{i:05}"), "quota-per-s": quota, "share": 0.0}));
    }
    all
}

fn peak_mb(node: &Node) -> u64 {
    let status = proc(node, "status");
    let kb = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    kb.split_whitespace().next().and_then(|kb| kb.parse::<u64>().ok()).expect("KB") / 1024
}

/// A change of such a file holds nobody up for a fraction of the time that it takes to read one, and never needs 64 MB:
/// one version in force, the next beside it, and the text of its file.
#[tokio::test]
async fn a_large_file_holds_nobody_up() {
    let node = node().await;
    let (mut c, mut id) = (Caller::connect(node.msgpack).await, 0);
    let mut worst = Duration::ZERO;
    let mut read = Duration::MAX;
    for round in 0..4_u32 {
        let mut told = at_size(f64::from(round), 8_300);
        told["classes"][8_000]["name"] = format!("news-{round}").into();
        let text = told.to_string();
        let start = Instant::now();
        assert!(from_text(&text).is_ok());
        read = read.min(start.elapsed());
        node.reconfigure(&[("settings", told)]);
        node.signal("-HUP");
        within("the news", async {
            let news = format!("news-{round}");
            let mut word = String::new();
            while word != "ok" {
                // Who asks for what is unknown all the time is taken for unruly.
                for class in ["quote", &news] {
                    id += 1;
                    let asked = Instant::now();
                    c.ask(id, class, fields(&format!("r{id}"), &[]), "1 x").await;
                    word = c.answer().await.expect("an answer").word;
                    worst = worst.max(asked.elapsed());
                }
            }
        })
        .await;
    }
    let peak = peak_mb(&node);
    println!("reading takes {read:?}, the longest wait was {worst:?}, the peak {peak} MB");
    assert!(worst < read / 2, "an answer took {worst:?}; reading the file takes {read:?}");
    assert!(peak < 48, "{peak} MB at the peak");
    // More classes than there are slots for are turned down by the same way.
    node.reconfigure(&[("settings", at_size(1.0, 20_001))]);
    node.reload().await;
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("reloads=4") && log.contains("reloads_failed=1"), "{log}");
    assert!(log.contains("settings: 20001 classes; there may be 20000 at most; nothing changed"), "{log}");
    assert!(log.lines().all(|l| l.len() < 1_000), "no line grows with the settings");
}
