//! The configuration at size: an operator who has it changed by the product's own command, and when which node had it in force.

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use holdlift::config::fleet::Fleet;
use holdlift::config_store::{ChangeAuthor, ChangeSet, ConfigVersion, Name, Record, Revision, TenantRecord};
use holdlift::runtime::clock::LeaseClock;
use holdlift::runtime::replica::client::ReplicaClient;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::Error;
use super::fleet_scene::Scene;
use super::hollow_config::{Reached, Versions};
use super::hollow_host::{Order, Report};
use super::node::deployment::{Deployment, QUOTA};
use crate::node::program;

/// Classes and tenants that a rig's own files name; they are in every whole.
const OWN: (usize, usize) = (3, 2);
/// Times that a change is brought again after it was not agreed, or nobody knows whether it was.
const AGAIN: u32 = 8;
/// How often it is looked whether all have it.
const LOOK: Duration = Duration::from_millis(200);

/// Now, µs by the clock that all processes of the machine share.
#[must_use]
pub fn now() -> u64 {
    LeaseClock::new(1.0).now().0
}

/// How many records of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Records {
    /// Classes.
    pub classes: usize,
    /// Tenants.
    pub tenants: usize,
}

impl Records {
    /// Both kinds.
    #[must_use]
    pub fn all(self) -> usize {
        self.classes + self.tenants
    }

    /// One of so many parts of it.
    #[must_use]
    pub fn part(self, of: usize) -> Records {
        let least = |n: usize, own: usize| (n / of.max(1)).max(own + 1);
        Records { classes: least(self.classes, OWN.0), tenants: least(self.tenants, OWN.1) }
    }
}

/// The whole as an operator's file has it.
pub struct Whole {
    /// Its `settings`: classes, accounts, and what each class calls.
    pub settings: Value,
    /// The names that callers ask with.
    pub told: Deployment,
}

impl Whole {
    /// So many records; the same seed gives the same names, and a smaller whole has the first of a larger one's.
    #[must_use]
    pub fn new(records: Records, seed: u64) -> Whole {
        let (classes, tenants) = (records.classes.max(OWN.0 + 1), records.tenants.max(OWN.1 + 1));
        // Each kind by draws of its own, so that names don't hang on how many there are of the other.
        let mut told = Deployment::new(classes - OWN.0, 0, 0, seed);
        told.tenants = Deployment::new(0, tenants - OWN.1, 0, seed).tenants;
        let at = ([127, 0, 0, 1], 0).into();
        let mut deployed = told.config(at, at)["settings"].take();
        let mut settings = crate::node::settings(8, 2_000, 3_000);
        let mut join = |key: &str| {
            let more = deployed[key].take();
            let (Some(all), Value::Array(more)) = (settings[key].as_array_mut(), more) else { return };
            all.extend(more);
        };
        join("classes");
        let other = json!({"name": "other", "quota-per-s": 0.0, "share": 0.0});
        settings["accounts"].as_array_mut().expect("a list").push(other);
        let accounts = deployed["accounts"].take();
        if let (Some(all), Value::Array(more)) = (settings["accounts"].as_array_mut(), accounts) {
            all.extend(more);
        }
        let calls = |i: usize| Value::from(i < OWN.0);
        settings["domain"]["class-calls"] = (0..classes).map(calls).collect();
        let without = |i: usize| Value::from([0.3, 0.5, 0.0].get(i).copied().unwrap_or(0.0));
        settings["domain"]["worth-without"] = (0..classes).map(without).collect();
        Whole { settings, told }
    }

    /// Another quota for the n-th of the tenants.
    pub fn set(&mut self, n: usize, per_s: f64) {
        if let Some(accounts) = self.settings["accounts"].as_array_mut() {
            let at = OWN.1 + n % (accounts.len() - OWN.1);
            accounts[at]["quota-per-s"] = per_s.into();
        }
    }
}

/// One change, as its operator saw it.
#[derive(Clone, Copy, Debug)]
pub struct Applied {
    /// The version that it made.
    pub revision: u64,
    /// When the command began, and ended, µs.
    pub span: (u64, u64),
    /// Times that it was brought again.
    pub again: u32,
}

/// Who has the configuration changed, beside the keepers.
pub struct Operator {
    /// The way to the keepers.
    pub client: ReplicaClient,
    fleet: PathBuf,
    file: PathBuf,
    /// The newest version, as far as is known.
    pub revision: u64,
    /// What it is to be.
    pub whole: Whole,
    /// Changes so far.
    count: usize,
}

impl Operator {
    /// One with an own file of the fleet, so that what it sends and gets is nobody's of the rig.
    ///
    /// # Errors
    /// That file can't be.
    pub fn beside(scene: &Scene, whole: Whole) -> Result<Operator, Error> {
        let keeper = scene.rig.fleet_file(scene.rig.nodes);
        let text = std::fs::read_to_string(keeper)?;
        let mut reach = false;
        let own = |line: &&str| {
            reach = if line.starts_with('[') { *line == "[here.reach]" } else { reach };
            !reach
        };
        let text = text.lines().filter(own).collect::<Vec<_>>().join("\n");
        let (fleet, file) = (scene.rig.file("operator.toml", &text), scene.rig.file("whole.json", ""));
        let client = ReplicaClient::new(&Fleet::load(&fleet, None)?);
        Ok(Operator { client, fleet, file, revision: 0, whole, count: 0 })
    }

