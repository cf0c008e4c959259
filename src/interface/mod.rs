//! The types through which a server and the decision module ([`crate::policy`]) communicate: settings, events, actions.
//!
//! No decision is taken here, and nothing here reads a clock: all times are given.

mod action;
mod error;
mod event;
mod indexed;
mod request;
mod settings;
mod time;

pub use action::Action;
pub use error::{EventError, SettingsError};
pub use event::{Event, Gauges, Outcome, TimerToken};
pub use indexed::{ClassSummary, IndexedEntry, IndexedList};
pub use request::{Request, RequestId};
pub use settings::{
    CLASSES_MAX, ClassId, ClassSettings, Downstream, Effect, LoadSignal, Settings, SettingsChange, StopMode,
    TenantId, TenantSettings,
};
pub use time::Micros;
