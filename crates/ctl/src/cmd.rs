//! Command line of `radishctl`; each subcommand has a module.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Result;
use argh::FromArgs;
use radishstair_core::config::change::Entry;
use radishstair_wire::platform::Client;

use crate::host;
use crate::settings::Settings;

pub mod apply;
pub mod audit;
pub mod check;
pub mod diff;
pub mod key;
pub mod label;
pub mod status;

/// Longest wait for a change to be in force in all zones.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(14);

/// Manages radishstair: configuration, API keys, status and the audit trail.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// settings file (JSON)
    #[argh(option, default = "PathBuf::from(\"radishctl.json\")")]
    pub settings: PathBuf,
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// A subcommand and its arguments.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Apply a document.
    Apply(apply::Args),
    /// Compare a document with the stored configuration.
    Diff(diff::Args),
    /// Check a document.
    Check(check::Args),
    /// Set or remove a label.
    Label(label::Args),
    /// Issue an API key.
    Give(key::Give),
    /// Withdraw an API key.
    Withdraw(key::Withdraw),
    /// Show the status of hosts and zones.
    Status(status::Args),
    /// Show the audit trail.
    Audit(audit::Args),
}

/// Settings and client that the commands share.
#[derive(Debug)]
pub struct Context {
    /// Settings of `radishctl`.
    pub settings: Settings,
    /// Client of the platform.
    pub client: Client,
}

/// Runs a command.
///
/// # Errors
///
/// When there is no command, the settings cannot be read or the command fails;
/// the message is one line.
pub fn run(args: Args) -> Result<()> {
    if args.version {
        println!("radishctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let Some(command) = args.command else {
        anyhow::bail!("no command; see radishctl --help");
    };
    if let Command::Check(args) = &command {
        return check::run(args);
    }
    let settings: Settings = radishstair_wire::settings::load(&args.settings)?;
    let client = Client::new(&settings.platform.to_string());
    let context = Context { settings, client };
    match command {
        Command::Apply(args) => apply::run(&context, &args),
        Command::Diff(args) => diff::run(&context, &args),
        Command::Check(args) => check::run(&args),
        Command::Label(args) => label::run(&context, &args),
        Command::Give(args) => key::give(&context, &args),
        Command::Withdraw(args) => key::withdraw(&context, &args),
        Command::Status(args) => status::run(&context, &args),
        Command::Audit(args) => audit::run(&context, &args),
    }
}

/// Prints the version of an accepted change, and for each zone whether the
/// change is in force there.
pub fn print_outcome(context: &Context, entry: Option<&Entry>) {
    let Some(entry) = entry else {
        println!("nothing to change");
        return;
    };
    println!("accepted version={} id={}", entry.version, entry.id);
    if context.settings.hosts.is_empty() {
        return;
    }
    for zone in host::await_version(&context.settings.hosts, entry.version, ROLLOUT_TIMEOUT) {
        match host::has_version(&zone, entry.version) {
            true => println!("in-force zone={} hosts={}", zone.zone, zone.hosts),
            false => println!(
                "not-confirmed zone={} last-version={} heard-ms-ago={}",
                zone.zone, zone.version, zone.age_ms
            ),
        }
    }
}
