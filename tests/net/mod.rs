//! Stand-ins on loopback for all that a node talks to, and a node to talk to them. Each is small, bounded, and
//! ends with its test. One farm of cores does the work of both kinds of stand-in.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::{Bytes, BytesMut};
use holdlift::front::msgpack::{ValueCodec, pack};
use holdlift::front::uwsgi::packet::{self, PacketCodec, Part};
use pack::{Value, text};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Decoder;

pub const PATIENCE: Duration = Duration::from_secs(20);

pub async fn within<T>(what: &str, f: impl Future<Output = T>) -> T {
    timeout(PATIENCE, f).await.unwrap_or_else(|_| panic!("{what}: nothing within {PATIENCE:?}"))
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis()
}

/// Cores that work is done on, and what was done. Work says `MS` or `MS call` and a token: "20 job-7".
pub struct Farm {
    cores: Semaphore,
    total: usize,
    pub running: AtomicUsize,
    pub runs: Mutex<BTreeMap<String, u32>>,
    /// Notices said so far; the first has the number 1.
    notices: Mutex<Vec<Vec<u8>>>,
    /// The agent says nothing while this is set.
    pub asleep: std::sync::atomic::AtomicBool,
    pub launches: Mutex<Vec<String>>,
    /// Runs that wait for the reply to their call.
    calls: Mutex<BTreeMap<String, tokio::sync::oneshot::Sender<()>>>,
}

impl Farm {
    pub fn new(cores: usize) -> Arc<Farm> {
        Arc::new(Farm {
            cores: Semaphore::new(cores),
            total: cores,
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
            notices: Mutex::default(),
            asleep: false.into(),
            launches: Mutex::default(),
            calls: Mutex::default(),
        })
    }

    /// Does the work that a body asks for and returns its result.
    pub async fn work(&self, body: &[u8]) -> Vec<u8> {
        let said = String::from_utf8_lossy(body).into_owned();
        let (ms, token) = said.split_once(' ').unwrap_or((&said, ""));
        *self.runs.lock().expect("runs").entry(token.to_owned()).or_default() += 1;
        self.running.fetch_add(1, Ordering::SeqCst);
        {
            let _core = self.cores.acquire().await.expect("cores");
            sleep(Duration::from_millis(ms.parse().unwrap_or(0))).await;
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        format!("done {token}").into_bytes()
    }

    pub fn most_runs(&self) -> u32 {
        self.runs.lock().expect("runs").values().copied().max().unwrap_or(0)
    }

    fn note(&self, say: impl Fn(u64) -> Vec<u8>) {
        let mut all = self.notices.lock().expect("notices");
        let next = all.len() as u64 + 1;
        all.push(say(next));
    }

    /// The render farm agent: notices are numbered, and sent again from where a link asks.
    pub async fn agent(self: Arc<Farm>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let (read, write) = stream.into_split();
            // The last notice sent on this link; none are before `subscribe`.
            let link = Arc::new(tokio::sync::Mutex::new((write, None)));
            let (farm, teller) = (self.clone(), link.clone());
            let telling = tokio::spawn(async move {
                loop {
                    sleep(Duration::from_millis(1)).await;
                    farm.tell(&mut *teller.lock().await, b"").await;
                }
            });
            self.hear(BufReader::new(read), &link).await;
            telling.abort();
        }
    }

    /// Sends the notices that a link has not had yet, then some more.
    async fn tell(&self, (write, sent): &mut (OwnedWriteHalf, Option<u64>), more: &[u8]) {
        let all = self.notices.lock().expect("notices").clone();
        if let Some(last) = sent {
            for bytes in all.iter().skip(*last as usize) {
                let _ = write.write_all(bytes).await;
                *last += 1;
            }
        }
        let _ = write.write_all(more).await;
    }

