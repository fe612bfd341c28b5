//! Decisions of the opaque proxy, which forwards requests without interpreting their bodies.
//!
//! A [`State`] holds what one entry host needs to route requests: the operator's document, the
//! list of runners, the age of both, and the retry budgets. It does no I/O. The I/O layer calls
//! it while holding a lock, for microseconds at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::error::{Kind, Refusal};
use crate::time::Moment;

pub mod backoff;
pub mod batch;
pub mod bounds;
pub mod budget;
pub mod capacity;
pub mod clock;
pub mod crash;
pub mod delta;
pub mod document;
mod exchange;
pub mod fleet;
pub mod freshness;
pub mod gossip;
pub mod holders;
pub mod intake;
pub mod latency;
pub mod memory;
pub mod mirror;
pub mod origin;
pub mod overload;
pub mod partition;
pub mod pause;
pub mod placement;
pub mod prefix;
pub mod reach;
pub mod readers;
pub mod refresh;
pub mod regression;
pub mod relay;
pub mod report;
pub mod route;
pub mod run;
pub mod scaling;
pub mod services;
pub mod start;
pub mod stop;
pub mod takeover;
pub mod usage;
pub mod waiting;

pub use bounds::Bounds;
pub use placement::Placement;

use budget::Budgets;
use crash::Crashes;
use fleet::software::Version;
use fleet::{Fleet, Key, Listed};
use freshness::Freshness;
use gossip::summary::Announced;
use gossip::{CachedPrefix, Meter, Peers};
use latency::{Conditions, Latency};
use origin::Origins;
use overload::{Level, Patience};
use partition::Partition;
use placement::{Choice, Demand, Inputs, Selection};
use prefix::Index;
use reach::Reach;
use relay::Relays;
use route::{Route, Table};
use services::Services;
use usage::{Counter, Ledger};

/// Minimum length of a prefix that is announced to the other hosts, in tokens; an announcement
/// costs 16 bytes per request and host.
const MIN_ANNOUNCED_TOKENS: u64 = 100;

/// Ratio to the median slowdown of the service from which a runner counts as a straggler.
const STRAGGLER_RATIO: f64 = 1.6;

/// Least urgent rank; engines support ten ranks.
pub const LAST_RANK: u8 = 9;

plain! {
    /// Fields of a request's head that decide its route, service and customer.
    pub struct RequestHead<'a> {
        /// Value of the `Host` header.
        pub host: &'a str,
        /// Path without the query.
        pub path: &'a str,
        /// API key, if the request has one.
        pub key: Option<&'a str>,
        /// Random number that selects among weighted services.
        pub random: u64,
    }
}

plain! {
    /// A request that may be forwarded.
    pub struct Admission {
        /// Route of the request.
        pub route: Arc<Route>,
        /// Service that runs it.
        pub service: String,
        /// Customer that sent it; `None` on routes that need no key.
        pub customer: Option<String>,
        /// Urgency from 0, the most urgent, to [`LAST_RANK`].
        pub rank: u8,
        /// Whether the engine can copy cached prefixes from another runner.
        pub copies_prefix: bool,
        /// Whether the document must be fresh when the request is forwarded.
        pub keyed: bool,
        /// Version of the document that admitted the request.
        pub version: u64,
        /// Store revision of that document.
        pub revision: u64,
        /// Its level of urgency among the streams to its service; `None` if it is no stream.
        pub level: Option<Level>,
    }
}

