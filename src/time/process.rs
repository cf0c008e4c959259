//! The clocks of this process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use super::{Arrivals, WallTime};
use crate::interface::Micros;

thread_local! {
    static ARRIVALS: Arrivals = Arrivals::default();
}

/// The system's wall clock. For what leaves the process with a date, and for nothing that is compared with [`now`].
#[must_use]
pub fn wall() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

/// The wall clock, which never goes back here: not yet the monotonic clock that this module is for.
#[must_use]
pub fn now() -> Micros {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let read = wall();
    let now = Micros(LAST.fetch_max(read.0, Ordering::Relaxed).max(read.0));
    let _ = ARRIVALS.with(|a| a.observe(now, WallTime(now.0)));
    now
}

/// What turns wall-clock times into arrivals on [`now`]'s clock.
#[must_use]
pub fn arrivals() -> Arrivals {
    ARRIVALS.with(Clone::clone)
}
