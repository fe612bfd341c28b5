//! `serde_with` adapters for units and ids.

use std::time::Duration;

use serde::{Deserializer, Serializer, de::Error as _};
use serde_with::{DeserializeAs, SerializeAs};

/// A span written as `"250ms"`, `"5s"`, `"10m"` or `"2h"`.
pub struct DurationText;

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(value: &Duration, ser: S) -> Result<S::Ok, S::Error> {
        ser.serialize_str(&format_duration(*value))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(de: D) -> Result<Duration, D::Error> {
        let text: String = serde::Deserialize::deserialize(de)?;
        parse_duration(&text).ok_or_else(|| {
            D::Error::custom(format!(
                "`{text}` is not a time span; write a whole number and ms, s, m or h, like \"250ms\""
            ))
        })
    }
}

/// Reads a span with its unit.
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

/// Writes a span in its largest exact unit.
pub fn format_duration(span: Duration) -> String {
    let ms = span.as_millis() as u64;
    match ms {
        0 => "0ms".into(),
        _ if ms.is_multiple_of(3_600_000) => format!("{}h", ms / 3_600_000),
        _ if ms.is_multiple_of(60_000) => format!("{}m", ms / 60_000),
        _ if ms.is_multiple_of(1_000) => format!("{}s", ms / 1_000),
        _ => format!("{ms}ms"),
    }
}

/// A 64-bit id written as sixteen hexadecimal digits.
pub struct Hex64;

impl SerializeAs<u64> for Hex64 {
    fn serialize_as<S: Serializer>(value: &u64, ser: S) -> Result<S::Ok, S::Error> {
        ser.serialize_str(&format!("{value:016x}"))
    }
}

impl<'de> DeserializeAs<'de, u64> for Hex64 {
    fn deserialize_as<D: Deserializer<'de>>(de: D) -> Result<u64, D::Error> {
        let text: String = serde::Deserialize::deserialize(de)?;
        u64::from_str_radix(&text, 16)
            .map_err(|_| D::Error::custom(format!("`{text}` is not a hexadecimal id")))
    }
}
