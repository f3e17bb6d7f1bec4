//! Tests of an edge's choice of a core, through changes of leaders, partitions and restarts.

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
fn unsubscribes_from_a_partitioned_core_after_the_time_out() {
    let mut choice = three_cores();
    choice.actions(0, 4);
    choice.update_status(500, core(2), &status("z2", 2, 4, false));
    assert!(choice.actions(600, 4).is_empty());
    choice.update_status(700, core(2), &status("z2", 2, 4, false));
    let actions = choice.actions(800, 4);
    assert_eq!(actions.len(), 2);
    assert_eq!(actions[0], CoreAction::Unsubscribe(core(2)));
    assert_eq!(choice.leader(), Some(core(1)), "the status of a core that is not current does not count");
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
    assert_eq!(
        choice.actions(500, 4),
        [CoreAction::Fetch(core(3))],
        "the fetch is repeated until the configuration arrives"
    );
    assert!(choice.actions(800, 5).is_empty());
}

#[test]
fn subscribes_to_a_core_while_none_is_current() {
    let mut choice = CoreChoice::new("z1".into(), 7);
    choice.update_status(0, core(1), &status("z1", 1, 0, false));
    assert_eq!(choice.actions(0, 0), [CoreAction::Subscribe(core(1))]);
    choice.update_status(400, core(2), &status("z2", 2, 0, false));
    assert!(choice.actions(900, 0).is_empty(), "no other core is current either");
    choice.update_status(1_000, core(2), &status("z2", 2, 1, true));
    assert!(choice.actions(1_299, 0).is_empty(), "the subscribed core may become current in a moment");
    choice.update_status(1_250, core(1), &status("z1", 1, 0, false));
    assert_eq!(choice.actions(1_300, 0).len(), 2);
}

// After all cores were killed, 288 of 295 edges subscribed at once to the first core that was current again.
// Its lists of 3,008 model servers for each edge delayed its heartbeats, so the other cores elected another
// leader. The other cores were current 20 to 70 ms after the first one.
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

// After all cores were killed, edges subscribed to the core that they reached first: three cores had 138, 113
// and 44 edges, and the other two had none.
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
        "a lost core is replaced at once by a connected one"
    );
    choice.disconnected(core(2));
    choice.update_status(2_000, core(2), &status("z2", 1, 4, true));
    assert!(
        choice.actions(2_000, 4).is_empty(),
        "after all cores were lost, the edge waits for a core of its zone"
    );
}

// 82 edges that reconnected at once were sent 193 complete configurations: each edge fetched from another
// core every 0.2 s while the subscribed core was sending the configuration.
#[test]
fn does_not_fetch_what_the_subscribed_core_is_sending() {
    let mut choice = three_cores();
    assert_eq!(choice.actions(0, 0), [CoreAction::Subscribe(core(2))]);
    for now in (100..1_500).step_by(100) {
        assert!(choice.actions(now, 0).is_empty(), "at {now}");
    }
    assert!(
        matches!(choice.actions(1_500, 0)[..], [CoreAction::Fetch(_)]),
        "the edge fetches after the delivery time-out"
    );
}

#[test]
fn fetch_time_outs_double() {
    let mut choice = three_cores();
    choice.actions(0, 4);
    choice.update_status(0, core(3), &status("z3", 1, 5, true));
    let mut fetches = Vec::new();
    for now in (0..=10_000).step_by(100) {
        choice.update_status(now, core(2), &status("z2", 1, 4, true));
        if !choice.actions(now, 4).is_empty() {
            fetches.push(now);
        }
    }
    assert_eq!(fetches, [200, 400, 800, 1_600, 3_200, 4_800, 6_400, 8_000, 9_600]);
    choice.update_status(10_000, core(3), &status("z3", 1, 7, true));
    assert!(choice.actions(10_100, 6).is_empty());
    assert_eq!(
        choice.actions(10_300, 6),
        [CoreAction::Fetch(core(3))],
        "a new configuration starts with the first time-out again"
    );
}

#[test]
fn fetches_of_many_edges_spread_over_the_cores() {
    let mut fetches = std::collections::BTreeMap::<CoreAddress, usize>::new();
    for seed in 0..200 {
        let mut choice = CoreChoice::new("z1".into(), seed);
        choice.update_status(0, core(1), &status("z1", 1, 4, true));
        choice.actions(0, 4);
        (2..=4).for_each(|number| choice.update_status(0, core(number), &status("z2", 1, 5, true)));
        choice.actions(0, 4);
        let actions = choice.actions(200, 4);
        let [CoreAction::Fetch(core)] = actions[..] else { panic!("{actions:?}") };
        *fetches.entry(core).or_default() += 1;
    }
    assert!(fetches.len() == 3 && fetches.values().all(|edges| *edges > 40), "{fetches:?}");
}
