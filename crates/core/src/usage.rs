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
use crate::peer::{Chunk, Collect, Collected, Cursor, Part, Row, Sum};
use crate::time::Moment;

pub mod gather;
pub mod report;

/// Longest time a chunk stays open: what a crash can lose.
pub const MAX_CHUNK_AGE: Duration = Duration::from_secs(2);
/// Peers that keep copies.
pub const CHUNK_REPLICAS: usize = 2;
/// Chunks in one heartbeat.
const CHUNKS_PER_HEARTBEAT: usize = 16;
/// Most chunks kept for others.
const MAX_CHUNKS: usize = 20_000;

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
    now.wall / length * length
}

/// Adds rows of the same customer and class.
pub fn merge_rows(into: &mut Vec<Row>, rows: &[Row]) {
    for row in rows {
        match into.binary_search_by(|have| (&have.customer, &have.class).cmp(&(&row.customer, &row.class))) {
            Ok(at) => add_row(&mut into[at], row),
            Err(at) => into.insert(at, row.clone()),
        }
    }
}

fn add_row(into: &mut Row, row: &Row) {
    into.calls += row.calls;
    into.prompt += row.prompt;
    into.tokens += row.tokens;
    into.broken += row.broken;
}

/// Counts of this process, and chunks kept for its peers.
#[derive(Debug)]
pub struct Meter {
    me: Incarnation,
    length: Duration,
    open_rows: Vec<Row>,
    opened_at: Moment,
    window: u64,
    last_number: u64,
    own_sealed: u64,
    chunks: Vec<Chunk>,
    acked: Vec<(Incarnation, u64)>,
}

impl Meter {
    /// Nothing counted yet.
    pub fn new(me: Incarnation, now: Moment, length: Duration) -> Self {
        Self {
            me,
            length,
            open_rows: Vec::new(),
            opened_at: now,
            window: window_start(now, length),
            last_number: 0,
            own_sealed: 0,
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
        let row = Row {
            customer: item.customer.clone(),
            class: item.class.clone(),
            calls: u64::from(item.completed),
            prompt: item.prompt_tokens,
            tokens: item.output_tokens,
            broken: u64::from(!item.completed),
        };
        merge_rows(&mut self.open_rows, &[row]);
    }

    /// Closes the open chunk when it is old or its window has ended.
    pub fn tick(&mut self, now: Moment) {
        let current = window_start(now, self.length);
        if current != self.window || now.since(self.opened_at) >= MAX_CHUNK_AGE {
            self.flush(now);
        }
    }

    /// Closes the open chunk.
    pub fn flush(&mut self, now: Moment) {
        if !self.open_rows.is_empty() {
            self.last_number += 1;
            let chunk = Chunk {
                source: self.me.0,
                number: self.last_number,
                window: self.window,
                rows: std::mem::take(&mut self.open_rows),
            };
            self.insert(chunk);
        }
        self.opened_at = now;
        self.window = window_start(now, self.length).max(self.window);
    }

    /// Chunks that a keeper has not confirmed yet.
    pub fn unacknowledged(&self, keeper: Incarnation) -> Vec<Chunk> {
        let acked = self.acked(keeper);
        self.own_chunks()
            .filter(|chunk| chunk.number > acked)
            .take(CHUNKS_PER_HEARTBEAT)
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
        let last = self.own_chunks().last().map_or(0, |chunk| chunk.number);
        self.open_rows.is_empty() && (last == 0 || self.acked.iter().any(|(_, number)| *number >= last))
    }

    /// Takes a chunk in for safe keeping; a second copy changes nothing.
    pub fn insert(&mut self, chunk: Chunk) {
        if self.chunks.len() >= MAX_CHUNKS {
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
        for chunk in self.chunks_of(source.0) {
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
        self.own_sealed = self.own_sealed.max(sealed_until(&ask.cursors, self.me.0));
        self.chunks
            .retain(|chunk| chunk.number > sealed_until(&ask.cursors, chunk.source));
        let mut sums: Vec<Sum> = Vec::new();
        for chunk in &self.chunks {
            let last = match sums.last() {
                Some(sum) if sum.source == chunk.source => sum.number,
                _ if chunk.source == self.me.0 => self.own_sealed,
                _ => sealed_until(&ask.cursors, chunk.source),
            };
            let other = chunk.source != self.me.0 && answers(Incarnation(chunk.source));
            if other || chunk.number != last + 1 || chunk.window > ask.window {
                continue;
            }
            include(&mut sums, chunk, last);
        }
        Collected { sums, bundle: None }
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

    fn own_chunks(&self) -> impl Iterator<Item = &Chunk> {
        self.chunks_of(self.me.0)
    }

    fn chunks_of(&self, source: u64) -> impl Iterator<Item = &Chunk> {
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

fn include(sums: &mut Vec<Sum>, chunk: &Chunk, from: u64) {
    if sums.last().is_none_or(|sum| sum.source != chunk.source) {
        sums.push(Sum {
            source: chunk.source,
            from,
            ..Sum::default()
        });
    }
    if let Some(sum) = sums.last_mut() {
        sum.number = chunk.number;
        match sum.parts.iter_mut().find(|part| part.window == chunk.window) {
            Some(part) => merge_rows(&mut part.rows, &chunk.rows),
            None => sum.parts.push(Part {
                window: chunk.window,
                rows: chunk.rows.clone(),
            }),
        }
    }
}
