//! `radishstair-load experiment`: policies side by side over many seeds.

use std::path::PathBuf;

use anyhow::{Context, Result};
use argh::FromArgs;
use radishstair_core::dispatch::Policy;

use crate::report::{self, Row};
use crate::scenario::load;
use crate::simulation::simulate;

/// Play a scenario against the decisions with each policy.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct Args {
    /// scenario (JSON)
    #[argh(positional)]
    pub scenario: PathBuf,
    /// policies, such as full,fifo,least-load,round-robin
    #[argh(option, default = "String::from(\"full,fifo,least-load,round-robin\")")]
    pub policies: String,
    /// first seed
    #[argh(option, default = "1")]
    pub first_seed: u64,
    /// number of seeds
    #[argh(option, default = "10")]
    pub seeds: u64,
    /// write JSON here
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// write a plot (SVG) here
    #[argh(option)]
    pub plot: Option<PathBuf>,
}

/// Runs the command.
///
/// # Errors
///
/// When the scenario is wrong or a file cannot be written.
pub fn run(args: &Args) -> Result<()> {
    let (scenario, document) = load(&args.scenario)?;
    let policies = args.policies.split(',').map(policy).collect::<Result<Vec<_>>>()?;
    println!(
        "scenario={} seeds={} first-seed={} policies={}",
        scenario.name, args.seeds, args.first_seed, args.policies
    );
    let rows: Vec<Row> = std::thread::scope(|scope| {
        let (scenario, document) = (&scenario, &document);
        let tasks: Vec<_> = policies
            .into_iter()
            .map(|policy| {
                let run =
                    move |at| scope.spawn(move || simulate(scenario, document, policy, args.first_seed + at));
                (policy, (0..args.seeds).map(run).collect::<Vec<_>>())
            })
            .collect();
        let joined = tasks.into_iter().map(|(policy, runs)| Row {
            policy,
            runs: runs.into_iter().filter_map(|run| run.join().ok()).collect(),
        });
        joined.collect()
    });
    report::print(&rows);
    if let Some(path) = &args.json {
        let value = report::json(&scenario.name, (args.first_seed, args.seeds), &rows);
        std::fs::write(path, serde_json::to_string_pretty(&value)?)
            .with_context(|| format!("writing {}", path.display()))?;
    }
    if let Some(path) = &args.plot {
        let title = format!("{}, {} seeds from {}", scenario.name, args.seeds, args.first_seed);
        report::plot(path, &title, &rows)?;
    }
    Ok(())
}

fn policy(name: &str) -> Result<Policy> {
    serde_json::from_value(serde_json::Value::String(name.to_string()))
        .with_context(|| format!("policy `{name}`"))
}
