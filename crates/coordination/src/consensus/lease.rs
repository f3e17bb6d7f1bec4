//! Leases between clocks that drift.

/// How long whoever granted a lease has to wait by its own clock until it is surely over by its holder's, in
/// the unit of `lease`: theirs may be slow while ours is fast. `drift_ppm`: how much a clock may run fast or
/// slow, in parts of a million.
///
/// ```
/// use pathbank_coordination::consensus::lease::grantor_wait;
///
/// assert_eq!(grantor_wait(1_000, 0), 1_000);
/// assert_eq!(grantor_wait(1_000, 10_000), 1_021);
/// ```
pub fn grantor_wait(lease: u64, drift_ppm: u64) -> u64 {
    const MILLION: u64 = 1_000_000;
    let (fast, slow) = (MILLION + drift_ppm, MILLION - drift_ppm.min(MILLION - 1));
    (u128::from(lease) * u128::from(fast)).div_ceil(u128::from(slow)) as u64
}
