//! `radishctl audit`: who changed what, when, from which version to which.

use anyhow::Result;
use argh::FromArgs;

use super::{Context, diff};
use crate::commit::load_log;

/// Show the audit trail.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Args {
    /// only changes after this version
    #[argh(option, default = "0")]
    pub after: u64,
    /// what was put and removed, too
    #[argh(switch)]
    pub full: bool,
}

/// Runs the command.
///
/// # Errors
///
/// When the store is away.
pub fn run(context: &Context, args: &Args) -> Result<()> {
    for entry in load_log(&context.client, args.after)? {
        println!(
            "when={} who={} from={} to={} id={} changes={} note=\"{}\"",
            entry.when,
            entry.who,
            entry.version - 1,
            entry.version,
            entry.id,
            entry.ops.len(),
            entry.note
        );
        if args.full {
            entry
                .ops
                .iter()
                .for_each(|op| println!("  {}", diff::format_op(op)));
        }
    }
    Ok(())
}
