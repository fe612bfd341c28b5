//! Compression of messages between hosts.
//!
//! The entries of the store repeat the same field names and addresses, so they take a fraction of
//! their size. A packed message begins with a byte that no bare message begins with, so that hosts
//! that do not pack and hosts that do can read each other.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// First byte of a packed message; field 0 does not exist, so a bare message cannot begin with it.
const MARK: u8 = 0;
/// Size below which packing saves less than it costs.
const MIN_PACKED_BYTES: usize = 256;
/// Maximum size of an unpacked message: a document and all keys of a fleet of thousands.
const MAX_UNPACKED_BYTES: u64 = 32 * 1024 * 1024;

/// Packs a message, unless it is short.
pub fn pack(message: &[u8]) -> Bytes {
    if message.len() < MIN_PACKED_BYTES {
        return Bytes::copy_from_slice(message);
    }
    let mut encoder = DeflateEncoder::new(vec![MARK], Compression::fast());
    // Writing to memory cannot fail; a bare message is right in any case.
    let packed = encoder.write_all(message).and_then(|()| encoder.finish());
    packed.map_or_else(|_| Bytes::copy_from_slice(message), Bytes::from)
}

/// Message in a response; `None` if it cannot be unpacked.
pub fn unpack(response: Bytes) -> Option<Bytes> {
    let Some(packed) = response.strip_prefix(&[MARK]) else {
        return Some(response);
    };
    let mut message = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(MAX_UNPACKED_BYTES + 1);
    decoder.read_to_end(&mut message).ok()?;
    (message.len() as u64 <= MAX_UNPACKED_BYTES).then(|| message.into())
}
