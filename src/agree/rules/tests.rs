use super::*;
use crate::agree::document::{DocumentChange, Edit};
use crate::agree::lease_holder::LeaseHolder;
use crate::agree::{Command, Entry, HolderId, Message, Timings};
use crate::interface::Class;

fn base() -> Settings {
    let class = |repeats| Class { repeats, ..Class::default() };
    let repeats = [interface::Repeats::Safe, interface::Repeats::Keyed, interface::Repeats::Unsafe];
    Settings {
        classes: repeats.map(class).to_vec(),
        plans: vec![Plan { limit: 8.0, limit_burst: 16.0, ..Plan::default() }, Plan::default()],
        max_attempts: 4,
        ..Settings::default()
    }
}

fn names() -> Names {
    let names = |all: &[&str]| all.iter().map(std::string::ToString::to_string).collect();
    Names { classes: names(&["read", "keyed", "once"]), plans: names(&["gold", "free"]) }
}

/// A process whose leases started at 0 and that has applied `edits`. The first `in_force` of them are in force, the
/// others prepared.
fn holder(edits: &[&[(&str, &str, Value)]], in_force: usize) -> LeaseHolder {
    let voters = BTreeMap::from([(1, String::new())]);
    let mut holder = LeaseHolder::new(HolderId { head: "n0".into(), start: 1 }, &voters, Timings::default());
    let mut entries = Vec::new();
    let mut versions: BTreeMap<&str, u64> = BTreeMap::new();
    for (id, edit) in edits.iter().enumerate() {
        let mut parts: BTreeMap<String, DocumentChange> = BTreeMap::new();
        for (document, field, value) in *edit {
            let base = versions.get(document).copied().unwrap_or(0);
            let part = parts
                .entry(document.to_string())
                .or_insert(DocumentChange { base, changes: BTreeMap::new() });
            part.changes.insert(field.to_string(), Some(value.clone()));
        }
        edit.iter()
            .map(|(document, ..)| *document)
            .collect::<std::collections::BTreeSet<_>>()
            .into_iter()
            .for_each(|document| *versions.entry(document).or_insert(0) += 1);
        let edit = Edit { id: id as u64, parts, who: String::new(), why: String::new(), at_ms: 0 };
        entries.push(Entry { term: 1, command: Command::Edit(edit) });
    }
    entries.insert(in_force, Entry { term: 1, command: Command::ActivateUpTo(in_force as Index) });
    let granted =
        Message::LeaseReply { start: 1, requested_at: 0, granted: true, after: 0, snapshot: None, entries };
    holder.step(1, granted);
    holder
}

#[test]
fn rules_follow_the_documents_and_get_stricter_as_leases_expire() {
    let limit = |rate| Value::Limit { rate, least: 1.0 };
    let first: &[(&str, &str, Value)] = &[
        ("plan/gold", "limit", limit(4.0)),
        ("plan/gold", "weight", Value::Plain("2.5".into())),
        ("plan/free", "limit", limit(3.0)),
        ("plan/free", "price", Value::Plain("much".into())),
        ("class/read", "attempts", Value::Attempts(3)),
        ("class/keyed", "repeats", Value::Repeats(Repeats::Keyed)),
        ("nodes", "s-1", Value::Node(false)),
        ("volumes", "0a", Value::Plain("free".into())),
        ("volumes", "0b", Value::Plain("none".into())),
    ];
    let second: &[(&str, &str, Value)] =
        &[("plan/gold", "limit", limit(2.0)), ("class/read", "repeats", Value::Repeats(Repeats::Never))];
    let holder = holder(&[first, second], 1);
    let mut rules = Rules::new(base(), names(), holder.view().clone());
    let formatted = |rules: &Rules| {
        let settings = rules.settings();
        let limits: Vec<(f64, f64)> = settings.plans.iter().map(|p| (p.limit, p.limit_burst)).collect();
        let repeats: Vec<interface::Repeats> = settings.classes.iter().map(|c| c.repeats).collect();
        let accepts = (rules.accepts_requests("s-1"), rules.accepts_requests("s-2"));
        (limits, repeats, (0..3).map(|class| rules.attempts(class)).collect::<Vec<_>>(), accepts)
    };
    use interface::Repeats::{Keyed, Unsafe};
    let times = Timings::default();
    for (at, level, wanted) in [
        (
            0,
            LeaseLevel::FullLease,
            (vec![(2.0, 4.0), (3.0, 3.0)], vec![Unsafe, Keyed, Unsafe], vec![3, 4, 4], (false, true)),
        ),
        (
            times.lease,
            LeaseLevel::LongLease,
            (vec![(1.0, 2.0), (1.0, 1.0)], vec![Unsafe, Unsafe, Unsafe], vec![1, 4, 4], (false, true)),
        ),
        (
            times.long_lease,
            LeaseLevel::NoLease,
            (
                vec![(MIN_RATE, 0.0), (MIN_RATE, 0.0)],
                vec![Unsafe, Unsafe, Unsafe],
                vec![1, 0, 0],
                (false, false),
            ),
        ),
    ] {
        let was = rules.level();
        let change = rules.refresh(at, holder.view()).expect("the leases have changed");
        assert_eq!((change.level, change.was), (level, was));
        assert!(rules.refresh(at, holder.view()).is_none(), "nothing has changed since");
        assert_eq!(formatted(&rules), wanted, "{level:?}");
    }
    assert_eq!(rules.settings().plans[0].weight, 2.5);
    assert_eq!((rules.plan(10), rules.plan(11)), (Some(1), None));
    assert_eq!(rules.ignored(), ["plan/free.price", "volumes.0b"]);
}

#[test]
fn stricter_rules_apply_to_admitted_requests_but_laxer_ones_do_not() {
    let strict: &[(&str, &str, Value)] = &[
        ("class/read", "attempts", Value::Attempts(1)),
        ("class/keyed", "repeats", Value::Repeats(Repeats::Never)),
    ];
    let lax: &[(&str, &str, Value)] = &[
        ("class/read", "attempts", Value::Attempts(3)),
        ("class/keyed", "repeats", Value::Repeats(Repeats::Always)),
    ];
    let rules = |edits: &[&[(&str, &str, Value)]]| {
        let holder = holder(edits, edits.len());
        let mut rules = Rules::new(base(), names(), holder.view().clone());
        rules.refresh(0, holder.view());
        rules
    };
    let (none, one, two) = (rules(&[]), rules(&[strict]), rules(&[strict, lax]));
    for (at_arrival, now, class, attempt, ran, wanted) in [
        (&none, &none, 0, 3, true, true),
        (&none, &none, 0, 4, true, false),
        (&none, &one, 0, 0, false, true),
        (&none, &one, 0, 1, false, false),
        (&one, &two, 0, 1, false, false),
        (&two, &two, 0, 2, false, true),
        (&none, &one, 1, 1, true, false),
        (&none, &one, 1, 1, false, true),
        (&one, &two, 1, 1, true, false),
        (&two, &two, 1, 1, true, true),
    ] {
        let admitted = at_arrival.admit(class);
        assert_eq!(
            now.allows(class, admitted, attempt, ran, "s-9"),
            wanted,
            "{admitted:?} {class} {attempt} {ran}"
        );
    }
}
