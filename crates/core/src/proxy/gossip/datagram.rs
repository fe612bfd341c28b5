//! Datagrams other than load reports.
//!
//! Their first byte is no valid start of a report, so a host that does not know a kind ignores it.

use prost::Message;

/// Kinds of datagrams. No field of a message has the number zero, so none begins with these bytes.
#[derive(Clone, Copy, Debug)]
#[repr(u8)]
pub enum Kind {
    /// Change of a host's load.
    Update = 0,
    /// Versions that began streams, told or asked for.
    Origin = 1,
    /// Crashes of runners, and parts of prompts that cause them.
    Crash = 2,
}

/// Datagram of a kind with a message.
pub fn encode(kind: Kind, message: &impl Message) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1 + message.encoded_len());
    bytes.push(kind as u8);
    bytes.extend(message.encode_to_vec());
    bytes
}

/// Message in a datagram; `None` if it is of another kind or malformed.
pub fn decode<M: Message + Default>(kind: Kind, bytes: &[u8]) -> Option<M> {
    let bytes = bytes.strip_prefix(&[kind as u8])?;
    M::decode(bytes).ok()
}
