//! Hollow nodes beside real ones, at rest: what a node and a keeper use, by the size of the fleet.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use super::fleet_scene::{Layout, Look, Scene, Usage};
use super::hollow_host::Speaks;
use super::record::{Point, Run};
use super::{Error, fleet_stop};

/// What is measured, and where it is kept.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// Nodes, hollow and real together, one size after the other in one run.
    #[arg(long, value_delimiter = ',', default_values_t = [50, 150, 300, 600, 900])]
    pub sizes: Vec<usize>,
    /// Measured at each size for so long, s.
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u64).range(3..=60))]
    pub seconds: u64,
    /// Waited at each size until all know all, s at the most.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..=120))]
    pub settle: u64,
    /// Real nodes.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u8).range(1..=40))]
    pub real: u8,
    /// Real keepers: 1, 3 or 5.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=5))]
    pub keepers: u8,
    /// New nodes of a size start evenly over so long, s.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=120))]
    pub join: u64,
    /// Processes that hold the hollow nodes: few of them are too busy to keep the nodes' paces (5 with 600 nodes and more).
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u8).range(1..=32))]
    pub hosts: u8,
    /// Budgets, those of the zones' returns among them.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u8).range(7..=24))]
    pub budgets: u8,
    /// Another name of the run, where it is kept beside others.
    #[arg(long, default_value = "fleet-sizes")]
    pub name: String,
    /// Keep the run in this folder.
    #[arg(long, value_name = "DIR")]
    pub keep: Option<PathBuf>,
}

/// What hollow nodes leave out, and what a run on one machine does.
#[must_use]
pub fn left_out() -> Vec<String> {
    [
        "hollow nodes run the fleet's decision code and wire form on real sockets, many to one process: no requests, \
         settings, console, reload, or costs of a process of their own",
        "hollow nodes see one good call into each zone in each summary of 250 ms; real nodes are asked nothing",
        "all processes share one machine and its 8 cores; loopback loses and delays nothing but for full queues",
        "between real processes each datagram and stream goes through a relay of the lab; hollow ones speak directly",
        "bytes are those of datagrams and streams, without headers of IP, UDP and TCP; keepers' streams by bytes read",
        "real processes' datagrams are counted at the hollow nodes' sockets and at the relays, not in themselves",
        "wakes are voluntary switches of all threads of a process; processor time is user's and system's by the system",
    ]
    .map(str::to_owned)
    .to_vec()
}

/// Measures.
///
/// # Errors
/// What keeps the run from starting, or from being kept.
pub async fn run(options: Options) -> Result<bool, Error> {
    let argv: Vec<String> = std::env::args().collect();
    let mut run = Run::begin(&options.name, &argv);
    run.left_out = left_out();
    let run = Arc::new(Mutex::new(run));
    let ended = fleet_stop::until_told(sizes(&options, run.clone())).await;
    let mut run = run.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let whole = fleet_stop::judge(ended, &mut run)?;
    if let Some(folder) = &options.keep {
        println!("kept as {}", run.keep(folder)?.display());
    }
    Ok(whole)
}

