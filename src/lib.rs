//! Command line and startup of the serving programs.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use serde::de::DeserializeOwned;

/// Command line of every serving program.
#[derive(Debug, FromArgs)]
#[argh(description = "Part of radishstair; serves until SIGTERM or SIGINT.")]
pub struct Args {
    /// settings file (JSON)
    #[argh(positional)]
    pub settings: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
    /// check the settings file and exit
    #[argh(switch)]
    pub check: bool,
}

/// Parses the command line, reads and checks the settings, and runs a program.
pub fn start<T: DeserializeOwned>(
    name: &str,
    check: impl FnOnce(&T) -> anyhow::Result<()>,
    run: impl FnOnce(T) -> anyhow::Result<()>,
) -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        println!("{name} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = &args.settings else {
        eprintln!("{name}: no settings file; see {name} --help");
        return ExitCode::FAILURE;
    };
    radishstair_wire::log::init();
    let settings = radishstair_wire::settings::load(path);
    let result = settings.and_then(|settings| {
        check(&settings)?;
        if args.check { Ok(()) } else { run(settings) }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{name}: {err:#}");
            ExitCode::FAILURE
        }
    }
}
