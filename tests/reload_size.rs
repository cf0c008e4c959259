//! Reading a new configuration does not delay requests, whatever the file's size and however long the read takes.

mod net;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use holdlift::settings::from_text;
use net::*;
use serde_json::{Value, json};
use tokio::time::sleep;

async fn start_node() -> Node {
    let (agents, agent) = bind().await;
    tokio::spawn(Farm::new(4).agent(agents));
    let node =
        Setup { settings: settings(4, 3_000, 6_000), agent: Some(agent), ..Setup::default() }.start().await;
    node.ready().await;
    node
}

/// Reads a file of the node's folder under `/proc`.
fn read_proc(node: &Node, what: &str) -> String {
    let pid = node.child.as_ref().expect("the node's process is running").id();
    std::fs::read_to_string(format!("/proc/{pid}/{what}")).expect("the file under /proc is readable")
}

/// A named pipe in place of the configuration file: a read of it blocks until the test writes.
struct SlowFile(PathBuf);

impl SlowFile {
    fn replace_configuration_of(node: &Node) -> SlowFile {
        let environ = read_proc(node, "environ");
        let path =
            environ.split('\0').find_map(|v| v.strip_prefix("PROXY_CONFIG=")).expect("PROXY_CONFIG is set");
        std::fs::remove_file(path).expect("the configuration file is removed");
        assert!(Command::new("mkfifo").arg(path).status().expect("mkfifo runs").success());
        SlowFile(Path::new(path).to_owned())
    }

    /// Waits until a reader opens the pipe, and writes this text.
    async fn write(&self, text: String) {
        let path = self.0.clone();
        within("a reader", tokio::task::spawn_blocking(move || std::fs::write(path, text)))
            .await
            .expect("the writer thread does not panic")
            .expect("the text is written");
    }
}

