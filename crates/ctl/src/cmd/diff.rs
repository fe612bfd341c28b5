//! `radishctl diff`: prints the operations that `apply` would make.

use std::path::PathBuf;

use anyhow::Result;
use argh::FromArgs;
use radishstair_core::config::change::Op;

use super::{Context, apply};
use crate::commit::load_snapshot;

/// Show what applying a document would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Args {
    /// document file (JSON)
    #[argh(positional)]
    pub file: PathBuf,
}

/// Runs the command.
///
/// # Errors
///
/// When the file cannot be read or is invalid, or the store does not answer.
pub fn run(context: &Context, args: &Args) -> Result<()> {
    let current = load_snapshot(&context.client)?;
    let ops = apply::plan(&current.document, &apply::read_file(&args.file)?)?;
    println!("against version={} changes={}", current.version, ops.len());
    for op in &ops {
        println!("{}", format_op(op));
    }
    Ok(())
}

/// An operation as one line of text.
pub fn format_op(op: &Op) -> String {
    let section = serde_json::to_string(&op.section).unwrap_or_default();
    let section = section.trim_matches('"');
    match &op.value {
        Some(value) => format!("put {section} {} {value}", op.name),
        None => format!("remove {section} {}", op.name),
    }
}
