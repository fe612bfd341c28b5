//! Synchronization of the host's state with the platform's store, except for the
//! operator's [`document`].
//!
//! A few hosts list all keys in every round. A watch would not prove that the state is
//! current: it may be disconnected without notice, or miss changes when the store drops
//! history. The other hosts fetch changes from one of these hosts, and read the store only
//! if no peer can help; see [`readers`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use radishstair_core::proxy::backoff::Backoff;
use radishstair_core::proxy::mirror;
use radishstair_core::proxy::readers::{self, Host, Readers, Source, Use};
use radishstair_core::proxy::start::{Reply, Start, Step};
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;
use tokio::sync::mpsc;

use super::call::{self, PAGE_LIMIT};
use super::client::{Client, Timeouts};
use super::discovery::Discovery;
use super::records::{self, KEY_PREFIX, PROBE_KEY, Snapshot};
use super::trim::trim;
use super::{Shared, changes, crashes, document, versions};
use crate::upstream::pool::Pool;

/// Minimum time between the starts of two rounds, however often peers announce changes.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for a short answer of the store; a slow store takes a quarter of a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeouts of one page. It is read on while bytes arrive: when hundreds of hosts start at once,
/// their pages fill the store's link for a second, and pages that are given up halfway and read
/// again would fill it for longer.
const PAGE_TIMEOUTS: Timeouts = Timeouts {
    head: ANSWER_TIMEOUT,
    idle: ANSWER_TIMEOUT,
    total: Duration::from_secs(2),
};
/// Number of readers that a host asks in one round.
const MAX_READERS_ASKED: usize = 3;
/// Time before a change must be in force at which a host whose peer failed reads the store. Until
/// then it asks the next peer: hundreds of hosts that read thousands of runners at once
/// saturated the store's link and blocked each other.
const STORE_READ_RESERVE: Duration = Duration::from_millis(400);
/// Time for which a listing that broke off goes on from its last page. What it then contains is as
/// old as its first page.
const MAX_LISTING_TIME: Duration = Duration::from_secs(6);

/// Runs rounds until the receiver of `snapshots` is closed.
pub async fn run(
    shared: Arc<Shared>,
    store: Arc<Client>,
    pool: Arc<Pool>,
    snapshots: mpsc::Sender<Snapshot>,
) {
    let mut reader = Reader {
        discovery: Discovery::new(shared.clone(), pool),
        shared,
        store,
        snapshots,
        readers: Readers::default(),
        clients: Vec::new(),
        source: None,
        backoff: Backoff::default(),
        listing: None,
        peer_listing: Duration::ZERO,
    };
    reader.start().await;
    while !reader.snapshots.is_closed() {
        let round_start = reader.shared.now();
        let pause = match reader.round(round_start).await {
            true => reader.remaining(reader.round_interval(), round_start),
            false => reader.backoff.pause(rand::random()),
        };
        // A peer's announcement matters only to a host that fetches from peers; one that
        // reads the store keeps to its own rounds.
        let fetches_from_peer = matches!(reader.source, Some(Source::Peer(_)));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = reader.shared.peer_announced.notified(), if fetches_from_peer => {
                tokio::time::sleep(reader.remaining(MIN_ROUND_INTERVAL, round_start)).await;
            }
        }
    }
}

/// State of the task that synchronizes with the store.
struct Reader {
    shared: Arc<Shared>,
    store: Arc<Client>,
    discovery: Discovery,
    snapshots: mpsc::Sender<Snapshot>,
    readers: Readers,
    /// Clients for the peers that were asked, sorted by address.
    clients: Vec<(SocketAddr, Client)>,
    /// Source of the last successful round.
    source: Option<Source>,
    backoff: Backoff,
    /// Listing of the store that broke off.
    listing: Option<Listing>,
    /// Time that a listing of the peer asked last takes.
    peer_listing: Duration,
}

