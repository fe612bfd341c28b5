//! Memory that a host holds for its callers.
//!
//! A request stays in memory until its answer has been sent, as it may have to be sent to another
//! runner. A buffered answer stays until its caller has read it. With many slow callers or runners
//! both would grow until the process is killed, with all of its requests. They are therefore counted
//! against limits: a request that does not fit is refused before it is forwarded, and an answer that
//! does not fit is not read from its runner yet. Each purpose has a limit of its own, so that large
//! answers that are not read leave room for the requests of other callers and for their answers.

/// Share of the host's memory that requests and answers may fill. The rest is for connections, the
/// state of the fleet and the program itself.
const HELD_SHARE: f64 = 0.4;
/// Share of the host's memory for the buffers of callers' connections.
const CONNECTION_SHARE: f64 = 0.3;
/// Memory that a connection takes while its caller does not read: the buffers of its socket's reads
/// and writes.
const CONNECTION_BYTES: f64 = 24.0 * 1024.0;
/// Memory that a request takes besides its body and its answer: its connections' buffers and the
/// tasks that forward it. Measured with 500 streams at one host: 55 to 73 KB each.
pub const REQUEST_BYTES: u64 = 64 * 1024;
/// Size up to which an answer is small.
pub const SMALL_ANSWER_BYTES: u64 = 16 * 1024;

plain! {
    /// What memory is held for.
    #[derive(Copy, Eq)]
    pub enum Purpose {
        /// A request in flight, without its body.
        Request,
        /// The body of a request.
        Body,
        /// The first [`SMALL_ANSWER_BYTES`] of an answer.
        SmallAnswer,
        /// The rest of an answer.
        LargeAnswer,
    }
}

impl Purpose {
    /// Share of the memory held that it may fill.
    fn share(self) -> f64 {
        match self {
            Purpose::Request => 0.5,
            Purpose::Body | Purpose::LargeAnswer => 0.2,
            Purpose::SmallAnswer => 0.1,
        }
    }
}

/// Memory held for callers.
#[derive(Clone, Debug)]
pub struct Memory {
    /// Limit of all purposes together, in bytes.
    limit: u64,
    /// Bytes held, by purpose.
    held: [u64; 4],
}

impl Memory {
    /// Memory of a host with this many megabytes; without a limit if that is 0.
    pub fn of_host(megabytes: f64) -> Self {
        let limit = match megabytes > 0.0 {
            true => (megabytes * 1e6 * HELD_SHARE) as u64,
            false => u64::MAX,
        };
        Self { limit, held: [0; 4] }
    }

    /// Reserves memory; returns false, and reserves none, if it would exceed the limit.
    pub fn reserve(&mut self, purpose: Purpose, bytes: u64) -> bool {
        let limit = (self.limit as f64 * purpose.share()) as u64;
        let held = &mut self.held[purpose as usize];
        let sum = held.saturating_add(bytes);
        if sum > limit {
            return false;
        }
        *held = sum;
        true
    }

    /// Releases memory that was reserved.
    pub fn release(&mut self, purpose: Purpose, bytes: u64) {
        let held = &mut self.held[purpose as usize];
        *held = held.saturating_sub(bytes);
    }

    /// Memory held, in bytes.
    pub fn held(&self) -> u64 {
        self.held.iter().sum()
    }
}

/// Number of callers' connections that a host with this many megabytes can hold, all of them with
/// callers that do not read; without a limit if the memory is 0.
pub fn max_connections(megabytes: f64) -> usize {
    match megabytes > 0.0 {
        true => (megabytes * 1e6 * CONNECTION_SHARE / CONNECTION_BYTES) as usize,
        false => usize::MAX,
    }
}

/// Share of the host's memory for connections that it relays for other hosts.
const RELAYED_SHARE: f64 = 0.05;
/// Memory that a relayed connection takes while its ends do not read: the buffers of both sockets and
/// those in between.
const RELAYED_BYTES: f64 = 96.0 * 1024.0;
/// Connections that a host of unknown memory relays.
const DEFAULT_RELAYED: usize = 256;

/// Number of connections that a host with this many megabytes relays for other hosts.
pub fn max_relayed(megabytes: f64) -> usize {
    match megabytes > 0.0 {
        true => (megabytes * 1e6 * RELAYED_SHARE / RELAYED_BYTES) as usize,
        false => DEFAULT_RELAYED,
    }
}
