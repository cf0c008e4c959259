//! A change of the configuration at size: from an operator's command to the last node that has it in force, what that costs
//! nodes and keepers, and what it takes without the mechanism, in one run.

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use super::config_load::{self, Load, QUIET};
use super::config_plain::Plain;
use super::config_report::{Book, By, most_at_once};
use super::config_scene::{Applied, Operator, Records, Seen, Whole, now};
use super::fleet_scene::{Layout, Look, Scene, Usage};
use super::hollow_config::{Begin, How};
use super::hollow_host::Speaks;
use super::record::Run;
use super::{Error, fleet_stop, fleet_watch};
use crate::rig::net::{Carried, Net};

/// Nodes of a rack.
const RACK: usize = 40;
/// Longest that a change is waited for; it is to take 6 s.
const BOUND: Duration = Duration::from_secs(15);
/// And all cold starts.
const COLD: Duration = Duration::from_secs(40);
/// A rack and the leading keeper are lost so long after a change has begun.
const LOST: Duration = Duration::from_millis(300);
/// Records of the large change, and changes of the burst.
const LARGE: usize = 5_000;
const BURST: usize = 100;
/// The real nodes' and keepers' bytes are looked at so often.
const SECOND: Duration = Duration::from_secs(1);

/// What is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Part {
    /// Files and signals, without the mechanism.
    Plain,
    /// By records, at the first size.
    Records,
    /// By nodes.
    Nodes,
    /// A change of 5,000 records, and 100 changes in a row.
    Large,
    /// A rack of 40 and the leading keeper are lost during changes.
    Rack,
    /// All nodes start at once.
    Cold,
}

/// What is measured, and where it is kept.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Nodes, hollow and real together, one size after the other in one run.
    #[arg(long, value_delimiter = ',', default_values_t = [50, 150, 300, 600, 900])]
    pub sizes: Vec<usize>,
    /// Only these parts.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t =
        [Part::Plain, Part::Records, Part::Nodes, Part::Large, Part::Rack, Part::Cold])]
    pub parts: Vec<Part>,
    /// The size from which on the large change and the burst are played, once.
    #[arg(long, default_value_t = 300)]
    pub large_at: usize,
    /// Changes at each size.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=100))]
    pub changes: u32,
    /// One every so often, ms.
    #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u64).range(500..=10_000))]
    pub every: u64,
    /// Without changes before them, s.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(2..=60))]
    pub rest: u64,
    /// New nodes of a size start evenly over so long, s.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=60))]
    pub join: u64,
    /// Classes.
    #[arg(long, default_value_t = 8_300, value_parser = clap::value_parser!(u32).range(10..=16_000))]
    pub classes: u32,
    /// Tenants.
    #[arg(long, default_value_t = 28_000, value_parser = clap::value_parser!(u32).range(10..=60_000))]
    pub tenants: u32,
    /// Smaller wholes are such parts of it, the smallest first.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 10, 3])]
    pub of: Vec<usize>,
    /// Real nodes, with the mechanism and as many without it.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u8).range(3..=40))]
    pub real: u8,
    /// Real keepers: 1, 3 or 5.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=5))]
    pub keepers: u8,
    /// Processes that hold the hollow nodes.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u8).range(1..=32))]
    pub hosts: u8,
    /// Another name of the run, where it is kept beside others.
    #[arg(long, default_value = "config")]
    pub name: String,
    /// Keep the run in this folder.
    #[arg(long, value_name = "DIR")]
    pub keep: Option<PathBuf>,
}

fn left_out() -> Vec<String> {
    let mut all: Vec<String> = [
        "hollow nodes run the program's follower, asks, standings and fetches by the keepers' streams, many to one process: \
         they build no settings and swap none, serve no requests, and have no process of their own",
        "hollow nodes of a host share a version that all of them have, and take a snapshot apart once; each fetches it whole, \
         and the bytes have to be the same",
        "hollow nodes say nothing of who is there, and there are no zones and one budget: these are in `fleet-sizes` and `code`",
        "hollow nodes of a larger size begin with the newest version, but in the cold start",
        "all processes share one machine and its 8 cores; loopback loses and delays nothing but for full queues",
        "real nodes' datagrams and streams go through a relay of the lab, hollow ones' and operators' speak directly",
        "bytes are those of datagrams and of streams' frames, without headers of IP, UDP and TCP and without acknowledgements",
        "real nodes' times are by their logs, to a fraction of a ms; a request's are at the one real node that is asked",
        "the way without the mechanism is that of real nodes on the same machine: nothing carries a file to them",
    ]
    .map(str::to_owned)
    .to_vec();
    all.push(format!(
        "a request takes 3 ms at the agent, which is taken off; {} requests a second",
        config_load::PER_S
    ));
    all
}