/// Result of asking peers in a round.
enum Fetch {
    /// This peer had fresh data.
    From(SocketAddr),
    /// None had, and this host reads the store now.
    FromStore,
    /// None had, but the known list is recent enough to ask again.
    Later,
}

/// Progress of a listing of the store.
#[derive(Debug)]
struct Listing {
    began: Moment,
    /// Last key of the pages that have arrived; empty before the first.
    after: String,
}

impl Reader {
    /// Gets all keys for the first time, from a peer or the store.
    async fn start(&mut self) {
        let mut start = Start::new(self.shared.now(), self.shared.settings.load().first_start);
        let mut zone_hosts = Vec::new();
        while self.shared.mirror().revision() == 0 && !self.snapshots.is_closed() {
            let now = self.shared.now();
            let own_address = self.shared.settings.load().peer_listen;
            match start.step(now, own_address, &mut self.readers, &zone_hosts) {
                Step::Wait(pause) => tokio::time::sleep(pause).await,
                Step::FindPeers => {
                    let found = self.find_zone_hosts().await;
                    start.found(self.shared.now(), found.is_some(), rand::random());
                    zone_hosts = found.unwrap_or(zone_hosts);
                }
                Step::Ask(peer) => match self.fetch_first_from(peer).await {
                    Ok(()) => tracing::info!(event = "first-keys", %peer),
                    Err(reply) => {
                        let now = self.shared.now();
                        start.asked(now, reply, peer, &mut self.readers, rand::random());
                    }
                },
                Step::List => {
                    self.shared.stop_awaiting_peers();
                    if self.read_runners().await && self.read_store().await {
                        self.shared.store_regained(now);
                        self.record_success(Source::Store);
                    } else {
                        self.shared.store_lost(now);
                        start.list_failed(self.shared.now(), rand::random());
                    }
                }
            }
        }
        tracing::info!(
            event = "started",
            after_ms = self.shared.now().since(self.shared.started_at).as_millis() as u64,
            zone_hosts = zone_hosts.len()
        );
        self.shared.stop_awaiting_peers();
        // Until the records have been applied, the hosts of the zone are the known peers. Without any,
        // this host would take itself for a reader, and all that start with it as well.
        self.shared.assume_peers(&zone_hosts);
        let as_of = self.shared.mirror().as_of().unwrap_or(self.shared.now());
        let pause = self.remaining(self.round_interval(), as_of);
        tokio::time::sleep(pause).await;
    }

    /// Reads which hosts of this zone are present; `None` if the store did not answer.
    async fn find_zone_hosts(&self) -> Option<Vec<Host>> {
        let prefix = records::zone_prefix(&self.shared.settings.load().zone);
        Some(records::hosts(&self.read_prefix(&prefix).await?))
    }

    /// Fetches all keys from a peer.
    async fn fetch_first_from(&mut self, peer: SocketAddr) -> Result<(), Reply> {
        let fetched = self.fetch_after(peer, 0).await;
        let is_complete = fetched.map_err(|failure| match failure {
            changes::Failure::NotReady => Reply::Starting,
            changes::Failure::Lost => Reply::Failed,
        })?;
        if !is_complete {
            return Err(Reply::Failed);
        }
        self.apply();
        if self.shared.document().version() == 0 {
            *self.shared.document_holder() = Some(peer);
        }
        Ok(())
    }

    /// Runs one round; returns whether it brought changes, or proof that there are none.
    async fn round(&mut self, round_start: Moment) -> bool {
        let hosts = self.shared.hosts();
        let own_address = self.shared.settings.load().peer_listen;
        if !readers::is_reader(own_address, &hosts) {
            match self.fetch_from_readers(own_address, &hosts).await {
                Fetch::From(peer) => return self.record_success(Source::Peer(peer)),
                Fetch::Later => return false,
                Fetch::FromStore => {}
            }
        }
        if self.read_runners().await && self.read_store().await {
            self.shared.store_regained(round_start);
            return self.record_success(Source::Store);
        }
        self.shared.store_lost(round_start);
        let now = self.shared.now();
        match self.readers.fallback(now, own_address, &hosts) {
            Some(peer) => self.fetch_from(peer).await && self.record_success(Source::Peer(peer)),
            None => false,
        }
    }

