//! Reverse proxy that forwards opaque requests to runners.
//!
//! Requests and responses are forwarded byte by byte, along the routes of the
//! operator's configuration document. [`adapter`] defines how messages are
//! translated to and from the platform that the host runs on; the decisions
//! are made in the core crate.
//!
//! A control thread keeps the host's state up to date and performs the duties
//! that one host at a time holds. A traffic thread accepts and forwards
//! requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use radishstair_core::id::{Incarnation, digest};
use radishstair_core::proxy::State;
use radishstair_core::proxy::clock::WallClock;
use radishstair_core::proxy::document::Document;
use radishstair_core::proxy::mirror::Mirror;
use radishstair_core::proxy::readers::{self, Host};
use radishstair_core::proxy::relay::{Secret, is_secret};
use radishstair_core::proxy::stop;
use radishstair_core::proxy::usage::Record;
use radishstair_core::proxy::waiting::Waiting;
use radishstair_core::time::Moment;
use tokio::runtime::Handle;
use tokio::sync::{Notify, Semaphore, watch};

use crate::clock::Clock;
use crate::in_flight::{self, InFlightGuard};
use crate::metrics::Metrics;
use crate::upstream::relay::Credentials;
use adapter::Adapter;

pub mod accept;
mod acquire;
pub mod adapter;
pub mod admin;
pub mod body;
pub mod buffered;
pub mod call;
pub mod changes;
pub mod client;
pub mod collector;
mod connect;
mod crashes;
pub mod discovery;
pub mod document;
pub mod duty;
pub mod events;
pub mod forward;
pub mod gossip;
pub mod held;
pub mod job;
mod notices;
mod origins;
pub mod packing;
pub mod paths;
pub mod records;
pub mod relay;
pub mod reply;
pub mod run;
pub mod settings;
pub mod slot;
pub mod stream;
pub mod sync;
pub mod task;
mod trim;
pub mod versions;

/// Number of hosts assumed until the first listing, so that a host that has just started takes a
/// small part of the shared retry budget: all hosts may have started with it.
const ASSUMED_HOSTS: u32 = 1_000;
/// Number of peers to which all keys are sent at the same time: so many that each transfer takes a
/// fraction of a second.
const MIN_FULL_TRANSFERS: usize = 2;
const MBPS_PER_TRANSFER: f64 = 20.0;
/// Age below which usage counts may still change, in milliseconds.
const COUNT_SETTLE_MS: u64 = 30;

