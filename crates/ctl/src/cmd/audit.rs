//! `radishctl audit`: prints who made each change, when, and the versions before
//! and after it.

use anyhow::Result;
use argh::FromArgs;

use super::{Context, diff};
use crate::commit::load_log;

/// Show the audit trail.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Args {
    /// show only changes after this version
    #[argh(option, default = "0")]
    pub after: u64,
    /// show the operations of each change
    #[argh(switch)]
    pub full: bool,
}

/// Runs the command.
///
/// # Errors
///
/// When the store does not answer or an entry cannot be read.
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