/// Routing state of one host.
#[derive(Debug)]
pub struct State {
    /// Service guarantees in force.
    pub bounds: Bounds,
    /// Routing table built from the operator's document; `None` before the first read.
    pub table: Option<Arc<Table>>,
    /// When the document was last confirmed to be the newest.
    pub freshness: Freshness,
    /// Whether a newer document is known to exist but has not been read yet.
    pub is_behind: bool,
    /// When the store last answered this host directly.
    pub store_contact: Freshness,
    /// All runners.
    pub fleet: Fleet,
    /// Services that this host and its peers reach.
    pub reach: Reach,
    /// Peers that connect to runners for this host.
    pub relays: Relays,
    /// Runners that have each prompt prefix cached.
    pub prefixes: Index,
    /// Software versions that began streams.
    pub origins: Origins,
    /// Changes to routes, as far as streams may have begun before them.
    route_history: origin::routes::History,
    /// Crashes of runners, and parts of prompts that cause them.
    pub crashes: Crashes,
    /// Load that other hosts put on runners.
    pub peers: Peers,
    /// Latency model of each service.
    pub latencies: Services<Latency>,
    /// Division of each service's runners between long and short prompts.
    partitions: Services<Partition>,
    /// Rate of prefill work that this host sends to each service.
    pub meter: Meter,
    /// Long prefixes sent to runners since the last packet.
    announcements: Vec<CachedPrefix>,
    /// Prefixes that hosts of this zone have announced, if this host is a delegate.
    pub announced: Announced,
    /// Retry budgets of the services.
    pub budgets: Budgets,
    /// Requests counted by this host.
    pub usage: Counter,
    /// Requests counted by all hosts.
    pub ledger: Ledger,
    /// Number of live hosts, including this one.
    pub hosts: u32,
}

impl State {
    /// State of a host that has just started.
    pub fn new(bounds: Bounds, zone: &str) -> Self {
        Self {
            bounds,
            table: None,
            freshness: Freshness::default(),
            is_behind: false,
            store_contact: Freshness::default(),
            fleet: Fleet::new(zone),
            reach: Reach::default(),
            relays: Relays::default(),
            prefixes: Index::default(),
            origins: Origins::default(),
            route_history: origin::routes::History::default(),
            crashes: Crashes::default(),
            peers: Peers::default(),
            latencies: Services::default(),
            partitions: Services::default(),
            meter: Meter::default(),
            announcements: Vec::new(),
            announced: Announced::default(),
            budgets: Budgets::default(),
            usage: Counter::default(),
            ledger: Ledger::default(),
            hosts: 1,
        }
    }

    /// Replaces the routing table unless the current one is as new or newer; returns whether it
    /// did.
    ///
    /// Reads may complete out of order. Without this check, a slow answer would bring back an
    /// older document with its routes and keys.
    pub fn configure(&mut self, now: Moment, table: Table) -> bool {
        if let Some(former) = &self.table {
            if former.revision >= table.revision {
                return false;
            }
            let overlap = Duration::from_millis(self.bounds.revocation_ms.max(self.bounds.configuration_ms));
            self.route_history.record(now, overlap, former, &table);
        }
        let services = table.services().iter();
        let cold_starts = services.filter_map(|service| Some((service.name.as_str(), service.cold_start?)));
        self.fleet.set_cold_starts(cold_starts);
        self.table = Some(Arc::new(table));
        true
    }

    /// Whether this host has read the document and the list of runners since its start. Requests
    /// with a key also need the document to be confirmed, which follows its activation.
    pub fn has_started(&self, now: Moment) -> bool {
        self.table.is_some() && self.freshness.age(now).is_some() && self.fleet.is_listed()
    }

    /// Whether load balancers should send callers to this host.
    pub fn is_ready(&self, now: Moment) -> bool {
        self.has_started(now) && self.is_fresh(now) && self.reaches_store(now)
    }

    /// Whether this host should ask its callers to go to another host.
    ///
    /// A host that gets no answer from the store can still serve requests, because its peers
    /// confirm the document. If it loses them too, it has to refuse every caller at once. It
    /// therefore sends callers elsewhere while it can still serve them, and refuses none of those
    /// that come meanwhile. If the store answers no host at all, the peers cannot confirm the
    /// document either, and no caller is sent elsewhere.
    pub fn should_hand_off(&self, now: Moment) -> bool {
        self.is_fresh(now) && !self.reaches_store(now)
    }

