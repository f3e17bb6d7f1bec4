use super::*;

fn record(incarnation: u64, state: State) -> Record {
    Record { incarnation: Incarnation::of(incarnation), state }
}

#[test]
fn the_same_records_in_any_order_are_the_same_view() {
    let mut draw = fastrand::Rng::with_seed(7);
    let mut rumours: Vec<(Number, Record)> =
        (0..400).map(|_| (draw.u16(..70), record(draw.u64(1..9), State::ALL[draw.usize(..5)]))).collect();
    let told = |rumours: &[(Number, Record)]| {
        let mut view = View::new(70);
        for (member, record) in rumours {
            view.learn(0, *member, *record, Why::Heard);
        }
        (view.digest(), view.blocks(), view.records().collect::<Vec<_>>(), view.count())
    };
    let first = told(&rumours);
    for _ in 0..20 {
        draw.shuffle(&mut rumours);
        assert_eq!(told(&rumours), first);
    }
    assert_eq!(first.3, first.2.iter().filter(|(_, record)| runs(*record)).count());
}

#[test]
fn a_later_life_counts_more_than_any_verdict_and_a_verdict_more_than_the_same_life() {
    use State::*;
    let (mut view, rows) = (
        View::new(3),
        [
            (record(1, Joining), true),
            (record(1, Alive), true),
            (record(1, Joining), false),
            (record(1, Suspect), true),
            (record(1, Alive), false),
            (record(2, Alive), true),
            (record(1, Dead), false),
            (record(2, Dead), true),
            (record(2, Suspect), false),
            (record(2, Left), true),
            (record(3, Joining), true),
            (UNKNOWN, false),
        ],
    );
    for (record, taken) in rows {
        assert_eq!(view.learn(0, 1, record, Why::Told(2)).is_some(), taken, "{record:?}");
    }
    assert_eq!(view.learn(0, 3, record(1, Alive), Why::Heard), None, "there is no such head");
}

#[test]
fn parts_that_differ_are_told_and_no_others() {
    for heads in [1, 2, 64, 65, 300, 1_024] {
        let mut view = View::new(heads);
        for member in 0..heads as Number {
            view.learn(0, member, record(u64::from(member) + 1, State::Alive), Why::Heard);
        }
        assert!(view.blocks().len() <= BLOCKS, "{heads}");
        assert_eq!(view.differing(&view.blocks()), []);
        let (mut other, last) = (view.clone(), heads as Number - 1);
        other.learn(0, last, record(u64::from(last) + 1, State::Dead), Why::Silent);
        let differing = view.differing(&other.blocks());
        assert!(differing.iter().any(|(member, _)| *member == last));
        assert!(differing.len() <= heads.div_ceil(BLOCKS), "{heads}: {differing:?}");
        // Of a fleet of another size: all.
        assert_eq!(view.differing(&[]).len(), heads);
    }
}
