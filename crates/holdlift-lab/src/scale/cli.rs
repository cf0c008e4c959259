//! `holdlift-lab scale`: one sub-command a file.

use clap::Subcommand;

use super::{Error, code, config, events, fleet, hollow_shell, node, report};

/// Costs by size, each run kept as one file.
#[derive(Subcommand)]
pub enum What {
    /// The decision code alone, without a socket: book, members, judge, purse, asks.
    Code(code::Options),
    /// Hollow nodes beside real keepers and real nodes, at rest, by nodes.
    Fleet(fleet::Options),
    /// What happens to a fleet of that size: starts, losses, cuts, replacements.
    Events(events::Options),
    /// A change of the configuration on its way to every node, beside the way without it.
    Config(config::Options),
    /// One real node: at rest and under load, by classes, tenants and callers.
    Node(node::Options),
    /// What a host of hollow nodes runs as; orders come by the standard input.
    #[command(hide = true)]
    Hollow,
    /// The page and chart of all kept runs.
    Report(report::Options),
}

/// Does what was asked; false where a claim of the run is broken.
///
/// # Errors
/// What keeps a run from starting, or from being kept.
pub async fn run(what: What) -> Result<bool, Error> {
    match what {
        What::Code(o) => code::run(o).await,
        What::Fleet(o) => fleet::run(o).await,
        What::Events(o) => events::run(o).await,
        What::Config(o) => config::run(o).await,
        What::Node(o) => node::run(o).await,
        What::Hollow => {
            tokio::task::block_in_place(hollow_shell::main);
            Ok(true)
        }
        What::Report(o) => report::run(&o),
    }
}
