//! One digest for everything that has to be told apart by its content, also by replicas of different programs.

use ring::digest::{Context, SHA256};

/// The first 128 bits of the SHA-256 of parts, each with its length in front, so that no two lists of parts are alike.
///
/// ```
/// use pathbank_coordination::digest::digest;
///
/// assert_ne!(digest(&[b"ab", b"c"]), digest(&[b"a", b"bc"]));
/// ```
pub fn digest(parts: &[&[u8]]) -> u128 {
    let mut context = Context::new(&SHA256);
    for part in parts {
        context.update(&(part.len() as u64).to_le_bytes());
        context.update(part);
    }
    let whole = context.finish();
    whole.as_ref().iter().take(16).fold(0, |number, byte| number << 8 | u128::from(*byte))
}
