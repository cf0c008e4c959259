//! Requests to the dependency client and the actions that it returns.

use std::net::SocketAddr;

use bytes::Bytes;

use super::call_plan::TierId;
use super::circuit_breaker::CircuitTransition;
use crate::fleet::LeaseInstant;
use crate::interface::{Micros, Outcome};

/// One attempt of a call at an endpoint; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A call to place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// Identifies the call.
    pub ticket: u64,
    /// Index of the class of the request that it is made for.
    pub class: usize,
    /// Which of that request's calls it is.
    pub index: CallIndex,
    /// When it times out: the core cancels a run's call, the client ends a prefetch call and falls back.
    pub deadline: Micros,
    /// It must not be attempted twice.
    pub at_most_once: bool,
    /// It was attempted before under another ticket, and counts as a retry where the fleet funds retries.
    pub is_retry: bool,
}

/// Which of a request's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallIndex {
    /// The run's call of this number, from 0.
    Run(usize),
    /// The call of this index in the class's prefetch plan.
    Prefetch(usize),
}

/// What the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAction {
    /// Start an attempt and report its outcome.
    StartAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The call that it belongs to.
        ticket: u64,
        /// The endpoint's address.
        address: SocketAddr,
        /// When to give it up, from now on.
        timeout: Micros,
        /// Not to be sent from this instant on, as the lease that allows it ends.
        send_before: Option<LeaseInstant>,
    },
    /// Cancel an attempt; its outcome is not awaited.
    CancelAttempt(AttemptId),
    /// The call is over.
    CallFinished {
        /// The call.
        ticket: u64,
        /// Its outcome: that of the last tier if no fallback applied.
        outcome: Outcome,
        /// The reply, empty if there is none.
        body: Bytes,
        /// An attempt was made.
        was_attempted: bool,
    },
    /// A circuit breaker has changed its state.
    CircuitChanged(TierId, CircuitTransition),
}

/// Counters of one tier, in attempts unless said otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TierCounters {
    /// First attempts of calls.
    pub first_attempts: u64,
    /// Retries after a failure.
    pub retries: u64,
    /// Hedged attempts.
    pub hedges: u64,
    /// First attempts as another tier's fallback.
    pub fallbacks: u64,
    /// Attempts with a good reply.
    pub succeeded: u64,
    /// Rejected or not connected: they never ran.
    pub never_ran: u64,
    /// Failed in another way.
    pub failed: u64,
    /// Timed out.
    pub timed_out: u64,
    /// Not started, as the concurrency limit was reached or the circuit breaker open.
    pub rejected: u64,
    /// Ejections of endpoints.
    pub ejected: u64,
    /// Calls with a side effect whose outcome is unknown.
    pub in_doubt: u64,
    /// Not started, as this process's quota of a fleet-wide budget was exhausted.
    pub quota_exhausted: u64,
}
