//! Parser of server-sent events that arrive in pieces.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes; a runner that sends a longer one is faulty.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the buffered bytes that contain no end of an event.
    searched: usize,
}

impl Splitter {
    /// Adds received bytes; false if the bytes not yet taken exceed the limit of one event.
    pub fn push(&mut self, bytes: &Bytes) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Takes the data of the next complete event.
    pub fn next_event(&mut self) -> Option<Bytes> {
        loop {
            // An end may have begun in the bytes that were searched before.
            let from = self.searched.saturating_sub(1);
            let Some(found) = find_event_end(&self.buffer[from..]) else {
                self.searched = self.buffer.len();
                return None;
            };
            let end = from + found;
            self.searched = 0;
            let event = self.buffer.split_to(end + 2).freeze();
            let line = event.slice(..end);
            if let Some(data) = line.strip_prefix(b"data: ") {
                return Some(line.slice_ref(data));
            }
        }
    }
}

fn find_event_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n")
}
