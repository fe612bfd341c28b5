//! Quarantines and reports of crashes in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::crash::Suspect;
use radishstair_core::proxy::crash::quarantine::Record;
use radishstair_core::proxy::crash::report::Report;
use radishstair_core::store::{Answer, Call, Entry};

use super::super::Shared;
use super::super::call::{self, WRITE_TIMEOUT};
use super::super::client::Client;
use super::super::records::parse;

/// Prefix of the records of parts under quarantine.
pub const QUARANTINE_PREFIX: &str = "radishstair/part/";
/// Prefix of the reports of hosts that do not reach all others.
const REPORT_PREFIX: &str = "radishstair/crash/";
/// Time between two rounds of writes to the store.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which reports in the store are removed.
const STORED_LIFE: Duration = Duration::from_secs(60);

/// Writes what other hosts have to learn from the store, until the process ends.
pub async fn publish(shared: Arc<Shared>, store: Arc<Client>) {
    let mut writer = Writer {
        key: format!("{REPORT_PREFIX}{}", shared.incarnation),
        version: 0,
        shared,
        store,
        waiting: None,
    };
    loop {
        writer.shared.crash_unwritten.notified().await;
        writer.write_records().await;
        writer.write_report().await;
        writer.remove_refuted().await;
        writer.remove_outdated().await;
        tokio::time::sleep(WRITE_INTERVAL).await;
        if writer.has_more() {
            writer.shared.crash_unwritten.notify_one();
        }
    }
}

/// Writes this host's part of the crashes and quarantines.
struct Writer {
    shared: Arc<Shared>,
    store: Arc<Client>,
    /// Key of this host's report, and its version in the store.
    key: String,
    version: u64,
    /// Report that could not be written.
    waiting: Option<Report>,
}

impl Writer {
    fn has_more(&self) -> bool {
        let state = self.shared.state();
        let quarantine = &state.crashes.quarantine;
        self.waiting.is_some()
            || quarantine.unwritten().next().is_some()
            || quarantine.refuted_records().next().is_some()
    }

    /// Removes the records of parts of which requests were answered.
    async fn remove_refuted(&self) {
        let refuted: Vec<Call> = {
            let state = self.shared.state();
            let is_removing = state.crashes.removes_records();
            let records = state.crashes.quarantine.refuted_records();
            let removals = records.filter(|_| is_removing).map(|(key, expect)| Call::Remove {
                key: key.to_string(),
                expect,
            });
            removals.collect()
        };
        for call in refuted {
            call::send(&self.shared, &self.store, &call, WRITE_TIMEOUT).await;
        }
    }

    /// Writes the records of the parts that this host has found.
    async fn write_records(&self) {
        let unwritten: Vec<(Suspect, String)> = {
            let state = self.shared.state();
            let unwritten = state.crashes.quarantine.unwritten();
            unwritten.map(|(part, record)| (part, to_json(record))).collect()
        };
        for (part, value) in unwritten {
            let call = Call::CompareAndSwap {
                key: quarantine_key(part),
                expect: 0,
                value,
            };
            let answer = call::send(&self.shared, &self.store, &call, WRITE_TIMEOUT)
                .await
                .answer;
            // In a conflict, another host has found it as well.
            if matches!(answer, Answer::Written(_) | Answer::Conflict(_)) {
                let now = self.shared.now();
                self.shared.state().crashes.quarantine.record_written(now, part);
            }
        }
    }

    /// Writes this host's report, if it has changed.
    async fn write_report(&mut self) {
        let now = self.shared.now();
        let unix_ms = self.shared.wall_clock_ms(now);
        let report = self.shared.state().crashes.take_report(now, unix_ms);
        self.waiting = report.or(self.waiting.take());
        let Some(report) = &self.waiting else {
            return;
        };
        let call = Call::CompareAndSwap {
            key: self.key.clone(),
            expect: self.version,
            value: to_json(report),
        };
        match call::send(&self.shared, &self.store, &call, WRITE_TIMEOUT)
            .await
            .answer
        {
            Answer::Written(version) => {
                self.version = version;
                self.waiting = None;
            }
            // An earlier write whose answer was lost took effect, or another host has removed the key.
            Answer::Conflict(entry) => self.version = entry.version,
            _ => {}
        }
    }

    /// Removes reports of any host from the store that have been there for long, and records that have ended by
    /// age. Only collectors do, so that not all hosts call the store for each of them.
    async fn remove_outdated(&self) {
        if !self.shared.state().crashes.is_collector() {
            return;
        }
        let unix_ms = self.shared.wall_clock_ms(self.shared.now());
        let is_outdated = |entry: &&Entry| {
            let age_ms = parse::<Report>(entry).map(|report| unix_ms.saturating_sub(report.written_ms));
            age_ms.is_none_or(|age_ms| age_ms > STORED_LIFE.as_millis() as u64)
        };
        let has_ended = |entry: &&Entry| {
            let suspect = part_of_key(&entry.key);
            let record = parse::<Record>(entry);
            suspect
                .zip(record)
                .is_some_and(|(suspect, record)| record.is_outdated(suspect.scope, unix_ms))
        };
        let outdated: Vec<Entry> = {
            let mirror = self.shared.mirror();
            let reports = mirror.with_prefix(REPORT_PREFIX).iter().filter(is_outdated);
            let records = mirror.with_prefix(QUARANTINE_PREFIX).iter().filter(has_ended);
            reports.chain(records).cloned().collect()
        };
        for entry in outdated {
            let call = Call::Remove {
                key: entry.key,
                expect: entry.version,
            };
            call::send(&self.shared, &self.store, &call, WRITE_TIMEOUT).await;
        }
    }
}

/// Applies the reports and quarantines in the store.
pub fn apply(shared: &Shared, own_entries: &[Entry]) {
    let now = shared.now();
    let unix_ms = shared.wall_clock_ms(now);
    let with_prefix = |prefix: &'static str| {
        own_entries
            .iter()
            .filter(move |entry| entry.key.starts_with(prefix))
    };
    let records = with_prefix(QUARANTINE_PREFIX).filter_map(|entry| {
        let part = part_of_key(&entry.key)?;
        Some((part, entry.clone(), parse(entry)?))
    });
    let records = records.collect();
    let reports: Vec<Report> = with_prefix(REPORT_PREFIX).filter_map(parse).collect();
    let (begun, ended) = {
        let mut state = shared.state();
        for report in &reports {
            state.crashes.read_report(now, unix_ms, report);
        }
        state.crashes.apply_records(now, records)
    };
    if !reports.is_empty() {
        shared.crash_pending.notify_one();
    }
    for record in begun {
        tracing::warn!(
            event = "quarantine-begun",
            service = record.service,
            part = record.part,
            found_by = record.found_by,
            crashes = record.crashes,
            requests = record.requests,
            other_crashes = record.other_crashes,
            probes = record.probes
        );
    }
    for part in ended {
        tracing::warn!(event = "quarantine-ended", %part);
    }
}

/// Key of the record of a part.
pub(super) fn quarantine_key(part: Suspect) -> String {
    format!("{QUARANTINE_PREFIX}{:016x}-{part}", part.service)
}

fn part_of_key(key: &str) -> Option<Suspect> {
    let (service, text) = key.strip_prefix(QUARANTINE_PREFIX)?.split_once('-')?;
    Suspect::parse(u64::from_str_radix(service, 16).ok()?, text)
}

/// Strings and numbers always serialize to JSON.
pub(in super::super) fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
