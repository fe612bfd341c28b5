//! Stand-in for a model engine, for tests.

use std::process::ExitCode;

use radishstair_standin::engine;

fn main() -> ExitCode {
    radishstair::start(
        "standin-engine",
        |_| Ok(()),
        |settings| radishstair_standin::server::run_until_signal(engine::run(settings)),
    )
}
