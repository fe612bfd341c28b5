//! Usage reports: one total per window, whichever host reports it.
//!
//! The holder of the reporting duty adds up the counts that the hosts published, writes the total
//! to the store under a key for that window unless the key exists, and reports the value in the
//! store. A successor uses what its predecessor wrote, so two reports of one window cannot
//! differ, and a report whose answer was lost is repeated exactly.

use std::time::Duration;

use super::usage::{Ledger, Window};
use crate::lease::Grant;
use crate::store::{Answer, Call, Entry};
use crate::time::Moment;
use crate::write_once::{Outcome, Writer};

/// Prefix of the store keys of sealed windows.
pub const SEALED_PREFIX: &str = "radishstair/sealed/";
/// Time after the end of a window for hosts to publish their counts, in milliseconds.
const PUBLISH_GRACE_MS: u64 = 1_200;
/// Time reserved before a report is due, in milliseconds: enough to seal and send it, with one
/// retry of each.
const DEADLINE_MARGIN_MS: u64 = 1_900;
/// Number of overdue windows that a new holder still reports; a late report is better than none.
const MAX_OVERDUE: u64 = 2;
/// Number of windows after which a sealed window is removed from the store.
const KEPT_WINDOWS: u64 = 12;
/// Timeout of a call to the store or of a report.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed report or write.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

plain! {
    /// Next action of the I/O layer.
    pub enum Step {
        /// Send a call to the store.
        Store(Call),
        /// Report the window, provided that the grant is still valid when it is sent.
        Report(Grant, Window),
    }
}

plain! {
    enum State {
        Idle,
        Reporting { since: Moment, number: u64 },
        Removing { since: Moment },
    }
}

plain! {
    struct Sealed {
        window: Window,
        version: u64,
    }
}

plain! {
    /// Length of windows and deadline of reports.
    #[derive(Copy)]
    pub struct Schedule {
        /// Length of a window, in seconds.
        pub length_s: u64,
        /// Time after the end of a window by which its report is due, in seconds.
        pub due_s: u64,
    }
}

/// State of the reporter.
#[derive(Debug)]
pub struct Reporter {
    state: State,
    writer: Writer<Window>,
    sealed: Vec<Sealed>,
    reported: Vec<u64>,
    retry_at: Moment,
}

impl Default for Reporter {
    fn default() -> Self {
        Self {
            state: State::Idle,
            writer: Writer::default(),
            sealed: Vec::new(),
            reported: Vec::new(),
            retry_at: Moment::default(),
        }
    }
}

impl Reporter {
    /// Applies all sealed windows in the store. Windows that it no longer has are forgotten, as the holder of the duty
    /// has removed them; later ones than it has were written after it was read.
    pub fn load_sealed(&mut self, entries: &[Entry]) {
        let mut stored: Vec<u64> = Vec::with_capacity(entries.len());
        for entry in entries {
            if let Some(window) = parse(entry) {
                stored.push(window.number);
                self.add_sealed(window, entry.version);
            }
        }
        stored.sort_unstable();
        if let Some(newest) = stored.last().copied() {
            let is_stored = |number: u64| number > newest || stored.binary_search(&number).is_ok();
            self.sealed.retain(|sealed| is_stored(sealed.window.number));
        }
    }

    /// Number of sealed windows that are known.
    pub fn sealed_count(&self) -> usize {
        self.sealed.len()
    }

    /// Drops actions in progress after the duty is lost; keeps what was sealed or accepted.
    pub fn stand_down(&mut self) {
        *self = Self {
            sealed: std::mem::take(&mut self.sealed),
            reported: std::mem::take(&mut self.reported),
            ..Self::default()
        };
    }

