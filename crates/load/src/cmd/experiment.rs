//! `radishstair-load experiment`: compares dispatch policies over many seeds.

use std::path::PathBuf;

use anyhow::{Context, Result};
use argh::FromArgs;
use radishstair_core::dispatch::Policy;

use crate::report::{self, Arm};
use crate::scenario::load;
use crate::simulation::simulate;

/// Simulate a scenario with each policy and compare the results.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct Args {
    /// scenario file (JSON)
    #[argh(positional)]
    pub scenario: PathBuf,
    /// policies, separated by commas
    #[argh(option, default = "String::from(\"full,fifo,least-load,round-robin\")")]
    pub policies: String,
    /// first seed
    #[argh(option, default = "1")]
    pub first_seed: u64,
    /// number of seeds
    #[argh(option, default = "10")]
    pub seeds: u64,
    /// write the figures as JSON to this file
    #[argh(option)]
    pub json: Option<PathBuf>,
    /// write a plot (SVG) to this file
    #[argh(option)]
    pub plot: Option<PathBuf>,
}

/// Runs the command.
///
/// # Errors
///
/// If the scenario is not valid, a policy is unknown or a file cannot be written.
pub fn run(args: &Args) -> Result<()> {
    let (scenario, document) = load(&args.scenario)?;
    let policies = args
        .policies
        .split(',')
        .map(parse_policy)
        .collect::<Result<Vec<_>>>()?;
    println!(
        "scenario={} seeds={} first-seed={} policies={}",
        scenario.name, args.seeds, args.first_seed, args.policies
    );
    let arms: Vec<Arm> = std::thread::scope(|scope| {
        let (scenario, document) = (&scenario, &document);
        let tasks: Vec<_> = policies
            .into_iter()
            .map(|policy| {
                let run =
                    move |at| scope.spawn(move || simulate(scenario, document, policy, args.first_seed + at));
                (policy, (0..args.seeds).map(run).collect::<Vec<_>>())
            })
            .collect();
        let joined = tasks.into_iter().map(|(policy, runs)| Arm {
            policy,
            runs: runs.into_iter().filter_map(|run| run.join().ok()).collect(),
        });
        joined.collect()
    });
    report::print(&arms);
    if let Some(path) = &args.json {
        let value = report::json(&scenario.name, (args.first_seed, args.seeds), &arms);
        std::fs::write(path, serde_json::to_string_pretty(&value)?)
            .with_context(|| format!("writing {}", path.display()))?;
    }
    if let Some(path) = &args.plot {
        let title = format!("{}, {} seeds from {}", scenario.name, args.seeds, args.first_seed);
        report::plot(path, &title, &arms)?;
    }
    Ok(())
}

fn parse_policy(name: &str) -> Result<Policy> {
    serde_json::from_value(serde_json::Value::String(name.to_string()))
        .with_context(|| format!("unknown policy `{name}`"))
}
