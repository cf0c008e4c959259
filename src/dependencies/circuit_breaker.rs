//! A circuit breaker: a tier that fails is not called for a while, then probed by a few calls.
//!
//! It opens when the share of failures in a sliding window reaches a bound, lets probes pass after a time that doubles with
//! each failed probe, and closes after as many successful probes in a row. It is independent of what a call is.

use crate::interface::Micros;

/// The settings of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitBreakerSettings {
    /// Share of failures at which it opens, above 0 to 1; `None` keeps it closed.
    pub failure_share: Option<f64>,
    /// Calls in the window before it may open, 1 or more.
    pub min_calls: u32,
    /// The window.
    pub window: Micros,
    /// How long it stays open at first; doubled each time that a probe fails.
    pub open_duration: Micros,
    /// The longest that it stays open.
    pub open_duration_max: Micros,
    /// Concurrent probes while half open, 1 or more; as many must succeed in a row.
    pub probes: u32,
}

/// The state of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CircuitState {
    /// All calls pass.
    Closed,
    /// No call passes.
    Open,
    /// Probes pass.
    HalfOpen,
}

/// A change of state, and the calls that caused it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CircuitTransition {
    /// The state before.
    pub from: CircuitState,
    /// The state after.
    pub to: CircuitState,
    /// Calls counted.
    pub calls: u32,
    /// Failed ones among them.
    pub failed: u32,
}

/// Calls and failures in one half of the window.
#[derive(Clone, Copy, Debug, Default)]
struct CallCounts {
    calls: u32,
    failed: u32,
}

/// A circuit breaker for one tier.
#[derive(Clone, Copy, Debug)]
pub struct CircuitBreaker {
    settings: CircuitBreakerSettings,
    state: CircuitState,
    /// The window in two halves, the older one first.
    window_halves: [CallCounts; 2],
    half_started_at: Micros,
    opened_at: Micros,
    open_for: Micros,
    probes_in_flight: u32,
    probes_succeeded: u32,
}

impl CircuitBreaker {
    /// A closed breaker.
    pub fn new(now: Micros, settings: CircuitBreakerSettings) -> CircuitBreaker {
        CircuitBreaker {
            state: CircuitState::Closed,
            window_halves: [CallCounts::default(); 2],
            half_started_at: now,
            opened_at: now,
            open_for: settings.open_duration,
            probes_in_flight: 0,
            probes_succeeded: 0,
            settings,
        }
    }

    /// The present state.
    pub fn state(&self) -> CircuitState {
        self.state
    }

    /// Whether a call may pass now, and the transition to half open if this made one.
    pub fn check(&mut self, now: Micros) -> (bool, Option<CircuitTransition>) {
        match self.state {
            CircuitState::Closed => (true, None),
            CircuitState::Open if now >= self.opened_at + self.open_for => {
                self.probes_in_flight = 0;
                self.probes_succeeded = 0;
                (true, Some(self.transition(now, CircuitState::HalfOpen, CallCounts::default())))
            }
            CircuitState::Open => (false, None),
            CircuitState::HalfOpen => (self.probes_in_flight < self.settings.probes, None),
        }
    }

    /// Counts a call that [`CircuitBreaker::check`] let pass.
    pub fn call_started(&mut self) {
        if self.state == CircuitState::HalfOpen {
            self.probes_in_flight += 1;
        }
    }

    /// Counts out a cancelled call, which counts as neither success nor failure: another may probe in its place.
    pub fn call_cancelled(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }

    /// Takes a call's outcome; returns the transition that it causes.
    pub fn call_ended(&mut self, now: Micros, has_failed: bool) -> Option<CircuitTransition> {
        let failure_share = self.settings.failure_share?;
        match self.state {
            CircuitState::Closed => self.count_closed(now, has_failed, failure_share),
            // These calls started before the breaker opened; their outcomes add no information.
            CircuitState::Open => None,
            CircuitState::HalfOpen => self.count_probe(now, has_failed),
        }
    }

    /// Counts a call in the window, and opens once the share of failures is reached.
    fn count_closed(
        &mut self,
        now: Micros,
        has_failed: bool,
        failure_share: f64,
    ) -> Option<CircuitTransition> {
        self.rotate_window(now);
        let [older, newer] = &mut self.window_halves;
        newer.calls += 1;
        newer.failed += u32::from(has_failed);
        let total = CallCounts { calls: older.calls + newer.calls, failed: older.failed + newer.failed };
        let is_over = total.calls >= self.settings.min_calls
            && f64::from(total.failed) >= failure_share * f64::from(total.calls);
        (has_failed && is_over).then(|| {
            self.open_for = self.settings.open_duration;
            self.transition(now, CircuitState::Open, total)
        })
    }

    /// Counts a probe: a failure opens for twice as long, enough successes close.
    fn count_probe(&mut self, now: Micros, has_failed: bool) -> Option<CircuitTransition> {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        if has_failed {
            self.open_for = Micros(self.open_for.0 * 2).min(self.settings.open_duration_max);
            let counts = CallCounts { calls: self.probes_succeeded + 1, failed: 1 };
            return Some(self.transition(now, CircuitState::Open, counts));
        }
        self.probes_succeeded += 1;
        let counts = CallCounts { calls: self.probes_succeeded, failed: 0 };
        (counts.calls >= self.settings.probes).then(|| self.transition(now, CircuitState::Closed, counts))
    }

    /// Drops the older half of the window once the newer one is over, and both where nothing was called for a whole window.
    fn rotate_window(&mut self, now: Micros) {
        let half = Micros(self.settings.window.0 / 2);
        let age = now - self.half_started_at;
        if age >= half {
            let is_stale = age >= self.settings.window;
            let older = if is_stale { CallCounts::default() } else { self.window_halves[1] };
            self.window_halves = [older, CallCounts::default()];
            self.half_started_at = now;
        }
    }

    fn transition(&mut self, now: Micros, to: CircuitState, counts: CallCounts) -> CircuitTransition {
        let from = std::mem::replace(&mut self.state, to);
        if to == CircuitState::Open {
            self.opened_at = now;
        }
        self.window_halves = [CallCounts::default(); 2];
        self.half_started_at = now;
        CircuitTransition { from, to, calls: counts.calls, failed: counts.failed }
    }
}
