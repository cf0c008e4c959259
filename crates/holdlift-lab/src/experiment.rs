//! Experiments: typed files that say what runs against what, and what must come of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::sleep;

use crate::link::Link;
use crate::load::{self, Group, Tally};
use crate::node::{Setup, settings};
use crate::probe;
use crate::standin::{Farm, bind};

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What it is to show.
    pub about: String,
    /// Length of each run, s.
    pub seconds: u64,
    /// Seeds; each run is repeated with each.
    pub seeds: Vec<u64>,
    /// The node.
    pub node: NodeSpec,
    /// Who sends.
    pub groups: Vec<Group>,
    /// What is run.
    pub runs: Vec<Run>,
    /// What must come of it.
    pub claims: Vec<Claim>,
}

/// The node of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSpec {
    /// Slots of the one server behind it.
    pub slots: usize,
    /// Aim and deadline of all classes, ms.
    pub aim_ms: u64,
    /// Ms.
    pub deadline_ms: u64,
    /// Descriptors.
    pub sockets: usize,
    /// Memory, MB.
    pub memory_mb: u64,
    /// Replaced in the uwsgi front's file of the lab.
    #[serde(default)]
    pub operator: BTreeMap<String, String>,
}

/// One way to run it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Its name.
    pub name: String,
    /// The former program, which is named on the command line; left out where it is not.
    #[serde(default)]
    pub former: bool,
    /// The edge's file, with `{edge}` for its listener; without one the uwsgi front's own listener is used.
    pub edge: Option<String>,
    /// Links without any impairment.
    #[serde(default)]
    pub clean: bool,
    /// Who takes part.
    pub groups: Vec<String>,
}

/// What must come of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// In words.
    pub says: String,
    /// The run.
    pub run: String,
    /// `served`, `p99`, `loss` (of the share served, against another run), `rss_mb`, `cpu`, `wakes`, `state_kb` (memory
    /// per connection, over another run's), `door.NAME` (a counter of the door), or `fewer:NAME` (times fewer of a counter than another run).
    pub figure: String,
    /// The group, for `served`, `p99` and `loss`.
    pub group: Option<String>,
    /// The other run.
    pub against: Option<String>,
    /// Connections, for `state_kb`.
    pub connections: Option<f64>,
    /// The bounds.
    pub least: Option<f64>,
    /// And the most.
    pub most: Option<f64>,
}

/// What came of one group over all seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GroupResult {
    /// Requests or connections.
    pub asked: u64,
    /// Served.
    pub served: u64,
    /// Turned away.
    pub refused: u64,
    /// Lost.
    pub lost: u64,
    /// Share served, one for each seed.
    pub shares: Vec<f64>,
    /// Latency from the intended send time at the 50th, 90th, 99th and 99.9th percentile, ms.
    pub latency_ms: [u64; 4],
    /// For charts: percentile and ms.
    pub curve: Vec<(f64, u64)>,
}

/// What came of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunResult {
    /// Its name.
    pub name: String,
    /// Groups by name.
    pub groups: BTreeMap<String, GroupResult>,
    /// Most memory, MB, for each seed.
    pub rss_mb: Vec<f64>,
    /// Share of a core, for each seed.
    pub cpu: Vec<f64>,
    /// Times the process was woken, per second, for each seed.
    pub wakes: Vec<f64>,
    /// The node's own counters at the end, of the last seed.
    pub counters: BTreeMap<String, f64>,
}

/// A claim and what it came to.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// In words.
    pub says: String,
    /// The figure.
    pub figure: f64,
    /// The bound, in words.
    pub bound: String,
    /// Whether it was kept.
    pub kept: bool,
}

/// Why an experiment can't be run.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Read(PathBuf, std::io::Error),
    /// It says something that makes no sense.
    #[error("{0}: {1}")]
    Bad(PathBuf, String),
}

