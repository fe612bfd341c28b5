//! Keeps the operator's document up to date, separately from the other keys.
//!
//! A host that reads the store checks in each round whether its version is still current,
//! which takes a few bytes. The other hosts receive versions from their peers. A host that
//! lacks the current text reads it from the store, whose link is fast, or from a peer if
//! the store does not answer. A transfer is not given up while bytes keep arriving, up to
//! a limit for the whole call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::backoff;
use radishstair_core::proxy::document::{INLINE_BYTES, Notice, Update};
use radishstair_core::proxy::readers::Readers;
use radishstair_core::proxy::refresh::{Failure, Schedule, Status, Step};
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;

use super::Shared;
use super::call::{self, TRANSFER_TIMEOUTS};
use super::changes;
use super::client::Client;

/// Times that a starting host asks the peer that sent it all keys for the text, before it reads it from
/// the store, and the mean pause between them.
const MAX_FIRST_TRIES: u32 = 4;
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Reads the document whenever a read is due, until the process ends.
pub async fn run(shared: Arc<Shared>, store: Arc<Client>) {
    let mut updater = Updater {
        shared,
        store,
        readers: Readers::default(),
        schedule: Schedule::default(),
        first_tries: 0,
    };
    loop {
        let pause = updater.round().await;
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = updater.shared.document_requested.notified() => {}
        }
    }
}

/// State of the task that updates the document.
struct Updater {
    shared: Arc<Shared>,
    store: Arc<Client>,
    readers: Readers,
    schedule: Schedule,
    /// Times that a peer had no first text yet.
    first_tries: u32,
}

impl Updater {
    /// Runs one round; returns the time until the next one.
    async fn round(&mut self) -> Duration {
        let started_at = self.shared.now();
        let holder = self.shared.document_holder().take();
        if let Some(peer) = holder {
            // After a start of many hosts, the text comes from those that have it.
            let has_none = self.shared.document().version() == 0;
            let max_bytes = if has_none { usize::MAX } else { INLINE_BYTES };
            let is_new = self.fetch_from(peer, max_bytes).await;
            if has_none && !is_new && self.first_tries < MAX_FIRST_TRIES {
                // The peer has just got the keys, and is about to get the text.
                self.first_tries += 1;
                self.shared.document_holder().get_or_insert(peer);
                return backoff::jittered(FIRST_RETRY_PAUSE, rand::random());
            }
        }
        let status = self.status();
        let step = self.schedule.step(status);
        if let Step::Wait(pause) = step {
            return pause;
        }
        let Err(failure) = self.read_store(step, status.is_reader).await else {
            let took = self.shared.now().since(started_at);
            return self.schedule.answered(status.round_interval, took);
        };
        if status.is_behind && self.fetch_from_any_peer().await {
            return self.schedule.answered(status.round_interval, Duration::ZERO);
        }
        let is_store_lost = self.shared.is_store_lost();
        self.schedule.failed(step, failure, is_store_lost, rand::random())
    }

    fn status(&self) -> Status {
        let now = self.shared.now();
        let is_reader = self.shared.is_reader();
        let is_starting = self.shared.awaits_peers();
        let document = self.shared.document();
        Status {
            is_reader,
            is_starting,
            is_behind: document.is_behind(),
            age: document.age(now),
            round_interval: self.shared.settings.load().bounds.round_interval(),
        }
    }

    /// Checks the version in the store, or reads the text.
    async fn read_store(&self, step: Step, is_reader: bool) -> Result<(), Failure> {
        let sent_at = self.shared.now();
        let key = self.shared.adapter.store_keys().document.to_string();
        let version = self.shared.document().version();
        let call = match step {
            Step::Revalidate => Call::GetIfChanged { key, version },
            Step::Fetch | Step::Wait(_) => Call::Get { key },
        };
        let response = call::send_with(&self.shared, &self.store, &call, TRANSFER_TIMEOUTS).await;
        match response.answer {
            Answer::Same => confirm(&self.shared, sent_at),
            // No entry means that the operator has not written a document yet.
            Answer::Found(entries) => {
                let entry = entries.into_iter().next();
                let is_new = entry.is_some_and(|entry| accept(&self.shared, sent_at, entry));
                if is_new && is_reader {
                    self.shared.store_changed.notify_one();
                }
            }
            Answer::Refused => return Err(Failure::Refused),
            Answer::Lost | Answer::Written(_) | Answer::Conflict(_) | Answer::Conflicts(_) => {
                return Err(Failure::Lost);
            }
        }
        self.shared.store_regained(sent_at);
        Ok(())
    }

