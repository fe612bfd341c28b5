//! `radishctl apply`: makes the stored configuration like a file.

use std::path::{Path, PathBuf};

use anyhow::{Context as _, Result, bail};
use argh::FromArgs;
use radishstair_core::config::change::{self, Op};
use radishstair_core::config::{Document, check};

use super::{Context, print_outcome};
use crate::commit::commit;

/// Apply a document; sections that the file lacks stay as they are.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Args {
    /// document (JSON)
    #[argh(positional)]
    pub file: PathBuf,
    /// why, for the audit trail
    #[argh(option, default = "String::new()")]
    pub note: String,
}

/// Runs the command.
///
/// # Errors
///
/// When the file is wrong, another operator was faster, or the store is away.
pub fn run(context: &Context, args: &Args) -> Result<()> {
    let text = read_file(&args.file)?;
    let note = if args.note.is_empty() { "apply" } else { &args.note };
    let entry = commit(&context.client, &context.settings.who, note, false, |current| {
        plan(current, &text)
    })?;
    print_outcome(context, entry.as_ref());
    Ok(())
}

/// Reads a document file.
///
/// # Errors
///
/// When it cannot be read.
pub fn read_file(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("reading {}", file.display()))
}

/// What would change.
///
/// # Errors
///
/// Names the key that is wrong.
pub fn plan(current: &Document, text: &str) -> Result<Vec<Op>> {
    let mut wanted = serde_json::to_value(current)?;
    let file: serde_json::Value = serde_json::from_str(text).context("reading the document")?;
    let (Some(wanted), Some(file)) = (wanted.as_object_mut(), file.as_object()) else {
        bail!("the document must be a JSON object");
    };
    for (section, value) in file {
        wanted.insert(section.clone(), value.clone());
    }
    let wanted = check::parse(&serde_json::to_string(wanted)?)?;
    Ok(change::diff(current, &wanted))
}
