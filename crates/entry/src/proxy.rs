//! The opaque front: requests are passed on to runners byte by byte, as an
//! operator's document says, in the words of whatever platform it runs on.
//!
//! What it needs of the platform's language stands in [`adapter`]; decisions
//! are in the core crate. A control thread keeps the beliefs up to date and
//! holds duties, traffic threads forward.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use radishstair_core::id::{Incarnation, digest};
use radishstair_core::proxy::State;
use radishstair_core::proxy::clock::WallClock;
use radishstair_core::proxy::document::Document;
use radishstair_core::proxy::mirror::Mirror;
use radishstair_core::proxy::readers::Host;
use radishstair_core::proxy::usage::Record;
use radishstair_core::time::Moment;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::in_flight::{self, InFlightGuard};
use crate::metrics::Metrics;
use adapter::Adapter;

pub mod accept;
pub mod adapter;
pub mod admin;
pub mod buffered;
pub mod call;
pub mod changes;
pub mod client;
pub mod discovery;
pub mod document;
pub mod duty;
pub mod events;
pub mod forward;
pub mod gossip;
pub mod job;
pub mod records;
pub mod reply;
pub mod run;
pub mod settings;
pub mod slot;
pub mod stream;
pub mod sync;

/// Milliseconds before now of which the counts are not yet whole.
const OPEN_MS: u64 = 30;

/// Shared by all threads of the process.
#[derive(Debug)]
pub struct Shared {
    /// This process.
    pub me: Incarnation,
    /// WallClock time in milliseconds at its start.
    pub began: u64,
    /// Clocks.
    pub clock: Clock,
    /// Counters.
    pub metrics: Metrics,
    /// The platform's language.
    pub adapter: Arc<dyn Adapter>,
    /// Settings as last read.
    pub settings: ArcSwap<settings::Settings>,
    /// Whether the process was told to stop.
    pub stopping: AtomicBool,
    state: Mutex<State>,
    civil: Mutex<WallClock>,
    mirror: Mutex<Mirror>,
    document: Mutex<Document>,
    /// Since when the store has not answered this host.
    lost_since: Mutex<Option<Moment>>,
    /// A newer document is known to stand.
    document_wanted: Notify,
    /// The peer that has it, if one said so by itself.
    document_holder: Mutex<Option<SocketAddr>>,
    /// Something new was read in the store; the peers are to hear of it.
    found: Notify,
    /// A peer has read something new in the store.
    nudged: Notify,
    running: in_flight::Counter,
    peers: ArcSwap<Vec<SocketAddr>>,
    /// Where hosts are, as their datagrams tell; sorted by address.
    places: Mutex<Vec<Host>>,
}

impl Shared {
    /// State of a process that has just started.
    pub fn new(settings: settings::Settings, adapter: Arc<dyn Adapter>) -> Arc<Self> {
        let state = State::new(settings.bounds.clone(), &settings.zone);
        let clock = Clock::default();
        let mut civil = WallClock::default();
        Arc::new(Self {
            me: Incarnation(rand::random()),
            began: civil.unix_ms(clock.now()),
            clock,
            metrics: Metrics::default(),
            adapter,
            settings: ArcSwap::from_pointee(settings),
            stopping: AtomicBool::new(false),
            state: Mutex::new(state),
            civil: Mutex::new(civil),
            mirror: Mutex::default(),
            document: Mutex::default(),
            lost_since: Mutex::default(),
            document_wanted: Notify::new(),
            document_holder: Mutex::default(),
            found: Notify::new(),
            nudged: Notify::new(),
            running: in_flight::Counter::default(),
            peers: ArcSwap::default(),
            places: Mutex::default(),
        })
    }

    /// All hosts that live, and where they are as far as they have told.
    fn hosts(&self) -> Vec<Host> {
        let own = self.own_place();
        let places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let place = |address: &SocketAddr| {
            let found = places.binary_search_by_key(address, |host| host.address);
            found.map_or(Host::unlocated(*address), |at| places[at])
        };
        let peers = self.peers.load();
        let hosts = peers.iter().map(|address| match *address == own.address {
            true => own,
            false => place(address),
        });
        hosts.collect()
    }

    /// This host as it tells others.
    fn own_place(&self) -> Host {
        let settings = self.settings.load();
        Host {
            address: settings.peer_listen,
            zone: digest(settings.zone.as_bytes()),
            link_mbps: settings.link_mbps as u32,
        }
    }

    /// Keeps in mind where a host is.
    fn locate(&self, host: Host) {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        match places.binary_search_by_key(&host.address, |have| have.address) {
            Ok(at) => places[at] = host,
            Err(_) => {
                let peers = self.peers.load();
                places.retain(|have| peers.contains(&have.address));
                places.push(host);
                places.sort_unstable_by_key(|have| have.address);
            }
        }
    }

    /// The beliefs; held for microseconds, never across a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The store's keys as last seen; held for as short as the beliefs are.
    fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The operator's document as last read; held for as short as the beliefs are.
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

    /// A round began that the store did not answer.
    fn store_lost(&self, began: Moment) {
        let mut since = self.lost_since.lock().unwrap_or_else(PoisonError::into_inner);
        if since.is_none() {
            *since = Some(began);
            tracing::warn!(event = "store-lost");
        }
    }

    /// The store answered a question that left at `asked`.
    fn store_regained(&self, asked: Moment) {
        let mut since = self.lost_since.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(since) = since.take() {
            let away_ms = asked.since(since).as_millis() as u64;
            tracing::info!(event = "store-regained", away_ms);
            self.document_wanted.notify_one();
        }
    }

    /// Whether the store answers this host nothing.
    fn is_store_lost(&self) -> bool {
        let since = self.lost_since.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_some()
    }

    /// Now.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// WallClock time in milliseconds, free of jumps.
    pub fn civil(&self, now: Moment) -> u64 {
        self.clock_of_windows().unix_ms(now)
    }

    fn clock_of_windows(&self) -> MutexGuard<'_, WallClock> {
        self.civil.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn flight(&self) -> InFlightGuard {
        self.running.track()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.running.get()
    }

    /// What this run publishes of itself.
    pub fn record(&self, ended: bool) -> Record {
        let settings = self.settings.load();
        let until = self.civil(self.now()).saturating_sub(OPEN_MS);
        let state = self.state();
        Record {
            host: settings.host.clone(),
            incarnation: self.me,
            began: self.began,
            peer: settings.peer_listen.to_string(),
            until,
            ended,
            windows: state.usage.windows().to_vec(),
        }
    }

    /// Counts a customer's request that a runner began.
    pub fn count_start(&self, customer: Option<&str>) {
        let Some(customer) = customer else {
            return;
        };
        let now = self.now();
        let mut state = self.state();
        let window = self
            .clock_of_windows()
            .window_number(now, state.bounds.usage_window_s);
        state.usage.add(window, customer);
    }
}
