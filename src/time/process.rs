//! The clocks of this process.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use super::{Arrivals, WallTime};
use crate::interface::Micros;

/// The monotonic clock's value at the start of the process, µs: ten days, so that what came before the start has a time too.
const START: Micros = Micros::from_millis(10 * 86_400_000);
/// Between the readings of both clocks the process may be stopped. Readings further apart than this are made again, a few times.
const APART: Micros = Micros::from_millis(1);
const READINGS: usize = 3;

static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);

thread_local! {
    static ARRIVALS: Arrivals = Arrivals::default();
}

fn monotonic() -> Micros {
    let elapsed = STARTED.elapsed().as_micros();
    START + Micros(u64::try_from(elapsed).unwrap_or(u64::MAX))
}

/// The system's wall clock. For what leaves the process with a date, and for nothing that is compared with [`now`].
#[must_use]
pub fn wall() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

/// The monotonic clock: CLOCK_MONOTONIC, which no step moves and which stands still while the machine sleeps. The wall clock is
/// looked at in passing, so that a step of it is noticed before a request is read after it.
#[must_use]
pub fn now() -> Micros {
    let mut now = monotonic();
    let mut read = wall();
    for _ in 1..READINGS {
        let after = monotonic();
        if after - now < APART {
            break;
        }
        (now, read) = (after, wall());
    }
    if let Some(step) = ARRIVALS.with(|a| a.observe(now, read)) {
        tracing::warn!(step_us = step, "wall clock stepped by {step} us");
    }
    now
}

/// What turns wall-clock times into arrivals on [`now`]'s clock.
#[must_use]
pub fn arrivals() -> Arrivals {
    ARRIVALS.with(Clone::clone)
}
