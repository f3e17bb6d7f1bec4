use super::*;

const S: Micros = 1_000_000;

/// What it shows, whether discovery is asked, the news, and how long the list is good.
type Row = (&'static str, bool, &'static [(u64, ListUpdate)], u64);

/// The list's state after so much news, each so many tenths of a second after the start.
fn after(asked: bool, hosts: u32, ask_within: u64, news: &[(u64, ListUpdate)]) -> u64 {
    let stop_within = S;
    let settings = Settings { must_subscribe: asked, hosts, ask_within, stop_within, ..Settings::default() };
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
fn a_list_is_good_until_what_it_may_miss_is_told_and_the_time_to_stop_is_nearly_over() {
    use ListUpdate::*;
    const EVER: u64 = u64::MAX;
    let rows: &[Row] = &[
        ("asked, a start", true, &[(0, Cached)], 68),
        ("asked, a start whose calls fail", true, &[(0, Cached), (50, Failed), (90, Failed)], 148),
        ("asked, it stands", true, &[(0, Cached), (10, Subscribed), (11, Full)], 79),
        ("asked, beats", true, &[(0, Cached), (10, Subscribed), (30, Heartbeat), (50, Heartbeat)], 118),
        ("asked, silent", true, &[(10, Subscribed), (30, Heartbeat), (55, TimedOut)], 98),
        (
            "a failed call is no news",
            true,
            &[(10, Subscribed), (30, Heartbeat), (55, TimedOut), (80, Failed)],
            98,
        ),
        ("what a silent watch still says", true, &[(30, Subscribed), (55, TimedOut), (60, Heartbeat)], 98),
        ("renewed", true, &[(30, Subscribed), (55, TimedOut), (80, Subscribed)], 148),
        ("asked, ended", true, &[(10, Subscribed), (30, Heartbeat), (40, Failed)], 98),
        ("a call without an answer", true, &[(0, Cached), (40, TimedOut)], 68),
        ("and another one", true, &[(0, Cached), (40, TimedOut), (80, TimedOut)], 68),
        ("ended, then no answer", true, &[(30, Subscribed), (40, Failed), (55, TimedOut)], 98),
        ("down, then no answer", true, &[(30, Subscribed), (40, Failed), (55, Failed), (70, TimedOut)], 113),
        ("moved", true, &[(10, Subscribed), (30, Heartbeat), (35, Moved), (50, Heartbeat), (60, Failed)], 83),
        ("moved twice", true, &[(10, Subscribed), (35, Moved), (60, Moved), (65, Heartbeat)], 83),
        ("moved and stands there", true, &[(10, Subscribed), (35, Moved), (60, Subscribed)], 128),
        (
            "the module's new start beside a watch",
            true,
            &[(10, Subscribed), (20, Cached), (30, Heartbeat)],
            98,
        ),
        ("pushed, a start", false, &[(0, Cached)], EVER),
        ("pushed, beats", false, &[(0, Cached), (1, Subscribed), (21, Heartbeat)], 89),
        ("pushed, silent", false, &[(1, Subscribed), (21, Heartbeat), (46, TimedOut)], 89),
        ("pushed, the agent is silent", false, &[(1, Subscribed), (46, TimedOut), (47, Failed)], 55),
        ("pushed, on and on", false, &[(46, TimedOut), (47, Failed), (52, Failed), (57, Failed)], 65),
        ("no beats, as on the simulator", true, &[(0, Cached), (10, Full), (30, Changes)], EVER),
        ("no beats, broken", true, &[(0, Cached), (10, Full), (30, Failed)], 88),
    ];
    for (what, asked, news, until) in rows {
        assert_eq!(after(*asked, 4, 10 * S, news), *until, "{what}");
    }
}

#[test]
fn where_the_settings_have_no_rule_the_list_is_always_good() {
    let mut list = Staleness::default();
    let settings = Settings { must_subscribe: true, ..Settings::default() };
    list.note(S, ListUpdate::Subscribed, &settings);
    list.note(4 * S, ListUpdate::TimedOut, &settings);
    assert_eq!(list.good_until(&settings), Micros::MAX);
}

/// Whatever failed, a change counts as told 6 s after discovery had it and could be reached. A failed call
/// says that it could not, unless there are so many heads that it may have waited too long.
#[test]
fn a_failed_call_puts_off_what_counts_as_told_only_where_discovery_was_down() {
    use ListUpdate::*;
    let fails: &[(u64, ListUpdate)] =
        &[(10, Subscribed), (30, Heartbeat), (40, Failed), (60, Failed), (80, Failed)];
    for (what, hosts, ask_within, until) in [
        ("few", 4, 10 * S, 138),
        ("as many as are served while their list is good", 333, 10 * S, 138),
        ("more", 334, 10 * S, 98),
        ("a thousand", 1_024, 10 * S, 98),
        ("held to it for less by the settings", 4, 2 * S, 98),
        ("for more", 4, 60 * S, 138),
    ] {
        assert_eq!(after(true, hosts, ask_within, fails), until, "{what}");
    }
}
