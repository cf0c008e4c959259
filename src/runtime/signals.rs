//! The signals that a process is sent.
//!
//! tokio's own driver panics where its pipe can't be read for a moment, and the process would die with all that it owes. Here a flag
//! tells of each signal, and a pipe only wakes who waits for one: a read of it that fails costs a pause.

use std::io;
use std::os::unix::net::UnixStream as Pipe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::{flag, low_level};
use tokio::net::UnixStream;
use tokio::time::sleep;

/// The pause behind a read that failed.
const PAUSE: Duration = Duration::from_millis(5);

/// A signal that means something here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// SIGTERM: leave.
    Leave,
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGUSR1: print the counters.
    Print,
}

/// All of them, the most pressing first.
const SIGNALS: [(Signal, i32); 3] =
    [(Signal::Leave, SIGTERM), (Signal::Reload, SIGHUP), (Signal::Print, SIGUSR1)];

/// Signals that have come and were not taken yet. Several of one kind are one.
pub(crate) struct Signals {
    came: Vec<(Signal, Arc<AtomicBool>)>,
    pipe: UnixStream,
}

impl Signals {
    /// Takes them from now on.
    ///
    /// # Errors
    /// The system's reason.
    pub fn new() -> io::Result<Signals> {
        let (read, write) = Pipe::pair()?;
        read.set_nonblocking(true)?;
        write.set_nonblocking(true)?;
        let mut came = Vec::new();
        for (signal, number) in SIGNALS {
            let flag = Arc::new(AtomicBool::new(false));
            // In this order: who is woken finds the flag.
            flag::register(number, flag.clone())?;
            low_level::pipe::register(number, write.try_clone()?)?;
            came.push((signal, flag));
        }
        Ok(Signals { came, pipe: UnixStream::from_std(read)? })
    }

    /// The next one. Nothing is lost where the future is dropped.
    pub async fn next(&self) -> Signal {
        loop {
            if let Some((signal, _)) = self.came.iter().find(|(_, flag)| flag.swap(false, Ordering::AcqRel)) {
                return *signal;
            }
            match self.pipe.try_read(&mut [0; 64]) {
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => _ = self.pipe.readable().await,
                Err(_) => sleep(PAUSE).await,
            }
        }
    }
}
