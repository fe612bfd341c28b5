//! Output of the stand-in engine: a text derived from the prompt.
//!
//! The same prompt gives the same tokens on every runner, so a test detects a
//! completion that is truncated or mixed with another one, also after a stream
//! was resumed.

use radishstair_core::id::digest;

/// Largest completion if the request sets no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 512;

/// Token at an index of the completion of a prompt, which is given by its digest.
pub fn token(prompt_digest: u64, index: u32) -> String {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&prompt_digest.to_le_bytes());
    bytes[8..].copy_from_slice(&index.to_le_bytes());
    format!("w{} ", digest(&bytes) % 10_000)
}

/// Text of a whole completion.
pub fn completion(prompt_digest: u64, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt_digest, index)).collect()
}

/// Number of tokens in the completion of a prompt. The word `len=N` in the prompt
/// sets it; otherwise a hash of the prompt selects it from a heavy-tailed
/// distribution, since callers cannot predict the length of real completions. It
/// does not exceed `max_tokens`.
pub fn completion_tokens(prompt: &str, max_tokens: Option<u32>) -> u32 {
    let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let fixed = prompt
        .split_whitespace()
        .find_map(|word| word.strip_prefix("len=")?.parse().ok());
    let unlimited = fixed.unwrap_or_else(|| {
        let uniform = (digest(prompt.as_bytes()) % 10_000) as f64 / 10_000.0;
        (24.0 / (1.0 - uniform).max(0.02).powf(0.8)) as u32
    });
    unlimited.clamp(1, max_tokens.max(1))
}
