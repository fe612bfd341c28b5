//! Simulation of a fleet: the kernels of all hosts in one process, with an
//! in-memory store that counts its calls.

use std::collections::BTreeMap;
use std::time::Instant;

use prost::Message;
use radishstair_core::config::change::{self, Entry, Op, Section, Snapshot};
use radishstair_core::dispatch::Policy;
use radishstair_core::id::{CallId as RequestId, Incarnation};
use radishstair_core::kernel::{Action, Event, Kernel, Reply, Setup};
use radishstair_core::member::Identity;
use radishstair_core::peer::Heartbeat;
use radishstair_core::store::{Answer, Call, Entry as StoreEntry};
use radishstair_core::time::Moment;

use super::{sample_document, sample_listings, sample_submission, sample_usage};

/// Simulated time per step, in milliseconds.
const STEP_MS: u64 = 100;
/// Simulated time before measuring starts, in seconds.
const WARMUP_S: u64 = 30;

/// Traffic and processing time of one host.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    sent_bytes: usize,
    received_bytes: usize,
    heartbeats: usize,
    busy_s: f64,
}

/// Kernels of all hosts, the store, and the messages in transit.
struct Fleet {
    kernels: Vec<Kernel>,
    messages: Vec<(usize, Event)>,
    watches: Vec<(usize, Event, String)>,
    store: BTreeMap<String, (u64, String)>,
    version: u64,
    costs: Vec<Cost>,
    reads: usize,
    writes: usize,
    measuring: bool,
    /// Index of the host that made each request to a peer; request ids count from 1.
    requesters: Vec<usize>,
}

/// Address of a host by its index.
fn address(at: usize) -> String {
    format!("10.1.{}.{}:7000", at / 250, at % 250)
}

/// Index of a host by its address.
fn parse_index(address: &str) -> Option<usize> {
    let digits = address.strip_prefix("10.1.")?.strip_suffix(":7000")?;
    let (high, low) = digits.split_once('.')?;
    Some(high.parse::<usize>().ok()? * 250 + low.parse::<usize>().ok()?)
}

/// Simulates a fleet of `hosts` per zone. Prints the bytes and heartbeats that a busy host sends per
/// second and its use of a processor core, the most bytes that any host sends and receives per
/// second, and the calls to the store per second.
pub fn simulate(seconds: u64, hosts: usize, zones: usize, runners: usize, changes: u64) {
    let mut fleet = Fleet::new(hosts * zones, zones);
    let start = Moment::at_ms(1_000_000);
    let listings: Vec<_> = sample_listings(runners, zones)
        .into_iter()
        .filter(|listing| listing.zone == "zone-0")
        .collect();
    for kernel in &mut fleet.kernels {
        kernel.handle(start, Event::RunnerList(listings.clone()));
    }
    for step in 0..(WARMUP_S + seconds) * 1_000 / STEP_MS {
        fleet.measuring = step >= WARMUP_S * 1_000 / STEP_MS;
        let now = Moment::at_ms(1_000_000 + step * STEP_MS);
        if step == WARMUP_S * 1_000 / STEP_MS {
            // The busy host has 120 calls in flight: ten seconds at twelve per second.
            (0..120)
                .for_each(|call| drop(fleet.kernels[0].handle(now, Event::Acquire(sample_submission(call)))));
        }
        if fleet.measuring && step % 10 == 0 {
            for kernel in 0..fleet.kernels.len() as u64 {
                // Each host records twelve calls per second, of all customers and classes.
                (0..12).for_each(|at| {
                    drop(
                        fleet.kernels[kernel as usize]
                            .handle(now, Event::RecordUsage(sample_usage(step * 7 + kernel * 12 + at))),
                    )
                });
            }
        }
        if fleet.measuring && changes > 0 && step % (seconds * 1_000 / STEP_MS / changes).max(1) == 0 {
            fleet.commit_change();
        }
        fleet.step(now);
    }
    let received = fleet
        .costs
        .iter()
        .map(|cost| cost.received_bytes)
        .max()
        .unwrap_or(0);
    let per_second = |count: usize| count as f64 / seconds as f64;
    let busy = fleet.costs[0];
    let costliest = fleet
        .costs
        .iter()
        .max_by_key(|cost| cost.sent_bytes)
        .copied()
        .unwrap_or_default();
    println!(
        "fleet hosts={hosts} zones={zones} runners={runners} busy_host_bytes={:.0} busy_host_beats={:.1} busy_host_core_percent={:.3} costliest_host_bytes={:.0} most_received_bytes={:.0} store_reads={:.2} store_writes={:.2} changes={changes}",
        per_second(busy.sent_bytes),
        per_second(busy.heartbeats),
        busy.busy_s / seconds as f64 * 100.0,
        per_second(costliest.sent_bytes),
        per_second(received),
        per_second(fleet.reads),
        per_second(fleet.writes),
    );
}

