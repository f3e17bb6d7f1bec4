//! The subscription of an edge to a core, over changes of leaders, partitions and restarts.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_protocol::message::CoreStatus;
use pathbank_router::core_choice::{CoreAction, CoreAddress, CoreChoice};

fn core(number: u8) -> CoreAddress {
    CoreAddress::from(([10, 0, 0, number], 7_660))
}

fn status(zone: &str, leader: u8, configuration_index: u64, current: bool) -> CoreStatus {
    CoreStatus {
        zone: zone.into(),
        leader: core(leader).to_string(),
        configuration_index,
        current,
        edges: 8,
        ..CoreStatus::default()
    }
}

fn three_cores() -> CoreChoice {
    let mut choice = CoreChoice::new("z2".into(), 7);
    for number in 1..=3 {
        choice.update_status(0, core(number), &status(&format!("z{number}"), 1, 4, true));
    }
    choice
}

#[test]
fn subscribes_to_the_core_of_its_own_zone_and_knows_the_leader() {
    let mut choice = three_cores();
    assert_eq!(choice.actions(0, 4), [CoreAction::Subscribe(core(2))]);
    assert!(choice.actions(10, 4).is_empty());
    assert_eq!((choice.leader(), choice.edges()), (Some(core(1)), 8));
}

#[test]
fn subscribes_to_another_core_when_disconnected() {
    let mut choice = three_cores();
    choice.actions(0, 4);
    choice.disconnected(core(2));
    assert!(matches!(choice.actions(1, 4)[..], [CoreAction::Subscribe(other)] if other != core(2)));
}

#[test]
fn leaves_a_partitioned_core_after_the_time_out() {
    let mut choice = three_cores();
    choice.actions(0, 4);
    choice.update_status(500, core(2), &status("z2", 2, 4, false));
    assert!(choice.actions(600, 4).is_empty());
    choice.update_status(700, core(2), &status("z2", 2, 4, false));
    let actions = choice.actions(800, 4);
    assert_eq!(actions.len(), 2);
    assert_eq!(actions[0], CoreAction::Unsubscribe(core(2)));
    assert_eq!(choice.leader(), Some(core(1)), "its word about the leader does not count");
}

#[test]
fn fetches_an_announced_configuration_that_does_not_arrive() {
    let mut choice = three_cores();
    choice.actions(0, 4);
    choice.update_status(100, core(3), &status("z3", 1, 5, true));
    assert!(choice.actions(100, 4).is_empty());
    assert!(choice.actions(250, 4).is_empty());
    assert_eq!(choice.actions(300, 4), [CoreAction::Fetch(core(3))]);
    assert!(choice.actions(400, 4).is_empty());
    assert_eq!(choice.actions(500, 4), [CoreAction::Fetch(core(3))], "again while it lacks");
    assert!(choice.actions(800, 5).is_empty());
}

#[test]
fn subscribes_to_a_core_while_none_is_current() {
    let mut choice = CoreChoice::new("z1".into(), 7);
    choice.update_status(0, core(1), &status("z1", 1, 0, false));
    assert_eq!(choice.actions(0, 0), [CoreAction::Subscribe(core(1))]);
    choice.update_status(400, core(2), &status("z2", 2, 0, false));
    assert!(choice.actions(900, 0).is_empty(), "no use in another one that knows as little");
    choice.update_status(1_000, core(2), &status("z2", 2, 1, true));
    assert!(choice.actions(1_299, 0).is_empty(), "its own one may be as far in a moment");
    choice.update_status(1_250, core(1), &status("z1", 1, 0, false));
    assert_eq!(choice.actions(1_300, 0).len(), 2);
}

// After all were killed, the first core that was current again was asked for everything by 288 of 295 edges
// in one moment. Its list of 3,008 model servers for each went before its heartbeats, and the others deposed
// it. They were current 20 to 70 ms after it.
#[test]
fn edges_do_not_all_move_to_the_first_current_core() {
    let mut choice = CoreChoice::new("z1".into(), 7);
    for now in [0, 700] {
        choice.update_status(now, core(1), &status("z1", 2, 0, false));
        choice.update_status(now, core(2), &status("z2", 2, 0, false));
    }
    assert_eq!(choice.actions(700, 0), [CoreAction::Subscribe(core(1))]);
    choice.update_status(1_230, core(2), &status("z2", 2, 1, true));
    assert!(choice.actions(1_230, 0).is_empty());
    choice.update_status(1_290, core(1), &status("z1", 2, 1, true));
    assert!(choice.actions(1_290, 0).is_empty());
    assert!(choice.actions(2_000, 1).is_empty());
}

