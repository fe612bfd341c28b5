//! Identifiers of processes and calls.

use std::fmt;

use serde_with::serde_as;

use crate::units::Hex64;

/// One run of a process: a restart gets a new one.
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
    /// One call in this process, new for each attempt at a decision.
    CallId(u64)
}

/// Weight of `node` for `item`: the highest weights own the item
/// (rendezvous hashing, so a lost node moves only its own items).
pub fn rendezvous_weight(item: u64, node: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(&item.to_le_bytes(), node)
}

/// Stable 64-bit hash of bytes, the same on every host.
pub fn digest(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
