//! `radishstair-load deploy`: writes the settings files of a small deployment.

use std::path::PathBuf;

use anyhow::Result;
use argh::FromArgs;

use crate::deploy::{Plan, write};

/// Write the settings files of a deployment on this machine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "deploy")]
pub struct Args {
    /// plan file (JSON)
    #[argh(positional)]
    pub plan: PathBuf,
    /// folder for the files
    #[argh(positional)]
    pub folder: PathBuf,
}

/// Runs the command.
///
/// # Errors
///
/// If the plan is not valid or the folder cannot be written.
pub fn run(args: &Args) -> Result<()> {
    let plan: Plan = radishstair_wire::settings::load(&args.plan)?;
    let token: [u8; 16] = rand::random();
    let token: String = token.iter().map(|byte| format!("{byte:02x}")).collect();
    write(&plan, &token, &args.folder)?;
    Ok(())
}
