//! Decision logic of the radishstair router, without I/O.
//!
//! Routing, admission, at-most-once records, leases, usage, membership and
//! configuration are state machines: `(now, event) -> actions`. The crate opens
//! no socket, reads no clock and starts no thread, so that a test can drive many
//! nodes in one process and replay a run from its seed.

#[macro_use]
mod macros;

pub mod at_most_once;
pub mod carried;
pub mod claim;
pub mod config;
pub mod dispatch;
pub mod error;
pub mod id;
pub mod kernel;
pub mod lease;
pub mod member;
pub mod order;
pub mod peer;
pub mod proxy;
pub mod reservation;
pub mod retry;
pub mod runner;
pub mod store;
pub mod target;
pub mod ticket;
pub mod time;
pub mod units;
pub mod usage;
pub mod write_once;
