//! One fresh process of one program, measured through its phases: start, rest, load, change.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::sleep;

use super::super::Error;
use super::agent::Agent;
use super::book::Book;
use super::callers::{Callers, Done, Fates, quantile, sum_up, worst_between, worst_within};
use super::deployment::{Deployment, QUOTA, with_aim, with_quota};
use super::pulse::{Pulse, longest, longest_within};
use super::subject::Subject;
use super::usage::{Usage, reset_peak};
use super::{Options, SOCKETS, scaled, sockets_for};
use crate::standin::{bind, free};

/// What a run takes at the agent; its timers count whole ms and add up to one.
const SERVICE: Duration = Duration::from_millis(3);
/// Connections of a load that is not about connections.
const CONNECTIONS: usize = 32;
/// Time before each span that is measured, ms.
const WARM_MS: u64 = 400;
/// The length of a span at rest, and of one under load, ms.
const REST_MS: u64 = 1_500;
const LOAD_MS: u64 = 2_000;
/// Requests a second while something changes.
const CHANGE_PER_S: f64 = 256.0;
/// Load before a change, and in all around it, ms: the longest hold-up known is 0.65 s.
const BEFORE_MS: u64 = 500;
const AROUND_MS: u64 = 1_400;
/// What follows a change so closely still belongs to it.
const AFTER: Duration = Duration::from_millis(200);
/// Longest that a first answer is waited for.
const START_MAX: Duration = Duration::from_secs(20);

/// One program's turn.
pub struct Visit<'a> {
    pub options: &'a Options,
    pub program: &'a Path,
    /// The name that its figures go under.
    pub who: &'static str,
    pub book: &'a Mutex<Book>,
    pub seed: u64,
}

/// A node that has been started, the agent behind it and the callers before it.
struct Scene {
    subject: Subject,
    agent: Arc<Agent>,
    callers: Callers,
    told: Arc<Deployment>,
    config: Value,
    start_ms: f64,
    start_peak_kb: f64,
    file_bytes: f64,
    serving: tokio::task::JoinHandle<()>,
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

/// Bytes and messages to the node and from it, so far.
struct Flows([f64; 4]);

impl Scene {
    async fn set(visit: &Visit<'_>, told: Deployment) -> Result<Scene, Error> {
        let agent = Agent::new(SERVICE);
        let (listener, agent_at) = bind().await;
        let serving = tokio::spawn(agent.clone().serve(listener));
        let listen = free().await;
        let config = told.config(listen, agent_at);
        let text = config.to_string();
        let mut subject = Subject::start(visit.program, &text, listen)?;
        let told = Arc::new(told);
        let mut callers = Callers::new(agent.clone());
        first_answer(&mut subject, &mut callers, listen, &told, visit.seed).await?;
        let start_ms = subject.started.elapsed().as_secs_f64() * 1e3;
        let start_peak_kb = usage(&subject)?.peak_kb;
        let file_bytes = text.len() as f64;
        Ok(Scene { subject, agent, callers, told, config, start_ms, start_peak_kb, file_bytes, serving })
    }

    fn usage(&self) -> Result<Usage, Error> {
        usage(&self.subject)
    }

