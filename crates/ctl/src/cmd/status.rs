//! `radishctl status`: prints the status of each host and zone.

use anyhow::Result;
use argh::FromArgs;

use super::Context;
use crate::host;

/// Show the status of hosts and zones.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Args {
    /// print the hosts' status as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// When a status cannot be written as JSON.
pub fn run(context: &Context, args: &Args) -> Result<()> {
    for address in &context.settings.hosts {
        let Some(status) = host::fetch_status(*address) else {
            println!("host={address} state=no-answer");
            continue;
        };
        if args.json {
            println!("{}", serde_json::to_string(&status)?);
            continue;
        }
        let age = status.age_ms.map_or("never".to_string(), |age| age.to_string());
        println!(
            "host={address} version={} confirmed-ms-ago={age} hosts={} runners={}/{} tickets={} claims={} chunks={}",
            status.version,
            status.hosts,
            status.runners.1,
            status.runners.0,
            status.records.0,
            status.records.1,
            status.chunks
        );
        for (duty, fence) in &status.duties {
            println!("host={address} duty={duty} fence={fence}");
        }
        for (tier, waiting) in status.queue.iter().filter(|(_, waiting)| *waiting > 0) {
            println!("host={address} tier={tier} waiting={waiting}");
        }
    }
    for zone in host::zone_summaries(&context.settings.hosts) {
        let state = if zone.age_ms <= host::MAX_SUMMARY_AGE_MS {
            "heard"
        } else {
            "silent"
        };
        println!(
            "zone={} version={} hosts={} state={state} heard-ms-ago={}",
            zone.zone, zone.version, zone.hosts, zone.age_ms
        );
    }
    Ok(())
}
