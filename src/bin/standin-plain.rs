//! Stand-in of a plain service.

use std::process::ExitCode;

use radishstair_standin::plain;

fn main() -> ExitCode {
    radishstair::start(
        "standin-plain",
        |_| Ok(()),
        |settings| radishstair_standin::server::run_until_signal(plain::run(settings)),
    )
}
