//! Runner discovery: parses the runners' entries and applies them to the fleet.

use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::fleet::Listed;
use radishstair_core::store::Entry;
use radishstair_core::time::Moment;

use super::Shared;
use crate::upstream::pool::Pool;

/// Time between log lines about the speed of runners.
const PACE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A runner's entry as last parsed.
#[derive(Debug)]
struct Parsed {
    key: String,
    version: u64,
    /// `None` if the entry could not be parsed.
    listed: Option<Listed>,
}

/// Parses runners' entries and applies them to the fleet.
#[derive(Debug)]
pub struct Discovery {
    shared: Arc<Shared>,
    pool: Arc<Pool>,
    /// Entries as last parsed, sorted by key. Most entries are the same in each round,
    /// and parsing thousands again would slow down a small host.
    parsed: Vec<Parsed>,
    /// Time at which the speed of runners was last logged.
    pace_logged_at: Moment,
}

impl Discovery {
    /// Creates the state of a host that has read no entries.
    pub fn new(shared: Arc<Shared>, pool: Arc<Pool>) -> Self {
        Self {
            shared,
            pool,
            parsed: Vec::new(),
            pace_logged_at: Moment::default(),
        }
    }

    /// Applies all runners' entries as of a moment; returns whether any has changed.
    ///
    /// The entries must be sorted by key.
    pub fn apply(&mut self, as_of: Moment, entries: &[Entry]) -> bool {
        let mut changed = entries.len() != self.parsed.len();
        let mut parsed = Vec::with_capacity(entries.len());
        let mut previous = std::mem::take(&mut self.parsed).into_iter().peekable();
        for entry in entries {
            while previous.next_if(|old| old.key < entry.key).is_some() {}
            let former = previous.next_if(|old| old.key == entry.key);
            let current = match former {
                Some(unchanged) if unchanged.version == entry.version => unchanged,
                former => {
                    changed = true;
                    let current = self.parse(entry);
                    log_restart(former.and_then(|former| former.listed), current.listed.as_ref());
                    current
                }
            };
            parsed.push(current);
        }
        self.parsed = parsed;
        let listed = self.parsed.iter().filter_map(|parsed| parsed.listed.clone());
        let now = self.shared.now();
        let stale = self.shared.state().update_runners(now, as_of, listed.collect());
        self.shared.started.notify_waiters();
        self.log_pace(now);
        for address in stale {
            self.pool.remove(address);
        }
        changed
    }

    /// Logs the estimated speed of runners at intervals, as placement and orders depend
    /// on it.
    fn log_pace(&mut self, now: Moment) {
        if now.since(self.pace_logged_at) < PACE_LOG_INTERVAL {
            return;
        }
        self.pace_logged_at = now;
        let state = self.shared.state();
        let Some(table) = state.table.clone() else {
            return;
        };
        let engines = table.services().iter().filter(|service| service.engine.is_some());
        for service in engines {
            let latency = state.latencies.get(&service.name).cloned().unwrap_or_default();
            let partition = state.partition(&service.name);
            tracing::info!(
                event = "pace",
                service = service.name,
                first_ms = latency.base().as_millis() as u64,
                thousand_tokens_ms = format!("{:.1}", latency.prefill_ms_per_1k()),
                stall_ms = latency.stall().as_millis() as u64,
                long_from_ms = partition.long_prompt.as_millis() as u64,
                long_part = format!("{:.2}", partition.long_share),
                flow = state.prefill_rate(now, &service.name).total_us
            );
        }
    }

    fn parse(&self, entry: &Entry) -> Parsed {
        let listed = self.shared.adapter.parse_runner(entry);
        // What could not be read before has no value any more, and is logged.
        if let Err(err) = &listed
            && !entry.value.is_empty()
        {
            log_unreadable(entry, err);
        }
        Parsed {
            key: entry.key.clone(),
            version: entry.version,
            listed: listed.ok(),
        }
    }
}

/// Logs that a runner has started again under its id, possibly with other software.
fn log_restart(former: Option<Listed>, current: Option<&Listed>) {
    if let (Some(former), Some(current)) = (former, current)
        && former.started_ms != current.started_ms
    {
        tracing::info!(
            event = "runner-restarted",
            runner = current.id,
            software = current.software.label,
            former = former.software.label
        );
    }
}

fn log_unreadable(entry: &Entry, err: &anyhow::Error) {
    tracing::warn!(event = "entry-not-read", key = entry.key, revision = entry.version, reason = %format!("{err:#}"));
}
