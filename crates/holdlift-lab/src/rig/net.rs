//! Links between processes: datagrams and streams, a relay for every two of them, with faults by direction and seed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;

use crate::standin::bind;

/// Sources that one relay tells apart: the processes of a name, one after the other.
const SOURCES_MAX: usize = 32;
/// How often a stalled stream looks whether it may go on.
const LOOK: Duration = Duration::from_millis(5);

/// What happens to what goes from one process to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing gets through: datagrams are lost, streams stand still.
    pub cut: bool,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share that comes twice.
    pub twice: f64,
    /// How long all takes.
    pub delay: Duration,
    /// And how much longer some of it, so that datagrams overtake each other.
    pub jitter: Duration,
    /// Share of datagrams that take [`Fault::late_by`] more.
    pub late: f64,
    /// How late those are.
    pub late_by: Duration,
}

impl Fault {
    /// Nothing gets through.
    pub const CUT: Fault = Fault {
        cut: true,
        loss: 0.0,
        twice: 0.0,
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        late: 0.0,
        late_by: Duration::ZERO,
    };
}

/// What has gone from one process to another by its link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    /// Datagrams that were sent, and their bytes without the headers below.
    pub datagrams: u64,
    pub bytes: u64,
    /// Datagrams of those that a fault has lost.
    pub lost: u64,
    /// Bytes of streams.
    pub streamed: u64,
}

struct State {
    faults: HashMap<(usize, usize), Fault>,
    draws: ChaCha8Rng,
    carried: HashMap<(usize, usize), Carried>,
}

/// All links. Processes are numbered by whoever uses it.
#[derive(Clone)]
pub struct Net(Arc<Mutex<State>>);

impl Net {
    /// Without faults; `seed` for what is drawn.
    #[must_use]
    pub fn new(seed: u64) -> Net {
        let draws = ChaCha8Rng::seed_from_u64(seed);
        Net(Arc::new(Mutex::new(State { faults: HashMap::new(), draws, carried: HashMap::new() })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What happens from one to another from now on.
    pub fn set(&self, from: usize, to: usize, fault: Fault) {
        self.state().faults.insert((from, to), fault);
    }

    /// The same for each of some to each of others, one way.
    pub fn one_way(&self, from: &[usize], to: &[usize], fault: Fault) {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            self.set(a, b, fault);
        }
    }

    /// And both ways.
    pub fn between(&self, some: &[usize], others: &[usize], fault: Fault) {
        self.one_way(some, others, fault);
        self.one_way(others, some, fault);
    }

    /// All is well again.
    pub fn heal(&self) {
        self.state().faults.clear();
    }

    fn fault(&self, from: usize, to: usize) -> Fault {
        self.state().faults.get(&(from, to)).copied().unwrap_or_default()
    }

    /// What has gone from each process to each other one so far.
    #[must_use]
    pub fn carried(&self) -> HashMap<(usize, usize), Carried> {
        self.state().carried.clone()
    }

    /// How long each copy of a datagram takes; nothing where it is lost.
    fn copies(&self, from: usize, to: usize, bytes: usize) -> Vec<Duration> {
        let mut state = self.state();
        let f = state.faults.get(&(from, to)).copied().unwrap_or_default();
        let all = Self::drawn(&mut state.draws, f);
        let carried = state.carried.entry((from, to)).or_default();
        carried.datagrams += 1;
        carried.bytes += bytes as u64;
        carried.lost += u64::from(all.is_empty());
        all
    }

    fn drawn(draws: &mut ChaCha8Rng, f: Fault) -> Vec<Duration> {
        if f.cut {
            return Vec::new();
        }
        let n = 1 + usize::from(draws.random::<f64>() < f.twice);
        let mut all = Vec::new();
        for _ in 0..n {
            if draws.random::<f64>() >= f.loss {
                let late = if draws.random::<f64>() < f.late { f.late_by } else { Duration::ZERO };
                all.push(f.delay + f.jitter.mul_f64(draws.random()) + late);
            }
        }
        all
    }

    /// A relay from one process to another: where the first sends to, to reach the second.
    pub async fn link(&self, from: usize, to: usize, at: SocketAddr) -> SocketAddr {
        // A port that is free for streams may be somebody's for datagrams.
        let (streams, here, datagrams) = loop {
            let (streams, here) = bind().await;
            if let Ok(datagrams) = UdpSocket::bind(here).await {
                break (streams, here, Arc::new(datagrams));
            }
        };
        tokio::spawn(self.clone().datagrams(from, to, datagrams, at));
        tokio::spawn(self.clone().streams(from, to, streams, at));
        here
    }

    async fn datagrams(self, from: usize, to: usize, here: Arc<UdpSocket>, at: SocketAddr) {
        let mut sources: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = [0; 2_048];
        loop {
            let Ok((n, source)) = here.recv_from(&mut buffer).await else {
                sleep(LOOK).await;
                continue;
            };
            if sources.len() >= SOURCES_MAX && !sources.contains_key(&source) {
                sources.clear();
            }
            let beyond = match sources.get(&source) {
                Some(beyond) => beyond.clone(),
                None => {
                    let Ok(beyond) = UdpSocket::bind((here.local_addr().expect("an address").ip(), 0)).await
                    else {
                        continue;
                    };
                    let beyond = Arc::new(beyond);
                    sources.insert(source, beyond.clone());
                    // Replies come back to this socket, and go by the other direction's faults.
                    let (net, here, back) = (self.clone(), here.clone(), beyond.clone());
                    tokio::spawn(async move {
                        let mut buffer = [0; 2_048];
                        while let Ok((n, _)) = back.recv_from(&mut buffer).await {
                            net.carry(to, from, &here, source, &buffer[..n]);
                        }
                    });
                    beyond
                }
            };
            self.carry(from, to, &beyond, at, &buffer[..n]);
        }
    }

    fn carry(&self, from: usize, to: usize, by: &Arc<UdpSocket>, at: SocketAddr, bytes: &[u8]) {
        for wait in self.copies(from, to, bytes.len()) {
            if wait.is_zero() {
                let _ = by.try_send_to(bytes, at);
                continue;
            }
            let (by, bytes) = (by.clone(), bytes.to_vec());
            tokio::spawn(async move {
                sleep(wait).await;
                let _ = by.send_to(&bytes, at).await;
            });
        }
    }

    async fn streams(self, from: usize, to: usize, here: TcpListener, at: SocketAddr) {
        while let Ok((near, _)) = here.accept().await {
            let net = self.clone();
            tokio::spawn(async move {
                net.open(from, to).await;
                let Ok(far) = TcpStream::connect(at).await else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let ((a, b), (c, d)) = (near.into_split(), far.into_split());
                // Whichever way ends first ends both, as a process that is gone does.
                tokio::select! {
                    () = net.pump(from, to, a, d) => {}
                    () = net.pump(to, from, c, b) => {}
                }
            });
        }
    }

    /// Waits until something gets through.
    async fn open(&self, from: usize, to: usize) {
        while self.fault(from, to).cut {
            sleep(LOOK).await;
        }
    }

    async fn pump(&self, from: usize, to: usize, mut read: OwnedReadHalf, mut write: OwnedWriteHalf) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(n @ 1..) = read.read(&mut buffer).await {
            let wait = self.fault(from, to).delay;
            if !wait.is_zero() {
                sleep(wait).await;
            }
            self.open(from, to).await;
            self.state().carried.entry((from, to)).or_default().streamed += n as u64;
            if write.write_all(&buffer[..n]).await.is_err() {
                return;
            }
        }
    }
}
