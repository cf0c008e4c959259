//! A real intake node.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use holdlift::config::Config;
use holdlift::front::uwsgi::UwsgiConfig;

const HELP: &str = "holdlift: an intake node that decides what it takes, runs and turns away

usage: holdlift [--uwsgi FILE] [--check]

  --uwsgi FILE  serve uwsgi too, as the operator's file says
  --check       read the configuration, say whether it is good, and exit
  -h, --help    this text

PROXY_CONFIG names the configuration file; PROXY_NAME and PROXY_LISTEN win over it.
SIGUSR1 prints the counters; SIGTERM is the notice to leave. SIGHUP reads the file again and moves to the agent,
ledger and directory that it names now; a file that is no good is logged and changes nothing.
";

fn start() -> Result<(), Box<dyn std::error::Error>> {
    use lexopt::prelude::*;
    let (mut check, mut uwsgi) = (false, None);
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Long("check") => check = true,
            Long("uwsgi") => uwsgi = Some(std::path::PathBuf::from(args.value()?)),
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let (config, settings) = Config::from_env()?;
    let uwsgi = uwsgi.map(|path| UwsgiConfig::load(&path, &settings)).transpose()?;
    if check {
        let hosts = uwsgi.as_ref().map_or(0, |u| u.hosts.len());
        println!("good: node {}, {hosts} uwsgi servers", config.name);
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, holdlift::runtime::run(config, settings, uwsgi))
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
