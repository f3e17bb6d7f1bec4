use super::*;
use crate::agree::Command;
use crate::agree::document::{DocumentChange, Edit};

/// What the holder may do by the fields of a document, and by fields that no document has.
fn permitted(holder: &LeaseHolder, now: Micros) -> String {
    let holder = holder.view();
    let of = |name: &str| {
        let limit = holder.limit(now, name, "rate").map_or("any".into(), |rate| rate.to_string());
        let attempts = holder.attempts(now, name, "tries").map_or("any".into(), |most| most.to_string());
        let repeats = holder.repeats(now, name, "again").map_or("any".into(), |some| format!("{some:?}"));
        format!("{limit} {attempts} {repeats} {}", holder.accepts_requests(now, name, "node"))
    };
    format!("{} | {}", of("plan"), of("none"))
}

#[test]
fn effective_values_follow_the_leases_to_the_microsecond() {
    let (times, id) = (Timings::default(), HolderId { head: "n0".into(), start: 2 });
    let mut holder = LeaseHolder::new(id, &(0..3).map(|id| (id, String::new())).collect(), times);
    let fields = [
        ("rate", Value::Limit { rate: 9.0, least: 2.0 }),
        ("tries", Value::Attempts(3)),
        ("again", Value::Repeats(Repeats::Always)),
        ("node", Value::Node(true)),
    ];
    let changes = fields.into_iter().map(|(field, value)| (field.to_string(), Some(value))).collect();
    let parts = BTreeMap::from([("plan".to_string(), DocumentChange { base: 0, changes })]);
    let edit = Edit { id: 1, parts, who: "ops".into(), why: "a test".into(), at_ms: 0 };
    let log =
        [Command::Edit(edit), Command::ActivateUpTo(1)].map(|command| Entry { term: 1, command }).to_vec();
    let no_lease = "0 1 Never false | 0 1 Never false";
    assert_eq!(permitted(&holder, 50), no_lease, "no lease yet");
    let reply = |start, requested_at, granted, after, entries: &[Entry]| Message::LeaseReply {
        start,
        requested_at,
        granted,
        after,
        snapshot: None,
        entries: entries.to_vec(),
    };
    holder.step(0, reply(2, 100, true, 0, &log));
    // None of these counts towards a majority: a refusal, a grant of a process that is no voter, and a grant to an
    // earlier process of this host.
    for (from, start, granted) in [(1, 2, false), (7, 2, true), (2, 1, true)] {
        holder.step(from, reply(start, 100, granted, 0, &log));
        assert_eq!(permitted(&holder, 100), no_lease, "{from}");
    }
    // Entries that are repeated or follow a gap don't change the state.
    holder.step(1, reply(2, 100, true, 7, &log));
    assert_eq!(holder.state().applied(), 2);
    let (full_lease, long_lease) =
        ("9 3 Always true | any any any true", "2 1 Never true | any any any true");
    for (after, wanted) in [
        (0, full_lease),
        (times.lease - 1, full_lease),
        (times.lease, long_lease),
        (times.long_lease - 1, long_lease),
        (times.long_lease, no_lease),
    ] {
        assert_eq!(permitted(&holder, 100 + after), wanted, "{after} us after the request");
    }
}
