//! `radishctl label`: sets or takes away one label.

use anyhow::{Result, bail};
use argh::FromArgs;
use radishstair_core::config::change::{Op, Section};
use radishstair_core::config::{Document, Labels};

use super::{Context, print_outcome};
use crate::commit::commit;

/// Label a customer, class, key or pool.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "label")]
pub struct Args {
    /// customer, class, key or pool
    #[argh(positional)]
    pub kind: String,
    /// its name
    #[argh(positional)]
    pub name: String,
    /// label=value, or label= to take it away
    #[argh(positional)]
    pub label: String,
}

/// Runs the command.
///
/// # Errors
///
/// When there is no such thing or the store is away.
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

macro_rules! relabel {
    ($table:expr, $section:ident, $args:expr, $label:expr, $value:expr) => {{
        let Some(item) = $table.get(&$args.name) else {
            bail!("no {} `{}`", $args.kind, $args.name);
        };
        let mut next = item.clone();
        set(&mut next.labels, $label, $value);
        let changed = next != *item;
        (Section::$section, changed, serde_json::to_value(next)?)
    }};
}

fn plan(document: &Document, args: &Args, label: &str, value: &str) -> Result<Vec<Op>> {
    let (section, changed, value) = match args.kind.as_str() {
        "customer" => relabel!(document.customers, Customers, args, label, value),
        "class" => relabel!(document.classes, Classes, args, label, value),
        "key" => relabel!(document.keys, Keys, args, label, value),
        "pool" => relabel!(document.pools, Pools, args, label, value),
        other => bail!("`{other}`: allowed are customer, class, key and pool"),
    };
    let op = Op {
        section,
        name: args.name.clone(),
        value: Some(value),
    };
    Ok(if changed { vec![op] } else { Vec::new() })
}

fn set(labels: &mut Labels, label: &str, value: &str) {
    match value {
        "" => labels.remove(label),
        _ => labels.insert(label.to_string(), value.to_string()),
    };
}
