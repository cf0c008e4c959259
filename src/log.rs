//! Structured logging: text or JSON lines on standard error, and a rate limit for lines that a peer can cause.

use std::cell::Cell;
use std::time::{Duration, Instant};

use clap::ValueEnum;
use thiserror::Error;
use tracing_subscriber::EnvFilter;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Plain text, for reading on a terminal.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The value of `--log` is not a valid filter.
#[derive(Debug, Error)]
#[error("--log '{filter}': {reason}; right would be: warn, info, debug or info,holdlift::door=debug")]
pub struct InvalidLogFilter {
    filter: String,
    reason: String,
}

/// Starts logging to standard error. Later calls in the same process change nothing.
///
/// # Errors
/// The filter is invalid.
pub fn start_logging(filter: &str, format: LogFormat) -> Result<(), InvalidLogFilter> {
    let invalid = |reason: String| InvalidLogFilter { filter: filter.to_owned(), reason };
    // The consensus library of a replica logs each of its steps at `info`. These lines appear only if the filter names it.
    let openraft_level = if filter.contains("openraft") { "" } else { ",openraft=error" };
    let levels =
        EnvFilter::try_new(format!("{filter}{openraft_level}")).map_err(|e| invalid(e.to_string()))?;
    let lines =
        tracing_subscriber::fmt().with_env_filter(levels).with_writer(std::io::stderr).with_ansi(false);
    // A second call, as in tests, fails and changes nothing.
    let _ = match format {
        LogFormat::Text => lines.with_target(false).try_init(),
        LogFormat::Json => lines.json().try_init(),
    };
    Ok(())
}

/// Limits how often a line is written and counts the suppressed lines, so that peers cannot fill the log.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    last: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl LogRateLimiter {
    /// The shortest time between two written lines.
    pub const MIN_INTERVAL: Duration = Duration::from_secs(1);

    /// `Some` if a line may be written now, with the number of lines suppressed since the last one.
    pub fn permit(&self) -> Option<u64> {
        self.permit_at(Instant::now())
    }

    fn permit_at(&self, now: Instant) -> Option<u64> {
        if self
            .last
            .get()
            .is_some_and(|last| now.saturating_duration_since(last) < LogRateLimiter::MIN_INTERVAL)
        {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.last.set(Some(now));
        Some(self.suppressed.take())
    }
}

#[cfg(test)]
mod tests;
