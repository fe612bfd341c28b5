//! Simulations of several hosts, one store and one receiver of reports under random schedules.
//!
//! Answers of the store are late or lost after a write, the store is away, hosts are frozen,
//! killed and restarted, and keys are withdrawn while requests are in flight. Invariants are
//! checked after every step.

use std::collections::BTreeMap;
use std::time::Duration;

use radishstair_core::error::Kind;
use radishstair_core::id::Incarnation;
use radishstair_core::lease::{Lease, Timing};
use radishstair_core::proxy::mirror::{Changes, Mirror, Page};
use radishstair_core::proxy::report::{Reporter, Schedule, Step};
use radishstair_core::proxy::usage::{Counter, Ledger, Record, Window};
use radishstair_core::proxy::{Admission, State};
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::{bounds, customer, request, table};

/// Length of a schedule.
const LENGTH_MS: u64 = 60_000;
/// Time between two steps.
const STEP_MS: u64 = 50;
/// Start of the schedules; a multiple of a window's length.
const START: u64 = 1_000_000;
/// Key that is withdrawn.
const KEY: &str = "key-a";
const SCHEDULE: Schedule = Schedule {
    length_s: 5,
    due_s: 10,
};

/// A store with versions and compare-and-swap.
#[derive(Default)]
struct Store {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Revision of the document, and whether it contains the key.
    document: (u64, bool),
    away_until: u64,
}

impl Store {
    fn entry(&self, key: &str) -> Option<Entry> {
        let (version, value) = self.items.get(key)?;
        Some(Entry {
            key: key.into(),
            version: *version,
            value: value.clone(),
        })
    }

    fn call(&mut self, ms: u64, rng: &mut ChaCha8Rng, call: &Call) -> Answer {
        if ms < self.away_until {
            return if rng.random_bool(0.5) {
                Answer::Refused
            } else {
                Answer::Lost
            };
        }
        let answer = match call {
            Call::CompareAndSwap { key, expect, value } => self.swap(key, *expect, value),
            Call::Get { key } => Answer::Found(self.entry(key).into_iter().collect()),
            _ => Answer::Refused,
        };
        // Lost after the write took effect.
        if rng.random_bool(0.1) {
            Answer::Lost
        } else {
            answer
        }
    }

    fn swap(&mut self, key: &str, expect: u64, value: &str) -> Answer {
        let have = self.items.get(key).map_or(0, |(version, _)| *version);
        if have != expect {
            return Answer::Conflict(self.entry(key).unwrap_or(Entry {
                key: key.into(),
                version: 0,
                value: String::new(),
            }));
        }
        self.revision += 1;
        self.items.insert(key.into(), (self.revision, value.into()));
        Answer::Written(self.revision)
    }
}

/// One run of a host.
struct Host {
    name: String,
    run: u64,
    began: u64,
    frozen_until: u64,
    lease: Lease,
    reporter: Reporter,
    usage: Counter,
    ledger: Ledger,
    state: State,
    own_version: u64,
    published: u64,
    /// A report that waits to be sent: when it is sent, the grant and the window.
    sending: Option<(u64, radishstair_core::lease::Grant, Window)>,
    /// An admitted request that waits to be sent, and when it is sent.
    waiting: Option<(u64, Admission)>,
    mirror: Mirror,
    /// When the pending request to a peer was sent.
    asked_at: Option<u64>,
    /// A peer's answer, and when it arrives.
    pending_answer: Option<(u64, Changes)>,
}

impl Host {
    fn start(name: &str, run: u64, ms: u64) -> Self {
        let timing = Timing::fenced(Duration::from_secs(3));
        Self {
            name: name.into(),
            run,
            began: ms,
            frozen_until: 0,
            lease: Lease::with_timing(Incarnation(run), "duty".into(), timing),
            reporter: Reporter::default(),
            usage: Counter::default(),
            ledger: Ledger::default(),
            state: State::new(bounds(), "zone-a"),
            own_version: 0,
            published: 0,
            sending: None,
            waiting: None,
            mirror: Mirror::default(),
            asked_at: None,
            pending_answer: None,
        }
    }