/// Measures. False where the run is partial, or nodes had other versions than the keepers under their numbers.
///
/// # Errors
/// What keeps the run from starting, or from being kept.
pub async fn run(options: Options) -> Result<bool, Error> {
    let argv: Vec<String> = std::env::args().collect();
    let mut run = Run::begin(&options.name, &argv);
    run.left_out = left_out();
    let run = Arc::new(Mutex::new(run));
    let ended = fleet_stop::until_told(play(&options, run.clone())).await;
    let mut run = run.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let whole = fleet_stop::judge(ended, &mut run)?;
    if let Some(folder) = &options.keep {
        println!("kept as {}", run.keep(folder)?.display());
    }
    let wrong = run.figures.get(UNLIKE).is_some_and(|f| f.value > 0.0);
    if wrong {
        println!("{UNLIKE}");
    }
    Ok(whole && !wrong)
}

/// A figure that has to be 0.
const UNLIKE: &str = "all: versions in force with another digest than the keepers'";

/// One part after the other; each is entered as soon as it is measured.
async fn play(options: &Options, run: Arc<Mutex<Run>>) -> Result<(), Error> {
    let real = usize::from(options.real);
    let most = options.sizes.iter().copied().max().unwrap_or(0);
    if options.sizes.iter().any(|s| *s <= real) || !options.sizes.is_sorted() {
        return Err(format!("sizes must grow, and be above the {real} real nodes").into());
    }
    let whole = Records { classes: options.classes as usize, tenants: options.tenants as usize };
    let size = fleet_watch::Size {
        hollow: most - real,
        hosts: usize::from(options.hosts),
        real: 2 * real + usize::from(options.keepers),
        records: whole.all(),
    };
    size.fits(fleet_watch::allowed())?;
    let mut parts: Vec<Records> = options.of.iter().map(|of| whole.part(*of)).collect();
    parts.push(whole);
    let (every, has) = (Duration::from_millis(options.every), |p: Part| options.parts.contains(&p));
    let mut book = Book::default();
    let note = |book: &Book| book.write(&mut run.lock().unwrap_or_else(PoisonError::into_inner));
    if has(Part::Plain) {
        let mut plain = Plain::start(real).await?;
        for records in &parts {
            plain.measure(&mut book, *records, most, (3, every), SEED).await?;
            note(&book);
        }
    }
    let mut play = Play::start(options, most, whole).await?;
    play.join(options.sizes[0]).await?;
    if has(Part::Records) {
        for records in &parts {
            play.records(&mut book, *records).await?;
            note(&book);
        }
    }
    play.grown(whole).await?;
    let mut large = has(Part::Large);
    for size in &options.sizes {
        play.join(*size).await?;
        if has(Part::Nodes) {
            play.nodes(&mut book, *size).await?;
            note(&book);
        }
        if large && (*size >= options.large_at || *size == most) {
            large = false;
            play.large(&mut book).await?;
            note(&book);
        }
    }
    if has(Part::Rack) {
        play.rack(&mut book).await?;
        note(&book);
    }
    if has(Part::Cold) {
        play.cold(&mut book).await?;
        note(&book);
    }
    book.enter(By::Once("all"), UNLIKE.trim_start_matches("all: "), "times", &[play.unlike as f64]);
    book.enter(By::Once("all"), "chunks of one version that were unlike", "times", &[play.chunks as f64]);
    note(&book);
    Ok(())
}

/// Names are drawn by it.
const SEED: u64 = 1;

struct Play<'a> {
    options: &'a Options,
    scene: Scene,
    operator: Operator,
    load: Option<Load>,
    every: Duration,
    unlike: usize,
    chunks: u64,
}

