//! Slow start: the rate at which one of several processes calls an endpoint that may be warming up.
//!
//! A server that has just started fails under the sum of what all its callers send, and a process knows only how many callers
//! there are. Each therefore takes its part of the capacity of a warming endpoint: one slot for a call per interval, the slots
//! of all processes spread evenly over the clock, or at a random phase where a process has no index. Unused slots are not
//! saved up: all processes might spend what they saved in one instant. A process that calls seldom misses most of its slots.

use rand::{Rng, RngExt};

use crate::interface::{Micros, Outcome};

/// Share of a warming endpoint's capacity that is used, so that chance seldom exceeds it.
const TARGET_SHARE: f64 = 0.9;
/// The same where slots have random phases and may coincide.
const TARGET_SHARE_RANDOM_SLOTS: f64 = 0.75;

/// The settings of slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSettings {
    /// Calls of all processes together that a warming endpoint can take within the window; `None` turns slow start off.
    pub calls_per_window: Option<f64>,
    /// The window.
    pub window: Micros,
    /// How long an endpoint warms up once it has been reached again.
    pub duration: Micros,
    /// Processes that call it, including this one, 1 or more.
    pub processes: u32,
    /// This process's index among them if it has one: their slots are then spread evenly instead of at random.
    pub process_index: Option<u32>,
}

impl SlowStartSettings {
    /// No slow start.
    pub const OFF: SlowStartSettings = SlowStartSettings {
        calls_per_window: None,
        window: Micros::from_millis(1_000),
        duration: Micros::from_millis(10_000),
        processes: 1,
        process_index: None,
    };

    /// How late a slot may be used: the square root of the capacity, as all processes may be late together.
    fn slot_grace(&self) -> Micros {
        let grace = self.window.as_secs_f64() / self.calls_per_window.unwrap_or(1.0).max(1.0).sqrt();
        Micros::from_secs_f64(grace)
    }

    fn target_share(&self) -> f64 {
        if self.process_index.is_some() { TARGET_SHARE } else { TARGET_SHARE_RANDOM_SLOTS }
    }

    /// Time between two slots of this process.
    fn slot_interval(&self) -> Option<Micros> {
        let calls_per_window = self.calls_per_window? * self.target_share();
        let slot_interval = self.window.as_secs_f64() * f64::from(self.processes.max(1)) / calls_per_window;
        Some(Micros::from_secs_f64(slot_interval).max(Micros(1)))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WarmUpState {
    Warm,
    /// It refused the last connection, or has never been reached.
    Unreachable,
    /// It has been reached again.
    WarmingUp {
        until: Micros,
    },
}

/// The slow start of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    state: WarmUpState,
    /// Phase of this process's slot in each interval, 0 to 1, drawn once.
    slot_phase: Option<f64>,
    /// Start of the slot that was used last.
    last_slot: Option<Micros>,
}

impl SlowStart {
    /// An endpoint that is not in slow start.
    pub fn warm() -> SlowStart {
        SlowStart { state: WarmUpState::Warm, slot_phase: None, last_slot: None }
    }

    /// An endpoint that has not been reached yet.
    pub fn unverified() -> SlowStart {
        SlowStart { state: WarmUpState::Unreachable, ..SlowStart::warm() }
    }

    /// Start of the slot that a call now would use; `None` if slow start is off.
    fn slot(&self, now: Micros, settings: &SlowStartSettings) -> Option<Micros> {
        let slot_interval = settings.slot_interval()?;
        let assigned_phase =
            settings.process_index.map(|index| f64::from(index) / f64::from(settings.processes.max(1)));
        let phase =
            (assigned_phase.or(self.slot_phase).unwrap_or(0.0).fract() * slot_interval.0 as f64) as u64;
        Some(Micros((now.0.saturating_sub(phase) / slot_interval.0) * slot_interval.0 + phase))
    }

    /// Whether a call may start now. All processes' clocks are assumed to agree roughly.
    pub fn admits(&mut self, now: Micros, settings: &SlowStartSettings, rng: &mut impl Rng) -> bool {
        if let WarmUpState::WarmingUp { until } = self.state
            && now >= until
        {
            *self = SlowStart::warm();
        }
        if self.state == WarmUpState::Warm || settings.calls_per_window.is_none() {
            return true;
        }
        self.slot_phase.get_or_insert_with(|| rng.random_range(0.0..1.0));
        self.slot(now, settings).is_some_and(|slot| {
            let is_open = now >= slot && now <= slot + settings.slot_grace();
            is_open && self.last_slot != Some(slot)
        })
    }

    /// Marks the slot as used by a call that starts.
    pub fn call_started(&mut self, now: Micros, settings: &SlowStartSettings) {
        if self.state != WarmUpState::Warm {
            self.last_slot = self.slot(now, settings);
        }
    }

    /// Takes a call's outcome: a refused connection starts slow start, a reply starts the warm-up.
    pub fn call_ended(&mut self, now: Micros, settings: &SlowStartSettings, outcome: Outcome) {
        match (outcome, self.state) {
            (Outcome::Unreachable, WarmUpState::Warm) => *self = SlowStart::unverified(),
            (Outcome::Unreachable, _) => self.state = WarmUpState::Unreachable,
            // It is not known whether the endpoint was reached.
            (Outcome::Late, _) => {}
            (_, WarmUpState::Unreachable) => {
                self.state = WarmUpState::WarmingUp { until: now + settings.duration }
            }
            _ => {}
        }
    }
}
