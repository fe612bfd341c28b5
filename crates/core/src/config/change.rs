//! Numbered configuration changes.
//!
//! Entry n+1 is created in the store only if absent, so that of two concurrent
//! operators one gets a conflict. If the store's answer is lost, the entry is
//! read back and its change id compared.

use anyhow::{Context, Result};

use super::{Document, Settings, check, table::Table};

/// Store prefix of the log; followed by the version in sixteen digits.
pub const LOG_PREFIX: &str = "config/log/";
/// Store key of the newest snapshot.
pub const SNAPSHOT_KEY: &str = "config/snapshot";

/// Store key of the log entry of a version.
pub fn log_key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:016}")
}

record! {
    /// A section of the document.
    #[derive(Copy, Eq)]
    pub enum Section {
        /// `settings`
        Settings,
        /// `tiers`
        Tiers,
        /// `classes`
        Classes,
        /// `customers`
        Customers,
        /// `keys`
        Keys,
        /// `pools`
        Pools,
        /// `selectors`
        Selectors,
    }
}

record! {
    /// The replacement or removal of one record.
    pub struct Op {
        /// Section of the record.
        pub section: Section,
        /// Name of the record; empty for settings.
        #[serde(default)]
        pub name: String,
        /// New value of the record; absent if it is removed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub value: Option<serde_json::Value>,
    }
}

record! {
    /// One accepted change.
    pub struct Entry {
        /// Version that it creates.
        pub version: u64,
        /// Change id chosen by the operator's command, compared after a lost answer.
        pub id: String,
        /// Operator who made it.
        pub who: String,
        /// Time of the change, in milliseconds since the Unix epoch.
        pub when: u64,
        /// Reason, in a few words.
        pub note: String,
        /// Operations, applied in order.
        pub ops: Vec<Op>,
    }
}

record! {
    /// The whole document at one version.
    #[derive(Default)]
    pub struct Snapshot {
        /// The version.
        pub version: u64,
        /// The document.
        pub document: Document,
    }
}

/// Applies operations and checks the resulting document.
///
/// # Errors
///
/// Fails without changing the document if an operation has a malformed value or the result
/// does not pass [`check::check`].
pub fn apply(document: &mut Document, ops: &[Op]) -> Result<()> {
    let mut next = document.clone();
    for op in ops {
        apply_one(&mut next, op).with_context(|| format!("applying {:?} `{}`", op.section, op.name))?;
    }
    check::check(&next)?;
    *document = next;
    Ok(())
}

fn apply_one(document: &mut Document, op: &Op) -> Result<()> {
    match op.section {
        Section::Settings => {
            document.settings = match &op.value {
                Some(value) => serde_json::from_value(value.clone())?,
                None => Settings::default(),
            };
            Ok(())
        }
        Section::Tiers => apply_row(&mut document.tiers, op),
        Section::Classes => apply_row(&mut document.classes, op),
        Section::Customers => apply_row(&mut document.customers, op),
        Section::Keys => apply_row(&mut document.keys, op),
        Section::Pools => apply_row(&mut document.pools, op),
        Section::Selectors => apply_row(&mut document.selectors, op),
    }
}

fn apply_row<T>(table: &mut Table<T>, op: &Op) -> Result<()>
where
    T: super::table::Named + serde::de::DeserializeOwned,
{
    match &op.value {
        Some(value) => table.put(serde_json::from_value(value.clone())?),
        None => {
            table.remove(&op.name);
        }
    }
    Ok(())
}

/// Operations that turn `from` into `to`.
pub fn diff(from: &Document, to: &Document) -> Vec<Op> {
    let mut ops = Vec::new();
    if from.settings != to.settings {
        ops.push(Op {
            section: Section::Settings,
            name: String::new(),
            value: serde_json::to_value(&to.settings).ok(),
        });
    }
    diff_rows(&mut ops, Section::Tiers, &from.tiers, &to.tiers);
    diff_rows(&mut ops, Section::Classes, &from.classes, &to.classes);
    diff_rows(&mut ops, Section::Customers, &from.customers, &to.customers);
    diff_rows(&mut ops, Section::Keys, &from.keys, &to.keys);
    diff_rows(&mut ops, Section::Pools, &from.pools, &to.pools);
    diff_rows(&mut ops, Section::Selectors, &from.selectors, &to.selectors);
    ops
}

fn diff_rows<T>(ops: &mut Vec<Op>, section: Section, from: &Table<T>, to: &Table<T>)
where
    T: super::table::Named + serde::Serialize + PartialEq,
{
    for item in to.iter().filter(|item| from.get(item.name()) != Some(item)) {
        ops.push(Op {
            section,
            name: item.name().to_string(),
            value: serde_json::to_value(item).ok(),
        });
    }
    for item in from.iter().filter(|item| to.get(item.name()).is_none()) {
        ops.push(Op {
            section,
            name: item.name().to_string(),
            value: None,
        });
    }
}
