//! Crashes of runners, told to other hosts and to the store, and the requests that are refused for them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::error::{Kind, Refusal};
use radishstair_core::id::digest;
use radishstair_core::proxy::crash::evidence::Witness;
use radishstair_core::proxy::crash::message::Message;
use radishstair_core::proxy::crash::quarantine::{Action, Record};
use radishstair_core::proxy::crash::report::Report;
use radishstair_core::proxy::crash::{Check, End, Part, Verdict};
use radishstair_core::proxy::fleet::Way;
use radishstair_core::proxy::readers::Host;
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;
use tokio::net::UdpSocket;

use super::call::{self, WRITE_TIMEOUT};
use super::client::Client;
use super::gossip::CRASH;
use super::job::Job;
use super::slot::Slot;
use super::{Shared, paths};
use crate::upstream::connection::Connection;
use crate::upstream::pool;

/// Prefix of the records of parts under quarantine.
pub const QUARANTINE_PREFIX: &str = "radishstair/part/";
/// Prefix of the reports of hosts that do not reach all others.
const REPORT_PREFIX: &str = "radishstair/crash/";
/// Time that a crashing runner has to close its listener, after its connections.
const CLOSE_TIME: Duration = Duration::from_millis(20);
/// Minimum time between two looks at the crashes that are known.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two looks if nothing happens.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two rounds of writes to the store.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which reports in the store are removed.
const STORED_LIFE: Duration = Duration::from_secs(60);

/// Records that a runner has broken off an answer, or that an answer has ended without a mark. If the runner no
/// longer accepts connections, it counts as crashed. `head_at` is when the head of the answer was received.
pub(super) fn record_end(job: &Job, slot: &Slot, end: End, head_at: Option<Moment>) {
    if job.parts_of_prompt.is_empty() || slot.way == Way::Relayed {
        return;
    }
    let shared = &slot.shared;
    let now = shared.now();
    let check = {
        let mut state = shared.state();
        let Some(runner) = state.fleet.get(slot.key).map(|runner| runner.hash) else {
            return;
        };
        state
            .crashes
            .record_end(now, end, witness(now, job, runner, head_at))
    };
    match check {
        Check::Probe => drop(tokio::spawn(probe(shared.clone(), slot.id.clone(), slot.address))),
        Check::Known => shared.crash_pending.notify_one(),
    }
}

/// Records that a request was answered completely.
pub(super) fn record_answer(shared: &Shared, job: &Job) {
    if !job.parts_of_prompt.is_empty() {
        let now = shared.now();
        shared.state().crashes.record_answer(now, &job.parts_of_prompt);
    }
}

fn witness(now: Moment, job: &Job, runner: u64, head_at: Option<Moment>) -> Witness {
    // A caller that repeats a request changes its id, but not its prompt.
    let own = job.metadata.prompt_segments.last().map(|segment| segment.id);
    Witness {
        runner,
        request: own.unwrap_or_else(|| digest(job.metadata.id.as_bytes())),
        parts: job.parts_of_prompt.clone(),
        at: now,
        answering: head_at.map_or(Duration::ZERO, |head_at| now.since(head_at)),
    }
}

/// Finds out whether a runner that has broken off requests has crashed.
async fn probe(shared: Arc<Shared>, id: String, address: SocketAddr) {
    tokio::time::sleep(CLOSE_TIME).await;
    let connected = Connection::connect(address, pool::CONNECT_TIMEOUT).await;
    shared.metrics.count_connection(paths::outcome(&connected));
    let has_crashed = connected.is_err();
    let now = shared.now();
    let runner = digest(id.as_bytes());
    let mut state = shared.state();
    state.crashes.record_probe(now, runner, has_crashed);
    drop(state);
    if has_crashed {
        shared.metrics.runner_crashes.inc();
        tracing::info!(event = "runner-crashed", runner = id);
        shared.crash_pending.notify_one();
    }
}

