//! Decisions of the opaque front: requests that are passed on byte by byte.
//!
//! A [`State`] holds what one entry host believes: the operator's document,
//! the runners, how old its proof of both is, and what it may still spend on
//! repeats. The shell asks it under a lock, for microseconds at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::error::{Kind, Refusal};
use crate::id::Incarnation;
use crate::time::Moment;

pub mod backoff;
pub mod budget;
pub mod clock;
pub mod delta;
pub mod document;
pub mod fleet;
pub mod freshness;
pub mod gossip;
pub mod latency;
pub mod mirror;
pub mod partition;
pub mod placement;
pub mod prefix;
pub mod readers;
pub mod refresh;
pub mod regression;
pub mod report;
pub mod route;
pub mod scaling;
pub mod services;
pub mod usage;

use budget::Budgets;
use fleet::{Fleet, Key, Listed};
use freshness::Freshness;
use gossip::{CachedPrefix, Flow, Meter, Packet, Peers};
use latency::{Conditions, Latency};
use partition::Partition;
use placement::{Choice, Demand, Inputs};
use prefix::Index;
use route::{Route, Table};
use services::Services;
use usage::{Counter, Ledger};

plain! {
    /// Bounds that the operator promises to callers and that hold for all hosts.
    #[derive(serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Bounds {
        /// Milliseconds after which a withdrawn key must not run anything.
        pub revocation_ms: u64,
        /// Milliseconds after which a change of the document must be in force.
        #[serde(default = "default_configuration_ms")]
        pub configuration_ms: u64,
        /// Repeats allowed for each request of a service.
        pub repeat_ratio: f64,
        /// Repeats allowed besides, for all hosts together.
        pub repeat_slack: f64,
        /// Seconds over which repeats are counted.
        pub repeat_window_s: u64,
        /// Milliseconds for which a duty's lease carries.
        pub lease_ms: u64,
        /// Seconds of a usage window.
        pub usage_window_s: u64,
        /// Seconds after a window's end by which its report must be there.
        pub usage_due_s: u64,
        /// Seconds between the request to stop and the kill.
        pub grace_s: u64,
    }
}

/// The shorter of the usual bounds.
fn default_configuration_ms() -> u64 {
    2_000
}

/// Part of the revocation bound for which a proof of freshness carries. The
/// rest covers the call's way to the runner and a pause of this process
/// between the check and the write.
const PROOF_PART: f64 = 0.6;
/// Age of the proof up to which "unknown key" and "no such path" may be said:
/// past it a newer document may know them.
const NEWEST: Duration = Duration::from_millis(1_700);

/// Time without an answer of the store to this host past which it hands its callers
/// over: two questions of [`STORE_PROBE_INTERVAL`] in a row and the wait for their answers.
const STORE_SILENT: Duration = Duration::from_millis(2_500);
/// Time after which a host that learns from its peers asks whether the store still
/// answers it.
pub const STORE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Tokens from which a subject's place is told to the other hosts: telling takes 16 bytes a
/// request and host.
const TOLD: u64 = 100;
/// Most places told at once.
const HOLDERS: usize = 256;

/// Multiple of the usual time past which a runner counts as a straggler.
const STRAGGLER: f64 = 1.6;

/// Least urgent rank: engines know ten.
pub const LAST_RANK: u8 = 9;

impl Bounds {
    /// How old the proof of a document may be once a newer one is known to stand. The newer
    /// one was acknowledged after the proof, so this keeps the bound without a margin.
    pub fn max_superseded_age(&self) -> Duration {
        Duration::from_millis(self.configuration_ms)
    }

    /// How old the proof may be when a keyed request is passed on.
    pub fn max_age(&self) -> Duration {
        Duration::from_millis((self.revocation_ms as f64 * PROOF_PART) as u64)
    }
}

plain! {
    /// What a request's head says, in the product's words.
    pub struct RequestHead<'a> {
        /// Name in the `Host` header.
        pub host: &'a str,
        /// Path without query.
        pub path: &'a str,
        /// Key, if one came.
        pub key: Option<&'a str>,
        /// Draw that decides among weighted services.
        pub draw: u64,
    }
}

