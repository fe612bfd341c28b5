//! `radishctl label`: sets or removes a label of a record.

use anyhow::{Result, bail};
use argh::FromArgs;
use radishstair_core::config::change::{Op, Section};
use radishstair_core::config::{Document, Labels};

use super::{Context, print_outcome};
use crate::commit::commit;

/// Set or remove a label of a customer, class, key or pool.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "label")]
pub struct Args {
    /// kind of the record: customer, class, key or pool
    #[argh(positional)]
    pub kind: String,
    /// name of the record
    #[argh(positional)]
    pub name: String,
    /// label=value, or label= to remove it
    #[argh(positional)]
    pub label: String,
}

/// Runs the command.
///
/// # Errors
///
/// When the label is malformed, the record does not exist, or the store does
/// not answer.
pub fn run(context: &Context, args: &Args) -> Result<()> {
    let Some((label, value)) = args.label.split_once('=') else {
        bail!("`{}` is not of the form label=value", args.label);
    };
    let note = format!("label {} {} {}", args.kind, args.name, args.label);
    let entry = commit(&context.client, &context.settings.who, &note, true, |document| {
        plan(document, args, label, value)
    })?;
    print_outcome(context, entry.as_ref());
    Ok(())
}

/// Section, whether the labels change, and new value of the record. This is a
/// macro because the tables have different record types.
macro_rules! relabel {
    ($table:expr, $section:ident, $args:expr, $label:expr, $value:expr) => {{
        let Some(record) = $table.get(&$args.name) else {
            bail!("{} `{}` does not exist", $args.kind, $args.name);
        };
        let mut updated = record.clone();
        set_label(&mut updated.labels, $label, $value);
        let changed = updated != *record;
        (Section::$section, changed, serde_json::to_value(updated)?)
    }};
}

fn plan(document: &Document, args: &Args, label: &str, value: &str) -> Result<Vec<Op>> {
    let (section, changed, value) = match args.kind.as_str() {
        "customer" => relabel!(document.customers, Customers, args, label, value),
        "class" => relabel!(document.classes, Classes, args, label, value),
        "key" => relabel!(document.keys, Keys, args, label, value),
        "pool" => relabel!(document.pools, Pools, args, label, value),
        other => bail!("unknown kind `{other}`: allowed are customer, class, key and pool"),
    };
    let op = Op {
        section,
        name: args.name.clone(),
        value: Some(value),
    };
    Ok(if changed { vec![op] } else { Vec::new() })
}

/// Sets a label, or removes it if the value is empty.
fn set_label(labels: &mut Labels, label: &str, value: &str) {
    match value {
        "" => labels.remove(label),
        _ => labels.insert(label.to_string(), value.to_string()),
    };
}
