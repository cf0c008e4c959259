//! Experiments with several tiers below: a node on the agent's protocol, callers in an open loop, and tiers that fall
//! sick for a while, one after the other.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::experiment::{ExperimentError, interval};
use crate::node::{Setup, settings};
use crate::standin::{Caller, Farm, Mood, Tier, bind, fields};

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// `dependencies`.
    pub kind: String,
    /// What it is to show.
    pub about: String,
    /// Seeds; each run is repeated with each.
    pub seeds: Vec<u64>,
    /// Requests a second, and their work beside the call, ms.
    pub per_s: f64,
    /// Ms.
    pub work_ms: u64,
    /// Cores of the farm.
    pub cores: usize,
    /// Aim and deadline of all classes, ms.
    pub aim_ms: u64,
    /// Ms.
    pub deadline_ms: u64,
    /// Length of each phase, s; the first phase is well.
    pub phase_s: u64,
    /// The tiers, `ledger` among them.
    pub tiers: BTreeMap<String, TierSpec>,
    /// The moods that `sick` takes, one a phase, with a well phase after each.
    pub moods: Vec<Mood>,
    /// Which tier is sick.
    pub sick: String,
    /// The runs.
    pub runs: Vec<Run>,
    /// Of the first run: share of the well phase's service that the worst phase must keep.
    pub worst_least: f64,
}

/// A tier's stand-in.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// Calls that it works on at a time.
    pub slots: usize,
    /// Service time, ms.
    pub base_ms: u64,
    /// How much slower a crowd of twice the slots makes it.
    pub thrash: f64,
    /// Endpoints, each with so many slots.
    #[serde(default = "one")]
    pub endpoints: usize,
    /// How many of them fall sick, where the tier does; all if not set.
    pub sick: Option<usize>,
    /// Calls that must never be exceeded: the limit that the node's file states for it.
    pub most: Option<u32>,
}

fn one() -> usize {
    1
}

/// One way to run it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Its name.
    pub name: String,
    /// The tiers' file, with `{NAME}` for a stand-in's address; none is the platform's plan.
    pub tiers: Option<String>,
}

/// What came of a run: for each phase the share of worth served, for each seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunResult {
    /// Its name.
    pub name: String,
    /// Phase by phase.
    pub phases: Vec<(String, Vec<f64>)>,
    /// Writes whose call had its effect twice.
    pub doubled: u32,
    /// Most calls under way at each tier's busiest endpoint.
    pub most: BTreeMap<String, u32>,
    /// Calls that sick endpoints got, over all seeds.
    pub while_sick: u32,
}

impl Experiment {
    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn load(path: &Path) -> Result<Experiment, ExperimentError> {
        let text = std::fs::read_to_string(path).map_err(|e| ExperimentError::Read(path.to_owned(), e))?;
        let bad = |reason: String| ExperimentError::Bad(path.to_owned(), reason);
        let e: Experiment = toml::from_str(&text).map_err(|e| bad(e.to_string()))?;
        if !e.tiers.contains_key(&e.sick) || !e.tiers.contains_key("ledger") || e.runs.is_empty() {
            return Err(bad("tiers must hold ledger and the sick one, and there must be a run".to_owned()));
        }
        Ok(e)
    }

    /// All runs side by side, seed after seed.
    pub async fn play(&self, quick: bool) -> Vec<RunResult> {
        let seeds = if quick { &self.seeds[..1] } else { &self.seeds[..] };
        futures_util::future::join_all(self.runs.iter().map(|r| self.run(r, seeds))).await
    }

    async fn run(&self, run: &Run, seeds: &[u64]) -> RunResult {
        let mut all = RunResult { name: run.name.clone(), ..RunResult::default() };
        for seed in seeds {
            let once = self.once(run, *seed).await;
            all.doubled += once.doubled;
            all.while_sick += once.while_sick;
            for (name, n) in once.most {
                let most = all.most.entry(name).or_default();
                *most = n.max(*most);
            }
            if all.phases.is_empty() {
                all.phases = once.phases;
            } else {
                for (a, o) in all.phases.iter_mut().zip(once.phases) {
                    a.1.extend(o.1);
                }
            }
        }
        all
    }

