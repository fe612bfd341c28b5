//! A simulated cluster: many kernels in one process, with fakes at their interfaces.
//!
//! One queue holds all pending tasks. A seeded schedule delays, drops and
//! duplicates messages, pauses, kills and restarts nodes, and makes the store
//! fail. The same seed gives the same run.

mod jobs;
mod store;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use radishstair_core::dispatch::Policy;
use radishstair_core::id::{CallId, Incarnation};
use radishstair_core::kernel::{Action, Event, Kernel, Reply, Setup, Status};
use radishstair_core::lease::Grant;
use radishstair_core::member::Identity;
use radishstair_core::order::Order;
use radishstair_core::store::{Call as StoreCall, Token};
use radishstair_core::time::Moment;
use radishstair_core::usage::report::SealedWindow;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between ticks of a node, in milliseconds.
const TICK_MS: u64 = 50;
/// Wall clock at the start, in milliseconds.
pub const WALL_START_MS: u64 = 1_800_000_000_000;
/// Monotonic clocks at the start, in milliseconds.
const MONO_START_MS: u64 = 30 * 24 * 3_600 * 1_000;

/// Fault rates and delays.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Share of messages between nodes that are lost.
    pub drop: f64,
    /// Share of messages between nodes that are duplicated.
    pub duplicate: f64,
    /// Maximum delay of a message, in milliseconds.
    pub delay_ms: u64,
    /// Share of store calls that take effect but whose answer is lost.
    pub lose_answer: f64,
    /// Share of store calls that are refused.
    pub refuse: f64,
    /// Maximum difference between wall clocks, in milliseconds.
    pub skew_ms: u64,
    /// Share of orders and reports before which their sender is frozen.
    pub freeze: f64,
    /// Maximum time from the last check of a lease to the receiver, in milliseconds.
    pub transit_ms: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            drop: 0.05,
            duplicate: 0.05,
            delay_ms: 40,
            lose_answer: 0.05,
            refuse: 0.02,
            skew_ms: 400,
            freeze: 0.0,
            transit_ms: 1_500,
        }
    }
}

/// A safeguard left out on purpose, to show that a check can fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Broken {
    /// Nothing is left out.
    #[default]
    None,
    /// Every copy of a call runs.
    Claims,
    /// Orders and reports are sent without the last check of the lease.
    Grant,
    /// The store writes without comparing versions.
    Swap,
    /// A refusal does not close its key.
    KeyClosing,
}

/// One process.
pub struct Node {
    /// Its kernel; `None` while it is down.
    pub kernel: Option<Kernel>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: String,
    /// Whether it is cut off from the store.
    pub cut_store: bool,
    /// Network partition that it is in; only nodes of the same one reach each other.
    pub partition: u32,
    skew_ms: u64,
    started_at: u64,
    paused_until: u64,
    serial: u64,
}

/// A pending task; the numbers are the node's index and serial number.
enum Task {
    Tick(usize, u64),
    Event(usize, u64, Box<Event>),
    Store(usize, u64, Token, StoreCall),
    Job(usize, u64, Job),
    Arrive(usize, u64, Job),
    Timer(u64),
}

#[derive(Clone, Debug)]
enum Job {
    Order(Grant, Order),
    Report(Grant, SealedWindow),
}

/// A node's reply to a call of a test.
pub struct Replied {
    /// Index of the node.
    pub node: usize,
    /// Call.
    pub call: CallId,
    /// Reply.
    pub reply: Reply,
}

/// Messages that the receivers of orders and reports got.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Orders: time, sender, order.
    pub orders: Vec<(u64, Incarnation, Order)>,
    /// Reports: time, sender, fencing number, sealed window.
    pub reports: Vec<(u64, Incarnation, u64, SealedWindow)>,
}

/// The simulated cluster with its store and receivers.
pub struct World {
    /// Current time, in milliseconds since the start.
    pub now: u64,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// Content of the store: version and value by key.
    pub store: BTreeMap<String, (u64, String)>,
    /// Whether the store is down for all nodes.
    pub store_down: bool,
    /// Old content of the store, returned by reads while set.
    pub stale: Option<BTreeMap<String, (u64, String)>>,
    /// Replies to calls that tests made.
    pub replies: Vec<Replied>,
    /// Messages that the receivers got.
    pub received: Received,
    /// Fault rates and delays.
    pub faults: Faults,
    /// Safeguard that is left out.
    pub broken: Broken,
    /// The seeded random generator of the simulation.
    pub rng: ChaCha8Rng,
    /// Nodes that have sent a watch to the store.
    pub watching: std::collections::BTreeSet<usize>,
    /// Ids of the timers set by `set_timer` that have fired.
    pub fired_timers: Vec<u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    tasks: BTreeMap<u64, Task>,
    serial: u64,
    version: u64,
    calls: u64,
    node_calls: BTreeMap<u64, (usize, u64)>,
}

/// Builder of a [`World`].
pub struct Builder {
    zones: Vec<(String, usize)>,
    faults: Faults,
    broken: Broken,
    seed: u64,
}

