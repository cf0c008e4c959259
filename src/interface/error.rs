//! Settings and events that the decision module does not accept.

use thiserror::Error;

use super::{CLASSES_MAX, RequestId};

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There are no cores.
    #[error("settings: no cores")]
    NoCores,
    /// There are no classes.
    #[error("settings: no classes")]
    NoClasses,
    /// There are this many classes, which is more than [`CLASSES_MAX`].
    #[error("settings: {0} classes; there may be {CLASSES_MAX} at most")]
    TooManyClasses(usize),
    /// The named value is negative, not finite, or zero where it must not be.
    #[error("settings: {0} is out of range")]
    OutOfRange(&'static str),
}

/// Why an event is rejected. No event of its batch has been handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum EventError {
    /// The request's class is not among the settings.
    #[error("request {}: unknown class", .0.0)]
    UnknownClass(RequestId),
    /// The request's tenant is not among the settings.
    #[error("request {}: unknown tenant", .0.0)]
    UnknownTenant(RequestId),
    /// The request's memory or rank is not finite, or its memory is negative.
    #[error("request {}: a number is out of range", .0.0)]
    InvalidNumber(RequestId),
}
