//! `holdlift config show`: the settings in force.

use holdlift::config::show;

use super::{Ended, Told};

pub fn run(told: &Told) -> Ended {
    let (config, _, edge, _) = told.read()?;
    let file = std::env::var_os("PROXY_CONFIG").unwrap_or_default();
    print!("{}", show::rows(&config, &edge, std::path::Path::new(&file)));
    Ok(())
}
