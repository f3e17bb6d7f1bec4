//! Stateless pseudo-random draws: the same number and text give the same draw.

/// A pseudo-random number from 0 to 1 that depends on `number` and `text`.
pub fn unit_draw(number: u64, text: &str) -> f64 {
    let seed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed =
        text.bytes().fold(seed, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3));
    ((mixed ^ (mixed >> 29)) >> 11) as f64 / (1u64 << 53) as f64
}
