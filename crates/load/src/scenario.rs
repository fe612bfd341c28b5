//! Scenario files: traffic, runners, and the changes during a run.

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
        /// Name of the pool.
        pub pool: String,
        /// Runners per zone.
        pub each: u32,
        /// Calls that each runs at once.
        pub slots: u32,
        /// Milliseconds per token of an idle runner; twice that if all slots are in use.
        pub pace_ms: f64,
        /// Milliseconds to read a prompt whose prefix is not cached.
        #[serde(default)]
        pub prefill_ms: f64,
        /// Price of one runner per hour.
        #[serde(default)]
        pub price: f64,
    }
}

record! {
    /// Traffic of one class.
    pub struct Traffic {
        /// Name of the class in the configuration.
        pub class: String,
        /// Calls per second, of all customers together.
        pub rate: f64,
        /// Customers and their shares of the rate.
        pub customers: Vec<(String, f64)>,
        /// Median number of output tokens; 0 for plain calls.
        #[serde(default)]
        pub tokens: f64,
        /// Standard deviation of the logarithm of the number of output tokens.
        #[serde(default)]
        pub sigma: f64,
        /// Number of different prompt prefixes per customer.
        #[serde(default = "default_prefixes")]
        pub prefixes: u64,
    }
}

fn default_prefixes() -> u64 {
    1
}

record! {
    /// Change of traffic, runners or network.
    #[allow(missing_docs)]
    pub enum Change {
        /// Multiplies the rate of a class.
        Burst { class: String, factor: f64 },
        /// Multiplies the rate of one customer of a class.
        Flood { class: String, customer: String, factor: f64 },
        /// Multiplies the prefill time and the time per token of some runners of a pool.
        Slow { pool: String, runners: u32, factor: f64 },
        /// Stops all runners of a pool in a zone, after a notice period.
        Reclaim { pool: String, zone: String, notice_ms: u64 },
        /// Starts all runners of a pool in a zone again.
        Restore { pool: String, zone: String },
        /// Stops the hosts' reports to each other, or resumes them.
        Silence { on: bool },
    }
}

#[serde_as]
/// A change at a point in time.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Time from the start of the run.
    #[serde_as(as = "DurationText")]
    pub after: Duration,
    /// The change.
    pub change: Change,
}

#[serde_as]
/// A scenario.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, as printed in reports.
    pub name: String,
    /// Path of the configuration, relative to the scenario file.
    pub configuration: String,
    /// Duration of the run.
    #[serde_as(as = "DurationText")]
    pub length: Duration,
    /// Availability zones.
    pub zones: Vec<String>,
    /// Entry hosts per zone.
    pub hosts: usize,
    /// Runners by pool.
    pub fleet: Vec<RunnerGroup>,
    /// Traffic by class.
    pub traffic: Vec<Traffic>,
    /// Changes during the run.
    #[serde(default)]
    pub events: Vec<Event>,
    /// Interval of the hosts' reports to each other, and so the maximum age of a report.
    #[serde_as(as = "DurationText")]
    pub lag: Duration,
    /// Whether its runs are for the final evaluation only.
    #[serde(default)]
    pub held_back: bool,
}

/// Reads a scenario and its configuration.
///
/// # Errors
///
/// If a file cannot be read or is not valid; the message names the key.
pub fn load(path: &Path) -> Result<(Scenario, Document)> {
    let scenario: Scenario = radishstair_wire::settings::load(path)?;
    let configuration = path
        .parent()
        .unwrap_or(Path::new("."))
        .join(&scenario.configuration);
    let text = std::fs::read_to_string(&configuration)
        .with_context(|| format!("reading {}", configuration.display()))?;
    let document = check::parse(&text)?;
    for traffic in &scenario.traffic {
        ensure!(
            document.classes.get(&traffic.class).is_some(),
            "traffic: class `{}` does not exist in {}",
            traffic.class,
            configuration.display()
        );
        for (customer, _) in &traffic.customers {
            ensure!(
                document.customers.get(customer).is_some(),
                "traffic.{}: customer `{customer}` does not exist in the configuration",
                traffic.class
            );
        }
    }
    Ok((scenario, document))
}
