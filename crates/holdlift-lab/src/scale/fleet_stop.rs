//! A run that is ended half way stops all that it started, and says that it is partial.

use tokio::signal::unix::{SignalKind, signal};

use super::Error;
use super::record::Run;

/// Runs something until it ends, or until this process is told to: then all that it holds is dropped, and with that ended.
/// Nothing where it was told to.
///
/// # Errors
/// Its own.
pub async fn until_told<T>(work: impl Future<Output = Result<T, Error>>) -> Result<Option<T>, Error> {
    let mut terminated = signal(SignalKind::terminate())?;
    let mut interrupted = signal(SignalKind::interrupt())?;
    tokio::select! {
        done = work => done.map(Some),
        _ = terminated.recv() => Ok(None),
        _ = interrupted.recv() => Ok(None),
    }
}

/// Marks a run by how it ended; an error that came after something was measured leaves a partial run. False where it is
/// partial.
///
/// # Errors
/// What kept it from measuring anything.
pub fn judge(ended: Result<Option<()>, Error>, run: &mut Run) -> Result<bool, Error> {
    match ended {
        Ok(Some(())) => {
            run.whole();
            Ok(true)
        }
        Ok(None) => {
            eprintln!("ended half way; what was measured is partial");
            Ok(false)
        }
        Err(e) if run.series.is_empty() && run.figures.is_empty() => Err(e),
        Err(e) => {
            eprintln!("{e}; what was measured before is partial");
            Ok(false)
        }
    }
}
