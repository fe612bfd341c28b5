//! The usage reporter: collects, seals and reports windows, in that order.
//!
//! A window that another reporter has sealed is adopted unchanged, so that two
//! processes that both act as the reporter still report the same figures. A
//! report is sent only within the lease, so that only one of them sends it.

use std::time::Duration;

use super::gather::merge_window;
use super::sealed_until;
use crate::lease::Grant;
use crate::peer::{ChunkRange, Collect, Cursor, UsageRow, WindowUsage, ZoneUsage};
use crate::store::{Answer, Call};
use crate::time::Moment;
use crate::write_once::{Outcome, Writer};

/// Store prefix of sealed windows.
pub const SEALED_PREFIX: &str = "usage/sealed/";
/// Store key of the [`Progress`].
pub const PROGRESS_KEY: &str = "usage/head";
/// Time for which the reporter waits for the zones' answers.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which an unanswered store call or report counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay after a failed step.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time in milliseconds after which the cursor of a silent source is dropped and after which
/// chunks are no longer counted. One bound serves both, so that a chunk cannot be counted again
/// once its cursor is dropped.
pub const RETENTION_MS: u64 = 24 * 3_600_000;

record! {
    /// Figures of one customer and class in a report.
    pub struct Line {
        /// Name of the customer.
        pub customer: String,
        /// Name of the request class.
        pub class: String,
        /// Number of complete answers.
        pub calls: u64,
        /// Number of prompt tokens.
        pub prompt: u64,
        /// Number of generated tokens sent to callers.
        pub tokens: u64,
        /// Number of incomplete answers.
        pub broken: u64,
        /// Start of the window in which it was counted, if that was an earlier one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub late_from: Option<u64>,
    }
}

record! {
    /// How far the chunks of a source are sealed.
    pub struct Checkpoint {
        /// Process that counted the chunks.
        pub source: crate::id::Incarnation,
        /// Number of the highest sealed chunk.
        pub number: u64,
        /// Window for which a chunk of the source was last sealed.
        pub moved: u64,
    }
}

record! {
    /// A sealed window.
    pub struct SealedWindow {
        /// Sequence number, from 1 and without gaps. A reporter must adopt all windows that others
        /// have sealed before it can add one; the chunks of a skipped window would be counted
        /// twice.
        pub number: u64,
        /// Start of the window, in milliseconds since the Unix epoch.
        pub window: u64,
        /// Final figures.
        pub lines: Vec<Line>,
        /// Cursors after this window.
        pub marks: Vec<Checkpoint>,
    }
}

record! {
    /// How far windows have been reported; a hint that saves reads and is never relied on alone.
    pub struct Progress {
        /// Number of the last window known to be reported.
        pub reported: u64,
    }
}

plain! {
    /// I/O that the caller is to do.
    pub enum Effect {
        /// Call the store.
        Store(Call),
        /// Collect the usage of every zone.
        Collect(Collect),
        /// Send a window to the usage interface, if the grant still covers the send.
        Report(Grant, SealedWindow),
    }
}

plain! {
    enum State {
        Idle,
        ReadingProgress { since: Moment },
        ReadingWindows { since: Moment, reported: u64 },
        Ready,
        Collecting { since: Moment, window: u64, zone_usage: ZoneUsage },
        Sealing,
        Reporting { since: Moment },
        RecordingProgress { since: Moment },
    }
}

