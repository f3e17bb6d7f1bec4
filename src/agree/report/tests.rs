use super::*;

#[test]
fn formatted_values_parse_back_and_other_texts_are_rejected() {
    for text in [
        "limit:10,2",
        "limit:0.5,0",
        "attempts:3",
        "repeats:never",
        "repeats:keyed",
        "repeats:always",
        "node:in",
        "node:out",
        "plain:a=b, c",
        "plain:",
    ] {
        assert_eq!(parse_value(text).unwrap().as_ref().map(value).as_deref(), Some(text));
    }
    assert_eq!(parse_value("limit:10").unwrap().map(|at| value(&at)).as_deref(), Some("limit:10,0"));
    assert_eq!(parse_value("none").unwrap(), None);
    for text in [
        "",
        "10",
        "limit:",
        "limit:x",
        "limit:inf",
        "attempts:-1",
        "attempts:1.5",
        "repeats:often",
        "node:maybe",
        "colour:red",
    ] {
        assert!(parse_value(text).unwrap_err().to_string().contains("is not a value: expected "), "{text}");
    }
    for text in ["limit:1", "=limit:1", "a\nb=limit:1"] {
        assert!(parse_change(text).is_err(), "{text}");
    }
}

#[test]
fn a_history_lists_each_version_and_a_diff_shows_changed_fields() {
    let edit = |id, base, change: &str| {
        let edit = edit(id, "plan/gold", base, &[change.to_string()], ("ops", "less", 1_000)).unwrap();
        Entry { term: 1, command: Command::Edit(edit) }
    };
    let entries = [edit(1, 0, "limit=limit:9,1"), edit(2, 0, "limit=limit:5"), edit(3, 1, "limit=limit:4,1")];
    let versions = versions(entries.iter(), "plan/gold");
    assert_eq!(
        versions.iter().map(|at| at.version).collect::<Vec<_>>(),
        [0, 1, 2],
        "the second edit was rejected"
    );
    assert_eq!(diff(&versions[1], &versions[2]), "limit: limit:9,1 -> limit:4,1\n");
    let formatted = entry(7, &entries[2], None).unwrap();
    assert_eq!(
        formatted,
        "7: edit 3 by ops at 1970-01-01T00:00:01Z: less\n  plan/gold.limit=limit:4,1 (on version 1)\n"
    );
    assert_eq!(entry(7, &entries[2], Some("nodes")), None);
    assert_eq!(
        document("plan/gold", &versions[1], ""),
        "plan/gold version 1\n  limit=limit:9,1 (since version 1)\n"
    );
}
