//! Tests of the history of documents that a core keeps.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::document::Document;
use pathbank_control::document_history::DocumentHistory;

fn known(history: &DocumentHistory, indices: std::ops::RangeInclusive<u64>) -> Vec<u64> {
    indices.filter(|index| history.get(*index).is_some()).collect()
}

#[test]
fn the_latest_documents_are_found_by_their_log_index() {
    let mut history = DocumentHistory::default();
    for index in [3, 5, 5, 4, 9] {
        history.record(index, &Document::default(), 100);
    }
    assert_eq!(known(&history, 1..=10), [3, 5, 9]);
}

#[test]
fn the_number_of_documents_is_bounded() {
    let mut history = DocumentHistory::default();
    (1..=1_000).for_each(|index| history.record(index, &Document::default(), 100));
    assert_eq!(known(&history, 1..=1_000), (745..=1_000).collect::<Vec<_>>());
}

/// An operator who always sends complete documents of a megabyte must not fill the memory of a small machine.
#[test]
fn the_bytes_of_their_changes_are_bounded() {
    let mut history = DocumentHistory::default();
    (1..=20).for_each(|index| history.record(index, &Document::default(), 300 * 1024));
    assert_eq!(known(&history, 1..=20), [18, 19, 20]);
    history.record(21, &Document::default(), 4 * 1024 * 1024);
    assert_eq!(known(&history, 1..=21), [21], "the newest is always known");
}
