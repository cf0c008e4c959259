//! The experiment on zones: real processes, a service in each zone that counts what it bears, and the ways there are of leaving
//! a zone and returning to it.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use plotters::prelude::*;
use serde::Deserialize;
use tokio::time::sleep;

use crate::experiment::{ExperimentError, interval};
use crate::rig::load::Load;
use crate::rig::{Plan, Rig, Whole, Zoned};
use crate::standin::Mood;

/// One point of the timeline.
const POINT: Duration = Duration::from_millis(500);
/// Each part of a run, in points.
const SETTLE: usize = 8;
const CROWDED: usize = 20;
const SHARED: usize = 8;
const FAULT: usize = 16;
/// The longest that a return is watched.
const RETURN: usize = 80;
/// The worst of a fault is looked for over so long, in points: 10 s.
const WORST: usize = 20;
/// A service has collapsed where it has so many times what it bears.
const COLLAPSED: f64 = 2.0;

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// `zones`.
    pub kind: String,
    /// What it is to show.
    pub about: String,
    /// Seeds; each run is repeated with each.
    pub seeds: Vec<u64>,
    /// Processes.
    pub nodes: usize,
    /// Zones that they go round.
    pub zones: usize,
    /// Keepers.
    pub keepers: usize,
    /// Calls under way that a zone's service bears.
    pub bears: u32,
    /// Ms.
    pub base_ms: u64,
    /// How much slower a crowd of twice that makes it.
    pub thrash: f64,
    /// How long it warms.
    pub warming_ms: u64,
    /// Requests a second over all nodes: nine tenths of what all services bear.
    pub per_s: f64,
    /// The ways.
    pub runs: Vec<Run>,
}

/// One way.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Its name.
    pub name: String,
    /// The fleet decides as one.
    #[serde(default)]
    pub decided: bool,
    /// A zone is back whole once its time out has passed.
    #[serde(default)]
    pub at_once: bool,
}

/// One point of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Point {
    /// s from the start.
    pub t: f64,
    /// Share of what was asked that was served with its call.
    pub served: f64,
    /// Calls a second that the sick zone's service began.
    pub calls: f64,
    /// Its load over what it bears, cold as it is.
    pub strain: f64,
}

