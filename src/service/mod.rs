//! Whether this process serves its node's clients, and how a successor process takes over from it. Holds the protocol and the
//! state, without I/O.

pub mod handover;
mod lifecycle;

pub use lifecycle::{DirectoryReport, NodeOrder, Service, ServiceOrder, ServiceOrderError, ServiceState};