/// State of the reporter.
#[derive(Debug)]
pub struct Reporter {
    state: State,
    writer: Writer<SealedWindow>,
    /// Sealed windows that are not known to be reported, in order.
    unreported: Vec<SealedWindow>,
    last_sealed: Option<SealedWindow>,
    /// Version of the store entry of the progress.
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
    /// Returns the next I/O to do while this process holds the lease; resets the state otherwise.
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
                zone_usage,
            } if now.since(*since) >= COLLECT_TIMEOUT => {
                let sealed = self.seal_window(*window, zone_usage);
                self.state = State::Sealing;
                let call = self.writer.write(now, window_key(sealed.number), sealed);
                call.map(Effect::Store)
            }
            _ => None,
        }
    }

    fn proceed(&mut self, now: Moment, grant: Grant, length: Duration, grace: Duration) -> Option<Effect> {
        if let Some(sealed) = self.unreported.first() {
            // Last check before the send: if this process was paused and its lease has ended,
            // its successor reports the same sealed figures instead.
            if !grant.covers(now) {
                return None;
            }
            self.state = State::Reporting { since: now };
            return Some(Effect::Report(grant, sealed.clone()));
        }
        let length_ms = length.as_millis() as u64;
        let window = self.next_window(now, length_ms);
        if now.wall_ms < window + length_ms + grace.as_millis() as u64 {
            return None;
        }
        self.state = State::Collecting {
            since: now,
            window,
            zone_usage: ZoneUsage::default(),
        };
        Some(Effect::Collect(Collect {
            cursors: self.cursors(),
            window,
            whole_zone: true,
        }))
    }

    /// The window to seal after the last sealed one. Windows that ended while there was no
    /// reporter are skipped; their chunks are counted as late.
    fn next_window(&self, now: Moment, length_ms: u64) -> u64 {
        let length_ms = length_ms.max(1);
        let last_ended = (now.wall_ms / length_ms).saturating_sub(1) * length_ms;
        match &self.last_sealed {
            Some(sealed) => {
                ((sealed.window / length_ms + 1) * length_ms).max(last_ended.saturating_sub(length_ms))
            }
            None => last_ended,
        }
    }

    /// Handles a zone's answer to the collection, which is added as a whole or not at all.
    pub fn on_collected(&mut self, answer: &ZoneUsage) {
        let cursors = self.cursors();
        let State::Collecting { zone_usage, .. } = &mut self.state else {
            return;
        };
        // A host that was frozen may answer an earlier collection late. Its sums then start
        // before chunks that have been sealed since, which would be counted again. A second
        // answer for the same sources would have the same effect.
        let is_known = |range: &ChunkRange| {
            zone_usage
                .chunk_ranges
                .binary_search_by(|existing| existing.source.cmp(&range.source))
                .is_ok()
        };
        let is_stale = |range: &ChunkRange| range.after_chunk < sealed_until(&cursors, range.source);
        if answer
            .chunk_ranges
            .iter()
            .any(|range| is_known(range) || is_stale(range))
        {
            return;
        }
        for range in &answer.chunk_ranges {
            let at = zone_usage
                .chunk_ranges
                .partition_point(|existing| existing.source < range.source);
            zone_usage.chunk_ranges.insert(at, range.clone());
        }
        answer
            .windows
            .iter()
            .for_each(|usage| merge_window(&mut zone_usage.windows, usage));
    }

    /// Handles the store's answer; returns the next store call.
    pub fn on_answer(&mut self, now: Moment, answer: &Answer) -> Option<Call> {
        if let Some(outcome) = self.writer.on_answer(now, answer) {
            return self.on_sealed(now, outcome);
        }
        match (std::mem::replace(&mut self.state, State::Idle), answer) {
            (State::ReadingProgress { .. }, Answer::Found(entries)) => {
                let entry = entries.first().filter(|entry| entry.version > 0);
                self.progress_version = entry.map_or(0, |entry| entry.version);
                let progress = entry.and_then(|entry| serde_json::from_str::<Progress>(&entry.value).ok());
                let reported = progress.map_or(0, |progress| progress.reported);
                self.state = State::ReadingWindows { since: now, reported };
                Some(Call::Range {
                    prefix: SEALED_PREFIX.into(),
                    after: window_key(reported.saturating_sub(1)),
                    limit: 1_000,
                })
            }
            (State::ReadingWindows { reported, .. }, Answer::Found(entries)) => {
                self.recover(reported, entries);
                None
            }
            (State::RecordingProgress { .. }, Answer::Written(version)) => {
                self.progress_version = *version;
                self.state = State::Ready;
                None
            }
            (State::Idle, _) => None,
            // On any other answer, read again from the start.
            _ => {
                self.restart(now);
                None
            }
        }
    }

    /// Handles the result of sealing a window.
    fn on_sealed(&mut self, now: Moment, outcome: Outcome<SealedWindow>) -> Option<Call> {
        match outcome {
            Outcome::Pending(call) => return Some(call),
            Outcome::Stored(sealed, _) => self.adopt(sealed),
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

    /// Handles the answer of the usage interface; continues only if the report was accepted.
    pub fn on_reported(&mut self, now: Moment, accepted: bool) -> Option<Call> {
        let State::Reporting { .. } = self.state else {
            return None;
        };
        if !accepted || self.unreported.is_empty() {
            self.state = State::Ready;
            self.next_step = now + RETRY_DELAY;
            return None;
        }
        let sealed = self.unreported.remove(0);
        self.state = State::RecordingProgress { since: now };
        let progress = Progress {
            reported: sealed.number,
        };
        Some(Call::CompareAndSwap {
            key: PROGRESS_KEY.into(),
            expect: self.progress_version,
            value: serde_json::to_string(&progress).unwrap_or_default(),
        })
    }

    fn recover(&mut self, reported: u64, entries: &[crate::store::Entry]) {
        let mut sealed_windows: Vec<SealedWindow> = entries
            .iter()
            .filter_map(|entry| serde_json::from_str(&entry.value).ok())
            .collect();
        sealed_windows.sort_by_key(|sealed| sealed.number);
        self.last_sealed = sealed_windows.last().cloned();
        self.unreported = sealed_windows
            .into_iter()
            .filter(|sealed| sealed.number > reported)
            .collect();
        self.state = State::Ready;
    }

    fn adopt(&mut self, sealed: SealedWindow) {
        self.last_sealed = Some(sealed.clone());
        self.unreported.push(sealed);
        self.state = State::Ready;
    }

    fn cursors(&self) -> Vec<Cursor> {
        let marks = self.last_sealed.as_ref().map_or(&[][..], |sealed| &sealed.marks);
        marks
            .iter()
            .map(|mark| Cursor {
                source: mark.source.0,
                number: mark.number,
            })
            .collect()
    }

    fn seal_window(&self, window: u64, zone_usage: &ZoneUsage) -> SealedWindow {
        let mut marks = self
            .last_sealed
            .as_ref()
            .map_or(Vec::new(), |sealed| sealed.marks.clone());
        marks.retain(|mark| mark.moved + RETENTION_MS > window);
        zone_usage
            .chunk_ranges
            .iter()
            .for_each(|range| set_checkpoint(&mut marks, range, window));
        let is_recent = |usage: &&WindowUsage| usage.window + RETENTION_MS > window;
        let usages: Vec<&WindowUsage> = zone_usage.windows.iter().filter(is_recent).collect();
        SealedWindow {
            number: self.last_sealed.as_ref().map_or(1, |sealed| sealed.number + 1),
            window,
            lines: lines(window, &usages),
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

/// Store key of a sealed window.
pub fn window_key(number: u64) -> String {
    format!("{SEALED_PREFIX}{number:016}")
}

fn set_checkpoint(marks: &mut Vec<Checkpoint>, range: &ChunkRange, window: u64) {
    let source = crate::id::Incarnation(range.source);
    let checkpoint = Checkpoint {
        source,
        number: range.last_chunk,
        moved: window,
    };
    match marks.binary_search_by(|existing| existing.source.cmp(&source)) {
        Ok(at) => marks[at] = checkpoint,
        Err(at) => marks.insert(at, checkpoint),
    }
}

fn lines(window: u64, usages: &[&WindowUsage]) -> Vec<Line> {
    let line = |usage: &WindowUsage, row: &UsageRow| Line {
        customer: row.customer.clone(),
        class: row.class.clone(),
        calls: row.calls,
        prompt: row.prompt_tokens,
        tokens: row.tokens,
        broken: row.broken,
        late_from: (usage.window != window).then_some(usage.window),
    };
    usages
        .iter()
        .flat_map(|usage| usage.rows.iter().map(move |row| line(usage, row)))
        .collect()
}
