//! What happens to a fleet of size: all start at once, a rack or a zone is lost, the regions lose each other and find each
//! other again, nodes are replaced one after the other; the leading keeper is lost in each.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::fleet_scene::{Known, Layout, Look, Scene};
use super::hollow_host::Speaks;
use super::record::Run;
use super::{Error, fleet, fleet_stop};

/// Nodes of a rack.
const RACK: usize = 40;
/// All start within this.
const START: Duration = Duration::from_secs(10);
/// Between two looks at what processes use: peaks are over this.
const LOOK: Duration = Duration::from_secs(1);
/// A keeper that was lost is back after so long.
const KEEPER_BACK: Duration = Duration::from_secs(12);
/// Between two replacements of a third of 900 in ten minutes.
const REPLACED: Duration = Duration::from_millis(2_000);

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Event {
    /// All start within 10 s.
    Start,
    /// A rack of 40 at once.
    Rack,
    /// A zone, a sixth of all, at once.
    Zone,
    /// Two regions lose each other and find each other again.
    Cut,
    /// A node every 2 s goes and another takes its name: a part of a third in ten minutes.
    Replace,
}

/// What is measured, and where it is kept.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Nodes, hollow and real together.
    #[arg(long, default_value_t = 900)]
    pub nodes: usize,
    /// What happens, one after the other.
    #[arg(long, value_enum, value_delimiter = ',',
        default_values_t = [Event::Start, Event::Rack, Event::Zone, Event::Replace, Event::Cut])]
    pub events: Vec<Event>,
    /// The regions lose each other for so long, s.
    #[arg(long, default_value_t = 180, value_parser = clap::value_parser!(u64).range(5..=300))]
    pub cut: u64,
    /// Nodes are replaced for so long, s.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(2..=600))]
    pub replace: u64,
    /// Waited after each event until all that live know it, s at the most.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..=120))]
    pub settle: u64,
    /// The leading keeper stays.
    #[arg(long)]
    pub leader_stays: bool,
    /// Real nodes.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u8).range(1..=40))]
    pub real: u8,
    /// Processes that hold the hollow nodes.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u8).range(1..=32))]
    pub hosts: u8,
    /// Budgets, those of the zones' returns among them.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u8).range(7..=24))]
    pub budgets: u8,
    /// Each hollow node wants up to four tokens of the first budget that often, ms; 0 for never.
    #[arg(long, default_value_t = 500)]
    pub demand_ms: u64,
    /// Another name of the run, where it is kept beside others.
    #[arg(long, default_value = "fleet-events")]
    pub name: String,
    /// Keep the run in this folder.
    #[arg(long, value_name = "DIR")]
    pub keep: Option<PathBuf>,
}

/// Measures. False where the run is partial, or a share was above the whole.
///
/// # Errors
/// What keeps the run from starting, or from being kept.
pub async fn run(options: Options) -> Result<bool, Error> {
    let argv: Vec<String> = std::env::args().collect();
    let mut run = Run::begin(&options.name, &argv);
    run.left_out = fleet::left_out();
    run.left_out.push(
        "hollow nodes that are killed are tasks that end: their sockets close, and the system answers for them".to_owned(),
    );
    let run = Arc::new(Mutex::new(run));
    let ended = fleet_stop::until_told(all(&options, run.clone())).await;
    let mut run = run.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let whole = fleet_stop::judge(ended, &mut run)?;
    if let Some(folder) = &options.keep {
        println!("kept as {}", run.keep(folder)?.display());
    }
    let over = run.figures.iter().filter(|(k, f)| k.ends_with(LENT) && f.value > 1.0);
    let over: Vec<&String> = over.map(|(k, _)| k).collect();
    for key in &over {
        println!("{key}: above the whole");
    }
    Ok(whole && over.is_empty())
}

/// The end of the name of a figure that must not exceed 1.
const LENT: &str = "most lent at one moment against the whole";

async fn all(options: &Options, run: Arc<Mutex<Run>>) -> Result<(), Error> {
    let real = usize::from(options.real);
    if options.nodes <= real + RACK {
        return Err(format!("there must be more than {} nodes", real + RACK).into());
    }
    let layout = Layout {
        real,
        keepers: 3,
        hollow: options.nodes - real,
        hosts: usize::from(options.hosts),
        processes: true,
        budgets: usize::from(options.budgets),
        whole: 2 * options.nodes as u32,
        demand_ms: options.demand_ms,
        seed: 29,
        speaks: Speaks::All,
        catalog: None,
        records: 0,
    };
    let mut scene = layout.start().await?;
    let everybody: Vec<usize> = (0..options.nodes - real).collect();
    if !options.events.contains(&Event::Start) {
        scene.join(&everybody, START).await?;
        scene.known(everybody.len(), START + Duration::from_secs(options.settle)).await?;
    }
    for (i, event) in options.events.iter().enumerate() {
        let name = format!("{event:?}").to_lowercase();
        let figures = one(&mut scene, *event, options, &everybody).await?;
        println!("{name}, {} nodes:", options.nodes);
        for (what, value, unit) in figures {
            println!("  {what}: {value:.3} {unit}");
            let mut run = run.lock().unwrap_or_else(PoisonError::into_inner);
            run.figure(&format!("{name}: {what}"), value, unit);
        }
        if i + 1 < options.events.len() {
            // As it was, for what comes next.
            scene.known(everybody.len(), Duration::from_secs(options.settle)).await?;
        }
    }
    Ok(())
}

