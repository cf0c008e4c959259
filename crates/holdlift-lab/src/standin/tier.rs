//! A tier below: HTTP, with slots, a service time that grows under a crowd, and several ways to be sick.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep};

use super::Count;

/// How a tier is.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Mood {
    /// Well.
    #[default]
    Fine,
    /// Five times slower.
    Slow,
    /// Answers 500 at once, before any effect.
    Errors,
    /// Takes calls and never answers; the effect has happened.
    Hangs,
    /// Resets the connection after the effect.
    Resets,
    /// Well and failing in turn, half a second each.
    Flaps,
    /// Turns calls away, untouched.
    Sheds,
    /// One call in `ODD` takes twelve times as long.
    Tail,
    /// One call in `ODD` is answered 500 at once, before any effect.
    Spotty,
    /// One in five.
    Grey,
}

/// The part of its speed at which a cold tier starts.
const COLD: f64 = 0.21;

/// Of how many calls one is odd, where some are: by their number, so that runs are alike.
const ODD: u32 = 12;

/// Calls that wait for a slot; more are turned away, untouched.
const QUEUE_MAX: usize = 400;
/// Largest head and body.
const CALL_MAX: usize = 16 << 10;

/// A tier.
pub struct Tier {
    slots: Semaphore,
    total: usize,
    base: Duration,
    thrash: f64,
    mood: Mutex<Mood>,
    /// Since when it has been warming, and for how long it does.
    cold: Mutex<Option<(Instant, Duration)>>,
    /// Calls that came when it had as many as it bears, cold as it was; and the most that was beyond.
    pub beyond: AtomicU32,
    /// Most calls over what it bears since somebody set this to 0, in thousandths.
    pub strain: AtomicU32,
    since: Instant,
    /// What it counts, by its own clock.
    pub counts: Count,
    count: AtomicU32,
    /// Most calls under way at a time.
    pub most: AtomicU32,
    /// Calls that came while it was not well.
    pub while_sick: AtomicU32,
    /// Requests that a call has come for.
    seen: Mutex<BTreeSet<String>>,
    /// Effects, by the request that the call was made for.
    pub effects: Mutex<BTreeMap<String, u32>>,
    /// It listens.
    up: watch::Sender<bool>,
}

impl Tier {
    /// With so many slots, a service time, and how much slower a crowd of twice the slots makes it.
    pub fn new(slots: usize, base: Duration, thrash: f64) -> Arc<Tier> {
        Arc::new(Tier {
            slots: Semaphore::new(slots),
            total: slots,
            base,
            thrash,
            mood: Mutex::default(),
            cold: Mutex::default(),
            beyond: AtomicU32::new(0),
            strain: AtomicU32::new(0),
            since: Instant::now(),
            counts: Count::default(),
            count: AtomicU32::new(0),
            most: AtomicU32::new(0),
            while_sick: AtomicU32::new(0),
            seen: Mutex::default(),
            effects: Mutex::default(),
            up: watch::Sender::new(true),
        })
    }

    /// It dies, so that its connections end and new ones are refused, or is there again.
    pub fn stand(&self, up: bool) {
        self.up.send_replace(up);
    }

    /// Changes how it is.
    pub fn be(&self, mood: Mood) {
        *self.mood.lock().expect("a mood") = mood;
    }

    /// It comes back cold, and is warm after so long.
    pub fn warm_in(&self, span: Duration) {
        *self.cold.lock().expect("a start") = Some((Instant::now(), span));
    }

    /// The part of its full speed that it has now.
    pub fn speed(&self) -> f64 {
        let cold = *self.cold.lock().expect("a start");
        cold.map_or(1.0, |(at, span)| {
            (COLD + (1.0 - COLD) * at.elapsed().as_secs_f64() / span.as_secs_f64()).min(1.0)
        })
    }

    /// Most effects for one request.
    pub fn most_effects(&self) -> u32 {
        self.effects.lock().expect("effects").values().copied().max().unwrap_or(0)
    }