    /// Fetches changes from a reader, or else from a deputy.
    async fn fetch_from_readers(&mut self, own_address: SocketAddr, hosts: &[Host]) -> Fetch {
        for _ in 0..MAX_READERS_ASKED {
            let now = self.shared.now();
            let Source::Peer(peer) = self.readers.preferred(now, own_address, hosts) else {
                break;
            };
            if self.fetch_from(peer).await {
                return Fetch::From(peer);
            }
            if !self.has_recent_list(self.shared.now()) {
                return Fetch::FromStore;
            }
        }
        let deputies = readers::deputies(own_address, hosts);
        if deputies.iter().any(|host| host.address == own_address) {
            return Fetch::FromStore;
        }
        if let Some(peer) = self.readers.deputy(self.shared.now(), own_address, hosts)
            && self.fetch_from(peer).await
        {
            return Fetch::From(peer);
        }
        match self.has_recent_list(self.shared.now()) {
            true => Fetch::Later,
            false => Fetch::FromStore,
        }
    }

    /// Remainder of a time span that began with the round.
    fn remaining(&self, span: Duration, round_start: Moment) -> Duration {
        span.saturating_sub(self.shared.now().since(round_start))
    }

    /// Fetches changes from a peer; returns whether the state is fresh afterwards.
    async fn fetch_from(&mut self, peer: SocketAddr) -> bool {
        let (after, previous_as_of) = {
            let mirror = self.shared.mirror();
            (mirror.revision(), mirror.as_of())
        };
        let mut fetched = self.fetch_after(peer, after).await;
        if fetched == Ok(false) {
            // Changes were missed, so all keys are fetched.
            fetched = self.fetch_after(peer, 0).await;
        }
        let as_of = self.shared.mirror().as_of();
        let now = self.shared.now();
        let round_interval = self.round_interval();
        let received = as_of.filter(|_| fetched == Ok(true));
        let listing = self.peer_listing;
        let use_of = |as_of| readers::use_of(now, round_interval, listing, as_of, previous_as_of);
        let usage = received.map_or(Use::Old, use_of);
        if usage != Use::Old {
            self.apply();
        }
        let helped = usage == Use::Fresh;
        self.shared
            .metrics
            .count_platform_call("peer", if helped { "ok" } else { "refused" });
        if !helped {
            match received {
                Some(as_of) => {
                    let age_ms = now.since(as_of).as_millis() as u64;
                    tracing::info!(event = "peer-not-fresh", %peer, age_ms, newer = usage == Use::Newer);
                    self.readers.mark_outdated(now, peer);
                }
                None => self.readers.mark_unresponsive(now, peer),
            }
        }
        helped
    }

    /// Fetches the changes after a revision; false if they were not complete.
    async fn fetch_after(&mut self, peer: SocketAddr, after: u64) -> Result<bool, changes::Failure> {
        let sent_at = self.shared.now();
        let shared = self.shared.clone();
        let known_version = shared.document().version();
        let mut changes = changes::fetch(&shared, self.client_for(peer), peer, after, known_version).await?;
        self.peer_listing = Duration::from_micros(changes.listing_us);
        if let Some(notice) = changes.document.take() {
            document::apply_notice(&shared, sent_at, notice);
        }
        // A host of a former version sends all values.
        let mut entries: Vec<Entry> = changes.items.drain(..).map(Entry::from).collect();
        trim(&shared, entries.iter_mut());
        changes.items = entries.into_iter().map(mirror::Item::from).collect();
        Ok(self.shared.mirror().apply(sent_at, changes))
    }

