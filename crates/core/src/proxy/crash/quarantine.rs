//! Parts of prompts whose requests are refused, and single requests that are, as they crash runners.
//!
//! The record stands in the platform's store. It ends when an operator removes the record, and when a request with the
//! part is answered that was on a runner before: no guilty one ever is. Hosts that see such an answer no longer refuse
//! the part, and tell the others. The record of a part also ends when a probe is answered: a single request that one host
//! sends after a pause. That of a request ends by age instead, as a probe could only be the request itself. Hosts agree on
//! the probe by compare-and-swap of the record, which also counts it, so that all hosts together send no more than
//! [`MAX_PROBES`].

use std::time::Duration;

use super::evidence::Tally;
use super::{Scope, Suspect};
use crate::store::Entry;
use crate::time::Moment;

/// Maximum number of probes for one record.
pub const MAX_PROBES: u32 = 2;
/// Time from the record to the first probe, and factor by which each further pause is longer.
const FIRST_PROBE_PAUSE: Duration = Duration::from_secs(120);
const PAUSE_FACTOR: u32 = 10;
/// Time from the record of a request to its end.
const REQUEST_LIFE: Duration = Duration::from_secs(3_600);
/// Time for which a part that another host has announced is refused without a record in the store.
const TOLD_LIFE: Duration = Duration::from_secs(60);
/// Time after which a part without a record is announced again.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of parts.
const MAX_PARTS: usize = 1_024;
/// Longest time after which a refused caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);

record! {
    /// Record of a part under quarantine, as stored.
    pub struct Record {
        /// Name of the service.
        pub service: String,
        /// Id of the part in hexadecimal, or the request.
        pub part: String,
        /// Host that has found it.
        pub found_by: String,
        /// When it was found, in Unix milliseconds.
        pub found_ms: u64,
        /// Number of crashes in which it was found.
        pub crashes: u32,
        /// Number of different requests with it in these.
        pub requests: u32,
        /// Number of crashes without it in the same time.
        pub other_crashes: u32,
        /// Number of probes so far.
        pub probes: u32,
        /// When the next probe may be sent, or the record of a request ends, in Unix milliseconds.
        pub next_probe_ms: u64,
    }
}

impl Record {
    /// Record of a part that this host has found.
    pub fn new(service: &str, part: Suspect, found_by: &str, unix_ms: u64, tally: &Tally) -> Self {
        let (probes, pause) = match part.scope {
            Scope::Part => (0, FIRST_PROBE_PAUSE),
            Scope::Request => (MAX_PROBES, REQUEST_LIFE),
        };
        Self {
            service: service.to_string(),
            part: part.to_string(),
            found_by: found_by.to_string(),
            found_ms: unix_ms,
            crashes: tally.crashes,
            requests: tally.requests,
            other_crashes: tally.others,
            probes,
            next_probe_ms: unix_ms + pause.as_millis() as u64,
        }
    }

    /// The record after a probe that is sent now; `None` if none may be sent.
    pub fn with_probe(&self, unix_ms: u64) -> Option<Self> {
        if !self.may_probe(unix_ms) {
            return None;
        }
        let pause = FIRST_PROBE_PAUSE * PAUSE_FACTOR.pow(self.probes + 1);
        Some(Self {
            probes: self.probes + 1,
            next_probe_ms: unix_ms + pause.as_millis() as u64,
            ..self.clone()
        })
    }

    /// Whether the record of a request has ended by its age.
    pub fn is_outdated(&self, scope: Scope, unix_ms: u64) -> bool {
        scope == Scope::Request && unix_ms >= self.next_probe_ms
    }

    fn may_probe(&self, unix_ms: u64) -> bool {
        self.probes < MAX_PROBES && unix_ms >= self.next_probe_ms
    }

    /// Time after which its callers may come back: the next probe, if there is one, or the end of the record.
    fn retry_after(&self, unix_ms: u64) -> Duration {
        let until_probe = Duration::from_millis(self.next_probe_ms.saturating_sub(unix_ms));
        match self.probes < MAX_PROBES {
            true => until_probe.min(MAX_RETRY_AFTER),
            false => MAX_RETRY_AFTER,
        }
    }
}

