//! Keeping the beliefs up to date from the platform's store, but for the operator's
//! [`document`].
//!
//! A few hosts read all keys anew each round: an open watch is no proof (it may be
//! cut without a sign, or hear nothing while history is dropped). The other hosts
//! ask one of them for what has changed, and read the store only where no peer can
//! help; see [`readers`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::backoff::Backoff;
use radishstair_core::proxy::readers::{self, Readers, Source};
use radishstair_core::proxy::refresh::ROUND_INTERVAL;
use radishstair_core::proxy::{STORE_PROBE_INTERVAL, mirror};
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;
use tokio::sync::mpsc;

use super::call::{self, LIMIT};
use super::client::Client;
use super::discovery::Discovery;
use super::records::{self, COUNTS, NOTHING, Own, PREFIX};
use super::{Shared, changes, document};
use crate::upstream::pool::Pool;

/// Shortest time between the beginnings of two rounds, however often peers say
/// that there is something new.
const LEAST: Duration = Duration::from_millis(50);
/// Longest wait for one page; a slow store takes a quarter of a second.
const PAGE: Duration = Duration::from_millis(700);
/// Age of what is known of a long list up to which a host that no peer helps asks the
/// next peer instead of reading it. Hundreds of hosts that read thousands of runners at
/// once kept the store's link full, and each other from reading; runners that leave must
/// get nothing new after two seconds.
const LISTED: Duration = Duration::from_millis(1_600);
/// Times that a host which has just started asks a peer before it reads a long list
/// itself: the peer may have just started, too, and be reading.
const DEFERRED: u32 = 3;

/// Reads round after round until `own` is closed.
pub async fn run(shared: Arc<Shared>, store: Arc<Client>, runners: Arc<Pool>, own: mpsc::Sender<Own>) {
    let mut reader = Reader {
        discovery: Discovery::new(shared.clone(), runners),
        shared,
        store,
        own,
        share: Readers::default(),
        peers: Vec::new(),
        source: None,
        backoff: Backoff::default(),
        deferred: 0,
    };
    while !reader.own.is_closed() {
        let began = reader.shared.now();
        let waits = match reader.round(began).await {
            true => reader.rest(ROUND_INTERVAL, began),
            false => reader.backoff.pause(rand::random()),
        };
        // Peers tell only those that ask them; one that reads has its own rounds.
        let asks = matches!(reader.source, Some(Source::Peer(_)));
        tokio::select! {
            () = tokio::time::sleep(waits) => {}
            () = reader.shared.nudged.notified(), if asks => {
                tokio::time::sleep(reader.rest(LEAST, began)).await;
            }
        }
    }
}

struct Reader {
    shared: Arc<Shared>,
    store: Arc<Client>,
    discovery: Discovery,
    own: mpsc::Sender<Own>,
    share: Readers,
    /// Connections to the peers that were asked, sorted by address.
    peers: Vec<(SocketAddr, Client)>,
    /// Where the last round learned what is new.
    source: Option<Source>,
    backoff: Backoff,
    /// Times that a peer was asked before the first listing.
    deferred: u32,
}

impl Reader {
    /// One round; whether it brought news or the proof that there are none.
    async fn round(&mut self, began: Moment) -> bool {
        let hosts = self.shared.hosts();
        let me = self.shared.settings.load().peer_listen;
        let first = self.share.preferred(began, me, &hosts);
        if let Source::Peer(peer) = first {
            if self.ask(peer).await {
                return self.known(Source::Peer(peer));
            }
            if self.has_long_list(began) {
                return false;
            }
        }
        if self.read().await {
            self.shared.store_regained(began);
            return self.known(Source::Store);
        }
        self.shared.store_lost(began);
        let now = self.shared.now();
        match self.share.fallback(now, me, &hosts) {
            Some(peer) => self.ask(peer).await && self.known(Source::Peer(peer)),
            None => false,
        }
    }

    /// What is left of a span that began with the round.
    fn rest(&self, span: Duration, began: Moment) -> Duration {
        span.saturating_sub(self.shared.now().since(began))
    }

    /// Asks a peer; whether what is known is fresh then.
    async fn ask(&mut self, peer: SocketAddr) -> bool {
        let (after, before) = {
            let mirror = self.shared.mirror();
            (mirror.revision(), mirror.as_of())
        };
        let told = match self.ask_after(peer, after).await {
            // Something was missed; all keys tell what.
            Some(false) => self.ask_after(peer, 0).await,
            told => told,
        };
        let as_of = self.shared.mirror().as_of();
        let now = self.shared.now();
        let fresh = as_of.is_some_and(|as_of| readers::is_recent(now, as_of, before));
        let helped = told == Some(true) && fresh;
        self.shared
            .metrics
            .count_platform_call("peer", if helped { "ok" } else { "refused" });
        if helped {
            self.settle();
        } else {
            if told == Some(true) {
                let age_ms = as_of.map(|as_of| now.since(as_of).as_millis() as u64);
                tracing::info!(event = "peer-not-fresh", %peer, age_ms);
            }
            self.share.mark_unresponsive(self.shared.now(), peer);
        }
        helped
    }