    /// Client for a peer; clients for hosts that are no longer live are dropped.
    fn client_for(&mut self, peer: SocketAddr) -> &Client {
        let live = self.shared.peers.load();
        self.clients
            .retain(|(address, _)| *address == peer || live.contains(address));
        let index = match self.clients.binary_search_by_key(&peer, |(address, _)| *address) {
            Ok(index) => index,
            Err(index) => {
                self.clients.insert(index, (peer, Client::default()));
                index
            }
        };
        &self.clients[index].1
    }

    /// Time between the starts of two rounds.
    fn round_interval(&self) -> Duration {
        self.shared.settings.load().bounds.round_interval()
    }

    /// Whether a list is known that is not too old to ask another peer first.
    fn has_recent_list(&self, now: Moment) -> bool {
        let bound = self.shared.settings.load().bounds.change_bound();
        let is_recent = |as_of: Moment| now.since(as_of) + STORE_READ_RESERVE < bound;
        self.shared.mirror().as_of().is_some_and(is_recent)
    }

    /// Reads the runners alone before the first complete listing; returns whether a listing can
    /// follow.
    ///
    /// The runners are a small part of all keys, and a host can serve as soon as it knows them and
    /// the document. After a power loss of all hosts, the listings of hundreds of them take
    /// seconds.
    async fn read_runners(&mut self) -> bool {
        if self.shared.mirror().revision() > 0 {
            return true;
        }
        let keys = self.shared.adapter.store_keys();
        let Some(zones) = self.read_prefix(keys.evacuation_prefix).await else {
            return false;
        };
        self.set_evacuated(&zones);
        let Some(quarantined) = self.read_prefix(crashes::QUARANTINE_PREFIX).await else {
            return false;
        };
        crashes::apply(&self.shared, &quarantined);
        let sent_at = self.shared.now();
        // A part of the list would make the other runners look gone.
        let Some(runners) = self.read_prefix(keys.runner_prefix).await else {
            return false;
        };
        self.discovery.apply(sent_at, &runners);
        true
    }

    /// Reads all keys with a prefix; `None` if a page did not arrive.
    async fn read_prefix(&self, prefix: &str) -> Option<Vec<Entry>> {
        let mut all: Vec<Entry> = Vec::new();
        loop {
            let call = Call::Range {
                prefix: prefix.to_string(),
                after: all.last().map_or_else(String::new, |entry| entry.key.clone()),
                limit: PAGE_LIMIT,
            };
            let response = call::send_with(&self.shared, &self.store, &call, PAGE_TIMEOUTS).await;
            let Answer::Found(mut entries) = response.answer else {
                return None;
            };
            trim(&self.shared, entries.iter_mut());
            let is_last = !response.has_more || entries.is_empty();
            all.extend(entries);
            if is_last {
                return Some(all);
            }
        }
    }

    /// Applies the entries of the evacuated zones.
    fn set_evacuated(&self, entries: &[Entry]) {
        let prefix = self.shared.adapter.store_keys().evacuation_prefix;
        let zones = entries.iter().filter_map(|entry| entry.key.strip_prefix(prefix));
        let zones = zones.map(str::to_string).collect();
        let now = self.shared.now();
        let mut state = self.shared.state();
        if state.fleet.set_evacuated(now, zones) {
            let zones = state.fleet.evacuated_zones().join(",");
            tracing::info!(event = "evacuated-zones-changed", zones);
        }
    }

