//! `radishctl give` and `radishctl withdraw`: API keys of customers.

use anyhow::{Result, bail, ensure};
use argh::FromArgs;
use radishstair_core::config::change::{Op, Section};
use radishstair_core::config::{Document, Key, Labels};
use sha2::{Digest, Sha256};

use super::{Context, print_outcome};
use crate::commit::commit;

/// Issue an API key to a customer; it is printed once and only its hash is stored.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "give")]
pub struct Give {
    /// name of the customer
    #[argh(positional)]
    pub customer: String,
    /// public name of the key
    #[argh(positional)]
    pub name: String,
}

/// Withdraw an API key.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct Withdraw {
    /// public name of the key
    #[argh(positional)]
    pub name: String,
}

/// Issues an API key and prints it.
///
/// # Errors
///
/// When the customer does not exist, the name is taken, or the store does not
/// answer.
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
        "customer `{}` does not exist",
        args.customer
    );
    if document.keys.get(&args.name).is_some_and(|key| key.hash != hash) {
        bail!("key `{}` already exists", args.name);
    }
    let key = Key {
        name: args.name.clone(),
        hash: hash.to_string(),
        customer: args.customer.clone(),
        labels: Labels::new(),
        withdrawn: false,
    };
    put_op(key)
}

/// Withdraws an API key.
///
/// # Errors
///
/// When the key does not exist or the store does not answer.
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
        bail!("key `{}` does not exist", args.name);
    };
    if key.withdrawn {
        return Ok(Vec::new());
    }
    put_op(Key {
        withdrawn: true,
        ..key.clone()
    })
}

fn put_op(key: Key) -> Result<Vec<Op>> {
    Ok(vec![Op {
        section: Section::Keys,
        name: key.name.clone(),
        value: Some(serde_json::to_value(key)?),
    }])
}
