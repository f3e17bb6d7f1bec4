//! Which core an edge listens to, over changes of leaders, cuts and restarts.

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
        choice.told(0, core(number), &status(&format!("z{number}"), 1, 4, true));
    }
    choice
}

#[test]
fn the_core_of_its_own_zone_is_listened_to_and_the_leader_is_known() {
    let mut choice = three_cores();
    assert_eq!(choice.actions(0, 4), [CoreAction::Subscribe(core(2))]);
    assert!(choice.actions(10, 4).is_empty());
    assert_eq!((choice.leader(), choice.edges()), (Some(core(1)), 8));
}

#[test]
fn when_it_is_lost_another_one_is_listened_to_at_once() {
    let mut choice = three_cores();
    choice.actions(0, 4);
    choice.lost(core(2));
    assert!(matches!(choice.actions(1, 4)[..], [CoreAction::Subscribe(other)] if other != core(2)));
}

#[test]
fn one_that_is_cut_off_from_the_others_is_left_after_a_while() {
    let mut choice = three_cores();
    choice.actions(0, 4);
    choice.told(500, core(2), &status("z2", 2, 4, false));
    assert!(choice.actions(600, 4).is_empty());
    choice.told(700, core(2), &status("z2", 2, 4, false));
    let actions = choice.actions(800, 4);
    assert_eq!(actions.len(), 2);
    assert_eq!(actions[0], CoreAction::Unsubscribe(core(2)));
    assert_eq!(choice.leader(), Some(core(1)), "its word about the leader does not count");
}

#[test]
fn a_configuration_that_was_announced_and_does_not_come_is_asked_for() {
    let mut choice = three_cores();
    choice.actions(0, 4);
    choice.told(100, core(3), &status("z3", 1, 5, true));
    assert!(choice.actions(100, 4).is_empty());
    assert!(choice.actions(250, 4).is_empty());
    assert_eq!(choice.actions(300, 4), [CoreAction::Fetch(core(3))]);
    assert!(choice.actions(400, 4).is_empty());
    assert_eq!(choice.actions(500, 4), [CoreAction::Fetch(core(3))], "again while it lacks");
    assert!(choice.actions(800, 5).is_empty());
}

#[test]
fn while_no_core_is_current_one_is_listened_to_all_the_same() {
    let mut choice = CoreChoice::new("z1".into(), 7);
    choice.told(0, core(1), &status("z1", 1, 0, false));
    assert_eq!(choice.actions(0, 0), [CoreAction::Subscribe(core(1))]);
    choice.told(400, core(2), &status("z2", 2, 0, false));
    assert!(choice.actions(900, 0).is_empty(), "no use in another one that knows as little");
    choice.told(1_000, core(2), &status("z2", 2, 1, true));
    assert_eq!(choice.actions(1_000, 0).len(), 2);
}
