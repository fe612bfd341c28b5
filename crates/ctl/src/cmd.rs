//! Subcommands of `radishctl`, one file each.

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

/// How long to wait for a change to be in force.
const IN_FORCE: Duration = Duration::from_secs(14);

/// Operates radishstair: configuration, keys, status and the audit trail.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// settings file (JSON)
    #[argh(option, default = "PathBuf::from(\"radishctl.json\")")]
    pub settings: PathBuf,
    /// print the version and end
    #[argh(switch)]
    pub version: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Apply a document.
    Apply(apply::Args),
    /// Compare a document.
    Diff(diff::Args),
    /// Check a document.
    Check(check::Args),
    /// Label something.
    Label(label::Args),
    /// Give a key.
    Give(key::Give),
    /// Withdraw a key.
    Withdraw(key::Withdraw),
    /// Show how things stand.
    Status(status::Args),
    /// Show the audit trail.
    Audit(audit::Args),
}

/// What every command that talks to the platform holds.
#[derive(Debug)]
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// The platform.
    pub client: Client,
}

/// Runs a command.
///
/// # Errors
///
/// What went wrong, in one line.
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

/// Says what became of a change: accepted, and where it is in force.
pub fn print_outcome(context: &Context, entry: Option<&Entry>) {
    let Some(entry) = entry else {
        println!("nothing to change");
        return;
    };
    println!("accepted version={} id={}", entry.version, entry.id);
    if context.settings.hosts.is_empty() {
        return;
    }
    for zone in host::await_version(&context.settings.hosts, entry.version, IN_FORCE) {
        match host::has_version(&zone, entry.version) {
            true => println!("in-force zone={} hosts={}", zone.zone, zone.hosts),
            false => println!(
                "not-confirmed zone={} last-version={} heard-ms-ago={}",
                zone.zone, zone.version, zone.age_ms
            ),
        }
    }
}
