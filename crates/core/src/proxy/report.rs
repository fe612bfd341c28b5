//! Usage reports: one figure for each window, whoever reports it.
//!
//! The holder of the duty adds up what the hosts published, writes the sum to
//! the store under the window's own key if none stands there, and sends what
//! stands. A successor adopts what was written, so that two reports of one
//! window cannot differ, and an answer that was lost is answered by an exact
//! repeat.

use std::time::Duration;

use super::usage::{Ledger, Window};
use crate::lease::Grant;
use crate::store::{Answer, Call, Entry};
use crate::time::Moment;
use crate::write_once::{Outcome, Writer};

/// Store prefix of sealed windows.
pub const SEALED_PREFIX: &str = "radishstair/sealed/";
/// Wait after a window's end for the hosts to publish their counts of it.
const GRACE_MS: u64 = 1_200;
/// Kept back from the time by which a report is due: sealing, sending and one
/// repeat of each fit in.
const SPARE_MS: u64 = 1_900;
/// Windows that a new holder still looks at beyond those whose report is not
/// yet due: late is better than never.
const BEHIND: u64 = 2;
/// Windows after which a sealed one is removed from the store.
const KEPT: u64 = 12;
/// Wait for one answer before it counts as lost.
const PATIENCE: Duration = Duration::from_secs(3);
/// Pause after a report that was not accepted.
const PAUSE: Duration = Duration::from_millis(700);

plain! {
    /// What the shell is to do.
    pub enum Step {
        /// Ask the store.
        Store(Call),
        /// Send the window while the grant covers the moment of sending.
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
    /// How windows are cut and when their reports are due.
    #[derive(Copy)]
    pub struct Schedule {
        /// Length of a window in seconds.
        pub length_s: u64,
        /// Seconds after its end by which the report must be there.
        pub due_s: u64,
    }
}

/// The reporter's progress.
#[derive(Debug)]
pub struct Reporter {
    state: State,
    writer: Writer<Window>,
    sealed: Vec<Sealed>,
    reported: Vec<u64>,
    next: Moment,
}

impl Default for Reporter {
    fn default() -> Self {
        Self {
            state: State::Idle,
            writer: Writer::default(),
            sealed: Vec::new(),
            reported: Vec::new(),
            next: Moment::default(),
        }
    }
}

impl Reporter {
    /// Takes the sealed windows that stand in the store.
    pub fn load_sealed(&mut self, entries: &[Entry]) {
        for entry in entries {
            if let Some(window) = parse(entry) {
                self.keep(window, entry.version);
            }
        }
    }

    /// Not in charge: what is under way is forgotten, what was sealed or accepted is not.
    pub fn stand_down(&mut self) {
        *self = Self {
            sealed: std::mem::take(&mut self.sealed),
            reported: std::mem::take(&mut self.reported),
            ..Self::default()
        };
    }

    /// Moves on while in charge.
    pub fn tick(
        &mut self,
        now: Moment,
        civil_ms: u64,
        plan: Schedule,
        grant: Grant,
        ledger: &Ledger,
    ) -> Option<Step> {
        self.give_up(now);
        if self.state != State::Idle || self.writer.is_busy() || !now.reached(self.next) {
            return None;
        }
        let length_ms = plan.length_s * 1_000;
        let present = civil_ms / length_ms.max(1);
        let in_time = present.saturating_sub(plan.due_s / plan.length_s.max(1));
        let first = in_time.saturating_sub(BEHIND);
        // Those that may still come in time go first: after an outage a tick decides.
        for number in (in_time..present).chain(first..in_time) {
            if self.reported.binary_search(&number).is_ok() {
                continue;
            }
            if let Some(window) = self.find(number).cloned() {
                self.state = State::Reporting { since: now, number };
                return Some(Step::Report(grant, window));
            }
            let end_ms = (number + 1) * length_ms;
            let past_ms = civil_ms - end_ms;
            let late = past_ms + SPARE_MS >= plan.due_s * 1_000;
            if past_ms < GRACE_MS || !(late || is_whole(now, ledger, end_ms)) {
                continue;
            }
            // A window in which nothing ran is reported as well: nobody can tell a missing
            // report from one of nothing. Before the first host there was nothing to run.
            let window = sum(now, ledger, number);
            if !window.counts.is_empty() || ledger.earliest_start_ms().is_some_and(|since| since < end_ms) {
                let call = self.writer.write(now, key(number), window);
                return call.map(Step::Store);
            }
        }
        self.remove_old(now, present)
    }

    /// The store's answer.
    pub fn answer(&mut self, now: Moment, answer: &Answer) -> Option<Step> {
        match self.writer.on_answer(now, answer) {
            Some(Outcome::Pending(call)) => return Some(Step::Store(call)),
            Some(Outcome::Stored(window, version)) => self.keep(window, version),
            Some(Outcome::Missing | Outcome::Failed) => self.next = now + PAUSE,
            // The removal of an old window, which is not repeated.
            None => self.state = State::Idle,
        }
        None
    }

    /// What came of the report.
    pub fn record_result(&mut self, now: Moment, accepted: bool) {
        let State::Reporting { number, .. } = std::mem::replace(&mut self.state, State::Idle) else {
            return;
        };
        if !accepted {
            self.next = now + PAUSE;
            return;
        }
        if let Err(at) = self.reported.binary_search(&number) {
            self.reported.insert(at, number);
        }
        let over = self.reported.len().saturating_sub(KEPT as usize * 2);
        self.reported.drain(..over);
    }

    fn remove_old(&mut self, now: Moment, present: u64) -> Option<Step> {
        let oldest = self.sealed.first()?;
        if oldest.window.number + KEPT >= present {
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

    fn keep(&mut self, window: Window, version: u64) {
        let found = self
            .sealed
            .binary_search_by(|have| have.window.number.cmp(&window.number));
        if let Err(at) = found {
            self.sealed.insert(at, Sealed { window, version });
        }
    }

    fn give_up(&mut self, now: Moment) {
        self.writer.time_out(now, PATIENCE);
        let since = match &self.state {
            State::Idle => return,
            State::Reporting { since, .. } | State::Removing { since } => *since,
        };
        if now.since(since) >= PATIENCE {
            self.state = State::Idle;
        }
    }
}

/// Whether all runs that live have told their counts up to `end_ms`.
///
/// A host that is cut off for some seconds comes back with counts; sealed too
/// early, the window would lack them for good.
fn is_whole(now: Moment, ledger: &Ledger, end_ms: u64) -> bool {
    let mut alive = ledger.runs(now).filter(|(_, alive)| *alive);
    alive.all(|(record, _)| record.until >= end_ms)
}

/// The sum over all runs.
fn sum(now: Moment, ledger: &Ledger, number: u64) -> Window {
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
