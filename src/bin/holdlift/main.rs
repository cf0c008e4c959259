//! The command line of an intake node and of the operators' tools.
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

/// Result of a sub-command; the error is printed for the operator.
type CommandResult = Result<(), Box<dyn std::error::Error>>;

/// An intake node that decides what it takes, runs and turns away.
///
/// PROXY_CONFIG names the configuration file; PROXY_NAME, PROXY_LISTEN and PROXY_CONSOLE win over it. SIGUSR1 prints the
/// counters. SIGTERM is the notice to leave, or to hand over to a second process of the node that is ready. SIGHUP reads
/// the file again: settings, agent, ledger and directory; a file that is no good is turned down whole.
#[derive(Parser)]
#[command(name = "holdlift", version, about, args_conflicts_with_subcommands = false)]
struct Cli {
    #[command(flatten)]
    options: GlobalOptions,
    #[command(subcommand)]
    command: Option<Command>,
    /// Read the configuration, say whether it is good, and exit: the same as `check`.
    #[arg(long)]
    check: bool,
}

/// Options that all sub-commands take.
#[derive(Args)]
struct GlobalOptions {
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
    #[command(name = "keeper")]
    Replica {
        /// Its name in the file.
        name: String,
        /// The folder of its book.
        #[arg(long, value_name = "FOLDER")]
        data: PathBuf,
    },
    /// Ask a running node what it knows of its fleet.
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    /// The configuration: what is in force here, and what the fleet's keepers hold.
    #[command(subcommand)]
    Config(config::ConfigCommand),
}

impl GlobalOptions {
    /// Reads the platform's configuration and the operators' files, except the fleet file.
    fn read_node_files(&self) -> Result<(Config, Settings, Edge, Tiers), Box<dyn std::error::Error>> {
        let (config, settings) = Config::from_env()?;
        let edge = Edge::load(self.edge.as_deref(), self.uwsgi.as_deref(), &config, &settings)?;
        let tiers = Tiers::load(self.tiers.as_deref(), &config, &settings)?;
        Ok((config, settings, edge, tiers))
    }

    /// Reads the fleet file, checked against a node's tiers and tenants; `None` where no file is given.
    fn read_fleet(&self, tiers: &Tiers, s: &Settings) -> Result<Option<Fleet>, Box<dyn std::error::Error>> {
        Ok(self.fleet.as_deref().map(|file| Fleet::load(file, Some((tiers, s)))).transpose()?)
    }
}

fn run_command(cli: &Cli) -> CommandResult {
    log::start_logging(&cli.options.log, cli.options.log_format)?;
    match &cli.command {
        Some(Command::Check) => check::run(&cli.options),
        Some(Command::Tiers) => tiers::run(&cli.options),
        Some(Command::Replica { name, data }) => keeper::run(&cli.options, name, data),
        Some(Command::Fleet(command)) => fleet::run(command),
        Some(Command::Config(config::ConfigCommand::Show)) => show::run(&cli.options),
        Some(Command::Config(command)) => config::run(&cli.options, command),
        _ if cli.check => check::run(&cli.options),
        Some(Command::Serve) | None => serve::run(&cli.options),
    }
}

fn main() -> ExitCode {
    match run_command(&Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("holdlift: {e}");
            ExitCode::FAILURE
        }
    }
}
