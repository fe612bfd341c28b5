//! A fleet of kernels in one process, with a store that only counts.

use std::collections::BTreeMap;
use std::time::Instant;

use prost::Message;
use radishstair_core::config::change::{self, Entry, Op, Section, Snapshot};
use radishstair_core::dispatch::Policy;
use radishstair_core::id::{CallId as Question, Incarnation};
use radishstair_core::kernel::{Action, Event, Kernel, Reply, Setup};
use radishstair_core::member::Identity;
use radishstair_core::peer::Heartbeat;
use radishstair_core::store::{Answer, Call, Entry as Value};
use radishstair_core::time::Moment;

use super::{item, listed, sample, seek};

/// Milliseconds between steps.
const STEP: u64 = 100;
/// Seconds before counting begins.
const SETTLE: u64 = 30;

/// What one host sent and spent, or what the store was asked.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    bytes: usize,
    received: usize,
    beats: usize,
    busy: f64,
}

struct Fleet {
    kernels: Vec<Kernel>,
    mail: Vec<(usize, Event)>,
    watches: Vec<(usize, Event, String)>,
    store: BTreeMap<String, (u64, String)>,
    version: u64,
    costs: Vec<Cost>,
    reads: usize,
    writes: usize,
    counting: bool,
    questions: Vec<usize>,
}

fn address(at: usize) -> String {
    format!("10.1.{}.{}:7000", at / 250, at % 250)
}

fn place(address: &str) -> Option<usize> {
    let rest = address.strip_prefix("10.1.")?.strip_suffix(":7000")?;
    let (high, low) = rest.split_once('.')?;
    Some(high.parse::<usize>().ok()? * 250 + low.parse::<usize>().ok()?)
}

