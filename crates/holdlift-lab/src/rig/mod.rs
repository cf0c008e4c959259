//! A rig of processes: real nodes and keepers in zones, a link between every two of them, faults by script and seed, and a
//! service below that counts by its own clock what all of them do together.

mod files;
pub mod load;
pub mod net;

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::node::program;
use crate::standin::{Caller, Farm, Tier, bind, free};
use net::Net;

/// How long a condition is waited for: many times what it takes on an idle machine.
pub const BOUND: Duration = Duration::from_secs(60);

/// A budget of a rig.
#[derive(Clone, Copy, Debug)]
pub enum Whole {
    /// Calls under way.
    Slots { slots: u32, longest_ms: u64 },
    /// The same, all zones' together: one that is out takes its part away.
    ByZone { slots: u32, longest_ms: u64 },
    /// Starts in a second.
    Starts(u32),
    /// Further tries in a second, beyond what first ones earn.
    Further(u32),
    /// Requests of the member `acme` in a second.
    Member(u32),
}

/// Zones with a service in each, which the fleet leaves and returns to.
#[derive(Clone, Copy, Debug)]
pub struct Zoned {
    /// The fleet decides as one; else its zones are labels only.
    pub decided: bool,
    /// Calls under way that a zone's service bears.
    pub bears: u32,
    /// Out for so long after a first failure, and between two steps of a return, ms.
    pub out_ms: u64,
    pub step_ms: u64,
    /// How long a node holds to what it was told, ms.
    pub trust_ms: u64,
    /// A zone is back whole once its time out has passed: what a slow return is measured against.
    pub at_once: bool,
}

/// What a rig is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Node processes, which go round the zones.
    pub nodes: usize,
    /// Zones.
    pub zones: usize,
    /// Keepers; none leaves the fleet off, and each node is alone.
    pub keepers: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// A lease, ms.
    pub lease_ms: u64,
    /// The bound on drift, and how fast the clock of each process runs, nodes first; 1 where none is named.
    pub drift: f64,
    pub speeds: Vec<f64>,
    /// From a spending to the service, ms.
    pub transit_ms: u64,
    /// What is divided.
    pub budgets: Vec<Whole>,
    /// The service's time for a call, ms.
    pub base_ms: u64,
    /// The limit that each node has for itself.
    pub limit: Option<u32>,
    /// Tries of a call, and the node's own budget for further ones: a share of the first, and at once.
    pub tries: (u32, f64, u32),
    /// A service in each zone; one for all without it.
    pub zoned: Option<Zoned>,
    /// Further lines of the tier in each node's file.
    pub tier: &'static str,
    /// Calls that the service works on at a time, and how much slower a crowd of twice as many makes it; none is a service
    /// that bears whatever comes.
    pub service: Option<(usize, f64)>,
    /// Further lines at the end of the fleet's file: budgets by their own tables.
    pub further: String,
    /// What the processes log.
    pub log: &'static str,
    /// Regions, which the zones go round; none names none.
    pub regions: usize,
    /// Lines of the table `[catalog]`, where the fleet's configuration is agreed; without it there is none.
    pub catalog: Option<&'static str>,
}

/// All that a test may want to look at when it fails, and which keeper leads.
const LOG: &str = "info,holdlift::runtime::replica=debug,holdlift::runtime::fleet=debug,openraft=off";

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            nodes: 5,
            zones: 3,
            keepers: 3,
            seed: 1,
            lease_ms: 1_500,
            drift: 0.02,
            speeds: Vec::new(),
            transit_ms: 400,
            budgets: vec![Whole::Slots { slots: 20, longest_ms: 1_500 }],
            base_ms: 600,
            limit: None,
            tries: (1, 0.0, 0),
            zoned: None,
            tier: "",
            service: None,
            further: String::new(),
            log: LOG,
            regions: 0,
            catalog: None,
        }
    }
}

/// One process and what belongs to it.
pub struct Proc {
    /// Its name in the fleet.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it takes datagrams of the fleet.
    pub at: SocketAddr,
    child: Option<Child>,
    line: Vec<String>,
    env: Vec<(String, String)>,
    folder: PathBuf,
    /// Where its callers connect, and its control address; a keeper has neither.
    pub callers: Option<SocketAddr>,
    pub console: Option<SocketAddr>,
}

