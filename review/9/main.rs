//! A device's write whose response is lost on the link, and a replacement before the device sends it again.
#[path = "../standins-2/kit.rs"]
mod kit;
use kit::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SETTINGS: &str = r#"{"accounts": [], "areas": ["cikarang"], "az": "cikarang", "callers": {"marks-retry": true},
 "classes": [
  {"aim-us": 3500000, "deadline-us": 14000000, "effect": "retryable", "late-worth": 0.2, "memory-span-us": 5000000, "name": "quote", "points": 1.0},
  {"aim-us": 5200000, "deadline-us": 14000000, "effect": "retryable", "late-worth": 0.0, "memory-span-us": 5000000, "name": "proof", "points": 2.0},
  {"aim-us": 3500000, "deadline-us": 10000000, "effect": "fragile", "late-worth": 0.2, "memory-span-us": 5000000, "name": "book-job", "points": 3.0}],
 "contract": {"answer-slack-us": 100000, "cold-from": 0.21, "cold-us": 17000000, "drain-grace-us": 2500000, "fall-multiple": 8.0, "fall-us": 1500000},
 "counted-by": "work",
 "domain": {"below": "silent", "cancel-seen": true, "class-calls": [false, false, false], "cold": false, "cores": 6, "deep-checks": true,
  "dep-share": 0.0, "dep-window-us": 5000000, "entry-kb": 88.13, "fresh-for-us": 200000, "halt": "discard", "heeded-us": 1000000, "idle-us": 30000000,
  "linger-us": 200000, "memory-kb": 48270.0, "meters": ["core_use", "on_cores", "heap_share", "links"], "passes-deadline": false, "readiness": true,
  "run-mem-factor": 16.0, "say": "floor", "senders": 3, "worth-without": [0.3, 0.5, 0.0]},
 "limits": {"cpu-us-per-request": 0.0, "cpu-us-per-s": 60350, "max-retry-after-us": 1000000, "retry-after": true},
 "me": 3, "over-share-worth": 0.05, "replicas-of-me": 11, "round-us": 5000, "tier": 0, "tiers": ["order-gate"], "workload": "server"}"#;

const DEVICES: usize = 10;
/// Of the devices' responses the link loses that of this one, once: 1 of 10 first responses.
const UNLUCKY: usize = 3;

/// The uwsgi server that does the work: replies after 100 ms. The bodies that it has run, and when.
fn server() -> (SocketAddr, Arc<Mutex<Vec<(f64, String)>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let runs: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let kept = runs.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let kept = kept.clone();
            std::thread::spawn(move || {
                let mut head = [0; 4];
                if stream.read_exact(&mut head).is_err() {
                    return;
                }
                let mut vars = vec![0; usize::from(u16::from_le_bytes([head[1], head[2]]))];
                if stream.read_exact(&mut vars).is_err() {
                    return;
                }
                let (mut at, mut length) = (0, 0);
                let text = |at: &mut usize| -> Option<Vec<u8>> {
                    let n = usize::from(u16::from_le_bytes([*vars.get(*at)?, *vars.get(*at + 1)?]));
                    let t = vars.get(*at + 2..*at + 2 + n)?.to_vec();
                    *at += 2 + n;
                    Some(t)
                };
                while let (Some(k), Some(v)) = (text(&mut at), text(&mut at)) {
                    if k == b"CONTENT_LENGTH" {
                        length = String::from_utf8_lossy(&v).parse().unwrap_or(0);
                    }
                }
                let mut body = vec![0; length];
                if stream.read_exact(&mut body).is_err() {
                    return;
                }
                let body = String::from_utf8_lossy(&body).into_owned();
                note(format!("server runs '{body}'"));
                kept.lock().expect("runs").push((ms(), body));
                sleep_ms(100);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbooked");
            });
        }
    });
    (at, runs)
}

/// A confirmable POST to /jobs (RFC 7252), with a payload.
fn post(id: u16, token: [u8; 2], payload: &str) -> Vec<u8> {
    let mut b = vec![0x42, 0x02, (id >> 8) as u8, id as u8, token[0], token[1], 0xb4];
    b.extend_from_slice(b"jobs");
    b.push(0xff);
    b.extend_from_slice(payload.as_bytes());
    b
}

