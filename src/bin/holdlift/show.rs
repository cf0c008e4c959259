//! `holdlift config show`: prints the settings in force.

use holdlift::config::show;

use super::{CommandResult, GlobalOptions};

pub fn run(options: &GlobalOptions) -> CommandResult {
    let (config, _, edge, _) = options.read_node_files()?;
    let file = std::env::var_os("PROXY_CONFIG").unwrap_or_default();
    print!("{}", show::rows(&config, &edge, std::path::Path::new(&file)));
    Ok(())
}
