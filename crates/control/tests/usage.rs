//! Tests of the sealing of usage windows: when a window is sealed, and with which counts.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::usage::{MIN_SEAL_DELAY_MS, SealRule, UsageTable};
use pathbank_protocol::message::UsageWindow;

const ALL_REPORTED: SealRule = SealRule { window_ms: 5_000, all_reported: true, max_delay_ms: 8_000 };

#[test]
fn a_new_leader_seals_nothing_before_all_edges_have_reported() {
    // The leader's term began long after the window's end, and one of two edges has reported.
    let mut table = UsageTable::default();
    let window = |count| [UsageWindow { window: 7, counts: vec![("t".into(), count)] }];
    table.record("edge-1", 1, &window(30), 0);
    let end = 8 * 5_000;
    let some_reported = SealRule { all_reported: false, ..ALL_REPORTED };
    // The leader waits for the other edge.
    assert_eq!(table.next_to_seal(end + MIN_SEAL_DELAY_MS + 1_000, some_reported, 0), None);
    table.record("edge-2", 1, &window(2_900), 0);
    let (_, counts) = table.next_to_seal(end + MIN_SEAL_DELAY_MS + 1_200, ALL_REPORTED, 0).unwrap();
    assert_eq!(counts["t"], 2_930);
    // It does not wait beyond the time at which usage is due: an edge that never reports delays nothing.
    assert_eq!(table.next_to_seal(end + 7_999, some_reported, 0), None);
    assert!(table.next_to_seal(end + 8_000, some_reported, 0).is_some());
}

#[test]
fn a_window_is_sealed_after_the_delay_with_the_counts_of_all_edges() {
    let mut table = UsageTable::default();
    let window = |count| [UsageWindow { window: 7, counts: vec![("t".into(), count)] }];
    table.record("edge-1", 1, &window(3), 0);
    table.record("edge-1", 1, &window(2), 0);
    table.record("edge-1", 2, &window(4), 0);
    table.record("edge-2", 1, &window(5), 0);
    let end = 8 * 5_000;
    assert_eq!(table.next_to_seal(end + MIN_SEAL_DELAY_MS - 1, ALL_REPORTED, 0), None);
    let (sealed, counts) = table.next_to_seal(end + MIN_SEAL_DELAY_MS, ALL_REPORTED, 0).unwrap();
    assert_eq!(
        (sealed, counts["t"]),
        (7, 12),
        "an older report lowers no count; counts of another start of the edge are added"
    );
    assert_eq!(table.next_to_seal(end + MIN_SEAL_DELAY_MS, ALL_REPORTED, 7), None, "sealed");
    table.record("edge-1", 1, &window(9), 7);
    assert_eq!(table.next_to_seal(end + MIN_SEAL_DELAY_MS, ALL_REPORTED, 7), None, "the window stays sealed");
}
