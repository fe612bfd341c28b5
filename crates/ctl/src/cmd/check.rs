//! `radishctl check`: checks a document without contacting the platform.

use std::path::PathBuf;

use anyhow::Result;
use argh::FromArgs;
use radishstair_core::config::check;

use super::apply;

/// Check a document.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Args {
    /// document file (JSON)
    #[argh(positional)]
    pub file: PathBuf,
}

/// Runs the command.
///
/// # Errors
///
/// When the file cannot be read or is invalid; the message names the key and
/// the allowed values.
pub fn run(args: &Args) -> Result<()> {
    let document = check::parse(&apply::read_file(&args.file)?)?;
    println!(
        "ok tiers={} classes={} customers={} keys={} pools={} selectors={}",
        document.tiers.len(),
        document.classes.len(),
        document.customers.len(),
        document.keys.len(),
        document.pools.len(),
        document.selectors.len()
    );
    Ok(())
}
