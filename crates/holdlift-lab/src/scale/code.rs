//! The decision code alone, without a socket: the book, the members, the judge of zones, a purse, and what their messages
//! weigh. Each size is measured in a process of its own, so that the memory of one is not the memory of another.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use clap::ValueEnum;
use rustix::time::{ClockId, clock_gettime};
use tokio::process::Command;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::record::{Point, Run};
use super::{Error, code_book, code_members, code_zones};

/// One size's figures, by name.
pub type Figures = BTreeMap<String, f64>;

/// What is measured, and where it is kept.
#[derive(clap::Args)]
pub struct Options {
    /// Keep the run in this folder.
    #[arg(long, value_name = "DIR")]
    pub keep: Option<PathBuf>,
    /// Small sizes only, under a minute; not for a page.
    #[arg(long)]
    pub short: bool,
    /// These parts only; the run is named after them.
    #[arg(long, value_name = "PART")]
    pub only: Vec<Part>,
    /// Processes at a time.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=16))]
    pub jobs: u16,
    /// One part at one size, in this process; for the run's own use.
    #[arg(long, hide = true, requires = "size")]
    part: Option<Part>,
    #[arg(long, hide = true)]
    size: Option<usize>,
    #[arg(long, hide = true, default_value_t = 24)]
    budgets: usize,
    #[arg(long, hide = true, default_value_t = 1)]
    seed: u64,
    /// Of a thousand datagrams so many are lost; members only.
    #[arg(long, hide = true, default_value_t = 0)]
    lost: u32,
}

/// What one process measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// A keeper's book, by nodes and budgets.
    Book,
    /// Membership, by nodes.
    Members,
    /// The judge of zones, by nodes.
    Judge,
    /// A node's purse, by budgets.
    Purse,
}

#[derive(Clone, Copy, PartialEq)]
struct Job {
    part: Part,
    size: usize,
    budgets: usize,
    seed: u64,
    lost: u32,
}

/// No size takes longer.
const LONGEST: Duration = Duration::from_secs(300);
/// What a process of the largest size takes at the most, MB.
const MEMORY_MB: u64 = 900;
/// Of a thousand datagrams so many are lost.
const LOST: [u32; 3] = [0, 10, 50];
/// Repeats of what is quick; of members there are two.
const SEEDS: u64 = 3;

/// Processor time of this thread so far.
pub(super) fn cpu() -> Duration {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(t.tv_sec.unsigned_abs(), u32::try_from(t.tv_nsec).unwrap_or(0))
}

/// Resident memory of this process, KB.
pub(super) fn rss_kb() -> f64 {
    crate::probe::now(std::process::id()).0
}

/// One part at one size, in this process: nodes, or budgets for a purse. Times and memory are worth something alone on a
/// machine and in a process of its own only; counts, messages and bytes are the same everywhere.
#[must_use]
pub fn measure(part: Part, size: usize, budgets: usize, seed: u64) -> Figures {
    match part {
        Part::Book => code_book::measure(size, budgets, seed),
        Part::Members => code_members::measure(size, seed, 0),
        Part::Judge => code_zones::judge(size, seed),
        Part::Purse => code_zones::purse(size),
    }
}

/// Measures.
///
/// # Errors
/// What keeps the run from starting, or from being kept.
pub async fn run(o: Options) -> Result<bool, Error> {
    if let (Some(part), Some(size)) = (o.part, o.size) {
        let figures = match part {
            Part::Members => code_members::measure(size, o.seed, o.lost),
            Part::Book | Part::Judge | Part::Purse => measure(part, size, o.budgets, o.seed),
        };
        println!("{}", serde_json::to_string(&figures)?);
        return Ok(true);
    }
    room(o.jobs)?;
    let argv: Vec<String> = std::env::args().collect();
    let of = |p: &Part| format!("-{}", word(*p));
    let mut run = Run::begin(&format!("code{}", o.only.iter().map(of).collect::<String>()), &argv);
    run.left_out = vec![
        "sockets, system calls and the runtime: no datagram leaves the process".into(),
        "members: a network of 0.5 ms a way, in steps of 10 ms; all clocks alike; what is lost is lost by chance".into(),
        "members: 900 once; the peak of one second is one process's, both ways together".into(),
        "members: the bytes are those of datagrams, without the 28 of UDP and IP".into(),
        "book: the engine of agreement, its log and its disk; entries are applied as they come".into(),
        "book: its memory has what the load itself keeps of each node in it, so it is a little high".into(),
        format!("up to {} sizes side by side, each in a process of its own", o.jobs),
    ];
    let mut jobs = jobs(o.short);
    jobs.retain(|j| o.only.is_empty() || o.only.contains(&j.part));
    let done = play(&jobs, usize::from(o.jobs), &mut run).await;
    enter(&mut run, &done);
    match &o.keep {
        Some(folder) => println!("{}", run.keep(folder)?.display()),
        None => println!("{}", serde_json::to_string_pretty(&run)?),
    }
    Ok(!run.partial)
}

/// Says so before it starts where the run needs more memory than half of what is free.
fn room(jobs: u16) -> Result<(), Error> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let line = text.lines().find(|l| l.starts_with("MemAvailable:")).unwrap_or_default();
    let free_mb = line.split_whitespace().nth(1).and_then(|w| w.parse::<u64>().ok()).unwrap_or(0) / 1024;
    let fits = free_mb / 2 / MEMORY_MB;
    if u64::from(jobs) > fits {
        return Err(format!(
            "{jobs} processes of up to {MEMORY_MB} MB are more than half of the {free_mb} MB that are free; \
             --jobs {fits} would fit"
        )
        .into());
    }
    Ok(())
}

