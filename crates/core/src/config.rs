//! The configuration that operators declare: tiers, classes, customers, keys, pools and selectors.
//!
//! A [`Document`] holds the declarations as sorted tables. It changes only by
//! numbered [`change::Entry`]s, each created once in the store, so the log orders
//! concurrent changes and serves as history and audit trail. [`view::View`] is
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

/// Labels: names and values that operators choose freely.
pub type Labels = std::collections::BTreeMap<String, String>;

#[serde_as]
/// A service tier.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// Priority; lower goes first.
    pub priority: u8,
    /// Longest time to the first token, or to the answer of a plain call.
    #[serde_as(as = "DurationText")]
    pub target: Duration,
    /// Longest wait for a runner, after which the call is refused.
    #[serde_as(as = "DurationText")]
    pub patience: Duration,
    /// Whether its calls are never shed or preempted for an unprotected tier.
    #[serde(default)]
    pub protected: bool,
    /// Minimum share of the starts while it has waiting calls, in percent.
    #[serde(default)]
    pub floor: u8,
    /// Whether its calls may run on reclaimable runners.
    #[serde(default)]
    pub reclaimable: bool,
}

record! {
    /// How the calls of a class are run.
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
        /// How its calls are run.
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
    /// A caller's key, of which only the hash is stored.
    pub struct Key {
        /// Public name of the key.
        pub name: String,
        /// SHA-256 of the key, in hexadecimal.
        pub hash: String,
        /// Name of the customer that it belongs to.
        pub customer: String,
        /// Labels for selectors.
        #[serde(default)]
        pub labels: Labels,
        /// Whether it was withdrawn; it is kept so that its caller is told why.
        #[serde(default)]
        pub withdrawn: bool,
    }
}

record! {
    /// A pool of upstream runners of one kind.
    pub struct Pool {
        /// Its name, as in the platform's host list.
        pub name: String,
        /// Names of the models that it serves; empty for plain services.
        #[serde(default)]
        pub models: Vec<String>,
        /// Labels for selectors.
        #[serde(default)]
        pub labels: Labels,
        /// Whether its runners are cheap and can be reclaimed at short notice.
        #[serde(default)]
        pub reclaimable: bool,
        /// Minimum number of runners to order per zone.
        #[serde(default)]
        pub least: u32,
        /// Maximum number of runners to order per zone; 0 to order none.
        #[serde(default)]
        pub most: u32,
        /// Whether the upstream refuses orders with an outdated fencing number.
        #[serde(default)]
        pub fenced: bool,
    }
}

record! {
    /// A rule that gives matching calls a tier and pools.
    pub struct Selector {
        /// Its name.
        pub name: String,
        /// Rank; lower ranks are tried first, and the first match decides.
        pub rank: u32,
        /// Conditions such as `"class": "posting"` or `"customer.size": "large"`, all required.
        #[serde(default, rename = "match")]
        pub when: Labels,
        /// Name of the tier that it gives.
        pub tier: String,
        /// Labels that a pool must have; several pools may match.
        pub pools: Labels,
    }
}

impl Selector {
    /// Whether a pool has the labels that it requires.
    pub fn matches_pool(&self, pool: &Pool) -> bool {
        self.pools
            .iter()
            .all(|(name, value)| pool.labels.get(name) == Some(value))
    }
}

#[serde_as]
/// Settings that apply to all hosts.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// How long a host still accepts keys after its configuration was last known to be the newest.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_horizon")]
    pub key_horizon: Duration,
    /// Length of a usage window.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_window")]
    pub usage_window: Duration,
    /// Time between the end of a window and its sealing.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_grace")]
    pub usage_grace: Duration,
    /// Share of every runner's slots kept free for tiers of higher priority, in percent.
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

/// The declarations of one configuration version.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Settings that apply to all hosts.
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
