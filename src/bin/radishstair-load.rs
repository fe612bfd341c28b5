//! Tool for test deployments, smoke tests, load and simulated experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    match radishstair_load::cmd::run(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("radishstair-load: {err:#}");
            ExitCode::FAILURE
        }
    }
}
