//! Parser of server-sent events that arrive in pieces.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes; a runner that sends a longer one is faulty.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Adds received bytes; false if an event is longer than the limit.
    pub fn push(&mut self, bytes: &Bytes) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Takes the data of the next complete event.
    pub fn next_event(&mut self) -> Option<Bytes> {
        loop {
            let end = find_event_end(&self.buffer)?;
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
