//! Putting in force what was read of the runners.

use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::fleet::Listed;
use radishstair_core::store::Entry;
use radishstair_core::time::Moment;

use super::Shared;
use crate::upstream::pool::Pool;

/// Time between two log lines on the pace of runners.
const TELL_PACE: Duration = Duration::from_secs(10);

/// A runner's entry as it was read last.
#[derive(Debug)]
struct Parsed {
    key: String,
    version: u64,
    /// None if it names no runner.
    listed: Option<Listed>,
}

/// Reads entries and puts them in force.
#[derive(Debug)]
pub struct Discovery {
    shared: Arc<Shared>,
    runners: Arc<Pool>,
    /// Sorted by key. Most entries are the same in each round, and reading
    /// thousands anew would take a small host's time.
    parsed: Vec<Parsed>,
    /// When the pace of runners was logged last.
    told: Moment,
}

impl Discovery {
    /// Of a host that has read nothing.
    pub fn new(shared: Arc<Shared>, runners: Arc<Pool>) -> Self {
        Self {
            shared,
            runners,
            parsed: Vec::new(),
            told: Moment::default(),
        }
    }

    /// Takes all runners' entries, in order, as of a moment; whether any of them
    /// has changed.
    pub fn list(&mut self, as_of: Moment, entries: &[Entry]) -> bool {
        let mut changed = entries.len() != self.parsed.len();
        let mut parsed = Vec::with_capacity(entries.len());
        let mut known = std::mem::take(&mut self.parsed).into_iter().peekable();
        for entry in entries {
            while known.next_if(|have| have.key < entry.key).is_some() {}
            let same = known.next_if(|have| have.key == entry.key && have.version == entry.version);
            changed |= same.is_none();
            parsed.push(same.unwrap_or_else(|| self.parse(entry)));
        }
        self.parsed = parsed;
        let listed = self.parsed.iter().filter_map(|parsed| parsed.listed.clone());
        let now = self.shared.now();
        let void = self.shared.state().update_runners(now, as_of, listed.collect());
        self.tell_pace(now);
        for address in void {
            self.runners.remove(address);
        }
        changed
    }

    /// Logs now and then what runners are believed to be able to do, as placement and
    /// orders follow it.
    fn tell_pace(&mut self, now: Moment) {
        if now.since(self.told) < TELL_PACE {
            return;
        }
        self.told = now;
        let state = self.shared.state();
        let Some(table) = state.table.clone() else {
            return;
        };
        let engines = table.services().iter().filter(|service| service.engine.is_some());
        for service in engines {
            let pace = state.latencies.get(&service.name).cloned().unwrap_or_default();
            let parting = state.partition(&service.name);
            tracing::info!(
                event = "pace",
                service = service.name,
                first_ms = pace.base().as_millis() as u64,
                thousand_tokens_ms = format!("{:.1}", pace.prefill_ms_per_1k()),
                stall_ms = pace.stall().as_millis() as u64,
                long_from_ms = parting.long_prompt.as_millis() as u64,
                long_part = format!("{:.2}", parting.long_share),
                flow = state.flow(now, &service.name).rate
            );
        }
    }

    fn parse(&self, entry: &Entry) -> Parsed {
        let listed = self.shared.adapter.parse_runner(entry);
        if let Err(err) = &listed {
            not_read(entry, err);
        }
        Parsed {
            key: entry.key.clone(),
            version: entry.version,
            listed: listed.ok(),
        }
    }
}

fn not_read(entry: &Entry, err: &anyhow::Error) {
    tracing::warn!(event = "entry-not-read", key = entry.key, revision = entry.version, reason = %format!("{err:#}"));
}
