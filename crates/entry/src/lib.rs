//! The entry host, which accepts the requests of callers and sends them to
//! runners. The core crate makes the decisions; this crate provides the threads
//! and the connections to callers, runners, peers and the platform.
//!
//! One thread owns the control state. Requests are served by other threads,
//! which read immutable snapshots and send requests to the control thread over
//! channels.

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
pub mod stall;
pub mod upstream;
