//! `radishctl give` and `radishctl withdraw`: callers' keys.

use anyhow::{Result, bail, ensure};
use argh::FromArgs;
use radishstair_core::config::change::{Op, Section};
use radishstair_core::config::{Document, Key, Labels};
use sha2::{Digest, Sha256};

use super::{Context, print_outcome};
use crate::commit::commit;

/// Give a customer a key; it is printed once and only its hash is kept.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "give")]
pub struct Give {
    /// customer
    #[argh(positional)]
    pub customer: String,
    /// public name of the key
    #[argh(positional)]
    pub name: String,
}

/// Withdraw a key.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct Withdraw {
    /// public name of the key
    #[argh(positional)]
    pub name: String,
}

/// Gives a key.
///
/// # Errors
///
/// When there is no such customer, the name is taken, or the store is away.
pub fn give(context: &Context, args: &Give) -> Result<()> {
    let secret: [u8; 32] = rand::random();
    let key = format!("rsk-{}", hex::encode(secret));
    let hash = hex::encode(Sha256::digest(key.as_bytes()));
    let note = format!("give key {} to {}", args.name, args.customer);
    let entry = commit(&context.client, &context.settings.who, &note, true, |document| {
        plan_give(document, args, &hash)
    })?;
    println!("key={key}");
    print_outcome(context, entry.as_ref());
    Ok(())
}

fn plan_give(document: &Document, args: &Give, hash: &str) -> Result<Vec<Op>> {
    ensure!(
        document.customers.get(&args.customer).is_some(),
        "no customer `{}`",
        args.customer
    );
    if document.keys.get(&args.name).is_some_and(|key| key.hash != hash) {
        bail!("the key name `{}` is taken", args.name);
    }
    let key = Key {
        name: args.name.clone(),
        hash: hash.to_string(),
        customer: args.customer.clone(),
        labels: Labels::new(),
        withdrawn: false,
    };
    put(key)
}

/// Withdraws a key.
///
/// # Errors
///
/// When there is no such key or the store is away.
pub fn withdraw(context: &Context, args: &Withdraw) -> Result<()> {
    let note = format!("withdraw key {}", args.name);
    let entry = commit(&context.client, &context.settings.who, &note, true, |document| {
        plan_withdraw(document, args)
    })?;
    print_outcome(context, entry.as_ref());
    Ok(())
}

fn plan_withdraw(document: &Document, args: &Withdraw) -> Result<Vec<Op>> {
    let Some(key) = document.keys.get(&args.name) else {
        bail!("no key `{}`", args.name);
    };
    if key.withdrawn {
        return Ok(Vec::new());
    }
    put(Key {
        withdrawn: true,
        ..key.clone()
    })
}

fn put(key: Key) -> Result<Vec<Op>> {
    Ok(vec![Op {
        section: Section::Keys,
        name: key.name.clone(),
        value: Some(serde_json::to_value(key)?),
    }])
}
