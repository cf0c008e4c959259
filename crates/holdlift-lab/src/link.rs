//! A link that is slow, stalls, loses and breaks: a proxy on loopback between a device and a node.
//!
//! TCP hides loss from those who speak it: a lost segment shows as a pause of a retransmission time, the same one lost
//! again as a longer pause, and in the end as a reset. That is how loss is injected here. Everything is drawn from a
//! seed, one stream of draws for each connection and direction, so that a run can be repeated.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

use crate::standin::{bind, connect_slow};

/// What a link does to what passes.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Impairment {
    /// Bytes a second; 0 sets no bound.
    pub rate: u64,
    /// One-way delay, ms.
    pub delay_ms: u64,
    /// Up to this much more, drawn for each piece, ms.
    pub jitter_ms: u64,
    /// Share of segments lost, 0 to under 1. Each costs a retransmission time, doubled where it is lost again.
    pub loss: f64,
    /// After so many bytes from the device nothing passes for `stall_ms`, once.
    pub stall_after: Option<u64>,
    /// Ms.
    pub stall_ms: u64,
    /// After so many bytes from the device the link is cut without a word: nothing passes any more, and neither side
    /// is told before `held_ms` have gone by.
    pub vanish_after: Option<u64>,
    /// The same, counted in bytes to the device.
    pub vanish_down: Option<u64>,
    /// Ms.
    pub held_ms: u64,
    /// After so many bytes from the device the connection is reset.
    pub reset_after: Option<u64>,
}

/// First retransmission time: RFC 6298 asks for a second, systems use less.
const RTO: Duration = Duration::from_millis(200);
/// Retransmissions after which a connection is given up.
const TRIES: u32 = 6;
/// Bytes that travel together: a segment.
const SEGMENT: usize = 1_460;
/// Segments under way at a time, each direction. Small, as what lies here looks sent to the node.
const FLIGHT: usize = 8;
/// Connections that a link carries at a time.
const CONNS_MAX: usize = 8_192;

/// A link: devices connect to `address`. It ends when dropped.
pub struct Link {
    /// Where devices connect.
    pub address: SocketAddr,
    /// Connections made so far.
    pub made: Arc<AtomicU64>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// A link to an address.
    pub async fn to(target: SocketAddr, impairment: Impairment, seed: u64) -> Link {
        let (listener, address) = bind().await;
        let made = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(serve(listener, target, impairment, seed, made.clone()));
        Link { address, made, task }
    }
}

async fn serve(listener: TcpListener, target: SocketAddr, i: Impairment, seed: u64, made: Arc<AtomicU64>) {
    // Dropped with the link, and all its connections with it.
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        if tasks.len() >= CONNS_MAX {
            tasks.join_next().await;
            continue;
        }
        let Ok((device, _)) = listener.accept().await else { return };
        let n = made.fetch_add(1, Ordering::Relaxed);
        tasks.spawn(async move {
            // The link's own buffers must not swallow what the node thinks it has sent.
            let Ok(node) = connect_slow(target, 8 << 10).await else { return };
            carry(device, node, i, seed.wrapping_add(n << 1)).await;
        });
    }
}

/// How one way of a connection ended.
#[derive(Clone, Copy, PartialEq)]
enum Passed {
    Ended,
    Vanished,
    Reset,
}

