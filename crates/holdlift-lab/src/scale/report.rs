//! The page and chart of all kept runs.

use std::path::PathBuf;

use super::Error;

/// Which runs, and where the page goes.
#[derive(clap::Args)]
pub struct Options {
    /// The folder of kept runs.
    runs: PathBuf,
    /// Write `scale.md` and `scale.svg` into this folder.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

/// Writes the page.
///
/// # Errors
/// What can't be read or written.
pub fn run(_options: &Options) -> Result<bool, Error> {
    Err("not built yet".into())
}
