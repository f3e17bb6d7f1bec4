//! `grpc-timeout`: at most eight digits and a unit.

use std::time::Duration;

/// The most digits that the protocol allows.
const DIGITS: usize = 8;
const MOST: u64 = 99_999_999;

/// `None`: not in the protocol's form. Zero is in it: such a call is over when it comes.
pub fn parse(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if !(1..=DIGITS).contains(&digits.len()) || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
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

/// The finest unit that holds it in eight digits, rounded down: a node must not think that it has longer. What is
/// left is never told as nothing.
pub fn format(left: Duration) -> String {
    let nanos = left.as_nanos().max(1);
    for (unit, nanos_each) in [("n", 1), ("u", 1_000), ("m", 1_000_000), ("S", 1_000_000_000)] {
        let value = nanos / nanos_each;
        if value <= u128::from(MOST) {
            return format!("{value}{unit}");
        }
    }
    format!("{}H", (left.as_secs() / 3600).min(MOST))
}

#[cfg(test)]
mod tests;
