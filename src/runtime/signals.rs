//! The signals that a process receives.
//!
//! tokio's own signal driver panics when a read of its pipe fails, even once, and the process would end with requests unanswered.
//! Here a flag records each signal, and a pipe only wakes the task that waits for one: a failed read costs a pause.

use std::io;
use std::os::unix::net::UnixStream as Pipe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::{flag, low_level};
use tokio::net::UnixStream;
use tokio::time::sleep;

/// Pause after a failed read of the pipe.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A signal that the process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// SIGTERM: the notice to leave.
    Leave,
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGUSR1: log the counters.
    Print,
}

/// All handled signals, in the order in which pending ones are returned.
const SIGNALS: [(Signal, i32); 3] =
    [(Signal::Leave, SIGTERM), (Signal::Reload, SIGHUP), (Signal::Print, SIGUSR1)];

/// Signals that have arrived and were not handled yet. Several pending signals of one kind count as one.
pub(crate) struct Signals {
    pending: Vec<(Signal, Arc<AtomicBool>)>,
    pipe: UnixStream,
}

impl Signals {
    /// Handles the signals from now on.
    ///
    /// # Errors
    /// The pipe can't be created, or a handler can't be registered.
    pub fn new() -> io::Result<Signals> {
        let (read, write) = Pipe::pair()?;
        read.set_nonblocking(true)?;
        write.set_nonblocking(true)?;
        let mut pending = Vec::new();
        for (signal, number) in SIGNALS {
            let flag = Arc::new(AtomicBool::new(false));
            // The flag is registered first, so that it is set before the pipe wakes the waiting task.
            flag::register(number, flag.clone())?;
            low_level::pipe::register(number, write.try_clone()?)?;
            pending.push((signal, flag));
        }
        Ok(Signals { pending, pipe: UnixStream::from_std(read)? })
    }

    /// Waits for the next signal. Cancel safe: no signal is lost if the future is dropped.
    pub async fn next(&self) -> Signal {
        loop {
            if let Some((signal, _)) =
                self.pending.iter().find(|(_, flag)| flag.swap(false, Ordering::AcqRel))
            {
                return *signal;
            }
            match self.pipe.try_read(&mut [0; 64]) {
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => _ = self.pipe.readable().await,
                Err(_) => sleep(READ_RETRY_INTERVAL).await,
            }
        }
    }
}
