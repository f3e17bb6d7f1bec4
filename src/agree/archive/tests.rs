use super::*;
use crate::agree::Command;

#[test]
fn old_entries_are_archived_in_full_segments_and_the_last_ones_stay() {
    let range = |from, to| Some(EntryRange { from, to });
    for (first, base, keep, due) in [
        (1, 100, 50, range(1, 50)),
        (1, 99, 50, None),
        (51, 150, 50, range(51, 100)),
        (51, 149, 50, None),
        (1, 10_000, 5_000, range(1, 4_096)),
        (4_097, 10_000, 5_000, None),
        (1, 2, 1, range(1, 1)),
        // The last entry always stays: the next one follows it.
        (1, 1, 1, None),
        (0, 100, 1, None),
        (1, 100, u64::MAX, None),
    ] {
        assert_eq!(next_segment(first, base, keep), due, "{first} {base} {keep}");
    }
}

#[test]
fn segment_names_sort_as_entries_and_other_names_are_rejected() {
    let ranges = [
        EntryRange { from: 1, to: 9 },
        EntryRange { from: 10, to: 99 },
        EntryRange { from: 100, to: u64::MAX },
    ];
    let names = ranges.map(|range| range.name());
    assert!(names.is_sorted());
    assert_eq!(names.each_ref().map(|name| EntryRange::parse(name)), ranges.map(Some));
    let name = &names[0];
    for other in [
        "",
        "agree.redb",
        &name.replace(".jsonl", ".tmp"),
        &name.replace('-', ""),
        &name[1..],
        &name.replacen("01-", "00-", 1),
        &name.replacen("01-", "0x-", 1),
        &EntryRange { from: 5, to: 4 }.name(),
    ] {
        assert_eq!(EntryRange::parse(other), None, "{other}");
    }
}

#[test]
fn verification_names_the_first_corrupt_entry() {
    let entry = |term| Entry { term, command: Command::Noop };
    let mut digests = vec![Digest::default()];
    (1..=9).for_each(|i| digests.push(next_digest(&digests[i - 1], &entry(i as u64))));
    // Stored entries as index and term (an entry is corrupt if they differ), whether the digest before a gap is known,
    // and the expected result.
    type Row = (&'static [(u64, u64)], bool, u64, &'static [(u64, u64)], Option<u64>);
    let rows: &[Row] = &[
        (&[(1, 1), (2, 2), (3, 3)], true, 3, &[], None),
        (&[(1, 1), (2, 7), (3, 3)], true, 1, &[], Some(2)),
        (&[(1, 1), (2, 2), (2, 9), (3, 3)], true, 3, &[], None),
        (&[(4, 4), (5, 5)], true, 2, &[(1, 3)], None),
        (&[(4, 4), (5, 5)], false, 0, &[(1, 3)], Some(4)),
        (&[(1, 1), (4, 5)], true, 1, &[(2, 3)], Some(4)),
    ];
    for (stored, known, entries, gaps, corrupt) in rows {
        let mut chain = DigestChain::default();
        for (index, term) in *stored {
            let before = || known.then(|| digests[*index as usize - 1]);
            chain.follow(*index, Some((&digests[*index as usize], &entry(*term))), before);
        }
        let found = chain.finish();
        assert_eq!(
            (found.entries, &found.gaps[..], found.corrupt),
            (*entries, *gaps, *corrupt),
            "{stored:?}"
        );
    }
}
