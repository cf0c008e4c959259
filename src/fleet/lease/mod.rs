//! Leases on fleet-wide budgets: the replicated ledger, how a budget is divided, and the leases that a process holds.
//!
//! The replicas agree on the entries of the [`ledger`]; [`fair_share`] computes each process's share of a budget, and
//! [`request_batcher`] selects the requests of the next entry. [`holder`] is the side of the process that holds leases.

pub mod budget;
pub mod fair_share;
pub mod holder;
pub mod ledger;
pub mod renewals;
pub mod request_batcher;
