//! The program that is measured, as a process of its own in a folder of its own, both gone when it is dropped.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use super::super::Error;

/// Longest that a start, a reload or a line is waited for.
const PATIENCE: Duration = Duration::from_secs(20);
/// Counters are asked for this often while a reload is awaited: in the subject's time, and so not often.
const ASK_EVERY: Duration = Duration::from_millis(40);
/// Lines kept until somebody looks at them: only those about reloads and counters are.
const LINES: usize = 256;
/// Of a line that may name thousands of classes so much is looked at.
const LINE_MAX: usize = 4 << 10;

/// A running node.
pub struct Subject {
    child: Child,
    dir: PathBuf,
    lines: mpsc::Receiver<(Instant, String)>,
    /// When it last told of a reload.
    told: Option<Instant>,
    /// When the process was started.
    pub started: Instant,
    /// Where callers come in.
    pub listen: SocketAddr,
}

impl Drop for Subject {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Subject {
    /// Starts a program with this file, whose text names the same address.
    ///
    /// # Errors
    /// The system's reason.
    pub fn start(program: &Path, config: &str, listen: SocketAddr) -> Result<Subject, Error> {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let n = COUNT.fetch_add(1, Ordering::SeqCst);
        let dir = std::env::temp_dir().join(format!("holdlift-scale-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        std::fs::write(dir.join("config.json"), config)?;
        let started = Instant::now();
        let mut child = Command::new(program)
            .env_remove("PROXY_NAME")
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_CONSOLE")
            .env("TMPDIR", &dir)
            .env("PROXY_CONFIG", dir.join("config.json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        let (tell, lines) = mpsc::channel(LINES);
        if let Some(log) = child.stderr.take() {
            std::thread::spawn(move || follow(BufReader::new(log), &tell));
        }
        Ok(Subject { child, dir, lines, told: None, started, listen })
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Writes its file anew, as one that looks at it would find it whole.
    ///
    /// # Errors
    /// The system's reason.
    pub fn configure(&self, text: &str) -> std::io::Result<()> {
        std::fs::write(self.dir.join("config.new"), text)?;
        std::fs::rename(self.dir.join("config.new"), self.dir.join("config.json"))
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).ok_or("no process")?;
        Ok(kill_process(pid, signal)?)
    }

    /// Has it read its file again; when the signal was sent.
    ///
    /// # Errors
    /// It is gone.
    pub fn reload(&mut self) -> Result<Instant, Error> {
        while self.lines.try_recv().is_ok() {}
        self.told = None;
        let at = Instant::now();
        self.signal(Signal::HUP)?;
        Ok(at)
    }

    /// The next line of counters, if it comes in time; what is told of a reload meanwhile is noted.
    async fn counters(&mut self, until: Instant) -> Option<String> {
        loop {
            let (at, line) = timeout_at(until.into(), self.lines.recv()).await.ok()??;
            if line.contains("counters: ") {
                return Some(line);
            }
            self.told = Some(at);
        }
    }

    /// Its counters of reloads taken and turned down.
    ///
    /// # Errors
    /// It says none.
    pub async fn reloads(&mut self) -> Result<(u64, u64), Error> {
        self.signal(Signal::USR1)?;
        let line = self.counters(Instant::now() + PATIENCE).await.ok_or("the node told no counters")?;
        let of = |key: &str| line.split_whitespace().find_map(|w| w.strip_prefix(key)?.parse().ok());
        Ok((of("reloads=").unwrap_or(0), of("reloads_failed=").unwrap_or(0)))
    }

    /// Waits until a reload has been taken or turned down: when its line came and whether it was taken. The counters
    /// have the last word, as lines change with versions of the program.
    ///
    /// # Errors
    /// Neither came.
    pub async fn reloaded(&mut self, before: (u64, u64)) -> Result<(Instant, bool), Error> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            // No counters are asked for yet, so that nothing but the line is waited for.
            let _ = self.counters(Instant::now() + ASK_EVERY).await;
            let now = self.reloads().await?;
            if now != before {
                return Ok((self.told.unwrap_or_else(Instant::now), now.0 > before.0));
            }
            // A line told before the settings were in force is no sign.
            self.told = None;
        }
        Err("a reload was neither taken nor turned down".into())
    }

    /// How it ended, where it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

fn follow(mut log: impl BufRead, tell: &mpsc::Sender<(Instant, String)>) {
    let mut line = Vec::new();
    while matches!(log.read_until(b'\n', &mut line), Ok(n) if n > 0) {
        let text = String::from_utf8_lossy(&line[..line.len().min(LINE_MAX)]).into_owned();
        if text.contains("reload: ") || text.contains("counters: ") {
            // Nobody looks: nobody misses it.
            let _ = tell.try_send((Instant::now(), text));
        }
        line.clear();
    }
}
