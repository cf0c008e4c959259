//! `holdlift serve`: a node.

use tokio::runtime::{Builder, LocalOptions};

use super::{Ended, Told};

pub fn run(told: &Told) -> Ended {
    let (config, settings, edge, tiers) = told.read()?;
    let fleet = told.fleet(&tiers, &settings)?;
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    // The node is a task among its tasks: whatever wakes what `block_on` itself waits for costs a write to the reactor's
    // own descriptor and a look at the reactor more, each time.
    let node = runtime.spawn_local(holdlift::runtime::run(config, settings, edge, tiers, fleet));
    runtime.block_on(node)?
}
