//! The clock by which leases expire.

use rustix::time::{ClockId, clock_gettime};

use crate::fleet::LeaseInstant;

/// A monotonic clock that advances while the process is stopped and while the machine sleeps, and that changes of the wall clock
/// do not affect.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClock {
    speed: f64,
}

impl LeaseClock {
    /// A clock that runs at `speed` times real time: 1, except in drills that test clock drift.
    #[must_use]
    pub fn new(speed: f64) -> LeaseClock {
        LeaseClock { speed }
    }

    /// The current time, µs since the machine's start multiplied by the speed.
    #[must_use]
    pub fn now(&self) -> LeaseInstant {
        let t = clock_gettime(ClockId::Boottime);
        let us = t.tv_sec.unsigned_abs() * 1_000_000 + t.tv_nsec.unsigned_abs() / 1_000;
        // A drill's clock is zero at the machine's start too, so that it continues over restarts of the process as the real one
        // does.
        LeaseInstant(if self.speed == 1.0 { us } else { (us as f64 * self.speed) as u64 })
    }
}
