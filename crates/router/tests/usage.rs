//! Tests of the usage counts by tenant and window.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_router::usage::UsageCounter;

#[test]
fn usage_is_counted_by_wall_clock_window() {
    let mut usage = UsageCounter::new(5_000);
    usage.record_start(9_999, "a");
    usage.record_start(10_000, "a");
    usage.record_start(10_001, "b");
    assert_eq!(usage.take_changed().len(), 2);
    usage.record_start(10_002, "b");
    assert_eq!(usage.take_changed().iter().map(|window| window.window).collect::<Vec<_>>(), [2]);
    assert!(usage.take_changed().is_empty());
    let windows = usage.windows();
    assert_eq!((windows[0].window, windows[0].counts.as_slice()), (1, &[("a".to_owned(), 1)][..]));
    assert_eq!(windows[1].counts, [("a".to_owned(), 1), ("b".to_owned(), 2)]);
    usage.record_start(100_000, "a");
    assert_eq!(usage.windows().len(), 1, "windows that are sealed by then are dropped");
}
