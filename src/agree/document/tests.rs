use super::*;

fn values() -> Vec<Value> {
    let limit = |rate, least| Value::Limit { rate, least };
    let mut all = vec![limit(0.0, 0.0), limit(5.0, 1.0), limit(5.0, 5.0), limit(9.0, 2.0)];
    all.extend([1, 2, 3].map(Value::Attempts));
    all.extend([Repeats::Never, Repeats::Keyed, Repeats::Always].map(Value::Repeats));
    all.extend([Value::Node(true), Value::Node(false)]);
    all
}

#[test]
fn the_strictest_of_two_values_satisfies_both_and_fewer_leases_are_never_laxer() {
    for a in values() {
        assert!(
            a.satisfies(&a)
                && a.at_level(LeaseLevel::LongLease).satisfies(&a)
                && a.at_level(LeaseLevel::NoLease).satisfies(&a.at_level(LeaseLevel::LongLease))
        );
        for b in values().into_iter().filter(|b| b.kind() == a.kind()) {
            let strictest = a.strictest(&b);
            assert!(strictest.satisfies(&a) && strictest.satisfies(&b), "{a:?} {b:?}: {strictest:?}");
            assert!(
                a.at_level(LeaseLevel::NoLease).satisfies(&b),
                "{a:?} {b:?}: without a lease a process violates no value"
            );
            // If a change doesn't wait for long leases, a process on a long lease satisfies both values.
            assert!(a.needs_long_lease(&b) || a.at_level(LeaseLevel::LongLease).satisfies(&b), "{a:?} {b:?}");
            for c in values().into_iter().filter(|c| c.kind() == a.kind()) {
                assert!(!(a.satisfies(&b) && b.satisfies(&c)) || a.satisfies(&c), "{a:?} {b:?} {c:?}");
            }
        }
    }
}

fn edit(base: u64, changes: &[(&str, Option<Value>)]) -> DocumentChange {
    DocumentChange {
        base,
        changes: changes.iter().map(|(field, value)| (field.to_string(), value.clone())).collect(),
    }
}

#[test]
fn edits_of_the_same_base_version_merge_unless_they_change_the_same_field() {
    let limit = |rate| Some(Value::Limit { rate, least: 1.0 });
    let one =
        Document::default().edited(&edit(0, &[("a", limit(5.0)), ("b", Some(Value::Attempts(3)))])).unwrap();
    let two = one.edited(&edit(1, &[("a", limit(4.0))])).unwrap();
    let three = two.edited(&edit(1, &[("b", Some(Value::Attempts(2)))])).unwrap();
    assert_eq!((three.version, three.fields["a"].clone()), (3, limit(4.0).unwrap()));
    assert_eq!(three.fields["b"], Value::Attempts(2), "neither edit drops the other's field");
    for (edit, wanted) in [
        (edit(1, &[("a", limit(9.0))]), EditRejection::Conflict(vec!["a".into()])),
        (edit(4, &[("a", limit(9.0))]), EditRejection::Ahead),
        (edit(3, &[]), EditRejection::Empty),
        (
            edit(3, &[("a", limit(0.5))]),
            EditRejection::Fault {
                field: "a".into(),
                what: "a limit is at least its `least`, which is at least 0".into(),
            },
        ),
        (
            edit(3, &[("a", limit(f64::NAN))]),
            EditRejection::Fault { field: "a".into(), what: "a limit is a finite number".into() },
        ),
        (
            edit(3, &[("b", Some(Value::Attempts(0)))]),
            EditRejection::Fault { field: "b".into(), what: "there is one attempt at least".into() },
        ),
        (edit(3, &[("a", None)]), EditRejection::Kind { field: "a".into() }),
        (edit(3, &[("a", Some(Value::Node(true)))]), EditRejection::Kind { field: "a".into() }),
    ] {
        assert_eq!(three.edited(&edit), Err(wanted), "{edit:?}");
    }
}

#[test]
fn only_changes_that_a_long_lease_could_violate_wait_for_long_leases() {
    let with = |value| Document { fields: BTreeMap::from([("x".to_string(), value)]), ..Document::default() };
    let limit = |rate, least| Value::Limit { rate, least };
    for (before, after, long) in [
        (limit(9.0, 2.0), limit(3.0, 2.0), false),
        (limit(9.0, 2.0), limit(3.0, 1.0), false),
        (limit(9.0, 2.0), limit(1.0, 1.0), true),
        (Value::Attempts(3), Value::Attempts(1), false),
        (Value::Repeats(Repeats::Always), Value::Repeats(Repeats::Never), false),
        (Value::Node(true), Value::Node(false), true),
        (Value::Node(false), Value::Node(true), false),
        (Value::Plain("a".into()), Value::Plain("b".into()), false),
    ] {
        assert_eq!(with(before.clone()).needs_long_lease(&with(after.clone())), long, "{before:?} {after:?}");
    }
    assert!(
        Document::default().needs_long_lease(&with(Value::Attempts(1))),
        "a process that has not prepared for a new rule could violate it"
    );
}
