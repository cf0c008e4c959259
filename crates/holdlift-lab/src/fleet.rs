//! The experiment on fleet-wide budgets: real processes in zones, skewed demand, and a day of faults, with the ways that
//! there are without a book beside it; and the demo.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde::Deserialize;
use tokio::time::sleep;

use crate::experiment::{ExperimentError, interval};
use crate::probe::{self, Usage};
use crate::rig::load::Load;
use crate::rig::net::Fault;
use crate::rig::{Plan, Rig, Whole};

/// How long the skewed demand is measured.
const MEASURE: Duration = Duration::from_secs(4);
/// Use is looked at over so long when the time to its return is taken.
const LOOK: Duration = Duration::from_millis(500);
/// The share of the whole that is good use.
const GOOD: f64 = 0.95;

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// `fleet-budgets`.
    pub kind: String,
    /// What it is to show.
    pub about: String,
    /// Seeds; each run is repeated with each.
    pub seeds: Vec<u64>,
    /// Processes.
    pub nodes: usize,
    /// Zones that they go round.
    pub zones: usize,
    /// Keepers of the run that has them.
    pub keepers: usize,
    /// Calls under way to the service, over all nodes; it slows down beyond.
    pub whole: u32,
    /// Ms.
    pub base_ms: u64,
    /// How much slower a crowd of twice the whole makes the service.
    pub thrash: f64,
    /// Ms.
    pub longest_ms: u64,
    /// Ms.
    pub lease_ms: u64,
    /// Ms.
    pub transit_ms: u64,
    /// Requests a second, over all nodes.
    pub per_s: f64,
    /// The share of them that the first zone gets.
    pub skew: f64,
    /// The ways.
    pub runs: Vec<Run>,
}

/// One way.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Its name.
    pub name: String,
    /// With the book.
    #[serde(default)]
    pub book: bool,
    /// Each node's own limit.
    pub limit: Option<u32>,
}

/// What was seen with one seed.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Share of the whole in use under skewed demand; over 1 where it was exceeded.
    pub used: f64,
    /// Share of the requests served with their call.
    pub served: f64,
    /// Most under way, over all.
    pub most: u32,
    /// Calls that came when the whole was all out.
    pub excess: u32,
    /// From the death of a third until good use, s; and from their return.
    pub after_deaths: f64,
    pub after_join: f64,
}

