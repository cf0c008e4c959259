//! A run as it is kept: figures and series, with the command, commit, date and machine that they come from. Neither a
//! path nor a host's name goes in.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};
use std::{fs, io};

use serde::{Deserialize, Serialize};

use super::fit::{Fit, fit};

/// One measured number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    pub value: f64,
    pub unit: String,
}

/// One size of a series.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    pub x: f64,
    /// The mean of what was measured there.
    pub y: f64,
    /// Half of the range between the least and the most measured there, in the unit of `y`; 0 where one was taken.
    pub spread: f64,
}

impl Point {
    /// The mean of some measurements and half of their range.
    #[must_use]
    pub fn of(x: f64, measured: &[f64]) -> Self {
        let n = measured.len().max(1) as f64;
        let least = measured.iter().copied().fold(f64::INFINITY, f64::min);
        let most = measured.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let spread = if measured.len() < 2 { 0.0 } else { (most - least) / 2.0 };
        Self { x: six(x), y: six(measured.iter().sum::<f64>() / n), spread: six(spread) }
    }
}

/// One figure by size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub name: String,
    /// What `x` counts, as `nodes`.
    pub x: String,
    /// Of `y`.
    pub unit: String,
    pub points: Vec<Point>,
    /// None with fewer than four sizes.
    pub fit: Option<Fit>,
}

/// What it was measured on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub cores: usize,
    pub memory_mb: u64,
}

/// One run of one command.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Run {
    pub name: String,
    pub command: String,
    /// Of the sources; ends in `+` where they differed from it.
    pub commit: String,
    /// UTC, as `2026-12-02`.
    pub date: String,
    pub machine: Machine,
    /// Ended before all was measured.
    pub partial: bool,
    /// What the run leaves out, against the real thing.
    pub left_out: Vec<String>,
    pub figures: BTreeMap<String, Figure>,
    pub series: Vec<Series>,
}

impl Run {
    /// A run that begins now, by this command line (program name first). It counts as partial until `whole` is said.
    #[must_use]
    pub fn begin(name: &str, argv: &[String]) -> Self {
        Self {
            name: name.to_owned(),
            command: command(argv),
            commit: commit(),
            date: today(),
            machine: machine(),
            partial: true,
            ..Self::default()
        }
    }

    /// All that was to be measured has been.
    pub fn whole(&mut self) {
        self.partial = false;
    }

    /// Enters a figure, to six digits. Replaces one of the same key.
    pub fn figure(&mut self, key: &str, value: f64, unit: &str) {
        self.figures.insert(key.to_owned(), Figure { value: six(value), unit: unit.to_owned() });
    }

    /// Enters a series with its fit.
    pub fn series(&mut self, name: &str, x: &str, unit: &str, points: Vec<Point>) {
        let points: Vec<Point> =
            points.iter().map(|p| Point { x: six(p.x), y: six(p.y), spread: six(p.spread) }).collect();
        let fit = fit(&points);
        self.series.push(Series { name: name.into(), x: x.into(), unit: unit.into(), points, fit });
    }

    /// Writes `FOLDER/NAME.json`, whole or not at all.
    ///
    /// # Errors
    /// What the file system says; figures that are no numbers.
    pub fn keep(&self, folder: &Path) -> io::Result<PathBuf> {
        let odd = |v: &f64| !v.is_finite();
        if let Some((key, _)) = self.figures.iter().find(|(_, f)| odd(&f.value)) {
            return Err(io::Error::other(format!("{key} is no number")));
        }
        if let Some(s) = self.series.iter().find(|s| s.points.iter().any(|p| odd(&p.y))) {
            return Err(io::Error::other(format!("a point of {} is no number", s.name)));
        }
        fs::create_dir_all(folder)?;
        let (path, part) =
            (folder.join(format!("{}.json", self.name)), folder.join(format!("{}.part", self.name)));
        fs::write(&part, serde_json::to_string_pretty(self)? + "\n")?;
        fs::rename(&part, &path)?;
        Ok(path)
    }

    /// Reads a kept run.
    ///
    /// # Errors
    /// What the file system says; what is no run.
    pub fn load(file: &Path) -> io::Result<Self> {
        Ok(serde_json::from_slice(&fs::read(file)?)?)
    }

    /// All runs kept in a folder, by name.
    ///
    /// # Errors
    /// As `load`.
    pub fn all(folder: &Path) -> io::Result<Vec<Self>> {
        let mut runs = Vec::new();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == "json") {
                runs.push(Self::load(&path)?);
            }
        }
        runs.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(runs)
    }
}

/// To six significant digits: what is kept reads well, and no clock is better than that.
fn six(v: f64) -> f64 {
    if v == 0.0 || !v.is_finite() { v } else { format!("{v:.5e}").parse().unwrap_or(v) }
}

/// The command line without the folders of this machine: of an absolute path its last part is kept.
fn command(argv: &[String]) -> String {
    let short = |a: &String| {
        let (flag, value) = a.split_once('=').map_or((None, a.as_str()), |(f, v)| (Some(f), v));
        let value = match Path::new(value).file_name() {
            Some(name) if value.starts_with('/') => name.to_string_lossy().into_owned(),
            _ => value.to_owned(),
        };
        flag.map_or(value.clone(), |f| format!("{f}={value}"))
    };
    let mut words: Vec<String> = argv.iter().map(short).collect();
    // Whatever a copy of it was called.
    if let Some(program) = words.first_mut() {
        "holdlift-lab".clone_into(program);
    }
    words.join(" ")
}

fn commit() -> String {
    let git = |args: &[&str]| Command::new("git").args(args).output().ok().filter(|o| o.status.success());
    let Some(out) = git(&["rev-parse", "--short", "HEAD"]) else { return "unknown".into() };
    let head = String::from_utf8_lossy(&out.stdout).trim().to_owned();
    let same = git(&["diff", "--quiet", "HEAD", "--", ":/src", ":/crates", ":/Cargo.lock"]).is_some();
    if same { head } else { head + "+" }
}

fn machine() -> Machine {
    let memory_mb = fs::read_to_string("/proc/meminfo").ok().and_then(|t| {
        let line = t.lines().find(|l| l.starts_with("MemTotal:"))?.to_owned();
        line.split_whitespace().nth(1)?.parse::<u64>().ok()
    });
    Machine {
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        memory_mb: memory_mb.unwrap_or(0) / 1024,
    }
}

/// The day by the calendar (proleptic Gregorian, counted in eras of 400 years).
fn today() -> String {
    let days = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs() / 86_400);
    let z = days + 719_468;
    let (era, of_era) = (z / 146_097, z % 146_097);
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let day = of_era - (365 * year + year / 4 - year / 100);
    let m = (5 * day + 2) / 153;
    let (date, month) = (day - (153 * m + 2) / 5 + 1, if m < 10 { m + 3 } else { m - 9 });
    format!("{:04}-{month:02}-{date:02}", era * 400 + year + u64::from(month <= 2))
}