// After all were killed, edges listened to whichever core they reached first: 138, 113, 44 and none at the
// last two.
#[test]
fn waits_briefly_for_a_core_of_its_own_zone() {
    let mut choice = CoreChoice::new("z2".into(), 7);
    choice.update_status(0, core(1), &status("z1", 1, 4, true));
    assert!(choice.actions(0, 4).is_empty());
    choice.update_status(20, core(2), &status("z2", 1, 4, true));
    assert_eq!(choice.actions(20, 4), [CoreAction::Subscribe(core(2))]);
}

#[test]
fn subscribes_to_another_zone_where_its_own_has_no_core() {
    let mut choice = CoreChoice::new("z9".into(), 7);
    choice.update_status(1_000, core(1), &status("z1", 1, 4, true));
    assert!(choice.actions(1_049, 4).is_empty());
    assert_eq!(choice.actions(1_050, 4), [CoreAction::Subscribe(core(1))]);
    choice.update_status(1_060, core(2), &status("z2", 1, 4, true));
    choice.disconnected(core(1));
    assert_eq!(
        choice.actions(1_061, 4),
        [CoreAction::Subscribe(core(2))],
        "one that was lost is replaced at once"
    );
    choice.disconnected(core(2));
    choice.update_status(2_000, core(2), &status("z2", 1, 4, true));
    assert!(
        choice.actions(2_000, 4).is_empty(),
        "all were lost: the first to be reached again is not the only one"
    );
}

// 82 edges that came back at once were sent 193 whole configurations: each asked another core again every 0.2
// s while the one that it listened to was sending.
#[test]
fn does_not_fetch_what_the_subscribed_core_is_sending() {
    let mut choice = three_cores();
    assert_eq!(choice.actions(0, 0), [CoreAction::Subscribe(core(2))]);
    for now in (100..1_500).step_by(100) {
        assert!(choice.actions(now, 0).is_empty(), "at {now}");
    }
    assert!(matches!(choice.actions(1_500, 0)[..], [CoreAction::Fetch(_)]), "but not for ever");
}

#[test]
fn fetch_time_outs_double() {
    let mut choice = three_cores();
    choice.actions(0, 4);
    choice.update_status(0, core(3), &status("z3", 1, 5, true));
    let mut asked = Vec::new();
    for now in (0..=10_000).step_by(100) {
        choice.update_status(now, core(2), &status("z2", 1, 4, true));
        if !choice.actions(now, 4).is_empty() {
            asked.push(now);
        }
    }
    assert_eq!(asked, [200, 400, 800, 1_600, 3_200, 4_800, 6_400, 8_000, 9_600]);
    choice.update_status(10_000, core(3), &status("z3", 1, 7, true));
    assert!(choice.actions(10_100, 6).is_empty());
    assert_eq!(choice.actions(10_300, 6), [CoreAction::Fetch(core(3))], "after news it begins anew");
}

#[test]
fn fetches_of_many_edges_spread_over_the_cores() {
    let mut asked = std::collections::BTreeMap::<CoreAddress, usize>::new();
    for seed in 0..200 {
        let mut choice = CoreChoice::new("z1".into(), seed);
        choice.update_status(0, core(1), &status("z1", 1, 4, true));
        choice.actions(0, 4);
        (2..=4).for_each(|number| choice.update_status(0, core(number), &status("z2", 1, 5, true)));
        choice.actions(0, 4);
        let actions = choice.actions(200, 4);
        let [CoreAction::Fetch(core)] = actions[..] else { panic!("{actions:?}") };
        *asked.entry(core).or_default() += 1;
    }
    assert!(asked.len() == 3 && asked.values().all(|edges| *edges > 40), "{asked:?}");
}
