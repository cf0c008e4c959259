//! A real intake node, and the command line for those who run one.
#![forbid(unsafe_code)]

mod check;
mod config;
mod fleet;
mod keeper;
mod serve;
mod show;
mod tiers;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use holdlift::Settings;
use holdlift::config::Config;
use holdlift::config::edge::Edge;
use holdlift::config::fleet::Fleet;
use holdlift::config::tiers::Tiers;
use holdlift::log::{self, LogFormat};

/// What a sub-command ends with.
type Ended = Result<(), Box<dyn std::error::Error>>;

/// An intake node that decides what it takes, runs and turns away.
///
/// PROXY_CONFIG names the configuration file; PROXY_NAME, PROXY_LISTEN and PROXY_CONSOLE win over it. SIGUSR1 prints the
/// counters. SIGTERM is the notice to leave, or to hand over to a second process of the node that is ready. SIGHUP reads
/// the file again: settings, agent, ledger and directory; a file that is no good is turned down whole.
#[derive(Parser)]
#[command(name = "holdlift", version, about, args_conflicts_with_subcommands = false)]
struct Cli {
    #[command(flatten)]
    told: Told,
    #[command(subcommand)]
    command: Option<Command>,
    /// Read the configuration, say whether it is good, and exit: the same as `check`.
    #[arg(long)]
    check: bool,
}

/// What a node is told, besides the platform's variables.
#[derive(Args)]
struct Told {
    /// Serve uwsgi too, as this operator's file says.
    #[arg(long, value_name = "FILE", global = true)]
    uwsgi: Option<PathBuf>,
    /// Listeners, profiles and limits, as this operator's file says.
    #[arg(long, value_name = "FILE", global = true)]
    edge: Option<PathBuf>,
    /// The tiers below and what each class calls, as this operator's file says.
    #[arg(long, value_name = "FILE", global = true)]
    tiers: Option<PathBuf>,
    /// The fleet that this process belongs to, as this operators' file says.
    #[arg(long, value_name = "FILE", global = true)]
    fleet: Option<PathBuf>,
    /// What is logged: error, warn, info, debug, trace, or a list such as info,holdlift::door=debug.
    #[arg(long, value_name = "FILTER", global = true, default_value = "info")]
    log: String,
    /// The form of the log's lines.
    #[arg(long, value_name = "FORM", global = true, default_value = "text")]
    log_format: LogFormat,
}

#[derive(Subcommand)]
enum Command {
    /// Run a node; this is also what runs where no sub-command is given.
    Serve,
    /// Read all files, say whether they are good, and exit.
    Check,
    /// Print the tiers below and each class's plan of calls, as the node reads them.
    Tiers,
    /// Run a keeper of the fleet's book.
    Keeper {
        /// Its name in the file.
        name: String,
        /// The folder of its book.
        #[arg(long, value_name = "FOLDER")]
        data: PathBuf,
    },
    /// Ask a running node what it knows of its fleet.
    #[command(subcommand)]
    Fleet(fleet::Ask),
    /// The configuration: what is in force here, and what the fleet's keepers hold.
    #[command(subcommand)]
    Config(config::Ask),
}

impl Told {
    /// Reads everything that a node is told.
    fn read(&self) -> Result<(Config, Settings, Edge, Tiers), Box<dyn std::error::Error>> {
        let (config, settings) = Config::from_env()?;
        let edge = Edge::load(self.edge.as_deref(), self.uwsgi.as_deref(), &config, &settings)?;
        let tiers = Tiers::load(self.tiers.as_deref(), &config, &settings)?;
        Ok((config, settings, edge, tiers))
    }

    /// The fleet's file, checked against a node's tiers and members.
    fn fleet(&self, tiers: &Tiers, s: &Settings) -> Result<Option<Fleet>, Box<dyn std::error::Error>> {
        Ok(self.fleet.as_deref().map(|file| Fleet::load(file, Some((tiers, s)))).transpose()?)
    }
}

fn start(cli: &Cli) -> Ended {
    log::start_logging(&cli.told.log, cli.told.log_format)?;
    match &cli.command {
        Some(Command::Check) => check::run(&cli.told),
        Some(Command::Tiers) => tiers::run(&cli.told),
        Some(Command::Keeper { name, data }) => keeper::run(&cli.told, name, data),
        Some(Command::Fleet(ask)) => fleet::run(ask),
        Some(Command::Config(config::Ask::Show)) => show::run(&cli.told),
        Some(Command::Config(ask)) => config::run(&cli.told, ask),
        _ if cli.check => check::run(&cli.told),
        Some(Command::Serve) | None => serve::run(&cli.told),
    }
}

fn main() -> ExitCode {
    match start(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("holdlift: {e}");
            ExitCode::FAILURE
        }
    }
}
