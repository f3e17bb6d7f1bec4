//! Tests of the wall clock that is derived from the cores' clocks.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_router::wall_clock::WallClock;

#[test]
fn a_jump_of_one_clock_does_not_move_the_median() {
    let mut clock = WallClock::default();
    assert_eq!(clock.now(5, 42), 42, "without a sample the own clock is used");
    for (core, wall) in [("a", 1_000_000), ("b", 1_000_010), ("c", 9_000_000)] {
        clock.observe(100, core, wall);
    }
    assert_eq!(clock.now(150, 0), 1_000_060);
    assert_eq!(
        clock.now(60_000, 7),
        1_059_910,
        "without new samples the monotonic clock advances the last one"
    );
}