    async fn hear(
        self: &Arc<Farm>,
        mut lines: BufReader<OwnedReadHalf>,
        link: &tokio::sync::Mutex<(OwnedWriteHalf, Option<u64>)>,
    ) {
        let mut line = String::new();
        while matches!(lines.read_line(&mut line).await, Ok(n) if n > 0) {
            match line.split_whitespace().collect::<Vec<_>>()[..] {
                ["subscribe", n] => {
                    while self.asleep.load(Ordering::SeqCst) {
                        sleep(Duration::from_millis(1)).await;
                    }
                    let link = &mut *link.lock().await;
                    self.tell(link, b"greeting warm 0.5\r\n").await;
                    link.1 = n.parse().ok();
                }
                ["launch", id, _, length] => {
                    let mut body = vec![0; length.parse::<usize>().expect("a length") + 2];
                    lines.read_exact(&mut body).await.expect("a body");
                    body.truncate(body.len() - 2);
                    self.launches.lock().expect("launches").push(id.to_owned());
                    let (farm, id) = (self.clone(), id.to_owned());
                    tokio::spawn(async move {
                        let body = match String::from_utf8_lossy(&body).split_once(" call ") {
                            Some((ms, token)) => {
                                let (reply, replied) = tokio::sync::oneshot::channel();
                                farm.calls.lock().expect("calls").insert(id.clone(), reply);
                                farm.note(|n| format!("request {n} {id} 3\r\nabc\r\n").into_bytes());
                                let _ = replied.await;
                                format!("{ms} {token}").into_bytes()
                            }
                            None => body,
                        };
                        let result = farm.work(&body).await;
                        let len = result.len();
                        farm.note(|n| {
                            let head = format!("outcome {n} {id} ok 1.25 {len}\r\n");
                            [head.as_bytes(), &result, b"\r\n"].concat()
                        });
                    });
                }
                ["sample", tag] => {
                    let running = self.running.load(Ordering::SeqCst);
                    let busy = running.min(self.total) as f64 / self.total as f64;
                    let said = format!("sampled {tag} {busy} {running} 0.1 3\r\n");
                    self.tell(&mut *link.lock().await, said.as_bytes()).await;
                }
                ["deliver", id, length] => {
                    let mut body = vec![0; length.parse::<usize>().expect("a length") + 2];
                    lines.read_exact(&mut body).await.expect("a body");
                    if let Some(call) = self.calls.lock().expect("calls").remove(id) {
                        let _ = call.send(());
                    }
                }
                // A stand-in's run can't be stopped: it goes on to its end.
                _ => {}
            }
            line.clear();
        }
    }

    /// A uwsgi server whose work is the body of its packets.
    pub async fn uwsgi(self: Arc<Farm>, listener: TcpListener) {
        while let Ok((mut stream, _)) = listener.accept().await {
            let farm = self.clone();
            tokio::spawn(async move {
                let Some((_, body)) = read_packet(&mut stream).await else { return };
                let result = farm.work(&body).await;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", result.len());
                let _ = stream.write_all(&[head.as_bytes(), &result].concat()).await;
            });
        }
    }
}

pub async fn read_packet(stream: &mut TcpStream) -> Option<(packet::Vars, Bytes)> {
    let mut codec = PacketCodec::new(1 << 16, 1 << 20);
    let (mut buffer, mut head) = (BytesMut::new(), None);
    loop {
        match codec.decode(&mut buffer).expect("a packet") {
            Some(Part::Head(_, vars)) => head = Some(vars),
            Some(Part::Body(body)) => return Some((head.expect("a head"), body)),
            None if stream.read_buf(&mut buffer).await.ok()? == 0 => return None,
            None => {}
        }
    }
}

