//! Tests of the unit adapters.

use super::*;

#[test]
fn units_survive_a_round_trip() {
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
fn a_number_without_a_known_unit_is_refused() {
    for text in ["250", "ms", "", "2 weeks", "-1s", "99999999999999999999s"] {
        assert_eq!(parse_with_unit(text, &DURATION_UNITS), None, "{text}");
    }
}

#[test]
fn a_fraction_is_read_where_it_is_a_whole_part_of_the_unit() {
    assert_eq!(parse_with_unit("4.5s", &DURATION_UNITS), Some(4_500_000));
    assert_eq!(parse_with_unit("0.25ms", &DURATION_UNITS), Some(250));
    for text in ["1.5us", "1.2.3s", ".5s", "1.s2"] {
        assert_eq!(parse_with_unit(text, &DURATION_UNITS), None, "{text}");
    }
}
