//! Calls to the dependency tiers: where a call goes, within which budgets, and which fallback replaces it.
//!
//! The decision module ([`crate::Policy`]) decides whether a call is made at all; [`DependencyClient`] decides how. It does no
//! I/O and is told the time: each method takes one event, and what is to be done comes out as [`CallAction`]s.
//!
//! Invariants: the attempts of one call are bounded; retries and hedged requests are paid for from a budget; once the first
//! byte of a call that has an effect may have left, nothing else is attempted in its place.
//!
//! An attempt passes, in this order: [`circuit_breaker`], [`concurrency_limit`], [`zone_routing`], [`load_balancer`] (with
//! [`slow_start`] and outlier ejection) and [`quota`].

mod call;
pub mod call_plan;
pub mod circuit_breaker;
mod client;
pub mod concurrency_limit;
pub mod latency_window;
pub mod load_balancer;
pub mod prefetch;
pub mod quota;
pub mod retry_budget;
pub mod slow_start;
mod tier;
pub mod zone_routing;

pub use call::{AttemptId, CallAction, CallIndex, CallRequest, TierCounters};
pub use client::DependencyClient;