/// Each on a loopback address of its own: a port that is given back for a node to take is nobody else's meanwhile.
pub async fn bind() -> (TcpListener, SocketAddr) {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let (n, pid) = (COUNT.fetch_add(1, Ordering::SeqCst), std::process::id());
    let ip = Ipv4Addr::new(127, 16 + (pid >> 8) as u8 % 64, pid as u8, 1 + (n % 250) as u8);
    let listener = TcpListener::bind((ip, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// What was said to each, in order: who, and the first line.
pub type Heard = Arc<Mutex<Vec<(&'static str, String)>>>;

/// A party that speaks HTTP: notes each call's first line under a name and answers as told, or not at all.
pub async fn http(listener: TcpListener, who: &'static str, heard: Heard, reply: &'static str) {
    while let Ok((mut s, _)) = listener.accept().await {
        let heard = heard.clone();
        tokio::spawn(async move {
            let mut buffer = vec![0; 4096];
            while let Ok(n @ 1..) = s.read(&mut buffer).await {
                let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
                heard.lock().expect("heard").push((who, text.lines().next().unwrap_or("").to_owned()));
                let _ = s.write_all(reply.as_bytes()).await;
            }
        });
    }
}

/// A port that nobody listens on.
pub async fn free() -> SocketAddr {
    bind().await.1
}

pub fn settings(cores: u32, aim_ms: u64, deadline_ms: u64) -> serde_json::Value {
    let class = |name: &str, effect: &str, points: f64| {
        serde_json::json!({"name": name, "effect": effect, "aim-us": aim_ms * 1000, "points": points,
            "deadline-us": deadline_ms * 1000, "late-worth": 0.0, "memory-span-us": 5_000_000})
    };
    serde_json::json!({
        "accounts": [{"name": "acme", "quota-per-s": 50.0, "share": 1.0}],
        "classes": [class("quote", "retryable", 1.0), class("proof", "retryable", 2.0), class("book-job", "fragile", 3.0)],
        "contract": {"answer-slack-us": 100_000, "cold-from": 0.2, "cold-us": 1_000_000,
            "drain-grace-us": 300_000, "fall-multiple": 8.0, "fall-us": 1_500_000},
        "domain": {"below": "silent", "cores": cores, "memory-kb": 400_000.0, "run-mem-factor": 8.0,
            "entry-kb": 50.0, "halt": "silent", "say": "floor", "senders": 2, "fresh-for-us": 200_000,
            "meters": ["core_use", "on_cores", "heap_share", "links"]},
        "limits": {"retry-after": true, "max-retry-after-us": 1_000_000}, "replicas-of-me": 3, "round-us": 5_000})
}

/// A real node, ended with its test.
pub struct Node {
    pub child: Option<Child>,
    pub msgpack: SocketAddr,
    pub uwsgi: SocketAddr,
    _dir: Dir,
}

struct Dir(std::path::PathBuf);

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

#[derive(Default)]
pub struct Setup {
    pub settings: serde_json::Value,
    pub agent: Option<SocketAddr>,
    pub ledger: Option<SocketAddr>,
    pub lookup: Option<SocketAddr>,
    /// Servers for the uwsgi front; none leaves it off.
    pub servers: Vec<SocketAddr>,
    pub slots: usize,
    pub stop_ms: u64,
    /// The system's own limit on descriptors.
    pub files: Option<u32>,
}

impl Setup {
    pub async fn start(self) -> Node {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let n = COUNT.fetch_add(1, Ordering::SeqCst);
        let dir = std::env::temp_dir().join(format!("holdlift-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let (msgpack, uwsgi) = (free().await, free().await);
        let config = serde_json::json!({"name": "n0", "listen": msgpack, "agent": self.agent, "ledger": self.ledger,
            "lookup": self.lookup, "seed": "07", "stop_ms": if self.stop_ms == 0 { 2_000 } else { self.stop_ms },
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": self.settings});
        std::fs::write(dir.join("config.json"), config.to_string()).expect("a file");
        let rows: Vec<String> = self
            .servers
            .iter()
            .enumerate()
            .map(|(i, a)| format!("s{i},{},{},{}", a.ip(), a.port(), self.slots))
            .collect();
        let inventory = format!("name,ansible_host,ansible_port,slots\n{}\n", rows.join("\n"));
        std::fs::write(dir.join("servers.csv"), inventory).expect("a file");
        let operator = format!(
            "listen = \"{uwsgi}\"\ninventory = \"servers.csv\"\nshared_cores = {}\n[vars]\nclass = \"CLASS\"\nrank = \"RANK\"\neffort = \"EFFORT\"\nkey = \"KEY\"\n[classes]\n\"/buy\" = \"book-job\"\n[limits]\nvars_bytes = 4096\nbody_bytes = 4096\n[timeouts]\nheader_ms = 400\nbody_ms = 400\n",
            self.agent.is_some()
        );
        std::fs::write(dir.join("uwsgi.toml"), operator).expect("a file");
        let limit = self.files.map_or_else(String::new, |n| format!("ulimit -n {n}; "));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{limit}exec \"$0\" \"$@\"")).arg(env!("CARGO_BIN_EXE_holdlift"));
        if !self.servers.is_empty() {
            command.arg("--uwsgi").arg(dir.join("uwsgi.toml"));
        }
        command
            .env_remove("PROXY_NAME")
            .env_remove("PROXY_LISTEN")
            .env("PROXY_CONFIG", dir.join("config.json"));
        let child = command.stderr(Stdio::piped()).spawn().expect("the node starts");
        let node = Node { child: Some(child), msgpack, uwsgi, _dir: Dir(dir) };
        within("listening", async {
            while TcpStream::connect(msgpack).await.is_err() {
                sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
        node
    }
}

impl Node {
    /// Writes the configuration anew, with these values over what it holds.
    pub fn reconfigure(&self, values: &[(&str, serde_json::Value)]) {
        let path = self._dir.0.join("config.json");
        let text = std::fs::read_to_string(&path).expect("a file");
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        for (name, value) in values {
            config[*name] = value.clone();
        }
        std::fs::write(path, config.to_string()).expect("a file");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.as_ref().expect("running").id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// Sends the notice to leave and returns how long leaving took, the exit's success, and the log.
    pub async fn leave(mut self) -> (Duration, bool, String) {
        let start = Instant::now();
        self.signal("-TERM");
        let child = self.child.take().expect("running");
        let out = within("exit", tokio::task::spawn_blocking(move || child.wait_with_output())).await;
        let out = out.expect("joined").expect("output");
        (start.elapsed(), out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
    }
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    buffer: BytesMut,
    codec: ValueCodec,
}

pub fn map(fields: &[(&str, &str)]) -> Value {
    Value::Map(fields.iter().map(|(k, v)| (text(*k), text(*v))).collect())
}

/// The fields of a request that is fit, with `more` over them.
pub fn fields(name: &str, more: &[(&str, &str)]) -> Value {
    let since = unix_ms().to_string();
    let mut all = BTreeMap::from([
        ("ref", name),
        ("since", &since),
        ("sender", "1"),
        ("project", "acme"),
        ("room", "20"),
        ("class_rank", "0.5"),
    ]);
    all.extend(more.iter().copied());
    map(&all.into_iter().filter(|(_, v)| !v.is_empty()).collect::<Vec<_>>())
}

/// How a request was answered: `ok`, or the error's word; and the body or nothing; and the fields.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub id: i128,
    pub word: String,
    pub body: Bytes,
    pub fields: String,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).await.expect("a connection");
        Caller { stream, buffer: BytesMut::new(), codec: ValueCodec::default() }
    }

    pub async fn send(&mut self, message: Value) {
        let mut out = BytesMut::new();
        pack::write(&mut out, &message);
        self.raw(&out).await;
    }

    pub async fn raw(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    pub async fn ask(&mut self, id: i128, class: &str, fields: Value, body: &str) {
        let body = Value::Bin(Bytes::copy_from_slice(body.as_bytes()));
        let params = Value::Array(vec![fields, body]);
        self.send(Value::Array(vec![Value::Int(0), Value::Int(id), text(class), params])).await;
    }

    pub async fn cancel(&mut self, id: i128) {
        let params = Value::Array(vec![Value::Int(id)]);
        self.send(Value::Array(vec![Value::Int(2), text("cancel"), params])).await;
    }

    /// Whether a health check, deep or not, comes back good.
    pub async fn health(&mut self, id: i128) -> bool {
        let params = Value::Array(vec![map(&[])]);
        self.send(Value::Array(vec![Value::Int(0), Value::Int(id), text("health"), params])).await;
        let Some(Value::Array(m)) = self.next().await else { panic!("no answer") };
        matches!(&m[3], Value::Array(r) if r[0] == Value::Bool(true))
    }

    /// Waits until a health check, numbered from 1, comes back good.
    pub async fn healthy(&mut self) {
        within("a good check", async {
            let mut id = 1;
            while !self.health(id).await {
                id += 1;
                sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }

    /// The next message; nothing once the connection has ended.
    pub async fn next(&mut self) -> Option<Value> {
        loop {
            if let Some(v) = self.codec.decode(&mut self.buffer).expect("MessagePack") {
                return Some(v);
            }
            if within("a message", self.stream.read_buf(&mut self.buffer)).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// The next answer, past notifications.
    pub async fn answer(&mut self) -> Option<Answer> {
        loop {
            let Value::Array(m) = self.next().await? else { panic!("no message") };
            if let [Value::Int(1), Value::Int(id), error, result] = &m[..] {
                let (word, body, fields) = match (error, result) {
                    (Value::Nil, Value::Array(r)) => match &r[..] {
                        [Value::Bin(b), f] => ("ok".to_owned(), b.clone(), f.clone()),
                        other => panic!("{other:?}"),
                    },
                    (Value::Array(e), Value::Nil) => {
                        (e[0].text().expect("a word").to_owned(), Bytes::new(), e[1].clone())
                    }
                    other => panic!("{other:?}"),
                };
                return Some(Answer { id: *id, word, body, fields: format!("{fields:?}") });
            }
        }
    }
}

pub fn packet(vars: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let length = body.len().to_string();
    let mut all: Vec<(&str, &[u8])> = vec![("CONTENT_LENGTH", length.as_bytes())];
    all.extend(vars.iter().map(|(k, v)| (*k, v.as_bytes())));
    let mut out = BytesMut::new();
    packet::write(&all, &mut out).expect("vars that fit");
    out.extend_from_slice(body);
    out.to_vec()
}

/// Sends bytes to the uwsgi front and reads until it closes: the status line and the rest.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> (String, String) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let _ = stream.write_all(bytes).await;
    read_reply(&mut stream).await
}

pub async fn read_reply(stream: &mut TcpStream) -> (String, String) {
    let mut got = Vec::new();
    let _ = within("a reply", stream.read_to_end(&mut got)).await;
    let text = String::from_utf8_lossy(&got).into_owned();
    let (line, rest) = text.split_once("\r\n").unwrap_or((&text, ""));
    (line.to_owned(), rest.to_owned())
}
