//! Open-loop load on a rig's nodes: what is asked does not wait for what is answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

use super::{Farms, Rig};
use crate::standin::{Caller, fields};

/// Requests open at a time, over all nodes; more are not asked, and counted.
const OPEN_MAX: u64 = 4_000;
/// How long an answer is waited for; the class's deadline is 3 s.
const PATIENCE: Duration = Duration::from_secs(5);

/// What became of the requests.
#[derive(Debug, Default)]
pub struct Tally {
    /// Asked.
    pub asked: AtomicU64,
    /// Served with the call below made.
    pub whole: AtomicU64,
    /// Served without it.
    pub poor: AtomicU64,
    /// Turned away or failed.
    pub refused: AtomicU64,
    /// The node was not there, or went.
    pub lost: AtomicU64,
    open: AtomicU64,
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The member.
    pub member: &'static str,
    /// Its rank, as the wire has it.
    pub rank: &'static str,
    /// How long it takes, and whether it calls the service: what [`crate::standin::Farm::work`] is told.
    pub says: &'static str,
}

impl Default for Work {
    fn default() -> Work {
        Work { member: "acme", rank: "0.5", says: "1 call" }
    }
}

/// Load that goes on until it is dropped.
pub struct Load {
    /// What became of it, so far.
    pub tally: Arc<Tally>,
    rates: Arc<Mutex<Vec<f64>>>,
    task: JoinHandle<()>,
}

impl Drop for Load {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Load {
    /// So many requests a second at each node.
    #[must_use]
    pub fn start(rig: &Rig, per_s: &[f64], seed: u64) -> Load {
        Load::of(rig, per_s, seed, Work::default())
    }

    /// The same of some kind of work. Its requests have the names `q-SEED-N`.
    #[must_use]
    pub fn of(rig: &Rig, per_s: &[f64], seed: u64, work: Work) -> Load {
        let tally = Arc::new(Tally::default());
        let rates = Arc::new(Mutex::new(per_s.to_vec()));
        let to = (0..rig.nodes).map(|i| rig.procs[i].callers.expect("a node")).collect();
        let task = tokio::spawn(drive(tally.clone(), rates.clone(), to, rig.farms.clone(), (seed, work)));
        Load { tally, rates, task }
    }

    /// Other rates from now on.
    pub fn rates(&self, per_s: &[f64]) {
        *self.rates.lock().unwrap_or_else(PoisonError::into_inner) = per_s.to_vec();
    }
}

async fn drive(
    tally: Arc<Tally>,
    rates: Arc<Mutex<Vec<f64>>>,
    to: Vec<SocketAddr>,
    farms: Farms,
    (seed, work): (u64, Work),
) {
    let mut draws = ChaCha8Rng::seed_from_u64(seed);
    let (mut at, mut n) = (Instant::now(), 0u64);
    loop {
        let now = rates.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let all: f64 = now.iter().sum();
        if all <= 0.0 {
            at = Instant::now() + Duration::from_millis(20);
            sleep_until(at).await;
            continue;
        }
        at += Duration::from_secs_f64(-(1.0 - draws.random::<f64>()).ln() / all);
        sleep_until(at).await;
        let mut point = draws.random::<f64>() * all;
        let i = now.iter().position(|r| {
            point -= r;
            point < 0.0
        });
        let i = i.unwrap_or(0);
        let callers = to[i];
        n += 1;
        if tally.open.load(Ordering::SeqCst) >= OPEN_MAX {
            continue;
        }
        tally.asked.fetch_add(1, Ordering::SeqCst);
        tally.open.fetch_add(1, Ordering::SeqCst);
        let (tally, farms, id) = (tally.clone(), farms.clone(), format!("q-{seed}-{n}"));
        tokio::spawn(async move {
            let end = timeout(PATIENCE, one(callers, &id, work)).await.ok().flatten();
            // The agent of the process that has it now learns of that by itself.
            farms.of(i).over(&id);
            let count = match end {
                Some(End::Whole) => &tally.whole,
                Some(End::Poor) => &tally.poor,
                Some(End::Refused) => &tally.refused,
                None => &tally.lost,
            };
            count.fetch_add(1, Ordering::SeqCst);
            tally.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

enum End {
    Whole,
    Poor,
    Refused,
}

async fn one(callers: SocketAddr, id: &str, work: Work) -> Option<End> {
    let stream = TcpStream::connect(callers).await.ok()?;
    let mut c = Caller::on(stream);
    let fields = fields(id, &[("project", work.member), ("class_rank", work.rank)]);
    c.ask(1, "quote", fields, &format!("{} {id}", work.says)).await;
    let answer = c.answer().await?;
    Some(match answer.word.as_str() {
        "ok" if answer.body.ends_with(b"-poor") => End::Poor,
        "ok" => End::Whole,
        _ => End::Refused,
    })
}
