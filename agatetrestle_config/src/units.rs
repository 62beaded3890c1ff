//! Serde adapters for values with a unit, such as `250ms` and `128MiB`.

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

/// Duration such as `250ms`; a number without a unit is rejected as ambiguous.
#[derive(Clone, Copy, Debug)]
pub struct DurationText;

/// Size in bytes such as `128MiB`; a number without a unit is rejected as ambiguous.
#[derive(Clone, Copy, Debug)]
pub struct SizeText;

fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let number_len = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (whole, fraction) = text[..number_len].split_once('.').unwrap_or((&text[..number_len], ""));
    let number: u64 = whole.parse().ok()?;
    let unit = text[number_len..].trim_start();
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    number.checked_mul(*factor)?.checked_add(parse_fraction(fraction, *factor)?)
}

/// Converts the digits after a decimal point to the smallest unit, or `None` if the result is not a whole number.
fn parse_fraction(digits: &str, factor: u64) -> Option<u64> {
    if digits.is_empty() {
        return Some(0);
    }
    let scale = 10_u64.checked_pow(u32::try_from(digits.len()).ok()?)?;
    let scaled = digits.parse::<u64>().ok()?.checked_mul(factor)?;
    scaled.is_multiple_of(scale).then_some(scaled / scale)
}

fn format_with_unit(value: u64, units: &[(&str, u64)]) -> String {
    let largest = units.iter().rev().find(|(_, factor)| value >= *factor && value.is_multiple_of(*factor));
    let (name, factor) = largest.unwrap_or(&units[0]);
    format!("{}{name}", value / factor)
}

/// Parses a number with a unit. A visitor does this because the deserializer adds the key and line of the value only to
/// errors that occur during the visit.
struct UnitVisitor {
    units: &'static [(&'static str, u64)],
    expected: &'static str,
}

const DURATION_VISITOR: UnitVisitor =
    UnitVisitor { units: &DURATION_UNITS, expected: "a number with the unit us, ms, s, m or h" };
const SIZE_VISITOR: UnitVisitor =
    UnitVisitor { units: &SIZE_UNITS, expected: "a number with the unit B, KiB, MiB or GiB" };

impl Visitor<'_> for UnitVisitor {
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
        deserializer.deserialize_str(DURATION_VISITOR).map(Duration::from_micros)
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
        deserializer.deserialize_str(SIZE_VISITOR)
    }
}

impl SerializeAs<u64> for SizeText {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_with_unit(*source, &SIZE_UNITS))
    }
}

#[cfg(test)]
mod tests;
