//! Usage windows: counted in chunks, sealed once, reported from the seal.
//!
//! A process counts into chunks of a few seconds that never change once
//! closed, and hands copies to two peers of its zone, so a crash loses at most
//! the open chunk. The reporter collects, per source, the chunks after the
//! sealed cursor, and seals figures and new cursors in one compare-and-swap;
//! only the sealed figures are ever reported. A chunk is therefore counted in
//! exactly one window: one that comes late is past the cursor and lands in a
//! later window, marked with the window it was counted in.

use std::time::Duration;

use crate::id::Incarnation;
use crate::peer::{Collect, Collected, Cursor, SourceUsage, UsageChunk, UsageRow, WindowUsage};
use crate::time::Moment;

pub mod gather;
pub mod report;

/// Longest time a chunk stays open: what a crash can lose.
pub const MAX_CHUNK_AGE: Duration = Duration::from_secs(2);
/// Peers that keep copies.
pub const CHUNK_REPLICAS: usize = 2;
/// Chunks in one heartbeat.
const CHUNKS_A_BEAT: usize = 16;
/// Most chunks kept for others.
const KEPT: usize = 20_000;

plain! {
    /// One thing to count.
    pub struct Record {
        /// Customer.
        pub customer: String,
        /// Request class.
        pub class: String,
        /// Prompt tokens.
        pub prompt_tokens: u64,
        /// Tokens that went to the caller.
        pub output_tokens: u64,
        /// Whether the answer was whole.
        pub completed: bool,
    }
}

/// Start of the window that holds a wall-clock time, in milliseconds.
///
/// Windows are named by their start, not counted, so that hosts that still
/// have another length (before their first configuration, or while a change
/// of it travels) do not name a window of another year.
pub fn window_start(now: Moment, length: Duration) -> u64 {
    let length = (length.as_millis() as u64).max(1);
    now.wall_ms / length * length
}

/// Adds rows of the same customer and class.
pub fn merge_rows(into: &mut Vec<UsageRow>, rows: &[UsageRow]) {
    for row in rows {
        match into.binary_search_by(|have| (&have.customer, &have.class).cmp(&(&row.customer, &row.class))) {
            Ok(at) => add(&mut into[at], row),
            Err(at) => into.insert(at, row.clone()),
        }
    }
}

fn add(into: &mut UsageRow, row: &UsageRow) {
    into.calls += row.calls;
    into.prompt_tokens += row.prompt_tokens;
    into.tokens += row.tokens;
    into.broken += row.broken;
}

/// Counts of this process, and chunks kept for its peers.
#[derive(Debug)]
pub struct Meter {
    me: Incarnation,
    length: Duration,
    open: Vec<UsageRow>,
    opened: Moment,
    window: u64,
    number: u64,
    sealed: u64,
    chunks: Vec<UsageChunk>,
    acked: Vec<(Incarnation, u64)>,
}

impl Meter {
    /// Nothing counted yet.
    pub fn new(me: Incarnation, now: Moment, length: Duration) -> Self {
        Self {
            me,
            length,
            open: Vec::new(),
            opened: now,
            window: window_start(now, length),
            number: 0,
            sealed: 0,
            chunks: Vec::new(),
            acked: Vec::new(),
        }
    }

    /// Length of windows from now on.
    pub fn set_length(&mut self, length: Duration) {
        self.length = length;
    }

    /// Counts one thing.
    pub fn record(&mut self, now: Moment, item: &Record) {
        self.tick(now);
        let row = UsageRow {
            customer: item.customer.clone(),
            class: item.class.clone(),
            calls: u64::from(item.completed),
            prompt_tokens: item.prompt_tokens,
            tokens: item.output_tokens,
            broken: u64::from(!item.completed),
        };
        merge_rows(&mut self.open, &[row]);
    }

    /// Closes the open chunk when it is old or its window has ended.
    pub fn tick(&mut self, now: Moment) {
        let current = window_start(now, self.length);
        if current != self.window || now.since(self.opened) >= MAX_CHUNK_AGE {
            self.flush(now);
        }
    }

    /// Closes the open chunk.
    pub fn flush(&mut self, now: Moment) {
        if !self.open.is_empty() {
            self.number += 1;
            let chunk = UsageChunk {
                source: self.me.0,
                number: self.number,
                window: self.window,
                rows: std::mem::take(&mut self.open),
            };
            self.insert(chunk);
        }
        self.opened = now;
        self.window = window_start(now, self.length).max(self.window);
    }

    /// Chunks that a keeper has not confirmed yet.
    pub fn unacknowledged(&self, keeper: Incarnation) -> Vec<UsageChunk> {
        let acked = self.acked(keeper);
        self.own()
            .filter(|chunk| chunk.number > acked)
            .take(CHUNKS_A_BEAT)
            .cloned()
            .collect()
    }