/// What a device got: the response code, as class * 100 + detail; none where there was no response.
fn device(i: usize, node: SocketAddr, retransmit_ms: u64, lose_first: bool) -> Option<u32> {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
    let (id, token) = (0x1200 + i as u16, [0x51, i as u8]);
    let message = post(id, token, &format!("order {i} of the counter in cikarang, paid"));
    let (mut lost, mut wait, mut acked) = (!lose_first, retransmit_ms as f64, false);
    let mut buffer = [0; 2048];
    // RFC 7252: ACK_TIMEOUT of 2 to 3 s, doubled with each of up to four retransmissions.
    for sent in 0..5 {
        if !acked {
            let _ = socket.send_to(&message, node);
            note(format!("device {i} sends its message {:04x}, transmission {}", id, sent + 1));
        }
        let until = ms() + wait;
        wait *= 2.0;
        while ms() < until {
            let Ok((n, _)) = socket.recv_from(&mut buffer) else { continue };
            let (kind, code) = ((buffer[0] >> 4) & 3, buffer[1]);
            let shown = u32::from(code >> 5) * 100 + u32::from(code & 31);
            if !lost {
                lost = true;
                note(format!("link loses a datagram to device {i}: code {shown}"));
                continue;
            }
            if kind == 0 {
                // A separate response is acknowledged.
                let _ = socket.send_to(&[0x60, 0, buffer[2], buffer[3]], node);
            }
            if n >= 4 && code == 0 {
                acked = true;
                continue;
            }
            note(format!("device {i} got {}.{:02}", shown / 100, shown % 100));
            return Some(shown);
        }
    }
    None
}

fn main() {
    watchdog(100);
    let (work_at, runs) = server();
    let (lookup, _) = directory();
    let (listen, uwsgi, udp) = (free(), free(), {
        let s = UdpSocket::bind("127.0.0.1:0").expect("a port");
        s.local_addr().expect("an address")
    });
    std::fs::write(
        work().join("inventory.csv"),
        format!("name,group,ansible_host,ansible_port,slots\ns0,apps,{},{},8\n", work_at.ip(), work_at.port()),
    )
    .expect("a file");
    std::fs::write(
        work().join("uwsgi.toml"),
        format!("listen = \"{uwsgi}\"\ninventory = \"inventory.csv\"\ngroup = \"apps\"\n[vars]\nclass = \"PATH_INFO\"\n"),
    )
    .expect("a file");
    // The old process stands for one that has run for longer than quiet_ms, 247 s; the new one has the file's value.
    for (name, quiet) in [("old", 0), ("new", 247_000)] {
        let text = format!(
            "uwsgi = \"uwsgi.toml\"\n[coap]\nlisten = \"{udp}\"\nquiet_ms = {quiet}\n[coap.classes]\n\"/jobs\" = \"book-job\"\n"
        );
        std::fs::write(work().join(format!("edge-{name}.toml")), text).expect("a file");
    }
    let start = |label: &str| {
        let args = format!("--edge {}", work().join(format!("edge-{label}.toml")).display());
        NodeSetup { label, listen, agent: None, ledger: None, lookup, stop_ms: 3_200, settings: SETTINGS, args: &args }.start()
    };
    let old = start("old");
    old.wait_ready(10_000);
    sleep_ms(500);
    let new = trouble().then(|| {
        let new = start("new");
        new.wait_ready(6_000);
        new
    });
    let devices: Vec<_> = (0..DEVICES)
        .map(|i| {
            sleep_ms(20);
            std::thread::spawn(move || device(i, udp, 2_400, i == UNLUCKY))
        })
        .collect();
    sleep_ms(300);
    if new.is_some() {
        old.signal("TERM");
    }
    let got: Vec<Option<u32>> = devices.into_iter().map(|d| d.join().unwrap_or(None)).collect();
    let ran = |i: usize| {
        let body = format!("order {i} of the counter in cikarang, paid");
        runs.lock().expect("runs").iter().filter(|r| r.1 == body).count()
    };
    let (mut refused, mut served) = (Vec::new(), 0);
    for (i, code) in got.iter().enumerate() {
        note(format!("device {i}: ran {} times, answer {code:?}", ran(i)));
        served += usize::from(code.is_some_and(|c| c / 100 == 2));
        if ran(i) > 1 {
            finish(1, &format!("duplicate: the write of device {i} ran {} times", ran(i)));
        }
        // 5.03 and 4.29 are this front's refusals: nothing has run.
        if ran(i) == 1 && matches!(code, Some(503 | 429)) {
            refused.push(i);
        }
    }
    if let Some(i) = refused.first() {
        finish(1, &format!("duplicate: the write of device {i} has run, and the node turned it away (5.03)"));
    }
    if served == 0 {
        cannot("no device was served");
    }
    finish(0, "no write that ran was turned away")
}
