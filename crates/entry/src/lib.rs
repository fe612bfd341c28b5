//! The entry host: callers on one side, runners on the other, peers and the
//! platform beside it. The decisions come from the core crate; this crate has
//! the threads and sockets.
//!
//! One thread owns the control state. Traffic runs on its own threads, reads
//! immutable snapshots and asks the control thread over channels.

pub mod admin;
pub mod clock;
pub mod control;
pub mod front;
pub mod handle;
pub mod in_flight;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod proxy;
pub mod run;
pub mod serve;
pub mod settings;
pub mod upstream;
