//! A real node as a process, started with what a test or an experiment sets up, and ended with it.

use std::ffi::OsString;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::shim::Shim;
use crate::standin::{free, within};

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
            "entry-kb": 50.0, "halt": "silent", "say": "floor", "senders": 2, "fresh-for-us": 200_000, "idle-us": 30_000_000,
            "meters": ["core_use", "on_cores", "heap_share", "links"]},
        "limits": {"retry-after": true, "max-retry-after-us": 1_000_000}, "replicas-of-me": 3, "round-us": 5_000})
}

/// A node that has had its notice is gone after this at the latest, where its file says 2 s and what it runs takes 9: it
/// left by itself and waited for no run. That it leaves in time to the millisecond is for tests on a clock of their own,
/// as this one's also counts what the machine took to start `kill` and to tell of the end.
pub const BY_ITSELF: Duration = Duration::from_secs(8);

/// The program that is built beside this one, or one folder up, where a test is.
pub(crate) fn program() -> PathBuf {
    let here = std::env::current_exe().expect("a program");
    let beside = here.ancestors().skip(1).map(|dir| dir.join("holdlift"));
    beside.take(2).find(|p| p.is_file()).expect("holdlift is built")
}

/// Sends these bytes to a control address; the status of the answer, if there is one.
pub async fn control(at: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(at).await.ok()?;
    stream.write_all(bytes).await.ok()?;
    let mut said = Vec::new();
    within("the console's answer", stream.read_to_end(&mut said)).await.ok()?;
    String::from_utf8_lossy(&said).split(' ').nth(1)?.parse().ok()
}

/// A real node, ended with its test.
pub struct Node {
    pub child: Option<Child>,
    pub msgpack: SocketAddr,
    pub uwsgi: SocketAddr,
    /// A listener of the edge's file.
    pub edge: SocketAddr,
    /// The control address.
    pub console: SocketAddr,
    /// How the program was started, for a successor.
    line: Vec<OsString>,
    dir: Arc<Dir>,
    log: Log,
    shim: Option<Arc<Shim>>,
}

/// What a process writes to standard error, read all the while: a test may wait for a line, and no process ever stands still
/// because nobody empties its pipe.
#[derive(Default)]
struct Log {
    said: Arc<Mutex<Vec<u8>>>,
    reader: Option<JoinHandle<()>>,
}

impl Log {
    fn of(child: &mut Child) -> Log {
        let mut from = child.stderr.take().expect("piped");
        let said: Arc<Mutex<Vec<u8>>> = Arc::default();
        let into = said.clone();
        let reader = std::thread::spawn(move || {
            let mut part = [0; 4096];
            while let Ok(n @ 1..) = from.read(&mut part) {
                into.lock().expect("a log").extend_from_slice(&part[..n]);
            }
        });
        Log { said, reader: Some(reader) }
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.said.lock().expect("a log")).into_owned()
    }

    /// All of it, once the process has written its last.
    fn whole(mut self) -> String {
        if let Some(reader) = self.reader.take() {
            reader.join().expect("a reader");
        }
        self.text()
    }
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
    /// The system's own limit on descriptors, from the start on.
    pub files: Option<u32>,
    /// The same, lowered behind the node's back once it listens: what it has divided is not there any more.
    pub files_later: Option<u64>,
    /// The edge's file, in which `{uwsgi}` stands for the uwsgi front's address and `{edge}` for one of its own.
    pub edge: Option<String>,
    /// The file of the tiers below.
    pub tiers: Option<String>,
    /// Replaces in the uwsgi front's file.
    pub operator: Vec<(String, String)>,
    /// The node's own limit on descriptors; 256 where none is set.
    pub sockets: usize,
    /// The node's memory, MB; 192 where none is set.
    pub memory_mb: u64,
    /// The program; the one that is built beside this where none is set.
    pub program: Option<PathBuf>,
    /// Further arguments.
    pub args: Vec<String>,
    /// Done in the node's folder, which is its `TMPDIR` too, before it starts there; with its callers' address.
    pub prepare: Option<fn(&Path, SocketAddr)>,
    /// Faults of the clock and of system calls.
    pub shim: Option<Arc<Shim>>,
}

