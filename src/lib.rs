#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]
// Beyond the default lints; modules that are not clean yet say so below.
#![cfg_attr(
    not(test),
    warn(
        clippy::fn_params_excessive_bools,
        clippy::missing_errors_doc,
        clippy::missing_panics_doc,
        clippy::too_many_lines,
        clippy::unwrap_used,
        clippy::wildcard_imports,
    )
)]

mod interface;
mod policy;
mod request_state;

pub mod agent;
#[allow(clippy::too_many_lines, reason = "its long functions are still to be split")]
pub mod config;
pub mod config_store;
pub mod console;
pub mod dependencies;
pub mod directory;
pub mod door;
pub mod end;
pub mod fleet;
#[allow(
    clippy::too_many_lines,
    clippy::wildcard_imports,
    reason = "its long functions are still to be split"
)]
pub mod front;
#[allow(clippy::too_many_lines, reason = "its long functions are still to be split")]
pub mod http;
pub mod idempotency;
pub mod inventory;
pub mod ledger;
pub mod log;
pub mod node;
#[allow(clippy::too_many_lines, reason = "its long functions are still to be split")]
pub mod runtime;
pub mod service;
#[allow(clippy::too_many_lines, reason = "its long functions are still to be split")]
pub mod settings;
pub mod stream;
pub mod time;
pub mod upstream;
pub mod zone;

#[cfg(test)]
#[path = "../tests/golden/pinned.rs"]
mod pinned;

pub use interface::{
    Action, CLASSES_MAX, ClassId, ClassSettings, ClassSummary, Downstream, Effect, Event, EventError, Gauges,
    IndexedEntry, IndexedList, LoadSignal, Micros, Outcome, Request, RequestId, Settings, SettingsChange,
    SettingsError, StopMode, TenantId, TenantSettings, TimerToken,
};
pub use policy::{IntervalMeasurements, Policy, next_start_limit};