/// State shared by all threads of the process.
#[derive(Debug)]
pub struct Shared {
    /// Random id of this process.
    pub incarnation: Incarnation,
    /// Wall-clock time at which the process started, in Unix milliseconds.
    pub started_ms: u64,
    /// When the process started.
    pub started_at: Moment,
    /// Source of the current time.
    pub clock: Clock,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Translates messages for the platform.
    pub adapter: Arc<dyn Adapter>,
    /// Settings as last loaded.
    pub settings: ArcSwap<settings::Settings>,
    /// Schedule of the planned stop, once the process has been asked to stop.
    stop: watch::Sender<Option<stop::Schedule>>,
    /// Whether this host has nothing yet, and asks its peers for it.
    awaits_peers: AtomicBool,
    /// Whether the records of all hosts have been read since the start.
    hosts_known: AtomicBool,
    /// Whether this host reads the keys from the store, and not from a peer.
    reads_store: AtomicBool,
    /// Held while the register of versions is read alone.
    register_turn: tokio::sync::Mutex<()>,
    /// Routing state: document, runners, load and budgets.
    state: Mutex<State>,
    wall_clock: Mutex<WallClock>,
    /// Copy of the store's keys, except the document.
    mirror: Mutex<Mirror>,
    /// The operator's document as last read.
    document: Mutex<Document>,
    /// Start of the current outage of the store, as seen from this host.
    store_lost_since: Mutex<Option<Moment>>,
    /// Notified when a newer document has to be fetched.
    document_requested: Notify,
    /// Host that holds the duty.
    duty_holder: Mutex<Option<SocketAddr>>,
    /// Peer that has announced the newer document.
    document_holder: Mutex<Option<SocketAddr>>,
    /// Notified when a read of the store returned changes, to announce them to peers.
    store_changed: Notify,
    /// Notified when a peer announces that it has read changes from the store.
    peer_announced: Notify,
    /// Notified when the document or the list of runners was read for the first time.
    started: Notify,
    /// Notified when this host's load on a runner has changed, to tell the hosts of its zone.
    load_changed: Notify,
    /// Notified when a path to runners has to be checked.
    path_suspected: Notify,
    /// Notified when a request has left its runner.
    slot_released: Notify,
    /// Requests that wait for such a moment, as all runners were full.
    waiting: Mutex<Waiting>,
    /// Notified when other hosts have to be told or asked which versions began streams.
    origins_pending: Notify,
    /// Rounds of sending such messages.
    origin_rounds: origins::Rounds,
    /// Notified when another host has told such versions.
    origin_told: Notify,
    /// Notified when versions of streams are to be read from the store.
    origins_wanted: Notify,
    /// Notified when something is known of crashes that has not been looked at.
    crash_pending: Notify,
    /// Notified when crashes or quarantines may have to be written to the store.
    crash_unwritten: Notify,
    /// Secret of this run, shown to peers that relay connections.
    secret: Secret,
    /// Runs of hosts and the hashes of their secrets, as published; sorted by run.
    published_hashes: Mutex<Vec<(Incarnation, String)>>,
    /// Connections relayed for other hosts.
    relayed: relay::Relayed,
    /// Runtime of the thread that forwards requests.
    traffic: OnceLock<Handle>,
    /// Memory held for callers.
    memory: Arc<held::Quota>,
    /// Number of requests in flight.
    active_requests: in_flight::Counter,
    /// Number of open connections of callers.
    open_connections: in_flight::Counter,
    /// Addresses of all live hosts, this one included.
    peers: ArcSwap<Vec<SocketAddr>>,
    /// Time that this host's last listing of the store took, in microseconds.
    listing_us: AtomicU64,
    /// Transfers of all keys to starting peers.
    full_transfers: Arc<Semaphore>,
    /// Changes that were packed in the last moments.
    packed_changes: Mutex<Vec<changes::Packed>>,
    /// Zones and links of hosts, taken from their datagrams; sorted by address.
    locations: Mutex<Vec<Host>>,
}

impl Shared {
    /// By what this host shows its peers that it is one.
    fn credentials(&self) -> Credentials {
        Credentials {
            incarnation: self.incarnation,
            secret: self.secret,
        }
    }

    /// Creates the state of a process that has just started.
    pub fn new(settings: settings::Settings, adapter: Arc<dyn Adapter>) -> Arc<Self> {
        let mut state = State::new(settings.bounds.clone(), &settings.zone);
        state.hosts = ASSUMED_HOSTS;
        let full_transfers = MIN_FULL_TRANSFERS + (settings.link_mbps / MBPS_PER_TRANSFER) as usize;
        let memory = held::Quota::new(settings.memory_mb);
        let clock = Clock::default();
        let mut wall_clock = WallClock::default();
        Arc::new(Self {
            incarnation: Incarnation(rand::random()),
            started_at: clock.now(),
            started_ms: wall_clock.unix_ms(clock.now()),
            clock,
            metrics: Metrics::default(),
            adapter,
            settings: ArcSwap::from_pointee(settings),
            stop: watch::Sender::default(),
            awaits_peers: AtomicBool::new(true),
            hosts_known: AtomicBool::new(false),
            reads_store: AtomicBool::new(false),
            register_turn: tokio::sync::Mutex::default(),
            state: Mutex::new(state),
            wall_clock: Mutex::new(wall_clock),
            mirror: Mutex::default(),
            document: Mutex::default(),
            store_lost_since: Mutex::default(),
            document_requested: Notify::new(),
            duty_holder: Mutex::default(),
            document_holder: Mutex::default(),
            store_changed: Notify::new(),
            peer_announced: Notify::new(),
            started: Notify::new(),
            load_changed: Notify::new(),
            path_suspected: Notify::new(),
            slot_released: Notify::new(),
            waiting: Mutex::default(),
            origins_pending: Notify::new(),
            origin_rounds: origins::Rounds::default(),
            origin_told: Notify::new(),
            origins_wanted: Notify::new(),
            crash_pending: Notify::new(),
            crash_unwritten: Notify::new(),
            secret: Secret::new(rand::random()),
            published_hashes: Mutex::default(),
            relayed: relay::Relayed::default(),
            traffic: OnceLock::new(),
            memory,
            active_requests: in_flight::Counter::default(),
            open_connections: in_flight::Counter::default(),
            peers: ArcSwap::default(),
            full_transfers: Arc::new(Semaphore::new(full_transfers)),
            listing_us: AtomicU64::new(0),
            packed_changes: Mutex::default(),
            locations: Mutex::default(),
        })
    }

