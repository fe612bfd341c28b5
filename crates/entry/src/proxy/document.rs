//! Keeping the operator's document up to date, apart from the other keys.
//!
//! A host that reads the store asks in each round whether its version still stands,
//! which takes a few bytes. The other hosts hear versions from their peers. Whoever lacks
//! a text reads it from the store, whose link is fast, and from a peer where the store
//! does not answer. A text that is under way is waited for as long as it goes on coming.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::document::{INLINE_BYTES, Notice, Update};
use radishstair_core::proxy::readers::{self, Readers};
use radishstair_core::proxy::refresh::{Failure, Schedule, Status, Step};
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;

use super::Shared;
use super::call::{self, TRANSFER};
use super::changes;
use super::client::Client;

/// Reads the document when it is due, until the process ends.
pub async fn run(shared: Arc<Shared>, store: Arc<Client>) {
    let mut keeper = Keeper {
        shared,
        store,
        share: Readers::default(),
        plan: Schedule::default(),
    };
    loop {
        let pause = keeper.round().await;
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = keeper.shared.document_wanted.notified() => {}
        }
    }
}

struct Keeper {
    shared: Arc<Shared>,
    store: Arc<Client>,
    share: Readers,
    plan: Schedule,
}

impl Keeper {
    /// Reads the document if it is due; the time until the next look.
    async fn round(&mut self) -> Duration {
        let began = self.shared.now();
        let holder = self.shared.document_holder().take();
        if let Some(peer) = holder {
            self.ask(peer, INLINE_BYTES).await;
        }
        let standing = self.standing();
        let step = self.plan.step(standing);
        if let Step::Wait(pause) = step {
            return pause;
        }
        let Err(failure) = self.read(step, standing.is_reader).await else {
            let took = self.shared.now().since(began);
            return self.plan.answered(took);
        };
        if standing.is_behind && self.ask_peer().await {
            return self.plan.answered(Duration::ZERO);
        }
        let is_away = self.shared.is_store_lost();
        self.plan.failed(step, failure, is_away, rand::random())
    }

    fn standing(&self) -> Status {
        let now = self.shared.now();
        let reads = self.is_reader();
        let document = self.shared.document();
        Status {
            is_reader: reads,
            is_behind: document.is_behind(),
            age: document.age(now),
        }
    }

    fn is_reader(&self) -> bool {
        let me = self.shared.settings.load().peer_listen;
        readers::is_reader(me, &self.shared.hosts())
    }

    /// Asks the store.
    async fn read(&self, step: Step, reads: bool) -> Result<(), Failure> {
        let sent = self.shared.now();
        let key = self.shared.adapter.store_keys().document.to_string();
        let version = self.shared.document().version();
        let call = match step {
            Step::Revalidate => Call::GetIfChanged { key, version },
            Step::Fetch | Step::Wait(_) => Call::Get { key },
        };
        let page = call::send_with(&self.shared, &self.store, &call, TRANSFER).await;
        match page.answer {
            Answer::Same => renew(&self.shared, sent),
            // No entry: the operator has written no document yet.
            Answer::Found(entries) => {
                let entry = entries.into_iter().next();
                let is_new = entry.is_some_and(|entry| take(&self.shared, sent, entry));
                if is_new && reads {
                    self.shared.found.notify_one();
                }
            }
            Answer::Refused => return Err(Failure::Refused),
            Answer::Lost | Answer::Written(_) | Answer::Conflict(_) => return Err(Failure::Lost),
        }
        self.shared.store_regained(sent);
        Ok(())
    }

    /// Asks a peer for a text that the store does not give; whether it came.
    async fn ask_peer(&mut self) -> bool {
        let now = self.shared.now();
        let me = self.shared.settings.load().peer_listen;
        let Some(peer) = self.share.any_peer(now, me, &self.shared.hosts()) else {
            return false;
        };
        let is_new = self.ask(peer, usize::MAX).await;
        if !is_new {
            self.share.mark_unresponsive(self.shared.now(), peer);
        }
        is_new
    }

    /// Asks a peer for at most so many bytes of what is lacking; whether that came.
    async fn ask(&self, peer: SocketAddr, most: usize) -> bool {
        let asked = self.shared.now();
        let have = self.shared.document().version();
        // An asker's connections all lead to one address, and peers are asked here once in a while.
        let client = Client::default();
        let told = changes::fetch_document(&self.shared, &client, peer, have, most).await;
        told.is_some_and(|notice| hear(&self.shared, asked, notice))
    }
}

/// The text that is known was the newest at `as_of`.
fn renew(shared: &Shared, as_of: Moment) {
    let (version, is_behind) = {
        let mut document = shared.document();
        document.confirm(as_of);
        (document.version(), document.is_behind())
    };
    let mut state = shared.state();
    state.is_behind = is_behind;
    // A text that could not be read is not in force, and proves nothing of the one that is.
    if state
        .table
        .as_ref()
        .is_some_and(|table| table.revision == version)
    {
        state.freshness.renew(as_of);
    }
}

/// Takes a text that was the newest at `as_of`, and puts it in force; whether it is new.
fn take(shared: &Shared, as_of: Moment, entry: Entry) -> bool {
    let entry = Arc::new(entry);
    let is_new = shared.document().replace(as_of, entry.clone());
    if is_new {
        put_in_force(shared, as_of, &entry);
    }
    renew(shared, as_of);
    is_new
}

fn put_in_force(shared: &Shared, as_of: Moment, entry: &Entry) {
    let table = match shared.adapter.parse_document(entry) {
        Ok(table) => table,
        Err(err) => {
            // The store takes valid documents only; this one says something that this
            // version does not know. The proof is not renewed, so that keys are not
            // trusted for ever.
            tracing::warn!(event = "entry-not-read", key = entry.key, revision = entry.version, reason = %format!("{err:#}"));
            return;
        }
    };
    let version = table.version;
    if !shared.state().configure(table) {
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

/// Takes in what a peer told when it was asked at `asked`; whether it brought a new text.
pub fn hear(shared: &Shared, asked: Moment, notice: Notice) -> bool {
    let (known, news) = {
        let mut document = shared.document();
        (document.newest_version(), document.receive(asked, notice))
    };
    match news {
        Update::Current(as_of) => {
            renew(shared, as_of);
            false
        }
        Update::Text(as_of, version, value) => {
            let key = shared.adapter.store_keys().document.to_string();
            take(shared, as_of, Entry { key, version, value })
        }
        Update::Newer(version) => {
            if known < version {
                tracing::info!(event = "configuration-to-read", revision = version);
            }
            shared.state().is_behind = true;
            shared.document_wanted.notify_one();
            false
        }
        Update::Outdated => false,
    }
}

/// A peer says by itself that it has a version: it has just read something new.
///
/// Of several that read, the one with the fastest link says so first, and is asked for
/// what has changed while the others may still be reading.
pub fn hear_version(shared: &Shared, peer: SocketAddr, version: u64) {
    if version > shared.document().newest_version() {
        *shared.document_holder() = Some(peer);
        shared.document_wanted.notify_one();
    }
}

/// What a peer is told that has the text of version `have`, with at most so many bytes of
/// what it lacks.
pub fn notice(shared: &Shared, have: u64, most: usize) -> Option<Notice> {
    shared.document().notice(shared.now(), have, most)
}
