//! Stand-ins of the second review: render farm agent, ledger, directory, callers, and the node as a process. Standard
//! library only, loopback only. They follow PROTOCOL-holdlift.md and kit/users/PROTOCOL.md.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---- time and record ----

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Vec<String>> = Mutex::new(Vec::new());
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Milliseconds since the start of the test.
pub fn ms() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1e3
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis() as u64
}

pub fn sleep_ms(n: u64) {
    std::thread::sleep(Duration::from_millis(n));
}

/// Adds a line to the record.
pub fn note(text: impl AsRef<str>) {
    let line = format!("{:9.1} {}", ms(), text.as_ref());
    RECORD.lock().expect("record").push(line);
}

/// Writes the record, ends all processes and exits.
pub fn finish(code: i32, verdict: &str) -> ! {
    note(format!("VERDICT {code} {verdict}"));
    for pid in PIDS.lock().expect("pids").iter() {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
    let lines = RECORD.lock().expect("record").clone();
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let _ = std::fs::write(path, lines.join("\n") + "\n");
    if let Some(dir) = WORK.get() {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(dir);
        }
    }
    println!("{code} {verdict}");
    std::process::exit(code)
}

/// The case could not run.
pub fn cannot(why: impl AsRef<str>) -> ! {
    finish(2, &format!("could not run: {}", why.as_ref()))
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Ends everything after `seconds`, whatever hangs.
pub fn watchdog(seconds: u64) {
    ms();
    std::panic::set_hook(Box::new(|info| finish(2, &format!("stand-in failed: {info}"))));
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(seconds));
        cannot("took too long");
    });
}

// ---- folders, ports, processes ----

static WORK: OnceLock<PathBuf> = OnceLock::new();

/// A temporary folder of this run.
pub fn work() -> &'static Path {
    WORK.get_or_init(|| {
        let dir = std::env::temp_dir().join(format!("holdlift-review-{}", std::process::id()));
        std::fs::create_dir_all(dir.join("tmp")).expect("a folder");
        dir
    })
}

pub fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// The command `run` of the deploy file.
fn run_line(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).and_then(|l| l.split('"').next());
    line.map(str::to_owned).unwrap_or_else(|| cannot("no run line in the deploy file"))
}

pub struct Node {
    pub name: String,
    pub child: Mutex<Child>,
    pub pid: u32,
    pub listen: SocketAddr,
    pub console: SocketAddr,
}

pub struct NodeSetup<'a> {
    /// The label in the record; the node's own name is always n3.
    pub label: &'a str,
    pub listen: SocketAddr,
    pub agent: Option<SocketAddr>,
    pub ledger: Option<SocketAddr>,
    pub lookup: SocketAddr,
    pub stop_ms: u64,
    pub settings: &'a str,
    /// Arguments behind the deploy file's command, for what the platform leaves off.
    pub args: &'a str,
}

impl NodeSetup<'_> {
    /// Writes this process's configuration; the path.
    pub fn write_config(&self, console: SocketAddr) -> PathBuf {
        let path = work().join(format!("config-{}.json", self.label));
        let ledger = self.ledger.map_or(String::new(), |l| format!("\"ledger\":\"{l}\","));
        let agent = self.agent.map_or(String::new(), |a| format!("\"agent\":\"{a}\","));
        let text = format!(
            "{{\"name\":\"n3\",\"listen\":\"{}\",{agent}\"lookup\":\"{}\",{ledger}\"console\":\"{console}\",\
             \"seed\":\"8c1f30d27a5be964\",\"stop_ms\":{},\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"settings\":{}}}",
            self.listen, self.lookup, self.stop_ms, self.settings
        );
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// Starts a process of the node with the deploy file's command.
    pub fn start(&self) -> Node {
        let root = PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".to_owned()));
        let console = free();
        let config = self.write_config(console);
        let log = std::fs::File::create(work().join(format!("log-{}.txt", self.label))).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", format!("{} {}", run_line(&root), self.args).trim()])
            .current_dir(&root)
            .env("PROXY_NAME", "n3")
            .env("PROXY_LISTEN", self.listen.to_string())
            .env("PROXY_CONFIG", &config)
            .env("PROXY_CONSOLE", console.to_string())
            .env("TMPDIR", work().join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot(format!("{e}")));
        let pid = child.id();
        PIDS.lock().expect("pids").push(pid);
        note(format!("{} started", self.label));
        Node { name: self.label.to_owned(), child: Mutex::new(child), pid, listen: self.listen, console }
    }
}

