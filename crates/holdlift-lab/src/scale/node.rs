//! One real node: what it costs at rest and under load, by classes, tenants and callers, how it starts, and how long a
//! change of one tenant's quota holds requests up. The program is a process of its own; callers and the agent behind it
//! are here. A former program may stand beside it: the same loads, in turn, in one run.

pub mod agent;
mod book;
pub mod callers;
pub mod deployment;
mod pulse;
pub mod subject;
pub mod usage;
mod visit;

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

use clap::ValueEnum;
use tokio::signal::unix::{SignalKind, signal};

use self::book::Book;
use self::usage::{available_mb, descriptors};
use self::visit::Visit;
use super::{Error, Run};

/// What is measured by what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Part {
    /// By classes, with the fewest tenants.
    Classes,
    /// By tenants, with the fewest classes.
    Tenants,
    /// The most classes and the most tenants at once.
    Both,
    /// By callers with open connections, on a node that has descriptors for all.
    Callers,
    /// The most callers on a node with as many descriptors as the program takes by itself.
    Full,
}

const PARTS: [Part; 5] = [Part::Classes, Part::Tenants, Part::Both, Part::Callers, Part::Full];
/// Descriptors of a node that is told none.
const SOCKETS: usize = 1_024;
/// Descriptors of the lab besides callers' connections.
const OURS: usize = 128;
/// Of a node's descriptors callers have three quarters, and some are kept for newcomers.
const CALLERS_OF: (usize, usize, usize) = (4, 3, 64);

/// What is measured, and where it is kept.
#[derive(clap::Args, Clone, Debug)]
pub struct Options {
    /// The program; the one that is built beside this where neither is named.
    #[arg(long, value_name = "PROGRAM")]
    pub program: Option<PathBuf>,
    /// A former program, measured in turn with it, or alone where no other is named.
    #[arg(long, value_name = "PROGRAM")]
    pub former: Option<PathBuf>,
    /// Only these parts.
    #[arg(long, value_name = "PART", value_enum, value_delimiter = ',')]
    pub only: Vec<Part>,
    /// Numbers of classes.
    #[arg(long, value_delimiter = ',', default_value = "10,100,1000,8300",
        value_parser = clap::value_parser!(u32).range(1..=50_000))]
    pub classes: Vec<u32>,
    /// Numbers of tenants.
    #[arg(long, value_delimiter = ',', default_value = "10,300,3000,28000",
        value_parser = clap::value_parser!(u32).range(1..=200_000))]
    pub tenants: Vec<u32>,
    /// Numbers of callers with open connections.
    #[arg(long, value_delimiter = ',', default_value = "10,100,1000,11000",
        value_parser = clap::value_parser!(u32).range(1..=25_000))]
    pub callers: Vec<u32>,
    /// Requests a second.
    #[arg(long, value_delimiter = ',', default_value = "256,600",
        value_parser = clap::value_parser!(u32).range(1..=2_000))]
    pub rates: Vec<u32>,
    /// Times that each size is measured, with a fresh process each.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=10))]
    pub repeats: u32,
    /// Changes of a quota that are measured each time.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=10))]
    pub changes: u32,
    /// Each span is measured this many times its usual length.
    #[arg(long, default_value_t = 1.0)]
    pub span: f64,
    /// Names and loads are drawn by it.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Memory that all together may take, MB; half of what the system has to give, and 8,000 at the most, where not set.
    #[arg(long, value_name = "MB")]
    pub memory_mb: Option<u32>,
    /// Descriptors that each process may have; what the system allows where not set.
    #[arg(long, value_name = "N")]
    pub descriptors: Option<usize>,
    /// The name that the run is kept under.
    #[arg(long, default_value = "node")]
    pub name: String,
    /// Keep the run in this folder.
    #[arg(long, value_name = "DIR")]
    pub keep: Option<PathBuf>,
}

/// What a run may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowed {
    /// Memory of all processes together, MB.
    pub memory_mb: f64,
    /// Descriptors of one process.
    pub descriptors: usize,
}

/// A run that is too large for what it may use.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TooLarge {
    /// Connections and the node's share of descriptors.
    #[error(
        "{callers} callers need {needs} descriptors in one process, {allowed} are allowed: --callers up to {fits} would fit"
    )]
    Descriptors {
        /// Asked for.
        callers: u32,
        /// They need so many.
        needs: usize,
        /// There are so many.
        allowed: usize,
        /// So many callers would fit.
        fits: usize,
    },
    /// Memory of the program and the lab.
    #[error(
        "{classes} classes, {tenants} tenants and {callers} callers may need {needs:.0} MB, {allowed:.0} are allowed: a \
         {share:.0}th of each would fit"
    )]
    Memory {
        /// Asked for.
        classes: u32,
        /// Asked for.
        tenants: u32,
        /// Asked for.
        callers: u32,
        /// MB.
        needs: f64,
        /// MB.
        allowed: f64,
        /// Divide by this.
        share: f64,
    },
}

