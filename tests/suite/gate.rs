//! Decisions of the opaque front, without sockets.

mod build;
mod events;
mod fleet;
mod freshness;
mod lease;
mod limits;
mod place;
mod schedule;
mod usage;
