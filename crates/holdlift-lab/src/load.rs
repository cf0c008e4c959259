//! Those who send: clients in an open loop, and senders that misbehave in one of several ways.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::link::Impairment;
use crate::standin::{connect_slow, packet};

/// How a sender behaves.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Manner {
    /// Asks in an open loop: `per_s` requests a second, at times drawn ahead, whatever comes of those before.
    Asks,
    /// Each of `count` connections sends a byte a second of a request, for ever.
    Trickles,
    /// Each sends a header whole and then nothing more.
    Stalls,
    /// Each connects and says nothing.
    Silent,
    /// Each asks and takes `reads` bytes a second of the answer.
    Deaf,
    /// Each asks and is gone without waiting.
    Vanishes,
}

/// A group of senders.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Its manner.
    pub manner: Manner,
    /// Requests a second of those who ask.
    #[serde(default)]
    pub per_s: f64,
    /// Connections of the others.
    #[serde(default)]
    pub count: usize,
    /// Bytes of a request's body.
    pub size: usize,
    /// Work that a request asks for, ms.
    #[serde(default)]
    pub work_ms: u64,
    /// Bytes a second that a deaf one takes.
    #[serde(default)]
    pub reads: u64,
    /// The class asked for.
    #[serde(default = "quote")]
    pub class: String,
    /// The link.
    #[serde(default)]
    pub link: Impairment,
    /// No new request in the last part of the run, s: as long as one takes over the link.
    #[serde(default)]
    pub tail_s: f64,
}

fn quote() -> String {
    "quote".to_owned()
}

/// Longest that an answer is waited for.
const PATIENCE: Duration = Duration::from_secs(70);
/// A sender that misbehaves and was closed comes again after this long.
const AGAIN: Duration = Duration::from_millis(500);
/// Requests under way in a group: more would mean that nothing is answered.
const UNDER_WAY_MAX: usize = 20_000;

/// What came of a group.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests intended.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Turned away with an answer.
    pub refused: u64,
    /// Everything else: closed, reset, no answer.
    pub lost: u64,
    /// Latency of those served, ms, from the intended send time.
    pub latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, 120_000, 3).expect("bounds that fit");
        Tally { asked: 0, served: 0, refused: 0, lost: 0, latency }
    }
}

impl Tally {
    /// The share served.
    pub fn share(&self) -> f64 {
        if self.asked == 0 { 0.0 } else { self.served as f64 / self.asked as f64 }
    }
}

fn request(group: &Group, token: &str) -> Vec<u8> {
    let mut body = format!("{} {token} ", group.work_ms).into_bytes();
    body.resize(group.size.max(body.len()), b'.');
    packet(&[("CLASS", &group.class)], &body)
}

/// Plays a group against an address for a span.
pub async fn play(group: Group, to: SocketAddr, span: Duration, seed: u64) -> Tally {
    let tally = Arc::new(Mutex::new(Tally::default()));
    let until = Instant::now() + span;
    let mut tasks = tokio::task::JoinSet::new();
    if group.manner == Manner::Asks {
        let mut draws = ChaCha12Rng::seed_from_u64(seed);
        let (mut at, mut n) = (Instant::now(), 0u64);
        loop {
            // Exponential gaps: arrivals that do not know of each other.
            at += Duration::from_secs_f64(-(1.0 - draws.random::<f64>()).ln() / group.per_s.max(0.001));
            if at + Duration::from_secs_f64(group.tail_s) >= until {
                break;
            }
            sleep_until(at).await;
            while tasks.try_join_next().is_some() {}
            if tasks.len() >= UNDER_WAY_MAX {
                break;
            }
            n += 1;
            let (bytes, tally) = (request(&group, &format!("{}-{seed}-{n}", group.name)), tally.clone());
            tasks.spawn(async move {
                let status = timeout(PATIENCE, ask(to, &bytes)).await.unwrap_or_default();
                let mut t = tally.lock().expect("a tally");
                t.asked += 1;
                match status.as_str() {
                    "200" => {
                        t.served += 1;
                        let ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
                        t.latency.saturating_record(ms.max(1));
                    }
                    "" => t.lost += 1,
                    _ => t.refused += 1,
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    } else {
        for n in 0..group.count {
            let (group, tally) = (group.clone(), tally.clone());
            tasks.spawn(async move {
                // Spread over a second, as a crowd that comes in one instant tests the door only.
                sleep(Duration::from_millis(n as u64 * 1_000 / group.count.max(1) as u64)).await;
                while Instant::now() < until {
                    tally.lock().expect("a tally").asked += 1;
                    let _ = timeout(until - Instant::now(), misbehave(&group, to, n)).await;
                    sleep(AGAIN.min(until - Instant::now())).await;
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    }
    Arc::try_unwrap(tally).map(|t| t.into_inner().expect("a tally")).unwrap_or_default()
}

/// One request; the status of its answer, or nothing.
async fn ask(to: SocketAddr, bytes: &[u8]) -> String {
    let Ok(mut s) = TcpStream::connect(to).await else { return String::new() };
    let _ = s.set_nodelay(true);
    // A node may answer before it has read all; what it says is read in any case.
    let _ = s.write_all(bytes).await;
    let mut got = Vec::new();
    if s.read_to_end(&mut got).await.is_err() && got.is_empty() {
        return String::new();
    }
    let text = String::from_utf8_lossy(&got);
    text.split_whitespace().nth(1).unwrap_or_default().to_owned()
}

async fn misbehave(group: &Group, to: SocketAddr, n: usize) -> std::io::Result<()> {
    let bytes = request(group, &format!("{}-{n}", group.name));
    let head = bytes.len() - group.size;
    let deaf = group.manner == Manner::Deaf;
    let mut s = if deaf { connect_slow(to, 4 << 10).await? } else { TcpStream::connect(to).await? };
    s.set_nodelay(true)?;
    let mut sink = [0; 1_024];
    match group.manner {
        Manner::Trickles => {
            let (mut read, mut write) = s.into_split();
            for byte in bytes {
                write.write_all(&[byte]).await?;
                tokio::select! {
                    // Closed, or told off.
                    _ = read.read(&mut sink) => return Ok(()),
                    () = sleep(Duration::from_secs(1)) => {}
                }
            }
        }
        Manner::Stalls | Manner::Silent => {
            if group.manner == Manner::Stalls {
                s.write_all(&bytes[..head]).await?;
            }
            // Until it is closed, or told off.
            let _told = s.read(&mut sink).await?;
        }
        Manner::Deaf => {
            s.write_all(&bytes).await?;
            let piece = usize::try_from(group.reads).unwrap_or(1).clamp(1, sink.len());
            while s.read(&mut sink[..piece]).await? > 0 {
                sleep(Duration::from_secs(1)).await;
            }
        }
        Manner::Vanishes => {
            s.write_all(&bytes).await?;
            socket2::SockRef::from(&s).set_linger(Some(Duration::ZERO))?;
        }
        Manner::Asks => {}
    }
    Ok(())
}
