//! Stand-ins for what surrounds the router, for tests and experiments.
//!
//! They speak the same protocols as the real ones, keep a history of what they
//! did for checkers, and take orders to fail in the ways the real ones do.

pub mod engine;
pub mod model;
pub mod plain;
pub mod platform;
pub mod server;
