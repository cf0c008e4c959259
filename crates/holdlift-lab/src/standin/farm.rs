//! The render farm agent and a uwsgi server, on one farm of cores.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::read_packet;

/// Cores that work is done on, and what was done. Work says `MS` or `MS call` and a token: "20 job-7". Work that says
/// `gate` in place of a time takes until [`Farm::open_gate`].
pub struct Farm {
    cores: Semaphore,
    /// Closed once work that waits at the gate may end.
    gate: Semaphore,
    total: usize,
    pub running: AtomicUsize,
    pub runs: Mutex<BTreeMap<String, u32>>,
    /// What the node itself told a uwsgi run in vars, by the run's token.
    pub told: Mutex<BTreeMap<String, String>>,
    /// Notices said so far; the first has the number 1.
    notices: Mutex<Vec<Vec<u8>>>,
    /// The agent says nothing while this is set.
    pub asleep: std::sync::atomic::AtomicBool,
    pub launches: Mutex<Vec<String>>,
    /// Runs that wait for the reply to their call. What is said is whether it is a poor one: none, or a fixed `none`.
    calls: Mutex<BTreeMap<String, tokio::sync::oneshot::Sender<bool>>>,
    /// Requests that are over: a run that stands at a call for one of them, or comes to one, ends there.
    over: Mutex<std::collections::BTreeSet<String>>,
}

impl Farm {
    pub fn new(cores: usize) -> Arc<Farm> {
        Arc::new(Farm {
            cores: Semaphore::new(cores),
            gate: Semaphore::new(0),
            total: cores,
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
            told: Mutex::default(),
            notices: Mutex::default(),
            asleep: false.into(),
            launches: Mutex::default(),
            calls: Mutex::default(),
            over: Mutex::default(),
        })
    }

    /// Does the work that a body asks for and returns its result.
    pub async fn work(&self, body: &[u8]) -> Vec<u8> {
        let said = String::from_utf8_lossy(body).into_owned();
        // What stands behind the token is padding.
        let mut words = said.split(' ');
        let (ms, token) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        *self.runs.lock().expect("runs").entry(token.to_owned()).or_default() += 1;
        self.running.fetch_add(1, Ordering::SeqCst);
        {
            let _core = self.cores.acquire().await.expect("cores");
            if ms == "gate" {
                let _ = self.gate.acquire().await;
            }
            sleep(Duration::from_millis(ms.parse().unwrap_or(0))).await;
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        format!("done {token}").into_bytes()
    }

    /// Work that waits at the gate ends, and none waits there any more.
    pub fn open_gate(&self) {
        self.gate.close();
    }

    /// A request is over, as its caller has its answer: the platform's agent learns of that by itself.
    pub fn over(&self, id: &str) {
        self.over.lock().expect("over").insert(id.to_owned());
        self.calls.lock().expect("calls").remove(id);
    }

    pub fn most_runs(&self) -> u32 {
        self.runs.lock().expect("runs").values().copied().max().unwrap_or(0)
    }

    fn note(&self, say: impl Fn(u64) -> Vec<u8>) {
        let mut all = self.notices.lock().expect("notices");
        let next = all.len() as u64 + 1;
        all.push(say(next));
    }

    /// The render farm agent: notices are numbered, and sent again from where a link asks.
    pub async fn agent(self: Arc<Farm>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let (read, write) = stream.into_split();
            // The last notice sent on this link; none are before `subscribe`.
            let link = Arc::new(tokio::sync::Mutex::new((write, None)));
            let (farm, teller) = (self.clone(), link.clone());
            let telling = tokio::spawn(async move {
                loop {
                    sleep(Duration::from_millis(1)).await;
                    farm.tell(&mut *teller.lock().await, b"").await;
                }
            });
            self.hear(BufReader::new(read), &link).await;
            telling.abort();
        }
    }

    /// Sends the notices that a link has not had yet, then some more.
    async fn tell(&self, (write, sent): &mut (OwnedWriteHalf, Option<u64>), more: &[u8]) {
        let all = self.notices.lock().expect("notices").clone();
        if let Some(last) = sent {
            for bytes in all.iter().skip(*last as usize) {
                let _ = write.write_all(bytes).await;
                *last += 1;
            }
        }
        let _ = write.write_all(more).await;
    }

