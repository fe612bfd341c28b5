//! The reporter: collects, seals, reports, in that order.
//!
//! What another reporter sealed is adopted as it stands, so two processes that
//! both believe they are in charge still report the same figures; and a report
//! is sent only inside the lease, so they do not both send.

use std::time::Duration;

use super::gather::add_part;
use super::sealed_until;
use crate::lease::Grant;
use crate::peer::{Bundle, Collect, Cursor, Part, Row, Span};
use crate::store::{Answer, Call};
use crate::time::Moment;
use crate::write_once::{Outcome, Writer};

/// Store prefix of sealed windows.
pub const SEALED_PREFIX: &str = "usage/sealed/";
/// Store key that tells how far reports went.
pub const PROGRESS_KEY: &str = "usage/head";
/// Wait for the zones' answers to a collection.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(4);
/// Wait for one store answer or report before it counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause after a failed step.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Milliseconds after which a source that is silent loses its cursor, and a
/// chunk that is older is not counted any more: both in one rule, so that a
/// chunk cannot be counted again once its cursor is gone.
pub const RETENTION_MS: u64 = 24 * 3_600_000;

record! {
    /// Figures of one customer and class in a report.
    pub struct Line {
        /// Customer.
        pub customer: String,
        /// Request class.
        pub class: String,
        /// Whole answers.
        pub calls: u64,
        /// Prompt tokens.
        pub prompt: u64,
        /// Generated tokens that went to callers.
        pub tokens: u64,
        /// Broken answers.
        pub broken: u64,
        /// Window in which it was counted, when that was an earlier one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub late_from: Option<u64>,
    }
}

record! {
    /// A source's sealed chunks.
    pub struct Checkpoint {
        /// Source.
        pub source: crate::id::Incarnation,
        /// Highest sealed chunk.
        pub number: u64,
        /// Window in which the source last moved.
        pub moved: u64,
    }
}

record! {
    /// A sealed window.
    pub struct SealedWindow {
        /// Place in the chain of seals, from 1 and without gaps. A reporter
        /// that was away must adopt each seal it missed before it can add
        /// one; skipping one would count that one's chunks twice.
        pub number: u64,
        /// Start of the window, in milliseconds since the Unix epoch.
        pub window: u64,
        /// Figures, for good.
        pub lines: Vec<Line>,
        /// Cursors after it.
        pub marks: Vec<Checkpoint>,
    }
}

record! {
    /// How far reports went; a hint that saves reading, never trusted alone.
    pub struct Progress {
        /// Number of the last seal known to be reported.
        pub reported: u64,
    }
}

plain! {
    /// What the shell is to do.
    pub enum Effect {
        /// Ask the store.
        Store(Call),
        /// Ask every zone.
        Collect(Collect),
        /// Send to the usage interface while the grant covers it.
        Report(Grant, SealedWindow),
    }
}

plain! {
    enum State {
        Idle,
        ReadingProgress { since: Moment },
        ReadingWindows { since: Moment, head: u64 },
        Ready,
        Collecting { since: Moment, window: u64, bundle: Bundle },
        Sealing,
        Reporting { since: Moment },
        RecordingProgress { since: Moment },
    }
}

/// The reporter's progress.
#[derive(Debug)]
pub struct Reporter {
    state: State,
    writer: Writer<SealedWindow>,
    unreported: Vec<SealedWindow>,
    last_sealed: Option<SealedWindow>,
    progress_version: u64,
    next_step: Moment,
}

impl Default for Reporter {
    fn default() -> Self {
        Self {
            state: State::Idle,
            writer: Writer::default(),
            unreported: Vec::new(),
            last_sealed: None,
            progress_version: 0,
            next_step: Moment::default(),
        }
    }
}

impl Reporter {
    /// Moves on while in charge; starts afresh when not.
    pub fn tick(
        &mut self,
        now: Moment,
        grant: Option<Grant>,
        length: Duration,
        grace: Duration,
    ) -> Option<Effect> {
        let Some(grant) = grant else {
            *self = Self::default();
            return None;
        };
        self.time_out(now);
        if !now.reached(self.next_step) {
            return None;
        }
        match &self.state {
            State::Idle => {
                self.state = State::ReadingProgress { since: now };
                Some(Effect::Store(Call::Get {
                    key: PROGRESS_KEY.into(),
                }))
            }
            State::Ready => self.proceed(now, grant, length, grace),
            State::Collecting {
                since,
                window,
                bundle,
            } if now.since(*since) >= COLLECT_TIMEOUT => {
                let seal = self.seal_window(*window, bundle);
                self.state = State::Sealing;
                let call = self.writer.write(now, seal_key(seal.number), seal);
                call.map(Effect::Store)
            }
            _ => None,
        }
    }

