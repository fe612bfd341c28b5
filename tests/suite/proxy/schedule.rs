//! Several hosts, one store and one desk under seeded schedules.
//!
//! Answers of the store are late or lost after the write, the store is away,
//! hosts are frozen, killed and started again, keys are withdrawn while requests
//! are on their way. After every step the promises are checked that hold
//! whatever happens.

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

use super::fixtures::{ask, bounds, customer, table};

/// Length of a schedule.
const LENGTH_MS: u64 = 60_000;
/// Time between two steps.
const STEP_MS: u64 = 50;
/// Where schedules begin; a multiple of a window's length.
const START: u64 = 1_000_000;
/// Customer whose key is withdrawn.
const KEY: &str = "key-a";
const PLAN: Schedule = Schedule {
    length_s: 5,
    due_s: 10,
};

/// The store: versions by compare-and-swap.
#[derive(Default)]
struct Store {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Document in force: its revision and whether the key stands in it.
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
    tally: Counter,
    ledger: Ledger,
    state: State,
    own_version: u64,
    published: u64,
    /// A report that waits to be sent: number, fence and window.
    sending: Option<(u64, radishstair_core::lease::Grant, Window)>,
    /// A request that was admitted and waits to be sent.
    waiting: Option<(u64, Admission)>,
    mirror: Mirror,
    /// A question to a peer: when it was asked.
    asking: Option<u64>,
    /// A peer's answer, and when it arrives.
    told: Option<(u64, Changes)>,
}

impl Host {
    fn start(name: &str, run: u64, ms: u64) -> Self {
        let terms = Timing::fenced(Duration::from_secs(3));
        Self {
            name: name.into(),
            run,
            began: ms,
            frozen_until: 0,
            lease: Lease::with_timing(Incarnation(run), "duty".into(), terms),
            reporter: Reporter::default(),
            tally: Counter::default(),
            ledger: Ledger::default(),
            state: State::new(bounds(), "zone-a"),
            own_version: 0,
            published: 0,
            sending: None,
            waiting: None,
            mirror: Mirror::default(),
            asking: None,
            told: None,
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
            windows: self.tally.windows().to_vec(),
        }
    }
}

fn at(ms: u64) -> Moment {
    Moment::at_ms(ms)
}

#[derive(Default)]
struct Seen {
    /// Figures that the desk accepted, by window.
    figures: BTreeMap<u64, Vec<(String, u64)>>,
    fence: u64,
    /// Requests that began, by window.
    truth: BTreeMap<u64, u64>,
    sent_keyed: u64,
    withdrawn_at: Option<u64>,
}

/// What a hand-broken variant leaves out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Windows are not sealed in the store.
    Unsealed,
    /// Requests leave without the look before the send.
    Unlooked,
    /// What a peer tells counts from its arrival.
    Unaged,
}

struct Play {
    rng: ChaCha8Rng,
    store: Store,
    hosts: Vec<Host>,
    seen: Seen,
    runs: u64,
    fault: Fault,
}