    fn record(&self, ms: u64) -> Record {
        Record {
            host: self.name.clone(),
            incarnation: Incarnation(self.run),
            began: self.began,
            peer: String::new(),
            until: ms,
            ended: false,
            windows: self.usage.windows().to_vec(),
        }
    }
}

fn at(ms: u64) -> Moment {
    Moment::at_ms(ms)
}

#[derive(Default)]
struct Observed {
    /// Totals that the receiver of reports accepted, by window.
    totals: BTreeMap<u64, Vec<(String, u64)>>,
    fence: u64,
    /// Requests that started, by window.
    started: BTreeMap<u64, u64>,
    sent_keyed: u64,
    withdrawn_at: Option<u64>,
}

/// Which mechanism a broken variant leaves out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Sealed windows disappear from the store.
    Unsealed,
    /// Requests are sent without the check before the send.
    Unchecked,
    /// The age of a peer's answer is counted from its arrival.
    ArrivalTime,
}

struct Simulation {
    rng: ChaCha8Rng,
    store: Store,
    hosts: Vec<Host>,
    observed: Observed,
    runs: u64,
    fault: Fault,
}

impl Simulation {
    fn new(seed: u64, fault: Fault) -> Self {
        let hosts = (0..4).map(|at| Host::start(&format!("h{at}"), at + 1, START));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store {
                document: (1, true),
                revision: 1,
                ..Store::default()
            },
            hosts: hosts.collect(),
            observed: Observed::default(),
            runs: 4,
            fault,
        }
    }

    fn run_schedule(mut self) -> Observed {
        for ms in (START..START + LENGTH_MS).step_by(STEP_MS as usize) {
            self.inject_faults(ms);
            for at in 0..self.hosts.len() {
                if ms >= self.hosts[at].frozen_until {
                    self.step(ms, at);
                }
            }
            if self.fault == Fault::Unsealed {
                self.store.items.retain(|key, _| !key.contains("sealed"));
            }
            let holders = self
                .hosts
                .iter()
                .filter(|host| host.lease.grant(at(ms)).is_some());
            assert!(holders.count() <= 1, "two hosts hold the duty at {ms}");
        }
        self.observed
    }

    fn inject_faults(&mut self, ms: u64) {
        if self.rng.random_bool(0.01) {
            let at = self.rng.random_range(0..self.hosts.len());
            self.hosts[at].frozen_until = ms + self.rng.random_range(500..8_000);
        }
        if self.rng.random_bool(0.003) {
            let at = self.rng.random_range(0..self.hosts.len());
            self.runs += 1;
            let name = self.hosts[at].name.clone();
            self.hosts[at] = Host::start(&name, self.runs, ms);
        }
        if self.rng.random_bool(0.003) {
            self.store.away_until = ms + self.rng.random_range(1_000..8_000);
        }
        if ms == START + 20_000 {
            self.store.revision += 1;
            self.store.document = (self.store.revision, false);
            self.observed.withdrawn_at = Some(ms);
        }
    }

    /// Asks a peer or receives its answer.
    fn exchange(&mut self, ms: u64, index: usize) {
        let (peer, begins) = (
            self.rng.random_range(0..self.hosts.len()),
            self.rng.random_bool(0.1),
        );
        let host = &mut self.hosts[index];
        if let Some(asked) = host.asked_at {
            if let Some((_, changes)) = host.pending_answer.take_if(|(due, _)| *due <= ms) {
                let asked = if self.fault == Fault::ArrivalTime {
                    ms
                } else {
                    asked
                };
                host.asked_at = None;
                host.mirror.apply(at(asked), changes);
                apply_replica(host, at(ms));
            } else if ms > asked + 4_000 {
                host.asked_at = None;
                host.pending_answer = None;
            }
            return;
        }
        if !begins || peer == index {
            return;
        }
        let after = host.mirror.revision();
        // A frozen peer answers when it resumes, with the data it had before.
        let handled = self.hosts[peer].frozen_until.max(ms);
        let Some(changes) = self.hosts[peer].mirror.changes(at(handled), after) else {
            return;
        };
        let slow = self.rng.random_bool(0.2);
        let delay = self.rng.random_range(0..if slow { 3_000 } else { 200 });
        self.hosts[index].asked_at = Some(ms);
        self.hosts[index].pending_answer = Some((handled + delay, changes));
    }

    fn step(&mut self, ms: u64, index: usize) {
        let now = at(ms);
        self.finish(ms, index);
        self.exchange(ms, index);
        let Self {
            rng,
            store,
            hosts,
            observed,
            ..
        } = self;
        let host = &mut hosts[index];
        if rng.random_bool(0.3) {
            host.usage.add(ms / 5_000, "ana");
            *observed.started.entry(ms / 5_000).or_default() += 1;
        }
        if rng.random_bool(0.2)
            && host.waiting.is_none()
            && let Ok(admission) = host.state.admit(now, &request(KEY))
        {
            host.waiting = Some((ms + rng.random_range(0..3_000), admission));
        }
        let is_turn = ms / STEP_MS % 18 == index as u64;
        // The store refuses some hosts for a while.
        let is_refused = ms < store.away_until || (ms / 5_000 + index as u64).is_multiple_of(7);
        if is_turn && !is_refused && host.asked_at.is_none() {
            read(host, store, now);
        }
        let window = ms / 5_000;
        if (ms / STEP_MS).is_multiple_of(5) {
            if host.published != window {
                publish(host, store, rng, ms, window);
            }
            let mut call = host.lease.tick(now, ms >= host.began + 4_000);
            while let Some(next) = call {
                let answer = store.call(ms, rng, &next);
                call = host.lease.on_answer(now, &answer);
            }
            self.report(ms, index);
        }
    }

    fn report(&mut self, ms: u64, index: usize) {
        let host = &mut self.hosts[index];
        let now = at(ms);
        let Some(grant) = host.lease.grant(now) else {
            host.reporter.stand_down();
            return;
        };
        let mut step = host.reporter.tick(now, ms, SCHEDULE, grant, &host.ledger);
        while let Some(next) = step {
            step = match next {
                Step::Store(call) => {
                    let answer = self.store.call(ms, &mut self.rng, &call);
                    host.reporter.answer(now, &answer)
                }
                Step::Report(grant, window) => {
                    host.sending = Some((ms + self.rng.random_range(0..400), grant, window));
                    None
                }
            };
        }
    }

    /// Sends the pending report and request that are due, after the last check.
    fn finish(&mut self, ms: u64, index: usize) {
        let host = &mut self.hosts[index];
        let now = at(ms);
        if let Some((_, grant, window)) = host.sending.take_if(|(due, ..)| *due <= ms) {
            let accepted = grant.covers(now) && grant.fence >= self.observed.fence;
            if accepted {
                self.observed.fence = grant.fence;
                let have = self
                    .observed
                    .totals
                    .entry(window.number)
                    .or_insert(window.counts.clone());
                assert_eq!(*have, window.counts, "two totals for window {}", window.number);
            }
            host.reporter
                .record_result(now, accepted && self.rng.random_bool(0.9));
        }
        if let Some((_, admission)) = host.waiting.take_if(|(due, _)| *due <= ms) {
            let checked = match self.fault {
                Fault::Unchecked => Ok(()),
                _ => host.state.may_send(now, &admission, &request(KEY)),
            };
            match checked {
                Ok(()) => {
                    self.observed.sent_keyed += 1;
                    let late = self.observed.withdrawn_at.map(|since| ms.saturating_sub(since));
                    let bound = bounds().revocation_ms;
                    assert!(
                        late.is_none_or(|late| late < bound),
                        "sent {late:?} ms after the withdrawal"
                    );
                }
                Err(refusal) => assert!(matches!(refusal.kind, Kind::Stale | Kind::UnknownKey)),
            }
        }
    }
}