impl Node {
    pub fn signal(&self, name: &str) {
        note(format!("{} gets SIG{name}", self.name));
        let _ = Command::new("kill").args([format!("-{name}"), self.pid.to_string()]).status();
    }

    /// Whether it has ended.
    pub fn ended(&self) -> bool {
        self.child.lock().expect("child").try_wait().ok().flatten().is_some()
    }

    /// The status of a call to its control address; 0 if there is none.
    pub fn control(&self, method: &str, path: &str) -> u16 {
        let call = || -> std::io::Result<u16> {
            let mut s = TcpStream::connect_timeout(&self.console, Duration::from_secs(1))?;
            s.set_read_timeout(Some(Duration::from_secs(1)))?;
            s.write_all(format!("{method} {path} HTTP/1.1\r\nHost: n3\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
            let mut all = Vec::new();
            let _ = s.read_to_end(&mut all);
            Ok(String::from_utf8_lossy(&all).split(' ').nth(1).and_then(|w| w.parse().ok()).unwrap_or(0))
        };
        call().unwrap_or(0)
    }

    /// Waits until it says that it takes clients.
    pub fn wait_ready(&self, within_ms: u64) {
        let until = Instant::now() + Duration::from_millis(within_ms);
        while self.control("GET", "/control/ready") != 200 {
            if Instant::now() > until || self.ended() {
                cannot(format!("{} does not get ready", self.name));
            }
            sleep_ms(20);
        }
        note(format!("{} says that it takes clients", self.name));
    }
}

// ---- MessagePack ----

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Text(String),
    Bin(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

pub fn text(s: &str) -> Value {
    Value::Text(s.to_owned())
}

pub fn pack(v: &Value, out: &mut Vec<u8>) {
    match v {
        Value::Nil => out.push(0xc0),
        Value::Bool(b) => out.push(0xc2 + u8::from(*b)),
        Value::Int(n) => {
            out.push(0xd3);
            out.extend(n.to_be_bytes());
        }
        Value::Text(s) => {
            out.push(0xd9);
            out.push(s.len() as u8);
            out.extend(s.as_bytes());
        }
        Value::Bin(b) => {
            out.push(0xc5);
            out.extend((b.len() as u16).to_be_bytes());
            out.extend(b);
        }
        Value::Array(items) => {
            out.push(0xdc);
            out.extend((items.len() as u16).to_be_bytes());
            items.iter().for_each(|i| pack(i, out));
        }
        Value::Map(pairs) => {
            out.push(0xde);
            out.extend((pairs.len() as u16).to_be_bytes());
            for (k, v) in pairs {
                pack(k, out);
                pack(v, out);
            }
        }
    }
}

/// Reads one value; `None` while bytes are missing.
pub fn unpack(b: &[u8], at: &mut usize) -> Option<Value> {
    fn take<'a>(b: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
        let part = b.get(*at..*at + n)?;
        *at += n;
        Some(part)
    }
    fn uint(b: &[u8], at: &mut usize, n: usize) -> Option<u64> {
        Some(take(b, at, n)?.iter().fold(0, |x, y| (x << 8) | u64::from(*y)))
    }
    fn array(b: &[u8], at: &mut usize, n: u64) -> Option<Value> {
        (0..n).map(|_| unpack(b, at)).collect::<Option<Vec<_>>>().map(Value::Array)
    }
    fn map(b: &[u8], at: &mut usize, n: u64) -> Option<Value> {
        (0..n).map(|_| Some((unpack(b, at)?, unpack(b, at)?))).collect::<Option<Vec<_>>>().map(Value::Map)
    }
    fn txt(b: &[u8], at: &mut usize, n: u64) -> Option<Value> {
        Some(Value::Text(String::from_utf8_lossy(take(b, at, n as usize)?).into_owned()))
    }
    let tag = uint(b, at, 1)? as u8;
    Some(match tag {
        0x00..=0x7f => Value::Int(i64::from(tag)),
        0xe0..=0xff => Value::Int(i64::from(tag as i8)),
        0x80..=0x8f => map(b, at, u64::from(tag & 15))?,
        0x90..=0x9f => array(b, at, u64::from(tag & 15))?,
        0xa0..=0xbf => txt(b, at, u64::from(tag & 31))?,
        0xc2 | 0xc3 => Value::Bool(tag == 0xc3),
        0xc4..=0xc6 => {
            let n = uint(b, at, 1 << (tag - 0xc4))?;
            Value::Bin(take(b, at, n as usize)?.to_vec())
        }
        0xca => {
            take(b, at, 4)?;
            Value::Nil
        }
        0xcb => {
            take(b, at, 8)?;
            Value::Nil
        }
        0xcc..=0xcf => Value::Int(uint(b, at, 1 << (tag - 0xcc))? as i64),
        0xd0..=0xd3 => Value::Int(uint(b, at, 1 << (tag - 0xd0))? as i64),
        0xd9..=0xdb => {
            let n = uint(b, at, 1 << (tag - 0xd9))?;
            txt(b, at, n)?
        }
        0xdc | 0xdd => {
            let n = uint(b, at, 2 << (tag - 0xdc))?;
            array(b, at, n)?
        }
        0xde | 0xdf => {
            let n = uint(b, at, 2 << (tag - 0xde))?;
            map(b, at, n)?
        }
        _ => Value::Nil,
    })
}

// ---- requests, as all stand-ins know them ----

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    Served,
    Full,
    Failed,
}

#[derive(Clone, Debug)]
pub struct Req {
    pub class: String,
    pub body: Vec<u8>,
    pub room: f64,
    pub written: f64,
    pub limit_ms: f64,
    pub answered: Option<(f64, Said, Vec<u8>)>,
    pub answers: u32,
    /// Its caller has given it up or its connection has ended.
    pub gone: Option<f64>,
}

/// Requests by their `ref`.
pub static REQS: Mutex<BTreeMap<String, Req>> = Mutex::new(BTreeMap::new());

fn is_over(reference: &str) -> Option<bool> {
    REQS.lock().expect("requests").get(reference).map(|r| r.answered.is_some() || r.gone.is_some())
}

// ---- callers ----

pub struct Ask<'a> {
    pub class: &'a str,
    pub replay: Option<&'a str>,
    pub lookup: Option<&'a str>,
    pub project: Option<&'a str>,
    pub allow: Option<u64>,
    pub dup: bool,
    pub rank: f64,
    pub room: f64,
    pub body: &'a [u8],
    pub limit_ms: f64,
}

