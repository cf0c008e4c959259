//! Readings of the monotonic clock and the wall clock for this process.

use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use super::{Arrivals, WallTime};
use crate::interface::Micros;

/// The value of the monotonic clock at the start of the process, µs. Ten days, so that times before the start can be
/// represented.
const START: Micros = Micros::from_millis(10 * 86_400_000);
/// The process may be suspended between the readings of the two clocks. Readings further apart than this are repeated.
const MAX_READING_GAP: Micros = Micros::from_millis(1);
/// Maximum number of readings of both clocks.
const MAX_READINGS: usize = 3;

static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);

thread_local! {
    static ARRIVALS: Arrivals = Arrivals::default();
}

fn monotonic() -> Micros {
    let elapsed = STARTED.elapsed().as_micros();
    START + Micros(u64::try_from(elapsed).unwrap_or(u64::MAX))
}

/// The system's wall clock, for dates that leave the process. Its times must not be compared with [`now`].
#[must_use]
pub fn wall() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

/// The monotonic clock: CLOCK_MONOTONIC, which no step changes and which does not advance while the machine is suspended. Each
/// call also reads the wall clock, so that a step of it is noticed before the next request is read.
#[must_use]
pub fn now() -> Micros {
    let mut now = monotonic();
    let mut wall_time = wall();
    for _ in 1..MAX_READINGS {
        let after = monotonic();
        if after - now < MAX_READING_GAP {
            break;
        }
        (now, wall_time) = (after, wall());
    }
    if let Some(step) = ARRIVALS.with(|a| a.observe(now, wall_time)) {
        tracing::warn!(step_us = step, "wall clock stepped by {step} us");
    }
    now
}

/// The converter from wall-clock times to arrivals on the clock of [`now`].
#[must_use]
pub fn arrivals() -> Arrivals {
    ARRIVALS.with(Clone::clone)
}
