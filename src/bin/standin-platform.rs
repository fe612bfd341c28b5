//! Stand-in for the platform, for tests.

use std::process::ExitCode;

use radishstair_standin::platform;

fn main() -> ExitCode {
    radishstair::start(
        "standin-platform",
        |_| Ok(()),
        |settings| {
            platform::start(settings)?;
            radishstair_wire::settings::wait_for_stop_signal()
        },
    )
}
