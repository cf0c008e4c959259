//! Clock times and spans.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A clock time or a span, in microseconds. Clock times start at an arbitrary value and never go back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// A span of complete milliseconds, saturating.
    pub const fn from_millis(ms: u64) -> Self {
        Micros(ms.saturating_mul(1000))
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// A span of seconds; negative and non-finite values become zero.
    pub fn from_secs_f64(seconds: f64) -> Self {
        Micros((seconds * 1e6) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;
    /// Saturating sum.
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    /// Difference; zero where `other` is later.
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}
