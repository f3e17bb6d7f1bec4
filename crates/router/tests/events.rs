//! Tests of the tracking of a stream's events.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_router::events::EventTracker;
use test_case::test_case;

fn pass_all(tracker: &mut EventTracker, stream: &[u8], chunk_size: usize) -> Vec<u8> {
    stream.chunks(chunk_size).flat_map(|bytes| tracker.pass(bytes)).collect()
}

#[test_case(1; "byte by byte")]
#[test_case(7; "seven bytes at a time")]
#[test_case(1_000; "at once")]
fn passes_complete_events_and_tracks_the_last_id(chunk_size: usize) {
    let mut tracker = EventTracker::default();
    let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c";
    let passed = pass_all(&mut tracker, stream, chunk_size);
    assert_eq!(passed, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(tracker.last_id(), Some("2"));
    tracker.broke();
    assert!(tracker.finish().is_empty(), "the next model server sends the third event in full");
}

#[test]
fn a_regular_end_passes_the_remaining_bytes() {
    let mut tracker = EventTracker::default();
    let mut passed = tracker.pass(b"id:9\r\ndata: x\r\n\r\ntail");
    passed.extend(tracker.finish());
    assert_eq!(passed, b"id:9\r\ndata: x\r\n\r\ntail");
    assert_eq!(tracker.last_id(), Some("9"));
}
