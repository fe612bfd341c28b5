//! Settings files: JSON, checked at start, errors that name the key.

use std::path::Path;

use anyhow::{Context, Result, anyhow};
use serde::de::DeserializeOwned;

/// Reads a settings file.
///
/// # Errors
///
/// Names the file, the key and what is allowed there, in one line.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    parse(&text).with_context(|| format!("reading {}", path.display()))
}

/// Reads settings from a text.
///
/// # Errors
///
/// Names the key and what is allowed there.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    let mut de = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut de).map_err(|err| match err.path().to_string().as_str() {
        "." => anyhow!("{}", err.inner()),
        path => anyhow!("{path}: {}", err.inner()),
    })
}

/// Blocks until the process is asked to end, by SIGTERM or SIGINT.
///
/// # Errors
///
/// When the handlers cannot be set.
pub fn wait_for_stop_signal() -> Result<()> {
    use signal_hook::consts::{SIGINT, SIGTERM};
    let mut signals =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT]).context("setting signal handlers")?;
    signals.forever().next();
    Ok(())
}
