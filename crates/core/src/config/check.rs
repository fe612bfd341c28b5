//! Reading and checking a whole document.

use anyhow::{Context, Result, bail, ensure};

use super::Document;

/// Parses and checks a document.
///
/// # Errors
///
/// Fails on malformed or inconsistent documents; the message names the key and what is allowed.
pub fn parse(text: &str) -> Result<Document> {
    let mut de = serde_json::Deserializer::from_str(text);
    let document: Document = serde_path_to_error::deserialize(&mut de)
        .map_err(|err| anyhow::anyhow!("{}: {}", err.path(), err.inner()))
        .context("reading the configuration")?;
    check(&document)?;
    Ok(document)
}

/// Checks the rules that span several records or values.
///
/// # Errors
///
/// Fails at the first rule that the document breaks.
pub fn check(document: &Document) -> Result<()> {
    check_tiers(document)?;
    check_classes(document)?;
    check_keys(document)?;
    check_selectors(document)
}

fn check_tiers(document: &Document) -> Result<()> {
    let floors: u32 = document.tiers.iter().map(|tier| u32::from(tier.floor)).sum();
    ensure!(
        floors <= 50,
        "tiers: the floors add up to {floors} percent; at most 50 are allowed, so that priorities have an effect"
    );
    for tier in document.tiers.iter() {
        ensure!(
            !tier.target.is_zero() && !tier.patience.is_zero(),
            "tiers.{}: target and patience must be above 0ms",
            tier.name
        );
        ensure!(
            !(tier.protected && tier.reclaimable),
            "tiers.{}: a protected tier may not use reclaimable runners",
            tier.name
        );
    }
    ensure!(
        document.settings.reserve <= 50,
        "settings.reserve: at most 50 percent"
    );
    ensure!(
        document.settings.usage_window.as_secs() >= 1,
        "settings.usage_window: at least 1s"
    );
    Ok(())
}

fn check_classes(document: &Document) -> Result<()> {
    for class in document.classes.iter() {
        let plain = class.mode != super::Mode::Generate;
        ensure!(
            !plain || class.path.starts_with('/'),
            "classes.{}.path: a plain call needs a path such as \"/ledger/postings\"",
            class.name
        );
        ensure!(
            !class.path.starts_with("/v1/"),
            "classes.{}.path: paths under /v1/ are reserved for the router",
            class.name
        );
        let duplicate = document
            .classes
            .iter()
            .find(|other| plain && other.name != class.name && other.path == class.path);
        if let Some(duplicate) = duplicate {
            bail!(
                "classes.{}.path: `{}` has the same path",
                class.name,
                duplicate.name
            );
        }
    }
    Ok(())
}

fn check_keys(document: &Document) -> Result<()> {
    let mut hashes: Vec<&str> = Vec::new();
    for key in document.keys.iter() {
        ensure!(
            document.customers.get(&key.customer).is_some(),
            "keys.{}.customer: no customer `{}`",
            key.name,
            key.customer
        );
        ensure!(
            key.hash.len() == 64
                && key
                    .hash
                    .bytes()
                    .all(|c| c.is_ascii_digit() || (b'a'..=b'f').contains(&c)),
            "keys.{}.hash: 64 lower-case hexadecimal digits of a SHA-256",
            key.name
        );
        hashes.push(&key.hash);
    }
    hashes.sort_unstable();
    ensure!(
        hashes.windows(2).all(|pair| pair[0] != pair[1]),
        "keys: two keys have the same hash"
    );
    Ok(())
}

fn check_selectors(document: &Document) -> Result<()> {
    for selector in document.selectors.iter() {
        ensure!(
            document.tiers.get(&selector.tier).is_some(),
            "selectors.{}.tier: no tier `{}`",
            selector.name,
            selector.tier
        );
        for name in selector.when.keys() {
            let known = name == "class"
                || name == "customer"
                || name == "key"
                || ["class.", "customer.", "key."]
                    .iter()
                    .any(|part| name.starts_with(part));
            ensure!(
                known,
                "selectors.{}.match.{name}: allowed are class, customer, key, and class.*, customer.*, key.* for labels",
                selector.name
            );
        }
    }
    Ok(())
}