fn spawn(line: &[OsString], dir: &Path, config: &str, shim: Option<&Shim>) -> (Option<Child>, Log) {
    let mut command = Command::new("/bin/sh");
    if let Some(shim) = shim {
        command.env("LD_PRELOAD", Shim::library()).env("HOLDLIFT_SHIM", shim.path());
    }
    let mut child = command
        .args(line)
        .env_remove("PROXY_NAME")
        .env_remove("PROXY_LISTEN")
        .env_remove("PROXY_CONSOLE")
        .env("TMPDIR", dir)
        .env("PROXY_CONFIG", dir.join(config))
        .stderr(Stdio::piped())
        .spawn()
        .expect("the node starts");
    let log = Log::of(&mut child);
    (Some(child), log)
}

impl Setup {
    pub async fn start(self) -> Node {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let n = COUNT.fetch_add(1, Ordering::SeqCst);
        let dir = std::env::temp_dir().join(format!("holdlift-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let (msgpack, uwsgi, edge, console) = (free().await, free().await, free().await, free().await);
        let config = serde_json::json!({"name": "n0", "listen": msgpack, "agent": self.agent, "ledger": self.ledger,
            "lookup": self.lookup, "console": console, "seed": "07", "stop_ms": if self.stop_ms == 0 { 2_000 } else { self.stop_ms },
            "limits": {"cores": 1.0, "memory_mb": if self.memory_mb == 0 { 192 } else { self.memory_mb },
                "sockets": if self.sockets == 0 { 256 } else { self.sockets }}, "settings": self.settings});
        std::fs::write(dir.join("config.json"), config.to_string()).expect("a file");
        let rows: Vec<String> = self
            .servers
            .iter()
            .enumerate()
            .map(|(i, a)| format!("s{i},{},{},{}", a.ip(), a.port(), self.slots))
            .collect();
        let inventory = format!("name,ansible_host,ansible_port,slots\n{}\n", rows.join("\n"));
        std::fs::write(dir.join("servers.csv"), inventory).expect("a file");
        let mut operator = format!(
            "listen = \"{uwsgi}\"\ninventory = \"servers.csv\"\nshared_cores = {}\n[vars]\nclass = \"CLASS\"\nrank = \"RANK\"\neffort = \"EFFORT\"\nkey = \"KEY\"\n[classes]\n\"/buy\" = \"book-job\"\n[limits]\nvars_bytes = 4096\nbody_bytes = 4096\n[timeouts]\nheader_ms = 400\nbody_ms = 400\n",
            self.agent.is_some()
        );
        for (from, to) in &self.operator {
            operator = operator.replace(from, to);
        }
        std::fs::write(dir.join("uwsgi.toml"), operator).expect("a file");
        let limit = self.files.map_or_else(String::new, |n| format!("ulimit -n {n}; "));
        let mut line: Vec<OsString> = vec!["-c".into(), format!("{limit}exec \"$0\" \"$@\"").into()];
        line.push(self.program.clone().unwrap_or_else(program).into());
        if !self.servers.is_empty() {
            line.extend(["--uwsgi".into(), dir.join("uwsgi.toml").into()]);
        }
        if let Some(text) = &self.edge {
            let text = text.replace("{uwsgi}", &uwsgi.to_string()).replace("{edge}", &edge.to_string());
            std::fs::write(dir.join("edge.toml"), text).expect("a file");
            line.extend(["--edge".into(), dir.join("edge.toml").into()]);
        }
        if let Some(text) = &self.tiers {
            std::fs::write(dir.join("tiers.toml"), text).expect("a file");
            line.extend(["--tiers".into(), dir.join("tiers.toml").into()]);
        }
        line.extend(self.args.iter().map(OsString::from));
        if let Some(prepare) = &self.prepare {
            prepare(&dir, msgpack);
        }
        let (child, log) = spawn(&line, &dir, "config.json", self.shim.as_deref());
        let (shim, dir) = (self.shim, Arc::new(Dir(dir)));
        let node = Node { child, msgpack, uwsgi, edge, console, line, dir, log, shim };
        within("listening", async {
            while TcpStream::connect(msgpack).await.is_err() {
                sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
        if let Some(n) = self.files_later {
            let pid = rustix::process::Pid::from_child(node.child.as_ref().expect("running"));
            let limit = rustix::process::Rlimit { current: Some(n), maximum: Some(n) };
            rustix::process::prlimit(Some(pid), rustix::process::Resource::Nofile, limit).expect("lowered");
        }
        node
    }
}

impl Node {
    /// Writes the configuration anew, with these values over what it holds.
    pub fn reconfigure(&self, values: &[(&str, serde_json::Value)]) {
        let mut config: serde_json::Value = serde_json::from_str(&self.configuration()).expect("JSON");
        for (name, value) in values {
            config[*name] = value.clone();
        }
        self.configure(&config.to_string());
    }

    /// The configuration as it stands.
    pub fn configuration(&self) -> String {
        std::fs::read_to_string(self.dir.0.join("config.json")).expect("a file")
    }

    /// What the process has logged so far.
    pub fn log(&self) -> String {
        self.log.text()
    }

    /// The node's folder, which is its `TMPDIR` too.
    pub fn folder(&self) -> &Path {
        &self.dir.0
    }

    /// Writes the configuration anew, whatever it is.
    pub fn configure(&self, text: &str) {
        std::fs::write(self.dir.0.join("config.json"), text).expect("a file");
    }

    /// Writes the file of the tiers anew.
    pub fn retier(&self, text: &str) {
        std::fs::write(self.dir.0.join("tiers.toml"), text).expect("a file");
    }

    /// Starts a second process of this node beside it, with another agent and a control address of its own.
    pub async fn succeed(&self, agent: SocketAddr) -> Node {
        let console = free().await;
        let mut config: serde_json::Value = serde_json::from_str(&self.configuration()).expect("JSON");
        (config["agent"], config["console"]) = (agent.to_string().into(), console.to_string().into());
        let name = format!("config-{}.json", console.port());
        std::fs::write(self.dir.0.join(&name), config.to_string()).expect("a file");
        let (child, log) = spawn(&self.line, &self.dir.0, &name, self.shim.as_deref());
        let (line, dir, shim) = (self.line.clone(), self.dir.clone(), self.shim.clone());
        Node { child, console, line, dir, log, shim, ..*self }
    }

    /// Kills the process without notice and starts it anew where it was, with a control address of its own.
    pub async fn kill_and_start(mut self, agent: SocketAddr) -> Node {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
        self.succeed(agent).await
    }

    /// Waits until the control address says yes to ready.
    pub async fn ready(&self) {
        within("ready", async {
            while self.control("GET", "ready").await != Some(200) {
                sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }

    /// A call to the control address: its status, or none where it was not answered.
    pub async fn control(&self, method: &str, call: &str) -> Option<u16> {
        control(self.console, format!("{method} /control/{call} HTTP/1.1\r\nHost: n0\r\n\r\n").as_bytes())
            .await
    }

    /// Has the system stop the process where it stands, and waits until it has: what happens from then on is all there when
    /// the process is continued.
    pub async fn freeze(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.as_ref().expect("running").id());
        within("a stop", async {
            // The state stands behind the name, which is in brackets.
            let state = || std::fs::read_to_string(&stat).ok()?.rsplit(") ").next()?.chars().next();
            while state() != Some('T') {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }

    /// Has a stopped process go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Waits for the process's end; its success, and the log.
    pub async fn ended(mut self) -> (bool, String) {
        let mut child = self.child.take().expect("running");
        let log = std::mem::take(&mut self.log);
        let end = tokio::task::spawn_blocking(move || {
            let said = log.whole();
            (child.wait().expect("a status").success(), said)
        });
        within("exit", end).await.expect("joined")
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.as_ref().expect("running").id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// How many files of a changed configuration it is done with: taken over or turned down, which is the last that it says
    /// of each, in the same turn. A file is read beside those who serve, so a signal alone tells nothing of what is in force.
    pub fn reloads(&self) -> usize {
        let log = self.log.text();
        let over = |l: &&str| l.contains("reload: agent ") || l.contains("; nothing changed");
        // The last line may be half there.
        log.split_inclusive('\n').filter(|l| l.ends_with('\n')).filter(over).count()
    }

    /// Waits until it is done with this many.
    pub async fn reloaded(&self, times: usize) {
        within("a reload", async {
            while self.reloads() < times {
                sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
    }

    /// Has it read its configuration again, and waits until that is taken over or turned down.
    pub async fn reload(&self) {
        let before = self.reloads();
        self.signal("-HUP");
        self.reloaded(before + 1).await;
    }

    /// Sends the notice to leave and returns how long leaving took, the exit's success, and the log.
    pub async fn leave(self) -> (Duration, bool, String) {
        let start = Instant::now();
        self.signal("-TERM");
        let (good, log) = self.ended().await;
        (start.elapsed(), good, log)
    }
}
