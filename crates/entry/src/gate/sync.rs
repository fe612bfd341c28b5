//! Keeping the beliefs up to date from the platform's store.
//!
//! Everything is read anew each round: an open watch is no proof (it may be cut
//! without a sign, or hear nothing while history is dropped), and a round's one
//! or two pages cost less than the changes of all runners would as events.

use std::sync::Arc;
use std::time::Duration;

use radishstair_core::gate::fleet::Listed;
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;
use tokio::sync::mpsc;

use super::Shared;
use super::store::{Asked, Asker};
use crate::upstream::pool::Pool;

/// Time between the beginnings of two rounds. Withdrawn routes must stop within
/// two seconds: a round, an answer that is lost, and the next one fit in.
const ROUND: Duration = Duration::from_millis(900);
/// Pause after a round that failed.
const AGAIN: Duration = Duration::from_millis(150);
/// Longest wait for one page; a slow store takes a quarter of a second.
const PAGE: Duration = Duration::from_millis(700);
/// Pages up to which the list of runners is read in each round. Longer ones are
/// read in every second round, so that hundreds of hosts stay inside the
/// store's rate; the document stands on the first page and is read in each.
const FEW_PAGES: usize = 3;
/// Keys of a page that are asked for.
const LIMIT: u32 = 500;

/// The keys that hosts of this system write, as one round read them.
#[derive(Clone, Debug)]
pub struct Own {
    /// When the question left.
    pub sent: Moment,
    /// All keys under [`PREFIX`].
    pub entries: Vec<Entry>,
}

/// Prefix of this system's own keys.
pub const PREFIX: &str = "radishstair/";

/// Reads round after round until `own` is closed.
pub async fn run(shared: Arc<Shared>, store: Arc<Asker>, runners: Arc<Pool>, own: mpsc::Sender<Own>) {
    let mut reader = Reader {
        shared,
        store,
        runners,
        own,
        odd: Vec::new(),
        lost_since: None,
        skip: false,
    };
    loop {
        let began = reader.shared.now();
        let Some(pause) = reader.round(began).await else {
            return;
        };
        tokio::time::sleep(pause).await;
    }
}

/// What one round has read.
enum Read {
    /// All keys.
    Whole(Vec<Entry>),
    /// The document only.
    Document,
    /// Nothing, or not all: a page was lost.
    Lost,
}

struct Reader {
    shared: Arc<Shared>,
    store: Arc<Asker>,
    runners: Arc<Pool>,
    own: mpsc::Sender<Own>,
    /// Entries that could not be read, so that each is logged once.
    odd: Vec<(String, u64)>,
    lost_since: Option<Moment>,
    /// Whether the next round reads the document only.
    skip: bool,
}

impl Reader {
    /// One round; the pause until the next, or `None` when nobody listens.
    async fn round(&mut self, began: Moment) -> Option<Duration> {
        let entries = match self.read(began).await {
            Read::Whole(entries) => entries,
            Read::Document => {
                self.regained(began);
                return Some(self.pause(began));
            }
            Read::Lost => {
                self.lost(began);
                return Some(AGAIN);
            }
        };
        self.regained(began);
        self.list(began, &entries);
        let own = entries
            .into_iter()
            .filter(|entry| entry.key.starts_with(PREFIX))
            .collect();
        let told = self.own.try_send(Own {
            sent: began,
            entries: own,
        });
        if let Err(mpsc::error::TrySendError::Closed(_)) = told {
            return None;
        }
        Some(self.pause(began))
    }

    /// What is left of a round.
    fn pause(&self, began: Moment) -> Duration {
        ROUND.saturating_sub(self.shared.now().since(began))
    }

