//! Tests of the opaque proxy's decisions, without network I/O.

mod batch;
mod brittle;
mod cold;
mod document;
mod events;
mod fixtures;
mod fleet;
mod freshness;
mod gossip;
mod latency;
mod lease;
mod limits;
mod memory;
mod mirror;
mod model;
mod overload;
mod placement;
mod reach;
mod readers;
mod refresh;
mod relay;
mod schedule;
mod start;
mod usage;
mod zone;
