//! Monotonic and wall-clock time of a node, without I/O: [`process`] reads the clocks.
//!
//! Every time that is awaited, compared or counted is a [`Micros`] of a monotonic clock. Wall-clock time has its own type,
//! [`WallTime`], and enters only as the `since` field of a request. [`Arrivals`] converts it into an arrival on the monotonic
//! clock once, when the request is read. So a step of the wall clock moves no deadline, window, wait or grace period.

pub mod process;

use std::cell::RefCell;
use std::rc::Rc;

use crate::interface::Micros;

/// A time of the system's wall clock, µs since 1970. The clock may be stepped at any time, and its times cannot be
/// compared with [`Micros`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WallTime(pub u64);

impl WallTime {
    /// A time in whole milliseconds, as requests carry it.
    #[must_use]
    pub fn from_millis(ms: u64) -> WallTime {
        WallTime(ms.saturating_mul(1_000))
    }
}

/// The wall clock counts as stepped if the difference between the clocks changes by at least this much, µs. The slewing of a
/// synchronized clock and the time between two readings change it by less.
const STEP_US: i64 = 20_000;
/// Maximum number of clock differences that are remembered. A request that is written before a step and read after it is
/// dated with the earlier difference.
const MAX_OFFSETS: usize = 4;
/// The greatest age assumed for a request whose `since` lies ahead of the clock: how long bytes wait for a process that is not
/// stopped.
const UNKNOWN_AGE: Micros = Micros::from_millis(1_000);
/// For this long after a plausible `since` the clocks of the callers and the node count as in agreement.
const AGREEMENT_SPAN: Micros = Micros::from_millis(60_000);

/// When a request reached the machine, as closely as its `since` and the clock's steps allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The most likely time, from which deadlines and the grace period of the drain count.
    pub at: Micros,
    /// The earliest possible time, which is compared with idempotency windows. It is not later than the time at which the
    /// request was written.
    pub earliest: Micros,
}

impl Arrival {
    /// The arrival of a request that carries no time.
    #[must_use]
    pub fn now(now: Micros) -> Arrival {
        Arrival { at: now, earliest: now }
    }
}

/// Converts the wall-clock times of requests into arrivals on the monotonic clock.
#[derive(Debug, Default)]
pub struct WallClock {
    /// Wall clock minus monotonic clock, µs, the newest first.
    offsets: Vec<i64>,
    steps: u64,
    /// When a request last had a plausible age.
    plausible: Option<Micros>,
}

impl WallClock {
    /// Records a reading of both clocks. Returns the size of the step, µs, if the wall clock has been stepped since the last
    /// reading.
    pub fn observe(&mut self, now: Micros, wall: WallTime) -> Option<i64> {
        let offset = signed(wall.0) - signed(now.0);
        let Some(newest) = self.offsets.first_mut() else {
            self.offsets.push(offset);
            return None;
        };
        let step = offset - *newest;
        if step.abs() < STEP_US {
            *newest = offset;
            return None;
        }
        self.steps += 1;
        self.plausible = None;
        self.offsets.retain(|known| (known - offset).abs() >= STEP_US);
        self.offsets.insert(0, offset);
        self.offsets.truncate(MAX_OFFSETS);
        Some(step)
    }

    /// The number of steps of the wall clock observed so far.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// When a request that is read now and carries the time `since` reached the machine. `longest` is the longest time that any
    /// caller waits for an answer.
    ///
    /// Each remembered clock difference gives the request an age; the least age that is not negative counts. If all ages are
    /// negative, the request counts as arrived when it is read. If the least age exceeds `longest`, the request is stale if the
    /// clocks were in agreement recently; otherwise its time belongs to another clock, and it counts as arrived when it is read.
    pub fn arrival(&mut self, now: Micros, since: WallTime, longest: Micros) -> Arrival {
        let ages = self.offsets.iter().map(|offset| signed(now.0) + offset - signed(since.0));
        let ages: Vec<Micros> = ages.filter_map(|age| u64::try_from(age).ok()).map(Micros).collect();
        let (Some(&least), Some(&most)) = (ages.iter().min(), ages.iter().max()) else {
            return Arrival { at: now, earliest: now - UNKNOWN_AGE };
        };
        let earliest = now - most;
        if least <= longest {
            self.plausible = Some(now);
            return Arrival { at: now - least, earliest };
        }
        let clocks_agree = self.plausible.is_some_and(|at| now <= at + AGREEMENT_SPAN);
        Arrival { at: if clocks_agree { now - least } else { now }, earliest }
    }
}

/// A time as a signed number, µs. It is capped so that differences of two times cannot overflow.
fn signed(us: u64) -> i64 {
    i64::try_from(us).unwrap_or(i64::MAX / 4).min(i64::MAX / 4)
}

/// The [`WallClock`] of the process, shared by all its connections.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(Rc<RefCell<WallClock>>);

impl Arrivals {
    /// Records a reading of both clocks; see [`WallClock::observe`].
    pub fn observe(&self, now: Micros, wall: WallTime) -> Option<i64> {
        self.0.borrow_mut().observe(now, wall)
    }

    /// Dates a request that is read now; see [`WallClock::arrival`].
    #[must_use]
    pub fn arrival(&self, now: Micros, since: WallTime, longest: Micros) -> Arrival {
        self.0.borrow_mut().arrival(now, since, longest)
    }

    /// The number of steps observed; see [`WallClock::steps`].
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.0.borrow().steps()
    }
}

#[cfg(test)]
mod tests;
