//! Callers in an open loop: requests leave when they are due whatever comes of those before. Sent by a thread of its own,
//! as timers here count whole ms; each is timed from when it left, since that thread waits for nothing but the clock, and
//! how late it was is told apart. What the agent took is taken off.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use holdlift::front::msgpack::{ValueCodec, pack};
use pack::{Value, text};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::codec::Decoder;

use super::agent::{Agent, Flow};
use super::deployment::Deployment;
use crate::standin::fields;

/// Longest that answers are waited for once the last request of a span has left.
const PATIENCE: Duration = Duration::from_secs(5);
/// Longest that connections are tried for: a node that has no room lets few in, and the system's queue holds the rest.
const CONNECTING: Duration = Duration::from_secs(8);
/// Connections that are being made at a time.
const MAKING: usize = 32;

/// A request that has been answered, or is lost.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// When it left.
    pub sent: Instant,
    /// From then to its answer at the caller, us; none where none came.
    pub total_us: Option<f64>,
    /// The same without what the agent took; none where it was turned away or lost.
    pub added_us: Option<f64>,
    /// How much later than due it left, us: the lab's own fault.
    pub late_us: f64,
}

struct Open {
    conn: usize,
    sent: Instant,
    late_us: f64,
}

struct Shared {
    open: Mutex<HashMap<u32, Open>>,
    done: Mutex<Vec<Done>>,
    agent: Arc<Agent>,
    next: AtomicU32,
    said: Flow,
    heard: Flow,
}

struct Conn {
    stream: TcpStream,
    alive: AtomicBool,
    /// The node has said something on it: it has been taken in, and doesn't only wait in the system's queue.
    answered: AtomicBool,
}

impl Conn {
    /// Taken in and still there: one that only waits in the system's queue is nobody's to judge the node by.
    fn stands(&self) -> bool {
        self.alive.load(Ordering::Relaxed) && self.answered.load(Ordering::Relaxed)
    }
}

/// What has become of connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fates {
    /// Stand, and were answered.
    pub held: usize,
    /// Stand, and wait for their first answer.
    pub waiting: usize,
    /// Were answered and have ended.
    pub ended: usize,
    /// Have ended without an answer.
    pub refused: usize,
    /// Did not come about in time.
    pub not_made: usize,
}

/// Connections to one node.
pub struct Callers {
    conns: Vec<Arc<Conn>>,
    shared: Arc<Shared>,
    reading: JoinSet<()>,
    not_made: usize,
}

/// Has the sending thread end with whoever waits for it.
struct Halt(Arc<AtomicBool>);

impl Drop for Halt {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Shared {
    fn end(&self, n: u32, at: Instant, served: bool) {
        let Some(open) = self.open.lock().expect("open").remove(&n) else { return };
        let total = at.duration_since(open.sent);
        let span = self.agent.take_span(n).filter(|_| served);
        let us = |d: Duration| d.as_secs_f64() * 1e6;
        self.done.lock().expect("done").push(Done {
            sent: open.sent,
            total_us: Some(us(total)),
            added_us: span.map(|s| us(total.saturating_sub(s))),
            late_us: open.late_us,
        });
    }

    /// Those of a connection that has ended, or of all, will not be answered.
    fn lose(&self, conn: Option<usize>) {
        let mut open = self.open.lock().expect("open");
        let gone: Vec<u32> =
            open.iter().filter(|(_, o)| conn.is_none_or(|c| o.conn == c)).map(|(n, _)| *n).collect();
        for n in gone {
            let Some(Open { sent, late_us, .. }) = open.remove(&n) else { continue };
            self.done.lock().expect("done").push(Done { sent, total_us: None, added_us: None, late_us });
        }
    }