fn read(host: &mut Host, store: &Store, now: Moment) {
    let (revision, has_key) = store.document;
    let document = Entry {
        key: "document".into(),
        version: revision,
        value: has_key.to_string(),
    };
    let items = store.items.iter().map(|(key, (version, value))| Entry {
        key: key.clone(),
        version: *version,
        value: value.clone(),
    });
    let mut entries: Vec<Entry> = items.chain([document]).collect();
    entries.sort_by(|a, b| a.key.cmp(&b.key));
    host.mirror.add_page(Page {
        after: String::new(),
        entries,
        has_more: false,
        revision: store.revision,
        sent: now,
    });
    apply_replica(host, now);
}

/// Updates the host's state from its replica of the store.
fn apply_replica(host: &mut Host, now: Moment) {
    let (Some(as_of), Some(document)) = (host.mirror.as_of(), host.mirror.find("document")) else {
        return;
    };
    let keys: &[&str] = if document.value == "true" {
        &[KEY]
    } else {
        &["key-b"]
    };
    host.state.configure(
        Moment::default(),
        table(document.version, vec![customer("ana", keys)]),
    );
    host.state.freshness.renew(as_of);
    host.lease.observe_read(now, host.mirror.find("duty"));
    let entries = host.mirror.with_prefix("").to_vec();
    let (sealed, others): (Vec<Entry>, Vec<Entry>) = entries
        .into_iter()
        .partition(|entry| entry.key.contains("sealed"));
    host.reporter.load_sealed(&sealed);
    for entry in others {
        if let Ok(record) = serde_json::from_str(&entry.value) {
            host.ledger.receive(now, record);
        }
    }
}

