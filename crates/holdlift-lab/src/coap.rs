//! Devices that speak CoAP over links that lose, double and delay datagrams, beside gateways that speak uwsgi over TCP
//! on links of the same loss; and what the front costs, without a socket.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use holdlift::Micros;
use holdlift::front::CurrentSettings;
use holdlift::front::coap::message::{empty, option};
use holdlift::front::coap::{Coap, Output};
use holdlift::node::{Answer, Input};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use serde::Deserialize;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::experiment::{ExperimentError, interval};
use crate::link::{Impairment, Link};
use crate::node::{Setup, settings};
use crate::standin::{Farm, bind, exchange, free, packet};

/// RFC 7252 section 4.8.
const ACK_TIMEOUT: Duration = Duration::from_millis(2_000);
const MAX_RETRANSMIT: u32 = 4;

/// What a link does to datagrams, each way. One that it garbles is one that it loses: the checksum of UDP shows all but one in
/// 65,536, and no message layer can tell a message whose id has been garbled from another message.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Datagrams {
    /// Share lost, 0 to under 1.
    pub loss: f64,
    /// Share that comes twice.
    pub twice: f64,
    /// One-way delay, ms, and up to so much more, by which datagrams overtake one another.
    pub delay_ms: u64,
    pub jitter_ms: u64,
}

/// A device's socket, behind its link.
struct Device {
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    link: Datagrams,
    draws: ChaCha12Rng,
}

impl Device {
    async fn new(to: SocketAddr, link: Datagrams, seed: u64) -> Device {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a socket"));
        Device { socket, to, link, draws: ChaCha12Rng::seed_from_u64(seed) }
    }

    /// How often a datagram comes.
    fn passes(&mut self) -> u32 {
        let (lost, twice): (f64, f64) = (self.draws.random(), self.draws.random());
        if lost < self.link.loss { 0 } else { 1 + u32::from(twice < self.link.twice) }
    }

    fn way(&mut self) -> Duration {
        Duration::from_millis(self.link.delay_ms + self.draws.random_range(0..=self.link.jitter_ms))
    }

    fn send(&mut self, bytes: &[u8]) {
        for _ in 0..self.passes() {
            let (socket, to, wait, bytes) = (self.socket.clone(), self.to, self.way(), bytes.to_vec());
            tokio::spawn(async move {
                sleep(wait).await;
                let _ = socket.send_to(&bytes, to).await;
            });
        }
    }

    /// What comes by then; the way back takes as long as the way there, and loses as much.
    async fn receive(&mut self, by: Instant) -> Option<Vec<u8>> {
        let mut buffer = [0; 2_048];
        loop {
            let n = tokio::time::timeout_at(by, self.socket.recv(&mut buffer)).await.ok()?.ok()?;
            if self.passes() > 0 {
                sleep(self.way()).await;
                return Some(buffer[..n].to_vec());
            }
        }
    }

    /// Asks until it is answered or its patience is over: code and payload.
    async fn ask(&mut self, path: &str, body: &[u8], patience: Duration) -> Option<(u8, Vec<u8>)> {
        let over = Instant::now() + patience;
        let mut echo: Option<Vec<u8>> = None;
        let (mut id, token) = (self.draws.random::<u16>(), self.draws.random::<u32>().to_be_bytes());
        'request: loop {
            let bytes = request(id, &token, path, body, echo.as_deref());
            let mut wait = ACK_TIMEOUT.mul_f64(self.draws.random_range(1.0..1.5));
            let (mut tries, mut acked) = (0, false);
            self.send(&bytes);
            let mut again = Instant::now() + wait;
            loop {
                let by = if acked { over } else { again.min(over) };
                let Some(got) = self.receive(by).await else {
                    if Instant::now() >= over || tries >= MAX_RETRANSMIT {
                        return None;
                    }
                    tries += 1;
                    wait *= 2;
                    again = Instant::now() + wait;
                    self.send(&bytes);
                    continue;
                };
                let Ok(p) = coap_lite::Packet::from_bytes(&got) else { continue };
                let code = u8::from(p.header.code);
                match p.header.get_type() {
                    coap_lite::MessageType::Acknowledgement if p.header.message_id != id => continue,
                    coap_lite::MessageType::Acknowledgement if code == 0 => {
                        acked = true;
                        continue;
                    }
                    coap_lite::MessageType::Confirmable => {
                        self.send(&empty(coap_lite::MessageType::Acknowledgement, p.header.message_id));
                    }
                    coap_lite::MessageType::Reset => return None,
                    _ => {}
                }
                if p.get_token() != token || code < 0x40 {
                    continue;
                }
                // 4.01 with an Echo: once more, as a new message.
                if let (0x81, Some(given)) = (code, p.get_first_option(option::ECHO.into())) {
                    echo = Some(given.clone());
                    id = id.wrapping_add(1);
                    continue 'request;
                }
                return Some((code, p.payload));
            }
        }
    }
}