    fn request(&self, draws: &mut ChaCha12Rng, of: &Deployment) -> (u32, BytesMut) {
        let n = self.next.fetch_add(1, Ordering::Relaxed);
        let class = &of.classes[draws.random_range(0..of.classes.len())];
        let tenant = &of.tenants[draws.random_range(0..of.tenants.len())];
        let rank = format!("{:.4}", draws.random::<f64>() * 0.9999);
        let told = fields(&format!("r{n}"), &[("project", tenant), ("class_rank", &rank)]);
        let params = Value::Array(vec![told, Value::Bin(Bytes::from_static(&[b'.'; 256]))]);
        let mut out = BytesMut::new();
        pack::write(
            &mut out,
            &Value::Array(vec![Value::Int(0), Value::Int(n.into()), text(class.as_str()), params]),
        );
        (n, out)
    }
}

async fn read(i: usize, conn: Arc<Conn>, shared: Arc<Shared>) {
    let (mut buffer, mut codec) = (BytesMut::new(), ValueCodec::default());
    'whole: while conn.stream.readable().await.is_ok() {
        match conn.stream.try_read_buf(&mut buffer) {
            Ok(0) => break,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
            Ok(_) => {}
        }
        let at = Instant::now();
        loop {
            let before = buffer.len();
            match codec.decode(&mut buffer) {
                Ok(Some(Value::Array(m))) => {
                    conn.answered.store(true, Ordering::Relaxed);
                    shared.heard.add(before - buffer.len());
                    if let [Value::Int(1), Value::Int(n), error, _] = &m[..] {
                        shared.end(u32::try_from(*n).unwrap_or(0), at, *error == Value::Nil);
                    }
                }
                Ok(None) => break,
                _ => break 'whole,
            }
        }
    }
    conn.alive.store(false, Ordering::Relaxed);
    shared.lose(Some(i));
}

impl Callers {
    /// Nobody yet.
    pub fn new(agent: Arc<Agent>) -> Callers {
        let shared = Arc::new(Shared {
            open: Mutex::default(),
            done: Mutex::default(),
            agent,
            next: AtomicU32::new(1),
            said: Flow::default(),
            heard: Flow::default(),
        });
        Callers { conns: Vec::new(), shared, reading: JoinSet::new(), not_made: 0 }
    }

    /// Makes `count` more connections. Each asks once as it has come, as callers do: one that says nothing is closed.
    /// What came of these requests. Whoever has not come in within `CONNECTING` gives up.
    pub async fn connect(
        &mut self,
        at: SocketAddr,
        count: usize,
        of: &Arc<Deployment>,
        seed: u64,
    ) -> Vec<Done> {
        let mut making = JoinSet::new();
        let (mut left, until) = (count, tokio::time::Instant::now() + CONNECTING);
        while left > 0 || !making.is_empty() {
            while left > 0 && making.len() < MAKING && tokio::time::Instant::now() < until {
                making.spawn(tokio::time::timeout_at(until, TcpStream::connect(at)));
                left -= 1;
            }
            match making.join_next().await {
                Some(Ok(Ok(Ok(stream)))) => {
                    let i = self.take(stream);
                    let mut draws = ChaCha12Rng::seed_from_u64(seed ^ (i as u64) << 20);
                    let (n, out) = self.shared.request(&mut draws, of);
                    self.shared.send(i, &self.conns[i], n, &out, Instant::now());
                }
                Some(_) => self.not_made += 1,
                None => break,
            }
        }
        self.not_made += left;
        self.settle().await;
        std::mem::take(&mut *self.shared.done.lock().expect("done"))
    }

    fn take(&mut self, stream: TcpStream) -> usize {
        let _ = stream.set_nodelay(true);
        let i = self.conns.len();
        let conn = Arc::new(Conn { stream, alive: AtomicBool::new(true), answered: AtomicBool::new(false) });
        self.reading.spawn(read(i, conn.clone(), self.shared.clone()));
        self.conns.push(conn);
        i
    }

    /// Connections that stand.
    pub fn alive(&self) -> usize {
        let fates = self.fates();
        fates.held + fates.waiting
    }

    /// What has become of all.
    pub fn fates(&self) -> Fates {
        let mut all = Fates { not_made: self.not_made, ..Fates::default() };
        for c in &self.conns {
            let of = match (c.alive.load(Ordering::Relaxed), c.answered.load(Ordering::Relaxed)) {
                (true, true) => &mut all.held,
                (true, false) => &mut all.waiting,
                (false, true) => &mut all.ended,
                (false, false) => &mut all.refused,
            };
            *of += 1;
        }
        all
    }

    /// Bytes and messages from callers to the node, and back, so far.
    pub fn flows(&self) -> [(f64, f64); 2] {
        [self.shared.said.counted(), self.shared.heard.counted()]
    }