/// What was seen with one seed.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Leavings before the fault.
    pub false_leavings: usize,
    /// From the fault to the first node's leaving and to the last's, s.
    pub left: Option<(f64, f64)>,
    /// Share served before the fault, and in its worst 10 s.
    pub before: f64,
    pub worst: f64,
    /// The service's most load over what it bore, once it was back.
    pub strain: f64,
    /// Times that it collapsed then.
    pub collapses: usize,
    /// From its coming back cold to its whole use by all nodes, s.
    pub whole: Option<f64>,
    /// The timeline.
    pub points: Vec<Point>,
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
        let mut all: Vec<(String, Vec<Seen>)> =
            self.runs.iter().map(|r| (r.name.clone(), Vec::new())).collect();
        for seed in seeds {
            for (run, (_, seen)) in self.runs.iter().zip(&mut all) {
                let s = self.once(run, *seed).await;
                println!(
                    "{} seed {seed}: before {:.3} worst {:.3} left {:?} strain {:.2} collapses {} whole {:?} false {}",
                    run.name, s.before, s.worst, s.left, s.strain, s.collapses, s.whole, s.false_leavings
                );
                seen.push(s);
            }
        }
        all
    }

    async fn once(&self, run: &Run, seed: u64) -> Seen {
        let zoned = Zoned {
            decided: run.decided,
            bears: self.bears,
            out_ms: 2_000,
            step_ms: 1_000,
            trust_ms: 10_000,
            at_once: run.at_once,
        };
        let whole = self.bears * self.zones as u32;
        let all = Whole::ByZone { slots: whole, longest_ms: 1_500 };
        let plan = Plan {
            nodes: self.nodes,
            zones: self.zones,
            keepers: self.keepers,
            seed,
            budgets: if run.decided { vec![all] } else { Vec::new() },
            // Without a fleet each node has its part of what all services bear.
            limit: (!run.decided).then_some(whole / self.nodes as u32),
            base_ms: self.base_ms,
            service: Some((self.bears as usize, self.thrash)),
            zoned: Some(zoned),
            tier: "eject_failures = 5\neject_ms = 1000\n",
            ..Plan::default()
        };
        let rig = plan.start().await;
        let rate = self.per_s / self.nodes as f64;
        let load = Load::start(&rig, &vec![rate; self.nodes], seed);
        let (mut seen, start) = (Seen::default(), Instant::now());
        watch(&rig, &load, start, &mut seen.points, SETTLE).await;
        load.rates(&vec![rate * 1.1 / 0.9; self.nodes]);
        watch(&rig, &load, start, &mut seen.points, CROWDED).await;
        load.rates(&vec![rate; self.nodes]);
        rig.tiers.iter().for_each(|t| t.be(Mood::Grey));
        watch(&rig, &load, start, &mut seen.points, SHARED).await;
        rig.tiers.iter().for_each(|t| t.be(Mood::Fine));
        watch(&rig, &load, start, &mut seen.points, SETTLE).await;
        seen.false_leavings = outs(&rig).len();
        seen.before = mean(&seen.points[SETTLE / 2..SETTLE]);
        let fault = now();
        rig.tiers[0].be([Mood::Resets, Mood::Slow, Mood::Grey][seed as usize % 3]);
        let from = seen.points.len();
        watch(&rig, &load, start, &mut seen.points, FAULT).await;
        let left = outs(&rig);
        if left.len() >= self.nodes {
            let first = left.iter().copied().fold(f64::INFINITY, f64::min);
            let last = left.iter().copied().fold(0.0, f64::max);
            seen.left = Some((first - fault, last - fault));
        }
        rig.tiers[0].warm_in(Duration::from_millis(self.warming_ms));
        rig.tiers[0].be(Mood::Fine);
        let (back, cold) = (seen.points.len(), Instant::now());
        let warming = (self.warming_ms as f64 / 1e3 / POINT.as_secs_f64()) as usize;
        for n in 0..RETURN {
            watch(&rig, &load, start, &mut seen.points, 1).await;
            if seen.whole.is_none() && (!run.decided || all_in(&rig).await) {
                seen.whole = Some(cold.elapsed().as_secs_f64());
            }
            if seen.whole.is_some() && n > warming + 4 {
                break;
            }
        }
        let windows = seen.points[from..].windows(WORST);
        seen.worst = windows.map(mean).fold(f64::INFINITY, f64::min);
        // A call that was under way as it came back is none of its return.
        let after = &seen.points[(back + 2).min(seen.points.len())..];
        seen.strain = after.iter().map(|p| p.strain).fold(0.0, f64::max);
        let over: Vec<bool> = after.iter().map(|p| p.strain >= COLLAPSED).collect();
        seen.collapses =
            over.windows(2).filter(|w| w[1] && !w[0]).count() + usize::from(over.first() == Some(&true));
        seen
    }

    /// A Markdown page, and the claims: what each says, its figure, and whether it is kept.
    pub fn report(&self, name: &str, all: &[(String, Vec<Seen>)]) -> (String, Vec<(String, f64, bool)>) {
        let mut t = format!(
            "# {name}\n\n{}\n\n| way | seeds | served before | served in the worst 10 s | s from fault to first, last node's leaving | \
             most load over what it bore on return | collapses on return | s to whole use | false leavings |\n\
             |---|---|---|---|---|---|---|---|---|\n",
            self.about
        );
        let of = |seen: &[Seen], f: fn(&Seen) -> f64| {
            let (mean, half) = interval(&seen.iter().map(f).collect::<Vec<_>>());
            if seen.len() > 1 { format!("{mean:.3} ± {half:.3}") } else { format!("{mean:.3}") }
        };
        for (run, seen) in all {
            let left: Vec<String> = seen
                .iter()
                .map(|s| s.left.map_or("-".to_owned(), |(a, b)| format!("{a:.2}, {b:.2}")))
                .collect();
            let whole: Vec<String> =
                seen.iter().map(|s| s.whole.map_or("not".to_owned(), |w| format!("{w:.0}"))).collect();
            t += &format!(
                "| {run} | {} | {} | {} | {} | {} | {} | {} | {} |\n",
                seen.len(),
                of(seen, |s| s.before),
                of(seen, |s| s.worst),
                left.join("; "),
                of(seen, |s| s.strain),
                seen.iter().map(|s| s.collapses).sum::<usize>(),
                whole.join("; "),
                seen.iter().map(|s| s.false_leavings).sum::<usize>()
            );
        }
        let way = |decided: bool, at_once: bool| -> Vec<&Seen> {
            let runs =
                self.runs.iter().zip(all).filter(|(r, _)| r.decided == decided && r.at_once == at_once);
            runs.flat_map(|(_, a)| &a.1).collect()
        };
        let (alone, ours) = (way(false, false), way(true, false));
        let most = |f: fn(&Seen) -> f64| ours.iter().map(|s| f(s)).fold(0.0, f64::max);
        let last = most(|s| s.left.map_or(f64::INFINITY, |l| l.1));
        let spread = most(|s| s.left.map_or(f64::INFINITY, |l| l.1 - l.0));
        let lost = |seen: &[&Seen]| {
            seen.iter().map(|s| (s.before - s.worst).max(0.0)).sum::<f64>() / seen.len().max(1) as f64
        };
        let back = 1.0 - lost(&ours) / lost(&alone).max(1e-9);
        let collapses = most(|s| s.collapses as f64);
        let strain = most(|s| s.strain);
        let whole = most(|s| s.whole.unwrap_or(f64::INFINITY));
        let by = 2.0 * self.warming_ms as f64 / 1e3;
        let wrong = ours.iter().map(|s| s.false_leavings).sum::<usize>();
        let claims = vec![
            ("s from the fault to the last node's leaving, under 3".to_owned(), last, last < 3.0),
            ("s between the first and the last, under 0.5".to_owned(), spread, spread < 0.5),
            (
                "share won back of what is lost in the worst 10 s alone, 0.5 at least".to_owned(),
                back,
                back >= 0.5,
            ),
            ("collapses on return".to_owned(), collapses, collapses == 0.0),
            (
                "most load over what the returning service bears, 1 at the most".to_owned(),
                strain,
                strain <= 1.0,
            ),
            (format!("s to its whole use, {by} at the most"), whole, whole <= by),
            ("leavings at 110% and under a shared fault".to_owned(), wrong as f64, wrong == 0),
        ];
        t += "\n| claim | figure | |\n|---|---|---|\n";
        for (says, figure, kept) in &claims {
            t += &format!("| {says} | {figure:.3} | {} |\n", if *kept { "kept" } else { "broken" });
        }
        (t, claims)
    }
}