fn request(id: u16, token: &[u8], path: &str, body: &[u8], echo: Option<&[u8]>) -> Vec<u8> {
    let mut p = coap_lite::Packet::new();
    p.header.set_version(1);
    p.header.set_type(coap_lite::MessageType::Confirmable);
    p.header.code = coap_lite::MessageClass::Request(coap_lite::RequestType::Post);
    p.header.message_id = id;
    p.set_token(token.to_vec());
    p.add_option(option::URI_PATH.into(), path.as_bytes().to_vec());
    if let Some(echo) = echo {
        p.add_option(option::ECHO.into(), echo.to_vec());
    }
    p.payload = body.to_vec();
    p.to_bytes_unlimited().expect("a message")
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// `coap`.
    pub kind: String,
    /// What it is to show.
    pub about: String,
    /// Seeds; each run is repeated with each.
    pub seeds: Vec<u64>,
    /// Requests a second of each front.
    pub per_s: f64,
    /// Length of a run, s.
    pub run_s: f64,
    /// Ms.
    pub work_ms: u64,
    /// Cores of the farm.
    pub cores: usize,
    /// An answer counts within this, ms; and devices wait for so long.
    pub aim_ms: u64,
    /// Ms.
    pub patience_ms: u64,
    /// The links, by name.
    pub links: Vec<Named>,
}

/// A link.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Named {
    pub name: String,
    pub link: Datagrams,
    /// Least share that CoAP devices must be served on it.
    pub least: f64,
}

/// What came of a link: shares served within the aim and at all, by front, a figure a seed; and writes that ran twice.
#[derive(Clone, Debug, Default)]
pub struct Result {
    pub name: String,
    pub coap: Vec<f64>,
    pub coap_ever: Vec<f64>,
    pub uwsgi: Vec<f64>,
    pub doubled: u32,
}