    /// Fetches the text from any peer; returns whether a new one was received.
    async fn fetch_from_any_peer(&mut self) -> bool {
        let now = self.shared.now();
        let own_address = self.shared.settings.load().peer_listen;
        let Some(peer) = self.readers.any_peer(now, own_address, &self.shared.hosts()) else {
            return false;
        };
        let is_new = self.fetch_from(peer, usize::MAX).await;
        if !is_new {
            self.readers.mark_unresponsive(self.shared.now(), peer);
        }
        is_new
    }

    /// Fetches up to `max_bytes` of text or delta from a peer; returns whether a new text
    /// resulted.
    async fn fetch_from(&self, peer: SocketAddr, max_bytes: usize) -> bool {
        let sent_at = self.shared.now();
        let known_version = self.shared.document().version();
        // A client keeps connections to one address, and peers are seldom asked here.
        let client = Client::default();
        let notice = changes::fetch_document(&self.shared, &client, peer, known_version, max_bytes).await;
        notice.is_ok_and(|notice| apply_notice(&self.shared, sent_at, notice))
    }
}

/// Records that the known text was the newest at `as_of`.
fn confirm(shared: &Shared, as_of: Moment) {
    let (version, is_behind) = {
        let mut document = shared.document();
        document.confirm(as_of);
        (document.version(), document.is_behind())
    };
    let mut state = shared.state();
    state.is_behind = is_behind;
    // A text that could not be parsed is not in force, so it proves nothing about the one
    // that is.
    if state
        .table
        .as_ref()
        .is_some_and(|table| table.revision == version)
    {
        state.freshness.renew(as_of);
        drop(state);
        shared.started.notify_waiters();
    }
}

/// Accepts a text that was the newest at `as_of`; returns whether it is new.
fn accept(shared: &Shared, as_of: Moment, entry: Entry) -> bool {
    let entry = Arc::new(entry);
    let is_new = shared.document().replace(as_of, entry.clone());
    if is_new {
        activate(shared, as_of, &entry);
    }
    confirm(shared, as_of);
    is_new
}

/// Parses a document and puts it in force, unless a newer one is.
fn activate(shared: &Shared, as_of: Moment, entry: &Entry) {
    let table = match shared.adapter.parse_document(entry) {
        Ok(table) => table,
        Err(err) => {
            // The store accepts valid documents only, so this one uses something that this
            // program version does not support. Freshness is not renewed, so that the keys
            // of the previous document are not trusted forever.
            tracing::warn!(event = "entry-not-read", key = entry.key, revision = entry.version, reason = %format!("{err:#}"));
            return;
        }
    };
    let version = table.version;
    if !shared.state().configure(shared.now(), table) {
        return;
    }
    shared.metrics.configuration_version.set(version as i64);
    shared.metrics.configuration_bytes.set(entry.value.len() as i64);
    tracing::info!(
        event = "configuration-in-force",
        version,
        revision = entry.version,
        bytes = entry.value.len(),
        age_ms = shared.now().since(as_of).as_millis() as u64
    );
}

/// Applies a peer's notice requested at `sent_at`; returns whether it had a new text.
pub fn apply_notice(shared: &Shared, sent_at: Moment, notice: Notice) -> bool {
    let (previous_newest, update) = {
        let mut document = shared.document();
        (document.newest_version(), document.receive(sent_at, notice))
    };
    match update {
        Update::Current(as_of) => {
            confirm(shared, as_of);
            false
        }
        Update::Text(as_of, version, value) => {
            let key = shared.adapter.store_keys().document.to_string();
            accept(shared, as_of, Entry { key, version, value })
        }
        Update::Newer(version) => {
            if previous_newest < version {
                tracing::info!(event = "configuration-to-read", revision = version);
            }
            shared.state().is_behind = true;
            shared.document_requested.notify_one();
            false
        }
        Update::Outdated => false,
    }
}

/// Handles a peer's announcement that it has read changes and has this version.
///
/// Of several hosts that read the store, the one with the fastest link announces first. A
/// short text or delta is fetched from it while the others may still be reading.
pub fn on_announcement(shared: &Shared, peer: SocketAddr, version: u64) {
    if version > shared.document().newest_version() {
        *shared.document_holder() = Some(peer);
        shared.document_requested.notify_one();
    }
}

/// Notice for a peer that has version `known_version`, with up to `max_bytes` of text or
/// delta if that is outdated.
pub fn notice(shared: &Shared, known_version: u64, max_bytes: usize) -> Option<Notice> {
    shared.document().notice(shared.now(), known_version, max_bytes)
}
