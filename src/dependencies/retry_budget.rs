//! Retry budgets: retries are a share of first attempts, so that they cannot multiply while a tier is failing.

use std::collections::VecDeque;

use crate::interface::Micros;

/// A token bucket: a first attempt adds `share` of a token, a retry takes one.
///
/// Whatever the order of calls, retries never exceed `share * first attempts + burst`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A budget with a share of 0 to 1, filled with a burst of 0 or more retries.
    pub fn new(share: f64, burst: f64) -> RetryBudget {
        RetryBudget { share: share.clamp(0.0, 1.0), burst: burst.max(0.0), tokens: burst.max(0.0) }
    }

    /// Adds the share of one first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one retry; false if the budget does not allow it.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        let is_affordable = self.tokens >= 1.0;
        if is_affordable {
            self.tokens -= 1.0;
        }
        is_affordable
    }

    /// Retries that could be made now.
    pub fn available_retries(&self) -> f64 {
        self.tokens
    }
}

/// Parts of the window by which credit is counted.
const PARTS: u64 = 8;

/// Credit earned in one part of the window.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EarnedCredit {
    ends_at: Micros,
    credit: f64,
}

/// Retry credit that first attempts have earned, each for one window: there is no burst, and a new process starts with none.
/// Retries beyond it are funded by the fleet's budget.
///
/// In any span the retries paid from it are at most `share` of the first attempts answered in that span and the window before.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryCredit {
    share: f64,
    part_duration: Micros,
    /// Oldest first, at most [`PARTS`] + 1.
    window_parts: VecDeque<EarnedCredit>,
}

impl RetryCredit {
    /// An empty credit with a share of 0 to 1 and a window of 10 ms or more.
    #[must_use]
    pub fn new(share: f64, window: Micros) -> RetryCredit {
        let part_duration = Micros((window.0 / PARTS).max(1));
        RetryCredit { share: share.clamp(0.0, 1.0), part_duration, window_parts: VecDeque::new() }
    }

    fn drop_expired(&mut self, now: Micros) {
        let retention = Micros(self.part_duration.0 * (PARTS - 1));
        while self.window_parts.front().is_some_and(|part| part.ends_at + retention <= now) {
            self.window_parts.pop_front();
        }
    }

    /// Adds the share of one first attempt that was answered.
    pub fn record_first_attempt(&mut self, now: Micros) {
        self.drop_expired(now);
        match self.window_parts.back_mut().filter(|part| now < part.ends_at) {
            Some(part) => part.credit += self.share,
            None => {
                let part = EarnedCredit { ends_at: now + self.part_duration, credit: self.share };
                self.window_parts.push_back(part);
            }
        }
    }

    /// Takes one retry from the oldest credit; false if less than one is left.
    #[must_use]
    pub fn try_retry(&mut self, now: Micros) -> bool {
        self.drop_expired(now);
        // Sums of shares carry rounding errors: ten tenths count as one.
        if self.window_parts.iter().map(|part| part.credit).sum::<f64>() < 1.0 - 1e-9 {
            return false;
        }
        let mut unpaid = 1.0;
        for part in &mut self.window_parts {
            let paid = part.credit.min(unpaid);
            part.credit -= paid;
            unpaid -= paid;
        }
        true
    }
}

#[cfg(test)]
mod tests;
