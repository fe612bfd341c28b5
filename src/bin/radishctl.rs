//! Command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    match radishstair_ctl::cmd::run(argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("radishctl: {err:#}");
            ExitCode::FAILURE
        }
    }
}