    /// Reads all keys except the document from the store; returns whether all pages arrived. If not,
    /// the next call goes on from the last page that did: beginning again and again would keep an
    /// overloaded store at its limit.
    async fn read_store(&mut self) -> bool {
        let now = self.shared.now();
        let broken_off = self.listing.take();
        let recent = broken_off.filter(|listing| now.since(listing.began) < MAX_LISTING_TIME);
        let mut listing = recent.unwrap_or(Listing {
            began: now,
            after: String::new(),
        });
        loop {
            let sent_at = self.shared.now();
            let call = Call::Range {
                prefix: String::new(),
                after: match listing.after.is_empty() {
                    // The document's key sorts before the other keys.
                    true => self.shared.adapter.store_keys().document.to_string(),
                    false => listing.after.clone(),
                },
                limit: PAGE_LIMIT,
            };
            let response = call::send_with(&self.shared, &self.store, &call, PAGE_TIMEOUTS).await;
            let Answer::Found(mut entries) = response.answer else {
                self.listing = Some(listing);
                return false;
            };
            self.trim_changed(&mut entries);
            let last = entries.last().filter(|_| response.has_more);
            let last = last.map(|entry| entry.key.clone());
            self.shared.mirror().add_page(mirror::Page {
                after: listing.after,
                entries,
                has_more: last.is_some(),
                revision: response.store_revision,
                sent: sent_at,
            });
            let Some(last) = last else {
                break;
            };
            listing.after = last;
        }
        let took = self.shared.now().since(now);
        self.shared
            .listing_us
            .store(took.as_micros() as u64, Ordering::Relaxed);
        if self.apply() {
            self.shared.store_changed.notify_one();
        }
        true
    }

    /// Trims the entries of a page that are not known with the same version.
    fn trim_changed(&self, entries: &mut [Entry]) {
        let changed: Vec<bool> = {
            let mirror = self.shared.mirror();
            let has_changed = |entry: &Entry| !mirror.has_version(&entry.key, entry.version);
            entries.iter().map(has_changed).collect()
        };
        let with_change = entries.iter_mut().zip(changed);
        let changed = with_change.filter_map(|(entry, has_changed)| has_changed.then_some(entry));
        trim(&self.shared, changed);
    }

    /// Applies the current keys to the state; returns whether any runner has changed.
    fn apply(&mut self) -> bool {
        let keys = self.shared.adapter.store_keys();
        let (as_of, evacuated_zones, runners, own_entries) = {
            let mirror = self.shared.mirror();
            let Some(as_of) = mirror.as_of() else {
                return false;
            };
            let entries_under = |prefix: &str| mirror.with_prefix(prefix).to_vec();
            (
                as_of,
                entries_under(keys.evacuation_prefix),
                entries_under(keys.runner_prefix),
                entries_under(KEY_PREFIX),
            )
        };
        self.set_evacuated(&evacuated_zones);
        crashes::apply(&self.shared, &own_entries);
        versions::apply(&self.shared, as_of, &own_entries);
        let changed = self.discovery.apply(as_of, &runners);
        // If the channel is full, a later round sends a newer snapshot.
        let _ = self.snapshots.try_send(Snapshot {
            as_of,
            entries: own_entries,
        });
        changed
    }

    /// Records a successful round and its source; always true.
    fn record_success(&mut self, source: Source) -> bool {
        self.backoff.reset();
        if self.source != Some(source) {
            let (from, peer) = match source {
                Source::Store => ("store", None),
                Source::Peer(peer) => ("peer", Some(peer.to_string())),
            };
            tracing::info!(
                event = "reads-from",
                from,
                peer,
                peers = self.shared.peers.load().len()
            );
        }
        self.source = Some(source);
        let reads_store = source == Source::Store;
        self.shared.reads_store.store(reads_store, Ordering::Relaxed);
        true
    }
}

/// Probes the store at intervals, unless another call was answered recently.
pub async fn probe_store(shared: Arc<Shared>, store: Arc<Client>) {
    loop {
        let now = shared.now();
        let key = PROBE_KEY.to_string();
        let interval = shared.settings.load().bounds.store_probe_interval();
        if !shared.state().store_contact.is_within(now, interval) {
            call::send(&shared, &store, &Call::GetStale { key }, ANSWER_TIMEOUT).await;
        }
        tokio::time::sleep(interval / 4).await;
    }
}
