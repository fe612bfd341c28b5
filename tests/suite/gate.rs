//! Decisions of the opaque front, without sockets.

mod build;
mod freshness;
mod usage;