/// One size after the other; each is entered as soon as it is measured.
async fn sizes(options: &Options, run: Arc<Mutex<Run>>) -> Result<(), Error> {
    let real = usize::from(options.real);
    let most = options.sizes.iter().copied().max().unwrap_or(0);
    if options.sizes.iter().any(|s| *s <= real) || !options.sizes.is_sorted() {
        return Err(format!("sizes must grow, and be above the {real} real nodes").into());
    }
    let layout = Layout {
        real,
        keepers: usize::from(options.keepers),
        hollow: most - real,
        hosts: usize::from(options.hosts),
        processes: true,
        budgets: usize::from(options.budgets),
        whole: 2 * most as u32,
        demand_ms: 0,
        seed: 28,
        speaks: Speaks::All,
        catalog: None,
        records: 0,
    };
    let mut scene = layout.start().await?;
    let (mut table, mut hollow) = (Table::default(), 0);
    for size in &options.sizes {
        let new: Vec<usize> = (hollow..size - real).collect();
        hollow = size - real;
        scene.join(&new, Duration::from_secs(options.join)).await?;
        let known = scene.known(hollow, Duration::from_secs(options.join + options.settle)).await?;
        let members = scene.real_members().await;
        sleep(Duration::from_secs(3)).await;
        let leader = scene.rig.leader();
        let mut looks = vec![scene.look().await?];
        for _ in 0..3 {
            sleep(Duration::from_secs_f64(options.seconds as f64 / 3.0)).await;
            looks.push(scene.look().await?);
        }
        let at = Measured {
            size: *size,
            hollow,
            looks,
            leader: leader.filter(|l| Some(*l) == scene.rig.leader()),
        };
        at.print();
        let k = known.last;
        println!(
            "  all known: 99% after {:?} s, all after {:?} s; {} pairs unknown, {} known that are gone; real nodes know {:?}",
            known.most_s, known.all_s, k.missing, k.extra, members
        );
        let x = *size as f64;
        table.enter("pairs of nodes unknown to one after the wait", "pairs", x, &[k.missing as f64]);
        if let Some(s) = known.all_s {
            table.enter("until all knew all, from the start of the joins", "s", x, &[s]);
        }
        at.enter(&mut table, &scene);
        let (most, wholes) = scene.most();
        for (most, whole) in most.iter().zip(wholes) {
            table.enter(
                "most lent at one moment against the whole",
                "share",
                x,
                &[*most as f64 / f64::from(whole)],
            );
        }
        let mut run = run.lock().unwrap_or_else(PoisonError::into_inner);
        run.series.clear();
        table.write(&mut run);
    }
    Ok(())
}

/// Points by the name of their series; entries of one name and size are measurements of one point.
#[derive(Default)]
pub struct Table(Vec<Row>);