    /// All live hosts, with zone and link where these are known.
    fn hosts(&self) -> Vec<Host> {
        let own_host = self.own_host();
        let locations = self.locations.lock().unwrap_or_else(PoisonError::into_inner);
        let located = |address: &SocketAddr| {
            let found = locations.binary_search_by_key(address, |host| host.address);
            found.map_or(Host::unlocated(*address), |index| locations[index])
        };
        let peers = self.peers.load();
        let others = peers.iter().filter(|address| **address != own_host.address);
        // This host counts as live before its presence has been read back.
        others.map(located).chain([own_host]).collect()
    }

    /// Whether this host reads the store for others. Until it knows any peers it does not: all hosts
    /// may have started with it.
    fn is_reader(&self) -> bool {
        !self.peers.load().is_empty() && readers::is_reader(self.own_host().address, &self.hosts())
    }

    /// Peers in other zones, sorted by address.
    fn remote_peers(&self) -> Vec<SocketAddr> {
        let own_zone = self.own_host().zone;
        let hosts = self.hosts();
        let remote = hosts
            .iter()
            .filter(|host| host.zone != 0 && host.zone != own_zone);
        let mut remote: Vec<SocketAddr> = remote.map(|host| host.address).collect();
        remote.sort_unstable();
        remote
    }

    /// This host's own address, zone and link.
    fn own_host(&self) -> Host {
        let settings = self.settings.load();
        Host {
            address: settings.peer_listen,
            zone: digest(settings.zone.as_bytes()),
            link_mbps: settings.link_mbps as u32,
        }
    }

    /// Takes these hosts for the live ones, unless others are known.
    fn assume_peers(&self, hosts: &[Host]) {
        if !self.peers.load().is_empty() {
            return;
        }
        let addresses = hosts.iter().map(|host| host.address).collect();
        self.peers.store(Arc::new(addresses));
        self.record_locations(hosts.to_vec());
    }

    /// Stores a host's zone and link.
    fn record_location(&self, host: Host) {
        let mut locations = self.locations.lock().unwrap_or_else(PoisonError::into_inner);
        match locations.binary_search_by_key(&host.address, |other| other.address) {
            Ok(index) => locations[index] = host,
            Err(index) => locations.insert(index, host),
        }
    }

    /// Stores the zones and links that hosts have published, and drops hosts that are no longer
    /// peers.
    fn record_locations(&self, published: Vec<Host>) {
        let peers = self.peers.load();
        let mut is_peer: Vec<SocketAddr> = peers.to_vec();
        is_peer.sort_unstable();
        let mut locations = self.locations.lock().unwrap_or_else(PoisonError::into_inner);
        // Sorting is stable, so a published location goes before one from a datagram.
        let mut known: Vec<Host> = published.into_iter().filter(|host| host.zone != 0).collect();
        known.append(&mut locations);
        known.retain(|host| is_peer.binary_search(&host.address).is_ok());
        known.sort_by_key(|host| host.address);
        known.dedup_by_key(|host| host.address);
        *locations = known;
    }

    /// Peers that this host tells of changes in the store: those of its zone and of zones in which no
    /// host reads the store. Sorted by address.
    fn peers_without_reader(&self) -> Vec<SocketAddr> {
        let own_zone = self.own_host().zone;
        let hosts = self.hosts();
        let readers = readers::readers(&hosts);
        let has_reader = |host: &Host| readers.iter().any(|reader| reader.zone == host.zone);
        let others = hosts
            .iter()
            .filter(|host| host.zone == own_zone || host.zone == 0 || !has_reader(host));
        let mut addresses: Vec<SocketAddr> = others.chain(&readers).map(|host| host.address).collect();
        addresses.sort_unstable();
        addresses
    }

    /// Stores the hashes of the secrets of all present runs.
    fn record_hashes(&self, mut hashes: Vec<(Incarnation, String)>) {
        hashes.sort_unstable();
        let mut published = self
            .published_hashes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *published = hashes;
    }

    /// Whether a text is the secret of a present run.
    fn is_peer(&self, run: Incarnation, secret: &str) -> bool {
        let published = self
            .published_hashes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let found = published.binary_search_by_key(&run, |(run, _)| *run);
        found.is_ok_and(|at| is_secret(secret, &published[at].1))
    }