impl Fleet {
    fn new(total: usize, zones: usize) -> Self {
        let kernel = |at: usize| {
            let setup = Setup {
                identity: Identity {
                    incarnation: Incarnation(at as u64 + 1),
                    host: format!("entry-{at:03}"),
                    zone: format!("zone-{}", at % zones),
                    address: address(at),
                },
                seeds: vec![address(0), address(1)],
                secret: [0; 32],
                seed: at as u64,
                policy: Policy::Full,
            };
            Kernel::new(Moment::at_ms(1_000_000), setup)
        };
        let snapshot = Snapshot {
            version: 1,
            document: sample_document(50),
        };
        let text = serde_json::to_string(&snapshot).unwrap_or_default();
        Self {
            kernels: (0..total).map(kernel).collect(),
            messages: Vec::new(),
            watches: Vec::new(),
            store: BTreeMap::from([(change::SNAPSHOT_KEY.to_string(), (1, text))]),
            version: 1,
            costs: vec![Cost::default(); total],
            reads: 0,
            writes: 0,
            measuring: false,
            requesters: Vec::new(),
        }
    }

    /// Appends an operator's change of one customer to the log and wakes its watchers.
    fn commit_change(&mut self) {
        let version = self
            .store
            .keys()
            .filter(|key| key.starts_with(change::LOG_PREFIX))
            .count() as u64
            + 2;
        let entry = Entry {
            version,
            id: version.to_string(),
            who: "operator".into(),
            when: 0,
            note: "label customer-0001".into(),
            ops: vec![Op {
                section: Section::Customers,
                name: "customer-0001".into(),
                value: Some(
                    serde_json::json!({ "name": "customer-0001", "labels": { "v": version.to_string() } }),
                ),
            }],
        };
        self.version += 1;
        let text = serde_json::to_string(&entry).unwrap_or_default();
        self.store.insert(change::log_key(version), (self.version, text));
        let (ready, others) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|(.., prefix)| prefix == change::LOG_PREFIX);
        self.watches = others;
        let ready: Vec<(usize, Event, String)> = ready;
        self.messages
            .extend(ready.into_iter().map(|(to, event, _)| (to, event)));
    }

    fn step(&mut self, now: Moment) {
        for (to, event) in std::mem::take(&mut self.messages) {
            self.handle(now, to, event);
        }
        for at in 0..self.kernels.len() {
            self.handle(now, at, Event::Tick);
        }
    }

    fn handle(&mut self, now: Moment, at: usize, event: Event) {
        let started_at = Instant::now();
        let actions = self.kernels[at].handle(now, event);
        if self.measuring {
            self.costs[at].busy_s += started_at.elapsed().as_secs_f64();
        }
        for action in actions {
            self.execute(at, action);
        }
    }

    fn execute(&mut self, at: usize, action: Action) {
        match action {
            Action::Heartbeat(address, heartbeat) => self.send_heartbeat(at, &address, *heartbeat),
            Action::Store(token, call) => self.call_store(at, token, &call),
            Action::Pull(address, pull) => {
                let request = self.open_request(at);
                self.send(&address, Event::Pull(request, pull));
            }
            Action::Collect(address, collect) => {
                let request = self.open_request(at);
                self.transfer(at, parse_index(&address), collect.encoded_len());
                self.send(&address, Event::Collect(request, collect));
            }
            Action::Reply(request, reply) => self.reply(at, request, *reply),
            Action::Report(..) => self.messages.push((at, Event::ReportAnswer(true))),
            _ => {}
        }
    }

    fn send_heartbeat(&mut self, at: usize, address: &str, heartbeat: Heartbeat) {
        self.transfer(at, parse_index(address), heartbeat.encoded_len());
        if self.measuring {
            self.costs[at].heartbeats += 1;
        }
        self.send(address, Event::Heartbeat(heartbeat));
    }

    fn send(&mut self, address: &str, event: Event) {
        if let Some(to) = parse_index(address).filter(|to| *to < self.kernels.len()) {
            self.messages.push((to, event));
        }
    }

    fn transfer(&mut self, from: usize, to: Option<usize>, bytes: usize) {
        if !self.measuring {
            return;
        }
        self.costs[from].sent_bytes += bytes;
        if let Some(to) = to.filter(|to| *to < self.costs.len()) {
            self.costs[to].received_bytes += bytes;
        }
    }

    /// Returns a new id for a request of a host to a peer.
    fn open_request(&mut self, requester: usize) -> RequestId {
        self.requesters.push(requester);
        RequestId(self.requesters.len() as u64)
    }

    fn reply(&mut self, from: usize, request: RequestId, reply: Reply) {
        let requester = match request
            .0
            .checked_sub(1)
            .and_then(|at| self.requesters.get(at as usize))
        {
            Some(requester) => *requester,
            None => return,
        };
        let (bytes, event) = match reply {
            Reply::Pulled(pulled) => (pulled.encoded_len(), Event::Pulled(pulled)),
            Reply::Collected(answer) => (answer.encoded_len(), Event::Collected(answer)),
            _ => return,
        };
        self.transfer(from, Some(requester), bytes);
        self.messages.push((requester, event));
    }

    fn call_store(&mut self, at: usize, token: radishstair_core::store::Token, call: &Call) {
        let is_write = matches!(call, Call::CompareAndSwap { .. } | Call::Remove { .. });
        if self.measuring {
            self.writes += usize::from(is_write);
            self.reads += usize::from(!is_write);
        }
        let answer = match call {
            Call::CompareAndSwap { key, expect, value } => {
                let current = self.store.get(key).map_or(0, |(version, _)| *version);
                if current == *expect {
                    self.version += 1;
                    self.store.insert(key.clone(), (self.version, value.clone()));
                    Answer::Written(self.version)
                } else {
                    Answer::Conflict(self.store_entry(key))
                }
            }
            Call::Get { key } | Call::GetStale { key } | Call::GetIfChanged { key, .. } => {
                Answer::Found(vec![self.store_entry(key)])
            }
            Call::Range { prefix, after, limit } => self.scan(prefix, after, *limit as usize),
            Call::Watch { prefix, .. } => {
                let event = Event::StoreAnswer(token, Answer::Found(Vec::new()));
                self.watches.push((at, event, prefix.clone()));
                return;
            }
            Call::Remove { .. } => Answer::Written(0),
            // The own front makes no such call.
            Call::Batch { .. } => Answer::Refused,
        };
        self.messages.push((at, Event::StoreAnswer(token, answer)));
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Answer {
        let from = prefix.max(after).to_string();
        let keys = self.store.range(from..).filter(|(key, _)| key.as_str() > after);
        let keys = keys.take_while(|(key, _)| key.starts_with(prefix)).take(limit);
        Answer::Found(keys.map(|(key, _)| self.store_entry(key)).collect())
    }

    fn store_entry(&self, key: &str) -> StoreEntry {
        let (version, value) = self.store.get(key).cloned().unwrap_or_default();
        StoreEntry {
            key: key.to_string(),
            version,
            value,
        }
    }
}
