//! `radishctl apply`: applies a document to the stored configuration.

use std::path::{Path, PathBuf};

use anyhow::{Context as _, Result, bail};
use argh::FromArgs;
use radishstair_core::config::change::{self, Op};
use radishstair_core::config::{Document, check};

use super::{Context, print_outcome};
use crate::commit::commit;

/// Apply a document; sections that are not in the file stay unchanged.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Args {
    /// document file (JSON)
    #[argh(positional)]
    pub file: PathBuf,
    /// reason for the change, for the audit trail
    #[argh(option, default = "String::new()")]
    pub note: String,
}

/// Runs the command.
///
/// # Errors
///
/// When the file cannot be read or is invalid, another operator's change was
/// accepted first, or the store does not answer.
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
/// When the file cannot be read.
pub fn read_file(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("reading {}", file.display()))
}

/// Operations that replace sections of the current document by those of a file.
///
/// # Errors
///
/// When the file is invalid; the message names the key.
pub fn plan(current: &Document, text: &str) -> Result<Vec<Op>> {
    let mut merged = serde_json::to_value(current)?;
    let file: serde_json::Value = serde_json::from_str(text).context("reading the document")?;
    let (Some(merged), Some(file)) = (merged.as_object_mut(), file.as_object()) else {
        bail!("the document must be a JSON object");
    };
    for (section, value) in file {
        merged.insert(section.clone(), value.clone());
    }
    let merged = check::parse(&serde_json::to_string(merged)?)?;
    Ok(change::diff(current, &merged))
}
