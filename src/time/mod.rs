//! Time as a node has it. No I/O: [`process`] reads the clocks.
//!
//! Everything that is waited for, compared or counted is a [`Micros`] of a monotonic clock. Wall-clock time is a type of its own,
//! [`WallTime`], and enters in one way only: as the `since` of a request, which [`Arrivals`] turns into an arrival on the
//! monotonic clock once, as the request is read. So a step of the wall clock moves no deadline, window, wait or grace.

pub mod process;

use std::cell::RefCell;
use std::rc::Rc;

use crate::interface::Micros;

/// A time of the system's wall clock, µs since 1970. It may be stepped at any moment, and has no order with [`Micros`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WallTime(pub u64);

impl WallTime {
    /// A time in whole milliseconds, as requests carry it.
    #[must_use]
    pub fn from_millis(ms: u64) -> WallTime {
        WallTime(ms.saturating_mul(1_000))
    }
}

/// A change of the difference between the clocks from which on the wall clock counts as stepped, µs. Below it lie the slewing of
/// a disciplined clock and the time between two readings.
const STEP_US: i64 = 20_000;
/// Differences remembered. A request written before a step is read after it with the earlier one.
const OFFSETS: usize = 4;
/// The age that a request may have whose `since` lies ahead of the clock: how long bytes wait for a process that is not stopped.
const UNKNOWN_AGE: Micros = Micros::from_millis(1_000);
/// How long a plausible `since` shows that the clocks of callers and node agree.
const AGREED: Micros = Micros::from_millis(60_000);

/// When a request reached the machine, as closely as its `since` and the clock's steps allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The likeliest time, which deadlines and the drain's grace count from.
    pub at: Micros,
    /// The earliest time, by which a window is judged: it is not later than the time at which the request was written.
    pub earliest: Micros,
}

impl Arrival {
    /// A request that says nothing of its time.
    #[must_use]
    pub fn now(now: Micros) -> Arrival {
        Arrival { at: now, earliest: now }
    }
}

/// Turns wall-clock times of requests into arrivals on the monotonic clock.
#[derive(Debug, Default)]
pub struct WallClock {
    /// Wall clock less monotonic clock, µs, the newest first.
    offsets: Vec<i64>,
    steps: u64,
    /// When a request last had an age that is possible.
    plausible: Option<Micros>,
}

impl WallClock {
    /// Both clocks have been read. Gives the size of the step, µs, if the wall clock has been stepped.
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
        self.offsets.truncate(OFFSETS);
        Some(step)
    }

    /// Steps seen.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// When a request that is read now reached the machine, which says it came `since` then; `longest` is the longest that
    /// anybody waits for an answer.
    ///
    /// Of the ages that it has by the differences remembered, the least that is possible counts. Where all lie below zero it
    /// counts from its reading. Where all are longer than anybody waits it is stale if the clocks have agreed of late, and else
    /// its time is no time of this clock, and it counts from its reading.
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
        let agreed = self.plausible.is_some_and(|at| now <= at + AGREED);
        Arrival { at: if agreed { now - least } else { now }, earliest }
    }
}

fn signed(us: u64) -> i64 {
    i64::try_from(us).unwrap_or(i64::MAX / 4).min(i64::MAX / 4)
}

/// The process's [`WallClock`], as all connections share it.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(Rc<RefCell<WallClock>>);

impl Arrivals {
    /// See [`WallClock::observe`].
    pub fn observe(&self, now: Micros, wall: WallTime) -> Option<i64> {
        self.0.borrow_mut().observe(now, wall)
    }

    /// See [`WallClock::arrival`].
    #[must_use]
    pub fn arrival(&self, now: Micros, since: WallTime, longest: Micros) -> Arrival {
        self.0.borrow_mut().arrival(now, since, longest)
    }

    /// See [`WallClock::steps`].
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.0.borrow().steps()
    }
}

#[cfg(test)]
mod tests;