    async fn command(&self) -> Result<(bool, String), Error> {
        let mut command = tokio::process::Command::new(program());
        command.args(["config", "apply"]).arg(&self.file).args(["--base", &self.revision.to_string()]);
        command.args(["--by", "lab", "--fleet"]).arg(&self.fleet).kill_on_drop(true);
        let out = command.output().await?;
        Ok((out.status.success(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned()))
    }

    /// Has the whole applied by `holdlift config apply`; again, from what is newest then, where that was not agreed.
    ///
    /// # Errors
    /// It is not agreed for good.
    pub async fn apply(&mut self) -> Result<Applied, Error> {
        std::fs::write(&self.file, self.whole.settings.to_string())?;
        let began = now();
        let mut said = String::new();
        for again in 0..=AGAIN {
            let good;
            (good, said) = self.command().await?;
            let agreed = said.lines().find_map(|l| l.strip_prefix("agreed: version "));
            let number = agreed.and_then(|l| l.split(',').next()?.parse::<u64>().ok());
            if let (true, Some(revision)) = (good, number) {
                self.revision = revision;
                return Ok(Applied { revision, span: (began, now()), again });
            }
            if let Ok((rows, _)) = self.client.history(1).await {
                let newest = rows.last().map_or(0, |r| r.revision.0);
                if newest > self.revision {
                    // It was agreed, and nobody could say so.
                    self.revision = newest;
                    return Ok(Applied { revision: newest, span: (began, now()), again });
                }
            }
        }
        Err(format!("a change was not agreed: {said}").into())
    }

    /// Has one tenant's quota be another.
    ///
    /// # Errors
    /// As `apply`.
    pub async fn change(&mut self) -> Result<Applied, Error> {
        self.count += 1;
        self.whole.set(self.count * 7_919, QUOTA - self.count as f64);
        self.apply().await
    }

    /// Has so many tenants' quotas be others, in one change, by the command.
    ///
    /// # Errors
    /// As `apply`.
    pub async fn change_many(&mut self, records: usize) -> Result<Applied, Error> {
        self.count += 1;
        (0..records).for_each(|n| self.whole.set(n, QUOTA + self.count as f64));
        self.apply().await
    }

    /// Has so many changes agreed one after the other as fast as they are, by the product's client; one quota each.
    ///
    /// # Errors
    /// One was not agreed.
    pub async fn burst(&mut self, changes: usize) -> Result<Vec<Applied>, Error> {
        let mut now_whole: ConfigVersion = self.client.fetch_latest().await?;
        let mut all = Vec::new();
        for _ in 0..changes {
            self.count += 1;
            let (n, per_s) = (self.count * 7_919, QUOTA - self.count as f64);
            self.whole.set(n, per_s);
            let name = &self.whole.told.tenants[n % self.whole.told.tenants.len()];
            let tenant = TenantRecord { name: Name::new(name)?, quota_per_s: per_s.try_into()? };
            let by = ChangeAuthor { author: "lab".to_owned(), note: String::new(), at: 0 };
            let change = ChangeSet::draft(&now_whole, vec![Record::Tenant(tenant)], Vec::new(), by)?;
            let began = now();
            let Revision(revision) = self.client.propose(&change).await?;
            now_whole.apply(&change)?;
            self.revision = revision;
            all.push(Applied { revision, span: (began, now()), again: 0 });
        }
        Ok(all)
    }
}

/// When which node had which version, and what it took.
#[derive(Default)]
pub struct Seen {
    /// Of hollow nodes.
    pub versions: Versions,
    /// Of real ones, whose numbers follow the hollow nodes'.
    pub real: Vec<Reached>,
}

impl Seen {
    /// When each node had that version or a later one in force, µs; the first such moment.
    #[must_use]
    pub fn first(&self, revision: u64) -> HashMap<usize, u64> {
        let mut first = HashMap::new();
        for r in self.versions.reached.iter().chain(&self.real).filter(|r| r.revision >= revision) {
            let at = first.entry(r.node).or_insert(r.at);
            *at = r.at.min(*at);
        }
        first
    }