impl Experiment {
    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(|e| ExperimentError::Read(path.to_owned(), e))?;
        toml::from_str(&text).map_err(|e| ExperimentError::Bad(path.to_owned(), e.to_string()))
    }

    /// One run after the other, seed after seed: they would disturb each other.
    pub async fn play(&self, quick: bool) -> Vec<(String, Vec<Seen>)> {
        let seeds = if quick { &self.seeds[..1] } else { &self.seeds[..] };
        let mut all = Vec::new();
        for run in &self.runs {
            let mut seen = Vec::new();
            // The faults are the book's to bear; the others show what it is measured against.
            for seed in if run.book { seeds } else { &seeds[..seeds.len().min(3)] } {
                seen.push(self.once(run, *seed).await);
                println!("{} seed {seed}: {:?}", run.name, seen.last());
            }
            all.push((run.name.clone(), seen));
        }
        all
    }

    async fn once(&self, run: &Run, seed: u64) -> Seen {
        let plan = Plan {
            nodes: self.nodes,
            zones: self.zones,
            keepers: if run.book { self.keepers } else { 0 },
            seed,
            lease_ms: self.lease_ms,
            transit_ms: self.transit_ms,
            budgets: vec![Whole::Slots { slots: self.whole, longest_ms: self.longest_ms }],
            base_ms: self.base_ms,
            limit: run.limit,
            service: Some((self.whole as usize, self.thrash)),
            ..Plan::default()
        };
        let mut rig = plan.start().await;
        rig.tier.counts.allow(self.whole, u32::MAX);
        let hot = rig.zone("z0");
        let rate = |i: usize| {
            let (share, n) = if hot.contains(&i) {
                (self.skew, hot.len())
            } else {
                (1.0 - self.skew, self.nodes - hot.len())
            };
            self.per_s * share / n as f64
        };
        let rates: Vec<f64> = (0..self.nodes).map(rate).collect();
        let load = Load::start(&rig, &rates, seed);
        let mut seen = Seen::default();
        sleep(Duration::from_secs(5)).await;
        let tally = |load: &Load| {
            let t = &load.tally;
            (t.whole.load(Ordering::SeqCst), t.asked.load(Ordering::SeqCst))
        };
        let before = tally(&load);
        seen.used = self.used(&rig, MEASURE).await;
        let after = tally(&load);
        seen.served = (after.0 - before.0) as f64 / (after.1 - before.1).max(1) as f64;
        // A third die at once, in all zones.
        let third: Vec<usize> = (0..self.nodes).filter(|i| i % (self.zones + 1) == 1).collect();
        let third = if third.len() * 3 < self.nodes { (0..self.nodes / 3).collect() } else { third };
        third.iter().for_each(|i| rig.kill(*i));
        let even = |n: usize| vec![self.per_s / n as f64; self.nodes];
        let mut rest = even(self.nodes - third.len());
        third.iter().for_each(|i| rest[*i] = 0.0);
        load.rates(&rest);
        seen.after_deaths = self.until_used(&rig).await;
        third.iter().for_each(|i| rig.restart(*i));
        let join = Instant::now();
        for i in &third {
            rig.ready(*i).await;
        }
        load.rates(&even(self.nodes));
        self.until_used(&rig).await;
        seen.after_join = join.elapsed().as_secs_f64();
        if run.book {
            self.faults(&mut rig).await;
        }
        let counted = rig.tier.counts.counted();
        (seen.most, seen.excess) = (counted.most, counted.excess);
        seen
    }

    /// A zone cut off, a rolling deploy of all, stops and continues, keepers killed in turn.
    async fn faults(&self, rig: &mut Rig) {
        let zone = rig.zone("z1");
        let others: Vec<usize> = (0..rig.procs.len()).filter(|i| !zone.contains(i)).collect();
        rig.net.between(&zone, &others, Fault { cut: true, ..Fault::default() });
        let lease = Duration::from_millis(self.lease_ms);
        sleep(lease * 2).await;
        rig.net.heal();
        sleep(lease / 2).await;
        for batch in rig.all_nodes().chunks(3) {
            batch.iter().for_each(|i| rig.signal(*i, "-TERM"));
            for i in batch {
                rig.leave(*i).await;
                rig.restart(*i);
            }
        }
        for i in [0, 5, 10] {
            rig.stop(i % self.nodes);
            sleep(lease / 3).await;
        }
        sleep(lease).await;
        [0, 5, 10].into_iter().for_each(|i| rig.go_on(i % self.nodes));
        for k in rig.keepers() {
            rig.kill(k);
            sleep(lease).await;
            rig.restart(k);
            sleep(lease / 2).await;
        }
        sleep(lease * 2).await;
    }

    async fn used(&self, rig: &Rig, span: Duration) -> f64 {
        let (before, start) = (rig.tier.counts.counted().area, Instant::now());
        sleep(span).await;
        (rig.tier.counts.counted().area - before) / start.elapsed().as_secs_f64() / f64::from(self.whole)
    }

    /// Until the use over the last [`LOOK`] is good, looked at ten times as often.
    async fn until_used(&self, rig: &Rig) -> f64 {
        let start = Instant::now();
        let mut spans = std::collections::VecDeque::new();
        while start.elapsed() < Duration::from_secs(20) {
            spans.push_back(self.used(rig, LOOK / 10).await);
            if spans.len() > 10 {
                spans.pop_front();
            }
            if spans.len() == 10 && spans.iter().sum::<f64>() / 10.0 >= GOOD {
                return start.elapsed().as_secs_f64();
            }
        }
        f64::INFINITY
    }

    /// A Markdown page, and the claims: what each says, its figure, and whether it is kept.
    pub fn report(&self, name: &str, all: &[(String, Vec<Seen>)]) -> (String, Vec<(String, f64, bool)>) {
        let mut t = format!(
            "# {name}\n\n{}\n\n| way | seeds | whole in use | served | most under way (whole {}) | calls beyond the whole | \
             s to 0.95 after a third died | s to 0.95 after they came back |\n|---|---|---|---|---|---|---|---|\n",
            self.about, self.whole
        );
        let of = |seen: &[Seen], f: fn(&Seen) -> f64| {
            let (mean, half) = interval(&seen.iter().map(f).collect::<Vec<_>>());
            if seen.len() > 1 { format!("{mean:.3} ± {half:.3}") } else { format!("{mean:.3}") }
        };
        for (run, seen) in all {
            t += &format!(
                "| {run} | {} | {} | {} | {} | {} | {} | {} |\n",
                seen.len(),
                of(seen, |s| s.used),
                of(seen, |s| s.served),
                seen.iter().map(|s| s.most).max().unwrap_or(0),
                seen.iter().map(|s| s.excess).sum::<u32>(),
                of(seen, |s| s.after_deaths),
                of(seen, |s| s.after_join)
            );
        }
        let book: Vec<&Seen> =
            self.runs.iter().zip(all).filter(|(r, _)| r.book).flat_map(|(_, a)| &a.1).collect();
        let excess = book.iter().map(|s| s.excess).sum::<u32>();
        let used = book.iter().map(|s| s.used).sum::<f64>() / book.len().max(1) as f64;
        let worst = book.iter().map(|s| s.after_deaths).fold(0.0, f64::max);
        // A dead node's calls may run below until their longest time: their slots can't be had before.
        let by = (self.lease_ms + self.longest_ms) as f64 / 1e3 + 1.0;
        let claims = vec![
            ("calls beyond the whole, with the book".to_owned(), f64::from(excess), excess == 0),
            (format!("share of the whole in use under skewed demand, {GOOD} at least"), used, used >= GOOD),
            (
                format!("s from deaths to {GOOD} in use, the longest; lease + longest call + 1 = {by}"),
                worst,
                worst <= by,
            ),
        ];
        t += "\n| claim | figure | |\n|---|---|---|\n";
        for (says, figure, kept) in &claims {
            t += &format!("| {says} | {figure:.3} | {} |\n", if *kept { "kept" } else { "broken" });
        }
        (t, claims)
    }
}

