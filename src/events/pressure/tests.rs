use super::*;

#[test]
fn higher_levels_are_entered_at_once_and_left_after_the_minimum_time() {
    let mut pressure = Pressure::default();
    let ms = 1_000;
    for (now, open, wanted) in [
        (0, 49, None),
        (1, 50, Some((Level::Calm, Level::Busy))),
        (2, 36, None),
        (3, 90, Some((Level::Busy, Level::Full))),
        (4, 10, None),
        (1_002, 10, None),
        (1_003, 80, None),
        (1_004, 74, Some((Level::Full, Level::Busy))),
        (2_003, 0, None),
        (2_004, 0, Some((Level::Busy, Level::Calm))),
        (2_005, 95, Some((Level::Calm, Level::Full))),
    ] {
        assert_eq!(pressure.note(now * ms, open, 100), wanted, "at {now}");
    }
}

#[test]
fn a_load_around_a_threshold_does_not_make_the_level_alternate() {
    let (mut pressure, mut changes) = (Pressure::default(), 0);
    let mut random = fastrand::Rng::with_seed(5);
    for tick in 0..300_000u64 {
        let open = 44 + random.usize(0..13);
        changes += usize::from(pressure.note(tick * 1_000, open, 100).is_some());
    }
    assert_eq!(changes, 1, "five minutes between 44 and 56 of 100");
}
