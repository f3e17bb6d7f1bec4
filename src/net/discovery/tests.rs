use super::*;

fn updates(reader: &mut ListReader, held: &mut ListState, text: &str) -> Vec<(ListUpdate, u64, usize)> {
    reader.add(text.as_bytes()).unwrap();
    let mut all = Vec::new();
    loop {
        match reader.next().unwrap() {
            Scan::List(mut list) => {
                all.extend(
                    held.accept(&mut list, false).map(|news| (news, list.version, list.servers.len())),
                );
            }
            Scan::Heartbeat => all.push(BEAT),
            Scan::Incomplete => return all,
        }
    }
}

const BEAT: (ListUpdate, u64, usize) = (ListUpdate::Heartbeat, 0, 0);

#[test]
fn changes_are_accepted_in_version_order_and_incomplete_lines_are_not_lists() {
    let entry = r#"{"id":"s-{1}\\","addr":"127.0.0.1:1","cell":3,"state":"terminating"}"#;
    let line = |version, full| format!("{{\"version\":{version},\"full\":{full},\"servers\":[{entry}]}}\n");
    let (mut reader, mut held) = (ListReader::default(), ListState { version: 41, ..ListState::default() });
    let mut news = |text: &str| updates(&mut reader, &mut held, text);
    assert_eq!(
        news(&format!("\n{}\r\n\n", line(42, false).trim())),
        [BEAT, (ListUpdate::Changes, 42, 1), BEAT]
    );
    assert_eq!(news(&line(42, false)), []);
    assert_eq!(news(&line(41, false)), []);
    let (a, b) = (line(44, false), line(45, true));
    assert_eq!(news(&a[..30]), []);
    let rest = news(&format!("{}{b}", &a[30..]));
    assert_eq!(rest, [(ListUpdate::Changes, 44, 1), (ListUpdate::Full, 45, 1)]);
    assert_eq!(news(&line(3, true)), [], "an older list on the same watch is dropped, full or not");
    assert_eq!(news(&line(45, true)), [(ListUpdate::Full, 45, 1)]);
}

#[test]
fn an_indented_list_is_read_from_pieces_of_any_size() {
    let servers: Vec<_> = (0..1024)
            .map(|n| serde_json::json!({"id": format!("s-{n}\"}}]"), "addr": "127.0.0.1:1", "cell": n, "state": "in_service"}))
            .collect();
    let list = serde_json::json!({"version": 7, "full": true, "servers": servers});
    let text = format!("{}\n\n", serde_json::to_string_pretty(&list).unwrap());
    assert!(text.len() < MAX_LIST_BYTES / 4);
    for piece in [1, 7, 4096, text.len()] {
        let (mut reader, mut held, mut all) = (ListReader::default(), ListState::default(), Vec::new());
        for piece in text.as_bytes().chunks(piece) {
            all.extend(updates(&mut reader, &mut held, std::str::from_utf8(piece).unwrap()));
        }
        // The newline after the list may arrive separately and then counts as a heartbeat, which changes nothing.
        assert_eq!(all[..2], [(ListUpdate::Full, 7, 1024), BEAT], "{piece}");
    }
}

#[test]
fn unreadable_and_oversized_lists_fail_the_watch() {
    for text in ["{\"version\":}", "nonsense\n", "]\n", "\"version\"\n", "{\"version\":1]"] {
        let mut reader = ListReader::default();
        reader.add(text.as_bytes()).unwrap();
        assert!(matches!(reader.next(), Err(WatchError::BadList(_))), "{text}");
    }
    let mut reader = ListReader::default();
    assert_eq!(reader.add(&vec![b'x'; MAX_LIST_BYTES + 1]), Err(WatchError::LongList));
}

/// A node is known to be leaving; a list then names it as in service.
#[test]
fn an_older_list_does_not_return_a_leaving_node_to_service() {
    use ListedState::*;
    let list = |version, full, nodes: &[(&str, ListedState, u64)]| {
        let node = |(id, state, started_ms): &(&str, ListedState, u64)| crate::config::ListedNode {
            id: id.to_string(),
            addr: "127.0.0.1:1".into(),
            zone: "a".into(),
            cell: 0,
            state: *state,
            started_ms: *started_ms,
        };
        NodeList { version, full, servers: nodes.iter().map(node).collect() }
    };
    for (case, version, full, first, started, state) in [
        ("older, as the first of a new watch", 40, true, true, 1, Some(Terminating)),
        ("of another start", 40, true, true, 2, Some(InService)),
        ("older, on the same watch", 40, true, false, 1, None),
        ("older changes", 40, false, true, 1, None),
        ("as new", 43, true, true, 1, Some(InService)),
        ("newer", 44, true, false, 1, Some(InService)),
        ("newer changes", 44, false, false, 1, Some(InService)),
    ] {
        let mut held = ListState::default();
        assert_eq!(held.accept(&mut list(42, true, &[("a", InService, 1)]), true), Some(ListUpdate::Full));
        assert_eq!(
            held.accept(&mut list(43, false, &[("a", Terminating, 1)]), false),
            Some(ListUpdate::Changes)
        );
        let mut later = list(version, full, &[("a", InService, started), ("b", InService, 0)]);
        let news = held.accept(&mut later, first);
        assert_eq!(news.map(|_| later.servers[0].state), state, "{case}");
        assert_eq!(later.servers[1].state, InService, "{case}");
    }
}