/// The longest first, so that none is left alone at the end.
fn jobs(short: bool) -> Vec<Job> {
    let mut jobs = Vec::new();
    let job = |part, size, budgets, seed| Job { part, size, budgets, seed, lost: 0 };
    let (members, nodes): (&[usize], &[usize]) = match short {
        true => (&[60, 45, 30, 15], &[120, 90, 60, 30]),
        false => (&[900, 600, 300, 150, 50], &[1_800, 900, 600, 300, 150, 50]),
    };
    for seed in 1..=if short { 1 } else { 2 } {
        // The largest takes minutes: once.
        let sizes = members.iter().filter(|&&n| seed == 1 || n < 900);
        jobs.extend(sizes.flat_map(|&n| LOST.map(|lost| Job { lost, ..job(Part::Members, n, 24, seed) })));
    }
    for seed in 1..=if short { 1 } else { SEEDS } {
        for &n in nodes {
            jobs.extend([24, 12, 6, 1].map(|b| job(Part::Book, n, b, seed)));
            jobs.push(job(Part::Judge, n, 24, seed));
        }
        jobs.extend([24, 12, 6, 1].map(|b| job(Part::Purse, b, b, seed)));
    }
    jobs
}

/// Plays them, so many at a time; what failed or was not reached is said in the run, which stays partial then.
async fn play(jobs: &[Job], at_a_time: usize, run: &mut Run) -> Vec<(Job, Figures)> {
    let (mut done, mut playing, mut left) = (Vec::new(), JoinSet::new(), jobs.iter());
    let (mut end, mut whole) = (signal(SignalKind::terminate()).ok(), true);
    loop {
        while playing.len() < at_a_time
            && let Some(&job) = left.next()
        {
            playing.spawn(async move { (job, one(job).await) });
        }
        let ended = tokio::select! {
            ended = playing.join_next() => ended,
            _ = tokio::signal::ctrl_c() => None,
            _ = async { match &mut end { Some(s) => s.recv().await, None => std::future::pending().await } } => None,
        };
        match ended {
            Some(Ok((job, Ok(figures)))) => done.push((job, figures)),
            Some(Ok((job, Err(e)))) => {
                whole = false;
                run.left_out.push(format!("{:?} of {}: {e}", job.part, job.size));
            }
            Some(Err(e)) => {
                whole = false;
                run.left_out.push(format!("a process: {e}"));
            }
            // All have ended, or somebody ended the run: those that still play are killed as they are dropped.
            None => break,
        }
    }
    if whole && done.len() == jobs.len() {
        run.whole();
    } else {
        run.left_out.push(format!("{} of {} measurements were made", done.len(), jobs.len()));
    }
    done
}

fn word(part: Part) -> String {
    format!("{part:?}").to_lowercase()
}

async fn one(job: Job) -> Result<Figures, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let part = word(job.part);
    let numbers = [job.size, job.budgets, job.seed as usize, job.lost as usize].map(|n| n.to_string());
    let child = Command::new(program)
        .args(["scale", "code", "--part", &part, "--size", &numbers[0]])
        .args(["--budgets", &numbers[1], "--seed", &numbers[2], "--lost", &numbers[3]])
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .output();
    let out = timeout(LONGEST, child).await.map_err(|_| format!("not within {} s", LONGEST.as_secs()))?;
    let out = out.map_err(|e| e.to_string())?;
    if !out.status.success() {
        return Err(format!("ended with {}", out.status));
    }
    serde_json::from_slice(&out.stdout).map_err(|e| e.to_string())
}

/// By what a figure's name ends in.
fn unit(name: &str) -> &'static str {
    let units = [
        ("_percent", "%"),
        ("_bytes_per_s", "B/s"),
        ("_kb_per_s", "KB/s"),
        ("_per_s", "1/s"),
        ("_bytes", "B"),
        ("_kb", "KB"),
        ("_ms", "ms"),
        ("_us", "us"),
        ("_s", "s"),
    ];
    units.iter().find(|(end, _)| name.ends_with(end)).map_or("", |u| u.1)
}

/// One series for each figure of each part: by nodes, or by budgets.
fn enter(run: &mut Run, done: &[(Job, Figures)]) {
    let mut all: BTreeMap<(String, &str), BTreeMap<usize, Vec<f64>>> = BTreeMap::new();
    for (job, figures) in done {
        for (name, value) in figures {
            let mut add = |series: String, x, size| {
                all.entry((series, x)).or_default().entry(size).or_default().push(*value);
            };
            match job.part {
                Part::Book => {
                    add(format!("book.{}-budgets.{name}", job.budgets), "nodes", job.size);
                    if job.size == 900 {
                        add(format!("book.900-nodes.{name}"), "budgets", job.budgets);
                    }
                }
                Part::Members => add(format!("members.{name}"), "nodes", job.size),
                Part::Judge => add(format!("judge.{name}"), "nodes", job.size),
                Part::Purse => add(format!("purse.{name}"), "budgets", job.size),
            }
        }
    }
    for ((series, x), sizes) in all {
        let points = sizes.iter().map(|(size, all)| Point::of(*size as f64, all)).collect();
        run.series(&series, x, unit(&series), points);
    }
}
