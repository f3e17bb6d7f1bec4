//! Leases between clocks that drift (section 6.4.1).

/// How long the grantor of a lease has to wait, by its own clock, until the lease has also expired by the
/// lease holder's clock. The grantor's clock may be fast while the holder's is slow. The result has the unit
/// of `lease`.
///
/// `drift_ppm`: how fast or slow a clock may be, in parts per million.
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
