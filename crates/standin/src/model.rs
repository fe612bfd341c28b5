//! What the stand-in engine generates: a text that follows from the prompt.
//!
//! The same prompt gives the same tokens on every runner, so a checker can
//! tell a whole answer from a cut or crossed one, also across a resumption.

use radishstair_core::id::digest;

/// Longest answer when the caller sets no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 512;

/// Token `at` of the answer to a prompt.
pub fn token(prompt: u64, at: u32) -> String {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&prompt.to_le_bytes());
    bytes[8..].copy_from_slice(&at.to_le_bytes());
    format!("w{} ", digest(&bytes) % 10_000)
}

/// The whole answer.
pub fn completion(prompt: u64, tokens: u32) -> String {
    (0..tokens).map(|at| token(prompt, at)).collect()
}

/// How many tokens the answer has: the caller cannot know. A prompt may fix
/// it by the words `len=N`; else it is heavy-tailed.
pub fn completion_tokens(prompt: &str, most: Option<u32>) -> u32 {
    let most = most.unwrap_or(DEFAULT_MAX_TOKENS);
    let fixed = prompt
        .split_whitespace()
        .find_map(|word| word.strip_prefix("len=")?.parse().ok());
    let natural = fixed.unwrap_or_else(|| {
        let unit = (digest(prompt.as_bytes()) % 10_000) as f64 / 10_000.0;
        (24.0 / (1.0 - unit).max(0.02).powf(0.8)) as u32
    });
    natural.clamp(1, most.max(1))
}