/// A record in the store.
#[derive(Clone, Debug)]
struct Stored {
    /// Its key.
    key: String,
    /// Version of the entry.
    version: u64,
    record: Record,
}

#[derive(Clone, Debug)]
struct Row {
    part: Suspect,
    stored: Option<Stored>,
    /// When this host learnt of it.
    begun_at: Moment,
    /// When this host last heard of it other than from the store.
    told_at: Moment,
    /// Record that this host has yet to write, and when it was last announced.
    own: Option<(Record, Option<Moment>)>,
    /// How a request with it was answered meanwhile, so that it is refused no longer.
    refutation: Option<Refutation>,
}

/// What a host knows of an answer to a request under quarantine.
#[derive(Clone, Copy, Debug)]
struct Refutation {
    source: Source,
    /// When the other hosts were last told.
    told_at: Option<Moment>,
}

plain! {
    /// Who has seen an answer.
    #[derive(Copy, Eq)]
    pub enum Source {
        /// This host.
        Own,
        /// Another host, which has told of it.
        Told,
    }
}

plain! {
    /// What happens to a request with a part under quarantine.
    pub enum Action {
        /// It is refused, and may come back after this time.
        Refuse(Duration),
        /// It may be the probe, if this host can replace the entry with the record.
        Probe {
            /// Entry as read.
            entry: Entry,
            /// Record after the probe.
            record: Record,
        },
    }
}

/// Parts under quarantine, as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Sorted by part.
    rows: Vec<Row>,
}

impl Quarantine {
    /// Whether requests with the part are refused.
    pub fn holds(&self, part: Suspect) -> bool {
        self.position(part)
            .is_ok_and(|at| self.rows[at].refutation.is_none())
    }

    /// Records that a request with the part was answered; returns whether the part was refused until now.
    pub(super) fn refute(&mut self, part: Suspect, source: Source) -> bool {
        let Ok(at) = self.position(part) else {
            return false;
        };
        let row = &mut self.rows[at];
        let was_held = row.refutation.is_none();
        row.own = None;
        row.refutation.get_or_insert(Refutation {
            source,
            told_at: None,
        });
        was_held
    }

    /// Parts of which the other hosts have to be told that a request was answered, as their records still stand in the
    /// store; those that this host was told of only if it passes them on.
    pub(super) fn take_refuted(&mut self, now: Moment, passes_on: bool) -> Vec<Suspect> {
        let mut due = Vec::new();
        for row in &mut self.rows {
            if let Some(refutation) = &mut row.refutation
                && (passes_on || refutation.source == Source::Own)
                && refutation
                    .told_at
                    .is_none_or(|at| now.since(at) >= ANNOUNCE_INTERVAL)
            {
                refutation.told_at = Some(now);
                due.push(row.part);
            }
        }
        due
    }

    /// Keys and versions of the records of parts of which a request was answered.
    pub fn refuted_records(&self) -> impl Iterator<Item = (&str, u64)> {
        let refuted = self.rows.iter().filter(|row| row.refutation.is_some());
        let stored = refuted.filter_map(|row| row.stored.as_ref());
        stored.map(|stored| (stored.key.as_str(), stored.version))
    }

    /// Services with parts under quarantine, and when this host learnt of each.
    pub(super) fn parts_begun(&self) -> Vec<(u64, Moment)> {
        let parts = self.rows.iter().filter(|row| row.part.scope == Scope::Part);
        parts.map(|row| (row.part.service, row.begun_at)).collect()
    }

    /// First of these suspects that is under quarantine.
    pub fn find(&self, suspects: &[Suspect]) -> Option<Suspect> {
        suspects.iter().copied().find(|suspect| self.holds(*suspect))
    }