/// One connection of a caller.
pub struct Caller {
    pub label: String,
    stream: TcpStream,
    next: u32,
    open: Arc<Mutex<HashMap<u32, String>>>,
    pub health: Arc<Mutex<Vec<(f64, bool)>>>,
    pub ended: Arc<Mutex<Option<f64>>>,
    pub last_call: Arc<Mutex<bool>>,
}

static REFS: Mutex<u64> = Mutex::new(0x9b1f_03aa_0000_0000);

impl Caller {
    pub fn connect(label: &str, to: SocketAddr) -> std::io::Result<Caller> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let caller = Caller {
            label: label.to_owned(),
            stream: stream.try_clone()?,
            next: 1,
            open: Arc::default(),
            health: Arc::default(),
            ended: Arc::default(),
            last_call: Arc::default(),
        };
        let (open, health) = (caller.open.clone(), caller.health.clone());
        let (ended, last_call, label) = (caller.ended.clone(), caller.last_call.clone(), label.to_owned());
        std::thread::spawn(move || {
            let (mut stream, mut buffer, mut part) = (stream, Vec::new(), [0; 16 << 10]);
            loop {
                let mut used = 0;
                loop {
                    let mut at = used;
                    let Some(v) = unpack(&buffer, &mut at) else { break };
                    used = at;
                    handle(&label, &v, &open, &health, &last_call);
                }
                buffer.drain(..used);
                match stream.read(&mut part) {
                    Ok(n @ 1..) => buffer.extend_from_slice(&part[..n]),
                    other => {
                        note(format!("{label}: connection ended ({other:?})"));
                        *ended.lock().expect("ended") = Some(ms());
                        return;
                    }
                }
            }
        });
        Ok(caller)
    }

    pub fn open(&self) -> usize {
        self.open.lock().expect("open").len()
    }

    /// The requests that are open on it.
    pub fn unanswered(&self) -> Vec<String> {
        self.open.lock().expect("open").values().cloned().collect()
    }

    /// Writes a request; its `ref`.
    pub fn ask(&mut self, a: &Ask) -> std::io::Result<String> {
        let reference = {
            let mut last = REFS.lock().expect("refs");
            *last += 1;
            format!("{:016x}", *last)
        };
        let mut fields = vec![
            (text("ref"), text(&reference)),
            (text("since"), text(&unix_ms().to_string())),
            (text("sender"), text("4")),
            (text("room"), text(&format!("{:.1}", a.room))),
            (text("class_rank"), text(&format!("{:.4}", a.rank))),
        ];
        let mut add = |k: &str, v: Option<String>| fields.extend(v.map(|v| (text(k), text(&v))));
        add("replay", a.replay.map(str::to_owned));
        add("lookup", a.lookup.map(str::to_owned));
        add("project", a.project.map(str::to_owned));
        add("allow", a.allow.map(|n| n.to_string()));
        add("dup", a.dup.then(|| "1".to_owned()));
        let id = self.next;
        self.next += 1;
        let message = Value::Array(vec![
            Value::Int(0),
            Value::Int(i64::from(id)),
            text(a.class),
            Value::Array(vec![Value::Map(fields), Value::Bin(a.body.to_vec())]),
        ]);
        let mut bytes = Vec::new();
        pack(&message, &mut bytes);
        let req = Req {
            class: a.class.to_owned(),
            body: a.body.to_vec(),
            room: a.room,
            written: ms(),
            limit_ms: a.limit_ms,
            answered: None,
            answers: 0,
            gone: None,
        };
        REQS.lock().expect("requests").insert(reference.clone(), req);
        self.open.lock().expect("open").insert(id, reference.clone());
        self.stream.write_all(&bytes)?;
        note(format!(
            "{} sent {reference} {} replay={} dup={}",
            self.label,
            a.class,
            a.replay.unwrap_or("-"),
            u8::from(a.dup)
        ));
        Ok(reference)
    }

    /// Sends a health check.
    pub fn check(&mut self, deep: bool) -> std::io::Result<()> {
        let id = self.next;
        self.next += 1;
        let fields = if deep { vec![(text("inner"), text("1"))] } else { Vec::new() };
        let message = Value::Array(vec![
            Value::Int(0),
            Value::Int(i64::from(id)),
            text("health"),
            Value::Array(vec![Value::Map(fields)]),
        ]);
        let mut bytes = Vec::new();
        pack(&message, &mut bytes);
        self.stream.write_all(&bytes)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

fn handle(
    label: &str,
    v: &Value,
    open: &Mutex<HashMap<u32, String>>,
    health: &Mutex<Vec<(f64, bool)>>,
    last_call: &Mutex<bool>,
) {
    let Value::Array(parts) = v else { return };
    match &parts[..] {
        [Value::Int(1), Value::Int(id), error, result] => {
            let reference = open.lock().expect("open").remove(&(*id as u32));
            let Some(reference) = reference else {
                if let Value::Array(parts) = result {
                    health.lock().expect("health").push((ms(), parts.first() == Some(&Value::Bool(true))));
                }
                return;
            };
            let (said, body) = match (error, result) {
                (Value::Nil, Value::Array(parts)) => match parts.first() {
                    Some(Value::Bin(body)) => (Said::Served, body.clone()),
                    _ => (Said::Served, Vec::new()),
                },
                (Value::Array(parts), _) if parts.first() == Some(&text("Full")) => (Said::Full, Vec::new()),
                _ => (Said::Failed, Vec::new()),
            };
            note(format!("{label} got {reference} {said:?}"));
            if let Some(r) = REQS.lock().expect("requests").get_mut(&reference) {
                r.answers += 1;
                r.answered.get_or_insert((ms(), said, body));
            }
        }
        [Value::Int(2), method, ..] if *method == text("lastCall") => {
            note(format!("{label} got lastCall"));
            *last_call.lock().expect("last call") = true;
        }
        _ => {}
    }
}

/// Waits until all these requests are answered; false if that takes longer.
pub fn wait_answered(references: &[String], within_ms: u64) -> bool {
    let until = Instant::now() + Duration::from_millis(within_ms);
    loop {
        let done = {
            let all = REQS.lock().expect("requests");
            references.iter().all(|r| all.get(r).is_some_and(|r| r.answered.is_some()))
        };
        if done || Instant::now() > until {
            return done;
        }
        sleep_ms(5);
    }
}

pub fn answer_of(reference: &str) -> Option<(f64, Said, Vec<u8>)> {
    REQS.lock().expect("requests").get(reference).and_then(|r| r.answered.clone())
}

// ---- render farm agent ----

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    OnCore,
    AtCall(u64),
    Paused,
}

