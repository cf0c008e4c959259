//! `holdlift tiers`: prints the downstream tiers and each class's call plan.

use super::{CommandResult, GlobalOptions};

pub fn run(options: &GlobalOptions) -> CommandResult {
    let (_, _, _, tiers) = options.read_node_files()?;
    print!("{tiers}");
    Ok(())
}