    /// Whether a byte has passed on a relayed connection within a time before `now`.
    fn is_relaying(&self, now: Moment, within: Duration) -> bool {
        self.relayed.open() > 0 && now.since(self.relayed.last_active()) < within
    }

    /// Host that holds the duty, if it is known.
    fn duty_holder(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.duty_holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the routing state. Hold it for microseconds, never across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Locks the copy of the store's keys, under the same rule as [`state`](Self::state).
    fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Locks the requests that wait for room, under the same rule as [`state`](Self::state).
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Locks the operator's document, under the same rule as [`state`](Self::state).
    fn document(&self) -> MutexGuard<'_, Document> {
        self.document
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn document_holder(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.document_holder
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the store did not answer a round that began at `round_start`.
    fn store_lost(&self, round_start: Moment) {
        let mut since = self
            .store_lost_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if since.is_none() {
            *since = Some(round_start);
            tracing::warn!(event = "store-lost");
        }
    }

    /// Records that the store answered a call sent at `sent`, and ends an outage.
    fn store_regained(&self, sent: Moment) {
        let mut since = self
            .store_lost_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(since) = since.take() {
            let away_ms = sent.since(since).as_millis() as u64;
            tracing::info!(event = "store-regained", away_ms);
            self.document_requested.notify_one();
        }
    }

    /// Whether the store is currently not answering this host.
    fn is_store_lost(&self) -> bool {
        let since = self
            .store_lost_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        since.is_some()
    }

    /// Whether the records of all hosts have been read since the start. Before that, this host
    /// serves callers that come, but can hardly repeat a request elsewhere.
    fn knows_hosts(&self) -> bool {
        self.hosts_known.load(Ordering::Relaxed)
    }

    /// Records that this host has got all keys from a peer, or reads the store itself.
    fn stop_awaiting_peers(&self) {
        if self.awaits_peers.swap(false, Ordering::Relaxed) {
            self.document_requested.notify_one();
        }
    }

    /// Whether this host has nothing yet, and asks its peers for it.
    fn awaits_peers(&self) -> bool {
        self.awaits_peers.load(Ordering::Relaxed)
    }

    /// Current time.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Wall-clock time in Unix milliseconds, unaffected by clock adjustments.
    pub fn wall_clock_ms(&self, now: Moment) -> u64 {
        self.wall_clock().unix_ms(now)
    }

    fn wall_clock(&self) -> MutexGuard<'_, WallClock> {
        self.wall_clock
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether the process has been asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Whether a request that is not passed on yet may still be, as far as a planned stop allows it.
    fn may_begin(&self, now: Moment, deadline: Option<Moment>) -> bool {
        let schedule = self.stop.borrow();
        schedule.is_none_or(|schedule| schedule.may_begin(now, deadline))
    }

    /// Completes at the end of a planned stop, when requests in flight get their final answer.
    async fn wait_for_stop_end(&self) {
        let mut stop = self.stop.subscribe();
        let schedule = match stop.wait_for(Option::is_some).await {
            Ok(schedule) => *schedule,
            Err(_) => None,
        };
        if let Some(schedule) = schedule {
            tokio::time::sleep(self.now().until(schedule.end)).await;
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(&self) -> InFlightGuard {
        self.active_requests.track()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.active_requests.get()
    }

    /// Number of open connections of callers.
    fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Memory held for callers, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.memory.held()
    }

    /// A reservation of memory, empty at first.
    fn hold(&self) -> held::Held {
        held::Held::empty(self.memory.clone())
    }

    /// Usage record of this process, as published in the store and to peers.
    pub fn usage_record(&self, ended: bool) -> Record {
        let settings = self.settings.load();
        let until = self.wall_clock_ms(self.now()).saturating_sub(COUNT_SETTLE_MS);
        let state = self.state();
        Record {
            host: settings.host.clone(),
            incarnation: self.incarnation,
            began: self.started_ms,
            peer: settings.peer_listen.to_string(),
            until,
            ended,
            windows: state.usage.windows().to_vec(),
        }
    }

    /// Counts a request that a runner has started, if it belongs to a customer.
    pub fn count_usage(&self, customer: Option<&str>) {
        let Some(customer) = customer else {
            return;
        };
        let now = self.now();
        let mut state = self.state();
        let window = self.wall_clock().window_number(now, state.bounds.usage_window_s);
        state.usage.add(window, customer);
    }
}
