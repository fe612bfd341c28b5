//! Splitting of a server-sent event stream into complete events.
//!
//! A runner may stop in the middle of an event. Only complete events are
//! forwarded, so that what the caller has received ends at an event after which
//! another runner can resume.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; an engine puts a few tokens into one. A longer one ends the stream, so that a runner that
/// never ends an event cannot exhaust this host's memory.
pub const MAX_EVENT_BYTES: usize = 32 * 1024;
/// Longest end of an event.
const LONGEST_END: &[u8] = b"\r\n\r\n";

/// Complete events taken from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Bytes as received.
    pub bytes: Bytes,
    /// Ids of the events, in order.
    pub ids: Vec<u64>,
}

/// Splits received bytes into complete events; keeps those of an incomplete event.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    /// Length of the pending bytes that contain no end of an event.
    searched: usize,
}

impl Splitter {
    /// Adds bytes and returns the events that are complete; `None` if one is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.pending.extend_from_slice(bytes);
        // An end may have begun in the bytes that were searched before.
        let from = self.searched.saturating_sub(LONGEST_END.len() - 1);
        let end = match complete_length(&self.pending[from..]) {
            0 => 0,
            length => from + length,
        };
        let bytes = self.pending.split_to(end).freeze();
        self.searched = self.pending.len();
        // Events that were complete before it are returned first.
        if end == 0 && self.searched > MAX_EVENT_BYTES {
            return None;
        }
        let ids = ids(&bytes);
        Some(Events { bytes, ids })
    }

    /// Bytes of the incomplete event.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether no incomplete event is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Length up to and including the last blank line.
fn complete_length(bytes: &[u8]) -> usize {
    let end_after_last = |pattern: &[u8]| {
        let index = bytes.windows(pattern.len()).rposition(|window| window == pattern);
        index.map_or(0, |index| index + pattern.len())
    };
    end_after_last(b"\n\n").max(end_after_last(LONGEST_END))
}

fn ids(bytes: &[u8]) -> Vec<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
        .collect()
}