    async fn once(&self, run: &Run, seed: u64) -> RunResult {
        let farm = Farm::new(self.cores);
        let mut serving = tokio::task::JoinSet::new();
        let (listener, agent) = bind().await;
        serving.spawn(farm.clone().agent(listener));
        let mut tiers: BTreeMap<String, Vec<Arc<Tier>>> = BTreeMap::new();
        let (mut file, mut ledger) = (run.tiers.clone(), None);
        for (name, spec) in &self.tiers {
            let mut at = Vec::new();
            for _ in 0..spec.endpoints {
                let tier = Tier::new(spec.slots, Duration::from_millis(spec.base_ms), spec.thrash);
                let (listener, address) = bind().await;
                serving.spawn(tier.clone().serve(listener));
                at.push(address.to_string());
                tiers.entry(name.clone()).or_default().push(tier);
                if name == "ledger" {
                    ledger = Some(address);
                }
            }
            // In the file one address stands in quotes; several are a list of such.
            file = file.map(|f| f.replace(&format!("{{{name}}}"), &at.join("\", \"")));
        }
        let mut s = settings(self.cores as u32, self.aim_ms, self.deadline_ms);
        s["domain"]["below"] = "tier".into();
        s["domain"]["class-calls"] = serde_json::json!([true, true, true]);
        s["domain"]["worth-without"] = serde_json::json!([0.3, 0.5, 0.0]);
        let setup = Setup {
            settings: s,
            agent: Some(agent),
            ledger,
            tiers: file,
            sockets: 4_000,
            ..Setup::default()
        };
        let node = setup.start().await;
        let mut check = Caller::connect(node.msgpack).await;
        check.healthy().await;
        let moods: Vec<Mood> =
            std::iter::once(Mood::Fine).chain(self.moods.iter().flat_map(|m| [*m, Mood::Fine])).collect();
        let phase = Duration::from_secs(self.phase_s);
        let tally: Arc<Mutex<Vec<(f64, f64)>>> = Arc::new(Mutex::new(vec![(0.0, 0.0); moods.len()]));
        let mut draws = ChaCha12Rng::seed_from_u64(seed);
        let (start, mut at, mut n) = (Instant::now(), Duration::ZERO, 0u64);
        let (mut asking, mut now) = (tokio::task::JoinSet::new(), usize::MAX);
        let total = phase * moods.len() as u32;
        while at < total {
            let i = ((at.as_secs_f64() / phase.as_secs_f64()) as usize).min(moods.len() - 1);
            sleep_until(start + at).await;
            if i != now {
                now = i;
                let sick = self.tiers[&self.sick].sick.unwrap_or(usize::MAX);
                tiers[&self.sick].iter().take(sick).for_each(|t| t.be(moods[i]));
            }
            while asking.try_join_next().is_some() {}
            n += 1;
            let class = draws.random_range(0..3usize);
            let name = ["quote", "proof", "book-job"][class];
            let (worth, poor) = [(1.0, 0.3), (2.0, 0.5), (3.0, 0.0)][class];
            let (to, id, due) =
                (node.msgpack, format!("{name}-{seed}-{n}"), start + at + Duration::from_millis(self.aim_ms));
            let body = format!("{} call {id}", self.work_ms);
            let farm = farm.clone();
            let (tally, patience) = (tally.clone(), Duration::from_millis(self.deadline_ms + 500));
            asking.spawn(async move {
                let mut c = Caller::connect(to).await;
                c.ask(1, name, fields(&id, &[]), &body).await;
                let answer = timeout(patience, c.answer()).await.ok().flatten();
                farm.over(&id);
                let answer = answer.filter(|a| a.word == "ok" && Instant::now() <= due);
                // One made without its call, or with a fixed reply in its place, is worth a part.
                let part = answer.map_or(0.0, |a| if a.body.ends_with(b"-poor") { poor } else { 1.0 });
                let mut t = tally.lock().expect("a tally");
                t[i].0 += worth;
                t[i].1 += worth * part;
            });
            at += Duration::from_secs_f64(-(1.0 - draws.random::<f64>()).ln() / self.per_s);
        }
        while asking.join_next().await.is_some() {}
        sleep(Duration::from_millis(100)).await;
        let _ = node.leave().await;
        let doubled = tiers.values().flatten().map(|t| {
            let all = t.effects.lock().expect("effects");
            all.iter().filter(|(name, n)| name.starts_with("book-job") && **n > 1).count() as u32
        });
        let shares = tally.lock().expect("a tally").clone();
        let named = moods.iter().zip(shares).enumerate();
        RunResult {
            name: run.name.clone(),
            phases: named.map(|(i, (m, t))| (format!("{i} {m:?}"), vec![t.1 / t.0.max(1.0)])).collect(),
            doubled: doubled.sum(),
            most: tiers
                .iter()
                .map(|(n, all)| {
                    (n.clone(), all.iter().map(|t| t.most.load(Ordering::SeqCst)).max().unwrap_or(0))
                })
                .collect(),
            while_sick: tiers.values().flatten().map(|t| t.while_sick.load(Ordering::SeqCst)).sum(),
        }
    }

    /// A Markdown page, and the claims: what each says, its figure, and whether it is kept.
    pub fn report(&self, name: &str, results: &[RunResult]) -> (String, Vec<(String, f64, bool)>) {
        let mut t = format!("# {}\n\n{}\n\n| run |", name, self.about);
        let phases = results.first().map_or(&[][..], |r| &r.phases[..]);
        phases.iter().for_each(|p| t += &format!(" {} |", p.0));
        t += " doubled | calls to the sick | most under way |\n|---|";
        t += &"---|".repeat(phases.len() + 3);
        for r in results {
            t += &format!("\n| {} |", r.name);
            for (_, shares) in &r.phases {
                let (mean, half) = interval(shares);
                t += &if shares.len() > 1 {
                    format!(" {mean:.3} ± {half:.3} |")
                } else {
                    format!(" {mean:.3} |")
                };
            }
            t += &format!(" {} | {} | {:?} |", r.doubled, r.while_sick, r.most);
        }
        let mut claims = Vec::new();
        if let Some(first) = results.first() {
            let means: Vec<f64> = first.phases.iter().map(|p| interval(&p.1).0).collect();
            let worst =
                means.iter().copied().fold(f64::INFINITY, f64::min) / means.first().copied().unwrap_or(1.0);
            claims.push((
                format!("the worst phase keeps {} of the well one's service", self.worst_least),
                worst,
                worst >= self.worst_least,
            ));
            for (name, spec) in &self.tiers {
                if let (Some(most), Some(seen)) = (spec.most, first.most.get(name)) {
                    claims.push((
                        format!("{name} never holds more than {most}"),
                        f64::from(*seen),
                        *seen <= most,
                    ));
                }
            }
        }
        let doubled: u32 = results.iter().map(|r| r.doubled).sum();
        claims.push((
            "writes whose call took effect twice, over all runs".to_owned(),
            f64::from(doubled),
            doubled == 0,
        ));
        t += "\n\n| claim | figure | |\n|---|---|---|\n";
        for (says, figure, kept) in &claims {
            t += &format!("| {says} | {figure:.4} | {} |\n", if *kept { "kept" } else { "broken" });
        }
        (t, claims)
    }
}