    /// Returns the next action, if any, while this host holds the duty.
    pub fn tick(
        &mut self,
        now: Moment,
        unix_ms: u64,
        schedule: Schedule,
        grant: Grant,
        ledger: &Ledger,
    ) -> Option<Step> {
        self.expire_calls(now);
        if self.state != State::Idle || self.writer.is_busy() || !now.reached(self.retry_at) {
            return None;
        }
        let length_ms = schedule.length_s * 1_000;
        let current = unix_ms / length_ms.max(1);
        let in_time = current.saturating_sub(schedule.due_s / schedule.length_s.max(1));
        let first = in_time.saturating_sub(MAX_OVERDUE);
        // Reports that can still be on time go first: after an outage, a single tick can make the
        // difference.
        for number in (in_time..current).chain(first..in_time) {
            if self.reported.binary_search(&number).is_ok() {
                continue;
            }
            if let Some(window) = self.find(number).cloned() {
                self.state = State::Reporting { since: now, number };
                return Some(Step::Report(grant, window));
            }
            let end_ms = (number + 1) * length_ms;
            let elapsed_ms = unix_ms - end_ms;
            let is_due = elapsed_ms + DEADLINE_MARGIN_MS >= schedule.due_s * 1_000;
            if elapsed_ms < PUBLISH_GRACE_MS || !(is_due || is_complete(now, ledger, end_ms)) {
                continue;
            }
            // A window without requests is reported as well, because a missing report could not
            // be told from an empty one. There was nothing to count before the first host
            // started.
            let window = window_total(now, ledger, number);
            if !window.counts.is_empty()
                || ledger
                    .earliest_start_ms()
                    .is_some_and(|start_ms| start_ms < end_ms)
            {
                let call = self.writer.write(now, key(number), window);
                return call.map(Step::Store);
            }
        }
        self.remove_old(now, current)
    }

    /// Handles an answer of the store.
    pub fn answer(&mut self, now: Moment, answer: &Answer) -> Option<Step> {
        match self.writer.on_answer(now, answer) {
            Some(Outcome::Pending(call)) => return Some(Step::Store(call)),
            Some(Outcome::Stored(window, version)) => self.add_sealed(window, version),
            Some(Outcome::Missing | Outcome::Failed) => self.retry_at = now + RETRY_PAUSE,
            // Answer to the removal of an old window, which is not retried.
            None => self.state = State::Idle,
        }
        None
    }

    /// Records whether the report was accepted.
    pub fn record_result(&mut self, now: Moment, accepted: bool) {
        let State::Reporting { number, .. } = std::mem::replace(&mut self.state, State::Idle) else {
            return;
        };
        if !accepted {
            self.retry_at = now + RETRY_PAUSE;
            return;
        }
        if let Err(at) = self.reported.binary_search(&number) {
            self.reported.insert(at, number);
        }
        let excess = self.reported.len().saturating_sub(KEPT_WINDOWS as usize * 2);
        self.reported.drain(..excess);
    }

    fn remove_old(&mut self, now: Moment, current: u64) -> Option<Step> {
        let oldest = self.sealed.first()?;
        if oldest.window.number.saturating_add(KEPT_WINDOWS) >= current {
            return None;
        }
        let oldest = self.sealed.remove(0);
        self.state = State::Removing { since: now };
        Some(Step::Store(Call::Remove {
            key: key(oldest.window.number),
            expect: oldest.version,
        }))
    }

    fn find(&self, number: u64) -> Option<&Window> {
        let found = self
            .sealed
            .binary_search_by(|have| have.window.number.cmp(&number));
        found.ok().map(|at| &self.sealed[at].window)
    }

    fn add_sealed(&mut self, window: Window, version: u64) {
        let found = self
            .sealed
            .binary_search_by(|have| have.window.number.cmp(&window.number));
        if let Err(at) = found {
            self.sealed.insert(at, Sealed { window, version });
        }
    }

    fn expire_calls(&mut self, now: Moment) {
        self.writer.time_out(now, CALL_TIMEOUT);
        let since = match &self.state {
            State::Idle => return,
            State::Reporting { since, .. } | State::Removing { since } => *since,
        };
        if now.since(since) >= CALL_TIMEOUT {
            self.state = State::Idle;
        }
    }
}

/// Whether all live runs have published their counts up to `end_ms`.
///
/// A host that was cut off for some seconds comes back with its counts. If the window were sealed
/// before, they would be missing from it for good.
fn is_complete(now: Moment, ledger: &Ledger, end_ms: u64) -> bool {
    let mut alive = ledger.runs(now).filter(|(_, alive)| *alive);
    alive.all(|(record, _)| record.until >= end_ms)
}

/// Total of one window over all runs.
fn window_total(now: Moment, ledger: &Ledger, number: u64) -> Window {
    let mut total = Window {
        number,
        ..Window::default()
    };
    let windows = ledger.runs(now).flat_map(|(record, _)| &record.windows);
    for window in windows.filter(|window| window.number == number) {
        for (customer, count) in &window.counts {
            total.add(customer, *count);
        }
    }
    total
}

fn key(number: u64) -> String {
    format!("{SEALED_PREFIX}{number:012}")
}

fn parse(entry: &Entry) -> Option<Window> {
    serde_json::from_str(&entry.value).ok()
}