    async fn settle(&self) {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until && !self.shared.open.lock().expect("open").is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        self.shared.lose(None);
    }

    /// Asks `per_s` times a second for a span, at times and with names drawn, and waits for the answers; what came of
    /// each request.
    pub async fn play(&self, per_s: f64, span: Duration, of: &Arc<Deployment>, seed: u64) -> Vec<Done> {
        let halt = Halt(Arc::new(AtomicBool::new(false)));
        let (conns, shared, of, halted) =
            (self.conns.clone(), self.shared.clone(), of.clone(), halt.0.clone());
        let sending = tokio::task::spawn_blocking(move || {
            let mut draws = ChaCha12Rng::seed_from_u64(seed);
            let from = Instant::now();
            let mut due = from;
            while !halted.load(Ordering::Relaxed) {
                // Exponential gaps: arrivals that do not know of each other.
                due += Duration::from_secs_f64(-(1.0 - draws.random::<f64>()).ln() / per_s.max(0.001));
                if due >= from + span {
                    break;
                }
                let (n, out) = shared.request(&mut draws, &of);
                let first = draws.random_range(0..conns.len().max(1));
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let mut living = (0..conns.len()).map(|k| (first + k) % conns.len());
                if let Some(i) = living.find(|&i| conns[i].stands()) {
                    shared.send(i, &conns[i], n, &out, due);
                }
            }
        });
        let _ = sending.await;
        self.settle().await;
        std::mem::take(&mut *self.shared.done.lock().expect("done"))
    }
}

impl Shared {
    fn send(&self, i: usize, conn: &Conn, n: u32, out: &[u8], due: Instant) {
        let sent = Instant::now();
        let late_us = sent.saturating_duration_since(due).as_secs_f64() * 1e6;
        self.open.lock().expect("open").insert(n, Open { conn: i, sent, late_us });
        self.said.add(out.len());
        // The system's buffer holds hundreds of requests; a node that leaves it full has not read for seconds.
        if !matches!(conn.stream.try_write(out), Ok(all) if all == out.len()) {
            conn.alive.store(false, Ordering::Relaxed);
            self.lose(Some(i));
        }
    }
}

/// Figures of the requests of a span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// Requests.
    pub asked: f64,
    /// Share served.
    pub served: f64,
    /// Added time, us: the median, the 99th of 100, the worst.
    pub added_us: [f64; 3],
    /// The 99th of 100 of how late the lab itself was, us.
    pub late_us: f64,
}

/// The value below which a share of those sorted lie; 0 where there are none.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let at = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(at.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(0.0)
}

/// Sums up what came of a span.
pub fn sum_up(done: &[Done]) -> Told {
    let sorted = |of: &dyn Fn(&Done) -> Option<f64>| {
        let mut all: Vec<f64> = done.iter().filter_map(of).collect();
        all.sort_by(f64::total_cmp);
        all
    };
    let (added, late) = (sorted(&|d| d.added_us), sorted(&|d| Some(d.late_us)));
    Told {
        asked: done.len() as f64,
        served: added.len() as f64 / done.len().max(1) as f64,
        added_us: [quantile(&added, 0.5), quantile(&added, 0.99), quantile(&added, 1.0)],
        late_us: quantile(&late, 0.99),
    }
}

/// The longest that any request took that both left and was answered between two moments, us.
pub fn worst_within(done: &[Done], from: Instant, to: Instant) -> Option<f64> {
    let within = done.iter().filter_map(|d| {
        let total = d.total_us?;
        (d.sent >= from && d.sent + Duration::from_secs_f64(total / 1e6) <= to).then_some(total)
    });
    within.max_by(f64::total_cmp)
}

/// The longest that any request under way between two moments took, us; those lost count as `lost_us`.
pub fn worst_between(done: &[Done], from: Instant, to: Instant, lost_us: f64) -> Option<f64> {
    let meanwhile = done.iter().filter(|d| {
        let span = Duration::from_secs_f64(d.total_us.unwrap_or(lost_us) / 1e6);
        d.sent <= to && d.sent + span >= from
    });
    meanwhile.map(|d| d.total_us.unwrap_or(lost_us)).max_by(f64::total_cmp)
}
