//! The values of `grpc-timeout`: one to eight digits and a unit.

use std::time::Duration;

/// The most digits that the protocol allows.
const MAX_DIGITS: usize = 8;
/// The largest number with that many digits.
const MAX_VALUE: u64 = 99_999_999;

/// Parses a value. `None`: the value is malformed. Zero is valid: the call's deadline has passed on arrival.
pub fn parse(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if !(1..=MAX_DIGITS).contains(&digits.len()) || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let value: u64 = digits.parse().ok()?;
    Some(match unit {
        "H" => Duration::from_secs(value * 3600),
        "M" => Duration::from_secs(value * 60),
        "S" => Duration::from_secs(value),
        "m" => Duration::from_millis(value),
        "u" => Duration::from_micros(value),
        "n" => Duration::from_nanos(value),
        _ => return None,
    })
}

/// Formats a value in the finest unit that fits into eight digits; minutes are not used. The value
/// is rounded down, so that a node never assumes a later deadline, but not below one nanosecond.
pub fn format(timeout: Duration) -> String {
    let nanos = timeout.as_nanos().max(1);
    for (unit, nanos_each) in [("n", 1), ("u", 1_000), ("m", 1_000_000), ("S", 1_000_000_000)] {
        let value = nanos / nanos_each;
        if value <= u128::from(MAX_VALUE) {
            return format!("{value}{unit}");
        }
    }
    format!("{}H", (timeout.as_secs() / 3600).min(MAX_VALUE))
}

#[cfg(test)]
mod tests;