/// Sends requests until one is answered with this word; each answer must come within the usual time limit.
async fn request_until(c: &mut Caller, id: &mut i128, class: &str, word: &str) {
    within("the new answer", async {
        loop {
            *id += 1;
            c.ask(*id, class, fields(&format!("{class}-{id}"), &[]), "1 x").await;
            if c.answer().await.expect("the request is answered").word == word {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// A configuration with a copy of its first class under another name.
fn with_class(good: &str, name: &str) -> String {
    let mut config: Value = serde_json::from_str(good).expect("the configuration is JSON");
    let mut class = config["settings"]["classes"][0].clone();
    class["name"] = name.into();
    config["settings"]["classes"].as_array_mut().expect("the value is a list").push(class);
    config.to_string()
}

/// Requests are answered while a file is being read. Signals during the read cause one more read, and the file that was
/// written last is in force.
#[tokio::test]
async fn requests_go_on_while_a_file_is_read() {
    let node = start_node().await;
    let good = node.configuration();
    let slow = SlowFile::replace_configuration_of(&node);
    let mut c = Caller::connect(node.msgpack).await;
    let mut id = 0;
    node.signal("-HUP");
    // The read blocks on its first byte during these requests.
    for _ in 0..20 {
        request_until(&mut c, &mut id, "quote", "ok").await;
    }
    node.signal("-HUP");
    node.signal("-HUP");
    for _ in 0..20 {
        request_until(&mut c, &mut id, "quote", "ok").await;
    }
    slow.write(with_class(&good, "first")).await;
    request_until(&mut c, &mut id, "first", "ok").await;
    request_until(&mut c, &mut id, "quote", "ok").await;
    slow.write(with_class(&good, "second")).await;
    request_until(&mut c, &mut id, "second", "ok").await;
    request_until(&mut c, &mut id, "first", "Error").await;
    // An invalid file is counted as a failed reload, and the next file is applied.
    node.signal("-HUP");
    slow.write("{".to_owned()).await;
    // Before the failure is counted, the read may still be open and would also receive the next file.
    node.reloaded(3).await;
    node.signal("-HUP");
    slow.write(with_class(&good, "third")).await;
    request_until(&mut c, &mut id, "third", "ok").await;
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("reloads=3") && log.contains("reloads_failed=1"), "{log}");
}

/// A notice to leave during a read takes effect: open requests are answered and the process ends in time.
#[tokio::test]
async fn a_node_stops_in_time_while_a_file_is_read() {
    let node = start_node().await;
    let _slow = SlowFile::replace_configuration_of(&node);
    let mut c = Caller::connect(node.msgpack).await;
    c.ask(1, "quote", fields("q1", &[]), "300 q1").await;
    c.ask(2, "quote", fields("q2", &[]), "1 q2").await;
    assert_eq!(c.answer().await.expect("the request is answered").id, 2);
    node.signal("-HUP");
    let leaving = tokio::spawn(node.leave());
    let a = c.answer().await.expect("the request is answered");
    assert_eq!((a.id, a.word.as_str()), (1, "ok"));
    let (took, good, log) = leaving.await.expect("the node ended");
    assert!(good && took < BY_ITSELF, "{took:?} {log}");
    assert!(log.contains("reloads=0") && log.contains("reloads_failed=0"), "{log}");
}

/// Settings at the size of an operator's fleet: 28,000 tenants, and 8,300 classes where asked for.
fn large_settings(quota: f64, classes: usize) -> Value {
    let mut all = settings(4, 3_000, 6_000);
    let list = all["classes"].as_array_mut().expect("the value is a list");
    let template = list[0].clone();
    while list.len() < classes {
        let mut class = template.clone();
        class["name"] = format!("route-{:05}", list.len()).into();
        list.push(class);
    }
    let accounts = all["accounts"].as_array_mut().expect("the value is a list");
    for i in 0..28_000 {
        accounts.push(json!({"name": format!("tenant-{i:05}"), "quota-per-s": quota, "share": 0.0}));
    }
    all
}

/// The peak resident memory of the node's process, MiB.
fn peak_mb(node: &Node) -> u64 {
    let status = read_proc(node, "status");
    let kb = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("the status has VmHWM");
    kb.split_whitespace().next().and_then(|kb| kb.parse::<u64>().ok()).expect("VmHWM is a number of kB")
        / 1024
}

/// A reload of such a file delays no request by half the time that reading the file takes, and the process never needs
/// 64 MB: memory holds the version in force, the next version, and the text of its file.
#[tokio::test]
async fn a_reload_of_a_large_file_delays_no_request() {
    let node = start_node().await;
    let (mut c, mut id) = (Caller::connect(node.msgpack).await, 0);
    let mut worst = Duration::ZERO;
    let mut read = Duration::MAX;
    for round in 0..4_u32 {
        let mut new_settings = large_settings(f64::from(round), 8_300);
        new_settings["classes"][8_000]["name"] = format!("added-{round}").into();
        let text = new_settings.to_string();
        let start = Instant::now();
        assert!(from_text(&text).is_ok());
        read = read.min(start.elapsed());
        node.reconfigure(&[("settings", new_settings)]);
        node.signal("-HUP");
        within("the added class", async {
            let added = format!("added-{round}");
            let mut word = String::new();
            while word != "ok" {
                // A caller that sends only requests of unknown classes is closed as unruly, so valid ones alternate.
                for class in ["quote", &added] {
                    id += 1;
                    let sent_at = Instant::now();
                    c.ask(id, class, fields(&format!("r{id}"), &[]), "1 x").await;
                    word = c.answer().await.expect("the request is answered").word;
                    worst = worst.max(sent_at.elapsed());
                }
            }
        })
        .await;
    }
    let peak = peak_mb(&node);
    println!("reading takes {read:?}, the longest wait was {worst:?}, the peak {peak} MB");
    assert!(worst < read / 2, "an answer took {worst:?}; reading the file takes {read:?}");
    assert!(peak < 48, "{peak} MB at the peak");
    // A file with more classes than the limit is refused in the same way.
    node.reconfigure(&[("settings", large_settings(1.0, 20_001))]);
    node.reload().await;
    let (_, good, log) = node.leave().await;
    assert!(good && log.contains("reloads=4") && log.contains("reloads_failed=1"), "{log}");
    assert!(log.contains("settings: 20001 classes; there may be 20000 at most; nothing changed"), "{log}");
    assert!(log.lines().all(|l| l.len() < 1_000), "no line grows with the settings");
}