/// What being a member costs a node that nobody asks anything: share of a core, KiB and wakes a second, each the mean over the
/// nodes, without a fleet and with it.
pub async fn idle(nodes: usize, span: Duration) -> [Usage; 2] {
    let mut both = [Usage::default(); 2];
    for (keepers, mean) in [0, 3].into_iter().zip(&mut both) {
        let rig = Plan { nodes, keepers, lease_ms: 3_000, ..Plan::default() }.start().await;
        // Until all know all.
        sleep(Duration::from_secs(10)).await;
        let pids: Vec<u32> = (0..nodes).filter_map(|i| rig.pid(i)).collect();
        let watched = pids.iter().map(|pid| probe::watch(*pid, span));
        for u in futures_util::future::join_all(watched).await {
            mean.cpu += u.cpu / nodes as f64;
            mean.rss_kb += u.rss_kb / nodes as f64;
            mean.wakes += u.wakes / nodes as f64;
        }
    }
    both
}

/// A small fleet at work, with faults, for somebody who looks on; it ends by itself. False where the whole was exceeded.
pub async fn demo() -> bool {
    let slots = 24;
    println!(
        "starting 6 nodes in 3 zones, 3 keepers, one service below that may have {slots} calls at a time ..."
    );
    let plan = Plan {
        nodes: 6,
        budgets: vec![Whole::Slots { slots, longest_ms: 1_500 }],
        service: Some((slots as usize, 1.0)),
        ..Plan::default()
    };
    let mut rig = plan.start().await;
    rig.tier.counts.allow(slots, u32::MAX);
    let load = Load::start(&rig, &[60.0; 6], 1);
    let mut before = (0, 0);
    for second in 0..28 {
        let event = match second {
            7 => {
                rig.kill(0);
                "n0 is killed; its share comes free when its lease has ended"
            }
            13 => {
                rig.restart(0);
                "n0 comes back under its name, as a new process"
            }
            17 => {
                let zone = rig.zone("z1");
                let others: Vec<usize> = (0..rig.procs.len()).filter(|i| !zone.contains(i)).collect();
                rig.net.between(&zone, &others, Fault { cut: true, ..Fault::default() });
                "zone z1 (n1, n4) is cut off from all others"
            }
            23 => {
                rig.net.heal();
                "the cut is healed"
            }
            _ => "",
        };
        sleep(Duration::from_secs(1)).await;
        let c = rig.tier.counts.counted();
        let t = &load.tally;
        let now = (t.whole.load(Ordering::SeqCst), t.asked.load(Ordering::SeqCst));
        let mut shares = String::new();
        for i in rig.all_nodes() {
            let p = &rig.procs[i];
            let says = match rig.report(i).await {
                Some(r) => {
                    format!("{}/{}", r["budgets"][0]["out"], r["budgets"][0]["limit"])
                }
                None => "gone".to_owned(),
            };
            shares += &format!(" {}.{} {says:<6}", p.zone, p.name);
        }
        let there = match rig.report(2).await {
            Some(r) => r["members"].as_array().map_or(0, Vec::len),
            None => 0,
        };
        println!(
            "{second:2} s |{shares}| below {:2}/{slots}, beyond {} | there {there} | served {}/s of {}/s {event}",
            c.under_way,
            c.excess,
            now.0 - before.0,
            now.1 - before.1
        );
        before = now;
    }
    let c = rig.tier.counts.counted();
    println!("{} calls below, at most {} at a time, {} beyond the whole", c.all, c.most, c.excess);
    c.excess == 0
}
