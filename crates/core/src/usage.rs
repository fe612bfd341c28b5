//! Usage windows: counted in chunks, sealed once, and reported as sealed.
//!
//! A process counts usage in chunks of a few seconds, which do not change once
//! they are closed. It sends copies to two peers of its zone, so that a crash
//! loses at most the open chunk. The reporter collects, per source, the chunks
//! after the sealed cursor, and seals the figures and the new cursors in one
//! compare-and-swap; only sealed figures are reported. Each chunk is therefore
//! part of exactly one sealed window. A late chunk is after the cursor, so it
//! becomes part of a later window, labelled with the window it was counted in.

use std::time::Duration;

use crate::id::Incarnation;
use crate::peer::{Collect, Collected, Cursor, SourceUsage, UsageChunk, UsageRow, WindowUsage};
use crate::time::Moment;

pub mod gather;
pub mod report;

/// Longest time for which a chunk stays open, and so the usage that a crash can lose.
pub const MAX_CHUNK_AGE: Duration = Duration::from_secs(2);
/// Number of peers that store copies of a process's chunks.
pub const CHUNK_REPLICAS: usize = 2;
/// Maximum chunks in one heartbeat.
const CHUNKS_PER_HEARTBEAT: usize = 16;
/// Maximum chunks in memory, own and copies.
const MAX_CHUNKS: usize = 20_000;

plain! {
    /// Usage of one call.
    pub struct Record {
        /// Name of the customer.
        pub customer: String,
        /// Name of the request class.
        pub class: String,
        /// Number of prompt tokens.
        pub prompt_tokens: u64,
        /// Number of generated tokens sent to the caller.
        pub output_tokens: u64,
        /// Whether the answer was complete.
        pub completed: bool,
    }
}

/// Start of the window that contains a wall-clock time, in milliseconds since the Unix epoch.
///
/// Windows are identified by their start, not by a number. Hosts may use different lengths, before
/// their first configuration or while a change of the length spreads, and the same number would
/// then mean times that are years apart.
pub fn window_start(now: Moment, length: Duration) -> u64 {
    let length = (length.as_millis() as u64).max(1);
    now.wall_ms / length * length
}

/// Adds rows to a sorted list, summing those of the same customer and class.
pub fn merge_rows(into: &mut Vec<UsageRow>, rows: &[UsageRow]) {
    for row in rows {
        match into.binary_search_by(|existing| {
            (&existing.customer, &existing.class).cmp(&(&row.customer, &row.class))
        }) {
            Ok(at) => add_row(&mut into[at], row),
            Err(at) => into.insert(at, row.clone()),
        }
    }
}

fn add_row(into: &mut UsageRow, row: &UsageRow) {
    into.calls += row.calls;
    into.prompt_tokens += row.prompt_tokens;
    into.tokens += row.tokens;
    into.broken += row.broken;
}

/// Usage counts of this process, and copies of its peers' chunks.
#[derive(Debug)]
pub struct Meter {
    incarnation: Incarnation,
    length: Duration,
    /// Rows of the open chunk.
    open_rows: Vec<UsageRow>,
    opened_at: Moment,
    window: u64,
    /// Number of the last closed chunk.
    last_number: u64,
    /// Highest own chunk that is sealed.
    own_sealed: u64,
    chunks: Vec<UsageChunk>,
    /// Highest own chunk that each replica has acknowledged, sorted.
    acked: Vec<(Incarnation, u64)>,
}

impl Meter {
    /// Creates a meter without counts.
    pub fn new(incarnation: Incarnation, now: Moment, length: Duration) -> Self {
        Self {
            incarnation,
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

    /// Sets the length of windows from now on.
    pub fn set_length(&mut self, length: Duration) {
        self.length = length;
    }

    /// Counts one call.
    pub fn record(&mut self, now: Moment, record: &Record) {
        self.tick(now);
        let row = UsageRow {
            customer: record.customer.clone(),
            class: record.class.clone(),
            calls: u64::from(record.completed),
            prompt_tokens: record.prompt_tokens,
            tokens: record.output_tokens,
            broken: u64::from(!record.completed),
        };
        merge_rows(&mut self.open_rows, &[row]);
    }

    /// Closes the open chunk if it is `MAX_CHUNK_AGE` old or its window has ended.
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
            let chunk = UsageChunk {
                source: self.incarnation.0,
                number: self.last_number,
                window: self.window,
                rows: std::mem::take(&mut self.open_rows),
            };
            self.insert(chunk);
        }
        self.opened_at = now;
        self.window = window_start(now, self.length).max(self.window);
    }

    /// Own chunks that a replica has not acknowledged yet, as many as fit in a heartbeat.
    pub fn unacknowledged(&self, replica: Incarnation) -> Vec<UsageChunk> {
        let acked = self.acked(replica);
        self.own_chunks()
            .filter(|chunk| chunk.number > acked)
            .take(CHUNKS_PER_HEARTBEAT)
            .cloned()
            .collect()
    }