#[derive(Debug)]
struct Run {
    endpoint: usize,
    body: Vec<u8>,
    /// Work that is left before each call, and after the last; ms on one core.
    work: Vec<f64>,
    phase: Phase,
    started: f64,
}

/// A run that was begun: its request, body, endpoint, and when.
#[derive(Clone, Debug)]
pub struct Begun {
    pub reference: String,
    pub class: String,
    pub body: Vec<u8>,
    pub endpoint: usize,
    pub at: f64,
}

#[derive(Default)]
struct Endpoint {
    notices: Vec<(u64, Vec<u8>)>,
    last: u64,
    link: Option<(u64, TcpStream)>,
    links: u64,
    greets_at: f64,
    waiting: Option<(u64, u64)>,
    greeted: bool,
}

#[derive(Default)]
struct FarmState {
    runs: HashMap<String, Run>,
    begun: Vec<Begun>,
    endpoints: Vec<Endpoint>,
    busy: f64,
}

/// One machine's cores behind one or more agent addresses.
#[derive(Clone)]
pub struct Farm {
    state: Arc<Mutex<FarmState>>,
    cores: f64,
    /// The work of a run, by its class and body: parts between which it calls.
    plan: fn(&str, &[u8]) -> Vec<f64>,
    pub halt_pauses: bool,
}

