//! Counts of started requests by usage window and customer.
//!
//! Each run of a host publishes its presence in the store, which all hosts read, and one record
//! with its counts, which is overwritten as they grow and read only by the reporter. It sends the
//! same record to its peers more often. The counts of a run only increase, so of two copies the
//! later one is right, and the counts of different runs are added. If a host dies, the requests
//! that it counted since its last packet to a peer are lost.

use std::time::Duration;

use crate::id::Incarnation;
use crate::time::Moment;

/// Number of windows in a record; enough for a reporter that takes over late.
const KEPT_WINDOWS: usize = 8;

record! {
    /// Counts of one window.
    #[derive(Default)]
    pub struct Window {
        /// Number of the window since the Unix epoch.
        pub number: u64,
        /// Requests by customer, sorted by customer.
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
            Ok(at) => self.counts[at].1 = self.counts[at].1.saturating_add(count),
            Err(at) => self.counts.insert(at, (customer.to_string(), count)),
        }
    }
}

record! {
    /// Counts that a run of a host publishes.
    pub struct Record {
        /// Name of the host.
        pub host: String,
        /// Identifier of the run.
        pub incarnation: Incarnation,
        /// Start of the run, in milliseconds of Unix time; a later run of the same host implies
        /// that this one has ended.
        pub began: u64,
        /// Address and port for requests from peers.
        pub peer: String,
        /// Unix time in milliseconds up to which the counts are complete.
        pub until: u64,
        /// Whether the run is stopping and will count no more.
        #[serde(default)]
        pub ended: bool,
        /// Counts by window, oldest first.
        pub windows: Vec<Window>,
    }
}

record! {
    /// Presence of a run of a host.
    #[derive(Eq)]
    pub struct Presence {
        /// Name of the host.
        pub host: String,
        /// Identifier of the run.
        pub incarnation: Incarnation,
        /// Start of the run, in milliseconds of Unix time.
        pub began: u64,
        /// Address and port for requests from peers.
        pub peer: String,
        /// Whether the run is stopping.
        #[serde(default)]
        pub ended: bool,
        /// Availability zone of the host; empty if unknown.
        #[serde(default)]
        pub zone: String,
        /// Bandwidth of the host's link in Mbit/s; 0 if unknown.
        #[serde(default)]
        pub link_mbps: u32,
        /// Hash of the run's [secret](super::relay::Secret); empty if it has none.
        #[serde(default)]
        pub relay_hash: String,
    }
}

impl Record {
    /// Presence of the run, without its counts.
    pub fn presence(&self, zone: &str, link_mbps: u32) -> Presence {
        Presence {
            zone: zone.to_string(),
            link_mbps,
            relay_hash: String::new(),
            host: self.host.clone(),
            incarnation: self.incarnation,
            began: self.began,
            peer: self.peer.clone(),
            ended: self.ended,
        }
    }
}

/// Records of all known runs, from the store and from peers.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    rows: Vec<Row>,
}

#[derive(Clone, Debug)]
struct Row {
    record: Record,
    last_alive: Moment,
    /// Store version of its record.
    version: u64,
}

/// Time after its last sign of life for which a run counts as alive: peers get its record every
/// second, and the store gets it once a window.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after its last sign of life at which a run is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

impl Ledger {
    /// Adds a record that its run has just sent, which also proves that the run is alive. A
    /// record older than the known one is ignored.
    pub fn receive(&mut self, now: Moment, record: Record) {
        let run = record.incarnation;
        if self.load(now, record)
            && let Ok(at) = self.find(run)
        {
            self.rows[at].last_alive = now;
        }
    }

    /// Adds a record that was read from the store; returns whether it is newer than the known
    /// one.
    ///
    /// The record may be from a run that has died since. A host that takes over the reporting
    /// duty reads all records for the first time. If they counted as signs of life, the latest
    /// windows would wait for dead runs.
    pub fn load(&mut self, now: Moment, record: Record) -> bool {
        match self.find(record.incarnation) {
            Ok(at) => {
                let have = &mut self.rows[at];
                let is_newer = (record.until, record.ended) > (have.record.until, have.record.ended);
                if is_newer {
                    have.record = record;
                }
                return is_newer;
            }
            Err(at) => self.rows.insert(
                at,
                Row {
                    record,
                    last_alive: now,
                    version: 0,
                },
            ),
        }
        true
    }

    /// Adds a run's presence, which says nothing about its counts.
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
            ..
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

    /// Records that a run has written this version of its record, which proves that it is alive.
    pub fn touch(&mut self, now: Moment, incarnation: Incarnation, version: u64) {
        if let Ok(at) = self.find(incarnation)
            && self.rows[at].version < version
        {
            self.rows[at].version = version;
            self.rows[at].last_alive = now;
        }
    }

    /// Extends the deadlines of all runs by an outage of the store, in which silence has no
    /// meaning.
    pub fn extend_deadlines(&mut self, gap: Duration) {
        for row in &mut self.rows {
            row.last_alive = row.last_alive + gap;
        }
    }

    /// All records, each with whether its run is alive.
    pub fn runs(&self, now: Moment) -> impl Iterator<Item = (&Record, bool)> {
        let newest = self.newest_starts();
        let alive = move |row: &Row| {
            let record = &row.record;
            let is_replaced = newest
                .binary_search_by_key(&record.host.as_str(), |(host, _)| host)
                .is_ok_and(|at| newest[at].1 > record.began);
            !record.ended && now.since(row.last_alive) < ALIVE_TIMEOUT && !is_replaced
        };
        self.rows.iter().map(move |row| (&row.record, alive(row)))
    }

    /// Start of the newest run of each host, sorted by host.
    fn newest_starts(&self) -> Vec<(&str, u64)> {
        let mut starts: Vec<(&str, u64)> = self
            .rows
            .iter()
            .map(|row| (row.record.host.as_str(), row.record.began))
            .collect();
        // The newest run of a host comes first and is kept.
        starts.sort_unstable_by(|a, b| (a.0, b.1).cmp(&(b.0, a.1)));
        starts.dedup_by_key(|(host, _)| *host);
        starts
    }

    /// Record of a run.
    pub fn record(&self, run: Incarnation) -> Option<&Record> {
        self.find(run).ok().map(|at| &self.rows[at].record)
    }

    /// Start of the earliest known run, in milliseconds of Unix time.
    pub fn earliest_start_ms(&self) -> Option<u64> {
        self.rows.iter().map(|row| row.record.began).min()
    }

    /// Removes and returns the runs without a sign of life for long.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<Record> {
        let is_expired = |row: &mut Row| now.since(row.last_alive) >= REMOVE_AFTER;
        self.rows
            .extract_if(.., is_expired)
            .map(|row| row.record)
            .collect()
    }

    /// Position of a run's row, or where to insert it.
    fn find(&self, run: Incarnation) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&run, |row| row.record.incarnation)
    }
}

/// Request counts of this host.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    windows: Vec<Window>,
}

impl Counter {
    /// Counts a request that has started to run.
    pub fn add(&mut self, window: u64, customer: &str) {
        self.window(window).add(customer, 1);
    }

    /// Counts by window, oldest first.
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

    /// Drops the oldest windows; returns the new position of the window at `at`.
    fn trim(&mut self, at: usize) -> usize {
        let excess = self.windows.len().saturating_sub(KEPT_WINDOWS);
        let excess = excess.min(at);
        self.windows.drain(..excess);
        at - excess
    }
}
