//! A real intake node.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use holdlift::config::Config;

const HELP: &str = "holdlift: an intake node that decides what it takes, runs and turns away

usage: holdlift [--check]

  --check       read the configuration, say whether it is good, and exit
  -h, --help    this text

PROXY_CONFIG names the configuration file; PROXY_NAME and PROXY_LISTEN win over it.
SIGUSR1 prints the counters; SIGTERM is the notice to leave.
";

fn start() -> Result<(), Box<dyn std::error::Error>> {
    use lexopt::prelude::*;
    let mut check = false;
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Long("check") => check = true,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let (config, settings) = Config::from_env()?;
    if check {
        println!("good: node {}", config.name);
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, holdlift::runtime::run(config, settings))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("holdlift: {e}");
            ExitCode::FAILURE
        }
    }
}