plain! {
    /// A request that may be passed on.
    pub struct Admission {
        /// Its route.
        pub route: Arc<Route>,
        /// Service that is to run it.
        pub service: String,
        /// Whose it is; none on routes that need no key.
        pub customer: Option<String>,
        /// Urgency, 0 first, up to [`LAST_RANK`].
        pub rank: u8,
        /// Whether its runner copies from others what it has not read of the prompt.
        pub copies_prefix: bool,
        /// Whether it needs a fresh proof when it is passed on.
        pub keyed: bool,
        /// Version of the document that admitted it.
        pub version: u64,
        /// The store's revision of that document.
        pub revision: u64,
    }
}

/// What one host believes and remembers.
#[derive(Debug)]
pub struct State {
    /// Bounds in force.
    pub bounds: Bounds,
    /// The operator's document; none before the first read.
    pub table: Option<Arc<Table>>,
    /// When the document was known to be the newest.
    pub freshness: Freshness,
    /// Whether a newer one stands that this host has yet to read.
    pub is_behind: bool,
    /// When the store last answered this host itself.
    pub store_contact: Freshness,
    /// Runners.
    pub fleet: Fleet,
    /// Where prompts were read.
    pub prefixes: Index,
    /// What other hosts have on runners.
    pub peers: Peers,
    /// How fast runners are.
    pub latencies: Services<Latency>,
    /// How the runners of each service are divided.
    partitions: Services<Partition>,
    /// What this host sends.
    pub meter: Meter,
    /// Where long beginnings went since the last packet.
    holders: Vec<CachedPrefix>,
    /// Repeats that are left.
    pub budgets: Budgets,
    /// Usage of this host.
    pub usage: Counter,
    /// Usage of all hosts, as told.
    pub ledger: Ledger,
    /// Hosts that are alive, this one included.
    pub hosts: u32,
}

impl State {
    /// A host that has just started and knows nothing.
    pub fn new(bounds: Bounds, zone: &str) -> Self {
        Self {
            bounds,
            table: None,
            freshness: Freshness::default(),
            is_behind: false,
            store_contact: Freshness::default(),
            fleet: Fleet::new(zone),
            prefixes: Index::default(),
            peers: Peers::default(),
            latencies: Services::default(),
            partitions: Services::default(),
            meter: Meter::default(),
            holders: Vec::new(),
            budgets: Budgets::default(),
            usage: Counter::default(),
            ledger: Ledger::default(),
            hosts: 1,
        }
    }

    /// Puts a document in force unless a newer one is; true if it was.
    ///
    /// Reads can overtake each other. Without this look a slow answer would
    /// bring an older document back, and routes and keys with it.
    pub fn configure(&mut self, table: Table) -> bool {
        if self
            .table
            .as_ref()
            .is_some_and(|have| have.revision >= table.revision)
        {
            return false;
        }
        self.table = Some(Arc::new(table));
        true
    }