    /// Serves until dropped.
    pub async fn serve(self: Arc<Tier>, listener: TcpListener) {
        let (at, mut up) = (listener.local_addr().expect("an address"), self.up.subscribe());
        let mut listener = Some(listener);
        loop {
            let mut tasks = tokio::task::JoinSet::new();
            let here = match listener.take() {
                Some(here) => here,
                None => TcpListener::bind(at).await.expect("its own address"),
            };
            while *up.borrow_and_update() {
                tokio::select! {
                    accepted = here.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        while tasks.try_join_next().is_some() {}
                        tasks.spawn(self.clone().talk(stream));
                    }
                    _ = up.changed() => {}
                }
            }
            drop((here, tasks));
            if up.wait_for(|up| *up).await.is_err() {
                return;
            }
        }
    }

    async fn talk(self: Arc<Tier>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            let Some((name, used)) = call(&mut stream, &mut buffer).await else { return };
            buffer.drain(..used);
            let again = !self.seen.lock().expect("names").insert(name.clone());
            let now = self.counts.begin(again);
            self.most.fetch_max(now, Ordering::SeqCst);
            let sick = *self.mood.lock().expect("a mood") != Mood::Fine;
            self.while_sick.fetch_add(u32::from(sick), Ordering::SeqCst);
            // It bears the few calls of probes however cold it is.
            let bears = (self.total as f64 * self.speed()).max(2.0);
            self.strain.fetch_max((f64::from(now) / bears * 1e3) as u32, Ordering::SeqCst);
            self.beyond.fetch_add(u32::from(f64::from(now) > bears), Ordering::SeqCst);
            let reply = self.answer(&name, now as usize).await;
            self.counts.end();
            let Some(reply) = reply else {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            };
            if stream.write_all(reply.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, name: &str, crowd: usize) -> Option<&'static str> {
        const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
        const BAD: &str = "HTTP/1.1 500 Sick\r\nContent-Length: 0\r\n\r\n";
        const FULL: &str = "HTTP/1.1 503 Full\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n";
        let mood = *self.mood.lock().expect("a mood");
        let flapped = self.since.elapsed().as_millis() / 500 % 2 == 1;
        if mood == Mood::Sheds || crowd > self.total + QUEUE_MAX {
            return Some(FULL);
        }
        let odd = self.count.fetch_add(1, Ordering::SeqCst).is_multiple_of(ODD);
        let fifth = self.count.load(Ordering::SeqCst).is_multiple_of(5);
        if mood == Mood::Errors
            || (mood == Mood::Grey && fifth)
            || (mood == Mood::Spotty && odd)
            || (mood == Mood::Flaps && flapped)
        {
            return Some(BAD);
        }
        let _slot = self.slots.acquire().await.ok()?;
        *self.effects.lock().expect("effects").entry(name.to_owned()).or_default() += 1;
        match mood {
            Mood::Hangs => {
                sleep(Duration::from_secs(30)).await;
                return None;
            }
            Mood::Resets => return None,
            _ => {}
        }
        let (speed, crowd) = (self.speed(), crowd as f64);
        let total = self.total as f64 * speed;
        let over = (crowd - total).max(0.0) / total;
        let slow = match mood {
            Mood::Slow => 5.0,
            Mood::Tail if odd => 12.0,
            _ => 1.0,
        };
        sleep(self.base.mul_f64(slow / speed * (1.0 + self.thrash * over.min(4.0)))).await;
        Some(GOOD)
    }
}

/// Reads one call: the request that it is made for, and the bytes that it took.
async fn call(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, usize)> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 16];
        let mut request = httparse::Request::new(&mut headers);
        if let Ok(httparse::Status::Complete(head)) = request.parse(buffer) {
            let find = |name: &str| {
                let h = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
                std::str::from_utf8(h.value).ok()
            };
            let length: usize = find("content-length")?.parse().ok()?;
            if buffer.len() >= head + length {
                return Some((find("x-txn-ref").unwrap_or("").to_owned(), head + length));
            }
        }
        if buffer.len() > CALL_MAX || stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