/// A series' name and unit, and what was measured at each size.
type Row = (String, &'static str, Vec<(f64, Vec<f64>)>);

impl Table {
    /// Measurements of a series at a size.
    pub fn enter(&mut self, name: &str, unit: &'static str, x: f64, measured: &[f64]) {
        let row = match self.0.iter().position(|(n, ..)| n == name) {
            Some(i) => &mut self.0[i],
            None => {
                self.0.push((name.to_owned(), unit, Vec::new()));
                self.0.last_mut().expect("it was put there")
            }
        };
        match row.2.iter_mut().find(|(at, _)| *at == x) {
            Some((_, all)) => all.extend(measured),
            None => row.2.push((x, measured.to_vec())),
        }
    }

    /// Enters all series in a run, by nodes.
    pub fn write(&self, run: &mut Run) {
        self.write_by(run, "nodes");
    }

    /// Enters all series in a run, by what their sizes count.
    pub fn write_by(&self, run: &mut Run, by: &str) {
        for (name, unit, points) in &self.0 {
            let points = points.iter().map(|(x, measured)| Point::of(*x, measured)).collect();
            run.series(name, by, unit, points);
        }
    }
}

/// What was measured at one size.
struct Measured {
    size: usize,
    hollow: usize,
    looks: Vec<Look>,
    /// The keeper that led all the while.
    leader: Option<usize>,
}

impl Measured {
    fn whole(&self) -> Vec<Usage> {
        self.looks[self.looks.len() - 1].since(&self.looks[0])
    }

    /// What hollow nodes sent a second by kind, a node: messages and bytes.
    fn kinds(&self) -> Vec<(String, f64, f64)> {
        let (first, last) = (&self.looks[0], &self.looks[self.looks.len() - 1]);
        let per = last.secs(first) * self.hollow.max(1) as f64;
        let of = |(kind, both): (&String, &(super::hollow_host::Carried, _))| {
            let before = first.counts.kinds.get(kind).map(|b| b.0).unwrap_or_default();
            let c = both.0.since(before);
            (kind.clone(), c.messages as f64 / per, c.bytes as f64 / per)
        };
        last.counts.kinds.iter().map(of).collect()
    }

    fn print(&self) {
        let (all, real) = (self.whole(), self.whole().len());
        println!("{} nodes, of which {} hollow", self.size, self.hollow);
        for (i, u) in all.iter().enumerate().filter(|(i, _)| *i < 2 || *i + 5 >= real) {
            println!(
                "  {}{}: {:.2}% of a core, {:.1} MB, {:.0} wakes/s, sent {:.0}/s {:.1} KB/s, received {:.0}/s {:.1} KB/s, \
                 streamed {:.1} KB/s, written {:.1} KB/s, dropped {}",
                i,
                if self.leader == Some(i) { " (leads)" } else { "" },
                u.cpu * 100.0,
                u.rss_kb / 1_024.0,
                u.wakes,
                u.sent.0,
                u.sent.1 / 1e3,
                u.received.0,
                u.received.1 / 1e3,
                u.streamed / 1e3,
                u.written / 1e3,
                u.dropped
            );
        }
        let (first, last) = (&self.looks[0], &self.looks[self.looks.len() - 1]);
        println!(
            "  hosts: {:.2} cores, the busiest {:.2}, {:.3}% a hollow node, {:.0} MB in all; books on disk {:?}; drops {:?}; refuted {}, unsent {}",
            last.hosts_since(first).0,
            last.hosts_since(first).1,
            last.hosts_since(first).0 * 100.0 / self.hollow as f64,
            last.hosts.iter().map(|h| h.rss_kb).sum::<f64>() / 1_024.0,
            last.books,
            last.dropped,
            last.counts.refuted - first.counts.refuted,
            last.counts.unsent
        );
        for (kind, messages, bytes) in self.kinds() {
            println!("  a hollow node sends {kind}: {messages:.2}/s, {bytes:.0} B/s");
        }
    }

    fn enter(&self, table: &mut Table, scene: &Scene) {
        let x = self.size as f64;
        let whole = self.whole();
        let nodes = &whole[..scene.rig.nodes];
        usage(table, "real node", x, nodes);
        // A keeper's own spread is that over time.
        let parts: Vec<Vec<Usage>> = self.looks.windows(2).map(|w| w[1].since(&w[0])).collect();
        let of = |who: &dyn Fn(usize) -> bool| -> Vec<Usage> {
            scene
                .rig
                .keepers()
                .into_iter()
                .filter(|k| who(*k))
                .flat_map(|k| parts.iter().map(move |p| p[k]))
                .collect()
        };
        if let Some(leader) = self.leader {
            for (name, who) in
                [("leading keeper", of(&|k| k == leader)), ("other keeper", of(&|k| k != leader))]
            {
                usage(table, name, x, &who);
                let each = |f: fn(&Usage) -> f64| who.iter().map(f).collect::<Vec<_>>();
                if !who.is_empty() {
                    table.enter(&format!("{name}: streams"), "KB/s", x, &each(|u| u.streamed / 1e3));
                    table.enter(&format!("{name}: written to disk"), "KB/s", x, &each(|u| u.written / 1e3));
                }
            }
        }
        let last = &self.looks[self.looks.len() - 1];
        let books: Vec<f64> = last.books.iter().map(|b| *b as f64 / 1e6).collect();
        table.enter("keeper: book on disk", "MB", x, &books);
        for (kind, messages, bytes) in self.kinds() {
            table.enter(&format!("hollow node sends {kind}: messages"), "1/s", x, &[messages]);
            table.enter(&format!("hollow node sends {kind}: bytes"), "KB/s", x, &[bytes / 1e3]);
        }
        let (cores, busiest) = last.hosts_since(&self.looks[0]);
        table.enter("busiest host of hollow nodes: processor time", "% of a core", x, &[busiest * 100.0]);
        table.enter("hollow node: processor time", "% of a core", x, &[cores * 100.0 / self.hollow as f64]);
        let lost: u64 =
            last.dropped.iter().zip(&self.looks[0].dropped).map(|(a, b)| a.saturating_sub(*b)).sum();
        table.enter(
            "datagrams dropped for full queues, all processes",
            "1/s",
            x,
            &[lost as f64 / last.secs(&self.looks[0])],
        );
    }
}

/// The series that nodes and keepers have alike.
pub fn usage(table: &mut Table, name: &str, x: f64, all: &[Usage]) {
    if all.is_empty() {
        return;
    }
    let mut enter = |what: &str, unit, f: fn(&Usage) -> f64| {
        table.enter(&format!("{name}: {what}"), unit, x, &all.iter().map(f).collect::<Vec<_>>());
    };
    enter("processor time", "% of a core", |u| u.cpu * 100.0);
    enter("memory", "MB", |u| u.rss_kb / 1_024.0);
    enter("wakes", "1/s", |u| u.wakes);
    enter("datagrams sent", "1/s", |u| u.sent.0);
    enter("bytes sent", "KB/s", |u| u.sent.1 / 1e3);
    enter("datagrams received", "1/s", |u| u.received.0);
    enter("bytes received", "KB/s", |u| u.received.1 / 1e3);
}
