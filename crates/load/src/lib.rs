//! Deployments on one machine, checks of the whole path, load and experiments.

pub mod cmd;
pub mod deploy;
pub mod http;
pub mod metrics;
pub mod report;
pub mod scenario;
pub mod simulation;
