//! Scale runs: what each part of a fleet costs by its size, as slopes with their origin. A run is kept as one file
//! with its command, commit, date and machine, so that any figure of `docs/CAPACITY.md` can be made again.

pub mod cli;
pub mod code;
mod code_book;
mod code_members;
mod code_zones;
pub mod config;
pub mod config_load;
pub mod config_plain;
pub mod config_report;
pub mod config_scene;
pub mod events;
pub mod fit;
pub mod fleet;
pub mod fleet_scene;
pub mod fleet_stop;
pub mod fleet_watch;
pub mod hollow;
pub mod hollow_config;
pub mod hollow_host;
pub mod hollow_shell;
pub mod members_net;
pub mod node;
pub mod page;
pub mod record;
pub mod report;

pub use fit::{Fit, Form, fit};
pub use record::{Figure, Machine, Point, Run, Series};

/// What ends a scale run early: told to the operator as it is.
pub type Error = Box<dyn std::error::Error>;