/// A deployment by its size, and the axes that it is a point of.
struct Size {
    classes: u32,
    tenants: u32,
    axes: Vec<(&'static str, u32)>,
}

/// The node's descriptors, so that so many callers come in.
fn sockets_for(callers: usize) -> usize {
    let (of, ours, more) = CALLERS_OF;
    (callers * of / ours + more).max(SOCKETS)
}

fn most(of: &[u32]) -> u32 {
    of.iter().copied().max().unwrap_or(0)
}

fn least(of: &[u32]) -> u32 {
    of.iter().copied().min().unwrap_or(1)
}

impl Options {
    fn has(&self, part: Part) -> bool {
        self.only.is_empty() || self.only.contains(&part)
    }

    /// What may be used: what is set, within what the system has.
    pub fn allowed(&self) -> Allowed {
        let there = available_mb().unwrap_or(0.0) / 2.0;
        let memory_mb = self.memory_mb.map_or(there.min(8_000.0), |mb| f64::from(mb).min(there));
        Allowed { memory_mb, descriptors: self.descriptors.unwrap_or(usize::MAX).min(descriptors()) }
    }

    /// Checks that the run fits before anything is started. One program runs at a time, so processes are two at the most.
    ///
    /// # Errors
    /// What doesn't fit, and what would.
    pub fn check(&self, allowed: Allowed) -> Result<(), TooLarge> {
        let crowd = self.has(Part::Callers) || self.has(Part::Full);
        let callers = if crowd { most(&self.callers) } else { least(&self.callers) };
        // The lab has one each, the node some more, as callers get a part of its own only.
        let node = if self.has(Part::Callers) { sockets_for(callers as usize) } else { SOCKETS };
        let needs = (callers as usize + OURS).max(node);
        if needs > allowed.descriptors {
            let (of, ours, more) = CALLERS_OF;
            let fits = if self.has(Part::Callers) {
                allowed.descriptors.saturating_sub(more) * ours / of
            } else {
                allowed.descriptors.saturating_sub(OURS)
            };
            return Err(TooLarge::Descriptors { callers, needs, allowed: allowed.descriptors, fits });
        }
        let named = |part: Part, of: &[u32]| {
            if self.has(part) || self.has(Part::Both) { most(of) } else { least(of) }
        };
        let (classes, tenants) = (named(Part::Classes, &self.classes), named(Part::Tenants, &self.tenants));
        // KB each: the program with two versions of its settings, and the lab with the file as a value and as text.
        let kb = f64::from(classes) * 24.0 + f64::from(tenants) * 16.0 + f64::from(callers) * 40.0;
        let needs = 120.0 + kb / 1_024.0;
        if needs > allowed.memory_mb {
            let share = (needs / allowed.memory_mb.max(1.0)).ceil() + 1.0;
            return Err(TooLarge::Memory {
                classes,
                tenants,
                callers,
                needs,
                allowed: allowed.memory_mb,
                share,
            });
        }
        Ok(())
    }

    /// Every deployment once.
    fn sizes(&self) -> Vec<Size> {
        let mut all: Vec<Size> = Vec::new();
        let mut add = |classes: u32, tenants: u32, axis: &'static str, x: u32| match all
            .iter_mut()
            .find(|s| (s.classes, s.tenants) == (classes, tenants))
        {
            Some(there) => there.axes.push((axis, x)),
            None => all.push(Size { classes, tenants, axes: vec![(axis, x)] }),
        };
        let (few_classes, few_tenants) = (least(&self.classes), least(&self.tenants));
        if self.has(Part::Classes) {
            self.classes.iter().for_each(|&n| add(n, few_tenants, "classes", n));
        }
        if self.has(Part::Tenants) {
            self.tenants.iter().for_each(|&n| add(few_classes, n, "tenants", n));
        }
        if self.has(Part::Both) {
            let (classes, tenants) = (most(&self.classes), most(&self.tenants));
            add(classes, tenants, "both", classes);
        }
        all
    }

