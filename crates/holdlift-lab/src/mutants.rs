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
    /// What the page is headed.
    title: String,
    /// What `cargo` is to do.
    test: Vec<String>,
    /// The seeds that the test plays, where it plays any.
    #[serde(default)]
    seeds: String,
    mutant: Vec<Mutant>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Mutant {
    name: String,
    #[serde(flatten)]
    edit: Edit,
    /// Further lines, where one guard stands behind another.
    #[serde(default)]
    also: Vec<Edit>,
    /// The one test that is to find it; all where none is named.
    #[serde(default)]
    scene: String,
    /// `found`, or `safe` for one that this test is not to find.
    #[serde(default = "found")]
    expect: String,
    #[serde(default)]
    why: String,
}

/// One line, and what stands in its place.
#[derive(Debug, Deserialize)]
struct Edit {
    file: PathBuf,
    from: String,
    to: String,
}

impl Edit {
    /// Puts it into a tree; what stood in the file before.
    fn put(&self, tree: &Path, name: &str) -> Result<(PathBuf, String), MutantError> {
        let path = tree.join(&self.file);
        let file = |e| MutantError::File(path.clone(), e);
        let read = std::fs::read_to_string(&path).map_err(file)?;
        let times = read.matches(&self.from).count();
        if times != 1 {
            return Err(MutantError::Line(path, name.to_owned(), times));
        }
        std::fs::write(&path, read.replacen(&self.from, &self.to, 1)).map_err(file)?;
        Ok((path, read))
    }
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
        if !self.passes(tree, "").0 {
            return Err(MutantError::Broken);
        }
        let mut table = format!("# {}\n\n", self.title);
        if !self.seeds.is_empty() {
            table += &format!("Seeds {}.\n\n", self.seeds);
        }
        table += "| mutant | | found by | s |\n|---|---|---|---|\n";
        let mut all = true;
        for m in &self.mutant {
            let mut former = Vec::new();
            let put = std::iter::once(&m.edit).chain(&m.also).try_for_each(|e| {
                former.push(e.put(tree, &m.name)?);
                Ok(())
            });
            let start = Instant::now();
            let ran = put.map(|()| self.passes(tree, &m.scene));
            for (path, text) in former.into_iter().rev() {
                std::fs::write(&path, text).map_err(|e| MutantError::File(path, e))?;
            }
            let (passes, said) = ran?;
            let by = said.lines().find_map(finder);
            // One that does not build has not been found by anybody.
            let found = !passes && by.is_some();
            all &= found == (m.expect == "found");
            let what = match (found, m.why.is_empty()) {
                (true, _) => "found".to_owned(),
                (false, true) => "**not found**".to_owned(),
                (false, false) => format!("not found: {}", m.why),
            };
            let row = format!(
                "| {} | {what} | {} | {:.0} |",
                m.name,
                by.unwrap_or_default(),
                start.elapsed().as_secs_f64()
            );
            println!("{row}");
            table += &row;
            table.push('\n');
        }
        Ok((table, all))
    }

    fn passes(&self, tree: &Path, scene: &str) -> (bool, String) {
        let mut command = Command::new("cargo");
        command
            .args(&self.test)
            .args(["--", scene].iter().filter(|_| !scene.is_empty()))
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

/// The seed or test that a line of a test's output names as failed.
fn finder(line: &str) -> Option<String> {
    if let Some(seed) = line.strip_prefix("seed ").and_then(|l| l.split(':').next()) {
        return Some(format!("seed {seed}"));
    }
    let test = line.strip_prefix("test ")?.strip_suffix(" ... FAILED")?;
    Some(format!("`{}`", test.rsplit("::").next().unwrap_or(test)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_found_it_is_read() {
        let cases = [
            ("seed 7: replay with HOLDLIFT_SEEDS=7..8", Some("seed 7")),
            ("test fleet::purse::tests::spent ... FAILED", Some("`spent`")),
            ("test fleet::purse::tests::spent ... ok", None),
            ("error: could not compile", None),
        ];
        for (line, by) in cases {
            assert_eq!(finder(line).as_deref(), by, "{line}");
        }
    }
}
