//! Stand-in for a plain service, for tests.

use std::process::ExitCode;

use radishstair_standin::plain;

fn main() -> ExitCode {
    radishstair::start(
        "standin-plain",
        |_| Ok(()),
        |settings| radishstair_standin::server::run_until_signal(plain::run(settings)),
    )
}