    /// Records that a replica has stored the own chunks up to `number`.
    pub fn acknowledge(&mut self, replica: Incarnation, number: u64) {
        match self
            .acked
            .binary_search_by(|(existing, _)| existing.cmp(&replica))
        {
            Ok(at) => self.acked[at].1 = self.acked[at].1.max(number),
            Err(at) => self.acked.insert(at, (replica, number)),
        }
    }

    /// Drops the acknowledgements of replicas that are not live.
    pub fn retain_replicas(&mut self, live: impl Fn(Incarnation) -> bool) {
        self.acked.retain(|(replica, _)| live(*replica));
    }

    /// Whether all usage is in closed chunks and some replica has stored all of them.
    pub fn is_replicated(&self) -> bool {
        let last_number = self.own_chunks().last().map_or(0, |chunk| chunk.number);
        self.open_rows.is_empty()
            && (last_number == 0 || self.acked.iter().any(|(_, number)| *number >= last_number))
    }

    /// Stores a chunk; a second copy has no effect.
    pub fn insert(&mut self, chunk: UsageChunk) {
        if self.chunks.len() >= MAX_CHUNKS {
            return;
        }
        let key = (chunk.source, chunk.number);
        if let Err(at) = self
            .chunks
            .binary_search_by(|existing| (existing.source, existing.number).cmp(&key))
        {
            self.chunks.insert(at, chunk);
        }
    }

    /// Number up to which the stored chunks of a source have no gap, starting at the lowest.
    pub fn contiguous_until(&self, source: Incarnation) -> u64 {
        let mut last_number = 0;
        for chunk in self.chunks_of(source.0) {
            if last_number != 0 && chunk.number != last_number + 1 {
                break;
            }
            last_number = chunk.number;
        }
        last_number
    }

    /// Sums, by source, the chunks after the cursors up to and including a window, and drops the
    /// sealed chunks. Copies are left out for sources that `is_reachable`, as those answer for
    /// themselves; otherwise the copies would triple the bytes.
    pub fn collect(
        &mut self,
        now: Moment,
        request: &Collect,
        is_reachable: impl Fn(Incarnation) -> bool,
    ) -> Collected {
        if window_start(now, self.length) > request.window {
            self.flush(now);
        }
        // The cursor of a silent source is dropped after some time. Without
        // `own_sealed`, the next chunk of an idle process would then seem to follow a gap.
        self.own_sealed = self
            .own_sealed
            .max(sealed_until(&request.cursors, self.incarnation.0));
        self.chunks
            .retain(|chunk| chunk.number > sealed_until(&request.cursors, chunk.source));
        let mut sums: Vec<SourceUsage> = Vec::new();
        for chunk in &self.chunks {
            let previous = match sums.last() {
                Some(sum) if sum.source == chunk.source => sum.last_chunk,
                _ if chunk.source == self.incarnation.0 => self.own_sealed,
                _ => sealed_until(&request.cursors, chunk.source),
            };
            let left_to_source =
                chunk.source != self.incarnation.0 && is_reachable(Incarnation(chunk.source));
            if left_to_source || chunk.number != previous + 1 || chunk.window > request.window {
                continue;
            }
            include(&mut sums, chunk, previous);
        }
        Collected {
            sources: sums,
            zone_usage: None,
        }
    }

    /// Number of stored chunks, own and copies.
    pub fn chunk_count(&self) -> usize {
        self.chunks.len()
    }

    fn acked(&self, replica: Incarnation) -> u64 {
        match self
            .acked
            .binary_search_by(|(existing, _)| existing.cmp(&replica))
        {
            Ok(at) => self.acked[at].1,
            Err(_) => 0,
        }
    }

    fn own_chunks(&self) -> impl Iterator<Item = &UsageChunk> {
        self.chunks_of(self.incarnation.0)
    }

    fn chunks_of(&self, source: u64) -> impl Iterator<Item = &UsageChunk> {
        let from = self.chunks.partition_point(|chunk| chunk.source < source);
        self.chunks[from..]
            .iter()
            .take_while(move |chunk| chunk.source == source)
    }
}

/// Number of the highest sealed chunk of a source; 0 if none.
pub fn sealed_until(cursors: &[Cursor], source: u64) -> u64 {
    match cursors.binary_search_by(|existing| existing.source.cmp(&source)) {
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
        match sum.windows.iter_mut().find(|usage| usage.window == chunk.window) {
            Some(usage) => merge_rows(&mut usage.rows, &chunk.rows),
            None => sum.windows.push(WindowUsage {
                window: chunk.window,
                rows: chunk.rows.clone(),
            }),
        }
    }
}