impl Experiment {
    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn load(path: &Path) -> std::result::Result<Experiment, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(|e| ExperimentError::Read(path.to_owned(), e))?;
        toml::from_str(&text).map_err(|e| ExperimentError::Bad(path.to_owned(), e.to_string()))
    }

    /// All links side by side, seed after seed.
    pub async fn play(&self, quick: bool) -> Vec<Result> {
        let seeds = if quick { &self.seeds[..1] } else { &self.seeds[..] };
        futures_util::future::join_all(self.links.iter().map(|l| self.link(l, seeds))).await
    }

    async fn link(&self, named: &Named, seeds: &[u64]) -> Result {
        let mut all = Result { name: named.name.clone(), ..Result::default() };
        for seed in seeds {
            let (listener, server) = bind().await;
            let farm = Farm::new(self.cores);
            let serving = tokio::spawn(farm.clone().uwsgi(listener));
            let at = free().await;
            let edge = format!(
                "[coap]\nlisten = \"{at}\"\nquiet_ms = 0\n[coap.classes]\n\"/buy\" = \"book-job\"\n[[listeners]]\nname = \"field\"\n\
                 front = \"uwsgi\"\nlisten = \"{{edge}}\"\nprofile = \"patient\"\nconnections = 400\n"
            );
            let setup = Setup {
                settings: settings(self.cores as u32, self.aim_ms, self.patience_ms),
                servers: vec![server],
                slots: self.cores,
                edge: Some(edge),
                operator: vec![("[limits]\n".to_owned(), "[limits]\nroom_kb = 84.0\n".to_owned())],
                sockets: 2_000,
                ..Setup::default()
            };
            let node = setup.start().await;
            let tcp = Impairment {
                loss: named.link.loss,
                delay_ms: named.link.delay_ms,
                jitter_ms: named.link.jitter_ms,
                ..Impairment::default()
            };
            let link = Link::to(node.edge, tcp, *seed).await;
            // Served within the aim, served at all, asked: CoAP, then uwsgi.
            let tally = Arc::new(Mutex::new([[0u32; 3]; 2]));
            let mut draws = ChaCha12Rng::seed_from_u64(*seed);
            let mut asking = tokio::task::JoinSet::new();
            let (start, mut when, mut n) = (Instant::now(), Duration::ZERO, 0u64);
            let (aim, patience) =
                (Duration::from_millis(self.aim_ms), Duration::from_millis(self.patience_ms));
            while when.as_secs_f64() < self.run_s {
                sleep_until(start + when).await;
                while asking.try_join_next().is_some() {}
                n += 1;
                let write = draws.random::<bool>();
                for front in 0..2 {
                    let (tally, datagrams, seed) =
                        (tally.clone(), named.link, seed.wrapping_mul(1 << 32) + n);
                    let body = format!("{} f{front}-{n}", self.work_ms);
                    let (path, class) = if write { ("buy", "/buy") } else { ("quote", "quote") };
                    let (to, link) = (at, link.address);
                    asking.spawn(async move {
                        let asked = Instant::now();
                        let good = if front == 0 {
                            let mut d = Device::new(to, datagrams, seed).await;
                            d.ask(path, body.as_bytes(), patience)
                                .await
                                .is_some_and(|(code, _)| code >> 5 == 2)
                        } else {
                            let p = packet(&[("CLASS", class)], body.as_bytes());
                            let reply = timeout(patience, exchange(link, &p)).await;
                            reply.is_ok_and(|(line, _)| line.contains(" 200 "))
                        };
                        let mut t = tally.lock().expect("a tally");
                        t[front][0] += u32::from(good && asked.elapsed() <= aim);
                        t[front][1] += u32::from(good);
                        t[front][2] += 1;
                    });
                }
                when += Duration::from_secs_f64(-(1.0 - draws.random::<f64>()).ln() / self.per_s);
            }
            while asking.join_next().await.is_some() {}
            let _ = node.leave().await;
            serving.abort();
            let t = *tally.lock().expect("a tally");
            let share = |front: usize, what: usize| f64::from(t[front][what]) / f64::from(t[front][2].max(1));
            all.coap.push(share(0, 0));
            all.coap_ever.push(share(0, 1));
            all.uwsgi.push(share(1, 0));
            let runs = farm.runs.lock().expect("runs");
            all.doubled +=
                runs.iter().filter(|(token, n)| token.starts_with("f0-") && **n > 1).count() as u32;
        }
        all
    }

    /// A Markdown page, and the claims.
    pub fn report(&self, name: &str, results: &[Result]) -> (String, Vec<(String, f64, bool)>) {
        let mut t = format!("# {name}\n\n{}\n\n", self.about);
        t += "| link | CoAP within the aim | CoAP at all | uwsgi within the aim | requests run twice |\n|---|---|---|---|---|\n";
        let cell = |all: &[f64]| {
            let (mean, half) = interval(all);
            if all.len() > 1 { format!("{mean:.3} ± {half:.3}") } else { format!("{mean:.3}") }
        };
        let mut claims = Vec::new();
        for (r, l) in results.iter().zip(&self.links) {
            t += &format!(
                "| {} | {} | {} | {} | {} |\n",
                r.name,
                cell(&r.coap),
                cell(&r.coap_ever),
                cell(&r.uwsgi),
                r.doubled
            );
            let mean = interval(&r.coap).0;
            claims.push((
                format!("{}: CoAP devices are served {} at least", r.name, l.least),
                mean,
                mean >= l.least,
            ));
        }
        let doubled: u32 = results.iter().map(|r| r.doubled).sum();
        claims.push(("requests of CoAP devices that ran twice".to_owned(), f64::from(doubled), doubled == 0));
        t += "\n| claim | figure | |\n|---|---|---|\n";
        for (says, figure, kept) in &claims {
            t += &format!("| {says} | {figure:.4} | {} |\n", if *kept { "kept" } else { "broken" });
        }
        (t, claims)
    }
}

/// What the front costs without a socket: KiB of memory for so many peers with an answered request each, and datagrams that one
/// core takes in and answers in a second.
pub fn cost(peers: u32) -> (f64, f64) {
    let told = settings(2, 3_000, 6_000);
    let in_force = CurrentSettings::new(holdlift::settings::from_json(&told).expect("settings"));
    let config =
        toml::from_str("listen = \"127.0.0.1:1\"\nquiet_ms = 0\nexchanges = 1048576\n").expect("a file");
    let uwsgi = "listen = \"127.0.0.1:1\"\ninventory = \"x\"\n[vars]\nclass = \"PATH_INFO\"\n";
    let uwsgi = toml::from_str(uwsgi).expect("a file");
    let mut now = Micros::from_millis(1_000_000_000);
    let mut front = Coap::new(in_force, Rc::new(config), Rc::new(uwsgi), 1, now);
    let reply = Answer::Completed(Bytes::from_static(b"HTTP/1.1 200 OK\r\n\r\ndone"));
    let before = crate::probe::now(std::process::id()).0;
    let (start, mut out) = (std::time::Instant::now(), Vec::new());
    for n in 0..peers {
        let from = SocketAddr::from(([127, 1, (n >> 8) as u8, n as u8], (1 + (n >> 16)) as u16));
        now = now + Micros(10);
        front.receive(
            now,
            from,
            &request(7, &[1, 2, 3, 4], "quote", b"5 some-token-or-other", None),
            &mut out,
        );
        for o in std::mem::take(&mut out) {
            if let Output::ToCore(Input::RequestReceived(o, _)) = o {
                front.answer(now, o.connection, &reply, &mut out);
            }
        }
        out.clear();
    }
    let secs = start.elapsed().as_secs_f64();
    let grown = crate::probe::now(std::process::id()).0 - before;
    // One datagram in and one out for each.
    (grown, 2.0 * f64::from(peers) / secs)
}