fn publish(host: &mut Host, store: &mut Store, rng: &mut ChaCha8Rng, ms: u64, window: u64) {
    let Ok(value) = serde_json::to_string(&host.record(ms)) else {
        return;
    };
    let call = Call::CompareAndSwap {
        key: format!("host/{}/{}", host.name, host.run),
        expect: host.own_version,
        value,
    };
    match store.call(ms, rng, &call) {
        Answer::Written(version) => {
            host.own_version = version;
            host.published = window;
        }
        Answer::Conflict(entry) => host.own_version = entry.version,
        _ => {}
    }
}

/// Under every schedule, at most one host holds the duty, each window has one total, which never
/// exceeds the number of started requests, and no request runs with a key that was withdrawn
/// longer ago than the bound.
#[test]
fn promises_hold_under_every_schedule() {
    let (mut windows, mut sent) = (0, 0);
    for seed in 0..300 {
        let observed = Simulation::new(seed, Fault::None).run_schedule();
        for (number, counts) in &observed.totals {
            let reported: u64 = counts.iter().map(|(_, count)| count).sum();
            assert!(
                reported <= observed.started[number],
                "seed {seed}: more than started"
            );
        }
        windows += observed.totals.len();
        sent += observed.sent_keyed;
    }
    assert!(
        windows > 1_500 && sent > 5_000,
        "too little happened: {windows} windows, {sent} requests"
    );
}

/// The checks must detect broken variants. If sealed windows disappear, each holder reports its
/// own total; without the check before the send, or if a peer's old data counts as new, a
/// withdrawn key keeps working.
#[test]
fn broken_gates_are_seen() {
    for fault in [Fault::Unsealed, Fault::Unchecked, Fault::ArrivalTime] {
        let caught = (0..60).filter(|seed| {
            let seed = *seed;
            std::panic::catch_unwind(|| Simulation::new(seed, fault).run_schedule()).is_err()
        });
        assert!(caught.count() > 0, "{fault:?} is not detected");
    }
}

/// Guards against memory that grows with each sealed window at hosts that do not hold the duty, as only the holder removes them.
#[test]
fn sealed_windows_that_the_store_no_longer_has_are_forgotten() {
    const KEPT: u64 = 12;
    let sealed = |number: u64| Entry {
        key: format!("radishstair/sealed/{number:012}"),
        version: number,
        value: format!("{{\"number\":{number},\"counts\":[[\"ana\",{number}]]}}"),
    };
    let mut reporter = Reporter::default();
    for newest in KEPT..1_000 {
        let stored: Vec<Entry> = (newest - KEPT..newest).map(sealed).collect();
        reporter.load_sealed(&stored);
        assert_eq!(reporter.sealed_count(), KEPT as usize);
    }
    // The store has not answered with any yet.
    reporter.load_sealed(&[]);
    assert_eq!(reporter.sealed_count(), KEPT as usize);
}
