use super::*;
use crate::agree::{Command, report};

fn edit(id: u64, document: &str, base: u64, change: &str) -> Entry {
    let edit = report::edit(id, document, base, &[change.to_string()], ("ops", "a test", 0)).unwrap();
    Entry { term: 1, command: Command::Edit(edit) }
}

/// A limit of 9, then of 4, the class's attempts at 2, a node out; one second apart, each in force at once.
fn history() -> History {
    let edits = [
        edit(1, PLAN, 0, "limit=limit:9,1"),
        edit(2, PLAN, 1, "limit=limit:4,1"),
        edit(3, CLASS, 0, "attempts=attempts:2"),
        edit(4, NODES, 0, "s-1=node:out"),
    ];
    let mut log = BTreeMap::new();
    let mut in_force = BTreeMap::new();
    for (place, edit) in edits.into_iter().enumerate() {
        let index = 2 * place as u64 + 1;
        log.insert(index, edit);
        log.insert(index + 1, Entry { term: 1, command: Command::ActivateUpTo(index) });
        in_force.insert(index, (place as u64 + 1) * SECOND);
    }
    let acknowledged = |id, entry, at| Acknowledged { asked_us: at, told_us: at + 10, entry, id };
    History {
        in_force,
        logs: vec![(1, log.clone()), (2, log)],
        acknowledged: vec![acknowledged(1, 1, 1), acknowledged(2, 3, 100)],
        reads: vec![Read { asked_us: 500, told_us: 600, up_to: 3 }],
        heads: 2,
        ..History::default()
    }
}

fn act(at_us: u64, late_us: u64, limit: f64, attempt: u64, node: &str) -> Act {
    Act { head: 0, at_us, late_us, class: 0, attempt, node: node.into(), limit }
}

#[test]
fn every_act_against_what_is_in_force_is_found_and_no_other() {
    let s = SECOND;
    for (act, wrong) in [
        (act(s / 2, 1, 0.0, 9, "s-1"), false),
        (act(s + s / 2, 1, 9.0, 0, "s-2"), false),
        (act(s + s / 2, 1, 0.0, 0, "s-2"), true),
        (act(s + s / 2, 1, 10.0, 0, "s-2"), true),
        (act(2 * s + s / 2, 1, 9.0, 0, "s-2"), true),
        // Looked at before, acted after: as long as that takes.
        (act(2 * s + s / 2, s, 9.0, 0, "s-2"), false),
        (act(2 * s + s / 2, 1, 4.0, 3, "s-2"), false),
        (act(3 * s + s / 2, 1, 4.0, 2, "s-2"), true),
        (act(3 * s + s / 2, 1, 4.0, 1, "s-1"), false),
        (act(4 * s + s / 2, 1, 2.0, 1, "s-1"), true),
    ] {
        let verdict = judge(&History { acts: vec![act.clone()], ..history() });
        assert_eq!(!verdict.problems.is_empty(), wrong, "{act:?}: {:?}", verdict.problems);
        assert_eq!(verdict.longest_us > 0, wrong);
    }
}

#[test]
fn lost_edits_old_reads_forked_logs_and_units_beyond_the_limit_are_found() {
    let sound = history();
    assert_eq!(judge(&sound).problems, Vec::<String>::new());
    let mut lost = history();
    lost.acknowledged[1].id = 77;
    let mut old = history();
    old.reads[0].up_to = 2;
    let mut late = history();
    late.acknowledged[1].asked_us = 700;
    late.acknowledged[1].told_us = 800;
    late.acknowledged[0] = Acknowledged { asked_us: 0, told_us: 1, entry: 3, id: 2 };
    // Two on one base, both said to count.
    let mut both = history();
    both.logs.iter_mut().for_each(|(_, log)| drop(log.insert(9, edit(5, PLAN, 1, "limit=limit:7,1"))));
    both.acknowledged.push(Acknowledged { asked_us: 900, told_us: 910, entry: 9, id: 5 });
    let mut forked = history();
    forked.logs[1].1.insert(3, edit(9, PLAN, 1, "limit=limit:1,1"));
    let mut hole = history();
    hole.logs.iter_mut().for_each(|(_, log)| drop(log.remove(&2)));
    let mut spent = history();
    spent.seen = (0..30).map(|i| 6 * SECOND + i).collect();
    for (what, history) in [
        ("lost", lost),
        ("old", old),
        ("late", late),
        ("both", both),
        ("forked", forked),
        ("hole", hole),
        ("spent", spent),
    ] {
        assert_eq!(judge(&history).problems.len(), 1, "{what}: {:?}", judge(&history).problems);
    }
    let within = History { seen: (0..10).map(|i| 6 * SECOND + i).collect(), ..history() };
    assert_eq!(judge(&within).problems, Vec::<String>::new());
}