/// The fronts of a mixed crowd.
pub const FRONTS: [&str; 3] = ["MessagePack", "uwsgi", "CoAP"];

/// A crowd of all three fronts, a third of the requests each, at `load` of what the cores can do: the share of the work asked
/// for that each front was served within the aim, and runs that a name had most of.
pub async fn mixed(load: f64, seed: u64, span: Duration) -> ([f64; 3], u32) {
    const CORES: usize = 4;
    const WORK_MS: [u64; 3] = [10, 20, 30];
    const AIM: Duration = Duration::from_millis(1_500);
    let (farm, (listener, server), (agents, agent)) = (Farm::new(CORES), bind().await, bind().await);
    let serving = [tokio::spawn(farm.clone().uwsgi(listener)), tokio::spawn(farm.clone().agent(agents))];
    let at = free().await;
    let edge = format!(
        "[coap]\nlisten = \"{at}\"\nquiet_ms = 0\n[[listeners]]\nname = \"field\"\nfront = \"uwsgi\"\nlisten = \"{{edge}}\"\n\
         profile = \"patient\"\nconnections = 800\n"
    );
    let setup = Setup {
        settings: settings(CORES as u32, AIM.as_millis() as u64, 2 * AIM.as_millis() as u64),
        agent: Some(agent),
        servers: vec![server],
        slots: CORES * 4,
        edge: Some(edge),
        operator: vec![("[limits]\n".to_owned(), "[limits]\nroom_kb = 84.0\n".to_owned())],
        sockets: 4_000,
        ..Setup::default()
    };
    let node = setup.start().await;
    crate::standin::Caller::connect(node.msgpack).await.healthy().await;
    let tally = Arc::new(Mutex::new([[0.0f64; 2]; 3]));
    let mut draws = ChaCha12Rng::seed_from_u64(seed);
    let per_s = load * CORES as f64 / 0.020;
    let mut asking = tokio::task::JoinSet::new();
    let (start, mut when, mut n) = (Instant::now(), Duration::ZERO, 0u64);
    while when < span {
        sleep_until(start + when).await;
        while asking.try_join_next().is_some() {}
        n += 1;
        let (front, work) = (draws.random_range(0..3usize), WORK_MS[draws.random_range(0..3usize)]);
        let write = draws.random::<bool>();
        let (tally, to, msgpack, uwsgi) = (tally.clone(), at, node.msgpack, node.edge);
        asking.spawn(async move {
            let (asked, class) = (Instant::now(), if write { "book-job" } else { "quote" });
            let body = format!("{work} m{n}");
            let good = match front {
                0 => {
                    let mut c = crate::standin::Caller::connect(msgpack).await;
                    // Ranks as the other fronts have them, to the last digit: the middle of a class's part. Work that is
                    // turned away is that of the lowest rank, however small the difference.
                    let rank = ((if write { 2.5 } else { 0.5f64 }) / 3.0).to_string();
                    let fields = crate::standin::fields(&format!("m{n}"), &[("class_rank", &rank)]);
                    c.ask(1, class, fields, &body).await;
                    timeout(2 * AIM, c.answer()).await.ok().flatten().is_some_and(|a| a.word == "ok")
                }
                1 => {
                    let p = packet(&[("CLASS", class)], body.as_bytes());
                    timeout(2 * AIM, exchange(uwsgi, &p)).await.is_ok_and(|(line, _)| line.contains(" 200 "))
                }
                _ => {
                    let mut d = Device::new(to, Datagrams::default(), n).await;
                    d.ask(class, body.as_bytes(), 2 * AIM).await.is_some_and(|(code, _)| code >> 5 == 2)
                }
            };
            let mut t = tally.lock().expect("a tally");
            t[front][0] += work as f64;
            t[front][1] += if good && asked.elapsed() <= AIM { work as f64 } else { 0.0 };
        });
        when += Duration::from_secs_f64(-(1.0 - draws.random::<f64>()).ln() / per_s);
    }
    while asking.join_next().await.is_some() {}
    let _ = node.leave().await;
    serving.iter().for_each(tokio::task::JoinHandle::abort);
    let t = *tally.lock().expect("a tally");
    (t.map(|[asked, served]| served / asked.max(1.0)), farm.most_runs())
}
