//! `serde_with` adapters for durations and ids.

use std::time::Duration;

use serde::{Deserializer, Serializer, de::Error as _};
use serde_with::{DeserializeAs, SerializeAs};

/// Duration as text with a unit: `"250ms"`, `"5s"`, `"10m"` or `"2h"`.
pub struct DurationText;

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_duration(*value))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text: String = serde::Deserialize::deserialize(deserializer)?;
        parse_duration(&text).ok_or_else(|| {
            D::Error::custom(format!(
                "`{text}` is not a time span; write a whole number and ms, s, m or h, like \"250ms\""
            ))
        })
    }
}

/// Parses a whole number with the unit `ms`, `s`, `m` or `h`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..split].parse().ok()?;
    let unit = match &text[split..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    Some(Duration::from_millis(count.checked_mul(unit)?))
}

/// Formats a duration in the largest unit that is exact.
pub fn format_duration(duration: Duration) -> String {
    let ms = duration.as_millis() as u64;
    match ms {
        0 => "0ms".into(),
        _ if ms.is_multiple_of(3_600_000) => format!("{}h", ms / 3_600_000),
        _ if ms.is_multiple_of(60_000) => format!("{}m", ms / 60_000),
        _ if ms.is_multiple_of(1_000) => format!("{}s", ms / 1_000),
        _ => format!("{ms}ms"),
    }
}

/// 64-bit id as sixteen hexadecimal digits.
pub struct Hex64;

impl SerializeAs<u64> for Hex64 {
    fn serialize_as<S: Serializer>(value: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{value:016x}"))
    }
}

impl<'de> DeserializeAs<'de, u64> for Hex64 {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text: String = serde::Deserialize::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16)
            .map_err(|_| D::Error::custom(format!("`{text}` is not a hexadecimal id")))
    }
}
