//! Cutting a stream of server-sent events into whole events.
//!
//! A runner may stop in the middle of an event. Only whole events go on to the
//! caller, so that what it has ends at an event from which another runner can
//! go on.

use bytes::{Bytes, BytesMut};

/// Longest event: one that is longer ends the stream, so that a runner that
/// never ends an event cannot fill this host's memory.
const LONGEST: usize = 1024 * 1024;

/// Whole events that were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Their bytes as they came.
    pub bytes: Bytes,
    /// Ids in order.
    pub ids: Vec<u64>,
}

/// Bytes of an event that has not ended.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
}

impl Splitter {
    /// Adds bytes and takes the whole events off; `None` when an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.rest.extend_from_slice(bytes);
        let end = last_end(&self.rest);
        if end == 0 && self.rest.len() > LONGEST {
            return None;
        }
        let bytes = self.rest.split_to(end).freeze();
        let ids = ids(&bytes);
        Some(Events { bytes, ids })
    }

    /// Whether no event is open.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }
}

/// Length up to and with the last blank line.
fn last_end(bytes: &[u8]) -> usize {
    let blank = |pattern: &[u8]| {
        let at = bytes.windows(pattern.len()).rposition(|window| window == pattern);
        at.map_or(0, |at| at + pattern.len())
    };
    blank(b"\n\n").max(blank(b"\r\n\r\n"))
}

fn ids(bytes: &[u8]) -> Vec<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
        .collect()
}