    /// What happens to a request with a part; `None` if the part is not under quarantine.
    pub fn action(&self, part: Suspect, unix_ms: u64) -> Option<Action> {
        let row = &self.rows[self.position(part).ok()?];
        if row.refutation.is_some() {
            return None;
        }
        let Some(stored) = &row.stored else {
            return Some(Action::Refuse(FIRST_PROBE_PAUSE));
        };
        Some(match stored.record.with_probe(unix_ms) {
            None => Action::Refuse(stored.record.retry_after(unix_ms)),
            Some(record) => Action::Probe {
                entry: Entry {
                    key: stored.key.clone(),
                    version: stored.version,
                    value: String::new(),
                },
                record,
            },
        })
    }

    /// Records that this host has found a part.
    pub fn record_found(&mut self, now: Moment, part: Suspect, record: Record) {
        if let Some(row) = self.row(now, part) {
            row.own = Some((record, None));
            row.refutation = None;
        }
    }

    /// Records that another host has announced a part.
    pub fn record_told(&mut self, now: Moment, part: Suspect) {
        self.row(now, part);
    }

    /// Row of a part, created if there is room.
    fn row(&mut self, now: Moment, part: Suspect) -> Option<&mut Row> {
        let at = match self.position(part) {
            Ok(at) => at,
            Err(_) if self.rows.len() >= MAX_PARTS => return None,
            Err(at) => {
                let row = Row {
                    part,
                    stored: None,
                    begun_at: now,
                    told_at: now,
                    own: None,
                    refutation: None,
                };
                self.rows.insert(at, row);
                at
            }
        };
        self.rows[at].told_at = now;
        Some(&mut self.rows[at])
    }

    /// Parts that the other hosts have to be told of, as they do not stand in the store yet.
    pub(super) fn take_announcements(&mut self, now: Moment) -> Vec<Suspect> {
        let mut due = Vec::new();
        for row in &mut self.rows {
            if let Some((_, announced)) = &mut row.own
                && announced.is_none_or(|at| now.since(at) >= ANNOUNCE_INTERVAL)
            {
                *announced = Some(now);
                row.told_at = now;
                due.push(row.part);
            }
        }
        due
    }

    /// Records that this host has yet to write to the store.
    pub fn unwritten(&self) -> impl Iterator<Item = (Suspect, &Record)> {
        let own = |row: &'_ Row| row.own.is_some();
        self.rows
            .iter()
            .filter(move |row| own(row))
            .filter_map(|row| row.own.as_ref().map(|(record, _)| (row.part, record)))
    }

    /// Records that a record stands in the store.
    pub fn record_written(&mut self, now: Moment, part: Suspect) {
        if let Some(row) = self.row(now, part) {
            row.own = None;
        }
    }

    /// Applies the records in the store; returns the parts that are under quarantine from now on, and those that
    /// are no longer.
    pub fn apply(
        &mut self,
        now: Moment,
        stored: Vec<(Suspect, Entry, Record)>,
    ) -> (Vec<Record>, Vec<Suspect>) {
        let mut begun = Vec::new();
        let mut parts: Vec<Suspect> = Vec::with_capacity(stored.len());
        for (part, entry, record) in stored {
            parts.push(part);
            let is_new = !self
                .rows
                .iter()
                .any(|row| row.part == part && row.stored.is_some());
            if is_new {
                begun.push(record.clone());
            }
            if let Some(row) = self.row(now, part) {
                row.own = None;
                let former = row.stored.as_ref();
                if former.is_some_and(|former| former.record.found_ms != record.found_ms) {
                    row.refutation = None;
                }
                row.stored = Some(Stored {
                    key: entry.key,
                    version: entry.version,
                    record,
                });
            }
        }
        parts.sort_unstable();
        let is_listed = |row: &Row| parts.binary_search(&row.part).is_ok();
        let is_waiting = |row: &Row| {
            let is_told = now.since(row.told_at) < TOLD_LIFE;
            row.stored.is_none() && (row.own.is_some() || is_told)
        };
        let (kept, ended) = self
            .rows
            .drain(..)
            .partition(|row| is_listed(row) || is_waiting(row));
        self.rows = kept;
        let ended: Vec<Row> = ended;
        (begun, ended.iter().map(|row| row.part).collect())
    }

    /// Number of parts.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn position(&self, part: Suspect) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&part, |row| row.part)
    }
}