/// Refuses a request that has a part under quarantine, unless it becomes the probe of that part.
///
/// # Errors
///
/// The refusal for the caller.
pub(super) async fn admit(shared: &Shared, store: &Client, job: &Job) -> Result<Option<Part>, Refusal> {
    let Some((part, action)) = action(shared, job) else {
        return Ok(None);
    };
    match action {
        Action::Refuse(after) => Err(refusal(part, after)),
        Action::Probe { entry, record } => {
            let call = Call::CompareAndSwap {
                key: entry.key,
                expect: entry.version,
                value: to_json(&record),
            };
            let answer = call::send(shared, store, &call, WRITE_TIMEOUT).await.answer;
            match answer {
                Answer::Written(_) => {
                    tracing::warn!(
                        event = "quarantine-probe",
                        request = job.metadata.id,
                        service = record.service,
                        part = record.part,
                        probes = record.probes
                    );
                    Ok(Some(part))
                }
                _ => Err(refusal(part, IDLE_INTERVAL)),
            }
        }
    }
}

fn action(shared: &Shared, job: &Job) -> Option<(Part, Action)> {
    let unix_ms = shared.wall_clock_ms(shared.now());
    let state = shared.state();
    let part = state.crashes.quarantine.find(&job.parts_of_prompt)?;
    let action = state.crashes.quarantine.action(part, unix_ms)?;
    Some((part, action))
}

/// Refuses a request that has a part under quarantine, and is not its probe.
///
/// # Errors
///
/// The refusal for the caller.
pub(super) fn check(shared: &Shared, job: &Job, probe: Option<Part>) -> Result<(), Refusal> {
    match action(shared, job) {
        Some((part, Action::Refuse(after))) if probe != Some(part) => Err(refusal(part, after)),
        Some((part, Action::Probe { .. })) if probe != Some(part) => Err(refusal(part, IDLE_INTERVAL)),
        _ => Ok(()),
    }
}

fn refusal(part: Part, after: Duration) -> Refusal {
    Refusal::new(Kind::Quarantined)
        .detail(format!("part {:x}", part.id))
        .retry_after(after)
}

/// Lifts the quarantine of a part whose probe was answered.
pub(super) fn lift(shared: Arc<Shared>, store: Arc<Client>, part: Part) {
    tokio::spawn(async move {
        let key = quarantine_key(part);
        let call = Call::Get { key: key.clone() };
        let answer = call::send(&shared, &store, &call, WRITE_TIMEOUT).await.answer;
        let Answer::Found(entries) = answer else {
            // The next probe, or an operator, lifts it.
            tracing::warn!(event = "quarantine-kept", key, outcome = answer.outcome());
            return;
        };
        let Some(entry) = entries.first() else {
            return;
        };
        let call = Call::Remove {
            key: key.clone(),
            expect: entry.version,
        };
        let answer = call::send(&shared, &store, &call, WRITE_TIMEOUT).await.answer;
        tracing::warn!(event = "quarantine-lifted", key, outcome = answer.outcome());
    });
}

