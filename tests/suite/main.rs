//! Tests of radishstair through its public interfaces.
//!
//! `world` runs many kernels in one process under a seeded schedule; `process`
//! starts the real programs. The comment on a test states the failure that it
//! guards against and how that failure comes about.

mod proxy;
mod world;

mod broken_answers;
mod calls;
mod carried;
mod config;
mod docs;
mod duties;
mod duties_live;
mod engine;
mod input;
mod live;
mod live_broken;
mod packing;
mod parse;
mod policy;
mod process;
mod repeat;
mod schedule;
mod seal;
mod stall;
mod tasks;
mod usage;