/// Plays a fleet for some seconds and prints a busy host's heartbeats, the
/// costliest host's, and the store's calls.
pub fn play(seconds: u64, hosts: usize, zones: usize, runners: usize, changes: u64) {
    let mut fleet = Fleet::new(hosts * zones, zones);
    let start = Moment::at_ms(1_000_000);
    let mine: Vec<_> = listed(runners, zones)
        .into_iter()
        .filter(|item| item.zone == "zone-0")
        .collect();
    for kernel in &mut fleet.kernels {
        kernel.handle(start, Event::RunnerList(mine.clone()));
    }
    for step in 0..(SETTLE + seconds) * 1_000 / STEP {
        fleet.counting = step >= SETTLE * 1_000 / STEP;
        let now = Moment::at_ms(1_000_000 + step * STEP);
        if step == SETTLE * 1_000 / STEP {
            // A busy host has ten seconds of twelve requests a second in flight.
            (0..120).for_each(|call| drop(fleet.kernels[0].handle(now, Event::Acquire(seek(call)))));
        }
        if fleet.counting && step % 10 == 0 {
            for kernel in 0..fleet.kernels.len() as u64 {
                // Twelve a second at each host, of all customers and classes.
                (0..12).for_each(|at| {
                    drop(
                        fleet.kernels[kernel as usize]
                            .handle(now, Event::RecordUsage(item(step * 7 + kernel * 12 + at))),
                    )
                });
            }
        }
        if fleet.counting && changes > 0 && step % (seconds * 1_000 / STEP / changes).max(1) == 0 {
            fleet.change();
        }
        fleet.step(now);
    }
    let received = fleet.costs.iter().map(|cost| cost.received).max().unwrap_or(0);
    let of = |count: usize| count as f64 / seconds as f64;
    let busy = fleet.costs[0];
    let most = fleet
        .costs
        .iter()
        .max_by_key(|cost| cost.bytes)
        .copied()
        .unwrap_or_default();
    println!(
        "fleet hosts={hosts} zones={zones} runners={runners} busy_host_bytes={:.0} busy_host_beats={:.1} busy_host_core_percent={:.3} costliest_host_bytes={:.0} most_received_bytes={:.0} store_reads={:.2} store_writes={:.2} changes={changes}",
        of(busy.bytes),
        of(busy.beats),
        busy.busy / seconds as f64 * 100.0,
        of(most.bytes),
        of(received),
        of(fleet.reads),
        of(fleet.writes),
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
            document: sample(50),
        };
        let text = serde_json::to_string(&snapshot).unwrap_or_default();
        Self {
            kernels: (0..total).map(kernel).collect(),
            mail: Vec::new(),
            watches: Vec::new(),
            store: BTreeMap::from([(change::SNAPSHOT_KEY.to_string(), (1, text))]),
            version: 1,
            costs: vec![Cost::default(); total],
            reads: 0,
            writes: 0,
            counting: false,
            questions: Vec::new(),
        }
    }

    /// An operator's change of one key.
    fn change(&mut self) {
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
        let (ready, rest) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|(.., prefix)| prefix == change::LOG_PREFIX);
        self.watches = rest;
        let ready: Vec<(usize, Event, String)> = ready;
        self.mail
            .extend(ready.into_iter().map(|(to, event, _)| (to, event)));
    }

    fn step(&mut self, now: Moment) {
        for (to, event) in std::mem::take(&mut self.mail) {
            self.handle(now, to, event);
        }
        for at in 0..self.kernels.len() {
            self.handle(now, at, Event::Tick);
        }
    }

    fn handle(&mut self, now: Moment, at: usize, event: Event) {
        let began = Instant::now();
        let actions = self.kernels[at].handle(now, event);
        if self.counting {
            self.costs[at].busy += began.elapsed().as_secs_f64();
        }
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Heartbeat(address, beat) => self.beat(at, &address, *beat),
            Action::Store(token, call) => self.ask(at, token, &call),
            Action::Pull(address, pull) => {
                let call = self.question(at);
                self.send(&address, Event::Pull(call, pull));
            }
            Action::Collect(address, ask) => {
                let call = self.question(at);
                self.transfer(at, place(&address), ask.encoded_len());
                self.send(&address, Event::Collect(call, ask));
            }
            Action::Reply(call, reply) => self.reply(at, call, *reply),
            Action::Report(..) => self.mail.push((at, Event::ReportAnswer(true))),
            _ => {}
        }
    }

    fn beat(&mut self, at: usize, address: &str, beat: Heartbeat) {
        self.transfer(at, place(address), beat.encoded_len());
        if self.counting {
            self.costs[at].beats += 1;
        }
        self.send(address, Event::Heartbeat(beat));
    }

    fn send(&mut self, address: &str, event: Event) {
        if let Some(to) = place(address).filter(|to| *to < self.kernels.len()) {
            self.mail.push((to, event));
        }
    }

    fn transfer(&mut self, from: usize, to: Option<usize>, bytes: usize) {
        if !self.counting {
            return;
        }
        self.costs[from].bytes += bytes;
        if let Some(to) = to.filter(|to| *to < self.costs.len()) {
            self.costs[to].received += bytes;
        }
    }

    /// A call that stands for a host's question to another.
    fn question(&mut self, asker: usize) -> Question {
        self.questions.push(asker);
        Question(self.questions.len() as u64)
    }

    fn reply(&mut self, from: usize, call: Question, reply: Reply) {
        let asker = match call
            .0
            .checked_sub(1)
            .and_then(|at| self.questions.get(at as usize))
        {
            Some(asker) => *asker,
            None => return,
        };
        let (bytes, event) = match reply {
            Reply::Pulled(pulled) => (pulled.encoded_len(), Event::Pulled(pulled)),
            Reply::Collected(answer) => (answer.encoded_len(), Event::Collected(answer)),
            _ => return,
        };
        self.transfer(from, Some(asker), bytes);
        self.mail.push((asker, event));
    }

    fn ask(&mut self, at: usize, token: radishstair_core::store::Token, call: &Call) {
        let write = matches!(call, Call::CompareAndSwap { .. } | Call::Remove { .. });
        if self.counting {
            self.writes += usize::from(write);
            self.reads += usize::from(!write);
        }
        let answer = match call {
            Call::CompareAndSwap { key, expect, value } => {
                let have = self.store.get(key).map_or(0, |(version, _)| *version);
                if have == *expect {
                    self.version += 1;
                    self.store.insert(key.clone(), (self.version, value.clone()));
                    Answer::Written(self.version)
                } else {
                    Answer::Conflict(self.value(key))
                }
            }
            Call::Get { key } | Call::GetStale { key } | Call::GetIfChanged { key, .. } => {
                Answer::Found(vec![self.value(key)])
            }
            Call::Range { prefix, after, limit } => self.scan(prefix, after, *limit as usize),
            Call::Watch { prefix, .. } => {
                let event = Event::StoreAnswer(token, Answer::Found(Vec::new()));
                self.watches.push((at, event, prefix.clone()));
                return;
            }
            Call::Remove { .. } => Answer::Written(0),
        };
        self.mail.push((at, Event::StoreAnswer(token, answer)));
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Answer {
        let from = prefix.max(after).to_string();
        let keys = self.store.range(from..).filter(|(key, _)| key.as_str() > after);
        let keys = keys.take_while(|(key, _)| key.starts_with(prefix)).take(limit);
        Answer::Found(keys.map(|(key, _)| self.value(key)).collect())
    }

    fn value(&self, key: &str) -> Value {
        let (version, value) = self.store.get(key).cloned().unwrap_or_default();
        Value {
            key: key.to_string(),
            version,
            value,
        }
    }
}