    /// Asks for what came after a revision; false if that was not all.
    async fn ask_after(&mut self, peer: SocketAddr, after: u64) -> Option<bool> {
        let asked = self.shared.now();
        let shared = self.shared.clone();
        let have = shared.document().version();
        let mut told = changes::fetch(&shared, self.connection(peer), peer, after, have).await?;
        if let Some(notice) = told.document.take() {
            document::hear(&shared, asked, notice);
        }
        Some(self.shared.mirror().apply(asked, told))
    }

    /// The connections to a peer; those to hosts that no longer live are dropped.
    fn connection(&mut self, peer: SocketAddr) -> &Client {
        let live = self.shared.peers.load();
        self.peers
            .retain(|(have, _)| *have == peer || live.contains(have));
        let at = match self.peers.binary_search_by_key(&peer, |(have, _)| *have) {
            Ok(at) => at,
            Err(at) => {
                self.peers.insert(at, (peer, Client::default()));
                at
            }
        };
        &self.peers[at].1
    }

    /// Whether a list of several pages is known, and not old.
    fn has_long_list(&self, now: Moment) -> bool {
        let mirror = self.shared.mirror();
        let young = |as_of: Moment| now.since(as_of) < LISTED;
        mirror.len() > LIMIT as usize && mirror.as_of().is_some_and(young)
    }

    /// Reads all keys but the document from the store; whether all pages came.
    async fn read(&mut self) -> bool {
        let mut after = String::new();
        loop {
            let sent = self.shared.now();
            let call = Call::Range {
                prefix: String::new(),
                after: match after.is_empty() {
                    // It sorts before the other keys.
                    true => self.shared.adapter.store_keys().document.to_string(),
                    false => after.clone(),
                },
                limit: LIMIT,
            };
            let page = call::send(&self.shared, &self.store, &call, PAGE).await;
            let Answer::Found(mut entries) = page.answer else {
                return false;
            };
            strip_counts(&mut entries);
            let last = entries.last().filter(|_| page.has_more);
            let last = last.map(|entry| entry.key.clone());
            if after.is_empty()
                && last.is_some()
                && let Some(peer) = self.defers(sent, &entries)
            {
                return self.ask(peer).await;
            }
            self.shared.mirror().add_page(mirror::Page {
                after,
                entries,
                more: last.is_some(),
                revision: page.store_revision,
                sent,
            });
            let Some(last) = last else {
                break;
            };
            after = last;
        }
        if self.settle() {
            self.shared.found.notify_one();
        }
        true
    }

    /// The host to which a long list is left, by its first page: one that reads, while
    /// nothing is known yet, as after a start. When hundreds of hosts start at once, the
    /// store would turn most of them away again and again.
    fn defers(&mut self, now: Moment, first: &[Entry]) -> Option<SocketAddr> {
        if self.deferred >= DEFERRED || self.shared.mirror().revision() > 0 {
            return None;
        }
        let me = self.shared.settings.load().peer_listen;
        match self.share.preferred(now, me, &records::hosts(first)) {
            Source::Store => None,
            Source::Peer(peer) => {
                self.deferred += 1;
                Some(peer)
            }
        }
    }

    /// Puts in force what all keys say; whether any runner has changed.
    fn settle(&mut self) -> bool {
        let keys = self.shared.adapter.store_keys();
        let (as_of, runners, own) = {
            let mirror = self.shared.mirror();
            let Some(as_of) = mirror.as_of() else {
                return false;
            };
            let under = |prefix: &str| mirror.with_prefix(prefix).to_vec();
            (as_of, under(keys.runner_prefix), under(PREFIX))
        };
        let changed = self.discovery.list(as_of, &runners);
        // A full channel is emptied by the next round.
        let _ = self.own.try_send(Own { as_of, entries: own });
        changed
    }

    fn known(&mut self, source: Source) -> bool {
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
        true
    }
}

/// Leaves of the counts only that they have changed, which is all that is told on.
fn strip_counts(entries: &mut [Entry]) {
    for entry in entries.iter_mut().filter(|entry| entry.key.starts_with(COUNTS)) {
        entry.value.clear();
    }
}

/// Asks the store now and then whether it still answers this host, where nothing
/// else has asked it.
pub async fn watch_store(shared: Arc<Shared>, store: Arc<Client>) {
    loop {
        let now = shared.now();
        let key = NOTHING.to_string();
        if !shared.state().store_contact.is_within(now, STORE_PROBE_INTERVAL) {
            call::send(&shared, &store, &Call::GetStale { key }, PAGE).await;
        }
        tokio::time::sleep(STORE_PROBE_INTERVAL / 4).await;
    }
}
