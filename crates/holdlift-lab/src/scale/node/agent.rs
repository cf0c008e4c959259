//! The render farm agent for a measurement: every run takes the same short time, and how long it took is kept for the
//! caller's side to subtract. Apart from [`crate::Farm`], which looks for news each ms and remembers all that was said,
//! this one costs a message what a message costs, and counts what passes.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::net::tcp::OwnedWriteHalf;

/// Cores that gauges are a share of: as many as the deployments say.
const CORES: usize = 16;

/// Bytes and messages one way.
#[derive(Debug, Default)]
pub struct Flow {
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl Flow {
    /// Counts one message.
    pub fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Bytes and messages so far.
    pub fn counted(&self) -> (f64, f64) {
        (self.bytes.load(Ordering::Relaxed) as f64, self.messages.load(Ordering::Relaxed) as f64)
    }
}

/// The stand-in.
pub struct Agent {
    service: Duration,
    running: AtomicUsize,
    /// How long each run took here, by the number in its name; the caller's side takes them out.
    spans: Mutex<HashMap<u32, Duration>>,
    /// From the node.
    pub heard: Flow,
    /// To the node.
    pub said: Flow,
}

/// The link's writing side, and the number of the last notice on it.
type Link = tokio::sync::Mutex<(OwnedWriteHalf, u64)>;

impl Agent {
    /// Whose runs take this long.
    pub fn new(service: Duration) -> Arc<Agent> {
        Arc::new(Agent {
            service,
            running: AtomicUsize::new(0),
            spans: Mutex::default(),
            heard: Flow::default(),
            said: Flow::default(),
        })
    }

    /// How long a run took, from the command read to the notice written.
    pub fn take_span(&self, n: u32) -> Option<Duration> {
        self.spans.lock().expect("spans").remove(&n)
    }

    /// Serves the one node that links itself here; a link that is lost is served anew, without what it missed.
    pub async fn serve(self: Arc<Agent>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let (read, write) = stream.into_split();
            let link = Arc::new(Link::new((write, 0)));
            self.hear(BufReader::new(read), &link).await;
        }
    }

    async fn say(&self, link: &Link, text: impl FnOnce(&mut u64) -> String) {
        let mut link = link.lock().await;
        let text = text(&mut link.1);
        self.said.add(text.len());
        let _ = link.0.write_all(text.as_bytes()).await;
    }

    async fn hear(self: &Arc<Agent>, mut lines: BufReader<tokio::net::tcp::OwnedReadHalf>, link: &Arc<Link>) {
        let mut line = String::new();
        while matches!(lines.read_line(&mut line).await, Ok(n) if n > 0) {
            let at = Instant::now();
            let mut bytes = line.len();
            let words: Vec<&str> = line.split_whitespace().collect();
            let block = match words[..] {
                ["launch", _, _, length] | ["deliver", _, length] => length.parse::<usize>().ok(),
                _ => None,
            };
            if let Some(length) = block {
                let mut body = vec![0; length + 2];
                if lines.read_exact(&mut body).await.is_err() {
                    return;
                }
                bytes += body.len();
            }
            self.heard.add(bytes);
            match words[..] {
                ["subscribe", n] => {
                    let last = n.parse().unwrap_or(0);
                    self.say(link, |next| {
                        *next = last;
                        "greeting warm 0.5\r\n".to_owned()
                    })
                    .await;
                }
                ["launch", name, ..] => {
                    let (agent, link, name) = (self.clone(), link.clone(), name.to_owned());
                    tokio::spawn(async move { agent.run(&link, &name, at).await });
                }
                ["sample", tag] => {
                    let running = self.running.load(Ordering::Relaxed);
                    let busy = running.min(CORES) as f64 / CORES as f64;
                    self.say(link, |_| format!("sampled {tag} {busy} {running} 0.1 3\r\n")).await;
                }
                _ => {}
            }
            line.clear();
        }
    }

    async fn run(&self, link: &Link, name: &str, at: Instant) {
        self.running.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep_until((at + self.service).into()).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        let ms = self.service.as_secs_f64() * 1e3;
        self.say(link, |n| {
            *n += 1;
            // Kept before it is said: the answer may be back at once.
            if let Some(number) = name.strip_prefix('r').and_then(|n| n.parse().ok()) {
                self.spans.lock().expect("spans").insert(number, at.elapsed());
            }
            format!("outcome {n} {name} ok {ms} 4\r\ndone\r\n")
        })
        .await;
    }
}
