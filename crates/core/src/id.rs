//! Identifiers of processes and calls, and the hashes on them.

use std::fmt;

use serde_with::serde_as;

use crate::units::Hex64;

/// Identifier of one run of a process; each restart has a new one.
#[serde_as]
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(#[serde_as(as = "Hex64")] pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl std::str::FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

arena_key! {
    /// Identifier of a call in this process; each attempt at a decision has a
    /// new one.
    CallId(u64)
}

/// Weight of `node` for `item` in rendezvous hashing. The nodes with the
/// highest weights own the item, so the loss of a node moves its own items
/// only.
pub fn rendezvous_weight(item: u64, node: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&item.to_le_bytes(), node)
}

/// 64-bit hash of bytes that is the same on all hosts and in all runs.
pub fn digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

/// 64-bit hash of several fields that is the same on all hosts and in all runs. Bytes that are divided
/// otherwise between the fields have another hash.
pub fn digest_fields<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}