/// Looks for parts that crash runners and tells the other hosts, until the process ends.
pub(super) async fn run(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    // From now on the host counts as started.
    set_hosts(&shared);
    loop {
        let now = shared.now();
        let next_check = shared.state().crashes.next_check(now);
        let pause = next_check.map_or(IDLE_INTERVAL, |at| now.until(at));
        tokio::select! {
            () = shared.crash_pending.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
        let (own, hosts) = set_hosts(&shared);
        for verdict in advance(&shared) {
            log_verdict(&shared, &verdict);
        }
        let messages = shared.state().crashes.take_messages(now, own, &hosts);
        for (peer, message) in messages {
            let bytes = message.to_datagram();
            // A lost message is made up for by those to the other hosts, and by the store.
            let _ = socket.send_to(&bytes, peer).await;
            shared.metrics.count_datagrams(CRASH, "sent", 1, bytes.len());
        }
        shared.crash_unwritten.notify_one();
        tokio::time::sleep(ADVANCE_INTERVAL).await;
    }
}

/// Tells the decisions which hosts are alive; returns this host's address and all hosts.
fn set_hosts(shared: &Shared) -> (SocketAddr, Vec<Host>) {
    let (own, hosts) = (shared.own_host().address, shared.hosts());
    let now = shared.now();
    shared.state().crashes.set_hosts(now, own, &hosts);
    (own, hosts)
}

/// Puts the parts that were found under quarantine.
fn advance(shared: &Shared) -> Vec<Verdict> {
    let now = shared.now();
    let unix_ms = shared.wall_clock_ms(now);
    let host = shared.settings.load().host.clone();
    let mut guard = shared.state();
    let state = &mut *guard;
    let fleet = &state.fleet;
    let count = |service| fleet.count_listed_by_hash(now, service);
    let verdicts = state.crashes.advance(now, count);
    for Verdict { part, tally } in &verdicts {
        let service = state.fleet.service_name(part.service).unwrap_or_default();
        let record = Record::new(&service, *part, &host, unix_ms, tally);
        state.crashes.quarantine.record_found(now, *part, record);
    }
    verdicts
}

fn log_verdict(shared: &Shared, verdict: &Verdict) {
    let now = shared.now();
    let state = shared.state();
    let runners = state.fleet.count_listed_by_hash(now, verdict.part.service);
    tracing::warn!(
        event = "part-quarantined",
        service = state.fleet.service_name(verdict.part.service),
        part = format!("{:x}", verdict.part.id),
        crashes = verdict.tally.crashes,
        requests = verdict.tally.requests,
        other_crashes = verdict.tally.others,
        span_ms = verdict.tally.span.as_millis() as u64,
        log_ratio = verdict.tally.log_ratio(runners),
        runners,
    );
    drop(state);
    shared.metrics.quarantines.inc();
}

/// Applies a message from another host; returns the answer to it, if there is one.
pub(super) fn receive(shared: &Shared, message: &Message) -> Option<Message> {
    let now = shared.now();
    let answer = shared.state().crashes.receive(now, message);
    if !message.told.is_empty() || !message.answered.is_empty() {
        shared.crash_pending.notify_one();
    }
    (!answer.is_empty()).then_some(answer)
}

/// Writes what other hosts have to learn from the store, until the process ends.
pub(super) async fn publish(shared: Arc<Shared>, store: Arc<Client>) {
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
        self.waiting.is_some()
            || self
                .shared
                .state()
                .crashes
                .quarantine
                .unwritten()
                .next()
                .is_some()
    }

    /// Writes the records of the parts that this host has found.
    async fn write_records(&self) {
        let unwritten: Vec<(Part, String)> = {
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

    /// Removes reports of any host from the store that have been there for long. Only collectors do, so that not
    /// all hosts call the store for each of them.
    async fn remove_outdated(&self) {
        if !self.shared.state().crashes.is_collector() {
            return;
        }
        let unix_ms = self.shared.wall_clock_ms(self.shared.now());
        let is_outdated = |entry: &&Entry| {
            let age_ms = parse::<Report>(entry).map(|report| unix_ms.saturating_sub(report.written_ms));
            age_ms.is_none_or(|age_ms| age_ms > STORED_LIFE.as_millis() as u64)
        };
        let outdated: Vec<Entry> = {
            let mirror = self.shared.mirror();
            let entries = mirror.with_prefix(REPORT_PREFIX);
            entries.iter().filter(is_outdated).cloned().collect()
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
pub(super) fn apply(shared: &Shared, own_entries: &[Entry]) {
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
        tracing::warn!(event = "quarantine-ended", part = format!("{:x}", part.id));
    }
}

fn parse<T: serde::de::DeserializeOwned>(entry: &Entry) -> Option<T> {
    match serde_json::from_str(&entry.value) {
        Ok(value) => Some(value),
        Err(err) => {
            tracing::warn!(event = "entry-not-read", key = entry.key, reason = %err);
            None
        }
    }
}

/// Key of the record of a part.
fn quarantine_key(part: Part) -> String {
    format!("{QUARANTINE_PREFIX}{:016x}-{:x}", part.service, part.id)
}

fn part_of_key(key: &str) -> Option<Part> {
    let (service, id) = key.strip_prefix(QUARANTINE_PREFIX)?.split_once('-')?;
    Some(Part {
        service: u64::from_str_radix(service, 16).ok()?,
        id: u64::from_str_radix(id, 16).ok()?,
    })
}

/// Strings and numbers always serialize to JSON.
fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
