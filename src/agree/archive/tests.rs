use super::*;
use crate::agree::Command;

#[test]
fn old_entries_are_archived_in_full_segments_and_the_last_ones_stay() {
    let span = |from, to| Some(EntryRange { from, to });
    for (first, base, keep, due) in [
        (1, 100, 50, span(1, 50)),
        (1, 99, 50, None),
        (51, 150, 50, span(51, 100)),
        (51, 149, 50, None),
        (1, 10_000, 5_000, span(1, 4_096)),
        (4_097, 10_000, 5_000, None),
        (1, 2, 1, span(1, 1)),
        // Never all: the ledger's own entry is what the next one follows on.
        (1, 1, 1, None),
        (0, 100, 1, None),
        (1, 100, u64::MAX, None),
    ] {
        assert_eq!(next_segment(first, base, keep), due, "{first} {base} {keep}");
    }
}

#[test]
fn segment_names_sort_as_entries_and_other_names_are_rejected() {
    let spans = [
        EntryRange { from: 1, to: 9 },
        EntryRange { from: 10, to: 99 },
        EntryRange { from: 100, to: u64::MAX },
    ];
    let names = spans.map(|span| span.name());
    assert!(names.is_sorted());
    assert_eq!(names.each_ref().map(|name| EntryRange::parse(name)), spans.map(Some));
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
    // Entries as they are told, those of a pair with another term than was written; and what is found.
    type Row = (&'static [(u64, u64)], bool, u64, &'static [(u64, u64)], Option<u64>);
    let rows: &[Row] = &[
        (&[(1, 1), (2, 2), (3, 3)], true, 3, &[], None),
        (&[(1, 1), (2, 7), (3, 3)], true, 1, &[], Some(2)),
        (&[(1, 1), (2, 2), (2, 9), (3, 3)], true, 3, &[], None),
        (&[(4, 4), (5, 5)], true, 2, &[(1, 3)], None),
        (&[(4, 4), (5, 5)], false, 0, &[(1, 3)], Some(4)),
        (&[(1, 1), (4, 5)], true, 1, &[(2, 3)], Some(4)),
    ];
    for (told, known, entries, gaps, wrong) in rows {
        let mut chain = DigestChain::default();
        for (index, term) in *told {
            let before = || known.then(|| digests[*index as usize - 1]);
            chain.follow(*index, Some((&digests[*index as usize], &entry(*term))), before);
        }
        let found = chain.finish();
        assert_eq!((found.entries, &found.gaps[..], found.corrupt), (*entries, *gaps, *wrong), "{told:?}");
    }
}