impl Experiment {
    /// Reads a file and checks that its names fit together.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
        let bad = |reason: String| ExperimentError::Bad(path.to_owned(), reason);
        let text = std::fs::read_to_string(path).map_err(|e| ExperimentError::Read(path.to_owned(), e))?;
        let all: Experiment = toml::from_str(&text).map_err(|e| bad(e.to_string()))?;
        if all.seeds.is_empty() || all.seconds == 0 {
            return Err(bad("seeds and seconds must not be empty or 0".to_owned()));
        }
        for run in &all.runs {
            if let Some(g) = run.groups.iter().find(|g| all.groups.iter().all(|o| o.name != **g)) {
                return Err(bad(format!("run {}: no group {g}", run.name)));
            }
        }
        for c in &all.claims {
            let named = [Some(&c.run), c.against.as_ref()];
            if let Some(r) = named.into_iter().flatten().find(|r| all.runs.iter().all(|o| o.name != **r)) {
                return Err(bad(format!("claim \"{}\": no run {r}", c.says)));
            }
        }
        Ok(all)
    }

    /// Runs everything, all runs of a seed side by side, or one by one; `quick` takes the first seed only.
    pub async fn play(&self, former: Option<&Path>, quick: bool, one_by_one: bool) -> Vec<RunResult> {
        let seeds = if quick { &self.seeds[..1] } else { &self.seeds[..] };
        let runs: Vec<&Run> = self.runs.iter().filter(|r| !r.former || former.is_some()).collect();
        if one_by_one {
            let mut done = Vec::new();
            for run in runs {
                done.push(self.run(run, former, seeds).await);
            }
            return done;
        }
        futures_util::future::join_all(runs.iter().map(|r| self.run(r, former, seeds))).await
    }

    async fn run(&self, run: &Run, former: Option<&Path>, seeds: &[u64]) -> RunResult {
        let mut all = RunResult { name: run.name.clone(), ..RunResult::default() };
        let mut latencies: BTreeMap<String, Histogram<u64>> = BTreeMap::new();
        for seed in seeds {
            let (tallies, usage, counters) = self.once(run, former, *seed).await;
            all.rss_mb.push(usage.rss_kb / 1024.0);
            all.cpu.push(usage.cpu);
            all.wakes.push(usage.wakes);
            all.counters = counters;
            for (name, t) in tallies {
                let g = all.groups.entry(name.clone()).or_default();
                g.asked += t.asked;
                g.served += t.served;
                g.refused += t.refused;
                g.lost += t.lost;
                g.shares.push(t.share());
                match latencies.get_mut(&name) {
                    Some(h) => h.add(&t.latency).expect("one range"),
                    None => _ = latencies.insert(name, t.latency),
                }
            }
        }
        for (name, h) in latencies.iter().filter(|(_, h)| !h.is_empty()) {
            if let Some(g) = all.groups.get_mut(name) {
                g.latency_ms = [50.0, 90.0, 99.0, 99.9].map(|p| h.value_at_percentile(p));
                g.curve = (0..100).map(|p| (f64::from(p), h.value_at_percentile(f64::from(p)))).collect();
            }
        }
        all
    }

    async fn once(
        &self,
        run: &Run,
        former: Option<&Path>,
        seed: u64,
    ) -> (Vec<(String, Tally)>, probe::Usage, BTreeMap<String, f64>) {
        let (listener, server) = bind().await;
        let farm = Farm::new(self.node.slots);
        let serving = tokio::spawn(farm.clone().uwsgi(listener));
        let node = Setup {
            settings: settings(self.node.slots as u32, self.node.aim_ms, self.node.deadline_ms),
            servers: vec![server],
            slots: self.node.slots,
            sockets: self.node.sockets,
            memory_mb: self.node.memory_mb,
            operator: self.node.operator.clone().into_iter().collect(),
            edge: run.edge.clone().filter(|_| !run.former),
            program: former.filter(|_| run.former).map(Path::to_owned),
            ..Setup::default()
        };
        let node = node.start().await;
        let at = if run.edge.is_some() && !run.former { node.edge } else { node.uwsgi };
        let pid = node.child.as_ref().map_or(0, std::process::Child::id);
        let span = Duration::from_secs(self.seconds);
        let mut links = Vec::new();
        let mut playing = tokio::task::JoinSet::new();
        for g in self.groups.iter().filter(|g| run.groups.contains(&g.name)) {
            let mut to: SocketAddr = at;
            if !run.clean && g.link != Default::default() {
                let link = Link::to(at, g.link, seed).await;
                to = link.address;
                links.push(link);
            }
            let (group, name) = (g.clone(), g.name.clone());
            let seed = seed.wrapping_mul(1_000).wrapping_add(links.len() as u64 + playing.len() as u64);
            playing.spawn(async move { (name, load::play(group, to, span, seed).await) });
        }
        // The first seconds build up; the rest is measured.
        let warm = Duration::from_secs((self.seconds / 4).min(5));
        sleep(warm).await;
        let usage = probe::watch(pid, span - warm).await;
        let mut tallies = Vec::new();
        while let Some(Ok(t)) = playing.join_next().await {
            tallies.push(t);
        }
        let (_, _, log) = node.leave().await;
        serving.abort();
        (tallies, usage, counters(&log))
    }
}