    /// All keys, or the document only where the list is long and was read in the
    /// round before.
    ///
    /// The document is put in force as soon as its page has come: behind a long
    /// list it would wait for all pages, and be lost with any of them.
    async fn read(&mut self, began: Moment) -> Read {
        let document = self.shared.dialect.keys().document;
        let mut all: Vec<Entry> = Vec::new();
        let mut pages = 0;
        loop {
            let call = Call::Range {
                prefix: String::new(),
                after: all.last().map(|entry| entry.key.clone()).unwrap_or_default(),
                limit: LIMIT,
            };
            let sent = if pages == 0 { began } else { self.shared.now() };
            let (answer, more) = ask(&self.shared, &self.store, &call, PAGE).await;
            let Answer::Found(page) = answer else {
                return Read::Lost;
            };
            pages += 1;
            if let Some(entry) = page.iter().find(|entry| entry.key == document) {
                self.configure(sent, entry);
                if std::mem::take(&mut self.skip) {
                    return Read::Document;
                }
            }
            let more = more && !page.is_empty();
            all.extend(page);
            if !more {
                self.skip = pages > FEW_PAGES;
                return Read::Whole(all);
            }
        }
    }

    fn list(&mut self, sent: Moment, entries: &[Entry]) {
        let keys = self.shared.dialect.keys();
        let listed = entries.iter().filter(|entry| entry.key.starts_with(keys.runners));
        let listed: Vec<&Entry> = listed.collect();
        let runners: Vec<Listed> = listed
            .into_iter()
            .filter_map(|entry| self.runner(entry))
            .collect();
        let void = self.shared.state().fleet.list(sent, runners);
        for address in void {
            self.runners.forget(address);
        }
    }

    fn configure(&mut self, sent: Moment, entry: &Entry) {
        let have = self.shared.state().table.clone();
        if have.is_none_or(|have| have.revision < entry.version) {
            let table = match self.shared.dialect.table(entry) {
                Ok(table) => table,
                Err(err) => {
                    // The store takes valid documents only; this one says
                    // something that this version does not know. The proof is
                    // not renewed, so that keys are not trusted for ever.
                    self.odd(entry, &err);
                    return;
                }
            };
            let version = table.version;
            if self.shared.state().configure(table) {
                self.shared.metrics.version.set(version as i64);
                tracing::info!(
                    event = "configuration-in-force",
                    version,
                    revision = entry.version
                );
            }
        }
        self.shared.state().proof.renew(sent);
    }

    fn runner(&mut self, entry: &Entry) -> Option<Listed> {
        match self.shared.dialect.runner(entry) {
            Ok(listed) => Some(listed),
            Err(err) => {
                self.odd(entry, &err);
                None
            }
        }
    }

    fn odd(&mut self, entry: &Entry, err: &anyhow::Error) {
        let seen = (entry.key.clone(), entry.version);
        if self.odd.contains(&seen) {
            return;
        }
        tracing::warn!(event = "entry-not-read", key = entry.key, revision = entry.version, reason = %format!("{err:#}"));
        self.odd.retain(|(key, _)| *key != entry.key);
        self.odd.push(seen);
    }

    fn lost(&mut self, began: Moment) {
        if self.lost_since.is_none() {
            self.lost_since = Some(began);
            tracing::warn!(event = "store-lost");
        }
    }

    fn regained(&mut self, now: Moment) {
        if let Some(since) = self.lost_since.take() {
            let away_ms = now.since(since).as_millis() as u64;
            tracing::info!(event = "store-regained", away_ms);
        }
    }
}

/// Asks the store and counts what came of it; also whether there is more.
pub async fn ask(shared: &Shared, asker: &Asker, call: &Call, limit: Duration) -> (Answer, bool) {
    let address = shared.settings.load().store;
    let request = shared.dialect.call(call);
    let (answer, more) = match asker.ask(address, request, limit).await {
        Asked::Answer(status, body) => {
            let page = shared.dialect.answer(call, status, &body);
            (page.answer, page.more)
        }
        Asked::Never => (Answer::Refused, false),
        Asked::Lost => (Answer::Lost, false),
    };
    shared.metrics.platform_call(call.name(), answer.outcome());
    (answer, more)
}
