//! The entry host.

use std::process::ExitCode;

use radishstair_entry::settings::Settings;

fn main() -> ExitCode {
    radishstair::start("radishstair-entry", Settings::check, |settings: Settings| {
        radishstair_entry::run::run(&settings)
    })
}