    /// About how long it takes, s, by the spans of each visit.
    fn seconds(&self) -> u32 {
        let each =
            self.span * (1.9 + 2.4 * self.rates.len() as f64) + 1.5 * f64::from(self.changes + 1) + 0.5;
        let crowds =
            if self.has(Part::Callers) { self.callers.len() as f64 * (4.3 * self.span + 1.0) } else { 0.0 };
        let full = if self.has(Part::Full) { 15.0 } else { 0.0 };
        let all = self.sizes().len() as f64 * each + crowds + full;
        (all * f64::from(self.repeats) * self.programs().len() as f64).ceil() as u32
    }

    /// Programs with the names that their figures go under.
    fn programs(&self) -> Vec<(&'static str, PathBuf)> {
        let beside = self.former.is_none().then(crate::node::program);
        let program = self.program.clone().or(beside).map(|p| ("now", p));
        self.former.clone().map(|p| ("former", p)).into_iter().chain(program).collect()
    }
}

fn scaled(options: &Options, ms: u64) -> Duration {
    Duration::from_millis(ms).mul_f64(options.span.clamp(0.1, 20.0))
}

async fn measure(options: &Options, book: &Mutex<Book>) -> Result<(), Error> {
    let programs = options.programs();
    for repeat in 0..options.repeats {
        let seed = options.seed + u64::from(repeat) * 1_000;
        let turn = |programs: &[(&'static str, PathBuf)]| {
            // Who goes first changes, so that what drifts falls on both.
            let mut order: Vec<(&'static str, PathBuf)> = programs.to_vec();
            if repeat % 2 == 1 {
                order.reverse();
            }
            order
        };
        for Size { classes, tenants, axes } in options.sizes() {
            for (who, program) in turn(&programs) {
                let visit = Visit { options, program: &program, who, book, seed };
                visit.deployment(classes as usize, tenants as usize, &axes).await?;
            }
        }
        if options.has(Part::Callers) {
            for &callers in &options.callers {
                for (who, program) in turn(&programs) {
                    let visit = Visit { options, program: &program, who, book, seed };
                    visit.callers(callers as usize).await?;
                }
            }
        }
        if options.has(Part::Full) {
            for (who, program) in turn(&programs) {
                let visit = Visit { options, program: &program, who, book, seed };
                visit.full(most(&options.callers) as usize).await?;
            }
        }
    }
    Ok(())
}

/// Runs until all is measured, or a signal ends it: then what was measured is kept as partial, and nothing runs on.
///
/// # Errors
/// What keeps the run from starting, or from being kept.
pub async fn run(options: Options) -> Result<bool, Error> {
    options.check(options.allowed())?;
    eprintln!("about {} s", options.seconds());
    for (_, program) in options.programs() {
        if !program.is_file() {
            return Err(format!("{}: no such program", program.display()).into());
        }
    }
    // From here on a signal ends it in order, whatever it is at.
    let (mut ended, mut left) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let argv: Vec<String> = std::env::args().collect();
    let mut run = Run::begin(&options.name, &argv);
    let book = Mutex::new(Book::default());
    let outcome = tokio::select! {
        outcome = measure(&options, &book) => Some(outcome),
        _ = ended.recv() => None,
        _ = left.recv() => None,
    };
    let book = book.into_inner().map_err(|_| "a measurement panicked")?;
    book.enter(&mut run);
    if matches!(outcome, Some(Ok(()))) {
        run.whole();
    }
    run.left_out = left_out(&options);
    println!("{}", book.table());
    if let Some(folder) = options.keep.as_deref() {
        kept(&run, folder)?;
    }
    match outcome {
        Some(Ok(())) => Ok(true),
        Some(Err(e)) => Err(e),
        None => {
            eprintln!("ended half way: partial");
            Ok(false)
        }
    }
}

fn kept(run: &Run, folder: &Path) -> Result<(), Error> {
    println!("kept as {}", run.keep(folder)?.display());
    Ok(())
}

fn left_out(options: &Options) -> Vec<String> {
    let mut all: Vec<String> = [
        "callers, agent and node share one machine and its loopback: no network's delay or loss",
        "requests have no key and make no call; neither uwsgi nor CoAP front, tiers, directory or fleet",
        "the agent takes 3 to 4 ms for every run; what it took is measured and taken off the added time",
        "names are drawn evenly over all classes and tenants, as the end of a list must show",
        "processor time for each request holds the node's time at rest over the span too",
    ]
    .map(str::to_owned)
    .to_vec();
    if !options.only.is_empty() {
        let parts = PARTS.iter().filter(|p| !options.has(**p)).map(|p| format!("{p:?}").to_lowercase());
        all.push(format!("parts not measured: {}", parts.collect::<Vec<_>>().join(", ")));
    }
    all
}
