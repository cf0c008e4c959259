//! `holdlift keeper`: runs a replica of the fleet's budget ledger.

use std::path::Path;

use holdlift::config::fleet::Fleet;
use holdlift::runtime::replica;

use super::{CommandResult, GlobalOptions};

pub fn run(options: &GlobalOptions, name: &str, folder: &Path) -> CommandResult {
    let file = options.fleet.as_deref().ok_or("a keeper needs --fleet FILE")?;
    let fleet = Fleet::load(file, None)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(replica::run(name.to_owned(), folder.to_owned(), fleet))?)
}
