//! The lab: stand-ins for all that a node talks to, links that are slow, stall and lose, load in an open loop, and
//! experiments whose claims are checked. Tests use the same stand-ins. Everything stays on loopback, is bounded in
//! count and time, and ends by itself.
#![allow(missing_docs)]

pub mod coap;
pub mod cost;
pub mod dependencies;
pub mod experiment;
pub mod fleet;
pub mod link;
pub mod load;
pub mod mutants;
pub mod node;
pub mod probe;
pub mod report;
pub mod rig;
pub mod scale;
pub mod seeds;
pub mod shim;
pub mod standin;
pub mod zones;

pub use node::{BY_ITSELF, Node, Setup, control, settings};
pub use shim::Shim;
pub use standin::*;