    /// A keeper confirms.
    pub fn acknowledge(&mut self, keeper: Incarnation, number: u64) {
        match self.acked.binary_search_by(|(have, _)| have.cmp(&keeper)) {
            Ok(at) => self.acked[at].1 = self.acked[at].1.max(number),
            Err(at) => self.acked.insert(at, (keeper, number)),
        }
    }

    /// Forgets keepers that are gone.
    pub fn retain_replicas(&mut self, live: impl Fn(Incarnation) -> bool) {
        self.acked.retain(|(keeper, _)| live(*keeper));
    }

    /// Whether some keeper has all closed chunks.
    pub fn is_replicated(&self) -> bool {
        let last = self.own().last().map_or(0, |chunk| chunk.number);
        self.open.is_empty() && (last == 0 || self.acked.iter().any(|(_, number)| *number >= last))
    }

    /// Takes a chunk in for safe keeping; a second copy changes nothing.
    pub fn insert(&mut self, chunk: UsageChunk) {
        if self.chunks.len() >= KEPT {
            return;
        }
        let place = (chunk.source, chunk.number);
        if let Err(at) = self
            .chunks
            .binary_search_by(|have| (have.source, have.number).cmp(&place))
        {
            self.chunks.insert(at, chunk);
        }
    }

    /// Highest chunk kept of a source, without gaps from the lowest kept.
    pub fn contiguous_until(&self, source: Incarnation) -> u64 {
        let mut last = 0;
        for chunk in self.of(source.0) {
            if last != 0 && chunk.number != last + 1 {
                break;
            }
            last = chunk.number;
        }
        last
    }

    /// Sums by source what lies past the cursors, up to a window; drops what
    /// the cursors say is sealed. Sources that `answers` tells to be there
    /// answer for themselves: each keeper's copy would triple the bytes.
    pub fn collect(
        &mut self,
        now: Moment,
        ask: &Collect,
        answers: impl Fn(Incarnation) -> bool,
    ) -> Collected {
        if window_start(now, self.length) > ask.window {
            self.flush(now);
        }
        // A cursor is forgotten after long silence; without this bound the
        // next chunk of an idle process would look like one after a gap.
        self.sealed = self.sealed.max(sealed_until(&ask.cursors, self.me.0));
        self.chunks
            .retain(|chunk| chunk.number > sealed_until(&ask.cursors, chunk.source));
        let mut sums: Vec<SourceUsage> = Vec::new();
        for chunk in &self.chunks {
            let last = match sums.last() {
                Some(sum) if sum.source == chunk.source => sum.last_chunk,
                _ if chunk.source == self.me.0 => self.sealed,
                _ => sealed_until(&ask.cursors, chunk.source),
            };
            let other = chunk.source != self.me.0 && answers(Incarnation(chunk.source));
            if other || chunk.number != last + 1 || chunk.window > ask.window {
                continue;
            }
            include(&mut sums, chunk, last);
        }
        Collected {
            sources: sums,
            zone_usage: None,
        }
    }

    /// Chunks kept, own and others'.
    pub fn chunk_count(&self) -> usize {
        self.chunks.len()
    }

    fn acked(&self, keeper: Incarnation) -> u64 {
        match self.acked.binary_search_by(|(have, _)| have.cmp(&keeper)) {
            Ok(at) => self.acked[at].1,
            Err(_) => 0,
        }
    }

    fn own(&self) -> impl Iterator<Item = &UsageChunk> {
        self.of(self.me.0)
    }

    fn of(&self, source: u64) -> impl Iterator<Item = &UsageChunk> {
        let from = self.chunks.partition_point(|chunk| chunk.source < source);
        self.chunks[from..]
            .iter()
            .take_while(move |chunk| chunk.source == source)
    }
}

/// Highest sealed chunk of a source.
pub fn sealed_until(cursors: &[Cursor], source: u64) -> u64 {
    match cursors.binary_search_by(|have| have.source.cmp(&source)) {
        Ok(at) => cursors[at].number,
        Err(_) => 0,
    }
}

fn include(sums: &mut Vec<SourceUsage>, chunk: &UsageChunk, from: u64) {
    if sums.last().is_none_or(|sum| sum.source != chunk.source) {
        sums.push(SourceUsage {
            source: chunk.source,
            after_chunk: from,
            ..SourceUsage::default()
        });
    }
    if let Some(sum) = sums.last_mut() {
        sum.last_chunk = chunk.number;
        match sum.windows.iter_mut().find(|part| part.window == chunk.window) {
            Some(part) => merge_rows(&mut part.rows, &chunk.rows),
            None => sum.windows.push(WindowUsage {
                window: chunk.window,
                rows: chunk.rows.clone(),
            }),
        }
    }
}
