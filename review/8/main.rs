//! A device fetches the result of its write in blocks, and the process is replaced meanwhile.
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

const DEVICES: usize = 6;
/// Bytes of a result; the platform's results have at most 4 KiB.
const RESULT: usize = 1_000;
/// The time between a response and the device's next message on its poor link, ms: 75 ms a way.
const ROUND_TRIP: u64 = 150;

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
                let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {RESULT}\r\n\r\n").as_bytes());
                let _ = stream.write_all(&[b'x'; RESULT]);
            });
        }
    });
    (at, runs)
}

/// A confirmable POST to /jobs (RFC 7252): for the result from block `num` on (RFC 7959), with the Echo that the node gave
/// (RFC 9175), and with a payload if it is the first.
fn post(id: u16, token: u8, num: u32, szx: u8, echo: &[u8], payload: &str) -> Vec<u8> {
    let mut b = vec![0x42, 0x02, (id >> 8) as u8, id as u8, 0x51, token, 0xb4];
    b.extend_from_slice(b"jobs");
    let mut number = 11;
    if payload.is_empty() {
        let value = (num << 4) | u32::from(szx);
        b.extend_from_slice(&[0xc2, (value >> 8) as u8, value as u8]);
        number = 23;
    }
    if !echo.is_empty() {
        b.extend_from_slice(&[0xd0 | echo.len() as u8, (252 - number - 13) as u8]);
        b.extend_from_slice(echo);
    }
    if !payload.is_empty() {
        b.push(0xff);
        b.extend_from_slice(payload.as_bytes());
    }
    b
}

/// A response: its code as class * 100 + detail, Block2, Echo and payload.
struct Response {
    code: u32,
    block2: Option<u32>,
    echo: Vec<u8>,
    payload: Vec<u8>,
}

fn parse(b: &[u8]) -> Response {
    let code = u32::from(b[1] >> 5) * 100 + u32::from(b[1] & 31);
    let mut r = Response { code, block2: None, echo: Vec::new(), payload: Vec::new() };
    let (mut at, mut number) = (4 + usize::from(b[0] & 15), 0);
    while at < b.len() && b[at] != 0xff {
        let (mut delta, mut length) = (usize::from(b[at] >> 4), usize::from(b[at] & 15));
        at += 1;
        for n in [&mut delta, &mut length] {
            match *n {
                13 => {
                    *n = 13 + usize::from(b[at]);
                    at += 1;
                }
                14 => {
                    *n = 269 + usize::from(b[at]) * 256 + usize::from(b[at + 1]);
                    at += 2;
                }
                _ => {}
            }
        }
        number += delta;
        let value = &b[at..at + length];
        match number {
            23 => r.block2 = Some(value.iter().fold(0, |x, y| (x << 8) | u32::from(*y))),
            252 => r.echo = value.to_vec(),
            _ => {}
        }
        at += length;
    }
    if at < b.len() {
        r.payload = b[at + 1..].to_vec();
    }
    r
}

/// How a device fared: the bytes of the result that it has, whether that is all, and the code of the last response.
fn device(i: usize, node: SocketAddr) -> (usize, bool, u32) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
    let payload = format!("order {i} of the counter in cikarang, paid");
    let (mut id, mut echo, mut have, mut num, mut szx) = (0x1200 + (i as u16) * 256, Vec::new(), 0, 0, 5);
    let mut first = true;
    let mut demands = 0;
    loop {
        id += 1;
        let message = post(id, i as u8, num, szx, &echo, if first { &payload } else { "" });
        // RFC 7252: ACK_TIMEOUT of 2 to 3 s, doubled with each of up to four retransmissions.
        let (mut wait, mut response) = (2_400.0, None);
        'sent: for _ in 0..5 {
            let _ = socket.send_to(&message, node);
            let until = ms() + wait;
            wait *= 2.0;
            while ms() < until {
                let mut buffer = [0; 2048];
                let Ok((n, _)) = socket.recv_from(&mut buffer) else { continue };
                let r = parse(&buffer[..n]);
                if (buffer[0] >> 4) & 3 == 0 {
                    let _ = socket.send_to(&[0x60, 0, buffer[2], buffer[3]], node);
                }
                if r.code != 0 {
                    response = Some(r);
                    break 'sent;
                }
            }
        }
        let Some(r) = response else {
            note(format!("device {i}: no response to block {num}"));
            return (have, false, 0);
        };
        if !r.echo.is_empty() {
            echo = r.echo.clone();
        }
        sleep_ms(ROUND_TRIP);
        if r.code == 401 && demands < 3 {
            // The node asks the device to prove its address: the same again, with the Echo.
            demands += 1;
            note(format!("device {i}: 4.01, sends block {num} again with the new Echo"));
            continue;
        }
        if r.code / 100 != 2 {
            note(format!("device {i} has {have} of {RESULT} bytes and got {}.{:02}", r.code / 100, r.code % 100));
            return (have, false, r.code);
        }
        have += r.payload.len();
        first = false;
        match r.block2 {
            Some(block) if block & 8 != 0 => {
                if num == 0 {
                    note(format!("device {i} got {}.{:02} and the first {have} bytes", r.code / 100, r.code % 100));
                }
                szx = (block & 7) as u8;
                num = (block >> 4) + 1;
            }
            _ => {
                note(format!("device {i} has all {have} bytes"));
                return (have, have == RESULT, r.code);
            }
        }
    }
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
            sleep_ms(50);
            std::thread::spawn(move || device(i, udp))
        })
        .collect();
    sleep_ms(500);
    if new.is_some() {
        old.signal("TERM");
    }
    let got: Vec<(usize, bool, u32)> = devices.into_iter().map(|d| d.join().unwrap_or((0, false, 0))).collect();
    let ran = |i: usize| {
        let body = format!("order {i} of the counter in cikarang, paid");
        runs.lock().expect("runs").iter().filter(|r| r.1 == body).count()
    };
    let (mut lost, mut whole) = (Vec::new(), 0);
    for (i, (have, all, code)) in got.iter().enumerate() {
        note(format!("device {i}: ran {} times, has {have} of {RESULT} bytes, last code {code}", ran(i)));
        whole += usize::from(*all);
        if ran(i) == 1 && !all {
            lost.push(i);
        }
    }
    if !lost.is_empty() {
        finish(1, &format!("lost: {} of {DEVICES} writes ran, and their devices got no whole answer", lost.len()));
    }
    if whole == 0 {
        cannot("no device was served");
    }
    finish(0, "every write that ran has a whole answer")
}
