//! Crashes of runners, told to other hosts and to the store, and the requests that are refused for them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::error::{Kind, Refusal};
use radishstair_core::id::digest;
use radishstair_core::proxy::crash::evidence::Witness;
use radishstair_core::proxy::crash::message::Message;
use radishstair_core::proxy::crash::quarantine::{Action, Record};
use radishstair_core::proxy::crash::{Check, End, Scope, Suspect, Verdict};
use radishstair_core::proxy::readers::Host;
use radishstair_core::store::{Answer, Call};
use radishstair_core::time::Moment;
use tokio::net::UdpSocket;

use super::call::{self, WRITE_TIMEOUT};
use super::client::Client;
use super::connect::RELAY_TIMEOUT;
use super::gossip::CRASH;
use super::job::Job;
use super::slot::Slot;
use super::{Shared, paths};
use crate::upstream::connection::Connection;
use crate::upstream::pool;
use crate::upstream::relay;

mod stored;

use stored::quarantine_key;
pub(super) use stored::to_json;
pub(super) use stored::{QUARANTINE_PREFIX, apply, publish};

/// Time that a crashing runner has to close its listener, after its connections.
const CLOSE_TIME: Duration = Duration::from_millis(20);
/// Minimum time between two looks at the crashes that are known.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two looks if nothing happens.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Records that a runner has broken off an answer, or that an answer has ended without a mark. If the runner no
/// longer accepts connections, it counts as crashed. `head_at` is when the head of the answer was received.
pub(super) fn record_end(job: &Job, slot: &Slot, end: End, head_at: Option<Moment>) {
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
        Check::Probe => {
            let runner = Target {
                id: slot.id.clone(),
                address: slot.address,
                relay: slot.relay,
            };
            drop(tokio::spawn(probe(shared.clone(), runner)));
        }
        Check::Known => shared.crash_pending.notify_one(),
    }
}

/// Records that a request was answered completely.
pub(super) fn record_answer(shared: &Shared, job: &Job) {
    let now = shared.now();
    let refuted = shared.state().crashes.record_answer(now, &job.suspects);
    for part in &refuted {
        tracing::warn!(event = "quarantine-refuted", request = job.metadata.id, %part);
    }
    if !refuted.is_empty() {
        shared.crash_pending.notify_one();
    }
}

/// Records an event of the answer to a request. The answer began at `head_at`, and the event came after `ran_at`.
pub(super) fn record_progress(shared: &Shared, job: &Job, ran_at: Moment, head_at: Moment) {
    let now = shared.now();
    let mut state = shared.state();
    state.crashes.record_progress(now, ran_at, head_at, &job.suspects);
}

fn witness(now: Moment, job: &Job, runner: u64, head_at: Option<Moment>) -> Witness {
    Witness {
        runner,
        service: digest(job.admission.service.as_bytes()),
        request: job.content,
        suspects: job.suspects.clone(),
        at: now,
        answering: head_at.map_or(Duration::ZERO, |head_at| now.since(head_at)),
    }
}

/// A runner that has broken off requests, and the peer that relayed them, if one did.
struct Target {
    id: String,
    address: SocketAddr,
    relay: Option<SocketAddr>,
}

/// Finds out whether a runner that has broken off requests has crashed, on the way on which they were sent.
async fn probe(shared: Arc<Shared>, runner: Target) {
    tokio::time::sleep(CLOSE_TIME).await;
    let has_crashed = match runner.relay {
        None => {
            let connected = Connection::connect(runner.address, pool::CONNECT_TIMEOUT).await;
            shared.metrics.count_connection(paths::outcome(&connected));
            Some(connected.is_err())
        }
        Some(peer) => probe_by(&shared, peer, &runner.id).await,
    };
    let now = shared.now();
    let hash = digest(runner.id.as_bytes());
    let requests = match has_crashed {
        Some(has_crashed) => shared.state().crashes.record_probe(now, hash, has_crashed),
        None => shared.state().crashes.forget_breaks(hash),
    };
    if has_crashed == Some(true) {
        shared.metrics.runner_crashes.inc();
        tracing::info!(event = "runner-crashed", runner = runner.id, requests);
        shared.crash_pending.notify_one();
    }
}

/// Whether a peer that relayed requests to a runner cannot connect to it any more; `None` if the peer does not say.
async fn probe_by(shared: &Shared, peer: SocketAddr, runner: &str) -> Option<bool> {
    let relayed = relay::connect(peer, runner, shared.credentials(), RELAY_TIMEOUT).await;
    let outcome = relayed.as_ref().map_or_else(|failure| failure.name(), |_| "ok");
    shared.metrics.count_relay_request(outcome);
    match relayed {
        Ok(_) => Some(false),
        Err(relay::Failure::Runner) => Some(true),
        Err(relay::Failure::Peer) => None,
    }
}

/// Refuses a request that has a part under quarantine, unless it becomes the probe of that part.
///
/// # Errors
///
/// The refusal for the caller.
pub(super) async fn admit(shared: &Shared, store: &Client, job: &Job) -> Result<Option<Suspect>, Refusal> {
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

fn action(shared: &Shared, job: &Job) -> Option<(Suspect, Action)> {
    let unix_ms = shared.wall_clock_ms(shared.now());
    let state = shared.state();
    let part = state.crashes.quarantine.find(&job.suspects)?;
    let action = state.crashes.quarantine.action(part, unix_ms)?;
    Some((part, action))
}

/// Refuses a request that has a part under quarantine, and is not its probe.
///
/// # Errors
///
/// The refusal for the caller.
pub(super) fn check(shared: &Shared, job: &Job, probe: Option<Suspect>) -> Result<(), Refusal> {
    match action(shared, job) {
        Some((part, Action::Refuse(after))) if probe != Some(part) => Err(refusal(part, after)),
        Some((part, Action::Probe { .. })) if probe != Some(part) => Err(refusal(part, IDLE_INTERVAL)),
        _ => Ok(()),
    }
}

fn refusal(part: Suspect, after: Duration) -> Refusal {
    Refusal::new(Kind::Quarantined)
        .detail(match part.scope {
            Scope::Part => format!("part {part}"),
            Scope::Request => part.to_string(),
        })
        .retry_after(after)
}

/// Lifts the quarantine of a part whose probe was answered.
pub(super) fn lift(shared: Arc<Shared>, store: Arc<Client>, part: Suspect) {
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
        event = match verdict.part.scope {
            Scope::Part => "part-quarantined",
            Scope::Request => "request-quarantined",
        },
        service = state.fleet.service_name(verdict.part.service),
        part = %verdict.part,
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
pub(super) fn receive(shared: &Shared, from: SocketAddr, message: &Message) -> Option<Message> {
    let now = shared.now();
    let answer = shared.state().crashes.receive(now, from, message);
    let has_news = !message.told.is_empty()
        || !message.answered.is_empty()
        || !message.running.is_empty()
        || !message.refuted.is_empty();
    if has_news {
        shared.crash_pending.notify_one();
    }
    (!answer.is_empty()).then_some(answer)
}
