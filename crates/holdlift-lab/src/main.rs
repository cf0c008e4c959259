//! The lab's command line.
#![forbid(unsafe_code)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use holdlift_lab::experiment::{Experiment, judge};
use holdlift_lab::report;

/// Stand-ins, poor links, load and experiments for holdlift, on loopback only.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment, its runs side by side; fails when one of its claims is broken.
    Run {
        /// The experiment's file.
        file: PathBuf,
        /// The first seed only.
        #[arg(long)]
        quick: bool,
        /// One run after the other, for figures that must not disturb each other.
        #[arg(long)]
        one_by_one: bool,
        /// A former program to compare with; runs that need one are left out without it.
        #[arg(long, value_name = "PROGRAM")]
        former: Option<PathBuf>,
        /// Write the results as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write a table (Markdown) and a chart (SVG) into this folder.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Measure what the desk adds to a call, against the pool alone, in one run.
    Cost {
        /// Calls each way.
        #[arg(long, default_value_t = 2_000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
        calls: u32,
    },
    /// A crowd of MessagePack, uwsgi and CoAP at once; fails when one of them is served worse by 0.05.
    Mixed {
        /// Work asked for, as a share of what the cores can do.
        #[arg(long, default_value_t = 1.1)]
        load: f64,
        /// Seeds, from 1 on; 20 s each.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=20))]
        seeds: u64,
    },
    /// Measure what being a member of a fleet costs a node that is idle.
    FleetIdle {
        /// Nodes.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u8).range(1..=24))]
        nodes: u8,
        /// Measured for so long, s.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=120))]
        seconds: u64,
    },
    /// A small fleet at work for half a minute: who is there, who holds how much, what is served, while things fail.
    Demo,
    /// Try one-line mutants in a copy of the tree; fails where one comes out otherwise than its file says.
    Mutants {
        /// The file of mutants.
        file: PathBuf,
        /// A clone that may be changed.
        #[arg(long, value_name = "FOLDER")]
        tree: PathBuf,
        /// Write the table here.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Costs by size: decision code, a real node, hollow nodes beside real ones; each run is kept.
    Scale {
        #[command(subcommand)]
        what: holdlift_lab::scale::cli::What,
    },
    /// Measure memory and throughput of the CoAP front, without a socket.
    CoapCost {
        /// Devices, with one answered request each.
        #[arg(long, default_value_t = 37_000, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
        peers: u32,
    },
}

/// A mixed crowd: whether each front is served alike. The spread is that of the means over the seeds.
async fn mixed(load: f64, seeds: u64) -> bool {
    let span = std::time::Duration::from_secs(20);
    let (mut shares, mut most) = (vec![Vec::new(); 3], 0);
    for seed in 1..=seeds {
        let (of, runs) = holdlift_lab::coap::mixed(load, seed, span).await;
        of.iter().zip(&mut shares).for_each(|(share, all)| all.push(*share));
        most = runs.max(most);
    }
    let means: Vec<(f64, f64)> = shares.iter().map(|s| holdlift_lab::experiment::interval(s)).collect();
    for (name, (mean, half)) in holdlift_lab::coap::FRONTS.iter().zip(&means) {
        println!("{name}: {mean:.3} ± {half:.3} of the work within the aim");
    }
    let least = means.iter().map(|m| m.0).fold(f64::INFINITY, f64::min);
    let spread = means.iter().map(|m| m.0).fold(0.0, f64::max) - least;
    println!("spread {spread:.3}, under 0.05 wanted; most runs of one request {most}");
    spread < 0.05 && most == 1
}

/// What the CoAP front costs, by peers.
fn coap_cost(peers: u32) -> bool {
    let (kib, per_s) = holdlift_lab::coap::cost(peers);
    println!(
        "{peers} peers: {kib:.0} KiB, {:.0} bytes a peer; {per_s:.0} datagrams/s on one core",
        kib * 1024.0 / f64::from(peers)
    );
    true
}

/// What an idle member costs; fails where it is half a hundredth of a core or more.
async fn idle(nodes: u8, seconds: u64) -> bool {
    let span = std::time::Duration::from_secs(seconds);
    let both = holdlift_lab::fleet::idle(usize::from(nodes), span).await;
    for (what, u) in ["alone", "one of a fleet"].iter().zip(&both) {
        println!("{what}: {:.2}% of a core, {:.0} KiB, {:.0} wakes/s", u.cpu * 100.0, u.rss_kb, u.wakes);
    }
    both[1].cpu < 0.005
}

async fn cost(calls: u32) -> bool {
    let c = holdlift_lab::cost::measure(calls).await;
    for (what, unit, h) in [
        ("straight", "us", &c.straight),
        ("by the desk", "us", &c.by_desk),
        ("the desk's own part", "ns", &c.desk),
    ] {
        let (p50, p99) = (h.value_at_quantile(0.5), h.value_at_quantile(0.99));
        println!("{what}: median {p50} {unit}, 99th percentile {p99} {unit}, {} calls", h.len());
    }
    true
}

async fn start() -> Result<bool, Box<dyn std::error::Error>> {
    let (file, quick, one_by_one, former, json, out) = match Cli::parse().command {
        Command::Run { file, quick, one_by_one, former, json, out } => {
            (file, quick, one_by_one, former, json, out)
        }
        Command::Cost { calls } => return Ok(cost(calls).await),
        Command::Mixed { load, seeds } => return Ok(mixed(load, seeds).await),
        Command::CoapCost { peers } => return Ok(coap_cost(peers)),
        Command::FleetIdle { nodes, seconds } => return Ok(idle(nodes, seconds).await),
        Command::Scale { what } => return holdlift_lab::scale::cli::run(what).await,
        Command::Demo => return Ok(holdlift_lab::fleet::demo().await),
        Command::Mutants { file, tree, out } => return mutants(&file, &tree, out),
    };
    match kind(&file)?.as_deref() {
        Some("dependencies") => return dependencies(&file, quick, json, out).await,
        Some("fleet-budgets") => return fleet(&file, quick, out).await,
        Some("coap") => return coap(&file, quick, out).await,
        Some("zones") => return zones(&file, quick, out).await,
        _ => {}
    }
    let experiment = Experiment::load(&file)?;
    let results = experiment.play(former.as_deref(), quick, one_by_one).await;
    let verdicts = judge(&experiment.claims, &results);
    let name = file.file_stem().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
    let page = report::markdown(&name, &experiment, &results, &verdicts);
    if let Some(path) = json {
        std::fs::write(path, serde_json::to_string_pretty(&(&results, &verdicts))?)?;
    }
    match out {
        Some(dir) => {
            std::fs::create_dir_all(&dir)?;
            std::fs::write(dir.join(format!("{name}.md")), &page)?;
            report::chart(&dir.join(format!("{name}.svg")), &name, &results)?;
        }
        None => println!("{page}"),
    }
    for v in &verdicts {
        println!("{}: {:.4} {} {}", v.says, v.figure, v.bound, report::word(v));
    }
    Ok(verdicts.iter().all(|v| v.kept))
}

fn mutants(file: &Path, tree: &Path, out: Option<PathBuf>) -> Result<bool, Box<dyn std::error::Error>> {
    let (table, all) = holdlift_lab::mutants::Mutants::load(file)?.play(tree)?;
    if let Some(path) = out {
        std::fs::write(path, table)?;
    }
    println!("{}", if all { "all as expected" } else { "not as expected" });
    Ok(all)
}

/// Some experiments have a form of their own, and say so.
fn kind(file: &Path) -> Result<Option<String>, Box<dyn std::error::Error>> {
    let table: toml::Table = toml::from_str(&std::fs::read_to_string(file)?)?;
    Ok(table.get("kind").and_then(toml::Value::as_str).map(str::to_owned))
}

async fn fleet(file: &Path, quick: bool, out: Option<PathBuf>) -> Result<bool, Box<dyn std::error::Error>> {
    let experiment = holdlift_lab::fleet::Experiment::load(file)?;
    let results = experiment.play(quick).await;
    let name = file.file_stem().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
    let (page, claims) = experiment.report(&name, &results);
    tell(&name, &page, &claims, out)
}

async fn zones(file: &Path, quick: bool, out: Option<PathBuf>) -> Result<bool, Box<dyn std::error::Error>> {
    let experiment = holdlift_lab::zones::Experiment::load(file)?;
    let results = experiment.play(quick).await;
    let name = file.file_stem().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
    let (page, claims) = experiment.report(&name, &results);
    if let Some(dir) = &out {
        std::fs::create_dir_all(dir)?;
        holdlift_lab::zones::chart(&dir.join(format!("{name}.svg")), &name, &results)?;
    }
    tell(&name, &page, &claims, out)
}

async fn coap(file: &Path, quick: bool, out: Option<PathBuf>) -> Result<bool, Box<dyn std::error::Error>> {
    let experiment = holdlift_lab::coap::Experiment::load(file)?;
    let results = experiment.play(quick).await;
    let name = file.file_stem().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
    let (page, claims) = experiment.report(&name, &results);
    tell(&name, &page, &claims, out)
}

async fn dependencies(
    file: &Path,
    quick: bool,
    json: Option<PathBuf>,
    out: Option<PathBuf>,
) -> Result<bool, Box<dyn std::error::Error>> {
    let experiment = holdlift_lab::dependencies::Experiment::load(file)?;
    let results = experiment.play(quick).await;
    let name = file.file_stem().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
    let (page, claims) = experiment.report(&name, &results);
    if let Some(path) = json {
        std::fs::write(path, serde_json::to_string_pretty(&results)?)?;
    }
    tell(&name, &page, &claims, out)
}

/// Writes or prints a page, and says which claims are kept.
fn tell(
    name: &str,
    page: &str,
    claims: &[(String, f64, bool)],
    out: Option<PathBuf>,
) -> Result<bool, Box<dyn std::error::Error>> {
    match out {
        Some(dir) => {
            std::fs::create_dir_all(&dir)?;
            std::fs::write(dir.join(format!("{name}.md")), page)?;
        }
        None => println!("{page}"),
    }
    for (says, figure, kept) in claims {
        println!("{says}: {figure:.4} {}", if *kept { "kept" } else { "broken" });
    }
    Ok(claims.iter().all(|c| c.2))
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    let ended = match runtime {
        Ok(rt) => rt.block_on(start()),
        Err(e) => Err(e.into()),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(e) => {
            eprintln!("holdlift-lab: {e}");
            ExitCode::FAILURE
        }
    }
}
