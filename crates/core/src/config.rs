//! What operators declare: customers, classes, keys, pools and selectors.
//!
//! A [`Document`] holds the declarations as sorted tables. It changes only by
//! numbered [`change::Entry`]s, each created once in the store, so the log is
//! the agreement, the history and the audit trail in one. [`view::View`] is
//! the compiled form that the traffic threads read.

use std::time::Duration;

use serde_with::serde_as;

use crate::units::DurationText;

pub mod change;
pub mod check;
pub mod service;
pub mod table;
pub mod view;

pub use table::Table;

/// A label: free text under a free name.
pub type Labels = std::collections::BTreeMap<String, String>;

#[serde_as]
/// A service tier: target, priority and protection.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// Lower goes first.
    pub priority: u8,
    /// First token, or whole answer of a plain call, within this.
    #[serde_as(as = "DurationText")]
    pub target: Duration,
    /// Longest wait for a runner; past it the call is refused.
    #[serde_as(as = "DurationText")]
    pub patience: Duration,
    /// Never shed or preempted for an unprotected tier.
    #[serde(default)]
    pub protected: bool,
    /// Least share of starts while work waits, in percent.
    #[serde(default)]
    pub floor: u8,
    /// Whether its work may sit on runners that can vanish.
    #[serde(default)]
    pub reclaimable: bool,
}

record! {
    /// How a class of calls may be run.
    pub enum Mode {
        /// Token generation on a model engine.
        Generate,
        /// A plain call that may be repeated.
        Repeatable,
        /// A plain call that runs at most once.
        Once,
    }
}

record! {
    /// A request class.
    pub struct Class {
        /// Its name.
        pub name: String,
        /// How its calls run.
        pub mode: Mode,
        /// Path of plain calls, such as `/ledger/postings`.
        #[serde(default)]
        pub path: String,
        /// Labels for selectors.
        #[serde(default)]
        pub labels: Labels,
    }
}

record! {
    /// A customer.
    pub struct Customer {
        /// Its name.
        pub name: String,
        /// Labels for selectors.
        #[serde(default)]
        pub labels: Labels,
    }
}

record! {
    /// A caller's key; only its hash is known.
    pub struct Key {
        /// Public name of the key.
        pub name: String,
        /// SHA-256 of the key, in hexadecimal.
        pub hash: String,
        /// Whose it is.
        pub customer: String,
        /// Labels for selectors.
        #[serde(default)]
        pub labels: Labels,
        /// A withdrawn key stays known, so that its caller learns why.
        #[serde(default)]
        pub withdrawn: bool,
    }
}

record! {
    /// A pool of upstream runners of one kind.
    pub struct Pool {
        /// Its name, as the platform's host list gives it.
        pub name: String,
        /// Models it serves; none for plain services.
        #[serde(default)]
        pub models: Vec<String>,
        /// Labels for selectors.
        #[serde(default)]
        pub labels: Labels,
        /// Whether its runners are cheap and can vanish at short notice.
        #[serde(default)]
        pub reclaimable: bool,
        /// Fewest runners a zone to order.
        #[serde(default)]
        pub least: u32,
        /// Most runners a zone to order.
        #[serde(default)]
        pub most: u32,
        /// Whether the upstream refuses orders with an old fencing number.
        #[serde(default)]
        pub fenced: bool,
    }
}

record! {
    /// Gives matching traffic a tier and pools.
    pub struct Selector {
        /// Its name.
        pub name: String,
        /// Lower ranks are tried first; the first match wins.
        pub rank: u32,
        /// Pairs such as `"class": "posting"` or `"customer.size": "large"`.
        #[serde(default, rename = "match")]
        pub when: Labels,
        /// The tier it gives.
        pub tier: String,
        /// Labels that a pool must carry; several pools may.
        pub pools: Labels,
    }
}

impl Selector {
    /// Whether it gives a pool, by the pool's labels.
    pub fn matches_pool(&self, pool: &Pool) -> bool {
        self.pools
            .iter()
            .all(|(name, value)| pool.labels.get(name) == Some(value))
    }
}

#[serde_as]
/// Settings in force everywhere.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// How long a host cut off from every newer word goes on trusting keys.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_horizon")]
    pub key_horizon: Duration,
    /// Length of a usage window.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_window")]
    pub usage_window: Duration,
    /// Wait after a window's end before it is sealed.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_grace")]
    pub usage_grace: Duration,
    /// Share of every runner kept free for protected tiers, in percent.
    #[serde(default = "default_reserve")]
    pub reserve: u8,
}

fn default_horizon() -> Duration {
    Duration::from_secs(3_600)
}

fn default_window() -> Duration {
    Duration::from_secs(60)
}

fn default_grace() -> Duration {
    Duration::from_secs(5)
}

fn default_reserve() -> u8 {
    15
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            key_horizon: default_horizon(),
            usage_window: default_window(),
            usage_grace: default_grace(),
            reserve: default_reserve(),
        }
    }
}

/// Everything that operators declare.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Settings in force everywhere.
    #[serde(default)]
    pub settings: Settings,
    /// Service tiers.
    #[serde(default)]
    pub tiers: Table<Tier>,
    /// Request classes.
    #[serde(default)]
    pub classes: Table<Class>,
    /// Customers.
    #[serde(default)]
    pub customers: Table<Customer>,
    /// Callers' keys.
    #[serde(default)]
    pub keys: Table<Key>,
    /// Upstream pools.
    #[serde(default)]
    pub pools: Table<Pool>,
    /// Selectors.
    #[serde(default)]
    pub selectors: Table<Selector>,
}