/// The last counters that a log holds, by name.
fn counters(log: &str) -> BTreeMap<String, f64> {
    let mut all = BTreeMap::new();
    for (prefix, mark) in [("", "counters: "), ("door.", "door: ")] {
        let Some(line) = log.lines().rev().find_map(|l| l.split_once(mark)) else { continue };
        for (name, value) in line.1.split_whitespace().filter_map(|p| p.split_once('=')) {
            if let Ok(value) = value.parse() {
                all.insert(format!("{prefix}{name}"), value);
            }
        }
    }
    all
}

/// Mean and the half width of its 95% interval (Student's t); no width for a single figure.
pub fn interval(all: &[f64]) -> (f64, f64) {
    const T: [f64; 10] = [0.0, 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26];
    let n = all.len() as f64;
    let mean = all.iter().sum::<f64>() / n.max(1.0);
    if all.len() < 2 {
        return (mean, 0.0);
    }
    let var = all.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
    (mean, T.get(all.len() - 1).copied().unwrap_or(2.0) * (var / n).sqrt())
}

/// Holds the claims against what came. Claims on runs that were left out are left out.
pub fn judge(claims: &[Claim], results: &[RunResult]) -> Vec<Verdict> {
    let find = |name: &str| results.iter().find(|r| r.name == name);
    let mut all = Vec::new();
    for c in claims {
        let Some(run) = find(&c.run) else { continue };
        let other = c.against.as_deref().map(find);
        if matches!(other, Some(None)) {
            continue;
        }
        let other = other.flatten();
        let mean = |v: &[f64]| interval(v).0;
        let share = |r: &RunResult| {
            let g = c.group.as_ref().and_then(|g| r.groups.get(g));
            g.map_or(f64::NAN, |g| mean(&g.shares))
        };
        let p99 = |r: &RunResult| {
            let g = c.group.as_ref().and_then(|g| r.groups.get(g));
            g.map_or(f64::NAN, |g| g.latency_ms[2] as f64)
        };
        let of = |r: Option<&RunResult>, f: &dyn Fn(&RunResult) -> f64| r.map_or(f64::NAN, f);
        let figure = match c.figure.as_str() {
            "served" => share(run),
            "p99" => p99(run),
            "loss" => 1.0 - share(run) / of(other, &share),
            "rss_mb" => mean(&run.rss_mb),
            "cpu" => mean(&run.cpu),
            "wakes" => mean(&run.wakes),
            "state_kb" => {
                let more = mean(&run.rss_mb) - of(other, &|r| mean(&r.rss_mb));
                more * 1024.0 / c.connections.unwrap_or(f64::NAN)
            }
            name if name.starts_with("fewer:") => {
                let count = |r: &RunResult| r.counters.get(&name[6..]).copied().unwrap_or(f64::NAN);
                of(other, &count) / count(run)
            }
            name => run.counters.get(name).copied().unwrap_or(f64::NAN),
        };
        let bound = match (c.least, c.most) {
            (Some(l), Some(m)) => format!("{l} to {m}"),
            (Some(l), None) => format!(">= {l}"),
            (None, Some(m)) => format!("<= {m}"),
            (None, None) => "none".to_owned(),
        };
        // A figure that is none keeps no bound.
        let kept =
            c.least.is_none_or(|l| figure >= l) && c.most.is_none_or(|m| figure <= m) && !figure.is_nan();
        all.push(Verdict { says: c.says.clone(), figure, bound, kept });
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn intervals_and_claims() {
        assert_eq!(interval(&[2.0]), (2.0, 0.0));
        let (mean, half) = interval(&[1.0, 2.0, 3.0]);
        assert!((mean - 2.0).abs() < 1e-9 && (half - 4.30 / 3f64.sqrt()).abs() < 1e-9);
        let run = |name: &str, share| {
            let group = GroupResult { shares: vec![share], ..GroupResult::default() };
            RunResult {
                name: name.to_owned(),
                groups: [("g".to_owned(), group)].into(),
                ..RunResult::default()
            }
        };
        let claim = |figure: &str, run: &str, least, most| Claim {
            says: figure.to_owned(),
            run: run.to_owned(),
            figure: figure.to_owned(),
            group: Some("g".to_owned()),
            against: Some("a".to_owned()),
            connections: None,
            least,
            most,
        };
        let claims = [
            claim("loss", "b", None, Some(0.05)),
            claim("loss", "c", None, Some(0.05)),
            claim("served", "b", Some(0.9), None),
            claim("unknown", "b", Some(0.0), None),
            claim("served", "left-out", Some(0.9), None),
        ];
        let kept: Vec<bool> =
            judge(&claims, &[run("a", 1.0), run("b", 0.96), run("c", 0.9)]).iter().map(|v| v.kept).collect();
        assert_eq!(kept, [true, false, true, false]);
    }
}
