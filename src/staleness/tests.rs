use super::*;

const S: Micros = 1_000_000;

/// The case, whether discovery is asked, the updates, and until when the list is usable, in tenths of a
/// second.
type Row = (&'static str, bool, &'static [(u64, ListUpdate)], u64);

/// Returns until when the list is usable after the updates; times are tenths of a second after the start.
fn after(asked: bool, hosts: u32, max_unsubscribed: u64, news: &[(u64, ListUpdate)]) -> u64 {
    let drain_grace = S;
    let settings =
        Settings { must_subscribe: asked, hosts, max_unsubscribed, drain_grace, ..Settings::default() };
    let mut list = Staleness::default();
    for (at, news) in news {
        let now = 100 * S + at * S / 10;
        list.call(now.saturating_sub(S));
        list.note(now, *news, &settings);
    }
    let until = list.good_until(&settings);
    if until == Micros::MAX { u64::MAX } else { (until - 100 * S) * 10 / S }
}

#[test]
fn the_list_is_usable_until_missed_changes_count_as_told_and_most_of_the_time_to_stop_has_passed() {
    use ListUpdate::*;
    const NO_LIMIT: u64 = u64::MAX;
    let rows: &[Row] = &[
        ("asked, after a start", true, &[(0, Cached)], 68),
        ("asked, a start whose calls fail", true, &[(0, Cached), (50, Failed), (90, Failed)], 148),
        ("asked, watch established", true, &[(0, Cached), (10, Subscribed), (11, Full)], 79),
        ("asked, heartbeats", true, &[(0, Cached), (10, Subscribed), (30, Heartbeat), (50, Heartbeat)], 118),
        ("asked, silent watch", true, &[(10, Subscribed), (30, Heartbeat), (55, TimedOut)], 98),
        (
            "a failed call is no update",
            true,
            &[(10, Subscribed), (30, Heartbeat), (55, TimedOut), (80, Failed)],
            98,
        ),
        ("heartbeat of a silent watch", true, &[(30, Subscribed), (55, TimedOut), (60, Heartbeat)], 98),
        ("watch renewed", true, &[(30, Subscribed), (55, TimedOut), (80, Subscribed)], 148),
        ("asked, watch ended", true, &[(10, Subscribed), (30, Heartbeat), (40, Failed)], 98),
        ("a call without an answer", true, &[(0, Cached), (40, TimedOut)], 68),
        ("two calls without an answer", true, &[(0, Cached), (40, TimedOut), (80, TimedOut)], 68),
        (
            "watch ended, then a call without an answer",
            true,
            &[(30, Subscribed), (40, Failed), (55, TimedOut)],
            98,
        ),
        (
            "discovery down, then a call without an answer",
            true,
            &[(30, Subscribed), (40, Failed), (55, Failed), (70, TimedOut)],
            113,
        ),
        (
            "discovery moved",
            true,
            &[(10, Subscribed), (30, Heartbeat), (35, Moved), (50, Heartbeat), (60, Failed)],
            83,
        ),
        ("discovery moved twice", true, &[(10, Subscribed), (35, Moved), (60, Moved), (65, Heartbeat)], 83),
        (
            "discovery moved, watch established there",
            true,
            &[(10, Subscribed), (35, Moved), (60, Subscribed)],
            128,
        ),
        (
            "the policy restarts while a watch is established",
            true,
            &[(10, Subscribed), (20, Cached), (30, Heartbeat)],
            98,
        ),
        ("pushed, after a start", false, &[(0, Cached)], NO_LIMIT),
        ("pushed, heartbeats", false, &[(0, Cached), (1, Subscribed), (21, Heartbeat)], 89),
        ("pushed, silent watch", false, &[(1, Subscribed), (21, Heartbeat), (46, TimedOut)], 89),
        ("pushed, the agent is silent", false, &[(1, Subscribed), (46, TimedOut), (47, Failed)], 55),
        (
            "pushed, the agent keeps failing",
            false,
            &[(46, TimedOut), (47, Failed), (52, Failed), (57, Failed)],
            65,
        ),
        ("no heartbeats, as on the simulator", true, &[(0, Cached), (10, Full), (30, Changes)], NO_LIMIT),
        ("no heartbeats, then a failure", true, &[(0, Cached), (10, Full), (30, Failed)], 88),
    ];
    for (what, asked, news, until) in rows {
        assert_eq!(after(*asked, 4, 10 * S, news), *until, "{what}");
    }
}

#[test]
fn without_a_time_to_stop_in_the_settings_the_list_is_always_usable() {
    let mut list = Staleness::default();
    let settings = Settings { must_subscribe: true, ..Settings::default() };
    list.note(S, ListUpdate::Subscribed, &settings);
    list.note(4 * S, ListUpdate::TimedOut, &settings);
    assert_eq!(list.good_until(&settings), Micros::MAX);
}

/// A change counts as told 6 s after discovery had it and was reachable. A failed call shows that discovery
/// was not reachable, unless there are so many hosts that the call may have waited too long.
#[test]
fn a_failed_call_extends_the_time_only_where_it_shows_that_discovery_was_down() {
    use ListUpdate::*;
    let fails: &[(u64, ListUpdate)] =
        &[(10, Subscribed), (30, Heartbeat), (40, Failed), (60, Failed), (80, Failed)];
    for (what, hosts, max_unsubscribed, until) in [
        ("few hosts", 4, 10 * S, 138),
        ("as many hosts as discovery serves in time", 333, 10 * S, 138),
        ("one host more", 334, 10 * S, 98),
        ("a thousand hosts", 1_024, 10 * S, 98),
        ("a shorter time in the settings", 4, 2 * S, 98),
        ("a longer time in the settings", 4, 60 * S, 138),
    ] {
        assert_eq!(after(true, hosts, max_unsubscribed, fails), until, "{what}");
    }
}
