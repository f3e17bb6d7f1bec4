use super::*;

#[test]
fn all_units_are_parsed_and_malformed_values_are_rejected() {
    for (text, wanted) in [
        ("1H", Some(Duration::from_secs(3600))),
        ("2M", Some(Duration::from_secs(120))),
        ("3S", Some(Duration::from_secs(3))),
        ("400m", Some(Duration::from_millis(400))),
        ("5u", Some(Duration::from_micros(5))),
        ("6n", Some(Duration::from_nanos(6))),
        ("0m", Some(Duration::ZERO)),
        ("99999999H", Some(Duration::from_secs(99_999_999 * 3600))),
        ("100000000n", None),
        ("", None),
        ("m", None),
        ("1", None),
        ("1s", None),
        ("+1S", None),
        ("-1S", None),
        ("1.5S", None),
        ("1 S", None),
        ("1\u{b5}", None),
    ] {
        assert_eq!(parse(text), wanted, "{text:?}");
    }
}

#[test]
fn a_timeout_is_formatted_in_the_finest_unit_that_fits_and_never_rounded_up() {
    for (timeout, wanted) in [
        (Duration::ZERO, "1n"),
        (Duration::from_nanos(99_999_999), "99999999n"),
        (Duration::from_nanos(100_000_999), "100000u"),
        (Duration::from_millis(1500), "1500000u"),
        (Duration::from_secs(100), "100000m"),
        (Duration::from_secs(200_000), "200000S"),
        (Duration::from_secs(100_000_000), "27777H"),
    ] {
        let text = format(timeout);
        assert_eq!(text, wanted);
        assert!(parse(&text).unwrap() <= timeout.max(Duration::from_nanos(1)), "{timeout:?}");
    }
}
