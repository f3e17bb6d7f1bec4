//! The digest by which content is compared, also between replicas of different versions.

use ring::digest::{Context, SHA256};

/// The first 128 bits of the SHA-256 of all parts, each prefixed with its length, so that different lists of
/// parts have different digests.
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
    let hash = context.finish();
    hash.as_ref().iter().take(16).fold(0, |number, byte| number << 8 | u128::from(*byte))
}