    fn proceed(&mut self, now: Moment, grant: Grant, length: Duration, grace: Duration) -> Option<Effect> {
        if let Some(seal) = self.unreported.first() {
            // The last check before the send: after a pause the lease is over
            // and the successor reports the same sealed figures instead.
            if !grant.covers(now) {
                return None;
            }
            self.state = State::Reporting { since: now };
            return Some(Effect::Report(grant, seal.clone()));
        }
        let millis = length.as_millis() as u64;
        let window = self.next_window(now, millis);
        if now.wall < window + millis + grace.as_millis() as u64 {
            return None;
        }
        self.state = State::Collecting {
            since: now,
            window,
            bundle: Bundle::default(),
        };
        Some(Effect::Collect(Collect {
            cursors: self.cursors(),
            window,
            zone: true,
        }))
    }

    /// The window after the last sealed one. Windows that no reporter was
    /// there for are skipped; their chunks come as late ones.
    fn next_window(&self, now: Moment, millis: u64) -> u64 {
        let millis = millis.max(1);
        let ended = (now.wall / millis).saturating_sub(1) * millis;
        match &self.last_sealed {
            Some(seal) => ((seal.window / millis + 1) * millis).max(ended.saturating_sub(millis)),
            None => ended,
        }
    }

    /// A zone's answer to the collection; taken whole or not at all.
    pub fn on_collected(&mut self, answer: &Bundle) {
        let cursors = self.cursors();
        let State::Collecting { bundle, .. } = &mut self.state else {
            return;
        };
        // A host that was frozen answers an earlier question late; its sums
        // begin before what has been sealed since and would count it again.
        // So would a second answer for the same sources.
        let known = |span: &Span| {
            bundle
                .spans
                .binary_search_by(|have| have.source.cmp(&span.source))
                .is_ok()
        };
        let stale = |span: &Span| span.from < sealed_until(&cursors, span.source);
        if answer.spans.iter().any(|span| known(span) || stale(span)) {
            return;
        }
        for span in &answer.spans {
            let at = bundle.spans.partition_point(|have| have.source < span.source);
            bundle.spans.insert(at, span.clone());
        }
        answer
            .parts
            .iter()
            .for_each(|part| add_part(&mut bundle.parts, part));
    }

    /// The store's answer.
    pub fn on_answer(&mut self, now: Moment, answer: &Answer) -> Option<Call> {
        if let Some(outcome) = self.writer.on_answer(now, answer) {
            return self.on_sealed(now, outcome);
        }
        match (std::mem::replace(&mut self.state, State::Idle), answer) {
            (State::ReadingProgress { .. }, Answer::Found(entries)) => {
                let entry = entries.first().filter(|entry| entry.version > 0);
                self.progress_version = entry.map_or(0, |entry| entry.version);
                let head = entry.and_then(|entry| serde_json::from_str::<Progress>(&entry.value).ok());
                let reported = head.map_or(0, |head| head.reported);
                self.state = State::ReadingWindows {
                    since: now,
                    head: reported,
                };
                Some(Call::Range {
                    prefix: SEALED_PREFIX.into(),
                    after: seal_key(reported.saturating_sub(1)),
                    limit: 1_000,
                })
            }
            (State::ReadingWindows { head, .. }, Answer::Found(entries)) => {
                self.recover(head, entries);
                None
            }
            (State::RecordingProgress { .. }, Answer::Written(version)) => {
                self.progress_version = *version;
                self.state = State::Ready;
                None
            }
            (State::Idle, _) => None,
            // Anything else: read again from the start.
            _ => {
                self.restart(now);
                None
            }
        }
    }

    /// What came of sealing a window.
    fn on_sealed(&mut self, now: Moment, outcome: Outcome<SealedWindow>) -> Option<Call> {
        match outcome {
            Outcome::Pending(call) => return Some(call),
            Outcome::Stored(seal, _) => self.adopt(seal),
            Outcome::Missing => self.state = State::Ready,
            Outcome::Failed => self.restart(now),
        }
        None
    }

