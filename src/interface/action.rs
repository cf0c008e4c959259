//! Actions: instructions of the decision module to the server.

use super::{Micros, RequestId, TimerToken};

/// An instruction to the server. The server carries out actions in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request, or resume a paused one.
    Run(RequestId),
    /// Place the call that a request waits for; it is abandoned at the given time.
    Call(RequestId, Micros),
    /// Continue the request without its call.
    SkipCall(RequestId),
    /// Final answer: failed; the work may have run.
    Fail(RequestId),
    /// Final answer: refused; the request never ran.
    Refuse {
        /// The refused request.
        id: RequestId,
        /// Whether the caller should not retry on another server.
        is_final: bool,
        /// How long the caller should wait before it tries again; zero for no advice.
        retry_after: Micros,
    },
    /// Stop running work.
    Stop(RequestId),
    /// Answer a queued request with the outcome of the one it repeats.
    Join(RequestId),
    /// Retain the request's key for this long.
    RetainKey(RequestId, Micros),
    /// Drop the request's retained key.
    ForgetKey(RequestId),
    /// Set how health checks are answered from now on.
    Health {
        /// Whether to answer from this action alone, without doing the check's work.
        stored: bool,
        /// Whether the server is healthy.
        good: bool,
    },
    /// Set the load signal that callers read, as [`super::LoadSignal`] says.
    SetLoadSignal(f64),
    /// Close connections idle for this long.
    CloseIdleConnections(Micros),
    /// Deliver [`Event::Timer`](super::Event::Timer) after this long.
    Timer(TimerToken, Micros),
    /// Write one line to the log.
    Log(String),
}