impl Play {
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
            seen: Seen::default(),
            runs: 4,
            fault,
        }
    }

    fn play(mut self) -> Seen {
        for ms in (START..START + LENGTH_MS).step_by(STEP_MS as usize) {
            self.trouble(ms);
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
            assert!(holders.count() <= 1, "two hold the duty at {ms}");
        }
        self.seen
    }

    fn trouble(&mut self, ms: u64) {
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
            self.seen.withdrawn_at = Some(ms);
        }
    }

    /// Asks a peer, answers one, takes an answer.
    fn talk(&mut self, ms: u64, at_host: usize) {
        let (peer, begins) = (
            self.rng.random_range(0..self.hosts.len()),
            self.rng.random_bool(0.1),
        );
        let host = &mut self.hosts[at_host];
        if let Some(asked) = host.asking {
            if let Some((_, changes)) = host.told.take_if(|(due, _)| *due <= ms) {
                let asked = if self.fault == Fault::Unaged { ms } else { asked };
                host.asking = None;
                host.mirror.apply(at(asked), changes);
                believe(host, at(ms));
            } else if ms > asked + 4_000 {
                host.asking = None;
                host.told = None;
            }
            return;
        }
        if !begins || peer == at_host {
            return;
        }
        let after = host.mirror.revision();
        // A frozen peer answers when it wakes, by what it knew before.
        let handled = self.hosts[peer].frozen_until.max(ms);
        let Some(changes) = self.hosts[peer].mirror.changes(at(handled), after) else {
            return;
        };
        let slow = self.rng.random_bool(0.2);
        let delay = self.rng.random_range(0..if slow { 3_000 } else { 200 });
        self.hosts[at_host].asking = Some(ms);
        self.hosts[at_host].told = Some((handled + delay, changes));
    }

    fn step(&mut self, ms: u64, at_host: usize) {
        let now = at(ms);
        self.finish(ms, at_host);
        self.talk(ms, at_host);
        let Self {
            rng,
            store,
            hosts,
            seen,
            ..
        } = self;
        let host = &mut hosts[at_host];
        if rng.random_bool(0.3) {
            host.tally.add(ms / 5_000, "ana");
            *seen.truth.entry(ms / 5_000).or_default() += 1;
        }
        if rng.random_bool(0.2)
            && host.waiting.is_none()
            && let Ok(admission) = host.state.admit(now, &ask(KEY))
        {
            host.waiting = Some((ms + rng.random_range(0..3_000), admission));
        }
        let turn = ms / STEP_MS % 18 == at_host as u64;
        // The store turns some hosts away for a while.
        let away = ms < store.away_until || (ms / 5_000 + at_host as u64).is_multiple_of(7);
        if turn && !away && host.asking.is_none() {
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
            self.report(ms, at_host);
        }
    }

    fn report(&mut self, ms: u64, at_host: usize) {
        let host = &mut self.hosts[at_host];
        let now = at(ms);
        let Some(grant) = host.lease.grant(now) else {
            host.reporter.stand_down();
            return;
        };
        let mut step = host.reporter.tick(now, ms, PLAN, grant, &host.ledger);
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

    /// Sends what has waited, after the last look.
    fn finish(&mut self, ms: u64, at_host: usize) {
        let host = &mut self.hosts[at_host];
        let now = at(ms);
        if let Some((_, grant, window)) = host.sending.take_if(|(due, ..)| *due <= ms) {
            let accepted = grant.covers(now) && grant.fence >= self.seen.fence;
            if accepted {
                self.seen.fence = grant.fence;
                let have = self
                    .seen
                    .figures
                    .entry(window.number)
                    .or_insert(window.counts.clone());
                assert_eq!(*have, window.counts, "two figures of window {}", window.number);
            }
            host.reporter
                .record_result(now, accepted && self.rng.random_bool(0.9));
        }
        if let Some((_, admission)) = host.waiting.take_if(|(due, _)| *due <= ms) {
            let looked = match self.fault {
                Fault::Unlooked => Ok(()),
                _ => host.state.may_send(now, &admission, &ask(KEY)),
            };
            match looked {
                Ok(()) => {
                    self.seen.sent_keyed += 1;
                    let late = self.seen.withdrawn_at.map(|since| ms.saturating_sub(since));
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
    let (revision, stands) = store.document;
    let document = Entry {
        key: "document".into(),
        version: revision,
        value: stands.to_string(),
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
        more: false,
        revision: store.revision,
        sent: now,
    });
    believe(host, now);
}

/// Puts in force what the host knows of the store.
fn believe(host: &mut Host, now: Moment) {
    let (Some(as_of), Some(document)) = (host.mirror.as_of(), host.mirror.find("document")) else {
        return;
    };
    let keys: &[&str] = if document.value == "true" {
        &[KEY]
    } else {
        &["key-b"]
    };
    host.state
        .configure(table(document.version, vec![customer("ana", keys)]));
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

/// Under every schedule at most one host holds the duty, each window has one
/// figure and never more than what began, and no withdrawn key runs anything
/// past its bound.
#[test]
fn promises_hold_under_every_schedule() {
    let (mut windows, mut sent) = (0, 0);
    for seed in 0..300 {
        let seen = Play::new(seed, Fault::None).play();
        for (number, counts) in &seen.figures {
            let reported: u64 = counts.iter().map(|(_, count)| count).sum();
            assert!(reported <= seen.truth[number], "seed {seed}: more than began");
        }
        windows += seen.figures.len();
        sent += seen.sent_keyed;
    }
    assert!(
        windows > 1_500 && sent > 5_000,
        "it is no idle play: {windows}, {sent}"
    );
}

/// The play must see what it looks for: with sealed windows that vanish each
/// holder reports its own sum, and without the look before the send, or with a
/// peer's old word taken for new, a withdrawn key goes on.
#[test]
fn broken_gates_are_seen() {
    for fault in [Fault::Unsealed, Fault::Unlooked, Fault::Unaged] {
        let caught = (0..60).filter(|seed| {
            let seed = *seed;
            std::panic::catch_unwind(|| Play::new(seed, fault).play()).is_err()
        });
        assert!(caught.count() > 0, "{fault:?} passes unseen");
    }
}
