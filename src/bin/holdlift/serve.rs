//! `holdlift serve`: a node.

use super::{Ended, Told};

pub fn run(told: &Told) -> Ended {
    let (config, settings, edge, tiers) = told.read()?;
    let fleet = told.fleet(&tiers, &settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, holdlift::runtime::run(config, settings, edge, tiers, fleet))
}
