//! Scenario files: who calls, how much, on what, and what goes wrong.

use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use radishstair_core::config::{Document, check};
use radishstair_core::record;
use radishstair_core::units::DurationText;
use serde_with::serde_as;

record! {
    /// Runners of one pool in each zone.
    pub struct RunnerGroup {
        /// Pool.
        pub pool: String,
        /// How many a zone.
        pub each: u32,
        /// Calls at once.
        pub slots: u32,
        /// Milliseconds a token when alone; twice that when full.
        pub pace_ms: f64,
        /// Milliseconds to read a prompt that is not cached.
        #[serde(default)]
        pub prefill_ms: f64,
        /// Price of one runner and hour.
        #[serde(default)]
        pub price: f64,
    }
}

record! {
    /// Calls of one class.
    pub struct Traffic {
        /// Class, as in the configuration.
        pub class: String,
        /// Calls a second, over all customers.
        pub rate: f64,
        /// Customers and their shares of it.
        pub customers: Vec<(String, f64)>,
        /// Median length of answers, in tokens; 0 for plain calls.
        #[serde(default)]
        pub tokens: f64,
        /// Spread of the length: the sigma of its logarithm.
        #[serde(default)]
        pub sigma: f64,
        /// Different beginnings of prompts.
        #[serde(default = "one")]
        pub prefixes: u64,
    }
}

fn one() -> u64 {
    1
}

record! {
    /// What happens at a time.
    #[allow(missing_docs)]
    pub enum Change {
        /// A class comes at a multiple of its rate.
        Burst { class: String, factor: f64 },
        /// One customer of a class comes at a multiple of its rate.
        Flood { class: String, customer: String, factor: f64 },
        /// Some runners of a pool become slow.
        Slow { pool: String, runners: u32, factor: f64 },
        /// All runners of a pool in a zone go, at a few seconds' notice.
        Reclaim { pool: String, zone: String, notice_ms: u64 },
        /// They come back.
        Restore { pool: String, zone: String },
        /// Hosts hear nothing of each other.
        Silence { on: bool },
    }
}

#[serde_as]
/// A change and its time.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// From the start.
    #[serde_as(as = "DurationText")]
    pub after: Duration,
    /// What.
    pub change: Change,
}

#[serde_as]
/// A scenario.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The configuration, beside the scenario file.
    pub configuration: String,
    /// Length.
    #[serde_as(as = "DurationText")]
    pub length: Duration,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Entry hosts a zone.
    pub hosts: usize,
    /// Runners.
    pub fleet: Vec<RunnerGroup>,
    /// Calls.
    pub traffic: Vec<Traffic>,
    /// What goes wrong.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Age of what hosts know of each other's calls.
    #[serde_as(as = "DurationText")]
    pub lag: Duration,
    /// Seeds from here on are for a final look only.
    #[serde(default)]
    pub held_back: bool,
}

/// Reads a scenario and its configuration.
///
/// # Errors
///
/// Names the key that is wrong.
pub fn load(path: &Path) -> Result<(Scenario, Document)> {
    let scenario: Scenario = radishstair_wire::settings::load(path)?;
    let beside = path
        .parent()
        .unwrap_or(Path::new("."))
        .join(&scenario.configuration);
    let text = std::fs::read_to_string(&beside).with_context(|| format!("reading {}", beside.display()))?;
    let document = check::parse(&text)?;
    for traffic in &scenario.traffic {
        ensure!(
            document.classes.get(&traffic.class).is_some(),
            "traffic: no class `{}` in {}",
            traffic.class,
            beside.display()
        );
        for (customer, _) in &traffic.customers {
            ensure!(
                document.customers.get(customer).is_some(),
                "traffic.{}: no customer `{customer}`",
                traffic.class
            );
        }
    }
    Ok((scenario, document))
}
