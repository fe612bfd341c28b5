//! Command line of `radishstair-load`; each subcommand has a module.

use anyhow::Result;
use argh::FromArgs;

pub mod bench;
pub mod deploy;
pub mod experiment;
pub mod slopes;
pub mod smoke;

/// Write deployments, check them end to end, measure them and simulate policies.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// subcommand
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// A subcommand and its arguments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Measure the latency that an entry host adds.
    Bench(bench::Args),
    /// Measure the cost of control operations at several sizes.
    Slopes(slopes::Args),
    /// Compare dispatch policies in simulation.
    Experiment(experiment::Args),
    /// Write the settings files of a deployment.
    Deploy(deploy::Args),
    /// Check a deployment end to end.
    Smoke(smoke::Args),
}

/// Runs a command.
///
/// # Errors
///
/// If there is no subcommand or the subcommand fails.
pub fn run(args: Args) -> Result<()> {
    if args.version {
        println!("radishstair-load {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match args.command {
        Some(Command::Bench(args)) => bench::run(&args),
        Some(Command::Slopes(args)) => slopes::run(&args),
        Some(Command::Experiment(args)) => experiment::run(&args),
        Some(Command::Deploy(args)) => deploy::run(&args),
        Some(Command::Smoke(args)) => smoke::run(&args),
        None => anyhow::bail!("no subcommand given; see radishstair-load --help"),
    }
}