    fn reaches_store(&self, now: Moment) -> bool {
        let timeout = self
            .bounds
            .store_probe_interval()
            .mul_f64(bounds::STORE_TIMEOUT_PROBES);
        self.store_contact.is_within(now, timeout)
    }

    /// Whether requests with a key may be forwarded.
    ///
    /// A host that is cut off receives no withdrawals, and would accept a withdrawn key forever. It
    /// stops as soon as its document has not been confirmed for too long, whatever the reason.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.freshness.is_within(now, self.bounds.max_age())
    }

    /// Refuses requests if a newer document is known but has not been read in time.
    ///
    /// Requests without a key need no fresh document, since they are served during a store
    /// outage. But while a change is known to exist and has not been read, they might be sent to a
    /// service that should no longer get them.
    fn refuse_superseded(&self, now: Moment) -> Result<(), Refusal> {
        match self.is_behind && !self.freshness.is_within(now, self.bounds.max_superseded_age()) {
            true => Err(Refusal::new(Kind::Stale).detail("a newer configuration has yet to come")),
            false => Ok(()),
        }
    }

    /// Finds the route, service and customer of a request.
    ///
    /// # Errors
    ///
    /// The refusal to return to the caller.
    pub fn admit(&self, now: Moment, head: &RequestHead<'_>) -> Result<Admission, Refusal> {
        let Some(table) = &self.table else {
            return Err(Refusal::new(Kind::Stale).detail("no configuration is known yet"));
        };
        self.refuse_superseded(now)?;
        let is_current = self.freshness.is_within(now, self.bounds.max_rejection_age());
        let reject = |kind| Refusal::new(if is_current { kind } else { Kind::Stale });
        let Some(route) = table.find(head.host, head.path) else {
            return Err(reject(Kind::NotFound));
        };
        let customer = match table.requires_key(route) {
            false => None,
            true => {
                let key = head.key.ok_or_else(|| Refusal::new(Kind::MissingKey))?;
                let found = table.customer(key);
                Some(found.ok_or_else(|| reject(Kind::UnknownKey))?)
            }
        };
        let service = route.pick_service(head.random);
        let engine = table.service(service).and_then(|service| service.engine);
        Ok(Admission {
            service: service.to_string(),
            level: table.level(route, service),
            copies_prefix: engine.is_some_and(|engine| engine.copies_prefix),
            customer: customer.map(|customer| customer.name.clone()),
            rank: table.rank(route, customer, LAST_RANK),
            keyed: customer.is_some(),
            version: table.version,
            revision: table.revision,
            route: route.clone(),
        })
    }

    /// The same admission to another service of the route; `None` if the route does not use it.
    pub fn admission_to(&self, admission: &Admission, service: &str) -> Option<Admission> {
        let table = self.table.as_ref()?;
        if !admission.route.uses(service) {
            return None;
        }
        let engine = table.service(service).and_then(|service| service.engine);
        Some(Admission {
            service: service.to_string(),
            level: table.level(&admission.route, service),
            copies_prefix: engine.is_some_and(|engine| engine.copies_prefix),
            ..admission.clone()
        })
    }

    /// Services at whose runners streams begin that callers may take up.
    pub fn stream_services(&self) -> Vec<&str> {
        let routes = self.table.iter().flat_map(|table| table.routes());
        let streams = routes.filter(|route| route.is_stream());
        let shares = streams.flat_map(|route| route.shares.iter());
        let mut services: Vec<&str> = shares.map(|share| share.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// The only version that can have begun the stream which a request of `arrived` takes up, if there is just one;
    /// needs no memory of the stream.
    pub fn only_origin(
        &self,
        now: Moment,
        unix_ms: u64,
        arrived: Moment,
        admission: &Admission,
    ) -> Option<Version> {
        let (route, service) = (&admission.route, &admission.service);
        // A split route may have begun it at any of its services.
        let is_split = route.shares.len() > 1;
        if is_split || !self.route_history.has_only_present_services(now, &route.name) {
            return None;
        }
        let since = now.saturating_sub(origin::life(route.timeout));
        let is_life_known = self.route_history.has_only_present_timeout(now, &route.name);
        let watched = || {
            let version = self.fleet.only_version_between(since, arrived, service)?;
            let is_only = self.fleet.registers_no_other(arrived, service, version);
            is_only.then_some(version)
        };
        let registered = self.fleet.only_registered(unix_ms, arrived, service);
        registered.or_else(|| is_life_known.then(watched).flatten())
    }

    /// Checks whether an admitted request may still be forwarded; called right before the write
    /// to the runner.
    ///
    /// A newer document may have arrived since the admission, after a network cut even one that
    /// is seconds newer. Its freshness would also cover a request that was admitted by a key
    /// withdrawn since, so the request is admitted again against the newer document.
    ///
    /// # Errors
    ///
    /// The refusal to return to the caller.
    pub fn may_send(
        &self,
        now: Moment,
        admission: &Admission,
        head: &RequestHead<'_>,
    ) -> Result<(), Refusal> {
        if admission.keyed && !self.is_fresh(now) {
            return Err(Refusal::new(Kind::Stale));
        }
        self.refuse_superseded(now)?;
        let current = self.table.as_ref().map(|table| table.revision);
        if current == Some(admission.revision) {
            return Ok(());
        }
        let readmitted = self.admit(now, head)?;
        let is_unchanged = readmitted.customer == admission.customer
            && readmitted.route.name == admission.route.name
            && readmitted.route.uses(&admission.service);
        match is_unchanged {
            true => Ok(()),
            false => Err(Refusal::new(Kind::Stale).detail("the configuration has just changed")),
        }
    }

    /// Replaces the list of runners with the answer to a read that was sent at `sent`. Returns
    /// the addresses at which another process now listens.
    pub fn update_runners(&mut self, now: Moment, sent: Moment, items: Vec<Listed>) -> Vec<SocketAddr> {
        let replaced = self.fleet.update(sent, items);
        self.repartition(now);
        replaced
    }

    /// Divides the runners of each engine service between long and short prompts.
    fn repartition(&mut self, now: Moment) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let engines = table.services().iter().filter(|service| service.engine.is_some());
        for service in engines {
            let rate = self.prefill_rate(now, &service.name);
            let allowed_gap = partition::allowed_event_gap(&table, &service.name);
            let partition = self.partitions.get_or_default(&service.name);
            partition.update(
                self.latencies.get_or_default(&service.name),
                allowed_gap,
                rate.long_us,
                rate.total_us,
            );
            partition::assign(now, self.fleet.runners_mut(), &service.name, partition);
        }
    }

    /// Division of a service's runners between long and short prompts.
    pub fn partition(&self, service: &str) -> Partition {
        self.partitions.get(service).copied().unwrap_or_default()
    }

    /// Chooses a runner and counts the request there.
    pub fn place(&mut self, now: Moment, demand: &Demand, tried: &[Key]) -> Option<Choice> {
        match self.place_in_time(now, demand, tried, None) {
            Placement::Placed(choice) => Some(choice),
            Placement::Overloaded { .. } | Placement::NoRunner => None,
        }
    }

    /// Chooses a runner and counts the request there, unless it would be late on it. Without
    /// `patience`, it may be late.
    pub fn place_in_time(
        &mut self,
        now: Moment,
        demand: &Demand,
        tried: &[Key],
        patience: Option<Patience>,
    ) -> Placement {
        let table = self.table.as_deref();
        let engine = table.and_then(|table| table.service(&demand.service)?.engine);
        let inputs = Inputs {
            fleet: &self.fleet,
            prefixes: &self.prefixes,
            partition: &self.partition(&demand.service),
            latency: self.latencies.get_or_default(&demand.service),
            memory: engine.map(|engine| engine.kv_tokens),
        };
        let choice = match placement::choose(inputs, now, demand, tried, patience) {
            Selection::Runner(choice) => choice,
            Selection::Full(candidates) => {
                self.meter_unplaced(now, demand);
                return Placement::Overloaded { candidates };
            }
            Selection::None => return Placement::NoRunner,
        };
        // Refused work counts as well, so that runners are ordered for it. Work that was not sent, as
        // its runner could not be reached, counts once: more runners do not help a host that has lost
        // its path.
        if !demand.is_counted {
            self.meter
                .add(now, &demand.service, choice.prefill_us, choice.is_long);
        }
        if !choice.in_time && patience.is_some_and(|patience| patience.is_refusable) {
            return Placement::Overloaded {
                candidates: choice.candidates,
            };
        }
        self.fleet
            .start_request(now, choice.key, choice.prefill_us, demand.kv_tokens());
        for (id, tokens) in demand.shared_prefixes() {
            self.prefixes.record(now, id, choice.key);
            if tokens >= MIN_ANNOUNCED_TOKENS {
                self.announce(id, choice.key);
            }
        }
        Placement::Placed(choice)
    }

    /// Counts the work of a request that exceeds the memory of every runner, so that runners are
    /// ordered for it.
    fn meter_unplaced(&mut self, now: Moment, demand: &Demand) {
        if demand.is_counted {
            return;
        }
        let latency = self.latencies.get_or_default(&demand.service);
        let prefill = latency.prefill(demand.prompt_tokens, 0);
        let is_long = self.partition(&demand.service).is_long(prefill);
        self.meter
            .add(now, &demand.service, prefill.as_micros() as u64, is_long);
    }

    /// Records that a request's first event came `elapsed` after it was sent.
    ///
    /// Samples of a straggler are left out of the service's latency model, as they say nothing
    /// about the other runners.
    pub fn record_first_event(&mut self, now: Moment, key: Key, conditions: &Conditions, elapsed: Duration) {
        let Some(runner) = self.fleet.get_mut(key) else {
            return;
        };
        let service = runner.listed.service.clone();
        let latency = self.latencies.get_or_default(&service);
        runner.record_slowdown(elapsed, latency.predict(conditions));
        let slowdown = runner.slowdown;
        if slowdown < STRAGGLER_RATIO * self.fleet.median_slowdown(now, &service) {
            latency.observe_first_event(conditions, elapsed);
        }
    }

    /// Records a stream event that came `gap` after the one before.
    pub fn record_event(&mut self, key: Key, gap: Duration) {
        let Some(runner) = self.fleet.get(key) else {
            return;
        };
        let prefilling = runner.is_prefilling(self.partition(&runner.listed.service).long_prompt);
        let latency = self.latencies.get_or_default(&runner.listed.service);
        latency.observe_event_gap(gap, runner.running(), prefilling);
    }

    /// Records that a request with a prompt has left its runner after `residence`.
    pub fn record_residence(&mut self, key: Key, residence: Duration) {
        if let Some(runner) = self.fleet.get(key) {
            self.latencies
                .get_or_default(&runner.listed.service)
                .observe_residence(residence);
        }
    }

    /// Records the number of live hosts for the parts of the retry budget.
    pub fn record_hosts(&mut self, now: Moment) {
        self.budgets.record_hosts(now, &self.bounds, self.hosts);
    }

    /// Takes one retry from the shared budget, if any is left.
    pub fn take_retry(&mut self, now: Moment, service: &str) -> bool {
        self.budgets.take(now, service, &self.bounds, self.hosts)
    }

    /// Whether the shared budget has a retry left.
    pub fn has_retry(&mut self, now: Moment, service: &str) -> bool {
        self.budgets.has_retry(now, service, &self.bounds, self.hosts)
    }
}
