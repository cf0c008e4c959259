//! Events: notifications to the decision module.

use super::{EventError, Micros, Request, RequestId, Settings, SettingsChange};

/// Identifies a timer of the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerToken(pub u32);

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Good,
    /// It failed; a call may have taken effect.
    Bad,
    /// The call was rejected unprocessed, as the callee was full.
    Full,
    /// The call was abandoned; it may have taken effect.
    Late,
    /// The dependency could not be reached.
    Unreachable,
    /// The connection broke during the call; it may have taken effect.
    Reset,
    /// The run was stopped, or ended at a call as its request had been answered.
    Cancelled,
    /// The run or call was never started.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::Moot)
    }
}

/// A server's own load gauges; `None` where a value is not measured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Busy fraction of the cores over the last half second.
    pub busy: Option<f64>,
    /// Tasks that use a core or wait for one now.
    pub on_cores: Option<f64>,
    /// Fraction of memory in use.
    pub memory: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// What happened at a server. Events of one batch have the same time.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was read.
    Arrived(Request),
    /// The caller of this request no longer waits for an answer.
    Cancelled(RequestId),
    /// The server drains; the process is stopped at the given time.
    Drain(Micros),
    /// Another process has taken this one's place; this one is stopped at the given time. Queued requests are served as
    /// before.
    SuccessorStarted(Micros),
    /// A running request waits for its call to be placed.
    CallRequested(RequestId),
    /// A run, or a wait for another request's outcome, ended this long after it began.
    RunEnded(RequestId, Outcome, Micros),
    /// A call ended, this long after it was placed.
    CallEnded(RequestId, Outcome, Micros),
    /// A timer fired; gauges come with it.
    Timer(TimerToken, Gauges),
    /// Other settings, which have been validated, apply from now on. Alone in its batch, as events are validated
    /// against the settings.
    SettingsChanged(Box<SettingsChange>),
}

impl Event {
    /// Checks that the event fits the settings.
    ///
    /// # Errors
    /// The class or tenant is unknown, or a number is out of range.
    pub fn validate(&self, settings: &Settings) -> Result<(), EventError> {
        let Event::Arrived(request) = self else { return Ok(()) };
        if request.class.0 >= settings.classes.len() {
            Err(EventError::UnknownClass(request.id))
        } else if request.tenant.is_some_and(|t| t.0 >= settings.tenants.len()) {
            Err(EventError::UnknownTenant(request.id))
        } else if !(request.held_kb.is_finite() && request.held_kb >= 0.0 && request.rank.is_finite()) {
            Err(EventError::InvalidNumber(request.id))
        } else {
            Ok(())
        }
    }
}
