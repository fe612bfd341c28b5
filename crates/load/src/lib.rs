//! Test tools of the router: deployments on one machine, end-to-end checks,
//! benchmarks and simulated experiments.

pub mod cmd;
pub mod deploy;
pub mod http;
pub mod metrics;
pub mod report;
pub mod scenario;
pub mod simulation;