/// Watches for so many points.
async fn watch(rig: &Rig, load: &Load, start: Instant, points: &mut Vec<Point>, n: usize) {
    for _ in 0..n {
        let count = || {
            let t = &load.tally;
            let done = |c: &std::sync::atomic::AtomicU64| c.load(Ordering::SeqCst);
            (
                done(&t.whole),
                done(&t.whole) + done(&t.poor) + done(&t.refused) + done(&t.lost),
                rig.tiers[0].counts.counted().all,
            )
        };
        rig.tiers[0].strain.store(0, Ordering::SeqCst);
        let (before, at) = (count(), Instant::now());
        sleep(POINT).await;
        let (after, span) = (count(), at.elapsed().as_secs_f64());
        points.push(Point {
            t: start.elapsed().as_secs_f64(),
            served: (after.0 - before.0) as f64 / (after.1 - before.1).max(1) as f64,
            calls: (after.2 - before.2) as f64 / span,
            strain: f64::from(rig.tiers[0].strain.load(Ordering::SeqCst)) / 1e3,
        });
    }
}

fn mean(points: &[Point]) -> f64 {
    points.iter().map(|p| p.served).sum::<f64>() / points.len().max(1) as f64
}

/// s of the day, as logs have it.
fn now() -> f64 {
    (crate::standin::unix_ms() as f64 / 1e3).rem_euclid(86_400.0)
}

/// When each node that has left the first zone did so for the first time, by its log, s of the day.
fn outs(rig: &Rig) -> Vec<f64> {
    let first = |i: usize| {
        let log = rig.log(&rig.procs[i].name);
        let line = log.lines().find(|l| l.contains("zone") && l.contains("-> out"))?;
        let clock = line.split_once('T')?.1.split_once('Z')?.0.to_owned();
        let parts: Vec<f64> = clock.split(':').filter_map(|p| p.parse().ok()).collect();
        Some(parts.iter().fold(0.0, |sum, p| sum * 60.0 + p))
    };
    rig.all_nodes().into_iter().filter_map(first).collect()
}

async fn all_in(rig: &Rig) -> bool {
    for i in rig.all_nodes() {
        if rig.life(i, 0).await.as_deref() != Some("in") {
            return false;
        }
    }
    true
}

/// A chart of the first seed's timeline, a line for each way: what is served, and the load on the sick zone's service.
///
/// # Errors
/// What the drawing library says.
pub fn chart(
    path: &Path,
    title: &str,
    all: &[(String, Vec<Seen>)],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 640)).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(320);
    let end = all.iter().flat_map(|a| &a.1).flat_map(|s| &s.points).map(|p| p.t).fold(1.0, f64::max);
    type Figure = fn(&Point) -> f64;
    let parts: [(&_, &str, f64, Figure); 2] = [
        (&upper, "share served", 1.05, |p| p.served),
        (&lower, "load over what the sick zone's service bears", 4.0, |p| p.strain.min(4.0)),
    ];
    for (area, what, most, figure) in parts {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{title}: {what}"), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0f64..end, 0f64..most)?;
        chart.configure_mesh().x_desc("s").draw()?;
        for (i, (name, seen)) in all.iter().enumerate() {
            let Some(first) = seen.first() else { continue };
            let colour = Palette99::pick(i).to_rgba();
            chart
                .draw_series(LineSeries::new(
                    first.points.iter().map(|p| (p.t, figure(p))),
                    colour.stroke_width(2),
                ))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    }
    root.present()?;
    Ok(())
}
