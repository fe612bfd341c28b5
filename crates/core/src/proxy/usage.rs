//! Requests that began to run, by usage window and customer.
//!
//! Each run of a host publishes its presence in the store, which all hosts read,
//! and its counts as one record, overwritten as they grow, which only the reporter
//! reads; it tells its peers the same more often. Counts of one run only grow, so of
//! two copies the one that reaches further is right, and runs add up. A host that
//! dies loses what it counted since its peers last heard of it.

use std::time::Duration;

use crate::id::Incarnation;
use crate::time::Moment;

/// Windows that a record keeps: enough for a reporter that takes over late.
const KEPT: usize = 8;

record! {
    /// Counts of one window.
    #[derive(Default)]
    pub struct Window {
        /// Its number since the Unix epoch.
        pub number: u64,
        /// Customer and requests, sorted by customer.
        pub counts: Vec<(String, u64)>,
    }
}

impl Window {
    /// Adds to a customer's count.
    pub fn add(&mut self, customer: &str, count: u64) {
        match self
            .counts
            .binary_search_by(|(have, _)| have.as_str().cmp(customer))
        {
            Ok(at) => self.counts[at].1 += count,
            Err(at) => self.counts.insert(at, (customer.to_string(), count)),
        }
    }
}

record! {
    /// What a run of a host publishes of itself.
    pub struct Record {
        /// Its host.
        pub host: String,
        /// The run.
        pub incarnation: Incarnation,
        /// Civil time in milliseconds at its start; a later run of the same
        /// host tells that this one has ended.
        pub began: u64,
        /// Address and port where peers reach it.
        pub peer: String,
        /// Civil time in milliseconds up to which its counts are whole.
        pub until: u64,
        /// Set when it stops and will count no more.
        #[serde(default)]
        pub ended: bool,
        /// Its counts, oldest window first.
        pub windows: Vec<Window>,
    }
}

record! {
    /// That a run of a host is there.
    #[derive(Eq)]
    pub struct Presence {
        /// Its host.
        pub host: String,
        /// The run.
        pub incarnation: Incarnation,
        /// Civil time in milliseconds at its start.
        pub began: u64,
        /// Address and port where peers reach it.
        pub peer: String,
        /// Set when it stops.
        #[serde(default)]
        pub ended: bool,
    }
}

impl Record {
    /// The run without its counts.
    pub fn presence(&self) -> Presence {
        Presence {
            host: self.host.clone(),
            incarnation: self.incarnation,
            began: self.began,
            peer: self.peer.clone(),
            ended: self.ended,
        }
    }
}

/// Records of all runs, as the store and the peers tell them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    rows: Vec<Row>,
}

#[derive(Clone, Debug)]
struct Row {
    record: Record,
    changed: Moment,
    /// Version of its counts in the store.
    version: u64,
}

/// Time after its last change for which a run counts as alive: peers hear of it
/// each second, and its record in the store comes every window.
const ALIVE: Duration = Duration::from_secs(8);
/// Time after which a run that is gone is forgotten.
const GONE: Duration = Duration::from_secs(60);

impl Ledger {
    /// Takes a record in as its run has just told it, unless one that reaches further is
    /// known; the run lives.
    pub fn receive(&mut self, now: Moment, record: Record) {
        let run = record.incarnation;
        if self.load(now, record)
            && let Ok(at) = self.find(run)
        {
            self.rows[at].changed = now;
        }
    }

    /// Takes a record in that was read in the store, where it may have lain since its run
    /// died; whether it reaches further than what was known.
    ///
    /// A host that has just come into charge reads all of them for the first time. Taken for
    /// signs of life, the windows of the last seconds would wait for the dead.
    pub fn load(&mut self, now: Moment, record: Record) -> bool {
        match self.find(record.incarnation) {
            Ok(at) => {
                let have = &mut self.rows[at];
                let further = (record.until, record.ended) > (have.record.until, have.record.ended);
                if further {
                    have.record = record;
                }
                return further;
            }
            Err(at) => self.rows.insert(
                at,
                Row {
                    record,
                    changed: now,
                    version: 0,
                },
            ),
        }
        true
    }

    /// Takes a run's presence in; what it counted is not known by this.
    pub fn add_presence(&mut self, now: Moment, presence: Presence) {
        if let Ok(at) = self.find(presence.incarnation) {
            self.rows[at].record.ended |= presence.ended;
            return;
        }
        let Presence {
            host,
            incarnation,
            began,
            peer,
            ended,
        } = presence;
        self.receive(
            now,
            Record {
                host,
                incarnation,
                began,
                peer,
                ended,
                until: 0,
                windows: Vec::new(),
            },
        );
    }

    /// A run has written its counts anew, in this version: it lives.
    pub fn touch(&mut self, now: Moment, incarnation: Incarnation, version: u64) {
        if let Ok(at) = self.find(incarnation)
            && self.rows[at].version < version
        {
            self.rows[at].version = version;
            self.rows[at].changed = now;
        }
    }

    /// The store was away for `gap`: silence in that time means nothing.
    pub fn extend_deadlines(&mut self, gap: Duration) {
        for row in &mut self.rows {
            row.changed = row.changed + gap;
        }
    }

    /// All records, each with whether its run lives.
    pub fn runs(&self, now: Moment) -> impl Iterator<Item = (&Record, bool)> {
        let alive = move |row: &Row| {
            let record = &row.record;
            !record.ended && now.since(row.changed) < ALIVE && !self.is_replaced(record)
        };
        self.rows.iter().map(move |row| (&row.record, alive(row)))
    }

    /// Civil time in milliseconds at the start of the first run that is known.
    pub fn earliest_start_ms(&self) -> Option<u64> {
        self.rows.iter().map(|row| row.record.began).min()
    }

    /// Takes out the runs that are long gone, and returns them.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<Record> {
        let gone = |row: &mut Row| now.since(row.changed) >= GONE;
        self.rows.extract_if(.., gone).map(|row| row.record).collect()
    }

    /// Where a run's row stands, or would.
    fn find(&self, run: Incarnation) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&run, |row| row.record.incarnation)
    }

    /// Whether the host has started again since.
    fn is_replaced(&self, record: &Record) -> bool {
        let mut rows = self.rows.iter().map(|row| &row.record);
        rows.any(|other| other.host == record.host && other.began > record.began)
    }
}

/// Counts of this host.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    windows: Vec<Window>,
}

impl Counter {
    /// Counts a request that began to run.
    pub fn add(&mut self, window: u64, customer: &str) {
        self.window(window).add(customer, 1);
    }

    /// The counts so far.
    pub fn windows(&self) -> &[Window] {
        &self.windows
    }

    fn window(&mut self, number: u64) -> &mut Window {
        let found = self.windows.binary_search_by(|have| have.number.cmp(&number));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let window = Window {
                    number,
                    ..Window::default()
                };
                self.windows.insert(at, window);
                self.trim(at)
            }
        };
        &mut self.windows[at]
    }

    /// Drops the oldest windows; the new place of the one at `at`.
    fn trim(&mut self, at: usize) -> usize {
        let over = self.windows.len().saturating_sub(KEPT);
        let over = over.min(at);
        self.windows.drain(..over);
        at - over
    }
}
