//! Decisions of the opaque front, without sockets.

mod build;
mod document;
mod events;
mod fleet;
mod freshness;
mod lease;
mod limits;
mod mirror;
mod model;
mod pace;
mod place;
mod refresh;
mod schedule;
mod share;
mod usage;