    /// Nodes that had a version in force whose digest is another than that.
    #[must_use]
    pub fn unlike(&self, digests: &BTreeMap<u64, u64>) -> usize {
        let other = |r: &&Reached| digests.get(&r.revision).is_some_and(|d| *d != r.digest);
        self.versions.reached.iter().chain(&self.real).filter(other).count()
    }
}

/// The system's time of day of a line of a log, µs.
fn time_of_day(line: &str) -> Option<u64> {
    let time = line.split(' ').next()?.split_once('T')?.1.strip_suffix('Z')?;
    let (clock, part) = time.split_once('.')?;
    let secs = clock.split(':').try_fold(0, |sum, n| Some(sum * 60 + n.parse::<u64>().ok()?))?;
    Some(secs * 1_000_000 + part.parse::<u64>().ok()?)
}

const DAY: u64 = 86_400_000_000;

/// The shared clock's moment of a time of day that has just been.
fn moment(time_of_day: u64) -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as u64);
    let ago = (unix % DAY + DAY - time_of_day) % DAY;
    now().saturating_sub(ago)
}

/// The version of a line that says one is in force, with its digest's first 64 bits.
fn in_force(line: &str) -> Option<(u64, u64)> {
    let (head, rest) = line.split_once(" in force: ")?;
    let digest = rest.split("digest=").nth(1)?.split(' ').next()?;
    Some((head.rsplit(' ').next()?.parse().ok()?, u64::from_str_radix(digest, 16).ok()?))
}

/// Lines of a log that say when something was, by the shared clock.
fn said<T>(log: &str, what: impl Fn(&str) -> Option<T>) -> Vec<(u64, T)> {
    log.lines().filter_map(|l| Some((what(l)?, time_of_day(l)?))).map(|(w, t)| (moment(t), w)).collect()
}

impl Scene {
    /// The hosts fetch the newest version, which nodes that join later begin with.
    ///
    /// # Errors
    /// A host is gone, or can't.
    pub async fn found(&mut self) -> Result<(), Error> {
        for host in 0..self.hosts() {
            self.tell(host, Order::Found).await?;
        }
        Ok(())
    }

    /// What the hollow nodes did since the last look is added.
    ///
    /// # Errors
    /// A host is gone.
    pub async fn versions(&mut self, seen: &mut Seen) -> Result<(), Error> {
        for host in 0..self.hosts() {
            if let Report::Versions(versions) = self.tell(host, Order::Versions).await? {
                seen.versions.add(*versions);
            }
        }
        Ok(())
    }

    /// What the real nodes have had in force after that version, by their logs.
    #[must_use]
    pub fn real_reached(&self, above: u64) -> Vec<Reached> {
        let mut all = Vec::new();
        for i in self.rig.all_nodes() {
            let log = self.rig.log(&self.rig.procs[i].name);
            let node = self.there.len() - self.rig.procs.len() + i;
            let lines = said(&log, in_force).into_iter().filter(|(_, (revision, _))| *revision > above);
            all.extend(lines.map(|(at, (revision, digest))| Reached { node, revision, digest, at }));
        }
        all
    }

    /// When each version was agreed, by the logs of those that led.
    #[must_use]
    pub fn agreed(&self) -> HashMap<u64, u64> {
        let number = |line: &str| {
            let head = line.strip_suffix(": agreed").or_else(|| Some(line.split_once(": agreed ")?.0))?;
            head.split_once("version ")?.1.split(',').next()?.parse().ok()
        };
        let logs = self.rig.keepers().into_iter().map(|k| self.rig.log(&self.rig.procs[k].name));
        logs.flat_map(|log| said(&log, number)).map(|(at, revision)| (revision, at)).collect()
    }

    /// Nodes that started without the newest version, by their logs: real ones, since their logs had so many lines of it.
    #[must_use]
    pub fn real_alone(&self) -> usize {
        let alone = |l: &&str| l.contains("starts with its own file") || l.contains("did not come in time");
        let logs = self.rig.all_nodes().into_iter().map(|i| self.rig.log(&self.rig.procs[i].name));
        logs.map(|log| log.lines().filter(alone).count()).sum()
    }

    /// All nodes that are there: hollow ones and real ones.
    #[must_use]
    pub fn nodes(&self) -> Vec<usize> {
        let real = self.there.len() - self.rig.procs.len();
        let mut all = self.hollow();
        all.extend(self.rig.all_nodes().into_iter().map(|i| real + i));
        all
    }

    /// Waits until all that are there have that version or a later one in force; who has it not within the bound.
    ///
    /// # Errors
    /// A host is gone.
    pub async fn all_have(
        &mut self,
        revision: u64,
        seen: &mut Seen,
        bound: Duration,
    ) -> Result<Vec<usize>, Error> {
        let start = Instant::now();
        loop {
            self.versions(seen).await?;
            seen.real = self.real_reached(0);
            let have = seen.first(revision);
            let lack: Vec<usize> = self.nodes().into_iter().filter(|n| !have.contains_key(n)).collect();
            if lack.is_empty() || start.elapsed() >= bound {
                return Ok(lack);
            }
            sleep(LOOK).await;
        }
    }
}

/// The lines that say so in a log, by the shared clock.
#[must_use]
pub fn reloads(log: &str) -> Vec<u64> {
    said(log, |l| l.contains("reload: agent").then_some(())).into_iter().map(|(at, ())| at).collect()
}