impl Builder {
    /// Two zones of two nodes, with the default faults.
    pub fn new(seed: u64) -> Self {
        Self {
            zones: vec![("a".into(), 2), ("b".into(), 2)],
            faults: Faults::default(),
            broken: Broken::None,
            seed,
        }
    }

    /// Sets the zones and their numbers of nodes.
    pub fn zones(mut self, zones: &[(&str, usize)]) -> Self {
        self.zones = zones
            .iter()
            .map(|(zone, count)| (zone.to_string(), *count))
            .collect();
        self
    }

    /// Sets the faults.
    pub fn faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        self
    }

    /// Leaves a safeguard out.
    pub fn broken(mut self, broken: Broken) -> Self {
        self.broken = broken;
        self
    }

    /// Builds the world with a configuration in the store and starts all nodes.
    pub fn build(self, configuration: &str) -> World {
        let mut world = World {
            now: 0,
            nodes: Vec::new(),
            store: BTreeMap::new(),
            store_down: false,
            stale: None,
            replies: Vec::new(),
            received: Received::default(),
            faults: self.faults,
            broken: self.broken,
            rng: ChaCha8Rng::seed_from_u64(self.seed),
            watching: std::collections::BTreeSet::new(),
            fired_timers: Vec::new(),
            queue: BinaryHeap::new(),
            tasks: BTreeMap::new(),
            serial: 0,
            version: 0,
            calls: 0,
            node_calls: BTreeMap::new(),
        };
        world.put(
            "config/snapshot",
            &format!("{{\"version\":1,\"document\":{configuration}}}"),
        );
        for (zone, count) in self.zones {
            for _ in 0..count {
                world.add(&zone);
            }
        }
        for at in 0..world.nodes.len() {
            world.start(at);
        }
        world
    }
}

impl World {
    fn add(&mut self, zone: &str) {
        let skew = self.rng.random_range(0..=self.faults.skew_ms);
        self.nodes.push(Node {
            kernel: None,
            incarnation: Incarnation(0),
            zone: zone.to_string(),
            cut_store: false,
            partition: 0,
            skew_ms: skew,
            started_at: 0,
            paused_until: 0,
            serial: 0,
        });
    }

    /// Starts a node with empty memory.
    pub fn start(&mut self, at: usize) {
        let incarnation = Incarnation(self.rng.next_u64());
        let mut secret = [0; 32];
        self.rng.fill_bytes(&mut secret);
        let setup = Setup {
            identity: Identity {
                incarnation,
                host: format!("host-{at}"),
                zone: self.nodes[at].zone.clone(),
                address: address(at),
            },
            seeds: (0..self.nodes.len()).map(address).collect(),
            secret,
            seed: self.rng.next_u64(),
            policy: Policy::Full,
        };
        self.serial += 1;
        let node = &mut self.nodes[at];
        node.incarnation = incarnation;
        node.started_at = self.now;
        node.paused_until = 0;
        node.serial = self.serial;
        let now = self.moment(at);
        self.nodes[at].kernel = Some(Kernel::new(now, setup));
        let offset = self.rng.random_range(0..TICK_MS);
        self.schedule(offset, Task::Tick(at, self.nodes[at].serial));
    }

