//! Tests of parsing and formatting values with units.

use super::*;

#[test]
fn round_trips_values_with_units() {
    for text in ["250ms", "3s", "90s", "1us", "2h"] {
        let micros = parse_with_unit(text, &DURATION_UNITS).unwrap();
        assert_eq!(
            parse_with_unit(&format_with_unit(micros, &DURATION_UNITS), &DURATION_UNITS),
            Some(micros)
        );
    }
    assert_eq!(parse_with_unit("128MiB", &SIZE_UNITS), Some(128 << 20));
}

#[test]
fn rejects_number_without_known_unit() {
    for text in ["250", "ms", "", "2 weeks", "-1s", "99999999999999999999s"] {
        assert_eq!(parse_with_unit(text, &DURATION_UNITS), None, "{text}");
    }
}

#[test]
fn accepts_fraction_of_whole_smaller_units() {
    assert_eq!(parse_with_unit("4.5s", &DURATION_UNITS), Some(4_500_000));
    assert_eq!(parse_with_unit("0.25ms", &DURATION_UNITS), Some(250));
    for text in ["1.5us", "1.2.3s", ".5s", "1.s2"] {
        assert_eq!(parse_with_unit(text, &DURATION_UNITS), None, "{text}");
    }
}