    async fn hear(
        self: &Arc<Farm>,
        mut lines: BufReader<OwnedReadHalf>,
        link: &tokio::sync::Mutex<(OwnedWriteHalf, Option<u64>)>,
    ) {
        let mut line = String::new();
        while matches!(lines.read_line(&mut line).await, Ok(n) if n > 0) {
            match line.split_whitespace().collect::<Vec<_>>()[..] {
                ["subscribe", n] => {
                    while self.asleep.load(Ordering::SeqCst) {
                        sleep(Duration::from_millis(1)).await;
                    }
                    let link = &mut *link.lock().await;
                    self.tell(link, b"greeting warm 0.5\r\n").await;
                    link.1 = n.parse().ok();
                }
                ["launch", id, _, length] => {
                    let mut body = vec![0; length.parse::<usize>().expect("a length") + 2];
                    lines.read_exact(&mut body).await.expect("a body");
                    body.truncate(body.len() - 2);
                    self.launches.lock().expect("launches").push(id.to_owned());
                    let (farm, id) = (self.clone(), id.to_owned());
                    tokio::spawn(async move {
                        let body = match String::from_utf8_lossy(&body).split_once(" call ") {
                            Some((ms, token)) => {
                                let (reply, replied) = tokio::sync::oneshot::channel();
                                if !farm.over.lock().expect("over").contains(&id) {
                                    farm.calls.lock().expect("calls").insert(id.clone(), reply);
                                }
                                farm.note(|n| format!("request {n} {id} 3\r\nabc\r\n").into_bytes());
                                match replied.await {
                                    Ok(poor) => format!("{ms} {token}{}", if poor { "-poor" } else { "" })
                                        .into_bytes(),
                                    // Its request is over: the run ends at its call.
                                    Err(_) => {
                                        return farm.note(|n| {
                                            format!("outcome {n} {id} halted 1.25 0\r\n\r\n").into_bytes()
                                        });
                                    }
                                }
                            }
                            None => body,
                        };
                        let result = farm.work(&body).await;
                        let len = result.len();
                        farm.note(|n| {
                            let head = format!("outcome {n} {id} ok 1.25 {len}\r\n");
                            [head.as_bytes(), &result, b"\r\n"].concat()
                        });
                    });
                }
                ["sample", tag] => {
                    let running = self.running.load(Ordering::SeqCst);
                    let busy = running.min(self.total) as f64 / self.total as f64;
                    let said = format!("sampled {tag} {busy} {running} 0.1 3\r\n");
                    self.tell(&mut *link.lock().await, said.as_bytes()).await;
                }
                ["deliver", id, length] => {
                    let mut body = vec![0; length.parse::<usize>().expect("a length") + 2];
                    lines.read_exact(&mut body).await.expect("a body");
                    if let Some(call) = self.calls.lock().expect("calls").remove(id) {
                        let _ = call.send(body.starts_with(b"none"));
                    }
                }
                ["forgo", id, _] => {
                    if let Some(call) = self.calls.lock().expect("calls").remove(id) {
                        let _ = call.send(true);
                    }
                }
                // A run that stands at a call ends there; one on a core goes on to its end.
                ["freeze", id] => _ = self.calls.lock().expect("calls").remove(id),
                // A stand-in's run can't be stopped: it goes on to its end.
                _ => {}
            }
            line.clear();
        }
    }

    /// A uwsgi server whose work is the body of its packets.
    pub async fn uwsgi(self: Arc<Farm>, listener: TcpListener) {
        while let Ok((mut stream, _)) = listener.accept().await {
            let farm = self.clone();
            tokio::spawn(async move {
                let Some((vars, body)) = read_packet(&mut stream).await else { return };
                let ours = vars.iter().filter(|(k, _)| k.starts_with(b"HOLDLIFT_"));
                let ours: Vec<String> = ours
                    .map(|(k, v)| format!("{}={}", String::from_utf8_lossy(k), String::from_utf8_lossy(v)))
                    .collect();
                let token = String::from_utf8_lossy(&body).split(' ').nth(1).unwrap_or("").to_owned();
                farm.told.lock().expect("told").insert(token, ours.join(" "));
                let result = farm.work(&body).await;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", result.len());
                let _ = stream.write_all(&[head.as_bytes(), &result].concat()).await;
            });
        }
    }
}