type Figures = Vec<(String, f64, &'static str)>;

/// Peaks and sums over an event.
#[derive(Default)]
struct Peaks {
    figures: [[f64; 5]; 3],
    dropped: u64,
    lent: [f64; 2],
    real_last: u64,
}

/// Who the peaks are of.
const WHO: [&str; 3] = ["real node", "leading keeper", "other keeper"];
const WHAT: [(&str, &str); 5] = [
    ("peak processor time over 1 s", "% of a core"),
    ("peak bytes sent", "KB/s"),
    ("peak bytes received", "KB/s"),
    ("peak streams", "KB/s"),
    ("most memory", "MB"),
];

impl Peaks {
    fn note(&mut self, scene: &mut Scene, now: &Look, before: &Look) {
        let leader = scene.rig.leader();
        for (i, u) in now.since(before).iter().enumerate() {
            let gone = now.procs[i].cpu_s < before.procs[i].cpu_s || now.procs[i].rss_kb == 0.0;
            if gone {
                continue;
            }
            let who = if i < scene.rig.nodes { 0 } else { 2 - usize::from(Some(i) == leader) };
            let all =
                [u.cpu * 100.0, u.sent.1 / 1e3, u.received.1 / 1e3, u.streamed / 1e3, u.rss_kb / 1_024.0];
            self.figures[who].iter_mut().zip(all).for_each(|(most, now)| *most = most.max(now));
            self.dropped += u.dropped;
        }
        let hollow = now.dropped.len() - 1;
        self.dropped += now.dropped[hollow].saturating_sub(before.dropped[hollow]);
        let (most, wholes) = scene.most();
        for ((lent, most), whole) in self.lent.iter_mut().zip(most).zip(wholes) {
            *lent = lent.max(most as f64 / f64::from(whole));
        }
    }

    fn figures(&self, nodes: f64, first: &Look, last: &Look) -> Figures {
        let mut all = Vec::new();
        for (who, figures) in WHO.iter().zip(&self.figures) {
            for ((what, unit), value) in WHAT.iter().zip(figures) {
                if !(*who == "real node" && *what == "peak streams") {
                    all.push((format!("{who}, {what}"), *value, *unit));
                }
            }
        }
        let hosts = last.hosts_since(first);
        all.push((
            "busiest host of hollow nodes, mean processor time".to_owned(),
            hosts.1 * 100.0,
            "% of a core",
        ));
        all.push(("datagrams dropped for full queues".to_owned(), self.dropped as f64, "messages"));
        let refuted = last.counts.refuted - first.counts.refuted;
        all.push((
            "nodes that were taken for gone and said that they are not".to_owned(),
            refuted as f64,
            "times",
        ));
        let sent = |l: &Look| l.counts.kinds.values().map(|k| k.0.bytes).sum::<u64>();
        let rate = (sent(last) - sent(first)) as f64 / last.secs(first) / nodes / 1e3;
        all.push(("a hollow node sends, mean over the event".to_owned(), rate, "KB/s"));
        for (which, lent) in ["first", "second"].iter().zip(self.lent) {
            all.push((format!("{which} budget, {LENT}"), lent, "share"));
        }
        all.push((
            "real nodes may spend of the first budget at the end of the wait".to_owned(),
            self.real_last as f64,
            "tokens",
        ));
        all
    }
}

/// Waits until all that live know who is there, and takes the peaks meanwhile.
async fn watched(
    scene: &mut Scene,
    peaks: &mut Peaks,
    before: &mut Look,
    nodes: usize,
    bound: Duration,
    until_known: bool,
) -> Result<Known, Error> {
    let (start, mut known) = (Instant::now(), Known::default());
    while start.elapsed() < bound {
        let began = start.elapsed();
        let step = scene.known(nodes, LOOK.min(bound.saturating_sub(began))).await?;
        let at = |s: f64| began.as_secs_f64() + s;
        known.last = step.last;
        // What was known before and is no more counts from the next time on.
        known.most_s = step.most_s.map(|s| known.most_s.unwrap_or(at(s)));
        known.all_s = step.all_s.map(|s| known.all_s.unwrap_or(at(s)));
        if step.all_s.is_some() {
            if until_known {
                break;
            }
            sleep(LOOK.min(bound.saturating_sub(start.elapsed()))).await;
        }
        let now = scene.look().await?;
        peaks.note(scene, &now, before);
        *before = now;
    }
    Ok(known)
}

fn enter(figures: &mut Figures, what: &str, known: &Known) {
    let c = known.last;
    if let Some(s) = known.most_s {
        figures.push((format!("{what} until 99 of 100 that live know it"), s, "s"));
    }
    if let Some(s) = known.all_s {
        figures.push((format!("{what} until all that live know it"), s, "s"));
    }
    figures.push((
        format!("{what} pairs that don't know each other at the end of the wait"),
        c.missing as f64,
        "pairs",
    ));
    figures.push((
        format!("{what} pairs of which one knows another that is gone, then"),
        c.extra as f64,
        "pairs",
    ));
}

async fn one(
    scene: &mut Scene,
    event: Event,
    options: &Options,
    everybody: &[usize],
) -> Result<Figures, Error> {
    let (mut peaks, mut figures) = (Peaks::default(), Figures::new());
    let settle = Duration::from_secs(options.settle);
    let first = scene.look().await?;
    scene.most();
    let mut before = first.clone();
    let lost = |scene: &mut Scene| if options.leader_stays { None } else { scene.kill_leader() };
    let mut gone = Vec::new();
    let mut keeper;
    match event {
        Event::Start => {
            scene.join(everybody, START).await?;
            // The leader is lost while half of them are there.
            watched(scene, &mut peaks, &mut before, usize::MAX, START / 2, false).await?;
            keeper = lost(scene);
            let known =
                watched(scene, &mut peaks, &mut before, everybody.len(), START / 2 + settle, true).await?;
            enter(&mut figures, "from half of the starts,", &known);
        }
        Event::Rack | Event::Zone => {
            gone = match event {
                // A rack stands in one zone.
                Event::Rack => scene.zone(1).into_iter().take(RACK).collect(),
                _ => scene.zone(2),
            };
            keeper = lost(scene);
            scene.kill(&gone).await?;
            let nodes = everybody.len() - gone.len();
            let known = watched(scene, &mut peaks, &mut before, nodes, settle, true).await?;
            figures.push(("nodes lost".to_owned(), gone.len() as f64, "nodes"));
            enter(&mut figures, "from the loss,", &known);
        }
        Event::Replace => {
            let start = Instant::now();
            let mut next = everybody.iter().step_by(3);
            let mut replaced = 0;
            keeper = lost(scene);
            while start.elapsed() < Duration::from_secs(options.replace) {
                let Some(node) = next.next() else { break };
                scene.replace(&[*node]).await?;
                replaced += 1;
                watched(scene, &mut peaks, &mut before, usize::MAX, REPLACED, false).await?;
            }
            figures.push(("nodes replaced".to_owned(), f64::from(replaced), "nodes"));
            figures.push(("replaced for".to_owned(), start.elapsed().as_secs_f64(), "s"));
            let known = watched(scene, &mut peaks, &mut before, everybody.len(), settle, true).await?;
            enter(&mut figures, "from the last,", &known);
        }
        Event::Cut => {
            let apart = Duration::from_secs(options.cut);
            keeper = lost(scene);
            scene.cut(true).await?;
            let known =
                watched(scene, &mut peaks, &mut before, everybody.len(), apart.min(settle), false).await?;
            enter(&mut figures, "from the cut, in each region", &known);
            if let Some(k) = keeper.take() {
                scene.back(k);
            }
            watched(scene, &mut peaks, &mut before, usize::MAX, apart.saturating_sub(settle), false).await?;
            let limits = scene.real_limits().await;
            figures.push((
                "real nodes may spend of the first budget at the end of the cut".to_owned(),
                limits as f64,
                "tokens",
            ));
            scene.cut(false).await?;
            let known = watched(scene, &mut peaks, &mut before, everybody.len(), settle, true).await?;
            figures.push(("apart for".to_owned(), apart.as_secs_f64(), "s"));
            enter(&mut figures, "from the end of the cut,", &known);
        }
    }
    let last = scene.look().await?;
    peaks.note(scene, &last, &before);
    peaks.real_last = scene.real_limits().await;
    let members = scene.real_members().await;
    let (least, most) =
        (members.iter().min().copied().unwrap_or(0), members.iter().max().copied().unwrap_or(0));
    figures.push(("members that a real node knows then, least".to_owned(), least as f64, "members"));
    figures.push(("members that a real node knows then, most".to_owned(), most as f64, "members"));
    figures.extend(peaks.figures(everybody.len() as f64, &first, &last));
    if let Some(k) = keeper {
        figures.push(("the leading keeper was lost".to_owned(), 1.0, "times"));
        sleep(KEEPER_BACK.saturating_sub(Duration::from_secs(10))).await;
        scene.back(k);
    }
    if !gone.is_empty() {
        scene.join(&gone, Duration::from_secs(3)).await?;
    }
    Ok(figures)
}