/// What was seen over a span.
struct Span {
    applied: Vec<Applied>,
    seen: Seen,
    nodes: Vec<usize>,
    before: Look,
    after: Look,
    leader: Option<usize>,
    /// Of each real node without load in each second, sent and received.
    seconds: Vec<(f64, f64)>,
    /// How long that was, with the wait until all had the last change.
    secs: f64,
}

/// Looks at what goes over the links, each second, until it is dropped.
struct Sampler(JoinHandle<()>, Arc<Mutex<Vec<Links>>>);

/// What each link has carried.
type Links = HashMap<(usize, usize), Carried>;

impl Drop for Sampler {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Sampler {
    fn of(net: &Net) -> Sampler {
        let (net, all) = (net.clone(), Arc::new(Mutex::new(vec![net.carried()])));
        let into = all.clone();
        let task = tokio::spawn(async move {
            loop {
                sleep(SECOND).await;
                into.lock().unwrap_or_else(PoisonError::into_inner).push(net.carried());
            }
        });
        Sampler(task, all)
    }

    /// Bytes that each of these sent and received in each second.
    fn seconds(&self, nodes: std::ops::Range<usize>) -> Vec<(f64, f64)> {
        let all = self.1.lock().unwrap_or_else(PoisonError::into_inner);
        let of = |look: &Links, i: usize, from: bool| {
            let mine = look.iter().filter(|((a, b), _)| if from { *a == i } else { *b == i });
            mine.map(|(_, c)| c.bytes + c.streamed).sum::<u64>()
        };
        let second = |w: &[Links], i: usize| {
            let part = |from| (of(&w[1], i, from) - of(&w[0], i, from)) as f64;
            (part(true), part(false))
        };
        all.windows(2).flat_map(|w| nodes.clone().map(move |i| second(w, i))).collect()
    }
}

impl<'a> Play<'a> {
    async fn start(options: &'a Options, most: usize, records: Records) -> Result<Play<'a>, Error> {
        let real = usize::from(options.real);
        let layout = Layout {
            real,
            keepers: usize::from(options.keepers),
            hollow: most - real,
            hosts: usize::from(options.hosts),
            processes: true,
            budgets: 1,
            whole: 2 * most as u32,
            demand_ms: 0,
            seed: 28,
            speaks: Speaks::Asks,
            catalog: Some(""),
            records: records.all(),
        };
        let scene = layout.start().await?;
        scene.rig.until("a keeper that leads", async || scene.rig.leader().is_some()).await;
        let load = Some(Load::before(&scene.rig, Whole::new(records, SEED).told).await?);
        let operator = Operator::beside(&scene, Whole::new(records, SEED))?;
        let every = Duration::from_millis(options.every);
        Ok(Play { options, scene, operator, load, every, unlike: 0, chunks: 0 })
    }

    /// Hollow nodes start until there are so many nodes.
    async fn join(&mut self, size: usize) -> Result<(), Error> {
        if self.operator.revision > 0 {
            self.scene.found().await?;
        }
        let there = self.scene.hollow().len();
        let new: Vec<usize> = (there..size.saturating_sub(self.scene.rig.nodes)).collect();
        let over = Duration::from_secs(self.options.join);
        self.scene.join(&new, over).await?;
        sleep(over + SECOND).await;
        Ok(())
    }

    /// The whole has so many records from now on, on all nodes.
    async fn grown(&mut self, records: Records) -> Result<Applied, Error> {
        self.operator.whole = Whole::new(records, SEED);
        let (applied, mut seen) = (self.operator.apply().await?, Seen::default());
        self.scene.all_have(applied.revision, &mut seen, BOUND).await?;
        self.judge(&seen).await?;
        Ok(applied)
    }

    /// Versions that nodes had in force are those of the keepers.
    async fn judge(&mut self, seen: &Seen) -> Result<(), Error> {
        let (rows, _) = self.operator.client.history(256).await?;
        let digests: BTreeMap<u64, u64> =
            rows.iter().map(|r| (r.revision.0, r.digest.first_64_bits())).collect();
        self.unlike += seen.unlike(&digests);
        self.chunks += seen.versions.unlike;
        Ok(())
    }

    /// Does something, and sees what it comes to until all have it.
    async fn span(
        &mut self,
        work: impl AsyncFnOnce(&mut Operator, &mut Scene) -> Result<Vec<Applied>, Error>,
    ) -> Result<Span, Error> {
        self.scene.versions(&mut Seen::default()).await?;
        let (mut seen, start) = (Seen::default(), Instant::now());
        let before = self.scene.look().await?;
        let sampler = Sampler::of(&self.scene.rig.net);
        let applied = work(&mut self.operator, &mut self.scene).await?;
        let after = self.scene.look().await?;
        match applied.iter().map(|a| a.revision).max() {
            Some(last) => drop(self.scene.all_have(last, &mut seen, BOUND).await?),
            None => self.scene.versions(&mut seen).await?,
        }
        let secs = start.elapsed().as_secs_f64();
        self.judge(&seen).await?;
        let seconds = sampler.seconds(QUIET..self.scene.rig.nodes);
        let (nodes, leader) = (self.scene.nodes(), self.scene.rig.leader());
        Ok(Span { applied, seen, nodes, before, after, leader, seconds, secs })
    }

    /// Changes of one quota, one every so often.
    async fn changes(&mut self, count: u32) -> Result<Span, Error> {
        let every = self.every;
        self.span(async move |operator, _| {
            let mut all = Vec::new();
            for _ in 0..count {
                let due = Instant::now() + every;
                all.push(operator.change().await?);
                sleep_until(due).await;
            }
            Ok(all)
        })
        .await
    }

    async fn records(&mut self, book: &mut Book, records: Records) -> Result<(), Error> {
        println!("{} records, {} nodes:", records.all(), self.scene.nodes().len());
        self.grown(records).await?;
        let span = self.changes(4).await?;
        let by = By::Records(records.all());
        self.spread(book, by, &span);
        book.fetched(by, &span.seen.versions.fetched, span.applied.len());
        Ok(())
    }

    fn spread(&self, book: &mut Book, by: By, span: &Span) {
        book.spread(by, &span.applied, &span.seen, &span.nodes, &self.scene.agreed());
    }

    async fn nodes(&mut self, book: &mut Book, size: usize) -> Result<(), Error> {
        println!("{size} nodes:");
        let mut load = self.load.take().ok_or("no load")?;
        let (rest, changes) = (Duration::from_secs(self.options.rest), self.options.changes);
        let quiet = self.span(async |_, _| {
            sleep(rest).await;
            Ok(Vec::new())
        });
        let ((done, beats), quiet) = tokio::join!(load.play(rest), quiet);
        let (quiet, by) = (quiet?, By::Nodes(size));
        self.used(book, by, "without changes", &quiet);
        book.requests(by, "without changes", &done);
        felt(book, by, "without changes", &beats);
        let playing = load.play(self.every * changes);
        let ((done, beats), span) = tokio::join!(playing, self.changes(changes));
        let span = span?;
        self.used(book, by, "with changes", &span);
        book.requests(by, "with changes", &done);
        felt(book, by, "with changes", &beats);
        self.spread(book, by, &span);
        book.fetched(by, &span.seen.versions.fetched, span.applied.len());
        self.load = Some(load);
        Ok(())
    }

    /// What processes used, and nodes sent and received, over a span.
    fn used(&self, book: &mut Book, by: By, when: &str, span: &Span) {
        let usage = span.after.since(&span.before);
        let nodes = self.scene.rig.nodes;
        let mut enter = |who: &str, what: &str, unit, all: &[f64]| {
            book.enter(by, &format!("{who}, {when}: {what}"), unit, all);
        };
        let mut process = |who: &str, all: &[Usage]| {
            enter(
                who,
                "processor time",
                "% of a core",
                &all.iter().map(|u| u.cpu * 100.0).collect::<Vec<_>>(),
            );
            enter(who, "memory", "MB", &all.iter().map(|u| u.rss_kb / 1_024.0).collect::<Vec<_>>());
        };
        process("real node", &usage[QUIET..nodes]);
        for k in nodes..usage.len() {
            process(if Some(k) == span.leader { "leading keeper" } else { "other keeper" }, &usage[k..=k]);
        }
        let kb = |all: &[f64]| all.iter().map(|b| b / 1e3).collect::<Vec<_>>();
        let (sent, received): (Vec<f64>, Vec<f64>) = span.seconds.iter().copied().unzip();
        let worst = |all: &[f64]| [all.iter().copied().fold(0.0, f64::max)];
        let mean = |all: &[f64]| [all.iter().sum::<f64>() / all.len().max(1) as f64];
        enter("real node", "bytes sent", "KB/s", &kb(&mean(&sent)));
        enter("real node", "bytes received", "KB/s", &kb(&mean(&received)));
        enter("real node", "bytes sent in the worst second", "KB/s", &kb(&worst(&sent)));
        enter("real node", "bytes received in the worst second", "KB/s", &kb(&worst(&received)));
        let flow = span.seen.versions.flow;
        let each = span.secs * self.scene.hollow().len().max(1) as f64;
        enter("hollow node", "bytes sent", "KB/s", &kb(&[flow.all.0 as f64 / each]));
        enter("hollow node", "bytes received", "KB/s", &kb(&[flow.all.1 as f64 / each]));
        enter("hollow node", "bytes sent in the worst second", "KB/s", &kb(&[flow.worst.0 as f64]));
        enter("hollow node", "bytes received in the worst second", "KB/s", &kb(&[flow.worst.1 as f64]));
        let (_, busiest) = span.after.hosts_since(&span.before);
        enter("busiest host of hollow nodes", "processor time", "% of a core", &[busiest * 100.0]);
    }

    /// A change of many records, and many changes in a row.
    async fn large(&mut self, book: &mut Book) -> Result<(), Error> {
        println!("a change of {LARGE} records, {} nodes:", self.scene.nodes().len());
        let large = self.span(async |operator, _| Ok(vec![operator.change_many(LARGE).await?])).await?;
        let by = By::Once("a change of 5,000 records");
        self.spread(book, by, &large);
        book.fetched(by, &large.seen.versions.fetched, 1);
        self.used(book, by, "meanwhile", &large);
        println!("{BURST} changes in a row:");
        let burst = self.span(async |operator, _| operator.burst(BURST).await).await?;
        let by = By::Once("100 changes in a row");
        let (first, last) = (burst.applied.first(), burst.applied.last());
        if let (Some(first), Some(last)) = (first, last) {
            book.enter(by, "all agreed within", "s", &[(last.span.1 - first.span.0) as f64 / 1e6]);
        }
        self.spread(book, by, &burst);
        book.fetched(by, &burst.seen.versions.fetched, BURST);
        Ok(())
    }

    /// A rack and the leading keeper are lost while changes go on.
    async fn rack(&mut self, book: &mut Book) -> Result<(), Error> {
        println!("a rack of {RACK} and the leading keeper are lost:");
        let gone: Vec<usize> = self.scene.zone(1).into_iter().take(RACK).collect();
        let (rack, every) = (gone.clone(), self.every);
        let mut keeper = None;
        let span = self
            .span(async |operator, scene| {
                let mut all = Vec::new();
                for n in 0..6 {
                    let due = Instant::now() + every;
                    if n == 2 {
                        let losing = async {
                            sleep(LOST).await;
                            keeper = scene.kill_leader();
                            scene.kill(&rack).await
                        };
                        let (applied, lost) = tokio::join!(operator.change(), losing);
                        lost?;
                        all.push(applied?);
                    } else {
                        all.push(operator.change().await?);
                    }
                    sleep_until(due).await;
                }
                Ok(all)
            })
            .await?;
        let by = By::Once("a rack and the leading keeper lost");
        self.spread(book, by, &span);
        book.fetched(by, &span.seen.versions.fetched, span.applied.len());
        if let Some(k) = keeper {
            self.scene.back(k);
            sleep(Duration::from_secs(3)).await;
        }
        self.scene.found().await?;
        self.scene.join(&gone, SECOND).await?;
        sleep(SECOND * 2).await;
        Ok(())
    }

    /// All nodes are gone, and start at once: real ones as processes.
    async fn cold(&mut self, book: &mut Book) -> Result<(), Error> {
        let (hollow, real) = (self.scene.hollow(), self.scene.rig.all_nodes());
        println!("{} nodes start at once:", hollow.len() + real.len());
        self.load = None;
        self.scene.kill(&hollow).await?;
        real.iter().for_each(|i| self.scene.rig.kill(*i));
        sleep(SECOND).await;
        self.scene.versions(&mut Seen::default()).await?;
        let (alone, mut seen) = (self.scene.real_alone(), Seen::default());
        let first = self.scene.look().await?;
        let mut before = first.clone();
        let (began, start) = (now(), Instant::now());
        self.scene.begin(&hollow, Duration::ZERO, Begin::Cold).await?;
        real.iter().for_each(|i| self.scene.rig.restart(*i));
        let (nodes, newest) = (self.scene.nodes(), self.operator.revision);
        let mut peaks = [(0.0f64, 0.0f64); 2];
        let at = loop {
            sleep(SECOND / 4).await;
            self.scene.versions(&mut seen).await?;
            seen.real = self.scene.real_reached(0);
            seen.real.retain(|r| r.at >= began);
            let look = self.scene.look().await?;
            let usage = look.since(&before);
            let keepers = self.scene.rig.nodes..usage.len();
            for (peak, of) in peaks.iter_mut().zip([0..self.scene.rig.nodes, keepers]) {
                for u in &usage[of] {
                    *peak = (peak.0.max(u.cpu * 100.0), peak.1.max(u.rss_kb / 1_024.0));
                }
            }
            before = look;
            let first = seen.first(newest);
            let mut at: Vec<f64> =
                nodes.iter().filter_map(|n| first.get(n)).map(|t| (*t - began) as f64 / 1e6).collect();
            at.sort_by(f64::total_cmp);
            if at.len() == nodes.len() || start.elapsed() >= COLD {
                break at;
            }
        };
        self.judge(&seen).await?;
        let by = By::Once("all start at once");
        let fetched = &seen.versions.fetched;
        let mut enter = |what: &str, unit, v: f64| book.enter(by, what, unit, &[v]);
        enter("nodes", "nodes", nodes.len() as f64);
        enter("nodes without the newest at the end of the wait", "nodes", (nodes.len() - at.len()) as f64);
        for (what, share) in [("half", 0.5), ("99 of 100", 0.99), ("all", 1.0)] {
            // Only where so many have it.
            let n = (share * nodes.len() as f64).ceil() as usize;
            if let Some(t) = at.get(n.saturating_sub(1)) {
                enter(&format!("{what} have the newest after"), "s", *t);
            }
        }
        enter("hollow nodes that went without it at first", "nodes", seen.versions.alone as f64);
        enter("real nodes that went without it at first", "nodes", (self.scene.real_alone() - alone) as f64);
        let count = |how: How| fetched.iter().filter(|f| f.how == how).count() as f64;
        enter("asks by stream", "asks", fetched.len() as f64);
        enter("asks that were told to come later", "asks", count(How::Later));
        enter("asks for the newest number that had none", "asks", count(How::NoNewest));
        enter("asks that failed", "asks", count(How::Failed));
        let chunks = fetched.iter().filter(|f| f.how == How::Chunks);
        enter("asks under way at one keeper at a time, most", "asks", most_at_once(chunks.clone()));
        let bytes = |all: &mut dyn Iterator<Item = u64>| all.sum::<u64>() as f64 / 1e6;
        enter("streams to hollow nodes", "MB", bytes(&mut fetched.iter().map(|f| f.bytes.0 + f.bytes.1)));
        let a_node = bytes(&mut chunks.map(|f| f.bytes.1)) / hollow.len().max(1) as f64;
        enter("a snapshot, a hollow node", "MB", a_node);
        enter(
            "hollow node, bytes received in the worst second",
            "KB/s",
            seen.versions.flow.worst.1 as f64 / 1e3,
        );
        for (who, (cpu, mb)) in ["real node", "keeper"].iter().zip(peaks) {
            enter(&format!("{who}, most processor time over a look"), "% of a core", cpu);
            enter(&format!("{who}, most memory"), "MB", mb);
        }
        let busiest = before.hosts_since(&first).1 * 100.0;
        enter("busiest host of hollow nodes, mean processor time", "% of a core", busiest);
        Ok(())
    }
}

fn felt(book: &mut Book, by: By, when: &str, beats: &[super::node::pulse::Beat]) {
    if let Some(ms) = config_load::longest(beats) {
        book.enter(by, &format!("real node, {when}: it was at something else, longest"), "ms", &[ms]);
    }
}