    fn flows(&self) -> Flows {
        let [said, heard] = self.callers.flows();
        let (to, from) = (self.agent.said.counted(), self.agent.heard.counted());
        Flows([said.0 + to.0, said.1 + to.1, heard.0 + from.0, heard.1 + from.1])
    }
}

fn usage(subject: &Subject) -> Result<Usage, Error> {
    Usage::of(subject.pid()).ok_or_else(|| "the node is gone".into())
}

/// Asks until it is answered: a connection that is refused or closed is made anew.
async fn first_answer(
    subject: &mut Subject,
    callers: &mut Callers,
    at: SocketAddr,
    told: &Arc<Deployment>,
    seed: u64,
) -> Result<(), Error> {
    let until = Instant::now() + START_MAX;
    while Instant::now() < until {
        if let Some(status) = subject.ended() {
            return Err(format!("the node ended before its first answer: {status}").into());
        }
        if tokio::net::TcpStream::connect(at).await.is_ok() {
            let done = callers.connect(at, 1, told, seed).await;
            if done.iter().any(|d| d.added_us.is_some()) {
                return Ok(());
            }
        }
        sleep(Duration::from_millis(1)).await;
    }
    Err("the node gave no answer".into())
}

impl Visit<'_> {
    fn note(&self, axes: &[(&'static str, u32)], figure: &str, unit: &'static str, y: f64) {
        let mut book = self.book.lock().expect("the book");
        for (axis, x) in axes {
            if *axis == "both" {
                book.figure(&format!("{}.both.{figure}", self.who), unit, y);
            } else {
                book.point(&format!("{}.{axis}.{figure}", self.who), unit, *x, y);
            }
        }
    }

    /// All phases, at one size of deployment.
    pub async fn deployment(
        &self,
        classes: usize,
        tenants: usize,
        axes: &[(&'static str, u32)],
    ) -> Result<(), Error> {
        let told = Deployment::new(classes, tenants, SOCKETS, self.options.seed);
        let mut scene = Scene::set(self, told).await?;
        self.note(axes, "file_bytes", "B", scene.file_bytes);
        self.note(axes, "start_ms", "ms", scene.start_ms);
        self.note(axes, "start_peak_mb", "MB", scene.start_peak_kb / 1024.0);
        let (at, told) = (scene.subject.listen, scene.told.clone());
        scene.callers.connect(at, CONNECTIONS, &told, self.seed).await;
        self.rest(axes, &scene).await?;
        for &rate in &self.options.rates {
            self.load(axes, &scene, rate).await?;
        }
        for n in 0..self.options.changes {
            let tenant = (tenants - 1) * (n as usize + 1) / self.options.changes as usize;
            let text = with_quota(&scene.config, tenant, QUOTA - 1.0 - f64::from(n));
            self.change(axes, &mut scene, "change", &text, u64::from(n)).await?;
        }
        let text = with_aim(&scene.config, classes - 1, 900_000);
        self.change(axes, &mut scene, "class_change", &text, 99).await?;
        if let Some(status) = scene.subject.ended() {
            return Err(format!("the node ended meanwhile: {status}").into());
        }
        Ok(())
    }

    async fn rest(&self, axes: &[(&'static str, u32)], scene: &Scene) -> Result<(), Error> {
        sleep(scaled(self.options, WARM_MS)).await;
        let (before, flows) = (scene.usage()?, scene.flows());
        sleep(scaled(self.options, REST_MS)).await;
        let after = scene.usage()?;
        self.note(axes, "rest_cpu", "% of a core", after.share_since(&before) * 100.0);
        self.used(axes, scene, "rest", &before, &after, &flows);
        Ok(())
    }

    fn used(
        &self,
        axes: &[(&'static str, u32)],
        scene: &Scene,
        span: &str,
        before: &Usage,
        after: &Usage,
        flows: &Flows,
    ) {
        let secs = after.seconds_since(before);
        self.note(axes, &format!("{span}_wakes"), "1/s", after.wakes_since(before));
        self.note(axes, &format!("{span}_rss_mb"), "MB", after.rss_kb / 1024.0);
        let names =
            [("in_bytes", "B/s"), ("in_messages", "1/s"), ("out_bytes", "B/s"), ("out_messages", "1/s")];
        for ((name, unit), (now, was)) in names.iter().zip(scene.flows().0.iter().zip(&flows.0)) {
            self.note(axes, &format!("{span}_{name}"), unit, (now - was) / secs);
        }
    }

    async fn load(&self, axes: &[(&'static str, u32)], scene: &Scene, rate: u32) -> Result<(), Error> {
        let per_s = f64::from(rate);
        let (span, warm) = (scaled(self.options, LOAD_MS), scaled(self.options, WARM_MS));
        scene.callers.play(per_s, warm, &scene.told, self.seed + 1).await;
        let (before, flows) = (scene.usage()?, scene.flows());
        let done = scene.callers.play(per_s, span, &scene.told, self.seed + 2).await;
        let after = scene.usage()?;
        let told = sum_up(&done);
        let at = format!("r{rate}");
        let name = |what: &str| format!("{at}_{what}");
        self.note(axes, &name("cpu"), "% of a core", after.share_since(&before) * 100.0);
        self.note(axes, &name("cpu_us"), "us a request", after.cpu_since(&before) / told.asked.max(1.0));
        self.note(axes, &name("served"), "share", told.served);
        self.note(axes, &name("added_p50_us"), "us", told.added_us[0]);
        self.note(axes, &name("added_p99_us"), "us", told.added_us[1]);
        self.note(axes, &name("lab_late_p99_us"), "us", told.late_us);
        for (way, i) in [("in", 1), ("out", 3)] {
            let messages = scene.flows().0[i] - flows.0[i];
            self.note(axes, &name(&format!("{way}_per_request")), "messages", messages / told.asked.max(1.0));
        }
        self.used(axes, scene, &at, &before, &after, &flows);
        Ok(())
    }

    /// One change of the file under load: how long anybody waited, and until it is in force.
    async fn change(
        &self,
        axes: &[(&'static str, u32)],
        scene: &mut Scene,
        what: &str,
        text: &str,
        n: u64,
    ) -> Result<(), Error> {
        let counted = scene.subject.reloads().await?;
        scene.subject.configure(text)?;
        let pid = scene.subject.pid();
        let (callers, told, subject) = (&scene.callers, &scene.told, &mut scene.subject);
        let around = Duration::from_millis(AROUND_MS);
        let pulse = Pulse::feel(subject.listen);
        let playing = callers.play(CHANGE_PER_S, around, told, self.seed + 3 + n);
        let changing = async {
            sleep(Duration::from_millis(BEFORE_MS)).await;
            let peaks = reset_peak(pid);
            let at = subject.reload()?;
            let (in_force, taken) = subject.reloaded(counted).await?;
            let used = usage(subject)?;
            Ok::<_, Error>((at, in_force, taken, used, peaks))
        };
        let (done, changed) = tokio::join!(playing, changing);
        let (at, in_force, taken, used, peaks) = changed?;
        let beats = pulse.end().await;
        self.note(axes, &format!("{what}_taken"), "share", f64::from(u8::from(taken)));
        let lost_us = AROUND_MS as f64 * 1e3;
        let usual = usual(&done, at);
        let worst = worst_between(&done, at, in_force + AFTER, lost_us).unwrap_or(0.0);
        self.note(axes, &format!("{what}_hold_up_ms"), "ms", (worst - usual).max(0.0) / 1e3);
        // The same before the change, over as long a span where there was one: what of it is the machine's.
        let span = (in_force + AFTER - at).min(Duration::from_millis(BEFORE_MS));
        let control = worst_within(&done, at - span, at).unwrap_or(0.0);
        self.note(axes, &format!("{what}_control_ms"), "ms", (control - usual).max(0.0) / 1e3);
        // A request waits for the module's next round too; the pulse does not.
        let stall = longest(&beats, at, in_force + AFTER).ok_or("no pulse was felt")?;
        self.note(axes, &format!("{what}_stall_ms"), "ms", stall);
        if let Some(control) = longest_within(&beats, at - span, at) {
            self.note(axes, &format!("{what}_stall_control_ms"), "ms", control);
        }
        if taken {
            let ms = in_force.duration_since(at).as_secs_f64() * 1e3;
            self.note(axes, &format!("{what}_in_force_ms"), "ms", ms);
        }
        if peaks {
            self.note(axes, &format!("{what}_peak_mb"), "MB", used.peak_kb / 1024.0);
        }
        self.note(axes, &format!("{what}_rss_mb"), "MB", used.rss_kb / 1024.0);
        Ok(())
    }

    /// So many callers with open connections on a node that has descriptors for all.
    pub async fn callers(&self, count: usize) -> Result<(), Error> {
        let axes = [("callers", u32::try_from(count)?)];
        let mut scene = self.crowd(sockets_for(count)).await?;
        let before = scene.usage()?;
        let (at, told) = (scene.subject.listen, scene.told.clone());
        let more = count.saturating_sub(scene.callers.alive());
        scene.callers.connect(at, more, &told, self.seed).await;
        let after = scene.usage()?;
        self.note(&axes, "connect_cpu_us", "us a caller", after.cpu_since(&before) / count as f64);
        self.note(&axes, "held", "connections", scene.callers.alive() as f64);
        self.rest(&axes, &scene).await?;
        if let Some(&rate) = self.options.rates.first() {
            self.load(&axes, &scene, rate).await?;
        }
        Ok(())
    }

    async fn crowd(&self, sockets: usize) -> Result<Scene, Error> {
        let few = |of: &[u32]| of.iter().copied().min().unwrap_or(1) as usize;
        let (classes, tenants) = (few(&self.options.classes), few(&self.options.tenants));
        Scene::set(self, Deployment::new(classes, tenants, sockets, self.options.seed)).await
    }

    /// More callers than a node has descriptors for: what fits, and what becomes of the rest.
    pub async fn full(&self, count: usize) -> Result<(), Error> {
        let mut scene = self.crowd(SOCKETS).await?;
        let before = scene.usage()?;
        let (at, told) = (scene.subject.listen, scene.told.clone());
        let first = sum_up(&scene.callers.connect(at, count, &told, self.seed).await);
        let after = scene.usage()?;
        let note = |name: &str, unit: &'static str, y: f64| {
            self.book.lock().expect("the book").figure(&format!("{}.full.{name}", self.who), unit, y);
        };
        note("callers", "connections", count as f64);
        let Fates { held, waiting, ended, refused, not_made } = scene.callers.fates();
        let fates = [("held", held), ("waiting", waiting), ("ended", ended), ("refused", refused)];
        for (name, n) in fates.into_iter().chain([("not_made", not_made)]) {
            note(name, "connections", n as f64);
        }
        note("span_s", "s", after.seconds_since(&before));
        note("first_served", "share", first.served);
        note("connect_cpu_us", "us a caller", after.cpu_since(&before) / count as f64);
        let rate = f64::from(self.options.rates.first().copied().unwrap_or(256));
        let done = scene.callers.play(rate, scaled(self.options, LOAD_MS), &told, self.seed + 2).await;
        let load = sum_up(&done);
        note("load_served", "share", load.served);
        note("load_added_p99_us", "us", load.added_us[1]);
        note("rss_mb", "MB", scene.usage()?.rss_kb / 1024.0);
        Ok(())
    }
}

/// The median of what requests took that had ended before a moment, us.
fn usual(done: &[Done], until: Instant) -> f64 {
    let before = done.iter().filter(|d| d.sent + AFTER < until);
    let mut all: Vec<f64> = before.filter_map(|d| d.total_us).collect();
    all.sort_by(f64::total_cmp);
    quantile(&all, 0.5)
}