    /// Whether callers should come here.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.table.is_some() && self.fleet.is_listed() && self.is_fresh(now) && self.reaches_store(now)
    }

    /// Whether callers that are here had better go to another host.
    ///
    /// A host that the store does not answer serves on by its peers' proof. If it
    /// loses them as well, it must refuse everybody at once; so it sends its callers
    /// elsewhere while it can still serve them, and refuses nobody meanwhile. Where
    /// the store answers no host at all, the peers' proof is old as well, and nobody
    /// is sent about.
    pub fn should_hand_off(&self, now: Moment) -> bool {
        self.is_fresh(now) && !self.reaches_store(now)
    }

    fn reaches_store(&self, now: Moment) -> bool {
        self.store_contact.is_within(now, STORE_SILENT)
    }

    /// Whether keyed requests may be passed on.
    ///
    /// A host that is cut off cannot hear that a key was withdrawn, and would
    /// serve it for ever. It stops when its last proof is too old, whatever the
    /// reason.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.freshness.is_within(now, self.bounds.max_age())
    }

    /// Refuses while a newer document has not come in time.
    ///
    /// Requests that need no key need no proof, as they are served while the store is
    /// away. A host that knows of a change, and does not know the change, would send them
    /// where they no longer go.
    fn refuse_superseded(&self, now: Moment) -> Result<(), Refusal> {
        match self.is_behind && !self.freshness.is_within(now, self.bounds.max_superseded_age()) {
            true => Err(Refusal::new(Kind::Stale).detail("a newer configuration has yet to come")),
            false => Ok(()),
        }
    }

    /// Finds route, service and customer of a request.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub fn admit(&self, now: Moment, ask: &RequestHead<'_>) -> Result<Admission, Refusal> {
        let Some(table) = &self.table else {
            return Err(Refusal::new(Kind::Stale).detail("no configuration is known yet"));
        };
        self.refuse_superseded(now)?;
        let newest = self.freshness.is_within(now, NEWEST);
        let unless_newest = |kind| Refusal::new(if newest { kind } else { Kind::Stale });
        let Some(route) = table.find(ask.host, ask.path) else {
            return Err(unless_newest(Kind::NotFound));
        };
        let customer = match table.requires_key(route) {
            false => None,
            true => {
                let key = ask.key.ok_or_else(|| Refusal::new(Kind::MissingKey))?;
                let found = table.customer(key);
                Some(found.ok_or_else(|| unless_newest(Kind::UnknownKey))?)
            }
        };
        let service = route.pick_service(ask.draw);
        let engine = table.service(service).and_then(|service| service.engine);
        Ok(Admission {
            service: service.to_string(),
            copies_prefix: engine.is_some_and(|engine| engine.copies_prefix),
            customer: customer.map(|customer| customer.name.clone()),
            rank: table.rank(route, customer, LAST_RANK),
            keyed: customer.is_some(),
            version: table.version,
            revision: table.revision,
            route: route.clone(),
        })
    }

    /// Whether an admitted request may still be passed on; asked right before
    /// the write to the runner.
    ///
    /// A newer document may have come since the admission, after a cut even one
    /// that is seconds newer. Its proof would cover an admission by a withdrawn
    /// key, so the admission is made again by the newer document.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub fn may_send(&self, now: Moment, admission: &Admission, ask: &RequestHead<'_>) -> Result<(), Refusal> {
        if admission.keyed && !self.is_fresh(now) {
            return Err(Refusal::new(Kind::Stale));
        }
        self.refuse_superseded(now)?;
        let current = self.table.as_ref().map(|table| table.revision);
        if current == Some(admission.revision) {
            return Ok(());
        }
        let again = self.admit(now, ask)?;
        let still = again.customer == admission.customer
            && again.route.name == admission.route.name
            && again.route.uses(&admission.service);
        match still {
            true => Ok(()),
            false => Err(Refusal::new(Kind::Stale).detail("the configuration has just changed")),
        }
    }

    /// Takes the whole list of runners, as read by a question that left at `sent`; the
    /// addresses at which another process now listens.
    pub fn update_runners(&mut self, now: Moment, sent: Moment, items: Vec<Listed>) -> Vec<SocketAddr> {
        let void = self.fleet.update(sent, items);
        self.divide(now);
        void
    }

    /// Divides the runners of each service with engines between long and short prompts.
    fn divide(&mut self, now: Moment) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let engines = table.services().iter().filter(|service| service.engine.is_some());
        for service in engines {
            let flow = self.flow(now, &service.name);
            let allowed = partition::allowed_pause(&table, &service.name);
            let partition = self.partitions.get_or_default(&service.name);
            partition.update(
                self.latencies.get_or_default(&service.name),
                allowed,
                flow.long,
                flow.rate,
            );
            partition::assign(self.fleet.runners_mut(), &service.name, partition);
        }
    }

    /// How the runners of a service are divided.
    pub fn partition(&self, service: &str) -> Partition {
        self.partitions.get(service).copied().unwrap_or_default()
    }

    /// Chooses a runner and counts the request there.
    pub fn place(&mut self, now: Moment, demand: &Demand, tried: &[Key]) -> Option<Choice> {
        let known = Inputs {
            fleet: &self.fleet,
            prefixes: &self.prefixes,
            partition: &self.partition(&demand.service),
            latency: self.latencies.get_or_default(&demand.service),
        };
        let choice = placement::choose(known, now, demand, tried)?;
        self.fleet
            .start_request(choice.key, choice.prefill_us, demand.kv_tokens());
        self.meter
            .add(now, &demand.service, choice.prefill_us, choice.is_long);
        for (id, tokens) in demand.shared_prefixes() {
            self.prefixes.note(now, id, choice.key);
            if tokens >= TOLD {
                self.tell(id, choice.key);
            }
        }
        Some(choice)
    }

    /// A request's first event came `took` after it was sent.
    ///
    /// A straggler tells nothing of the others, so it does not slow the common latency down.
    pub fn record_first_event(&mut self, key: Key, conditions: &Conditions, took: Duration) {
        let Some(runner) = self.fleet.get_mut(key) else {
            return;
        };
        let service = runner.listed.service.clone();
        let latency = self.latencies.get_or_default(&service);
        runner.record_slowdown(took, latency.predict(conditions));
        let lag = runner.slowdown;
        if lag < STRAGGLER * self.fleet.median_slowdown(&service) {
            latency.observe_first_event(conditions, took);
        }
    }

    /// A stream's event came from a runner, `pause` after the one before.
    pub fn record_event(&mut self, key: Key, pause: Duration) {
        let Some(runner) = self.fleet.get(key) else {
            return;
        };
        let reading = runner.is_prefilling(self.partition(&runner.listed.service).long_prompt);
        let latency = self.latencies.get_or_default(&runner.listed.service);
        latency.observe_event_gap(pause, runner.running(), reading);
    }

    /// A request that read a prompt has left its runner after `stay`.
    pub fn record_residence(&mut self, key: Key, stay: Duration) {
        if let Some(runner) = self.fleet.get(key) {
            self.latencies
                .get_or_default(&runner.listed.service)
                .observe_residence(stay);
        }
    }

    /// Keeps in mind to tell the others where a subject is read.
    fn tell(&mut self, subject: u64, key: Key) {
        let Some(runner) = self.fleet.get(key).map(|runner| runner.hash) else {
            return;
        };
        let holder = CachedPrefix {
            prefix: subject,
            runner,
        };
        if self.holders.len() < HOLDERS && !self.holders.contains(&holder) {
            self.holders.push(holder);
        }
    }

    /// What this host tells the others.
    pub fn packet(&mut self, now: Moment, me: Incarnation, number: u64) -> Packet {
        Packet {
            prefixes: std::mem::take(&mut self.holders),
            ..gossip::packet(me, number, &self.fleet, self.meter.flows(now))
        }
    }

    /// Work that all hosts send to a service.
    pub fn flow(&self, now: Moment, service: &str) -> Flow {
        let others = self.peers.flow(service);
        let own = self.meter.flows(now);
        let own = own.iter().find(|flow| flow.service == others.service);
        own.map_or(others, |own| others.plus(own))
    }

    /// Takes what another host has on runners.
    pub fn receive(&mut self, now: Moment, me: Incarnation, packet: Packet) {
        if let Ok(record) = serde_json::from_slice(&packet.record) {
            self.ledger.receive(now, record);
        }
        for holder in &packet.prefixes {
            if let Some(key) = self.fleet.find_by_hash(holder.runner) {
                self.prefixes.note(now, holder.prefix, key);
            }
        }
        self.peers.receive(now, me, packet, &mut self.fleet, self.hosts);
    }

    /// Takes a repeat out of the shared budget, if one is left.
    pub fn take_retry(&mut self, now: Moment, service: &str) -> bool {
        self.budgets.take(now, service, &self.bounds, self.hosts)
    }
}
