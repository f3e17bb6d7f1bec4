use super::*;

const S: Micros = 1_000_000;

/// What it shows, whether discovery is asked, the news, and how long the list is good.
type Row = (&'static str, bool, &'static [(u64, News)], u64);

/// The list's state after so much news, each so many tenths of a second after the start.
fn after(asked: bool, news: &[(u64, News)]) -> u64 {
    let (ask_within, stop_within) = (10 * S, S);
    let settings = Settings { must_subscribe: asked, ask_within, stop_within, ..Settings::default() };
    let mut list = Listing::default();
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
    use News::*;
    const EVER: u64 = u64::MAX;
    let rows: &[Row] = &[
        ("asked, a start", true, &[(0, Cached)], 108),
        ("asked, a start whose calls fail", true, &[(0, Cached), (50, Failed), (90, Failed)], 188),
        ("asked, it stands", true, &[(0, Cached), (10, Watched), (11, Full)], 79),
        ("asked, beats", true, &[(0, Cached), (10, Watched), (30, Beat), (50, Beat)], 118),
        ("asked, silent", true, &[(10, Watched), (30, Beat), (55, Silent)], 98),
        ("a failed call is no news", true, &[(10, Watched), (30, Beat), (55, Silent), (80, Failed)], 98),
        ("what a silent watch still says", true, &[(30, Watched), (55, Silent), (60, Beat)], 98),
        ("renewed", true, &[(30, Watched), (55, Silent), (80, Watched)], 148),
        ("asked, ended", true, &[(10, Watched), (30, Beat), (40, Failed)], 138),
        ("a call without an answer", true, &[(0, Cached), (40, Silent)], 98),
        ("and another one", true, &[(0, Cached), (40, Silent), (80, Silent)], 98),
        ("moved", true, &[(10, Watched), (30, Beat), (35, Moved), (50, Beat), (60, Failed)], 83),
        ("moved and stands there", true, &[(10, Watched), (35, Moved), (60, Watched)], 128),
        ("the module's new start beside a watch", true, &[(10, Watched), (20, Cached), (30, Beat)], 98),
        ("pushed, a start", false, &[(0, Cached)], EVER),
        ("pushed, beats", false, &[(0, Cached), (1, Watched), (21, Beat)], 89),
        ("pushed, silent", false, &[(1, Watched), (21, Beat), (46, Silent)], 89),
        ("pushed, the agent is silent", false, &[(1, Watched), (46, Silent), (47, Failed)], 55),
        ("pushed, on and on", false, &[(46, Silent), (47, Failed), (52, Failed), (57, Failed)], 65),
        ("no beats, as on the simulator", true, &[(0, Cached), (10, Full), (30, Changes)], EVER),
        ("no beats, broken", true, &[(0, Cached), (10, Full), (30, Failed)], 128),
    ];
    for (what, asked, news, until) in rows {
        assert_eq!(after(*asked, news), *until, "{what}");
    }
}

#[test]
fn where_the_settings_have_no_rule_the_list_is_always_good() {
    let mut list = Listing::default();
    let settings = Settings { must_subscribe: true, ..Settings::default() };
    list.note(S, News::Watched, &settings);
    list.note(4 * S, News::Silent, &settings);
    assert_eq!(list.good_until(&settings), Micros::MAX);
}
