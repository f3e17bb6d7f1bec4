//! Stories of a whole fleet in virtual time: a hundred heads, two hundred model servers, the real deciding
//! parts of edges and of the leader, no sockets and no sleeps. An auditor looks at what model servers and
//! clients saw.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod audit;
mod model_server;
mod world;

use test_case::test_case;
use world::{Fault, Load, URGENCIES, World};

/// A fleet with demand that its model servers bear, served for some seconds.
fn given_a_fleet(seed: u64) -> World {
    let mut world = World::new(seed, 100, 200);
    world.run(6_000);
    world.begin_audit();
    world
}

#[test]
fn a_calm_fleet_serves_nearly_everything() {
    let mut world = given_a_fleet(1);
    world.run(10_000);
    let report = world.audit();
    assert_eq!(report.broken, Vec::<String>::new());
    assert!(report.served > 0.97, "{report:?}");
}

#[test_case(Fault::Grey, 0.9; "a sixth of the model servers fail half of their requests with good health")]
#[test_case(Fault::Lying, 0.88; "a sixth of the model servers fail every request and say well")]
#[test_case(Fault::Flap, 0.88; "a sixth of the model servers go down and up by turns")]
#[test_case(Fault::SpotNotice, 0.9; "a sixth of the model servers are taken away at two seconds notice")]
#[test_case(Fault::ZoneLost, 0.8; "a zone falls silent for good")]
fn a_fleet_in_trouble_goes_on_serving(fault: Fault, least: f64) {
    let mut world = given_a_fleet(2);
    world.strike(fault);
    world.run(12_000);
    let report = world.audit();
    assert_eq!(report.broken, Vec::<String>::new());
    assert!(report.served > least, "{report:?}");
    assert!(report.served_at_the_end > least, "{report:?}");
}

#[test]
fn lying_servers_are_avoided_and_sound_ones_are_not() {
    let mut world = given_a_fleet(3);
    world.strike(Fault::Lying);
    world.run(10_000);
    let (struck, sound) = world.arrivals_a_server_in_the_last(4_000);
    assert!(struck < 0.5 * sound, "{struck} at a lying model server, {sound} at a sound one");
    assert!(struck > 0.0, "it is tried again, for it may be well by now");
}

#[test]
fn servers_that_are_well_again_are_used_again() {
    let mut world = given_a_fleet(4);
    world.strike(Fault::Lying);
    world.run(6_000);
    world.heal();
    world.run(14_000);
    let (struck, sound) = world.arrivals_a_server_in_the_last(4_000);
    assert!(struck > 0.5 * sound, "{struck} at a model server that is well again, {sound} at another");
}

#[test]
fn one_head_in_trouble_takes_no_retries_from_the_others() {
    let mut world = given_a_fleet(5);
    world.cut_a_head_off_from_servers(0);
    world.run(6_000);
    let report = world.audit();
    assert_eq!(report.broken, Vec::<String>::new());
    assert!(report.served > 0.95, "{report:?}");
}

#[test]
fn streams_leave_servers_that_are_taken_away_before_they_go() {
    // Given streams that last longer than the notice that model servers give.
    let load = Load { answer_ms: 4_000, ..Load::default() };
    let mut world = World::under(load, 6, 100, 200);
    world.run(8_000);
    world.begin_audit();
    // When a sixth of the model servers are taken away, then most streams that may go on elsewhere have left
    // in time: 89 are cut short where nobody heeds the notice.
    world.strike(Fault::SpotNotice);
    world.run(8_000);
    let report = world.audit();
    assert_eq!(report.broken, Vec::<String>::new());
    assert!(world.cut_short < 30, "{} streams were cut short", world.cut_short);
    assert!(report.served > 0.9, "{report:?}");
}

#[test]
fn under_overload_what_is_urgent_goes_first_and_nothing_starves() {
    // Given a third more than the model servers bear, of three urgencies.
    let load = Load { answer_ms: 4_000, per_server_s: 8.0, urgencies: true };
    let mut world = World::under(load, 7, 20, 40);
    world.run(8_000);
    world.begin_audit();
    world.run(12_000);
    let served = URGENCIES.map(|urgency| world.served_of(urgency));
    assert_eq!(world.audit().broken, Vec::<String>::new());
    assert!(served[0] > served[1] && served[1] > served[2], "{served:?}");
    assert!(served[2] > 0.25 * served[0], "{served:?}");
}

#[test]
fn under_overload_refusals_are_told_long_before_the_deadline() {
    // Given twice what the model servers bear.
    let load = Load { answer_ms: 4_000, per_server_s: 12.0, urgencies: false };
    let mut world = World::under(load, 8, 20, 40);
    world.run(8_000);
    world.begin_audit();
    world.run(12_000);
    assert_eq!(world.audit().broken, Vec::<String>::new());
    // Then most refusals come at once, and nearly all with more than half of the client's 8 s left.
    let (at_once, early) = (world.refused_within(500), world.refused_within(4_000));
    assert!(at_once > 0.5 && early > 0.95, "{at_once} within 0.5 s, {early} within 4 s");
}

/// Short histories by seed, with troubles drawn one after the other.
#[test_case(100)]
#[test_case(200)]
#[test_case(300)]
fn troubles_by_seed_break_no_rule(first_seed: u64) {
    for seed in first_seed..first_seed + 12 {
        let mut world = World::new(seed, 20, 40);
        world.run(2_500);
        for _ in 0..4 {
            let fault = world.draw_fault();
            world.strike(fault);
            world.run(2_500);
            world.heal();
            world.run(1_000);
        }
        let report = world.audit();
        assert_eq!(report.broken, Vec::<String>::new(), "seed {seed}");
        assert!(report.served > 0.6, "seed {seed}: {report:?}");
    }
}