    fn restart(&mut self, now: Moment) {
        *self = Self {
            next_step: now + RETRY_DELAY,
            ..Self::default()
        };
    }

    /// The usage interface's answer; only a clear yes moves on.
    pub fn on_reported(&mut self, now: Moment, accepted: bool) -> Option<Call> {
        let State::Reporting { .. } = self.state else {
            return None;
        };
        if !accepted || self.unreported.is_empty() {
            self.state = State::Ready;
            self.next_step = now + RETRY_DELAY;
            return None;
        }
        let seal = self.unreported.remove(0);
        self.state = State::RecordingProgress { since: now };
        let head = Progress {
            reported: seal.number,
        };
        Some(Call::Swap {
            key: PROGRESS_KEY.into(),
            expect: self.progress_version,
            value: serde_json::to_string(&head).unwrap_or_default(),
        })
    }

    fn recover(&mut self, head: u64, entries: &[crate::store::Entry]) {
        let mut seals: Vec<SealedWindow> = entries
            .iter()
            .filter_map(|entry| serde_json::from_str(&entry.value).ok())
            .collect();
        seals.sort_by_key(|seal| seal.number);
        self.last_sealed = seals.last().cloned();
        self.unreported = seals.into_iter().filter(|seal| seal.number > head).collect();
        self.state = State::Ready;
    }

    fn adopt(&mut self, seal: SealedWindow) {
        self.last_sealed = Some(seal.clone());
        self.unreported.push(seal);
        self.state = State::Ready;
    }

    fn cursors(&self) -> Vec<Cursor> {
        let marks = self.last_sealed.as_ref().map_or(&[][..], |seal| &seal.marks);
        marks
            .iter()
            .map(|mark| Cursor {
                source: mark.source.0,
                number: mark.number,
            })
            .collect()
    }

    fn seal_window(&self, window: u64, bundle: &Bundle) -> SealedWindow {
        let mut marks = self
            .last_sealed
            .as_ref()
            .map_or(Vec::new(), |seal| seal.marks.clone());
        marks.retain(|mark| mark.moved + RETENTION_MS > window);
        bundle
            .spans
            .iter()
            .for_each(|span| set_checkpoint(&mut marks, span, window));
        let counts = |part: &&Part| part.window + RETENTION_MS > window;
        let parts: Vec<&Part> = bundle.parts.iter().filter(counts).collect();
        SealedWindow {
            number: self.last_sealed.as_ref().map_or(1, |seal| seal.number + 1),
            window,
            lines: lines(window, &parts),
            marks,
        }
    }

    fn time_out(&mut self, now: Moment) {
        if self.writer.time_out(now, ANSWER_TIMEOUT) {
            *self = Self::default();
        }
        let since = match &self.state {
            State::Idle | State::Ready | State::Collecting { .. } | State::Sealing => return,
            State::ReadingProgress { since }
            | State::ReadingWindows { since, .. }
            | State::Reporting { since }
            | State::RecordingProgress { since } => *since,
        };
        if now.since(since) >= ANSWER_TIMEOUT {
            *self = Self::default();
        }
    }
}

/// Store key of a seal.
pub fn seal_key(number: u64) -> String {
    format!("{SEALED_PREFIX}{number:016}")
}

fn set_checkpoint(marks: &mut Vec<Checkpoint>, span: &Span, window: u64) {
    let source = crate::id::Incarnation(span.source);
    let mark = Checkpoint {
        source,
        number: span.number,
        moved: window,
    };
    match marks.binary_search_by(|have| have.source.cmp(&source)) {
        Ok(at) => marks[at] = mark,
        Err(at) => marks.insert(at, mark),
    }
}

fn lines(window: u64, parts: &[&Part]) -> Vec<Line> {
    let line = |part: &Part, row: &Row| Line {
        customer: row.customer.clone(),
        class: row.class.clone(),
        calls: row.calls,
        prompt: row.prompt,
        tokens: row.tokens,
        broken: row.broken,
        late_from: (part.window != window).then_some(part.window),
    };
    parts
        .iter()
        .flat_map(|part| part.rows.iter().map(move |row| line(part, row)))
        .collect()
}
