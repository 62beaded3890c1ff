//! Adapters that read and write values with their unit, such as `250ms` and `128MiB`.

use std::fmt;
use std::time::Duration;

use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde::de::Unexpected;
use serde::de::Visitor;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

const DURATION_UNITS: [(&str, u64); 5] =
    [("us", 1), ("ms", 1_000), ("s", 1_000_000), ("m", 60_000_000), ("h", 3_600_000_000)];
const SIZE_UNITS: [(&str, u64); 4] = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

/// Reads a duration such as `250ms`; a bare number is refused because its unit would be a guess.
#[derive(Clone, Copy, Debug)]
pub struct DurationText;

/// Reads a size in bytes such as `128MiB`; a bare number is refused for the same reason.
#[derive(Clone, Copy, Debug)]
pub struct SizeText;

fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (whole, fraction) = text[..digits].split_once('.').unwrap_or((&text[..digits], ""));
    let number: u64 = whole.parse().ok()?;
    let unit = text[digits..].trim_start();
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    number.checked_mul(*factor)?.checked_add(parse_fraction(fraction, *factor)?)
}

/// Reads the digits after a decimal point as a part of the unit; none where the part is not whole.
fn parse_fraction(digits: &str, factor: u64) -> Option<u64> {
    if digits.is_empty() {
        return Some(0);
    }
    let scale = 10_u64.checked_pow(u32::try_from(digits.len()).ok()?)?;
    let part = digits.parse::<u64>().ok()?.checked_mul(factor)?;
    part.is_multiple_of(scale).then_some(part / scale)
}

fn format_with_unit(value: u64, units: &[(&str, u64)]) -> String {
    let exact = units.iter().rev().find(|(_, factor)| value >= *factor && value.is_multiple_of(*factor));
    let (name, factor) = exact.unwrap_or(&units[0]);
    format!("{}{name}", value / factor)
}

/// Reads a number with a unit. The check stands within the visit, where the parser still knows the place
/// of the value and can name its key and line.
struct Units {
    units: &'static [(&'static str, u64)],
    expected: &'static str,
}

const DURATION: Units = Units { units: &DURATION_UNITS, expected: "a whole number with us, ms, s, m or h" };
const SIZE: Units = Units { units: &SIZE_UNITS, expected: "a whole number with B, KiB, MiB or GiB" };

impl Visitor<'_> for Units {
    type Value = u64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.expected)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<u64, E> {
        parse_with_unit(text, self.units).ok_or_else(|| E::invalid_value(Unexpected::Str(text), &self))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        deserializer.deserialize_str(DURATION).map(Duration::from_micros)
    }
}

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        let micros = u64::try_from(source.as_micros()).unwrap_or(u64::MAX);
        serializer.serialize_str(&format_with_unit(micros, &DURATION_UNITS))
    }
}

impl<'de> DeserializeAs<'de, u64> for SizeText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        deserializer.deserialize_str(SIZE)
    }
}

impl SerializeAs<u64> for SizeText {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_with_unit(*source, &SIZE_UNITS))
    }
}

#[cfg(test)]
mod tests;
