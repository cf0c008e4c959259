//! One-line mutants: each is put into a copy of the tree, the test is run, and the line is put back.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Instant;

use serde::Deserialize;
use thiserror::Error;

/// A file of mutants.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mutants {
    /// What `cargo` is to do.
    test: Vec<String>,
    /// The seeds that the test plays.
    seeds: String,
    mutant: Vec<Mutant>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Mutant {
    name: String,
    file: PathBuf,
    from: String,
    to: String,
    /// `found`, or `safe` for one that this test is not to find.
    #[serde(default = "found")]
    expect: String,
    #[serde(default)]
    why: String,
}

fn found() -> String {
    "found".to_owned()
}

/// What kept mutants from being tried.
#[derive(Debug, Error)]
pub enum MutantError {
    /// A file can't be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// The file of mutants is no good.
    #[error("{0}: {1}")]
    Bad(PathBuf, toml::de::Error),
    /// The line is not there once and only once.
    #[error("{0}: the line of \"{1}\" is there {2} times")]
    Line(PathBuf, String, usize),
    /// The test fails without a mutant.
    #[error("the test fails as the tree stands")]
    Broken,
}

impl Mutants {
    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn load(path: &Path) -> Result<Mutants, MutantError> {
        let text = std::fs::read_to_string(path).map_err(|e| MutantError::File(path.to_owned(), e))?;
        toml::from_str(&text).map_err(|e| MutantError::Bad(path.to_owned(), e))
    }

    /// Tries each in that tree; a table, and whether all came out as expected.
    ///
    /// # Errors
    /// What kept one from being tried.
    pub fn play(&self, tree: &Path) -> Result<(String, bool), MutantError> {
        if !self.passes(tree).0 {
            return Err(MutantError::Broken);
        }
        let mut table = format!("| mutant | seeds {} | found by seed | s |\n|---|---|---|---|\n", self.seeds);
        let mut all = true;
        for m in &self.mutant {
            let path = tree.join(&m.file);
            let read = std::fs::read_to_string(&path).map_err(|e| MutantError::File(path.clone(), e))?;
            let times = read.matches(&m.from).count();
            if times != 1 {
                return Err(MutantError::Line(path, m.name.clone(), times));
            }
            let write =
                |text: &str| std::fs::write(&path, text).map_err(|e| MutantError::File(path.clone(), e));
            write(&read.replacen(&m.from, &m.to, 1))?;
            let start = Instant::now();
            let (passes, said) = self.passes(tree);
            write(&read)?;
            let seed =
                said.lines().find_map(|l| l.strip_prefix("seed ")?.split(':').next().map(str::to_owned));
            // One that does not build has not been found by anybody.
            let found = !passes && seed.is_some();
            all &= found == (m.expect == "found");
            let what = match (found, m.why.is_empty()) {
                (true, _) => "found".to_owned(),
                (false, true) => "**not found**".to_owned(),
                (false, false) => format!("not found: {}", m.why),
            };
            let row = format!(
                "| {} | {what} | {} | {:.0} |",
                m.name,
                seed.unwrap_or_default(),
                start.elapsed().as_secs_f64()
            );
            println!("{row}");
            table += &row;
            table.push('\n');
        }
        Ok((table, all))
    }

    fn passes(&self, tree: &Path) -> (bool, String) {
        let mut command = Command::new("cargo");
        command
            .args(&self.test)
            .current_dir(tree)
            .env("HOLDLIFT_SEEDS", &self.seeds)
            .env("CARGO_INCREMENTAL", "1")
            .stdin(Stdio::null());
        match command.output() {
            Ok(out) => {
                let said = [out.stdout, out.stderr].concat();
                (out.status.success(), String::from_utf8_lossy(&said).into_owned())
            }
            Err(e) => (false, e.to_string()),
        }
    }
}
