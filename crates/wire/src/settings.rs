//! JSON settings files. Errors name the key and are reported at the start.

use std::path::Path;

use anyhow::{Context, Result, anyhow};
use serde::de::DeserializeOwned;

/// Reads a settings file.
///
/// # Errors
///
/// When the file cannot be read or a value is invalid; names the file, the key
/// and the allowed values in one line.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    parse(&text).with_context(|| format!("reading {}", path.display()))
}

/// Parses settings from a text.
///
/// # Errors
///
/// When a value is invalid; names the key and the allowed values.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|err| match err.path().to_string().as_str() {
        "." => anyhow!("{}", err.inner()),
        path => anyhow!("{path}: {}", err.inner()),
    })
}

/// Blocks until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// When the signal handlers cannot be installed.
pub fn wait_for_stop_signal() -> Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).context("installing signal handlers")?;
    signals.forever().next();
    Ok(())
}
