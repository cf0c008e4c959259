//! `holdlift serve`: runs a node.

use tokio::runtime::{Builder, LocalOptions};

use super::{CommandResult, GlobalOptions};

pub fn run(options: &GlobalOptions) -> CommandResult {
    let (config, settings, edge, tiers) = options.read_node_files()?;
    let fleet = options.read_fleet(&tiers, &settings)?;
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    // The node runs as a spawned task: each wake-up of the future that `block_on` itself polls costs an extra write to the
    // reactor's own descriptor and an extra poll of the reactor.
    let node = runtime.spawn_local(holdlift::runtime::run(config, settings, edge, tiers, fleet));
    runtime.block_on(node)?
}
