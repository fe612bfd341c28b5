//! Requests that began to run, by usage window and customer.
//!
//! Each host publishes its counts as one record in the store, overwritten as
//! they grow. A host that dies loses no more than it counted since its last
//! record; one that comes back under its name adds to what stands there.

use crate::id::Incarnation;

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
    /// What a host publishes of itself.
    pub struct Record {
        /// Its run.
        pub incarnation: Incarnation,
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

/// Counts of this host.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    windows: Vec<Window>,
}

impl Tally {
    /// Counts a request that began to run.
    pub fn add(&mut self, window: u64, customer: &str) {
        self.window(window).add(customer, 1);
    }

    /// Takes over what a former run under this name had published.
    pub fn inherit(&mut self, record: &Record) {
        for window in &record.windows {
            for (customer, count) in &window.counts {
                self.window(window.number).add(customer, *count);
            }
        }
    }

    /// The record to publish.
    pub fn record(&self, incarnation: Incarnation, peer: &str, until: u64, ended: bool) -> Record {
        Record {
            incarnation,
            peer: peer.to_string(),
            until,
            ended,
            windows: self.windows.clone(),
        }
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