impl Farm {
    pub fn new(cores: f64, plan: fn(&str, &[u8]) -> Vec<f64>, halt_pauses: bool) -> Farm {
        let farm = Farm { state: Arc::default(), cores, plan, halt_pauses };
        let clock = farm.clone();
        std::thread::spawn(move || clock.work());
        farm
    }

    /// Opens another agent address, which greets nobody for `withheld_ms` from now.
    pub fn endpoint(&self, withheld_ms: u64) -> (usize, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let index = {
            let mut s = self.state.lock().expect("farm");
            s.endpoints.push(Endpoint { greets_at: ms() + withheld_ms as f64, ..Endpoint::default() });
            s.endpoints.len() - 1
        };
        let farm = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let farm = farm.clone();
                std::thread::spawn(move || farm.link(index, stream));
            }
        });
        (index, at)
    }

    /// The agent behind this address is killed: its runs are gone, and it says nothing more.
    pub fn kill(&self, endpoint: usize) {
        let mut s = self.state.lock().expect("farm");
        s.runs.retain(|_, r| r.endpoint != endpoint);
        if let Some((_, link)) = s.endpoints[endpoint].link.take() {
            let _ = link.shutdown(std::net::Shutdown::Both);
        }
        s.endpoints[endpoint].greets_at = f64::INFINITY;
    }

    pub fn greet_at(&self, endpoint: usize, at: f64) {
        self.state.lock().expect("farm").endpoints[endpoint].greets_at = at;
    }

    pub fn begun(&self) -> Vec<Begun> {
        self.state.lock().expect("farm").begun.clone()
    }

    /// The requests whose runs have begun and not ended.
    pub fn running(&self) -> HashSet<String> {
        self.state.lock().expect("farm").runs.keys().cloned().collect()
    }

    fn send(s: &mut FarmState, endpoint: usize, bytes: &[u8]) {
        if let Some((_, link)) = &mut s.endpoints[endpoint].link {
            let _ = link.write_all(bytes);
        }
    }

    fn notice(s: &mut FarmState, endpoint: usize, make: impl FnOnce(u64) -> Vec<u8>) -> u64 {
        let e = &mut s.endpoints[endpoint];
        e.last += 1;
        let (n, bytes) = (e.last, make(e.last));
        e.notices.push((n, bytes.clone()));
        if e.greeted {
            Farm::send(s, endpoint, &bytes);
        }
        n
    }

    fn outcome(s: &mut FarmState, name: &str, endpoint: usize, end: &str, started: f64, result: &[u8]) {
        let span = ms() - started;
        Farm::notice(s, endpoint, |n| {
            let mut b = format!("outcome {n} {name} {end} {span:.3} {}\r\n", result.len()).into_bytes();
            b.extend_from_slice(result);
            b.extend_from_slice(b"\r\n");
            b
        });
    }

    /// Shares the cores among the runs.
    fn work(&self) {
        let mut last = ms();
        loop {
            std::thread::sleep(Duration::from_micros(1500));
            let now = ms();
            let passed = now - last;
            last = now;
            let mut s = self.state.lock().expect("farm");
            let on: Vec<String> =
                s.runs.iter().filter(|(_, r)| r.phase == Phase::OnCore).map(|(k, _)| k.clone()).collect();
            let share = (self.cores / on.len().max(1) as f64).min(1.0);
            let busy = (on.len() as f64 / self.cores).min(1.0);
            s.busy += (busy - s.busy) * (passed / 250.0).min(1.0);
            for name in on {
                let Some(run) = s.runs.get_mut(&name) else { continue };
                if let Some(first) = run.work.first_mut() {
                    *first -= passed * share;
                }
                if run.work.first().is_some_and(|w| *w > 0.0) {
                    continue;
                }
                if !run.work.is_empty() {
                    run.work.remove(0);
                }
                let (endpoint, started) = (run.endpoint, run.started);
                if run.work.is_empty() {
                    let mut result = b"result of ".to_vec();
                    result.extend_from_slice(&run.body);
                    s.runs.remove(&name);
                    Farm::outcome(&mut s, &name, endpoint, "ok", started, &result);
                } else if is_over(&name) == Some(true) {
                    s.runs.remove(&name);
                    Farm::outcome(&mut s, &name, endpoint, "halted", started, b"");
                } else {
                    let body = format!("call of {name}").into_bytes();
                    let n = Farm::notice(&mut s, endpoint, |n| {
                        let mut b = format!("request {n} {name} {}\r\n", body.len()).into_bytes();
                        b.extend_from_slice(&body);
                        b.extend_from_slice(b"\r\n");
                        b
                    });
                    if let Some(run) = s.runs.get_mut(&name) {
                        run.phase = Phase::AtCall(n);
                    }
                }
            }
            // A run that stands at a call ends when its request is over.
            let over: Vec<String> = s
                .runs
                .iter()
                .filter(|(k, r)| matches!(r.phase, Phase::AtCall(_)) && is_over(k) == Some(true))
                .map(|(k, _)| k.clone())
                .collect();
            for name in over {
                if let Some(run) = s.runs.remove(&name) {
                    Farm::outcome(&mut s, &name, run.endpoint, "halted", run.started, b"");
                }
            }
            // Links that wait for the agent to come up.
            for i in 0..s.endpoints.len() {
                let ready = s.endpoints[i].waiting.filter(|_| ms() >= s.endpoints[i].greets_at);
                if let Some((_, after)) = ready {
                    s.endpoints[i].waiting = None;
                    s.endpoints[i].greeted = true;
                    let greeting = format!("greeting warm {:.0}\r\n", ms() + 60_000.0);
                    Farm::send(&mut s, i, greeting.as_bytes());
                    let missed: Vec<Vec<u8>> =
                        s.endpoints[i].notices.iter().filter(|(n, _)| *n > after).map(|(_, b)| b.clone()).collect();
                    for bytes in missed {
                        Farm::send(&mut s, i, &bytes);
                    }
                }
            }
        }
    }

    fn link(&self, endpoint: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = stream.try_clone().expect("a stream");
        let number = {
            let mut s = self.state.lock().expect("farm");
            let e = &mut s.endpoints[endpoint];
            e.links += 1;
            if let Some((_, old)) = e.link.take() {
                let _ = old.shutdown(std::net::Shutdown::Both);
            }
            e.greeted = false;
            e.link = Some((e.links, stream));
            e.links
        };
        let (mut buffer, mut part): (Vec<u8>, _) = (Vec::new(), [0; 16 << 10]);
        loop {
            while let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
                let words: Vec<&str> = line.split(' ').collect();
                let length = match words[0] {
                    "launch" | "deliver" => words.last().and_then(|w| w.parse::<usize>().ok()),
                    _ => None,
                };
                let whole = end + 2 + length.map_or(0, |n| n + 2);
                if buffer.len() < whole {
                    break;
                }
                let block = length.map(|n| buffer[end + 2..end + 2 + n].to_vec()).unwrap_or_default();
                buffer.drain(..whole);
                let mut s = self.state.lock().expect("farm");
                if s.endpoints[endpoint].link.as_ref().map(|l| l.0) != Some(number) {
                    return;
                }
                self.command(&mut s, endpoint, number, &words, block);
            }
            match reader.read(&mut part) {
                Ok(n @ 1..) => buffer.extend_from_slice(&part[..n]),
                _ => return,
            }
        }
    }

    fn command(&self, s: &mut FarmState, endpoint: usize, number: u64, words: &[&str], block: Vec<u8>) {
        match *words {
            ["subscribe", n] => s.endpoints[endpoint].waiting = Some((number, n.parse().unwrap_or(0))),
            ["launch", name, class, _] => {
                let known = REQS.lock().expect("requests").get(name).map(|r| (r.class == class, r.body == block));
                if known != Some((true, true)) {
                    note(format!("agent {endpoint}: refusal launch {name} {class}: {known:?}"));
                    return Farm::send(s, endpoint, format!("refusal launch {name}\r\n").as_bytes());
                }
                if s.runs.contains_key(name) {
                    return;
                }
                if is_over(name) == Some(true) {
                    note(format!("agent {endpoint}: launch {name}: its request is over"));
                    return Farm::outcome(s, name, endpoint, "void", ms(), b"");
                }
                note(format!("agent {endpoint} runs {name} {class}"));
                let begun =
                    Begun { reference: name.to_owned(), class: class.to_owned(), body: block.clone(), endpoint, at: ms() };
                s.begun.push(begun);
                let run = Run {
                    endpoint,
                    work: (self.plan)(class, &block),
                    body: block,
                    phase: Phase::OnCore,
                    started: ms(),
                };
                s.runs.insert(name.to_owned(), run);
            }
            ["freeze", name] => {
                let Some(run) = s.runs.get_mut(name).filter(|r| r.endpoint == endpoint) else { return };
                let started = run.started;
                if self.halt_pauses {
                    if run.phase != Phase::OnCore {
                        return;
                    }
                    run.phase = Phase::Paused;
                } else {
                    s.runs.remove(name);
                }
                Farm::outcome(s, name, endpoint, "halted", started, b"");
            }
            ["thaw", name] => {
                if let Some(run) = s.runs.get_mut(name).filter(|r| r.phase == Phase::Paused) {
                    (run.phase, run.started) = (Phase::OnCore, ms());
                }
            }
            ["deliver", name, _] => {
                if let Some(run) = s.runs.get_mut(name).filter(|r| matches!(r.phase, Phase::AtCall(_))) {
                    run.phase = Phase::OnCore;
                }
            }
            ["forgo", name, n] => {
                let n = n.parse().unwrap_or(0);
                if let Some(run) = s.runs.get_mut(name).filter(|r| r.phase == Phase::AtCall(n)) {
                    run.phase = Phase::OnCore;
                }
            }
            ["sample", tag] => {
                let on = s.runs.values().filter(|r| r.phase == Phase::OnCore).count();
                let line = format!("sampled {tag} {:.3} {on} 0.2 10\r\n", s.busy);
                Farm::send(s, endpoint, line.as_bytes());
            }
            ["exercise", tag] => Farm::send(s, endpoint, format!("exercised {tag} ok\r\n").as_bytes()),
            _ => {}
        }
    }
}

