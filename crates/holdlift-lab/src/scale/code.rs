//! The decision code alone, without a socket.

use std::path::PathBuf;

use super::Error;

/// What is measured, and where it is kept.
#[derive(clap::Args)]
pub struct Options {
    /// Keep the run in this folder.
    #[arg(long, value_name = "DIR")]
    pub keep: Option<PathBuf>,
}

/// Measures.
///
/// # Errors
/// What keeps the run from starting, or from being kept.
pub async fn run(_options: Options) -> Result<bool, Error> {
    Err("not built yet".into())
}