    /// Kills a node; its memory is lost.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].kernel = None;
        self.serial += 1;
        self.nodes[at].serial = self.serial;
    }

    /// Freezes a node for a time; its tasks wait until it resumes.
    pub fn pause(&mut self, at: usize, duration_ms: u64) {
        self.nodes[at].paused_until = self.now + duration_ms;
    }

    /// Whether a node is up and not frozen.
    pub fn running(&self, at: usize) -> bool {
        self.nodes[at].kernel.is_some() && self.nodes[at].paused_until <= self.now
    }

    /// Current time by a node's clocks.
    pub fn moment(&self, at: usize) -> Moment {
        Moment {
            mono_us: (MONO_START_MS + self.now) * 1_000,
            wall_ms: WALL_START_MS + self.now + self.nodes[at].skew_ms,
        }
    }

    /// Writes to the store directly.
    pub fn put(&mut self, key: &str, value: &str) {
        self.version += 1;
        self.store.insert(key.into(), (self.version, value.into()));
    }

    /// A new call id.
    pub fn call(&mut self) -> CallId {
        self.calls += 1;
        CallId(self.calls)
    }

    /// Sets a timer; its id is added to `fired_timers` after the delay.
    pub fn set_timer(&mut self, delay_ms: u64, id: u64) {
        self.schedule(delay_ms, Task::Timer(id));
    }

    /// Sends an event to a node after a delay. It waits while the node is frozen and is lost if the
    /// node is killed.
    pub fn send_event(&mut self, at: usize, delay_ms: u64, event: Event) {
        let serial = self.nodes[at].serial;
        self.schedule(delay_ms, Task::Event(at, serial, Box::new(event)));
    }

    /// Status of a node; `None` while it does not run.
    pub fn status(&mut self, at: usize) -> Option<Status> {
        if !self.running(at) {
            return None;
        }
        let now = self.moment(at);
        let call = self.call();
        let actions = self.nodes[at].kernel.as_mut()?.handle(now, Event::Status(call));
        actions.into_iter().find_map(|action| match action {
            Action::Reply(have, reply) if have == call => match *reply {
                Reply::Status(status) => Some(status),
                _ => None,
            },
            _ => None,
        })
    }

    /// Runs the next task; returns false if `until` is reached first.
    pub fn step(&mut self, until: u64) -> bool {
        let Some(Reverse((time, serial))) = self.queue.peek().copied() else {
            self.now = until;
            return false;
        };
        if time > until {
            self.now = until;
            return false;
        }
        self.queue.pop();
        self.now = time;
        if let Some(task) = self.tasks.remove(&serial) {
            self.run(task);
        }
        true
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until: u64) {
        while self.step(until) {}
    }

    fn schedule(&mut self, delay_ms: u64, task: Task) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + delay_ms, self.serial)));
        self.tasks.insert(self.serial, task);
    }

    fn run(&mut self, task: Task) {
        let (at, serial) = match &task {
            Task::Timer(id) => {
                self.fired_timers.push(*id);
                return;
            }
            Task::Arrive(at, serial, job) => {
                let (at, serial, job) = (*at, *serial, job.clone());
                self.arrive(at, serial, job);
                return;
            }
            Task::Tick(at, serial) | Task::Event(at, serial, _) => (*at, *serial),
            Task::Store(at, serial, ..) | Task::Job(at, serial, _) => (*at, *serial),
        };
        // A store call that the node has sent takes effect even if the node is killed.
        if let Task::Store(_, _, token, call) = &task {
            let (token, call) = (*token, call.clone());
            self.store_call(at, serial, token, &call);
            return;
        }
        if self.nodes[at].serial != serial || self.nodes[at].kernel.is_none() {
            return;
        }
        if self.nodes[at].paused_until > self.now {
            let remaining_ms = self.nodes[at].paused_until - self.now;
            self.schedule(remaining_ms, task);
            return;
        }
        match task {
            Task::Tick(..) => {
                self.handle(at, Event::Tick);
                self.schedule(TICK_MS, Task::Tick(at, serial));
            }
            Task::Event(_, _, event) => self.handle(at, *event),
            Task::Job(_, _, job) => self.send_job(at, serial, job),
            Task::Store(..) | Task::Arrive(..) | Task::Timer(_) => {}
        }
    }

    /// Makes a node handle an event now.
    pub fn handle(&mut self, at: usize, event: Event) {
        let now = self.moment(at);
        let Some(kernel) = &mut self.nodes[at].kernel else {
            return;
        };
        for action in kernel.handle(now, event) {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        let serial = self.nodes[at].serial;
        match action {
            Action::Store(token, call) => {
                let delay = self.rng.random_range(0..=self.faults.delay_ms);
                self.schedule(delay, Task::Store(at, serial, token, call));
            }
            Action::Heartbeat(address, heartbeat) => self.deliver(at, &address, Event::Heartbeat(*heartbeat)),
            Action::Pull(address, pull) => {
                let call = self.node_call(at);
                self.deliver(at, &address, Event::Pull(call, pull));
            }
            Action::Collect(address, request) => {
                let call = self.node_call(at);
                self.deliver(at, &address, Event::Collect(call, request));
            }
            Action::Reply(call, reply) => self.reply(at, call, *reply),
            Action::Order(grant, order) => self.schedule_job(at, serial, Job::Order(grant, order)),
            Action::Report(grant, window) => self.schedule_job(at, serial, Job::Report(grant, window)),
            Action::View(_) | Action::Members(_) | Action::KeysTrusted(_) | Action::Exit => {}
        }
    }

    /// A call id for a request between nodes.
    fn node_call(&mut self, at: usize) -> CallId {
        let call = self.call();
        self.node_calls.insert(call.0, (at, self.nodes[at].serial));
        call
    }

    fn reply(&mut self, at: usize, call: CallId, reply: Reply) {
        let Some((asker, serial)) = self.node_calls.get(&call.0).copied() else {
            self.replies.push(Replied {
                node: at,
                call,
                reply,
            });
            return;
        };
        let event = match reply {
            Reply::Pulled(pulled) => Event::Pulled(pulled),
            Reply::Collected(collected) => Event::Collected(collected),
            _ => return,
        };
        if self.nodes[asker].serial == serial {
            self.deliver(at, &address(asker), event);
        }
    }

    /// Whether two nodes reach each other.
    pub fn linked(&self, from: usize, to: usize) -> bool {
        self.nodes[from].partition == self.nodes[to].partition
    }

    fn deliver(&mut self, from: usize, address: &str, event: Event) {
        let Some(to) = address
            .strip_prefix("node-")
            .and_then(|text| text.parse::<usize>().ok())
        else {
            return;
        };
        if !self.linked(from, to) || self.rng.random_bool(self.faults.drop) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.faults.delay_ms);
            self.send_event(to, delay, event.clone());
        }
    }
}

/// Address of a node.
pub fn address(at: usize) -> String {
    format!("node-{at}")
}