// ---- ledger and directory ----

fn read_call(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let (mut buffer, mut part) = (Vec::new(), [0; 4096]);
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .lines()
                .find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length:").map(|v| v.trim().to_owned()))
                .and_then(|v| v.parse::<usize>().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                return Some((head, buffer[end + 4..end + 4 + length].to_vec()));
            }
        }
        match stream.read(&mut part) {
            Ok(n @ 1..) => buffer.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
}

/// A ledger that answers each call after as many ms as `delay` says.
pub fn ledger(delay: Arc<Mutex<f64>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let delay = delay.clone();
            std::thread::spawn(move || {
                let Some((_, body)) = read_call(&mut stream) else { return };
                let wait = *delay.lock().expect("delay");
                std::thread::sleep(Duration::from_micros((wait * 1e3) as u64));
                let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes());
                let _ = stream.write_all(&body);
            });
        }
    });
    at
}

/// A directory; the reports it got: when, name and mode.
pub fn directory() -> (SocketAddr, Arc<Mutex<Vec<(f64, String)>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let reports: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let kept = reports.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let kept = kept.clone();
            std::thread::spawn(move || {
                let Some((_, body)) = read_call(&mut stream) else { return };
                let mode = if body.windows(6).any(|w| w == b"\"open\"") { "open" } else { "closed" };
                note(format!("directory: n3 reports {mode}"));
                kept.lock().expect("reports").push((ms(), mode.to_owned()));
                let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            });
        }
    });
    (at, reports)
}
