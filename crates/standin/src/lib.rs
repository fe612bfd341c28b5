//! Stand-ins for the services around the router, for tests and experiments.
//!
//! They implement the protocols of the real services and record their calls, so
//! that a test can check them. On request, they inject faults that the real
//! services can have.

pub mod engine;
pub mod model;
pub mod plain;
pub mod platform;
pub mod server;