/// What does each node's work.
#[derive(Clone, Default)]
pub struct Farms(Arc<Mutex<Vec<Arc<Farm>>>>);

impl Farms {
    fn all(&self) -> MutexGuard<'_, Vec<Arc<Farm>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// That of one node, now.
    #[must_use]
    pub fn of(&self, node: usize) -> Arc<Farm> {
        self.all()[node].clone()
    }
}

/// The rig. All ends with it.
pub struct Rig {
    /// Nodes first, then keepers: the numbers that [`Net`] goes by.
    pub procs: Vec<Proc>,
    /// How many of them are nodes.
    pub nodes: usize,
    /// The links.
    pub net: Net,
    /// The service below; of zones the first one's.
    pub tier: Arc<Tier>,
    /// The services of the zones, where each has one.
    pub tiers: Vec<Arc<Tier>>,
    /// What does each node's work; a node that is replaced has another.
    pub farms: Farms,
    plan: Plan,
    folder: PathBuf,
    heirs: usize,
}

impl Drop for Rig {
    fn drop(&mut self) {
        for p in &mut self.procs {
            if let Some(mut child) = p.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("HOLDLIFT_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Plan {
    /// Starts it all and waits until each node serves.
    ///
    /// # Panics
    /// Where the machine does not bear it.
    pub async fn start(self) -> Rig {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let n = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("holdlift-rig-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let net = Net::new(self.seed);
        let (slots, thrash) = self.service.unwrap_or((4_096, 0.0));
        let (mut tiers, mut below) = (Vec::new(), Vec::new());
        for _ in 0..if self.zoned.is_some() { self.zones } else { 1 } {
            let tier = Tier::new(slots, Duration::from_millis(self.base_ms), thrash);
            let (listener, at) = bind().await;
            tokio::spawn(tier.clone().serve(listener));
            tiers.push(tier);
            below.push(at);
        }
        let all = self.nodes + self.keepers;
        let name = |i: usize| if i < self.nodes { format!("n{i}") } else { format!("k{}", i - self.nodes) };
        let mut at = Vec::new();
        for _ in 0..all {
            at.push(free().await);
        }
        let (mut procs, farms) = (Vec::new(), Farms::default());
        for i in 0..all {
            let mut reach = BTreeMap::new();
            for j in (0..all).filter(|j| *j != i && self.keepers > 0) {
                reach.insert(name(j), net.link(i, j, at[j]).await);
            }
            let zone = i % self.zones.max(1);
            let region = self.regions.checked_sub(1).map(|last| zone % (last + 1));
            let zone = format!("z{zone}");
            let dir = folder.join(name(i));
            std::fs::create_dir_all(&dir).expect("a folder");
            let speed = self.speeds.get(i).copied().unwrap_or(1.0);
            let text = self.fleet_file(&at, (&zone, region), at[i], &reach, speed);
            std::fs::write(dir.join("fleet.toml"), text).expect("a file");
            let mut line = Vec::new();
            let file = |n: &str| dir.join(n).display().to_string();
            let mut proc = Proc {
                name: name(i),
                zone,
                at: at[i],
                child: None,
                line: Vec::new(),
                env: vec![("TMPDIR".to_owned(), dir.display().to_string())],
                folder: dir.clone(),
                callers: None,
                console: None,
            };
            if i < self.nodes {
                let farm = Farm::new(8);
                let (listener, agent) = bind().await;
                tokio::spawn(farm.clone().agent(listener));
                farms.all().push(farm);
                let (callers, console) = (free().await, free().await);
                let mut reached = below.clone();
                if self.zoned.is_some() {
                    for (z, at) in reached.iter_mut().enumerate() {
                        *at = net.link(i, all + z, *at).await;
                    }
                }
                self.node_files(&dir, &name(i), (callers, console, agent), &reached);
                proc.env.push(("PROXY_CONFIG".to_owned(), file("config.json")));
                line.extend(["--tiers".to_owned(), file("tiers.toml")]);
                (proc.callers, proc.console) = (Some(callers), Some(console));
            } else {
                line.extend(["keeper".to_owned(), name(i), "--data".to_owned(), file("book")]);
            }
            if self.keepers > 0 {
                line.extend(["--fleet".to_owned(), file("fleet.toml")]);
            }
            proc.line = line;
            procs.push(proc);
        }
        let nodes = self.nodes;
        let tier = tiers[0].clone();
        let mut rig = Rig { procs, nodes, net, tier, tiers, farms, plan: self, folder, heirs: 0 };
        (0..all).for_each(|i| rig.spawn(i));
        for i in 0..nodes {
            rig.ready(i).await;
        }
        rig
    }
}

impl Rig {
    /// The numbers of the keepers.
    #[must_use]
    pub fn keepers(&self) -> Vec<usize> {
        (self.nodes..self.procs.len()).collect()
    }

    /// The numbers of the nodes.
    #[must_use]
    pub fn all_nodes(&self) -> Vec<usize> {
        (0..self.nodes).collect()
    }

    /// The nodes of a zone.
    #[must_use]
    pub fn zone(&self, zone: &str) -> Vec<usize> {
        (0..self.nodes).filter(|i| self.procs[*i].zone == zone).collect()
    }

    /// All of a zone, as [`Net`] counts it: nodes, keepers and the service; and all others.
    #[must_use]
    pub fn sides(&self, zone: usize) -> (Vec<usize>, Vec<usize>) {
        let of = |i: usize| {
            if i < self.procs.len() {
                self.procs[i].zone == format!("z{zone}")
            } else {
                i - self.procs.len() == zone
            }
        };
        (0..self.procs.len() + self.tiers.len()).partition(|i| of(*i))
    }

    /// All processes of a region, and all others.
    #[must_use]
    pub fn region(&self, region: usize) -> (Vec<usize>, Vec<usize>) {
        let zones = self.plan.zones.max(1);
        (0..self.procs.len()).partition(|i| i % zones % self.plan.regions.max(1) == region)
    }

    /// The number of a zone's service.
    #[must_use]
    pub fn service(&self, zone: usize) -> usize {
        self.procs.len() + zone
    }

    /// How a node has a zone stand: its life, or nothing where it does not know.
    pub async fn life(&self, node: usize, zone: usize) -> Option<String> {
        let report = self.report(node).await?;
        let lines = report["zones"]["zones"].as_array()?;
        let line = lines.iter().find(|l| l["zone"] == format!("z{zone}"))?;
        Some(line["life"].as_str()?.to_owned())
    }

    /// Runs the program's own command line on a node's control address; what it says, and whether all went well.
    pub async fn command(&self, node: usize, words: &[&str]) -> (bool, String) {
        let console = self.procs[node].console.expect("a node").to_string();
        let mut command = tokio::process::Command::new(program());
        let out =
            command.arg("fleet").args(words).args(["--console", &console]).output().await.expect("it runs");
        (out.status.success(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
    }

    /// Runs `holdlift config` where a process stands, by its file of the fleet and its links; what it says, and whether all
    /// went well.
    pub async fn config(&self, i: usize, words: &[&str]) -> (bool, String) {
        let file = self.fleet_file(i);
        let mut command = tokio::process::Command::new(program());
        command.arg("config").args(words).arg("--fleet").arg(file).kill_on_drop(true);
        let out = command.output().await.expect("it runs");
        (out.status.success(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
    }

    /// A process's file of the fleet.
    #[must_use]
    pub fn fleet_file(&self, i: usize) -> PathBuf {
        self.procs[i].folder.join("fleet.toml")
    }

    /// A file beside the rig's own, which goes with it.
    #[must_use]
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// Has a node's platform file say otherwise, and has the node read it.
    pub fn retell(&self, i: usize, f: impl FnOnce(&mut Value)) {
        let env = self.procs[i].env.iter().find(|e| e.0 == "PROXY_CONFIG").expect("a node");
        let mut config =
            serde_json::from_str(&std::fs::read_to_string(&env.1).expect("a file")).expect("JSON");
        f(&mut config);
        std::fs::write(&env.1, config.to_string()).expect("a file");
        self.signal(i, "-HUP");
    }

    fn spawn(&mut self, i: usize) {
        let p = &mut self.procs[i];
        let log = File::options().create(true).append(true).open(p.folder.join("log")).expect("a file");
        let mut command = Command::new(program());
        for key in ["PROXY_NAME", "PROXY_LISTEN", "PROXY_CONSOLE", "PROXY_CONFIG"] {
            command.env_remove(key);
        }
        command.args(&p.line).args(["--log", self.plan.log]);
        command.envs(p.env.iter().map(|(k, v)| (k, v))).stdout(Stdio::null()).stderr(Stdio::from(log));
        p.child = Some(command.spawn().expect("the program starts"));
    }

    /// Waits until a node takes clients.
    pub async fn ready(&self, i: usize) {
        let callers = self.procs[i].callers.expect("a node");
        self.until("a node that serves", async || {
            let Ok(Ok(_)) = timeout(Duration::from_secs(1), TcpStream::connect(callers)).await else {
                return false;
            };
            let check = async { Caller::connect(callers).await.health(1).await };
            timeout(Duration::from_secs(5), check).await.unwrap_or(false)
        })
        .await;
    }

    /// Waits for a condition.
    ///
    /// # Panics
    /// Where it does not come within [`BOUND`]; with the ends of all logs.
    pub async fn until(&self, what: &str, mut seen: impl AsyncFnMut() -> bool) -> Duration {
        let start = Instant::now();
        while !seen().await {
            if start.elapsed() > BOUND {
                self.all_nodes().into_iter().for_each(|i| self.signal(i, "-USR1"));
                sleep(Duration::from_millis(300)).await;
                for p in &self.procs {
                    let log = self.log(&p.name);
                    let tail: Vec<&str> = log.lines().rev().take(12).collect();
                    eprintln!("--- {}", p.name);
                    tail.iter().rev().for_each(|l| eprintln!("{l}"));
                }
                panic!("{what}: not within {BOUND:?}");
            }
            sleep(Duration::from_millis(20)).await;
        }
        start.elapsed()
    }

    /// A process's folder: its files, and a keeper's book.
    #[must_use]
    pub fn folder(&self, i: usize) -> &std::path::Path {
        &self.procs[i].folder
    }

    /// What a process has logged.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(name).join("log")).unwrap_or_default()
    }

    /// The keeper that leads in the latest term, by what keepers said. A term has one that leads at the most, and a later one
    /// is later whenever it was said.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let last = |k: usize| {
            let name = &self.procs[k].name;
            let (log, said) = (self.log(name), format!("replica {name} leads in term "));
            log.lines().filter_map(|l| l.split_once(&said)?.1.parse::<u64>().ok()).next_back()
        };
        self.keepers().into_iter().filter_map(|k| Some((last(k)?, k))).max().map(|l| l.1)
    }

    /// The system's number of a process that runs.
    #[must_use]
    pub fn pid(&self, i: usize) -> Option<u32> {
        self.procs[i].child.as_ref().map(Child::id)
    }

    /// UDP sockets of a process, by the system's own tables.
    #[must_use]
    pub fn datagram_sockets(&self, i: usize) -> usize {
        let Some(child) = &self.procs[i].child else { return 0 };
        let folder = format!("/proc/{}/fd", child.id());
        let links = std::fs::read_dir(folder).into_iter().flatten().flatten();
        let open: Vec<String> = links
            .filter_map(|l| std::fs::read_link(l.path()).ok())
            .filter_map(|l| Some(l.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
            .collect();
        let table = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
        let inodes = table.lines().skip(1).filter_map(|l| l.split_whitespace().nth(9));
        inodes.filter(|i| open.iter().any(|o| o == i)).count()
    }

    /// Sends a signal to a process, by name.
    pub fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = &self.procs[i].child {
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
        }
    }

    /// Stops a process where it stands.
    pub fn stop(&self, i: usize) {
        self.signal(i, "-STOP");
    }

    /// Lets it go on.
    pub fn go_on(&self, i: usize) {
        self.signal(i, "-CONT");
    }

    /// Ends a process outright.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.procs[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a process that is not there, under its name.
    pub fn restart(&mut self, i: usize) {
        self.kill(i);
        self.spawn(i);
    }

    /// Takes a keeper's disk away; it must not run.
    pub fn lose_disk(&mut self, i: usize) {
        let _ = std::fs::remove_dir_all(self.procs[i].folder.join("book"));
    }

    /// Whether a process runs.
    pub fn runs(&mut self, i: usize) -> bool {
        self.procs[i].child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// The notice to leave; waits until it has.
    pub async fn leave(&mut self, i: usize) {
        self.signal(i, "-TERM");
        let start = Instant::now();
        while self.runs(i) && start.elapsed() < BOUND {
            sleep(Duration::from_millis(10)).await;
        }
        assert!(!self.runs(i), "{} does not leave", self.procs[i].name);
        self.procs[i].child = None;
    }

    /// Replaces a node's process by another, with overlap: the second is ready before the first has its notice.
    pub async fn replace(&mut self, i: usize) {
        self.heirs += 1;
        let farm = Farm::new(8);
        let (listener, agent) = bind().await;
        tokio::spawn(farm.clone().agent(listener));
        let (console, name) = (free().await, format!("config-{}.json", self.heirs));
        let p = &mut self.procs[i];
        let config = PathBuf::from(p.env.iter().find(|e| e.0 == "PROXY_CONFIG").expect("a node").1.clone());
        let mut config: Value =
            serde_json::from_str(&std::fs::read_to_string(config).expect("a file")).expect("JSON");
        (config["agent"], config["console"]) = (agent.to_string().into(), console.to_string().into());
        let path = p.folder.join(name);
        std::fs::write(&path, config.to_string()).expect("a file");
        p.env.retain(|e| e.0 != "PROXY_CONFIG");
        p.env.push(("PROXY_CONFIG".to_owned(), path.display().to_string()));
        let mut old = p.child.take();
        p.console = Some(console);
        self.spawn(i);
        self.until("an heir", async || ask(console, "GET /control/ready").await.is_some_and(|r| r.0 == 200))
            .await;
        self.farms.all()[i] = farm;
        if let Some(old) = &mut old {
            let _ = Command::new("kill").args(["-TERM", &old.id().to_string()]).status();
            let start = Instant::now();
            while matches!(old.try_wait(), Ok(None)) {
                assert!(start.elapsed() < BOUND, "{} does not leave", self.procs[i].name);
                sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// What a node knows of the fleet; nothing where it does not answer.
    pub async fn report(&self, i: usize) -> Option<Value> {
        let (status, body) = ask(self.procs[i].console?, "GET /control/fleet").await?;
        if status != 200 {
            return None;
        }
        serde_json::from_str(&body).ok()
    }

    /// One figure of a node's first budget.
    pub async fn figure(&self, i: usize, key: &str) -> u64 {
        self.report(i).await.and_then(|r| r["budgets"][0][key].as_u64()).unwrap_or(0)
    }

    /// What all running nodes may spend of the first budget, by their own word.
    pub async fn limits(&self) -> Vec<u64> {
        let mut all = Vec::new();
        for i in 0..self.nodes {
            all.push(if self.procs[i].child.is_some() { self.figure(i, "limit").await } else { 0 });
        }
        all
    }
}

/// A call to a control address.
async fn ask(at: SocketAddr, call: &str) -> Option<(u16, String)> {
    let talk = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream.write_all(format!("{call} HTTP/1.1\r\nHost: rig\r\n\r\n").as_bytes()).await.ok()?;
        let mut said = String::new();
        stream.read_to_string(&mut said).await.ok()?;
        let (head, body) = said.split_once("\r\n\r\n")?;
        Some((head.split(' ').nth(1)?.parse().ok()?, body.to_owned()))
    };
    timeout(Duration::from_secs(2), talk).await.ok()?
}
