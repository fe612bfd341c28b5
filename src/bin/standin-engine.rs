//! Stand-in for a model engine, for tests.

use std::process::ExitCode;

use radishstair_standin::engine;

fn main() -> ExitCode {
    radishstair::start(
        "standin-engine",
        |_| Ok(()),
        |settings| radishstair_standin::serve::until_stopped(engine::run(settings)),
    )
}