async fn carry(mut device: TcpStream, mut node: TcpStream, i: Impairment, seed: u64) {
    let _ = (device.set_nodelay(true), node.set_nodelay(true));
    let end = {
        let (mut from_device, mut to_device) = device.split();
        let (mut from_node, mut to_node) = node.split();
        let way = |way, vanish, reset, stall| Way {
            draws: ChaCha12Rng::seed_from_u64(seed ^ way),
            i,
            vanish,
            reset,
            stall,
            taken: 0,
            passed: 0,
            free: Instant::now(),
            last: Instant::now(),
        };
        let mut up = way(0, i.vanish_after, i.reset_after, i.stall_after);
        let mut down = way(1, i.vanish_down, None, None);
        let up = std::pin::pin!(up.pass(&mut from_device, &mut to_node));
        let down = std::pin::pin!(down.pass(&mut from_node, &mut to_device));
        match futures_util::future::select(up, down).await {
            // A device that is done speaking may still read, and the other way round.
            futures_util::future::Either::Left((Passed::Ended, down)) => down.await,
            futures_util::future::Either::Right((Passed::Ended, _)) => Passed::Ended,
            futures_util::future::Either::Left((end, _)) | futures_util::future::Either::Right((end, _)) => {
                end
            }
        }
    };
    match end {
        Passed::Ended => {}
        // Both sockets stay open, and nobody reads them.
        Passed::Vanished => sleep(Duration::from_millis(i.held_ms)).await,
        Passed::Reset => {
            for s in [&device, &node] {
                let _ = socket2::SockRef::from(s).set_linger(Some(Duration::ZERO));
            }
        }
    }
}

struct Way {
    draws: ChaCha12Rng,
    i: Impairment,
    vanish: Option<u64>,
    reset: Option<u64>,
    stall: Option<u64>,
    /// Bytes taken in, and bytes that have arrived.
    taken: u64,
    passed: u64,
    /// When the link is free for the next piece, and when the last piece arrives: the order is kept.
    free: Instant,
    last: Instant,
}

impl Way {
    async fn pass(&mut self, from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>) -> Passed {
        let mut flight: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
        let mut piece = vec![0; SEGMENT.min(self.piece())];
        let mut open = true;
        loop {
            let next = flight.front().map(|f| f.0);
            if next.is_none() && !open {
                let _ = to.shutdown().await;
                return Passed::Ended;
            }
            tokio::select! {
                biased;
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    let Some((_, bytes)) = flight.pop_front() else { continue };
                    self.passed += bytes.len() as u64;
                    let over = |at: Option<u64>| at.is_some_and(|at| self.passed >= at);
                    if over(self.vanish) {
                        return Passed::Vanished;
                    }
                    if over(self.reset) || to.write_all(&bytes).await.is_err() {
                        return Passed::Reset;
                    }
                }
                read = from.read(&mut piece), if open && flight.len() < FLIGHT => match read {
                    Ok(0) => open = false,
                    Err(_) => return Passed::Reset,
                    Ok(n) => {
                        self.taken += n as u64;
                        let Some(at) = self.arrival(n) else { return Passed::Reset };
                        flight.push_back((at, piece[..n].to_vec()));
                    }
                },
            }
        }
    }

    /// Small pieces on a slow link, or its rate would show as bursts.
    fn piece(&self) -> usize {
        if self.i.rate == 0 { SEGMENT } else { usize::try_from(self.i.rate / 10).unwrap_or(SEGMENT).max(1) }
    }

    /// When a piece arrives; nothing where it was lost too often.
    fn arrival(&mut self, n: usize) -> Option<Instant> {
        let now = Instant::now();
        self.free = self.free.max(now);
        if self.i.rate > 0 {
            self.free += Duration::from_secs_f64(n as f64 / self.i.rate as f64);
        }
        if self.stall.is_some_and(|at| self.taken >= at) {
            self.stall = None;
            self.free += Duration::from_millis(self.i.stall_ms);
        }
        let mut at = self.free + Duration::from_millis(self.i.delay_ms);
        if self.i.jitter_ms > 0 {
            at += Duration::from_millis(self.draws.random_range(0..=self.i.jitter_ms));
        }
        let mut wait = RTO;
        for n in 0.. {
            if self.i.loss <= 0.0 || self.draws.random::<f64>() >= self.i.loss {
                break;
            }
            if n == TRIES {
                return None;
            }
            at += wait;
            wait *= 2;
        }
        self.last = self.last.max(at);
        Some(self.last)
    }
}
